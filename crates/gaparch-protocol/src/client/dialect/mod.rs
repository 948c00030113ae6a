//! Dialects: the event names of the messages API and the JSON path of each value.
//!
//! A [`DialectDefinition`] comes from the settings or from [`builtin`]. A [`Dialect`] is a validated
//! definition, which encodes and decodes events; it is immutable.

mod builtin;
mod decoder;
mod definition;
mod encoder;
mod json_path;
mod messages;
mod names;
mod own;
mod template;

pub use definition::{DialectDefinition, DialectError, EventField, EventShape, FieldSource};
pub use json_path::JsonPath;
pub use names::{EventKind, FieldValue, Label, RequestField};

use std::collections::BTreeMap;
use template::EventTemplate;

/// A validated dialect. It encodes events from templates, without building a JSON tree.
#[derive(Clone, Debug)]
pub struct Dialect {
    name: String,
    templates: BTreeMap<EventKind, EventTemplate>,
    labels: BTreeMap<Label, String>,
    request: BTreeMap<RequestField, JsonPath>,
}

impl Dialect {
    /// Validates a definition and prepares its templates.
    ///
    /// # Errors
    /// Returns every error of the definition.
    pub fn new(definition: DialectDefinition) -> Result<Dialect, Vec<DialectError>> {
        let mut errors = definition.errors();
        let mut templates = BTreeMap::new();
        for (kind, shape) in &definition.events {
            templates.insert(*kind, EventTemplate::new(*kind, shape, &mut errors));
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        let labels = definition.spelled_labels();
        Ok(Dialect { name: definition.name, templates, labels, request: definition.request })
    }

    /// The name by which a listener's settings select the dialect.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The JSON path of a request field.
    pub(super) fn request_path(&self, field: RequestField) -> Option<&JsonPath> {
        self.request.get(&field)
    }
}
