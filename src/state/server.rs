//! One server as this router sees it.

use super::{Bucket, Lagged, Mean, Recent, Sent};
use crate::api::{
    CellId, ClassId, Endpoint, KindId, LoadReport, Nanos, Role, ServerId, ServerState, TenantId, ZoneId,
};
use std::collections::BTreeMap;

/// Traffic that a server may treat unlike the rest.
pub type Part = (ClassId, Option<TenantId>);

/// A rest that grows with each failure and shrinks with each success.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rest {
    pub until: Nanos,
    span: Nanos,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub id: ServerId,
    pub zone: Option<ZoneId>,
    pub cell: Option<CellId>,
    pub kind: Option<KindId>,
    pub role: Role,
    pub weight: f64,
    /// Tokens of memory.
    pub memory: f64,
    pub ready_at: Nanos,
    /// Listed, and neither draining nor gone.
    pub ready: bool,
    /// No longer listed.
    pub gone: bool,
    /// Own attempts out that have not begun an answer.
    pub unbegun: u32,
    /// Own prompt tokens sent there to be read, not yet read.
    pub unread: f64,
    /// Own guessed tokens of memory sent there to be written.
    pub held: f64,
    /// `held` and `unbegun` as a report, which is late, can have counted them.
    pub held_seen: Lagged,
    pub unbegun_seen: Lagged,
    /// What other routers hold there, by the reports: tokens of memory, tokens to read.
    pub others: Option<f64>,
    pub others_unread: Option<f64>,
    /// When a report last told of them.
    pub news_at: Nanos,
    /// Share of its memory held, as last reported.
    pub share: Option<f64>,
    pub full_at: Option<Nanos>,
    /// Last time that it answered anything at all.
    pub heard_at: Nanos,
    /// When the latest exchange began that it has answered: its process ran after that.
    pub ran_at: Nanos,
    /// Last time that it answered a probe at once.
    pub quick_at: Nanos,
    /// When a probe that is out was sent.
    pub asked_at: Option<Nanos>,
    /// Rests after failures, of all traffic or of a part of it.
    pub rests: BTreeMap<Option<Part>, Rest>,
    /// Latency for the work asked of it.
    pub pace: Mean,
    /// That latency as a multiple of its peers' median; 1 until it can be told.
    pub pace_ratio: f64,
    pub unreachable: bool,
    /// Unreachable because a connection broke or was not to be had.
    pub lost: bool,
    pub probe_at: Nanos,
    /// When it could be reached again, if it could not.
    pub back_at: Nanos,
    /// How much it is home to, beside others.
    pub home: f64,
    /// Work sent there lately, in mean requests.
    pub sent: Recent,
    pub budget: Bucket,
}

pub fn new_server(id: ServerId, role: Role, memory: f64) -> Server {
    Server {
        id,
        zone: None,
        cell: None,
        kind: None,
        role,
        weight: 1.0,
        memory,
        ready_at: 0,
        ready: false,
        gone: false,
        unbegun: 0,
        unread: 0.0,
        held: 0.0,
        held_seen: Lagged::default(),
        unbegun_seen: Lagged::default(),
        others: None,
        others_unread: None,
        news_at: 0,
        share: None,
        full_at: None,
        heard_at: 0,
        ran_at: 0,
        quick_at: 0,
        asked_at: None,
        rests: BTreeMap::new(),
        pace: Mean::default(),
        pace_ratio: 1.0,
        unreachable: false,
        lost: false,
        probe_at: 0,
        back_at: 0,
        home: 1.0,
        sent: Recent::default(),
        budget: Bucket::default(),
    }
}

impl Server {
    pub fn rest(&mut self, now: Nanos, part: Option<Part>, least: Nanos, most: Nanos) {
        let rest = self.rests.entry(part).or_default();
        rest.span = (rest.span * 2).max(least).min(most);
        rest.until = now + rest.span;
    }

    /// A probe that was sent so long ago, or longer, is still out.
    pub fn asked_before(&self, now: Nanos, span: Nanos) -> bool {
        self.asked_at.is_some_and(|at| now >= at + span)
    }

    /// It has answered an exchange that began at that time.
    pub fn answered(&mut self, now: Nanos, latency: Nanos) {
        self.ran_at = self.ran_at.max(now.saturating_sub(latency));
    }

    /// Its process is known to have run after that time.
    pub fn runs_since(&self, at: Nanos) -> bool {
        self.ran_at > at
    }

    pub fn full_within(&self, now: Nanos, span: Nanos) -> bool {
        self.full_at.is_some_and(|at| now < at + span)
    }

    /// When its process began, as listed or guessed; 0: long ago.
    pub fn began_at(&self) -> Nanos {
        self.ready_at.max(self.back_at)
    }

    pub fn served(&mut self, part: Part) {
        for part in [None, Some(part)] {
            self.rests.entry(part).and_modify(|rest| rest.span /= 2);
        }
    }

    pub fn rests(&self, now: Nanos, part: Option<Part>) -> bool {
        self.rests.get(&part).is_some_and(|rest| now < rest.until)
    }

    /// To be called before own work there changes, or is compared with a report.
    pub fn follow(&mut self, now: Nanos, lag: Nanos) {
        self.held_seen.follow(now, self.held, lag);
        self.unbegun_seen.follow(now, f64::from(self.unbegun), lag);
    }

    /// A report counts own work too, as it was a while ago; what is left is the others'. `size`: tokens to
    /// read for a request.
    pub fn note_report(&mut self, now: Nanos, lag: Nanos, report: Option<LoadReport>, size: f64) {
        let Some(report) = report else { return };
        self.follow(now, lag);
        self.news_at = now;
        self.share = report.memory_utilization;
        if let Some(share) = report.memory_utilization.filter(|_| self.role != Role::Prefill) {
            self.others = Some((share * self.memory - self.held_seen.value).max(0.0));
        }
        let requests = report.in_flight.or(report.queued).map(|n| (n - self.unbegun_seen.value) * size);
        let waiting = report.pending_prefill_kilotokens.map(|k| k * 1000.0 - self.unread).or(requests);
        if let Some(tokens) = waiting.filter(|_| self.role != Role::Decode) {
            self.others_unread = Some(tokens.max(0.0));
        }
    }

    /// What the list says of it; a new process begins with its cold budget in debt.
    pub fn listed(&mut self, now: Nanos, e: &Endpoint, debt: f64) {
        (self.zone, self.cell, self.kind) = (e.zone, e.cell, e.kind);
        self.weight = e.weight.filter(|w| *w > 0.0).unwrap_or(1.0);
        (self.ready, self.gone) = (e.state == ServerState::Ready, e.state == ServerState::Removed);
        if e.started_at.unwrap_or(0) != self.ready_at {
            self.restarted(now, e.started_at.unwrap_or(0), debt);
        }
    }

    pub fn take(&mut self, now: Nanos, lag: Nanos, sent: &Sent) {
        self.follow(now, lag);
        self.unbegun += 1;
        self.held += sent.held;
        self.unread += sent.unread;
    }

    pub fn begin(&mut self, now: Nanos, lag: Nanos, sent: &Sent) {
        self.follow(now, lag);
        self.unbegun = self.unbegun.saturating_sub(1);
        self.unread -= sent.unread;
    }

    pub fn close(&mut self, now: Nanos, lag: Nanos, sent: &Sent) {
        if sent.begun {
            self.follow(now, lag);
        } else {
            self.begin(now, lag, sent);
        }
        self.held -= sent.held;
    }

    /// A new process: its past says nothing, and its cold budget starts empty. Own work there stays booked
    /// until its outcomes come.
    pub fn restarted(&mut self, now: Nanos, ready_at: Nanos, debt: f64) {
        let old = self.clone();
        *self = Server {
            zone: old.zone,
            cell: old.cell,
            kind: old.kind,
            weight: old.weight,
            home: old.home,
            ready: old.ready,
            gone: old.gone,
            unbegun: old.unbegun,
            unread: old.unread,
            held: old.held,
            held_seen: old.held_seen,
            unbegun_seen: old.unbegun_seen,
            heard_at: old.heard_at,
            asked_at: old.asked_at,
            ready_at,
            budget: Bucket::owing(now, debt),
            ..new_server(old.id, old.role, old.memory)
        };
    }
}
