//! Who may open a session, and as what.

use gaparch_config::{KeySource, Operations};
use gaparch_net::read_key;
use gaparch_protocol::ops::SessionRole;
use subtle::ConstantTimeEq;
use thiserror::Error;

/// An operator who authenticates by a key.
#[derive(Clone)]
pub(super) struct KnownOperator {
    pub name: String,
    pub role: SessionRole,
    pub key: Vec<u8>,
}

impl std::fmt::Debug for KnownOperator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The key must not end up in logs.
        write!(f, "{} ({})", self.name, self.role)
    }
}

/// The operators of the settings.
pub(super) struct Operators {
    pub known: Vec<KnownOperator>,
    /// Operators that can't authenticate, and why, in words.
    pub locked_out: Vec<String>,
}

impl Operators {
    /// Reads the keys. One that is missing must not keep a router from routing.
    pub fn read(settings: &Operations) -> Operators {
        let mut operators = Operators { known: Vec::new(), locked_out: Vec::new() };
        for operator in &settings.operators {
            let role = if operator.may_change { SessionRole::ReadWrite } else { SessionRole::ReadOnly };
            let name = operator.name.clone();
            match key_of(&operator.key) {
                Ok(key) => operators.known.push(KnownOperator { name, role, key: key.into_bytes() }),
                Err(why) => {
                    operators.locked_out.push(format!("operator {name} can't come in by a key: {why}"));
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

fn key_of(source: &KeySource) -> Result<String, KeyFileError> {
    match source {
        KeySource::Text(key) => Ok(key.clone()),
        KeySource::File(file) => {
            read_key(file).map_err(|source| KeyFileError { file: file.display().to_string(), source })
        }
    }
}

/// Why a session is not opened.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum AuthenticationError {
    /// Only the local socket may be used without a key.
    #[error("a key is required")]
    KeyRequired,
    /// No operator has that key.
    #[error("the key is not known")]
    UnknownKey,
}

/// Who is at the other end of a session, and what they may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Identity {
    pub who: String,
    pub role: SessionRole,
}

/// What a client says in its hello.
pub(super) struct Claim<'a> {
    pub key: Option<&'a str>,
    pub role: SessionRole,
    pub who: &'a str,
}

/// With a key its operator; without one only whoever may open the local socket, by the name they give.
///
/// # Errors
/// When a key is missing or not known.
pub(super) fn authenticate(
    operators: &[KnownOperator],
    local: bool,
    claim: &Claim<'_>,
) -> Result<Identity, AuthenticationError> {
    let Some(key) = claim.key else {
        if !local {
            return Err(AuthenticationError::KeyRequired);
        }
        let who = if claim.who.is_empty() { "someone" } else { claim.who };
        return Ok(Identity { who: who.to_owned(), role: claim.role.min(SessionRole::ReadWrite) });
    };
    // All keys are compared, each in constant time: how long it takes tells nothing of a key.
    let mut found = None;
    for operator in operators {
        if bool::from(operator.key.as_slice().ct_eq(key.as_bytes())) {
            found = Some(operator);
        }
    }
    let operator = found.ok_or(AuthenticationError::UnknownKey)?;
    Ok(Identity { who: operator.name.clone(), role: claim.role.min(operator.role) })
}
