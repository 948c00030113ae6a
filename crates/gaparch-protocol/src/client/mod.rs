//! The messages API: what a client requests, the events it gets, and the dialects that name them.
//!
//! `docs/protocols/client.md` describes it. Inside the program there is one set of events
//! ([`ClientEvent`]); a [`Dialect`] turns them into named JSON and back.

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

/// Why a complete answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The model ended the answer itself.
    Finished,
    /// The most tokens that the client asked for have been produced.
    MaxTokens,
}

/// The kind of an error, as a client needs to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The request can't be understood.
    Invalid,
    /// The request has no key, or one that is not known.
    Unauthorized,
    /// Nothing has been done; a retry is harmless.
    Rejected,
    /// The request may have run, or part of it; a retry may run it twice.
    Failed,
}

/// The tokens that were counted for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that were found in a KV cache and needed no prefill.
    pub cached_prompt_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
}

/// An event of a client's stream.
///
/// They come in the order of the variants: message start, content block start, text deltas, content block stop,
/// usage, message stop. A failed event may end the stream anywhere; keep-alives may stand between any two.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// The stream begins.
    MessageStart {
        /// The request's id.
        id: String,
        /// The model that the client asked for.
        model: String,
        /// What is known of its tokens so far.
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
        /// What is wrong, for people.
        message: String,
        /// Whether the client can retry without running the request twice.
        retry_harmless: bool,
    },
    /// Nothing but a sign that the connection is alive.
    KeepAlive,
}

impl ClientEvent {
    /// Whether nothing follows it in its stream.
    pub fn is_last(&self) -> bool {
        matches!(self, ClientEvent::MessageStop { .. } | ClientEvent::Failed { .. })
    }
}

/// A complete answer in one body.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The request's id.
    pub id: String,
    /// The model that the client asked for.
    pub model: String,
    /// The text of the answer.
    pub text: String,
    /// The tokens that were counted.
    pub usage: Usage,
    /// Why the answer ended.
    pub reason: StopReason,
}

/// The body of a response whose HTTP status is an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorBody {
    /// The kind of the error.
    pub kind: ErrorKind,
    /// What is wrong, for people.
    pub message: String,
    /// Whether the client can retry without running the request twice.
    pub retry_harmless: bool,
}
