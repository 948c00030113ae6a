//! Every decision of the router. The interface (settings, events, actions) is in `src/api.rs`,
//! the tables are in `src/state/`, the reasons at length in `docs/design.md`.
//! Read it along a request's path: asked -> held while all writers look full -> read at its home reader
//! -> written near that reader -> answered. Then come health, cold servers and the clock.
//!
//! | module | decides |
//! | --- | --- |
//! | `admission` | requests that come in, and are held before their read while all writers look full |
//! | `reading` | where it is read: at home, unless that is clearly busier than the least loaded |
//! | `writing` | where a request that has been read is written: at a writer with room near the state |
//! | `eligibility` | which servers a request may be sent to now: not cold, ill, or outside its group |
//! | `arrivals` | whether a write has reached a running server, and what is done while nobody knows |
//! | `attempts` | attempts: their send, their beginning, their end, and what follows it |
//! | `endings` | the end of a request: refused where trying again is harmless, else failed |
//! | `health` | health of servers, by symptom and against their peers |
//! | `slow_start` | slow start: what a server that has just started may be sent |
//! | `permits` | whether something may be sent, sent again or refused now: the rules, asked before each |
//! | `releasing` | how what is held for a request is let go of until some server has heard of it |
//! | `intake` | what is taken in while a router ends, and which connection makes room for another |
//! | `start_times` | when a listed process began, by the router's own clock |
//! | `members` | the list of servers |
//! | `connecting` | what a connection that did not come up says, and whether it is tried again |
//! | `deadlines` | the clock: deadlines, and attempts that take too long |
//! | `peers` | messages between routers |

mod admission;
pub mod arrivals;
mod attempts;
pub mod connecting;
mod constants;
mod deadlines;
mod eligibility;
mod endings;
mod health;
pub mod intake;
mod members;
mod peers;
pub mod permits;
mod reading;
pub mod releasing;
mod slow_start;
pub mod start_times;
mod writing;

use crate::api::*;
use crate::state::*;
use constants::*;

#[derive(Default)]
pub struct Policy {
    pub(crate) set: Settings,
    pub(crate) now: Nanos,
    out: Vec<Action>,
    pub(crate) servers: Servers,
    works: Works,
    /// Held before their read.
    waiting: Held,
    shares: Vec<Bucket>,
    prompts: Vec<Mean>, // tokens by class
    answers: Vec<Mean>,
    to_first: Lagged, // from the read's send to the first token
    reads: Reads,
    throttle: Throttle,        // of reads
    call_offs: f64,            // attempts that may be called off yet
    usual: Vec<(Lagged, f64)>, // by kind: mean requests a second sent to a warm server, and its weight
    moves: [Mean; 2],          // seconds to the first token of a write, in the reader's cell and out of it
    seen: Seen,
    told: Told,  // what other routers told that they hold
    untold: f64, // and what those not heard from may hold at each server
    told_at: Nanos,
    purses: [f64; 2], // what may be spent on messages and on probes, in points of service a request
    averages: Averages,
    ticking: bool,
    looked: Option<Turn>, // at held requests, up to this one
}

impl Policy {
    pub fn new(set: Settings) -> Policy {
        Policy {
            shares: vec![Bucket::default(); set.tenants.len()],
            prompts: vec![Mean::default(); set.classes.len()],
            answers: vec![Mean::default(); set.classes.len()],
            usual: vec![(Lagged::default(), 1.0); set.kinds.len() + 1],
            call_offs: 1.0,
            reads: Reads::guessed(
                set.classes.iter().map(|c| c.latency_objective_per_prompt_token).fold(0.0, f64::max),
            ),
            set,
            ..Policy::default()
        }
    }

    pub fn handle(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        // A clock that went back would make ages of less than nothing.
        self.now = now.max(self.now);
        let now = self.now;
        if let Event::GossipReceived { from, data } = event {
            self.told.hear(now, from, held_from_bytes(&data));
            return Vec::new();
        }
        let every = self.servers.walk_every(TICK, WALKED);
        self.averages.news(now, every, NEWS_FOR, &mut self.servers, &mut self.told);
        self.note_untold();
        match event {
            Event::EndpointsChanged { update: kind, endpoints: entries } => self.on_members(kind, &entries),
            Event::RequestArrived(request) => self.on_request(request),
            Event::TimerFired(TICK_TIMER) => self.on_tick(),
            Event::TimerFired(ASK_TIMER) => self.out.push(Action::WatchEndpoints(true)),
            Event::FirstToken { id, attempt, latency, .. } => self.on_first(id, attempt, latency),
            Event::AttemptFinished(outcome) => self.on_outcome(outcome),
            Event::ClientDisconnected(id) => self.end(id, None),
            Event::QuotaChanged { tenant, quota_per_second: per_s } => self.set.set_quota(tenant, per_s),
            Event::RouterCountChanged(routers) => self.set.router_count = routers.max(1),
            Event::ProbeFinished { server: s, status, latency: l, report } => {
                self.on_probed(s, status, l, report)
            }
            Event::TimerFired(_) | Event::ReservationAnswered { .. } | Event::GossipReceived { .. } => {}
        }
        self.admit();
        let unbegun = !self.waiting.is_empty() || !self.works.active().is_empty();
        if !self.ticking && (unbegun || self.servers.values().any(|s| s.unreachable)) {
            self.ticking = true;
            self.out.push(Action::SetTimer { token: TICK_TIMER, delay: TICK });
        }
        std::mem::take(&mut self.out)
    }
}
