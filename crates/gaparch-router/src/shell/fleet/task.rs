//! The fleet's task: the socket and the clock around the membership core. It owns all state of the fleet.

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

/// Pause after a datagram could not be received.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The state of the task.
pub(super) struct FleetTask {
    pub(super) membership: Membership,
    pub(super) socket: UdpSocket,
    pub(super) key: SiteKey,
    pub(super) clock: Clock,
    pub(super) dropped: DroppedDatagrams,
    pub(super) messages: mpsc::Sender<BroadcasterMessage>,
    /// By how many routers limits are divided, for the owner.
    pub(super) router_count: watch::Sender<u32>,
    /// This router's incarnation, to be stored.
    pub(super) incarnation: watch::Sender<u64>,
    pub(super) requests: mpsc::Receiver<FleetRequest>,
    /// A datagram of a newer version of the protocol was an event already.
    pub(super) newer_version_reported: bool,
    /// Replication of the endpoint list, where the settings say for how long a list may go unconfirmed.
    pub(super) list_replication: Option<ListFollower>,
    /// The list as the owner has it.
    pub(super) local_list: watch::Receiver<LocalListState>,
    /// A list of another router, for the owner.
    pub(super) adopted_list: watch::Sender<AdoptedList>,
    /// Replication of orders, where lists are replicated.
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
    /// Runs until this router leaves the fleet, or nobody asks any more.
    pub async fn run(mut self, mut out: Vec<Output>) {
        // One byte more than any router sends shows what is too long.
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            self.carry_out(&mut out);
            let due = Instant::from_std(self.clock.instant(self.next_timer_at()));
            let replicates_orders = self.order_replication.is_some();
            tokio::select! {
                biased;
                // Before what waits in the socket: a process that was stopped must know it first.
                () = sleep_until(due) => self.on_timers_due(&mut out),
                Some(LocalOrder { change, note }) = self.local_orders.recv(), if replicates_orders => {
                    self.with_orders(&mut out, |orders, now, _, wanted| orders.issue(now, &change, &note, wanted));
                }
                Some(id) = self.applied_orders.recv(), if replicates_orders => {
                    self.with_orders(&mut out, |orders, now, _, wanted| orders.on_applied(now, &id, wanted));
                }
                Ok(()) = self.stored_orders.changed(), if replicates_orders => {
                    let stored = FleetOrders::clone(&self.stored_orders.borrow_and_update());
                    self.with_orders(&mut out, |orders, now, _, wanted| orders.on_stored(now, &stored, wanted));
                }
                Ok(()) = self.local_list.changed(), if self.list_replication.is_some() => {
                    let state = self.local_list.borrow_and_update().clone();
                    self.with_list(&mut out, |lists, now, _, _| lists.on_list(now, state.list, state.confirmed_at));
                }
                request = self.requests.recv() => {
                    let Some(request) = request else { return };
                    if self.on_request(request, &mut out) == Flow::Leave {
                        return;
                    }
                }
                received = self.socket.recv_from(&mut datagram) => match received {
                    Ok((length, _)) => self.on_datagram(&datagram[..length], &mut out),
                    // An earlier datagram was refused somewhere, or the system is short of something: nothing
                    // is wrong here, and trying again without a pause would take a whole core for as long.
                    Err(_) => sleep(RECEIVE_RETRY_DELAY).await,
                },
            }
        }
    }

    fn next_timer_at(&self) -> u64 {
        let lists = self.list_replication.as_ref().map(ListFollower::next_timer_at);
        let orders = self.order_replication.as_ref().map(OrderReplication::next_timer_at);
        let queries = self.audit_queries.iter().map(|pending| pending.query.next_timer_at());
        let others = lists.into_iter().chain(orders).chain(queries);
        others.fold(self.membership.next_timer_at(), u64::min)
    }

    fn on_timers_due(&mut self, out: &mut Vec<Output>) {
        self.membership.on_timer(self.clock.now(), out);
        self.carry_out(out);
        self.with_list(out, ListFollower::on_timer);
        self.with_orders(out, |orders, now, peers, wanted| orders.on_timer(now, peers, wanted));
        self.advance_audit_queries(out);
    }

    fn on_request(&mut self, request: FleetRequest, out: &mut Vec<Output>) -> Flow {
        // In each case the session that asked may have ended.
        match request {
            FleetRequest::Members(reply) => {
                let _ = reply.send(fleet_view(self.membership.view(), self.dropped));
            }
            FleetRequest::Audit { filter, reply } => self.start_audit_query(filter, reply, out),
            FleetRequest::OrderReplication(reply) => {
                let _ = reply.send(self.order_replication_view());
            }
            FleetRequest::ListVersions(reply) => {
                let view = self.list_replication.as_ref().map(|lists| versions_view(lists.view()));
                let _ = reply.send(view);
            }
            FleetRequest::Leave(reply) => {
                self.membership.leave(self.clock.now(), out);
                self.carry_out(out);
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
                self.dropped.newer += 1;
                if !std::mem::replace(&mut self.newer_version_reported, true) {
                    let text = format!(
                        "a router speaks version {version} of the fleet's protocol, which is not known here"
                    );
                    self.report(Severity::Warning, text);
                }
            }
        }
    }

    /// Does what the membership wants, and passes on what it received for the replication.
    fn carry_out(&mut self, out: &mut Vec<Output>) {
        let mut received = Vec::new();
        for output in out.drain(..) {
            match output {
                Output::Send { to, message } => {
                    if let Some(datagram) = self.key.seal(&message) {
                        // One that can't be sent now is lost, as any datagram may be.
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
                    // A message that can't be decoded is of a newer build.
                    if let Some(message) = from_bytes::<ReplicationMessage>(&bytes) {
                        received.push((from, message));
                    }
                }
                Output::Event(event) => self.on_membership_event(&event),
            }
        }
        for (from, message) in received {
            self.on_audit_message(&from, &message, out);
            self.with_orders(out, |orders, now, _, wanted| orders.on_message(now, &from, &message, wanted));
            self.with_list(out, |lists, now, _, wanted| lists.on_message(now, &from, message, wanted));
        }
    }

    fn on_membership_event(&mut self, event: &MembershipEvent) {
        if let (MembershipEvent::Resumed { .. }, Some(lists)) = (event, &mut self.list_replication) {
            lists.on_resumed(self.clock.now());
        }
        match membership_severity(event) {
            Some(severity) => self.report(severity, event.to_string()),
            None => tracing::debug!("{event}"),
        }
    }

    /// Reports an event to the event broadcaster.
    pub(super) fn report(&self, severity: Severity, text: String) {
        let event = Event { at: self.clock.now(), severity, engine: None, text };
        // The broadcaster counts what it lost by its own inbox; here the log has it at least.
        if let Err(error) = self.messages.try_send(BroadcasterMessage::Event(event)) {
            tracing::warn!(%error, "an event of the fleet was dropped");
        }
    }
}

/// Whether the task goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    Leave,
}
