//! The framing that the engine, list and operations protocols share: a length, a kind, a body.

use crate::wire::Body;
use bytes::{Buf, BufMut, BytesMut};
use thiserror::Error;
use winnow::binary::{be_u32, u8};
use winnow::error::ErrMode;
use winnow::stream::Offset;
use winnow::token::take;
use winnow::{ModalResult, Parser, Partial};

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;
/// The most bytes that a frame may have after its length unless a receiver says otherwise: 4 MiB.
pub const DEFAULT_MAX_FRAME: usize = 4 << 20;

/// Why the bytes of a peer can't be decoded. Their connection has to be closed: the start of the next frame is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The frame is longer than the receiver accepts.
    #[error("a frame of {length} bytes, at most {max} are taken")]
    Oversized {
        /// Bytes after the length, as it says.
        length: usize,
        /// The most that the receiver accepts.
        max: usize,
    },
    /// The length is zero, so that there is not even a kind.
    #[error("an empty frame")]
    Empty,
    /// The body is not what its kind says.
    #[error("a malformed frame of kind {kind}, {length} bytes")]
    Malformed {
        /// The kind.
        kind: u8,
        /// Bytes of the kind and the body.
        length: usize,
    },
}

/// A protocol's frames.
pub trait Frame: Sized {
    /// The number that stands before the body.
    fn kind(&self) -> u8;

    /// Appends the body.
    fn put_body(&self, out: &mut BytesMut);

    /// Parses a complete body. Bytes left over are malformed.
    ///
    /// # Errors
    /// When the body is not one of that kind.
    fn parse_body(kind: u8, body: &mut &[u8]) -> ModalResult<Self>;
}

/// Appends one frame.
pub fn encode<F: Frame>(frame: &F, out: &mut BytesMut) {
    let start = out.len();
    out.put_u32(0);
    out.put_u8(frame.kind());
    frame.put_body(out);
    let length = u32::try_from(out.len() - start - LENGTH_BYTES).unwrap_or(u32::MAX);
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Splits a stream of bytes into frames, wherever it was cut on the way.
///
/// It buffers at most one frame and the bytes of one read.
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
    /// A decoder that accepts frames of at most `max` bytes after the length.
    pub fn new(max: usize) -> Self {
        FrameDecoder { buffer: BytesMut::new(), max }
    }

    /// The buffer to which received bytes are appended.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Takes the next complete frame; `None` if more bytes are needed.
    ///
    /// # Errors
    /// See [`FrameError`]; after one the decoder is of no further use.
    pub fn next_frame<F: Frame>(&mut self) -> Result<Option<F>, FrameError> {
        let mut input = Partial::new(&self.buffer[..]);
        let (kind, body) = match split(&mut input, self.max) {
            Ok(Split::Frame { kind, body }) => (kind, body),
            Ok(Split::Invalid(error)) => return Err(error),
            // More bytes are needed: no other error is possible up to here.
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
    Frame { kind: u8, body: &'a [u8] },
    Invalid(FrameError),
}

fn split<'a>(
    input: &mut Partial<&'a [u8]>,
    max: usize,
) -> Result<Split<'a>, ErrMode<winnow::error::ContextError>> {
    let length = usize::try_from(be_u32(input)?).unwrap_or(usize::MAX);
    if length > max {
        return Ok(Split::Invalid(FrameError::Oversized { length, max }));
    }
    if length == 0 {
        return Ok(Split::Invalid(FrameError::Empty));
    }
    let kind = u8(input)?;
    let body = take(length - 1).parse_next(input)?;
    Ok(Split::Frame { kind, body })
}
