//! The log line of a response, with its times on the client's socket.

use super::statistics::ClientStatistics;
use gaparch_platform_protocol::client_request::TransactionId;
use gaparch_scheduler::api::RequestId;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A response that begins this much after its client's time is logged. Many begin a little after it: a request may
/// have no time left when it arrives.
const LOGGED_LATENESS: Duration = Duration::from_millis(100);
/// A part of a stream that waited longer than this for its client connection is logged: the platform counts its
/// event as held back.
const LOGGED_QUEUED_TIME: Duration = Duration::from_millis(300);

/// The times of one response. Dropping it logs them.
pub(super) struct ResponseTrace {
    request: RequestId,
    transaction: TransactionId,
    statistics: Arc<ClientStatistics>,
    arrived_at: Instant,
    /// How long the request waited, from its first byte, until the owner got it.
    intake: Duration,
    /// When the client stops waiting for the first byte.
    due_at: Instant,
    /// The status; 0 until the response begins.
    status: u16,
    first_byte_at: Option<Instant>,
    longest_queued: Duration,
}

impl ResponseTrace {
    pub fn new(
        request: RequestId,
        transaction: TransactionId,
        statistics: Arc<ClientStatistics>,
        arrived_at: Instant,
        due_at: Instant,
    ) -> ResponseTrace {
        ResponseTrace {
            request,
            transaction,
            statistics,
            arrived_at,
            intake: arrived_at.elapsed(),
            due_at,
            status: 0,
            first_byte_at: None,
            longest_queued: Duration::ZERO,
        }
    }

    /// Records that bytes of a response with this status were written.
    pub fn record_write(&mut self, status: u16) {
        self.status = status;
        if self.first_byte_at.is_none() {
            let now = Instant::now();
            self.first_byte_at = Some(now);
            if now > self.due_at {
                self.statistics.count_late_response();
            }
        }
    }

    /// Records how long a part of the stream waited before it was taken to be written.
    pub fn record_queued(&mut self, time: Duration) {
        self.longest_queued = self.longest_queued.max(time);
        self.statistics.record_queued(time);
    }
}

impl Drop for ResponseTrace {
    fn drop(&mut self) {
        let late = self.first_byte_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(self.due_at));
        tracing::debug!(
            target: "gaparch_platform_router::client",
            request = self.request.0,
            txn = self.transaction.as_str(),
            status = self.status,
            late_us = late.as_micros() as u64,
            intake_us = self.intake.as_micros() as u64,
            first_byte_us = self.first_byte_us(),
            longest_queued_us = self.longest_queued.as_micros() as u64,
            ended_us = self.arrived_at.elapsed().as_micros() as u64,
            "response ended"
        );
        if late >= LOGGED_LATENESS || self.longest_queued >= LOGGED_QUEUED_TIME {
            tracing::info!(
                target: "gaparch_platform_router::client",
                request = self.request.0,
                txn = self.transaction.as_str(),
                status = self.status,
                late_ms = late.as_millis() as u64,
                intake_ms = self.intake.as_millis() as u64,
                longest_queued_ms = self.longest_queued.as_millis() as u64,
                "response late"
            );
        }
    }
}

impl ResponseTrace {
    /// Time from the request's arrival to the first byte of the response, in microseconds.
    fn first_byte_us(&self) -> Option<u64> {
        self.first_byte_at.map(|at| at.duration_since(self.arrived_at).as_micros() as u64)
    }
}
