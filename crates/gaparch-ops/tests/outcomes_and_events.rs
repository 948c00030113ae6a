//! Outcomes and their follow-ups, events, and updates to slow subscribers.

mod common;

use common::*;
use gaparch_ops::{Delivery, EngineDrain, Monitor, OutcomeLog, OutcomeLogLimits, SubscriberFeed, SECOND};
use gaparch_protocol::ops::intent::DrainMode;
use gaparch_protocol::ops::outcome::{GlobalRequestId, OutcomeCause, OutcomeFilter, OutcomeKind};
use gaparch_protocol::ops::view::{
    AvoidReason, EngineRole, EngineState, EngineView, Event, PartialEjection, RouterMetrics, Severity,
};

#[test]
fn a_retry_is_recorded_as_the_follow_up_of_rejections() {
    let mut log = OutcomeLog::default();
    assert!(log.add(rejection(1, 0, 42)).is_empty());
    assert!(log.add(served(2, 5, 43)).is_empty(), "another client");
    let followed = log.add(rejection(3, 5, 42));
    assert_eq!(followed.len(), 1);
    let followed = log.add(served(4, 8, 42));
    assert_eq!(followed.len(), 1, "the first rejection was followed by the second");
    let kind = |n| {
        let outcome = log.find(GlobalRequestId { run: 7, number: n }).expect("the outcome is in the log");
        outcome.follow_up.map(|f| (f.kind, f.request.number))
    };
    assert_eq!((kind(1), kind(3)), (Some((OutcomeKind::Rejected, 3)), Some((OutcomeKind::Served, 4))));
    assert_eq!(log.find(GlobalRequestId { run: 7, number: 1 }).map(|e| e.evidence.len()), Some(4));
    // A request that arrived before the earlier one ended, or long afterwards, is not a follow-up.
    log.add(rejection(10, 100, 50));
    assert!(log.add(served(11, 100, 50)).is_empty());
    assert!(log.add(served(12, 3000, 50)).is_empty());
    let (groups, total) = log.groups(&OutcomeFilter::default());
    assert_eq!((groups.len(), total), (1, 3));
    assert_eq!((groups[0].count, groups[0].retried, groups[0].served_on_retry), (3, 2, 1));
}

#[test]
fn the_outcome_log_is_bounded_and_shares_repeated_evidence() {
    let mut log = OutcomeLog::new(OutcomeLogLimits { max_bytes: 1 << 20 });
    for n in 0..100_000 {
        log.add(rejection(n, n / 1000, n));
        assert!(log.bytes() <= 1 << 20);
    }
    assert!(log.len() > 1300, "{}", log.len());
    assert_eq!(log.len() as u64 + log.dropped(), 100_000);
    assert!(log.find(GlobalRequestId { run: 7, number: 0 }).is_none());
    let last = log.find(GlobalRequestId { run: 7, number: 99_999 }).expect("the outcome is in the log");
    assert_eq!(last.evidence.len(), 4);
    let with_changing_evidence = |n: u64| gaparch_protocol::ops::outcome::RequestOutcome {
        evidence: evidence(4 + n as usize % 2, "full"),
        ..rejection(n, 0, n)
    };
    let mut unshared = OutcomeLog::new(OutcomeLogLimits { max_bytes: 1 << 20 });
    (0..100_000).for_each(|n| drop(unshared.add(with_changing_evidence(n))));
    assert!(unshared.len() < log.len() && unshared.bytes() <= 1 << 20, "{}", unshared.len());
}

#[test]
fn outcomes_are_found_by_class_tenant_reason_engine_and_time() {
    let mut log = OutcomeLog::default();
    for n in 0..20 {
        let mut outcome = rejection(n, n, n);
        if n % 2 == 0 {
            outcome.class = "transfer".to_owned();
            outcome.cause = OutcomeCause::DeadlineExceeded;
        }
        if n == 7 {
            outcome.evidence = evidence(5, "unreachable");
        }
        log.add(outcome);
    }
    let count = |filter: OutcomeFilter| log.outcomes(&filter, 100).1;
    let all = OutcomeFilter::default;
    assert_eq!(count(OutcomeFilter { class: Some("transfer".to_owned()), ..all() }), 10);
    assert_eq!(count(OutcomeFilter { cause: Some(OutcomeCause::ObjectiveMissed), ..all() }), 10);
    assert_eq!(count(OutcomeFilter { tenant: Some("web".to_owned()), ..all() }), 0);
    assert_eq!(count(OutcomeFilter { engine: Some("w4".to_owned()), ..all() }), 1);
    assert_eq!(count(OutcomeFilter { engine: Some("r0".to_owned()), ..all() }), 20);
    assert_eq!(count(OutcomeFilter { since: Some(16 * SECOND), until: Some(18 * SECOND), ..all() }), 3);
    let (outcomes, total) = log.outcomes(&OutcomeFilter { max: 3, ..all() }, 100);
    let numbers: Vec<u64> = outcomes.iter().map(|e| e.request.number).collect();
    assert_eq!((numbers, total), (vec![19, 18, 17], 20));
}

#[test]
fn a_slow_subscriber_is_resynced_once_its_queue_is_empty() {
    let mut feed = SubscriberFeed::default();
    assert_eq!(feed.next(3, 4), Delivery::Send);
    assert_eq!(feed.next(4, 4), Delivery::Skip);
    assert_eq!(feed.next(2, 4), Delivery::Skip, "no update between missed ones");
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

/// Returns the events of one engine that is observed every 250 ms.
fn events_of(observations: impl IntoIterator<Item = EngineView>, drain: Option<EngineDrain>) -> Vec<Event> {
    let mut monitor = Monitor::default();
    let mut events = Vec::new();
    for (n, engine) in observations.into_iter().enumerate() {
        let metrics = RouterMetrics { at: n as u64 * SECOND / 4, ..RouterMetrics::default() };
        events.extend(monitor.observe(&metrics, &[engine], |_| drain));
    }
    events
}

#[test]
fn an_intermittent_fault_is_one_event_and_its_end_reports_the_attempts() {
    let faulty = |n: u64| EngineView {
        // Every third observation lacks the fault.
        avoid_reason: (n % 3 != 2).then_some(AvoidReason::Unreachable),
        failed: n / 10,
        cancelled: n / 20,
        ..engine("w0")
    };
    let recovered = EngineView { failed: 4, cancelled: 2, ..engine("w0") };
    let healthy = (0..3).map(|_| engine("w0"));
    let observations = healthy.chain((0..40).map(faulty)).chain((0..20).map(|_| recovered.clone()));
    let events = events_of(observations, None);
    assert_eq!(events.len(), 2, "{events:?}");
    assert_eq!((events[0].severity, events[0].at), (Severity::Fault, 3 * SECOND / 4));
    assert!(events[0].text.contains("answers nothing") && events[0].text.contains("5 streaming"));
    assert!(events[1].text.contains("4 attempts failed there and 2 were cancelled"), "{}", events[1].text);
}

#[test]
fn an_ejection_for_one_class_and_a_restart_during_a_drain_are_reported() {
    let ejection = PartialEjection { class: "question".to_owned(), tenant: String::new(), until: 9 };
    let ejected = EngineView { partial_ejections: vec![ejection], ..engine("w0") };
    let observations = [engine("w0"), ejected].into_iter().chain((0..12).map(|_| engine("w0")));
    let events = events_of(observations, None);
    assert_eq!(events.len(), 2, "{events:?}");
    assert!(
        events[0].text.contains("class question") && events[1].text.contains("is sent class question again")
    );
    let restarted = EngineView { started_at: Some(SECOND), state: EngineState::Draining, ..engine("w0") };
    let drained = EngineView { state: EngineState::Draining, ..engine("w0") };
    let events = events_of([drained, restarted], Some(EngineDrain { mode: DrainMode::Drain, since: 2 }));
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
