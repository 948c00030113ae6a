//! Figures of engines and of the list: what no one should send is dropped and counted.

use super::Counts;
use gaparch_scheduler::api::LoadReport;

/// No figure of a report or a weight makes sense above this.
const MOST: f64 = 1e9;

pub(super) fn sound(figure: f64) -> bool {
    figure.is_finite() && (0.0..=MOST).contains(&figure)
}

/// The report without its figures that make no sense; `None` if none is left.
pub(super) fn clean(report: Option<LoadReport>, counts: &mut Counts) -> Option<LoadReport> {
    let mut report = report?;
    let figures = [
        &mut report.in_flight,
        &mut report.queued,
        &mut report.slot_utilization,
        &mut report.memory_utilization,
        &mut report.pending_prefill_kilotokens,
    ];
    for figure in figures {
        if figure.is_some_and(|f| !sound(f)) {
            *figure = None;
            counts.dropped_figures += 1;
        }
    }
    (report != LoadReport::default()).then_some(report)
}
