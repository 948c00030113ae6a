//! Each rule can be broken, and is found broken then.

use super::*;
use crate::soak::clients::CLASSES;

const MS: u64 = 1_000_000;

fn asked(txn: &str, answer: Answer) -> Asked {
    Asked {
        txn: txn.to_owned(),
        router: 0,
        class: CLASSES[0],
        manner: Manner::Usual,
        reused: false,
        patience: Duration::from_secs(3),
        sent_ns: 1_000 * MS,
        answered_ns: 1_200 * MS,
        answer,
    }
}

fn entry(at_ms: u64, kind: Kind, txn: &str) -> Entry {
    Entry { at_ns: at_ms * MS, kind, txn: txn.to_owned(), remaining_ms: 2_000 }
}

fn worker(name: &str, entries: Vec<Entry>) -> WorkerFacts {
    WorkerFacts { name: name.to_owned(), reads: name.starts_with('r'), entries, ..WorkerFacts::default() }
}

/// One request, read and written as it should be.
fn sound() -> Facts {
    let read = vec![entry(1_001, Kind::Asked, "n0-1"), entry(1_050, Kind::Answered, "n0-1")];
    let written = vec![entry(1_051, Kind::Asked, "n0-1"), entry(1_190, Kind::Answered, "n0-1")];
    let routers = vec![RouterFacts { lives: vec![Life::default()], ..RouterFacts::default() }];
    Facts {
        asked: vec![asked("n0-1", Answer::Served)],
        workers: vec![worker("r-0", read), worker("w-1", written), worker("w-3", Vec::new())],
        routers,
        ended_ns: 60_000 * MS,
        ..Facts::default()
    }
}

fn breaches(change: impl FnOnce(&mut Facts)) -> String {
    let mut facts = sound();
    change(&mut facts);
    judge(&facts).join("; ")
}

#[test]
fn what_is_sound_breaks_nothing() {
    assert_eq!(breaches(|_| {}), "");
}

#[test]
fn a_request_that_is_lost_late_or_half_and_served_is_found() {
    for answer in [Answer::Nothing, Answer::ClosedUnanswered] {
        assert!(breaches(|f| f.asked[0].answer = answer).contains("lost"));
    }
    assert!(breaches(|f| f.asked[0].answered_ns = 4_600 * MS).contains("answered after"));
    assert!(breaches(|f| f.asked[0].manner = Manner::StopsHalfway).contains("half a request is served"));
    // Of a router that was killed nothing is owed.
    let killed = Life { until_ns: Some(1_100 * MS), killed: true, ..Life::default() };
    assert_eq!(
        breaches(|f| {
            f.asked[0].answer = Answer::ClosedUnanswered;
            f.routers[0].lives = vec![killed];
        }),
        ""
    );
}

#[test]
fn two_attempts_at_once_and_a_second_execution_are_found() {
    let second = || vec![entry(1_060, Kind::Asked, "n0-1"), entry(1_190, Kind::Answered, "n0-1")];
    assert!(breaches(|f| f.workers[2].entries = second()).contains("at once"));
    // One whose connection was reset under way arrives with its close, and had ended before the next was sent.
    let reset = |lasted_ms: u64| {
        move |f: &mut Facts| {
            let closed = entry(1_060 + lasted_ms, Kind::Closed, "n0-1");
            f.workers[2].entries = vec![entry(1_060, Kind::Asked, "n0-1"), closed];
            f.workers[2].resets = vec![1_050 * MS];
        }
    };
    assert_eq!(breaches(reset(1)), "");
    assert!(breaches(reset(30)).contains("at once"));
    let later = || vec![entry(1_400, Kind::Asked, "n0-1"), entry(1_500, Kind::Answered, "n0-1")];
    assert_eq!(breaches(|f| f.workers[2].entries = later()), "");
    let once = |f: &mut Facts| {
        f.asked[0].class = CLASSES[2];
        f.workers[2].entries = later();
    };
    assert!(breaches(once).contains("written 2 times"));
    let refused = |f: &mut Facts| (f.asked[0].class, f.asked[0].answer) = (CLASSES[2], Answer::Refused);
    assert!(breaches(refused).contains("refused, though"));
}

/// A life that was told to end 0.1 s before the request came, or so much earlier, and was killed at 3.0 s or ended by itself.
fn told_to_end(before_ms: u64, killed: bool) -> Life {
    let told_to_end_ns = Some((1_000 - before_ms) * MS);
    Life { told_to_end_ns, until_ns: Some(3_000 * MS), killed, ..Life::default() }
}

#[test]
fn what_comes_late_after_an_order_to_end_and_is_lost_is_found() {
    let closed = |before_ms: u64, killed: bool, closed_ms: u64, forwarded: bool| {
        breaches(|f| {
            f.asked[0].answer = Answer::ClosedUnanswered;
            f.asked[0].answered_ns = closed_ms * MS;
            f.routers[0].lives = vec![told_to_end(before_ms, killed)];
            if !forwarded {
                f.workers.iter_mut().for_each(|worker| worker.entries.clear());
            }
        })
    };
    // The kill finds it unanswered: it is owed an answer if it came more than 0.7 s after the order.
    assert!(closed(800, true, 2_995, false).contains("came late"));
    assert_eq!(closed(600, true, 2_995, false), "");
    // A connection that ends with nothing read loses nothing, also late; one whose request went on does.
    assert_eq!(closed(800, true, 1_010, false), "");
    assert!(closed(600, false, 1_300, true).contains("came late"));
    let broken = |before_ms: u64| {
        breaches(|f| {
            f.asked[0].answer = Answer::Broken;
            f.routers[0].lives = vec![told_to_end(before_ms, true)];
        })
    };
    assert!(broken(800).contains("came late"));
    assert_eq!(broken(600), "");
}

#[test]
fn a_connection_that_ends_with_nothing_read_loses_nothing_and_one_that_was_read_does() {
    for excuse in [0, 1] {
        let closed = |forwarded: bool| {
            breaches(|f| {
                f.asked[0].answer = Answer::ClosedUnanswered;
                match excuse {
                    0 => f.asked[0].reused = true,
                    _ => f.routers[0].crowds = vec![(900 * MS, 1_100 * MS)],
                }
                if !forwarded {
                    f.workers.iter_mut().for_each(|worker| worker.entries.clear());
                }
            })
        };
        assert_eq!(closed(false), "");
        assert!(closed(true).contains("lost"));
    }
}

/// A worker that hangs takes nothing: neither a write to it nor a router that was held up keeps a state.
#[test]
fn a_state_behind_a_writer_that_hangs_is_found() {
    let hangs = |released_ms: Option<u64>| {
        breaches(|f| {
            let late = vec![entry(3_000, Kind::Asked, "n0-1"), entry(3_100, Kind::Answered, "n0-1")];
            f.workers[1].entries = late;
            f.workers[1].stops = vec![(1_040 * MS, 3_000 * MS)];
            f.routers[0].stops = vec![(1_060 * MS, 1_100 * MS)];
            f.workers[2].entries =
                released_ms.map(|at| entry(at, Kind::Released, "n0-1")).into_iter().collect();
        })
    };
    assert!(hangs(None).contains("neither fetched nor let go of"));
    assert!(hangs(Some(2_000)).contains("neither fetched nor let go of"));
    assert_eq!(hangs(Some(1_600)), "");
}

#[test]
fn a_send_to_a_drained_worker_is_found() {
    let told = |at_ms: u64, lifecycle| DeliveredEntry {
        at_ns: at_ms * MS,
        router: 0,
        worker: "w-1".to_owned(),
        lifecycle,
        started_at_ms: 0,
    };
    assert!(breaches(|f| f.delivered = vec![told(100, "draining")]).contains("drain"));
    assert_eq!(breaches(|f| f.delivered = vec![told(900, "draining")]), "", "within its grace");
    assert_eq!(breaches(|f| f.delivered = vec![told(100, "draining"), told(900, "ready")]), "");
}

#[test]
fn what_is_held_and_not_let_go_of_is_found() {
    let unwritten = |f: &mut Facts| f.workers[1].entries.clear();
    assert!(breaches(unwritten).contains("neither fetched nor let go of"));
    let released =
        |at_ms| move |f: &mut Facts| f.workers[1].entries = vec![entry(at_ms, Kind::Released, "n0-1")];
    assert_eq!(breaches(released(1_700)), "");
    assert!(breaches(released(1_900)).contains("neither fetched nor let go of"));
    // Its router was killed while it was read: the reader may not have noticed by its answer.
    let killed = |at_ms| {
        move |f: &mut Facts| {
            unwritten(f);
            f.asked.clear();
            f.routers[0].lives = vec![Life { until_ns: Some(at_ms * MS), killed: true, ..Life::default() }];
        }
    };
    assert_eq!(breaches(killed(1_030)), "");
    assert!(breaches(killed(990)).contains("neither fetched nor let go of"));
    // Its answer was lost, and the attempt was out for longer: only one that came before its connection fell silent counts.
    let silent = |at_ms| {
        move |f: &mut Facts| {
            released(1_900)(f);
            f.workers[0].silences = vec![at_ms * MS];
        }
    };
    assert_eq!(breaches(silent(1_020)), "");
    assert!(breaches(silent(1_300)).contains("neither fetched nor let go of"));
}

#[test]
fn a_send_for_who_has_left_and_too_much_time_told_are_found() {
    let left = |f: &mut Facts| (f.asked[0].answer, f.asked[0].answered_ns) = (Answer::Left, 900 * MS);
    assert!(breaches(left).contains("after its client had left"));
    assert!(breaches(|f| f.workers[1].entries[0].remaining_ms = 3_200).contains("is told 3200 ms"));
}

#[test]
fn a_router_that_crashes_panics_or_answers_twice_is_found() {
    assert!(breaches(|f| f.routers[0].lives[0].crashed = true).contains("has ended without an order"));
    assert!(breaches(|f| f.routers[0].log = "thread 'main' panicked at".to_owned()).contains("panicked"));
    let counted = |f: &mut Facts| f.routers[0].log = "INFO summary second_answers=2 overdue=0".to_owned();
    assert!(breaches(counted).contains("second_answers=2"));
}
