//! Figures of engines and of the list: what no one should send is dropped and counted.

use super::Counts;
use gaparch_scheduler::api::Report;

/// No figure of a report or a weight makes sense above this.
const MOST: f64 = 1e9;

pub(super) fn sound(figure: f64) -> bool {
    figure.is_finite() && (0.0..=MOST).contains(&figure)
}

/// The report without its figures that make no sense; `None` if none is left.
pub(super) fn clean(report: Option<Report>, counts: &mut Counts) -> Option<Report> {
    let mut report = report?;
    let figures =
        [&mut report.inflight, &mut report.queue, &mut report.util, &mut report.memory, &mut report.unread_k];
    for figure in figures {
        if figure.is_some_and(|f| !sound(f)) {
            *figure = None;
            counts.dropped_figures += 1;
        }
    }
    (report != Report::default()).then_some(report)
}
