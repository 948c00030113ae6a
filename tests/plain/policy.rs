//! The decisions of the reference implementation, which computes every sum anew at each event.

use super::state::*;
use gaparch_scheduler::api::*;
use gaparch_scheduler::policy::unanswered_decode::{
    kv_cache_after_attempt, KvCacheAfterAttempt, NextStep, UnansweredDecode,
};
use std::collections::{BTreeMap, BTreeSet};

const MS: Nanos = 1_000_000;
/// The time between two checks of deadlines, queued requests and overdue attempts.
const TICK_INTERVAL: Nanos = 10 * MS;
/// An unanswered request is given up this long before its client's deadline.
const GIVE_UP_MARGIN: Nanos = 25 * MS;
/// The share of the KV release time within which a decode attempt has to be sent.
const PLACEMENT_FRACTION: f64 = 0.7;
/// For this long, a saturated server is not used, and one that has answered is not probed.
const RECENT: Nanos = 1000 * MS;
/// The KV cache utilization from which a decode worker counts as saturated.
const SATURATION_UTILIZATION: f64 = 0.92;
/// How much higher the load of a near decode worker may be than that of the least loaded one.
const NEAR_DECODE_TOLERANCE: f64 = 0.25;
/// Added to that tolerance for each second that decoding starts later across cells.
const SLOW_LINK_TOLERANCE: f64 = 0.5;
/// The most affinity that a prefill worker attracts, as a multiple of an even share.
const MAX_AFFINITY: f64 = 1.6;
/// The number of prefill workers over which a shared prefix is spread, for each even worker's share of all
/// requests.
const WORKERS_PER_PREFIX_SHARE: f64 = 3.0;
/// The span over which requests are counted for prefix popularity.
const POPULARITY_SPAN: Nanos = 60_000 * MS;
/// The fixed cost of a prefill in tokens, whatever its length.
const PREFILL_BASE_TOKENS: f64 = 400.0;
/// The prompt length that is assumed where a request has none.
const DEFAULT_PROMPT_TOKENS: f64 = 500.0;
/// The age from which load reports are ignored.
const LOAD_MAX_AGE: Nanos = 3000 * MS;
/// The points that each request adds to the budget for probes, and to that for gossip.
const INFORMATION_POINTS: f64 = 0.015;
/// The least time between two gossip messages.
const GOSSIP_INTERVAL: Nanos = 300 * MS;
/// How long a prefill waits for the answers to load probes.
const PROBE_WAIT: Nanos = 30 * MS;
/// The number of decode workers of the prefill worker's cell that are probed during a prefill.
const PROBED_DECODE_WORKERS: usize = 2;
/// A decode worker whose probe takes longer counts as saturated.
const SLOW_PROBE_LATENCY: Nanos = 120 * MS;
/// The lag of load reports, by which own load is distinguished from that of other routers.
const REPORT_LAG: Nanos = 500 * MS;
/// The weight of a new sample in running means.
const MEAN_GAIN: f64 = 0.1;
/// The weight of a slower sample in the time per token of an unloaded prefill.
const UNLOADED_GAIN: f64 = 0.02;
/// The weight of a new sample in a server's own latency.
const LATENCY_GAIN: f64 = 0.25;
/// A server that fails is ejected until this router would have sent to it that often again.
const EJECTION_VISITS: f64 = 1.0;
/// The longest ejection.
const MAX_EJECTION: Nanos = 16_000 * MS;
/// The latency ratio from which the relative speed of a server is reduced by that ratio.
const SLOW_LATENCY_RATIO: f64 = 2.0;
/// The latency ratio from which a server gets one request at a time.
const OUTLIER_LATENCY_RATIO: f64 = 3.0;
/// The number of samples from which a server's own latency counts.
const LATENCY_SAMPLES: u32 = 3;
/// The time between two probes of a server that could not be reached.
const HEALTH_CHECK_INTERVAL: Nanos = 400 * MS;
/// A decode attempt without a first token for this long is queued at its server, which counts as saturated.
const DECODE_STALL: Nanos = 400 * MS;
/// A decode attempt without a first token for this long is cancelled if another worker has capacity.
const DECODE_PATIENCE: Nanos = 900 * MS;
/// The share of the latency objective from which a wait makes a prefill worker count as saturated.
const PREFILL_WAIT_FRACTION: f64 = 0.25;
/// The share of the latency objective from which a prefill counts as lost.
const PREFILL_LOST_FRACTION: f64 = 1.0;
/// The share of the recent prefill rate that is still allowed after a lost prefill.
const PREFILL_REDUCTION: f64 = 0.8;
/// The share by which the allowed prefill rate grows per second.
const PREFILL_RATE_GROWTH: f64 = 0.2;
/// A prefill is overdue when it is slower than the mean by this many deviations.
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// The cancellations that each attempt sent allows.
const CANCELLATIONS_PER_ATTEMPT: f64 = 0.2;
/// The least timeout of a send where attempts can't be cancelled.
const MIN_SEND_TIMEOUT: Nanos = 1500 * MS;
/// The attempts that an answer takes from the start: a prefill and a decode attempt.
const ATTEMPTS_FROM_START: u32 = 2;
/// The span over which rates of sends are measured.
const RATE_SPAN: Nanos = 5000 * MS;
/// The requests of mean work that a server that is warming up gets in an overload window when its peers get
/// nothing.
const SLOW_START_FLOOR: f64 = 0.5;
const SATURATED_BUDGET_FRACTION: f64 = 0.8;
/// The multiple of its even part of the quota that a tenant may send through this router.
const QUOTA_TOLERANCE: f64 = 1.5;
/// The seconds of its quota that a tenant may send at once.
const QUOTA_BURST_SECONDS: f64 = 2.0;
const TICK_TIMER: TimerToken = TimerToken(0);
const ENDPOINT_POLL_TIMER: TimerToken = TimerToken(1);

#[derive(Default)]
pub struct Policy {
    settings: Settings,
    now: Nanos,
    actions: Vec<Action>,
    servers: ServerTable,
    requests: BTreeMap<RequestId, InFlightRequest>,
    /// The admission queue: over quota, latency objective and id of each request, in the order of admission.
    queue: BTreeSet<(bool, Nanos, RequestId)>,
    quotas: Vec<TokenBucket>,
    prompt_tokens_by_class: Vec<RunningMean>,
    output_tokens_by_class: Vec<RunningMean>,
    /// From the send of the first attempt to the first token, in nanoseconds.
    time_to_first_token: LaggedValue,
    prefill_cost: PrefillCostModel,
    /// Limits the rate of prefills.
    throttle: AdaptiveThrottle,
    /// The number of overdue attempts that may still be cancelled.
    cancellations: f64,
    /// By kind: the work per second that a warm server is usually sent, in requests of mean work, and the
    /// mean weight of warm servers.
    usual_loads: Vec<(LaggedValue, f64)>,
    /// The mean time to the first token of a decode attempt in seconds: within the cell of the KV cache, and
    /// across cells.
    decode_delays: [RunningMean; 2],
    popularity: PrefixPopularity,
    /// The KV cache tokens of other routers, as reported by gossip.
    peer_reports: PeerReports,
    gossip_sent_at: Nanos,
    /// What may be spent on gossip and on probes, in points. A point is worth one request.
    budgets: [f64; 2],
    fleet: FleetSummary,
    tick_is_scheduled: bool,
}

impl Policy {
    pub fn new(settings: Settings) -> Policy {
        Policy {
            quotas: vec![TokenBucket::default(); settings.tenants.len()],
            prompt_tokens_by_class: vec![RunningMean::default(); settings.classes.len()],
            output_tokens_by_class: vec![RunningMean::default(); settings.classes.len()],
            usual_loads: vec![(LaggedValue::default(), 1.0); settings.kinds.len() + 1],
            cancellations: 1.0,
            prefill_cost: PrefillCostModel::with_unloaded_time_per_token(
                settings.classes.iter().map(|c| c.latency_objective_per_prompt_token).fold(0.0, f64::max),
            ),
            settings,
            ..Policy::default()
        }
    }

    pub fn handle(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        self.now = now;
        if let Event::GossipReceived { from, data } = event {
            self.peer_reports.record(now, from, decode_gossip(&data));
            return Vec::new();
        }
        self.fleet.update_load(now, TICK_INTERVAL, LOAD_MAX_AGE, &mut self.servers, &mut self.peer_reports);
        match event {
            Event::EndpointsChanged { update, endpoints } => self.on_endpoints_changed(update, &endpoints),
            Event::RequestArrived(request) => self.on_request_arrived(request),
            Event::TimerFired(TICK_TIMER) => self.on_tick(),
            Event::TimerFired(ENDPOINT_POLL_TIMER) => self.actions.push(Action::WatchEndpoints(true)),
            Event::FirstToken { id, attempt, latency, .. } => self.on_first_token(id, attempt, latency),
            Event::AttemptFinished(outcome) => self.on_attempt_finished(outcome),
            Event::ClientDisconnected(id) => self.end_request(id, None),
            Event::ProbeFinished { server: s, status, latency, report } => {
                self.on_probe_finished(s, status, latency, report)
            }
            Event::TimerFired(_) | Event::ReservationAnswered { .. } | Event::GossipReceived { .. } => {}
            Event::QuotaChanged { .. } | Event::RouterCountChanged(_) => {}
        }
        self.admit();
        let needs_ticks = self.requests.values().any(InFlightRequest::awaits_first_token)
            || self.servers.values().any(|s| s.unreachable);
        if !self.tick_is_scheduled && needs_ticks {
            self.tick_is_scheduled = true;
            self.actions.push(Action::SetTimer { token: TICK_TIMER, delay: TICK_INTERVAL });
        }
        std::mem::take(&mut self.actions)
    }

    // --- A request arrives --------------------------------------------------------------------------

    fn on_request_arrived(&mut self, request: Request) {
        let Some(class) = self.settings.classes.get(request.class.0).cloned() else {
            return self
                .actions
                .push(Action::Fail { id: request.id, cause: GiveUpReason::UnknownClass.into() });
        };
        let prompt_tokens =
            if request.prompt_tokens > 0.0 { request.prompt_tokens } else { DEFAULT_PROMPT_TOKENS };
        // The expected length of the answer: by the expected duration, else half of the allowed output.
        let output_tokens = match request.expected_duration {
            Some(duration) if class.token_latency_objective > 0 => {
                duration as f64 / class.token_latency_objective as f64
            }
            _ => request.max_output_tokens / 2.0,
        };
        let output_tokens = if request.max_output_tokens > 0.0 {
            output_tokens.min(request.max_output_tokens)
        } else {
            output_tokens
        };
        let over_quota = self.over_quota(request.tenant);
        self.budgets =
            self.budgets.map(|budget| (budget + INFORMATION_POINTS).min(INFORMATION_POINTS * 100.0));
        let affinity_workers = self.affinity_workers(request.prefix);
        self.prompt_tokens_by_class[request.class.0].add(prompt_tokens, MEAN_GAIN);
        self.output_tokens_by_class[request.class.0].add(output_tokens, MEAN_GAIN);
        let (id, deadline_at) = (request.id, request.deadline_at);
        let objective_at = self.now
            + class.latency_objective
            + (class.latency_objective_per_prompt_token * prompt_tokens) as Nanos;
        let request = Request { prompt_tokens, ..request };
        self.requests.insert(
            id,
            InFlightRequest::new(
                request,
                self.now,
                self.settings.seed,
                affinity_workers,
                over_quota,
                objective_at,
                output_tokens,
            ),
        );
        if deadline_at <= self.now + GIVE_UP_MARGIN {
            return self.give_up(id);
        }
        self.queue.insert((over_quota, objective_at, id));
    }

    /// The number of prefill workers over which a shared prefix is spread: more than one where the requests
    /// that this router saw show that it makes up more than one worker's share and would overload it. The
    /// number is coarse, so that sessions stay at their workers.
    fn affinity_workers(&mut self, prefix: Option<AffinityKey>) -> usize {
        let prefill_workers = self.servers.values().filter(|s| s.ready && s.role != Role::Decode).count();
        let (same_prefix, total) = self.popularity.record(self.now, prefix, POPULARITY_SPAN);
        let certain_share = (same_prefix - same_prefix.sqrt()).max(0.0) / total.max(1.0);
        next_power_of_four((certain_share * WORKERS_PER_PREFIX_SHARE * prefill_workers as f64) as usize)
    }

    /// Whether this request is over its tenant's quota, of which each router takes an even part.
    fn over_quota(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant.filter(|t| t.0 < self.quotas.len()) else { return false };
        let rate = self.settings.tenants[tenant.0].quota_per_second / f64::from(self.settings.router_count)
            * QUOTA_TOLERANCE;
        rate > 0.0 && !self.quotas[tenant.0].try_take(self.now, rate, rate * QUOTA_BURST_SECONDS + 1.0)
    }

    // --- Admission: requests are queued while all decode workers look saturated ----------------------

    /// Admits queued requests to their prefill as far as decode workers have capacity for them.
    fn admit(&mut self) {
        for queued in self.queue.iter().copied().collect::<Vec<_>>() {
            let Some(request) = self.requests.get(&queued.2) else { continue };
            let is_allowed = self.throttle.allows(self.now, PREFILL_RATE_GROWTH);
            let can_decode_later = || {
                self.mixed_server_has_capacity(request.expected_kv_tokens())
                    || self.decode_workers_have_capacity(request)
            };
            if is_allowed && can_decode_later() && self.start_prefill(queued.2) {
                self.queue.remove(&queued);
            }
        }
    }

    /// Whether decode workers have capacity for a request besides the requests that are being prefilled.
    fn decode_workers_have_capacity(&self, request: &InFlightRequest) -> bool {
        let kv_tokens = request.expected_kv_tokens();
        let demand: f64 = self
            .requests
            .values()
            .filter(|r| r.will_need_decode())
            .map(InFlightRequest::expected_kv_tokens)
            .sum();
        let mut open = self.candidates(false, request);
        open.retain(|s| self.has_capacity(s, kv_tokens));
        let free_tokens: f64 = open
            .iter()
            .map(|s| (SATURATION_UTILIZATION - self.memory_utilization(s)) * s.kv_capacity_tokens)
            .sum();
        !open.is_empty()
            && (free_tokens >= demand + kv_tokens || open.iter().any(|s| s.kv_capacity_tokens <= 0.0))
    }

    /// Sends a request to its preferred prefill worker, or to the least loaded one where the former is
    /// clearly busier.
    fn start_prefill(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return true };
        let mut workers = self.candidates(true, request);
        if workers.is_empty() {
            return self.start_at_decode_worker(id);
        }
        let can_decode_later = self.mixed().is_empty() || self.decode_workers_have_capacity(request);
        workers.retain(|s| {
            if s.role == Role::Mixed {
                self.has_capacity(s, request.expected_kv_tokens())
            } else {
                can_decode_later
            }
        });
        let preferred = self.preferred_workers(request, &workers);
        let Some(first) = preferred.first().copied() else { return false };
        let cached = |s: &Server| {
            preferred.iter().find(|p| p.id == s.id).map_or(0.0, |_| request.request.prefix_tokens)
        };
        let own_tokens =
            |s: &Server| PREFILL_BASE_TOKENS + (request.request.prompt_tokens - cached(s)).max(0.0);
        let cost = |s: &Server| {
            (s.queued_prompt_tokens + self.peer_queued_tokens(s) + own_tokens(s)) / self.relative_speed(s)
        };
        // A prefill worker with a long wait counts as saturated, unless this router has no attempt in flight
        // there.
        let wait =
            |s: &Server| (s.queued_prompt_tokens + self.peer_queued_tokens(s)) / self.relative_speed(s);
        let is_wait_long = |s: &Server| {
            s.awaiting_first_token > 0
                && wait(s) * self.prefill_cost.unloaded_time_per_token
                    > PREFILL_WAIT_FRACTION * request.time_to_objective()
        };
        let has_capacity = |s: &&&Server| !s.was_saturated_within(self.now, RECENT) && !is_wait_long(s);
        let tie_breaker = |s: &Server| request.tie_breaker.rendezvous_rank(s.id);
        let order = |a: &&&Server, b: &&&Server| {
            cost(a).total_cmp(&cost(b)).then(tie_breaker(a).cmp(&tie_breaker(b)))
        };
        let Some(least) = workers.iter().filter(has_capacity).min_by(order) else { return false };
        let is_preferred = |s: &Server| preferred.iter().any(|p| p.id == s.id);
        let rank = |s: &&&Server| (self.is_warming_up(s), is_preferred(s), tie_breaker(s));
        let other = workers.iter().filter(|s| s.id != first.id).max_by_key(rank);
        let probed: Vec<ServerId> = [first].iter().chain(other).map(|s| s.id).collect();
        let first = Some(first).filter(|s| has_capacity(&s)).unwrap_or(least);
        let tolerance =
            self.prefill_cost.computed_tokens.value.max(own_tokens(first)) / self.relative_speed(first);
        let chosen = if cost(first) > cost(least) + tolerance { least } else { first };
        let stage = if chosen.role == Role::Mixed { Stage::Combined } else { Stage::Prefill };
        let (prompt_tokens, queued_tokens, probe_outstanding) =
            (own_tokens(chosen), cost(chosen), chosen.awaits_probe_for(self.now, PROBE_WAIT));
        let (chosen, cell, probe_deadline) =
            (chosen.id, chosen.cell, request.probe_deadline.unwrap_or(self.now + PROBE_WAIT));
        self.requests.entry(id).and_modify(|r| r.probe_deadline = Some(probe_deadline));
        if self.now < probe_deadline && self.probe_loads(&probed) {
            return false;
        }
        let Some(request) = self.requests.get(&id) else { return true };
        let mut near = self.candidates(false, request);
        near.retain(|s| s.cell.is_some() && s.cell == cell);
        near.sort_by_key(|s| request.tie_breaker.rendezvous_rank(s.id));
        let near: Vec<ServerId> = near.iter().take(PROBED_DECODE_WORKERS).map(|s| s.id).collect();
        self.throttle.record_send(self.now, RATE_SPAN);
        self.send(
            id,
            Attempt { prompt_tokens, queued_tokens, probe_outstanding, ..Attempt::planned(chosen, stage) },
        );
        self.probe_loads(&near);
        true
    }

    /// The workers that its shared prefix has affinity to by rendezvous hashing, ordered by its session, and
    /// then the one that takes over from them; the same on all routers. The affinity weight of a prefill
    /// worker follows the share of decode workers in its cell, which can fetch KV caches without leaving the
    /// cell.
    fn preferred_workers<'s>(&self, request: &InFlightRequest, workers: &[&'s Server]) -> Vec<&'s Server> {
        let has_decode_workers = self.servers.values().any(|s| s.ready && s.role == Role::Decode);
        let decode_role = if has_decode_workers { Role::Decode } else { Role::Mixed } as usize;
        let weight = |s: &Server| {
            let shares =
                s.cell.filter(|_| s.role == Role::Prefill).and_then(|c| self.fleet.cell_shares.get(&c));
            let affinity =
                shares.map_or(1.0, |shares| shares[decode_role] / shares[Role::Prefill as usize].max(1e-9));
            s.weight * affinity.clamp(1e-3, MAX_AFFINITY)
        };
        let session = request.request.session.unwrap_or(AffinityKey(request.request.id.0));
        let rank_by = |key: AffinityKey| move |s: &&Server| -key.unit_interval(s.id).ln() / weight(s);
        let prefix = request.request.prefix.unwrap_or(session);
        let mut preferred = sorted_by(workers.to_vec(), rank_by(prefix));
        let others = preferred.split_off(request.affinity_workers.min(preferred.len()));
        let spare_rank =
            |s: &&Server| -prefix.unit_interval(s.id).ln() / (MAX_AFFINITY * s.weight - weight(s)).max(1e-3);
        let takes_over = sorted_by(others, spare_rank).into_iter().next();
        sorted_by(preferred, rank_by(session)).into_iter().chain(takes_over).collect()
    }

    /// Probes the servers that have not answered recently: where there are many routers, each hears too
    /// seldom from a server. Returns whether an answer is awaited.
    fn probe_loads(&mut self, ids: &[ServerId]) -> bool {
        let (now, cost) = (self.now, self.settings.probe_cost);
        for id in ids.iter().filter(|_| self.settings.can_probe) {
            let Some(s) = self.servers.get_mut(id) else { continue };
            if s.probe_sent_at.is_none() && s.last_response_at + RECENT < now && self.budgets[1] >= cost {
                self.budgets[1] -= cost;
                s.probe_sent_at = Some(now);
                self.actions.push(Action::Probe(*id));
            }
        }
        ids.iter().any(|id| self.servers.get(id).is_some_and(|s| s.probe_sent_at.is_some()))
    }

    /// The prompt tokens that other routers have queued there, by load reports or the latency of a probe;
    /// else the mean.
    fn peer_queued_tokens(&self, s: &Server) -> f64 {
        let usual = if s.awaits_probe_for(self.now, PROBE_WAIT) {
            self.prefill_cost.tokens_behind_silent_probe.value
        } else {
            0.0
        };
        let behind_probe =
            s.probe_sent_at.map_or(0.0, |at| self.prefill_cost.tokens_within(self.now - at).max(usual));
        let known = s.peer_queued_tokens.or(self.fleet.peer_queued_tokens[s.role as usize]);
        known.unwrap_or(0.0).max(behind_probe)
    }

    /// Without any prefill worker, a decode worker that can prefill serves the request whole.
    fn start_at_decode_worker(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id).filter(|_| self.settings.decode_workers_can_prefill)
        else {
            return false;
        };
        let prompt_tokens = PREFILL_BASE_TOKENS + request.request.prompt_tokens;
        let Some(server) = self.choose_decode_worker(request, false) else { return false };
        self.send(
            id,
            Attempt {
                prompt_tokens,
                queued_tokens: prompt_tokens,
                ..Attempt::planned(server, Stage::Combined)
            },
        );
        true
    }

    // --- Decode placement: a decode worker with capacity, near the KV cache --------------------------

    /// The decode worker for a KV cache. `is_urgent`: one is needed now, with capacity or without.
    fn choose_decode_worker(&self, request: &InFlightRequest, is_urgent: bool) -> Option<ServerId> {
        let kv_tokens = request.expected_kv_tokens();
        let all = self.candidates(false, request);
        let open: Vec<&Server> = all.iter().copied().filter(|s| self.has_capacity(s, kv_tokens)).collect();
        let open = if open.is_empty() && is_urgent { all } else { open };
        let least = self.least_loaded(request, open.iter().copied())?;
        let holder = request.kv_cache.and_then(|(id, _)| self.servers.get(&id));
        let is_in_cell = |s: &&&Server| s.cell.is_some() && holder.is_some_and(|h| h.cell == s.cell);
        let is_in_zone = |s: &&&Server| s.zone.is_some() && holder.is_some_and(|h| h.zone == s.zone);
        let tolerance = NEAR_DECODE_TOLERANCE
            + SLOW_LINK_TOLERANCE * (self.decode_delays[1].value - self.decode_delays[0].value).max(0.0);
        let in_cell = self.least_loaded(request, open.iter().filter(is_in_cell).copied());
        let in_zone = self.least_loaded(request, open.iter().filter(is_in_zone).copied());
        let near = in_cell
            .into_iter()
            .chain(in_zone)
            .find(|s| self.relative_decode_load(s) <= self.relative_decode_load(least) + tolerance);
        Some(near.unwrap_or(least).id)
    }

    /// Ties are broken by the least own load, then by rank; else many routers that know little would choose
    /// the same server.
    fn least_loaded<'s>(
        &self,
        request: &InFlightRequest,
        servers: impl Iterator<Item = &'s Server>,
    ) -> Option<&'s Server> {
        servers.min_by(|a, b| {
            let tie_breaker =
                || request.tie_breaker.rendezvous_rank(a.id).cmp(&request.tie_breaker.rendezvous_rank(b.id));
            self.relative_decode_load(a)
                .total_cmp(&self.relative_decode_load(b))
                .then(a.reserved_kv_tokens.total_cmp(&b.reserved_kv_tokens))
                .then_with(tie_breaker)
        })
    }

    /// Whether it is not saturated: by its load report, by its recent answers, and by the estimate.
    fn has_capacity(&self, s: &Server, kv_tokens: f64) -> bool {
        let fits = s.kv_capacity_tokens <= 0.0
            || self.memory_utilization(s) + kv_tokens / s.kv_capacity_tokens <= SATURATION_UTILIZATION
            || s.reserved_kv_tokens <= 0.0;
        let is_probe_late = s.probe_sent_at.is_some_and(|at| self.now >= at + SLOW_PROBE_LATENCY);
        !s.was_saturated_within(self.now, RECENT)
            && s.memory_utilization.is_none_or(|reported| reported < SATURATION_UTILIZATION)
            && !is_probe_late
            && fits
    }

    /// The estimated KV cache utilization of a decode worker, by own attempts and those of other routers.
    fn memory_utilization(&self, s: &Server) -> f64 {
        let peers = self
            .peer_utilization(s)
            .unwrap_or_else(|| self.gossiped_tokens(s) / s.kv_capacity_tokens.max(1.0));
        s.reserved_kv_tokens / s.kv_capacity_tokens.max(1.0) + peers
    }

    /// The utilization by other routers, by load reports; a server without a recent report counts as average.
    fn peer_utilization(&self, s: &Server) -> Option<f64> {
        s.peer_kv_tokens
            .map(|tokens| tokens / s.kv_capacity_tokens.max(1.0))
            .or(self.fleet.peer_utilization[s.role as usize])
    }

    /// The KV cache tokens of other routers by gossip, where there is no load report. A router without a
    /// gossip message counts as the mean of the known ones, reduced by what may be chance: a handful of
    /// requests says little about hundreds of routers. It is used only to estimate capacity, not to compare
    /// loads.
    fn gossiped_tokens(&self, s: &Server) -> f64 {
        let fleet = &self.fleet;
        let reporting = self.peer_reports.reporting_routers();
        let silent = (f64::from(self.settings.router_count) - 1.0 - reporting).max(0.0);
        let known_requests = fleet.known_kv_tokens
            / (mean(&self.prompt_tokens_by_class) + mean(&self.output_tokens_by_class)).max(1.0);
        let confidence = 1.0 - known_requests.max(1.0).sqrt().recip();
        self.peer_reports.total.get(&s.id).map_or(0.0, |tokens| *tokens)
            + silent * confidence * fleet.known_kv_tokens_per_server / (1.0 + reporting)
    }

    fn relative_decode_load(&self, s: &Server) -> f64 {
        (s.reserved_kv_tokens / s.kv_capacity_tokens.max(1.0) + self.peer_utilization(s).unwrap_or(0.0))
            / self.relative_speed(s)
    }

    /// Its weight as a multiple of the mean of its role, reduced while it is slow or warming up.
    fn relative_speed(&self, s: &Server) -> f64 {
        let mean_weight = self.fleet.weight[s.role as usize];
        let weight = if mean_weight > 0.0 { s.weight / mean_weight } else { 1.0 };
        let speed = if s.latency_ratio >= SLOW_LATENCY_RATIO { weight / s.latency_ratio } else { weight };
        speed.max(0.02)
            * if self.is_warming_up(s) { self.settings.slow_start_speed.clamp(0.1, 1.0) } else { 1.0 }
    }

    /// Places the decode of a request whose KV cache is held: it is sent, waits a little longer, or is given
    /// up when `PLACEMENT_FRACTION` of the release time is over.
    fn place_decode(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some((_, since)) = request.kv_cache.filter(|_| request.attempt.is_none()) else { return };
        let patience = (self.settings.kv_release_within as f64 * PLACEMENT_FRACTION) as Nanos;
        let is_last_check = self.now + TICK_INTERVAL >= since + patience;
        let is_over = self.now > since && self.now >= since + self.settings.kv_release_within;
        if let Some(server) = self.choose_decode_worker(request, is_last_check).filter(|_| !is_over) {
            self.send(id, Attempt::planned(server, Stage::Decode));
        } else if is_last_check {
            self.give_up(id);
        }
    }

    /// The servers that may be sent to now, for the prefill or for the decode stage, without unhealthy ones
    /// while enough others are left.
    fn candidates(&self, is_prefill: bool, request: &InFlightRequest) -> Vec<&Server> {
        let has_decode_workers = self.servers.values().any(|s| s.ready && s.role == Role::Decode);
        let runs_stage = |s: &&Server| match s.role {
            Role::Prefill => is_prefill,
            Role::Decode => !is_prefill,
            Role::Mixed => is_prefill || !has_decode_workers,
        };
        let id = request.request.id;
        let is_allowed = |s: &&Server| {
            let is_prefill_only = is_prefill && s.role == Role::Prefill;
            let stage = if is_prefill_only { Stage::Prefill } else { Stage::Decode };
            s.ready
                && self.slow_start_allows(s, self.relative_work(id, stage))
                && self.allows_repeat(request, s)
        };
        let mut allowed: Vec<&Server> = self.servers.values().filter(is_allowed).filter(runs_stage).collect();
        if !is_prefill && allowed.iter().all(|s| s.unreachable) {
            allowed.extend(self.mixed().into_iter().filter(|s| is_allowed(s)));
        }
        let is_healthy =
            |s: &&Server| !self.is_unhealthy(s, request) && !request.failed_servers.contains(&s.id);
        let healthy: Vec<&Server> = allowed.iter().copied().filter(is_healthy).collect();
        // Where most servers look unhealthy the cause is probably elsewhere, and the few others would be
        // overloaded.
        if !healthy.is_empty() && healthy.len() * 3 >= allowed.len() {
            return healthy;
        }
        let none_reachable = allowed.iter().all(|s| s.unreachable);
        allowed.into_iter().filter(|s| none_reachable || !s.unreachable).collect()
    }

    /// A request that may have run is sent only to the same deduplication domain, within the window.
    fn allows_repeat(&self, request: &InFlightRequest, s: &Server) -> bool {
        let Some(ran) = request.may_have_run else { return true };
        let is_same_domain = |class: &TrafficClass| {
            class.deduplication_scope.domain(ran.zone, ran.cell)
                == class.deduplication_scope.domain(s.zone, s.cell)
        };
        !self.is_repeat_impossible(request)
            && self.settings.classes.get(request.request.class.0).is_some_and(is_same_domain)
    }

    /// Whether the request may have run and may not be sent again.
    fn is_repeat_impossible(&self, request: &InFlightRequest) -> bool {
        let Some(ran) = request.may_have_run else { return false };
        let Some(class) = self.settings.classes.get(request.request.class.0) else { return true };
        let is_too_late = self.now + TICK_INTERVAL >= ran.at + class.deduplication_window;
        class.idempotency == Idempotency::NotIdempotent
            || class.deduplication_scope.domain(ran.zone, ran.cell).is_none()
            || is_too_late
    }

    fn send(&mut self, id: RequestId, planned: Attempt) {
        let (now, server, stage) = (self.now, planned.server, planned.stage);
        // What it costs of a slow start budget.
        let work = self.relative_work(id, stage);
        let patience = self.requests.get(&id).map_or(0, |r| self.patience(r, &planned));
        let (Some(request), Some(s)) = (self.requests.get_mut(&id), self.servers.get_mut(&server)) else {
            return;
        };
        let reserved_kv_tokens = if stage == Stage::Prefill { 0.0 } else { request.expected_kv_tokens() };
        let attempt = Attempt {
            number: AttemptNumber(request.attempt_count),
            sent_at: now,
            reserved_kv_tokens,
            ..planned
        };
        s.begin_attempt(now, REPORT_LAG, &attempt);
        s.slow_start_budget.tokens = s.slow_start_budget.tokens.min(s.first_debt * (work - 1.0)) - work;
        self.cancellations =
            (self.cancellations + CANCELLATIONS_PER_ATTEMPT).min(1.0 + CANCELLATIONS_PER_ATTEMPT * 10.0);
        request.attempt_count += 1;
        request.first_sent_at = request.first_sent_at.or(Some(now));
        request.attempt = Some(attempt);
        let is_harmless = stage == Stage::Prefill
            || self.settings.classes[request.request.class.0].idempotency == Idempotency::Idempotent;
        let timeout =
            if self.settings.can_cancel || !is_harmless { 0 } else { MIN_SEND_TIMEOUT.max(patience) };
        let repeat_deadline = request.may_have_run.map(|ran| {
            ran.at.saturating_add(self.settings.classes[request.request.class.0].deduplication_window)
        });
        let release_within = self.settings.kv_release_within.max(2 * self.settings.step).max(TICK_INTERVAL);
        let kv_cache = self.requests.get(&id).and_then(|r| r.kv_cache);
        let release_by = kv_cache.map_or(Nanos::MAX, |(_, since)| since.saturating_add(release_within));
        let send_by = repeat_deadline.unwrap_or(Nanos::MAX).min(release_by);
        self.actions.push(Action::Send { id, server, timeout, send_by });
    }

    /// The mean work of a request's class, in mean requests.
    fn relative_work(&self, id: RequestId, stage: Stage) -> f64 {
        let means =
            if stage == Stage::Prefill { &self.prompt_tokens_by_class } else { &self.output_tokens_by_class };
        let class = self.requests.get(&id).map_or(0, |r| r.request.class.0);
        (means.get(class).map_or(0.0, |m| m.value) / mean_request(means).max(1.0)).max(0.1)
    }

    /// Counts an attempt as completed by its server.
    fn record_completed(&mut self, id: RequestId, attempt: &Attempt) {
        let work = self.relative_work(id, attempt.stage);
        if let Some(s) = self.servers.get_mut(&attempt.server) {
            s.completed_work.add(self.now, work, RATE_SPAN);
        }
    }

    fn patience(&self, request: &InFlightRequest, attempt: &Attempt) -> Nanos {
        (PREFILL_WAIT_FRACTION * request.time_to_objective()
            + attempt.queued_tokens * self.prefill_cost.late_time_per_token(OVERDUE_DEVIATIONS))
            as Nanos
    }

    fn on_first_token(&mut self, id: RequestId, number: AttemptNumber, latency: Nanos) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let kv_cell = request.kv_cache.take().and_then(|(holder, _)| self.servers.get(&holder)?.cell);
        let Some(attempt) = request.attempt.as_mut().filter(|a| a.number == number && !a.is_streaming) else {
            return;
        };
        self.time_to_first_token.follow(
            now,
            now.saturating_sub(request.first_sent_at.unwrap_or(now)) as f64,
            LOAD_MAX_AGE,
        );
        let Some(s) = self.servers.get_mut(&attempt.server) else { return };
        s.begin_streaming(now, REPORT_LAG, attempt);
        s.last_response_at = now;
        s.record_answer(now, latency);
        attempt.is_streaming = true;
        let attempt = *attempt;
        let per_token = latency as f64 / attempt.queued_tokens.max(PREFILL_BASE_TOKENS);
        if attempt.stage == Stage::Decode {
            self.decode_delays[usize::from(s.cell != kv_cell)].add(latency as f64 / 1e9, MEAN_GAIN);
        } else {
            self.prefill_cost.record_time_per_token(per_token, MEAN_GAIN, UNLOADED_GAIN);
        }
        let sample = if attempt.stage == Stage::Decode { latency as f64 } else { per_token };
        if (attempt.stage == Stage::Decode) != (s.role == Role::Mixed) {
            record_latency(&mut self.servers, attempt.server, sample, LATENCY_GAIN, LATENCY_SAMPLES);
        }
        self.record_completed(id, &attempt);
    }

    /// The ready mixed servers, where there are decode workers too.
    fn mixed(&self) -> Vec<&Server> {
        let has_decode_workers = self.servers.values().any(|s| s.ready && s.role == Role::Decode);
        self.servers.values().filter(|s| has_decode_workers && s.ready && s.role == Role::Mixed).collect()
    }

    fn mixed_server_has_capacity(&self, kv_tokens: f64) -> bool {
        self.mixed().into_iter().any(|s| self.has_capacity(s, kv_tokens))
    }

    fn on_attempt_finished(&mut self, outcome: AttemptOutcome) {
        self.record_health(&outcome);
        let Some(request) = self.requests.get_mut(&outcome.id) else { return };
        let Some(attempt) = request.attempt.take_if(|a| a.number == outcome.attempt) else { return };
        request.finished |= outcome.request_finished;
        let prompt_tokens = request.request.prompt_tokens;
        let time_to_objective = request.time_to_objective();
        if let Some(s) = self.servers.get_mut(&outcome.server) {
            s.end_attempt(self.now, REPORT_LAG, &attempt);
            s.record_report(self.now, REPORT_LAG, outcome.report, self.prefill_cost.computed_tokens.value);
        }
        if attempt.stage == Stage::Prefill && outcome.status == AttemptStatus::Prefilled {
            let computed_tokens =
                PREFILL_BASE_TOKENS + (prompt_tokens - outcome.cached_prompt_tokens as f64).max(0.0);
            let per_token = self.prefill_cost.record_finished(
                &attempt,
                outcome.latency,
                computed_tokens,
                MEAN_GAIN,
                UNLOADED_GAIN,
            );
            record_latency(&mut self.servers, outcome.server, per_token, LATENCY_GAIN, LATENCY_SAMPLES);
        }
        let is_prefilled = attempt.stage != Stage::Decode && outcome.status == AttemptStatus::Prefilled;
        if is_prefilled && outcome.latency as f64 > PREFILL_LOST_FRACTION * time_to_objective {
            self.throttle.reduce(self.now, PREFILL_REDUCTION, RATE_SPAN, RECENT);
        }
        if matches!(outcome.status, AttemptStatus::Ok | AttemptStatus::Prefilled) && !attempt.is_streaming {
            self.record_completed(outcome.id, &attempt);
        }
        self.follow_up_attempt(outcome, attempt);
    }

    /// Decides what follows the end of an attempt.
    fn follow_up_attempt(&mut self, outcome: AttemptOutcome, attempt: Attempt) {
        self.update_kv_cache(&outcome, &attempt);
        let Some(request) = self.requests.get_mut(&outcome.id) else { return };
        let is_prefill = attempt.stage == Stage::Prefill;
        if request.finished {
            self.actions.extend((!attempt.is_streaming).then_some(Action::ReleaseKv(outcome.id)));
            self.requests.remove(&outcome.id);
            return;
        }
        let idempotency = self.settings.classes[request.request.class.0].idempotency;
        let has_not_run = matches!(
            outcome.status,
            AttemptStatus::Rejected
                | AttemptStatus::ConnectFailed
                | AttemptStatus::Expired
                | AttemptStatus::Prefilled
        );
        let is_harmless = is_prefill || idempotency == Idempotency::Idempotent;
        if !is_harmless && !has_not_run && request.may_have_run.is_none() {
            let (zone, cell) = self.servers.get(&outcome.server).map_or((None, None), |s| (s.zone, s.cell));
            request.may_have_run = Some(MayHaveRun { zone, cell, at: attempt.sent_at });
        }
        let is_kv_cache_missing = outcome.kv_cache_missing && !is_prefill;
        if is_kv_cache_missing {
            // The decode worker may only have failed to reach the holder, which then still has the KV cache.
            request.kv_cache = None;
            self.actions.push(Action::ReleaseKv(outcome.id));
        } else if outcome.status != AttemptStatus::Prefilled
            && !request.failed_servers.contains(&outcome.server)
        {
            request.failed_servers.push(outcome.server);
        }
        // A request with a KV cache needs one more attempt, one without it two.
        let attempts_needed = if request.kv_cache.is_some() { 1 } else { ATTEMPTS_FROM_START };
        let kv_cache = request.kv_cache;
        let queue_position = (request.over_quota, request.objective_at, outcome.id);
        let are_attempts_exhausted =
            request.attempt_count + attempts_needed > self.settings.max_attempts.max(attempts_needed);
        let is_repeat_impossible =
            self.requests.get(&outcome.id).is_some_and(|r| self.is_repeat_impossible(r));
        if is_repeat_impossible || outcome.status == AttemptStatus::Expired || are_attempts_exhausted {
            return self.give_up(outcome.id);
        }
        match kv_cache {
            Some(_) => self.place_decode(outcome.id),
            None => drop(self.queue.insert(queue_position)),
        }
    }

    /// Gives a request up: it is rejected where a retry is harmless, else it fails. No KV cache stays held.
    fn give_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(class) = self.settings.classes.get(request.request.class.0) else { return };
        // A repeated prefill does no harm, but one that can't be cancelled may not have ended yet.
        let may_run = |a: Attempt| a.stage != Stage::Prefill || !self.settings.can_cancel;
        let may_have_run = request.may_have_run.is_some() || request.attempt.is_some_and(may_run);
        let is_retry_harmless = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => !may_have_run || class.deduplication_scope == DeduplicationScope::All,
            Idempotency::NotIdempotent => !may_have_run,
        };
        let retry_after = if self.settings.can_send_retry_after { self.settings.max_retry_after } else { 0 };
        // This implementation has no causes, so the comparison leaves them out.
        let cause = GiveUpReason::DeadlineExceeded.into();
        let answer = if is_retry_harmless {
            Action::Reject { id, retry_after, cause }
        } else {
            Action::Fail { id, cause }
        };
        self.end_request(id, Some(answer));
    }

    /// Ends a request: with a final answer of this router, or because its client has disconnected.
    fn end_request(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.finished) else { return };
        request.finished = true;
        self.queue.remove(&(request.over_quota, request.objective_at, id));
        match request.attempt {
            Some(attempt) if self.settings.can_cancel && !attempt.is_streaming && !attempt.cancelled => {
                self.actions.push(Action::Cancel { id, attempt: attempt.number });
                self.actions.extend(answer);
            }
            Some(_) => {
                self.actions.extend(answer);
                let is_held =
                    request.kv_cache.is_some() && !request.attempt.is_some_and(|attempt| attempt.kv_released);
                self.actions.extend(is_held.then_some(Action::ReleaseKv(id)));
            }
            None => {
                self.actions.extend(answer);
                self.actions.extend(request.kv_cache.map(|_| Action::ReleaseKv(id)));
                self.requests.remove(&id);
            }
        }
    }

    // --- Health: by failures, and compared with peers -------------------------------------------------

    fn is_unhealthy(&self, s: &Server, request: &InFlightRequest) -> bool {
        let is_ejected = s.is_ejected(self.now, None) || s.is_ejected(self.now, Some(request.traffic()));
        s.unreachable || is_ejected || s.latency_ratio >= OUTLIER_LATENCY_RATIO && s.awaiting_first_token > 0
    }

    /// Ejects a server for a while, for all traffic or for a class that it rejects or leaves unanswered while
    /// it serves the rest. One failure has to be enough, as a router may send to a server only seldom.
    fn eject(&mut self, server: ServerId, traffic: Option<TrafficClassKey>) {
        let revisit_after = EJECTION_VISITS
            * self.popularity.mean_interval(self.now, POPULARITY_SPAN)
            * self.servers.len() as f64;
        let shortest = (revisit_after as Nanos).clamp(RECENT, MAX_EJECTION);
        self.servers.entry(server).and_modify(|s| s.eject(self.now, traffic, shortest, MAX_EJECTION));
    }

    fn record_health(&mut self, outcome: &AttemptOutcome) {
        let now = self.now;
        let traffic = self.requests.get(&outcome.id).map(InFlightRequest::traffic);
        let Some(s) = self.servers.get_mut(&outcome.server) else { return };
        let without_response = [
            AttemptStatus::Timeout,
            AttemptStatus::Cancelled,
            AttemptStatus::ConnectFailed,
            AttemptStatus::Expired,
        ];
        s.last_response_at =
            if without_response.contains(&outcome.status) { s.last_response_at } else { now };
        if outcome.status.is_answer() {
            s.record_answer(now, outcome.latency);
        }
        match outcome.status {
            AttemptStatus::Ok | AttemptStatus::Prefilled => {
                (s.unreachable, s.connection_lost) = (false, false);
                traffic.into_iter().for_each(|traffic| s.record_success(traffic));
            }
            AttemptStatus::Error | AttemptStatus::Unknown => self.eject(outcome.server, None),
            AttemptStatus::Rejected if !outcome.kv_cache_missing || s.role == Role::Prefill => {
                s.saturated_at = Some(now);
                self.eject(outcome.server, traffic);
            }
            AttemptStatus::Timeout => self.eject(outcome.server, traffic),
            // It may be dead, cut off, or out of connections: a probe finds out when it is back.
            AttemptStatus::ConnectFailed | AttemptStatus::Reset => {
                (s.unreachable, s.connection_lost, s.next_probe_at) =
                    (true, s.connection_lost || outcome.status != AttemptStatus::Reset, now);
            }
            _ => {}
        }
    }

    fn on_probe_finished(
        &mut self,
        server: ServerId,
        status: AttemptStatus,
        latency: Nanos,
        report: Option<LoadReport>,
    ) {
        let (now, queued_tokens) = (self.now, self.prefill_cost.tokens_within(latency));
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.record_report(now, REPORT_LAG, report, self.prefill_cost.computed_tokens.value);
        s.probe_sent_at = None;
        if status.is_answer() {
            s.record_answer(now, latency);
        }
        if matches!(status, AttemptStatus::Ok | AttemptStatus::Timeout) {
            s.peer_queued_tokens = Some((queued_tokens - s.queued_prompt_tokens).max(0.0));
            s.reported_at = now;
            if s.role != Role::Prefill && latency >= SLOW_PROBE_LATENCY {
                s.saturated_at = Some(now);
            }
        }
        if status == AttemptStatus::ConnectFailed {
            (s.unreachable, s.connection_lost, s.next_probe_at) = (true, true, now + HEALTH_CHECK_INTERVAL);
        } else if status == AttemptStatus::Ok {
            if s.connection_lost {
                // It may be a new process that the endpoint list does not name yet. Without slow start all
                // routers would overload it.
                s.recovered_at = now;
                s.first_debt = AffinityKey(self.settings.seed).unit_interval(server);
                s.slow_start_budget =
                    TokenBucket::in_debt(now, AffinityKey(self.settings.seed).unit_interval(server));
            }
            (s.unreachable, s.connection_lost) = (false, false);
            (s.last_response_at, s.fast_probe_at) =
                (now, if latency < SLOW_PROBE_LATENCY { now } else { s.fast_probe_at });
        }
    }

    fn is_warming_up(&self, s: &Server) -> bool {
        s.process_started_at() > 0 && self.now < s.process_started_at() + self.settings.slow_start_duration
    }

    /// Whether slow start allows a send. Each router has its own budget: a share of what a warm peer
    /// completes for it. The budget starts in debt by a different part of a request on each router, or all would have
    /// paid it off at the same moment.
    fn slow_start_allows(&self, s: &Server, work: f64) -> bool {
        let needed = s.first_debt * (work - 1.0);
        !self.is_warming_up(s) || s.slow_start_budget.tokens >= needed
    }

    fn refill_slow_start_budgets(&mut self) {
        let (now, span_seconds) = (self.now, RATE_SPAN as f64 / 1e9);
        let window_seconds = self.settings.overload_window as f64 / 1e9;
        let floor = SLOW_START_FLOOR
            / (self.settings.overload_window as f64 / 1e9).max(0.1)
            / f64::from(self.settings.router_count);
        let share = (self.settings.overload_factor * self.settings.slow_start_speed).min(1.0);
        let kinds = (0..self.settings.kinds.len()).map(|kind| Some(KindId(kind))).chain([None]);
        let mut usual_loads = std::mem::take(&mut self.usual_loads);
        for (kind, (usual_rate, mean_weight)) in kinds.zip(&mut usual_loads) {
            let warm =
                || self.servers.values().filter(|p| p.ready && p.kind == kind && !self.is_warming_up(p));
            let mean_rate = average(warm().map(|p| p.completed_work.value_at(now, RATE_SPAN) / span_seconds));
            let is_any_saturated = warm().any(|p| p.saturated_at.is_some_and(|at| now < at + RATE_SPAN));
            *mean_weight = average(warm().map(|p| p.weight)).unwrap_or(*mean_weight);
            let present_rate = mean_rate.unwrap_or(usual_rate.value);
            usual_rate.follow(now, present_rate, RATE_SPAN);
            let rate = share
                * if is_any_saturated {
                    usual_rate.value * SATURATED_BUDGET_FRACTION
                } else {
                    present_rate.max(usual_rate.value)
                };
            for s in self.servers.values_mut().filter(|s| s.kind == kind) {
                let per_second = (rate * (s.weight / *mean_weight).min(1.0)).max(floor);
                s.slow_start_budget.refill(now, per_second, f64::MAX);
                // In overload, a request that was allowed for a whole window is forfeited.
                let forfeited_from = per_second * window_seconds;
                if is_any_saturated && s.slow_start_budget.tokens >= forfeited_from {
                    let tokens = s.slow_start_budget.tokens + 1.0;
                    s.slow_start_budget.tokens = tokens.rem_euclid(1.0 + forfeited_from) - 1.0;
                }
            }
        }
        self.usual_loads = usual_loads;
    }

    fn on_endpoints_changed(&mut self, update: EndpointUpdate, endpoints: &[Endpoint]) {
        if update == EndpointUpdate::Failed {
            return self.actions.push(Action::SetTimer { token: ENDPOINT_POLL_TIMER, delay: RECENT });
        }
        self.actions.extend(
            (update == EndpointUpdate::Cached && self.settings.poll_endpoints)
                .then_some(Action::WatchEndpoints(true)),
        );
        if update != EndpointUpdate::Delta {
            self.servers.values_mut().for_each(|s| s.ready = false);
        }
        for endpoint in endpoints {
            let Some((role, kv_capacity)) = self.settings.kind(endpoint.kind) else { continue };
            let id = endpoint.server;
            let s = self.servers.entry(id).or_insert_with(|| new_server(id, role, kv_capacity));
            // Nothing new is sent to a draining or removed server from now on: its grace period is not used.
            s.update_listing(self.now, endpoint, AffinityKey(self.settings.seed).unit_interval(id));
        }
        self.fleet.update_listed(&self.servers);
        self.fleet.update_load(self.now, 0, LOAD_MAX_AGE, &mut self.servers, &mut self.peer_reports);
    }

    // --- Ticks: deadlines, overdue attempts, probes and gossip ----------------------------------------

    fn on_tick(&mut self) {
        self.tick_is_scheduled = false;
        self.refill_slow_start_budgets();
        let ids: Vec<RequestId> = self.requests.iter().filter(|r| !r.1.finished).map(|r| *r.0).collect();
        ids.into_iter().for_each(|id| self.check_request(id));
        self.check_unreachable_servers();
        self.send_gossip();
    }

    fn check_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let misses_objective = self.now + self.time_to_first_token.value as Nanos > request.objective_at;
        match request.attempt {
            Some(attempt) if attempt.is_streaming => {}
            _ if self.now + GIVE_UP_MARGIN >= request.request.deadline_at => self.give_up(id),
            Some(attempt) => {
                if !self.check_delivery(id, &attempt) {
                    self.check_overdue(id, attempt);
                }
            }
            None if self.is_repeat_impossible(request) => self.give_up(id),
            // A queued request that can't meet its objective any more is given up, so that others can meet
            // theirs.
            None if misses_objective && request.kv_cache.is_none() => self.give_up(id),
            None => self.place_decode(id),
        }
    }

    /// Checks an unanswered decode attempt; returns whether it was cancelled. The next step is decided by the
    /// module's own function, as it depends on no sum.
    fn check_delivery(&mut self, id: RequestId, attempt: &Attempt) -> bool {
        let Some((_, held_since)) = self.requests.get(&id).and_then(|r| r.kv_cache) else { return false };
        let server = self.servers.get(&attempt.server);
        if attempt.stage != Stage::Decode || attempt.kv_released {
            return false;
        }
        let unanswered = UnansweredDecode {
            now: self.now,
            sent_at: attempt.sent_at,
            held_since,
            release_within: self.settings.kv_release_within,
            server_runs: server.is_some_and(|s| s.running_at > attempt.sent_at),
            probed_at: server.and_then(|s| s.probe_sent_at),
            may_probe: self.settings.can_probe,
        };
        let request = &self.requests[&id];
        let is_idempotent =
            self.settings.classes[request.request.class.0].idempotency == Idempotency::Idempotent;
        let has_attempts_left = request.attempt_count < self.settings.max_attempts;
        let may_retry = is_idempotent && has_attempts_left && self.settings.can_cancel && !attempt.cancelled;
        let can_take_it =
            |s: &&Server| s.id != attempt.server && self.has_capacity(s, request.expected_kv_tokens());
        let retries =
            unanswered.is_silent() && may_retry && self.candidates(false, request).iter().any(can_take_it);
        match unanswered.next_step() {
            NextStep::Retry | NextStep::Release if retries => {
                let now = self.now;
                self.servers
                    .entry(attempt.server)
                    .and_modify(|s| (s.unreachable, s.next_probe_at) = (true, now));
                self.requests
                    .entry(id)
                    .and_modify(|r| r.attempt = Some(Attempt { cancelled: true, ..*attempt }));
                self.actions.push(Action::Cancel { id, attempt: attempt.number });
                return true;
            }
            NextStep::Release => {
                self.requests
                    .entry(id)
                    .and_modify(|r| r.attempt = Some(Attempt { kv_released: true, ..*attempt }));
                self.actions.push(Action::ReleaseKv(id));
            }
            NextStep::Probe if self.budgets[1] >= self.settings.probe_cost => {
                let now = self.now;
                self.budgets[1] -= self.settings.probe_cost;
                self.servers.entry(attempt.server).and_modify(|s| s.probe_sent_at = Some(now));
                self.actions.push(Action::Probe(attempt.server));
            }
            NextStep::Probe | NextStep::Wait | NextStep::Retry => {}
        }
        false
    }

    /// Records what became of a request's KV cache with the end of an attempt.
    fn update_kv_cache(&mut self, outcome: &AttemptOutcome, attempt: &Attempt) {
        let server_runs = self.servers.get(&outcome.server).is_some_and(|s| s.running_at > attempt.sent_at);
        let Some(request) = self.requests.get_mut(&outcome.id) else { return };
        match kv_cache_after_attempt(outcome.status, attempt.kv_released, server_runs) {
            _ if outcome.status == AttemptStatus::Prefilled => {
                request.kv_cache = Some((outcome.server, self.now))
            }
            KvCacheAfterAttempt::HeldFromNow => {
                request.kv_cache = request.kv_cache.map(|(holder, _)| (holder, self.now))
            }
            KvCacheAfterAttempt::Released if request.kv_cache.is_some() && !request.finished => {
                request.kv_cache = None;
                self.actions.push(Action::ReleaseKv(outcome.id));
            }
            KvCacheAfterAttempt::Released | KvCacheAfterAttempt::Held => {}
        }
    }

    /// Checks an attempt that takes too long: its server may have a queue, be slow, be cut off or have died.
    fn check_overdue(&mut self, id: RequestId, attempt: Attempt) {
        let age = self.now - attempt.sent_at;
        let Some(request) = self.requests.get(&id) else { return };
        let prefill_wait = PREFILL_WAIT_FRACTION * request.time_to_objective();
        let kv_cell = request.kv_cache.and_then(|(holder, _)| self.servers.get(&holder)?.cell);
        let Some(s) = self.servers.get_mut(&attempt.server) else { return };
        // A KV cache that crosses cells may wait for a slow link; another far decode worker is no better
        // then.
        let (is_server_silent, is_near) = (s.last_response_at < attempt.sent_at, s.cell == kv_cell);
        if attempt.stage == Stage::Decode && age >= DECODE_STALL {
            s.saturated_at = Some(self.now);
        }
        let prefills = attempt.stage != Stage::Decode;
        let patience = (prefill_wait
            + attempt.queued_tokens * self.prefill_cost.late_time_per_token(OVERDUE_DEVIATIONS))
            as Nanos;
        let patience = if prefills { patience } else { DECODE_PATIENCE };
        if age < patience || attempt.cancelled {
            return;
        }
        if is_server_silent && self.settings.can_probe && !s.unreachable {
            (s.unreachable, s.next_probe_at) = (true, self.now);
        }
        // A prefill worker that answers a probe at once should have answered the attempt; one that does not
        // may be busy.
        if prefills && s.fast_probe_at <= attempt.sent_at && age < 2 * patience {
            return;
        }
        let is_harmless = attempt.stage == Stage::Prefill
            || self.settings.classes[request.request.class.0].idempotency == Idempotency::Idempotent;
        let has_capacity = |s: &Server| self.has_capacity(s, request.expected_kv_tokens());
        let is_better = |s: &&Server| {
            s.id != attempt.server
                && !self.is_unhealthy(s, request)
                && (prefills || has_capacity(s) && (is_near || is_server_silent || s.cell == kv_cell))
        };
        let may_cancel = request.attempt_count + ATTEMPTS_FROM_START <= self.settings.max_attempts
            && self.settings.can_cancel;
        if !is_harmless
            || !may_cancel
            || self.cancellations < 1.0
            || !self.candidates(prefills, request).iter().any(is_better)
        {
            return;
        }
        self.cancellations -= 1.0;
        let traffic = request.traffic();
        self.eject(attempt.server, Some(traffic));
        if prefills {
            self.prefill_cost.record_time_per_token(
                age as f64 / attempt.queued_tokens.max(PREFILL_BASE_TOKENS),
                MEAN_GAIN,
                UNLOADED_GAIN,
            );
        }
        self.requests.entry(id).and_modify(|r| r.attempt = Some(Attempt { cancelled: true, ..attempt }));
        self.actions.push(Action::Cancel { id, attempt: attempt.number });
    }

    /// Sends the own load to the other routers, where no server reports its load, and as often as that is
    /// worth its cost.
    fn send_gossip(&mut self) {
        let no_server_reports = self.servers.values().all(|s| s.peer_kv_tokens.is_none());
        if !self.settings.can_gossip
            || self.settings.router_count < 2
            || !no_server_reports
            || self.now < self.gossip_sent_at + GOSSIP_INTERVAL
        {
            return;
        }
        let data = encode_gossip(self.servers.values().map(|s| (s.id, s.reserved_kv_tokens)));
        let cost =
            self.settings.gossip_cost * f64::from(self.settings.router_count - 1) * data.len() as f64 / 256.0;
        if self.budgets[0] >= cost {
            self.budgets[0] -= cost;
            self.gossip_sent_at = self.now;
            self.actions.push(Action::SendGossip { peer: None, data });
        }
    }

    fn check_unreachable_servers(&mut self) {
        for s in self.servers.values_mut().filter(|s| s.ready && s.unreachable && s.next_probe_at <= self.now)
        {
            if self.settings.can_probe {
                s.next_probe_at = self.now + HEALTH_CHECK_INTERVAL;
                self.actions.push(Action::Probe(s.id));
            } else if self.now >= s.next_probe_at + RECENT {
                s.unreachable = false;
            }
        }
    }
}
