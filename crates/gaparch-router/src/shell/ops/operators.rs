//! Authenticates the operators of sessions.

use gaparch_config::{KeySource, Operations};
use gaparch_net::read_key;
use gaparch_protocol::ops::SessionRole;
use subtle::ConstantTimeEq;
use thiserror::Error;

/// An operator who authenticates with a key.
#[derive(Clone)]
pub(super) struct KnownOperator {
    pub name: String,
    pub role: SessionRole,
    pub key: Vec<u8>,
}

impl std::fmt::Debug for KnownOperator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Keeps the key out of logs.
        write!(f, "{} ({})", self.name, self.role)
    }
}

/// The operators of the settings.
pub(super) struct Operators {
    pub known: Vec<KnownOperator>,
    /// Event texts on operators that can't authenticate since their key can't be read.
    pub key_errors: Vec<String>,
}

impl Operators {
    /// Reads the keys. A key that can't be read does not prevent the router from starting.
    pub fn read(settings: &Operations) -> Operators {
        let mut operators = Operators { known: Vec::new(), key_errors: Vec::new() };
        for operator in &settings.operators {
            let role = if operator.may_change { SessionRole::ReadWrite } else { SessionRole::ReadOnly };
            let name = operator.name.clone();
            match load_key(&operator.key) {
                Ok(key) => operators.known.push(KnownOperator { name, role, key: key.into_bytes() }),
                Err(error) => {
                    operators.key_errors.push(format!("operator {name} can't come in by a key: {error}"));
                }
            }
        }
        operators
    }
}

/// Why the key of an operator can't be read.
#[derive(Debug, Error)]
#[error("key file {file}: {source}")]
struct KeyFileError {
    file: String,
    source: gaparch_net::KeyError,
}

fn load_key(source: &KeySource) -> Result<String, KeyFileError> {
    match source {
        KeySource::Text(key) => Ok(key.clone()),
        KeySource::File(file) => {
            read_key(file).map_err(|source| KeyFileError { file: file.display().to_string(), source })
        }
    }
}

/// Why a session is denied.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum AuthenticationError {
    /// No key was sent, and the connection is not on the local socket.
    #[error("a key is required")]
    KeyRequired,
    /// No operator has this key.
    #[error("the key is not known")]
    UnknownKey,
}

/// The operator of a session, and the role of the session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Identity {
    pub name: String,
    pub role: SessionRole,
}

/// The credentials in a client's hello frame.
pub(super) struct Credentials<'a> {
    pub key: Option<&'a str>,
    pub role: SessionRole,
    /// The operator's name, used if there is no key.
    pub name: &'a str,
}

/// Finds the operator of the key. Without a key only the local socket is accepted, with the name that the
/// client sends.
///
/// # Errors
/// If the key is missing or not known.
pub(super) fn authenticate(
    operators: &[KnownOperator],
    local: bool,
    credentials: &Credentials<'_>,
) -> Result<Identity, AuthenticationError> {
    let Some(key) = credentials.key else {
        if !local {
            return Err(AuthenticationError::KeyRequired);
        }
        let name = if credentials.name.is_empty() { "someone" } else { credentials.name };
        return Ok(Identity { name: name.to_owned(), role: credentials.role.min(SessionRole::ReadWrite) });
    };
    // Compares all keys, each in constant time, so that the duration reveals nothing about a key.
    let mut found = None;
    for operator in operators {
        if bool::from(operator.key.as_slice().ct_eq(key.as_bytes())) {
            found = Some(operator);
        }
    }
    let operator = found.ok_or(AuthenticationError::UnknownKey)?;
    Ok(Identity { name: operator.name.clone(), role: credentials.role.min(operator.role) })
}
