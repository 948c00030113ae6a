//! Fleets of many servers: a request chooses among the servers in the neighbourhood of its key on the hash
//! ring, however many there are in total.

mod common;

use common::{attempt_outcome, class, kinds, settings, Router, MS, S};
use gaparch_scheduler::api::*;
use gaparch_scheduler::state::{FleetSummary, NeighborhoodLimits, RingPosition, Server, ServerTable};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// The same limits as in the module.
const NEIGHBORHOOD: NeighborhoodLimits =
    NeighborhoodLimits { target_servers: NEAR, max_servers: 256, points_per_cell: 16, edge_weight: 1e-3 };
const NEAR: usize = 64;
const SERVERS_PER_STEP: usize = 256;
const PREFILL: usize = 0;
const DECODE: usize = 1;

/// A fleet with cells of that many servers; one server in three is a prefill worker.
fn fleet(servers: u32, cell_size: u32) -> Vec<Endpoint> {
    (0..servers)
        .map(|number| server(number, if number % 3 == 0 { PREFILL } else { DECODE }, number / cell_size))
        .collect()
}

fn server(number: u32, kind: usize, cell: u32) -> Endpoint {
    Endpoint {
        server: ServerId((number + 1).wrapping_mul(2_654_435_761)),
        zone: Some(ZoneId((cell % 3) as usize)),
        kind: Some(KindId(kind)),
        cell: Some(CellId(u64::from(cell))),
        state: ServerState::Ready,
        weight: None,
        started_at: None,
    }
}

/// The module's tables for an endpoint list.
struct Tables {
    servers: ServerTable,
    fleet: FleetSummary,
}

impl Tables {
    fn of(endpoints: &[Endpoint]) -> Tables {
        let mut tables = Tables { servers: ServerTable::default(), fleet: FleetSummary::default() };
        tables.update(endpoints);
        tables
    }

    fn update(&mut self, endpoints: &[Endpoint]) {
        let role = |e: &Endpoint| if e.kind == Some(KindId(PREFILL)) { Role::Prefill } else { Role::Decode };
        self.servers.insert_missing(endpoints.iter().map(|e| Server::new(e.server, role(e), 1e5)));
        for endpoint in endpoints {
            let server = self.servers.get_mut(endpoint.server).expect("the server was inserted");
            server.update_listing(0, endpoint, 0.0);
        }
        self.fleet.update_listed(&mut self.servers, SERVERS_PER_STEP, NEIGHBORHOOD);
    }

    fn ids(&self, indices: &[usize]) -> BTreeSet<ServerId> {
        self.servers.at(indices).map(|s| s.id).collect()
    }

    /// The prefill workers and the decode workers in the neighbourhood of a key.
    fn near(&self, key: u64) -> [BTreeSet<ServerId>; 2] {
        self.near_position(position(key))
    }

    fn near_position(&self, position: RingPosition) -> [BTreeSet<ServerId>; 2] {
        let near = self.fleet.neighborhood(Some(position), None, NEIGHBORHOOD);
        [self.ids(&near.servers.prefill), self.ids(&near.servers.decode)]
    }

    /// The preferred prefill worker of a key, by the module's hash.
    fn preferred_worker(&self, key: u64) -> ServerId {
        let near = self.fleet.neighborhood(Some(position(key)), None, NEIGHBORHOOD);
        let weights = near.distance_weights(&self.servers);
        let distance =
            |s: &&Server| -AffinityKey(key).unit_interval(s.id).ln() / (s.affinity_weight * weights.of(s.id));
        let preferred =
            self.servers.at(&near.servers.prefill).min_by(|a, b| distance(a).total_cmp(&distance(b)));
        preferred.expect("there are prefill workers").id
    }
}

fn position(key: u64) -> RingPosition {
    RingPosition::Key(AffinityKey(key).rendezvous_rank(ServerId(0)))
}

/// The share of keys that have different preferred prefill workers by two endpoint lists.
fn moved_share(a: &Tables, b: &Tables) -> f64 {
    const KEYS: u64 = 10_000;
    (0..KEYS).filter(|key| a.preferred_worker(*key) != b.preferred_worker(*key)).count() as f64 / KEYS as f64
}

#[test]
fn a_request_chooses_among_similarly_many_servers_in_a_fleet_of_any_size() {
    for servers in [400, 1_000, 4_000, 10_000] {
        let tables = Tables::of(&fleet(servers, 12));
        for key in 0..500 {
            let [prefill_workers, decode_workers] = tables.near(key);
            assert!(
                (NEAR..2 * NEAR).contains(&prefill_workers.len()),
                "{servers}: {} prefill workers",
                prefill_workers.len()
            );
            assert!(
                (NEAR..4 * NEAR).contains(&decode_workers.len()),
                "{servers}: {} decode workers",
                decode_workers.len()
            );
        }
    }
}

#[test]
fn in_a_small_fleet_a_request_chooses_among_all_servers() {
    let tables = Tables::of(&fleet(256, 12));
    assert!(!tables.fleet.uses_neighborhoods());
    let [prefill_workers, decode_workers] = tables.near(7);
    assert_eq!((prefill_workers.len(), decode_workers.len()), (86, 170));
    assert!(Tables::of(&fleet(257, 12)).fleet.uses_neighborhoods());
}

/// Neighbourhoods have enough servers, and not too many, where one role is much scarcer than the other and
/// where servers have no cell. Where all servers are in one cell, they have all prefill workers.
#[test]
fn neighborhoods_of_uneven_fleets_have_a_suitable_number_of_servers() {
    let scarce = |servers: u32| -> Vec<Endpoint> {
        (0..servers).map(|n| server(n, if n % 50 == 0 { PREFILL } else { DECODE }, n / 10)).collect()
    };
    let tables = Tables::of(&scarce(5_000));
    for key in 0..200 {
        let [prefill_workers, decode_workers] = tables.near(key);
        assert!(
            prefill_workers.len() >= NEAR && decode_workers.len() <= 5 * NEAR,
            "{} {}",
            prefill_workers.len(),
            decode_workers.len()
        );
    }
    let tables = Tables::of(&scarce(1_000));
    assert_eq!(
        tables.near(3)[0].len(),
        20,
        "a request chooses among all prefill workers where there are so few"
    );
    let without_cell: Vec<Endpoint> =
        fleet(2_000, 12).into_iter().map(|e| Endpoint { cell: None, ..e }).collect();
    let tables = Tables::of(&without_cell);
    for key in 0..200 {
        assert!(tables.near(key).iter().all(|role| (NEAR..4 * NEAR).contains(&role.len())));
    }
    let one_cell: Vec<Endpoint> = fleet(2_000, 2_000);
    assert_eq!(Tables::of(&one_cell).near(1)[0].len(), 667);
}

#[test]
fn a_neighborhood_with_a_prefill_worker_of_a_cell_has_all_servers_of_the_cell() {
    let endpoints = fleet(2_000, 12);
    let tables = Tables::of(&endpoints);
    let mut cells: BTreeMap<CellId, [BTreeSet<ServerId>; 2]> = BTreeMap::new();
    for endpoint in &endpoints {
        let kind = endpoint.kind.expect("each endpoint has a kind").0;
        let cell = endpoint.cell.expect("each endpoint has a cell");
        cells.entry(cell).or_default()[kind].insert(endpoint.server);
    }
    for key in 0..300 {
        let [prefill_workers, decode_workers] = tables.near(key);
        for of_cell in cells.values().filter(|of_cell| !of_cell[PREFILL].is_disjoint(&prefill_workers)) {
            assert!(
                of_cell[PREFILL].is_subset(&prefill_workers) && of_cell[DECODE].is_subset(&decode_workers)
            );
        }
    }
}

/// No prefill worker is preferred by more than its even share of keys, apart from chance and the uneven gaps
/// of the hash ring.
#[test]
fn keys_are_spread_evenly_over_prefill_workers() {
    for servers in [600u32, 3_000] {
        let tables = Tables::of(&fleet(servers, 12));
        let keys = u64::from(servers) * 100;
        let mut keys_by_worker: BTreeMap<ServerId, u64> = BTreeMap::new();
        (0..keys).for_each(|key| *keys_by_worker.entry(tables.preferred_worker(key)).or_default() += 1);
        let mean = keys as f64 / (servers as f64 / 3.0);
        assert_eq!(
            keys_by_worker.len(),
            servers as usize / 3,
            "every prefill worker is preferred by some key"
        );
        let most = *keys_by_worker.values().max().expect("there are prefill workers") as f64;
        // Five standard deviations, and a fifth for the uneven gaps of the hash ring.
        let bound = mean * 1.2 + 5.0 * mean.sqrt();
        assert!(most < bound, "{servers}: {most} of {mean} on average");
    }
}

proptest! {
    // The seed is fixed, so that the result is the same each time.
    #![proptest_config(ProptestConfig {
        cases: 12,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// The neighbourhood of a key depends only on the endpoint list, not on the updates by which the list was
    /// received.
    #[test]
    fn neighborhoods_depend_only_on_the_endpoint_list(
        servers in 300u32..1_500,
        cell_size in 2u32..40,
        updates in 1usize..6,
        unavailable in prop::collection::vec(any::<u32>(), 0..60),
    ) {
        let mut endpoints = fleet(servers, cell_size);
        let at_once = Tables::of(&endpoints);
        let mut updated = Tables { servers: ServerTable::default(), fleet: FleetSummary::default() };
        let reversed: Vec<Endpoint> = endpoints.iter().rev().cloned().collect();
        reversed.chunks(reversed.len().div_ceil(updates)).for_each(|update| updated.update(update));
        for key in 0..50 {
            prop_assert_eq!(at_once.near(key), updated.near(key));
        }
        for number in unavailable {
            let index = (number % servers) as usize;
            let is_removed = number % 2 == 0;
            endpoints[index].state = if is_removed { ServerState::Removed } else { ServerState::Draining };
        }
        updated.update(&endpoints);
        let ready: Vec<Endpoint> = endpoints.into_iter().filter(|e| e.state == ServerState::Ready).collect();
        let at_once = Tables::of(&ready);
        for key in 0..50 {
            prop_assert_eq!(at_once.near(key), updated.near(key));
        }
    }

    /// When a part of the servers is removed, not much more than that part of the keys gets another preferred
    /// worker.
    #[test]
    fn few_keys_move_when_servers_are_removed(
        servers in 1_000u32..4_000,
        percent in 1u32..8,
        salt in any::<u32>(),
    ) {
        let endpoints = fleet(servers, 12);
        let old = Tables::of(&endpoints);
        let is_removed = |e: &&Endpoint| (e.server.0 ^ salt).wrapping_mul(0x9e37_79b9) % 100 < percent;
        let kept: Vec<Endpoint> = endpoints.iter().filter(|e| !is_removed(e)).cloned().collect();
        let removed = 1.0 - kept.len() as f64 / endpoints.len() as f64;
        let new = Tables::of(&kept);
        // The keys of removed workers move, and some keys move to workers that come into their neighbourhood.
        let moved = moved_share(&old, &new);
        prop_assert!(moved < 2.5 * removed + 0.01, "{moved} of the keys, {removed} of the servers");
    }
}

fn site_settings() -> Settings {
    Settings {
        classes: vec![class(Idempotency::Idempotent, DeduplicationScope::All)],
        kinds: kinds([100_000.0; 3]),
        ..settings()
    }
}

/// The server of the first send among the actions.
fn first_send(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// If all servers in a key's neighbourhood are draining, removed or warming up, its requests are sent to
/// others, and none is rejected.
#[test]
fn a_request_without_capacity_in_its_neighborhood_is_sent_elsewhere() {
    let endpoints = fleet(1_200, 12);
    let near = Tables::of(&endpoints).near(5);
    let with_neighborhood_as = |state: ServerState, started_at: Option<Nanos>| -> Vec<Endpoint> {
        let is_near = |e: &Endpoint| near.iter().any(|role| role.contains(&e.server));
        let changed = |e: &Endpoint| Endpoint { state, started_at, ..e.clone() };
        endpoints.iter().map(|e| if is_near(e) { changed(e) } else { e.clone() }).collect()
    };
    let just_started = Some(100 * S - MS);
    for list in [
        with_neighborhood_as(ServerState::Draining, None),
        with_neighborhood_as(ServerState::Removed, None),
        with_neighborhood_as(ServerState::Ready, just_started),
    ] {
        let mut router = Router::new(site_settings(), list);
        let request = Request { prefix: Some(AffinityKey(5)), ..router.request(1) };
        let mut actions = router.handle(Event::RequestArrived(request));
        actions.extend(router.advance(300 * MS));
        let server = first_send(&actions).expect("it is sent");
        assert!(!near[PREFILL].contains(&server), "{server:?} is near");
        assert!(!actions.iter().any(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })));
    }
}

/// Where no server in a key's neighbourhood has capacity, the search goes over all servers, in no more
/// neighbourhoods than that takes.
#[test]
fn the_search_covers_all_servers_once() {
    for (servers, cell_size) in [(600, 12), (3_000, 12), (2_000, 7)] {
        let tables = Tables::of(&fleet(servers, cell_size));
        let all = servers as usize;
        let max_lookups = 2 + all.div_ceil(NEAR * 3 - 3 * cell_size as usize);
        for key in [0, 7, 99] {
            let (mut seen, mut position, mut lookups) = (BTreeSet::new(), position(key), 0);
            while seen.len() < all {
                lookups += 1;
                assert!(lookups <= max_lookups, "{servers}: {} seen in {lookups} lookups", seen.len());
                seen.extend(tables.near_position(position).into_iter().flatten());
                position = tables
                    .fleet
                    .neighborhood(Some(position), None, NEIGHBORHOOD)
                    .next
                    .expect("there is a next neighbourhood");
            }
        }
    }
}

/// The decode workers of the cell that holds a KV cache are always in the neighbourhood, wherever the key is.
#[test]
fn a_neighborhood_has_all_decode_workers_of_the_kv_caches_cell() {
    let endpoints = fleet(2_000, 12);
    let tables = Tables::of(&endpoints);
    for cell in (0..160).map(CellId) {
        let near = tables.fleet.neighborhood(Some(position(3)), Some(cell), NEIGHBORHOOD);
        let decode_workers = tables.ids(&near.servers.decode);
        let of_cell = endpoints.iter().filter(|e| e.cell == Some(cell) && e.kind == Some(KindId(DECODE)));
        assert!(of_cell.clone().count() > 0);
        of_cell.for_each(|e| assert!(decode_workers.contains(&e.server), "{cell:?}"));
    }
}

/// Only the servers of one cell in the fleet have capacity: wherever that cell is, a request finds it in
/// time.
#[test]
fn the_last_capacity_of_a_fleet_is_found() {
    let endpoints = fleet(1_200, 12);
    // With so many routers the slow start budget of a single router is practically zero.
    let settings = Settings { router_count: 1_000_000, ..site_settings() };
    let warm_cell = CellId(57);
    let list: Vec<Endpoint> = endpoints
        .iter()
        .map(|e| {
            if e.cell == Some(warm_cell) {
                e.clone()
            } else {
                Endpoint { started_at: Some(100 * S), ..e.clone() }
            }
        })
        .collect();
    for id in 1..=20 {
        let mut router = Router::new(settings.clone(), list.clone());
        let request = Request { prefix: Some(AffinityKey(id * 977)), ..router.request(id) };
        let mut actions = router.handle(Event::RequestArrived(request));
        actions.extend(router.advance(S));
        let server = first_send(&actions).expect("it is sent");
        let cell = endpoints.iter().find(|e| e.server == server).and_then(|e| e.cell);
        assert_eq!(cell, Some(warm_cell), "{id}");
    }
}

/// Two routers whose endpoint lists differ slightly agree on nearly all preferred workers.
#[test]
fn routers_with_slightly_different_lists_agree_on_preferred_workers() {
    let endpoints = fleet(3_000, 12);
    let fewer: Vec<Endpoint> = endpoints.iter().skip(24).cloned().collect();
    let moved = moved_share(&Tables::of(&endpoints), &Tables::of(&fewer));
    assert!(moved < 0.03, "{moved} of the preferred workers differ, 0.008 of the list");
}

fn outcome(id: u64, attempt: u32, server: ServerId, status: AttemptStatus) -> AttemptOutcome {
    attempt_outcome(RequestId(id), AttemptNumber(attempt), server, status, MS)
}

/// The servers of all sends among the actions.
fn sends(actions: &[Action]) -> Vec<ServerId> {
    let server = |action: &Action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

/// A shared prefix that makes up all traffic is spread over several ring positions, each of its sessions at
/// one.
#[test]
fn a_popular_prefix_is_prefilled_at_more_workers_than_one_neighborhood_has() {
    let mut router = Router::new(site_settings(), fleet(1_200, 12));
    let mut prefill_workers = BTreeSet::new();
    for id in 1..=2_000 {
        let request = Request { prefix: Some(AffinityKey(5)), ..router.request(id) };
        prefill_workers.extend(sends(&router.handle(Event::RequestArrived(request))));
    }
    assert!(prefill_workers.len() > 3 * NEAR, "{} prefill workers", prefill_workers.len());
}

/// Requests that are being prefilled will be decoded anywhere in the fleet, so the decode workers of one
/// neighbourhood need not have capacity for all of them.
#[test]
fn the_decode_demand_is_compared_with_the_capacity_of_all_decode_workers() {
    let mut router = Router::new(site_settings(), fleet(300, 12));
    // 200 decode workers with 92,000 usable tokens each, and 1,100 tokens per request.
    const REQUESTS: u64 = 14_000;
    let mut sent = 0;
    for id in 1..=REQUESTS {
        let request = Request { prefix: Some(AffinityKey(id * 977)), ..router.request(id) };
        sent += sends(&router.handle(Event::RequestArrived(request))).len() as u64;
    }
    assert_eq!(sent, REQUESTS, "none is queued while all decode workers together have capacity");
}

/// Queued requests for which there is no capacity anywhere don't keep the requests behind them from being
/// checked.
#[test]
fn queued_requests_that_find_no_capacity_do_not_starve_others() {
    let decode_workers = (0..5).map(|number| server(10_000 + number, DECODE, 900 + number));
    let prefill_workers = (0..300).map(|number| server(number, PREFILL, number / 12));
    let mut router = Router::new(site_settings(), prefill_workers.chain(decode_workers).collect());
    // A stream at each decode worker, as one without any load would accept a request of any size.
    let mut streaming = BTreeSet::new();
    let mut ids = 1..=50;
    while streaming.len() < 5 {
        let id = ids.next().expect("each decode worker gets one");
        let prefill_worker = sends(&router.handle(Event::RequestArrived(router.request(id))))[0];
        let prefilled = outcome(id, 0, prefill_worker, AttemptStatus::Prefilled);
        let decode_worker = sends(&router.handle(Event::AttemptFinished(prefilled)))[0];
        streaming.insert(decode_worker);
        let (id, attempt) = (RequestId(id), AttemptNumber(1));
        router.handle(Event::FirstToken { id, attempt, server: decode_worker, latency: MS });
    }
    for id in 100..130 {
        let large = Request { prompt_tokens: 95_000.0, ..router.request(id) };
        assert!(
            sends(&router.handle(Event::RequestArrived(large))).is_empty(),
            "there is no capacity for it"
        );
    }
    let mut actions = router.handle(Event::RequestArrived(router.request(500)));
    actions.extend(router.advance(200 * MS));
    assert_eq!(sends(&actions).len(), 1, "the small request is sent");
}

/// A request that may have run in one cell may be repeated only there, so it does not wait until the search
/// comes to that cell.
#[test]
fn a_repeat_bound_to_a_cell_is_sent_as_soon_as_the_cell_has_capacity() {
    let class = TrafficClass {
        idempotency: Idempotency::WithKey,
        deduplication_window: 4 * S,
        ..class(Idempotency::WithKey, DeduplicationScope::Cell)
    };
    let settings = Settings { classes: vec![class], kv_release_within: 3 * S, ..site_settings() };
    // Each cell has a prefill worker and two decode workers.
    let mut router = Router::new(settings, fleet(10_000, 3));
    let prefill_worker = sends(&router.handle(Event::RequestArrived(router.request(1))))[0];
    let cell =
        |id: ServerId| (0..10_000).find(|n| server(*n, 0, 0).server == id).expect("the id is listed") / 3;
    let near = (0..3).map(|n| 3 * cell(prefill_worker) + n).filter(|n| n % 3 != 0);
    let draining = |n| Endpoint { state: ServerState::Draining, ..server(n, DECODE, cell(prefill_worker)) };
    router.update_endpoints(EndpointUpdate::Delta, near.map(draining).collect());
    let prefilled = outcome(1, 0, prefill_worker, AttemptStatus::Prefilled);
    let mut decode_worker = sends(&router.handle(Event::AttemptFinished(prefilled)))[0];
    let bound_cell = cell(decode_worker);
    for (attempt, status) in
        [(1, AttemptStatus::Error), (2, AttemptStatus::Rejected), (3, AttemptStatus::Rejected)]
    {
        let actions = router.handle(Event::AttemptFinished(outcome(1, attempt, decode_worker, status)));
        if attempt < 3 {
            decode_worker = sends(&actions)[0];
            assert_eq!(cell(decode_worker), bound_cell, "attempt {attempt}");
        }
    }
    assert!(
        sends(&router.advance(900 * MS)).is_empty(),
        "a server that rejected an attempt is not used for a second"
    );
    let again = sends(&router.advance(150 * MS));
    assert_eq!(again.iter().map(|server| cell(*server)).collect::<Vec<_>>(), [bound_cell]);
}

/// In a large fleet, too, latencies are compared with the median of the role.
#[test]
fn a_slow_prefill_worker_is_detected_in_a_large_fleet() {
    let mut router = Router::new(site_settings(), fleet(300, 12));
    let slow = server(0, PREFILL, 0).server;
    for id in 1..=1_500 {
        let prefill_worker = sends(&router.handle(Event::RequestArrived(router.request(id))))[0];
        let latency = if prefill_worker == slow { 100 * MS } else { 10 * MS };
        let prefilled =
            AttemptOutcome { latency, ..outcome(id, 0, prefill_worker, AttemptStatus::Prefilled) };
        let decode_worker = sends(&router.handle(Event::AttemptFinished(prefilled)))[0];
        router.handle(Event::AttemptFinished(AttemptOutcome {
            request_finished: true,
            ..outcome(id, 1, decode_worker, AttemptStatus::Ok)
        }));
        router.advance(MS);
    }
    let latency_ratio = |id: ServerId| {
        router.policy.views().find(|view| view.server == id).expect("the server is listed").latency_ratio
    };
    let peer = latency_ratio(server(3, PREFILL, 0).server);
    assert!(latency_ratio(slow) > 2.0 && (0.5..1.5).contains(&peer), "{} beside {peer}", latency_ratio(slow));
}
