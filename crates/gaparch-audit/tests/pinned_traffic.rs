//! A digest of all messages about list versions and orders that a small fleet sends, with a fixed seed.
//!
//! The constant was written by a build, the first one or one that changed the messages on purpose. Another digest
//! means that routers decide, or send, something else than before.

use gaparch_audit::{
    ActiveList, FleetOrders, FollowerOutput, FollowerSettings, ListFollower, ListOutcome, Nanos, OrderOutput,
};
use gaparch_protocol::list::{ListEntry, Scope, ServerState};
use gaparch_protocol::ops::intent::{Change, ChangeNote, DrainMode};
use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::versions::ReplicationMessage;
use sha2::{Digest, Sha256};

const MS: Nanos = 1_000_000;
const STEP: Nanos = 10 * MS;
const SECOND: Nanos = 1_000 * MS;
const ROUTERS: usize = 5;

fn name(router: usize) -> String {
    format!("router-{router}")
}

fn number(name: &str) -> usize {
    name.strip_prefix("router-").and_then(|number| number.parse().ok()).expect("a router")
}

fn entries(version: u64) -> Vec<ListEntry> {
    let entry = |engine: u64| ListEntry {
        engine: format!("engine-{engine:03}"),
        address: format!("10.0.0.{engine}:7000"),
        kind: "read".to_owned(),
        zone: "north".to_owned(),
        rack: "n1".to_owned(),
        state: if engine == version % 60 { ServerState::Draining } else { ServerState::Ready },
        weight: Some(0.5),
        started_at: None,
    };
    (0..60).map(entry).collect()
}

struct Router {
    list: ActiveList,
    follower: ListFollower,
    orders: FleetOrders,
    /// Whether the list service reaches this router.
    is_linked: bool,
}

struct Fleet {
    now: Nanos,
    routers: Vec<Router>,
    /// Sender, receiver and message, in the order in which they were sent.
    in_flight: Vec<(usize, usize, ReplicationMessage)>,
    traffic: Sha256,
    messages: u64,
    fetched: u64,
}

impl Fleet {
    fn new() -> Fleet {
        let router = |n: usize| Router {
            list: ActiveList::default(),
            follower: ListFollower::new(
                FollowerSettings { router: name(n), confirm_within: 2 * SECOND, seed: n as u64 },
                0,
            ),
            orders: FleetOrders::new(&name(n), 1, 10 + n as u64, Vec::new(), 0),
            is_linked: true,
        };
        let routers = (0..ROUTERS).map(router).collect();
        let (in_flight, traffic) = (Vec::new(), Sha256::new());
        Fleet { now: 0, routers, in_flight, traffic, messages: 0, fetched: 0 }
    }

    fn send(&mut self, from: usize, to: &str, message: ReplicationMessage) {
        self.traffic.update([from as u8]);
        self.traffic.update(to);
        self.traffic.update(to_bytes(&message));
        self.messages += 1;
        // Every fifth message is lost.
        if !self.messages.is_multiple_of(5) {
            self.in_flight.push((from, number(to), message));
        }
    }

    fn receive_from_service(&mut self, router: usize, version: u64) {
        let router = &mut self.routers[router];
        if !router.is_linked {
            return;
        }
        let outcome = router.list.apply_service_update(7, false, Scope::Full, version, &entries(version));
        if matches!(outcome, ListOutcome::Adopted { .. } | ListOutcome::Unchanged) {
            router.follower.on_list(self.now, Some(router.list.snapshot()), Some(self.now));
        }
    }

    fn carry_out(&mut self, router: usize, out: Vec<FollowerOutput>) {
        for output in out {
            match output {
                FollowerOutput::Send { to, message } => self.send(router, &to, message),
                FollowerOutput::Adopt { list, .. } => {
                    self.fetched += 1;
                    let router = &mut self.routers[router];
                    router.list.apply_peer_list(&list);
                    router.follower.on_list(self.now, Some(router.list.snapshot()), None);
                }
                FollowerOutput::Corroborated(version) => self.routers[router].list.corroborate(version),
                FollowerOutput::Event(_) => {}
            }
        }
    }

    fn carry_out_orders(&mut self, router: usize, out: Vec<OrderOutput>) {
        for output in out {
            let mut next = Vec::new();
            match output {
                OrderOutput::Send { to, message } => self.send(router, &to, message),
                OrderOutput::Apply(order) => {
                    self.routers[router].orders.on_applied(self.now, &order.id, &mut next);
                }
                OrderOutput::Persist(all) => self.routers[router].orders.on_stored(self.now, &all, &mut next),
                OrderOutput::Event(_) => {}
            }
            self.carry_out_orders(router, next);
        }
    }

    fn issue(&mut self, router: usize, change: &Change) {
        let note = ChangeNote { operator: name(router), reason: "a test".to_owned(), at: self.now };
        let mut out = Vec::new();
        self.routers[router].orders.issue(self.now, change, &note, &mut out);
        self.carry_out_orders(router, out);
    }

    fn run(&mut self, time: Nanos, version: u64) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for (from, to, message) in std::mem::take(&mut self.in_flight) {
                let (mut out, mut orders) = (Vec::new(), Vec::new());
                self.routers[to].orders.on_message(self.now, &name(from), &message, &mut orders);
                self.routers[to].follower.on_message(self.now, &name(from), message, &mut out);
                self.carry_out(to, out);
                self.carry_out_orders(to, orders);
            }
            for router in 0..ROUTERS {
                if self.now.is_multiple_of(SECOND / 2) {
                    self.receive_from_service(router, version);
                }
                let others: Vec<String> = (0..ROUTERS).filter(|n| *n != router).map(name).collect();
                let (mut out, mut orders) = (Vec::new(), Vec::new());
                self.routers[router].follower.on_timer(self.now, others.clone(), &mut out);
                self.routers[router].orders.on_timer(self.now, others, &mut orders);
                self.carry_out(router, out);
                self.carry_out_orders(router, orders);
            }
        }
    }
}

#[test]
fn messages_of_a_fleet_about_list_versions_and_orders() {
    let mut fleet = Fleet::new();
    fleet.run(5 * SECOND, 1);
    fleet.routers[3].is_linked = false;
    fleet.run(5 * SECOND, 2);
    fleet.issue(1, &Change::Pause {});
    fleet.issue(2, &Change::SetLimit { name: "queue".to_owned(), value: Some(8.0) });
    fleet.run(5 * SECOND, 3);
    // Neither router knows of the other's order yet.
    fleet.issue(1, &Change::Drain { engine: "engine-001".to_owned(), mode: DrainMode::Drain });
    fleet.issue(4, &Change::Drain { engine: "engine-001".to_owned(), mode: DrainMode::Detach });
    fleet.routers[0].is_linked = false;
    fleet.run(10 * SECOND, 4);
    let digest: String = fleet.traffic.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    let versions: Vec<u64> =
        fleet.routers.iter().filter_map(|router| Some(router.list.version()?.version)).collect();
    assert_eq!(versions, [4; ROUTERS]);
    assert_eq!(
        (fleet.fetched, fleet.messages, digest.as_str()),
        (4, 1551, "d1b0d84c7a6676b35351d7ca8022e4ba5787a19be67c5efa04419b187cda1748")
    );
}
