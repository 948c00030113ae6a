//! Where a request whose prompt is prefilled is decoded: at a worker with capacity near its KV cache.

use super::constants::{NEAR_DECODE_TOLERANCE, PLACEMENT_FRACTION, SLOW_LINK_TOLERANCE};
use super::eligibility::WorkerPool;
use super::Policy;
use crate::api::{GiveUpReason, RequestId, ServerId};
use crate::state::{Attempt, InFlightRequest, Server, Stage};

/// Whether a decode worker is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DecodeUrgency {
    /// Now, with capacity or without: the KV cache may not be held much longer.
    Now,
    /// Only one with capacity will do.
    OnceThereIsCapacity,
}

impl Policy {
    /// The decode worker for a request: the nearest one to its KV cache that is not clearly busier
    /// than the least loaded.
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
        let open = if must_take_any { all } else { with_capacity };
        let least = self.least_loaded(request, open.iter().copied())?;
        let near = self.least_loaded_nearby(request, &open);
        let tolerance = NEAR_DECODE_TOLERANCE + SLOW_LINK_TOLERANCE * self.decode_delays.extra_across_cells();
        let most_load = self.relative_decode_load(least) + tolerance;
        let near = near.into_iter().find(|server| self.relative_decode_load(server) <= most_load);
        Some(near.unwrap_or(least).id)
    }

    /// The least loaded in the cell of its KV cache, and in its zone.
    fn least_loaded_nearby<'s>(&self, request: &InFlightRequest, open: &[&'s Server]) -> Vec<&'s Server> {
        let holder = request.kv_cache.and_then(|kv| self.servers.get(kv.server));
        let Some(holder) = holder.map(|server| &server.listing) else { return Vec::new() };
        let in_cell = open
            .iter()
            .copied()
            .filter(|server| server.listing.cell.is_some() && server.listing.cell == holder.cell);
        let in_zone = open
            .iter()
            .copied()
            .filter(|server| server.listing.zone.is_some() && server.listing.zone == holder.zone);
        let in_cell = self.least_loaded(request, in_cell);
        let in_zone = self.least_loaded(request, in_zone);
        in_cell.into_iter().chain(in_zone).collect()
    }

    /// Ties go to the least own load, then to a pseudo-random order: many routers that know little
    /// would else pick the same server.
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

    /// A KV cache waits: it is sent for, waits a little longer, or is released when its release
    /// time runs out.
    pub(super) fn place_decode(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id).filter(|request| request.attempt.is_none()) else {
            return;
        };
        let Some(kv_cache) = request.kv_cache else { return };
        let release_within = self.settings.kv_release_within;
        let patience = (release_within as f64 * PLACEMENT_FRACTION) as u64;
        let next_check = self.now.saturating_add(self.check_interval());
        let is_last_check = next_check >= kv_cache.held_since.saturating_add(patience);
        let is_over = self.now > kv_cache.held_since && self.now >= request.kv_release_at(release_within);
        let urgency = if is_last_check { DecodeUrgency::Now } else { DecodeUrgency::OnceThereIsCapacity };
        let chosen = self.choose_decode_worker(request, urgency).filter(|_| !is_over);
        if let Some(server) = chosen {
            self.send(id, Attempt::planned(server, Stage::Decode));
        } else if is_last_check {
            self.give_up(id, GiveUpReason::KvReleaseTimeout);
        } else {
            self.widen_search(id);
        }
    }
}
