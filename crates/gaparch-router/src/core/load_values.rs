//! Validates numbers from engines and the list service: those out of range are ignored and counted.

use super::Counters;
use gaparch_scheduler::api::LoadReport;

/// The largest valid number in a load report or a weight.
const MAX_VALUE: f64 = 1e9;

/// Whether a number is finite and in range.
pub(super) fn is_valid(value: f64) -> bool {
    value.is_finite() && (0.0..=MAX_VALUE).contains(&value)
}

/// The report without its invalid values; `None` if no value is left.
pub(super) fn without_invalid_values(
    report: Option<LoadReport>,
    counters: &mut Counters,
) -> Option<LoadReport> {
    let mut report = report?;
    let values = [
        &mut report.in_flight,
        &mut report.queued,
        &mut report.slot_utilization,
        &mut report.memory_utilization,
        &mut report.pending_prefill_kilotokens,
    ];
    for value in values {
        if value.is_some_and(|value| !is_valid(value)) {
            *value = None;
            counters.ignored_values += 1;
        }
    }
    (report != LoadReport::default()).then_some(report)
}
