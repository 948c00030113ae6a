//! The fleet's task: runs the membership core with a socket and a clock. It owns all state of the fleet.

use super::audit_queries::PendingQuery;
use super::audit_record::SharedAuditRecord;
use super::handle::FleetRequest;
use super::list_versions::{AdoptedList, LocalListState};
use super::order_store::FleetOrders;
use super::owner_updates::LocalOrder;
use super::views::{fleet_view, membership_severity, versions_view, DroppedDatagrams};
use crate::shell::ops::BroadcasterMessage;
use gaparch_audit::{FleetOrder, FleetOrders as OrderReplication, ListFollower};
use gaparch_membership::{Membership, MembershipEvent, OpenError, Output, SiteKey};
use gaparch_net::Clock;
use gaparch_protocol::fleet::MAX_DATAGRAM_BYTES;
use gaparch_protocol::ops::from_bytes;
use gaparch_protocol::ops::view::{Event, Severity};
use gaparch_protocol::versions::{OrderId, ReplicationMessage};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, Instant};

/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The state of the task.
pub(super) struct FleetTask {
    pub(super) membership: Membership,
    pub(super) socket: UdpSocket,
    pub(super) key: SiteKey,
    pub(super) clock: Clock,
    pub(super) dropped: DroppedDatagrams,
    pub(super) messages: mpsc::Sender<BroadcasterMessage>,
    /// The number of routers that share the limits, for the owner.
    pub(super) router_count: watch::Sender<u32>,
    /// This router's incarnation, to be stored.
    pub(super) incarnation: watch::Sender<u64>,
    pub(super) requests: mpsc::Receiver<FleetRequest>,
    /// Whether an event about an unsupported version of the protocol was recorded already.
    pub(super) unsupported_version_reported: bool,
    /// Replication of the endpoint list, enabled by a confirmation interval in the settings.
    pub(super) list_replication: Option<ListFollower>,
    /// The endpoint list that the owner uses.
    pub(super) local_list: watch::Receiver<LocalListState>,
    /// A list of another router, for the owner.
    pub(super) adopted_list: watch::Sender<AdoptedList>,
    /// Replication of orders, enabled together with that of the list.
    pub(super) order_replication: Option<OrderReplication>,
    /// Orders given at this router.
    pub(super) local_orders: mpsc::Receiver<LocalOrder>,
    /// Orders given at other routers, for the owner.
    pub(super) remote_orders: mpsc::Sender<FleetOrder>,
    /// Orders of other routers that are in force here.
    pub(super) applied_orders: mpsc::Receiver<OrderId>,
    pub(super) orders_to_store: watch::Sender<FleetOrders>,
    pub(super) stored_orders: watch::Receiver<FleetOrders>,
    pub(super) audit_record: SharedAuditRecord,
    pub(super) audit_queries: Vec<PendingQuery>,
    pub(super) next_nonce: u64,
}

impl FleetTask {
    /// Runs until this router leaves the fleet or no sender of requests is left.
    pub async fn run(mut self, mut out: Vec<Output>) {
        // One byte more than the largest valid datagram, to detect longer ones.
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            self.perform_outputs(&mut out);
            let due = Instant::from_std(self.clock.instant(self.next_timer_at()));
            let replicates_orders = self.order_replication.is_some();
            tokio::select! {
                biased;
                // Timers come before received datagrams: a process that was suspended must notice that first.
                () = sleep_until(due) => self.on_timers_due(&mut out),
                Some(LocalOrder { change, note }) = self.local_orders.recv(), if replicates_orders => {
                    self.with_orders(&mut out, |orders, now, _, outputs| {
                        orders.issue(now, &change, &note, outputs);
                    });
                }
                Some(id) = self.applied_orders.recv(), if replicates_orders => {
                    self.with_orders(&mut out, |orders, now, _, outputs| {
                        orders.on_applied(now, &id, outputs);
                    });
                }
                Ok(()) = self.stored_orders.changed(), if replicates_orders => {
                    let stored = FleetOrders::clone(&self.stored_orders.borrow_and_update());
                    self.with_orders(&mut out, |orders, now, _, outputs| {
                        orders.on_stored(now, &stored, outputs);
                    });
                }
                Ok(()) = self.local_list.changed(), if self.list_replication.is_some() => {
                    let state = self.local_list.borrow_and_update().clone();
                    self.with_list(&mut out, |follower, now, _, _| {
                        follower.on_list(now, state.list, state.confirmed_at);
                    });
                }
                request = self.requests.recv() => {
                    let Some(request) = request else { return };
                    if self.on_request(request, &mut out) == Flow::Leave {
                        return;
                    }
                }
                received = self.socket.recv_from(&mut datagram) => match received {
                    Ok((length, _)) => self.on_datagram(&datagram[..length], &mut out),
                    // An earlier datagram was refused by its destination, or the system lacks resources. The
                    // socket is still usable, but retrying without a delay would use a whole CPU core while
                    // the condition lasts.
                    Err(_) => sleep(RECEIVE_RETRY_DELAY).await,
                },
            }
        }
    }

    fn next_timer_at(&self) -> u64 {
        let list = self.list_replication.as_ref().map(ListFollower::next_timer_at);
        let orders = self.order_replication.as_ref().map(OrderReplication::next_timer_at);
        let queries = self.audit_queries.iter().map(|pending| pending.query.next_timer_at());
        let others = list.into_iter().chain(orders).chain(queries);
        others.fold(self.membership.next_timer_at(), u64::min)
    }

    fn on_timers_due(&mut self, out: &mut Vec<Output>) {
        self.membership.on_timer(self.clock.now(), out);
        self.perform_outputs(out);
        self.with_list(out, ListFollower::on_timer);
        self.with_orders(out, |orders, now, peers, outputs| orders.on_timer(now, peers, outputs));
        self.advance_audit_queries(out);
    }

    fn on_request(&mut self, request: FleetRequest, out: &mut Vec<Output>) -> Flow {
        // Replies fail if the session that asked has ended, which is ignored.
        match request {
            FleetRequest::Members(reply) => {
                let _ = reply.send(fleet_view(self.membership.view(), self.dropped));
            }
            FleetRequest::Audit { filter, reply } => self.start_audit_query(filter, reply, out),
            FleetRequest::OrderReplication(reply) => {
                let _ = reply.send(self.order_replication_view());
            }
            FleetRequest::ListVersions(reply) => {
                let view = self.list_replication.as_ref().map(|follower| versions_view(follower.view()));
                let _ = reply.send(view);
            }
            FleetRequest::Leave(reply) => {
                self.membership.leave(self.clock.now(), out);
                self.perform_outputs(out);
                let _ = reply.send(());
                return Flow::Leave;
            }
        }
        Flow::Continue
    }

    fn on_datagram(&mut self, datagram: &[u8], out: &mut Vec<Output>) {
        match self.key.open(datagram) {
            Ok(message) => self.membership.on_message(self.clock.now(), message, out),
            Err(OpenError::BadTag) => self.dropped.forged += 1,
            Err(OpenError::TooLong | OpenError::Malformed) => self.dropped.malformed += 1,
            Err(OpenError::UnsupportedVersion(version)) => {
                self.dropped.unsupported_version += 1;
                if !std::mem::replace(&mut self.unsupported_version_reported, true) {
                    let text = format!(
                        "a router speaks version {version} of the fleet's protocol, which is not known here"
                    );
                    self.report(Severity::Warning, text);
                }
            }
        }
    }

    /// Performs the outputs of the membership, and passes received payloads to the replication.
    fn perform_outputs(&mut self, out: &mut Vec<Output>) {
        let mut received = Vec::new();
        for output in out.drain(..) {
            match output {
                Output::Send { to, message } => {
                    if let Some(datagram) = self.key.seal(&message) {
                        // A datagram that can't be sent now is dropped; the protocol tolerates loss.
                        let _ = self.socket.try_send_to(&datagram, to);
                    }
                }
                Output::PersistIncarnation { incarnation } => {
                    if let Some(orders) = &mut self.order_replication {
                        orders.on_incarnation(incarnation);
                    }
                    self.incarnation.send_replace(incarnation);
                }
                Output::RouterCount(routers) => drop(self.router_count.send_replace(routers)),
                Output::Payload { from, bytes } => {
                    // A message that can't be decoded comes from a newer build.
                    if let Some(message) = from_bytes::<ReplicationMessage>(&bytes) {
                        received.push((from, message));
                    }
                }
                Output::Event(event) => self.on_membership_event(&event),
            }
        }
        for (from, message) in received {
            self.on_audit_message(&from, &message, out);
            self.with_orders(out, |orders, now, _, outputs| orders.on_message(now, &from, &message, outputs));
            self.with_list(out, |follower, now, _, outputs| {
                follower.on_message(now, &from, message, outputs)
            });
        }
    }

    fn on_membership_event(&mut self, event: &MembershipEvent) {
        if let (MembershipEvent::Resumed { .. }, Some(follower)) = (event, &mut self.list_replication) {
            follower.on_resumed(self.clock.now());
        }
        match membership_severity(event) {
            Some(severity) => self.report(severity, event.to_string()),
            None => tracing::debug!("{event}"),
        }
    }

    /// Sends an event to the event broadcaster.
    pub(super) fn report(&self, severity: Severity, text: String) {
        let event = Event { at: self.clock.now(), severity, engine: None, text };
        // The count of dropped messages covers only those of the owner, so this one is at least logged.
        if let Err(error) = self.messages.try_send(BroadcasterMessage::Event(event)) {
            tracing::warn!(%error, "an event of the fleet was dropped");
        }
    }
}

/// Whether the task continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    Leave,
}
