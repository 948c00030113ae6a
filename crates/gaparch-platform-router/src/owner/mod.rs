//! The task that owns the router core, including the scheduler. It feeds messages, gossip and timers to the
//! core and executes the core's outputs.

mod attempts;
mod open_request;
mod responses;
mod round;
mod schedule;
mod slow_start_log;
mod summary;

use crate::discovery::Subscription;
use crate::gossip::{GossipMessage, GossipSocket};
use crate::messages::{ArrivedRequest, AttemptEvent, AttemptUpdate, OpenCounts, OwnerMessage};
use crate::shared_state::{SharedState, IDLE_TABLE_CAPACITY};
use crate::stream_queue::StreamSender;
use crate::worker::ConnectionPool;
use gaparch_config::Config;
use gaparch_ops::OrderRegistry;
use gaparch_platform_protocol::client_request::ClientRequest;
use gaparch_protocol::engine::{AttemptKey, EngineFrame, RouterRun};
use gaparch_router::core::{AcceptedRequest, ConnectionNumber, Core, Input, ListUpdate, Output, Phase};
use gaparch_scheduler::api::{Nanos, RequestId, ServerState};
use gaparch_scheduler::policy::repeated_ids::is_repeat_harmful;
use open_request::OpenRequest;
use round::Round;
use schedule::Schedule;
use slow_start_log::SlowStartLog;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);
/// Note that tells the core that a worker rejected an attempt because its KV cache is missing.
const NOTE_KV_CACHE_MISSING: u64 = 1;

/// A stream that an exchange has started, waiting for its channel to the client.
struct StreamStart {
    request: RequestId,
    /// Gives the exchange the channel to the client. If it is dropped, no client is waiting.
    reply: oneshot::Sender<StreamSender>,
}

/// The owner of the core, and the state that the shell keeps for it.
pub(crate) struct Owner {
    core: Core,
    shared: Arc<SharedState>,
    pool: Arc<ConnectionPool>,
    gossip: Option<Arc<GossipSocket>>,
    subscription: watch::Sender<Subscription>,
    probe_timeout: Duration,
    /// The requests that the core knows.
    open: HashMap<RequestId, OpenRequest>,
    /// Requests that the core may have finished in this round.
    touched: Vec<RequestId>,
    stream_start: Option<StreamStart>,
    releases: JoinSet<()>,
    /// Probes and reservations.
    calls: JoinSet<()>,
    /// Longest delay of a timer since the last summary.
    max_timer_lag: Duration,
    /// Unfetched KV caches held since this time or longer are not logged any more.
    unfetched_logged_to: Nanos,
    slow_start_log: SlowStartLog,
}

impl Owner {
    /// Creates the owner. If there is a last known endpoint list, the core starts with its workers. Where lists are
    /// pushed they count as draining: the discovery service may know better than that list which ones are ready.
    pub fn new(
        config: Config,
        shared: Arc<SharedState>,
        pool: Arc<ConnectionPool>,
        gossip: Option<Arc<GossipSocket>>,
        subscription: watch::Sender<Subscription>,
    ) -> Owner {
        let now = shared.clock.now();
        let polls_endpoints = config.scheduler.poll_endpoints;
        let probe_timeout = Duration::from_nanos(config.attempts.probe_timeout);
        let mut out = Vec::new();
        let mut core = Core::new(config, OrderRegistry::default(), RouterRun(now), now, &mut out);
        if let Some(mut update) = last_known_list(&shared) {
            if !polls_endpoints {
                update.entries.iter_mut().for_each(|entry| entry.state = ServerState::Draining);
            }
            core.handle(now, Input::ListUpdated(update), &mut out);
        }
        if !polls_endpoints {
            core.handle(now, Input::ListServiceUp, &mut out);
        }
        let mut owner = Owner {
            core,
            shared,
            pool,
            gossip,
            subscription,
            probe_timeout,
            open: HashMap::new(),
            touched: Vec::new(),
            stream_start: None,
            releases: JoinSet::new(),
            calls: JoinSet::new(),
            max_timer_lag: Duration::ZERO,
            unfetched_logged_to: 0,
            slow_start_log: SlowStartLog::default(),
        };
        owner.execute_outputs(&mut out);
        owner
    }

    /// Runs until all message senders are gone.
    pub async fn run(
        mut self,
        mut messages: mpsc::UnboundedReceiver<OwnerMessage>,
        mut gossip: mpsc::Receiver<GossipMessage>,
    ) {
        let mut round = Round::default();
        let mut out = Vec::new();
        let mut maintenance = Schedule::every(MAINTENANCE_INTERVAL);
        let mut summary = Schedule::every(SUMMARY_INTERVAL);
        loop {
            let next_timer =
                self.core.next_timer_at().map(|at| Instant::from_std(self.shared.clock.instant(at)));
            let next_work = maintenance.next_at().min(summary.next_at());
            let wake_at = next_timer.map_or(next_work, |at| at.min(next_work));
            if !round.wait(wake_at, &mut messages, &mut gossip).await {
                return;
            }
            // Not only when there is no message: with many clients there may always be one.
            if maintenance.take_due(Instant::now()) {
                self.maintain();
            }
            if summary.take_due(Instant::now()) {
                self.log_summary();
            }
            let timer_lag = next_timer.map_or(Duration::ZERO, |at| at.elapsed());
            self.max_timer_lag = self.max_timer_lag.max(timer_lag);
            self.handle_round(&mut round, &mut out);
            let now = self.shared.clock.now();
            if !messages.is_empty() || self.core.next_timer_at().is_some_and(|at| at <= now) {
                // Yield to other tasks between two rounds, even if there is always more to do.
                tokio::task::yield_now().await;
            }
        }
    }

    fn handle_round(&mut self, round: &mut Round, out: &mut Vec<Output>) {
        for message in round.messages.drain(..) {
            self.handle_message(message, out);
            self.execute_outputs(out);
        }
        for GossipMessage { from, data } in round.gossip.drain(..) {
            self.core.handle(self.shared.clock.now(), Input::GossipReceived { from, data }, out);
        }
        self.core.on_timers_due(self.shared.clock.now(), out);
        self.execute_outputs(out);
        self.remove_finished();
    }

    /// Removes expired pool entries and finished tasks, and logs unfetched KV caches and slow starts.
    fn maintain(&mut self) {
        self.pool.remove_expired(|server| self.core.is_listed(server));
        self.log_unfetched_kv_caches();
        self.log_slow_starts();
        while self.releases.try_join_next().is_some() {}
        while self.calls.try_join_next().is_some() {}
    }

    fn handle_message(&mut self, message: OwnerMessage, out: &mut Vec<Output>) {
        let now = self.shared.clock.now();
        match message {
            OwnerMessage::RequestArrived(arrived) => self.handle_arrived(now, *arrived, out),
            OwnerMessage::ClientDisconnected(id) => {
                self.touched.push(id);
                self.core.handle(now, Input::ClientDisconnected(id), out);
            }
            OwnerMessage::Attempt(update) => self.handle_attempt(update, out),
            OwnerMessage::ProbeFinished { server, nonce, at, status } => {
                self.core.handle(at, Input::ProbeFinished { engine: server, nonce, status }, out);
            }
            OwnerMessage::EndpointsChanged(update) => {
                tracing::debug!(entries = update.entries.len(), "endpoint list changed");
                self.core.handle(now, Input::ListUpdated(update), out);
                self.shared.start_serving();
            }
            OwnerMessage::DiscoveryDown => self.core.handle(now, Input::ListServiceDown, out),
            OwnerMessage::UseLastKnownList => {
                if let Some(update) = last_known_list(&self.shared) {
                    self.core.handle(now, Input::ListUpdated(update), out);
                    self.shared.start_serving();
                }
            }
            OwnerMessage::CountOpen(reply) => {
                while self.releases.try_join_next().is_some() {}
                let _ = reply.send(self.count_open());
            }
            OwnerMessage::StopAt(at) => self.core.handle(now, Input::StopAt(at), out),
            OwnerMessage::StopUnanswered => self.core.handle(now, Input::StopUnanswered, out),
        }
    }

    fn handle_arrived(&mut self, now: Nanos, arrived: ArrivedRequest, out: &mut Vec<Output>) {
        let ArrivedRequest { id, request, forwarded, arrived_at, response, queue_permit } = arrived;
        drop(queue_permit);
        self.touched.push(id);
        let class = self.shared.config.settings.scheduler.classes.get(request.class.0);
        let is_repeat_harmful = class.is_none_or(is_repeat_harmful);
        self.open.insert(id, OpenRequest::new(forwarded, response, is_repeat_harmful));
        self.core.handle(
            now,
            Input::RequestArrived { id, request: accepted_request(&request, arrived_at) },
            out,
        );
    }

    fn handle_attempt(&mut self, update: AttemptUpdate, out: &mut Vec<Output>) {
        let AttemptUpdate { server, request, attempt, at, event } = update;
        self.touched.push(request);
        let key = AttemptKey { request: request.0, attempt: attempt.0 };
        if let Some(open) = self.open.get_mut(&request).filter(|_| event.may_have_run()) {
            open.record_possible_run(attempt);
        }
        let frame = match event {
            AttemptEvent::FirstToken(reply) => {
                self.stream_start = Some(StreamStart { request, reply });
                EngineFrame::Tokens { key, sent_before: 0, count: 0, text: String::new() }
            }
            AttemptEvent::Prefilled { cached_prompt_tokens } => {
                EngineFrame::PrefillDone { key, cached_prompt_tokens, prompt_tokens: 0, report: None }
            }
            AttemptEvent::Ended(end) => {
                let note = if end.kv_cache_missing { NOTE_KV_CACHE_MISSING } else { 0 };
                EngineFrame::Outcome { key, status: end.status, note, produced_tokens: 0, report: None }
            }
            AttemptEvent::ReservationAnswered { reserved } => EngineFrame::Reserved { key, reserved },
        };
        let conn = ConnectionNumber::EXCHANGES;
        self.core.handle(at, Input::EngineFrame { engine: server, conn, frame }, out);
    }

    /// Executes the outputs of the core.
    fn execute_outputs(&mut self, out: &mut Vec<Output>) {
        for output in out.drain(..) {
            match output {
                Output::Client { id, event } => self.respond(id, event),
                Output::Engine { engine, frame } => self.dispatch(engine, frame),
                Output::WatchEndpoints(watch) => self.set_watch(watch),
                Output::FetchEndpoints => self.subscription.send_modify(|wanted| wanted.full_lists += 1),
                Output::SendGossip { peer, data } => {
                    if let Some(gossip) = &self.gossip {
                        gossip.send(peer, &data);
                    }
                }
                Output::CloseIdleConnections(server) => self.pool.close_idle(server),
                Output::Log(text) => tracing::info!(%text, "scheduler"),
                // On the platform, workers have no permanent connections, and request outcomes are not
                // stored.
                Output::Connect { .. } | Output::Disconnect { .. } | Output::RequestEnded(_) => {}
            }
        }
        // Dropping the reply tells the exchange that no client is waiting for the stream.
        self.stream_start = None;
    }

    fn set_watch(&self, watch: bool) {
        self.subscription.send_if_modified(|wanted| {
            let changed = wanted.watch != watch;
            wanted.watch = watch;
            changed
        });
    }

    fn count_open(&self) -> OpenCounts {
        let is_stream = |id: &&RequestId| self.core.phase(**id) == Some(Phase::Streaming);
        let streams = self.open.keys().filter(is_stream).count();
        OpenCounts { streams, others: self.open.len() - streams + self.releases.len() }
    }

    /// Removes requests that the core has finished.
    fn remove_finished(&mut self) {
        for id in self.touched.drain(..) {
            if self.core.phase(id).is_some() {
                continue;
            }
            // Its attempts have ended; only now may its transaction id be used again.
            if let Some(open) = self.open.remove(&id) {
                if open.may_have_run {
                    self.shared.remember_transaction(&open.forwarded.transaction);
                }
                self.shared.unregister_transaction(&open.forwarded.transaction);
            }
        }
        if self.open.is_empty() {
            self.open.shrink_to(IDLE_TABLE_CAPACITY);
        }
    }
}

/// Returns the list that the router held before its start.
fn last_known_list(shared: &SharedState) -> Option<ListUpdate> {
    let list = shared.config.last_known_list.as_ref()?;
    Some(ListUpdate {
        scope: list.scope,
        version: list.generation,
        base_version: 0,
        entries: list.entries.clone(),
    })
}

/// Converts a client's request into the core's form.
fn accepted_request(request: &ClientRequest, arrived_at: Nanos) -> AcceptedRequest {
    AcceptedRequest {
        class: request.class,
        tenant: request.tenant,
        session: request.session,
        prefix: request.prefix,
        prompt_tokens: request.prompt_tokens,
        prefix_tokens: request.prefix_tokens,
        max_output_tokens: request.max_output_tokens,
        expected_output_tokens: None,
        client_retry: request.client_retry,
        client_reconnect: request.client_reconnect,
        deadline_at: Some(arrived_at.saturating_add(request.remaining)),
        // The body is forwarded from the client to the worker without passing through the core.
        prompt: String::new(),
        fingerprint: 0,
    }
}
