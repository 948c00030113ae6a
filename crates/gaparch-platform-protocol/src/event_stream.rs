//! A worker's stream of server-sent events. It is forwarded unchanged: only the ends of events, and the last event, are
//! looked for.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Longest event in bytes: some tokens, or the usage statistics at the end.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// The last event of a complete stream, without the blank line that ends it.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Why bytes are not a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EventStreamError {
    /// Something else than an event begins where one should.
    #[error("no event where one should begin")]
    NotAnEvent,
    /// An event does not end within the bound.
    #[error("an event of more than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// Events follow the last one.
    #[error("events after the last one")]
    AfterDone,
}

/// Splits a stream into runs of complete events. It holds the bytes of at most one incomplete event.
#[derive(Debug, Default)]
pub struct EventStream {
    incomplete: BytesMut,
    done: bool,
}

impl EventStream {
    /// Takes more bytes of the stream, and returns the events that are complete now as one run of bytes.
    ///
    /// # Errors
    /// When the bytes are not a stream of events.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Bytes>, EventStreamError> {
        self.incomplete.extend_from_slice(data);
        let mut complete = 0;
        while let Some(length) = first_event_length(&self.incomplete[complete..]) {
            let event = &self.incomplete[complete..complete + length];
            if self.done {
                return Err(EventStreamError::AfterDone);
            }
            if !may_begin_event(event) {
                return Err(EventStreamError::NotAnEvent);
            }
            self.done = event.trim_ascii_end() == DONE_EVENT;
            complete += length;
        }
        let rest = &self.incomplete[complete..];
        if !rest.is_empty() && !may_begin_event(rest) {
            return Err(EventStreamError::NotAnEvent);
        }
        if rest.len() > MAX_EVENT_BYTES {
            return Err(EventStreamError::TooLong);
        }
        Ok((complete > 0).then(|| self.incomplete.split_to(complete).freeze()))
    }

    /// Whether the last event has come, and nothing after it.
    pub fn is_complete(&self) -> bool {
        self.done && self.incomplete.is_empty()
    }
}

/// Returns the length of the first event with the blank line that ends it; `None` while it is incomplete.
fn first_event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    while let Some(length) = bytes[line_start..].iter().position(|byte| *byte == b'\n') {
        let next_line = line_start + length + 1;
        match bytes.get(next_line..) {
            Some([b'\n', ..]) => return Some(next_line + 1),
            Some([b'\r', b'\n', ..]) => return Some(next_line + 2),
            _ => line_start = next_line,
        }
    }
    None
}

/// Whether an event may begin with these bytes, which may end within its field name.
fn may_begin_event(bytes: &[u8]) -> bool {
    let field_names = [b"data:".as_slice(), b"event:", b"id:", b"retry:", b":"];
    let agrees = |name: &[u8]| bytes.iter().zip(name).all(|(byte, expected)| byte == expected);
    field_names.into_iter().any(agrees)
}
