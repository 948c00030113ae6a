//! Events as JSON text with placeholders for the values, so that encoding one builds no JSON tree.

use super::definition::{DialectError, EventShape, FieldSource};
use super::json_path::JsonPath;
use super::names::{EventKind, FieldValue};
use serde_json::Value as Json;

/// The JSON text of an event, split at its values.
#[derive(Clone, Debug)]
pub(super) struct EventTemplate {
    /// The SSE event name.
    pub name: String,
    /// The parts of the JSON text, in order.
    pub parts: Vec<TemplatePart>,
    /// The path of each value, for decoding.
    pub paths: Vec<(FieldValue, JsonPath)>,
}

/// A part of an event's JSON text.
#[derive(Clone, Debug)]
pub(super) enum TemplatePart {
    /// Constant bytes.
    Literal(Vec<u8>),
    /// The position of a value.
    Placeholder(FieldValue),
}

/// Marks the position of a value until the JSON text is split there. No dialect contains this character.
const MARKER: char = '\u{1}';
/// An escaped [`MARKER`] at the start and at the end of a JSON string.
const MARKER_AT_START: &str = "\"\\u0001";
const MARKER_AT_END: &str = "\\u0001\"";

impl EventTemplate {
    /// Prepares the template of an event; invalid fields are added to `errors`.
    pub fn new(kind: EventKind, shape: &EventShape, errors: &mut Vec<DialectError>) -> EventTemplate {
        let text = marked_json(kind, shape, errors).to_string();
        EventTemplate {
            name: shape.name.clone(),
            parts: split_at_markers(&text, shape),
            paths: value_paths(shape),
        }
    }

    /// The path of a value in the event's JSON.
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

/// The event's JSON in which each value is replaced by the index of its field between two markers.
fn marked_json(kind: EventKind, shape: &EventShape, errors: &mut Vec<DialectError>) -> Json {
    let mut json = Json::Object(Default::default());
    for (index, field) in shape.fields.iter().enumerate() {
        let value = match &field.source {
            FieldSource::Fixed(value) => value.clone(),
            FieldSource::Value(value) => {
                if !value.belongs_to(kind) {
                    errors.push(DialectError::UnsupportedValue { kind: kind.name(), value: value.name() });
                }
                Json::String(format!("{MARKER}{index}{MARKER}"))
            }
        };
        if !field.path.insert(&mut json, value) {
            errors.push(DialectError::PathConflict { kind: kind.name(), path: field.path.to_string() });
        }
    }
    json
}

/// Splits the text at its marked strings.
fn split_at_markers(text: &str, shape: &EventShape) -> Vec<TemplatePart> {
    let mut parts = Vec::new();
    let mut pieces = text.split(MARKER_AT_START);
    if let Some(literal) = pieces.next() {
        parts.push(TemplatePart::Literal(literal.as_bytes().to_vec()));
    }
    for piece in pieces {
        let (index, literal) = piece.split_once(MARKER_AT_END).unwrap_or(("", piece));
        let field = index.parse::<usize>().ok().and_then(|index| shape.fields.get(index));
        if let Some(FieldSource::Value(value)) = field.map(|field| &field.source) {
            parts.push(TemplatePart::Placeholder(*value));
        }
        parts.push(TemplatePart::Literal(literal.as_bytes().to_vec()));
    }
    parts
}
