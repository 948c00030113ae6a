//! The messages API: requests of clients, the events of the answer, and the dialects that encode them.
//!
//! `docs/protocols/client.md` specifies it. Internally there is one set of events ([`ClientEvent`]); a
//! [`Dialect`] encodes them as JSON and decodes them.

mod dialect;
mod request;
mod sse;

pub use dialect::{
    Dialect, DialectDefinition, DialectError, EventField, EventKind, EventShape, FieldSource, FieldValue,
    JsonPath, Label, RequestField,
};
pub use request::{
    parse_request, MessageRequest, RequestError, HEADER_PREFIX, MAX_NAME_BYTES, MAX_TOKEN_COUNT,
};
pub use sse::{encode_event, SseDecoder, SseError, SseEvent};

/// The reason why a complete answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The model ended the answer itself.
    Finished,
    /// The maximum number of tokens that the client requested has been produced.
    MaxTokens,
}

/// The kind of an error, as a client has to distinguish it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The request is malformed.
    Invalid,
    /// The request has no API key, or an unknown one.
    Unauthorized,
    /// The request was not run; a retry is harmless.
    Rejected,
    /// The request may have run, at least in part; a retry may run it twice.
    Failed,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// The number of prompt tokens found in a KV cache, which needed no prefill.
    pub cached_prompt_tokens: u32,
    /// The number of tokens in the answer.
    pub output_tokens: u32,
}

/// An event of a client's stream.
///
/// Events are sent in the order of the variants: message start, content block start, text deltas, content
/// block stop, usage, message stop. A failed event may end the stream at any point; keep-alives may occur
/// between any two events.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// The stream begins.
    MessageStart {
        /// The request's id.
        id: String,
        /// The model that the client requested.
        model: String,
        /// The token counts that are known so far.
        usage: Usage,
    },
    /// The one block of content begins.
    ContentBlockStart,
    /// More text of the answer.
    TextDelta {
        /// The text.
        text: String,
    },
    /// The one block of content is complete.
    ContentBlockStop,
    /// Token counts of the complete answer.
    Usage {
        /// The counts.
        usage: Usage,
        /// Why the answer ended.
        reason: StopReason,
    },
    /// The stream ends and the answer is complete.
    MessageStop {
        /// Why the answer ended.
        reason: StopReason,
    },
    /// The stream ends with an error.
    Failed {
        /// The kind of the error.
        kind: ErrorKind,
        /// The human-readable error message.
        message: String,
        /// Whether the client can retry without running the request twice.
        retry_harmless: bool,
    },
    /// Carries no data; shows that the connection is alive.
    KeepAlive,
}

impl ClientEvent {
    /// Whether it is the last event of its stream.
    pub fn is_last(&self) -> bool {
        matches!(self, ClientEvent::MessageStop { .. } | ClientEvent::Failed { .. })
    }
}

/// A complete answer in one body.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The request's id.
    pub id: String,
    /// The model that the client requested.
    pub model: String,
    /// The text of the answer.
    pub text: String,
    /// The token counts.
    pub usage: Usage,
    /// Why the answer ended.
    pub reason: StopReason,
}

/// The body of an HTTP error response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorBody {
    /// The kind of the error.
    pub kind: ErrorKind,
    /// The human-readable error message.
    pub message: String,
    /// Whether the client can retry without running the request twice.
    pub retry_harmless: bool,
}
