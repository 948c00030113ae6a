//! The hollow fleet: its modules, its modelled workers, and what passes between them in virtual time.

use super::super::layout::is_reader;
use super::super::target;
use super::entries::{list, server_of, settings, Shape};
use super::traffic::{Asked, Traffic};
use super::workers::{same_cell, Reader, Writer};
use gaparch_scheduler::api::*;
use gaparch_scheduler::policy::Policy;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Instant;

const MS: Nanos = 1_000_000;
pub(crate) const S: Nanos = 1_000 * MS;
/// The clock at the start of a day.
const START: Nanos = 100 * S;
/// A probe's way to a worker that runs, and back. At a reader it waits behind the reads, as a deep one does.
const PROBE: Nanos = MS;
const PROBE_TIMEOUT: Nanos = 250 * MS;
/// For a refused connection to be told.
const REFUSED: Nanos = MS;

/// Who chooses a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chooser {
    /// The decision module of each router.
    Module,
    /// One that sees the present state of all workers, of all routers' requests.
    SeesAll,
    /// A worker at random.
    Random,
}

/// What happens to one reader and one writer in the middle of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// They refuse connections; no list tells of it.
    Dies,
    /// They take five times as long.
    Slows,
    /// They start anew, which the list tells: what they get is bounded.
    StartsCold,
}

/// How much longer a slow worker takes.
pub const SLOWER: f64 = 5.0;

/// One day of a hollow fleet.
#[derive(Clone, Copy, Debug)]
pub struct Day {
    pub shape: Shape,
    /// Requests a second, all routers together.
    pub per_s: f64,
    /// Virtual seconds before the fault, which is also when counting starts.
    pub warm_up: f64,
    /// And from then on.
    pub counted: f64,
    pub fault: Fault,
    pub chooser: Chooser,
}

impl Day {
    /// A day at the target's load of a fleet of that shape.
    pub fn of(shape: Shape) -> Day {
        let per_s = target::REQUESTS_PER_S * shape.workers as f64 / target::WORKERS as f64;
        Day { shape, per_s, warm_up: 4.0, counted: 8.0, fault: Fault::None, chooser: Chooser::Module }
    }

    /// Numbers of the reader and the writer that the fault befalls.
    fn struck(&self) -> [usize; 2] {
        [0, 1]
    }

    fn fault_at(&self) -> Nanos {
        START + (self.warm_up * 1e9) as Nanos
    }

    fn end_at(&self) -> Nanos {
        self.fault_at() + (self.counted * 1e9) as Nanos
    }
}

/// An attempt at a worker that the fault befell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StruckAttempt {
    /// Seconds after the fault.
    pub after_s: f64,
    pub router: usize,
    /// At the reader, else at the writer.
    pub reads: bool,
}

/// What came of a day, counted from its fault on.
#[derive(Clone, Debug, Default)]
pub struct Played {
    pub asked: u64,
    /// Served within the aim, and later.
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    /// Nanoseconds to the first token of each that was served.
    pub first_tokens: Vec<Nanos>,
    /// Reads by reader.
    pub reads: Vec<u64>,
    /// Writes by writer.
    pub writes: Vec<u64>,
    /// Attempts at the struck reader and writer.
    pub struck: Vec<StruckAttempt>,
    /// Nanoseconds of processor time that all modules took, and the longest single event by kind.
    pub module_ns: u64,
    pub worst_event_ns: u64,
    pub worst_list_ns: u64,
    /// Probes sent.
    pub probes: u64,
}

impl Played {
    /// Share of the requests' worth that was served, by requests that were asked early enough to be answered.
    pub fn worth(&self) -> f64 {
        const LATE_WORTH: f64 = 0.1;
        let all = self.in_time + self.late + self.refused + self.failed;
        (self.in_time as f64 + LATE_WORTH * self.late as f64) / (all as f64).max(1.0)
    }

    /// Seconds to the first token for so many of a hundred.
    pub fn first_token_s(&self, percent: f64) -> f64 {
        let mut all = self.first_tokens.clone();
        all.sort_unstable();
        let at = ((all.len() as f64 * percent / 100.0) as usize).min(all.len().saturating_sub(1));
        all.get(at).map_or(0.0, |ns| *ns as f64 / 1e9)
    }

    /// Reads of the busiest reader as a multiple of the mean.
    pub fn busiest_reader(&self) -> f64 {
        let most = self.reads.iter().max().copied().unwrap_or(0) as f64;
        let mean = self.reads.iter().sum::<u64>() as f64 / self.reads.len().max(1) as f64;
        most / mean.max(1e-9)
    }
}

enum Due {
    Ask,
    Tell(usize, Event),
    StreamEnds { writer: usize, need: f64 },
    Fault,
}

/// A request that is open.
pub(super) struct Open {
    router: usize,
    asked_at: Nanos,
    pub(super) prompt: f64,
    pub(super) shared: f64,
    pub(super) beginning: Option<AffinityKey>,
    answer: f64,
    attempts: u32,
    /// The attempt whose answers are still wanted.
    out: Option<u32>,
    reader: usize,
    counted: bool,
}

pub(super) struct Fleet {
    pub(super) day: Day,
    pub(super) now: Nanos,
    modules: Vec<Policy>,
    traffic: Traffic,
    pub(super) readers: Vec<Reader>,
    pub(super) writers: Vec<Writer>,
    numbers: HashMap<ServerId, usize>,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    due: HashMap<u64, Due>,
    next: u64,
    pub(super) open: HashMap<u64, Open>,
    pub(super) lots: u64,
    played: Played,
}

/// Plays a day.
pub fn play(day: Day) -> Played {
    let mut fleet = Fleet::new(day);
    fleet.run();
    fleet.played
}

impl Fleet {
    fn new(day: Day) -> Fleet {
        let Shape { routers, workers, seed, .. } = day.shape;
        let modules = match day.chooser {
            Chooser::Module => (0..routers).map(|me| Policy::new(settings(&day.shape, me))).collect(),
            Chooser::SeesAll | Chooser::Random => Vec::new(),
        };
        let mut fleet = Fleet {
            day,
            now: START,
            modules,
            traffic: Traffic::new(seed, routers, workers, day.per_s),
            readers: (0..workers).map(|_| Reader::new()).collect(),
            writers: (0..workers).map(|_| Writer::default()).collect(),
            numbers: (0..workers).map(|number| (server_of(number), number)).collect(),
            queue: BinaryHeap::new(),
            due: HashMap::new(),
            next: 0,
            open: HashMap::new(),
            lots: seed ^ 0x5851_f42d_4c95_7f2d,
            played: Played { reads: vec![0; workers], writes: vec![0; workers], ..Played::default() },
        };
        let entries: std::sync::Arc<[Endpoint]> = list(&day.shape).into();
        for router in 0..fleet.modules.len() {
            fleet.tell(
                router,
                Event::EndpointsChanged { update: EndpointUpdate::Full, endpoints: entries.clone() },
            );
        }
        fleet.at(START + MS, Due::Ask);
        fleet.at(day.fault_at(), Due::Fault);
        fleet
    }

    fn at(&mut self, at: Nanos, due: Due) {
        self.next += 1;
        self.due.insert(self.next, due);
        self.queue.push(Reverse((at, self.next)));
    }

    fn run(&mut self) {
        let end = self.day.end_at();
        while let Some(Reverse((at, number))) = self.queue.pop().filter(|next| next.0 .0 < end) {
            self.now = at;
            match self.due.remove(&number) {
                Some(Due::Ask) => self.ask(),
                Some(Due::Tell(router, event)) => self.tell(router, event),
                Some(Due::StreamEnds { writer, need }) => self.writers[writer].end(need),
                Some(Due::Fault) => self.fault(),
                None => {}
            }
        }
        let counted = self.readers.iter().enumerate().filter(|(number, _)| is_reader(*number));
        let before = std::mem::take(&mut self.played.reads);
        self.played.reads = counted.map(|(number, reader)| reader.asked - before[number]).collect();
        let writes = self.played.writes.iter().enumerate();
        self.played.writes =
            writes.filter(|(number, _)| !is_reader(*number)).map(|(_, count)| *count).collect();
    }

    fn is_counted(&self) -> bool {
        self.now >= self.day.fault_at()
    }

    /// Whether the fault has befallen a worker.
    fn is_struck(&self, worker: usize) -> bool {
        self.day.fault != Fault::None && self.is_counted() && self.day.struck().contains(&worker)
    }

    pub(super) fn is_dead(&self, worker: usize) -> bool {
        self.day.fault == Fault::Dies && self.is_struck(worker)
    }

    pub(super) fn slower(&self, worker: usize) -> f64 {
        if self.day.fault == Fault::Slows && self.is_struck(worker) {
            SLOWER
        } else {
            1.0
        }
    }

    fn fault(&mut self) {
        self.played.reads = self.readers.iter().map(|reader| reader.asked).collect();
        self.played.writes.fill(0);
        (self.played.module_ns, self.played.worst_event_ns, self.played.probes) = (0, 0, 0);
        if self.day.fault != Fault::StartsCold {
            return;
        }
        let mut entries = list(&self.day.shape);
        entries.retain(|entry| self.day.struck().map(server_of).contains(&entry.server));
        entries.iter_mut().for_each(|entry| entry.started_at = Some(self.now));
        let entries: std::sync::Arc<[Endpoint]> = entries.into();
        for router in 0..self.modules.len() {
            self.tell(
                router,
                Event::EndpointsChanged { update: EndpointUpdate::Delta, endpoints: entries.clone() },
            );
        }
    }

    fn ask(&mut self) {
        let gap = self.traffic.gap();
        self.at(self.now + gap, Due::Ask);
        let Asked { router, request, answer } = self.traffic.ask(self.now);
        let counted = self.is_counted();
        self.played.asked += u64::from(counted);
        let open = Open {
            router,
            asked_at: self.now,
            prompt: request.prompt_tokens,
            shared: request.prefix_tokens,
            beginning: request.prefix,
            answer,
            attempts: 0,
            out: None,
            reader: 0,
            counted,
        };
        let id = request.id;
        self.open.insert(id.0, open);
        match self.day.chooser {
            Chooser::Module => self.tell(router, Event::RequestArrived(request)),
            Chooser::SeesAll | Chooser::Random => self.choose_reader(id),
        }
    }

    fn tell(&mut self, router: usize, event: Event) {
        if self.modules.is_empty() {
            return self.settle(event);
        }
        if !self.wanted(&event) {
            return;
        }
        let module = &mut self.modules[router];
        let list = matches!(event, Event::EndpointsChanged { .. });
        let ended = match &event {
            Event::AttemptFinished(o) if o.request_finished => Some(o.id),
            _ => None,
        };
        let began = Instant::now();
        let actions = module.handle(self.now, event);
        let took = began.elapsed().as_nanos() as u64;
        if list {
            self.played.worst_list_ns = self.played.worst_list_ns.max(took);
        } else {
            self.played.module_ns += took;
            self.played.worst_event_ns = self.played.worst_event_ns.max(took);
        }
        if let Some(id) = ended {
            self.open.remove(&id.0);
        }
        for action in actions {
            self.act(router, action);
        }
    }

    fn act(&mut self, router: usize, action: Action) {
        match action {
            Action::SetTimer { token, delay } => {
                self.at(self.now + delay, Due::Tell(router, Event::TimerFired(token)))
            }
            Action::Send { id, server, .. } => self.send(id, server),
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::Probe(server) => self.probe(router, server),
            Action::Reject { id, .. } => self.give_up(id, true),
            Action::Fail { id, .. } => self.give_up(id, false),
            _ => {}
        }
    }

    pub(super) fn give_up(&mut self, id: RequestId, refused: bool) {
        let Some(open) = self.open.get(&id.0) else { return };
        if open.counted {
            self.played.refused += u64::from(refused);
            self.played.failed += u64::from(!refused);
        }
        if open.out.is_none() {
            self.open.remove(&id.0);
        }
    }

    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        let Some(open) = self.open.get_mut(&id.0) else { return };
        // The worker goes on with it; nobody hears of what comes of that.
        open.out = None;
        let router = open.router;
        let outcome = outcome(id, attempt, ServerId(0), AttemptStatus::Cancelled, 0);
        self.at(self.now, Due::Tell(router, Event::AttemptFinished(outcome)));
    }

    fn probe(&mut self, router: usize, server: ServerId) {
        self.played.probes += 1;
        let worker = self.numbers[&server];
        let waits = self.readers[worker].would_end(self.now, 0.0, 0.0) - self.now;
        let (status, latency) = match PROBE + waits {
            _ if self.is_dead(worker) => (AttemptStatus::ConnectFailed, REFUSED),
            latency if latency < PROBE_TIMEOUT => (AttemptStatus::Ok, latency),
            _ => (AttemptStatus::Timeout, PROBE_TIMEOUT),
        };
        let probed = Event::ProbeFinished { server, status, latency, report: None };
        self.at(self.now + latency, Due::Tell(router, probed));
    }

    pub(super) fn send(&mut self, id: RequestId, server: ServerId) {
        let worker = self.numbers[&server];
        let (now, slower, dead) = (self.now, self.slower(worker), self.is_dead(worker));
        if self.is_struck(worker) {
            let after_s = (now - self.day.fault_at()) as f64 / 1e9;
            let router = self.open.get(&id.0).map_or(0, |open| open.router);
            self.played.struck.push(StruckAttempt { after_s, router, reads: is_reader(worker) });
        }
        let Some(open) = self.open.get_mut(&id.0) else { return };
        let attempt = AttemptNumber(open.attempts);
        open.attempts += 1;
        open.out = Some(attempt.0);
        let (router, prompt) = (open.router, open.prompt);
        if dead {
            let refused = outcome(id, attempt, server, AttemptStatus::ConnectFailed, REFUSED);
            return self.at(now + REFUSED, Due::Tell(router, Event::AttemptFinished(refused)));
        }
        if is_reader(worker) {
            open.reader = worker;
            let read = self.readers[worker].read(now, open.beginning, prompt, open.shared, slower);
            let done = AttemptOutcome {
                cached_prompt_tokens: read.kept as u64,
                ..outcome(id, attempt, server, AttemptStatus::Prefilled, read.done_at - now)
            };
            return self.at(read.done_at, Due::Tell(router, Event::AttemptFinished(done)));
        }
        let (need, near) = (prompt + open.answer, same_cell(worker, open.reader));
        self.played.writes[worker] += 1;
        let Some(write) = self.writers[worker].write(need, open.answer, near, slower) else {
            let full = outcome(id, attempt, server, AttemptStatus::Rejected, MS);
            return self.at(now + MS, Due::Tell(router, Event::AttemptFinished(full)));
        };
        let first = Event::FirstToken { id, attempt, server, latency: write.first_after };
        self.at(now + write.first_after, Due::Tell(router, first));
        let done = AttemptOutcome {
            request_finished: true,
            ..outcome(id, attempt, server, AttemptStatus::Ok, write.done_after)
        };
        self.at(now + write.done_after, Due::StreamEnds { writer: worker, need });
        self.at(now + write.done_after, Due::Tell(router, Event::AttemptFinished(done)));
    }
}

impl Fleet {
    /// Books a first token; whether the event is one of an attempt that is still wanted.
    pub(super) fn wanted(&mut self, event: &Event) -> bool {
        let (id, attempt) = match event {
            Event::FirstToken { id, attempt, .. } => (id, attempt),
            Event::AttemptFinished(o) if o.status != AttemptStatus::Cancelled => (&o.id, &o.attempt),
            _ => return true,
        };
        let Some(open) = self.open.get_mut(&id.0).filter(|open| open.out == Some(attempt.0)) else {
            return false;
        };
        if let Event::AttemptFinished(_) = event {
            open.out = None;
        } else if open.counted {
            let took = self.now - open.asked_at;
            let in_time = took as f64 <= target::FIRST_TOKEN_S * 1e9;
            self.played.first_tokens.push(took);
            self.played.in_time += u64::from(in_time);
            self.played.late += u64::from(!in_time);
        }
        true
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
