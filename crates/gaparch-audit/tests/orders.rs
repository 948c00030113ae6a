//! Replication of orders in virtual time, with reordered, lost and duplicated messages, partitions, kills and
//! restored state folders.

use gaparch_audit::{subject, FleetOrder, FleetOrders, Nanos, OrderEvent, OrderOutput};
use gaparch_protocol::ops::intent::{Change, ChangeNote, DrainMode};
use gaparch_protocol::versions::ReplicationMessage;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
const STEP: Nanos = 10 * MS;

fn name(n: usize) -> String {
    format!("router-{n}")
}

struct Router {
    orders: FleetOrders,
    /// The changes that are in force, by subject.
    in_force: BTreeMap<String, Change>,
    disk: Vec<FleetOrder>,
    disk_works: bool,
    events: Vec<OrderEvent>,
}

struct Fleet {
    now: Nanos,
    rng: ChaCha8Rng,
    routers: Vec<Option<Router>>,
    in_flight: Vec<(Nanos, usize, usize, ReplicationMessage)>,
    loss: f64,
    /// Routers on different sides of a partition exchange no messages.
    sides: Vec<u8>,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: MS,
            rng: ChaCha8Rng::seed_from_u64(seed),
            routers: Vec::new(),
            in_flight: Vec::new(),
            loss: 0.0,
            sides: vec![0; count],
        };
        for n in 0..count {
            fleet.routers.push(None);
            fleet.start(n, Vec::new(), 1);
        }
        fleet
    }

    fn start(&mut self, n: usize, disk: Vec<FleetOrder>, incarnation: u64) {
        let seed = self.rng.random();
        let orders = FleetOrders::new(&name(n), incarnation, seed, disk.clone(), self.now);
        let in_force = disk.iter().filter_map(|o| Some((subject(&o.change)?, o.change.clone()))).collect();
        self.routers[n] = Some(Router { orders, in_force, disk, disk_works: true, events: Vec::new() });
    }

    fn issue(&mut self, n: usize, change: Change) {
        let note = ChangeNote { operator: format!("operator-{n}"), reason: "a test".to_owned(), at: 0 };
        let mut out = Vec::new();
        let router = self.routers[n].as_mut().expect("the router runs");
        router.in_force.insert(subject(&change).expect("a replicated change"), change.clone());
        router.orders.issue(self.now, &change, &note, &mut out);
        self.carry_out(n, out);
    }

    fn present(&self, n: usize) -> Vec<String> {
        let is_reachable =
            |o: &usize| *o != n && self.routers[*o].is_some() && self.sides[*o] == self.sides[n];
        (0..self.routers.len()).filter(is_reachable).map(name).collect()
    }

    fn carry_out(&mut self, n: usize, out: Vec<OrderOutput>) {
        for output in out {
            let Some(router) = &mut self.routers[n] else { return };
            match output {
                OrderOutput::Send { to, message } => {
                    let to: usize =
                        to.strip_prefix("router-").and_then(|t| t.parse().ok()).expect("a router");
                    for _ in 0..=usize::from(self.rng.random_bool(self.loss / 2.0)) {
                        if self.sides[n] == self.sides[to] && !self.rng.random_bool(self.loss) {
                            let delay = self.rng.random_range(MS..80 * MS);
                            self.in_flight.push((self.now + delay, n, to, message.clone()));
                        }
                    }
                }
                OrderOutput::Apply(order) => {
                    router
                        .in_force
                        .insert(subject(&order.change).expect("a replicated change"), order.change.clone());
                    let mut out = Vec::new();
                    router.orders.on_applied(self.now, &order.id, &mut out);
                    self.carry_out(n, out);
                }
                OrderOutput::Persist(all) => {
                    let mut out = Vec::new();
                    if router.disk_works {
                        router.disk.clone_from(&all);
                        router.orders.on_stored(self.now, &all, &mut out);
                    }
                    self.carry_out(n, out);
                }
                OrderOutput::Event(event) => router.events.push(event),
            }
        }
    }

    fn run(&mut self, time: Nanos) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for n in 0..self.routers.len() {
                let others = self.present(n);
                let mut out = Vec::new();
                if let Some(router) = &mut self.routers[n] {
                    router.orders.on_timer(self.now, others, &mut out);
                }
                self.carry_out(n, out);
            }
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.in_flight).into_iter().partition(|m| m.0 <= self.now);
            self.in_flight = later;
            for (_, from, to, message) in due {
                let mut out = Vec::new();
                if let Some(router) = &mut self.routers[to] {
                    router.orders.on_message(self.now, &name(from), &message, &mut out);
                }
                self.carry_out(to, out);
            }
        }
    }

    fn in_force(&self, n: usize) -> &BTreeMap<String, Change> {
        &self.routers[n].as_ref().expect("the router runs").in_force
    }

    fn is_acknowledged_by_all(&mut self, n: usize) -> bool {
        let others: Vec<String> = (0..self.routers.len()).filter(|o| *o != n).map(name).collect();
        self.routers[n]
            .as_mut()
            .expect("the router runs")
            .orders
            .acknowledgements(&others)
            .iter()
            .all(|ack| ack.is_complete)
    }
}

fn drain(engine: usize) -> Change {
    Change::Drain { engine: format!("engine-{engine}"), mode: DrainMode::Drain }
}

fn undrain(engine: usize) -> Change {
    Change::Undrain { engine: format!("engine-{engine}") }
}

#[test]
fn an_order_reaches_all_routers_in_time_and_is_acknowledged_to_its_issuer() {
    for (count, loss, timeout_ms) in
        [(2, 0.0, 600), (9, 0.0, 600), (40, 0.0, 800), (9, 0.3, 2_000), (40, 0.3, 2_000)]
    {
        let mut fleet = Fleet::new(count, count as u64);
        fleet.loss = loss;
        fleet.run(2_000 * MS);
        fleet.issue(0, drain(1));
        assert!(!fleet.is_acknowledged_by_all(0), "no other router can have received it yet");
        fleet.run(timeout_ms * MS);
        assert!((0..count).all(|n| fleet.in_force(n).len() == 1), "{count} at {loss}");
        assert!(fleet.is_acknowledged_by_all(0), "{count} at {loss}");
    }
}

#[test]
fn an_order_is_not_acknowledged_by_all_while_one_router_lacks_it() {
    let mut fleet = Fleet::new(5, 3);
    fleet.run(1_000 * MS);
    fleet.routers[3].as_mut().expect("the router runs").disk_works = false;
    fleet.issue(0, drain(1));
    fleet.run(5_000 * MS);
    assert_eq!(fleet.in_force(3).len(), 1, "in force on the router whose disk fails");
    assert!(!fleet.is_acknowledged_by_all(0), "a restart of that router would lose the order");
    fleet.routers[4] = None;
    fleet.routers[3].as_mut().expect("the router runs").disk_works = true;
    fleet.issue(1, drain(2));
    fleet.run(3_000 * MS);
    assert!(!fleet.is_acknowledged_by_all(0), "a router that has stopped has not acknowledged it");
    fleet.start(4, Vec::new(), 2);
    fleet.run(3_000 * MS);
    assert!(fleet.is_acknowledged_by_all(0));
}

#[test]
fn after_a_partition_the_more_restrictive_order_wins_and_the_other_is_reported() {
    let mut fleet = Fleet::new(6, 4);
    fleet.run(1_000 * MS);
    fleet.issue(2, drain(1));
    fleet.run(1_000 * MS);
    fleet.sides = vec![0, 0, 0, 1, 1, 1];
    fleet.issue(0, undrain(1));
    fleet.issue(4, Change::Drain { engine: "engine-1".to_owned(), mode: DrainMode::Detach });
    fleet.run(3_000 * MS);
    assert_ne!(fleet.in_force(1), fleet.in_force(5));
    fleet.sides = vec![0; 6];
    fleet.run(4_000 * MS);
    let detach = Change::Drain { engine: "engine-1".to_owned(), mode: DrainMode::Detach };
    for n in 0..6 {
        assert_eq!(fleet.in_force(n)["engine engine-1"], detach, "the more restrictive order, on router {n}");
    }
    let superseded: usize = fleet.routers.iter().flatten().map(|r| r.orders.superseded().count()).sum();
    assert!(superseded > 0, "the replaced order is remembered");
    let is_superseded =
        |e: &OrderEvent| matches!(e, OrderEvent::Superseded { order, .. } if order.id.router == name(0));
    assert!(fleet.routers.iter().flatten().any(|r| r.events.iter().any(is_superseded)));
}

#[test]
fn a_restored_state_folder_brings_no_lifted_order_back() {
    let mut fleet = Fleet::new(4, 5);
    fleet.run(1_000 * MS);
    fleet.issue(1, drain(1));
    fleet.run(2_000 * MS);
    let saved_disk = fleet.routers[2].as_ref().expect("the router runs").disk.clone();
    assert_eq!(saved_disk.len(), 1);
    fleet.issue(2, undrain(1));
    fleet.run(2_000 * MS);
    fleet.routers[2] = None;
    fleet.run(500 * MS);
    fleet.start(2, saved_disk, 3);
    fleet.run(3_000 * MS);
    assert!((0..4).all(|n| fleet.in_force(n)["engine engine-1"] == undrain(1)), "{:?}", fleet.in_force(2));
    // An order given on the restored router is later than all others.
    fleet.issue(2, drain(1));
    fleet.run(2_000 * MS);
    assert!((0..4).all(|n| fleet.in_force(n)["engine engine-1"] == drain(1)));
}

#[test]
fn an_implausible_number_is_rejected_and_blocks_no_further_order() {
    let mut fleet = Fleet::new(3, 6);
    fleet.run(1_000 * MS);
    fleet.issue(0, drain(1));
    fleet.run(1_000 * MS);
    let mut implausible = fleet.routers[1].as_ref().expect("the router runs").orders.all().remove(0);
    (implausible.id.number, implausible.change, implausible.id.restrictiveness) = (1 << 60, undrain(1), 0);
    let mut out = Vec::new();
    let router = fleet.routers[2].as_mut().expect("the router runs");
    router.orders.on_message(
        fleet.now,
        &name(1),
        &ReplicationMessage::Order { order: implausible },
        &mut out,
    );
    fleet.carry_out(2, out);
    fleet.run(1_000 * MS);
    assert!((0..3).all(|n| fleet.in_force(n)["engine engine-1"] == drain(1)));
    let is_implausible =
        |event: &OrderEvent| matches!(event, OrderEvent::Implausible { router, .. } if *router == name(1));
    assert!(fleet.routers[2].as_ref().expect("the router runs").events.iter().any(is_implausible));
    fleet.issue(1, undrain(1));
    fleet.run(1_000 * MS);
    assert!((0..3).all(|n| fleet.in_force(n)["engine engine-1"] == undrain(1)));
}

#[test]
fn hundreds_of_orders_reach_a_router_that_starts_late() {
    let mut fleet = Fleet::new(3, 7);
    fleet.run(500 * MS);
    (0..300).for_each(|n| fleet.issue(n % 2, drain(n)));
    fleet.routers[2] = None;
    fleet.run(2_000 * MS);
    fleet.start(2, Vec::new(), 2);
    fleet.run(10_000 * MS);
    assert_eq!(fleet.in_force(2).len(), 300);
    assert_eq!(fleet.in_force(2), fleet.in_force(0));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        // A fixed seed, so that each run checks the same cases.
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// After any sequence of orders, message loss, partitions, kills and restored state folders, all routers
    /// converge on the same orders: those with the greatest id.
    #[test]
    fn all_routers_converge_on_the_same_orders(
        seed in any::<u64>(),
        count in 2usize..6,
        loss in 0.0f64..0.5,
        steps in prop::collection::vec((0usize..6, 0u8..6, 0usize..3), 1..16),
    ) {
        let mut fleet = Fleet::new(count, seed);
        fleet.loss = loss;
        let mut saved_disks: Vec<Vec<FleetOrder>> = vec![Vec::new(); count];
        let mut incarnation = 1;
        for (router, action, engine) in steps {
            let n = router % count;
            match action {
                0 | 1 => fleet.issue(n, drain(engine)),
                2 => fleet.issue(n, undrain(engine)),
                3 => (0..count).for_each(|m| fleet.sides[m] = u8::from(m <= n)),
                4 => saved_disks[n] = fleet.routers[n].as_ref().expect("the router runs").disk.clone(),
                _ => {
                    incarnation += 1;
                    let disk = saved_disks[n].clone();
                    fleet.start(n, disk, incarnation);
                }
            }
            fleet.run(300 * MS);
        }
        fleet.sides = vec![0; count];
        fleet.run(15_000 * MS);
        let greatest = |n: usize| {
            let all = fleet.routers[n].as_ref().expect("the router runs").orders.all();
            all.into_iter().map(|o| (subject(&o.change), o.id)).collect::<BTreeMap<_, _>>()
        };
        for n in 1..count {
            prop_assert_eq!(fleet.in_force(n), fleet.in_force(0), "{}", n);
            prop_assert_eq!(greatest(n), greatest(0));
        }
        // A query makes the acknowledgements arrive within a few seconds.
        fleet.is_acknowledged_by_all(0);
        fleet.run(3_000 * MS);
        prop_assert!(fleet.is_acknowledged_by_all(0));
    }
}
