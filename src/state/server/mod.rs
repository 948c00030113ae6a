//! One server as this router sees it: what the endpoint list says, the load there, its health and
//! its slow start. Each concern owns its part; this module joins what an event changes in several
//! of them.

mod ejections;
mod latency;
mod listing;
mod liveness;
mod local_load;
mod reported_load;
mod slow_start;

pub use ejections::{EjectionBounds, Ejections, TrafficClassKey};
pub use latency::LatencyRecord;
pub use listing::{Listing, ListingState};
pub use liveness::{Liveness, Reachability};
pub use local_load::LocalLoad;
pub use reported_load::ReportedLoad;
pub use slow_start::SlowStartRecord;

use super::Attempt;
use crate::api::{Endpoint, LoadReport, Nanos, Role, ServerId};

/// What this router knows of one server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The id under which it is listed.
    pub id: ServerId,
    /// What the endpoint list says.
    pub listing: Listing,
    /// The load from this router's attempts.
    pub local_load: LocalLoad,
    /// The load from other routers, by load reports and probes.
    pub reported_load: ReportedLoad,
    /// When it last said, or showed, that it is saturated.
    pub saturated_at: Option<Nanos>,
    /// Whether it answers, and its probes.
    pub liveness: Liveness,
    /// Ejections after failures.
    pub ejections: Ejections,
    /// Latency beside its peers'.
    pub latency: LatencyRecord,
    /// Slow start after its process began.
    pub slow_start: SlowStartRecord,
    /// How much affinity it attracts beside others; above 0.
    pub affinity_weight: f64,
}

impl Server {
    /// A server of which nothing is known but its role and KV cache capacity, in tokens; 0 if not
    /// known.
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

    /// When its process began, as listed or inferred; 0: long ago.
    pub fn process_started_at(&self) -> Nanos {
        self.listing.started_at.max(self.slow_start.recovered_at())
    }

    /// Takes its entry of the endpoint list. A new process begins with its slow-start budget in debt.
    pub fn update_listing(&mut self, now: Nanos, endpoint: &Endpoint, debt: f64) {
        self.listing.update(endpoint);
        let started_at = endpoint.started_at.unwrap_or(0);
        if started_at != self.listing.started_at {
            self.restart(now, started_at, debt);
        }
    }

    /// A new process: what was learnt of the old one is void, and its slow-start budget begins in
    /// debt. Own attempts there stay booked until their outcomes come.
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

    /// Books an attempt that is sent there; `lag` is that of load reports.
    pub fn begin_attempt(&mut self, now: Nanos, lag: Nanos, attempt: &Attempt) {
        self.local_load.add(now, lag, attempt);
    }

    /// Books the first token of an attempt.
    pub fn begin_streaming(&mut self, now: Nanos, lag: Nanos, attempt: &Attempt) {
        self.local_load.begin_streaming(now, lag, attempt);
    }

    /// Books the end of an attempt.
    pub fn end_attempt(&mut self, now: Nanos, lag: Nanos, attempt: &Attempt) {
        self.local_load.remove(now, lag, attempt);
    }

    /// Takes a load report. It counts own attempts too, as they were a while ago: what is left is
    /// the other routers'. `mean_prefill_tokens`: what a request has to prefill.
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
