//! Bookkeeping for the decision module: the tables of servers and requests. Decides nothing.

use crate::api::{AttemptNo, CellId, KindId, Nanos, Request, Role, ServerId, ZoneId};

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
    /// In debt for one.
    pub fn owing(now: Nanos) -> Bucket {
        Bucket { level: -1.0, at: now }
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
    pub others_unread: f64,
    pub reported_full: bool,
    pub full_at: Option<Nanos>,
    /// Last time that it answered anything at all.
    pub heard_at: Nanos,
    pub failing: Mean,
    /// Latency for the work asked of it.
    pub pace: Mean,
    /// That latency as a multiple of its peers'; 1 while it is not clearly slower.
    pub slow: f64,
    pub shunned_until: Nanos,
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
        others_unread: 0.0,
        reported_full: false,
        full_at: None,
        heard_at: 0,
        failing: Mean::default(),
        pace: Mean::default(),
        slow: 1.0,
        shunned_until: 0,
        unreachable: false,
        lost: false,
        probe_at: 0,
        back_at: 0,
        sent: Recent::default(),
        budget: Bucket::default(),
    }
}

impl Server {
    /// To be called before own work there changes, or is compared with a report.
    pub fn follow(&mut self, now: Nanos, lag: Nanos) {
        self.held_seen.follow(now, self.held, lag);
        self.unbegun_seen.follow(now, f64::from(self.unbegun), lag);
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
    pub fn restarted(&mut self, now: Nanos, ready_at: Nanos) {
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
            ready_at,
            budget: Bucket::owing(now),
            ..new_server(old.id, old.role, old.memory)
        };
    }
}

/// The attempt of a request that is out.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub server: ServerId,
    pub no: AttemptNo,
    pub at: Nanos,
    pub stage: Stage,
    pub unread: f64,
    /// Own tokens to read there when it was sent, its own included.
    pub queued: f64,
    pub held: f64,
    pub begun: bool,
    pub cancelled: bool,
}

impl Sent {
    /// A send yet to be booked.
    pub fn to(server: ServerId, stage: Stage) -> Sent {
        Sent {
            server,
            no: AttemptNo(0),
            at: 0,
            stage,
            unread: 0.0,
            queued: 0.0,
            held: 0.0,
            begun: false,
            cancelled: false,
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
    /// The final answer is given: only the books are still open.
    pub ended: bool,
}

impl Work {
    pub fn new(request: Request, over_share: bool, aim_at: Nanos, answer: f64) -> Work {
        Work {
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
            ended: false,
        }
    }

    /// A writer will have to take its state.
    pub fn pledged(&self) -> bool {
        let reading = self.sent.is_some_and(|s| s.stage == Stage::Read);
        !self.ended && (reading || self.state.is_some() && self.sent.is_none())
    }

    /// Guessed tokens of memory at a writer.
    pub fn need(&self) -> f64 {
        self.request.prompt_len + self.answer
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

pub fn held_from_bytes(data: &[u8]) -> std::collections::BTreeMap<ServerId, f64> {
    let entry = |e: &[u8]| {
        let server = ServerId(u32::from_le_bytes([e[0], e[1], e[2], e[3]]));
        (server, f64::from(u16::from_le_bytes([e[4], e[5]])) * UNIT)
    };
    data.chunks_exact(6).map(entry).collect()
}
