//! Dialect definitions, as read from the settings, and their validation.

use super::json_path::JsonPath;
use super::names::{EventKind, FieldValue, Label, RequestField};
use serde_json::Value as Json;
use std::collections::BTreeMap;
use thiserror::Error;

/// The source of a field's content.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldSource {
    /// A value of the event.
    Value(FieldValue),
    /// A constant, the same in every event.
    Fixed(Json),
}

/// One field of an event.
#[derive(Clone, Debug, PartialEq)]
pub struct EventField {
    /// The position of the field in the event's JSON.
    pub path: JsonPath,
    /// The source of the field's content.
    pub source: FieldSource,
}

/// The name and the fields of an event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventShape {
    /// The SSE event name; unused for the complete answer and the error body.
    pub name: String,
    /// The fields, in the order in which they are encoded.
    pub fields: Vec<EventField>,
}

/// A dialect that has not been validated yet; [`Dialect::new`](super::Dialect::new) validates it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DialectDefinition {
    /// The name by which a listener's settings select the dialect.
    pub name: String,
    /// The events of the dialect. An event that is not defined is not sent.
    pub events: BTreeMap<EventKind, EventShape>,
    /// Spellings that replace the default names of labels.
    pub labels: BTreeMap<Label, String>,
    /// The JSON path of each request field. A field without a path can only be sent as a header.
    pub request: BTreeMap<RequestField, JsonPath>,
}

/// An error in a dialect definition.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DialectError {
    /// A required event is not defined.
    #[error("event '{0}' is missing")]
    MissingEvent(&'static str),
    /// The name of an event is empty or contains a line break, so that it can't be sent in a stream.
    #[error("event '{kind}' has no name, or its name contains a line break")]
    InvalidName {
        /// The kind of the event.
        kind: &'static str,
    },
    /// Two events have the same name, so that clients could not distinguish them.
    #[error("events '{first}' and '{second}' have the same name")]
    DuplicateName {
        /// The kind of the first event.
        first: &'static str,
        /// The kind of the second event.
        second: &'static str,
    },
    /// A field refers to a value that events of this kind do not have.
    #[error("event '{kind}' has no value '{value}'")]
    UnsupportedValue {
        /// The kind of the event.
        kind: &'static str,
        /// The value.
        value: &'static str,
    },
    /// Two fields of an event have the same path, or the path of one leads through the other.
    #[error("event '{kind}': path '{path}' conflicts with another field")]
    PathConflict {
        /// The kind of the event.
        kind: &'static str,
        /// The path of the later field.
        path: String,
    },
    /// An event has no field for a value that clients depend on.
    #[error("event '{kind}' has no field for '{value}'")]
    MissingValue {
        /// The kind of the event.
        kind: &'static str,
        /// The value.
        value: &'static str,
    },
    /// A field that every request needs has no JSON path.
    #[error("request field '{0}' is missing")]
    MissingRequestField(&'static str),
    /// Two labels have the same spelling, so that clients could not distinguish them.
    #[error("two labels are spelt '{0}'")]
    DuplicateLabel(String),
}

/// Values that clients depend on, by the kind of event that has to contain them.
const REQUIRED_VALUES: [(EventKind, FieldValue); 4] = [
    (EventKind::TextDelta, FieldValue::Text),
    (EventKind::Answer, FieldValue::Text),
    (EventKind::Failed, FieldValue::Message),
    (EventKind::Error, FieldValue::RetryHarmless),
];

/// Request fields that every dialect has to define.
const REQUIRED_REQUEST_FIELDS: [RequestField; 3] =
    [RequestField::Model, RequestField::Messages, RequestField::MaxTokens];

impl DialectDefinition {
    /// The spelling of every label: that of the dialect, or else the label's name.
    pub(super) fn spelled_labels(&self) -> BTreeMap<Label, String> {
        let spelled = |label: Label| {
            let custom = self.labels.get(&label).cloned();
            custom.unwrap_or_else(|| label.name().to_owned())
        };
        Label::ALL.iter().map(|label| (*label, spelled(*label))).collect()
    }

    /// Validates the definition, except for single fields: their errors are reported by
    /// [`EventTemplate`](super::template::EventTemplate).
    pub(super) fn errors(&self) -> Vec<DialectError> {
        let mut errors = Vec::new();
        self.check_required_events(&mut errors);
        self.check_event_names(&mut errors);
        self.check_required_values(&mut errors);
        self.check_request_fields(&mut errors);
        self.check_labels(&mut errors);
        errors
    }

    fn check_required_events(&self, errors: &mut Vec<DialectError>) {
        for kind in EventKind::ALL {
            if kind.is_required() && !self.events.contains_key(kind) {
                errors.push(DialectError::MissingEvent(kind.name()));
            }
        }
    }

    fn check_event_names(&self, errors: &mut Vec<DialectError>) {
        let mut names: BTreeMap<&str, EventKind> = BTreeMap::new();
        for (kind, shape) in self.events.iter().filter(|(kind, _)| kind.in_stream()) {
            if shape.name.is_empty() || shape.name.contains(['\n', '\r']) {
                errors.push(DialectError::InvalidName { kind: kind.name() });
            } else if let Some(first) = names.insert(&shape.name, *kind) {
                errors.push(DialectError::DuplicateName { first: first.name(), second: kind.name() });
            }
        }
    }

    fn check_required_values(&self, errors: &mut Vec<DialectError>) {
        for (kind, value) in REQUIRED_VALUES {
            let source = FieldSource::Value(value);
            let lacks_value = |shape: &EventShape| shape.fields.iter().all(|field| field.source != source);
            if self.events.get(&kind).is_some_and(lacks_value) {
                errors.push(DialectError::MissingValue { kind: kind.name(), value: value.name() });
            }
        }
    }

    fn check_request_fields(&self, errors: &mut Vec<DialectError>) {
        for field in REQUIRED_REQUEST_FIELDS {
            if !self.request.contains_key(&field) {
                errors.push(DialectError::MissingRequestField(field.name()));
            }
        }
    }

    /// Checks that all labels differ: clients distinguish a rejection from a failure by its label alone.
    fn check_labels(&self, errors: &mut Vec<DialectError>) {
        let labels = self.spelled_labels();
        for (position, label) in Label::ALL.iter().enumerate() {
            let spelling = &labels[label];
            if Label::ALL[..position].iter().any(|earlier| labels[earlier] == *spelling) {
                errors.push(DialectError::DuplicateLabel(spelling.clone()));
            }
        }
    }
}
