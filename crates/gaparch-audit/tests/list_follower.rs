//! Routers that exchange list versions in virtual time, with reordered, lost and duplicated messages, and
//! with one faulty router.

use gaparch_audit::{
    digest, ActiveList, FollowerOutput, FollowerSettings, ListEvent, ListFollower, ListOutcome, ListSnapshot,
    Nanos,
};
use gaparch_protocol::list::{ListEntry, Scope, ServerState};
use gaparch_protocol::versions::{Claim, ListVersion, ReplicationMessage};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: Nanos = 1_000_000;
const CONFIRM: Nanos = 2_000 * MS;
const STEP: Nanos = 10 * MS;

fn entry(name: usize, state: ServerState) -> ListEntry {
    ListEntry {
        engine: format!("engine-{name:03}"),
        address: format!("10.0.0.{name}:7000"),
        kind: "read".to_owned(),
        zone: "north".to_owned(),
        rack: "n1".to_owned(),
        state,
        weight: None,
        started_at: None,
    }
}

/// The list service: its epoch, and the version and entries of its list.
struct Service {
    epoch: u64,
    version: u64,
    entries: Vec<ListEntry>,
}

impl Service {
    fn new(engines: usize) -> Service {
        Service {
            epoch: 7,
            version: 1,
            entries: (0..engines).map(|n| entry(n, ServerState::Ready)).collect(),
        }
    }

    fn change(&mut self) {
        self.version += 1;
        let at = self.version as usize % self.entries.len();
        let state = match self.entries[at].state {
            ServerState::Ready => ServerState::Draining,
            _ => ServerState::Ready,
        };
        self.entries[at].state = state;
    }
}

struct Router {
    list: ActiveList,
    follower: ListFollower,
    /// Whether the service reaches this router.
    is_linked: bool,
    is_first_update: bool,
    events: Vec<ListEvent>,
    updated_at: Nanos,
}

struct Fleet {
    now: Nanos,
    rng: ChaCha8Rng,
    service: Service,
    routers: Vec<Router>,
    in_flight: Vec<(Nanos, usize, usize, ReplicationMessage)>,
    loss: f64,
    delay: Nanos,
    /// A router that sends false versions and entries, and by how many versions it is ahead of its list.
    faulty: Option<(usize, u64)>,
    sent: u64,
}

fn name(n: usize) -> String {
    format!("router-{n}")
}

impl Fleet {
    fn new(routers: usize, engines: usize, seed: u64) -> Fleet {
        let router = |n: usize| Router {
            list: ActiveList::default(),
            follower: ListFollower::new(
                FollowerSettings { router: name(n), confirm_within: CONFIRM, seed: seed + n as u64 },
                0,
            ),
            is_linked: true,
            is_first_update: true,
            events: Vec::new(),
            updated_at: 0,
        };
        Fleet {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            service: Service::new(engines),
            routers: (0..routers).map(router).collect(),
            in_flight: Vec::new(),
            loss: 0.0,
            delay: 20 * MS,
            faulty: None,
            sent: 0,
        }
    }

    fn version(&self, n: usize) -> ListVersion {
        self.routers[n].list.version().unwrap_or_default()
    }

    fn is_up_to_date(&self, n: usize) -> bool {
        let version = self.version(n);
        version.epoch == self.service.epoch && version.version == self.service.version
    }

    fn run(&mut self, time: Nanos) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for n in 0..self.routers.len() {
                self.receive_from_service(n);
                let mut out = Vec::new();
                let others = (0..self.routers.len()).filter(|o| *o != n).map(name).collect();
                if self.now >= self.routers[n].follower.next_timer_at() {
                    self.routers[n].follower.on_timer(self.now, others, &mut out);
                }
                self.carry_out(n, out);
            }
            let (due, later) = std::mem::take(&mut self.in_flight).into_iter().partition(|m| m.0 <= self.now);
            self.in_flight = later;
            let due: Vec<(Nanos, usize, usize, ReplicationMessage)> = due;
            for (_, from, to, message) in due {
                let mut out = Vec::new();
                self.routers[to].follower.on_message(self.now, &name(from), message, &mut out);
                self.carry_out(to, out);
            }
        }
    }

    /// The service sends its list every half second, and each change at once.
    fn receive_from_service(&mut self, n: usize) {
        let router = &mut self.routers[n];
        let due = router.list.version().is_none_or(|v| v.version != self.service.version)
            || self.now >= router.updated_at + 500 * MS;
        if !router.is_linked || !due {
            return;
        }
        router.updated_at = self.now;
        let Service { epoch, version, entries } = &self.service;
        let is_first_update = std::mem::take(&mut router.is_first_update);
        match router.list.apply_service_update(*epoch, is_first_update, Scope::Full, *version, entries) {
            ListOutcome::Adopted { .. } => {
                router.follower.on_list(self.now, Some(router.list.snapshot()), Some(self.now))
            }
            ListOutcome::Unchanged => {
                router.follower.on_list(self.now, Some(router.list.snapshot()), Some(self.now))
            }
            ListOutcome::Incomplete | ListOutcome::Rejected(_) => {}
        }
    }

    fn carry_out(&mut self, n: usize, out: Vec<FollowerOutput>) {
        for output in out {
            match output {
                FollowerOutput::Send { to, message } => {
                    let to: usize =
                        to.strip_prefix("router-").and_then(|t| t.parse().ok()).expect("a router");
                    let message = match self.faulty {
                        Some((faulty, by)) if faulty == n => falsify(message, by),
                        _ => message,
                    };
                    self.sent += 1;
                    for _ in 0..=usize::from(self.rng.random_bool(self.loss / 2.0)) {
                        if !self.rng.random_bool(self.loss) {
                            let delay = self.rng.random_range(MS..=self.delay);
                            self.in_flight.push((self.now + delay, n, to, message.clone()));
                        }
                    }
                }
                FollowerOutput::Adopt { list, .. } => {
                    let router = &mut self.routers[n];
                    if matches!(router.list.apply_peer_list(&list), ListOutcome::Adopted { .. }) {
                        router.follower.on_list(self.now, Some(router.list.snapshot()), None);
                    }
                }
                FollowerOutput::Corroborated(version) => self.routers[n].list.corroborate(version),
                FollowerOutput::Event(event) => self.routers[n].events.push(event),
            }
        }
    }

    fn count_events(&self, is_counted: impl Fn(&ListEvent) -> bool) -> usize {
        self.routers.iter().flat_map(|r| &r.events).filter(|event| is_counted(event)).count()
    }
}

/// Turns a message into that of a faulty router: its versions are ahead, and its entries are altered.
fn falsify(message: ReplicationMessage, by: u64) -> ReplicationMessage {
    let ahead = |version: ListVersion| ListVersion { version: version.version + by, ..version };
    match message {
        ReplicationMessage::ListStatus { version, digest, entries, claims, .. } => {
            let mut claims: Vec<Claim> =
                claims.into_iter().map(|c| Claim { version: ahead(c.version), ..c }).collect();
            // A router that does not exist is said to have the false version, too.
            let made_up = Claim {
                router: "router-77".to_owned(),
                version: ahead(version),
                digest: digest ^ 1,
                age_ms: 0,
            };
            claims.insert(0, made_up);
            ReplicationMessage::ListStatus {
                version: ahead(version),
                digest: digest ^ 1,
                entries,
                confirmed_ms_ago: Some(0),
                claims,
            }
        }
        ReplicationMessage::ListPage { version, digest, first, total, mut entries } => {
            entries.iter_mut().for_each(|e| e.address = "10.9.9.9:1".to_owned());
            ReplicationMessage::ListPage { version, digest, first, total, entries }
        }
        other => other,
    }
}

#[test]
fn a_router_whose_service_link_stalls_catches_up_through_the_others() {
    let mut fleet = Fleet::new(9, 110, 1);
    fleet.run(3_000 * MS);
    fleet.routers[3].is_linked = false;
    fleet.run(3_000 * MS);
    fleet.service.change();
    fleet.run(1_000 * MS);
    assert!(fleet.is_up_to_date(3), "{:?}", fleet.version(3));
    assert!(fleet.routers[3].events.iter().any(|event| matches!(event, ListEvent::FetchedFromPeer { .. })));
    assert!(fleet.routers[3].events.iter().any(|event| matches!(event, ListEvent::Unconfirmed { .. })));
    assert_eq!(
        fleet.count_events(|event| matches!(event, ListEvent::FetchedFromPeer { .. })),
        1,
        "no other router had to fetch the list"
    );
}

/// Guards against a fetch that never turns to another router, since its source keeps sending a page that it
/// has sent before.
#[test]
fn a_router_that_repeats_a_page_does_not_delay_a_fetch() {
    const ASKED_ELSEWHERE_WITHIN: Nanos = 1_000 * MS;
    let settings =
        |router: &str| FollowerSettings { router: router.to_owned(), confirm_within: CONFIRM, seed: 1 };
    let mut list = ActiveList::default();
    let Service { epoch, version, entries } = Service::new(110);
    list.apply_service_update(epoch, true, Scope::Full, version, &entries);
    let mut source = ListFollower::new(settings("router-1"), 0);
    let mut follower = ListFollower::new(settings("router-0"), 0);
    let peers = [name(1), name(2)];
    let mut first_request: Option<(Nanos, String, ReplicationMessage)> = None;
    for now in (0..5_000 * MS).step_by(100 * MS as usize) {
        source.on_list(now, Some(list.snapshot()), Some(now));
        let mut sent = Vec::new();
        source.on_timer(now, vec![name(0)], &mut sent);
        let mut out = Vec::new();
        for (_, status) in messages(&sent) {
            peers.iter().for_each(|peer| follower.on_message(now, peer, status.clone(), &mut out));
        }
        if let Some((_, router, page)) = &first_request {
            follower.on_message(now, router, page.clone(), &mut out);
        }
        follower.on_timer(now, peers.to_vec(), &mut out);
        let is_request =
            |message: &ReplicationMessage| matches!(message, ReplicationMessage::ListRequest { .. });
        for (to, request) in messages(&out).into_iter().filter(|(_, message)| is_request(message)) {
            match &first_request {
                None => {
                    let mut pages = Vec::new();
                    source.on_message(now, &name(0), request, &mut pages);
                    first_request = Some((now, to, messages(&pages).remove(0).1));
                }
                Some((asked_at, router, _)) if to != *router => {
                    assert!(now - asked_at <= ASKED_ELSEWHERE_WITHIN, "{} ms", (now - asked_at) / MS);
                    return;
                }
                Some(_) => {}
            }
        }
    }
    panic!("no other router was asked");
}

/// The messages among the outputs, each with its receiver.
fn messages(out: &[FollowerOutput]) -> Vec<(String, ReplicationMessage)> {
    let message = |output: &FollowerOutput| match output {
        FollowerOutput::Send { to, message } => Some((to.clone(), message.clone())),
        _ => None,
    };
    out.iter().filter_map(message).collect()
}

#[test]
fn one_router_with_a_service_link_is_enough_for_all() {
    let mut fleet = Fleet::new(9, 30, 2);
    fleet.run(3_000 * MS);
    (1..9).for_each(|n| fleet.routers[n].is_linked = false);
    fleet.run(3_000 * MS);
    fleet.service.change();
    fleet.run(4_000 * MS);
    assert!(
        (0..9).all(|n| fleet.is_up_to_date(n)),
        "{:?}",
        (0..9).map(|n| fleet.version(n)).collect::<Vec<_>>()
    );
}

#[test]
fn routers_without_a_service_link_keep_up_with_ten_changes_a_second() {
    let mut fleet = Fleet::new(9, 110, 3);
    (fleet.loss, fleet.delay) = (0.3, 100 * MS);
    fleet.run(3_000 * MS);
    [2, 5].into_iter().for_each(|n| fleet.routers[n].is_linked = false);
    fleet.run(3_000 * MS);
    for _ in 0..200 {
        fleet.service.change();
        fleet.run(100 * MS);
        let lag = fleet.service.version - fleet.version(2).version;
        assert!(lag < 40, "{lag} versions behind");
    }
    fleet.run(4_000 * MS);
    assert!(fleet.is_up_to_date(2) && fleet.is_up_to_date(5));
}

#[test]
fn a_service_that_has_lost_its_state_starts_a_new_epoch_for_all_routers() {
    let mut fleet = Fleet::new(5, 10, 4);
    fleet.run(2_000 * MS);
    (0..20).for_each(|_| fleet.service.change());
    fleet.run(2_000 * MS);
    fleet.routers[4].is_linked = false;
    fleet.run(3_000 * MS);
    (fleet.service.epoch, fleet.service.version) = (99, 1);
    fleet.routers.iter_mut().for_each(|r| r.is_first_update = true);
    fleet.run(3_000 * MS);
    assert!((0..5).all(|n| fleet.is_up_to_date(n)), "{:?}", fleet.version(4));
    // A router that starts now has seen one epoch only, and still ranks it like the others.
    fleet.routers[1].list = ActiveList::default();
    fleet.routers[1].is_first_update = true;
    fleet.run(3_000 * MS);
    assert_eq!(fleet.version(1), fleet.version(0), "the rank of the epoch is the same, too");
}

#[test]
fn outdated_updates_of_the_service_are_rejected_and_reported() {
    let mut fleet = Fleet::new(5, 10, 5);
    fleet.run(1_000 * MS);
    let old = Service { entries: fleet.service.entries.clone(), ..fleet.service };
    fleet.run(1_000 * MS);
    fleet.service.change();
    fleet.run(1_000 * MS);
    let version = fleet.version(2);
    let router = &mut fleet.routers[2];
    let outcome = router.list.apply_service_update(old.epoch, true, Scope::Full, old.version, &old.entries);
    assert!(matches!(outcome, ListOutcome::Rejected(_)), "{outcome:?}");
    assert_eq!(fleet.version(2), version);
    // A router that gets such answers from its start on catches up through the others, and reports them.
    let now = fleet.now;
    let router = &mut fleet.routers[2];
    (router.list, router.is_linked) = (ActiveList::default(), false);
    router.follower =
        ListFollower::new(FollowerSettings { router: name(2), confirm_within: CONFIRM, seed: 9 }, now);
    let outcome = router.list.apply_service_update(old.epoch, true, Scope::Full, old.version, &old.entries);
    assert!(matches!(outcome, ListOutcome::Adopted { .. }));
    router.follower.on_list(fleet.now, Some(router.list.snapshot()), Some(fleet.now));
    let mut rejected = 0;
    for _ in 0..50 {
        fleet.run(100 * MS);
        let router = &mut fleet.routers[2];
        match router.list.apply_service_update(old.epoch, false, Scope::Full, old.version, &old.entries) {
            ListOutcome::Unchanged => {
                router.follower.on_list(fleet.now, Some(router.list.snapshot()), Some(fleet.now))
            }
            other => {
                assert!(matches!(other, ListOutcome::Rejected(_)), "{other:?}");
                rejected += 1;
            }
        }
    }
    assert!(fleet.is_up_to_date(2) && rejected > 30, "{rejected}");
    assert!(fleet.routers[2].events.iter().any(|event| matches!(event, ListEvent::SourceOutdated { .. })));
}

#[test]
fn two_services_that_differ_are_reported_and_each_router_follows_its_own() {
    let mut fleet = Fleet::new(5, 10, 6);
    fleet.run(2_000 * MS);
    let other = Service { epoch: 8, version: 40, entries: vec![entry(77, ServerState::Ready)] };
    for _ in 0..60 {
        for n in [3, 4] {
            let router = &mut fleet.routers[n];
            router.is_linked = false;
            match router.list.apply_service_update(
                other.epoch,
                false,
                Scope::Full,
                other.version,
                &other.entries,
            ) {
                ListOutcome::Adopted { .. } => {
                    router.follower.on_list(fleet.now, Some(router.list.snapshot()), Some(fleet.now))
                }
                _ => router.follower.on_list(fleet.now, Some(router.list.snapshot()), Some(fleet.now)),
            }
        }
        fleet.run(100 * MS);
    }
    assert!((0..3).all(|n| fleet.is_up_to_date(n)) && (3..5).all(|n| fleet.version(n).epoch == 8));
    assert!(fleet.count_events(|event| matches!(event, ListEvent::SourcesDiffer { .. })) > 0);
}

#[test]
fn a_faulty_router_misleads_no_other_and_is_reported() {
    // Versions so far ahead that they are implausible, and versions that might be true.
    for (linked, by) in [(9, 1 << 60), (4, 1 << 60), (4, 3), (2, 3)] {
        let mut fleet = Fleet::new(9, 20, 7 + linked as u64);
        fleet.run(2_000 * MS);
        fleet.faulty = Some((1, by));
        (linked..9).for_each(|n| fleet.routers[n].is_linked = false);
        fleet.run(6_000 * MS);
        fleet.service.change();
        fleet.run(4_000 * MS);
        for n in (0..9).filter(|n| *n != 1) {
            let is_misled = fleet.version(n).version > fleet.service.version;
            assert!(!is_misled, "router {n} was misled: {:?}", fleet.version(n));
        }
        assert!(
            (0..linked).all(|n| fleet.is_up_to_date(n)),
            "{linked}: routers that the service reaches use its list"
        );
        let names_router =
            |event: &ListEvent| matches!(event, ListEvent::Outlier { router, .. } if *router == name(1));
        assert!(fleet.count_events(names_router) > 0, "{linked}");
        // No false floor is left behind: all routers use the list of the service again.
        fleet.faulty = None;
        (0..9).for_each(|n| fleet.routers[n].is_linked = true);
        fleet.service.change();
        fleet.run(3_000 * MS);
        assert!((0..9).all(|n| fleet.is_up_to_date(n)), "{linked}");
    }
}

#[test]
fn a_list_that_does_not_match_its_digest_is_not_adopted() {
    let entries: Vec<ListEntry> = (0..3).map(|n| entry(n, ServerState::Ready)).collect();
    let version = ListVersion { rank: 1, epoch: 7, version: 3 };
    let mut list = ListSnapshot { version, digest: digest(&entries), entries };
    let mut active = ActiveList::default();
    list.entries[1].state = ServerState::Removed;
    assert!(matches!(active.apply_peer_list(&list), ListOutcome::Rejected(_)));
    list.entries[1].state = ServerState::Ready;
    assert!(matches!(active.apply_peer_list(&list), ListOutcome::Adopted { .. }));
    // The service's next change applies to that list.
    let change = [entry(1, ServerState::Draining)];
    assert!(matches!(
        active.apply_service_update(7, true, Scope::Delta, 4, &change),
        ListOutcome::Adopted { .. }
    ));
    assert_eq!(active.apply_service_update(7, false, Scope::Delta, 6, &change), ListOutcome::Incomplete);
    assert_eq!(active.snapshot().digest, digest(&active.snapshot().entries));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        // A fixed seed, so that each run checks the same cases.
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// With any loss, delay and duplication of messages, any links to the service and any changes, the list
    /// in use never goes back; once one router has a link to the service, all routers use the service's list.
    #[test]
    fn the_list_in_use_never_goes_back_and_all_routers_converge_on_the_latest(
        seed in any::<u64>(),
        routers in 2usize..7,
        loss in 0.0f64..0.5,
        delay in 2u64..400,
        steps in prop::collection::vec((any::<u8>(), 0u8..4), 1..12),
    ) {
        let mut fleet = Fleet::new(routers, 25, seed >> 1);
        (fleet.loss, fleet.delay) = (loss, delay * MS);
        let mut before = vec![ListVersion::default(); routers];
        for (links, action) in steps {
            (0..routers).for_each(|n| fleet.routers[n].is_linked = links >> (n % 8) & 1 == 1);
            match action {
                0 => {}
                3 => {
                    (fleet.service.epoch, fleet.service.version) = (fleet.service.epoch + 1, 1);
                    fleet.routers.iter_mut().for_each(|r| r.is_first_update = true);
                }
                _ => (0..action).for_each(|_| fleet.service.change()),
            }
            fleet.run(700 * MS);
            for (n, before) in before.iter_mut().enumerate() {
                prop_assert!(!before.is_later_than(&fleet.version(n)), "the list of router {} went back", n);
                *before = fleet.version(n);
            }
        }
        (0..routers).for_each(|n| fleet.routers[n].is_linked = n == 0);
        fleet.routers[0].is_first_update = true;
        fleet.run(15_000 * MS);
        for n in 0..routers {
            let Service { epoch, version, .. } = fleet.service;
            prop_assert!(
                fleet.is_up_to_date(n),
                "router {} uses {:?}, the service has {}.{}",
                n,
                fleet.version(n),
                epoch,
                version
            );
        }
    }
}
