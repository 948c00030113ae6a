//! Server-sent events, as the WHATWG HTML standard defines their bytes (section 9.2).

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

/// Why a stream of events can't be read on.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SseError {
    #[error("an event of over {max} bytes")]
    Oversized { max: usize },
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

/// Splits a stream of bytes into events, however it was cut on the way.
#[derive(Debug)]
pub struct SseDecoder {
    buffer: BytesMut,
    event: SseEvent,
    lines: usize,
    max: usize,
}

impl SseDecoder {
    /// `max`: the most bytes of an event or of a line that are held.
    pub fn new(max: usize) -> Self {
        SseDecoder { buffer: BytesMut::new(), event: SseEvent::default(), lines: 0, max }
    }

    /// Takes bytes that came in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event; `None` until more bytes came.
    ///
    /// # Errors
    /// See [`SseError`]; after one the decoder is of no further use.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        loop {
            let whole = Partial::new(&self.buffer[..]);
            let mut input = whole;
            let Ok(line) = line(&mut input) else {
                return match self.buffer.len() > self.max {
                    true => Err(SseError::Oversized { max: self.max }),
                    false => Ok(None),
                };
            };
            let used = input.offset_from(&whole);
            let done = take_line(line, &mut self.event, &mut self.lines)?;
            self.buffer.advance(used);
            if self.event.data.len() > self.max {
                return Err(SseError::Oversized { max: self.max });
            }
            if done && std::mem::take(&mut self.lines) > 0 {
                return Ok(Some(std::mem::take(&mut self.event)));
            } else if done {
                self.event = SseEvent::default();
            }
        }
    }
}

/// A line without its end. The end must be there whole: a carriage return alone may be half of one.
fn line<'a>(input: &mut Partial<&'a [u8]>) -> Result<&'a [u8], ErrMode<ContextError>> {
    terminated(take_till(0.., [b'\r', b'\n']), line_ending).parse_next(input)
}

/// Whether the line ends an event.
fn take_line(line: &[u8], event: &mut SseEvent, lines: &mut usize) -> Result<bool, SseError> {
    if line.is_empty() {
        return Ok(true);
    }
    let text = std::str::from_utf8(line).map_err(|_| SseError::NotUtf8)?;
    let Ok((name, value)) = field(&mut &*text) else { return Ok(false) };
    match name {
        "event" => value.clone_into(&mut event.name),
        "data" => {
            if *lines > 0 {
                event.data.push('\n');
            }
            event.data.push_str(value);
            *lines += 1;
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
