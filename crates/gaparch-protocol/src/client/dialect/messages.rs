//! The dialect `messages`: the names of the published Messages API.

use super::builtin::BuiltinEvent;
use super::builtin::FieldContent::{Fixed, Value};
use super::names::{EventKind, FieldValue, Label};

/// The events and their fields.
pub(super) const EVENTS: &[BuiltinEvent] = &[
    BuiltinEvent {
        kind: EventKind::MessageStart,
        name: "message_start",
        fields: &[
            ("type", Fixed("\"message_start\"")),
            ("message.id", Value(FieldValue::Id)),
            ("message.type", Fixed("\"message\"")),
            ("message.role", Fixed("\"assistant\"")),
            ("message.content", Fixed("[]")),
            ("message.model", Value(FieldValue::Model)),
            ("message.usage.input_tokens", Value(FieldValue::PromptTokens)),
            ("message.usage.cache_read_input_tokens", Value(FieldValue::CachedPromptTokens)),
            ("message.usage.output_tokens", Value(FieldValue::OutputTokens)),
        ],
    },
    BuiltinEvent {
        kind: EventKind::ContentBlockStart,
        name: "content_block_start",
        fields: &[
            ("type", Fixed("\"content_block_start\"")),
            ("index", Fixed("0")),
            ("content_block", Fixed("{\"type\":\"text\",\"text\":\"\"}")),
        ],
    },
    BuiltinEvent {
        kind: EventKind::TextDelta,
        name: "content_block_delta",
        fields: &[
            ("type", Fixed("\"content_block_delta\"")),
            ("index", Fixed("0")),
            ("delta.type", Fixed("\"text_delta\"")),
            ("delta.text", Value(FieldValue::Text)),
        ],
    },
    BuiltinEvent {
        kind: EventKind::ContentBlockStop,
        name: "content_block_stop",
        fields: &[("type", Fixed("\"content_block_stop\"")), ("index", Fixed("0"))],
    },
    BuiltinEvent {
        kind: EventKind::Usage,
        name: "message_delta",
        fields: &[
            ("type", Fixed("\"message_delta\"")),
            ("delta.stop_reason", Value(FieldValue::StopReason)),
            ("usage.output_tokens", Value(FieldValue::OutputTokens)),
        ],
    },
    BuiltinEvent {
        kind: EventKind::MessageStop,
        name: "message_stop",
        fields: &[("type", Fixed("\"message_stop\""))],
    },
    BuiltinEvent {
        kind: EventKind::Failed,
        name: "error",
        fields: &[
            ("type", Fixed("\"error\"")),
            ("error.type", Value(FieldValue::ErrorKind)),
            ("error.message", Value(FieldValue::Message)),
            ("error.retry_harmless", Value(FieldValue::RetryHarmless)),
        ],
    },
    BuiltinEvent { kind: EventKind::KeepAlive, name: "ping", fields: &[("type", Fixed("\"ping\""))] },
    BuiltinEvent {
        kind: EventKind::Answer,
        name: "",
        fields: &[
            ("id", Value(FieldValue::Id)),
            ("type", Fixed("\"message\"")),
            ("role", Fixed("\"assistant\"")),
            ("model", Value(FieldValue::Model)),
            ("content[0].type", Fixed("\"text\"")),
            ("content[0].text", Value(FieldValue::Text)),
            ("stop_reason", Value(FieldValue::StopReason)),
            ("usage.input_tokens", Value(FieldValue::PromptTokens)),
            ("usage.cache_read_input_tokens", Value(FieldValue::CachedPromptTokens)),
            ("usage.output_tokens", Value(FieldValue::OutputTokens)),
        ],
    },
    BuiltinEvent {
        kind: EventKind::Error,
        name: "",
        fields: &[
            ("type", Fixed("\"error\"")),
            ("error.type", Value(FieldValue::ErrorKind)),
            ("error.message", Value(FieldValue::Message)),
            ("error.retry_harmless", Value(FieldValue::RetryHarmless)),
        ],
    },
];

/// The stop reasons and error types of the published API.
pub(super) const LABELS: &[(Label, &str)] = &[
    (Label::Finished, "end_turn"),
    (Label::MaxTokens, "max_tokens"),
    (Label::Invalid, "invalid_request_error"),
    (Label::Unauthorized, "authentication_error"),
    (Label::Rejected, "overloaded_error"),
    (Label::Failed, "api_error"),
];
