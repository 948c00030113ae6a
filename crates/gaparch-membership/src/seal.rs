//! The message authentication code over each datagram.

use gaparch_protocol::fleet::{DecodeError, Message, MAX_DATAGRAM_BYTES};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Bytes of a code: HMAC-SHA-256 cut to its first half, as RFC 2104 allows.
pub const CODE: usize = 16;

/// The site's key. Whoever has it can speak as any router.
#[derive(Clone)]
pub struct SiteKey(Hmac<Sha256>);

impl std::fmt::Debug for SiteKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Keys must not end up in logs.
        f.write_str("SiteKey(..)")
    }
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// Longer than any router sends.
    TooLong,
    /// Forged, harmed on its way, or of another site.
    Forged,
    /// Sealed with the site's key, but no message.
    Malformed,
    /// Of a newer version of the program.
    Version(u8),
}

impl SiteKey {
    /// `None` for a key that the code can't take: an empty one.
    pub fn new(key: &[u8]) -> Option<SiteKey> {
        (!key.is_empty()).then(|| Hmac::new_from_slice(key).ok()).flatten().map(SiteKey)
    }

    /// The datagram of a message; `None` if it would be too long.
    pub fn seal(&self, message: &Message) -> Option<Vec<u8>> {
        let mut bytes = message.to_bytes();
        let code = self.0.clone().chain_update(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&code[..CODE]);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// # Errors
    /// What is wrong with it. Nothing in it is looked at before the code is found right.
    pub fn open(&self, datagram: &[u8]) -> Result<Message, Rejected> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(Rejected::TooLong);
        }
        let (body, code) = datagram.split_last_chunk::<CODE>().ok_or(Rejected::Forged)?;
        // In constant time: a forger learns nothing from how long it takes.
        self.0.clone().chain_update(body).verify_truncated_left(code).map_err(|_| Rejected::Forged)?;
        Message::from_bytes(body).map_err(|e| match e {
            DecodeError::Malformed => Rejected::Malformed,
            DecodeError::UnsupportedVersion(version) => Rejected::Version(version),
        })
    }
}
