//! The texts of events. They are sent to operators' clients and stay as they are.

use super::fault::{Fault, FaultPeriod};
use crate::SECOND;
use gaparch_protocol::ops::view::{EngineState, EngineView};

/// Describes an engine's new state.
pub(super) fn state_text(state: EngineState) -> &'static str {
    match state {
        EngineState::Ready => "ready: it is sent requests",
        EngineState::Draining => "draining: it is sent nothing new",
        EngineState::Removed => "gone: it is sent nothing, and disconnected",
    }
}

/// Describes a fault that begins, and the requests in flight at the engine.
pub(super) fn fault_start_text(fault: &Fault, engine: &EngineView) -> String {
    let in_flight = format!(
        "{} awaiting their first token and {} streaming there",
        engine.awaiting_first_token, engine.streaming
    );
    match fault {
        Fault::Unreachable if engine.connected => {
            format!("answers nothing, though connected; {in_flight}")
        }
        Fault::Unreachable => format!("can't be reached; {in_flight}"),
        Fault::Ejected => format!("has failed, and is ejected for a while; {in_flight}"),
        Fault::Outlier => {
            format!(
                "{:.1} times as slow as its peers: one request at a time; {in_flight}",
                engine.latency_ratio
            )
        }
        Fault::PartiallyEjected { class, tenant } => {
            let part = traffic_text(class, tenant);
            format!(
                "rejects {part} or leaves it unanswered; it gets none of it for a while, but all other \
                 requests"
            )
        }
    }
}

/// Describes a fault that has ended, its duration, and the attempts that failed or were cancelled meanwhile.
pub(super) fn fault_end_text(fault: &Fault, period: &FaultPeriod, engine: &EngineView) -> String {
    let what = match fault {
        Fault::Unreachable => "answers again".to_owned(),
        Fault::Ejected => "is used again".to_owned(),
        Fault::Outlier => "is as quick as its peers again".to_owned(),
        Fault::PartiallyEjected { class, tenant } => {
            format!("is sent {} again", traffic_text(class, tenant))
        }
    };
    let duration = duration_text(period.last_observed_at.saturating_sub(period.since));
    let failed = engine.failed.saturating_sub(period.failed_before);
    let cancelled = engine.cancelled.saturating_sub(period.cancelled_before);
    format!(
        "{what} after {duration}; meanwhile {failed} attempts failed there and {cancelled} were cancelled"
    )
}

fn traffic_text(class: &str, tenant: &str) -> String {
    match tenant {
        "" => format!("class {class}"),
        tenant => format!("class {class} of tenant {tenant}"),
    }
}

/// Formats a duration in nanoseconds in its two largest units.
pub fn duration_text(nanos: u64) -> String {
    let seconds = nanos / SECOND;
    match seconds {
        0..=9 => format!("{:.1} s", nanos as f64 / SECOND as f64),
        10..=119 => format!("{seconds} s"),
        120..=7199 => format!("{} min {} s", seconds / 60, seconds % 60),
        _ => format!("{} h {} min", seconds / 3600, seconds % 3600 / 60),
    }
}
