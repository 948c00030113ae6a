//! The one task that has the core, and the module in it.

use super::engine::{self, EngineMessage};
use super::lag::Lag;
use super::list::{self, ListCommand, ListMessage};
use super::ops::{Desk, Done, News, OrderReply};
use super::versions::{Adopt, Verdict, Versions};
use crate::core::{
    AcceptedRequest, ConnectionNumber, Core, Counters, Input, ListUpdate, Output, Proposal, ResponseEvent,
};
use gaparch_audit::SendKind;
use gaparch_config::Config;
use gaparch_net::Clock;
use gaparch_ops::OrderDenied;
use gaparch_protocol::engine::{AttemptKey, EngineFrame};
use gaparch_protocol::ops::intent::{Change, ChangeNote};
use gaparch_protocol::ops::view::{Event, RequestView, RouterMetrics, Severity};
use gaparch_protocol::ops::{DenyCode, Order};
use gaparch_protocol::versions::FleetOrder;
use gaparch_scheduler::api::{RequestId, ServerId};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, Instant};

/// Batches of frames that wait; past it engines' connections are not read from.
const ENGINE_INBOX: usize = 1024;
/// Frames that wait for one engine; past it its connection is closed.
const ENGINE_OUTBOX: usize = 16_384;
const LIST_INBOX: usize = 64;
/// Between two looks that operators get.
const SHOW_EVERY: Duration = Duration::from_millis(250);
/// Taken in one round, so that no kind of input starves another or the timers. A batch of an engine may hold some
/// hundred frames: ten thousand streams that step at once kept the owner busy for 83 ms with 64 of them.
const ENGINE_BATCH: usize = 4;
const REQUEST_BATCH: usize = 32;
const GONE_BATCH: usize = 64;

/// Of what is no attempt.
const NO_ATTEMPT: AttemptKey = AttemptKey { request: 0, attempt: 0 };

/// A request on its way to the owner, with where its answers go.
#[derive(Debug)]
pub(super) struct NewRequest {
    pub id: RequestId,
    pub ask: AcceptedRequest,
    pub answers: mpsc::Sender<ResponseEvent>,
}

pub(super) enum Control {
    Counts(oneshot::Sender<Counters>),
    Open(oneshot::Sender<usize>),
    /// `here`: for this router alone.
    Order {
        order: Order,
        who: String,
        here: bool,
        reply: OrderReply,
    },
    /// An order that another router has handed on; whether it is in force now.
    FleetOrder {
        order: FleetOrder,
        reply: oneshot::Sender<bool>,
    },
    /// The oldest open requests, at most so many, and how many there are.
    Live(usize, oneshot::Sender<(Vec<RequestView>, u64)>),
    One(RequestId, oneshot::Sender<Option<RequestView>>),
    /// So many routers may be at work.
    Routers(u32),
    /// A list that another router has handed on.
    Adopt(Adopt),
    Stop,
    StopNow,
}

/// What comes in.
pub(super) struct Ports {
    pub requests: mpsc::Receiver<NewRequest>,
    /// At most one a request, and those are bounded.
    pub gone: mpsc::UnboundedReceiver<RequestId>,
    pub control: mpsc::Receiver<Control>,
}

/// Dropped, its task writes what is left, closes and ends by itself.
struct EngineTask {
    conn: ConnectionNumber,
    frames: mpsc::Sender<EngineFrame>,
}

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
    desk: Option<Desk>,
    /// The list's versions, where other routers may hand them on.
    versions: Option<Versions>,
    /// The owner's lag since the board was last shown.
    board_lag: Duration,
}

impl Drop for Owner {
    fn drop(&mut self) {
        self.list_task.iter().for_each(JoinHandle::abort);
    }
}

impl Owner {
    pub fn new(
        core: Core,
        clock: Clock,
        config: Config,
        lag: Arc<Lag>,
        desk: Option<Desk>,
        versions: Option<Versions>,
    ) -> Owner {
        let (engine_inbox, engine_messages) = mpsc::channel(ENGINE_INBOX);
        let (list_inbox, list_messages) = mpsc::channel(LIST_INBOX);
        let (list, list_task) = match &config.list {
            Some(settings) => {
                let (commands, commands_in) = mpsc::channel(LIST_INBOX);
                let name = config.router.clone();
                let fleet = config.fleet.as_ref().filter(|_| versions.is_some());
                let confirm = fleet.and_then(|f| f.confirm).map(Duration::from_nanos);
                let task = tokio::spawn(list::run(*settings, name, confirm, commands_in, list_inbox));
                (Some(commands), Some(task))
            }
            None => (None, None),
        };
        Owner {
            core,
            clock,
            config,
            lag,
            clients: HashMap::new(),
            engines: BTreeMap::new(),
            engine_inbox,
            engine_messages,
            list,
            list_task,
            list_messages,
            desk,
            versions,
            board_lag: Duration::ZERO,
        }
    }

    pub async fn run(mut self, mut ports: Ports, mut out: Vec<Output>) {
        let mut engine_batch = Vec::with_capacity(ENGINE_BATCH);
        let mut request_batch = Vec::with_capacity(REQUEST_BATCH);
        let mut gone_batch = Vec::with_capacity(GONE_BATCH);
        self.carry_out(&mut out);
        let mut show = tokio::time::interval(SHOW_EVERY);
        show.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let due = self.core.next_timer_at().map(|at| Instant::from_std(self.clock.instant(at)));
            let round = tokio::select! {
                biased;
                control = ports.control.recv() => match control {
                    Some(control) => { self.on_control(control, &mut out); Duration::ZERO }
                    // Nobody is left who could stop it: the handle is gone.
                    None => return,
                },
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    due.map_or(Duration::ZERO, |due| due.elapsed())
                }
                _ = show.tick(), if self.desk.is_some() => {
                    self.show();
                    self.hand_over();
                    Duration::ZERO
                }
                _ = ports.gone.recv_many(&mut gone_batch, GONE_BATCH) => Duration::ZERO,
                _ = self.engine_messages.recv_many(&mut engine_batch, ENGINE_BATCH) => Duration::ZERO,
                Some(message) = self.list_messages.recv() => {
                    self.on_list(message, &mut out);
                    Duration::ZERO
                }
                _ = ports.requests.recv_many(&mut request_batch, REQUEST_BATCH) => Duration::ZERO,
            };
            let began = Instant::now();
            let now = self.clock.now();
            for id in gone_batch.drain(..) {
                self.clients.remove(&id);
                self.core.handle(now, Input::ClientDisconnected(id), &mut out);
            }
            for message in engine_batch.drain(..) {
                self.on_engine(now, message, &mut out);
            }
            for request in request_batch.drain(..) {
                self.clients.insert(request.id, request.answers);
                let input = Input::RequestArrived { id: request.id, request: request.ask };
                self.core.handle(now, input, &mut out);
            }
            self.core.on_timers_due(self.clock.now(), &mut out);
            self.carry_out(&mut out);
            let lag = round + began.elapsed();
            self.board_lag = self.board_lag.max(lag);
            self.lag.add(lag);
        }
    }

    fn on_control(&mut self, control: Control, out: &mut Vec<Output>) {
        let now = self.clock.now();
        match control {
            Control::Counts(answer) => drop(answer.send(self.core.counters())),
            Control::Open(answer) => drop(answer.send(self.core.open_requests())),
            Control::Order { order, who, here, reply } => self.on_order(&order, &who, here, reply, out),
            Control::FleetOrder { order, reply } => {
                let done = self.on_fleet_order(&order, out);
                // Who asked may have ended.
                let _ = reply.send(done);
            }
            Control::Live(most, answer) => {
                let live = (self.core.open_request_views(most), self.core.open_requests() as u64);
                drop(answer.send(live));
            }
            Control::One(id, answer) => drop(answer.send(self.core.open_request_view(id))),
            Control::Routers(routers) => self.core.handle(now, Input::RouterCountChanged(routers), out),
            Control::Adopt(adopt) => {
                self.hand_over();
                let update = self.versions.as_mut().and_then(|versions| versions.on_adopt(adopt));
                update.into_iter().for_each(|update| self.core.handle(now, Input::ListUpdated(update), out));
            }
            Control::Stop => self.core.handle(now, Input::StopAt(now), out),
            Control::StopNow => {
                self.core.handle(now, Input::StopNow, out);
                self.hand_over();
            }
        }
    }

    /// Carries out an order at once; it is acknowledged when it is kept.
    fn on_order(&mut self, order: &Order, who: &str, here: bool, reply: OrderReply, out: &mut Vec<Output>) {
        let now = self.clock.now();
        let Some(desk) = &mut self.desk else { return };
        let proposal = match self.core.propose(now, order, who) {
            Ok(proposal) => proposal,
            // Who asked may have left; so in all that follows.
            Err(denied) => return drop(reply.send(Err(denied))),
        };
        if proposal.taken.change == (Change::Stop {}) {
            desk.stop(now, who, &order.reason);
            let done = Done { revision: proposal.taken.revision - 1, effect: proposal.effect };
            return drop(reply.send(Ok(done)));
        }
        let Some(permit) = desk.reserve() else {
            let message = "too many orders wait to be kept; nothing was changed";
            return drop(reply.send(Err(OrderDenied::new(DenyCode::Busy, message))));
        };
        let fleet = self.versions.as_ref().filter(|_| !here);
        if let Some(versions) = fleet {
            let Some(permit) = versions.reserve() else {
                let message = "too many orders are on their way to the other routers; nothing was changed";
                return drop(reply.send(Err(OrderDenied::new(DenyCode::Busy, message))));
            };
            permit.send((proposal.taken.change.clone(), proposal.taken.note.clone()));
        }
        self.hand_over();
        self.core.handle(now, Input::OperatorChange(proposal.taken.clone()), out);
        // Whoever asks after the acknowledgement sees what it did.
        self.show();
        if let Some(desk) = &mut self.desk {
            desk.keep(permit, proposal, reply);
        }
    }

    /// Puts an order of another router in force, and keeps it as one given here; whether it is in force now.
    fn on_fleet_order(&mut self, order: &FleetOrder, out: &mut Vec<Output>) -> bool {
        let now = self.clock.now();
        let who = format!("{} at {}", order.note.operator, order.id.router);
        let note = ChangeNote { operator: who, ..order.note.clone() };
        let Some(desk) = &mut self.desk else { return false };
        let taken = match self.core.adopt_fleet_order(&order.change, &note) {
            Ok(None) => return true,
            Ok(Some(taken)) => taken,
            Err(denied) => {
                let text = format!("an order of the fleet can't be in force here: {denied}");
                let event = Event { at: now, severity: Severity::Fault, engine: None, text };
                desk.tell(News::Happened(event));
                return false;
            }
        };
        let Some(permit) = desk.reserve() else { return false };
        self.hand_over();
        self.core.handle(now, Input::OperatorChange(taken.clone()), out);
        self.show();
        if let Some(desk) = &mut self.desk {
            // The fleet's own record of it is what is answered for; that this one is kept, too, nobody waits for.
            let (reply, _) = oneshot::channel();
            desk.keep(permit, Proposal { taken, effect: String::new() }, reply);
        }
        true
    }

    /// Shows how all stands.
    fn show(&mut self) {
        let Some(desk) = &mut self.desk else { return };
        let lag_us = u64::try_from(std::mem::take(&mut self.board_lag).as_micros()).unwrap_or(u64::MAX);
        let figures = RouterMetrics { at: self.clock.now(), lag_us, ..self.core.figures() };
        desk.show(figures, self.core.engine_views(), self.core.limits());
    }

    fn on_engine(&mut self, now: u64, message: EngineMessage, out: &mut Vec<Output>) {
        match message {
            EngineMessage::Up { engine, conn, facts } => {
                self.core.handle(now, Input::EngineConnected { engine, conn, facts }, out);
            }
            EngineMessage::Down { engine, conn, reason } => {
                tracing::info!(engine = engine.0, conn = conn.0, %reason, "engine connection down");
                self.engines.remove(&engine).filter(|e| e.conn != conn).into_iter().for_each(|other| {
                    // Another connection is there already.
                    self.engines.insert(engine, other);
                });
                self.core.handle(now, Input::EngineDisconnected { engine, conn }, out);
            }
            EngineMessage::Frames { engine, conn, frames } => {
                for frame in frames {
                    self.core.handle(now, Input::EngineFrame { engine, conn, frame }, out);
                }
            }
        }
    }

    fn on_list(&mut self, message: ListMessage, out: &mut Vec<Output>) {
        let now = self.clock.now();
        let input = match message {
            ListMessage::Up(epoch) => {
                self.versions.iter_mut().for_each(|versions| versions.on_up(epoch));
                Input::ListServiceUp
            }
            ListMessage::Down(reason) => {
                tracing::warn!(%reason, "the list service can't be had");
                Input::ListServiceDown
            }
            ListMessage::Update(update) => match self.judge(&update, now) {
                Verdict::Act => Input::ListUpdated(update),
                Verdict::Nothing => return,
                Verdict::Fetch => return out.push(Output::FetchEndpoints),
            },
        };
        self.core.handle(now, input, out);
    }

    /// Hands over what was sent, to be recorded.
    fn hand_over(&mut self) {
        let Some(versions) = &mut self.versions else { return };
        let core = &self.core;
        let name = |engine| core.engine_name(ServerId(engine)).to_owned();
        versions.hand_over(core.orders_revision(), self.clock.now(), name);
    }

    /// Whether an update is to be acted on: where other routers may hand the list on, an older one is not.
    fn judge(&mut self, update: &ListUpdate, now: u64) -> Verdict {
        self.hand_over();
        let Some(versions) = &mut self.versions else { return Verdict::Act };
        let (verdict, text) = versions.on_update(update, now);
        if let (Some(desk), Some(text)) = (&mut self.desk, text) {
            let event = Event { at: now, severity: Severity::Warning, engine: None, text };
            desk.tell(News::Happened(event));
        }
        verdict
    }

    /// Carries out what the core wants, and what comes of that, until nothing is left.
    fn carry_out(&mut self, out: &mut Vec<Output>) {
        let mut lost = Vec::new();
        while !out.is_empty() {
            for output in std::mem::take(out) {
                self.perform(output, &mut lost);
            }
            let now = self.clock.now();
            for input in lost.drain(..) {
                self.core.handle(now, input, out);
            }
        }
    }

    fn perform(&mut self, output: Output, lost: &mut Vec<Input>) {
        match output {
            Output::Client { id, event } => self.pass_to_client(id, event, lost),
            Output::Engine { engine, frame } => self.pass_to_engine(engine, frame, lost),
            Output::Connect { engine, conn, name, address } => {
                let (frames, frames_in) = mpsc::channel(ENGINE_OUTBOX);
                let plan = engine::Plan {
                    engine,
                    conn,
                    name,
                    address,
                    run: self.core.run(),
                    router: self.config.router.clone(),
                    connect_within: Duration::from_nanos(self.config.module.connect_timeout),
                    write_within: engine::write_within(self.config.module.drain_grace),
                    max_frame: self.config.limits.frame,
                };
                tokio::spawn(engine::run(plan, frames_in, self.engine_inbox.clone()));
                self.engines.insert(engine, EngineTask { conn, frames });
            }
            Output::Disconnect { engine, reason } => {
                tracing::warn!(engine = engine.0, reason, "closing an engine's connection");
                if let Some(task) = self.engines.remove(&engine) {
                    let _ = task.frames.try_send(EngineFrame::Bye { reason: reason.to_owned() });
                }
            }
            Output::WatchEndpoints(on) => self.pass_to_list(ListCommand::Watch(on), lost),
            Output::FetchEndpoints => self.pass_to_list(ListCommand::Fetch, lost),
            Output::RequestEnded(ending) => {
                if let Some(desk) = &mut self.desk {
                    desk.tell(News::Ended(ending));
                }
            }
            // Its settings permit no messages between routers, and the one connection to an engine stays.
            Output::SendGossip { .. } | Output::CloseIdleConnections(_) => {}
            Output::Log(text) => tracing::info!(%text, "module"),
        }
    }

    fn pass_to_client(&mut self, id: RequestId, event: ResponseEvent, lost: &mut Vec<Input>) {
        let last = event.is_last();
        if last {
            tracing::debug!(request = id.0, ?event, "answered");
        }
        let Some(answers) = self.clients.get(&id) else { return };
        let sent = answers.try_send(event);
        if last || sent.is_err() {
            self.clients.remove(&id);
        }
        if sent.is_err() && !last {
            tracing::info!(request = id.0, "its client reads too slowly, or has left");
            lost.push(Input::ClientDisconnected(id));
        }
    }

    fn pass_to_engine(&mut self, engine: ServerId, frame: EngineFrame, lost: &mut Vec<Input>) {
        if let Some(key) = frame.attempt() {
            tracing::trace!(request = key.request, attempt = key.attempt, engine = engine.0, "to engine");
        }
        let Some(task) = self.engines.get(&engine) else { return };
        if let Some(versions) = &mut self.versions {
            let (kind, key) = match &frame {
                EngineFrame::Prefill(job) => (Some(SendKind::Prefill), job.key),
                EngineFrame::Decode { job, .. } => (Some(SendKind::Decode), job.key),
                EngineFrame::Probe { .. } => (Some(SendKind::Probe), NO_ATTEMPT),
                _ => (None, NO_ATTEMPT),
            };
            if let Some(kind) = kind {
                versions.tally.record(engine.0, kind, key.request, key.attempt, self.clock.now());
            }
        }
        if task.frames.try_send(frame).is_err() {
            let conn = task.conn;
            tracing::warn!(engine = engine.0, "an engine does not take its frames");
            self.engines.remove(&engine);
            lost.push(Input::EngineDisconnected { engine, conn });
        }
    }

    fn pass_to_list(&mut self, command: ListCommand, lost: &mut Vec<Input>) {
        let sent = self.list.as_ref().is_some_and(|list| list.try_send(command).is_ok());
        if !sent {
            lost.push(Input::ListServiceDown);
        }
    }
}
