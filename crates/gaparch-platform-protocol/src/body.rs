//! Bodies of HTTP/1.1 messages: framing, a decoder, and the encoding of chunks.

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// Maximum length of a request's body in the protocol, in bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// Maximum length of a line with a chunk's size and its extensions, or of a trailer's line, in bytes.
const MAX_LINE_BYTES: usize = 256;
/// Maximum length of a trailer in bytes.
const MAX_TRAILER_BYTES: usize = 4 * 1024;
/// Line terminator.
const CRLF: &[u8] = b"\r\n";

/// How the end of a body is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks and ends with a chunk of length 0.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Why the rest of a body can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The size of a chunk is malformed.
    #[error("a chunk whose size can't be read")]
    ChunkSize,
    /// A chunk exceeds the decoder's maximum length.
    #[error("a chunk of more bytes than a body may have")]
    ChunkTooLong,
    /// A chunk is not followed by a line terminator.
    #[error("a chunk that does not end where its size says")]
    ChunkEnd,
    /// The trailer is malformed or too long.
    #[error("a trailer without end")]
    Trailer,
}

/// The next part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Some bytes of the body.
    Data(Bytes),
    /// More bytes are needed.
    Incomplete,
    /// The body is complete; what follows in the buffer belongs to another message.
    End,
}

/// What the decoder expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This many more bytes of a body of known length.
    Remaining(u64),
    ChunkSize,
    /// This many more bytes of a chunk.
    Chunk(u64),
    ChunkEnd,
    /// A line of the trailer, of which this many bytes have been read.
    Trailer(usize),
    UntilClose,
    Complete,
}

/// Decodes a body incrementally, without buffering any of its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDecoder {
    state: State,
    /// Maximum length of a chunk in bytes.
    max_chunk: u64,
}

impl BodyDecoder {
    /// Creates a decoder whose chunks have at most [`MAX_BODY_BYTES`].
    pub fn new(framing: Framing) -> BodyDecoder {
        BodyDecoder::with_max_chunk(framing, MAX_BODY_BYTES)
    }

    /// Creates a decoder whose chunks have at most `max_chunk` bytes.
    pub fn with_max_chunk(framing: Framing, max_chunk: usize) -> BodyDecoder {
        let state = match framing {
            Framing::Length(0) => State::Complete,
            Framing::Length(length) => State::Remaining(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state, max_chunk: max_chunk as u64 }
    }

    /// Whether the body is complete if the connection ends now.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state, State::UntilClose | State::Complete)
    }

    /// Removes the next part of the body from the front of `buffer`.
    ///
    /// # Errors
    /// Returns an error if the framing is malformed. The rest of the message can't be decoded then.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<BodyPart, BodyError> {
        loop {
            match self.state {
                State::Complete => return Ok(BodyPart::End),
                _ if buffer.is_empty() => return Ok(BodyPart::Incomplete),
                State::UntilClose => return Ok(BodyPart::Data(buffer.split().freeze())),
                State::Remaining(remaining) => return Ok(self.decode_length(buffer, remaining)),
                State::Chunk(remaining) => return Ok(self.decode_chunk(buffer, remaining)),
                State::ChunkEnd => {
                    if !self.decode_chunk_end(buffer)? {
                        return Ok(BodyPart::Incomplete);
                    }
                }
                State::ChunkSize => {
                    if !self.decode_chunk_size(buffer)? {
                        return Ok(BodyPart::Incomplete);
                    }
                }
                State::Trailer(length) => {
                    if !self.decode_trailer_line(buffer, length)? {
                        return Ok(BodyPart::Incomplete);
                    }
                }
            }
        }
    }

    fn decode_length(&mut self, buffer: &mut BytesMut, remaining: u64) -> BodyPart {
        let (data, remaining) = split_up_to(buffer, remaining);
        self.state = if remaining == 0 { State::Complete } else { State::Remaining(remaining) };
        BodyPart::Data(data)
    }

    fn decode_chunk(&mut self, buffer: &mut BytesMut, remaining: u64) -> BodyPart {
        let (data, remaining) = split_up_to(buffer, remaining);
        self.state = if remaining == 0 { State::ChunkEnd } else { State::Chunk(remaining) };
        BodyPart::Data(data)
    }

    /// Decodes the end of a chunk. Returns `false` if more bytes are needed.
    fn decode_chunk_end(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
        if buffer.len() < CRLF.len() && buffer[0] == b'\r' {
            return Ok(false);
        }
        if !buffer.starts_with(CRLF) {
            return Err(BodyError::ChunkEnd);
        }
        buffer.advance(CRLF.len());
        self.state = State::ChunkSize;
        Ok(true)
    }

    /// Decodes the size of a chunk. Returns `false` if more bytes are needed.
    fn decode_chunk_size(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
        let line = split_line(buffer).map_err(|MalformedLine| BodyError::ChunkSize)?;
        let Some(line) = line else { return Ok(false) };
        self.state = match parse_chunk_size(&line, self.max_chunk)? {
            0 => State::Trailer(0),
            size => State::Chunk(size),
        };
        Ok(true)
    }

    /// Decodes a line of the trailer. Returns `false` if more bytes are needed.
    fn decode_trailer_line(&mut self, buffer: &mut BytesMut, length: usize) -> Result<bool, BodyError> {
        let line = split_line(buffer).map_err(|MalformedLine| BodyError::Trailer)?;
        let Some(line) = line else { return Ok(false) };
        let length = length + line.len();
        if length > MAX_TRAILER_BYTES {
            return Err(BodyError::Trailer);
        }
        self.state = if line.is_empty() { State::Complete } else { State::Trailer(length + CRLF.len()) };
        Ok(true)
    }
}

/// Splits at most `limit` bytes off the front of the buffer. Returns them, and how much of the limit is left.
fn split_up_to(buffer: &mut BytesMut, limit: u64) -> (Bytes, u64) {
    let length = usize::try_from(limit).unwrap_or(usize::MAX).min(buffer.len());
    (buffer.split_to(length).freeze(), limit - length as u64)
}

/// A line that is too long or does not end with CR LF.
struct MalformedLine;

/// Splits a line off the front of the buffer. Returns it without its terminator; `None` if it is incomplete.
fn split_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, MalformedLine> {
    let newline = buffer.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n');
    match newline {
        Some(at) if at > 0 && buffer[at - 1] == b'\r' => {
            let line = buffer.split_to(at - 1).freeze();
            buffer.advance(CRLF.len());
            Ok(Some(line))
        }
        Some(_) => Err(MalformedLine),
        None if buffer.len() >= MAX_LINE_BYTES => Err(MalformedLine),
        None => Ok(None),
    }
}

/// Parses the size of a chunk, and skips its extensions.
fn parse_chunk_size(line: &[u8], max: u64) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).map_err(|_| BodyError::ChunkSize)?.trim_end();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(BodyError::ChunkSize);
    }
    // The digits are valid, so the only possible error is an overflow.
    let size = u64::from_str_radix(digits, 16).map_err(|_| BodyError::ChunkTooLong)?;
    if size > max {
        return Err(BodyError::ChunkTooLong);
    }
    Ok(size)
}

/// Appends one chunk to `out`; nothing if `data` is empty, since an empty chunk would end the body.
pub fn encode_chunk(out: &mut BytesMut, data: &[u8]) {
    if !data.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        out.extend_from_slice(data);
        out.extend_from_slice(CRLF);
    }
}

/// The last chunk and an empty trailer, which end a body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
