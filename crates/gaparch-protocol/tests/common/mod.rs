//! Assertions that values keep the bytes and the JSON that earlier versions wrote.
#![allow(dead_code)]

use bytes::BytesMut;
use gaparch_protocol::frame::{encode, Frame};
use gaparch_protocol::ops::{from_bytes, to_bytes};
use gaparch_protocol::{FrameDecoder, Wire};
use serde::Serialize;
use std::fmt::{Debug, Write};

pub fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a string does not fail");
    }
    text
}

pub fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text.chars().map(|digit| digit.to_digit(16).expect("a hex digit")).collect();
    digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect()
}

/// Asserts that the frame is encoded as exactly these bytes, and that they are decoded as the frame.
#[track_caller]
pub fn assert_frame<F: Frame + PartialEq + Debug>(frame: &F, pinned: &str) {
    let mut bytes = BytesMut::new();
    encode(frame, &mut bytes);
    assert_eq!(hex(&bytes), pinned, "{frame:?}");
    let mut decoder = FrameDecoder::default();
    decoder.buffer().extend_from_slice(&unhex(pinned));
    let decoded = decoder.next_frame::<F>();
    assert_eq!(decoded.ok().flatten().as_ref(), Some(frame));
    assert_eq!(decoder.next_frame::<F>(), Ok(None), "{frame:?}");
}

/// Asserts that the record is encoded as exactly these bytes, and that they are decoded as the record.
#[track_caller]
pub fn assert_record<R: Wire + PartialEq + Debug>(record: &R, pinned: &str) {
    assert_eq!(hex(&to_bytes(record)), pinned, "{record:?}");
    assert_eq!(from_bytes::<R>(&unhex(pinned)).as_ref(), Some(record));
}

/// Asserts that the record is serialized as exactly this JSON, which operators' scripts read.
#[track_caller]
pub fn assert_json<R: Serialize>(record: &R, pinned: &str) {
    assert_eq!(serde_json::to_string(record).expect("a record is serializable"), pinned);
}

/// Asserts that the text is exactly the pinned one.
#[track_caller]
pub fn assert_text(text: &str, pinned: &str) {
    assert_eq!(text, pinned);
}
