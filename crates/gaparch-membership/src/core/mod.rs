//! One member: what it is told, what it does.

mod exchange;
mod messages;
mod news;
mod own;
mod probing;
mod sending;

use crate::edges::{Edges, MOST_OF_ONE};
use crate::hearing::Hearing;
use crate::member::{Change, Member, Other};
use crate::probe::{Probe, Probes, Relayed};
use crate::replay::Window;
use crate::settings::{Settings, MOST_MEMBERS};
use crate::spread::{Queue, Topic};
use crate::standing::Standing;
use crate::view::{Happening, MemberView, View};
use crate::{Nanos, CODE, MS};
use gaparch_protocol::fleet::{
    self, MemberInfo, MemberState, Message, MessageBody, Update, MAX_DATAGRAM_BYTES,
};
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Others that are asked to ping a member that does not answer.
const HELPERS: usize = 3;
/// Members that are pinged beside the one whose turn it is: suspects, and those others hear and this router does not.
const EXTRA: usize = 6;
/// Own pings in vain before a suspect may be given up; at every second some others are asked to try.
const TRIES: u32 = 4;
/// Every so many periods one that counts as dead, and a seed that nobody answers at, is pinged: a split may be healed.
const OLD_ONES_EVERY: u64 = 5;
/// Pings in vain, with nothing heard, before a link counts as cut in one direction.
const DEAF_AFTER: u32 = 15;
/// Between two exchanges of all that is known; an exchange that is cut short is tried again after the second.
const EXCHANGE_EVERY: Nanos = 10_000 * MS;
const EXCHANGE_AGAIN: Nanos = 500 * MS;
/// And where more news than that wait to be passed on.
const EXCHANGE_SOON: Nanos = 1_000 * MS;
const MUCH_NEWS: usize = 16;
/// What is remembered of the dead and those that left, so that old news does not bring them back.
const REMEMBER: Nanos = 3_600_000 * MS;
/// A process that was heard this lately runs now.
const FRESH: Nanos = 3_000 * MS;
/// Whoever hears of an earlier process of its own name in this time after its start had a disk that went back; later
/// it is another that was started.
const SETTLED_AFTER: Nanos = 10_000 * MS;
/// Milliseconds that a clock may be wrong by: a year.
const MOST_BEHIND: u64 = 1 << 35;
/// A second process of a name has to be seen to run on for so long by its own clock.
const TWIN_BEATS: u64 = 1_000;
/// And is forgotten when it was not heard for so long.
const TWIN_FOR: Nanos = 30_000 * MS;
/// A tick that is so late is worth an event.
const PAUSE_TOLD: Nanos = 1_000 * MS;
/// Bytes a second that one router sends, whatever the number of members, and how much may come at once.
const BYTES_PER_S: f64 = 65_536.0;
const BYTES_AT_ONCE: f64 = 65_536.0;
/// Members told directly by one that leaves; the rest hears it from them.
const FAREWELLS: usize = 32;
/// Room that the code, the head and the lists' counts take.
const OVERHEAD: usize = CODE + 16;

/// What a member does.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// Keep this incarnation on disk; nothing waits for it.
    Keep {
        incarnation: u64,
    },
    /// So many routers may be at work.
    Routers(u32),
    Happened(Happening),
    /// Another part of a router speaks to the same part here.
    Talk {
        from: String,
        bytes: Vec<u8>,
    },
}

/// Counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub replayed: u64,
    /// For another member, of this very process, or of a process that is over.
    pub misdirected: u64,
    /// Kept back since too much was sent.
    pub throttled: u64,
    /// Members there was no room for.
    pub no_room: u64,
    pub suspicions: u64,
    pub deaths: u64,
    /// Deaths and suspicions that turned out wrong.
    pub returns: u64,
    pub cleared: u64,
}

/// One member of the fleet.
#[derive(Debug)]
pub struct Membership {
    set: Settings,
    rng: ChaCha8Rng,
    began: Nanos,
    now: Nanos,
    incarnation: u64,
    kept: u64,
    members: BTreeMap<String, Member>,
    edges: Edges,
    queue: Queue,
    probes: Probes,
    hearing: Hearing,
    standing: Standing,
    divisor: u32,
    counters: Counters,
    /// Another process of this router's own name.
    own_twin: Option<Other>,
    /// The other process that was last outdone by a higher incarnation.
    outdone: Option<u64>,
    /// Milliseconds that the beats were pushed on.
    pushed: u64,
    /// Members heard directly of late, as of the last tick.
    hears: u16,
    seq: u64,
    nonce: u64,
    rounds: u64,
    tick_at: Nanos,
    /// When those in doubt are asked next: each period, however patient this router is with others.
    doubt_at: Nanos,
    /// When all that is known is asked for again, of whom, and from which name on.
    exchange_at: Nanos,
    exchange: Option<(String, String)>,
    purse: f64,
    purse_at: Nanos,
    too_many: bool,
    leaving: bool,
}

impl Membership {
    pub fn new(set: Settings, now: Nanos, out: &mut Vec<Output>) -> Membership {
        let mut seed = [0; 32];
        seed[..8].copy_from_slice(&set.seed.to_le_bytes());
        seed[8..16].copy_from_slice(&set.run.to_le_bytes());
        let mut rng = ChaCha8Rng::from_seed(seed);
        // Routers that are started together must not ask in step for ever.
        let tick_at = now + rng.random_range(0..set.period.max(1));
        let mut membership = Membership {
            rng,
            began: now,
            now,
            incarnation: set.incarnation,
            kept: set.incarnation.saturating_sub(1),
            members: BTreeMap::new(),
            edges: Edges::default(),
            queue: Queue::default(),
            probes: Probes::default(),
            hearing: Hearing { heard_at: now, answered_at: now, ..Hearing::default() },
            standing: Standing { present: 1, counted: 1, known: 1, ..Standing::default() },
            divisor: 0,
            counters: Counters::default(),
            own_twin: None,
            outdone: None,
            pushed: 0,
            hears: 0,
            seq: 0,
            nonce: 0,
            rounds: 0,
            tick_at,
            doubt_at: tick_at,
            exchange_at: now,
            exchange: None,
            purse: BYTES_AT_ONCE,
            purse_at: now,
            too_many: false,
            leaving: false,
            set,
        };
        out.push(Output::Keep { incarnation: membership.incarnation });
        membership.count(out);
        membership
    }

    /// When [`on_time`](Membership::on_time) has something to do.
    pub fn next_at(&self) -> Nanos {
        self.tick_at
    }

    /// What was counted since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// By how many this router divides what all share.
    pub fn divisor(&self) -> u32 {
        self.divisor
    }

    /// Does what has fallen due.
    pub fn on_time(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        if self.now < self.tick_at || self.leaving {
            return;
        }
        let late = self.now - self.tick_at;
        let half = (self.set.period / 2).max(1);
        // What was missed is not made up for: a burst of old questions helps nobody.
        self.tick_at = if late > half { self.now + half } else { self.tick_at + half };
        if late > self.set.pause() {
            self.wake(late, out);
        } else if late > half && self.set.refined {
            self.hearing.worse(1);
        }
        for relayed in self.probes.overdue(self.now) {
            self.say(&relayed.asker, MessageBody::Nack { nonce: relayed.nonce }, &[], out);
        }
        self.look_at_probe(out);
        self.look_at_suspects(out);
        if self.now >= self.probes.next_at {
            self.probe(out);
        }
        if self.now >= self.doubt_at && self.set.refined {
            self.doubt_at = self.now + self.set.period;
            self.probe_doubtful(out);
        }
        self.exchange(out);
        self.look_at_hearing(out);
        self.forget();
        self.count(out);
    }

    /// It was stopped: whatever it held by time is given up before it acts on it.
    fn wake(&mut self, stopped: Nanos, out: &mut Vec<Output>) {
        if !self.set.refined {
            return;
        }
        if stopped >= PAUSE_TOLD {
            out.push(Output::Happened(Happening::Woke { stopped }));
        }
        self.hearing.unsure_after = Some(self.nonce);
        self.hearing.worse(1);
        self.hearing.heard_at = self.now;
        self.hearing.answered_at = self.now;
        self.probes.current = None;
        self.probes.next_at = self.now;
        for member in self.members.values_mut() {
            member.doubt = None;
            member.suspicion.iter_mut().for_each(|s| s.begin_again(self.now));
        }
    }

    /// Whether this router may hold anything against others now.
    fn may_accuse(&self) -> bool {
        if !self.set.refined {
            return true;
        }
        // Where there is one other, its silence and one's own deafness can't be told apart; nobody else is misled.
        let lonely = self.hearing.nobody && self.present().count() > 1;
        self.hearing.unsure_after.is_none() && !lonely
    }

    fn present(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.members.iter().filter(|(_, m)| m.is_present())
    }
}

/// Takes note of another process of a name; `None` for a message seen before, `Some(true)` when it is now known to run
/// on beside the first, which was last heard at `first_alive_at`.
fn another(
    other: &mut Option<Other>,
    from: &MemberInfo,
    seq: Option<u64>,
    first_alive_at: Nanos,
    now: Nanos,
) -> Option<bool> {
    if other.as_ref().is_none_or(|o| o.facts.run_id != from.run_id) {
        let first_beat = from.heartbeat;
        let window = Window::default();
        *other = Some(Other { facts: from.clone(), window, first_beat, heard_at: now, twin: false });
    }
    let known = other.as_mut()?;
    // What others tell of it has no number: its beats must go on.
    if seq.is_some_and(|seq| !known.window.admit(seq)) {
        return None;
    }
    if from.heartbeat > known.facts.heartbeat {
        known.facts = from.clone();
        known.heard_at = now;
    }
    let both = now.saturating_sub(first_alive_at) < FRESH;
    let found = both && !known.twin && known.facts.heartbeat >= known.first_beat + TWIN_BEATS;
    known.twin |= found;
    Some(found)
}
