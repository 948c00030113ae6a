//! The event broadcaster: keeps in memory what operators may query, and sends changes to subscribers. It owns
//! the event log, the outcome log and the last status report; [`queries`](super::queries) answers from them.

use super::history_writer::Batch;
use super::pending_history::PendingHistory;
use super::subscribers::Subscribers;
use super::{BroadcasterMessage, StatusReport};
use gaparch_net::Clock;
use gaparch_ops::{change_text, EventLog, Monitor, OrderRegistry, OutcomeLog};
use gaparch_protocol::ops::intent::{AcceptedChange, Change, Intent};
use gaparch_protocol::ops::outcome::{OutcomeKind, RequestOutcome, StoredOutcome};
use gaparch_protocol::ops::view::{Event, Setting, Severity};
use gaparch_protocol::ops::{to_bytes, Update};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{interval, MissedTickBehavior};

/// Interval between two batches to the history writer.
const HISTORY_INTERVAL: Duration = Duration::from_secs(1);

/// The fixed properties of the router in its snapshots.
pub(super) struct RouterIdentity {
    pub router: String,
    pub run: u64,
    /// When the router started, in nanoseconds since the Unix epoch.
    pub started_at: u64,
    pub settings: Vec<Setting>,
}

/// The state of the event broadcaster's task.
pub(super) struct EventBroadcaster {
    pub(super) identity: RouterIdentity,
    pub(super) orders: OrderRegistry,
    /// Orders up to this revision are on disk.
    stored_revision: u64,
    pub(super) event_log: EventLog,
    pub(super) outcome_log: OutcomeLog,
    monitor: Monitor,
    pub(super) status: Option<Box<StatusReport>>,
    subscribers: Subscribers,
    /// The stores that can't be written, and why.
    pub(super) storage_failures: BTreeMap<&'static str, String>,
    history: PendingHistory,
    /// The number of dropped messages and records at the last event about them.
    reported_dropped: u64,
}

impl EventBroadcaster {
    pub fn new(
        identity: RouterIdentity,
        orders: OrderRegistry,
        event_log: EventLog,
        outcome_log: OutcomeLog,
        history: mpsc::Sender<Batch>,
    ) -> EventBroadcaster {
        EventBroadcaster {
            stored_revision: orders.revision(),
            identity,
            orders,
            event_log,
            outcome_log,
            monitor: Monitor::default(),
            status: None,
            subscribers: Subscribers::default(),
            storage_failures: BTreeMap::new(),
            history: PendingHistory::new(history),
            reported_dropped: 0,
        }
    }

    /// Handles messages until all senders are gone. `key_errors` has event texts on operators that can't
    /// authenticate.
    pub async fn run(
        mut self,
        mut messages: mpsc::Receiver<BroadcasterMessage>,
        clock: Clock,
        key_errors: Vec<String>,
    ) {
        let in_force = self.orders.intents(|_| true).len();
        let text = format!("the router has begun; {in_force} orders of operators are in force");
        self.record_event(Event { at: clock.now(), severity: Severity::Info, engine: None, text });
        for text in key_errors {
            self.record_event(Event { at: clock.now(), severity: Severity::Fault, engine: None, text });
        }
        let mut history_timer = interval(HISTORY_INTERVAL);
        history_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message, clock.now()),
                    None => return,
                },
                _ = history_timer.tick() => self.history.submit(),
            }
        }
    }

    fn handle(&mut self, message: BroadcasterMessage, now: u64) {
        match message {
            BroadcasterMessage::Status(status) => self.on_status(status),
            BroadcasterMessage::RequestEnded(outcome) => self.on_request_ended(outcome),
            BroadcasterMessage::OrderInForce(accepted) => self.on_order(accepted),
            BroadcasterMessage::Event(event) => self.record_event(event),
            BroadcasterMessage::OrdersStored(revision) => self.on_orders_stored(revision),
            BroadcasterMessage::StorageStatus { store, failure } => {
                self.on_storage_status(store, failure, now)
            }
            BroadcasterMessage::Query { query, reply } => {
                // Fails only if the session has ended.
                let _ = reply.send(self.answer(query));
            }
            BroadcasterMessage::Subscribe { session, updates } => {
                let snapshot = self.snapshot();
                self.subscribers.add(session, updates, snapshot);
            }
            BroadcasterMessage::Unsubscribe { session } => self.subscribers.remove(session),
            BroadcasterMessage::Flush(written) => self.history.flush(written),
        }
    }

    fn on_status(&mut self, status: Box<StatusReport>) {
        let orders = &self.orders;
        for event in self.monitor.observe(&status.metrics, &status.engines, |engine| orders.drain(engine)) {
            self.record_event(event);
        }
        self.report_dropped(status.dropped_messages, status.metrics.at);
        let previous = self.status.replace(status);
        let Some(status) = &self.status else { return };
        let known = previous.as_ref().map_or(&[][..], |previous| &previous.engines);
        let changed: Vec<_> =
            status.engines.iter().filter(|engine| !known.contains(engine)).cloned().collect();
        let metrics = status.metrics;
        self.publish(|| Update::Metrics { metrics });
        if !changed.is_empty() {
            self.publish(|| Update::Engines { engines: changed.clone() });
        }
    }

    /// Records an event if messages or records were dropped since the last one.
    fn report_dropped(&mut self, dropped_messages: u64, at: u64) {
        let dropped = dropped_messages + self.history.dropped();
        if dropped > self.reported_dropped {
            let count = dropped - self.reported_dropped;
            let text = format!("{count} things were not recorded: too much happened at once");
            self.reported_dropped = dropped;
            self.record_event(Event { at, severity: Severity::Warning, engine: None, text });
        }
    }

    fn on_request_ended(&mut self, outcome: Box<RequestOutcome>) {
        if outcome.kind != OutcomeKind::Served {
            self.publish(|| Update::RequestEnded { outcome: outcome.clone() });
            self.history.add_outcome(to_bytes(&StoredOutcome::Outcome { outcome: outcome.clone() }));
        }
        for observed in self.outcome_log.add(*outcome) {
            let follow_up =
                StoredOutcome::FollowUp { request: observed.request, follow_up: observed.follow_up };
            self.history.add_outcome(to_bytes(&follow_up));
        }
    }

    fn on_order(&mut self, accepted: AcceptedChange) {
        let engine = match &accepted.change {
            Change::Drain { engine, .. } | Change::Undrain { engine } => Some(engine.clone()),
            _ => None,
        };
        let text = format!(
            "{} by {}: {}",
            change_text(&accepted.change),
            accepted.note.operator,
            accepted.note.reason
        );
        self.record_event(Event { at: accepted.note.at, severity: Severity::Info, engine, text });
        self.orders.apply(accepted);
        self.publish_intents();
    }

    fn on_orders_stored(&mut self, revision: u64) {
        if revision > self.stored_revision {
            self.stored_revision = revision;
            self.publish_intents();
        }
    }

    fn on_storage_status(&mut self, store: &'static str, failure: Option<String>, now: u64) {
        let previous = match &failure {
            Some(reason) => self.storage_failures.insert(store, reason.clone()),
            None => self.storage_failures.remove(store),
        };
        let (severity, text) = match (previous.is_some(), failure) {
            (false, Some(reason)) => (Severity::Fault, format!("{store} can't be kept on disk: {reason}")),
            (true, None) => (Severity::Info, format!("{store} are kept on disk again")),
            _ => return,
        };
        self.record_event(Event { at: now, severity, engine: None, text });
    }

    /// Logs an event, stores it and sends it to subscribers.
    fn record_event(&mut self, event: Event) {
        match event.severity {
            Severity::Info => tracing::info!(engine = event.engine, "{}", event.text),
            _ => tracing::warn!(engine = event.engine, "{}", event.text),
        }
        self.history.add_event(to_bytes(&event));
        self.publish(|| Update::Event { event: event.clone() });
        self.event_log.push(event);
    }

    /// Orders in force, and whether each is on disk.
    pub(super) fn intents(&self) -> Vec<Intent> {
        let stored = self.stored_revision;
        self.orders.intents(|revision| revision <= stored)
    }

    fn publish_intents(&mut self) {
        let (revision, intents) = (self.orders.revision(), self.intents());
        self.publish(|| Update::Intents { revision, intents: intents.clone() });
    }

    /// Offers an update to every subscriber, and sends a snapshot to those that missed updates.
    fn publish(&mut self, update: impl Fn() -> Update) {
        if self.subscribers.is_empty() {
            return;
        }
        for session in self.subscribers.offer(update) {
            self.subscribers.resync(session, self.snapshot());
        }
    }
}
