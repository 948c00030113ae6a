//! What the module thinks of each server, and what kept a request waiting, to be looked at: nothing here changes or
//! decides anything.

use crate::api::{ClassId, GiveUpReason, Nanos, QueueingReason, Role, ServerId, TenantId};
use crate::policy::Policy;
use crate::state::{Server, Work};

/// Why a server gets nothing new, or less than its peers, the strongest reason first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvoidReason {
    /// It is listed as draining or gone, or no longer listed.
    NotReady,
    /// It could not be reached, or has answered nothing for too long.
    Unreachable,
    /// It rests after failures until then.
    Ejected { until: Nanos },
    /// So much slower than its peers that it gets one request at a time.
    Outlier,
    /// It is cold, and has had its part of what warm peers get.
    WarmingUp,
    /// It said, or is guessed, to be full.
    Saturated,
}

/// A part of the traffic that a server refuses or leaves unanswered while it serves the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialEjection {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub until: Nanos,
}

/// One server as the module sees it now.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    pub server: ServerId,
    pub role: Role,
    pub avoid_reason: Option<AvoidReason>,
    /// At most one for each class and tenant; those that are over are left out.
    pub partial_ejections: Vec<PartialEjection>,
    /// Own attempts out there that have not begun an answer.
    pub awaiting_first_token: u32,
    /// Own prompt tokens that wait there to be read.
    pub queued_prompt_tokens: f64,
    /// Share of its memory held, by guess; 0 where its memory is not known.
    pub memory_utilization: f64,
    /// The same as it last reported.
    pub reported_memory_utilization: Option<f64>,
    /// Its latency as a multiple of its peers' median.
    pub latency_ratio: f64,
    /// What it may be sent at once while it is cold, in mean requests; `None` once it is warm.
    pub slow_start_budget: Option<f64>,
    /// When it last answered anything.
    pub last_response_at: Nanos,
}

impl Policy {
    /// What has kept a request that has no attempt out, as far as it can be told now.
    pub(crate) fn held_by(&self, work: &Work, reason: GiveUpReason) -> Option<QueueingReason> {
        let none = |reads| self.candidates(reads, work).is_empty();
        Some(match work {
            w if w.sent.is_some() || !reason.ends_a_wait() => return None,
            _ if none(false) => QueueingReason::NoDecodeWorker,
            w if w.state.is_none() && !self.set.decode_workers_can_prefill && none(true) => {
                QueueingReason::NoPrefillWorker
            }
            w if w.over_share => QueueingReason::OverQuota,
            w if !self.writers_have_room(w) => QueueingReason::DecodeWorkersSaturated,
            _ => QueueingReason::PrefillWorkersSaturated,
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
            part.map(|(class, tenant)| PartialEjection { class, tenant, until: rest.until })
        };
        let memory = if s.memory > 0.0 { self.memory_share(s) } else { 0.0 };
        ServerView {
            server: s.id,
            role: s.role,
            avoid_reason: self.avoided(s),
            partial_ejections: rests.filter_map(of_part).collect(),
            awaiting_first_token: s.unbegun,
            queued_prompt_tokens: s.unread,
            memory_utilization: memory,
            reported_memory_utilization: s.share,
            latency_ratio: s.pace_ratio,
            slow_start_budget: self.cold(s).then_some(s.budget.level),
            last_response_at: s.heard_at,
        }
    }

    fn avoided(&self, s: &Server) -> Option<AvoidReason> {
        let resting = s.rests.get(&None).map(|rest| rest.until).filter(|until| self.now < *until);
        match s {
            s if !s.ready => Some(AvoidReason::NotReady),
            s if s.unreachable => Some(AvoidReason::Unreachable),
            _ if resting.is_some() => resting.map(|until| AvoidReason::Ejected { until }),
            s if self.ill(s, None) => Some(AvoidReason::Outlier),
            s if !self.cold_budget_allows(s) => Some(AvoidReason::WarmingUp),
            s if s.role != Role::Prefill && !self.has_room(s, 0.0) => Some(AvoidReason::Saturated),
            _ => None,
        }
    }
}
