//! Reads secret keys from files.

use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use thiserror::Error;

/// The minimum length of a key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Why a key file can't be used.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The file does not exist.
    #[error("there is no such file")]
    Missing,
    /// The file can't be read.
    #[error(transparent)]
    Io(io::Error),
    /// The file's mode gives access to its group or to others, so the key isn't secret.
    #[error("others may read it (mode {mode:o}); chmod 600 it")]
    ReadableByOthers {
        /// The permission bits of the file.
        mode: u32,
    },
    /// The first line is shorter than [`MIN_KEY_BYTES`].
    #[error("its first line is no key of {MIN_KEY_BYTES} bytes or more")]
    TooShort,
}

impl From<io::Error> for KeyError {
    fn from(error: io::Error) -> KeyError {
        match error.kind() {
            io::ErrorKind::NotFound => KeyError::Missing,
            _ => KeyError::Io(error),
        }
    }
}

/// Reads the key from the first line of a file, without surrounding whitespace.
///
/// # Errors
/// When the file can't be read, its mode gives access to its group or to others, or the key is too short.
pub fn read_key(file: &Path) -> Result<String, KeyError> {
    let mode = std::fs::metadata(file)?.permissions().mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(KeyError::ReadableByOthers { mode });
    }
    let text = std::fs::read_to_string(file)?;
    let key = text.lines().next().unwrap_or_default().trim();
    if key.len() < MIN_KEY_BYTES {
        return Err(KeyError::TooShort);
    }
    Ok(key.to_owned())
}
