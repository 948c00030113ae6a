//! A worker's stream of events, passed on as it is: only where one event ends and whether it was the last is looked at.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Bytes of one event: some tokens, or the figures at the end.
const MOST_EVENT: usize = 64 * 1024;
const LAST: &[u8] = b"data: [DONE]";

/// Why a stream is no stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EventError {
    #[error("no event where one should begin")]
    NoEvent,
    #[error("an event of more than {MOST_EVENT} bytes")]
    TooLong,
    #[error("events after the last one")]
    AfterLast,
}

/// Cuts a stream into runs of whole events.
#[derive(Debug, Default)]
pub struct Events {
    rest: BytesMut,
    done: bool,
}

impl Events {
    /// Takes more of the stream; returns the events that are whole now, as one run of bytes.
    ///
    /// # Errors
    /// When it is not a stream of events.
    pub fn take(&mut self, data: &[u8]) -> Result<Option<Bytes>, EventError> {
        self.rest.extend_from_slice(data);
        let mut whole = 0;
        while let Some(length) = event_length(&self.rest[whole..]) {
            let event = &self.rest[whole..whole + length];
            if self.done {
                return Err(EventError::AfterLast);
            }
            if !begins_like_event(event) {
                return Err(EventError::NoEvent);
            }
            self.done = event.trim_ascii_end() == LAST;
            whole += length;
        }
        let rest = &self.rest[whole..];
        if !rest.is_empty() && !begins_like_event(rest) {
            return Err(EventError::NoEvent);
        }
        if rest.len() > MOST_EVENT {
            return Err(EventError::TooLong);
        }
        Ok((whole > 0).then(|| self.rest.split_to(whole).freeze()))
    }

    /// The last event was seen, and nothing of another.
    pub fn is_whole(&self) -> bool {
        self.done && self.rest.is_empty()
    }
}

/// Length of the first event with the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(at) = bytes[from..].iter().position(|b| *b == b'\n') {
        let next = from + at + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => from = next,
        }
    }
    None
}

/// Whether bytes may be the beginning of an event, as far as they go.
fn begins_like_event(bytes: &[u8]) -> bool {
    let fits = |word: &[u8]| bytes.iter().zip(word).all(|(a, b)| a == b);
    [b"data:".as_slice(), b"event:", b"id:", b"retry:", b":"].into_iter().any(fits)
}
