//! Which orders may be carried out, and what they make with the list.

mod common;

use common::*;
use gaparch_ops::book::{read_change, Book, Standing};
use gaparch_ops::combine::{combine, remark};
use gaparch_protocol::ops::intent::{Change, Hold, Note, Subject, Taken};
use gaparch_protocol::ops::view::EngineState::{self, Draining, Gone, Ready};
use gaparch_protocol::ops::{to_bytes, DenyCode, Order};
use proptest::prelude::*;

#[test]
fn the_table_of_operator_and_list() {
    let rows: [(Option<Hold>, EngineState, EngineState); 9] = [
        (None, Ready, Ready),
        (None, Draining, Draining),
        (None, Gone, Gone),
        (Some(Hold::Drain), Ready, Draining),
        (Some(Hold::Drain), Draining, Draining),
        (Some(Hold::Drain), Gone, Gone),
        (Some(Hold::Aside), Ready, Gone),
        (Some(Hold::Aside), Draining, Gone),
        (Some(Hold::Aside), Gone, Gone),
    ];
    for (hold, listed, wanted) in rows {
        assert_eq!(combine(hold, listed), wanted, "{hold:?}, {listed}");
    }
    assert_eq!(remark(Hold::Drain, 10, Some(9)), None);
    assert!(remark(Hold::Drain, 10, Some(11)).is_some_and(|r| r.contains("still drained")));
}

#[test]
fn the_last_of_a_role_is_drained_only_by_force_and_it_is_said_what_that_does() {
    let mut book = Book::default();
    let last = Order { force: true, ..drain("w1") };
    let results = carry_out(&mut book, &site(2, 2), &[drain("w0"), drain("w1"), last]);
    assert!(
        results[0].as_ref().is_ok_and(|e| e.contains("3 streaming end in their own time")),
        "{results:?}"
    );
    let denied = results[1].as_ref().expect_err("the last writer");
    assert_eq!(denied.code, DenyCode::LeavesNone);
    assert!(denied.message.contains("12 held and 3 being read"), "{}", denied.message);
    assert!(results[2].as_ref().is_ok_and(|e| e.contains("until their time is up")), "{results:?}");
}

#[test]
fn both_readers_by_two_operators_in_the_same_second_leave_one() {
    let mut book = Book::default();
    let results = carry_out(&mut book, &site(2, 2), &[drain("r0"), drain("r1")]);
    assert!(results[0].is_ok());
    assert_eq!(results[1].as_ref().map_err(|d| d.code), Err(DenyCode::LeavesNone));
    // Where writers read by themselves, none is needed.
    let mut book = Book::default();
    let site = Standing { self_prefill: true, ..site(2, 2) };
    assert!(carry_out(&mut book, &site, &[drain("r0"), drain("r1")]).iter().all(Result::is_ok));
    // One that can't be reached is no help.
    let mut unreached = site.clone();
    unreached.self_prefill = false;
    unreached.engines[0].takes_new = false;
    let result = Book::default().propose(&drain("r1"), "someone", 0, &unreached);
    assert_eq!(result.map_err(|d| d.code).map(|_| ()), Err(DenyCode::LeavesNone));
}

#[test]
fn the_second_of_two_that_contradict_each_other_is_told_of_the_first() {
    let mut book = Book::default();
    let seen = Some(book.revision());
    let undo = Order { revision: seen, ..free("w0") };
    let results =
        carry_out(&mut book, &site(2, 3), &[drain("w0"), undo, Order { revision: seen, ..drain("w1") }]);
    let denied = results[1].as_ref().expect_err("it has changed");
    assert_eq!(denied.code, DenyCode::Changed);
    assert!(denied.message.contains("w0 drained (a test)"), "{}", denied.message);
    assert!(results[2].is_ok(), "another engine has not");
}

#[test]
fn what_makes_no_sense_is_denied_by_name() {
    let book = Book::default();
    let limit = |name: &str, value| Change::Limit { name: name.to_owned(), value };
    for (order, code, word) in [
        (drain("w9"), DenyCode::Unknown, "'w9'"),
        (free("w0"), DenyCode::Invalid, "no operator holds 'w0'"),
        (order(Change::Resume {}), DenyCode::Invalid, "not paused"),
        (order(limit("speed", Some(1.0))), DenyCode::Unknown, "open-requests"),
        (order(limit("open-requests", Some(0.0))), DenyCode::Invalid, "from 1 to 1000"),
        (order(limit("open-requests", Some(f64::NAN))), DenyCode::Invalid, "from 1"),
        (Order { why: " ".to_owned(), ..drain("w0") }, DenyCode::Invalid, "reason"),
        (Order { why: "x".repeat(501), ..drain("w0") }, DenyCode::Invalid, "501 bytes"),
    ] {
        let denied = book.propose(&order, "someone", 0, &site(2, 2)).expect_err("denied");
        assert_eq!(denied.code, code, "{order:?}");
        assert!(denied.message.contains(word), "{}", denied.message);
    }
}

#[test]
fn a_change_of_the_first_schema_is_read_and_numbered() {
    let note = Note { who: "someone".to_owned(), why: "noise".to_owned(), at: 5 };
    let change = Change::Hold { engine: "w0".to_owned(), hold: Hold::Aside };
    let mut old = to_bytes(&change);
    old.extend(to_bytes(&note));
    let taken = Taken { revision: 4, change, note };
    assert_eq!(read_change(1, &old, 4), Some(taken.clone()));
    assert_eq!(read_change(2, &to_bytes(&taken), 9), Some(taken));
    assert_eq!(read_change(2, &old, 9), None, "another schema's bytes are not guessed at");
}

proptest! {
    /// Whatever is ordered, the book comes back the same from its own changes, and no role is left without an
    /// engine unless by force.
    #[test]
    fn a_book_comes_back_whole(picks in proptest::collection::vec((0usize..5, 0u8..7), 0..40)) {
        let names = ["r0", "r1", "w0", "w1", "w2"];
        let mut book = Book::default();
        let base = site(2, 3);
        for (engine, what) in picks {
            let engine = names[engine].to_owned();
            let change = match what {
                0 | 1 => Change::Hold { engine, hold: Hold::Drain },
                2 => Change::Hold { engine, hold: Hold::Aside },
                3 | 4 => Change::Free { engine },
                5 => Change::Pause {},
                _ => Change::Limit { name: "open-requests".to_owned(), value: Some(50.0) },
            };
            carry_out(&mut book, &base, &[order(change)]);
            let left = held(base.clone(), &book);
            let takes = |from: std::ops::Range<usize>| left.engines[from].iter().any(|e| e.takes_new);
            prop_assert!(takes(0..2) && takes(2..5));
        }
        let again = Book::restore(book.changes());
        prop_assert_eq!(&again, &book);
        let engines = book.intents(|_| true).into_iter().filter(|i| matches!(i.subject, Subject::Engine { .. }));
        prop_assert_eq!(engines.count(), names.iter().filter(|n| book.hold(n).is_some()).count());
    }
}
