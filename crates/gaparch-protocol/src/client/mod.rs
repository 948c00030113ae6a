//! The messages API: what a client asks, the events it gets, and the dialects that name them.
//!
//! `docs/protocols/client.md` describes it. Inside the program there is one set of events
//! ([`ClientEvent`]); a [`Dialect`] turns them into named JSON and back.

mod builtin;
mod dialect;
mod request;
mod sse;

pub use dialect::{
    Dialect, DialectError, DialectParts, EventKind, EventShape, Field, Path, RequestField, Source, Value,
    Word,
};
pub use request::{parse_request, Ask, AskError, HEADER_PREFIX, MAX_FIGURE, MAX_NAME};
pub use sse::{encode_event, SseDecoder, SseError, SseEvent};

/// Why an answer ended in good order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The engine had no more to say.
    Finished,
    /// The most that was asked for has been produced.
    MaxTokens,
}

/// What is wrong, as a client needs to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The request can't be understood.
    Invalid,
    /// No key, or one that is not known.
    Unauthorized,
    /// Nothing has been done; a retry is harmless.
    Refused,
    /// It may have been done, or part of it; nothing is promised.
    Failed,
}

/// What has been counted for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub prompt: u32,
    /// Prompt tokens that did not have to be read.
    pub kept: u32,
    pub output: u32,
}

/// What a client is told, in this order: opened, part opened, parts, part closed, usage, closed. A failed
/// event may end it anywhere; keep-alives may stand between any two.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    Opened { id: String, model: String, usage: Usage },
    PartOpened,
    Part { text: String },
    PartClosed,
    Usage { usage: Usage, reason: StopReason },
    Closed { reason: StopReason },
    Failed { kind: ErrorKind, message: String, retry_harmless: bool },
    KeepAlive,
}

impl ClientEvent {
    /// Nothing follows it.
    pub fn is_last(&self) -> bool {
        matches!(self, ClientEvent::Closed { .. } | ClientEvent::Failed { .. })
    }
}

/// A whole answer in one piece.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub id: String,
    pub model: String,
    pub text: String,
    pub usage: Usage,
    pub reason: StopReason,
}
