//! What is known of one member, and how a claim about it is judged.

use crate::replay::Window;
use crate::{Nanos, MS};
use gaparch_protocol::fleet::{MemberInfo, MemberState};

/// Accusers remembered; more make no difference.
const MOST_ACCUSERS: usize = 4;

/// "No sign of life since."
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Suspicion {
    /// No later beat is known to whoever accuses it.
    pub silent: u64,
    /// Since when it is held here: from then on its patience runs.
    pub held_from: Nanos,
    pub accusers: Vec<String>,
    /// Since when this router itself has asked in vain, and how often.
    pub asked_from: Option<Nanos>,
    pub tries: u32,
}

impl Suspicion {
    /// Begins anew from now: what was held by time is worth nothing.
    pub fn begin_again(&mut self, now: Nanos) {
        (self.held_from, self.asked_from, self.tries) = (now, None, 0);
    }
}

/// Another process that says that it is the same member.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Other {
    pub facts: MemberInfo,
    pub window: Window,
    pub first_beat: u64,
    pub heard_at: Nanos,
    /// It goes on while the first does: two processes have one name.
    pub twin: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Member {
    pub facts: MemberInfo,
    pub state: MemberState,
    /// Since when it is in that state, here.
    pub since: Nanos,
    /// When the last new sign of life came, from whomever.
    pub alive_at: Nanos,
    /// What its beat is ahead of the clock here, in milliseconds, by the message that was least under way. Members
    /// have no clock in common: by this, a time here becomes a beat there, and a claim that was under way for long
    /// looks no newer than it is.
    ahead: i64,
    /// When this router heard it itself.
    pub direct_at: Option<Nanos>,
    pub suspicion: Option<Suspicion>,
    /// Dead: no later beat was known. Who said so.
    pub silent: u64,
    pub by: String,
    pub window: Window,
    pub other: Option<Other>,
    /// Members that it says it hears.
    pub hears: u16,
    /// Since when this router asks in vain though others hear it, how often, and whether that is told.
    pub doubt: Option<(Nanos, u32)>,
    pub deaf: bool,
    /// Dead ones only: the counts may go on without it.
    pub expired: bool,
}

/// What a claim changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing that others need to hear.
    Nothing,
    /// The claim is older than what is known here: say so.
    Dispute,
    Restarted,
    Returned(MemberState),
    Refuted,
    Suspected,
    /// One more accuser.
    Confirmed,
    Died,
    Left,
    /// Two processes, the same name, the same incarnation.
    Clash,
}

impl Member {
    pub fn new(facts: MemberInfo, now: Nanos) -> Member {
        Member {
            ahead: ahead(&facts, now),
            facts,
            state: MemberState::Alive,
            since: now,
            alive_at: now,
            direct_at: None,
            suspicion: None,
            silent: 0,
            by: String::new(),
            window: Window::default(),
            other: None,
            hears: 0,
            doubt: None,
            deaf: false,
            expired: false,
        }
    }

    /// May be at work, as far as is known here.
    pub fn is_present(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    pub fn is_twin(&self) -> bool {
        self.other.as_ref().is_some_and(|o| o.twin)
    }

    fn become_(&mut self, state: MemberState, now: Nanos) {
        (self.state, self.since, self.suspicion, self.expired) = (state, now, None, false);
        if state == MemberState::Alive {
            self.by.clear();
        }
    }

    /// The beat that it would have said at that time, had it been asked.
    pub fn beat_at(&self, at: Nanos) -> u64 {
        let here = i64::try_from(at / MS).unwrap_or(i64::MAX);
        u64::try_from(here.saturating_add(self.ahead)).unwrap_or(0).max(self.facts.heartbeat)
    }

    /// A sign of life, of the process and the beat in `facts`.
    pub fn lives(&mut self, facts: &MemberInfo, now: Nanos) -> Change {
        let known = &self.facts;
        if facts.incarnation < known.incarnation {
            return Change::Nothing;
        }
        if facts.incarnation > known.incarnation {
            return self.begin_anew(facts, now);
        }
        if facts.run_id != known.run_id {
            return Change::Clash;
        }
        if facts.heartbeat <= known.heartbeat {
            return Change::Nothing;
        }
        self.facts = facts.clone();
        self.alive_at = now;
        self.ahead = self.ahead.max(ahead(facts, now));
        match self.state {
            MemberState::Suspect if self.suspicion.as_ref().is_none_or(|s| facts.heartbeat > s.silent) => {
                self.become_(MemberState::Alive, now);
                Change::Refuted
            }
            MemberState::Dead if facts.heartbeat > self.silent => {
                self.become_(MemberState::Alive, now);
                Change::Returned(MemberState::Dead)
            }
            // Who has left comes back as a new process.
            _ => Change::Nothing,
        }
    }

    fn begin_anew(&mut self, facts: &MemberInfo, now: Nanos) -> Change {
        let was = self.state;
        let restarted = facts.run_id != self.facts.run_id;
        if restarted {
            // Of the earlier process it is remembered how far it was, in case it goes on: then there are two.
            let again = self.other.take().filter(|o| o.facts.run_id == facts.run_id);
            let twin = again.as_ref().is_some_and(|o| o.twin);
            let window =
                std::mem::replace(&mut self.window, again.map_or_else(Window::default, |o| o.window));
            let first_beat = self.facts.heartbeat;
            self.other = Some(Other { facts: self.facts.clone(), window, first_beat, heard_at: now, twin });
            (self.doubt, self.direct_at) = (None, None);
        }
        self.facts = facts.clone();
        self.alive_at = now;
        self.ahead = ahead(facts, now);
        self.become_(MemberState::Alive, now);
        match was {
            MemberState::Dead | MemberState::Left => Change::Returned(was),
            MemberState::Alive | MemberState::Suspect if restarted => Change::Restarted,
            MemberState::Alive | MemberState::Suspect => Change::Refuted,
        }
    }

    /// `by` knows of no beat later than `silent`.
    pub fn is_accused(&mut self, facts: &MemberInfo, by: &str, silent: u64, now: Nanos) -> Change {
        if let Some(change) = self.outdated(facts, silent, now) {
            return change;
        }
        match (self.state, &mut self.suspicion) {
            (MemberState::Alive, _) => {
                self.become_(MemberState::Suspect, now);
                let accusers = vec![by.to_owned()];
                self.suspicion =
                    Some(Suspicion { silent, held_from: now, accusers, asked_from: None, tries: 0 });
                Change::Suspected
            }
            (MemberState::Suspect, Some(suspicion)) => {
                suspicion.silent = suspicion.silent.max(silent);
                let known = suspicion.accusers.iter().any(|a| a == by);
                if known || suspicion.accusers.len() >= MOST_ACCUSERS {
                    return Change::Nothing;
                }
                suspicion.accusers.push(by.to_owned());
                Change::Confirmed
            }
            _ => Change::Nothing,
        }
    }

    /// `by` has given it up.
    pub fn is_declared_dead(&mut self, facts: &MemberInfo, by: &str, silent: u64, now: Nanos) -> Change {
        if let Some(change) = self.outdated(facts, silent, now) {
            return change;
        }
        if !self.is_present() {
            return Change::Nothing;
        }
        self.become_(MemberState::Dead, now);
        self.silent = silent;
        by.clone_into(&mut self.by);
        Change::Died
    }

    pub fn leaves(&mut self, facts: &MemberInfo, now: Nanos) -> Change {
        if facts.incarnation < self.facts.incarnation || self.state == MemberState::Left {
            return Change::Nothing;
        }
        self.facts = facts.clone();
        self.become_(MemberState::Left, now);
        Change::Left
    }

    /// What to do with a claim of death or silence that is older than what is known; `None` if it is not.
    fn outdated(&mut self, facts: &MemberInfo, silent: u64, now: Nanos) -> Option<Change> {
        let known = &self.facts;
        if facts.incarnation < known.incarnation {
            return Some(if self.is_present() { Change::Dispute } else { Change::Nothing });
        }
        if facts.incarnation > known.incarnation {
            // A process never heard of here. It has lived until then.
            self.begin_anew(facts, now);
            return None;
        }
        if facts.run_id != known.run_id {
            return Some(Change::Clash);
        }
        (known.heartbeat > silent).then_some(Change::Dispute)
    }
}

fn ahead(facts: &MemberInfo, now: Nanos) -> i64 {
    let signed = |ms: u64| i64::try_from(ms).unwrap_or(i64::MAX);
    signed(facts.heartbeat).saturating_sub(signed(now / MS))
}
