//! Fleets of many servers: a request deals with those near its key, whatever the number of all.

mod common;

use common::{class, kinds, settings, Router, MS, S};
use gaparch_scheduler::api::*;
use gaparch_scheduler::state::{FleetSummary, NeighborhoodLimits, RingPosition, Server, ServerTable};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// As in the module.
const NEIGHBORHOOD: NeighborhoodLimits =
    NeighborhoodLimits { target_servers: NEAR, max_servers: 256, points_per_cell: 16, edge_weight: 1e-3 };
const NEAR: usize = 64;
const SERVERS_PER_STEP: usize = 256;
const PREFILL: usize = 0;
const DECODE: usize = 1;

/// A fleet of cells of this many servers, one of three a prefill worker.
fn fleet(servers: u32, cell: u32) -> Vec<Endpoint> {
    (0..servers)
        .map(|number| server(number, if number % 3 == 0 { PREFILL } else { DECODE }, number / cell))
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

/// The module's tables of a list, told in so many pieces.
struct Listed {
    servers: ServerTable,
    fleet: FleetSummary,
}

impl Listed {
    fn of(entries: &[Endpoint]) -> Listed {
        let mut listed = Listed { servers: ServerTable::default(), fleet: FleetSummary::default() };
        listed.tell(entries);
        listed
    }

    fn tell(&mut self, entries: &[Endpoint]) {
        let role = |e: &Endpoint| if e.kind == Some(KindId(PREFILL)) { Role::Prefill } else { Role::Decode };
        self.servers.insert_missing(entries.iter().map(|e| Server::new(e.server, role(e), 1e5)));
        for entry in entries {
            self.servers.get_mut(entry.server).expect("made").update_listing(0, entry, 0.0);
        }
        self.fleet.update_listed(&mut self.servers, SERVERS_PER_STEP, NEIGHBORHOOD);
    }

    fn ids(&self, places: &[usize]) -> BTreeSet<ServerId> {
        self.servers.at(places).map(|s| s.id).collect()
    }

    /// The prefill workers and decode workers near a key.
    fn near(&self, key: u64) -> [BTreeSet<ServerId>; 2] {
        self.near_position(position(key))
    }

    fn near_position(&self, position: RingPosition) -> [BTreeSet<ServerId>; 2] {
        let near = self.fleet.neighborhood(Some(position), None, NEIGHBORHOOD);
        [self.ids(&near.servers.prefill), self.ids(&near.servers.decode)]
    }

    /// The home of a key, as the module hashes it.
    fn home(&self, key: u64) -> ServerId {
        let near = self.fleet.neighborhood(Some(position(key)), None, NEIGHBORHOOD);
        let weights = near.distance_weights(&self.servers);
        let distance =
            |s: &&Server| -AffinityKey(key).unit_interval(s.id).ln() / (s.affinity_weight * weights.of(s.id));
        let home = self.servers.at(&near.servers.prefill).min_by(|a, b| distance(a).total_cmp(&distance(b)));
        home.expect("there are prefill workers").id
    }
}

fn position(key: u64) -> RingPosition {
    RingPosition::Key(AffinityKey(key).rendezvous_rank(ServerId(0)))
}

/// Homes of many keys that differ between two lists, as a share.
fn moved(a: &Listed, b: &Listed) -> f64 {
    const KEYS: u64 = 10_000;
    (0..KEYS).filter(|key| a.home(*key) != b.home(*key)).count() as f64 / KEYS as f64
}

#[test]
fn a_request_chooses_among_as_many_servers_at_any_size() {
    for servers in [400, 1_000, 4_000, 10_000] {
        let listed = Listed::of(&fleet(servers, 12));
        for key in 0..500 {
            let [prefill_workers, decode_workers] = listed.near(key);
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
fn of_few_servers_all_are_chosen_among() {
    let listed = Listed::of(&fleet(256, 12));
    assert!(!listed.fleet.uses_neighborhoods());
    let [prefill_workers, decode_workers] = listed.near(7);
    assert_eq!((prefill_workers.len(), decode_workers.len()), (86, 170));
    assert!(Listed::of(&fleet(257, 12)).fleet.uses_neighborhoods());
}

/// Cells of any size, one role far scarcer than the other, servers without a cell: all are borne.
#[test]
fn uneven_fleets_are_borne() {
    let scarce = |servers: u32| -> Vec<Endpoint> {
        (0..servers).map(|n| server(n, if n % 50 == 0 { PREFILL } else { DECODE }, n / 10)).collect()
    };
    let listed = Listed::of(&scarce(5_000));
    for key in 0..200 {
        let [prefill_workers, decode_workers] = listed.near(key);
        assert!(
            prefill_workers.len() >= NEAR && decode_workers.len() <= 5 * NEAR,
            "{} {}",
            prefill_workers.len(),
            decode_workers.len()
        );
    }
    let listed = Listed::of(&scarce(1_000));
    assert_eq!(listed.near(3)[0].len(), 20, "of so few prefill workers all are chosen among");
    let alone: Vec<Endpoint> = fleet(2_000, 12).into_iter().map(|e| Endpoint { cell: None, ..e }).collect();
    let listed = Listed::of(&alone);
    for key in 0..200 {
        assert!(listed.near(key).iter().all(|role| (NEAR..4 * NEAR).contains(&role.len())));
    }
    let one_cell: Vec<Endpoint> = fleet(2_000, 2_000);
    assert_eq!(Listed::of(&one_cell).near(1)[0].len(), 667);
}

#[test]
fn no_cell_is_torn_apart() {
    let entries = fleet(2_000, 12);
    let listed = Listed::of(&entries);
    let mut cells: BTreeMap<CellId, [BTreeSet<ServerId>; 2]> = BTreeMap::new();
    for entry in &entries {
        let kind = entry.kind.expect("it has one").0;
        cells.entry(entry.cell.expect("it has one")).or_default()[kind].insert(entry.server);
    }
    for key in 0..300 {
        let [prefill_workers, decode_workers] = listed.near(key);
        for of_cell in cells.values().filter(|of_cell| !of_cell[PREFILL].is_disjoint(&prefill_workers)) {
            assert!(
                of_cell[PREFILL].is_subset(&prefill_workers) && of_cell[DECODE].is_subset(&decode_workers)
            );
        }
    }
}

/// No prefill worker is home to more than its even share, by more than chance gives and the ring's own
/// spread.
#[test]
fn homes_are_spread_evenly() {
    for servers in [600u32, 3_000] {
        let listed = Listed::of(&fleet(servers, 12));
        let keys = u64::from(servers) * 100;
        let mut homes: BTreeMap<ServerId, u64> = BTreeMap::new();
        (0..keys).for_each(|key| *homes.entry(listed.home(key)).or_default() += 1);
        let mean = keys as f64 / (servers as f64 / 3.0);
        assert_eq!(homes.len(), servers as usize / 3, "every prefill worker is home to some");
        let most = *homes.values().max().expect("some") as f64;
        // Five deviations of chance, and a fifth for the uneven gaps of the ring.
        let bound = mean * 1.2 + 5.0 * mean.sqrt();
        assert!(most < bound, "{servers}: {most} of {mean} on average");
    }
}

proptest! {
    // Fixed draws: the verdict is the same each time.
    #![proptest_config(ProptestConfig {
        cases: 12,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// However a list was told, the same servers are near a key: they follow from the list alone.
    #[test]
    fn what_is_near_follows_from_the_list_alone(
        servers in 300u32..1_500, cell in 2u32..40, pieces in 1usize..6, gone in prop::collection::vec(any::<u32>(), 0..60)
    ) {
        let mut entries = fleet(servers, cell);
        let whole = Listed::of(&entries);
        let mut in_pieces = Listed { servers: ServerTable::default(), fleet: FleetSummary::default() };
        let reversed: Vec<Endpoint> = entries.iter().rev().cloned().collect();
        reversed.chunks(reversed.len().div_ceil(pieces)).for_each(|piece| in_pieces.tell(piece));
        for key in 0..50 {
            prop_assert_eq!(whole.near(key), in_pieces.near(key));
        }
        for number in gone {
            let at = (number % servers) as usize;
            entries[at].state = if number % 2 == 0 { ServerState::Removed } else { ServerState::Draining };
        }
        in_pieces.tell(&entries);
        let ready: Vec<Endpoint> = entries.into_iter().filter(|e| e.state == ServerState::Ready).collect();
        let whole = Listed::of(&ready);
        for key in 0..50 {
            prop_assert_eq!(whole.near(key), in_pieces.near(key));
        }
    }

    /// A part of the servers changes: not many more homes than that part move.
    #[test]
    fn few_homes_move_as_the_list_changes(servers in 1_000u32..4_000, percent in 1u32..8, salt in any::<u32>()) {
        let entries = fleet(servers, 12);
        let old = Listed::of(&entries);
        let changes = |e: &&Endpoint| (e.server.0 ^ salt).wrapping_mul(0x9e37_79b9) % 100 < percent;
        let kept: Vec<Endpoint> = entries.iter().filter(|e| !changes(e)).cloned().collect();
        let changed = 1.0 - kept.len() as f64 / entries.len() as f64;
        let new = Listed::of(&kept);
        // Homes of those that are gone move; and where others come near, some to these.
        let moved = moved(&old, &new);
        prop_assert!(moved < 2.5 * changed + 0.01, "{moved} moved, {changed} changed");
    }
}

fn site() -> Settings {
    Settings {
        classes: vec![class(Idempotency::Idempotent, DeduplicationScope::All)],
        kinds: kinds([100_000.0; 3]),
        ..settings()
    }
}

/// Sends of a request, and of the writes after its read.
fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// All servers near a key fail, drain or are cold: its requests go to others, and none is rejected.
#[test]
fn what_has_no_capacity_near_its_key_goes_further() {
    let entries = fleet(1_200, 12);
    let near = Listed::of(&entries).near(5);
    let without = |state: ServerState, ready_at: Option<Nanos>| -> Vec<Endpoint> {
        let is_near = |e: &Endpoint| near.iter().any(|role| role.contains(&e.server));
        let changed = |e: &Endpoint| Endpoint { state, started_at: ready_at, ..e.clone() };
        entries.iter().map(|e| if is_near(e) { changed(e) } else { e.clone() }).collect()
    };
    let cold = Some(100 * S - MS);
    for list in [
        without(ServerState::Draining, None),
        without(ServerState::Removed, None),
        without(ServerState::Ready, cold),
    ] {
        let mut router = Router::new(site(), list);
        let request = Request { prefix: Some(AffinityKey(5)), ..router.request(1) };
        let mut actions = router.handle(Event::RequestArrived(request));
        actions.extend(router.advance(300 * MS));
        let server = sent(&actions).expect("it is sent");
        assert!(!near[PREFILL].contains(&server), "{server:?} is near");
        assert!(!actions.iter().any(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })));
    }
}

/// Where nothing near a key has capacity, the way on goes past every server, and in no more looks than that
/// takes.
#[test]
fn the_way_on_goes_past_every_server_once() {
    for (servers, cell) in [(600, 12), (3_000, 12), (2_000, 7)] {
        let listed = Listed::of(&fleet(servers, cell));
        let all = servers as usize;
        let most_looks = 2 + all.div_ceil(NEAR * 3 - 3 * cell as usize);
        for key in [0, 7, 99] {
            let (mut seen, mut at, mut looks) = (BTreeSet::new(), position(key), 0);
            while seen.len() < all {
                looks += 1;
                assert!(looks <= most_looks, "{servers}: {} seen in {looks} looks", seen.len());
                seen.extend(listed.near_position(at).into_iter().flatten());
                at = listed.fleet.neighborhood(Some(at), None, NEIGHBORHOOD).next.expect("there are more");
            }
        }
    }
}

/// The decode workers of the cell in which a KV cache waits can be asked, wherever it was read.
#[test]
fn decode_workers_of_a_kv_caches_cell_are_always_among_those_near() {
    let entries = fleet(2_000, 12);
    let listed = Listed::of(&entries);
    for cell in (0..160).map(CellId) {
        let near = listed.fleet.neighborhood(Some(position(3)), Some(cell), NEIGHBORHOOD);
        let decode_workers = listed.ids(&near.servers.decode);
        let of_cell = entries.iter().filter(|e| e.cell == Some(cell) && e.kind == Some(KindId(DECODE)));
        assert!(of_cell.clone().count() > 0);
        of_cell.for_each(|e| assert!(decode_workers.contains(&e.server), "{cell:?}"));
    }
}

/// Of a whole fleet only one cell's servers have capacity: wherever that is, a request finds it before its
/// time is up.
#[test]
fn the_last_capacity_of_a_fleet_is_found() {
    let entries = fleet(1_200, 12);
    // So many that a warming-up server's part comes to nothing.
    let site = Settings { router_count: 1_000_000, ..site() };
    let left = CellId(57);
    let list: Vec<Endpoint> = entries
        .iter()
        .map(|e| {
            if e.cell == Some(left) {
                e.clone()
            } else {
                Endpoint { started_at: Some(100 * S), ..e.clone() }
            }
        })
        .collect();
    for id in 1..=20 {
        let mut router = Router::new(site.clone(), list.clone());
        let request = Request { prefix: Some(AffinityKey(id * 977)), ..router.request(id) };
        let mut actions = router.handle(Event::RequestArrived(request));
        actions.extend(router.advance(S));
        let server = sent(&actions).expect("it is sent");
        let cell = entries.iter().find(|e| e.server == server).and_then(|e| e.cell);
        assert_eq!(cell, Some(left), "{id}");
    }
}

/// Two routers whose lists differ by some changes agree on nearly all homes.
#[test]
fn routers_whose_lists_differ_a_little_agree_on_homes() {
    let entries = fleet(3_000, 12);
    let fewer: Vec<Endpoint> = entries.iter().skip(24).cloned().collect();
    let part = moved(&Listed::of(&entries), &Listed::of(&fewer));
    assert!(part < 0.03, "{part} of the homes differ, 0.008 of the list");
}

fn outcome(id: u64, attempt: u32, server: ServerId, status: AttemptStatus) -> AttemptOutcome {
    let (id, attempt) = (RequestId(id), AttemptNumber(attempt));
    AttemptOutcome {
        id,
        attempt,
        server,
        status,
        latency: MS,
        request_finished: false,
        cached_prompt_tokens: 0,
        kv_cache_missing: false,
        report: None,
    }
}

/// Sends among these actions.
fn sends(actions: &[Action]) -> Vec<ServerId> {
    let server = |action: &Action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

/// A shared prefix that makes up all traffic is at home at many points, each session at one.
#[test]
fn a_shared_prefix_that_is_hot_is_read_at_more_servers_than_are_near_one_point() {
    let mut router = Router::new(site(), fleet(1_200, 12));
    let mut prefill_workers = BTreeSet::new();
    for id in 1..=2_000 {
        let request = Request { prefix: Some(AffinityKey(5)), ..router.request(id) };
        prefill_workers.extend(sends(&router.handle(Event::RequestArrived(request))));
    }
    assert!(prefill_workers.len() > 3 * NEAR, "{} prefill workers", prefill_workers.len());
}

/// What is being read is for decode workers everywhere: those near one key are not to have capacity for all
/// of it.
#[test]
fn what_is_being_read_is_set_against_the_capacity_of_all_decode_workers() {
    let mut router = Router::new(site(), fleet(300, 12));
    // 200 decode workers of 92,000 tokens each; 1,100 tokens a request.
    const REQUESTS: u64 = 14_000;
    let mut sent = 0;
    for id in 1..=REQUESTS {
        let request = Request { prefix: Some(AffinityKey(id * 977)), ..router.request(id) };
        sent += sends(&router.handle(Event::RequestArrived(request))).len() as u64;
    }
    assert_eq!(sent, REQUESTS, "none is held while all decode workers together have capacity");
}

/// Requests for which there is no capacity anywhere don't keep those behind them from being looked at.
#[test]
fn queued_requests_that_find_no_capacity_do_not_starve_others() {
    let decode_workers = (0..5).map(|number| server(10_000 + number, DECODE, 900 + number));
    let prefill_workers = (0..300).map(|number| server(number, PREFILL, number / 12));
    let mut router = Router::new(site(), prefill_workers.chain(decode_workers).collect());
    // A stream at each decode worker: one that holds nothing would take any request.
    let mut written = BTreeSet::new();
    let mut ids = 1..=50;
    while written.len() < 5 {
        let id = ids.next().expect("each decode worker gets one");
        let read = sends(&router.handle(Event::RequestArrived(router.request(id))))[0];
        let write =
            sends(&router.handle(Event::AttemptFinished(outcome(id, 0, read, AttemptStatus::Prefilled))))[0];
        written.insert(write);
        let (id, attempt) = (RequestId(id), AttemptNumber(1));
        router.handle(Event::FirstToken { id, attempt, server: write, latency: MS });
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
    assert_eq!(sends(&actions).len(), 1, "the small one is sent");
}

/// What may have run in one cell may be repeated there alone: it does not wait until the way on comes past
/// that cell.
#[test]
fn a_repeat_that_is_bound_to_a_cell_goes_there_as_soon_as_that_has_capacity() {
    let class = TrafficClass {
        idempotency: Idempotency::WithKey,
        deduplication_window: 4 * S,
        ..class(Idempotency::WithKey, DeduplicationScope::Cell)
    };
    let site = Settings { classes: vec![class], kv_release_within: 3 * S, ..site() };
    // A prefill worker and two decode workers a cell.
    let mut router = Router::new(site, fleet(10_000, 3));
    let read = sends(&router.handle(Event::RequestArrived(router.request(1))))[0];
    let cell = |of: ServerId| (0..10_000).find(|n| server(*n, 0, 0).server == of).expect("it is one") / 3;
    let own = (0..3).map(|n| 3 * cell(read) + n).filter(|n| n % 3 != 0);
    let drained = |n| Endpoint { state: ServerState::Draining, ..server(n, DECODE, cell(read)) };
    router.update_endpoints(EndpointUpdate::Delta, own.map(drained).collect());
    let mut at =
        sends(&router.handle(Event::AttemptFinished(outcome(1, 0, read, AttemptStatus::Prefilled))))[0];
    let ran = cell(at);
    for (attempt, status) in
        [(1, AttemptStatus::Error), (2, AttemptStatus::Rejected), (3, AttemptStatus::Rejected)]
    {
        let actions = router.handle(Event::AttemptFinished(outcome(1, attempt, at, status)));
        if attempt < 3 {
            at = sends(&actions)[0];
            assert_eq!(cell(at), ran, "attempt {attempt}");
        }
    }
    assert!(sends(&router.advance(900 * MS)).is_empty(), "a server that was full is left alone for a second");
    let again = sends(&router.advance(150 * MS));
    assert_eq!(again.iter().map(|at| cell(*at)).collect::<Vec<_>>(), [ran]);
}

/// Latencies are compared within their role among many servers, too.
#[test]
fn a_prefill_worker_that_is_slower_than_its_peers_is_told_among_many() {
    let mut router = Router::new(site(), fleet(300, 12));
    let slow = server(0, PREFILL, 0).server;
    for id in 1..=1_500 {
        let read = sends(&router.handle(Event::RequestArrived(router.request(id))))[0];
        let latency = if read == slow { 100 * MS } else { 10 * MS };
        let done = AttemptOutcome { latency, ..outcome(id, 0, read, AttemptStatus::Prefilled) };
        let write = sends(&router.handle(Event::AttemptFinished(done)))[0];
        router.handle(Event::AttemptFinished(AttemptOutcome {
            request_finished: true,
            ..outcome(id, 1, write, AttemptStatus::Ok)
        }));
        router.advance(MS);
    }
    let pace = |of: ServerId| {
        router.policy.views().find(|view| view.server == of).expect("it is known").latency_ratio
    };
    let peer = pace(server(3, PREFILL, 0).server);
    assert!(pace(slow) > 2.0 && (0.5..1.5).contains(&peer), "{} beside {peer}", pace(slow));
}
