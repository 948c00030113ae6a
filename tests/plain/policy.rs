//! The decisions with every sum computed anew at each event, as a reference for the module.

use super::state::*;
use gaparch_scheduler::api::*;
use gaparch_scheduler::policy::unanswered_decode::{
    kv_cache_after_attempt, KvCacheAfterAttempt, NextStep, UnansweredDecode,
};
use std::collections::{BTreeMap, BTreeSet};

const MS: Nanos = 1_000_000;
/// The time between two checks of deadlines, queued requests and overdue attempts.
const TICK_INTERVAL: Nanos = 10 * MS;
/// An unanswered request ends so long before its client leaves.
const GIVE_UP_MARGIN: Nanos = 25 * MS;
/// The share of the KV release time by which a KV cache has to be sent for.
const PLACEMENT_FRACTION: f64 = 0.7;
/// A saturated server is left alone for so long, and one heard from needs no probe.
const RECENT: Nanos = 1000 * MS;
/// The KV cache utilization from which a decode worker counts as saturated.
const SATURATION_UTILIZATION: f64 = 0.92;
/// How much higher the utilization of a near decode worker may be than that of the least loaded one.
const NEAR_DECODE_TOLERANCE: f64 = 0.25;
/// What is added to that for each second that decoding begins later across cells.
const SLOW_LINK_TOLERANCE: f64 = 0.5;
/// The most affinity that a prefill worker attracts, as a multiple of an even share.
const MAX_AFFINITY: f64 = 1.6;
/// Prefill workers that a shared prefix is spread over, for each even worker's share of all requests.
const WORKERS_PER_PREFIX_SHARE: f64 = 3.0;
/// The span over which requests are counted for that.
const POPULARITY_SPAN: Nanos = 60_000 * MS;
/// Tokens that a prefill costs whatever its length.
const PREFILL_BASE_TOKENS: f64 = 400.0;
/// The prompt length that is assumed where a request has none.
const DEFAULT_PROMPT_TOKENS: f64 = 500.0;
/// The age from which load reports count no longer.
const LOAD_MAX_AGE: Nanos = 3000 * MS;
/// The points that each request earns for probes, and for gossip.
const INFORMATION_POINTS: f64 = 0.015;
/// The least time between two gossip messages.
const GOSSIP_INTERVAL: Nanos = 300 * MS;
/// How long a prefill waits for the answers of load probes.
const PROBE_WAIT: Nanos = 30 * MS;
/// The number of decode workers of the prefill worker's cell that are probed during a prefill.
const PROBED_DECODE_WORKERS: usize = 2;
/// A decode worker whose probe takes longer counts as saturated.
const SLOW_PROBE_LATENCY: Nanos = 120 * MS;
/// The lag of load reports, with which own work is reported from that of other routers.
const REPORT_LAG: Nanos = 500 * MS;
/// The weight of a new sample in running means.
const MEAN_GAIN: f64 = 0.1;
/// The weight of a slower sample in the time per token of an unloaded prefill.
const UNLOADED_GAIN: f64 = 0.02;
/// The weight of a new sample in a server's own latency.
const LATENCY_GAIN: f64 = 0.25;
/// A server that fails is ejected until this router would send to it so often again.
const EJECTION_VISITS: f64 = 1.0;
/// The longest ejection.
const MAX_EJECTION: Nanos = 16_000 * MS;
/// The latency ratio from which a server counts as so much smaller.
const SLOW_LATENCY_RATIO: f64 = 2.0;
/// The latency ratio from which a server gets one request at a time.
const OUTLIER_LATENCY_RATIO: f64 = 3.0;
/// Samples before a server's own latency counts.
const LATENCY_SAMPLES: u32 = 3;
/// The time between two probes of a server that could not be reached.
const HEALTH_CHECK_INTERVAL: Nanos = 400 * MS;
/// A decode attempt without a first token for so long is queued.
const DECODE_STALL: Nanos = 400 * MS;
/// A decode attempt without a first token for so long is cancelled if another worker has capacity.
const DECODE_PATIENCE: Nanos = 900 * MS;
/// The share of the latency objective from which a wait makes a prefill worker count as saturated.
const PREFILL_WAIT_FRACTION: f64 = 0.25;
/// The share of the latency objective from which a prefill is lost.
const PREFILL_LOST_FRACTION: f64 = 1.0;
/// The share of the recent prefill rate that goes on after a lost one.
const PREFILL_REDUCTION: f64 = 0.8;
/// The share by which the prefill rate grows in a second.
const PREFILL_RATE_GROWTH: f64 = 0.2;
/// A prefill is overdue when it is slower than the mean by so many deviations.
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// The cancellations that each attempt sent allows.
const CANCELLATIONS_PER_ATTEMPT: f64 = 0.2;
/// The least timeout of a send where attempts can't be cancelled.
const MIN_SEND_TIMEOUT: Nanos = 1500 * MS;
/// The attempts that an answer takes from the start.
const ATTEMPTS_FROM_START: u32 = 2;
/// The span over which rates of sends are measured.
const RATE_SPAN: Nanos = 5000 * MS;
/// Mean requests that a server that is warming up gets in an overload window when its peers get nothing.
const SLOW_START_FLOOR: f64 = 0.5;
/// How many times its even part a tenant may send through this router.
const QUOTA_TOLERANCE: f64 = 1.5;
/// Seconds of its quota that a tenant may send at once.
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
    /// Queued before their read, in the order in which they leave.
    queue: BTreeSet<(bool, Nanos, RequestId)>,
    quotas: Vec<TokenBucket>,
    prompt_tokens_by_class: Vec<RunningMean>, // tokens by class
    output_tokens_by_class: Vec<RunningMean>,
    time_to_first_token: LaggedValue, // from the prefill's send to the first token
    prefill_cost: PrefillCostModel,
    throttle: AdaptiveThrottle,           // of prefills
    cancellations: f64,                   // attempts that may be called off yet
    usual_loads: Vec<(LaggedValue, f64)>, // by kind: mean requests a second attempt to a warm server, and its weight
    decode_delays: [RunningMean; 2], // seconds to the first token of a decode attempt, in the prefill worker's cell and out of it
    popularity: PrefixPopularity,
    peer_reports: PeerReports, // what other routers reported that they hold
    gossip_sent_at: Nanos,
    budgets: [f64; 2], // what may be is_repeat_impossible on messages and on probes, in points of service a request
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
            Event::EndpointsChanged { update: kind, endpoints: entries } => {
                self.on_endpoints_changed(kind, &entries)
            }
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
        let awake = self.requests.values().any(InFlightRequest::awaits_first_token)
            || self.servers.values().any(|s| s.unreachable);
        if !self.tick_is_scheduled && awake {
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
        let prompt = if request.prompt_tokens > 0.0 { request.prompt_tokens } else { DEFAULT_PROMPT_TOKENS };
        // The expected length of the answer: as the expected duration says, else half of what is allowed.
        let answer = match request.expected_duration {
            Some(hint) if class.token_latency_objective > 0 => {
                hint as f64 / class.token_latency_objective as f64
            }
            _ => request.max_output_tokens / 2.0,
        };
        let answer =
            if request.max_output_tokens > 0.0 { answer.min(request.max_output_tokens) } else { answer };
        let over_quota = self.over_quota(request.tenant);
        self.budgets =
            self.budgets.map(|budget| (budget + INFORMATION_POINTS).min(INFORMATION_POINTS * 100.0));
        let preferred = self.preferred(request.prefix);
        self.prompt_tokens_by_class[request.class.0].add(prompt, MEAN_GAIN);
        self.output_tokens_by_class[request.class.0].add(answer, MEAN_GAIN);
        let (id, give_up_at) = (request.id, request.deadline_at);
        let objective_at =
            self.now + class.latency_objective + (class.latency_objective_per_prompt_token * prompt) as Nanos;
        let request = Request { prompt_tokens: prompt, ..request };
        self.requests.insert(
            id,
            InFlightRequest::new(
                request,
                self.now,
                self.settings.seed,
                preferred,
                over_quota,
                objective_at,
                answer,
            ),
        );
        if give_up_at <= self.now + GIVE_UP_MARGIN {
            return self.give_up(id);
        }
        self.queue.insert((over_quota, objective_at, id));
    }

    /// Prefill workers that a shared prefix is spread over: more where it surely is more than one worker's part of
    /// all requests, by what this router saw, as it would swamp one. Coarse, so that sessions stay where they are.
    fn preferred(&mut self, prefix: Option<AffinityKey>) -> usize {
        let readers = self.servers.values().filter(|s| s.ready && s.role != Role::Decode).count();
        let (same, all) = self.popularity.add(self.now, prefix, POPULARITY_SPAN);
        let sure = (same - same.sqrt()).max(0.0) / all.max(1.0);
        next_power_of_four((sure * WORKERS_PER_PREFIX_SHARE * readers as f64) as usize)
    }

    /// Whether this request is beyond its tenant's quota, of which each router takes an even part.
    fn over_quota(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant.filter(|t| t.0 < self.quotas.len()) else { return false };
        let rate = self.settings.tenants[tenant.0].quota_per_second / f64::from(self.settings.router_count)
            * QUOTA_TOLERANCE;
        rate > 0.0 && !self.quotas[tenant.0].take(self.now, rate, rate * QUOTA_BURST_SECONDS + 1.0)
    }

    // --- Before the prefill: queued while all decode workers look saturated --------------------------

    /// Admits queued requests to their prefill as far as decode workers have capacity for them.
    fn admit(&mut self) {
        for held in self.queue.iter().copied().collect::<Vec<_>>() {
            let Some(request) = self.requests.get(&held.2) else { continue };
            let allowed = self.throttle.allows(self.now, PREFILL_RATE_GROWTH);
            let room = || {
                self.mixed_server_has_capacity(request.expected_kv_tokens())
                    || self.decode_workers_have_capacity(request)
            };
            if allowed && room() && self.start_prefill(held.2) {
                self.queue.remove(&held);
            }
        }
    }

    /// Capacity for a request beside what is being prefilled for decode workers already.
    fn decode_workers_have_capacity(&self, request: &InFlightRequest) -> bool {
        let need = request.expected_kv_tokens();
        let pledged: f64 = self
            .requests
            .values()
            .filter(|w| w.will_need_decode())
            .map(InFlightRequest::expected_kv_tokens)
            .sum();
        let mut with_room = self.candidates(false, request);
        with_room.retain(|s| self.has_capacity(s, need));
        let free: f64 = with_room
            .iter()
            .map(|s| (SATURATION_UTILIZATION - self.memory_utilization(s)) * s.kv_capacity_tokens)
            .sum();
        !with_room.is_empty()
            && (free >= pledged + need || with_room.iter().any(|s| s.kv_capacity_tokens <= 0.0))
    }

    /// Sends a request to its preferred prefill worker, or to the least loaded one where that is clearly busier.
    fn start_prefill(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return true };
        let mut readers = self.candidates(true, request);
        if readers.is_empty() {
            return self.start_at_decode_worker(id);
        }
        let writers = self.mixed().is_empty() || self.decode_workers_have_capacity(request);
        readers.retain(|s| {
            if s.role == Role::Mixed {
                self.has_capacity(s, request.expected_kv_tokens())
            } else {
                writers
            }
        });
        let preferred = self.preferred_workers(request, &readers);
        let Some(first) = preferred.first().copied() else { return false };
        let kept = |s: &Server| {
            preferred.iter().find(|h| h.id == s.id).map_or(0.0, |_| request.request.prefix_tokens)
        };
        let unread = |s: &Server| PREFILL_BASE_TOKENS + (request.request.prompt_tokens - kept(s)).max(0.0);
        let cost = |s: &Server| {
            (s.queued_prompt_tokens + self.peer_queued_tokens(s) + unread(s)) / self.relative_speed(s)
        };
        // A prefill worker with a long wait counts as saturated, but one with nothing of ours is tried all the same.
        let wait =
            |s: &Server| (s.queued_prompt_tokens + self.peer_queued_tokens(s)) / self.relative_speed(s);
        let long = |s: &Server| {
            s.awaiting_first_token > 0
                && wait(s) * self.prefill_cost.unloaded_time_per_token
                    > PREFILL_WAIT_FRACTION * request.time_to_objective()
        };
        let room = |s: &&&Server| !s.was_saturated_within(self.now, RECENT) && !long(s);
        let tie_breaker = |s: &Server| request.tie_breaker.rendezvous_rank(s.id);
        let order = |a: &&&Server, b: &&&Server| {
            cost(a).total_cmp(&cost(b)).then(tie_breaker(a).cmp(&tie_breaker(b)))
        };
        let Some(least) = readers.iter().filter(room).min_by(order) else { return false };
        let at_home = |s: &Server| preferred.iter().any(|h| h.id == s.id);
        let rank = |s: &&&Server| (self.is_warming_up(s), at_home(s), tie_breaker(s));
        let other = readers.iter().filter(|s| s.id != first.id).max_by_key(rank);
        let probed: Vec<ServerId> = [first].iter().chain(other).map(|s| s.id).collect();
        let first = Some(first).filter(|s| room(&s)).unwrap_or(least);
        let margin = self.prefill_cost.computed_tokens.value.max(unread(first)) / self.relative_speed(first);
        let chosen = if cost(first) > cost(least) + margin { least } else { first };
        let stage = if chosen.role == Role::Mixed { Stage::Combined } else { Stage::Prefill };
        let (unread, queued, probe_outstanding) =
            (unread(chosen), cost(chosen), chosen.awaits_probe_for(self.now, PROBE_WAIT));
        let (chosen, cell, until) =
            (chosen.id, chosen.cell, request.probe_deadline.unwrap_or(self.now + PROBE_WAIT));
        self.requests.entry(id).and_modify(|w| w.probe_deadline = Some(until));
        if self.now < until && self.probe_loads(&probed) {
            return false;
        }
        let Some(request) = self.requests.get(&id) else { return true };
        let mut near = self.candidates(false, request);
        near.retain(|s| s.cell.is_some() && s.cell == cell);
        near.sort_by_key(|s| request.tie_breaker.rendezvous_rank(s.id));
        let near: Vec<ServerId> = near.iter().take(PROBED_DECODE_WORKERS).map(|s| s.id).collect();
        self.throttle.take(self.now, RATE_SPAN);
        self.send(
            id,
            Attempt {
                prompt_tokens: unread,
                queued_tokens: queued,
                probe_outstanding,
                ..Attempt::planned(chosen, stage)
            },
        );
        self.probe_loads(&near);
        true
    }

    /// The workers that its shared prefix has affinity to by rendezvous hashing, those of its session first; the same on
    /// all routers. They are spread as the decode workers that can take KV caches without leaving the cell.
    fn preferred_workers<'s>(&self, request: &InFlightRequest, readers: &[&'s Server]) -> Vec<&'s Server> {
        let split = self.servers.values().any(|s| s.ready && s.role == Role::Decode);
        let writes = if split { Role::Decode } else { Role::Mixed } as usize;
        let weight = |s: &Server| {
            let cell = s.cell.filter(|_| s.role == Role::Prefill).and_then(|c| self.fleet.cells.get(&c));
            let near = cell.map_or(1.0, |of| of[writes] / of[Role::Prefill as usize].max(1e-9));
            s.weight * near.clamp(1e-3, MAX_AFFINITY)
        };
        let session = request.request.session.unwrap_or(AffinityKey(request.request.id.0));
        let by = |key: AffinityKey| move |s: &&Server| -key.unit_interval(s.id).ln() / weight(s);
        let first = request.request.prefix.unwrap_or(session);
        let mut preferred = sorted_by(readers.to_vec(), by(first));
        let others = preferred.split_off(request.affinity_workers.min(preferred.len()));
        let spare =
            |s: &&Server| -first.unit_interval(s.id).ln() / (MAX_AFFINITY * s.weight - weight(s)).max(1e-3);
        let next = sorted_by(others, spare).into_iter().next();
        sorted_by(preferred, by(session)).into_iter().chain(next).collect()
    }

    /// Probes those not heard from lately, as many routers hear too seldom; whether an answer is awaited.
    fn probe_loads(&mut self, at: &[ServerId]) -> bool {
        let (now, price) = (self.now, self.settings.probe_cost);
        for id in at.iter().filter(|_| self.settings.can_probe) {
            let Some(s) = self.servers.get_mut(id) else { continue };
            if s.probe_sent_at.is_none() && s.last_response_at + RECENT < now && self.budgets[1] >= price {
                self.budgets[1] -= price;
                s.probe_sent_at = Some(now);
                self.actions.push(Action::Probe(*id));
            }
        }
        at.iter().any(|id| self.servers.get(id).is_some_and(|s| s.probe_sent_at.is_some()))
    }

    /// What other routers' requests have queued there, as the reports or a probe's latency say; else the mean.
    fn peer_queued_tokens(&self, s: &Server) -> f64 {
        let queue = if s.awaits_probe_for(self.now, PROBE_WAIT) {
            self.prefill_cost.probe_outstanding.value
        } else {
            0.0
        };
        let asked =
            s.probe_sent_at.map_or(0.0, |at| self.prefill_cost.tokens_within(self.now - at).max(queue));
        let known = s.peer_queued_tokens.or(self.fleet.peer_queued_tokens[s.role as usize]);
        known.unwrap_or(0.0).max(asked)
    }

    /// With no prefill worker at all a decode worker that can prefill takes the request whole.
    fn start_at_decode_worker(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id).filter(|_| self.settings.decode_workers_can_prefill)
        else {
            return false;
        };
        let unread = PREFILL_BASE_TOKENS + request.request.prompt_tokens;
        let Some(server) = self.choose_decode_worker(request, false) else { return false };
        self.send(
            id,
            Attempt {
                prompt_tokens: unread,
                queued_tokens: unread,
                ..Attempt::planned(server, Stage::Combined)
            },
        );
        true
    }

    // --- After the prefill: a decode worker with capacity, near the KV cache -------------------------

    /// The decode worker for a KV cache. `must`: one is needed now, with capacity or without.
    fn choose_decode_worker(&self, request: &InFlightRequest, must: bool) -> Option<ServerId> {
        let need = request.expected_kv_tokens();
        let all = self.candidates(false, request);
        let open: Vec<&Server> = all.iter().copied().filter(|s| self.has_capacity(s, need)).collect();
        let open = if open.is_empty() && must { all } else { open };
        let least = self.least_loaded(request, open.iter().copied())?;
        let reader = request.kv_cache.and_then(|(r, _)| self.servers.get(&r));
        let cell = |s: &&&Server| s.cell.is_some() && reader.is_some_and(|r| r.cell == s.cell);
        let zone = |s: &&&Server| s.zone.is_some() && reader.is_some_and(|r| r.zone == s.zone);
        let margin = NEAR_DECODE_TOLERANCE
            + SLOW_LINK_TOLERANCE * (self.decode_delays[1].value - self.decode_delays[0].value).max(0.0);
        let in_cell = self.least_loaded(request, open.iter().filter(cell).copied());
        let in_zone = self.least_loaded(request, open.iter().filter(zone).copied());
        let near = in_cell
            .into_iter()
            .chain(in_zone)
            .find(|s| self.relative_decode_load(s) <= self.relative_decode_load(least) + margin);
        Some(near.unwrap_or(least).id)
    }

    /// Ties go to the least own load, then by rank: many routers that know little would else pick the same one.
    fn least_loaded<'s>(
        &self,
        w: &InFlightRequest,
        all: impl Iterator<Item = &'s Server>,
    ) -> Option<&'s Server> {
        all.min_by(|a, b| {
            let tie_breaker =
                || w.tie_breaker.rendezvous_rank(a.id).cmp(&w.tie_breaker.rendezvous_rank(b.id));
            self.relative_decode_load(a)
                .total_cmp(&self.relative_decode_load(b))
                .then(a.reserved_kv_tokens.total_cmp(&b.reserved_kv_tokens))
                .then_with(tie_breaker)
        })
    }

    /// Saturated: as it reported, as it answered recently, or as it is estimated.
    fn has_capacity(&self, s: &Server, need: f64) -> bool {
        let fits = s.kv_capacity_tokens <= 0.0
            || self.memory_utilization(s) + need / s.kv_capacity_tokens <= SATURATION_UTILIZATION
            || s.reserved_kv_tokens <= 0.0;
        let late = s.probe_sent_at.is_some_and(|at| self.now >= at + SLOW_PROBE_LATENCY);
        !s.was_saturated_within(self.now, RECENT)
            && s.memory_utilization.is_none_or(|share| share < SATURATION_UTILIZATION)
            && !late
            && fits
    }

    /// The estimated share of a decode worker's KV cache in use: by own attempts, and other routers'.
    fn memory_utilization(&self, s: &Server) -> f64 {
        let others = self
            .peer_utilization(s)
            .unwrap_or_else(|| self.gossiped_tokens(s) / s.kv_capacity_tokens.max(1.0));
        s.reserved_kv_tokens / s.kv_capacity_tokens.max(1.0) + others
    }

    /// The share that other routers use, by reports; a server not heard from lately counts as average.
    fn peer_utilization(&self, s: &Server) -> Option<f64> {
        s.peer_kv_tokens
            .map(|held| held / s.kv_capacity_tokens.max(1.0))
            .or(self.fleet.peer_utilization[s.role as usize])
    }

    /// Without any report what gossip says; a router not heard from counts as the mean of those known, less
    /// what chance may do: a handful of requests says little of hundreds of routers. Only for capacity.
    fn gossiped_tokens(&self, s: &Server) -> f64 {
        let all = &self.fleet;
        let heard = self.peer_reports.reporting_routers();
        let unheard = (f64::from(self.settings.router_count) - 1.0 - heard).max(0.0);
        let streams = all.known_kv_tokens
            / (mean(&self.prompt_tokens_by_class) + mean(&self.output_tokens_by_class)).max(1.0);
        let sure = 1.0 - streams.max(1.0).sqrt().recip();
        self.peer_reports.all.get(&s.id).map_or(0.0, |t| *t)
            + unheard * sure * all.known_kv_tokens_per_server / (1.0 + heard)
    }

    fn relative_decode_load(&self, s: &Server) -> f64 {
        (s.reserved_kv_tokens / s.kv_capacity_tokens.max(1.0) + self.peer_utilization(s).unwrap_or(0.0))
            / self.relative_speed(s)
    }

    /// Its weight beside the mean of its role, less while it is slow or warming up.
    fn relative_speed(&self, s: &Server) -> f64 {
        let mean = self.fleet.weight[s.role as usize];
        let relative = if mean > 0.0 { s.weight / mean } else { 1.0 };
        let relative =
            if s.latency_ratio >= SLOW_LATENCY_RATIO { relative / s.latency_ratio } else { relative };
        relative.max(0.02)
            * if self.is_warming_up(s) { self.settings.slow_start_speed.clamp(0.1, 1.0) } else { 1.0 }
    }

    /// A KV cache waits: it is sent for, waits a little longer, or is released when the release time runs out.
    fn place_decode(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some((_, since)) = request.kv_cache.filter(|_| request.attempt.is_none()) else { return };
        let patience = (self.settings.kv_release_within as f64 * PLACEMENT_FRACTION) as Nanos;
        let must = self.now + TICK_INTERVAL >= since + patience;
        let over = self.now > since && self.now >= since + self.settings.kv_release_within;
        if let Some(server) = self.choose_decode_worker(request, must).filter(|_| !over) {
            self.send(id, Attempt::planned(server, Stage::Decode));
        } else if must {
            self.give_up(id);
        }
    }

    /// Servers of one stage that may be sent to now, without unhealthy ones while enough others are left.
    fn candidates(&self, reads: bool, request: &InFlightRequest) -> Vec<&Server> {
        let split = self.servers.values().any(|s| s.ready && s.role == Role::Decode);
        let fits = |s: &&Server| match s.role {
            Role::Prefill => reads,
            Role::Decode => !reads,
            Role::Mixed => reads || !split,
        };
        let may = |s: &&Server| s.ready && self.slow_start_allows(s) && self.allows_repeat(request, s);
        let mut open: Vec<&Server> = self.servers.values().filter(may).filter(fits).collect();
        if !reads && open.iter().all(|s| s.unreachable) {
            open.extend(self.mixed().into_iter().filter(|s| may(s)));
        }
        let well = |s: &&Server| !self.is_unhealthy(s, request) && !request.failed_servers.contains(&s.id);
        let well: Vec<&Server> = open.iter().copied().filter(well).collect();
        // Where most look unhealthy the cause is likely elsewhere, and the few left would be swamped.
        if !well.is_empty() && well.len() * 3 >= open.len() {
            return well;
        }
        let none = open.iter().all(|s| s.unreachable);
        open.into_iter().filter(|s| none || !s.unreachable).collect()
    }

    /// Requests with a key that may have run go to the same scope only, within the window.
    fn allows_repeat(&self, request: &InFlightRequest, s: &Server) -> bool {
        let Some(ran) = request.may_have_run else { return true };
        let same = |class: &TrafficClass| {
            class.deduplication_scope.domain(ran.zone, ran.cell)
                == class.deduplication_scope.domain(s.zone, s.cell)
        };
        !self.is_repeat_impossible(request)
            && self.settings.classes.get(request.request.class.0).is_some_and(same)
    }

    fn is_repeat_impossible(&self, request: &InFlightRequest) -> bool {
        let Some(ran) = request.may_have_run else { return false };
        let Some(class) = self.settings.classes.get(request.request.class.0) else { return true };
        let over = self.now + TICK_INTERVAL >= ran.at + class.deduplication_window;
        class.idempotency == Idempotency::NotIdempotent
            || class.deduplication_scope.domain(ran.zone, ran.cell).is_none()
            || over
    }

    fn send(&mut self, id: RequestId, plan: Attempt) {
        let (now, server, stage) = (self.now, plan.server, plan.stage);
        // What it weighs for a server that is warming up: its class's mean work, in mean requests.
        let means =
            if stage == Stage::Prefill { &self.prompt_tokens_by_class } else { &self.output_tokens_by_class };
        let class = self.requests.get(&id).map_or(0, |w| w.request.class.0);
        let cost = (means.get(class).map_or(0.0, |m| m.value) / mean(means).max(1.0)).max(0.1);
        let patience = self.requests.get(&id).map_or(0, |w| self.patience(w, &plan));
        let (Some(request), Some(s)) = (self.requests.get_mut(&id), self.servers.get_mut(&server)) else {
            return;
        };
        let reserved_kv_tokens = if stage == Stage::Prefill { 0.0 } else { request.expected_kv_tokens() };
        let attempt = Attempt {
            number: AttemptNumber(request.attempt_count),
            sent_at: now,
            reserved_kv_tokens,
            ..plan
        };
        s.begin_attempt(now, REPORT_LAG, &attempt);
        s.recent_work.add(now, cost, RATE_SPAN);
        s.slow_start_budget.tokens -= cost;
        self.cancellations =
            (self.cancellations + CANCELLATIONS_PER_ATTEMPT).min(1.0 + CANCELLATIONS_PER_ATTEMPT * 10.0);
        request.attempt_count += 1;
        request.first_sent_at = request.first_sent_at.or(Some(now));
        request.attempt = Some(attempt);
        let safe = stage == Stage::Prefill
            || self.settings.classes[request.request.class.0].idempotency == Idempotency::Idempotent;
        let timeout = if self.settings.can_cancel || !safe { 0 } else { MIN_SEND_TIMEOUT.max(patience) };
        let ran = request.may_have_run.map(|ran| {
            ran.at.saturating_add(self.settings.classes[request.request.class.0].deduplication_window)
        });
        let within = self.settings.kv_release_within.max(2 * self.settings.step).max(TICK_INTERVAL);
        let state = self.requests.get(&id).and_then(|w| w.kv_cache);
        let release_by = state.map_or(Nanos::MAX, |(_, since)| since.saturating_add(within));
        let by = ran.unwrap_or(Nanos::MAX).min(release_by);
        self.actions.push(Action::Send { id, server, timeout, send_by: by });
    }

    fn patience(&self, request: &InFlightRequest, attempt: &Attempt) -> Nanos {
        (PREFILL_WAIT_FRACTION * request.time_to_objective()
            + attempt.queued_tokens * self.prefill_cost.late_time_per_token(OVERDUE_DEVIATIONS))
            as Nanos
    }

    fn on_first_token(&mut self, id: RequestId, number: AttemptNumber, latency: Nanos) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let cell = request.kv_cache.take().and_then(|(reader, _)| self.servers.get(&reader)?.cell);
        let Some(attempt) = request.attempt.as_mut().filter(|s| s.number == number && !s.begun) else {
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
        attempt.begun = true;
        let per_token = latency as f64 / attempt.queued_tokens.max(PREFILL_BASE_TOKENS);
        if attempt.stage == Stage::Decode {
            self.decode_delays[usize::from(s.cell != cell)].add(latency as f64 / 1e9, MEAN_GAIN);
        } else {
            self.prefill_cost.add(per_token, MEAN_GAIN, UNLOADED_GAIN);
        }
        let pace = if attempt.stage == Stage::Decode { latency as f64 } else { per_token };
        if (attempt.stage == Stage::Decode) != (s.role == Role::Mixed) {
            record_latency(&mut self.servers, attempt.server, pace, LATENCY_GAIN, LATENCY_SAMPLES);
        }
    }

    /// Ready mixed servers beside decode workers.
    fn mixed(&self) -> Vec<&Server> {
        let split = self.servers.values().any(|s| s.ready && s.role == Role::Decode);
        self.servers.values().filter(|s| split && s.ready && s.role == Role::Mixed).collect()
    }

    fn mixed_server_has_capacity(&self, need: f64) -> bool {
        self.mixed().into_iter().any(|s| self.has_capacity(s, need))
    }

    fn on_attempt_finished(&mut self, o: AttemptOutcome) {
        self.record_health(&o);
        let Some(request) = self.requests.get_mut(&o.id) else { return };
        let Some(attempt) = request.attempt.take_if(|s| s.number == o.attempt) else { return };
        request.finished |= o.request_finished;
        let prompt = request.request.prompt_tokens;
        let aim = request.time_to_objective();
        if let Some(s) = self.servers.get_mut(&o.server) {
            s.end_attempt(self.now, REPORT_LAG, &attempt);
            s.record_report(self.now, REPORT_LAG, o.report, self.prefill_cost.computed_tokens.value);
        }
        if attempt.stage == Stage::Prefill && o.status == AttemptStatus::Prefilled {
            let read = PREFILL_BASE_TOKENS + (prompt - o.cached_prompt_tokens as f64).max(0.0);
            let per_token =
                self.prefill_cost.record_finished(&attempt, o.latency, read, MEAN_GAIN, UNLOADED_GAIN);
            record_latency(&mut self.servers, o.server, per_token, LATENCY_GAIN, LATENCY_SAMPLES);
        }
        let reads = attempt.stage != Stage::Decode && o.status == AttemptStatus::Prefilled;
        if reads && o.latency as f64 > PREFILL_LOST_FRACTION * aim {
            self.throttle.reduce(self.now, PREFILL_REDUCTION, RATE_SPAN, RECENT);
        }
        self.follow_up_attempt(o, attempt);
    }

    fn follow_up_attempt(&mut self, o: AttemptOutcome, attempt: Attempt) {
        self.update_kv_cache(&o, &attempt);
        let Some(request) = self.requests.get_mut(&o.id) else { return };
        let read = attempt.stage == Stage::Prefill;
        if request.finished {
            self.actions.extend((!attempt.begun).then_some(Action::ReleaseKv(o.id)));
            self.requests.remove(&o.id);
            return;
        }
        let effect = self.settings.classes[request.request.class.0].idempotency;
        let not_run = matches!(
            o.status,
            AttemptStatus::Rejected
                | AttemptStatus::ConnectFailed
                | AttemptStatus::Expired
                | AttemptStatus::Prefilled
        );
        if !read && !not_run && effect != Idempotency::Idempotent && request.may_have_run.is_none() {
            let (zone, cell) = self.servers.get(&o.server).map_or((None, None), |s| (s.zone, s.cell));
            request.may_have_run = Some(MayHaveRun { zone, cell, at: attempt.sent_at });
        }
        let no_state = o.kv_cache_missing && !read;
        if no_state {
            // Out of the decode worker's reach is not released: a holder that is cut off still has it.
            request.kv_cache = None;
            self.actions.push(Action::ReleaseKv(o.id));
        } else if o.status != AttemptStatus::Prefilled && !request.failed_servers.contains(&o.server) {
            request.failed_servers.push(o.server);
        }
        // A KV cache needs one more attempt, no KV cache two.
        let steps = if request.kv_cache.is_some() { 1 } else { ATTEMPTS_FROM_START };
        let (state, turn) = (request.kv_cache, (request.over_quota, request.objective_at, o.id));
        let used = request.attempt_count + steps > self.settings.max_attempts.max(steps);
        let is_repeat_impossible = self.requests.get(&o.id).is_some_and(|w| self.is_repeat_impossible(w));
        if is_repeat_impossible || o.status == AttemptStatus::Expired || used {
            return self.give_up(o.id);
        }
        match state {
            Some(_) => self.place_decode(o.id),
            None => drop(self.queue.insert(turn)),
        }
    }

    /// A rejection where a retry is harmless, else a failure; no KV cache stays held.
    fn give_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(class) = self.settings.classes.get(request.request.class.0) else { return };
        // A prefill has no effect, but one that can't be cancelled may not have ended yet.
        let runs = |s: Attempt| s.stage != Stage::Prefill || !self.settings.can_cancel;
        let ran = request.may_have_run.is_some() || request.attempt.is_some_and(runs);
        let harmless = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => !ran || class.deduplication_scope == DeduplicationScope::All,
            Idempotency::NotIdempotent => !ran,
        };
        let retry_after = if self.settings.can_send_retry_after { self.settings.max_retry_after } else { 0 };
        // It says no reasons; the comparison leaves them out.
        let why = GiveUpReason::DeadlineExceeded.into();
        let answer = if harmless {
            Action::Reject { id, retry_after, cause: why }
        } else {
            Action::Fail { id, cause: why }
        };
        self.end_request(id, Some(answer));
    }

    /// Ends a request: by a final answer of ours, or because its client has left.
    fn end_request(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|w| !w.finished) else { return };
        request.finished = true;
        self.queue.remove(&(request.over_quota, request.objective_at, id));
        match request.attempt {
            Some(attempt) if self.settings.can_cancel && !attempt.begun && !attempt.cancelled => {
                self.actions.push(Action::Cancel { id, attempt: attempt.number });
                self.actions.extend(answer);
            }
            Some(_) => {
                self.actions.extend(answer);
                let held =
                    request.kv_cache.is_some() && !request.attempt.is_some_and(|attempt| attempt.kv_released);
                self.actions.extend(held.then_some(Action::ReleaseKv(id)));
            }
            None => {
                self.actions.extend(answer);
                self.actions.extend(request.kv_cache.map(|_| Action::ReleaseKv(id)));
                self.requests.remove(&id);
            }
        }
    }

    // --- Health: by failures, and against peers ------------------------------------------------------

    fn is_unhealthy(&self, s: &Server, request: &InFlightRequest) -> bool {
        let ejections = s.is_ejected(self.now, None) || s.is_ejected(self.now, Some(request.traffic()));
        s.unreachable || ejections || s.latency_ratio >= OUTLIER_LATENCY_RATIO && s.awaiting_first_token > 0
    }

    /// Ejects a server for a while, for all traffic or for a class that it rejects or leaves unanswered while
    /// it serves the rest. One failure has to tell where a router seldom sends to a server.
    fn eject(&mut self, server: ServerId, part: Option<TrafficClassKey>) {
        let visits = EJECTION_VISITS
            * self.popularity.mean_interval(self.now, POPULARITY_SPAN)
            * self.servers.len() as f64;
        let least = (visits as Nanos).clamp(RECENT, MAX_EJECTION);
        self.servers.entry(server).and_modify(|s| s.eject(self.now, part, least, MAX_EJECTION));
    }

    fn record_health(&mut self, o: &AttemptOutcome) {
        let now = self.now;
        let part = self.requests.get(&o.id).map(InFlightRequest::traffic);
        let Some(s) = self.servers.get_mut(&o.server) else { return };
        let unheard = [
            AttemptStatus::Timeout,
            AttemptStatus::Cancelled,
            AttemptStatus::ConnectFailed,
            AttemptStatus::Expired,
        ];
        s.last_response_at = if unheard.contains(&o.status) { s.last_response_at } else { now };
        if o.status.is_answer() {
            s.record_answer(now, o.latency);
        }
        match o.status {
            AttemptStatus::Ok | AttemptStatus::Prefilled => {
                (s.unreachable, s.connection_lost) = (false, false);
                part.into_iter().for_each(|part| s.record_success(part));
            }
            AttemptStatus::Error | AttemptStatus::Unknown => self.eject(o.server, None),
            AttemptStatus::Rejected if !o.kv_cache_missing || s.role == Role::Prefill => {
                s.saturated_at = Some(now);
                self.eject(o.server, part);
            }
            AttemptStatus::Timeout => self.eject(o.server, part),
            // Dead, cut off, or with all connections taken: a probe finds out when it is back.
            AttemptStatus::ConnectFailed | AttemptStatus::Reset => {
                (s.unreachable, s.connection_lost, s.next_probe_at) =
                    (true, s.connection_lost || o.status != AttemptStatus::Reset, now);
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
        let (now, waits) = (self.now, self.prefill_cost.tokens_within(latency));
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.record_report(now, REPORT_LAG, report, self.prefill_cost.computed_tokens.value);
        s.probe_sent_at = None;
        if status.is_answer() {
            s.record_answer(now, latency);
        }
        if matches!(status, AttemptStatus::Ok | AttemptStatus::Timeout) {
            s.peer_queued_tokens = Some((waits - s.queued_prompt_tokens).max(0.0));
            s.reported_at = now;
            if s.role != Role::Prefill && latency >= SLOW_PROBE_LATENCY {
                s.saturated_at = Some(now);
            }
        }
        if status == AttemptStatus::ConnectFailed {
            (s.unreachable, s.connection_lost, s.next_probe_at) = (true, true, now + HEALTH_CHECK_INTERVAL);
        } else if status == AttemptStatus::Ok {
            if s.connection_lost {
                // It may be a new process that the list has not named yet: it warms up, or all routers pour onto it.
                s.recovered_at = now;
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

    /// Kept by each router alone: a share of what it sends itself to a warm peer. It begins in debt, each
    /// router by another part of a request, or all would pay it off at the same moment.
    fn slow_start_allows(&self, s: &Server) -> bool {
        !self.is_warming_up(s) || s.slow_start_budget.tokens >= 0.0
    }

    fn refill_slow_start_budgets(&mut self) {
        let (now, span_s) = (self.now, RATE_SPAN as f64 / 1e9);
        let floor = SLOW_START_FLOOR
            / (self.settings.overload_window as f64 / 1e9).max(0.1)
            / f64::from(self.settings.router_count);
        let part = (self.settings.overload_factor * self.settings.slow_start_speed).min(1.0);
        let kinds = (0..self.settings.kinds.len()).map(|kind| Some(KindId(kind))).chain([None]);
        let mut all = std::mem::take(&mut self.usual_loads);
        for (kind, (usual_loads, weight)) in kinds.zip(&mut all) {
            let warm =
                || self.servers.values().filter(|p| p.ready && p.kind == kind && !self.is_warming_up(p));
            let attempt = average(warm().map(|p| p.recent_work.get(now, RATE_SPAN) / span_s));
            *weight = average(warm().map(|p| p.weight)).unwrap_or(*weight);
            let peers = attempt.unwrap_or(usual_loads.value);
            usual_loads.follow(now, peers, RATE_SPAN);
            let rate = peers.max(usual_loads.value) * part;
            for s in self.servers.values_mut().filter(|s| s.kind == kind) {
                s.slow_start_budget.refill(now, (rate * (s.weight / *weight).min(1.0)).max(floor), 0.0);
            }
        }
        self.usual_loads = all;
    }

    fn on_endpoints_changed(&mut self, kind: EndpointUpdate, entries: &[Endpoint]) {
        if kind == EndpointUpdate::Failed {
            return self.actions.push(Action::SetTimer { token: ENDPOINT_POLL_TIMER, delay: RECENT });
        }
        self.actions.extend(
            (kind == EndpointUpdate::Cached && self.settings.poll_endpoints)
                .then_some(Action::WatchEndpoints(true)),
        );
        if kind != EndpointUpdate::Delta {
            self.servers.values_mut().for_each(|s| s.ready = false);
        }
        for e in entries {
            let Some((role, memory)) = self.settings.kind(e.kind) else { continue };
            let s = self.servers.entry(e.server).or_insert_with(|| new_server(e.server, role, memory));
            // Nothing new goes to a draining or removed server from now on: its grace is left unused.
            s.update_listing(self.now, e, AffinityKey(self.settings.seed).unit_interval(e.server));
        }
        self.fleet.update_listed(&self.servers);
        self.fleet.update_load(self.now, 0, LOAD_MAX_AGE, &mut self.servers, &mut self.peer_reports);
    }

    // --- The clock ----------------------------------------------------------------------------------

    fn on_tick(&mut self) {
        self.tick_is_scheduled = false;
        self.refill_slow_start_budgets();
        let ids: Vec<RequestId> = self.requests.iter().filter(|w| !w.1.finished).map(|w| *w.0).collect();
        ids.into_iter().for_each(|id| self.check_request(id));
        self.check_unreachable_servers();
        self.send_gossip();
    }

    fn check_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let late = self.now + self.time_to_first_token.value as Nanos > request.objective_at;
        match request.attempt {
            Some(attempt) if attempt.begun => {}
            _ if self.now + GIVE_UP_MARGIN >= request.request.deadline_at => self.give_up(id),
            Some(attempt) => {
                if !self.check_delivery(id, &attempt) {
                    self.check_overdue(id, attempt);
                }
            }
            None if self.is_repeat_impossible(request) => self.give_up(id),
            // Queued, it can't meet its objective any more: it ends now, so that others can.
            None if late && request.kv_cache.is_none() => self.give_up(id),
            None => self.place_decode(id),
        }
    }

    /// What is to be done about an unanswered decode attempt is decided by the module's own function: no sum has a part in it.
    fn check_delivery(&mut self, id: RequestId, attempt: &Attempt) -> bool {
        let Some((_, held_since)) = self.requests.get(&id).and_then(|w| w.kv_cache) else { return false };
        let server = self.servers.get(&attempt.server);
        if attempt.stage != Stage::Decode || attempt.kv_released {
            return false;
        }
        let write = UnansweredDecode {
            now: self.now,
            sent_at: attempt.sent_at,
            held_since,
            release_within: self.settings.kv_release_within,
            server_runs: server.is_some_and(|s| s.running_at > attempt.sent_at),
            probed_at: server.and_then(|s| s.probe_sent_at),
            may_probe: self.settings.can_probe,
        };
        let request = &self.requests[&id];
        let safe = self.settings.classes[request.request.class.0].idempotency == Idempotency::Idempotent;
        let left = request.attempt_count < self.settings.max_attempts;
        let may = safe && left && self.settings.can_cancel && !attempt.cancelled;
        let room = |s: &&Server| s.id != attempt.server && self.has_capacity(s, request.expected_kv_tokens());
        let leaves = write.is_silent() && may && self.candidates(false, request).iter().any(room);
        match write.next_step() {
            NextStep::Retry | NextStep::Release if leaves => {
                let now = self.now;
                self.servers
                    .entry(attempt.server)
                    .and_modify(|s| (s.unreachable, s.next_probe_at) = (true, now));
                self.requests
                    .entry(id)
                    .and_modify(|w| w.attempt = Some(Attempt { cancelled: true, ..*attempt }));
                self.actions.push(Action::Cancel { id, attempt: attempt.number });
                return true;
            }
            NextStep::Release => {
                self.requests
                    .entry(id)
                    .and_modify(|w| w.attempt = Some(Attempt { kv_released: true, ..*attempt }));
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

    fn update_kv_cache(&mut self, o: &AttemptOutcome, attempt: &Attempt) {
        let runs = self.servers.get(&o.server).is_some_and(|s| s.running_at > attempt.sent_at);
        let Some(request) = self.requests.get_mut(&o.id) else { return };
        match kv_cache_after_attempt(o.status, attempt.kv_released, runs) {
            _ if o.status == AttemptStatus::Prefilled => request.kv_cache = Some((o.server, self.now)),
            KvCacheAfterAttempt::HeldFromNow => {
                request.kv_cache = request.kv_cache.map(|(reader, _)| (reader, self.now))
            }
            KvCacheAfterAttempt::Released if request.kv_cache.is_some() && !request.finished => {
                request.kv_cache = None;
                self.actions.push(Action::ReleaseKv(o.id));
            }
            KvCacheAfterAttempt::Released | KvCacheAfterAttempt::Held => {}
        }
    }

    /// An attempt that takes too long: its server queues, is slow, is cut off or has died.
    fn check_overdue(&mut self, id: RequestId, attempt: Attempt) {
        let age = self.now - attempt.sent_at;
        let Some(request) = self.requests.get(&id) else { return };
        let read_wait = PREFILL_WAIT_FRACTION * request.time_to_objective();
        let cell = request.kv_cache.and_then(|(reader, _)| self.servers.get(&reader)?.cell);
        let Some(s) = self.servers.get_mut(&attempt.server) else { return };
        // What crosses cells may wait for a slow link: another far decode worker is no better then.
        let (silent, near) = (s.last_response_at < attempt.sent_at, s.cell == cell);
        if attempt.stage == Stage::Decode && age >= DECODE_STALL {
            s.saturated_at = Some(self.now);
        }
        let reads = attempt.stage != Stage::Decode;
        let patience = (read_wait
            + attempt.queued_tokens * self.prefill_cost.late_time_per_token(OVERDUE_DEVIATIONS))
            as Nanos;
        let patience = if reads { patience } else { DECODE_PATIENCE };
        if age < patience || attempt.cancelled {
            return;
        }
        if silent && self.settings.can_probe && !s.unreachable {
            (s.unreachable, s.next_probe_at) = (true, self.now);
        }
        // A prefill worker that answers a probe at once has left the attempt unanswered; one that does not may be busy.
        if reads && s.fast_probe_at <= attempt.sent_at && age < 2 * patience {
            return;
        }
        let safe = attempt.stage == Stage::Prefill
            || self.settings.classes[request.request.class.0].idempotency == Idempotency::Idempotent;
        let room = |s: &Server| self.has_capacity(s, request.expected_kv_tokens());
        let better = |s: &&Server| {
            s.id != attempt.server
                && !self.is_unhealthy(s, request)
                && (reads || room(s) && (near || silent || s.cell == cell))
        };
        let left = request.attempt_count + ATTEMPTS_FROM_START <= self.settings.max_attempts
            && self.settings.can_cancel;
        if !safe || !left || self.cancellations < 1.0 || !self.candidates(reads, request).iter().any(better) {
            return;
        }
        self.cancellations -= 1.0;
        let part = request.traffic();
        self.eject(attempt.server, Some(part));
        if reads {
            self.prefill_cost.add(
                age as f64 / attempt.queued_tokens.max(PREFILL_BASE_TOKENS),
                MEAN_GAIN,
                UNLOADED_GAIN,
            );
        }
        self.requests.entry(id).and_modify(|w| w.attempt = Some(Attempt { cancelled: true, ..attempt }));
        self.actions.push(Action::Cancel { id, attempt: attempt.number });
    }

    /// Sends the own load to the other routers, where no server reports it and as often as that is worth its cost.
    fn send_gossip(&mut self) {
        let silent = self.servers.values().all(|s| s.peer_kv_tokens.is_none());
        if !self.settings.can_gossip
            || self.settings.router_count < 2
            || !silent
            || self.now < self.gossip_sent_at + GOSSIP_INTERVAL
        {
            return;
        }
        let data = encode_gossip(self.servers.values().map(|s| (s.id, s.reserved_kv_tokens)));
        let price =
            self.settings.gossip_cost * f64::from(self.settings.router_count - 1) * data.len() as f64 / 256.0;
        if self.budgets[0] >= price {
            self.budgets[0] -= price;
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
