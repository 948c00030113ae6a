//! Handles the messages of other tasks: answers queries, carries out orders and reports the router's state.

use super::{Control, OpenRequests, Owner};
use crate::core::{Input, Output, Proposal};
use crate::shell::fleet::{AdoptedList, LocalOrder};
use crate::shell::ops::{BroadcasterMessage, OrderOutcome, OrderReply};
use gaparch_ops::OrderDenied;
use gaparch_protocol::ops::intent::{Change, ChangeNote};
use gaparch_protocol::ops::view::{Event, RouterMetrics, Severity};
use gaparch_protocol::ops::{DenyCode, Order};
use gaparch_protocol::versions::FleetOrder;
use tokio::sync::oneshot;

impl Owner {
    pub(super) fn on_control(&mut self, control: Control, out: &mut Vec<Output>) {
        let now = self.clock.now();
        // Replies fail if the task that asked has ended, which is ignored.
        match control {
            Control::Counters(reply) => drop(reply.send(self.core.counters())),
            Control::OpenRequestCount(reply) => drop(reply.send(self.core.open_requests())),
            Control::Order { order, operator, local_only, reply } => {
                self.on_order(&order, &operator, local_only, reply, out)
            }
            Control::FleetOrder { order, reply } => drop(reply.send(self.on_fleet_order(&order, out))),
            Control::OpenRequests { max, reply } => {
                let views = self.core.open_request_views(max);
                drop(reply.send(OpenRequests { views, total: self.core.open_requests() as u64 }));
            }
            Control::OpenRequest { id, reply } => drop(reply.send(self.core.open_request_view(id))),
            Control::RouterCount(count) => self.core.handle(now, Input::RouterCountChanged(count), out),
            Control::AdoptList(adopted) => self.on_adopted_list(adopted, now, out),
            Control::Stop => self.core.handle(now, Input::StopAt(now), out),
            Control::StopNow => {
                self.core.handle(now, Input::StopNow, out);
                self.submit_sends();
            }
        }
    }

    fn on_adopted_list(&mut self, adopted: AdoptedList, now: u64, out: &mut Vec<Output>) {
        self.submit_sends();
        let update = self.versions.as_mut().and_then(|versions| versions.on_adopted(adopted));
        if let Some(update) = update {
            self.core.handle(now, Input::ListUpdated(update), out);
        }
    }

    /// Carries out an order at once and acknowledges it once it is stored.
    fn on_order(
        &mut self,
        order: &Order,
        operator: &str,
        local_only: bool,
        reply: OrderReply,
        out: &mut Vec<Output>,
    ) {
        let now = self.clock.now();
        let Some(operations) = &mut self.operations else { return };
        let proposal = match self.core.propose(now, order, operator) {
            Ok(proposal) => proposal,
            // A reply fails, here and below, if the operator has disconnected.
            Err(denied) => return drop(reply.send(Err(denied))),
        };
        if proposal.accepted.change == (Change::Stop {}) {
            operations.request_stop(now, operator, &order.reason);
            let outcome = OrderOutcome { revision: proposal.accepted.revision - 1, effect: proposal.effect };
            return drop(reply.send(Ok(outcome)));
        }
        let Some(permit) = operations.reserve() else {
            let message = "too many orders wait to be kept; nothing was changed";
            return drop(reply.send(Err(OrderDenied::new(DenyCode::Busy, message))));
        };
        let replicated = self.versions.as_ref().filter(|_| !local_only);
        if let Some(versions) = replicated {
            let Some(permit) = versions.reserve_order() else {
                let message = "too many orders are on their way to the other routers; nothing was changed";
                return drop(reply.send(Err(OrderDenied::new(DenyCode::Busy, message))));
            };
            let (change, note) = (proposal.accepted.change.clone(), proposal.accepted.note.clone());
            permit.send(LocalOrder { change, note });
        }
        self.submit_sends();
        self.core.handle(now, Input::OperatorChange(proposal.accepted.clone()), out);
        // Reports the new state first, so that a query after the acknowledgement shows the effect.
        self.report_status();
        if let Some(operations) = &mut self.operations {
            operations.store_order(permit, proposal, reply);
        }
    }

    /// Applies an order of another router and stores it like a local one. Returns whether it is in force.
    fn on_fleet_order(&mut self, order: &FleetOrder, out: &mut Vec<Output>) -> bool {
        let now = self.clock.now();
        let operator = format!("{} at {}", order.note.operator, order.id.router);
        let note = ChangeNote { operator, ..order.note.clone() };
        let Some(operations) = &mut self.operations else { return false };
        let accepted = match self.core.adopt_fleet_order(&order.change, &note) {
            Ok(None) => return true,
            Ok(Some(accepted)) => accepted,
            Err(denied) => {
                let text = format!("an order of the fleet can't be in force here: {denied}");
                let event = Event { at: now, severity: Severity::Fault, engine: None, text };
                operations.send(BroadcasterMessage::Event(event));
                return false;
            }
        };
        let Some(permit) = operations.reserve() else { return false };
        self.submit_sends();
        self.core.handle(now, Input::OperatorChange(accepted.clone()), out);
        self.report_status();
        if let Some(operations) = &mut self.operations {
            // Nobody waits for this copy: the acknowledgement depends on the fleet's order store.
            let (reply, _) = oneshot::channel();
            operations.store_order(permit, Proposal { accepted, effect: String::new() }, reply);
        }
        true
    }

    /// Reports the router's state to operators.
    pub(super) fn report_status(&mut self) {
        let Some(operations) = &mut self.operations else { return };
        let lag = std::mem::take(&mut self.status_lag);
        let lag_us = u64::try_from(lag.as_micros()).unwrap_or(u64::MAX);
        let metrics = RouterMetrics { at: self.clock.now(), lag_us, ..self.core.metrics() };
        operations.report_status(metrics, self.core.engine_views(), self.core.limits());
    }
}
