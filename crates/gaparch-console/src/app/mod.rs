//! What an operator sees and does, without I/O.

mod dialog;
mod listing;
mod lists;

pub use dialog::{Dialog, Question};
pub use listing::{Cell, Listing, Row, Tone};

use gaparch_protocol::ops::intent::{Change, DrainMode};
use gaparch_protocol::ops::outcome::{GlobalRequestId, OutcomeFilter, OutcomeGroup, RequestOutcome};
use gaparch_protocol::ops::view::{Event, RequestView, RouterMetrics, Severity, Snapshot};
use gaparch_protocol::ops::{Answer, DenyCode, Order, Query, SessionRole, Update};
use std::collections::VecDeque;

/// Points of a sparkline: at four a second a minute.
const SERIES: usize = 240;
/// Between two points.
const LEAST_GAP: u64 = 200_000_000;
/// Events and endings kept here; the router has more.
const MOST_EVENTS: usize = 500;
/// Between two looks at what is not told by itself.
const LOOK_EVERY: u64 = 1_000_000_000;
/// A message stays for so long.
const MESSAGE_FOR: u64 = 15_000_000_000;

/// A key, as far as it means something here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    Char(char),
    Up,
    Down,
    PageUp,
    PageDown,
    Home,
    End,
    Tab,
    BackTab,
    Enter,
    Esc,
    Backspace,
    /// Ctrl-C.
    Interrupt,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    Overview,
    Engines,
    Requests,
    Refusals,
    Tenants,
    Events,
    Settings,
}

impl View {
    pub const ALL: [View; 7] = [
        View::Overview,
        View::Engines,
        View::Requests,
        View::Refusals,
        View::Tenants,
        View::Events,
        View::Settings,
    ];

    pub fn title(self) -> &'static str {
        match self {
            View::Overview => "Overview",
            View::Engines => "Engines",
            View::Requests => "Requests",
            View::Refusals => "Refusals",
            View::Tenants => "Tenants",
            View::Events => "Events",
            View::Settings => "Settings",
        }
    }

    fn place(self) -> usize {
        View::ALL.iter().position(|v| *v == self).unwrap_or(0)
    }
}

/// How it is with the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Link {
    /// Not connected, and why.
    Down(String),
    Up(SessionRole),
}

/// What an answer is for.
#[derive(Clone, Debug, PartialEq)]
pub enum Tag {
    Subscription,
    Live,
    Groups,
    Endings,
    Story,
    History,
    Order(Order),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Ask(Tag, Box<Query>),
    Quit,
}

fn ask(tag: Tag, query: Query) -> Effect {
    Effect::Ask(tag, Box::new(query))
}

/// What lies over the view.
#[derive(Clone, Debug, PartialEq)]
pub enum Page {
    Help,
    /// One engine at length.
    Engine(String),
    /// The endings of one group.
    Endings(Box<OutcomeFilter>),
    /// One request's story.
    Story(Box<RequestOutcome>),
    /// A request that is open.
    Open(Box<RequestView>),
}

/// Rates and figures of the last minute.
#[derive(Clone, Debug, Default)]
pub struct Series {
    pub served: VecDeque<u64>,
    pub lost: VecDeque<u64>,
    pub held: VecDeque<u64>,
    pub streaming: VecDeque<u64>,
    /// The figures at the last point.
    base: Option<RouterMetrics>,
}

impl Series {
    /// Orders bring further figures: a point is made of those that are a quarter second apart, by and large.
    fn add(&mut self, before: RouterMetrics, now: RouterMetrics) {
        let base = *self.base.get_or_insert(before);
        if now.at < base.at.saturating_add(LEAST_GAP) {
            return;
        }
        self.base = Some(now);
        let lost = |f: &RouterMetrics| f.rejected + f.failed;
        self.push([
            now.served.saturating_sub(base.served),
            lost(&now).saturating_sub(lost(&base)),
            u64::from(now.queued),
            u64::from(now.streaming),
        ]);
    }

    fn push(&mut self, values: [u64; 4]) {
        let all = [&mut self.served, &mut self.lost, &mut self.held, &mut self.streaming];
        for (series, value) in all.into_iter().zip(values) {
            if series.len() >= SERIES {
                series.pop_front();
            }
            series.push_back(value);
        }
    }
}

#[derive(Clone, Debug)]
pub struct App {
    /// The operator's clock: nanoseconds since the Unix epoch.
    pub now: u64,
    pub link: Link,
    pub view: View,
    pub pages: Vec<Page>,
    pub dialog: Option<Dialog>,
    pub snapshot: Option<Snapshot>,
    pub series: Series,
    pub live: Vec<RequestView>,
    pub groups: Vec<OutcomeGroup>,
    pub endings: Vec<RequestOutcome>,
    pub events: VecDeque<Event>,
    /// Of the engine that is looked at.
    pub history: Vec<Event>,
    pub message: Option<(Severity, String, u64)>,
    /// Of each view, and of the endings of a group.
    lists: [Listing; 8],
    pub scroll: u16,
    looked_at: u64,
    pub missed: u64,
}

impl Default for App {
    fn default() -> Self {
        App {
            now: 0,
            link: Link::Down("connecting".to_owned()),
            view: View::Overview,
            pages: Vec::new(),
            dialog: None,
            snapshot: None,
            series: Series::default(),
            live: Vec::new(),
            groups: Vec::new(),
            endings: Vec::new(),
            events: VecDeque::new(),
            history: Vec::new(),
            message: None,
            lists: Default::default(),
            scroll: 0,
            looked_at: 0,
            missed: 0,
        }
    }
}

impl App {
    // --- The router -----------------------------------------------------------------------------------

    pub fn link_up(&mut self, role: SessionRole) -> Vec<Effect> {
        self.link = Link::Up(role);
        self.looked_at = 0;
        vec![ask(Tag::Subscription, Query::Subscribe {})]
    }

    pub fn link_down(&mut self, why: impl Into<String>) {
        self.link = Link::Down(why.into());
    }

    /// Time goes on; what is not told by itself is asked for.
    pub fn tick(&mut self, now: u64) -> Vec<Effect> {
        self.now = now;
        if self.message.as_ref().is_some_and(|(_, _, at)| now > at.saturating_add(MESSAGE_FOR)) {
            self.message = None;
        }
        let due = now >= self.looked_at.saturating_add(LOOK_EVERY);
        if !matches!(self.link, Link::Up(_)) || !due {
            return Vec::new();
        }
        self.looked_at = now;
        let question = match (self.pages.last(), self.view) {
            (Some(Page::Engine(name)), _) => {
                let engine = Some(name.clone());
                Some(ask(Tag::History, Query::Events { engine, since: 0, max: 100 }))
            }
            (_, View::Requests) => Some(ask(Tag::Live, Query::OpenRequests { max: 300 })),
            (_, View::Refusals) => {
                Some(ask(Tag::Groups, Query::OutcomeGroups { filter: OutcomeFilter::default() }))
            }
            _ => None,
        };
        question.into_iter().collect()
    }

    pub fn update(&mut self, update: Update) {
        match update {
            Update::Resync { snapshot } => {
                // Another run counts from nothing.
                self.series.base = None;
                self.events = snapshot.events.iter().cloned().collect();
                self.snapshot = Some(*snapshot);
            }
            Update::Metrics { metrics: figures } => {
                let Some(snapshot) = &mut self.snapshot else { return };
                self.series.add(snapshot.metrics, figures);
                snapshot.metrics = figures;
            }
            Update::Engines { engines } => {
                let Some(snapshot) = &mut self.snapshot else { return };
                for engine in engines {
                    match snapshot.engines.iter_mut().find(|e| e.name == engine.name) {
                        Some(known) => *known = engine,
                        None => snapshot.engines.push(engine),
                    }
                }
                snapshot.engines.sort_by(|a, b| a.name.cmp(&b.name));
            }
            Update::Event { event } => {
                if event.severity == Severity::Fault {
                    let engine = event.engine.as_deref().unwrap_or("the router");
                    self.say(Severity::Fault, format!("{engine}: {}", event.text));
                }
                if self.events.len() >= MOST_EVENTS {
                    self.events.pop_front();
                }
                self.events.push_back(event);
            }
            Update::RequestEnded { .. } => {}
            Update::Intents { revision, intents } => {
                if let Some(snapshot) = &mut self.snapshot {
                    (snapshot.revision, snapshot.intents) = (revision, intents);
                }
            }
            Update::Missed { updates } => self.missed += updates,
        }
    }

    pub fn answer(&mut self, tag: Tag, answer: Answer) {
        match (tag, answer) {
            (Tag::Live, Answer::OpenRequests { requests: live, .. }) => self.live = live,
            (Tag::Groups, Answer::OutcomeGroups { groups, .. }) => self.groups = groups,
            (Tag::Endings, Answer::Outcomes { outcomes: endings, .. }) => self.endings = endings,
            (Tag::History, Answer::Events { events }) => self.history = events,
            (Tag::Story, Answer::RequestDetails { outcome, open: live }) => match (outcome, live) {
                (Some(ending), _) => self.open(Page::Story(ending)),
                (None, Some(live)) => self.open(Page::Open(live)),
                (None, None) => self.say(Severity::Warning, "nothing is known of that request any more"),
            },
            (Tag::Order(_), Answer::Done { effect, .. }) => {
                self.say(Severity::Info, format!("kept: {effect}"))
            }
            (Tag::Order(order), Answer::Denied { code: DenyCode::LastOfRole, message }) => {
                self.dialog = Some(Question::Force { order, message }.into());
            }
            (_, Answer::Denied { message, .. }) => self.say(Severity::Fault, message),
            _ => {}
        }
    }

    fn say(&mut self, severity: Severity, text: impl Into<String>) {
        self.message = Some((severity, text.into(), self.now));
    }

    // --- Keys -----------------------------------------------------------------------------------------

    pub fn key(&mut self, key: Key) -> Vec<Effect> {
        if key == Key::Interrupt {
            return vec![Effect::Quit];
        }
        if self.dialog.is_some() {
            return self.dialog_key(key);
        }
        match key {
            Key::Esc if !self.pages.is_empty() => self.close(),
            // First the message goes, then the filter.
            Key::Esc if self.message.is_some() => self.message = None,
            Key::Esc => self.list_mut().filter.clear(),
            Key::Char('q') if !self.pages.is_empty() => self.close(),
            Key::Char('q') => return vec![Effect::Quit],
            Key::Char('?') => self.open(Page::Help),
            Key::Char(c @ '1'..='7') => self.go(View::ALL[c as usize - '1' as usize]),
            Key::Tab => self.go(View::ALL[(self.view.place() + 1) % View::ALL.len()]),
            Key::BackTab => self.go(View::ALL[(self.view.place() + View::ALL.len() - 1) % View::ALL.len()]),
            Key::Up | Key::Char('k') => self.walk(-1),
            Key::Down | Key::Char('j') => self.walk(1),
            Key::PageUp => self.walk(-10),
            Key::PageDown => self.walk(10),
            Key::Home => self.walk(isize::MIN),
            Key::End => self.walk(isize::MAX),
            Key::Char('/') => {
                let text = self.list().filter.clone();
                self.dialog = Some(Dialog { question: Question::Filter, text });
            }
            Key::Char('f') => self.dialog = Some(Question::Find.into()),
            Key::Char('s') => {
                let columns = self.columns().len();
                self.list_mut().sort_next(columns);
            }
            Key::Char('S') => self.list_mut().reverse(),
            Key::Char('d') => self.hold(DrainMode::Drain),
            Key::Char('a') => self.hold(DrainMode::Detach),
            Key::Char('u') => self.free(),
            Key::Char('p') => self.pause_or_resume(),
            Key::Char('X') => {
                let consequence = "what runs has the stated time; nothing starts the router again by itself";
                self.ask_reason(Change::Stop {}, "Stop the router", consequence);
            }
            Key::Enter => return self.enter(),
            _ => {}
        }
        Vec::new()
    }

    fn go(&mut self, view: View) {
        self.view = view;
        self.pages.clear();
        self.scroll = 0;
        // What the view shows is asked for at once.
        self.looked_at = 0;
    }

    fn open(&mut self, page: Page) {
        self.scroll = 0;
        self.looked_at = 0;
        self.pages.push(page);
    }

    fn close(&mut self) {
        self.scroll = 0;
        self.pages.pop();
    }

    fn walk(&mut self, by: isize) {
        if matches!(self.pages.last(), None | Some(Page::Endings(_))) {
            let rows = self.rows();
            self.list_mut().move_by(&rows, by);
        } else {
            let by = i16::try_from(by).unwrap_or(if by < 0 { i16::MIN } else { 1000 });
            self.scroll = self.scroll.saturating_add_signed(by).min(1000);
        }
    }

    /// What is looked up or opened by Enter.
    fn enter(&mut self) -> Vec<Effect> {
        let Some(row) = self.selected() else { return Vec::new() };
        if let Some(Page::Endings(_)) = self.pages.last() {
            return self.story(&row.key);
        }
        match self.view {
            View::Engines => self.open(Page::Engine(row.key)),
            View::Requests => return self.story(&row.key),
            View::Refusals => {
                let Some(group) = row.key.parse().ok().and_then(|n: usize| self.groups.get(n)) else {
                    return Vec::new();
                };
                let filter = OutcomeFilter {
                    kind: Some(group.kind),
                    cause: Some(group.cause),
                    queueing_reason: group.queueing_reason,
                    class: Some(group.class.clone()),
                    tenant: Some(group.tenant.clone()),
                    max: 200,
                    ..OutcomeFilter::default()
                };
                self.endings.clear();
                self.open(Page::Endings(Box::new(filter.clone())));
                return vec![ask(Tag::Endings, Query::Outcomes { filter })];
            }
            View::Settings => self.edit_limit(&row.key),
            View::Overview | View::Tenants | View::Events => {}
        }
        Vec::new()
    }

    fn story(&mut self, id: &str) -> Vec<Effect> {
        match id.parse::<GlobalRequestId>() {
            Ok(request) => vec![ask(Tag::Story, Query::RequestDetails { request })],
            Err(error) => {
                self.say(Severity::Warning, error.to_string());
                Vec::new()
            }
        }
    }

    // --- Orders ---------------------------------------------------------------------------------------

    /// The engine that is looked at or selected.
    fn engine(&self) -> Option<String> {
        match (self.pages.last(), self.view) {
            (Some(Page::Engine(name)), _) => Some(name.clone()),
            (None, View::Engines) => self.selected().map(|row| row.key),
            _ => None,
        }
    }

    fn hold(&mut self, hold: DrainMode) {
        let Some(engine) = self.engine() else {
            return self.say(Severity::Info, "select an engine first (2)");
        };
        let view = self.snapshot.as_ref().and_then(|s| s.engines.iter().find(|e| e.name == engine));
        let (waiting, streaming) = view.map_or((0, 0), |v| (v.awaiting_first_token, v.streaming));
        let (title, what) = match hold {
            DrainMode::Drain => (format!("Drain {engine}"), "it gets nothing new"),
            DrainMode::Detach => {
                (format!("Set {engine} aside"), "it gets nothing new, and no connection later")
            }
        };
        let consequence =
            format!("{what}; {waiting} sent there and {streaming} streaming end in their own time");
        self.ask_reason(Change::Drain { engine, mode: hold }, title, consequence);
    }

    fn free(&mut self) {
        match self.engine() {
            Some(engine) => {
                let title = format!("Undrain {engine}");
                self.ask_reason(Change::Undrain { engine }, title, "it is what the list says again");
            }
            None => self.say(Severity::Info, "select an engine first (2)"),
        }
    }

    fn pause_or_resume(&mut self) {
        let paused = self.snapshot.as_ref().is_some_and(|s| s.metrics.paused);
        if paused {
            self.ask_reason(Change::Resume {}, "Resume the intake", "new requests are taken again");
        } else {
            let consequence = "ALL new requests are refused until it is resumed; what is here goes on";
            self.ask_reason(Change::Pause {}, "Pause the intake", consequence);
        }
    }

    fn edit_limit(&mut self, name: &str) {
        let limit = self.snapshot.as_ref().and_then(|s| s.limits.iter().find(|l| l.name == name));
        let Some(limit) = limit else { return };
        let hint = format!(
            "{} to {} {}, or `default` ({})",
            limit.min, limit.max, limit.unit, limit.configured_value
        );
        let (name, text) = (limit.name.clone(), limit.value.to_string());
        let question = Question::Value { name, hint, revision: self.revision() };
        self.dialog = Some(Dialog { question, text });
    }

    fn revision(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.revision)
    }

    fn ask_reason(&mut self, change: Change, title: impl Into<String>, consequence: impl Into<String>) {
        if self.link == Link::Up(SessionRole::ReadOnly) {
            return self.say(Severity::Warning, "this session may look only");
        }
        let (title, consequence) = (title.into(), consequence.into());
        let question = Question::Reason { change, title, consequence, revision: self.revision() };
        self.dialog = Some(question.into());
    }

    fn dialog_key(&mut self, key: Key) -> Vec<Effect> {
        let Some(dialog) = &mut self.dialog else { return Vec::new() };
        match key {
            Key::Enter => return self.decided(),
            Key::Esc => {
                if self.dialog.take().is_some_and(|d| d.is_filter()) {
                    self.list_mut().filter.clear();
                }
                return Vec::new();
            }
            Key::Char(c) => dialog.put(c),
            Key::Backspace => drop(dialog.text.pop()),
            _ => {}
        }
        if dialog.is_filter() {
            let text = dialog.text.clone();
            self.list_mut().filter = text;
        }
        Vec::new()
    }

    fn decided(&mut self) -> Vec<Effect> {
        let Some(Dialog { question, text }) = self.dialog.take() else { return Vec::new() };
        match question {
            Question::Filter => Vec::new(),
            Question::Find => self.story(text.trim()),
            Question::Reason { change, revision, .. } if !text.trim().is_empty() => {
                self.order(Order { change, reason: text, force: false, revision: Some(revision) })
            }
            Question::Reason { .. } => {
                self.say(Severity::Warning, "a reason is wanted: whoever reads it in the morning will ask");
                self.dialog = Some(Dialog { question, text });
                Vec::new()
            }
            Question::Force { order, .. } if text.trim() == "yes" => {
                self.order(Order { force: true, ..order })
            }
            Question::Force { .. } => {
                self.say(Severity::Info, "nothing was changed");
                Vec::new()
            }
            Question::Value { ref name, .. } => {
                let value = match text.trim() {
                    "default" => Ok(None),
                    number => number.parse::<f64>().map(Some),
                };
                match value {
                    Ok(value) => {
                        let title = match value {
                            Some(value) => format!("Set {name} to {value}"),
                            None => format!("Set {name} to what the settings say"),
                        };
                        let change = Change::SetLimit { name: name.clone(), value };
                        self.ask_reason(change, title, "it holds from now on, restarts too");
                    }
                    Err(_) => {
                        self.say(Severity::Warning, format!("'{text}' is neither a number nor `default`"));
                        self.dialog = Some(Dialog { question, text });
                    }
                }
                Vec::new()
            }
        }
    }

    fn order(&mut self, order: Order) -> Vec<Effect> {
        if let Link::Down(why) = &self.link {
            let message = format!("nothing was changed: not connected ({why})");
            self.say(Severity::Fault, message);
            return Vec::new();
        }
        self.say(Severity::Info, "ordered; waiting until it is kept");
        vec![ask(Tag::Order(order.clone()), Query::Order { order })]
    }
}
