//! The owner: the one task that has the core, and the scheduler in it. Everything that concerns requests
//! passes through it, in order.

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

/// Batches of frames that wait; past it engines' connections are not read from.
const ENGINE_INBOX: usize = 1024;
/// Commands to the list service's task, and messages of it, that wait.
const LIST_INBOX: usize = 64;
/// Interval at which operators are shown the router's state.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);
/// Batches of engine frames taken in one round, so that no kind of input starves another or the timers. A
/// batch may hold some hundred frames: ten thousand streams that step at once kept the owner busy for 83 ms
/// with 64 of them.
const ENGINE_BATCH: usize = 4;
/// Requests taken in one round.
const REQUEST_BATCH: usize = 32;
/// Disconnected clients taken in one round.
const DISCONNECT_BATCH: usize = 64;

/// The connection to an engine. Dropped, its task writes what is left, closes and ends by itself.
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
    /// The list's versions, where other routers may hand them on.
    versions: Option<ListVersions>,
    /// The owner's lag since the router's state was last shown.
    status_lag: Duration,
}

impl Drop for Owner {
    fn drop(&mut self) {
        self.list_task.iter().for_each(JoinHandle::abort);
    }
}

/// The connection to the list service.
struct ListService {
    commands: Option<mpsc::Sender<ListCommand>>,
    task: Option<JoinHandle<()>>,
    messages: mpsc::Receiver<ListMessage>,
}

impl ListService {
    /// Connects, if the settings have a list service.
    fn start(config: &Config, is_replicated: bool) -> ListService {
        let (inbox, messages) = mpsc::channel(LIST_INBOX);
        let Some(settings) = &config.list else {
            return ListService { commands: None, task: None, messages };
        };
        let (commands, commands_in) = mpsc::channel(LIST_INBOX);
        let fleet = config.fleet.as_ref().filter(|_| is_replicated);
        let confirm = fleet.and_then(|fleet| fleet.confirm).map(Duration::from_nanos);
        let task = tokio::spawn(list::run(*settings, config.router.clone(), confirm, commands_in, inbox));
        ListService { commands: Some(commands), task: Some(task), messages }
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
        self.carry_out(&mut out);
        let mut status = tokio::time::interval(STATUS_INTERVAL);
        status.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let due = self.core.next_timer_at().map(|at| Instant::from_std(self.clock.instant(at)));
            let late = tokio::select! {
                biased;
                control = ports.control.recv() => match control {
                    Some(control) => { self.on_control(control, &mut out); Duration::ZERO }
                    // Nobody is left who could stop it: the handle is gone.
                    None => return,
                },
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    due.map_or(Duration::ZERO, |due| due.elapsed())
                }
                _ = status.tick(), if self.operations.is_some() => {
                    self.report_status();
                    self.hand_over_sends();
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
            let began = Instant::now();
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
            self.carry_out(&mut out);
            let lag = late + began.elapsed();
            self.status_lag = self.status_lag.max(lag);
            self.lag.record(lag);
        }
    }
}
