//! The owner: the task that owns the core, with the scheduler in it. It handles everything that concerns
//! requests, in order.

mod control;
mod inputs;
mod messages;
mod outputs;

pub(super) use messages::{Control, NewRequest, OpenRequests, Ports};

use super::engine::EngineMessage;
use super::fleet::ListVersions;
use super::lag::Lag;
use super::list::{self, ListCommand, ListMessage};
use super::ops::OperationsHandle;
use crate::core::{ConnectionNumber, Core, Input, Output, ResponseEvent};
use gaparch_config::Config;
use gaparch_net::Clock;
use gaparch_protocol::engine::EngineFrame;
use gaparch_scheduler::api::{RequestId, ServerId};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, Instant};

/// Capacity of the queue of frame batches; while it is full engine connections are not read.
const ENGINE_INBOX: usize = 1024;
/// Capacity of the queues to and from the list service's task.
const LIST_INBOX: usize = 64;
/// Interval at which the router's state is reported to operators.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);
/// Batches of engine frames handled in one round, so that no kind of input starves another or the timers. A
/// batch may hold some hundred frames: with 64 batches, ten thousand streams that advance at once kept the
/// owner busy for 83 ms.
const ENGINE_BATCH: usize = 4;
/// Requests handled in one round.
const REQUEST_BATCH: usize = 32;
/// Disconnected clients handled in one round.
const DISCONNECT_BATCH: usize = 64;

/// The connection to an engine. When this is dropped, the connection's task writes the remaining frames and
/// closes.
struct EngineTask {
    conn: ConnectionNumber,
    frames: mpsc::Sender<EngineFrame>,
}

/// The state of the owner task.
pub(super) struct Owner {
    core: Core,
    clock: Clock,
    config: Config,
    lag: Arc<Lag>,
    clients: HashMap<RequestId, mpsc::Sender<ResponseEvent>>,
    engines: BTreeMap<ServerId, EngineTask>,
    engine_inbox: mpsc::Sender<EngineMessage>,
    engine_messages: mpsc::Receiver<EngineMessage>,
    list: Option<mpsc::Sender<ListCommand>>,
    list_task: Option<JoinHandle<()>>,
    list_messages: mpsc::Receiver<ListMessage>,
    operations: Option<OperationsHandle>,
    /// The owner's side of list replication, if it is enabled.
    versions: Option<ListVersions>,
    /// The longest lag since the router's state was last reported.
    status_lag: Duration,
}

impl Drop for Owner {
    fn drop(&mut self) {
        self.list_task.iter().for_each(JoinHandle::abort);
    }
}

/// The task that is connected to the list service, and its channels.
struct ListService {
    commands: Option<mpsc::Sender<ListCommand>>,
    task: Option<JoinHandle<()>>,
    messages: mpsc::Receiver<ListMessage>,
}

impl ListService {
    /// Starts the task, if the settings have a list service.
    fn start(config: &Config, is_replicated: bool) -> ListService {
        let (inbox, messages) = mpsc::channel(LIST_INBOX);
        let Some(settings) = &config.list else {
            return ListService { commands: None, task: None, messages };
        };
        let (commands, commands_rx) = mpsc::channel(LIST_INBOX);
        let fleet = config.fleet.as_ref().filter(|_| is_replicated);
        let confirm = fleet.and_then(|fleet| fleet.confirm).map(Duration::from_nanos);
        let task = tokio::spawn(list::run(*settings, config.router.clone(), confirm, commands_rx, inbox));
        ListService { commands: Some(commands), task: Some(task), messages }
    }
}

/// Adds messages that are ready to a batch of at most `max`.
fn fill<T>(batch: &mut Vec<T>, max: usize, mut next: impl FnMut() -> Option<T>) {
    while batch.len() < max {
        let Some(message) = next() else { return };
        batch.push(message);
    }
}

impl Owner {
    pub fn new(
        core: Core,
        clock: Clock,
        config: Config,
        lag: Arc<Lag>,
        operations: Option<OperationsHandle>,
        versions: Option<ListVersions>,
    ) -> Owner {
        let (engine_inbox, engine_messages) = mpsc::channel(ENGINE_INBOX);
        let list_service = ListService::start(&config, versions.is_some());
        Owner {
            core,
            clock,
            config,
            lag,
            clients: HashMap::new(),
            engines: BTreeMap::new(),
            engine_inbox,
            engine_messages,
            list: list_service.commands,
            list_task: list_service.task,
            list_messages: list_service.messages,
            operations,
            versions,
            status_lag: Duration::ZERO,
        }
    }

    /// Runs until the router's handle is dropped.
    pub async fn run(mut self, mut ports: Ports, mut out: Vec<Output>) {
        let mut engine_batch = Vec::with_capacity(ENGINE_BATCH);
        let mut request_batch = Vec::with_capacity(REQUEST_BATCH);
        let mut disconnect_batch = Vec::with_capacity(DISCONNECT_BATCH);
        self.perform_outputs(&mut out);
        let mut status_timer = tokio::time::interval(STATUS_INTERVAL);
        status_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let due = self.core.next_timer_at().map(|at| Instant::from_std(self.clock.instant(at)));
            let delay = tokio::select! {
                biased;
                control = ports.control.recv() => match control {
                    Some(control) => { self.on_control(control, &mut out); Duration::ZERO }
                    // All senders are gone, so the router's handle was dropped.
                    None => return,
                },
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    due.map_or(Duration::ZERO, |due| due.elapsed())
                }
                _ = status_timer.tick(), if self.operations.is_some() => {
                    self.report_status();
                    self.submit_sends();
                    Duration::ZERO
                }
                _ = ports.disconnected.recv_many(&mut disconnect_batch, DISCONNECT_BATCH) => Duration::ZERO,
                _ = self.engine_messages.recv_many(&mut engine_batch, ENGINE_BATCH) => Duration::ZERO,
                Some(message) = self.list_messages.recv() => {
                    self.on_list_message(message, &mut out);
                    Duration::ZERO
                }
                _ = ports.requests.recv_many(&mut request_batch, REQUEST_BATCH) => Duration::ZERO,
            };
            let round_start = Instant::now();
            // The first kind of message that is ready ends the wait. The others get their turn in each round, too.
            fill(&mut disconnect_batch, DISCONNECT_BATCH, || ports.disconnected.try_recv().ok());
            fill(&mut engine_batch, ENGINE_BATCH, || self.engine_messages.try_recv().ok());
            fill(&mut request_batch, REQUEST_BATCH, || ports.requests.try_recv().ok());
            if let Ok(message) = self.list_messages.try_recv() {
                self.on_list_message(message, &mut out);
            }
            let now = self.clock.now();
            for id in disconnect_batch.drain(..) {
                self.clients.remove(&id);
                self.core.handle(now, Input::ClientDisconnected(id), &mut out);
            }
            for message in engine_batch.drain(..) {
                self.on_engine_message(now, message, &mut out);
            }
            for NewRequest { id, request, response } in request_batch.drain(..) {
                self.clients.insert(id, response);
                self.core.handle(now, Input::RequestArrived { id, request }, &mut out);
            }
            self.core.on_timers_due(self.clock.now(), &mut out);
            self.perform_outputs(&mut out);
            let lag = delay + round_start.elapsed();
            self.status_lag = self.status_lag.max(lag);
            self.lag.record(lag);
        }
    }
}
