//! Where a prefilled request is decoded: at a worker with capacity near its KV cache.

use super::constants::{NEAR_DECODE_TOLERANCE, PLACEMENT_FRACTION, SLOW_LINK_TOLERANCE};
use super::eligibility::WorkerPool;
use super::Policy;
use crate::api::{GiveUpReason, RequestId, ServerId};
use crate::state::{Attempt, InFlightRequest, Server, Stage};

/// Whether a request can wait for a decode worker with capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DecodeUrgency {
    /// It can't: the KV cache may not be held much longer. A worker without capacity is chosen if none
    /// has capacity.
    Now,
    /// It can: only a worker with capacity is chosen.
    WhenCapacityAvailable,
}

impl Policy {
    /// Chooses the decode worker for a request: the nearest one to its KV cache, unless that is clearly
    /// busier than the least loaded one.
    pub(super) fn choose_decode_worker(
        &self,
        request: &InFlightRequest,
        urgency: DecodeUrgency,
    ) -> Option<ServerId> {
        let kv_tokens = request.expected_kv_tokens();
        let all = self.candidates(WorkerPool::Decode, request);
        let with_capacity = all.iter().copied().filter(|server| self.has_capacity(server, kv_tokens));
        let with_capacity: Vec<&Server> = with_capacity.collect();
        let must_take_any = with_capacity.is_empty() && urgency == DecodeUrgency::Now;
        let choices = if must_take_any { all } else { with_capacity };
        let least = self.least_loaded(request, choices.iter().copied())?;
        let near = self.least_loaded_nearby(request, &choices);
        let tolerance = NEAR_DECODE_TOLERANCE + SLOW_LINK_TOLERANCE * self.decode_delays.extra_across_cells();
        let max_load = self.relative_decode_load(least) + tolerance;
        let near = near.into_iter().find(|server| self.relative_decode_load(server) <= max_load);
        Some(near.unwrap_or(least).id)
    }

    /// The least loaded worker in the cell of the request's KV cache, then the one in its zone.
    fn least_loaded_nearby<'s>(&self, request: &InFlightRequest, choices: &[&'s Server]) -> Vec<&'s Server> {
        let holder = request.kv_cache.and_then(|kv| self.servers.get(kv.server));
        let Some(holder) = holder.map(|server| &server.listing) else { return Vec::new() };
        let in_cell = choices
            .iter()
            .copied()
            .filter(|server| server.listing.cell.is_some() && server.listing.cell == holder.cell);
        let in_zone = choices
            .iter()
            .copied()
            .filter(|server| server.listing.zone.is_some() && server.listing.zone == holder.zone);
        let in_cell = self.least_loaded(request, in_cell);
        let in_zone = self.least_loaded(request, in_zone);
        in_cell.into_iter().chain(in_zone).collect()
    }

    /// The least loaded server. Ties are broken by this router's own load, then pseudo-randomly: many
    /// routers with little information would otherwise choose the same server.
    fn least_loaded<'s>(
        &self,
        request: &InFlightRequest,
        servers: impl Iterator<Item = &'s Server>,
    ) -> Option<&'s Server> {
        let rank = |server: &Server| request.tie_breaker.rendezvous_rank(server.id);
        let own_tokens = |server: &Server| server.local_load.reserved_kv_tokens();
        servers.min_by(|a, b| {
            let by_load = self.relative_decode_load(a).total_cmp(&self.relative_decode_load(b));
            by_load.then(own_tokens(a).total_cmp(&own_tokens(b))).then_with(|| rank(a).cmp(&rank(b)))
        })
    }

    /// Places a request whose KV cache is held: sends its decode attempt, lets it wait for capacity, or
    /// gives it up when the KV release time runs out.
    pub(super) fn place_decode(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id).filter(|request| request.attempt.is_none()) else {
            return;
        };
        let Some(kv_cache) = request.kv_cache else { return };
        let release_within = self.settings.kv_release_within;
        let max_wait = (release_within as f64 * PLACEMENT_FRACTION) as u64;
        let next_check = self.now.saturating_add(self.check_interval());
        let is_last_check = next_check >= kv_cache.held_since.saturating_add(max_wait);
        let is_expired = self.now > kv_cache.held_since && self.now >= request.kv_release_at(release_within);
        let urgency = if is_last_check { DecodeUrgency::Now } else { DecodeUrgency::WhenCapacityAvailable };
        let chosen = self.choose_decode_worker(request, urgency).filter(|_| !is_expired);
        if let Some(server) = chosen {
            self.send(id, Attempt::planned(server, Stage::Decode));
        } else if is_last_check {
            self.give_up(id, GiveUpReason::KvReleaseTimeout);
        } else {
            self.advance_ring_position(id);
        }
    }
}
