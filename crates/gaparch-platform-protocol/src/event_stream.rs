//! A worker's stream of server-sent events. It is forwarded unchanged, so only the ends of events and the
//! last event are detected.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Maximum length of an event in bytes: some tokens, or the usage statistics at the end.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;
/// The last event of a complete stream, without the blank line that terminates it.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Why bytes are not a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EventStreamError {
    /// Bytes that can't begin an event stand where one is expected.
    #[error("bytes that do not begin an event")]
    NotAnEvent,
    /// An event exceeds the maximum length.
    #[error("an event of more than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// Events follow the last one.
    #[error("events after the last one")]
    AfterDone,
}

/// The start of an incomplete block that was taken out by [`EventStream::take_start`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TakenStart {
    bytes: usize,
    has_data: bool,
}

/// Bytes of an incomplete block that are needed to detect its end: a line terminator before a blank line.
const LINE_END_BYTES: usize = 3;

/// The start of a block is taken out only if it is longer than this, so that the last event is still recognized.
const MAX_SHORT_BLOCK: usize = 512;

/// Splits a stream into runs of complete events. It buffers at most [`MAX_EVENT_BYTES`] of what is not a
/// complete event yet.
///
/// A block of lines without data, such as a comment that keeps a connection open, is no event: a client
/// ignores it. It is buffered and returned with the event that follows.
#[derive(Debug, Default)]
pub struct EventStream {
    /// Blocks without data, and an incomplete block.
    incomplete: BytesMut,
    /// Length of those blocks without data, which are not checked again.
    checked: usize,
    /// The start of the incomplete block, if it was taken out.
    taken: TakenStart,
    done: bool,
}

impl EventStream {
    /// Adds bytes of the stream, and returns the events that are complete now as one run of bytes.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a stream of events.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Bytes>, EventStreamError> {
        self.incomplete.extend_from_slice(data);
        let mut complete = 0;
        while let Some(length) = first_block_length(&self.incomplete[self.checked..]) {
            let block = &self.incomplete[self.checked..self.checked + length];
            if self.done {
                return Err(EventStreamError::AfterDone);
            }
            let taken = std::mem::take(&mut self.taken);
            if taken.bytes == 0 && !may_begin_block(block) {
                return Err(EventStreamError::NotAnEvent);
            }
            self.checked += length;
            if taken.has_data || has_data(block) {
                self.done = taken.bytes == 0 && block.trim_ascii_end() == DONE_EVENT;
                complete = self.checked;
            }
        }
        let rest = &self.incomplete[self.checked..];
        if self.taken.bytes == 0 && !rest.is_empty() && !may_begin_block(rest) {
            return Err(EventStreamError::NotAnEvent);
        }
        if self.taken.bytes + self.incomplete.len() - complete > MAX_EVENT_BYTES {
            return Err(EventStreamError::TooLong);
        }
        self.checked -= complete;
        let events = (complete > 0).then(|| self.incomplete.split_to(complete).freeze());
        if self.incomplete.is_empty() {
            // An empty buffer would keep the memory of the events that were split off.
            self.incomplete = BytesMut::new();
        }
        Ok(events)
    }

    /// Takes out what is buffered: blocks without data and the start of an incomplete event, so that a long event
    /// need not be buffered. The bytes belong before those that [`EventStream::push`] returns next.
    pub fn take_start(&mut self) -> Bytes {
        let block = &self.incomplete[self.checked..];
        let is_long = self.taken.bytes > 0 || block.len() > MAX_SHORT_BLOCK;
        let taken = if is_long { block.len().saturating_sub(LINE_END_BYTES) } else { 0 };
        self.taken.has_data |= has_data(&block[..taken]);
        self.taken.bytes += taken;
        let start = self.incomplete.split_to(self.checked + taken).freeze();
        self.checked = 0;
        // The rest would share the memory of what was taken out.
        self.incomplete = BytesMut::from(&self.incomplete[..]);
        start
    }

    /// Whether the start of an event, with some of its data, was taken out, and its end has not arrived.
    pub fn is_part_taken(&self) -> bool {
        self.taken.has_data
    }

    /// Returns the number of bytes that are buffered because their event is incomplete.
    pub fn buffered_bytes(&self) -> usize {
        self.incomplete.len()
    }

    /// Whether the last event has arrived, and nothing after it.
    pub fn is_complete(&self) -> bool {
        self.done && self.incomplete.is_empty() && self.taken.bytes == 0
    }
}

/// Returns the length of the first block of lines, with its terminating blank line; `None` while it is
/// incomplete.
fn first_block_length(bytes: &[u8]) -> Option<usize> {
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

/// Whether a block has a line with data, which makes it an event.
fn has_data(block: &[u8]) -> bool {
    block
        .split(|byte| *byte == b'\n')
        .any(|line| line.starts_with(b"data:") || line.trim_ascii_end() == b"data")
}

/// Whether a block may begin with these bytes, which may be only a part of its first field's name.
fn may_begin_block(bytes: &[u8]) -> bool {
    let field_names = [b"data:".as_slice(), b"event:", b"id:", b"retry:", b":"];
    let is_compatible = |name: &[u8]| bytes.iter().zip(name).all(|(byte, expected)| byte == expected);
    field_names.into_iter().any(is_compatible)
}
