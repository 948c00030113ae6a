//! The two dialects that need no settings.

use super::dialect::{Dialect, DialectParts, EventKind, EventShape, Field, Path, RequestField};
use super::dialect::{Source, Value, Word};
use serde_json::Value as Json;

type Row = (EventKind, &'static str, &'static [(&'static str, Cell)]);

#[derive(Clone, Copy)]
enum Cell {
    Is(Value),
    /// JSON text, the same in every event.
    Fixed(&'static str),
}

use Cell::{Fixed, Is};

/// Our own names.
const OWN: &[Row] = &[
    (
        EventKind::Opened,
        "opened",
        &[("id", Is(Value::Id)), ("model", Is(Value::Model)), ("prompt_tokens", Is(Value::PromptTokens))],
    ),
    (EventKind::Part, "part", &[("text", Is(Value::Text))]),
    (
        EventKind::Usage,
        "usage",
        &[
            ("prompt_tokens", Is(Value::PromptTokens)),
            ("kept_tokens", Is(Value::KeptTokens)),
            ("output_tokens", Is(Value::OutputTokens)),
        ],
    ),
    (EventKind::Closed, "closed", &[("reason", Is(Value::StopReason))]),
    (
        EventKind::Failed,
        "failed",
        &[
            ("kind", Is(Value::ErrorKind)),
            ("message", Is(Value::Message)),
            ("retry_harmless", Is(Value::RetryHarmless)),
        ],
    ),
    (EventKind::KeepAlive, "waiting", &[]),
    (
        EventKind::Answer,
        "",
        &[
            ("id", Is(Value::Id)),
            ("model", Is(Value::Model)),
            ("text", Is(Value::Text)),
            ("reason", Is(Value::StopReason)),
            ("usage.prompt_tokens", Is(Value::PromptTokens)),
            ("usage.kept_tokens", Is(Value::KeptTokens)),
            ("usage.output_tokens", Is(Value::OutputTokens)),
        ],
    ),
    (
        EventKind::Error,
        "",
        &[
            ("kind", Is(Value::ErrorKind)),
            ("message", Is(Value::Message)),
            ("retry_harmless", Is(Value::RetryHarmless)),
        ],
    ),
];

/// The published names of the Messages API.
const MESSAGES: &[Row] = &[
    (
        EventKind::Opened,
        "message_start",
        &[
            ("type", Fixed("\"message_start\"")),
            ("message.id", Is(Value::Id)),
            ("message.type", Fixed("\"message\"")),
            ("message.role", Fixed("\"assistant\"")),
            ("message.content", Fixed("[]")),
            ("message.model", Is(Value::Model)),
            ("message.usage.input_tokens", Is(Value::PromptTokens)),
            ("message.usage.cache_read_input_tokens", Is(Value::KeptTokens)),
            ("message.usage.output_tokens", Is(Value::OutputTokens)),
        ],
    ),
    (
        EventKind::PartOpened,
        "content_block_start",
        &[
            ("type", Fixed("\"content_block_start\"")),
            ("index", Fixed("0")),
            ("content_block", Fixed("{\"type\":\"text\",\"text\":\"\"}")),
        ],
    ),
    (
        EventKind::Part,
        "content_block_delta",
        &[
            ("type", Fixed("\"content_block_delta\"")),
            ("index", Fixed("0")),
            ("delta.type", Fixed("\"text_delta\"")),
            ("delta.text", Is(Value::Text)),
        ],
    ),
    (
        EventKind::PartClosed,
        "content_block_stop",
        &[("type", Fixed("\"content_block_stop\"")), ("index", Fixed("0"))],
    ),
    (
        EventKind::Usage,
        "message_delta",
        &[
            ("type", Fixed("\"message_delta\"")),
            ("delta.stop_reason", Is(Value::StopReason)),
            ("usage.output_tokens", Is(Value::OutputTokens)),
        ],
    ),
    (EventKind::Closed, "message_stop", &[("type", Fixed("\"message_stop\""))]),
    (
        EventKind::Failed,
        "error",
        &[
            ("type", Fixed("\"error\"")),
            ("error.type", Is(Value::ErrorKind)),
            ("error.message", Is(Value::Message)),
            ("error.retry_harmless", Is(Value::RetryHarmless)),
        ],
    ),
    (EventKind::KeepAlive, "ping", &[("type", Fixed("\"ping\""))]),
    (
        EventKind::Answer,
        "",
        &[
            ("id", Is(Value::Id)),
            ("type", Fixed("\"message\"")),
            ("role", Fixed("\"assistant\"")),
            ("model", Is(Value::Model)),
            ("content[0].type", Fixed("\"text\"")),
            ("content[0].text", Is(Value::Text)),
            ("stop_reason", Is(Value::StopReason)),
            ("usage.input_tokens", Is(Value::PromptTokens)),
            ("usage.cache_read_input_tokens", Is(Value::KeptTokens)),
            ("usage.output_tokens", Is(Value::OutputTokens)),
        ],
    ),
    (
        EventKind::Error,
        "",
        &[
            ("type", Fixed("\"error\"")),
            ("error.type", Is(Value::ErrorKind)),
            ("error.message", Is(Value::Message)),
            ("error.retry_harmless", Is(Value::RetryHarmless)),
        ],
    ),
];

const MESSAGES_WORDS: &[(Word, &str)] = &[
    (Word::Finished, "end_turn"),
    (Word::MaxTokens, "max_tokens"),
    (Word::Invalid, "invalid_request_error"),
    (Word::Unauthorized, "authentication_error"),
    (Word::Refused, "overloaded_error"),
    (Word::Failed, "api_error"),
];

/// The same in both, but that the published API keeps what it does not know under `metadata`.
fn request_paths(extras: &str) -> impl Iterator<Item = (RequestField, String)> + '_ {
    RequestField::ALL.into_iter().map(move |field| {
        let name = field.as_str().replace('-', "_");
        let standard = matches!(
            field,
            RequestField::Model
                | RequestField::Messages
                | RequestField::System
                | RequestField::MaxTokens
                | RequestField::Stream
        );
        (field, if standard { name } else { format!("{extras}{name}") })
    })
}

fn parts(name: &str, rows: &[Row], words: &[(Word, &str)], extras: &str) -> DialectParts {
    let field = |(path, cell): &(&'static str, Cell)| {
        let source = match cell {
            Is(value) => Source::Value(*value),
            Fixed(json) => Source::Fixed(serde_json::from_str(json).unwrap_or(Json::Null)),
        };
        Some(Field { path: Path::parse(path)?, source })
    };
    let shape =
        |row: &Row| EventShape { name: row.1.to_owned(), fields: row.2.iter().filter_map(field).collect() };
    DialectParts {
        name: name.to_owned(),
        events: rows.iter().map(|row| (row.0, shape(row))).collect(),
        words: words.iter().map(|(word, text)| (*word, (*text).to_owned())).collect(),
        request: request_paths(extras).filter_map(|(f, p)| Some((f, Path::parse(&p)?))).collect(),
    }
}

impl DialectParts {
    /// Our own event names: opened, part, usage, closed, failed, waiting.
    pub fn own() -> DialectParts {
        parts("own", OWN, &[], "")
    }

    /// The Messages API's published event names.
    pub fn messages() -> DialectParts {
        parts("messages", MESSAGES, MESSAGES_WORDS, "metadata.")
    }
}

impl Dialect {
    /// The built-in dialects, by name.
    pub fn builtin(name: &str) -> Option<Dialect> {
        let parts = match name {
            "own" => DialectParts::own(),
            "messages" => DialectParts::messages(),
            _ => return None,
        };
        Dialect::new(parts).ok()
    }
}
