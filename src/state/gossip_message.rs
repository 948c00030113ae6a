//! The gossip message between routers: for each server four bytes of id and two of KV cache tokens,
//! little-endian.

use crate::api::ServerId;
use std::collections::BTreeMap;

/// Tokens in one unit of the message; servers with less are left out.
const TOKENS_PER_UNIT: f64 = 16.0;
/// The longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;
/// The bytes of one server.
const ENTRY_BYTES: usize = 6;

/// Encodes the KV cache tokens that this router has at each server, as many servers as the message
/// holds.
pub fn encode_gossip(kv_tokens: impl Iterator<Item = (ServerId, f64)>) -> Vec<u8> {
    let mut message = Vec::new();
    let reported = kv_tokens.filter(|(_, tokens)| *tokens >= TOKENS_PER_UNIT);
    for (server, tokens) in reported.take(MAX_MESSAGE_BYTES / ENTRY_BYTES) {
        let units = (tokens / TOKENS_PER_UNIT).min(f64::from(u16::MAX)) as u16;
        message.extend(server.0.to_le_bytes());
        message.extend(units.to_le_bytes());
    }
    message
}

/// Decodes the KV cache tokens of each server; an entry that was cut off is left out.
pub fn decode_gossip(message: &[u8]) -> BTreeMap<ServerId, f64> {
    let decode_entry = |entry: &[u8]| {
        let server = ServerId(u32::from_le_bytes([entry[0], entry[1], entry[2], entry[3]]));
        let units = u16::from_le_bytes([entry[4], entry[5]]);
        (server, f64::from(units) * TOKENS_PER_UNIT)
    };
    message.chunks_exact(ENTRY_BYTES).map(decode_entry).collect()
}
