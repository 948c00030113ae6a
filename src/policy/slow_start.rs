//! Slow start: how much a server that has just started may be sent.
//!
//! Its capacity is not known, but its warm peers complete no more than theirs. What they are sent says
//! nothing of it: in overload they reject most of it, and each rejection is followed by a retry.

use super::constants::{MIN_OVERLOAD_WINDOW, RATE_SPAN, SATURATED_BUDGET_FRACTION, SLOW_START_FLOOR};
use super::eligibility::WorkerPool;
use super::Policy;
use crate::api::{AttemptOutcome, AttemptStatus, ClassId, Nanos, RequestId, Role, Settings};
use crate::state::{
    seconds, warm_servers_by_kind, Attempt, LaggedValue, Server, ServerTable, Stage, WarmServers,
};

/// What a warm server of one kind usually completes for this router.
#[derive(Clone, Copy)]
struct UsualLoad {
    /// In mean requests per second.
    rate: LaggedValue,
    /// Mean weight of the warm servers.
    weight: f64,
}

/// The usual load of warm servers by kind, from which the budgets of servers in slow start are derived.
pub(super) struct SlowStart {
    usual_by_kind: Vec<UsualLoad>,
}

impl SlowStart {
    /// `kinds`: the number of kinds in the settings; servers without a kind count as one more.
    pub(super) fn new(kinds: usize) -> SlowStart {
        let no_load = UsualLoad { rate: LaggedValue::default(), weight: 1.0 };
        SlowStart { usual_by_kind: vec![no_load; kinds + 1] }
    }

    /// Refills the budgets of servers that are warming up with a fraction of what a warm peer completes for
    /// this router.
    pub(super) fn refill_budgets(&mut self, now: Nanos, settings: &Settings, servers: &mut ServerTable) {
        let span_seconds = seconds(RATE_SPAN);
        let floor = floor_per_second(settings);
        let window = settings.overload_window.max(MIN_OVERLOAD_WINDOW);
        let share = (settings.overload_factor * settings.slow_start_speed).min(1.0);
        let rate = |server: &Server| server.slow_start.completed_work(now, RATE_SPAN) / span_seconds;
        let is_warm = |server: &Server| !is_warming_up(now, settings, server);
        let is_saturated = |server: &Server| server.was_saturated_within(now, RATE_SPAN);
        let kinds = self.usual_by_kind.len();
        let by_kind = warm_servers_by_kind(servers, kinds, is_warm, rate, is_saturated);
        for (usual, warm) in self.usual_by_kind.iter_mut().zip(by_kind) {
            let rate = usual.update(now, &warm) * share;
            let kept_for = warm.is_any_saturated.then_some(window);
            // Servers of one kind have the same size unless their weight is below the mean: then they
            // are smaller.
            let size = |server: &Server| (server.listing.weight / usual.weight).min(1.0);
            servers.change_at(&warm.warming_up, |server| {
                let per_second = (rate * size(server)).max(floor);
                server.slow_start.refill_budget(now, per_second, kept_for);
            });
        }
    }
}

impl UsualLoad {
    /// Updates the averages from the warm servers, and returns the rate that budgets are derived from: the
    /// greater of their current and their usual rate. A saturated server completes all that it can, and a
    /// server that is warming up may not get more than its share of that by chance either.
    fn update(&mut self, now: Nanos, warm: &WarmServers) -> f64 {
        self.weight = warm.mean_weight.unwrap_or(self.weight);
        let current = warm.mean_rate.unwrap_or(self.rate.value());
        self.rate.follow(now, current, RATE_SPAN);
        if warm.is_any_saturated {
            self.rate.value() * SATURATED_BUDGET_FRACTION
        } else {
            current.max(self.rate.value())
        }
    }
}

impl Policy {
    /// Counts an attempt as completed that has ended as it should, unless its first token counted already.
    pub(super) fn record_completed_attempt(&mut self, outcome: &AttemptOutcome, attempt: &Attempt) {
        let is_completed = matches!(outcome.status, AttemptStatus::Ok | AttemptStatus::Prefilled);
        if is_completed && !attempt.is_streaming() {
            self.record_completed_work(outcome.id, attempt);
        }
    }

    /// Whether slow start allows a server a request of this class, or one of mean work if there is none.
    pub(super) fn slow_start_allows_class(
        &self,
        server: &Server,
        pool: WorkerPool,
        class: Option<ClassId>,
    ) -> bool {
        if !is_warming_up(self.now, &self.settings, server) {
            return true;
        }
        let is_prefill = pool == WorkerPool::Prefill && server.listing.role == Role::Prefill;
        let stage = if is_prefill { Stage::Prefill } else { Stage::Decode };
        let work = class.map_or(1.0, |class| self.traffic.relative_work(stage, class));
        server.slow_start.allows(work)
    }

    /// Counts the work of an attempt as completed by its server.
    pub(super) fn record_completed_work(&mut self, id: RequestId, attempt: &Attempt) {
        let Some(request) = self.requests.get(id) else { return };
        let work = self.traffic.relative_work(attempt.stage, request.request().class);
        if let Some(server) = self.servers.get_mut(attempt.server) {
            server.slow_start.record_completed(self.now, work, RATE_SPAN);
        }
    }
}

fn floor_per_second(settings: &Settings) -> f64 {
    let window = seconds(settings.overload_window.max(MIN_OVERLOAD_WINDOW));
    SLOW_START_FLOOR / window / f64::from(settings.router_count)
}

/// Whether the server's process started so recently that it is still warming up.
pub(crate) fn is_warming_up(now: Nanos, settings: &Settings, server: &Server) -> bool {
    let started_at = server.process_started_at();
    started_at > 0 && now < started_at.saturating_add(settings.slow_start_duration)
}

/// Whether slow start allows the server another request of mean work. Each router enforces its own budget,
/// without coordination; initial debts differ between routers, so that they do not all send at once.
pub(crate) fn slow_start_allows(now: Nanos, settings: &Settings, server: &Server) -> bool {
    !is_warming_up(now, settings, server) || server.slow_start.allows(1.0)
}
