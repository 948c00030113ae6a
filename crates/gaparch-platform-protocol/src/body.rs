//! Bodies of HTTP/1.1 messages as their heads frame them.

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// Bytes of a body that the protocol states.
pub const MOST_BODY: usize = 256 * 1024;
/// A chunk's size with its extensions, or a line of a trailer.
const MOST_LINE: usize = 256;
/// Bytes of a trailer.
const MOST_TRAILER: usize = 4 * 1024;

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
}

/// Why the rest of a body can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    #[error("a chunk whose size can't be read")]
    Size,
    #[error("a chunk of more bytes than a body may have")]
    TooLarge,
    #[error("a chunk that does not end where its size says")]
    End,
    #[error("a trailer without end")]
    Trailer,
}

/// What the front of the bytes at hand holds of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    Data(Bytes),
    /// More bytes are wanted.
    Wait,
    /// It is whole; what follows in the buffer belongs to another message.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Left(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer(usize),
    UntilClose,
    Done,
}

/// Takes a body apart as its bytes come. It holds no bytes itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Body {
    state: State,
    /// Bytes of one chunk at most.
    most_chunk: u64,
}

impl Body {
    /// A body of the protocol's length.
    pub fn new(framing: Framing) -> Body {
        Body::within(framing, MOST_BODY)
    }

    /// A body whose chunks have at most so many bytes.
    pub fn within(framing: Framing, most_chunk: usize) -> Body {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Left(length),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Body { state, most_chunk: most_chunk as u64 }
    }

    pub fn is_whole(&self) -> bool {
        self.state == State::Done
    }

    /// The end of the connection ends it in good order.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state, State::UntilClose | State::Done)
    }

    /// Takes the next part off the front of `bytes`.
    ///
    /// # Errors
    /// When the framing makes no sense. Nothing after that can be read.
    pub fn next(&mut self, bytes: &mut BytesMut) -> Result<Part, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(Part::End),
                _ if bytes.is_empty() => return Ok(Part::Wait),
                State::UntilClose => return Ok(Part::Data(bytes.split().freeze())),
                State::Left(left) => {
                    let (data, left) = take(bytes, left);
                    self.state = if left == 0 { State::Done } else { State::Left(left) };
                    return Ok(Part::Data(data));
                }
                State::Chunk(left) => {
                    let (data, left) = take(bytes, left);
                    self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
                    return Ok(Part::Data(data));
                }
                State::ChunkEnd => {
                    if bytes.len() < 2 && bytes[0] == b'\r' {
                        return Ok(Part::Wait);
                    }
                    if !bytes.starts_with(b"\r\n") {
                        return Err(BodyError::End);
                    }
                    bytes.advance(2);
                    self.state = State::Size;
                }
                State::Size => {
                    let Some(line) = line(bytes).map_err(|()| BodyError::Size)? else {
                        return Ok(Part::Wait);
                    };
                    self.state = match size(&line, self.most_chunk)? {
                        0 => State::Trailer(0),
                        size => State::Chunk(size),
                    };
                }
                State::Trailer(seen) => {
                    let Some(line) = line(bytes).map_err(|()| BodyError::Trailer)? else {
                        return Ok(Part::Wait);
                    };
                    let seen = seen + line.len();
                    if seen > MOST_TRAILER {
                        return Err(BodyError::Trailer);
                    }
                    self.state = if line.is_empty() { State::Done } else { State::Trailer(seen + 2) };
                }
            }
        }
    }
}

fn take(bytes: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let n = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
    (bytes.split_to(n).freeze(), left - n as u64)
}

/// A line without its end; `None` while it is not whole.
fn line(bytes: &mut BytesMut) -> Result<Option<Bytes>, ()> {
    match bytes.iter().take(MOST_LINE).position(|b| *b == b'\n') {
        Some(at) if at > 0 && bytes[at - 1] == b'\r' => {
            let line = bytes.split_to(at - 1).freeze();
            bytes.advance(2);
            Ok(Some(line))
        }
        Some(_) => Err(()),
        None if bytes.len() >= MOST_LINE => Err(()),
        None => Ok(None),
    }
}

/// A chunk's size; extensions are skipped.
fn size(line: &[u8], most: u64) -> Result<u64, BodyError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).map_err(|_| BodyError::Size)?.trim_end();
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(BodyError::Size);
    }
    // So many digits that they overflow are a size, but none that any body has.
    let size = u64::from_str_radix(digits, 16).map_err(|_| BodyError::TooLarge)?;
    if size > most {
        return Err(BodyError::TooLarge);
    }
    Ok(size)
}

/// Puts one chunk.
pub fn put_chunk(out: &mut BytesMut, data: &[u8]) {
    if !data.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        out.extend_from_slice(data);
        out.extend_from_slice(b"\r\n");
    }
}

/// The last chunk: the body is whole.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
