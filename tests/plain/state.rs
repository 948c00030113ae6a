//! Bookkeeping for the decision module: the tables of servers and requests. Decides nothing.

use gaparch_scheduler::api::{
    AffinityKey, AttemptNumber, CellId, ClassId, Endpoint, KindId, LoadReport, Nanos, Request, Role,
    ServerId, ServerState, TenantId, ZoneId,
};
use std::collections::BTreeMap;

/// A mean that forgets: each sample counts `gain` of the whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    pub value: f64,
    pub samples: u32,
}

impl Mean {
    pub fn add(&mut self, sample: f64, gain: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = gain.max(1.0 / f64::from(self.samples));
        self.value += (sample - self.value) * gain;
    }
}

/// What reads take.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reads {
    /// Nanoseconds a token, and how far single reads are off that.
    pub pace: Mean,
    pub off: Mean,
    /// The same where nothing else waited.
    pub best: f64,
    /// Tokens that were not kept, a read.
    pub size: Mean,
    /// Tokens that a read stood behind where a probe had not come back.
    pub behind: Mean,
}

impl Reads {
    /// Nanoseconds a token of a read that is late by so many deviations.
    pub fn late(&self, deviations: f64) -> f64 {
        self.pace.value + deviations * self.off.value
    }

    /// Learns from a read that is done: what was kept is known by then, and so what it read itself, and how much it stood
    /// behind. Returns what a token took.
    pub fn done(&mut self, sent: &Sent, latency: Nanos, read: f64, gain: f64, slower: f64) -> f64 {
        let per_token = latency as f64 / (sent.queued - sent.unread + read).max(read);
        self.size.add(read, gain);
        self.learn(per_token, latency as f64 / read, gain, slower);
        if sent.behind {
            self.behind.add((self.tokens(latency) - read).max(0.0), gain);
        }
        per_token
    }

    /// A pace to go by until one is learnt.
    pub fn guessed(best: f64) -> Reads {
        Reads { best, ..Reads::default() }
    }

    /// The tokens that can be read in so long where nothing else waits.
    pub fn tokens(&self, span: Nanos) -> f64 {
        span as f64 / self.best.max(1.0)
    }

    /// `slower` is the gain by which a slower sample moves the best.
    pub fn add(&mut self, per_token: f64, gain: f64, slower: f64) {
        self.learn(per_token, per_token, gain, slower);
    }

    /// `alone` counts only the read's own tokens: whatever it stood behind, it is no less than the pace at best.
    fn learn(&mut self, per_token: f64, alone: f64, gain: f64, slower: f64) {
        let best = if self.pace.samples > 0 { self.best } else { alone };
        self.best = alone.min(best + (alone - best) * slower);
        self.off.add((per_token - self.pace.value).abs(), gain);
        self.pace.add(per_token, gain);
    }
}

/// Requests seen lately, all and by shared beginning.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    since: Nanos,
    adds: u32,
    all: Recent,
    by_prefix: BTreeMap<AffinityKey, Recent>,
}

impl Seen {
    /// Mean gap between requests.
    pub fn gap(&self, now: Nanos, span: Nanos) -> f64 {
        now.saturating_sub(self.since).min(span) as f64 / self.all.get(now, span).max(1.0)
    }

    /// How many there were before this one, of its beginning and in all.
    pub fn add(&mut self, now: Nanos, prefix: Option<AffinityKey>, span: Nanos) -> (f64, f64) {
        let all = self.all.get(now, span);
        self.since = if self.since == 0 { now } else { self.since };
        self.all.add(now, 1.0, span);
        // Now and then those long not seen are dropped.
        self.adds = self.adds.wrapping_add(1);
        if self.adds.is_multiple_of(1024) {
            self.by_prefix.retain(|_, seen| seen.get(now, span) >= 0.01);
        }
        let Some(prefix) = prefix else { return (0.0, all) };
        let same = self.by_prefix.entry(prefix).or_default();
        let before = same.get(now, span);
        same.add(now, 1.0, span);
        (before, all)
    }
}

/// An amount that drains away exponentially, so that `value / span` is a recent rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recent {
    value: f64,
    at: Nanos,
}

impl Recent {
    pub fn add(&mut self, now: Nanos, amount: f64, span: Nanos) {
        self.value = self.get(now, span) + amount;
        self.at = now;
    }

    pub fn get(&self, now: Nanos, span: Nanos) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.value * (-age / span.max(1) as f64).exp()
    }
}

/// Follows a value late, as a report does: `1 - 1/e` of a change is seen after `span`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lagged {
    pub value: f64,
    at: Nanos,
}

impl Lagged {
    /// To be called before `current` changes.
    pub fn follow(&mut self, now: Nanos, current: f64, span: Nanos) {
        let age = now.saturating_sub(self.at) as f64;
        self.value = current + (self.value - current) * (-age / span.max(1) as f64).exp();
        self.at = now;
    }
}

/// Mean of the means.
pub fn mean(means: &[Mean]) -> f64 {
    average(means.iter().map(|m| m.value)).unwrap_or(0.0)
}

pub fn average(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = values.fold((0.0, 0.0), |(sum, n), v| (sum + v, n + 1.0));
    (n > 0.0).then(|| sum / n)
}

/// The lower median; 0 of nothing.
pub fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

/// A token bucket; the caller gives rate and depth, since both change.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    pub level: f64,
    pub at: Nanos,
}

impl Bucket {
    /// In debt.
    pub fn owing(now: Nanos, debt: f64) -> Bucket {
        Bucket { level: -debt, at: now }
    }

    /// Takes one, if there is one; a bucket never used is full.
    pub fn take(&mut self, now: Nanos, per_s: f64, depth: f64) -> bool {
        if self.at == 0 {
            *self = Bucket { level: depth, at: now };
        }
        self.fill(now, per_s, depth);
        let some = self.level >= 1.0;
        if some {
            self.level -= 1.0;
        }
        some
    }

    pub fn fill(&mut self, now: Nanos, per_s: f64, depth: f64) {
        let span = now.saturating_sub(self.at) as f64 / 1e9;
        self.level = (self.level + span * per_s).min(depth);
        self.at = now;
    }
}

/// Traffic that a server may treat unlike the rest.
pub type Part = (ClassId, Option<TenantId>);

/// A rest that grows with each failure and shrinks with each success.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rest {
    pub until: Nanos,
    span: Nanos,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub id: ServerId,
    pub zone: Option<ZoneId>,
    pub cell: Option<CellId>,
    pub kind: Option<KindId>,
    pub role: Role,
    pub weight: f64,
    /// Tokens of memory.
    pub memory: f64,
    pub ready_at: Nanos,
    /// Listed, and neither draining nor gone.
    pub ready: bool,
    /// Own attempts out that have not begun an answer.
    pub unbegun: u32,
    /// Own prompt tokens sent there to be read, not yet read.
    pub unread: f64,
    /// Own guessed tokens of memory sent there to be written.
    pub held: f64,
    /// `held` and `unbegun` as a report, which is late, can have counted them.
    pub held_seen: Lagged,
    pub unbegun_seen: Lagged,
    /// What other routers hold there, by the reports: tokens of memory, tokens to read.
    pub others: Option<f64>,
    pub others_unread: Option<f64>,
    /// When a report last told of them.
    pub news_at: Nanos,
    /// Share of its memory held, as last reported.
    pub share: Option<f64>,
    pub full_at: Option<Nanos>,
    /// Last time that it answered anything at all.
    pub heard_at: Nanos,
    /// Last time that it answered a probe at once.
    pub quick_at: Nanos,
    /// When a probe that is out was sent.
    pub asked_at: Option<Nanos>,
    /// When the latest exchange began that it has answered.
    pub ran_at: Nanos,
    /// Rests after failures, of all traffic or of a part of it.
    pub rests: BTreeMap<Option<Part>, Rest>,
    /// Latency for the work asked of it.
    pub pace: Mean,
    /// That latency as a multiple of its peers' median; 1 until it can be told.
    pub pace_ratio: f64,
    pub unreachable: bool,
    /// Unreachable because a connection broke or was not to be had.
    pub lost: bool,
    pub probe_at: Nanos,
    /// When it could be reached again, if it could not.
    pub back_at: Nanos,
    /// Work sent there lately, in mean requests.
    pub sent: Recent,
    pub budget: Bucket,
}

pub fn new_server(id: ServerId, role: Role, memory: f64) -> Server {
    Server {
        id,
        zone: None,
        cell: None,
        kind: None,
        role,
        weight: 1.0,
        memory,
        ready_at: 0,
        ready: false,
        unbegun: 0,
        unread: 0.0,
        held: 0.0,
        held_seen: Lagged::default(),
        unbegun_seen: Lagged::default(),
        others: None,
        others_unread: None,
        news_at: 0,
        share: None,
        full_at: None,
        heard_at: 0,
        quick_at: 0,
        asked_at: None,
        ran_at: 0,
        rests: BTreeMap::new(),
        pace: Mean::default(),
        pace_ratio: 1.0,
        unreachable: false,
        lost: false,
        probe_at: 0,
        back_at: 0,
        sent: Recent::default(),
        budget: Bucket::default(),
    }
}

impl Server {
    pub fn rest(&mut self, now: Nanos, part: Option<Part>, least: Nanos, most: Nanos) {
        let rest = self.rests.entry(part).or_default();
        rest.span = (rest.span * 2).max(least).min(most);
        rest.until = now + rest.span;
    }

    pub fn answered(&mut self, now: Nanos, latency: Nanos) {
        self.ran_at = self.ran_at.max(now.saturating_sub(latency));
    }

    /// A probe that was sent so long ago, or longer, is still out.
    pub fn asked_before(&self, now: Nanos, span: Nanos) -> bool {
        self.asked_at.is_some_and(|at| now >= at + span)
    }

    pub fn full_within(&self, now: Nanos, span: Nanos) -> bool {
        self.full_at.is_some_and(|at| now < at + span)
    }

    /// When its process began, as listed or guessed; 0: long ago.
    pub fn began_at(&self) -> Nanos {
        self.ready_at.max(self.back_at)
    }

    pub fn served(&mut self, part: Part) {
        for part in [None, Some(part)] {
            self.rests.entry(part).and_modify(|rest| rest.span /= 2);
        }
    }

    pub fn rests(&self, now: Nanos, part: Option<Part>) -> bool {
        self.rests.get(&part).is_some_and(|rest| now < rest.until)
    }

    /// To be called before own work there changes, or is compared with a report.
    pub fn follow(&mut self, now: Nanos, lag: Nanos) {
        self.held_seen.follow(now, self.held, lag);
        self.unbegun_seen.follow(now, f64::from(self.unbegun), lag);
    }

    /// A report counts own work too, as it was a while ago; what is left is the others'. `size`: tokens to
    /// read for a request.
    pub fn note_report(&mut self, now: Nanos, lag: Nanos, report: Option<LoadReport>, size: f64) {
        let Some(report) = report else { return };
        self.follow(now, lag);
        self.news_at = now;
        self.share = report.memory_utilization;
        if let Some(share) = report.memory_utilization.filter(|_| self.role != Role::Prefill) {
            self.others = Some((share * self.memory - self.held_seen.value).max(0.0));
        }
        let requests = report.in_flight.or(report.queued).map(|n| (n - self.unbegun_seen.value) * size);
        let waiting = report.pending_prefill_kilotokens.map(|k| k * 1000.0 - self.unread).or(requests);
        if let Some(tokens) = waiting.filter(|_| self.role != Role::Decode) {
            self.others_unread = Some(tokens.max(0.0));
        }
    }

    /// What the list says of it; a new process begins with its cold budget in debt.
    pub fn listed(&mut self, now: Nanos, e: &Endpoint, debt: f64) {
        (self.zone, self.cell, self.kind) = (e.zone, e.cell, e.kind);
        self.weight = e.weight.filter(|w| *w > 0.0).unwrap_or(1.0);
        self.ready = e.state == ServerState::Ready;
        if e.started_at.unwrap_or(0) != self.ready_at {
            self.restarted(now, e.started_at.unwrap_or(0), debt);
        }
    }

    pub fn take(&mut self, now: Nanos, lag: Nanos, sent: &Sent) {
        self.follow(now, lag);
        self.unbegun += 1;
        self.held += sent.held;
        self.unread += sent.unread;
    }

    pub fn begin(&mut self, now: Nanos, lag: Nanos, sent: &Sent) {
        self.follow(now, lag);
        self.unbegun = self.unbegun.saturating_sub(1);
        self.unread -= sent.unread;
    }

    pub fn close(&mut self, now: Nanos, lag: Nanos, sent: &Sent) {
        if sent.begun {
            self.follow(now, lag);
        } else {
            self.begin(now, lag, sent);
        }
        self.held -= sent.held;
    }

    /// A new process: its past says nothing, and its cold budget starts empty. Own work there stays booked
    /// until its outcomes come.
    pub fn restarted(&mut self, now: Nanos, ready_at: Nanos, debt: f64) {
        let old = self.clone();
        *self = Server {
            zone: old.zone,
            cell: old.cell,
            kind: old.kind,
            weight: old.weight,
            ready: old.ready,
            unbegun: old.unbegun,
            unread: old.unread,
            held: old.held,
            held_seen: old.held_seen,
            unbegun_seen: old.unbegun_seen,
            heard_at: old.heard_at,
            asked_at: old.asked_at,
            ready_at,
            budget: Bucket::owing(now, debt),
            ..new_server(old.id, old.role, old.memory)
        };
    }
}

/// Takes a latency, and compares those of its role, of servers with enough samples, with their median.
pub fn learn_pace(all: &mut Servers, id: ServerId, sample: f64, gain: f64, enough: u32) {
    let Some(s) = all.get_mut(&id) else { return };
    s.pace.add(sample, gain);
    let role = s.role;
    let known = |s: &&mut Server| s.role == role && s.pace.samples >= enough;
    let median = median(all.values_mut().filter(known).map(|s| s.pace.value));
    all.values_mut().filter(known).for_each(|s| s.pace_ratio = s.pace.value / median.max(1.0));
}

/// The attempt of a request that is out.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub server: ServerId,
    pub no: AttemptNumber,
    pub at: Nanos,
    pub stage: Stage,
    pub unread: f64,
    /// Own tokens to read there when it was sent, its own included.
    pub queued: f64,
    pub held: f64,
    pub begun: bool,
    pub cancelled: bool,
    pub released: bool,
    /// A probe there was out.
    pub behind: bool,
}

impl Sent {
    /// A send yet to be booked.
    pub fn to(server: ServerId, stage: Stage) -> Sent {
        Sent {
            server,
            no: AttemptNumber(0),
            at: 0,
            stage,
            unread: 0.0,
            queued: 0.0,
            held: 0.0,
            begun: false,
            cancelled: false,
            released: false,
            behind: false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Read,
    Write,
    /// Read and written at one mixed server.
    Whole,
}

/// An attempt that may have run, of a request that is not safe to repeat.
#[derive(Clone, Copy, Debug)]
pub struct MayHaveRun {
    pub zone: Option<ZoneId>,
    pub cell: Option<CellId>,
    pub at: Nanos,
}

#[derive(Clone, Debug)]
pub struct Work {
    pub request: Request,
    pub over_share: bool,
    /// An order of servers that differs for each request and router.
    pub lot: AffinityKey,
    pub asked_at: Nanos,
    /// Readers that its shared beginning is at home at.
    pub homes: usize,
    pub aim_at: Nanos,
    /// Guessed tokens of the answer.
    pub answer: f64,
    pub attempts: u32,
    pub sent: Option<Sent>,
    /// The reader where the state waits, and since when no attempt has been out.
    pub state: Option<(ServerId, Nanos)>,
    pub may_have_run: Option<MayHaveRun>,
    /// Servers that failed it.
    pub avoid: Vec<ServerId>,
    pub read_at: Option<Nanos>,
    /// Until when answers of probes are waited for.
    pub look_until: Option<Nanos>,
    /// The final answer is given: only the books are still open.
    pub ended: bool,
}

impl Work {
    pub fn new(
        request: Request,
        now: Nanos,
        seed: u64,
        homes: usize,
        over_share: bool,
        aim_at: Nanos,
        answer: f64,
    ) -> Work {
        Work {
            lot: AffinityKey(request.id.0 ^ seed),
            homes,
            asked_at: now,
            request,
            over_share,
            aim_at,
            answer,
            attempts: 0,
            sent: None,
            state: None,
            may_have_run: None,
            avoid: Vec::new(),
            read_at: None,
            look_until: None,
            ended: false,
        }
    }

    /// Time to the first token that is wanted.
    pub fn aim(&self) -> f64 {
        self.aim_at.saturating_sub(self.asked_at) as f64
    }

    pub fn part(&self) -> Part {
        (self.request.class, self.request.tenant)
    }

    /// Unanswered, with no stream begun.
    pub fn unbegun(&self) -> bool {
        !self.ended && !self.sent.is_some_and(|s| s.begun)
    }

    /// A writer will have to take its state.
    pub fn pledged(&self) -> bool {
        let reading = self.sent.is_some_and(|s| s.stage == Stage::Read);
        !self.ended && (reading || self.state.is_some() && self.sent.is_none())
    }

    /// Guessed tokens of memory at a writer.
    pub fn need(&self) -> f64 {
        self.request.prompt_tokens + self.answer
    }
}

pub type Servers = BTreeMap<ServerId, Server>;

/// What other routers told that they hold, by router and in all.
#[derive(Clone, Debug, Default)]
pub struct Told {
    by_router: BTreeMap<u32, (Nanos, BTreeMap<ServerId, f64>)>,
    pub all: BTreeMap<ServerId, f64>,
}

impl Told {
    pub fn hear(&mut self, now: Nanos, from: u32, held: BTreeMap<ServerId, f64>) {
        held.iter().for_each(|(server, held)| *self.all.entry(*server).or_default() += held);
        let old = self.by_router.insert(from, (now, held));
        self.take_off(old.into_iter().collect());
    }

    /// Forgets what is older than `from`.
    pub fn forget(&mut self, from: Nanos) {
        let is_old = |t: &(Nanos, BTreeMap<ServerId, f64>)| t.0 < from;
        let old: Vec<u32> = self.by_router.iter().filter(|(_, t)| is_old(t)).map(|(r, _)| *r).collect();
        let old = old.iter().filter_map(|router| self.by_router.remove(router)).collect();
        self.take_off(old);
    }

    fn take_off(&mut self, old: Vec<(Nanos, BTreeMap<ServerId, f64>)>) {
        for (server, held) in old.iter().flat_map(|t| &t.1) {
            self.all.entry(*server).and_modify(|all| *all = (*all - held).max(0.0));
        }
    }

    pub fn routers(&self) -> f64 {
        self.by_router.len() as f64
    }
}

/// What the servers of a role have in common.
#[derive(Clone, Debug, Default)]
pub struct Averages {
    at: Nanos,
    /// Mean weight by role.
    pub weight: [f64; 3],
    /// Each cell's share of all weight, by role.
    pub cells: BTreeMap<CellId, [f64; 3]>,
    /// By role, of those with fresh news: what others hold, as a share of memory; what others have to read.
    pub others: [Option<f64>; 3],
    pub others_unread: [Option<f64>; 3],
    /// What we and other routers hold at writers, and a writer's mean of it.
    pub known: f64,
    pub known_mean: f64,
}

impl Averages {
    /// Of what the list says.
    pub fn list(&mut self, servers: &Servers) {
        self.cells.clear();
        for role in [Role::Prefill, Role::Decode, Role::Mixed] {
            let ready = || servers.values().filter(|s| s.ready && s.role == role);
            self.weight[role as usize] = average(ready().map(|s| s.weight)).unwrap_or(1.0);
            let whole = ready().map(|s| s.weight).sum::<f64>();
            for (s, cell) in ready().filter_map(|s| Some((s, s.cell?))) {
                self.cells.entry(cell).or_default()[role as usize] += s.weight / whole;
            }
        }
    }

    /// Of the news of the last `span`; older news is forgotten. Done once in `every`.
    pub fn news(&mut self, now: Nanos, every: Nanos, span: Nanos, servers: &mut Servers, told: &mut Told) {
        if now < self.at + every {
            return;
        }
        self.at = now;
        let from = now.saturating_sub(span);
        told.forget(from);
        let (mut others, mut unread) = ([(0.0, 0.0); 3], [(0.0, 0.0); 3]);
        let (mut writers, mut held) = (0.0_f64, 0.0);
        for s in servers.values_mut() {
            if s.news_at < from {
                (s.others, s.others_unread, s.share) = (None, None, None);
            }
            // A probe whose answer was lost must not be waited for for ever.
            s.asked_at = s.asked_at.filter(|at| *at >= from);
            if s.ready {
                let add = |sum: &mut (f64, f64), value: f64| *sum = (sum.0 + value, sum.1 + 1.0);
                s.others.into_iter().for_each(|v| add(&mut others[s.role as usize], v / s.memory.max(1.0)));
                s.others_unread.into_iter().for_each(|v| add(&mut unread[s.role as usize], v));
                if s.role != Role::Prefill {
                    (writers, held) = (writers + 1.0, held + s.held);
                }
            }
        }
        let mean = |sum: (f64, f64)| (sum.1 > 0.0).then(|| sum.0 / sum.1);
        (self.others, self.others_unread) = (others.map(mean), unread.map(mean));
        self.known = held + told.all.values().sum::<f64>();
        self.known_mean = self.known / writers.max(1.0);
    }
}

/// Tokens in one unit of a message between routers.
const UNIT: f64 = 16.0;
/// The most that one message holds.
const MESSAGE: usize = 256;

/// What a router holds at each server: four bytes for the server, two for the amount.
pub fn held_to_bytes(held: impl Iterator<Item = (ServerId, f64)>) -> Vec<u8> {
    let some = held.filter(|(_, held)| *held >= UNIT);
    let entry = |(server, held): (ServerId, f64)| {
        let units = (held / UNIT).min(f64::from(u16::MAX)) as u16;
        server.0.to_le_bytes().into_iter().chain(units.to_le_bytes())
    };
    some.take(MESSAGE / 6).flat_map(entry).collect()
}

pub fn held_from_bytes(data: &[u8]) -> BTreeMap<ServerId, f64> {
    let entry = |e: &[u8]| {
        let server = ServerId(u32::from_le_bytes([e[0], e[1], e[2], e[3]]));
        (server, f64::from(u16::from_le_bytes([e[4], e[5]])) * UNIT)
    };
    data.chunks_exact(6).map(entry).collect()
}

/// Least value first.
pub fn sorted_by<T>(mut all: Vec<T>, value: impl Fn(&T) -> f64) -> Vec<T> {
    all.sort_by(|a, b| value(a).total_cmp(&value(b)));
    all
}

/// The least power of four above `n`.
pub fn power_of_four(n: usize) -> usize {
    let power = (n + 1).next_power_of_two();
    power << (power.trailing_zeros() & 1)
}

/// A rate of sends that falls when they do badly and grows with time.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    /// Sends a second.
    rate: f64,
    bucket: Bucket,
    cut_at: Nanos,
    since: Nanos,
    sent: Recent,
}

impl Default for Throttle {
    fn default() -> Throttle {
        let bucket = Bucket { level: 1.0, at: 0 };
        Throttle { rate: f64::MAX, bucket, cut_at: 0, since: 0, sent: Recent::default() }
    }
}

impl Throttle {
    /// Whether a send is allowed; the rate grows by the share `growth` a second.
    pub fn allows(&mut self, now: Nanos, growth: f64) -> bool {
        let span_s = now.saturating_sub(self.bucket.at) as f64 / 1e9;
        self.rate = (self.rate * (1.0 + growth * span_s)).min(f64::MAX);
        self.bucket.fill(now, self.rate, 1.0 + self.rate / 10.0);
        self.bucket.level >= 1.0
    }

    pub fn take(&mut self, now: Nanos, span: Nanos) {
        self.bucket.level -= 1.0;
        self.since = if self.since == 0 { now } else { self.since };
        self.sent.add(now, 1.0, span);
    }

    /// Cuts the rate to a share of what was sent lately, once in `gap` at most.
    pub fn cut(&mut self, now: Nanos, share: f64, span: Nanos, gap: Nanos) {
        if now >= self.cut_at + gap {
            self.cut_at = now;
            let span_s = now.saturating_sub(self.since).clamp(gap, span) as f64 / 1e9;
            self.rate = (self.rate.min(self.sent.get(now, span) / span_s) * share).max(0.02);
        }
    }
}
