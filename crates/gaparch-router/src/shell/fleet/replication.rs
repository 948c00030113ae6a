//! Drives the replication of the endpoint list and of orders, and performs their outputs.

use super::order_store::FleetOrders;
use super::task::FleetTask;
use super::views::replication_severity;
use gaparch_audit::{
    self as audit, FleetOrders as OrderReplication, FollowerOutput, ListFollower, OrderOutput,
};
use gaparch_membership::Output;
use gaparch_protocol::fleet::MemberState;
use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::ops::view::{OrderReplicationView, ReplicationRow, Severity, SupersededOrder};
use std::collections::BTreeMap;

impl FleetTask {
    /// Calls `act` on the order replication, if it is enabled, and performs its outputs. `act` gets the
    /// current time, the names of the present peers and the buffer for its outputs.
    pub(super) fn with_orders(
        &mut self,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut OrderReplication, u64, Vec<String>, &mut Vec<OrderOutput>),
    ) {
        let now = self.clock.now();
        let Some(orders) = &mut self.order_replication else { return };
        let mut outputs = Vec::new();
        act(orders, now, self.membership.present_peers(), &mut outputs);
        for output in outputs {
            match output {
                OrderOutput::Send { to, message } => {
                    self.membership.send_payload(now, &to, to_bytes(&message), out);
                }
                // An order that does not fit in the queue is passed again later.
                OrderOutput::Apply(order) => drop(self.remote_orders.try_send(order)),
                OrderOutput::Persist(all) => drop(self.orders_to_store.send_replace(FleetOrders::new(all))),
                OrderOutput::Event(event) => self.report(Severity::Warning, event.to_string()),
            }
        }
    }

    /// Calls `act` on the list replication, as [`with_orders`](FleetTask::with_orders) does on that of
    /// orders.
    pub(super) fn with_list(
        &mut self,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut ListFollower, u64, Vec<String>, &mut Vec<FollowerOutput>),
    ) {
        let now = self.clock.now();
        let Some(follower) = &mut self.list_replication else { return };
        let mut outputs = Vec::new();
        act(follower, now, self.membership.present_peers(), &mut outputs);
        for output in outputs {
            match output {
                FollowerOutput::Send { to, message } => {
                    self.membership.send_payload(now, &to, to_bytes(&message), out);
                }
                FollowerOutput::Adopt { list, .. } => {
                    self.adopted_list.send_modify(|adopted| adopted.list = Some(list));
                }
                FollowerOutput::Corroborated(version) => {
                    self.adopted_list.send_modify(|adopted| adopted.corroborated = Some(version));
                }
                FollowerOutput::Event(event) => self.report(replication_severity(&event), event.to_string()),
            }
        }
    }

    /// Which routers have stored the orders of the fleet. All routers that did not leave are included, since
    /// one that is considered dead may only be unreachable.
    pub(super) fn order_replication_view(&mut self) -> Option<OrderReplicationView> {
        let orders = self.order_replication.as_mut()?;
        let members = self.membership.view().members;
        let states: BTreeMap<String, MemberState> =
            members.into_iter().map(|member| (member.info.name, member.state)).collect();
        let may_be_alive = states.iter().filter(|(_, state)| **state != MemberState::Left);
        let names: Vec<String> = may_be_alive.map(|(name, _)| name.clone()).collect();
        let row = |ack: audit::OrderAck| ReplicationRow {
            state: states.get(&ack.router).copied().unwrap_or(MemberState::Alive),
            router: ack.router,
            has_all: ack.is_complete,
            reported_at: ack.reported_at,
        };
        let rows: Vec<ReplicationRow> = orders.acknowledgements(&names).into_iter().map(row).collect();
        let superseded = orders
            .superseded()
            .map(|entry| SupersededOrder { order: entry.order.clone(), by: entry.by.clone() })
            .collect();
        let complete = rows.iter().all(|row| row.has_all);
        Some(OrderReplicationView { complete, orders: orders.all(), superseded, rows })
    }
}
