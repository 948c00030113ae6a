//! The owner's periodic log lines: the summary, and KV caches that no decode worker has fetched.

use super::Owner;
use gaparch_scheduler::api::Nanos;
use std::time::Duration;

/// Maximum number of unfetched KV caches that are logged at a time.
const MAX_UNFETCHED_LINES: usize = 4;
const NANOS_PER_MS: Nanos = 1_000_000;
const BYTES_PER_KB: usize = 1024;

/// Statistics of the KV caches held for requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct HeldKvCaches {
    count: usize,
    /// How long the oldest one has been held.
    longest: Nanos,
}

/// The sum over the workers that are warming up, of what this router may send and has sent them. Work is in mean
/// requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct SlowStarts {
    workers: usize,
    budget_per_second: f64,
    sent_work: f64,
}

impl Owner {
    fn measure_slow_starts(&self) -> SlowStarts {
        self.core.slow_starts().fold(SlowStarts::default(), |sum, view| SlowStarts {
            workers: sum.workers + 1,
            budget_per_second: sum.budget_per_second + view.budget_per_second,
            sent_work: sum.sent_work + view.sent_work,
        })
    }

    fn measure_held_kv_caches(&self) -> HeldKvCaches {
        let now = self.shared.clock.now();
        let mut held = HeldKvCaches::default();
        for cache in self.core.held_kv_caches() {
            held.count += 1;
            held.longest = held.longest.max(now.saturating_sub(cache.since));
        }
        held
    }

    /// Logs KV caches that have been held longer than the settings allow without a decode worker being known
    /// to have fetched them. Each is logged at most once.
    pub(super) fn log_unfetched_kv_caches(&mut self) {
        let now = self.shared.clock.now();
        let max_held = self.shared.config.settings.scheduler.kv_release_within;
        let mut logged_to = self.unfetched_logged_to;
        let mut overdue = Vec::new();
        for cache in self.core.held_kv_caches() {
            let is_overdue = now.saturating_sub(cache.since) > max_held;
            let is_logged = cache.since <= self.unfetched_logged_to;
            if is_overdue && !is_logged && overdue.len() < MAX_UNFETCHED_LINES {
                logged_to = logged_to.max(cache.since);
                overdue.push(cache);
            }
        }
        for cache in overdue {
            tracing::info!(
                request = cache.request.0,
                txn = self.transaction(cache.request),
                prefill_worker = cache.prefill_worker.0,
                unanswered_at = cache.unanswered_at.map(|server| server.0),
                held_ms = now.saturating_sub(cache.since) / NANOS_PER_MS,
                "KV cache not fetched by any decode worker"
            );
        }
        self.unfetched_logged_to = logged_to;
    }

    pub(super) fn log_summary(&mut self) {
        let counts = self.core.counters();
        let reasons = self.core.reasons_by_kind();
        let pool = self.pool.size();
        let kv_caches = self.measure_held_kv_caches();
        let slow_starts = self.measure_slow_starts();
        let loop_delay = self.shared.event_loop_delay.take();
        let clients = &self.shared.client_statistics;
        tracing::info!(
            open = self.core.open_requests(),
            known = self.open.len(),
            releases = self.releases.len(),
            requests = counts.requests,
            served = counts.served,
            rejected = counts.rejected,
            failed = counts.failed,
            disconnected = counts.client_disconnected,
            overdue = counts.overdue,
            late_frames = counts.late_frames,
            unsent = counts.unsent_attempts,
            denied = %counts.denials,
            stopped = %self.shared.denials(),
            second_answers = counts.duplicate_answers,
            rejections = %reasons.rejected,
            failures = %reasons.failed,
            attempts = %reasons.attempts,
            retries = %reasons.retries,
            kv_caches = kv_caches.count,
            kv_cache_longest_ms = kv_caches.longest / NANOS_PER_MS,
            slow_starts = slow_starts.workers,
            slow_start_per_second = slow_starts.budget_per_second,
            slow_start_work = slow_starts.sent_work,
            closed = %self.shared.closes,
            rejected_messages = %clients,
            health_checks = clients.health_checks(),
            busiest_connection = clients.take_busiest_connection(),
            late_responses = clients.late_responses(),
            queued_us = clients.take_longest_queued().as_micros() as u64,
            rejected_entries = counts.ignored_entries,
            gossip_dropped = self.gossip.as_ref().map_or(0, |gossip| gossip.dropped()),
            workers = pool.workers,
            idle = pool.idle_connections,
            memory_kb = resident_memory_kb(),
            body_kb = self.shared.memory.bodies.reserved_bytes() / BYTES_PER_KB,
            lag_us = self.max_timer_lag.as_micros() as u64,
            loop_delay_us = loop_delay.max.as_micros() as u64,
            late_turns = loop_delay.late,
            "summary"
        );
        self.max_timer_lag = Duration::ZERO;
    }
}

/// Returns the resident memory of this process in KiB, or 0 if it can't be read.
fn resident_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = resident.and_then(|text| text.split_whitespace().next());
    number.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}
