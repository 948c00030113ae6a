//! Operators' keys in files.

use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use thiserror::Error;

/// The length of the shortest key, in bytes.
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
    /// The file is readable by others, so that the key is no secret.
    #[error("others may read it (mode {mode:o}); chmod 600 it")]
    Open {
        /// The permission bits of the file.
        mode: u32,
    },
    /// The first line is too short.
    #[error("its first line is no key of {MIN_KEY_BYTES} bytes or more")]
    Short,
}

impl From<io::Error> for KeyError {
    fn from(error: io::Error) -> KeyError {
        match error.kind() {
            io::ErrorKind::NotFound => KeyError::Missing,
            _ => KeyError::Io(error),
        }
    }
}

/// The key in a file: its first line.
///
/// # Errors
/// When the file can't be read, others may read it too, or there is no key in it.
pub fn read_key(file: &Path) -> Result<String, KeyError> {
    let mode = std::fs::metadata(file)?.permissions().mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(KeyError::Open { mode });
    }
    let text = std::fs::read_to_string(file)?;
    let key = text.lines().next().unwrap_or_default().trim();
    if key.len() < MIN_KEY_BYTES {
        return Err(KeyError::Short);
    }
    Ok(key.to_owned())
}
