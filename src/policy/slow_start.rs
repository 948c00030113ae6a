//! Slow start: what a server that has just started may be sent.

use super::constants::{MIN_OVERLOAD_WINDOW_SECONDS, RATE_SPAN, SLOW_START_FLOOR};
use crate::api::{Nanos, Settings};
use crate::state::{seconds, warm_servers_by_kind, LaggedValue, Server, ServerTable, WarmServers};

/// What a warm server of a kind is usually sent.
#[derive(Clone, Copy)]
struct UsualLoad {
    /// In mean requests a second.
    rate: LaggedValue,
    /// The mean weight of the servers that are sent it.
    weight: f64,
}

/// What warm servers are usually sent, by kind, from which the budgets of those that are warming up
/// follow.
pub(super) struct SlowStart {
    usual_by_kind: Vec<UsualLoad>,
}

impl SlowStart {
    /// `kinds`: the kinds of the settings; servers without a kind are one more.
    pub(super) fn new(kinds: usize) -> SlowStart {
        let nothing_yet = UsualLoad { rate: LaggedValue::default(), weight: 1.0 };
        SlowStart { usual_by_kind: vec![nothing_yet; kinds + 1] }
    }

    /// Refills the budgets of the servers that are warming up: with a share of what this router
    /// sends to a warm peer.
    pub(super) fn refill_budgets(&mut self, now: Nanos, settings: &Settings, servers: &mut ServerTable) {
        let span_seconds = seconds(RATE_SPAN);
        let floor = floor_per_second(settings);
        let share = (settings.overload_factor * settings.slow_start_speed).min(1.0);
        let rate = |server: &Server| server.slow_start.recent_work(now, RATE_SPAN) / span_seconds;
        let is_warm = |server: &Server| !is_warming_up(now, settings, server);
        let by_kind = warm_servers_by_kind(servers, self.usual_by_kind.len(), is_warm, rate);
        for (usual, warm) in self.usual_by_kind.iter_mut().zip(by_kind) {
            let rate = usual.update(now, &warm) * share;
            // Servers of a kind are of one size, and where weights differ they tell of smaller ones.
            let size = |server: &Server| (server.listing.weight / usual.weight).min(1.0);
            servers.change_at(&warm.warming_up, |server| {
                let per_second = (rate * size(server)).max(floor);
                server.slow_start.refill_budget(now, per_second);
            });
        }
    }
}

impl UsualLoad {
    /// Follows the warm servers; the greater of their present and their usual rate.
    fn update(&mut self, now: Nanos, warm: &WarmServers) -> f64 {
        self.weight = warm.mean_weight.unwrap_or(self.weight);
        let present = warm.mean_rate.unwrap_or(self.rate.value());
        self.rate.follow(now, present, RATE_SPAN);
        present.max(self.rate.value())
    }
}

fn floor_per_second(settings: &Settings) -> f64 {
    let window = seconds(settings.overload_window).max(MIN_OVERLOAD_WINDOW_SECONDS);
    SLOW_START_FLOOR / window / f64::from(settings.router_count)
}

/// Whether its process started so short ago that it is still warming up.
pub(crate) fn is_warming_up(now: Nanos, settings: &Settings, server: &Server) -> bool {
    let started_at = server.process_started_at();
    started_at > 0 && now < started_at.saturating_add(settings.slow_start_duration)
}

/// Whether slow start lets it be sent something. Each router keeps to it alone; debts differ at the
/// start.
pub(crate) fn slow_start_allows(now: Nanos, settings: &Settings, server: &Server) -> bool {
    !is_warming_up(now, settings, server) || server.slow_start.budget() >= 0.0
}
