//! Times, counts and reasons in words, the same in the console and in scripts' tables.

use chrono::{DateTime, Local, TimeZone};
use gaparch_protocol::ops::intent::{DrainMode, Intent, Subject};
use gaparch_protocol::ops::outcome::{AttemptEnd, OutcomeCause, OutcomeKind, QueueingReason, RequestOutcome};
use gaparch_protocol::ops::view::{AvoidReason, EngineState, EngineView, Severity};

/// A time of day here, with the day where it is another one than `now`'s.
pub fn time(at: u64, now: u64) -> String {
    let local =
        |nanos: u64| -> DateTime<Local> { Local.timestamp_nanos(i64::try_from(nanos).unwrap_or(i64::MAX)) };
    let (at, now) = (local(at), local(now));
    let form = if at.date_naive() == now.date_naive() { "%H:%M:%S" } else { "%Y-%m-%d %H:%M:%S" };
    at.format(form).to_string()
}

/// How long ago, roughly; `-` for never.
pub fn ago(at: u64, now: u64) -> String {
    match at {
        0 => "-".to_owned(),
        at => gaparch_ops::duration_text(now.saturating_sub(at)),
    }
}

/// A span in microseconds.
pub fn micros(us: u64) -> String {
    match us {
        0..=999 => format!("{us} us"),
        1_000..=9_999 => format!("{:.1} ms", us as f64 / 1e3),
        10_000..=999_999 => format!("{} ms", us / 1000),
        _ => format!("{:.2} s", us as f64 / 1e6),
    }
}

/// A count with a unit of thousand or million.
pub fn count(n: u64) -> String {
    match n {
        0..=9_999 => n.to_string(),
        10_000..=9_999_999 => format!("{}k", n / 1000),
        _ => format!("{}M", n / 1_000_000),
    }
}

/// A share in percent.
pub fn percent(share: f64) -> String {
    format!("{:.0}%", share * 100.0)
}

pub fn severity(severity: Severity) -> &'static str {
    match severity {
        Severity::Info => "info",
        Severity::Warning => "WARN",
        Severity::Fault => "TROUBLE",
    }
}

/// Why a request ended so, in a sentence's part.
pub fn cause(cause: OutcomeCause, waited_for: Option<QueueingReason>) -> String {
    let what = match cause {
        OutcomeCause::Answered => "answered",
        OutcomeCause::UnknownClass => "its class is not known",
        OutcomeCause::DeadlineExceeded => "its client's time was up",
        OutcomeCause::ObjectiveMissed => "it could not make its aim any more",
        OutcomeCause::KvReleaseTimeout => "its read state could not wait any longer",
        OutcomeCause::AttemptsExhausted => "its attempts were used up",
        OutcomeCause::MayHaveRun => "it may have run, and may not be tried again",
        OutcomeCause::TooLate => "it was too late to send it",
        OutcomeCause::Paused => "the intake was paused",
        OutcomeCause::Stopping => "the router was stopping",
        OutcomeCause::TooManyOpen => "more was open than may be",
        OutcomeCause::StreamBroken => "its answer broke off",
        OutcomeCause::StreamStalled => "its answer stood still or went on for too long",
        OutcomeCause::ClientDisconnected => "its client left",
        OutcomeCause::Overdue => "it was not ended in time",
    };
    match waited_for {
        None => what.to_owned(),
        Some(waited_for) => format!("{what}; {}", waited(waited_for)),
    }
}

pub fn waited(waited_for: QueueingReason) -> &'static str {
    match waited_for {
        QueueingReason::NoDecodeWorker => "no writer could be sent to",
        QueueingReason::NoPrefillWorker => "no reader could be sent to",
        QueueingReason::OverQuota => "its tenant was over its share",
        QueueingReason::DecodeWorkersSaturated => "all writers looked full",
        QueueingReason::PrefillWorkersSaturated => "all readers had long waits",
    }
}

/// Why an engine gets nothing new, or less.
pub fn avoided(engine: &EngineView) -> String {
    let whole = engine.avoid_reason.map(|avoid| match avoid {
        AvoidReason::NotReady => match engine.state {
            EngineState::Removed => "gone",
            _ => "draining",
        },
        AvoidReason::Unreachable if engine.connected => "answers nothing",
        AvoidReason::Unreachable => "unreachable",
        AvoidReason::Ejected => "rests after failures",
        AvoidReason::Outlier => "slow",
        AvoidReason::WarmingUp => "cold",
        AvoidReason::Saturated => "full",
    });
    let parts =
        engine.partial_ejections.iter().map(|rest| format!("no {}{}", rest.class, of_tenant(&rest.tenant)));
    whole.map(str::to_owned).into_iter().chain(parts).collect::<Vec<_>>().join(", ")
}

fn of_tenant(tenant: &str) -> String {
    if tenant.is_empty() {
        String::new()
    } else {
        format!("/{tenant}")
    }
}

/// Where an engine stands, as far as the settings say.
pub fn place(engine: &EngineView) -> String {
    match (engine.zone.as_str(), engine.rack.as_str()) {
        ("", "") => "-".to_owned(),
        ("", rack) => rack.to_owned(),
        (zone, "") => zone.to_owned(),
        (zone, rack) => format!("{zone}/{rack}"),
    }
}

/// An engine's state, with who made it so.
pub fn state(engine: &EngineView, intents: &[Intent]) -> String {
    match hold(&engine.name, intents) {
        Some((DrainMode::Drain, kept)) => format!("drained{}", if kept { "" } else { " (not kept)" }),
        Some((DrainMode::Detach, kept)) => format!("set aside{}", if kept { "" } else { " (not kept)" }),
        None => engine.state.name().to_owned(),
    }
}

/// How an operator holds an engine, and whether that is kept.
pub fn hold(engine: &str, intents: &[Intent]) -> Option<(DrainMode, bool)> {
    intents.iter().find_map(|intent| match &intent.subject {
        Subject::Engine { engine: name, mode: hold } if name == engine => Some((*hold, intent.persisted)),
        _ => None,
    })
}

pub fn subject(subject: &Subject) -> String {
    match subject {
        Subject::Engine { engine, mode: DrainMode::Drain } => format!("{engine} drained"),
        Subject::Engine { engine, mode: DrainMode::Detach } => format!("{engine} set aside"),
        Subject::Admission {} => "intake paused".to_owned(),
        Subject::Limit { name, value } => format!("{name} = {value}"),
    }
}

/// What became of the client.
pub fn follow_up(ending: &RequestOutcome) -> String {
    match &ending.follow_up {
        None => "its client has not been seen again".to_owned(),
        Some(follow_up) => {
            let after = gaparch_ops::duration_text(follow_up.received_at.saturating_sub(ending.ended_at));
            let then = match follow_up.kind {
                OutcomeKind::Served => "served then",
                OutcomeKind::Rejected => "refused again",
                OutcomeKind::Failed => "failed then",
                OutcomeKind::ClientDisconnected => "left then",
            };
            format!("its client came back after {after} as {}, and was {then}", follow_up.request)
        }
    }
}

/// One request's story, a line each.
pub fn story(ending: &RequestOutcome, now: u64) -> Vec<String> {
    let tenant =
        if ending.tenant.is_empty() { String::new() } else { format!(" of tenant {}", ending.tenant) };
    let mut lines = vec![
        format!("request {}", ending.request),
        format!(
            "  {} at {}, a {}{tenant}; {} after {}",
            "asked",
            time(ending.received_at, now),
            ending.class,
            ending.kind,
            micros(ending.ended_at.saturating_sub(ending.received_at) / 1000)
        ),
        format!("  why: {}", cause(ending.cause, ending.queueing_reason)),
    ];
    if let Some(wait) = ending.retry_after_ms {
        lines.push(format!("  told to come back after {wait} ms"));
    }
    if let Some(first) = ending.first_token_after_us {
        lines.push(format!("  first token after {}, {} tokens", micros(first), ending.tokens));
    }
    if ending.attempts.is_empty() {
        lines.push("  it was never sent to an engine".to_owned());
    }
    for step in &ending.attempts {
        let end = match step.end {
            AttemptEnd::InFlight => "no outcome".to_owned(),
            end => format!("{end} after {}", micros(step.took_us)),
        };
        lines.push(format!("  {:>9}  {} at {}: {end}", micros(step.sent_after_us), step.stage, step.engine));
    }
    if !ending.evidence.is_empty() {
        lines.push("  the engines then:".to_owned());
    }
    for e in &ending.evidence {
        let avoided = if e.avoid_reason.is_empty() { "in use" } else { e.avoid_reason.as_str() };
        let memory = percent(e.memory_utilization);
        lines.push(format!(
            "    {:<16} {avoided:<12} memory {memory:>4}, {:.0} tokens unread, pace {:.1}",
            e.engine, e.queued_prompt_tokens, e.latency_ratio
        ));
    }
    if ending.kind != OutcomeKind::Served {
        lines.push(format!("  {}", follow_up(ending)));
    }
    lines
}
