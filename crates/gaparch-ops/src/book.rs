//! The operators' orders: which may be carried out, and what is in force.

use crate::limits;
use gaparch_protocol::ops::intent::{Change, Hold, Intent, LimitView, Note, Subject, Taken};
use gaparch_protocol::ops::view::EngineRole;
use gaparch_protocol::ops::{from_bytes, DenyCode, Order};
use std::collections::BTreeMap;
use thiserror::Error;

/// Bytes of a name or a reason at most.
pub const MOST_TEXT: usize = 500;
/// Subjects of which the last change is remembered; past it the oldest that are not in force are forgotten.
const MOST_SUBJECTS: usize = 20_000;
/// Of records on disk. Schema 1 had no revisions.
pub const SCHEMA: u16 = 2;

/// Why an order is not carried out.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct Denied {
    pub code: DenyCode,
    pub message: String,
}

impl Denied {
    pub fn new(code: DenyCode, message: impl Into<String>) -> Denied {
        Denied { code, message: message.into() }
    }
}

/// An engine as it stands when an order comes.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineStanding {
    pub name: String,
    pub role: EngineRole,
    /// Ready by the list and the operators, and the router can reach it.
    pub takes_new: bool,
    /// Own attempts there: not begun, and streaming.
    pub waiting: u32,
    pub streaming: u32,
}

/// The site as it stands when an order comes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Standing {
    pub engines: Vec<EngineStanding>,
    /// Requests that wait for a place, and that are being read.
    pub held: u32,
    pub reading: u32,
    /// Writers read by themselves where there is no reader.
    pub self_prefill: bool,
    pub limits: Vec<LimitView>,
}

/// What changes concern: of each the last one is remembered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum About {
    Engine(String),
    Intake,
    Limit(String),
}

fn about(change: &Change) -> Option<About> {
    match change {
        Change::Hold { engine, .. } | Change::Free { engine } => Some(About::Engine(engine.clone())),
        Change::Pause {} | Change::Resume {} => Some(About::Intake),
        Change::Limit { name, .. } => Some(About::Limit(name.clone())),
        Change::Stop {} => None,
    }
}

fn in_force(change: &Change) -> bool {
    matches!(change, Change::Hold { .. } | Change::Pause {} | Change::Limit { value: Some(_), .. })
}

/// What is in force by the operators' word, and who changed each thing last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Book {
    revision: u64,
    last: BTreeMap<About, Taken>,
}

impl Book {
    /// The book that these changes make, in their order.
    pub fn restore(changes: impl IntoIterator<Item = Taken>) -> Book {
        let mut book = Book::default();
        changes.into_iter().for_each(|taken| book.apply(taken));
        book
    }

    /// Changes that make this book.
    pub fn changes(&self) -> Vec<Taken> {
        let mut all: Vec<Taken> = self.last.values().cloned().collect();
        all.sort_by_key(|t| t.revision);
        all
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes over a change that was [proposed](Book::propose), here or before a restart.
    pub fn apply(&mut self, taken: Taken) {
        self.revision = self.revision.max(taken.revision);
        if let Some(about) = about(&taken.change) {
            self.last.insert(about, taken);
        }
        if self.last.len() > MOST_SUBJECTS {
            let idle = self.last.iter().filter(|(_, t)| !in_force(&t.change));
            let oldest = idle.min_by_key(|(_, t)| t.revision).map(|(about, _)| about.clone());
            oldest.into_iter().for_each(|about| drop(self.last.remove(&about)));
        }
    }

    /// How an operator holds an engine, and since when.
    pub fn hold(&self, engine: &str) -> Option<(Hold, u64)> {
        match self.last.get(&About::Engine(engine.to_owned())) {
            Some(Taken { change: Change::Hold { hold, .. }, note, .. }) => Some((*hold, note.at)),
            _ => None,
        }
    }

    pub fn paused(&self) -> bool {
        self.last.get(&About::Intake).is_some_and(|t| in_force(&t.change))
    }

    pub fn limit(&self, name: &str) -> Option<f64> {
        match self.last.get(&About::Limit(name.to_owned())).map(|t| &t.change) {
            Some(Change::Limit { value, .. }) => *value,
            _ => None,
        }
    }

    /// What is in force, the latest last.
    pub fn intents(&self, kept: impl Fn(u64) -> bool) -> Vec<Intent> {
        let intent = |taken: &Taken| {
            let subject = match &taken.change {
                Change::Hold { engine, hold } => Subject::Engine { engine: engine.clone(), hold: *hold },
                Change::Pause {} => Subject::Intake {},
                Change::Limit { name, value: Some(value) } => {
                    Subject::Limit { name: name.clone(), value: *value }
                }
                _ => return None,
            };
            let (note, revision) = (taken.note.clone(), taken.revision);
            Some(Intent { subject, note, revision, kept: kept(revision) })
        };
        let mut all: Vec<Intent> = self.last.values().filter_map(intent).collect();
        all.sort_by_key(|i| i.revision);
        all
    }

    /// The change that an order makes, and what it does to the requests at hand, in words.
    ///
    /// # Errors
    /// When it may not be carried out; the message says why and what would help.
    pub fn propose(
        &self,
        order: &Order,
        who: &str,
        at: u64,
        site: &Standing,
    ) -> Result<(Taken, String), Denied> {
        if order.why.trim().is_empty() && !matches!(order.change, Change::Stop {}) {
            return Err(Denied::new(
                DenyCode::Invalid,
                "a reason is wanted, for whoever reads it in the morning",
            ));
        }
        for (what, text) in [("the reason", order.why.as_str()), ("the name of who asks", who)] {
            if text.len() > MOST_TEXT {
                let message = format!("{what} has {} bytes, at most {MOST_TEXT} are kept", text.len());
                return Err(Denied::new(DenyCode::Invalid, message));
            }
        }
        self.not_changed_since(order)?;
        let effect = match &order.change {
            Change::Hold { engine, hold } => self.may_hold(engine, *hold, order.force, site)?,
            Change::Free { engine } => self.may_free(engine)?,
            Change::Pause {} => {
                format!("new requests are refused; {} held and {} being read go on", site.held, site.reading)
            }
            Change::Resume {} if !self.paused() => {
                return Err(Denied::new(DenyCode::Invalid, "the intake is not paused"));
            }
            Change::Resume {} => "new requests are taken again".to_owned(),
            Change::Limit { name, value } => limits::check(name, *value, &site.limits)?,
            Change::Stop {} => {
                format!("{} held and {} being read have the stated time", site.held, site.reading)
            }
        };
        let note = Note { who: who.to_owned(), why: order.why.trim().to_owned(), at };
        Ok((Taken { revision: self.revision + 1, change: order.change.clone(), note }, effect))
    }

    /// An order that another router has handed on, as it is taken here; `None` where it is what holds already. What would
    /// leave no engine of a role was weighed where it was given.
    ///
    /// # Errors
    /// When it sets a limit that this router does not have, or not that far.
    pub fn adopt(&self, change: &Change, note: &Note, site: &[LimitView]) -> Result<Option<Taken>, Denied> {
        if let Change::Limit { name, value } = change {
            limits::check(name, *value, site)?;
        }
        let known = about(change).and_then(|about| self.last.get(&about));
        let holds = known.is_some_and(|taken| taken.change == *change);
        let taken = || Taken { revision: self.revision + 1, change: change.clone(), note: note.clone() };
        Ok((!holds).then(taken))
    }

    /// Two operators may look at the same engine; the second to act should know of the first.
    fn not_changed_since(&self, order: &Order) -> Result<(), Denied> {
        let Some((about, seen)) = about(&order.change).zip(order.revision) else { return Ok(()) };
        match self.last.get(&about).filter(|taken| taken.revision > seen) {
            None => Ok(()),
            Some(Taken { change, note, .. }) => Err(Denied::new(
                DenyCode::Changed,
                format!("{} was there first: {} ({})", note.who, words(change), note.why),
            )),
        }
    }

    fn may_hold(&self, engine: &str, hold: Hold, force: bool, site: &Standing) -> Result<String, Denied> {
        let Some(this) = site.engines.iter().find(|e| e.name == engine) else {
            return Err(Denied::new(DenyCode::Unknown, format!("there is no engine '{engine}'")));
        };
        let left = |can: fn(EngineRole) -> bool| {
            site.engines.iter().filter(|e| e.takes_new && can(e.role) && e.name != engine).count()
        };
        let is_last = |can: fn(EngineRole) -> bool| this.takes_new && can(this.role) && left(can) == 0;
        let last_writer = is_last(|role| role != EngineRole::Read);
        let last_reader = is_last(|role| role != EngineRole::Write)
            && !(site.self_prefill && left(|role| role != EngineRole::Read) > 0);
        let waits = format!("{} held and {} being read", site.held, site.reading);
        let fate = "would wait for another until their time is up, and then be refused";
        if (last_writer || last_reader) && !force {
            let role = if last_writer { "writer" } else { "reader" };
            let message = format!(
                "{engine} is the last {role} that takes anything: {waits} requests {fate}, as would all that come; \
                 force it if that is wanted"
            );
            return Err(Denied::new(DenyCode::LeavesNone, message));
        }
        let after = if last_writer || last_reader { format!("; {waits} {fate}") } else { String::new() };
        let (waiting, streaming) = (this.waiting, this.streaming);
        let verb = match hold {
            Hold::Drain => "gets nothing new",
            Hold::Aside => "gets nothing new, and no connection once nothing runs there",
        };
        Ok(format!(
            "{engine} {verb}; {waiting} sent there and {streaming} streaming end in their own time{after}"
        ))
    }

    fn may_free(&self, engine: &str) -> Result<String, Denied> {
        match self.hold(engine) {
            Some(_) => Ok(format!("{engine} is what the list says again")),
            None => Err(Denied::new(DenyCode::Invalid, format!("no operator holds '{engine}'"))),
        }
    }
}

/// A change in words.
pub fn words(change: &Change) -> String {
    match change {
        Change::Hold { engine, hold: Hold::Drain } => format!("{engine} drained"),
        Change::Hold { engine, hold: Hold::Aside } => format!("{engine} set aside"),
        Change::Free { engine } => format!("{engine} undrained"),
        Change::Pause {} => "intake paused".to_owned(),
        Change::Resume {} => "intake resumed".to_owned(),
        Change::Limit { name, value: Some(value) } => format!("{name} set to {value}"),
        Change::Limit { name, value: None } => format!("{name} as the settings say"),
        Change::Stop {} => "stopped".to_owned(),
    }
}

/// A change as it was kept under a schema up to [`SCHEMA`]; `next` numbers those that have no number of their own.
pub fn read_change(schema: u16, bytes: &[u8], next: u64) -> Option<Taken> {
    match schema {
        1 => {
            let old: OldTaken = from_bytes(bytes)?;
            Some(Taken { revision: next, change: old.0, note: old.1 })
        }
        _ => from_bytes(bytes),
    }
}

/// As schema 1 kept it.
struct OldTaken(Change, Note);

impl gaparch_protocol::Wire for OldTaken {
    fn put(&self, out: &mut gaparch_protocol::BytesMut) {
        self.0.put(out);
        self.1.put(out);
    }

    fn take(body: &mut &[u8]) -> gaparch_protocol::ModalResult<Self> {
        Ok(OldTaken(Change::take(body)?, Note::take(body)?))
    }
}
