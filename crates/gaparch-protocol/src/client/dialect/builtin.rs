//! The dialects that need no settings.

use super::definition::{DialectDefinition, EventField, EventShape, FieldSource};
use super::json_path::JsonPath;
use super::names::{EventKind, FieldValue, Label, RequestField};
use super::{messages, own, Dialect};
use serde_json::Value as Json;
use std::collections::BTreeMap;

/// An event of a built-in dialect.
pub(super) struct BuiltinEvent {
    pub kind: EventKind,
    /// Its name in the stream; empty for bodies.
    pub name: &'static str,
    /// The path of each field, and what it holds.
    pub fields: &'static [(&'static str, Cell)],
}

/// What a field of a built-in dialect holds.
#[derive(Clone, Copy)]
pub(super) enum Cell {
    Value(FieldValue),
    /// JSON text, the same in every event.
    Fixed(&'static str),
}

impl BuiltinEvent {
    fn shape(&self) -> EventShape {
        let fields = self.fields.iter().filter_map(|(path, cell)| event_field(path, *cell));
        EventShape { name: self.name.to_owned(), fields: fields.collect() }
    }
}

fn event_field(path: &str, cell: Cell) -> Option<EventField> {
    let source = match cell {
        Cell::Value(value) => FieldSource::Value(value),
        Cell::Fixed(json) => FieldSource::Fixed(serde_json::from_str(json).unwrap_or(Json::Null)),
    };
    Some(EventField { path: JsonPath::parse(path)?, source })
}

/// Whether the published Messages API has such a field.
fn is_published(field: RequestField) -> bool {
    use RequestField as Field;
    matches!(field, Field::Model | Field::Messages | Field::System | Field::MaxTokens | Field::Stream)
}

/// The paths of a request's fields. Those that the published API doesn't have stand under `extras`.
fn request_paths(extras: &str) -> BTreeMap<RequestField, JsonPath> {
    let mut paths = BTreeMap::new();
    for &field in RequestField::ALL {
        let name = field.name().replace('-', "_");
        let path = if is_published(field) { name } else { format!("{extras}{name}") };
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
    extras: &str,
) -> DialectDefinition {
    DialectDefinition {
        name: name.to_owned(),
        events: events.iter().map(|event| (event.kind, event.shape())).collect(),
        labels: labels.iter().map(|(label, spelling)| (*label, (*spelling).to_owned())).collect(),
        request: request_paths(extras),
    }
}

impl DialectDefinition {
    /// The dialect `own`, with the event names opened, part, usage, closed, failed and waiting.
    pub fn own() -> DialectDefinition {
        definition("own", own::EVENTS, &[], "")
    }

    /// The dialect `messages`, with the published event names of the Messages API.
    pub fn messages() -> DialectDefinition {
        definition("messages", messages::EVENTS, messages::LABELS, "metadata.")
    }
}

impl Dialect {
    /// A built-in dialect by its name: `own` or `messages`.
    pub fn builtin(name: &str) -> Option<Dialect> {
        let definition = match name {
            "own" => DialectDefinition::own(),
            "messages" => DialectDefinition::messages(),
            _ => return None,
        };
        Dialect::new(definition).ok()
    }
}
