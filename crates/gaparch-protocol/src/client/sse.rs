//! Server-sent events, as the WHATWG HTML standard defines them (section 9.2).

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
    /// Empty where the stream names none.
    pub name: String,
    /// The lines of data, joined by line feeds.
    pub data: String,
}

/// Why the rest of a stream can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SseError {
    /// An event or a line is too long.
    #[error("an event of over {max} bytes")]
    Oversized {
        /// The most bytes that are accepted.
        max: usize,
    },
    /// A line is not text.
    #[error("a line that is not UTF-8")]
    NotUtf8,
}

/// Appends an event whose data is one line, as compact JSON is.
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

/// Splits a stream of bytes into events, wherever it was cut on the way.
#[derive(Debug)]
pub struct SseDecoder {
    buffer: BytesMut,
    event: SseEvent,
    /// Lines of data of that event.
    data_lines: usize,
    max: usize,
}

impl SseDecoder {
    /// A decoder that accepts at most `max` bytes of an event and of a line.
    pub fn new(max: usize) -> Self {
        SseDecoder { buffer: BytesMut::new(), event: SseEvent::default(), data_lines: 0, max }
    }

    /// Adds bytes that were received.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete event; `None` if more bytes are needed.
    ///
    /// # Errors
    /// See [`SseError`]; after one the decoder is of no further use.
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
            let used = input.offset_from(&start);
            let is_end = add_line(line, &mut self.event, &mut self.data_lines)?;
            self.buffer.advance(used);
            if self.event.data.len() > self.max {
                return Err(SseError::Oversized { max: self.max });
            }
            if is_end {
                let event = std::mem::take(&mut self.event);
                // An event without data is discarded, as the standard says.
                if std::mem::take(&mut self.data_lines) > 0 {
                    return Ok(Some(event));
                }
            }
        }
    }
}

/// A line without its end. A carriage return at the end of the input is incomplete: a line feed may follow.
fn line<'a>(input: &mut Partial<&'a [u8]>) -> Result<&'a [u8], ErrMode<ContextError>> {
    terminated(take_till(0.., [b'\r', b'\n']), line_ending).parse_next(input)
}

/// Adds a line to an event. True if the line ends the event.
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
        // Comments have an empty name; ids and retry times are of no use here.
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
