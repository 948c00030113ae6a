//! Helpers that convert between bytes and hex digits.

use std::fmt::Write;

pub fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text.chars().map(|digit| digit.to_digit(16).expect("a hex digit")).collect();
    digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect()
}

#[track_caller]
pub fn assert_bytes(bytes: &[u8], pinned: &str) {
    let mut hex = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        write!(hex, "{byte:02x}").expect("writing to a string succeeds");
    }
    assert_eq!(hex, pinned);
}
