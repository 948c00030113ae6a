//! Which servers a request may be sent to now. Excluded are servers without slow start budget,
//! unhealthy servers, and servers outside the deduplication scope of a repeat.

use super::constants::{NEIGHBORHOOD, TICK_INTERVAL};
use super::health::is_unhealthy;
use super::send_guards::{may_repeat, Repeat};
use super::Policy;
use crate::api::{ClassId, Idempotency, Nanos, TrafficClass};
use crate::state::{InFlightRequest, Neighborhood, Server, ServerIndices, TrafficClassKey};

/// The stage for which servers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkerPool {
    /// Servers that can prefill.
    Prefill,
    /// Servers that can decode.
    Decode,
}

impl Policy {
    /// The servers that a request may be sent to now, without unhealthy servers as long as enough others
    /// remain.
    pub(super) fn candidates(&self, pool: WorkerPool, request: &InFlightRequest) -> Vec<&Server> {
        let neighborhood = self.neighborhood(Some(request));
        self.eligible_servers(&neighborhood.servers, pool, Some(request), Some(request.traffic()))
    }

    /// The neighbourhood that a request chooses from; all servers if there is no request, or if it is a
    /// repeat, whose deduplication scope may lie anywhere.
    pub(super) fn neighborhood(&self, request: Option<&InFlightRequest>) -> Neighborhood<'_> {
        let cell = request.and_then(|request| self.servers.get(request.kv_cache?.server)?.listing.cell);
        let not_repeated = request.filter(|request| request.may_have_run.is_none());
        self.fleet.neighborhood(not_repeated.map(|request| request.position), cell, NEIGHBORHOOD)
    }

    /// The eligible servers among the given ones, for a request or for any request of a traffic class.
    /// If no decode worker is reachable, mixed servers are eligible to decode as well.
    pub(super) fn eligible_servers(
        &self,
        among: &ServerIndices,
        pool: WorkerPool,
        request: Option<&InFlightRequest>,
        traffic: Option<TrafficClassKey>,
    ) -> Vec<&Server> {
        let class = request.map(|request| request.request().class).or(traffic.map(|traffic| traffic.class));
        let allowed = self.allowed_servers(among, pool, request, class);
        let failed = request.map_or(&[][..], |request| &request.failed_servers);
        let is_healthy =
            |server: &Server| !is_unhealthy(self.now, server, traffic) && !failed.contains(&server.id);
        let healthy: Vec<&Server> = allowed.iter().copied().filter(|server| is_healthy(server)).collect();
        // If most servers look unhealthy, the cause is likely elsewhere, and the remaining few would be
        // overloaded.
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
        class: Option<ClassId>,
    ) -> Vec<&Server> {
        let is_allowed = |server: &&Server| {
            self.slow_start_allows_class(server, pool, class)
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

    /// Whether the request may be sent to a server: it has not run, or the server would drop it as a
    /// repeat.
    fn allows_repeat(&self, request: &InFlightRequest, server: &Server) -> bool {
        let Some(ran) = request.may_have_run else { return true };
        let Some(class) = self.class_of(request) else { return false };
        let (zone, cell) = (server.listing.zone, server.listing.cell);
        !self.is_repeat_impossible(request) && may_repeat(self.now, &Repeat { class, ran, zone, cell })
    }

    /// Whether the request may have run and can never be sent again, so that waiting is useless.
    pub(super) fn is_repeat_impossible(&self, request: &InFlightRequest) -> bool {
        let Some(ran) = request.may_have_run else { return false };
        let Some(class) = self.class_of(request) else { return true };
        let is_too_late = self.now.saturating_add(TICK_INTERVAL) >= self.repeat_deadline(request);
        let has_no_scope = class.deduplication_scope.domain(ran.zone, ran.cell).is_none();
        class.idempotency == Idempotency::NotIdempotent || has_no_scope || is_too_late
    }

    /// Time by which the last byte of a repeat has to be written: servers recognise an idempotency key
    /// only within the deduplication window.
    pub(super) fn repeat_deadline(&self, request: &InFlightRequest) -> Nanos {
        let Some(ran) = request.may_have_run else { return Nanos::MAX };
        let Some(class) = self.class_of(request) else { return Nanos::MAX };
        ran.at.saturating_add(class.deduplication_window)
    }

    /// The class of a request, if the settings define it.
    pub(super) fn class_of(&self, request: &InFlightRequest) -> Option<&TrafficClass> {
        self.settings.classes.get(request.request().class.0)
    }

    /// Whether a second attempt of the request is always harmless.
    pub(super) fn is_idempotent(&self, request: &InFlightRequest) -> bool {
        self.class_of(request).is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }
}
