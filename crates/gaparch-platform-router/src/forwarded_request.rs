//! A client's request in the form in which every attempt forwards it.

use bytes::Bytes;
use gaparch_platform_protocol::client_request::TransactionId;
use std::sync::atomic::{AtomicBool, Ordering};

/// A request, shared by the client connection, the owner and the attempts. The body is never copied.
#[derive(Debug)]
pub(crate) struct ForwardedRequest {
    /// Path and query string as the client sent them.
    pub target: String,
    pub transaction: TransactionId,
    pub body: Bytes,
    client_disconnected: AtomicBool,
}

impl ForwardedRequest {
    pub fn new(target: String, transaction: TransactionId, body: Bytes) -> ForwardedRequest {
        ForwardedRequest { target, transaction, body, client_disconnected: AtomicBool::new(false) }
    }

    /// Marks the client as disconnected: nothing more may be sent for the request.
    pub fn set_client_disconnected(&self) {
        self.client_disconnected.store(true, Ordering::Relaxed);
    }

    /// Whether the client has disconnected.
    pub fn is_client_disconnected(&self) -> bool {
        self.client_disconnected.load(Ordering::Relaxed)
    }
}
