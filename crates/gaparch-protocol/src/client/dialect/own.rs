//! The dialect `own`: names that are specific to gaparch.

use super::builtin::BuiltinEvent;
use super::builtin::FieldContent::Value;
use super::names::{EventKind, FieldValue};

/// The events and their fields.
pub(super) const EVENTS: &[BuiltinEvent] = &[
    BuiltinEvent {
        kind: EventKind::MessageStart,
        name: "opened",
        fields: &[
            ("id", Value(FieldValue::Id)),
            ("model", Value(FieldValue::Model)),
            ("prompt_tokens", Value(FieldValue::PromptTokens)),
        ],
    },
    BuiltinEvent { kind: EventKind::TextDelta, name: "part", fields: &[("text", Value(FieldValue::Text))] },
    BuiltinEvent {
        kind: EventKind::Usage,
        name: "usage",
        fields: &[
            ("prompt_tokens", Value(FieldValue::PromptTokens)),
            ("kept_tokens", Value(FieldValue::CachedPromptTokens)),
            ("output_tokens", Value(FieldValue::OutputTokens)),
        ],
    },
    BuiltinEvent {
        kind: EventKind::MessageStop,
        name: "closed",
        fields: &[("reason", Value(FieldValue::StopReason))],
    },
    BuiltinEvent {
        kind: EventKind::Failed,
        name: "failed",
        fields: &[
            ("kind", Value(FieldValue::ErrorKind)),
            ("message", Value(FieldValue::Message)),
            ("retry_harmless", Value(FieldValue::RetryHarmless)),
        ],
    },
    BuiltinEvent { kind: EventKind::KeepAlive, name: "waiting", fields: &[] },
    BuiltinEvent {
        kind: EventKind::Answer,
        name: "",
        fields: &[
            ("id", Value(FieldValue::Id)),
            ("model", Value(FieldValue::Model)),
            ("text", Value(FieldValue::Text)),
            ("reason", Value(FieldValue::StopReason)),
            ("usage.prompt_tokens", Value(FieldValue::PromptTokens)),
            ("usage.kept_tokens", Value(FieldValue::CachedPromptTokens)),
            ("usage.output_tokens", Value(FieldValue::OutputTokens)),
        ],
    },
    BuiltinEvent {
        kind: EventKind::Error,
        name: "",
        fields: &[
            ("kind", Value(FieldValue::ErrorKind)),
            ("message", Value(FieldValue::Message)),
            ("retry_harmless", Value(FieldValue::RetryHarmless)),
        ],
    },
];
