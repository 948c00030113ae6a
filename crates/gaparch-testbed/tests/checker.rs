//! The checker can fail: a record that breaks a rule on purpose is named by that rule, and by no other.

use gaparch_engine::observe::{Note, Way};
use gaparch_engine::{ConnId, EngineSpec};
use gaparch_protocol::engine::{AttemptKey, RouterRun};
use gaparch_scheduler::api::{Nanos, ServerState};
use gaparch_testbed::checker::{check_entries, Effect, Figures, Verdict};
use gaparch_testbed::record::{Ask, End, Entry, Seen, What};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const RUN: RouterRun = RouterRun(7);
const CONN: ConnId = ConnId(1);

fn figures(effect: Effect) -> Figures {
    let engines = vec![
        EngineSpec::reader("reader", "north", "n1"),
        EngineSpec::writer("near", "north", "n1"),
        EngineSpec::writer("far", "south", "s1"),
    ];
    Figures {
        effects: vec![effect],
        engines,
        release_within: S / 2,
        drain_grace: S / 2,
        answer_slack: 50 * MS,
        margin: 50 * MS,
    }
}

fn at(ms: u64, what: What) -> Entry {
    Entry { at: 100 * S + ms * MS, what }
}

fn frame(engine: &str, way: Way, seen: Seen) -> What {
    What::Frame { engine: engine.to_owned(), conn: CONN, way, seen }
}

fn note(engine: &str, note: Note) -> What {
    What::Note { engine: engine.to_owned(), note }
}

fn key(attempt: u32) -> AttemptKey {
    AttemptKey { request: 1, attempt }
}

fn write(attempt: u32) -> Seen {
    Seen::Write { key: key(attempt), class: 0 }
}

fn held(held: bool) -> What {
    note("reader", Note::StateHeld { run: RUN, request: 1, held })
}

/// A request that is read, written and served in good order within 300 ms.
fn good_day() -> Vec<Entry> {
    let mut day = Vec::new();
    for engine in ["reader", "near", "far"] {
        day.push(at(0, note(engine, Note::Started)));
        day.push(at(1, note(engine, Note::Router { conn: CONN, run: RUN })));
        let hello = Seen::Hello { run: RUN, router: "router-0".to_owned() };
        day.push(at(1, frame(engine, Way::In, hello)));
    }
    let asked = What::Asked {
        ask: Ask(1),
        router: "router-0".to_owned(),
        class: 0,
        tenant: 0,
        deadline: 100 * S + 5010 * MS,
        aim: 100 * S + S,
    };
    day.extend([
        at(10, asked),
        at(12, frame("reader", Way::In, Seen::Read { key: key(0), class: 0 })),
        at(40, frame("reader", Way::Out, Seen::ReadDone { key: key(0) })),
        at(40, held(true)),
        at(42, frame("near", Way::In, write(1))),
        at(50, held(false)),
        at(52, note("near", Note::Effect { run: RUN, key: key(1) })),
        at(53, What::Named { ask: Ask(1), run: RUN, request: 1 }),
        at(55, What::First { ask: Ask(1) }),
        at(300, frame("near", Way::Out, Seen::Outcome { key: key(1), ok: true, not_run: false })),
        at(301, What::Ended { ask: Ask(1), end: End::Served { tokens: 9 } }),
    ]);
    day
}

/// Judges the good day with some entries more, and some taken away.
fn verdict(effect: Effect, more: Vec<Entry>, without: impl Fn(&What) -> bool) -> Verdict {
    let mut day: Vec<Entry> = good_day().into_iter().filter(|e| !without(&e.what)).chain(more).collect();
    day.sort_by_key(|e| e.at);
    check_entries(&day, &figures(effect))
}

fn broken(verdict: &Verdict) -> Vec<usize> {
    (0..5).filter(|rule| verdict.rules[*rule].broken_count > 0).map(|rule| rule + 1).collect()
}

fn none(_: &What) -> bool {
    false
}

#[test]
fn a_good_day_holds() {
    let verdict = verdict(Effect::Unsafe, vec![], none);
    assert!(verdict.holds(), "{verdict}");
    assert!(verdict.rules[0].checked > 0 && verdict.rules[4].checked > 0);
}

#[test]
fn rule_one_no_answer_two_answers_a_late_one_or_something_after_it() {
    let ended = |what: &What| matches!(what, What::Ended { .. });
    let again = What::Ended { ask: Ask(1), end: End::Failed };
    assert_eq!(broken(&verdict(Effect::Safe, vec![], ended)), [1]);
    assert_eq!(broken(&verdict(Effect::Safe, vec![at(400, again.clone())], none)), [1]);
    assert_eq!(broken(&verdict(Effect::Safe, vec![at(400, What::After { ask: Ask(1) })], none)), [1]);
    let late = |what: &What| ended(what) || matches!(what, What::First { .. });
    assert_eq!(broken(&verdict(Effect::Safe, vec![at(5200, again)], late)), [1]);
    let sent = vec![
        at(500, frame("far", Way::In, write(2))),
        at(501, frame("far", Way::Out, Seen::Outcome { key: key(2), ok: true, not_run: false })),
    ];
    assert_eq!(broken(&verdict(Effect::Safe, sent, none)), [1]);
}

#[test]
fn rule_two_two_attempts_at_once_or_a_second_effect() {
    let at_once = vec![
        at(100, frame("far", Way::In, write(2))),
        at(120, frame("far", Way::Out, Seen::Outcome { key: key(2), ok: false, not_run: true })),
    ];
    assert_eq!(broken(&verdict(Effect::Safe, at_once, none)), [2]);
    let again = |engine: &str, ms| {
        vec![
            at(ms, frame(engine, Way::In, write(2))),
            at(ms + 1, frame(engine, Way::Out, Seen::Outcome { key: key(2), ok: true, not_run: false })),
            at(ms + 1, note(engine, Note::Effect { run: RUN, key: key(2) })),
        ]
    };
    // Its first attempt broke off, and the answer came from the second.
    let first = |what: &What| matches!(what, What::Frame { seen: Seen::Outcome { .. }, .. });
    let with = |mut more: Vec<Entry>| {
        more.push(at(60, frame("near", Way::Out, Seen::Outcome { key: key(1), ok: false, not_run: false })));
        more
    };
    assert_eq!(broken(&verdict(Effect::Safe, with(again("far", 200)), first)), [0usize; 0]);
    assert_eq!(broken(&verdict(Effect::Unsafe, with(again("near", 200)), first)), [2]);
    let keyed = Effect::KeyedInRack { window: 100 * MS };
    assert_eq!(broken(&verdict(keyed, with(again("near", 100)), first)), [0usize; 0]);
    assert_eq!(broken(&verdict(keyed, with(again("far", 100)), first)), [2], "out of its rack");
    assert_eq!(broken(&verdict(keyed, with(again("near", 290)), first)), [2], "past its window");
    let ended = |what: &What| matches!(what, What::Ended { .. });
    let refused = What::Ended { ask: Ask(1), end: End::Refused { harmless: true } };
    assert_eq!(broken(&verdict(Effect::Unsafe, vec![at(301, refused)], ended)), [2]);
}

#[test]
fn rule_three_a_send_after_the_grace() {
    let listed =
        |ms, state| at(ms, What::Listed { router: "router-0".to_owned(), engine: "near".to_owned(), state });
    let within = vec![listed(2, ServerState::Draining)];
    let kept = verdict(Effect::Safe, within, none);
    assert!(kept.holds() && kept.rules[2].nearest > 0.0, "{kept}");
    let moved = |e: Entry| Entry { at: e.at + S, ..e };
    let mut late: Vec<Entry> = good_day().into_iter().map(moved).collect();
    late.push(listed(2, ServerState::Draining));
    late.sort_by_key(|e| e.at);
    // The clients' times moved with all the rest, but not the deadline: nothing else is broken by it.
    assert_eq!(broken(&check_entries(&late, &figures(Effect::Safe))), [3]);
    late.push(listed(900, ServerState::Ready));
    late.sort_by_key(|e| e.at);
    assert_eq!(broken(&check_entries(&late, &figures(Effect::Safe))), [0usize; 0], "it is ready again");
}

#[test]
fn rule_four_too_much_for_a_cold_engine() {
    let work = |count: u64, gap: u64| -> Vec<Entry> {
        let restarted = [at(1000, note("far", Note::Ended)), at(1100, note("far", Note::Started))];
        let sent = (0..count).map(|n| at(1200 + n * gap, note("far", Note::Work { seconds: 0.1 })));
        restarted.into_iter().chain(sent).collect()
    };
    assert_eq!(broken(&verdict(Effect::Safe, work(40, 10), none)), [4]);
    let gentle = verdict(Effect::Safe, work(40, 250), none);
    assert!(gentle.holds() && gentle.rules[3].nearest > 0.1, "{gentle}");
    assert_eq!(broken(&verdict(Effect::Safe, vec![at(1200, note("far", Note::Fell))], none)), [4]);
}

#[test]
fn rule_five_a_state_that_stays() {
    let let_go = |what: &What| {
        matches!(what, What::Note { note: Note::StateHeld { held: false, .. }, .. })
            || matches!(what, What::Frame { seen: Seen::Write { .. } | Seen::Outcome { .. }, .. })
    };
    let late = vec![at(900, held(false))];
    assert_eq!(broken(&verdict(Effect::Safe, late, let_go)), [5]);
    let in_time = vec![at(500, held(false))];
    assert_eq!(broken(&verdict(Effect::Safe, in_time, let_go)), [0usize; 0]);
}

fn stopped(ms: u64, stopped: bool) -> Entry {
    at(ms, What::RouterStopped { router: "router-0".to_owned(), stopped })
}

#[test]
fn a_stopped_router_owes_its_answer_when_it_wakes_and_knows_then_what_it_was_told() {
    let late = |what: &What| matches!(what, What::Ended { .. } | What::First { .. });
    let ended = |ms| at(ms, What::Ended { ask: Ask(1), end: End::Failed });
    let woken = |until, answer| vec![stopped(100, true), stopped(until, false), ended(answer)];
    assert_eq!(broken(&verdict(Effect::Safe, woken(6000, 6020), late)), [0usize; 0]);
    assert_eq!(broken(&verdict(Effect::Safe, woken(2000, 7200), late)), [1], "long after it woke");
    assert_eq!(broken(&verdict(Effect::Safe, vec![stopped(100, true), stopped(200, false)], late)), [1]);
    let draining = What::Listed {
        router: "router-0".to_owned(),
        engine: "near".to_owned(),
        state: ServerState::Draining,
    };
    let sent = |ms| {
        vec![
            at(400, frame("near", Way::In, Seen::Reserve { key: key(2) })),
            stopped(500, true),
            at(600, draining.clone()),
            stopped(3000, false),
            at(ms, frame("near", Way::In, Seen::Reserve { key: key(3) })),
        ]
    };
    assert_eq!(broken(&verdict(Effect::Safe, sent(3100), none)), [0usize; 0]);
    assert_eq!(broken(&verdict(Effect::Safe, sent(3700), none)), [3], "past the grace after it woke");
}

#[test]
fn what_a_cut_link_holds_is_no_fault_of_the_router_and_what_it_does_else_is() {
    let cut = |engine: &str, ms, cut| {
        let router = Some("router-0".to_owned());
        at(ms, What::Cut { engine: engine.to_owned(), router, cut })
    };
    // The call off arrives when the link is whole again.
    let at_once = || {
        vec![
            at(100, frame("far", Way::In, write(2))),
            at(120, frame("far", Way::Out, Seen::Outcome { key: key(2), ok: false, not_run: true })),
        ]
    };
    let over = |engine: &str| {
        let mut all = at_once();
        all.extend([cut(engine, 50, true), cut(engine, 250, false)]);
        all
    };
    assert_eq!(broken(&verdict(Effect::Safe, over("near"), none)), [0usize; 0]);
    assert_eq!(broken(&verdict(Effect::Safe, over("reader"), none)), [2], "another link");
    assert_eq!(broken(&verdict(Effect::Unsafe, over("near"), none)), [2], "forbidden whatever the link does");
    let clients = |ms, cut| at(ms, What::ClientsCut { router: "router-0".to_owned(), cut });
    let again = at(400, What::Ended { ask: Ask(1), end: End::Failed });
    let unanswered = |what: &What| matches!(what, What::Ended { .. });
    let while_cut = vec![clients(200, true), clients(4000, false)];
    assert_eq!(broken(&verdict(Effect::Safe, while_cut.clone(), unanswered)), [0usize; 0]);
    let twice = while_cut.into_iter().chain([again]).collect();
    assert_eq!(broken(&verdict(Effect::Safe, twice, none)), [1]);
}

/// Each kind of breach in the log of the workers is found, and none where there is none.
#[test]
fn breaches_in_the_log_of_the_workers_are_found_by_their_time() {
    use gaparch_testbed::platform::{
        find_breaches, TestActions, WorkerEvent, MAX_SEND_DELAY_AFTER_DISCONNECT,
    };
    use std::time::{Duration, Instant};
    let from = Instant::now();
    let told = |worker: &str, txn: &str, ms: u64, remaining: Option<u64>| {
        let (worker, txn) = (worker.to_owned(), txn.to_owned());
        let remaining = remaining.map(Duration::from_millis);
        let (target, body) = (String::new(), Vec::new());
        (
            from + Duration::from_millis(ms),
            WorkerEvent::RequestReceived { worker, txn, target, remaining, body },
        )
    };
    let asked = |worker: &str, txn: &str, ms: u64| told(worker, txn, ms, Some(0));
    let mut actions = TestActions::default();
    actions.disconnected.insert("left".to_owned(), from);
    actions.drained.insert("w-1".to_owned(), from + Duration::from_millis(500));
    let late = MAX_SEND_DELAY_AFTER_DISCONNECT.as_millis() as u64 + 1;
    let sound = vec![asked("w-2", "left", late - 1), asked("w-1", "a", 500), asked("w-2", "a", 900)];
    assert_eq!(find_breaches(&sound, &actions), Vec::<String>::new());
    let copy = (from, WorkerEvent::SecondCopy { txn: "a".to_owned() });
    let bad = vec![asked("w-2", "left", late), asked("w-1", "a", 501), copy];
    assert_eq!(find_breaches(&bad, &actions).len(), 3, "{:?}", find_breaches(&bad, &actions));
    actions.deadlines.insert("due".to_owned(), from + Duration::from_millis(1000));
    let sound = vec![told("w-2", "due", 0, Some(1150)), told("w-2", "due", 400, Some(750))];
    assert_eq!(find_breaches(&sound, &actions), Vec::<String>::new());
    let bad = vec![
        told("w-2", "due", 0, Some(1151)),
        told("w-2", "due", 400, Some(751)),
        told("w-2", "due", 0, None),
    ];
    assert_eq!(find_breaches(&bad, &actions).len(), 3, "{:?}", find_breaches(&bad, &actions));
}
