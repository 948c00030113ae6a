//! The state of one server as this router sees it: its list entry, load, health and slow start. Each concern
//! has its own submodule; this module handles the events that change several of them.

mod ejections;
mod latency;
mod listing;
mod liveness;
mod local_load;
mod reported_load;
mod slow_start;
mod slow_start_budget;

pub use ejections::{EjectionBounds, Ejections, TrafficClassKey};
pub use latency::LatencyRecord;
pub use listing::{Listing, ListingState};
pub use liveness::{Liveness, Reachability};
pub use local_load::LocalLoad;
pub use reported_load::ReportedLoad;
pub use slow_start::SlowStartRecord;

use slow_start_budget::SlowStartBudget;

use super::Attempt;
use crate::api::{Endpoint, LoadReport, Nanos, Role, ServerId};

/// What this router knows about one server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its id in the endpoint list.
    pub id: ServerId,
    /// Its entry in the endpoint list.
    pub listing: Listing,
    /// The load from this router's own attempts.
    pub local_load: LocalLoad,
    /// The load from other routers, according to load reports and probes.
    pub reported_load: ReportedLoad,
    /// When it last rejected an attempt as saturated, or a late answer to a probe or an attempt showed it.
    pub saturated_at: Option<Nanos>,
    /// Whether it responds, and its probes.
    pub liveness: Liveness,
    /// Ejections after failures.
    pub ejections: Ejections,
    /// Its latency compared with its role.
    pub latency: LatencyRecord,
    /// Slow start after its process started.
    pub slow_start: SlowStartRecord,
    /// Its weight in rendezvous hashing for affinity; greater than 0.
    pub affinity_weight: f64,
}

impl Server {
    /// A server of which only the role and the KV cache capacity in tokens (0 if unknown) are known.
    pub fn new(id: ServerId, role: Role, kv_capacity_tokens: f64) -> Server {
        Server {
            id,
            listing: Listing::new(role, kv_capacity_tokens),
            local_load: LocalLoad::default(),
            reported_load: ReportedLoad::default(),
            saturated_at: None,
            liveness: Liveness::default(),
            ejections: Ejections::default(),
            latency: LatencyRecord::default(),
            slow_start: SlowStartRecord::default(),
            affinity_weight: 1.0,
        }
    }

    /// Whether it was saturated within the last `span`.
    pub fn was_saturated_within(&self, now: Nanos, span: Nanos) -> bool {
        self.saturated_at.is_some_and(|at| now < at + span)
    }

    /// When its process started, as listed or inferred from a recovery; 0 if unknown or long ago.
    pub fn process_started_at(&self) -> Nanos {
        self.listing.started_at.max(self.slow_start.recovered_at())
    }

    /// Applies its entry in the endpoint list. If the entry shows a new process, its slow-start budget starts
    /// `debt` below zero.
    pub fn update_listing(&mut self, now: Nanos, endpoint: &Endpoint, debt: f64) {
        self.listing.update(endpoint);
        let started_at = endpoint.started_at.unwrap_or(0);
        if started_at != self.listing.started_at {
            self.restart(now, started_at, debt);
        }
    }

    /// Resets the state for a new process, whose slow-start budget starts `debt` below zero: what was learned
    /// about the old process no longer holds. The load of this router's own attempts is kept until their
    /// outcomes arrive.
    fn restart(&mut self, now: Nanos, started_at: Nanos, debt: f64) {
        let listing = Listing { started_at, ..self.listing.clone() };
        *self = Server {
            local_load: self.local_load,
            liveness: self.liveness.after_restart(),
            slow_start: SlowStartRecord::in_debt(now, debt),
            affinity_weight: self.affinity_weight,
            ..Server::new(self.id, listing.role, listing.kv_capacity_tokens)
        };
        self.listing = listing;
    }

    /// Records an attempt sent to the server; `lag` is the lag of load reports.
    pub fn begin_attempt(&mut self, now: Nanos, lag: Nanos, attempt: &Attempt) {
        self.local_load.add(now, lag, attempt);
    }

    /// Records the first token of an attempt.
    pub fn begin_streaming(&mut self, now: Nanos, lag: Nanos, attempt: &Attempt) {
        self.local_load.begin_streaming(now, lag, attempt);
    }

    /// Records the end of an attempt.
    pub fn end_attempt(&mut self, now: Nanos, lag: Nanos, attempt: &Attempt) {
        self.local_load.remove(now, lag, attempt);
    }

    /// Records a load report. The report includes this router's own attempts, as they were about `lag` ago;
    /// subtracting them leaves the load from other routers. `mean_prefill_tokens` is the mean number of
    /// tokens that a request has to prefill.
    pub fn record_report(
        &mut self,
        now: Nanos,
        lag: Nanos,
        report: Option<LoadReport>,
        mean_prefill_tokens: f64,
    ) {
        let Some(report) = report else { return };
        self.local_load.advance_lag(now, lag);
        self.reported_load.record(now, &report, &self.local_load, &self.listing, mean_prefill_tokens);
    }
}
