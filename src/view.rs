//! What the module thinks of each server, and what kept a request waiting, to be looked at: nothing here changes or
//! decides anything.

use crate::api::{ClassId, Holdup, Nanos, Reason, Role, ServerId, TenantId};
use crate::policy::Policy;
use crate::state::{Server, Work};

/// Why a server gets nothing new, or less than its peers, the strongest reason first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Avoided {
    /// It is listed as draining or gone, or no longer listed.
    NotReady,
    /// It could not be reached, or has answered nothing for too long.
    Unreachable,
    /// It rests after failures until then.
    Resting { until: Nanos },
    /// So much slower than its peers that it gets one request at a time.
    Slow,
    /// It is cold, and has had its part of what warm peers get.
    Cold,
    /// It said, or is guessed, to be full.
    Full,
}

/// A part of the traffic that a server refuses or leaves unanswered while it serves the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartRest {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub until: Nanos,
}

/// One server as the module sees it now.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    pub server: ServerId,
    pub role: Role,
    pub avoided: Option<Avoided>,
    /// At most one for each class and tenant; those that are over are left out.
    pub part_rests: Vec<PartRest>,
    /// Own attempts out there that have not begun an answer.
    pub unbegun: u32,
    /// Own prompt tokens that wait there to be read.
    pub unread: f64,
    /// Share of its memory held, by guess; 0 where its memory is not known.
    pub memory: f64,
    /// The same as it last reported.
    pub memory_reported: Option<f64>,
    /// Its latency as a multiple of its peers' median.
    pub pace: f64,
    /// What it may be sent at once while it is cold, in mean requests; `None` once it is warm.
    pub cold_budget: Option<f64>,
    /// When it last answered anything.
    pub heard_at: Nanos,
}

impl Policy {
    /// What has kept a request that has no attempt out, as far as it can be told now.
    pub(crate) fn held_by(&self, work: &Work, reason: Reason) -> Option<Holdup> {
        let none = |reads| self.candidates(reads, work).is_empty();
        Some(match work {
            w if w.sent.is_some() || !reason.waited() => return None,
            _ if none(false) => Holdup::NoWriter,
            w if w.state.is_none() && !self.set.self_prefill && none(true) => Holdup::NoReader,
            w if w.over_share => Holdup::OverShare,
            w if !self.writers_have_room(w) => Holdup::WritersFull,
            _ => Holdup::ReadersFull,
        })
    }

    /// Whether a server has answered something that was sent after that time.
    pub fn has_run_since(&self, server: ServerId, at: Nanos) -> bool {
        self.servers.get(&server).is_some_and(|s| s.runs_since(at))
    }

    /// All servers that it was ever told of, in the order of their ids.
    pub fn views(&self) -> impl Iterator<Item = ServerView> + '_ {
        self.servers.values().map(|s| self.view(s))
    }

    fn view(&self, s: &Server) -> ServerView {
        let rests = s.rests.iter().filter(|(_, rest)| self.now < rest.until);
        let of_part = |(part, rest): (&Option<(ClassId, Option<TenantId>)>, &crate::state::Rest)| {
            part.map(|(class, tenant)| PartRest { class, tenant, until: rest.until })
        };
        let memory = if s.memory > 0.0 { self.memory_share(s) } else { 0.0 };
        ServerView {
            server: s.id,
            role: s.role,
            avoided: self.avoided(s),
            part_rests: rests.filter_map(of_part).collect(),
            unbegun: s.unbegun,
            unread: s.unread,
            memory,
            memory_reported: s.share,
            pace: s.pace_ratio,
            cold_budget: self.cold(s).then_some(s.budget.level),
            heard_at: s.heard_at,
        }
    }

    fn avoided(&self, s: &Server) -> Option<Avoided> {
        let resting = s.rests.get(&None).map(|rest| rest.until).filter(|until| self.now < *until);
        match s {
            s if !s.ready => Some(Avoided::NotReady),
            s if s.unreachable => Some(Avoided::Unreachable),
            _ if resting.is_some() => resting.map(|until| Avoided::Resting { until }),
            s if self.ill(s, None) => Some(Avoided::Slow),
            s if !self.cold_budget_allows(s) => Some(Avoided::Cold),
            s if s.role != Role::Read && !self.has_room(s, 0.0) => Some(Avoided::Full),
            _ => None,
        }
    }
}
