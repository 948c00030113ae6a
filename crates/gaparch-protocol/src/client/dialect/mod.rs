//! Dialects: how each event of the messages API is named, and where in its JSON each value stands.
//!
//! A [`DialectDefinition`] comes from the settings or from [`builtin`]; a [`Dialect`] is a checked one, which
//! encodes and decodes events. It never changes.

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

/// A dialect ready for use: it encodes without building JSON.
#[derive(Clone, Debug)]
pub struct Dialect {
    name: String,
    templates: BTreeMap<EventKind, EventTemplate>,
    labels: BTreeMap<Label, String>,
    request: BTreeMap<RequestField, JsonPath>,
}

impl Dialect {
    /// Checks a dialect and prepares it for use.
    ///
    /// # Errors
    /// All that is wrong with it.
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

    /// The name by which listeners choose it.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where a request's field stands in its JSON.
    pub(super) fn request_path(&self, field: RequestField) -> Option<&JsonPath> {
        self.request.get(&field)
    }
}
