//! Errors when following the discovery service.

use crate::buffered_socket::ResponseError;
use gaparch_platform_protocol::body::BodyError;
use gaparch_platform_protocol::endpoint_list::EndpointListError;
use gaparch_scheduler::policy::startup_list::DiscoveryFault;
use std::io;
use thiserror::Error;

/// Why a connection to the discovery service was abandoned.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    #[error("can't connect: {0}")]
    Connect(io::Error),
    #[error("connecting timed out")]
    ConnectTimeout,
    #[error("the answer timed out")]
    AnswerTimeout,
    #[error("the connection broke: {0}")]
    Write(io::Error),
    #[error(transparent)]
    Response(#[from] ResponseError),
    #[error("malformed body: {0}")]
    Body(#[from] BodyError),
    #[error("the connection closed before the list was complete")]
    ListCutOff,
    #[error("status {0}")]
    Status(u16),
    #[error(transparent)]
    List(#[from] EndpointListError),
    #[error("received a delta where the full list was requested")]
    NotFull,
}

impl DiscoveryError {
    /// Whether the service was reached and may have sent a change that was lost. Only the full list recovers
    /// from that.
    pub fn requires_full_list(&self) -> bool {
        !matches!(
            self,
            DiscoveryError::Connect(_) | DiscoveryError::ConnectTimeout | DiscoveryError::AnswerTimeout
        )
    }

    /// Returns what the fault says about the list that the service may have.
    pub fn fault(&self) -> DiscoveryFault {
        match self {
            DiscoveryError::Connect(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                DiscoveryFault::NotListening
            }
            _ => DiscoveryFault::NoList,
        }
    }

    /// Whether the service sent a response that is rejected. It would probably send the same again
    /// immediately.
    pub fn is_rejected_response(&self) -> bool {
        matches!(
            self,
            DiscoveryError::Body(_)
                | DiscoveryError::Status(_)
                | DiscoveryError::List(_)
                | DiscoveryError::NotFull
        )
    }
}
