//! Faults of the discovery service.

use crate::buffered_socket::ResponseError;
use gaparch_platform_protocol::body::BodyError;
use gaparch_platform_protocol::endpoint_list::EndpointListError;
use std::io;
use thiserror::Error;

/// Why a connection to the discovery service is given up.
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
    #[error("the connection ended within the list")]
    ListCutOff,
    #[error("status {0}")]
    Status(u16),
    #[error(transparent)]
    List(#[from] EndpointListError),
    #[error("changes where the full list was requested")]
    NotFull,
}

impl DiscoveryError {
    /// Whether the service was reached and may have sent a change that was lost: only the full list makes up for it.
    pub fn loses_generation(&self) -> bool {
        !matches!(
            self,
            DiscoveryError::Connect(_) | DiscoveryError::ConnectTimeout | DiscoveryError::AnswerTimeout
        )
    }

    /// Whether the service has answered with something that is rejected: it would do so again at once.
    pub fn rejects_list(&self) -> bool {
        matches!(
            self,
            DiscoveryError::Body(_)
                | DiscoveryError::Status(_)
                | DiscoveryError::List(_)
                | DiscoveryError::NotFull
        )
    }
}
