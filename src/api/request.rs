//! Client requests.

use super::{AffinityKey, ClassId, Nanos, RequestId, TenantId};

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The id.
    pub id: RequestId,
    /// Traffic class.
    pub class: ClassId,
    /// The tenant whose quota it counts against.
    pub tenant: Option<TenantId>,
    /// Digest of its session, if any.
    pub session: Option<AffinityKey>,
    /// Digest of the prefix that it shares with other requests, if any.
    pub prefix: Option<AffinityKey>,
    /// Length of the prompt in tokens; 0: unknown.
    pub prompt_tokens: f64,
    /// Length of the shared prefix in tokens.
    pub prefix_tokens: f64,
    /// Maximum length of the answer in tokens; 0: unknown.
    pub max_output_tokens: f64,
    /// Approximate duration of the answer's stream at the token latency objective of its class.
    pub expected_duration: Option<Nanos>,
    /// When its client stops waiting.
    pub deadline_at: Nanos,
    /// Whether the client marks it as a retry of an earlier request.
    pub client_retry: bool,
    /// Whether the client reconnects after a stream that broke or was migrated.
    pub client_reconnect: bool,
}
