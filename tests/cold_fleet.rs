//! Rule 4 over a whole fleet: as many modules side by side as a site has routers, and what a server that has
//! just started gets from all of them together. No sockets; the same seed gives the same day.

mod common;

use common::random::SplitMix64;
use common::{class, endpoint, kinds, settings, MS, S};
use gaparch_scheduler::api::*;
use gaparch_scheduler::policy::Policy;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const PREFILL_WORKERS: u32 = 12;
const DECODE_WORKERS: u32 = 12;
/// The servers that start at `START`: one that reads and one that writes.
const COLD: [u32; 2] = [PREFILL_WORKERS, 100 + DECODE_WORKERS];
const START: Nanos = 30 * S;
/// Of what a server bears, how much its warm peers carry: sites are loaded so in quiet times.
const LOADED: f64 = 0.6;

/// Calls, below which a budget has a bound of its own.
const SMALL_BUDGET: f64 = 30.0;

/// A day: what differs from one to the next.
#[derive(Clone, Copy, Debug)]
struct Simulation {
    routers: usize,
    /// Requests a second, all routers together.
    rate: f64,
    /// Times as many, from a moment after the start on.
    rises: (Nanos, f64),
    /// How uneven the routers' shares are: 0 even.
    skew: f64,
    /// Shares move to other routers at the start.
    moves: bool,
    /// One of two routers starts anew a second before the servers do.
    restarts: bool,
    /// The longest that a router hears of the start after the first.
    told_late: Nanos,
    /// So many warm servers of each role are gone from a moment after the start on.
    lost: (Nanos, u32),
    /// Shared shared prefixes; few of them are hot.
    prefixes: f64,
}

const PLAIN: Simulation = Simulation {
    routers: 30,
    rate: 240.0,
    rises: (0, 1.0),
    skew: 0.0,
    moves: false,
    restarts: false,
    told_late: 0,
    lost: (0, 0),
    prefixes: 200.0,
};

enum What {
    Ask,
    Tell(Event),
    Restart,
}

struct Fleet {
    day: Simulation,
    rng: SplitMix64,
    routers: Vec<Policy>,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    what: BTreeMap<u64, What>,
    shares: Vec<f64>,
    next: u64,
    attempts: BTreeMap<(usize, u64), u32>,
    prompts: BTreeMap<(usize, u64), f64>,

    /// By server: when it was sent what, in mean requests.
    sent: BTreeMap<u32, Vec<(Nanos, f64)>>,
    asked: u64,
}

fn site(routers: usize, me: usize) -> Settings {
    let heavy =
        TrafficClass { priority_weight: 3.0, ..class(Idempotency::Idempotent, DeduplicationScope::All) };
    Settings {
        seed: 7 + me as u64,
        router_index: me as u32,
        router_count: routers as u32,
        classes: vec![class(Idempotency::Idempotent, DeduplicationScope::All), heavy],
        kinds: kinds([600_000.0; 3]),
        can_probe: true,
        probe_cost: 0.003,
        ..settings()
    }
}

fn list(cold: bool, lost: u32) -> Vec<Endpoint> {
    let kinds = (lost..PREFILL_WORKERS).map(|s| (s, 0)).chain((lost..DECODE_WORKERS).map(|s| (100 + s, 1)));
    let mut all: Vec<Endpoint> = kinds.map(|(s, kind)| endpoint(s, kind, u64::from(s % 3))).collect();
    for (server, kind) in COLD.into_iter().zip(0..).filter(|_| cold) {
        all.push(Endpoint { started_at: Some(START), ..endpoint(server, kind, 0) });
    }
    all
}

impl Fleet {
    fn new(day: Simulation, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            day,
            rng: SplitMix64(seed),
            routers: (0..day.routers).map(|me| Policy::new(site(day.routers, me))).collect(),
            queue: BinaryHeap::new(),
            what: BTreeMap::new(),
            shares: Vec::new(),
            next: 1,
            attempts: BTreeMap::new(),
            prompts: BTreeMap::new(),
            sent: BTreeMap::new(),
            asked: 0,
        };
        fleet.share_out();
        for router in 0..day.routers {
            let known =
                Event::EndpointsChanged { update: EndpointUpdate::Cached, endpoints: list(false, 0).into() };
            fleet.at(S, router, What::Tell(known));
            let late = (fleet.rng.next_unit() * day.told_late as f64) as Nanos;
            let news =
                Event::EndpointsChanged { update: EndpointUpdate::Full, endpoints: list(true, 0).into() };
            fleet.at(START + late, router, What::Tell(news));
            if day.lost.1 > 0 {
                let news = Event::EndpointsChanged {
                    update: EndpointUpdate::Full,
                    endpoints: list(true, day.lost.1).into(),
                };
                fleet.at(START + day.lost.0, router, What::Tell(news));
            }
            if day.restarts && router % 2 == 0 {
                fleet.at(START - S, router, What::Restart);
            }
        }
        fleet.at(S + MS, 0, What::Ask);
        fleet
    }

    fn share_out(&mut self) {
        let skew = self.day.skew;
        let share = |rng: &mut SplitMix64| rng.next_unit().max(1e-3).powf(skew);
        let shares: Vec<f64> = (0..self.day.routers).map(|_| share(&mut self.rng)).collect();
        let all: f64 = shares.iter().sum();
        self.shares = shares.into_iter().map(|s| s / all).collect();
    }

    fn at(&mut self, at: Nanos, router: usize, what: What) {
        self.next += 1;
        self.what.insert(self.next, what);
        self.queue.push(Reverse((at, self.next, router)));
    }

    fn run(&mut self, until: Nanos) {
        let mut moved = !self.day.moves;
        while let Some(Reverse((now, number, router))) = self.queue.pop().filter(|next| next.0 .0 < until) {
            if !moved && now >= START {
                moved = true;
                self.share_out();
            }
            match self.what.remove(&number) {
                Some(What::Ask) => self.ask(now),
                Some(What::Tell(event)) => self.tell(now, router, event),
                Some(What::Restart) => {
                    self.routers[router] = Policy::new(site(self.day.routers, router));
                    let known = Event::EndpointsChanged {
                        update: EndpointUpdate::Cached,
                        endpoints: list(false, 0).into(),
                    };
                    self.tell(now, router, known);
                }
                None => {}
            }
        }
    }

    fn ask(&mut self, now: Nanos) {
        let (from, times) = self.day.rises;
        let rate = self.day.rate * if now >= START + from { times } else { 1.0 };
        let gap = -self.rng.next_unit().max(1e-12).ln() / rate;
        self.at(now + (gap * 1e9) as Nanos, 0, What::Ask);
        let mut lot = self.rng.next_unit();
        let router = self.shares.iter().position(|share| {
            lot -= share;
            lot < 0.0
        });
        let router = router.unwrap_or(0);
        self.asked += 1;
        let id = self.asked;
        let heavy = self.rng.next_unit() < 0.3;
        let prompt = if heavy { 4000.0 } else { 800.0 };
        // Popularity falls with the rank.
        let rank = (self.rng.next_unit() * self.day.prefixes.ln()).exp() as u64;
        self.prompts.insert((router, id), prompt);
        let request = Request {
            id: RequestId(id),
            class: ClassId(usize::from(heavy)),
            tenant: None,
            session: Some(AffinityKey(self.asked.wrapping_mul(0x9e37_79b9))),
            prefix: Some(AffinityKey(rank.wrapping_mul(0x1234_5677_1234_5677))),
            prompt_tokens: prompt,
            prefix_tokens: 400.0,
            max_output_tokens: 200.0,
            expected_duration: None,
            deadline_at: now + 5 * S,
            client_retry: false,
            client_reconnect: false,
        };
        self.tell(now, router, Event::RequestArrived(request));
    }

    fn tell(&mut self, now: Nanos, router: usize, event: Event) {
        for action in self.routers[router].handle(now, event) {
            match action {
                Action::SetTimer { token, delay } => {
                    self.at(now + delay, router, What::Tell(Event::TimerFired(token)))
                }
                Action::Send { id, server, .. } => self.send(now, router, id, server),
                Action::Cancel { id, attempt } => {
                    let gone = outcome(id, attempt, ServerId(0), AttemptStatus::Cancelled, 0);
                    self.at(now + MS, router, What::Tell(Event::AttemptFinished(gone)));
                }
                Action::Probe(server) => {
                    let (status, latency) = (AttemptStatus::Ok, MS);
                    let probed = Event::ProbeFinished { server, status, latency, report: None };
                    self.at(now + MS, router, What::Tell(probed));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Nanos, router: usize, id: RequestId, server: ServerId) {
        let no = self.attempts.entry((router, id.0)).or_default();
        let attempt = AttemptNumber(*no);
        *no += 1;
        let prompt = self.prompts.get(&(router, id.0)).copied().unwrap_or(0.0);
        let reads = server.0 < 100;
        let work = if reads { prompt / 1760.0 } else { 1.0 };
        self.sent.entry(server.0).or_default().push((now, work));
        let spread = 0.7 + 0.6 * self.rng.next_unit();
        let took = ((20.0 + if reads { prompt / 40.0 } else { 10.0 }) * spread) as Nanos * MS;
        if reads {
            let read = outcome(id, attempt, server, AttemptStatus::Prefilled, took);
            self.at(now + took, router, What::Tell(Event::AttemptFinished(read)));
        } else {
            let first = Event::FirstToken { id, attempt, server, latency: took };
            self.at(now + took, router, What::Tell(first));
            let end = AttemptOutcome {
                request_finished: true,
                ..outcome(id, attempt, server, AttemptStatus::Ok, took + 500 * MS)
            };
            self.at(now + took + 500 * MS, router, What::Tell(Event::AttemptFinished(end)));
        }
    }

    /// Work a second at a warm server of the same role, over a span before the start.
    fn warm(&self, server: u32, span: Nanos) -> f64 {
        let peers = if server < 100 { 0..PREFILL_WORKERS } else { 100..100 + DECODE_WORKERS };
        let count = peers.len() as f64;
        let sent = peers.flat_map(|s| self.sent.get(&s).into_iter().flatten());
        let work: f64 = sent.filter(|(at, _)| (START - span..START).contains(at)).map(|(_, work)| work).sum();
        work / count / (span as f64 / 1e9)
    }
}

fn outcome(
    id: RequestId,
    attempt: AttemptNumber,
    server: ServerId,
    status: AttemptStatus,
    latency: Nanos,
) -> AttemptOutcome {
    AttemptOutcome {
        id,
        attempt,
        server,
        status,
        latency,
        request_finished: false,
        cached_prompt_tokens: 0,
        kv_cache_missing: false,
        report: None,
    }
}

/// What one warming-up server got.
#[derive(Clone, Copy, Debug, Default)]
struct Ramp {
    /// The worst window: how much of what chance may add to the budget was used; 1 is the limit.
    worst: f64,
    /// Of what the settings allow over the ramp, how much it got.
    used: f64,
}

/// What a server in slow start bears in a window in which so many calls of mean work are its budget: chance
/// may add to it, and to a small one by more.
fn bound(budget: f64) -> f64 {
    match budget {
        small if small < SMALL_BUDGET => small + 3.0 * small.sqrt() + 3.0,
        large => large + 2.0 * large.sqrt() + 2.0,
    }
}

/// Plays a day; of each warming-up server its ramp.
fn play(day: Simulation, seed: u64) -> [Ramp; 2] {
    let set = settings();
    let mut fleet = Fleet::new(day, seed);
    fleet.run(START + set.slow_start_duration);
    COLD.map(|server| {
        // What a server bears is told by what its warm peers carried before.
        let carried = fleet.warm(server, set.slow_start_duration) / LOADED;
        let share = |at: Nanos| {
            let age = at.saturating_sub(START) as f64 / set.slow_start_duration as f64;
            set.slow_start_speed + (1.0 - set.slow_start_speed) * age.clamp(0.0, 1.0)
        };
        let got = fleet.sent.get(&server).cloned().unwrap_or_default();
        let window = set.overload_window;
        let mut worst: f64 = 0.0;
        for (last, (at, _)) in got.iter().enumerate() {
            let from = at.saturating_sub(window).max(START);
            let work: f64 = got[..=last].iter().filter(|(t, _)| *t > from || *t == START).map(|g| g.1).sum();
            let budget = set.overload_factor * share(from) * carried * (window as f64 / 1e9);
            worst = worst.max(work / bound(budget));
        }
        let all: f64 = got.iter().map(|g| g.1).sum();
        let mean = (set.slow_start_speed + 1.0) / 2.0;
        let most =
            (set.overload_factor * mean).min(1.0) * carried * LOADED * set.slow_start_duration as f64 / 1e9;
        Ramp { worst, used: all / most }
    })
}

/// Plays each day on some seeds: the worst ramps, and what the warming-up servers got on average.
fn judge(days: &[(&str, Simulation)], least: [f64; 2]) {
    const SEEDS: u64 = 4;
    let played: Vec<(&str, [Ramp; 2])> = std::thread::scope(|all| {
        let played = days.iter().map(|(name, day)| {
            let seeds: Vec<_> = (0..SEEDS).map(|seed| all.spawn(move || play(*day, seed))).collect();
            (*name, seeds)
        });
        let played: Vec<_> = played.collect();
        let whole = |seeds: Vec<std::thread::ScopedJoinHandle<[Ramp; 2]>>| {
            seeds.into_iter().fold([Ramp::default(); 2], |sum, seed| {
                let ramps = seed.join().expect("it is played");
                [0, 1].map(|role: usize| Ramp {
                    worst: sum[role].worst.max(ramps[role].worst),
                    used: sum[role].used + ramps[role].used / SEEDS as f64,
                })
            })
        };
        played.into_iter().map(|(name, seeds)| (name, whole(seeds))).collect()
    });
    for (name, ramps) in &played {
        println!("{name:28} {ramps:.2?}");
        for (ramp, least) in ramps.iter().zip(least) {
            assert!(ramp.worst < 1.0, "{name}: pushed over: {ramps:.2?}");
            assert!(ramp.used >= least, "{name}: starved: {ramps:.2?}");
        }
    }
}

/// By the number of routers, however their shares are spread and whoever among them has just started.
#[test]
fn all_routers_together_keep_a_warming_up_servers_budget() {
    let with = |routers| Simulation { routers, ..PLAIN };
    let days = [
        ("1 router", with(1)),
        ("3 routers", with(3)),
        ("20 routers", with(20)),
        ("30 routers", with(30)),
        ("300 routers", with(300)),
        ("300, little traffic", Simulation { rate: 60.0, ..with(300) }),
        ("1300 routers", with(1300)),
        ("1300, uneven, told late", Simulation { skew: 2.0, told_late: 5 * S, ..with(1300) }),
        ("300, uneven", Simulation { skew: 2.0, ..with(300) }),
        ("30, uneven, moved", Simulation { skew: 2.0, moves: true, ..with(30) }),
        ("300, uneven, moved", Simulation { skew: 2.0, moves: true, ..with(300) }),
        ("30, half restarted", Simulation { restarts: true, ..with(30) }),
        ("300, half restarted", Simulation { restarts: true, ..with(300) }),
        ("300, told late", Simulation { told_late: 5 * S, ..with(300) }),
        ("3, hot shared prefixes", Simulation { prefixes: 8.0, ..with(3) }),
        ("300, hot shared prefixes", Simulation { prefixes: 8.0, ..with(300) }),
    ];
    judge(&days, [0.005, 0.02]);
}

/// A budget of less than 30 calls has a bound of its own.
#[test]
fn small_budgets_are_kept_too() {
    let quiet = |routers| Simulation { routers, rate: 60.0, ..PLAIN };
    let days = [
        ("1 router, little traffic", quiet(1)),
        ("3 routers, little traffic", quiet(3)),
        ("30 routers, little traffic", quiet(30)),
    ];
    judge(&days, [0.005, 0.02]);
    // A router of so many comes to either server once in four minutes: what a cold one gets is left to
    // chance.
    judge(&[("1300 routers, little traffic", quiet(1300))], [0.0, 0.0]);
}

/// Traffic rises while a server is cold, or its peers are lost: what each router may send has piled up by
/// then.
#[test]
fn a_rise_of_the_traffic_keeps_it_too_and_finds_the_warming_up_servers() {
    let rise = |routers, at| Simulation { routers, rises: (at, 2.0), ..PLAIN };
    let lost = |routers, at, servers| Simulation { routers, lost: (at, servers), ..PLAIN };
    let days = [
        ("300, twice at once", rise(300, 0)),
        ("3, twice at 4 s", rise(3, 4 * S)),
        ("30, twice at 4 s", rise(30, 4 * S)),
        ("300, twice at 4 s", rise(300, 4 * S)),
        ("300, nine of twelve lost at 2", lost(300, 2 * S, 9)),
        ("3, nine lost at 4 s", lost(3, 4 * S, 9)),
        ("30, nine lost at 4 s", lost(30, 4 * S, 9)),
        ("300, nine lost at 4 s", lost(300, 4 * S, 9)),
        ("300, nine lost, twice", Simulation { rises: (4 * S, 2.0), ..lost(300, 4 * S, 9) }),
        ("1, all lost at 4 s", lost(1, 4 * S, 12)),
        ("30, all lost at 4 s", lost(30, 4 * S, 12)),
        ("300, all lost at 8 s", lost(300, 8 * S, 12)),
    ];
    judge(&days, [0.03, 0.15]);
}
