//! What operators are told: endings and their follow-ups, events, and updates to the slow.

mod common;

use common::*;
use gaparch_ops::feed::{Feed, Offer};
use gaparch_ops::ledger::{Bounds, Ledger};
use gaparch_ops::watch::Watch;
use gaparch_ops::SECOND;
use gaparch_protocol::ops::ending::{Cause, EndKind, EndingFilter, RequestName};
use gaparch_protocol::ops::intent::Hold;
use gaparch_protocol::ops::view::{
    Avoid, EngineRole, EngineState, EngineView, Figures, Happening, PartRest, Severity,
};

#[test]
fn a_client_that_comes_back_is_the_follow_up_of_its_refusals() {
    let mut ledger = Ledger::default();
    assert!(ledger.add(refusal(1, 0, 42)).is_empty());
    assert!(ledger.add(served(2, 5, 43)).is_empty(), "another client");
    let followed = ledger.add(refusal(3, 5, 42));
    assert_eq!(followed.len(), 1);
    let followed = ledger.add(served(4, 8, 42));
    assert_eq!(followed.len(), 1, "the first refusal was followed by the second");
    let kind = |n| {
        let story = ledger.story(RequestName { run: 7, number: n }).expect("kept");
        story.follow_up.map(|f| (f.kind, f.request.number))
    };
    assert_eq!((kind(1), kind(3)), (Some((EndKind::Refused, 3)), Some((EndKind::Served, 4))));
    assert_eq!(ledger.story(RequestName { run: 7, number: 1 }).map(|e| e.evidence.len()), Some(4));
    // One that was there already, and one that comes hours later, are none.
    ledger.add(refusal(10, 100, 50));
    assert!(ledger.add(served(11, 100, 50)).is_empty());
    assert!(ledger.add(served(12, 3000, 50)).is_empty());
    let (groups, total) = ledger.groups(&EndingFilter::default());
    assert_eq!((groups.len(), total), (1, 3));
    assert_eq!((groups[0].count, groups[0].came_back, groups[0].served_then), (3, 2, 1));
}

#[test]
fn the_ledger_is_bounded_and_shares_what_an_overload_repeats() {
    let mut ledger = Ledger::new(Bounds { bytes: 1 << 20 });
    for n in 0..100_000 {
        ledger.add(refusal(n, n / 1000, n));
        assert!(ledger.bytes() <= 1 << 20);
    }
    assert!(ledger.len() > 1300, "{}", ledger.len());
    assert_eq!(ledger.len() as u64 + ledger.dropped(), 100_000);
    assert!(ledger.story(RequestName { run: 7, number: 0 }).is_none());
    let last = ledger.story(RequestName { run: 7, number: 99_999 }).expect("kept");
    assert_eq!(last.evidence.len(), 4);
    let apart = |n: u64| gaparch_protocol::ops::ending::Ending {
        evidence: evidence(4 + n as usize % 2, "full"),
        ..refusal(n, 0, n)
    };
    let mut other = Ledger::new(Bounds { bytes: 1 << 20 });
    (0..100_000).for_each(|n| drop(other.add(apart(n))));
    assert!(other.len() < ledger.len() && other.bytes() <= 1 << 20, "{}", other.len());
}

#[test]
fn endings_are_found_by_class_tenant_reason_engine_and_time() {
    let mut ledger = Ledger::default();
    for n in 0..20 {
        let mut ending = refusal(n, n, n);
        if n % 2 == 0 {
            ending.class = "transfer".to_owned();
            ending.cause = Cause::Deadline;
        }
        if n == 7 {
            ending.evidence = evidence(5, "unreachable");
        }
        ledger.add(ending);
    }
    let count = |filter: EndingFilter| ledger.endings(&filter, 100).1;
    let all = EndingFilter::default;
    assert_eq!(count(EndingFilter { class: Some("transfer".to_owned()), ..all() }), 10);
    assert_eq!(count(EndingFilter { cause: Some(Cause::AimLost), ..all() }), 10);
    assert_eq!(count(EndingFilter { tenant: Some("web".to_owned()), ..all() }), 0);
    assert_eq!(count(EndingFilter { engine: Some("w4".to_owned()), ..all() }), 1);
    assert_eq!(count(EndingFilter { engine: Some("r0".to_owned()), ..all() }), 20);
    assert_eq!(count(EndingFilter { since: Some(16 * SECOND), until: Some(18 * SECOND), ..all() }), 3);
    let (some, total) = ledger.endings(&EndingFilter { most: 3, ..all() }, 100);
    let numbers: Vec<u64> = some.iter().map(|e| e.request.number).collect();
    assert_eq!((numbers, total), (vec![19, 18, 17], 20));
}

#[test]
fn a_slow_subscriber_is_told_once_what_it_missed() {
    let mut feed = Feed::default();
    assert_eq!(feed.offer(3, 4), Offer::Send);
    assert_eq!(feed.offer(4, 4), Offer::Skip);
    assert_eq!(feed.offer(2, 4), Offer::Skip, "nothing in the middle of what it missed");
    assert_eq!(feed.offer(0, 4), Offer::Resync { missed: 3 });
    assert_eq!(feed.offer(0, 4), Offer::Send);
}

fn engine(name: &str) -> EngineView {
    EngineView {
        name: name.to_owned(),
        role: EngineRole::Write,
        zone: "north".to_owned(),
        rack: "n1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        listed: EngineState::Ready,
        state: EngineState::Ready,
        connected: true,
        avoided: None,
        rests: Vec::new(),
        waiting: 2,
        streaming: 5,
        unread: 0.0,
        memory: 0.4,
        memory_said: None,
        pace: 1.0,
        cold_budget: None,
        started_at: Some(1),
        heard_at: 1,
        attempts: 0,
        failed: 0,
        called_off: 0,
    }
}

/// What is told of one engine that looks so at each quarter of a second.
fn watched(looks: impl IntoIterator<Item = EngineView>, hold: Option<(Hold, u64)>) -> Vec<Happening> {
    let mut watch = Watch::default();
    let mut out = Vec::new();
    for (n, look) in looks.into_iter().enumerate() {
        let figures = Figures { at: n as u64 * SECOND / 4, ..Figures::default() };
        out.extend(watch.look(&figures, &[look], |_| hold));
    }
    out
}

#[test]
fn a_stall_is_one_event_and_its_end_says_what_was_done() {
    let bad = |n: u64| EngineView {
        // It flickers.
        avoided: (n % 3 != 2).then_some(Avoid::Unreachable),
        failed: n / 10,
        called_off: n / 20,
        ..engine("w0")
    };
    let good = EngineView { failed: 4, called_off: 2, ..engine("w0") };
    let looks = (0..3).map(|_| engine("w0")).chain((0..40).map(bad)).chain((0..20).map(|_| good.clone()));
    let events = watched(looks, None);
    assert_eq!(events.len(), 2, "{events:?}");
    assert_eq!((events[0].severity, events[0].at), (Severity::Trouble, 3 * SECOND / 4));
    assert!(events[0].text.contains("answers nothing") && events[0].text.contains("5 streaming"));
    assert!(events[1].text.contains("4 attempts failed there and 2 were called off"), "{}", events[1].text);
}

#[test]
fn silence_to_one_class_and_a_restart_under_a_drain_are_told() {
    let rest = PartRest { class: "question".to_owned(), tenant: String::new(), until: 9 };
    let silent = EngineView { rests: vec![rest], ..engine("w0") };
    let looks = [engine("w0"), silent].into_iter().chain((0..12).map(|_| engine("w0")));
    let events = watched(looks, None);
    assert_eq!(events.len(), 2, "{events:?}");
    assert!(
        events[0].text.contains("class question") && events[1].text.contains("is sent class question again")
    );
    let again = EngineView { started_at: Some(SECOND), state: EngineState::Draining, ..engine("w0") };
    let drained = EngineView { state: EngineState::Draining, ..engine("w0") };
    let events = watched([drained, again], Some((Hold::Drain, 2)));
    assert_eq!(events.len(), 1, "{events:?}");
    assert!(events[0].text.contains("still drained"), "{}", events[0].text);
}

#[test]
fn a_storm_of_refusals_has_a_beginning_and_an_end() {
    let mut watch = Watch::default();
    let mut events = Vec::new();
    for n in 0..200u64 {
        let refused = n.clamp(10, 50) - 10;
        let figures = Figures { at: n * SECOND / 4, refused, served: n, ..Figures::default() };
        events.extend(watch.look(&figures, &[], |_| None));
    }
    assert_eq!(events.len(), 2, "{events:?}");
    assert!(events[1].text.contains("40 refused and 0 failed, beside"), "{}", events[1].text);
}
