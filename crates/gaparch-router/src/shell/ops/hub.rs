//! Keeps in memory what operators may ask for, and tells subscribers of changes.

use super::historian::Batch;
use super::{Board, News};
use gaparch_net::Clock;
use gaparch_ops::book::{words, Book};
use gaparch_ops::chronicle::Chronicle;
use gaparch_ops::feed::{Feed, Offer};
use gaparch_ops::ledger::Ledger;
use gaparch_ops::watch::Watch;
use gaparch_protocol::ops::ending::{EndKind, Ending, Kept};
use gaparch_protocol::ops::intent::{Intent, Taken};
use gaparch_protocol::ops::view::{Happening, LiveView, Phase, Setting, Severity, Snapshot};
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
    feed: Feed,
}

pub(super) struct Hub {
    identity: Identity,
    book: Book,
    /// Changes up to this one are on disk.
    kept: u64,
    chronicle: Chronicle,
    ledger: Ledger,
    watch: Watch,
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
        book: Book,
        chronicle: Chronicle,
        ledger: Ledger,
        history: mpsc::Sender<Batch>,
    ) -> Hub {
        Hub {
            kept: book.revision(),
            identity,
            book,
            chronicle,
            ledger,
            watch: Watch::default(),
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
        self.happened(Happening { at: clock.now(), severity: Severity::Info, engine: None, text });
        for text in locked_out {
            self.happened(Happening { at: clock.now(), severity: Severity::Trouble, engine: None, text });
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
                let _ = updates.try_send(Update::Fresh { snapshot: Box::new(self.snapshot()) });
                self.subscribers.insert(session, Subscriber { updates, feed: Feed::default() });
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
        for event in self.watch.look(&board.figures, &board.engines, |engine| book.hold(engine)) {
            self.happened(event);
        }
        let lost = board.lost + self.left_out;
        if lost > self.lost_told {
            let text =
                format!("{} things were not recorded: too much happened at once", lost - self.lost_told);
            let at = board.figures.at;
            self.lost_told = lost;
            self.happened(Happening { at, severity: Severity::Warning, engine: None, text });
        }
        let before = self.board.replace(board);
        let Some(board) = &self.board else { return };
        let known = before.as_ref().map_or(&[][..], |b| &b.engines);
        let changed = board.engines.iter().filter(|e| !known.contains(e)).cloned().collect::<Vec<_>>();
        let figures = board.figures;
        self.publish(|| Update::Figures { figures });
        if !changed.is_empty() {
            self.publish(|| Update::Engines { engines: changed.clone() });
        }
    }

    fn on_ended(&mut self, ending: Box<Ending>) {
        let lost = ending.kind != EndKind::Served;
        if lost {
            self.publish(|| Update::Ended { ending: ending.clone() });
            self.keep_ending(&Kept::Ending { ending: ending.clone() });
        }
        for followed in self.ledger.add(*ending) {
            self.keep_ending(&Kept::FollowUp { request: followed.request, follow_up: followed.follow_up });
        }
    }

    fn on_taken(&mut self, taken: Taken) {
        let engine = match &taken.change {
            gaparch_protocol::ops::intent::Change::Hold { engine, .. }
            | gaparch_protocol::ops::intent::Change::Free { engine } => Some(engine.clone()),
            _ => None,
        };
        let text = format!("{} by {}: {}", words(&taken.change), taken.note.who, taken.note.why);
        self.happened(Happening { at: taken.note.at, severity: Severity::Info, engine, text });
        self.book.apply(taken);
        self.tell_intents();
    }

    fn on_not_kept(&mut self, what: &'static str, trouble: Option<String>, now: u64) {
        let was = match &trouble {
            Some(why) => self.not_kept.insert(what, why.clone()),
            None => self.not_kept.remove(what),
        };
        let (severity, text) = match (was.is_some(), trouble) {
            (false, Some(why)) => (Severity::Trouble, format!("{what} can't be kept on disk: {why}")),
            (true, None) => (Severity::Info, format!("{what} are kept on disk again")),
            _ => return,
        };
        self.happened(Happening { at: now, severity, engine: None, text });
    }

    fn happened(&mut self, event: Happening) {
        match event.severity {
            Severity::Info => tracing::info!(engine = event.engine, "{}", event.text),
            _ => tracing::warn!(engine = event.engine, "{}", event.text),
        }
        let record = to_bytes(&event);
        if self.has_room(record.len()) {
            self.waiting.events.push(record);
        }
        self.publish(|| Update::Happened { event: event.clone() });
        self.chronicle.add(event);
    }

    fn keep_ending(&mut self, kept: &Kept) {
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
            match subscriber.feed.offer(waiting, room) {
                Offer::Send => drop(subscriber.updates.try_send(update())),
                Offer::Skip => {}
                Offer::Resync { missed } => {
                    drop(subscriber.updates.try_send(Update::Missed { updates: missed }));
                    fresh.push(*session);
                }
            }
            !subscriber.updates.is_closed()
        });
        for session in fresh {
            let snapshot = Box::new(self.snapshot());
            if let Some(subscriber) = self.subscribers.get(&session) {
                drop(subscriber.updates.try_send(Update::Fresh { snapshot }));
            }
        }
    }

    fn snapshot(&self) -> Snapshot {
        let board = self.board.as_deref();
        let limits = board.map(|b| b.limits.clone()).unwrap_or_default();
        let mut tenants = self.ledger.tenants();
        for tenant in &mut tenants {
            let name = gaparch_ops::limits::tenant_limit(&tenant.name);
            tenant.per_s = limits.iter().find(|l| l.name == name).map_or(0.0, |l| l.value);
        }
        let not_kept: Vec<String> =
            self.not_kept.iter().map(|(what, why)| format!("{what}: {why}")).collect();
        Snapshot {
            router: self.identity.router.clone(),
            run: self.identity.run,
            revision: self.book.revision(),
            began_at: self.identity.began_at,
            figures: board.map(|b| b.figures).unwrap_or_default(),
            engines: board.map(|b| b.engines.clone()).unwrap_or_default(),
            tenants,
            intents: self.intents(),
            limits,
            events: self.chronicle.list(None, 0, SNAPSHOT_EVENTS),
            settings: self.identity.settings.clone(),
            not_kept: not_kept.join("; "),
        }
    }

    fn answer(&self, query: Query) -> Answer {
        match query {
            Query::Snapshot {} => Answer::Snapshot { snapshot: Box::new(self.snapshot()) },
            Query::Groups { filter } => {
                let (groups, total) = self.ledger.groups(&filter);
                Answer::Groups { groups, total }
            }
            Query::Endings { filter } => {
                let (endings, total) = self.ledger.endings(&filter, MOST_ENDINGS);
                Answer::Endings { endings, total }
            }
            Query::Story { request } => {
                Answer::Story { ending: self.ledger.story(request).map(Box::new), live: None }
            }
            // The open ones are put before these by the session.
            Query::Live { most } => {
                let lately: Vec<LiveView> =
                    self.ledger.recent().rev().take(most as usize).map(ended_view).collect();
                let total = lately.len() as u64;
                Answer::Live { live: lately, total }
            }
            Query::Events { engine, since, most } => {
                let most = if most == 0 { MOST_EVENTS } else { MOST_EVENTS.min(most as usize) };
                Answer::Events { events: self.chronicle.list(engine.as_deref(), since, most) }
            }
            Query::Limits {} => {
                Answer::Limits { limits: self.board.as_ref().map(|b| b.limits.clone()).unwrap_or_default() }
            }
            Query::Intents {} => Answer::Intents { intents: self.intents() },
            Query::Subscribe {}
            | Query::Unsubscribe {}
            | Query::Order { .. }
            | Query::OrderHere { .. }
            | Query::Spread {}
            | Query::Audit { .. }
            | Query::Members {}
            | Query::Versions {} => {
                let message = "that is for the session to do".to_owned();
                Answer::Denied { code: DenyCode::Invalid, message }
            }
        }
    }
}

fn ended_view(ending: &Ending) -> LiveView {
    LiveView {
        request: ending.request,
        asked_at: ending.asked_at,
        class: ending.class.clone(),
        tenant: ending.tenant.clone(),
        phase: Phase::Ended,
        kind: Some(ending.kind),
        engine: ending.steps.last().map(|s| s.engine.clone()).unwrap_or_default(),
        tokens: ending.tokens,
        took_us: ending.ended_at.saturating_sub(ending.asked_at) / 1000,
        steps: ending.steps.clone(),
    }
}
