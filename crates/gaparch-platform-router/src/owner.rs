//! The one task that has the core, and the module in it.

use crate::client::{Piece, PIECES};
use crate::discovery::Wanted;
use crate::peers::{Heard, PeerSocket};
use crate::settings::{connect_within, release_try};
use crate::shared::{Answer, Forward, Message, Seen, Shared};
use crate::worker::{self, Job, Pool, Release, Target};
use gaparch_config::Config;
use gaparch_ops::book::Book;
use gaparch_platform_protocol::ask::Ask;
use gaparch_protocol::engine::{AttemptKey, EngineFrame, Job as EngineJob, RouterRun};
use gaparch_protocol::ops::ending::WaitedFor;
use gaparch_router::core::{
    AcceptedRequest, ConnectionNumber, Core, Input, ListUpdate, Output, ResponseEvent,
};
use gaparch_scheduler::api::{AttemptNumber, AttemptStatus, Nanos, RequestId, ServerId};
use gaparch_scheduler::policy::connect::SendRisk;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{interval, sleep_until, Instant, MissedTickBehavior};

/// Messages taken in one round, so that the timers are looked at between.
const BATCH: usize = 64;
const TIDY_EVERY: Duration = Duration::from_secs(1);
const SUMMARY_EVERY: Duration = Duration::from_secs(10);
/// States held for too long that are named in the log at a time.
const HELD_LINES: usize = 4;

/// What the shell keeps of a request for as long as the core knows it.
struct Open {
    forward: Arc<Forward>,
    answer: Option<oneshot::Sender<Answer>>,
    exchange: Option<Exchange>,
    /// Ends with its last release: what is sent after that must not overtake it.
    releasing: Option<oneshot::Receiver<()>>,
}

/// The last attempt's task.
struct Exchange {
    no: AttemptNumber,
    task: JoinHandle<()>,
    written: watch::Receiver<bool>,
}

/// What one round of the owner takes.
#[derive(Default)]
struct Round {
    messages: Vec<Message>,
    heard: Vec<Heard>,
}

impl Round {
    /// Waits for a message, another router or the next timer, and takes what there is of all three: where a round takes
    /// longer than the time to the next timer there is always one due, and nothing else would ever have its turn.
    /// `false` once nobody is left who could send a message.
    async fn wait(
        &mut self,
        due: Option<Instant>,
        messages: &mut mpsc::UnboundedReceiver<Message>,
        heard: &mut mpsc::Receiver<Heard>,
    ) -> bool {
        tokio::select! {
            biased;
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
            Some(message) = heard.recv() => self.heard.push(message),
            taken = messages.recv_many(&mut self.messages, BATCH) => if taken == 0 { return false },
        }
        while self.messages.len() < BATCH {
            let Ok(message) = messages.try_recv() else { break };
            self.messages.push(message);
        }
        while self.heard.len() < BATCH {
            let Ok(message) = heard.try_recv() else { break };
            self.heard.push(message);
        }
        true
    }
}

pub(crate) struct Owner {
    core: Core,
    shared: Arc<Shared>,
    pool: Arc<Pool>,
    peers: Option<Arc<PeerSocket>>,
    wanted: watch::Sender<Wanted>,
    probe_within: Duration,
    open: HashMap<RequestId, Open>,
    /// Requests that may have left the core in this round.
    touched: Vec<RequestId>,
    /// Where the stream that begins in this round may be sent from.
    grant: Option<(RequestId, oneshot::Sender<mpsc::Sender<Piece>>)>,
    releases: JoinSet<()>,
    calls: JoinSet<()>,
    lag: Duration,
    /// Reads that ended up to then and hold a state for too long were logged.
    held_logged_to: Nanos,
}

impl Owner {
    pub fn new(
        config: Config,
        shared: Arc<Shared>,
        pool: Arc<Pool>,
        peers: Option<Arc<PeerSocket>>,
        wanted: watch::Sender<Wanted>,
    ) -> Owner {
        let now = shared.clock.now();
        let ask = config.module.poll_endpoints;
        let probe_within = Duration::from_nanos(config.attempts.probe_timeout);
        let mut out = Vec::new();
        let mut core = Core::new(config, Book::default(), RouterRun(now), now, &mut out);
        // The list as it was last held comes first, so that nothing waits for a silent catalogue.
        if let Some(known) = &shared.config.known {
            let (scope, version, entries) = (known.scope, known.generation, known.entries.clone());
            let update = ListUpdate { scope, version, base_version: 0, entries };
            core.handle(now, Input::ListUpdated(update), &mut out);
        }
        if !ask {
            core.handle(now, Input::ListServiceUp, &mut out);
        }
        let mut owner = Owner {
            core,
            shared,
            pool,
            peers,
            wanted,
            probe_within,
            open: HashMap::new(),
            touched: Vec::new(),
            grant: None,
            releases: JoinSet::new(),
            calls: JoinSet::new(),
            lag: Duration::ZERO,
            held_logged_to: 0,
        };
        owner.carry_out(&mut out);
        owner
    }

    pub async fn run(
        mut self,
        mut messages: mpsc::UnboundedReceiver<Message>,
        mut heard: mpsc::Receiver<Heard>,
    ) {
        let mut round = Round::default();
        let mut out = Vec::new();
        let mut tidy = interval(TIDY_EVERY);
        let mut summary = interval(SUMMARY_EVERY);
        tidy.set_missed_tick_behavior(MissedTickBehavior::Delay);
        summary.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let due = self.core.next_timer_at().map(|at| Instant::from_std(self.shared.clock.instant(at)));
            tokio::select! {
                biased;
                there = round.wait(due, &mut messages, &mut heard) => if !there { return },
                _ = tidy.tick() => self.tidy(),
                _ = summary.tick() => self.summary(),
            }
            self.lag = self.lag.max(due.map_or(Duration::ZERO, |due| due.elapsed()));
            for message in round.messages.drain(..) {
                self.take(message, &mut out);
                self.carry_out(&mut out);
            }
            for Heard { from, data } in round.heard.drain(..) {
                self.core.handle(self.shared.clock.now(), Input::GossipReceived { from, data }, &mut out);
            }
            self.core.on_timers_due(self.shared.clock.now(), &mut out);
            self.carry_out(&mut out);
            self.forget();
            let now = self.shared.clock.now();
            if !messages.is_empty() || self.core.next_timer_at().is_some_and(|at| at <= now) {
                // Clients that close, lists and answers are noticed between two rounds, however many there are to do.
                tokio::task::yield_now().await;
            }
        }
    }

    /// How many states are held for requests, and for how long the oldest one is, in nanoseconds.
    fn held(&self) -> (usize, Nanos) {
        let now = self.shared.clock.now();
        let ages = self.core.held_kv_caches().map(|state| now.saturating_sub(state.since));
        ages.fold((0, 0), |(count, longest), age| (count + 1, longest.max(age)))
    }

    /// Names what is held for longer than the settings allow: nobody is known to have fetched it.
    fn log_held_too_long(&mut self) {
        let now = self.shared.clock.now();
        let most = self.shared.config.site.settings.kv_release_within;
        let (mut logged, mut oldest) = (Vec::new(), self.held_logged_to);
        for state in self.core.held_kv_caches() {
            let overdue = now.saturating_sub(state.since) > most && state.since > self.held_logged_to;
            if overdue && logged.len() < HELD_LINES {
                oldest = oldest.max(state.since);
                logged.push(state);
            }
        }
        for state in logged {
            let txn = self.open.get(&state.request).map(|open| open.forward.txn.as_str());
            tracing::info!(
                request = state.request.0,
                txn,
                reader = state.prefill_worker.0,
                unanswered_at = state.unanswered_at.map(|server| server.0),
                held_ms = now.saturating_sub(state.since) / 1_000_000,
                "no writer is known to have fetched a state"
            );
        }
        self.held_logged_to = oldest;
    }

    fn tidy(&mut self) {
        self.pool.tidy();
        self.log_held_too_long();
        while self.releases.try_join_next().is_some() {}
        while self.calls.try_join_next().is_some() {}
    }

    fn take(&mut self, message: Message, out: &mut Vec<Output>) {
        let now = self.shared.clock.now();
        match message {
            Message::Ask { id, ask, forward, began, answer, place } => {
                drop(place);
                self.touched.push(id);
                self.open.insert(id, Open { forward, answer: Some(answer), exchange: None, releasing: None });
                self.core.handle(now, Input::RequestArrived { id, request: accepted(&ask, began) }, out);
            }
            Message::Gone(id) => {
                self.touched.push(id);
                self.core.handle(now, Input::ClientDisconnected(id), out);
            }
            Message::Worker { server, id, no, at, seen } => {
                self.touched.push(id);
                self.on_worker(server, AttemptKey { request: id.0, attempt: no.0 }, at, seen, out);
            }
            Message::Probed { server, nonce, at, status } => {
                self.core.handle(at, Input::ProbeFinished { engine: server, nonce, status }, out);
            }
            Message::List(update) => {
                tracing::debug!(entries = update.entries.len(), "the list has changed");
                self.core.handle(now, Input::ListUpdated(update), out);
                self.shared.serving();
            }
            Message::ListDown => self.core.handle(now, Input::ListServiceDown, out),
            Message::Open(reply) => {
                while self.releases.try_join_next().is_some() {}
                let _ = reply.send(self.open.len() + self.releases.len());
            }
            Message::StopAt(at) => self.core.handle(now, Input::StopAt(at), out),
            Message::StopNow => self.core.handle(now, Input::StopNow, out),
        }
    }

    fn on_worker(&mut self, engine: ServerId, key: AttemptKey, at: Nanos, seen: Seen, out: &mut Vec<Output>) {
        let frame = match seen {
            Seen::Begun(grant) => {
                self.grant = Some((RequestId(key.request), grant));
                EngineFrame::Tokens { key, from: 0, count: 0, text: String::new() }
            }
            Seen::Read { kept } => EngineFrame::ReadDone { key, kept, prompt_len: 0, report: None },
            Seen::Ended { status, note } => {
                EngineFrame::Outcome { key, status, note, produced: 0, report: None }
            }
            Seen::Reserved { held } => EngineFrame::Reserved { key, held },
        };
        self.core.handle(at, Input::EngineFrame { engine, conn: ConnectionNumber::EXCHANGES, frame }, out);
    }

    fn carry_out(&mut self, out: &mut Vec<Output>) {
        for output in out.drain(..) {
            match output {
                Output::Client { id, event } => self.answer_client(id, event),
                Output::Engine { engine, frame } => self.ask_worker(engine, frame),
                Output::WatchEndpoints(on) => {
                    self.wanted.send_if_modified(|w| std::mem::replace(&mut w.watch, on) != on);
                }
                Output::FetchEndpoints => self.wanted.send_modify(|w| w.fetches += 1),
                Output::SendGossip { peer, data } => {
                    self.peers.iter().for_each(|peers| peers.tell(peer, &data));
                }
                Output::CloseIdleConnections(server) => self.pool.close_idle(server),
                Output::Log(text) => tracing::info!(%text, "module"),
                // A worker has no connection of its own here, and nobody keeps what became of requests.
                Output::Connect { .. } | Output::Disconnect { .. } | Output::RequestEnded(_) => {}
            }
        }
        // Nobody wants that stream any more: its exchange hears so by this.
        self.grant = None;
    }

    fn answer_client(&mut self, id: RequestId, event: ResponseEvent) {
        self.touched.push(id);
        let Some(open) = self.open.get_mut(&id) else { return };
        let txn = open.forward.txn.as_str();
        let answer = match event {
            ResponseEvent::Started { .. } => {
                let (pieces, stream) = mpsc::channel(PIECES);
                if let Some((_, grant)) = self.grant.take_if(|(of, _)| *of == id) {
                    let _ = grant.send(pieces);
                }
                Answer::Stream(stream)
            }
            ResponseEvent::Rejected { retry_after, waited_for, cause } => {
                tracing::debug!(target: "gaparch_platform_router::wire", request = id.0, txn, ?cause, ?waited_for, "refused");
                Answer::Refused { over_share: waited_for == Some(WaitedFor::OverShare), retry_after }
            }
            ResponseEvent::Failed { message: why, cause } => {
                tracing::debug!(target: "gaparch_platform_router::wire", request = id.0, txn, ?cause, why, "failed");
                Answer::Failed
            }
            // The events themselves never come by here.
            ResponseEvent::Text { .. } | ResponseEvent::Finished { .. } => return,
        };
        // Once a stream has begun, its end says what became of it.
        if let Some(client) = open.answer.take() {
            let _ = client.send(answer);
        }
    }

    fn ask_worker(&mut self, server: ServerId, frame: EngineFrame) {
        match frame {
            EngineFrame::Read(job) => self.send(server, &job, true, SendRisk::TimeOnly),
            EngineFrame::Write { job, state } => {
                let carries = if state.is_some() { SendRisk::HeldKvCache } else { SendRisk::TimeOnly };
                self.send(server, &job, false, carries);
            }
            EngineFrame::Cancel(key) => {
                // Nobody may be told anything more of it: its client has left, and its attempt's time is up.
                self.touched.push(RequestId(key.request));
                let exchange = self.open.get(&RequestId(key.request)).and_then(|o| o.exchange.as_ref());
                tracing::debug!(target: "gaparch_platform_router::wire", request = key.request, attempt = key.attempt, "called off");
                exchange.into_iter().filter(|e| e.no.0 == key.attempt).for_each(|e| e.task.abort());
            }
            EngineFrame::Reserve { job, .. } => {
                let id = RequestId(job.key.request);
                let Some(open) = self.open.get(&id) else { return };
                let written = open.exchange.as_ref().map(|e| e.written.clone());
                let (Some(target), Some(written)) = (self.target(server), written) else { return };
                let of = (id, AttemptNumber(job.key.attempt), open.forward.txn.clone());
                let (pool, shared) = (Arc::clone(&self.pool), Arc::clone(&self.shared));
                self.calls.spawn(worker::reserve(of, target, written, pool, shared));
            }
            EngineFrame::Release { request } => {
                self.touched.push(RequestId(request));
                tracing::debug!(target: "gaparch_platform_router::wire", request, reader = server.0, "let go");
                self.release(RequestId(request), server);
            }
            EngineFrame::Probe { nonce } => {
                let (pool, shared) = (Arc::clone(&self.pool), Arc::clone(&self.shared));
                match self.target(server) {
                    Some(target) => {
                        self.calls.spawn(worker::probe(target, nonce, self.probe_within, pool, shared));
                    }
                    None => {
                        let (at, status) = (shared.clock.now(), AttemptStatus::ConnectFailed);
                        shared.tell(Message::Probed { server, nonce, at, status });
                    }
                }
            }
            // A router sends no others.
            _ => {}
        }
    }

    fn send(&mut self, server: ServerId, ask: &EngineJob, reads: bool, carries: SendRisk) {
        let (id, no) = (RequestId(ask.key.request), AttemptNumber(ask.key.attempt));
        let target = self.target(server);
        let waited = self.shared.clock.now().saturating_sub(self.core.arrived_at(id));
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(target) = target else {
            let seen = Seen::Ended { status: AttemptStatus::ConnectFailed, note: 0 };
            let at = self.shared.clock.now();
            return self.shared.tell(Message::Worker { server, id, no, at, seen });
        };
        tracing::debug!(
            target: "gaparch_platform_router::wire",
            request = id.0,
            attempt = no.0,
            worker = server.0,
            reads,
            class = ask.class,
            prompt = ask.prompt_len,
            shared = ask.prefix_len,
            prefix = ask.prefix,
            session = ask.session,
            waited_us = waited / 1000,
            after = self.core.last_status(id).map(AttemptStatus::name),
            "sent"
        );
        let (written, seen) = watch::channel(false);
        let prior = open.exchange.take().map(|before| {
            before.task.abort();
            before.task
        });
        let forward = Arc::clone(&open.forward);
        let settings = &self.shared.config.site.settings;
        let job = Job {
            id,
            no,
            target,
            reads,
            carries,
            give_up_at: self.core.deadline_at(id),
            forward,
            prior,
            releasing: open.releasing.take(),
            write_within: connect_within(settings),
            write_by: self.core.send_by(id),
            release_within: release_try(settings),
            written,
        };
        let task = worker::exchange(job, Arc::clone(&self.pool), Arc::clone(&self.shared));
        open.exchange = Some(Exchange { no, task: tokio::spawn(task), written: seen });
    }

    fn release(&mut self, id: RequestId, at: ServerId) {
        let mut targets: Vec<Target> =
            self.core.listed_engines().filter_map(|server| self.target(server)).collect();
        // One that is drained or gone may hold it still.
        targets.extend(self.target(at).filter(|target| !targets.contains(target)));
        let Some(open) = self.open.get_mut(&id) else { return };
        let within = release_try(&self.shared.config.site.settings);
        let release = Release { txn: open.forward.txn.clone(), targets, within };
        let (over, released) = oneshot::channel();
        open.releasing = Some(released);
        let (pool, clock) = (Arc::clone(&self.pool), self.shared.clock);
        self.releases.spawn(async move {
            worker::release(release, pool, clock).await;
            drop(over);
        });
    }

    fn target(&self, server: ServerId) -> Option<Target> {
        let (address, started) = self.core.endpoint_process(server)?;
        Some(Target { server, address, started })
    }

    /// Drops what the core knows no more.
    fn forget(&mut self) {
        for id in self.touched.drain(..) {
            if self.core.phase(id).is_some() {
                continue;
            }
            // Its attempts have ended: only now may another request have its id.
            if let Some(open) = self.open.remove(&id) {
                self.shared.give_back(&open.forward.txn);
            }
        }
        if self.open.is_empty() {
            self.open.shrink_to(64);
        }
    }

    fn summary(&mut self) {
        let counts = self.core.counters();
        let (workers, idle) = self.pool.sizes();
        let reasons = self.core.reasons_by_kind();
        let (held, longest) = self.held();
        tracing::info!(
            open = self.core.open_requests(),
            known = self.open.len(),
            releases = self.releases.len(),
            asked = counts.requests,
            served = counts.served,
            refused = counts.rejected,
            failed = counts.failed,
            left = counts.client_disconnected,
            overdue = counts.overdue,
            late_frames = counts.late_frames,
            moot = counts.unsent_attempts,
            denied = %counts.denials,
            stopped = %self.shared.denials(),
            second_answers = counts.duplicate_answers,
            refusals = %reasons.rejected,
            failures = %reasons.failed,
            attempts = %reasons.attempts,
            retries = %reasons.retries,
            held,
            held_longest_ms = longest / 1_000_000,
            closed = %self.shared.closes,
            dropped = counts.ignored_entries,
            strange = self.peers.as_ref().map_or(0, |peers| peers.dropped()),
            workers,
            idle,
            memory_kb = resident_kb(),
            lag_us = self.lag.as_micros() as u64,
            "summary"
        );
        self.lag = Duration::ZERO;
    }
}

fn accepted(ask: &Ask, began: Nanos) -> AcceptedRequest {
    AcceptedRequest {
        class: ask.class,
        tenant: ask.tenant,
        session: ask.session,
        prefix: ask.prefix,
        prompt_tokens: ask.prompt_len,
        prefix_tokens: ask.prefix_len,
        max_output_tokens: ask.max_out,
        expected_output_tokens: None,
        client_retry: ask.repeat,
        client_reconnect: ask.again,
        deadline_at: Some(began.saturating_add(ask.wait)),
        // The body goes from client to worker beside the core.
        prompt: String::new(),
        fingerprint: 0,
    }
}

/// Resident memory as the kernel tells it; 0 where it does not.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

#[cfg(test)]
#[path = "owner_tests.rs"]
mod tests;
