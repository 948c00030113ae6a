//! The replication of orders, as one router carries it out.

use super::event::OrderEvent;
use super::output::{OrderAck, OrderOutput, SupersededOrder};
use super::subject::{restrictiveness, subject};
use super::table::OrderTable;
use crate::{Nanos, MILLISECOND};
use gaparch_protocol::ops::intent::{Change, ChangeNote};
use gaparch_protocol::versions::{FleetOrder, OrderId, ReplicationMessage};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The number of routers to which a router forwards an order that is new to it.
const FORWARD_FANOUT: usize = 3;
/// The number of routers to which a router sends an order that an operator has given to it.
const ISSUE_FANOUT: usize = 8;
/// The number of routers that are queried at once while acknowledgements are awaited.
const QUERY_FANOUT: usize = 8;
/// The time between two such queries.
const QUERY_INTERVAL: Nanos = 200 * MILLISECOND;
/// The time between two comparisons with another router while no acknowledgement is awaited.
const COMPARE_INTERVAL: Nanos = 1_000 * MILLISECOND;
/// How long acknowledgements are awaited after an order was given.
const WAIT_AFTER_ORDER: Nanos = 30_000 * MILLISECOND;
/// How long acknowledgements are awaited after a client has asked for them.
const WAIT_AFTER_QUERY: Nanos = 5_000 * MILLISECOND;
/// The greatest number of orders sent per request.
const PAGE_LENGTH: usize = 16;
/// The number of superseded orders that are remembered.
const MAX_SUPERSEDED: usize = 64;
/// The number of routers whose summary is remembered.
const MAX_PEERS: usize = 2048;
/// How far a number may be ahead of all known ones. A higher one is a defect: it would override all further
/// orders.
const MAX_NUMBERS_AHEAD: u64 = 1 << 32;
/// The number of characters of an operator's name that fit into a datagram.
const MAX_OPERATOR_CHARS: usize = 60;
/// The number of characters of a reason that fit into a datagram.
const MAX_REASON_CHARS: usize = 240;

/// What another router last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PeerSummary {
    /// The digest of the orders that are in force and on disk there.
    complete_digest: u64,
    reported_at: Nanos,
}

/// A page of orders that was requested.
#[derive(Clone, Debug)]
struct PendingPage {
    peer: String,
    requested_at: Nanos,
    /// The number of orders that may still come.
    remaining: usize,
    /// Whether any of them was new.
    has_new_orders: bool,
}

/// Replicates operators' orders to all routers of a site.
#[derive(Debug)]
pub struct FleetOrders {
    router: String,
    incarnation: u64,
    rng: ChaCha8Rng,
    now: Nanos,
    table: OrderTable,
    /// The highest number of any order that is known.
    last_number: u64,
    summaries: BTreeMap<String, PeerSummary>,
    /// The names of the routers that are present.
    present: Vec<String>,
    superseded: VecDeque<SupersededOrder>,
    /// Until when the acknowledgements of all routers are awaited.
    waits_until: Nanos,
    next_timer_at: Nanos,
    pending_page: Option<PendingPage>,
    /// The subject of the last order received, after which the next requested page begins.
    cursor: String,
}

impl FleetOrders {
    /// Starts with the orders that are on disk; none of them is in force yet.
    pub fn new(
        router: &str,
        incarnation: u64,
        seed: u64,
        stored: Vec<FleetOrder>,
        now: Nanos,
    ) -> FleetOrders {
        let mut orders = FleetOrders {
            router: router.to_owned(),
            incarnation,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            table: OrderTable::default(),
            last_number: 0,
            summaries: BTreeMap::new(),
            present: Vec::new(),
            superseded: VecDeque::new(),
            waits_until: 0,
            next_timer_at: now,
            pending_page: None,
            cursor: String::new(),
        };
        for order in stored {
            orders.last_number = orders.last_number.max(order.id.number);
            if let Some(subject) = subject(&order.change) {
                orders.table.insert_stored(subject, order);
            }
        }
        orders
    }

    /// When [`on_timer`](FleetOrders::on_timer) has to be called next.
    pub fn next_timer_at(&self) -> Nanos {
        self.next_timer_at
    }

    fn advance(&mut self, now: Nanos) {
        self.now = now.max(self.now);
    }

    /// All orders, including those that lift another one.
    pub fn all(&self) -> Vec<FleetOrder> {
        self.table.all()
    }

    /// The superseded orders, the latest last.
    pub fn superseded(&self) -> impl Iterator<Item = &SupersededOrder> {
        self.superseded.iter()
    }

    /// Uses a higher incarnation for the orders given from now on.
    pub fn on_incarnation(&mut self, incarnation: u64) {
        self.incarnation = self.incarnation.max(incarnation);
    }

    /// Replicates an order that an operator has given to this router, where it is in force already.
    pub fn issue(&mut self, now: Nanos, change: &Change, note: &ChangeNote, out: &mut Vec<OrderOutput>) {
        self.advance(now);
        let Some(subject) = subject(change) else { return };
        if !self.table.has_capacity_for(&subject) {
            return out.push(OrderOutput::Event(OrderEvent::TableFull));
        }
        let order = self.new_order(&subject, change, note);
        self.table.insert(subject, order.clone(), true);
        self.waits_until = self.now + WAIT_AFTER_ORDER;
        self.next_timer_at = self.now;
        self.forward(&order, ISSUE_FANOUT, None, out);
        out.push(OrderOutput::Persist(self.all()));
    }

    fn new_order(&mut self, subject: &str, change: &Change, note: &ChangeNote) -> FleetOrder {
        self.last_number = self.last_number.saturating_add(1);
        let id = OrderId {
            number: self.last_number,
            restrictiveness: restrictiveness(change),
            router: self.router.clone(),
            incarnation: self.incarnation,
        };
        let note = ChangeNote {
            operator: truncated(&note.operator, MAX_OPERATOR_CHARS),
            reason: truncated(&note.reason, MAX_REASON_CHARS),
            at: note.at,
        };
        let replaces = self.table.get(subject).map(|order| order.id.clone());
        FleetOrder { id, replaces, change: change.clone(), note }
    }

    /// Sends an order to some routers chosen at random.
    fn forward(
        &mut self,
        order: &FleetOrder,
        fanout: usize,
        except: Option<&str>,
        out: &mut Vec<OrderOutput>,
    ) {
        let eligible = self.present.iter().filter(|router| Some(router.as_str()) != except);
        let mut receivers: Vec<String> = eligible.cloned().collect();
        receivers.shuffle(&mut self.rng);
        receivers.truncate(fanout);
        for to in receivers {
            out.push(send_order(to, order));
        }
    }

    /// To be called when an order of another router has been put in force here.
    pub fn on_applied(&mut self, now: Nanos, id: &OrderId, out: &mut Vec<OrderOutput>) {
        self.advance(now);
        if self.table.mark_in_force(id) {
            self.acknowledge(&id.router, out);
        }
    }

    /// To be called when these orders are on disk.
    pub fn on_stored(&mut self, now: Nanos, orders: &[FleetOrder], out: &mut Vec<OrderOutput>) {
        self.advance(now);
        let mut issuers = BTreeSet::new();
        for order in orders {
            let Some(subject) = subject(&order.change) else { continue };
            if self.table.mark_stored(&subject, &order.id) {
                issuers.insert(&order.id.router);
            }
        }
        for issuer in issuers {
            self.acknowledge(issuer, out);
        }
    }

    /// Sends a summary to the router that issued an order, which waits until all routers have the order in
    /// force and stored.
    fn acknowledge(&self, issuer: &str, out: &mut Vec<OrderOutput>) {
        if issuer != self.router {
            self.send_summary(issuer, false, out);
        }
    }

    fn send_summary(&self, to: &str, answer_requested: bool, out: &mut Vec<OrderOutput>) {
        let message = ReplicationMessage::OrderSummary {
            digest: self.table.digest(),
            complete_digest: self.table.complete_digest(),
            answer_requested,
        };
        out.push(OrderOutput::Send { to: to.to_owned(), message });
    }

    /// Handles a message of another router. Messages for other components are ignored.
    pub fn on_message(
        &mut self,
        now: Nanos,
        from: &str,
        message: &ReplicationMessage,
        out: &mut Vec<OrderOutput>,
    ) {
        self.advance(now);
        match message {
            ReplicationMessage::OrderSummary { digest, complete_digest, answer_requested } => {
                self.on_summary(from, *digest, *complete_digest, *answer_requested, out);
            }
            ReplicationMessage::Order { order } => {
                let is_new = self.on_order(from, order, out);
                self.continue_page(from, is_new, out);
            }
            ReplicationMessage::OrderRequest { after } => {
                // The page wraps around to the first subject after the last one.
                for order in self.table.all_after(after).take(PAGE_LENGTH) {
                    out.push(send_order(from.to_owned(), order));
                }
            }
            _ => {}
        }
    }

    fn on_summary(
        &mut self,
        from: &str,
        digest: u64,
        complete_digest: u64,
        answer_requested: bool,
        out: &mut Vec<OrderOutput>,
    ) {
        if self.summaries.len() < MAX_PEERS || self.summaries.contains_key(from) {
            let summary = PeerSummary { complete_digest, reported_at: self.now };
            self.summaries.insert(from.to_owned(), summary);
        }
        if answer_requested {
            self.send_summary(from, false, out);
        }
        let pending = self.pending_page.as_ref();
        let may_request = pending.is_none_or(|page| self.now >= page.requested_at + QUERY_INTERVAL);
        if digest != self.table.digest() && may_request {
            self.request_page(from, out);
        }
    }

    fn request_page(&mut self, peer: &str, out: &mut Vec<OrderOutput>) {
        self.pending_page = Some(PendingPage {
            peer: peer.to_owned(),
            requested_at: self.now,
            remaining: PAGE_LENGTH,
            has_new_orders: false,
        });
        let message = ReplicationMessage::OrderRequest { after: self.cursor.clone() };
        out.push(OrderOutput::Send { to: peer.to_owned(), message });
    }

    /// Requests the next page at once after one that brought new orders: more of them may be missing.
    fn continue_page(&mut self, from: &str, is_new: bool, out: &mut Vec<OrderOutput>) {
        let Some(page) = self.pending_page.as_mut().filter(|page| page.peer == from) else { return };
        page.has_new_orders |= is_new;
        page.remaining = page.remaining.saturating_sub(1);
        if page.remaining == 0 && std::mem::take(&mut page.has_new_orders) {
            self.request_page(from, out);
        }
    }

    /// Handles an order of another router; returns whether it was adopted.
    fn on_order(&mut self, from: &str, order: &FleetOrder, out: &mut Vec<OrderOutput>) -> bool {
        let Some(subject) = subject(&order.change) else { return false };
        self.cursor.clone_from(&subject);
        if !self.is_plausible(order) {
            let (router, number) = (from.to_owned(), order.id.number);
            out.push(OrderOutput::Event(OrderEvent::Implausible { router, number }));
            return false;
        }
        self.last_number = self.last_number.max(order.id.number);
        let Some(current) = self.table.get(&subject).cloned() else {
            if !self.table.has_capacity_for(&subject) {
                out.push(OrderOutput::Event(OrderEvent::TableFull));
                return false;
            }
            self.adopt(subject, order, from, out);
            return true;
        };
        if current.id == order.id {
            return false;
        }
        if current.id > order.id {
            // The sender does not know the later order.
            out.push(send_order(from.to_owned(), &current));
            self.report_if_superseded(order, &current, out);
            return false;
        }
        self.report_if_superseded(&current, order, out);
        self.adopt(subject, order, from, out);
        true
    }

    fn is_plausible(&self, order: &FleetOrder) -> bool {
        let highest = self.last_number.saturating_add(MAX_NUMBERS_AHEAD);
        order.id.number <= highest && order.id.restrictiveness == restrictiveness(&order.change)
    }

    fn adopt(&mut self, subject: String, order: &FleetOrder, from: &str, out: &mut Vec<OrderOutput>) {
        self.table.insert(subject, order.clone(), false);
        out.push(OrderOutput::Apply(order.clone()));
        out.push(OrderOutput::Persist(self.all()));
        self.forward(order, FORWARD_FANOUT, Some(from), out);
    }

    /// Reports and remembers an order that is replaced by one that was given without knowledge of it.
    fn report_if_superseded(&mut self, order: &FleetOrder, by: &FleetOrder, out: &mut Vec<OrderOutput>) {
        let is_known = self.superseded.iter().any(|known| known.order.id == order.id);
        if knew_of(by, order) || is_known {
            return;
        }
        if self.superseded.len() >= MAX_SUPERSEDED {
            self.superseded.pop_front();
        }
        self.superseded.push_back(SupersededOrder { order: order.clone(), by: by.clone() });
        let (order, by) = (Box::new(order.clone()), Box::new(by.clone()));
        out.push(OrderOutput::Event(OrderEvent::Superseded { order, by }));
    }

    /// Carries out the actions that are due. `present` has the names of the routers that are present.
    pub fn on_timer(&mut self, now: Nanos, present: Vec<String>, out: &mut Vec<OrderOutput>) {
        self.advance(now);
        self.present = present;
        let present = &self.present;
        self.summaries.retain(|router, _| present.contains(router));
        if self.now < self.next_timer_at {
            return;
        }
        // Orders that the shell had no room for, or that this router rejected in its state at that time, are
        // handed to the shell again.
        out.extend(self.table.not_in_force().take(PAGE_LENGTH).cloned().map(OrderOutput::Apply));
        self.compare_with_others(out);
    }

    /// Asks other routers for their summaries: while acknowledgements are awaited, those that have not
    /// acknowledged; otherwise a random one.
    fn compare_with_others(&mut self, out: &mut Vec<OrderOutput>) {
        let is_waiting = self.now < self.waits_until;
        let digest = self.table.digest();
        let is_pending = |router: &&String| !is_waiting || !self.is_acknowledged_by(router, digest);
        let mut receivers: Vec<String> = self.present.iter().filter(is_pending).cloned().collect();
        let (fanout, interval) = match is_waiting && !receivers.is_empty() {
            true => (QUERY_FANOUT, QUERY_INTERVAL),
            false => (1, COMPARE_INTERVAL),
        };
        if receivers.is_empty() {
            receivers.clone_from(&self.present);
        }
        receivers.shuffle(&mut self.rng);
        receivers.truncate(fanout);
        for receiver in receivers {
            self.send_summary(&receiver, true, out);
        }
        self.next_timer_at = self.now + interval;
    }

    /// Whether a router has acknowledged all orders that this digest covers.
    fn is_acknowledged_by(&self, router: &str, digest: u64) -> bool {
        self.summaries.get(router).is_some_and(|summary| summary.complete_digest == digest)
    }

    /// Whether each of these routers has acknowledged all orders that are known here, this one first. For a
    /// while from now on, those that have not are queried often, since a client waits for the result.
    pub fn acknowledgements(&mut self, routers: &[String]) -> Vec<OrderAck> {
        self.waits_until = self.waits_until.max(self.now + WAIT_AFTER_QUERY);
        self.next_timer_at = self.next_timer_at.min(self.now + QUERY_INTERVAL);
        let digest = self.table.digest();
        let own = OrderAck {
            router: self.router.clone(),
            is_complete: self.table.complete_digest() == digest,
            reported_at: Some(self.now),
        };
        let others = routers.iter().map(|router| OrderAck {
            router: router.clone(),
            is_complete: self.is_acknowledged_by(router, digest),
            reported_at: self.summaries.get(router).map(|summary| summary.reported_at),
        });
        std::iter::once(own).chain(others).collect()
    }
}

fn truncated(text: &str, chars: usize) -> String {
    text.chars().take(chars).collect()
}

fn send_order(to: String, order: &FleetOrder) -> OrderOutput {
    OrderOutput::Send { to, message: ReplicationMessage::Order { order: order.clone() } }
}

/// Whether an order was given in knowledge of the other one, or of one that replaced it.
fn knew_of(order: &FleetOrder, other: &FleetOrder) -> bool {
    order.replaces.as_ref().is_some_and(|replaced| *replaced >= other.id)
}
