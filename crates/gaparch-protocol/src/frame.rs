//! Framing common to the engine and the list protocol: a length, a kind, a body.

use crate::wire::Body;
use bytes::{Buf, BufMut, BytesMut};
use thiserror::Error;
use winnow::binary::{be_u32, u8};
use winnow::error::ErrMode;
use winnow::stream::Offset;
use winnow::token::take;
use winnow::{ModalResult, Parser, Partial};

/// Bytes that one frame may have after its length unless a receiver says otherwise: 4 MiB.
pub const DEFAULT_MAX_FRAME: usize = 4 << 20;

/// Why the bytes of a peer can't be taken. The connection they came on has to be closed: there is no way to
/// find the next frame.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length says more than the receiver takes.
    #[error("a frame of {length} bytes, at most {max} are taken")]
    Oversized { length: usize, max: usize },
    /// A length of zero: not even a kind.
    #[error("an empty frame")]
    Empty,
    /// The body is not what its kind says.
    #[error("a malformed frame of kind {kind}, {length} bytes")]
    Malformed { kind: u8, length: usize },
}

/// A kind of frame that can be written to and read from bytes.
pub trait Frame: Sized {
    /// The number that stands before the body.
    fn kind(&self) -> u8;

    /// Appends the body.
    fn put_body(&self, out: &mut BytesMut);

    /// Parses a whole body. Bytes left over are malformed.
    fn parse_body(kind: u8, body: &mut &[u8]) -> ModalResult<Self>;
}

/// Appends one frame.
pub fn encode<F: Frame>(frame: &F, out: &mut BytesMut) {
    let at = out.len();
    out.put_u32(0);
    out.put_u8(frame.kind());
    frame.put_body(out);
    let length = u32::try_from(out.len() - at - 4).unwrap_or(u32::MAX);
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

/// Splits a stream of bytes into frames, however it was cut on the way.
///
/// Holds at most one frame's bytes and what one read brought.
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: BytesMut,
    max: usize,
}

impl Default for FrameDecoder {
    fn default() -> Self {
        FrameDecoder::new(DEFAULT_MAX_FRAME)
    }
}

impl FrameDecoder {
    /// A decoder that takes frames of at most `max` bytes after the length.
    pub fn new(max: usize) -> Self {
        FrameDecoder { buffer: BytesMut::new(), max }
    }

    /// Where bytes that came in are to be appended.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Takes the next whole frame; `None` until more bytes came.
    ///
    /// # Errors
    /// See [`FrameError`]; after one the decoder is of no further use.
    pub fn next_frame<F: Frame>(&mut self) -> Result<Option<F>, FrameError> {
        let mut input = Partial::new(&self.buffer[..]);
        let (kind, body) = match split(&mut input, self.max) {
            Ok(Split::Frame(kind, body)) => (kind, body),
            Ok(Split::Bad(error)) => return Err(error),
            // Only ever incomplete: every split of lengths is legal up to here.
            Err(_) => return Ok(None),
        };
        let length = body.len() + 1;
        let used = input.offset_from(&Partial::new(&self.buffer[..]));
        let mut rest: Body<'_> = body;
        let frame = F::parse_body(kind, &mut rest)
            .ok()
            .filter(|_| rest.is_empty())
            .ok_or(FrameError::Malformed { kind, length })?;
        self.buffer.advance(used);
        Ok(Some(frame))
    }
}

enum Split<'a> {
    Frame(u8, &'a [u8]),
    Bad(FrameError),
}

fn split<'a>(
    input: &mut Partial<&'a [u8]>,
    max: usize,
) -> Result<Split<'a>, ErrMode<winnow::error::ContextError>> {
    let length = usize::try_from(be_u32(input)?).unwrap_or(usize::MAX);
    if length > max {
        return Ok(Split::Bad(FrameError::Oversized { length, max }));
    }
    if length == 0 {
        return Ok(Split::Bad(FrameError::Empty));
    }
    let kind = u8(input)?;
    let body = take(length - 1).parse_next(input)?;
    Ok(Split::Frame(kind, body))
}
