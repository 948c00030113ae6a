//! The state of the reference implementation: the tables of servers and requests, and the statistics. It
//! makes no decisions.

use gaparch_scheduler::api::{
    AffinityKey, AttemptNumber, CellId, ClassId, Endpoint, KindId, LoadReport, Nanos, Request, Role,
    ServerId, ServerState, TenantId, ZoneId,
};
use std::collections::BTreeMap;

/// An exponentially weighted mean: each sample counts for the share `gain`.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMean {
    pub value: f64,
    pub samples: u32,
}

impl RunningMean {
    pub fn add(&mut self, sample: f64, gain: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = gain.max(1.0 / f64::from(self.samples));
        self.value += (sample - self.value) * gain;
    }
}

/// The learnt pace and size of prefills.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillCostModel {
    /// Nanoseconds per token, queued tokens included.
    pub pace: RunningMean,
    /// The mean absolute deviation of single prefills from that.
    pub deviation: RunningMean,
    /// Nanoseconds per token where nothing else was queued.
    pub unloaded_time_per_token: f64,
    /// Tokens that a prefill computed, without cached ones.
    pub computed_tokens: RunningMean,
    /// Tokens that were queued before a prefill at a server that had not answered its probe.
    pub tokens_behind_silent_probe: RunningMean,
}

impl PrefillCostModel {
    /// Nanoseconds per token of a prefill that is slower than the mean by that many deviations.
    pub fn late_time_per_token(&self, deviations: f64) -> f64 {
        self.pace.value + deviations * self.deviation.value
    }

    /// Learns from a finished prefill, of which it is known how many tokens it computed and queued behind.
    /// Returns its nanoseconds per token.
    pub fn record_finished(
        &mut self,
        attempt: &Attempt,
        latency: Nanos,
        computed_tokens: f64,
        gain: f64,
        slower_gain: f64,
    ) -> f64 {
        let per_token = latency as f64
            / (attempt.queued_tokens - attempt.prompt_tokens + computed_tokens).max(computed_tokens);
        self.computed_tokens.add(computed_tokens, gain);
        self.learn(per_token, latency as f64 / computed_tokens, gain, slower_gain);
        if attempt.probe_outstanding {
            self.tokens_behind_silent_probe
                .add((self.tokens_within(latency) - computed_tokens).max(0.0), gain);
        }
        per_token
    }

    /// A model with an assumed time per token, which holds until one is learnt.
    pub fn with_unloaded_time_per_token(time_per_token: f64) -> PrefillCostModel {
        PrefillCostModel { unloaded_time_per_token: time_per_token, ..PrefillCostModel::default() }
    }

    /// The tokens that can be prefilled in that span where nothing else is queued.
    pub fn tokens_within(&self, span: Nanos) -> f64 {
        span as f64 / self.unloaded_time_per_token.max(1.0)
    }

    /// Learns from a prefill of which only the time per token is known. `slower_gain` is the gain by which a
    /// slower sample moves the unloaded time per token; a faster one replaces it.
    pub fn record_time_per_token(&mut self, per_token: f64, gain: f64, slower_gain: f64) {
        self.learn(per_token, per_token, gain, slower_gain);
    }

    /// `per_own_token` counts only the prefill's own tokens: an unloaded prefill takes at most as long,
    /// whatever this one was queued behind.
    fn learn(&mut self, per_token: f64, per_own_token: f64, gain: f64, slower_gain: f64) {
        let known = if self.pace.samples > 0 { self.unloaded_time_per_token } else { per_own_token };
        self.unloaded_time_per_token = per_own_token.min(known + (per_own_token - known) * slower_gain);
        self.deviation.add((per_token - self.pace.value).abs(), gain);
        self.pace.add(per_token, gain);
    }
}

/// Decaying counts of requests, in total and by shared prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixPopularity {
    first_request_at: Nanos,
    requests_seen: u32,
    total: DecayingSum,
    by_prefix: BTreeMap<AffinityKey, DecayingSum>,
}

impl PrefixPopularity {
    /// The mean time between requests over the last `span`, in nanoseconds.
    pub fn mean_interval(&self, now: Nanos, span: Nanos) -> f64 {
        now.saturating_sub(self.first_request_at).min(span) as f64 / self.total.value_at(now, span).max(1.0)
    }

    /// Counts a request. Returns the counts before it, of its prefix and in total.
    pub fn record(&mut self, now: Nanos, prefix: Option<AffinityKey>, span: Nanos) -> (f64, f64) {
        let total = self.total.value_at(now, span);
        self.first_request_at = if self.first_request_at == 0 { now } else { self.first_request_at };
        self.total.add(now, 1.0, span);
        // Prefixes that were not seen for a long time are dropped once in 1024 requests.
        self.requests_seen = self.requests_seen.wrapping_add(1);
        if self.requests_seen.is_multiple_of(1024) {
            self.by_prefix.retain(|_, count| count.value_at(now, span) >= 0.01);
        }
        let Some(prefix) = prefix else { return (0.0, total) };
        let count = self.by_prefix.entry(prefix).or_default();
        let same_prefix = count.value_at(now, span);
        count.add(now, 1.0, span);
        (same_prefix, total)
    }
}

/// A sum that decays exponentially, so that `value / span` is a recent rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    value: f64,
    at: Nanos,
}

impl DecayingSum {
    pub fn add(&mut self, now: Nanos, amount: f64, span: Nanos) {
        self.value = self.value_at(now, span) + amount;
        self.at = now;
    }

    pub fn value_at(&self, now: Nanos, span: Nanos) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.value * (-age / span.max(1) as f64).exp()
    }
}

/// Follows a value with an exponential lag: it shows `1 - 1/e` of a change after `span`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LaggedValue {
    pub value: f64,
    at: Nanos,
}

impl LaggedValue {
    /// Has to be called before `current` changes.
    pub fn follow(&mut self, now: Nanos, current: f64, span: Nanos) {
        let age = now.saturating_sub(self.at) as f64;
        self.value = current + (self.value - current) * (-age / span.max(1) as f64).exp();
        self.at = now;
    }
}

/// The mean of the means.
pub fn mean(means: &[RunningMean]) -> f64 {
    average(means.iter().map(|m| m.value)).unwrap_or(0.0)
}

/// The mean over all samples of all means.
pub fn mean_request(means: &[RunningMean]) -> f64 {
    let samples: f64 = means.iter().map(|m| f64::from(m.samples)).sum();
    means.iter().map(|m| m.value * f64::from(m.samples)).sum::<f64>() / samples.max(1.0)
}

pub fn average(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = values.fold((0.0, 0.0), |(sum, n), v| (sum + v, n + 1.0));
    (n > 0.0).then(|| sum / n)
}

/// The lower median; 0 for no values.
pub fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

/// A token bucket; the caller passes the rate and the capacity, since both change.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    pub tokens: f64,
    pub refilled_at: Nanos,
}

impl TokenBucket {
    /// A bucket that starts `debt` tokens below zero.
    pub fn in_debt(now: Nanos, debt: f64) -> TokenBucket {
        TokenBucket { tokens: -debt, refilled_at: now }
    }

    /// Takes one token if there is one; a bucket that was never used is full.
    pub fn try_take(&mut self, now: Nanos, per_second: f64, capacity: f64) -> bool {
        if self.refilled_at == 0 {
            *self = TokenBucket { tokens: capacity, refilled_at: now };
        }
        self.refill(now, per_second, capacity);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    pub fn refill(&mut self, now: Nanos, per_second: f64, capacity: f64) {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / 1e9;
        self.tokens = (self.tokens + seconds * per_second).min(capacity);
        self.refilled_at = now;
    }
}

/// A traffic class of a tenant, which a server may treat differently from the rest.
pub type TrafficClassKey = (ClassId, Option<TenantId>);

/// An ejection, whose duration doubles with each failure and halves with each success.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    pub until: Nanos,
    duration: Nanos,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub id: ServerId,
    pub zone: Option<ZoneId>,
    pub cell: Option<CellId>,
    pub kind: Option<KindId>,
    pub role: Role,
    pub weight: f64,
    /// Its KV cache capacity in tokens; 0 if not known.
    pub kv_capacity_tokens: f64,
    pub started_at: Nanos,
    /// It is listed, and neither draining nor removed.
    pub ready: bool,
    /// The number of own attempts that are awaiting their first token.
    pub awaiting_first_token: u32,
    /// Own prompt tokens that are not prefilled yet.
    pub queued_prompt_tokens: f64,
    /// KV cache tokens reserved for own attempts.
    pub reserved_kv_tokens: f64,
    /// Reserved tokens and attempts awaiting their first token, lagged as in a load report.
    pub lagged_reserved_kv_tokens: LaggedValue,
    pub lagged_awaiting_first_token: LaggedValue,
    /// Other routers' load by load reports: KV cache tokens, and prompt tokens that are not prefilled yet.
    pub peer_kv_tokens: Option<f64>,
    pub peer_queued_tokens: Option<f64>,
    /// When the last load report came.
    pub reported_at: Nanos,
    /// Its KV cache utilization, as last reported.
    pub memory_utilization: Option<f64>,
    pub saturated_at: Option<Nanos>,
    /// When anything last came from it.
    pub last_response_at: Nanos,
    /// When it last answered a probe without delay.
    pub fast_probe_at: Nanos,
    /// When the outstanding probe was sent.
    pub probe_sent_at: Option<Nanos>,
    /// When the latest exchange began that it has answered: its process ran after that.
    pub running_at: Nanos,
    /// Ejections after failures, for all traffic or for one class.
    pub ejections: BTreeMap<Option<TrafficClassKey>, Ejection>,
    /// Mean latency in nanoseconds: to the first token at a decode worker, per prefill token at the others.
    pub latency: RunningMean,
    /// That latency as a multiple of the median of its role; 1 until it is known.
    pub latency_ratio: f64,
    pub unreachable: bool,
    /// A connection to it could not be made.
    pub connection_lost: bool,
    pub next_probe_at: Nanos,
    /// When it became reachable again after a connection to it could not be made.
    pub recovered_at: Nanos,
    /// The work recently completed there, in mean requests.
    pub completed_work: DecayingSum,
    pub slow_start_budget: TokenBucket,
    /// The debt that the budget started with.
    pub first_debt: f64,
}

pub fn new_server(id: ServerId, role: Role, kv_capacity_tokens: f64) -> Server {
    Server {
        id,
        zone: None,
        cell: None,
        kind: None,
        role,
        weight: 1.0,
        kv_capacity_tokens,
        started_at: 0,
        ready: false,
        awaiting_first_token: 0,
        queued_prompt_tokens: 0.0,
        reserved_kv_tokens: 0.0,
        lagged_reserved_kv_tokens: LaggedValue::default(),
        lagged_awaiting_first_token: LaggedValue::default(),
        peer_kv_tokens: None,
        peer_queued_tokens: None,
        reported_at: 0,
        memory_utilization: None,
        saturated_at: None,
        last_response_at: 0,
        fast_probe_at: 0,
        probe_sent_at: None,
        running_at: 0,
        ejections: BTreeMap::new(),
        latency: RunningMean::default(),
        latency_ratio: 1.0,
        unreachable: false,
        connection_lost: false,
        next_probe_at: 0,
        recovered_at: 0,
        completed_work: DecayingSum::default(),
        slow_start_budget: TokenBucket::default(),
        first_debt: 0.0,
    }
}

impl Server {
    /// Ejects the server after a failure, for all traffic or for one class.
    pub fn eject(&mut self, now: Nanos, traffic: Option<TrafficClassKey>, shortest: Nanos, longest: Nanos) {
        let ejection = self.ejections.entry(traffic).or_default();
        ejection.duration = (ejection.duration * 2).max(shortest).min(longest);
        ejection.until = now + ejection.duration;
    }

    pub fn record_answer(&mut self, now: Nanos, latency: Nanos) {
        self.running_at = self.running_at.max(now.saturating_sub(latency));
    }

    /// Whether a probe has been outstanding for that long.
    pub fn awaits_probe_for(&self, now: Nanos, span: Nanos) -> bool {
        self.probe_sent_at.is_some_and(|at| now >= at + span)
    }

    pub fn was_saturated_within(&self, now: Nanos, span: Nanos) -> bool {
        self.saturated_at.is_some_and(|at| now < at + span)
    }

    /// When its process started, as listed, or inferred when it answers again after a connect failure; 0:
    /// long ago.
    pub fn process_started_at(&self) -> Nanos {
        self.started_at.max(self.recovered_at)
    }

    /// Records a success, which shortens later ejections.
    pub fn record_success(&mut self, traffic: TrafficClassKey) {
        for traffic in [None, Some(traffic)] {
            self.ejections.entry(traffic).and_modify(|ejection| ejection.duration /= 2);
        }
    }

    pub fn is_ejected(&self, now: Nanos, traffic: Option<TrafficClassKey>) -> bool {
        self.ejections.get(&traffic).is_some_and(|ejection| now < ejection.until)
    }

    /// Updates the lagged values. Has to be called before the own load changes, or is compared with a load
    /// report.
    pub fn follow(&mut self, now: Nanos, lag: Nanos) {
        self.lagged_reserved_kv_tokens.follow(now, self.reserved_kv_tokens, lag);
        self.lagged_awaiting_first_token.follow(now, f64::from(self.awaiting_first_token), lag);
    }

    /// Takes a load report, which includes the own load as it was a while ago; the rest is other routers'
    /// load. `tokens_per_request`: the mean of tokens that a request has to prefill.
    pub fn record_report(
        &mut self,
        now: Nanos,
        lag: Nanos,
        report: Option<LoadReport>,
        tokens_per_request: f64,
    ) {
        let Some(report) = report else { return };
        self.follow(now, lag);
        self.reported_at = now;
        self.memory_utilization = report.memory_utilization;
        if let Some(utilization) = report.memory_utilization.filter(|_| self.role != Role::Prefill) {
            self.peer_kv_tokens =
                Some((utilization * self.kv_capacity_tokens - self.lagged_reserved_kv_tokens.value).max(0.0));
        }
        let by_requests = report
            .in_flight
            .or(report.queued)
            .map(|n| (n - self.lagged_awaiting_first_token.value) * tokens_per_request);
        let queued =
            report.pending_prefill_kilotokens.map(|k| k * 1000.0 - self.queued_prompt_tokens).or(by_requests);
        if let Some(tokens) = queued.filter(|_| self.role != Role::Decode) {
            self.peer_queued_tokens = Some(tokens.max(0.0));
        }
    }

    /// Takes its entry in the endpoint list; a new process starts with its slow start budget in debt.
    pub fn update_listing(&mut self, now: Nanos, endpoint: &Endpoint, debt: f64) {
        (self.zone, self.cell, self.kind) = (endpoint.zone, endpoint.cell, endpoint.kind);
        self.weight = endpoint.weight.filter(|weight| *weight > 0.0).unwrap_or(1.0);
        self.ready = endpoint.state == ServerState::Ready;
        let started_at = endpoint.started_at.unwrap_or(0);
        if started_at != self.started_at {
            self.restart(now, started_at, debt);
        }
    }

    pub fn begin_attempt(&mut self, now: Nanos, lag: Nanos, attempt: &Attempt) {
        self.follow(now, lag);
        self.awaiting_first_token += 1;
        self.reserved_kv_tokens += attempt.reserved_kv_tokens;
        self.queued_prompt_tokens += attempt.prompt_tokens;
    }

    pub fn begin_streaming(&mut self, now: Nanos, lag: Nanos, attempt: &Attempt) {
        self.follow(now, lag);
        self.awaiting_first_token = self.awaiting_first_token.saturating_sub(1);
        self.queued_prompt_tokens -= attempt.prompt_tokens;
    }

    pub fn end_attempt(&mut self, now: Nanos, lag: Nanos, attempt: &Attempt) {
        if attempt.is_streaming {
            self.follow(now, lag);
        } else {
            self.begin_streaming(now, lag, attempt);
        }
        self.reserved_kv_tokens -= attempt.reserved_kv_tokens;
    }

    /// A new process: what was learnt of the old one is dropped, and the slow start budget starts in debt.
    /// Own attempts still count until their outcomes come.
    pub fn restart(&mut self, now: Nanos, started_at: Nanos, debt: f64) {
        let old = self.clone();
        *self = Server {
            zone: old.zone,
            cell: old.cell,
            kind: old.kind,
            weight: old.weight,
            ready: old.ready,
            awaiting_first_token: old.awaiting_first_token,
            queued_prompt_tokens: old.queued_prompt_tokens,
            reserved_kv_tokens: old.reserved_kv_tokens,
            lagged_reserved_kv_tokens: old.lagged_reserved_kv_tokens,
            lagged_awaiting_first_token: old.lagged_awaiting_first_token,
            last_response_at: old.last_response_at,
            probe_sent_at: old.probe_sent_at,
            started_at,
            slow_start_budget: TokenBucket::in_debt(now, debt),
            first_debt: debt,
            ..new_server(old.id, old.role, old.kv_capacity_tokens)
        };
    }
}

/// Records a latency of a server, and compares the servers of its role that have enough samples with their
/// median.
pub fn record_latency(servers: &mut ServerTable, id: ServerId, sample: f64, gain: f64, needed_samples: u32) {
    let Some(s) = servers.get_mut(&id) else { return };
    s.latency.add(sample, gain);
    let role = s.role;
    let is_compared = |s: &&mut Server| s.role == role && s.latency.samples >= needed_samples;
    let median = median(servers.values_mut().filter(is_compared).map(|s| s.latency.value));
    servers
        .values_mut()
        .filter(is_compared)
        .for_each(|s| s.latency_ratio = s.latency.value / median.max(1.0));
}

/// The attempt of a request that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub server: ServerId,
    pub number: AttemptNumber,
    pub sent_at: Nanos,
    pub stage: Stage,
    pub prompt_tokens: f64,
    /// Prompt tokens queued there when it was sent, its own included.
    pub queued_tokens: f64,
    pub reserved_kv_tokens: f64,
    /// Its first token has come.
    pub is_streaming: bool,
    pub cancelled: bool,
    pub kv_released: bool,
    /// A probe of its server had been outstanding for long when it was sent.
    pub probe_outstanding: bool,
}

impl Attempt {
    /// A planned attempt, which gets its number and time when it is sent.
    pub fn planned(server: ServerId, stage: Stage) -> Attempt {
        Attempt {
            server,
            number: AttemptNumber(0),
            sent_at: 0,
            stage,
            prompt_tokens: 0.0,
            queued_tokens: 0.0,
            reserved_kv_tokens: 0.0,
            is_streaming: false,
            cancelled: false,
            kv_released: false,
            probe_outstanding: false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Prefill,
    Decode,
    /// Prefill and decode at the same server.
    Combined,
}

/// An attempt that may have run, where a second execution is not harmless.
#[derive(Clone, Copy, Debug)]
pub struct MayHaveRun {
    pub zone: Option<ZoneId>,
    pub cell: Option<CellId>,
    pub at: Nanos,
}

#[derive(Clone, Debug)]
pub struct InFlightRequest {
    pub request: Request,
    pub over_quota: bool,
    /// The key of a server order that differs for each request and router, to break ties.
    pub tie_breaker: AffinityKey,
    pub arrived_at: Nanos,
    /// The number of prefill workers over which its shared prefix is spread.
    pub affinity_workers: usize,
    pub objective_at: Nanos,
    /// The expected number of output tokens.
    pub expected_output_tokens: f64,
    pub attempt_count: u32,
    pub attempt: Option<Attempt>,
    /// The server that holds its KV cache, and the time from which its release time counts: since then no
    /// attempt is known to have arrived for it.
    pub kv_cache: Option<(ServerId, Nanos)>,
    pub may_have_run: Option<MayHaveRun>,
    /// Servers where an attempt failed.
    pub failed_servers: Vec<ServerId>,
    pub first_sent_at: Option<Nanos>,
    /// Until when it waits for answers to load probes.
    pub probe_deadline: Option<Nanos>,
    /// Its final answer was given; only its attempt has not ended yet.
    pub finished: bool,
}

impl InFlightRequest {
    pub fn new(
        request: Request,
        now: Nanos,
        seed: u64,
        affinity_workers: usize,
        over_quota: bool,
        objective_at: Nanos,
        expected_output_tokens: f64,
    ) -> InFlightRequest {
        InFlightRequest {
            tie_breaker: AffinityKey(request.id.0 ^ seed),
            affinity_workers,
            arrived_at: now,
            request,
            over_quota,
            objective_at,
            expected_output_tokens,
            attempt_count: 0,
            attempt: None,
            kv_cache: None,
            may_have_run: None,
            failed_servers: Vec::new(),
            first_sent_at: None,
            probe_deadline: None,
            finished: false,
        }
    }

    /// The time from arrival to its latency objective, in nanoseconds.
    pub fn time_to_objective(&self) -> f64 {
        self.objective_at.saturating_sub(self.arrived_at) as f64
    }

    pub fn traffic(&self) -> TrafficClassKey {
        (self.request.class, self.request.tenant)
    }

    /// Whether no token of its answer has come, and no final answer was given.
    pub fn awaits_first_token(&self) -> bool {
        !self.finished && !self.attempt.is_some_and(|attempt| attempt.is_streaming)
    }

    /// Whether a decode worker will have to fetch its KV cache.
    pub fn will_need_decode(&self) -> bool {
        let is_prefilling = self.attempt.is_some_and(|attempt| attempt.stage == Stage::Prefill);
        !self.finished && (is_prefilling || self.kv_cache.is_some() && self.attempt.is_none())
    }

    /// The KV cache tokens that it is expected to need at a decode worker.
    pub fn expected_kv_tokens(&self) -> f64 {
        self.request.prompt_tokens + self.expected_output_tokens
    }
}

pub type ServerTable = BTreeMap<ServerId, Server>;

/// KV cache tokens that other routers report to have at each server, by router and in total.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    by_router: BTreeMap<u32, (Nanos, BTreeMap<ServerId, f64>)>,
    pub total: BTreeMap<ServerId, f64>,
}

impl PeerReports {
    pub fn record(&mut self, now: Nanos, router: u32, kv_tokens: BTreeMap<ServerId, f64>) {
        kv_tokens.iter().for_each(|(server, tokens)| *self.total.entry(*server).or_default() += tokens);
        let replaced = self.by_router.insert(router, (now, kv_tokens));
        self.subtract(replaced.into_iter().collect());
    }

    /// Forgets reports received before `oldest`.
    pub fn expire(&mut self, oldest: Nanos) {
        let is_expired = |report: &(Nanos, BTreeMap<ServerId, f64>)| report.0 < oldest;
        let routers = self.by_router.iter().filter(|(_, report)| is_expired(report));
        let expired: Vec<u32> = routers.map(|(router, _)| *router).collect();
        let expired = expired.iter().filter_map(|router| self.by_router.remove(router)).collect();
        self.subtract(expired);
    }

    fn subtract(&mut self, reports: Vec<(Nanos, BTreeMap<ServerId, f64>)>) {
        for (server, tokens) in reports.iter().flat_map(|report| &report.1) {
            self.total.entry(*server).and_modify(|total| *total = (*total - tokens).max(0.0));
        }
    }

    pub fn reporting_routers(&self) -> f64 {
        self.by_router.len() as f64
    }
}

/// Sums and means over the servers of each role.
#[derive(Clone, Debug, Default)]
pub struct FleetSummary {
    load_updated_at: Nanos,
    /// The mean weight of the ready servers, by role.
    pub weight: [f64; 3],
    /// Each cell's share of the total weight of a role, by role.
    pub cell_shares: BTreeMap<CellId, [f64; 3]>,
    /// Means over the servers with recent load reports, by role: the KV cache utilization by other routers,
    /// and the prompt tokens that they have queued.
    pub peer_utilization: [Option<f64>; 3],
    pub peer_queued_tokens: [Option<f64>; 3],
    /// KV cache tokens of this router and of those that report, in total and as the mean per decode worker.
    pub known_kv_tokens: f64,
    pub known_kv_tokens_per_server: f64,
}

impl FleetSummary {
    /// Updates what follows from the endpoint list.
    pub fn update_listed(&mut self, servers: &ServerTable) {
        self.cell_shares.clear();
        for role in [Role::Prefill, Role::Decode, Role::Mixed] {
            let ready = || servers.values().filter(|s| s.ready && s.role == role);
            self.weight[role as usize] = average(ready().map(|s| s.weight)).unwrap_or(1.0);
            let total_weight = ready().map(|s| s.weight).sum::<f64>();
            for (s, cell) in ready().filter_map(|s| Some((s, s.cell?))) {
                self.cell_shares.entry(cell).or_default()[role as usize] += s.weight / total_weight;
            }
        }
    }

    /// Updates the load means, at most once per `interval`, and forgets reports older than `max_age`.
    pub fn update_load(
        &mut self,
        now: Nanos,
        interval: Nanos,
        max_age: Nanos,
        servers: &mut ServerTable,
        peer_reports: &mut PeerReports,
    ) {
        if now < self.load_updated_at + interval {
            return;
        }
        self.load_updated_at = now;
        let oldest = now.saturating_sub(max_age);
        peer_reports.expire(oldest);
        let (mut utilization, mut queued_tokens) = ([(0.0, 0.0); 3], [(0.0, 0.0); 3]);
        let (mut decode_servers, mut own_kv_tokens) = (0.0_f64, 0.0);
        for s in servers.values_mut() {
            if s.reported_at < oldest {
                (s.peer_kv_tokens, s.peer_queued_tokens, s.memory_utilization) = (None, None, None);
            }
            // A probe whose answer was lost must not count as outstanding for ever.
            s.probe_sent_at = s.probe_sent_at.filter(|at| *at >= oldest);
            if s.ready {
                let add = |sum: &mut (f64, f64), value: f64| *sum = (sum.0 + value, sum.1 + 1.0);
                s.peer_kv_tokens
                    .into_iter()
                    .for_each(|v| add(&mut utilization[s.role as usize], v / s.kv_capacity_tokens.max(1.0)));
                s.peer_queued_tokens.into_iter().for_each(|v| add(&mut queued_tokens[s.role as usize], v));
                if s.role != Role::Prefill {
                    (decode_servers, own_kv_tokens) =
                        (decode_servers + 1.0, own_kv_tokens + s.reserved_kv_tokens);
                }
            }
        }
        let mean = |sum: (f64, f64)| (sum.1 > 0.0).then(|| sum.0 / sum.1);
        (self.peer_utilization, self.peer_queued_tokens) = (utilization.map(mean), queued_tokens.map(mean));
        self.known_kv_tokens = own_kv_tokens + peer_reports.total.values().sum::<f64>();
        self.known_kv_tokens_per_server = self.known_kv_tokens / decode_servers.max(1.0);
    }
}

/// The tokens in one unit of a gossip message; servers with less are left out.
const TOKENS_PER_UNIT: f64 = 16.0;
/// The longest gossip message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;

/// Encodes the KV cache tokens at each server: four bytes for the server, two for the amount.
pub fn encode_gossip(kv_tokens: impl Iterator<Item = (ServerId, f64)>) -> Vec<u8> {
    let reported = kv_tokens.filter(|(_, tokens)| *tokens >= TOKENS_PER_UNIT);
    let entry = |(server, tokens): (ServerId, f64)| {
        let units = (tokens / TOKENS_PER_UNIT).min(f64::from(u16::MAX)) as u16;
        server.0.to_le_bytes().into_iter().chain(units.to_le_bytes())
    };
    reported.take(MAX_MESSAGE_BYTES / 6).flat_map(entry).collect()
}

pub fn decode_gossip(data: &[u8]) -> BTreeMap<ServerId, f64> {
    let entry = |e: &[u8]| {
        let server = ServerId(u32::from_le_bytes([e[0], e[1], e[2], e[3]]));
        (server, f64::from(u16::from_le_bytes([e[4], e[5]])) * TOKENS_PER_UNIT)
    };
    data.chunks_exact(6).map(entry).collect()
}

/// Sorts in ascending order of a value.
pub fn sorted_by<T>(mut items: Vec<T>, value: impl Fn(&T) -> f64) -> Vec<T> {
    items.sort_by(|a, b| value(a).total_cmp(&value(b)));
    items
}

/// The least power of four above `n`.
pub fn next_power_of_four(n: usize) -> usize {
    let power = (n + 1).next_power_of_two();
    power << (power.trailing_zeros() & 1)
}

/// A limit on the rate of sends that is reduced when they do badly, and grows with time. At first it is
/// unlimited.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveThrottle {
    /// In sends per second.
    rate: f64,
    bucket: TokenBucket,
    reduced_at: Nanos,
    first_send_at: Nanos,
    recent_sends: DecayingSum,
}

impl Default for AdaptiveThrottle {
    fn default() -> AdaptiveThrottle {
        AdaptiveThrottle {
            rate: f64::MAX,
            bucket: TokenBucket { tokens: 1.0, refilled_at: 0 },
            reduced_at: 0,
            first_send_at: 0,
            recent_sends: DecayingSum::default(),
        }
    }
}

impl AdaptiveThrottle {
    /// Whether a send is allowed; the rate grows by the share `growth` per second.
    pub fn allows(&mut self, now: Nanos, growth: f64) -> bool {
        let seconds = now.saturating_sub(self.bucket.refilled_at) as f64 / 1e9;
        self.rate = (self.rate * (1.0 + growth * seconds)).min(f64::MAX);
        self.bucket.refill(now, self.rate, 1.0 + self.rate / 10.0);
        self.bucket.tokens >= 1.0
    }

    pub fn record_send(&mut self, now: Nanos, span: Nanos) {
        self.bucket.tokens -= 1.0;
        self.first_send_at = if self.first_send_at == 0 { now } else { self.first_send_at };
        self.recent_sends.add(now, 1.0, span);
    }

    /// Reduces the rate to a share of the rate measured over the last `span`, at most once per `interval`.
    pub fn reduce(&mut self, now: Nanos, factor: f64, span: Nanos, interval: Nanos) {
        if now >= self.reduced_at + interval {
            self.reduced_at = now;
            let seconds = now.saturating_sub(self.first_send_at).clamp(interval, span) as f64 / 1e9;
            self.rate = (self.rate.min(self.recent_sends.value_at(now, span) / seconds) * factor).max(0.02);
        }
    }
}
