//! Dialects as the settings write them down, and the checks that they have to pass.

use super::json_path::JsonPath;
use super::names::{EventKind, FieldValue, Label, RequestField};
use serde_json::Value as Json;
use std::collections::BTreeMap;
use thiserror::Error;

/// What a field holds.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldSource {
    /// A value of the event.
    Value(FieldValue),
    /// The same JSON in every event.
    Fixed(Json),
}

/// One field of an event.
#[derive(Clone, Debug, PartialEq)]
pub struct EventField {
    /// Where it stands in the event's JSON.
    pub path: JsonPath,
    /// What it holds.
    pub source: FieldSource,
}

/// The name and the fields of an event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventShape {
    /// The event's name in the stream; not used by the answer and the error body.
    pub name: String,
    /// The fields, in the order in which they are written.
    pub fields: Vec<EventField>,
}

/// A dialect as it is written down, not yet checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DialectDefinition {
    /// The name by which listeners choose it.
    pub name: String,
    /// The events that it has. An event that it lacks is not sent.
    pub events: BTreeMap<EventKind, EventShape>,
    /// Labels that it spells its own way.
    pub labels: BTreeMap<Label, String>,
    /// Where a request's fields stand; one that is not named can only be given as a header.
    pub request: BTreeMap<RequestField, JsonPath>,
}

/// What is wrong with a dialect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DialectError {
    /// An event that every dialect needs is not defined.
    #[error("event '{0}' is missing")]
    MissingEvent(&'static str),
    /// The name of an event can't be written to a stream.
    #[error("event '{kind}' has no name, or one with a line end")]
    InvalidName {
        /// The kind of the event.
        kind: &'static str,
    },
    /// A client could not tell two events apart.
    #[error("events '{first}' and '{second}' have the same name")]
    DuplicateName {
        /// The kind that comes first.
        first: &'static str,
        /// The kind that has the same name.
        second: &'static str,
    },
    /// A field holds a value that events of this kind don't have.
    #[error("event '{kind}': there is no '{value}' in it")]
    ForeignValue {
        /// The kind of the event.
        kind: &'static str,
        /// The value.
        value: &'static str,
    },
    /// Two fields of an event stand in the same place, or one inside the other.
    #[error("event '{kind}': the path '{path}' is taken by another field")]
    PathConflict {
        /// The kind of the event.
        kind: &'static str,
        /// The path of the later field.
        path: String,
    },
    /// An event lacks a value that clients can't do without.
    #[error("event '{kind}' lacks '{value}'")]
    MissingValue {
        /// The kind of the event.
        kind: &'static str,
        /// The value.
        value: &'static str,
    },
    /// A field that every request needs has no place in the JSON.
    #[error("request field '{0}' is missing")]
    MissingRequestField(&'static str),
    /// A client could not tell two labels apart.
    #[error("two words are spelt '{0}'")]
    DuplicateLabel(String),
}

/// Values that clients can't do without, by event.
const REQUIRED_VALUES: [(EventKind, FieldValue); 4] = [
    (EventKind::TextDelta, FieldValue::Text),
    (EventKind::Answer, FieldValue::Text),
    (EventKind::Failed, FieldValue::Message),
    (EventKind::Error, FieldValue::RetryHarmless),
];

/// Fields that every request needs.
const REQUIRED_REQUEST_FIELDS: [RequestField; 3] =
    [RequestField::Model, RequestField::Messages, RequestField::MaxTokens];

impl DialectDefinition {
    /// How each label is spelt.
    pub(super) fn spelled_labels(&self) -> BTreeMap<Label, String> {
        let spelled = |label: Label| {
            let own = self.labels.get(&label).cloned();
            own.unwrap_or_else(|| label.name().to_owned())
        };
        Label::ALL.iter().map(|label| (*label, spelled(*label))).collect()
    }

    /// All errors but those of single fields, which [`EventTemplate`](super::template::EventTemplate) reports.
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

    /// A client tells a rejection from a failure by its label alone.
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
