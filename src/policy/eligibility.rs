//! Which servers a request may be sent to now: not in slow start without budget, unhealthy, or
//! outside the scope in which its repeats are deduplicated.

use super::constants::{NEIGHBORHOOD, TICK_INTERVAL};
use super::health::is_unhealthy;
use super::send_guards::{may_repeat, Repeat};
use super::slow_start::slow_start_allows;
use super::Policy;
use crate::api::{Idempotency, Nanos, TrafficClass};
use crate::state::{InFlightRequest, Neighborhood, Server, ServerIndices, TrafficClassKey};

/// What servers are wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkerPool {
    /// To prefill.
    Prefill,
    /// To decode.
    Decode,
}

impl Policy {
    /// The servers that a request may be sent to now, without unhealthy ones while enough others
    /// are left.
    pub(super) fn candidates(&self, pool: WorkerPool, request: &InFlightRequest) -> Vec<&Server> {
        let neighborhood = self.neighborhood(Some(request));
        self.eligible_servers(&neighborhood.servers, pool, Some(request), Some(request.traffic()))
    }

    /// The servers that a request chooses among; without a request all. A repeat may be bound to
    /// servers anywhere.
    pub(super) fn neighborhood(&self, request: Option<&InFlightRequest>) -> Neighborhood<'_> {
        let cell = request.and_then(|request| self.servers.get(request.kv_cache?.server)?.listing.cell);
        let bound = request.filter(|request| request.may_have_run.is_none());
        self.fleet.neighborhood(bound.map(|request| request.position), cell, NEIGHBORHOOD)
    }

    /// The eligible ones among servers, for a request or for any of a traffic class. With no decode
    /// worker left mixed servers take KV caches too.
    pub(super) fn eligible_servers(
        &self,
        among: &ServerIndices,
        pool: WorkerPool,
        request: Option<&InFlightRequest>,
        traffic: Option<TrafficClassKey>,
    ) -> Vec<&Server> {
        let allowed = self.allowed_servers(among, pool, request);
        let failed = request.map_or(&[][..], |request| &request.failed_servers);
        let is_healthy =
            |server: &Server| !is_unhealthy(self.now, server, traffic) && !failed.contains(&server.id);
        let healthy: Vec<&Server> = allowed.iter().copied().filter(|server| is_healthy(server)).collect();
        // Where most look unhealthy the cause is likely elsewhere, and the few left would be swamped.
        if !healthy.is_empty() && healthy.len() * 3 >= allowed.len() {
            return healthy;
        }
        let none_reachable = allowed.iter().all(|server| server.liveness.is_unreachable());
        let is_reachable = |server: &&Server| none_reachable || !server.liveness.is_unreachable();
        allowed.into_iter().filter(is_reachable).collect()
    }

    fn allowed_servers(
        &self,
        among: &ServerIndices,
        pool: WorkerPool,
        request: Option<&InFlightRequest>,
    ) -> Vec<&Server> {
        let is_allowed = |server: &&Server| {
            slow_start_allows(self.now, &self.settings, server)
                && request.is_none_or(|request| self.allows_repeat(request, server))
        };
        let allowed_of = |indices: &[usize]| self.servers.at(indices).filter(is_allowed).collect();
        if pool == WorkerPool::Prefill {
            return allowed_of(&among.prefill);
        }
        let mut allowed: Vec<&Server> = allowed_of(&among.decode);
        if allowed.iter().all(|server| server.liveness.is_unreachable()) {
            let mixed: Vec<&Server> = allowed_of(&among.mixed);
            allowed.extend(mixed);
        }
        allowed
    }

    /// Whether a server would drop the request as a repeat if it has run, or it has not.
    fn allows_repeat(&self, request: &InFlightRequest, server: &Server) -> bool {
        let Some(ran) = request.may_have_run else { return true };
        let Some(class) = self.class_of(request) else { return false };
        let (zone, cell) = (server.listing.zone, server.listing.cell);
        !self.is_repeat_impossible(request) && may_repeat(self.now, &Repeat { class, ran, zone, cell })
    }

    /// It may have run and may never be sent again: waiting would only keep its client.
    pub(super) fn is_repeat_impossible(&self, request: &InFlightRequest) -> bool {
        let Some(ran) = request.may_have_run else { return false };
        let Some(class) = self.class_of(request) else { return true };
        let is_too_late = self.now.saturating_add(TICK_INTERVAL) >= self.repeat_deadline(request);
        let has_no_scope = class.deduplication_scope.domain(ran.zone, ran.cell).is_none();
        class.idempotency == Idempotency::NotIdempotent || has_no_scope || is_too_late
    }

    /// When the last byte of its next send has to be out: one with a key is a repeat only within
    /// its window.
    pub(super) fn repeat_deadline(&self, request: &InFlightRequest) -> Nanos {
        let Some(ran) = request.may_have_run else { return Nanos::MAX };
        let Some(class) = self.class_of(request) else { return Nanos::MAX };
        ran.at.saturating_add(class.deduplication_window)
    }

    /// The class of a request, if it is one of the settings.
    pub(super) fn class_of(&self, request: &InFlightRequest) -> Option<&TrafficClass> {
        self.settings.classes.get(request.request().class.0)
    }

    /// A second attempt of the request is harmless, whatever the first has done.
    pub(super) fn is_idempotent(&self, request: &InFlightRequest) -> bool {
        self.class_of(request).is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }
}
