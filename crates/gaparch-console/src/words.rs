//! Times, counts and reasons in words, the same in the console and in scripts' tables.

use chrono::{DateTime, Local, TimeZone};
use gaparch_protocol::ops::ending::{Cause, EndKind, Ending, StepEnd, WaitedFor};
use gaparch_protocol::ops::intent::{Hold, Intent, Subject};
use gaparch_protocol::ops::view::{Avoid, EngineState, EngineView, Severity};

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
        at => gaparch_ops::watch::span(now.saturating_sub(at)),
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
        Severity::Trouble => "TROUBLE",
    }
}

/// Why a request ended so, in a sentence's part.
pub fn cause(cause: Cause, waited_for: Option<WaitedFor>) -> String {
    let what = match cause {
        Cause::Answered => "answered",
        Cause::UnknownClass => "its class is not known",
        Cause::Deadline => "its client's time was up",
        Cause::AimLost => "it could not make its aim any more",
        Cause::ReleaseTime => "its read state could not wait any longer",
        Cause::AttemptsUsed => "its attempts were used up",
        Cause::MayHaveRun => "it may have run, and may not be tried again",
        Cause::TooLate => "it was too late to send it",
        Cause::Paused => "the intake was paused",
        Cause::Stopping => "the router was stopping",
        Cause::TooMuchOpen => "more was open than may be",
        Cause::BrokeOff => "its answer broke off",
        Cause::Stalled => "its answer stood still or went on for too long",
        Cause::ClientLeft => "its client left",
        Cause::Overdue => "it was not ended in time",
    };
    match waited_for {
        None => what.to_owned(),
        Some(waited_for) => format!("{what}; {}", waited(waited_for)),
    }
}

pub fn waited(waited_for: WaitedFor) -> &'static str {
    match waited_for {
        WaitedFor::NoWriter => "no writer could be sent to",
        WaitedFor::NoReader => "no reader could be sent to",
        WaitedFor::OverShare => "its tenant was over its share",
        WaitedFor::WritersFull => "all writers looked full",
        WaitedFor::ReadersFull => "all readers had long waits",
    }
}

/// Why an engine gets nothing new, or less.
pub fn avoided(engine: &EngineView) -> String {
    let whole = engine.avoided.map(|avoid| match avoid {
        Avoid::NotReady => match engine.state {
            EngineState::Gone => "gone",
            _ => "draining",
        },
        Avoid::Unreachable if engine.connected => "answers nothing",
        Avoid::Unreachable => "unreachable",
        Avoid::Resting => "rests after failures",
        Avoid::Slow => "slow",
        Avoid::Cold => "cold",
        Avoid::Full => "full",
    });
    let parts = engine.rests.iter().map(|rest| format!("no {}{}", rest.class, of_tenant(&rest.tenant)));
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
        Some((Hold::Drain, kept)) => format!("drained{}", if kept { "" } else { " (not kept)" }),
        Some((Hold::Aside, kept)) => format!("set aside{}", if kept { "" } else { " (not kept)" }),
        None => engine.state.word().to_owned(),
    }
}

/// How an operator holds an engine, and whether that is kept.
pub fn hold(engine: &str, intents: &[Intent]) -> Option<(Hold, bool)> {
    intents.iter().find_map(|intent| match &intent.subject {
        Subject::Engine { engine: name, hold } if name == engine => Some((*hold, intent.kept)),
        _ => None,
    })
}

pub fn subject(subject: &Subject) -> String {
    match subject {
        Subject::Engine { engine, hold: Hold::Drain } => format!("{engine} drained"),
        Subject::Engine { engine, hold: Hold::Aside } => format!("{engine} set aside"),
        Subject::Intake {} => "intake paused".to_owned(),
        Subject::Limit { name, value } => format!("{name} = {value}"),
    }
}

/// What became of the client.
pub fn follow_up(ending: &Ending) -> String {
    match &ending.follow_up {
        None => "its client has not been seen again".to_owned(),
        Some(follow_up) => {
            let after = gaparch_ops::watch::span(follow_up.asked_at.saturating_sub(ending.ended_at));
            let then = match follow_up.kind {
                EndKind::Served => "served then",
                EndKind::Refused => "refused again",
                EndKind::Failed => "failed then",
                EndKind::Left => "left then",
            };
            format!("its client came back after {after} as {}, and was {then}", follow_up.request)
        }
    }
}

/// One request's story, a line each.
pub fn story(ending: &Ending, now: u64) -> Vec<String> {
    let tenant =
        if ending.tenant.is_empty() { String::new() } else { format!(" of tenant {}", ending.tenant) };
    let mut lines = vec![
        format!("request {}", ending.request),
        format!(
            "  {} at {}, a {}{tenant}; {} after {}",
            "asked",
            time(ending.asked_at, now),
            ending.class,
            ending.kind,
            micros(ending.ended_at.saturating_sub(ending.asked_at) / 1000)
        ),
        format!("  why: {}", cause(ending.cause, ending.waited_for)),
    ];
    if let Some(wait) = ending.retry_after_ms {
        lines.push(format!("  told to come back after {wait} ms"));
    }
    if let Some(first) = ending.first_after_us {
        lines.push(format!("  first token after {}, {} tokens", micros(first), ending.tokens));
    }
    if ending.steps.is_empty() {
        lines.push("  it was never sent to an engine".to_owned());
    }
    for step in &ending.steps {
        let end = match step.end {
            StepEnd::Out => "no outcome".to_owned(),
            end => format!("{end} after {}", micros(step.took_us)),
        };
        lines.push(format!("  {:>9}  {} at {}: {end}", micros(step.from_us), step.stage, step.engine));
    }
    if !ending.evidence.is_empty() {
        lines.push("  the engines then:".to_owned());
    }
    for e in &ending.evidence {
        let avoided = if e.avoided.is_empty() { "in use" } else { e.avoided.as_str() };
        let memory = percent(e.memory);
        lines.push(format!(
            "    {:<16} {avoided:<12} memory {memory:>4}, {:.0} tokens unread, pace {:.1}",
            e.engine, e.unread, e.pace
        ));
    }
    if ending.kind != EndKind::Served {
        lines.push(format!("  {}", follow_up(ending)));
    }
    lines
}
