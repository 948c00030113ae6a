//! Operators' orders that hold for all routers of a site.
//!
//! Of each thing that orders are about (an engine, the intake, a limit) the latest is in force everywhere: the one with the
//! higher number, and of those with the same number the more careful one, then that of the router whose name comes
//! later. A number is one more than any its router knew of, so that an order given by somebody who has seen another goes
//! before that one, whatever any clock says; none is read here. Two that knew nothing of each other are both shown: the
//! one that gives way is told as overtaken, and kept in mind. What is over is kept as such, so that an old folder brings
//! nothing back. Health never makes or lifts an order.
//!
//! A router says that it keeps an order when it is in force there and on its disk. All that is said of orders may be lost,
//! late or doubled: digests of what each holds are compared for ever, and what differs is asked for.

use crate::{Nanos, MS};
use gaparch_protocol::ops::intent::{Change, Hold, Note};
use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::versions::{FleetOrder, OrderId, ReplicationMessage};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// Others to which each passes on an order that is news to it.
const PASS_ON: usize = 3;
/// And those told at once where it is given.
const TELL: usize = 8;
/// Between two questions whether others keep what was ordered here, and how many are asked each time.
const ASK_EVERY: Nanos = 200 * MS;
const ASK: usize = 8;
/// For how long those are asked after an order, and after a question who keeps them.
const WAIT: Nanos = 30_000 * MS;
const WAIT_ASKED: Nanos = 5_000 * MS;
/// Between two comparisons with others where nothing is waited for.
const COMPARE_EVERY: Nanos = 1_000 * MS;
/// Orders sent on one question.
const PAGE: usize = 16;
/// Things that orders are about; more are refused.
const MOST: usize = 4096;
/// Orders that gave way, kept in mind.
const MOST_OVERTAKEN: usize = 64;
/// Routers whose word is kept in mind.
const MOST_ROUTERS: usize = 2048;
/// A number so far ahead of any known is a defect's, and would stand before all orders for ever.
const MOST_AHEAD: u64 = 1 << 32;
/// Characters of who and why that fit into a datagram.
const MOST_WHO: usize = 60;
const MOST_WHY: usize = 240;

/// What an order is about, as a key.
pub fn subject(change: &Change) -> Option<String> {
    match change {
        Change::Hold { engine, .. } | Change::Free { engine } => Some(format!("engine {engine}")),
        Change::Pause {} | Change::Resume {} => Some("intake".to_owned()),
        Change::Limit { name, .. } => Some(format!("limit {name}")),
        Change::Stop {} => None,
    }
}

/// How careful a change is: what keeps more away from more goes first.
fn care(change: &Change) -> u64 {
    match change {
        Change::Hold { hold: Hold::Aside, .. } => 3,
        Change::Hold { hold: Hold::Drain, .. } | Change::Pause {} => 2,
        Change::Limit { value: Some(value), .. } if *value >= 0.0 => u64::MAX - value.to_bits(),
        _ => 0,
    }
}

fn cut(text: &str, most: usize) -> String {
    text.chars().take(most).collect()
}

#[derive(Clone, Debug, PartialEq)]
pub enum OrderHappening {
    /// Of two that knew nothing of each other, one has given way.
    Overtaken { order: Box<FleetOrder>, by: Box<FleetOrder> },
    /// Its number can't be right.
    Implausible { router: String, number: u64 },
    /// There are too many things that orders are about.
    NoRoom,
}

impl fmt::Display for OrderHappening {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let words = |order: &FleetOrder| {
            let what = match &order.change {
                Change::Hold { engine, hold } => format!("{hold} {engine}"),
                Change::Free { engine } => format!("undrain {engine}"),
                Change::Pause {} => "pause".to_owned(),
                Change::Resume {} => "resume".to_owned(),
                Change::Limit { name, value: Some(value) } => format!("limit {name} {value}"),
                Change::Limit { name, value: None } => format!("limit {name} default"),
                Change::Stop {} => "stop".to_owned(),
            };
            format!("'{what}' of {} at {} ({})", order.note.who, order.id.router, order.note.why)
        };
        match self {
            OrderHappening::Overtaken { order, by } => {
                write!(f, "{} gives way to {}: neither knew of the other", words(order), words(by))
            }
            OrderHappening::Implausible { router, number } => {
                write!(
                    f,
                    "router {router} states an order numbered {number}: it is not taken, and not passed on"
                )
            }
            OrderHappening::NoRoom => f.write_str("there is no room for more orders of the fleet"),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum OrderOutput {
    Say {
        to: String,
        talk: ReplicationMessage,
    },
    /// Put it in force here; it came from elsewhere.
    Apply(FleetOrder),
    /// All of these are to be on disk, and that is to be said.
    Keep(Vec<FleetOrder>),
    Happened(OrderHappening),
}

#[derive(Clone, Debug)]
struct Register {
    order: FleetOrder,
    digest: u64,
    in_force: bool,
    kept: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Word {
    kept: u64,
    at: Nanos,
}

/// Whether one router keeps all that is in force here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acked {
    pub router: String,
    pub keeps: bool,
    /// When it last said what it keeps; none: never.
    pub said_at: Option<Nanos>,
}

/// One router's part in keeping all at the same orders.
#[derive(Debug)]
pub struct Orders {
    router: String,
    incarnation: u64,
    rng: ChaCha8Rng,
    now: Nanos,
    registers: BTreeMap<String, Register>,
    number: u64,
    words: BTreeMap<String, Word>,
    others: Vec<String>,
    overtaken: VecDeque<(FleetOrder, FleetOrder)>,
    /// Until then somebody here waits to hear that all keep what was ordered.
    waits_until: Nanos,
    next_at: Nanos,
    /// Of whom orders were asked, when, how many of them may still come, and whether any was news.
    asked: Option<Asked>,
    cursor: String,
}

#[derive(Clone, Debug)]
struct Asked {
    of: String,
    at: Nanos,
    left: usize,
    news: bool,
}

fn digest(order: &FleetOrder) -> u64 {
    let hash = Sha256::digest(to_bytes(&order.id));
    hash.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

impl Orders {
    /// With the orders that are on disk; none is in force yet.
    pub fn new(router: &str, incarnation: u64, seed: u64, kept: Vec<FleetOrder>, now: Nanos) -> Orders {
        let mut orders = Orders {
            router: router.to_owned(),
            incarnation,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            registers: BTreeMap::new(),
            number: 0,
            words: BTreeMap::new(),
            others: Vec::new(),
            overtaken: VecDeque::new(),
            waits_until: 0,
            next_at: now,
            asked: None,
            cursor: String::new(),
        };
        for order in kept {
            orders.number = orders.number.max(order.id.number);
            if let Some(about) = subject(&order.change) {
                let digest = digest(&order);
                orders.registers.insert(about, Register { order, digest, in_force: false, kept: true });
            }
        }
        orders
    }

    pub fn next_at(&self) -> Nanos {
        self.next_at
    }

    /// All orders, those that are over among them.
    pub fn all(&self) -> Vec<FleetOrder> {
        self.registers.values().map(|r| r.order.clone()).collect()
    }

    /// Those that gave way to another that knew nothing of them, with that one.
    pub fn overtaken(&self) -> impl Iterator<Item = &(FleetOrder, FleetOrder)> {
        self.overtaken.iter()
    }

    fn held(&self) -> u64 {
        self.registers.values().fold(0, |sum, r| sum.wrapping_add(r.digest))
    }

    fn kept(&self) -> u64 {
        let kept = self.registers.values().filter(|r| r.in_force && r.kept);
        kept.fold(0, |sum, r| sum.wrapping_add(r.digest))
    }

    /// This incarnation is witnessed by others: what is ordered from now on bears it.
    pub fn on_incarnation(&mut self, incarnation: u64) {
        self.incarnation = self.incarnation.max(incarnation);
    }

    /// An operator has ordered something here, and it is in force.
    pub fn give(&mut self, now: Nanos, change: &Change, note: &Note, out: &mut Vec<OrderOutput>) {
        self.now = now.max(self.now);
        let Some(about) = subject(change) else { return };
        if self.registers.len() >= MOST && !self.registers.contains_key(&about) {
            return out.push(OrderOutput::Happened(OrderHappening::NoRoom));
        }
        self.number = self.number.saturating_add(1);
        let id = OrderId {
            number: self.number,
            restrictiveness: care(change),
            router: self.router.clone(),
            incarnation: self.incarnation,
        };
        let note = Note { who: cut(&note.who, MOST_WHO), why: cut(&note.why, MOST_WHY), at: note.at };
        let over = self.registers.get(&about).map(|r| r.order.id.clone());
        let order = FleetOrder { id, replaces: over, change: change.clone(), note };
        self.put(about, order.clone(), true);
        self.waits_until = self.now + WAIT;
        self.next_at = self.now;
        self.pass_on(&order, TELL, None, out);
        out.push(OrderOutput::Keep(self.all()));
    }

    fn put(&mut self, about: String, order: FleetOrder, in_force: bool) {
        let digest = digest(&order);
        self.registers.insert(about, Register { order, digest, in_force, kept: false });
    }

    fn pass_on(&mut self, order: &FleetOrder, most: usize, not: Option<&str>, out: &mut Vec<OrderOutput>) {
        let mut some: Vec<String> = self.others.iter().filter(|o| Some(o.as_str()) != not).cloned().collect();
        some.shuffle(&mut self.rng);
        some.truncate(most);
        out.extend(
            some.into_iter()
                .map(|to| OrderOutput::Say { to, talk: ReplicationMessage::Order { order: order.clone() } }),
        );
    }

    /// An order that came from elsewhere is in force here now.
    pub fn on_applied(&mut self, now: Nanos, id: &OrderId, out: &mut Vec<OrderOutput>) {
        self.now = now.max(self.now);
        let Some(register) = self.registers.values_mut().find(|r| r.order.id == *id) else { return };
        if !std::mem::replace(&mut register.in_force, true) && register.kept {
            self.tell_giver(id, out);
        }
    }

    /// These are on disk.
    pub fn on_kept(&mut self, now: Nanos, orders: &[FleetOrder], out: &mut Vec<OrderOutput>) {
        self.now = now.max(self.now);
        let mut givers = BTreeMap::new();
        for order in orders {
            let Some(register) = subject(&order.change).and_then(|about| self.registers.get_mut(&about))
            else {
                continue;
            };
            if register.order.id == order.id
                && !std::mem::replace(&mut register.kept, true)
                && register.in_force
            {
                givers.insert(order.id.router.clone(), order.id.clone());
            }
        }
        givers.values().for_each(|id| self.tell_giver(id, out));
    }

    /// Who gave an order waits to hear that it is in force and kept.
    fn tell_giver(&self, id: &OrderId, out: &mut Vec<OrderOutput>) {
        if id.router != self.router {
            out.push(OrderOutput::Say { to: id.router.clone(), talk: self.word(false) });
        }
    }

    fn word(&self, answer: bool) -> ReplicationMessage {
        ReplicationMessage::OrderSummary { held: self.held(), stored: self.kept(), wants_answer: answer }
    }

    /// Takes what another router says of orders; others words are left alone.
    pub fn on_talk(&mut self, now: Nanos, from: &str, talk: &ReplicationMessage, out: &mut Vec<OrderOutput>) {
        self.now = now.max(self.now);
        match talk {
            ReplicationMessage::OrderSummary { held, stored: kept, wants_answer: answer } => {
                if self.words.len() < MOST_ROUTERS || self.words.contains_key(from) {
                    self.words.insert(from.to_owned(), Word { kept: *kept, at: self.now });
                }
                if *answer {
                    out.push(OrderOutput::Say { to: from.to_owned(), talk: self.word(false) });
                }
                let due = self.asked.as_ref().is_none_or(|asked| self.now >= asked.at + ASK_EVERY);
                if *held != self.held() && due {
                    self.ask(from, out);
                }
            }
            ReplicationMessage::Order { order } => {
                let news = self.on_order(from, order, out);
                let Some(asked) = self.asked.as_mut().filter(|asked| asked.of == from) else { return };
                asked.news |= news;
                asked.left = asked.left.saturating_sub(1);
                // Where much is missing the next ones are asked for at once.
                if asked.left == 0 && std::mem::take(&mut asked.news) {
                    self.ask(from, out);
                }
            }
            ReplicationMessage::OrderRequest { after } => {
                // Those that follow, and from the beginning again once there is nothing more.
                let later = self.registers.iter().filter(|(about, _)| *about > after);
                let all = later.chain(self.registers.iter().filter(|(about, _)| *about <= after));
                let say = |(_, r): (&String, &Register)| OrderOutput::Say {
                    to: from.to_owned(),
                    talk: ReplicationMessage::Order { order: r.order.clone() },
                };
                out.extend(all.take(PAGE).map(say));
            }
            _ => {}
        }
    }

    fn ask(&mut self, of: &str, out: &mut Vec<OrderOutput>) {
        self.asked = Some(Asked { of: of.to_owned(), at: self.now, left: PAGE, news: false });
        let after = self.cursor.clone();
        out.push(OrderOutput::Say { to: of.to_owned(), talk: ReplicationMessage::OrderRequest { after } });
    }

    /// Takes an order of another router; whether it is news.
    fn on_order(&mut self, from: &str, order: &FleetOrder, out: &mut Vec<OrderOutput>) -> bool {
        let Some(about) = subject(&order.change) else { return false };
        self.cursor.clone_from(&about);
        if order.id.number > self.number.saturating_add(MOST_AHEAD)
            || order.id.restrictiveness != care(&order.change)
        {
            let (router, number) = (from.to_owned(), order.id.number);
            out.push(OrderOutput::Happened(OrderHappening::Implausible { router, number }));
            return false;
        }
        self.number = self.number.max(order.id.number);
        let Some(before) = self.registers.get(&about).map(|r| r.order.clone()) else {
            if self.registers.len() >= MOST {
                out.push(OrderOutput::Happened(OrderHappening::NoRoom));
                return false;
            }
            self.take(about, order, from, out);
            return true;
        };
        if before.id == order.id {
            return false;
        }
        if before.id > order.id {
            // Whoever says it has not heard of the later one.
            out.push(OrderOutput::Say {
                to: from.to_owned(),
                talk: ReplicationMessage::Order { order: before.clone() },
            });
            if !follows(&before, order) {
                self.give_way(order, &before, out);
            }
            return false;
        }
        if !follows(order, &before) {
            self.give_way(&before, order, out);
        }
        self.take(about, order, from, out);
        true
    }

    fn take(&mut self, about: String, order: &FleetOrder, from: &str, out: &mut Vec<OrderOutput>) {
        self.put(about, order.clone(), false);
        out.push(OrderOutput::Apply(order.clone()));
        out.push(OrderOutput::Keep(self.all()));
        self.pass_on(order, PASS_ON, Some(from), out);
    }

    fn give_way(&mut self, order: &FleetOrder, to: &FleetOrder, out: &mut Vec<OrderOutput>) {
        if self.overtaken.iter().any(|(known, _)| known.id == order.id) {
            return;
        }
        if self.overtaken.len() >= MOST_OVERTAKEN {
            self.overtaken.pop_front();
        }
        self.overtaken.push_back((order.clone(), to.clone()));
        let told = OrderHappening::Overtaken { order: Box::new(order.clone()), by: Box::new(to.clone()) };
        out.push(OrderOutput::Happened(told));
    }

    /// Does what has fallen due. `others`: the routers that are present.
    pub fn on_time(&mut self, now: Nanos, others: Vec<String>, out: &mut Vec<OrderOutput>) {
        self.now = now.max(self.now);
        self.others = others;
        let present = &self.others;
        self.words.retain(|router, _| present.contains(router));
        if self.now < self.next_at {
            return;
        }
        // What found no room, or was refused as this router stood then, is handed over again.
        let idle = self.registers.values().filter(|r| !r.in_force).take(PAGE);
        out.extend(idle.map(|r| OrderOutput::Apply(r.order.clone())));
        let held = self.held();
        let behind = |o: &&String| self.words.get(*o).is_none_or(|word| word.kept != held);
        let waits = self.now < self.waits_until;
        let mut some: Vec<String> = self.others.iter().filter(|o| !waits || behind(o)).cloned().collect();
        // Where nobody waits, or all have said it, one is compared with all the same.
        let (most, again) = match waits && !some.is_empty() {
            true => (ASK, ASK_EVERY),
            false => (1, COMPARE_EVERY),
        };
        if some.is_empty() {
            some.clone_from(&self.others);
        }
        some.shuffle(&mut self.rng);
        some.truncate(most);
        for to in some {
            out.push(OrderOutput::Say { to, talk: self.word(true) });
        }
        self.next_at = self.now + again;
    }

    /// Whether each of these routers keeps all that is in force here, this one first.
    /// Somebody waits for it: those that have not said so are asked.
    pub fn acked(&mut self, routers: &[String]) -> Vec<Acked> {
        self.waits_until = self.waits_until.max(self.now + WAIT_ASKED);
        self.next_at = self.next_at.min(self.now + ASK_EVERY);
        let held = self.held();
        let me = Acked { router: self.router.clone(), keeps: self.kept() == held, said_at: Some(self.now) };
        let one = |router: &String| {
            let word = self.words.get(router);
            Acked {
                router: router.clone(),
                keeps: word.is_some_and(|w| w.kept == held),
                said_at: word.map(|w| w.at),
            }
        };
        std::iter::once(me).chain(routers.iter().map(one)).collect()
    }
}

/// Whether whoever gave an order knew of the other, or of one that went before it.
fn follows(order: &FleetOrder, other: &FleetOrder) -> bool {
    order.replaces.as_ref().is_some_and(|over| *over >= other.id)
}
