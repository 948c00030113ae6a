//! Authentication of datagrams with the site's shared key.

use gaparch_protocol::fleet::{DecodeError, Message, MAX_DATAGRAM_BYTES};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

/// The length of an authentication tag in bytes: HMAC-SHA-256 truncated to its first half, as RFC 2104
/// allows.
pub const TAG_BYTES: usize = 16;

/// The site's shared key. Whoever has it can send messages in the name of any router.
#[derive(Clone)]
pub struct SiteKey(Hmac<Sha256>);

impl std::fmt::Debug for SiteKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Keys must not end up in logs.
        f.write_str("SiteKey(..)")
    }
}

/// The reason why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OpenError {
    /// It is longer than any datagram that a router sends.
    #[error("the datagram is too long")]
    TooLong,
    /// Its authentication tag does not match: it was forged, damaged in transit, or sealed with another key.
    #[error("the authentication tag does not match")]
    BadTag,
    /// It was sealed with the site's key, but its content is not a valid message.
    #[error("the datagram is malformed")]
    Malformed,
    /// It has another version of the protocol.
    #[error("unsupported protocol version {0}")]
    UnsupportedVersion(u8),
}

impl From<DecodeError> for OpenError {
    fn from(error: DecodeError) -> OpenError {
        match error {
            DecodeError::Malformed => OpenError::Malformed,
            DecodeError::UnsupportedVersion(version) => OpenError::UnsupportedVersion(version),
        }
    }
}

impl SiteKey {
    /// Creates a key from its bytes; `None` if there are none.
    pub fn new(key: &[u8]) -> Option<SiteKey> {
        if key.is_empty() {
            return None;
        }
        Hmac::new_from_slice(key).ok().map(SiteKey)
    }

    /// Encodes a message and appends its tag; `None` if the datagram would be too long.
    pub fn seal(&self, message: &Message) -> Option<Vec<u8>> {
        let mut bytes = message.to_bytes();
        let tag = self.0.clone().chain_update(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag[..TAG_BYTES]);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Verifies the tag of a datagram, and decodes its message.
    ///
    /// # Errors
    /// If the datagram is not valid. Its content is decoded only after the tag has been verified.
    pub fn open(&self, datagram: &[u8]) -> Result<Message, OpenError> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(OpenError::TooLong);
        }
        let (body, tag) = datagram.split_last_chunk::<TAG_BYTES>().ok_or(OpenError::BadTag)?;
        // The comparison takes constant time, so that its duration reveals nothing to a forger.
        self.0.clone().chain_update(body).verify_truncated_left(tag).map_err(|_| OpenError::BadTag)?;
        Ok(Message::from_bytes(body)?)
    }
}
