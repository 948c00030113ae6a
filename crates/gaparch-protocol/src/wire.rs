//! Encoding of the values that the protocols share: big-endian numbers, bounded strings, optional values and
//! lists.

use bytes::{BufMut, BytesMut};
use winnow::binary::{be_f64, be_u16, be_u32, be_u64, u8};
use winnow::combinator::{cond, repeat};
use winnow::error::{ContextError, ErrMode};
use winnow::token::take;
use winnow::{ModalResult, Parser};

/// The unparsed rest of a frame's body. The body is complete, so that a missing byte is an error.
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
        let is_present = flag(input)?;
        cond(is_present, &mut value).parse_next(input)
    }
}

/// Parses a string of at most 65,535 bytes.
pub(crate) fn short_text(input: &mut Body<'_>) -> ModalResult<String> {
    let length = be_u16(input)?;
    utf8(usize::from(length), input)
}

/// Parses a string whose length is bounded only by that of its frame.
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

/// Parses any number, including NaN and infinity: the caller has to reject values that it does not accept.
pub(crate) fn f64_(input: &mut Body<'_>) -> ModalResult<f64> {
    be_f64(input)
}

pub(crate) fn put_optional<T>(out: &mut BytesMut, value: Option<T>, put: impl FnOnce(&mut BytesMut, T)) {
    out.put_u8(u8::from(value.is_some()));
    if let Some(value) = value {
        put(out, value);
    }
}

/// Appends a string of at most 65,535 bytes; a longer one is truncated after the last character that fits.
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

/// A value that has exactly one encoding.
pub trait Wire: Sized {
    /// Appends the encoding of the value.
    fn put(&self, out: &mut BytesMut);

    /// Parses a value at the start of the bytes and advances past it.
    ///
    /// # Errors
    /// If the bytes are malformed or end too early.
    fn take(body: &mut &[u8]) -> ModalResult<Self>;
}

/// Implements [`Wire`] for number types.
macro_rules! impl_wire_for_numbers {
    ($($type:ty, $put:ident, $take:ident;)*) => {$(
        impl Wire for $type {
            fn put(&self, out: &mut BytesMut) {
                out.$put(*self);
            }

            fn take(body: &mut &[u8]) -> ModalResult<Self> {
                $take(body)
            }
        }
    )*};
}

impl_wire_for_numbers! {
    u8, put_u8, u8;
    u16, put_u16, u16_;
    u32, put_u32, u32_;
    u64, put_u64, u64_;
    f64, put_f64, f64_;
}

impl Wire for bool {
    fn put(&self, out: &mut BytesMut) {
        out.put_u8(u8::from(*self));
    }

    fn take(body: &mut &[u8]) -> ModalResult<Self> {
        flag(body)
    }
}

/// The encoding is that of a short text, of at most 65,535 bytes.
impl Wire for String {
    fn put(&self, out: &mut BytesMut) {
        put_short_text(out, self);
    }

    fn take(body: &mut &[u8]) -> ModalResult<Self> {
        short_text(body)
    }
}

impl<T: Wire> Wire for Option<T> {
    fn put(&self, out: &mut BytesMut) {
        put_optional(out, self.as_ref(), |out, value| value.put(out));
    }

    fn take(body: &mut &[u8]) -> ModalResult<Self> {
        optional(T::take)(body)
    }
}

impl<T: Wire> Wire for Box<T> {
    fn put(&self, out: &mut BytesMut) {
        self.as_ref().put(out);
    }

    fn take(body: &mut &[u8]) -> ModalResult<Self> {
        T::take(body).map(Box::new)
    }
}

impl<T: Wire> Wire for Vec<T> {
    fn put(&self, out: &mut BytesMut) {
        out.put_u32(u32::try_from(self.len()).unwrap_or(u32::MAX));
        self.iter().for_each(|item| item.put(out));
    }

    fn take(body: &mut &[u8]) -> ModalResult<Self> {
        let count = usize::try_from(be_u32(body)?).unwrap_or(usize::MAX);
        // Every item takes at least one byte: a higher count is malformed and must not cause an allocation.
        if count > body.len() {
            return malformed();
        }
        repeat(count, T::take).parse_next(body)
    }
}

/// Defines a struct whose encoding is that of its fields, in the order of declaration.
macro_rules! record {
    ($(#[$meta:meta])* pub struct $name:ident { $($(#[$field_meta:meta])* pub $field:ident: $type:ty,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, serde::Serialize)]
        pub struct $name {
            $($(#[$field_meta])* pub $field: $type,)*
        }

        impl crate::wire::Wire for $name {
            fn put(&self, out: &mut bytes::BytesMut) {
                $(crate::wire::Wire::put(&self.$field, out);)*
            }

            fn take(body: &mut &[u8]) -> winnow::ModalResult<Self> {
                Ok($name { $($field: crate::wire::Wire::take(body)?,)* })
            }
        }
    };
}

/// Defines a fieldless enum whose variants are encoded as a number, and as a name in JSON and in output.
macro_rules! closed_set {
    ($(#[$meta:meta])* pub enum $name:ident {
        $($(#[$variant_meta:meta])* $variant:ident = $code:literal, $text:literal;)*
    }) => {
        crate::named_enum::named_enum! {
            $(#[$meta])*
            pub enum $name {
                $($(#[$variant_meta])* $variant = $text,)*
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(self.name())
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(self.name())
            }
        }

        impl crate::wire::Wire for $name {
            fn put(&self, out: &mut bytes::BytesMut) {
                let code: u8 = match self {
                    $($name::$variant => $code,)*
                };
                crate::wire::Wire::put(&code, out);
            }

            fn take(body: &mut &[u8]) -> winnow::ModalResult<Self> {
                match <u8 as crate::wire::Wire>::take(body)? {
                    $($code => Ok($name::$variant),)*
                    _ => crate::wire::malformed(),
                }
            }
        }
    };
}

/// Defines an enum whose encoding is the number of the variant, followed by its fields.
macro_rules! choice {
    ($(#[$meta:meta])* pub enum $name:ident {
        $($(#[$variant_meta:meta])* $code:literal => $variant:ident { $($(#[$field_meta:meta])* $field:ident: $type:ty,)* },)*
    }) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, serde::Serialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum $name {
            $($(#[$variant_meta])* $variant { $($(#[$field_meta])* $field: $type,)* },)*
        }

        impl crate::wire::Wire for $name {
            fn put(&self, out: &mut bytes::BytesMut) {
                match self {
                    $($name::$variant { $($field,)* } => {
                        crate::wire::Wire::put(&($code as u8), out);
                        $(crate::wire::Wire::put($field, out);)*
                    })*
                }
            }

            fn take(body: &mut &[u8]) -> winnow::ModalResult<Self> {
                match <u8 as crate::wire::Wire>::take(body)? {
                    $($code => Ok($name::$variant { $($field: crate::wire::Wire::take(body)?,)* }),)*
                    _ => crate::wire::malformed(),
                }
            }
        }
    };
}

pub(crate) use {choice, closed_set, record};
