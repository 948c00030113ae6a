//! Primitives shared by the framed protocols: big-endian numbers, bounded texts, optional values.

use bytes::{BufMut, BytesMut};
use winnow::binary::{be_f64, be_u16, be_u32, be_u64, u8};
use winnow::combinator::{cond, repeat};
use winnow::error::{ContextError, ErrMode};
use winnow::token::take;
use winnow::{ModalResult, Parser};

/// The body of one frame; it is whole, so a missing byte is an error and not a wait.
pub(crate) type Body<'a> = &'a [u8];

pub(crate) fn malformed<T>() -> ModalResult<T> {
    Err(ErrMode::Cut(ContextError::new()))
}

pub(crate) fn flag(input: &mut Body<'_>) -> ModalResult<bool> {
    match u8(input)? {
        0 => Ok(false),
        1 => Ok(true),
        _ => malformed(),
    }
}

pub(crate) fn optional<'a, T>(
    mut value: impl FnMut(&mut Body<'a>) -> ModalResult<T>,
) -> impl FnMut(&mut Body<'a>) -> ModalResult<Option<T>> {
    move |input| {
        let some = flag(input)?;
        cond(some, &mut value).parse_next(input)
    }
}

/// A text of at most 65,535 bytes.
pub(crate) fn short_text(input: &mut Body<'_>) -> ModalResult<String> {
    let length = be_u16(input)?;
    utf8(usize::from(length), input)
}

/// A text bounded by its frame.
pub(crate) fn long_text(input: &mut Body<'_>) -> ModalResult<String> {
    let length = be_u32(input)?;
    utf8(usize::try_from(length).unwrap_or(usize::MAX), input)
}

fn utf8(length: usize, input: &mut Body<'_>) -> ModalResult<String> {
    let bytes = take(length).parse_next(input)?;
    match std::str::from_utf8(bytes) {
        Ok(text) => Ok(text.to_owned()),
        Err(_) => malformed(),
    }
}

pub(crate) fn many<'a, T>(
    item: impl FnMut(&mut Body<'a>) -> ModalResult<T>,
    input: &mut Body<'a>,
) -> ModalResult<Vec<T>> {
    let count = be_u16(input)?;
    repeat(usize::from(count), item).parse_next(input)
}

pub(crate) fn u16_(input: &mut Body<'_>) -> ModalResult<u16> {
    be_u16(input)
}

pub(crate) fn u32_(input: &mut Body<'_>) -> ModalResult<u32> {
    be_u32(input)
}

pub(crate) fn u64_(input: &mut Body<'_>) -> ModalResult<u64> {
    be_u64(input)
}

/// Any number at all: whether it makes sense is for whoever uses it to judge.
pub(crate) fn f64_(input: &mut Body<'_>) -> ModalResult<f64> {
    be_f64(input)
}

pub(crate) fn put_optional<T>(out: &mut BytesMut, value: Option<T>, put: impl FnOnce(&mut BytesMut, T)) {
    out.put_u8(u8::from(value.is_some()));
    if let Some(value) = value {
        put(out, value);
    }
}

/// Cut at a character's edge where it is longer than a short text can be.
pub(crate) fn put_short_text(out: &mut BytesMut, text: &str) {
    let mut end = text.len().min(usize::from(u16::MAX));
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    out.put_u16(end as u16);
    out.put_slice(&text.as_bytes()[..end]);
}

pub(crate) fn put_long_text(out: &mut BytesMut, text: &str) {
    out.put_u32(u32::try_from(text.len()).unwrap_or(u32::MAX));
    out.put_slice(text.as_bytes());
}
