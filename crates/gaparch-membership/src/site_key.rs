//! The authentication of datagrams by the site's key.

use gaparch_protocol::fleet::{DecodeError, Message, MAX_DATAGRAM_BYTES};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

/// The length of an authentication tag in bytes: HMAC-SHA-256 truncated to its first half, as RFC 2104
/// allows.
pub const TAG_BYTES: usize = 16;

/// The site's shared key. Whoever has it can speak as any router.
#[derive(Clone)]
pub struct SiteKey(Hmac<Sha256>);

impl std::fmt::Debug for SiteKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Keys must not end up in logs.
        f.write_str("SiteKey(..)")
    }
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OpenError {
    /// It is longer than any router sends.
    #[error("the datagram is too long")]
    TooLong,
    /// Its tag does not fit: it was forged, damaged on its way, or sealed with another key.
    #[error("the authentication tag does not fit")]
    BadTag,
    /// It was sealed with the site's key, but is not a message.
    #[error("the datagram is malformed")]
    Malformed,
    /// It is of another version of the protocol.
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
    /// Makes a key of its bytes; `None` for an empty key.
    pub fn new(key: &[u8]) -> Option<SiteKey> {
        if key.is_empty() {
            return None;
        }
        Hmac::new_from_slice(key).ok().map(SiteKey)
    }

    /// Encodes a message with its tag; `None` if the datagram would be too long.
    pub fn seal(&self, message: &Message) -> Option<Vec<u8>> {
        let mut bytes = message.to_bytes();
        let tag = self.0.clone().chain_update(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag[..TAG_BYTES]);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Checks the tag of a datagram, and decodes its message.
    ///
    /// # Errors
    /// What is wrong with the datagram. Its content is not decoded before the tag is found right.
    pub fn open(&self, datagram: &[u8]) -> Result<Message, OpenError> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(OpenError::TooLong);
        }
        let (body, tag) = datagram.split_last_chunk::<TAG_BYTES>().ok_or(OpenError::BadTag)?;
        // In constant time: a forger learns nothing from how long it takes.
        self.0.clone().chain_update(body).verify_truncated_left(tag).map_err(|_| OpenError::BadTag)?;
        Ok(Message::from_bytes(body)?)
    }
}
