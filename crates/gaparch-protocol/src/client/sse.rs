//! Server-sent events, as defined in section 9.2 of the WHATWG HTML standard.

use bytes::{Buf, BufMut, BytesMut};
use thiserror::Error;
use winnow::ascii::line_ending;
use winnow::combinator::{opt, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::Offset;
use winnow::token::{take_till, take_while};
use winnow::{ModalResult, Parser, Partial};

/// One event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The event name; empty if the stream does not state one.
    pub name: String,
    /// The data lines, joined by line feeds.
    pub data: String,
}

/// The reason why the rest of a stream can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SseError {
    /// An event or a line is too long.
    #[error("event or line exceeds {max} bytes")]
    Oversized {
        /// The maximum length in bytes.
        max: usize,
    },
    /// A line is not valid UTF-8.
    #[error("line is not valid UTF-8")]
    NotUtf8,
}

/// Appends an event. Its data must be a single line, such as compact JSON.
pub fn encode_event(out: &mut BytesMut, name: &str, put_data: impl FnOnce(&mut BytesMut)) {
    if !name.is_empty() {
        out.put_slice(b"event: ");
        out.put_slice(name.as_bytes());
        out.put_u8(b'\n');
    }
    out.put_slice(b"data: ");
    put_data(out);
    out.put_slice(b"\n\n");
}

/// Incremental decoder of an event stream, which may arrive in chunks of any size.
#[derive(Debug)]
pub struct SseDecoder {
    buffer: BytesMut,
    event: SseEvent,
    /// The number of data lines of that event.
    data_lines: usize,
    /// The maximum length in bytes of an event's data and of a line.
    max: usize,
}

impl SseDecoder {
    /// Creates a decoder that accepts at most `max` bytes of data in an event and in a line.
    pub fn new(max: usize) -> Self {
        SseDecoder { buffer: BytesMut::new(), event: SseEvent::default(), data_lines: 0, max }
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event; `None` if more bytes are needed.
    ///
    /// # Errors
    /// See [`SseError`]; after an error the decoder must not be used any more.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        loop {
            let start = Partial::new(&self.buffer[..]);
            let mut input = start;
            let Ok(line) = line(&mut input) else {
                return match self.buffer.len() > self.max {
                    true => Err(SseError::Oversized { max: self.max }),
                    false => Ok(None),
                };
            };
            let consumed = input.offset_from(&start);
            let is_end = add_line(line, &mut self.event, &mut self.data_lines)?;
            self.buffer.advance(consumed);
            if self.event.data.len() > self.max {
                return Err(SseError::Oversized { max: self.max });
            }
            if is_end {
                let event = std::mem::take(&mut self.event);
                // The standard requires that an event without data is discarded.
                if std::mem::take(&mut self.data_lines) > 0 {
                    return Ok(Some(event));
                }
            }
        }
    }
}

/// Parses a line and strips its line ending. A carriage return at the end of the input is incomplete, since a
/// line feed may follow.
fn line<'a>(input: &mut Partial<&'a [u8]>) -> Result<&'a [u8], ErrMode<ContextError>> {
    terminated(take_till(0.., [b'\r', b'\n']), line_ending).parse_next(input)
}

/// Adds a line to an event. Returns true if the line ends the event.
fn add_line(line: &[u8], event: &mut SseEvent, data_lines: &mut usize) -> Result<bool, SseError> {
    if line.is_empty() {
        return Ok(true);
    }
    let text = std::str::from_utf8(line).map_err(|_| SseError::NotUtf8)?;
    let Ok((name, value)) = field(&mut &*text) else { return Ok(false) };
    match name {
        "event" => value.clone_into(&mut event.name),
        "data" => {
            if *data_lines > 0 {
                event.data.push('\n');
            }
            event.data.push_str(value);
            *data_lines += 1;
        }
        // Comments have an empty field name; ids and retry times are not used.
        _ => {}
    }
    Ok(false)
}

fn field<'a>(input: &mut &'a str) -> ModalResult<(&'a str, &'a str)> {
    let name = take_while(0.., |c| c != ':').parse_next(input)?;
    let _ = opt(':').parse_next(input)?;
    let _ = opt(' ').parse_next(input)?;
    Ok((name, std::mem::take(input)))
}
