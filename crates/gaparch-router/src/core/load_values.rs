//! Figures of engines and of the list: what no one should send is dropped and counted.

use super::Counters;
use gaparch_scheduler::api::LoadReport;

/// No figure of a report or a weight makes sense above this.
const MAX_VALUE: f64 = 1e9;

pub(super) fn is_valid(figure: f64) -> bool {
    figure.is_finite() && (0.0..=MAX_VALUE).contains(&figure)
}

/// The report without its figures that make no sense; `None` if none is left.
pub(super) fn without_invalid_values(
    report: Option<LoadReport>,
    counts: &mut Counters,
) -> Option<LoadReport> {
    let mut report = report?;
    let figures = [
        &mut report.in_flight,
        &mut report.queued,
        &mut report.slot_utilization,
        &mut report.memory_utilization,
        &mut report.pending_prefill_kilotokens,
    ];
    for figure in figures {
        if figure.is_some_and(|f| !is_valid(f)) {
            *figure = None;
            counts.ignored_values += 1;
        }
    }
    (report != LoadReport::default()).then_some(report)
}
