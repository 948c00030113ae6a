//! Tests which transaction ids may be run.

use super::{IdConflict, TransactionId, UsedTransactions, MAX_REMEMBERED, REMEMBER_FOR};

fn id(number: usize) -> TransactionId {
    TransactionId::new(&format!("id-{number}")).expect("a valid id")
}

#[test]
fn an_open_id_conflicts_until_it_is_unregistered() {
    let mut used = UsedTransactions::default();
    assert_eq!(used.register(&id(1), 5), Ok(()));
    assert_eq!(used.register(&id(1), 6), Err(IdConflict::Open));
    used.unregister(&id(1));
    assert_eq!(used.register(&id(1), 7), Ok(()));
}

#[test]
fn a_remembered_id_conflicts_for_its_time() {
    let mut used = UsedTransactions::default();
    used.remember(&id(1), 5);
    assert_eq!(used.register(&id(1), 4 + REMEMBER_FOR), Err(IdConflict::MayHaveRun));
    assert_eq!(used.register(&id(2), 6), Ok(()));
    assert_eq!(used.register(&id(1), 5 + REMEMBER_FOR), Ok(()));
}

/// Guards against memory that grows with the ids that clients invent.
#[test]
fn the_oldest_remembered_id_is_forgotten_first() {
    let mut used = UsedTransactions::default();
    for number in 0..=MAX_REMEMBERED {
        used.remember(&id(number), 5);
    }
    assert_eq!(used.remembered.len(), MAX_REMEMBERED);
    assert_eq!(used.register(&id(0), 6), Ok(()));
    assert_eq!(used.register(&id(1), 6), Err(IdConflict::MayHaveRun));
}
