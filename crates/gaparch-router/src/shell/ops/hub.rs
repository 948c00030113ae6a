//! Keeps in memory what operators may ask for, and tells subscribers of changes.

use super::historian::Batch;
use super::{Board, News};
use gaparch_net::Clock;
use gaparch_ops::EventLog;
use gaparch_ops::Monitor;
use gaparch_ops::OutcomeLog;
use gaparch_ops::{change_text, OrderRegistry};
use gaparch_ops::{Delivery, SubscriberFeed};
use gaparch_protocol::ops::intent::{AcceptedChange, Intent};
use gaparch_protocol::ops::outcome::{OutcomeKind, RequestOutcome, StoredOutcome};
use gaparch_protocol::ops::view::{Event, Phase, RequestView, Setting, Severity, Snapshot};
use gaparch_protocol::ops::{to_bytes, Answer, DenyCode, Query, Update};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{interval, MissedTickBehavior};

/// Between two batches to the historian.
const KEEP_EVERY: Duration = Duration::from_secs(1);
/// Bytes of records that wait for the historian; past it the newest are left out.
const MOST_WAITING: usize = 1 << 20;
/// Events of a snapshot.
const SNAPSHOT_EVENTS: usize = 60;
/// Endings, live requests and events of one answer.
const MOST_ENDINGS: usize = 2000;
const MOST_EVENTS: usize = 2000;

pub(super) struct Identity {
    pub router: String,
    pub run: u64,
    pub began_at: u64,
    pub settings: Vec<Setting>,
}

struct Subscriber {
    updates: mpsc::Sender<Update>,
    feed: SubscriberFeed,
}

pub(super) struct Hub {
    identity: Identity,
    book: OrderRegistry,
    /// Changes up to this one are on disk.
    kept: u64,
    chronicle: EventLog,
    ledger: OutcomeLog,
    watch: Monitor,
    board: Option<Box<Board>>,
    subscribers: BTreeMap<u64, Subscriber>,
    not_kept: BTreeMap<&'static str, String>,
    history: mpsc::Sender<Batch>,
    waiting: Batch,
    waiting_bytes: usize,
    left_out: u64,
    lost_told: u64,
}

impl Hub {
    pub fn new(
        identity: Identity,
        book: OrderRegistry,
        chronicle: EventLog,
        ledger: OutcomeLog,
        history: mpsc::Sender<Batch>,
    ) -> Hub {
        Hub {
            kept: book.revision(),
            identity,
            book,
            chronicle,
            ledger,
            watch: Monitor::default(),
            board: None,
            subscribers: BTreeMap::new(),
            not_kept: BTreeMap::new(),
            history,
            waiting: Batch::default(),
            waiting_bytes: 0,
            left_out: 0,
            lost_told: 0,
        }
    }

    pub async fn run(mut self, mut news: mpsc::Receiver<News>, clock: Clock, locked_out: Vec<String>) {
        let held = self.book.intents(|_| true).len();
        let text = format!("the router has begun; {held} orders of operators are in force");
        self.happened(Event { at: clock.now(), severity: Severity::Info, engine: None, text });
        for text in locked_out {
            self.happened(Event { at: clock.now(), severity: Severity::Fault, engine: None, text });
        }
        let mut keep = interval(KEEP_EVERY);
        keep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                one = news.recv() => match one {
                    Some(one) => self.take(one, clock.now()),
                    None => return,
                },
                _ = keep.tick() => self.hand_over(),
            }
        }
    }

    fn take(&mut self, news: News, now: u64) {
        match news {
            News::Board(board) => self.on_board(board),
            News::Ended(ending) => self.on_ended(ending),
            News::Taken(taken) => self.on_taken(taken),
            News::Happened(event) => self.happened(event),
            News::Kept(revision) => {
                if revision > self.kept {
                    self.kept = revision;
                    self.tell_intents();
                }
            }
            News::NotKept(what, trouble) => self.on_not_kept(what, trouble, now),
            News::Ask(query, reply) => {
                // Who asked may have left.
                let _ = reply.send(self.answer(query));
            }
            News::Subscribe(session, updates) => {
                // Its queue is empty: the first update is all as it stands.
                let _ = updates.try_send(Update::Resync { snapshot: Box::new(self.snapshot()) });
                self.subscribers.insert(session, Subscriber { updates, feed: SubscriberFeed::default() });
            }
            News::Finish(written) => {
                self.waiting.written = Some(written);
                self.hand_over();
            }
            News::Unsubscribe(session) => drop(self.subscribers.remove(&session)),
        }
    }

    fn on_board(&mut self, board: Box<Board>) {
        let book = &self.book;
        for event in self.watch.observe(&board.figures, &board.engines, |engine| book.drain(engine)) {
            self.happened(event);
        }
        let lost = board.lost + self.left_out;
        if lost > self.lost_told {
            let text =
                format!("{} things were not recorded: too much happened at once", lost - self.lost_told);
            let at = board.figures.at;
            self.lost_told = lost;
            self.happened(Event { at, severity: Severity::Warning, engine: None, text });
        }
        let before = self.board.replace(board);
        let Some(board) = &self.board else { return };
        let known = before.as_ref().map_or(&[][..], |b| &b.engines);
        let changed = board.engines.iter().filter(|e| !known.contains(e)).cloned().collect::<Vec<_>>();
        let figures = board.figures;
        self.publish(|| Update::Metrics { metrics: figures });
        if !changed.is_empty() {
            self.publish(|| Update::Engines { engines: changed.clone() });
        }
    }

    fn on_ended(&mut self, ending: Box<RequestOutcome>) {
        let lost = ending.kind != OutcomeKind::Served;
        if lost {
            self.publish(|| Update::RequestEnded { outcome: ending.clone() });
            self.keep_ending(&StoredOutcome::Outcome { outcome: ending.clone() });
        }
        for followed in self.ledger.add(*ending) {
            self.keep_ending(&StoredOutcome::FollowUp {
                request: followed.request,
                follow_up: followed.follow_up,
            });
        }
    }

    fn on_taken(&mut self, taken: AcceptedChange) {
        let engine = match &taken.change {
            gaparch_protocol::ops::intent::Change::Drain { engine, .. }
            | gaparch_protocol::ops::intent::Change::Undrain { engine } => Some(engine.clone()),
            _ => None,
        };
        let text =
            format!("{} by {}: {}", change_text(&taken.change), taken.note.operator, taken.note.reason);
        self.happened(Event { at: taken.note.at, severity: Severity::Info, engine, text });
        self.book.apply(taken);
        self.tell_intents();
    }

    fn on_not_kept(&mut self, what: &'static str, trouble: Option<String>, now: u64) {
        let was = match &trouble {
            Some(why) => self.not_kept.insert(what, why.clone()),
            None => self.not_kept.remove(what),
        };
        let (severity, text) = match (was.is_some(), trouble) {
            (false, Some(why)) => (Severity::Fault, format!("{what} can't be kept on disk: {why}")),
            (true, None) => (Severity::Info, format!("{what} are kept on disk again")),
            _ => return,
        };
        self.happened(Event { at: now, severity, engine: None, text });
    }

    fn happened(&mut self, event: Event) {
        match event.severity {
            Severity::Info => tracing::info!(engine = event.engine, "{}", event.text),
            _ => tracing::warn!(engine = event.engine, "{}", event.text),
        }
        let record = to_bytes(&event);
        if self.has_room(record.len()) {
            self.waiting.events.push(record);
        }
        self.publish(|| Update::Event { event: event.clone() });
        self.chronicle.push(event);
    }

    fn keep_ending(&mut self, kept: &StoredOutcome) {
        let record = to_bytes(kept);
        if self.has_room(record.len()) {
            self.waiting.endings.push(record);
        }
    }

    fn has_room(&mut self, bytes: usize) -> bool {
        let fits = self.waiting_bytes + bytes <= MOST_WAITING;
        if fits {
            self.waiting_bytes += bytes;
        } else {
            self.left_out += 1;
        }
        fits
    }

    /// An empty batch is handed over too: the historian tries again then what it could not write.
    fn hand_over(&mut self) {
        if let Ok(permit) = self.history.try_reserve() {
            permit.send(std::mem::take(&mut self.waiting));
            self.waiting_bytes = 0;
        }
    }

    fn intents(&self) -> Vec<Intent> {
        let kept = self.kept;
        self.book.intents(|revision| revision <= kept)
    }

    fn tell_intents(&mut self) {
        let (revision, intents) = (self.book.revision(), self.intents());
        self.publish(|| Update::Intents { revision, intents: intents.clone() });
    }

    /// Offers an update to every subscriber. One that has gone is forgotten.
    fn publish(&mut self, update: impl Fn() -> Update) {
        if self.subscribers.is_empty() {
            return;
        }
        let mut fresh = Vec::new();
        self.subscribers.retain(|session, subscriber| {
            let room = subscriber.updates.max_capacity();
            let waiting = room - subscriber.updates.capacity();
            match subscriber.feed.next(waiting, room) {
                Delivery::Send => drop(subscriber.updates.try_send(update())),
                Delivery::Skip => {}
                Delivery::Resync { missed } => {
                    drop(subscriber.updates.try_send(Update::Missed { updates: missed }));
                    fresh.push(*session);
                }
            }
            !subscriber.updates.is_closed()
        });
        for session in fresh {
            let snapshot = Box::new(self.snapshot());
            if let Some(subscriber) = self.subscribers.get(&session) {
                drop(subscriber.updates.try_send(Update::Resync { snapshot }));
            }
        }
    }

    fn snapshot(&self) -> Snapshot {
        let board = self.board.as_deref();
        let limits = board.map(|b| b.limits.clone()).unwrap_or_default();
        let mut tenants = self.ledger.tenants();
        for tenant in &mut tenants {
            let name = gaparch_ops::limits::tenant_limit(&tenant.name);
            tenant.quota_per_second = limits.iter().find(|l| l.name == name).map_or(0.0, |l| l.value);
        }
        let not_kept: Vec<String> =
            self.not_kept.iter().map(|(what, why)| format!("{what}: {why}")).collect();
        Snapshot {
            router: self.identity.router.clone(),
            run: self.identity.run,
            revision: self.book.revision(),
            started_at: self.identity.began_at,
            metrics: board.map(|b| b.figures).unwrap_or_default(),
            engines: board.map(|b| b.engines.clone()).unwrap_or_default(),
            tenants,
            intents: self.intents(),
            limits,
            events: self.chronicle.latest(None, 0, SNAPSHOT_EVENTS),
            settings: self.identity.settings.clone(),
            storage_error: not_kept.join("; "),
        }
    }

    fn answer(&self, query: Query) -> Answer {
        match query {
            Query::Snapshot {} => Answer::Snapshot { snapshot: Box::new(self.snapshot()) },
            Query::OutcomeGroups { filter } => {
                let (groups, total) = self.ledger.groups(&filter);
                Answer::OutcomeGroups { groups, total }
            }
            Query::Outcomes { filter } => {
                let (endings, total) = self.ledger.outcomes(&filter, MOST_ENDINGS);
                Answer::Outcomes { outcomes: endings, total }
            }
            Query::RequestDetails { request } => {
                Answer::RequestDetails { outcome: self.ledger.find(request).map(Box::new), open: None }
            }
            // The open ones are put before these by the session.
            Query::OpenRequests { max: most } => {
                let lately: Vec<RequestView> =
                    self.ledger.served().rev().take(most as usize).map(ended_view).collect();
                let total = lately.len() as u64;
                Answer::OpenRequests { requests: lately, total }
            }
            Query::Events { engine, since, max: most } => {
                let most = if most == 0 { MOST_EVENTS } else { MOST_EVENTS.min(most as usize) };
                Answer::Events { events: self.chronicle.latest(engine.as_deref(), since, most) }
            }
            Query::Limits {} => {
                Answer::Limits { limits: self.board.as_ref().map(|b| b.limits.clone()).unwrap_or_default() }
            }
            Query::Intents {} => Answer::Intents { intents: self.intents() },
            Query::Subscribe {}
            | Query::Unsubscribe {}
            | Query::Order { .. }
            | Query::LocalOrder { .. }
            | Query::OrderReplication {}
            | Query::Audit { .. }
            | Query::Members {}
            | Query::ListVersions {} => {
                let message = "that is for the session to do".to_owned();
                Answer::Denied { code: DenyCode::Invalid, message }
            }
        }
    }
}

fn ended_view(ending: &RequestOutcome) -> RequestView {
    RequestView {
        request: ending.request,
        received_at: ending.received_at,
        class: ending.class.clone(),
        tenant: ending.tenant.clone(),
        phase: Phase::Ended,
        kind: Some(ending.kind),
        engine: ending.attempts.last().map(|s| s.engine.clone()).unwrap_or_default(),
        tokens: ending.tokens,
        elapsed_us: ending.ended_at.saturating_sub(ending.received_at) / 1000,
        attempts: ending.attempts.clone(),
    }
}
