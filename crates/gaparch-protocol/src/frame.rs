//! The framing shared by the engine, list and operations protocols: length, kind and body.

use crate::wire::Body;
use bytes::{Buf, BufMut, BytesMut};
use thiserror::Error;
use winnow::binary::{be_u32, u8};
use winnow::error::ErrMode;
use winnow::stream::Offset;
use winnow::token::take;
use winnow::{ModalResult, Parser, Partial};

/// The size of the length that precedes each frame.
const LENGTH_BYTES: usize = 4;
/// The default for the maximum size in bytes of a frame, without its length: 4 MiB.
pub const DEFAULT_MAX_FRAME: usize = 4 << 20;

/// The reason why received bytes can't be decoded. The connection has to be closed, since the start of the
/// next frame is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The frame is larger than the receiver accepts.
    #[error("a frame of {length} bytes, at most {max} are taken")]
    Oversized {
        /// The stated size of the frame in bytes, without its length.
        length: usize,
        /// The maximum that the receiver accepts.
        max: usize,
    },
    /// The length is zero, so that the frame has no kind.
    #[error("an empty frame")]
    Empty,
    /// The kind is unknown, or the body is malformed.
    #[error("a malformed frame of kind {kind}, {length} bytes")]
    Malformed {
        /// The kind of the frame.
        kind: u8,
        /// The size of the kind and the body in bytes.
        length: usize,
    },
}

/// A frame of a protocol.
pub trait Frame: Sized {
    /// The number of the frame's kind, which precedes the body.
    fn kind(&self) -> u8;

    /// Appends the body.
    fn put_body(&self, out: &mut BytesMut);

    /// Parses a complete body. The caller rejects a body with unparsed bytes.
    ///
    /// # Errors
    /// If the kind is unknown or the body is malformed.
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

/// Incremental decoder of a stream of frames, which may arrive in chunks of any size.
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
    /// Creates a decoder that accepts frames of at most `max` bytes, without their length.
    pub fn new(max: usize) -> Self {
        FrameDecoder { buffer: BytesMut::new(), max }
    }

    /// The buffer to which the caller appends received bytes.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Returns the next complete frame; `None` if more bytes are needed.
    ///
    /// # Errors
    /// See [`FrameError`]; after an error the decoder must not be used any more.
    pub fn next_frame<F: Frame>(&mut self) -> Result<Option<F>, FrameError> {
        let mut input = Partial::new(&self.buffer[..]);
        let (kind, body) = match split(&mut input, self.max) {
            Ok(Split::Frame { kind, body }) => (kind, body),
            Ok(Split::Invalid(error)) => return Err(error),
            // The only possible error at this point is that more bytes are needed.
            Err(_) => return Ok(None),
        };
        let length = body.len() + 1;
        let consumed = input.offset_from(&Partial::new(&self.buffer[..]));
        let mut rest: Body<'_> = body;
        let frame = F::parse_body(kind, &mut rest)
            .ok()
            .filter(|_| rest.is_empty())
            .ok_or(FrameError::Malformed { kind, length })?;
        self.buffer.advance(consumed);
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
