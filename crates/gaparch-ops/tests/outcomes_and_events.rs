//! What operators are shown: outcomes and their follow-ups, events, and updates to slow subscribers.

mod common;

use common::*;
use gaparch_ops::{Delivery, EngineDrain, Monitor, OutcomeLog, OutcomeLogLimits, SubscriberFeed, SECOND};
use gaparch_protocol::ops::intent::DrainMode;
use gaparch_protocol::ops::outcome::{GlobalRequestId, OutcomeCause, OutcomeFilter, OutcomeKind};
use gaparch_protocol::ops::view::{
    AvoidReason, EngineRole, EngineState, EngineView, Event, PartialEjection, RouterMetrics, Severity,
};

#[test]
fn a_client_that_comes_back_is_the_follow_up_of_its_rejections() {
    let mut log = OutcomeLog::default();
    assert!(log.add(rejection(1, 0, 42)).is_empty());
    assert!(log.add(served(2, 5, 43)).is_empty(), "another client");
    let followed = log.add(rejection(3, 5, 42));
    assert_eq!(followed.len(), 1);
    let followed = log.add(served(4, 8, 42));
    assert_eq!(followed.len(), 1, "the first refusal was followed by the second");
    let kind = |n| {
        let outcome = log.find(GlobalRequestId { run: 7, number: n }).expect("kept");
        outcome.follow_up.map(|f| (f.kind, f.request.number))
    };
    assert_eq!((kind(1), kind(3)), (Some((OutcomeKind::Rejected, 3)), Some((OutcomeKind::Served, 4))));
    assert_eq!(log.find(GlobalRequestId { run: 7, number: 1 }).map(|e| e.evidence.len()), Some(4));
    // One that was there already, and one that comes hours later, are none.
    log.add(rejection(10, 100, 50));
    assert!(log.add(served(11, 100, 50)).is_empty());
    assert!(log.add(served(12, 3000, 50)).is_empty());
    let (groups, total) = log.groups(&OutcomeFilter::default());
    assert_eq!((groups.len(), total), (1, 3));
    assert_eq!((groups[0].count, groups[0].retried, groups[0].served_on_retry), (3, 2, 1));
}

#[test]
fn the_outcome_log_is_bounded_and_shares_what_an_overload_repeats() {
    let mut log = OutcomeLog::new(OutcomeLogLimits { max_bytes: 1 << 20 });
    for n in 0..100_000 {
        log.add(rejection(n, n / 1000, n));
        assert!(log.bytes() <= 1 << 20);
    }
    assert!(log.len() > 1300, "{}", log.len());
    assert_eq!(log.len() as u64 + log.dropped(), 100_000);
    assert!(log.find(GlobalRequestId { run: 7, number: 0 }).is_none());
    let last = log.find(GlobalRequestId { run: 7, number: 99_999 }).expect("kept");
    assert_eq!(last.evidence.len(), 4);
    let apart = |n: u64| gaparch_protocol::ops::outcome::RequestOutcome {
        evidence: evidence(4 + n as usize % 2, "full"),
        ..rejection(n, 0, n)
    };
    let mut other = OutcomeLog::new(OutcomeLogLimits { max_bytes: 1 << 20 });
    (0..100_000).for_each(|n| drop(other.add(apart(n))));
    assert!(other.len() < log.len() && other.bytes() <= 1 << 20, "{}", other.len());
}

#[test]
fn outcomes_are_found_by_class_tenant_reason_engine_and_time() {
    let mut log = OutcomeLog::default();
    for n in 0..20 {
        let mut ending = rejection(n, n, n);
        if n % 2 == 0 {
            ending.class = "transfer".to_owned();
            ending.cause = OutcomeCause::DeadlineExceeded;
        }
        if n == 7 {
            ending.evidence = evidence(5, "unreachable");
        }
        log.add(ending);
    }
    let count = |filter: OutcomeFilter| log.outcomes(&filter, 100).1;
    let all = OutcomeFilter::default;
    assert_eq!(count(OutcomeFilter { class: Some("transfer".to_owned()), ..all() }), 10);
    assert_eq!(count(OutcomeFilter { cause: Some(OutcomeCause::ObjectiveMissed), ..all() }), 10);
    assert_eq!(count(OutcomeFilter { tenant: Some("web".to_owned()), ..all() }), 0);
    assert_eq!(count(OutcomeFilter { engine: Some("w4".to_owned()), ..all() }), 1);
    assert_eq!(count(OutcomeFilter { engine: Some("r0".to_owned()), ..all() }), 20);
    assert_eq!(count(OutcomeFilter { since: Some(16 * SECOND), until: Some(18 * SECOND), ..all() }), 3);
    let (some, total) = log.outcomes(&OutcomeFilter { max: 3, ..all() }, 100);
    let numbers: Vec<u64> = some.iter().map(|e| e.request.number).collect();
    assert_eq!((numbers, total), (vec![19, 18, 17], 20));
}

#[test]
fn a_slow_subscriber_learns_once_what_it_missed() {
    let mut feed = SubscriberFeed::default();
    assert_eq!(feed.next(3, 4), Delivery::Send);
    assert_eq!(feed.next(4, 4), Delivery::Skip);
    assert_eq!(feed.next(2, 4), Delivery::Skip, "nothing in the middle of what it missed");
    assert_eq!(feed.next(0, 4), Delivery::Resync { missed: 3 });
    assert_eq!(feed.next(0, 4), Delivery::Send);
}

fn engine(name: &str) -> EngineView {
    EngineView {
        name: name.to_owned(),
        role: EngineRole::Decode,
        zone: "north".to_owned(),
        rack: "n1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        listed_state: EngineState::Ready,
        state: EngineState::Ready,
        connected: true,
        avoid_reason: None,
        partial_ejections: Vec::new(),
        awaiting_first_token: 2,
        streaming: 5,
        queued_prompt_tokens: 0.0,
        memory_utilization: 0.4,
        reported_memory_utilization: None,
        latency_ratio: 1.0,
        slow_start_budget: None,
        started_at: Some(1),
        last_response_at: 1,
        attempts: 0,
        failed: 0,
        cancelled: 0,
    }
}

/// The events of one engine that is observed each quarter of a second.
fn observed(observations: impl IntoIterator<Item = EngineView>, drain: Option<EngineDrain>) -> Vec<Event> {
    let mut monitor = Monitor::default();
    let mut out = Vec::new();
    for (n, engine) in observations.into_iter().enumerate() {
        let metrics = RouterMetrics { at: n as u64 * SECOND / 4, ..RouterMetrics::default() };
        out.extend(monitor.observe(&metrics, &[engine], |_| drain));
    }
    out
}

#[test]
fn a_stall_is_one_event_and_its_end_says_what_was_done() {
    let bad = |n: u64| EngineView {
        // It flickers.
        avoid_reason: (n % 3 != 2).then_some(AvoidReason::Unreachable),
        failed: n / 10,
        cancelled: n / 20,
        ..engine("w0")
    };
    let good = EngineView { failed: 4, cancelled: 2, ..engine("w0") };
    let looks = (0..3).map(|_| engine("w0")).chain((0..40).map(bad)).chain((0..20).map(|_| good.clone()));
    let events = observed(looks, None);
    assert_eq!(events.len(), 2, "{events:?}");
    assert_eq!((events[0].severity, events[0].at), (Severity::Fault, 3 * SECOND / 4));
    assert!(events[0].text.contains("answers nothing") && events[0].text.contains("5 streaming"));
    assert!(events[1].text.contains("4 attempts failed there and 2 were cancelled"), "{}", events[1].text);
}

#[test]
fn silence_to_one_class_and_a_restart_under_a_drain_are_reported() {
    let ejection = PartialEjection { class: "question".to_owned(), tenant: String::new(), until: 9 };
    let silent = EngineView { partial_ejections: vec![ejection], ..engine("w0") };
    let looks = [engine("w0"), silent].into_iter().chain((0..12).map(|_| engine("w0")));
    let events = observed(looks, None);
    assert_eq!(events.len(), 2, "{events:?}");
    assert!(
        events[0].text.contains("class question") && events[1].text.contains("is sent class question again")
    );
    let again = EngineView { started_at: Some(SECOND), state: EngineState::Draining, ..engine("w0") };
    let drained = EngineView { state: EngineState::Draining, ..engine("w0") };
    let events = observed([drained, again], Some(EngineDrain { mode: DrainMode::Drain, since: 2 }));
    assert_eq!(events.len(), 1, "{events:?}");
    assert!(events[0].text.contains("still drained"), "{}", events[0].text);
}

#[test]
fn a_period_of_rejections_has_a_beginning_and_an_end() {
    let mut monitor = Monitor::default();
    let mut events = Vec::new();
    for n in 0..200u64 {
        let rejected = n.clamp(10, 50) - 10;
        let metrics = RouterMetrics { at: n * SECOND / 4, rejected, served: n, ..RouterMetrics::default() };
        events.extend(monitor.observe(&metrics, &[], |_| None));
    }
    assert_eq!(events.len(), 2, "{events:?}");
    assert!(events[1].text.contains("40 rejected and 0 failed, beside"), "{}", events[1].text);
}
