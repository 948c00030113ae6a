//! What a client asks, as its head says it.

use crate::head::{One, RequestHead};
use gaparch_platform_settings::PlatformSettings;
use gaparch_scheduler::api::{AffinityKey, ClassId, Nanos, TenantId};
use thiserror::Error;

/// Where clients ask.
pub const ASK_PATH: &str = "/v1/chat/completions";
/// Whether the router is ready.
pub const READY_PATH: &str = "/_health";
/// One token, in bytes of a body, where a client does not tell a length.
const TOKEN: usize = 4;
/// Bytes of an id: the platform's have 16.
const MOST_ID: usize = 64;
/// No client waits longer than an hour.
const MOST_WAIT_MS: u64 = 3_600_000;
/// No prompt has more tokens.
const MOST_TOKENS: u32 = 100_000_000;

/// A request's id, as its client gave it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Txn(String);

impl Txn {
    /// The id that a text is; `None` where it can't be one.
    pub fn new(id: &str) -> Option<Txn> {
        sound_id(id).then(|| Txn(id.to_owned()))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Why a client's request is not accepted, with the status that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AskError {
    #[error("nothing is served there")]
    Path,
    #[error("that is done with POST")]
    Method,
    #[error("X-Txn must be there once: up to {MOST_ID} letters, digits, '-' or '_'")]
    Id,
    #[error("X-Lane must name a class of the settings")]
    Class,
    #[error("X-Remaining-Ms must be a whole number of milliseconds")]
    Deadline,
    #[error("X-Org, X-Entity, X-Labels and X-Resent may be there once each")]
    Repeated,
    #[error("a request must have a body")]
    NoBody,
}

impl AskError {
    pub fn status(self) -> u16 {
        match self {
            AskError::Path => 404,
            AskError::Method => 405,
            _ => 400,
        }
    }
}

/// A client's request, but for its body.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    pub txn: Txn,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub session: Option<AffinityKey>,
    pub prefix: Option<AffinityKey>,
    /// Tokens; 0: not told.
    pub prompt_len: u32,
    pub prefix_len: u32,
    pub max_out: u32,
    /// How long the client waits for the first token.
    pub wait: Nanos,
    pub repeat: bool,
    pub again: bool,
}

impl Ask {
    /// Reads a head.
    ///
    /// # Errors
    /// When something in it is missing or makes no sense.
    pub fn read(head: &RequestHead, site: &PlatformSettings) -> Result<Ask, AskError> {
        let path = head.target.split('?').next().unwrap_or_default();
        if path != ASK_PATH {
            return Err(AskError::Path);
        }
        if head.method != "POST" {
            return Err(AskError::Method);
        }
        let txn = match head.one("x-txn") {
            One::One(id) => Txn::new(id).ok_or(AskError::Id)?,
            _ => return Err(AskError::Id),
        };
        let class = match head.one("x-lane") {
            One::One(name) => site.classes.iter().position(|c| c == name),
            _ => None,
        };
        let optional = |name| match head.one(name) {
            One::None => Ok(None),
            One::One(value) => Ok(Some(value)),
            One::Many => Err(AskError::Repeated),
        };
        let wait_ms = match head.one("x-remaining-ms") {
            One::One(digits) if !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit()) => {
                digits.parse::<u64>().ok().filter(|ms| *ms <= MOST_WAIT_MS)
            }
            _ => None,
        };
        let resent = optional("x-resent")?;
        let mut ask = Ask {
            txn,
            class: ClassId(class.ok_or(AskError::Class)?),
            tenant: optional("x-org")?
                .and_then(|org| site.tenants.iter().position(|t| t == org))
                .map(TenantId),
            session: optional("x-entity")?.map(AffinityKey::from_text),
            prefix: None,
            prompt_len: 0,
            prefix_len: 0,
            max_out: 0,
            wait: wait_ms.ok_or(AskError::Deadline)? * 1_000_000,
            repeat: resent.is_some(),
            again: resent == Some("again"),
        };
        ask.labels(optional("x-labels")?.unwrap_or_default());
        Ok(ask)
    }

    /// Labels only help: one that makes no sense counts as absent.
    fn labels(&mut self, labels: &str) {
        let tokens = |value: &str| value.parse::<u32>().ok().filter(|n| *n <= MOST_TOKENS).unwrap_or(0);
        for (name, value) in labels.split(',').filter_map(|label| label.trim().split_once('=')) {
            match name {
                "prefix" if !value.is_empty() => self.prefix = Some(AffinityKey::from_text(value)),
                "prompt_len" => self.prompt_len = tokens(value),
                "prefix_len" => self.prefix_len = tokens(value),
                "max_out" => self.max_out = tokens(value),
                _ => {}
            }
        }
    }

    /// Guesses the prompt's length from the body's where the client has not told it.
    pub fn with_body(mut self, bytes: usize) -> Ask {
        if self.prompt_len == 0 {
            self.prompt_len = u32::try_from(bytes / TOKEN).unwrap_or(MOST_TOKENS).min(MOST_TOKENS);
        }
        self
    }
}

fn sound_id(id: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    (1..=MOST_ID).contains(&id.len()) && id.bytes().all(plain)
}
