//! Requests of clients.

use super::{AffinityKey, ClassId, Nanos, RequestId, TenantId};

/// A request that a client has sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its traffic class.
    pub class: ClassId,
    /// The tenant that it counts for.
    pub tenant: Option<TenantId>,
    /// Digest of its session, if it has one.
    pub session: Option<AffinityKey>,
    /// Digest of the prefix that it shares with other requests, if it has one.
    pub prefix: Option<AffinityKey>,
    /// Tokens of its prompt; 0: not known.
    pub prompt_tokens: f64,
    /// Tokens of the shared prefix.
    pub prefix_tokens: f64,
    /// Most tokens of the answer; 0: not known.
    pub max_output_tokens: f64,
    /// Rough duration of the answer's stream at the class's token latency objective.
    pub expected_duration: Option<Nanos>,
    /// When its client stops waiting.
    pub deadline_at: Nanos,
    /// Whether the client says that it repeats an earlier request.
    pub client_retry: bool,
    /// Whether the client comes back after a stream that broke or was migrated.
    pub client_reconnect: bool,
}
