//! The interface of the owner and the client connections to the operations tasks. Nothing here blocks.

use super::order_store::StoreOrder;
use super::{BroadcasterMessage, OrderReply, StatusReport};
use crate::core::{retry_after_millis, Proposal};
use gaparch_net::Clock;
use gaparch_protocol::engine::RouterRun;
use gaparch_protocol::ops::intent::LimitView;
use gaparch_protocol::ops::outcome::{GlobalRequestId, OutcomeCause, OutcomeKind, RequestOutcome};
use gaparch_protocol::ops::view::{EngineView, Event, RouterMetrics, Severity};
use gaparch_scheduler::api::{Nanos, RequestId};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, Notify};

/// Counts and reports requests that are rejected before they reach the owner, because too many are open or
/// the owner's queue is full.
#[derive(Debug)]
pub(in crate::shell) struct RejectionReporter {
    messages: mpsc::Sender<BroadcasterMessage>,
    run: RouterRun,
    clock: Clock,
    rejected: AtomicU64,
}

impl RejectionReporter {
    pub fn new(
        messages: mpsc::Sender<BroadcasterMessage>,
        run: RouterRun,
        clock: Clock,
    ) -> RejectionReporter {
        RejectionReporter { messages, run, clock, rejected: AtomicU64::new(0) }
    }

    /// Counts a rejected request and reports it; if the broadcaster's queue is full, it is only counted.
    pub fn report(&self, id: RequestId, class: &str, tenant: &str, retry_after: Nanos, fingerprint: u64) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
        let now = self.clock.now();
        let request = GlobalRequestId { run: self.run.0, number: id.0 };
        let outcome = RequestOutcome {
            class: class.to_owned(),
            tenant: tenant.to_owned(),
            retry_after_ms: retry_after_millis(retry_after),
            fingerprint,
            ..RequestOutcome::without_details(
                request,
                now,
                now,
                OutcomeKind::Rejected,
                OutcomeCause::TooManyOpen,
            )
        };
        // The outcome may be dropped; the count may not.
        let _ = self.messages.try_send(BroadcasterMessage::RequestEnded(Box::new(outcome)));
    }

    fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }
}

/// The owner's interface to the operations tasks.
pub(in crate::shell) struct OperationsHandle {
    pub(super) messages: mpsc::Sender<BroadcasterMessage>,
    pub(super) rejections: Arc<RejectionReporter>,
    pub(super) order_store: mpsc::Sender<StoreOrder>,
    /// Notified when an operator stops the router.
    pub(super) stop: Arc<Notify>,
    /// Messages dropped because the broadcaster's queue was full.
    pub(super) dropped: u64,
}

impl OperationsHandle {
    pub fn rejection_reporter(&self) -> Arc<RejectionReporter> {
        Arc::clone(&self.rejections)
    }

    /// Sends a message to the event broadcaster; if its queue is full, the message is dropped and counted.
    pub fn send(&mut self, message: BroadcasterMessage) {
        if self.messages.try_send(message).is_err() {
            self.dropped += 1;
        }
    }

    /// Reports the router's state to the event broadcaster.
    pub fn report_status(
        &mut self,
        metrics: RouterMetrics,
        engines: Vec<EngineView>,
        limits: Vec<LimitView>,
    ) {
        let rejected = self.rejections.rejected();
        let metrics = RouterMetrics {
            requests: metrics.requests + rejected,
            rejected: metrics.rejected + rejected,
            ..metrics
        };
        let status = StatusReport { metrics, engines, limits, dropped_messages: self.dropped };
        self.send(BroadcasterMessage::Status(Box::new(status)));
    }

    /// Reserves a place in the order store's queue, if there is one.
    pub fn reserve(&self) -> Option<mpsc::OwnedPermit<StoreOrder>> {
        self.order_store.clone().try_reserve_owned().ok()
    }

    /// Stores an order that is in force; the reply is sent once it is stored.
    pub fn store_order(
        &mut self,
        permit: mpsc::OwnedPermit<StoreOrder>,
        proposal: Proposal,
        reply: OrderReply,
    ) {
        self.send(BroadcasterMessage::OrderInForce(proposal.accepted.clone()));
        permit.send(StoreOrder { accepted: proposal.accepted, effect: proposal.effect, reply });
    }

    /// Records an operator's order to stop, and wakes the task that waits in
    /// [`asked_to_stop`](crate::shell::RouterHandle::asked_to_stop).
    pub fn request_stop(&mut self, at: u64, operator: &str, reason: &str) {
        let text = format!("{operator} stops the router: {reason}");
        self.send(BroadcasterMessage::Event(Event { at, severity: Severity::Warning, engine: None, text }));
        self.stop.notify_one();
    }
}
