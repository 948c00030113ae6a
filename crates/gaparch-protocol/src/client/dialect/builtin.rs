//! The built-in dialects.

use super::definition::{DialectDefinition, EventField, EventShape, FieldSource};
use super::json_path::JsonPath;
use super::names::{EventKind, FieldValue, Label, RequestField};
use super::{messages, own, Dialect};
use serde_json::Value as Json;
use std::collections::BTreeMap;

/// An event of a built-in dialect.
pub(super) struct BuiltinEvent {
    pub kind: EventKind,
    /// The SSE event name; empty for the complete answer and the error body.
    pub name: &'static str,
    /// The path and the content of each field.
    pub fields: &'static [(&'static str, FieldContent)],
}

/// The content of a field of a built-in dialect.
#[derive(Clone, Copy)]
pub(super) enum FieldContent {
    Value(FieldValue),
    /// A constant, as JSON text.
    Fixed(&'static str),
}

impl BuiltinEvent {
    fn shape(&self) -> EventShape {
        let fields = self.fields.iter().filter_map(|(path, content)| event_field(path, *content));
        EventShape { name: self.name.to_owned(), fields: fields.collect() }
    }
}

fn event_field(path: &str, content: FieldContent) -> Option<EventField> {
    let source = match content {
        FieldContent::Value(value) => FieldSource::Value(value),
        FieldContent::Fixed(json) => FieldSource::Fixed(serde_json::from_str(json).unwrap_or(Json::Null)),
    };
    Some(EventField { path: JsonPath::parse(path)?, source })
}

/// Whether the published Messages API defines this field.
fn is_published(field: RequestField) -> bool {
    use RequestField as Field;
    matches!(field, Field::Model | Field::Messages | Field::System | Field::MaxTokens | Field::Stream)
}

/// The JSON path of each request field. Fields that the published API does not define get the prefix
/// `extension_prefix`.
fn request_paths(extension_prefix: &str) -> BTreeMap<RequestField, JsonPath> {
    let mut paths = BTreeMap::new();
    for &field in RequestField::ALL {
        let name = field.name().replace('-', "_");
        let path = if is_published(field) { name } else { format!("{extension_prefix}{name}") };
        if let Some(path) = JsonPath::parse(&path) {
            paths.insert(field, path);
        }
    }
    paths
}

fn definition(
    name: &str,
    events: &[BuiltinEvent],
    labels: &[(Label, &str)],
    extension_prefix: &str,
) -> DialectDefinition {
    DialectDefinition {
        name: name.to_owned(),
        events: events.iter().map(|event| (event.kind, event.shape())).collect(),
        labels: labels.iter().map(|(label, spelling)| (*label, (*spelling).to_owned())).collect(),
        request: request_paths(extension_prefix),
    }
}

impl DialectDefinition {
    /// The dialect `own`, with the events `opened`, `part`, `usage`, `closed`, `failed` and `waiting`.
    pub fn own() -> DialectDefinition {
        definition("own", own::EVENTS, &[], "")
    }

    /// The dialect `messages`, with the event names of the published Messages API.
    pub fn messages() -> DialectDefinition {
        definition("messages", messages::EVENTS, messages::LABELS, "metadata.")
    }
}

impl Dialect {
    /// Returns the built-in dialect with this name: `own` or `messages`.
    pub fn builtin(name: &str) -> Option<Dialect> {
        let definition = match name {
            "own" => DialectDefinition::own(),
            "messages" => DialectDefinition::messages(),
            _ => return None,
        };
        Dialect::new(definition).ok()
    }
}
