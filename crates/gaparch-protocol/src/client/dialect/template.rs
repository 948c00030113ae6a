//! Events as JSON text with gaps for the values, so that sending one builds no JSON tree.

use super::definition::{DialectError, EventShape, FieldSource};
use super::json_path::JsonPath;
use super::names::{EventKind, FieldValue};
use serde_json::Value as Json;

/// An event's JSON, cut where its values go.
#[derive(Clone, Debug)]
pub(super) struct EventTemplate {
    /// The event's name in the stream.
    pub name: String,
    /// The JSON text in order.
    pub parts: Vec<TemplatePart>,
    /// Where each value stands, for reading.
    pub paths: Vec<(FieldValue, JsonPath)>,
}

/// A stretch of an event's JSON.
#[derive(Clone, Debug)]
pub(super) enum TemplatePart {
    /// The same bytes in every event.
    Literal(Vec<u8>),
    /// The place of a value.
    Placeholder(FieldValue),
}

/// A character that no dialect holds: it marks where a value goes until the JSON is cut there.
const MARK: char = '\u{1}';
/// A [`MARK`] at the beginning and at the end of a JSON string, as it is escaped there.
const MARK_AT_START: &str = "\"\\u0001";
const MARK_AT_END: &str = "\\u0001\"";

impl EventTemplate {
    /// Prepares an event; fields that make no sense are added to the errors.
    pub fn new(kind: EventKind, shape: &EventShape, errors: &mut Vec<DialectError>) -> EventTemplate {
        let text = marked_json(kind, shape, errors).to_string();
        EventTemplate { name: shape.name.clone(), parts: cut(&text, shape), paths: value_paths(shape) }
    }

    /// Where a value stands in the event's JSON.
    pub fn path(&self, value: FieldValue) -> Option<&JsonPath> {
        self.paths.iter().find(|(known, _)| *known == value).map(|(_, path)| path)
    }
}

fn value_paths(shape: &EventShape) -> Vec<(FieldValue, JsonPath)> {
    let value_path = |field: &super::EventField| match field.source {
        FieldSource::Value(value) => Some((value, field.path.clone())),
        FieldSource::Fixed(_) => None,
    };
    shape.fields.iter().filter_map(value_path).collect()
}

/// The event's JSON with a marked string, which holds the field's number, in place of each value.
fn marked_json(kind: EventKind, shape: &EventShape, errors: &mut Vec<DialectError>) -> Json {
    let mut json = Json::Object(Default::default());
    for (number, field) in shape.fields.iter().enumerate() {
        let value = match &field.source {
            FieldSource::Fixed(value) => value.clone(),
            FieldSource::Value(value) => {
                if !value.belongs_to(kind) {
                    errors.push(DialectError::ForeignValue { kind: kind.name(), value: value.name() });
                }
                Json::String(format!("{MARK}{number}{MARK}"))
            }
        };
        if !field.path.insert(&mut json, value) {
            errors.push(DialectError::PathConflict { kind: kind.name(), path: field.path.to_string() });
        }
    }
    json
}

/// Cuts the text at its marked strings.
fn cut(text: &str, shape: &EventShape) -> Vec<TemplatePart> {
    let mut parts = Vec::new();
    let mut pieces = text.split(MARK_AT_START);
    if let Some(literal) = pieces.next() {
        parts.push(TemplatePart::Literal(literal.as_bytes().to_vec()));
    }
    for piece in pieces {
        let (number, literal) = piece.split_once(MARK_AT_END).unwrap_or(("", piece));
        let field = number.parse::<usize>().ok().and_then(|number| shape.fields.get(number));
        if let Some(FieldSource::Value(value)) = field.map(|field| &field.source) {
            parts.push(TemplatePart::Placeholder(*value));
        }
        parts.push(TemplatePart::Literal(literal.as_bytes().to_vec()));
    }
    parts
}
