//! Log lines about workers that are warming up: when and by what sign the router learned of a start, and what it sent
//! until the slow start ended.

use super::Owner;
use gaparch_scheduler::api::{Nanos, ServerId};
use gaparch_scheduler::view::SlowStartView;
use std::collections::BTreeMap;

/// Maximum number of lines at a time.
const MAX_LINES: usize = 32;
const NANOS_PER_MS: Nanos = 1_000_000;

/// The workers that were warming up when they were last looked at.
#[derive(Debug, Default)]
pub(super) struct SlowStartLog {
    warming_up: BTreeMap<ServerId, SlowStartView>,
}

/// Whether a slow start is another one than before: of a new process, or known by another sign.
fn is_another(before: Option<&SlowStartView>, now: &SlowStartView) -> bool {
    before.is_none_or(|before| (before.started_at, before.sign) != (now.started_at, now.sign))
}

impl Owner {
    /// Logs the slow starts that have begun and ended since the last call. Without a slow start it costs one pass
    /// over the workers.
    pub(super) fn log_slow_starts(&mut self) {
        let now = self.shared.clock.now();
        let current: BTreeMap<ServerId, SlowStartView> =
            self.core.slow_starts().map(|view| (view.server, view)).collect();
        let before = &self.slow_start_log.warming_up;
        let begun = current.values().filter(|view| is_another(before.get(&view.server), view));
        for view in begun.take(MAX_LINES) {
            tracing::info!(
                worker = self.core.engine_name(view.server),
                sign = ?view.sign,
                age_ms = now.saturating_sub(view.started_at) / NANOS_PER_MS,
                budget = view.budget,
                per_second = view.budget_per_second,
                "slow start"
            );
        }
        let ended = before.values().filter(|view| !current.contains_key(&view.server));
        for view in ended.take(MAX_LINES) {
            tracing::info!(
                worker = self.core.engine_name(view.server),
                sent = view.sent_attempts,
                work = view.sent_work,
                per_second = view.budget_per_second,
                "slow start ended"
            );
        }
        self.slow_start_log.warming_up = current;
    }
}
