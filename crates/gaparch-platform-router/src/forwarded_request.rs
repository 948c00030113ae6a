//! A client's request in the form in which every attempt forwards it.

use crate::sync::lock;
use bytes::Bytes;
use gaparch_platform_protocol::client_request::TransactionId;
use gaparch_router::memory::Reservation;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

/// A request, shared by the client connection, the owner and the attempts. The body is never copied.
#[derive(Debug)]
pub(crate) struct ForwardedRequest {
    /// Path and query string as the client sent them.
    pub target: String,
    pub transaction: TransactionId,
    /// `None` once no attempt may be sent any more.
    body: Mutex<Option<Bytes>>,
    client_disconnected: AtomicBool,
}

/// A request body with the memory that is reserved for it.
struct ReservedBody {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Attaches the reserved memory to a body: it is given back when the last copy of the body is dropped.
pub(crate) fn with_reservation(bytes: Bytes, reservation: Reservation) -> Bytes {
    Bytes::from_owner(ReservedBody { bytes, _reservation: reservation })
}

impl ForwardedRequest {
    pub fn new(target: String, transaction: TransactionId, body: Bytes) -> ForwardedRequest {
        ForwardedRequest {
            target,
            transaction,
            body: Mutex::new(Some(body)),
            client_disconnected: AtomicBool::new(false),
        }
    }

    /// Returns the body, or `None` if no attempt may be sent any more.
    pub fn body(&self) -> Option<Bytes> {
        lock(&self.body).clone()
    }

    /// Frees the body, now that the request has its answer: no attempt is sent from now on.
    pub fn free_body(&self) {
        *lock(&self.body) = None;
    }

    /// Whether the request has its answer.
    pub fn is_answered(&self) -> bool {
        lock(&self.body).is_none()
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
