//! The state of the reference: tables of servers and requests, statistics. It decides nothing.

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

/// How long prefills take.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillCostModel {
    /// Nanoseconds a token, and how far single prefills are off that.
    pub pace: RunningMean,
    pub deviation: RunningMean,
    /// The same where nothing else waited.
    pub unloaded_time_per_token: f64,
    /// Tokens that a prefill computed, without those found cached.
    pub computed_tokens: RunningMean,
    /// Tokens that a prefill queued behind at a server that had not answered its probe.
    pub probe_outstanding: RunningMean,
}

impl PrefillCostModel {
    /// Nanoseconds a token of a prefill that is late by so many deviations.
    pub fn late_time_per_token(&self, deviations: f64) -> f64 {
        self.pace.value + deviations * self.deviation.value
    }

    /// Learns from a prefill that is done, when it is known what it computed and queued behind.
    /// Returns what a token took.
    pub fn record_finished(
        &mut self,
        attempt: &Attempt,
        latency: Nanos,
        read: f64,
        gain: f64,
        slower: f64,
    ) -> f64 {
        let per_token = latency as f64 / (attempt.queued_tokens - attempt.prompt_tokens + read).max(read);
        self.computed_tokens.add(read, gain);
        self.learn(per_token, latency as f64 / read, gain, slower);
        if attempt.probe_outstanding {
            self.probe_outstanding.add((self.tokens_within(latency) - read).max(0.0), gain);
        }
        per_token
    }

    /// A time per token to go by until one is learnt.
    pub fn with_unloaded_time_per_token(best: f64) -> PrefillCostModel {
        PrefillCostModel { unloaded_time_per_token: best, ..PrefillCostModel::default() }
    }

    /// The tokens that can be prefilled in that span where nothing else waits.
    pub fn tokens_within(&self, span: Nanos) -> f64 {
        span as f64 / self.unloaded_time_per_token.max(1.0)
    }

    /// `slower` is the gain by which a slower sample moves the unloaded time per token.
    pub fn add(&mut self, per_token: f64, gain: f64, slower: f64) {
        self.learn(per_token, per_token, gain, slower);
    }

    /// `alone` counts only the own tokens: whatever it queued behind, an unloaded prefill is no slower.
    fn learn(&mut self, per_token: f64, alone: f64, gain: f64, slower: f64) {
        let best = if self.pace.samples > 0 { self.unloaded_time_per_token } else { alone };
        self.unloaded_time_per_token = alone.min(best + (alone - best) * slower);
        self.deviation.add((per_token - self.pace.value).abs(), gain);
        self.pace.add(per_token, gain);
    }
}

/// Recent requests, in all and by shared prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixPopularity {
    since: Nanos,
    adds: u32,
    all: DecayingSum,
    by_prefix: BTreeMap<AffinityKey, DecayingSum>,
}

impl PrefixPopularity {
    /// The mean time between requests.
    pub fn mean_interval(&self, now: Nanos, span: Nanos) -> f64 {
        now.saturating_sub(self.since).min(span) as f64 / self.all.get(now, span).max(1.0)
    }

    /// How many there were before this one, with its prefix and in all.
    pub fn add(&mut self, now: Nanos, prefix: Option<AffinityKey>, span: Nanos) -> (f64, f64) {
        let all = self.all.get(now, span);
        self.since = if self.since == 0 { now } else { self.since };
        self.all.add(now, 1.0, span);
        // Now and then prefixes that were not seen for long are dropped.
        self.adds = self.adds.wrapping_add(1);
        if self.adds.is_multiple_of(1024) {
            self.by_prefix.retain(|_, seen| seen.get(now, span) >= 0.01);
        }
        let Some(prefix) = prefix else { return (0.0, all) };
        let same = self.by_prefix.entry(prefix).or_default();
        let before = same.get(now, span);
        same.add(now, 1.0, span);
        (before, all)
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
        self.value = self.get(now, span) + amount;
        self.at = now;
    }

    pub fn get(&self, now: Nanos, span: Nanos) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.value * (-age / span.max(1) as f64).exp()
    }
}

/// Follows a value with a lag: `1 - 1/e` of a change is seen after `span`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LaggedValue {
    pub value: f64,
    at: Nanos,
}

impl LaggedValue {
    /// To be called before `current` changes.
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

pub fn average(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = values.fold((0.0, 0.0), |(sum, n), v| (sum + v, n + 1.0));
    (n > 0.0).then(|| sum / n)
}

/// The lower median; 0 of nothing.
pub fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

/// A token bucket; the caller gives rate and capacity, since both change.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    pub tokens: f64,
    pub at: Nanos,
}

impl TokenBucket {
    /// In debt.
    pub fn in_debt(now: Nanos, debt: f64) -> TokenBucket {
        TokenBucket { tokens: -debt, at: now }
    }

    /// Takes one token if there is one; a bucket that was never used is full.
    pub fn take(&mut self, now: Nanos, per_s: f64, depth: f64) -> bool {
        if self.at == 0 {
            *self = TokenBucket { tokens: depth, at: now };
        }
        self.refill(now, per_s, depth);
        let some = self.tokens >= 1.0;
        if some {
            self.tokens -= 1.0;
        }
        some
    }

    pub fn refill(&mut self, now: Nanos, per_s: f64, depth: f64) {
        let span = now.saturating_sub(self.at) as f64 / 1e9;
        self.tokens = (self.tokens + span * per_s).min(depth);
        self.at = now;
    }
}

/// Traffic that a server may treat unlike the rest.
pub type TrafficClassKey = (ClassId, Option<TenantId>);

/// An ejection, whose duration doubles with each failure and halves with each success.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    pub until: Nanos,
    span: Nanos,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub id: ServerId,
    pub zone: Option<ZoneId>,
    pub cell: Option<CellId>,
    pub kind: Option<KindId>,
    pub role: Role,
    pub weight: f64,
    /// Its KV cache in tokens; 0 if not known.
    pub kv_capacity_tokens: f64,
    pub started_at: Nanos,
    /// Listed, and neither draining nor removed.
    pub ready: bool,
    /// Own attempts in flight that have not sent their first token.
    pub awaiting_first_token: u32,
    /// Own prompt tokens that are not prefilled yet.
    pub queued_prompt_tokens: f64,
    /// KV cache tokens that own attempts are expected to need.
    pub reserved_kv_tokens: f64,
    /// The same two as a load report, which is late, can have counted them.
    pub lagged_reserved_kv_tokens: LaggedValue,
    pub lagged_awaiting_first_token: LaggedValue,
    /// Other routers' load by the reports: KV cache tokens, and prompt tokens that are not prefilled yet.
    pub peer_kv_tokens: Option<f64>,
    pub peer_queued_tokens: Option<f64>,
    /// When a report last came.
    pub reported_at: Nanos,
    /// The share of its KV cache in use, as last reported.
    pub memory_utilization: Option<f64>,
    pub saturated_at: Option<Nanos>,
    /// When it last answered anything.
    pub last_response_at: Nanos,
    /// When it last answered a probe without delay.
    pub fast_probe_at: Nanos,
    /// When the probe that is outstanding was sent.
    pub probe_sent_at: Option<Nanos>,
    /// When the latest exchange began that it has answered.
    pub running_at: Nanos,
    /// Ejections after failures, for all traffic or for one class.
    pub ejections: BTreeMap<Option<TrafficClassKey>, Ejection>,
    /// Latency for the work asked of it.
    pub latency: RunningMean,
    /// That latency as a multiple of its peers' median; 1 until it can be told.
    pub latency_ratio: f64,
    pub unreachable: bool,
    /// A connection to it could not be made.
    pub connection_lost: bool,
    pub next_probe_at: Nanos,
    /// When it could be reached again, if it could not.
    pub recovered_at: Nanos,
    /// The work sent there lately, in mean requests.
    pub recent_work: DecayingSum,
    pub slow_start_budget: TokenBucket,
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
        recent_work: DecayingSum::default(),
        slow_start_budget: TokenBucket::default(),
    }
}

impl Server {
    pub fn eject(&mut self, now: Nanos, part: Option<TrafficClassKey>, least: Nanos, most: Nanos) {
        let rest = self.ejections.entry(part).or_default();
        rest.span = (rest.span * 2).max(least).min(most);
        rest.until = now + rest.span;
    }

    pub fn record_answer(&mut self, now: Nanos, latency: Nanos) {
        self.running_at = self.running_at.max(now.saturating_sub(latency));
    }

    /// A probe has been outstanding for so long.
    pub fn awaits_probe_for(&self, now: Nanos, span: Nanos) -> bool {
        self.probe_sent_at.is_some_and(|at| now >= at + span)
    }

    pub fn was_saturated_within(&self, now: Nanos, span: Nanos) -> bool {
        self.saturated_at.is_some_and(|at| now < at + span)
    }

    /// When its process started, as listed or inferred; 0: long ago.
    pub fn process_started_at(&self) -> Nanos {
        self.started_at.max(self.recovered_at)
    }

    pub fn record_success(&mut self, part: TrafficClassKey) {
        for part in [None, Some(part)] {
            self.ejections.entry(part).and_modify(|rest| rest.span /= 2);
        }
    }

    pub fn is_ejected(&self, now: Nanos, part: Option<TrafficClassKey>) -> bool {
        self.ejections.get(&part).is_some_and(|rest| now < rest.until)
    }

    /// To be called before the own load changes, or is compared with a report.
    pub fn follow(&mut self, now: Nanos, lag: Nanos) {
        self.lagged_reserved_kv_tokens.follow(now, self.reserved_kv_tokens, lag);
        self.lagged_awaiting_first_token.follow(now, f64::from(self.awaiting_first_token), lag);
    }

    /// A load report counts the own load too, as it was a while ago; what is left is the other routers'.
    /// `size`: tokens that a request has to prefill.
    pub fn record_report(&mut self, now: Nanos, lag: Nanos, report: Option<LoadReport>, size: f64) {
        let Some(report) = report else { return };
        self.follow(now, lag);
        self.reported_at = now;
        self.memory_utilization = report.memory_utilization;
        if let Some(share) = report.memory_utilization.filter(|_| self.role != Role::Prefill) {
            self.peer_kv_tokens =
                Some((share * self.kv_capacity_tokens - self.lagged_reserved_kv_tokens.value).max(0.0));
        }
        let requests =
            report.in_flight.or(report.queued).map(|n| (n - self.lagged_awaiting_first_token.value) * size);
        let waiting =
            report.pending_prefill_kilotokens.map(|k| k * 1000.0 - self.queued_prompt_tokens).or(requests);
        if let Some(tokens) = waiting.filter(|_| self.role != Role::Decode) {
            self.peer_queued_tokens = Some(tokens.max(0.0));
        }
    }

    /// Takes its entry of the endpoint list; a new process begins with its budget in debt.
    pub fn update_listing(&mut self, now: Nanos, e: &Endpoint, debt: f64) {
        (self.zone, self.cell, self.kind) = (e.zone, e.cell, e.kind);
        self.weight = e.weight.filter(|w| *w > 0.0).unwrap_or(1.0);
        self.ready = e.state == ServerState::Ready;
        if e.started_at.unwrap_or(0) != self.started_at {
            self.restart(now, e.started_at.unwrap_or(0), debt);
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
        if attempt.begun {
            self.follow(now, lag);
        } else {
            self.begin_streaming(now, lag, attempt);
        }
        self.reserved_kv_tokens -= attempt.reserved_kv_tokens;
    }

    /// A new process: its past says nothing, and its budget begins in debt. Own attempts there stay booked
    /// until their outcomes come.
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
            ..new_server(old.id, old.role, old.kv_capacity_tokens)
        };
    }
}

/// Takes a latency, and compares those of its role, of servers with enough samples, with their median.
pub fn record_latency(all: &mut ServerTable, id: ServerId, sample: f64, gain: f64, enough: u32) {
    let Some(s) = all.get_mut(&id) else { return };
    s.latency.add(sample, gain);
    let role = s.role;
    let known = |s: &&mut Server| s.role == role && s.latency.samples >= enough;
    let median = median(all.values_mut().filter(known).map(|s| s.latency.value));
    all.values_mut().filter(known).for_each(|s| s.latency_ratio = s.latency.value / median.max(1.0));
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
    pub begun: bool,
    pub cancelled: bool,
    pub kv_released: bool,
    /// A probe of its server had been outstanding for long.
    pub probe_outstanding: bool,
}

impl Attempt {
    /// An attempt that is planned.
    pub fn planned(server: ServerId, stage: Stage) -> Attempt {
        Attempt {
            server,
            number: AttemptNumber(0),
            sent_at: 0,
            stage,
            prompt_tokens: 0.0,
            queued_tokens: 0.0,
            reserved_kv_tokens: 0.0,
            begun: false,
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
    /// Prefill and decode at one server.
    Combined,
}

/// An attempt that may have run, of a request that is not idempotent.
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
    /// An order of servers that differs for each request and router.
    pub tie_breaker: AffinityKey,
    pub arrived_at: Nanos,
    /// The number of prefill workers over which its shared prefix is spread.
    pub affinity_workers: usize,
    pub objective_at: Nanos,
    /// The expected length of its answer, in tokens.
    pub expected_output_tokens: f64,
    pub attempt_count: u32,
    pub attempt: Option<Attempt>,
    /// The server that holds its KV cache, and since when no attempt is known to have arrived for it.
    pub kv_cache: Option<(ServerId, Nanos)>,
    pub may_have_run: Option<MayHaveRun>,
    /// Servers where an attempt failed.
    pub failed_servers: Vec<ServerId>,
    pub first_sent_at: Option<Nanos>,
    /// Until when it waits for answers of load probes.
    pub probe_deadline: Option<Nanos>,
    /// Its final answer was given: only its attempt is still to end.
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

    /// The time that its latency objective leaves for the first token.
    pub fn time_to_objective(&self) -> f64 {
        self.objective_at.saturating_sub(self.arrived_at) as f64
    }

    pub fn traffic(&self) -> TrafficClassKey {
        (self.request.class, self.request.tenant)
    }

    /// No token of its answer has come.
    pub fn awaits_first_token(&self) -> bool {
        !self.finished && !self.attempt.is_some_and(|s| s.begun)
    }

    /// A decode worker will have to take its KV cache.
    pub fn will_need_decode(&self) -> bool {
        let reading = self.attempt.is_some_and(|s| s.stage == Stage::Prefill);
        !self.finished && (reading || self.kv_cache.is_some() && self.attempt.is_none())
    }

    /// KV cache tokens that it is expected to need at a decode worker.
    pub fn expected_kv_tokens(&self) -> f64 {
        self.request.prompt_tokens + self.expected_output_tokens
    }
}

pub type ServerTable = BTreeMap<ServerId, Server>;

/// What other routers report to have at each server, by router and in all.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    by_router: BTreeMap<u32, (Nanos, BTreeMap<ServerId, f64>)>,
    pub all: BTreeMap<ServerId, f64>,
}

impl PeerReports {
    pub fn record(&mut self, now: Nanos, from: u32, held: BTreeMap<ServerId, f64>) {
        held.iter().for_each(|(server, held)| *self.all.entry(*server).or_default() += held);
        let old = self.by_router.insert(from, (now, held));
        self.subtract(old.into_iter().collect());
    }

    /// Forgets reports received before `from`.
    pub fn expire(&mut self, from: Nanos) {
        let is_old = |t: &(Nanos, BTreeMap<ServerId, f64>)| t.0 < from;
        let old: Vec<u32> = self.by_router.iter().filter(|(_, t)| is_old(t)).map(|(r, _)| *r).collect();
        let old = old.iter().filter_map(|router| self.by_router.remove(router)).collect();
        self.subtract(old);
    }

    fn subtract(&mut self, old: Vec<(Nanos, BTreeMap<ServerId, f64>)>) {
        for (server, held) in old.iter().flat_map(|t| &t.1) {
            self.all.entry(*server).and_modify(|all| *all = (*all - held).max(0.0));
        }
    }

    pub fn reporting_routers(&self) -> f64 {
        self.by_router.len() as f64
    }
}

/// What the servers of a role have in common.
#[derive(Clone, Debug, Default)]
pub struct FleetSummary {
    at: Nanos,
    /// The mean weight by role.
    pub weight: [f64; 3],
    /// Each cell's share of all weight, by role.
    pub cells: BTreeMap<CellId, [f64; 3]>,
    /// By role, of the servers with fresh reports: other routers' share of the KV cache, and their queued tokens.
    pub peer_utilization: [Option<f64>; 3],
    pub peer_queued_tokens: [Option<f64>; 3],
    /// KV cache tokens that this router and those that report have, and their mean for a decode worker.
    pub known_kv_tokens: f64,
    pub known_kv_tokens_per_server: f64,
}

impl FleetSummary {
    /// Takes the endpoint list.
    pub fn update_listed(&mut self, servers: &ServerTable) {
        self.cells.clear();
        for role in [Role::Prefill, Role::Decode, Role::Mixed] {
            let ready = || servers.values().filter(|s| s.ready && s.role == role);
            self.weight[role as usize] = average(ready().map(|s| s.weight)).unwrap_or(1.0);
            let whole = ready().map(|s| s.weight).sum::<f64>();
            for (s, cell) in ready().filter_map(|s| Some((s, s.cell?))) {
                self.cells.entry(cell).or_default()[role as usize] += s.weight / whole;
            }
        }
    }

    /// Updates the means of the last `span`, and forgets older reports. Done once in `every`.
    pub fn update_load(
        &mut self,
        now: Nanos,
        every: Nanos,
        span: Nanos,
        servers: &mut ServerTable,
        peer_reports: &mut PeerReports,
    ) {
        if now < self.at + every {
            return;
        }
        self.at = now;
        let from = now.saturating_sub(span);
        peer_reports.expire(from);
        let (mut others, mut unread) = ([(0.0, 0.0); 3], [(0.0, 0.0); 3]);
        let (mut writers, mut held) = (0.0_f64, 0.0);
        for s in servers.values_mut() {
            if s.reported_at < from {
                (s.peer_kv_tokens, s.peer_queued_tokens, s.memory_utilization) = (None, None, None);
            }
            // A probe whose answer was lost must not be awaited for ever.
            s.probe_sent_at = s.probe_sent_at.filter(|at| *at >= from);
            if s.ready {
                let add = |sum: &mut (f64, f64), value: f64| *sum = (sum.0 + value, sum.1 + 1.0);
                s.peer_kv_tokens
                    .into_iter()
                    .for_each(|v| add(&mut others[s.role as usize], v / s.kv_capacity_tokens.max(1.0)));
                s.peer_queued_tokens.into_iter().for_each(|v| add(&mut unread[s.role as usize], v));
                if s.role != Role::Prefill {
                    (writers, held) = (writers + 1.0, held + s.reserved_kv_tokens);
                }
            }
        }
        let mean = |sum: (f64, f64)| (sum.1 > 0.0).then(|| sum.0 / sum.1);
        (self.peer_utilization, self.peer_queued_tokens) = (others.map(mean), unread.map(mean));
        self.known_kv_tokens = held + peer_reports.all.values().sum::<f64>();
        self.known_kv_tokens_per_server = self.known_kv_tokens / writers.max(1.0);
    }
}

/// Tokens in one unit of a gossip message.
const UNIT: f64 = 16.0;
/// The longest gossip message, in bytes.
const MESSAGE: usize = 256;

/// KV cache tokens at each server: four bytes for the server, two for the amount.
pub fn encode_gossip(held: impl Iterator<Item = (ServerId, f64)>) -> Vec<u8> {
    let some = held.filter(|(_, held)| *held >= UNIT);
    let entry = |(server, held): (ServerId, f64)| {
        let units = (held / UNIT).min(f64::from(u16::MAX)) as u16;
        server.0.to_le_bytes().into_iter().chain(units.to_le_bytes())
    };
    some.take(MESSAGE / 6).flat_map(entry).collect()
}

pub fn decode_gossip(data: &[u8]) -> BTreeMap<ServerId, f64> {
    let entry = |e: &[u8]| {
        let server = ServerId(u32::from_le_bytes([e[0], e[1], e[2], e[3]]));
        (server, f64::from(u16::from_le_bytes([e[4], e[5]])) * UNIT)
    };
    data.chunks_exact(6).map(entry).collect()
}

/// The least value first.
pub fn sorted_by<T>(mut all: Vec<T>, value: impl Fn(&T) -> f64) -> Vec<T> {
    all.sort_by(|a, b| value(a).total_cmp(&value(b)));
    all
}

/// The least power of four above `n`.
pub fn next_power_of_four(n: usize) -> usize {
    let power = (n + 1).next_power_of_two();
    power << (power.trailing_zeros() & 1)
}

/// A rate of sends that falls when they do badly and recovers with time.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveThrottle {
    /// Sends a second.
    rate: f64,
    bucket: TokenBucket,
    reduced_at: Nanos,
    since: Nanos,
    sent: DecayingSum,
}

impl Default for AdaptiveThrottle {
    fn default() -> AdaptiveThrottle {
        let bucket = TokenBucket { tokens: 1.0, at: 0 };
        AdaptiveThrottle { rate: f64::MAX, bucket, reduced_at: 0, since: 0, sent: DecayingSum::default() }
    }
}

impl AdaptiveThrottle {
    /// Whether a send is allowed; the rate grows by the share `growth` a second.
    pub fn allows(&mut self, now: Nanos, growth: f64) -> bool {
        let span_s = now.saturating_sub(self.bucket.at) as f64 / 1e9;
        self.rate = (self.rate * (1.0 + growth * span_s)).min(f64::MAX);
        self.bucket.refill(now, self.rate, 1.0 + self.rate / 10.0);
        self.bucket.tokens >= 1.0
    }

    pub fn take(&mut self, now: Nanos, span: Nanos) {
        self.bucket.tokens -= 1.0;
        self.since = if self.since == 0 { now } else { self.since };
        self.sent.add(now, 1.0, span);
    }

    /// Cuts the rate to a share of what was sent lately, once in `gap` at most.
    pub fn reduce(&mut self, now: Nanos, share: f64, span: Nanos, gap: Nanos) {
        if now >= self.reduced_at + gap {
            self.reduced_at = now;
            let span_s = now.saturating_sub(self.since).clamp(gap, span) as f64 / 1e9;
            self.rate = (self.rate.min(self.sent.get(now, span) / span_s) * share).max(0.02);
        }
    }
}
