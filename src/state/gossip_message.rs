//! The wire format of gossip messages between routers: per server a four-byte id and a two-byte count of KV
//! cache tokens, both little-endian.

use crate::api::ServerId;
use std::collections::BTreeMap;

/// Tokens per unit of the encoded count; servers with fewer are left out.
const TOKENS_PER_UNIT: f64 = 16.0;
/// The maximum message size, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;
/// The encoded size of one server, in bytes.
const ENTRY_BYTES: usize = 6;

/// Encodes the KV cache tokens that this router has on each server; servers beyond the maximum message size
/// are left out.
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

/// Decodes the KV cache tokens per server; an incomplete last entry is ignored.
pub fn decode_gossip(message: &[u8]) -> BTreeMap<ServerId, f64> {
    let decode_entry = |entry: &[u8]| {
        let server = ServerId(u32::from_le_bytes([entry[0], entry[1], entry[2], entry[3]]));
        let units = u16::from_le_bytes([entry[4], entry[5]]);
        (server, f64::from(units) * TOKENS_PER_UNIT)
    };
    message.chunks_exact(ENTRY_BYTES).map(decode_entry).collect()
}
