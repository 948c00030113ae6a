//! What the owner takes in one round.

use super::{Heard, Message, Round, BATCH};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// On a starved processor each round ends with the next timer due: messages and other routers still have their turn.
#[tokio::test]
async fn a_timer_that_is_always_due_keeps_nobody_waiting() {
    let (owner, mut messages) = mpsc::unbounded_channel();
    let (peer, mut heard) = mpsc::channel(4);
    for _ in 0..BATCH + 1 {
        owner.send(Message::ListDown).expect("it is there");
    }
    peer.try_send(Heard { from: 1, data: vec![7] }).expect("there is room");
    let overdue = Some(Instant::now() - Duration::from_secs(1));
    let mut round = Round::default();
    assert!(round.wait(overdue, &mut messages, &mut heard).await);
    // No more than a batch, or timers would wait.
    assert_eq!((round.messages.len(), round.heard.len()), (BATCH, 1));
    round.messages.clear();
    assert!(round.wait(overdue, &mut messages, &mut heard).await);
    assert_eq!(round.messages.len(), 1);
}

/// A round that is dropped while it waits has lost nothing.
#[tokio::test]
async fn what_comes_as_a_round_is_given_up_is_taken_by_the_next() {
    let (owner, mut messages) = mpsc::unbounded_channel();
    let (_peer, mut heard) = mpsc::channel(4);
    let mut round = Round::default();
    tokio::select! {
        biased;
        there = round.wait(None, &mut messages, &mut heard) => panic!("there is nothing yet: {there}"),
        () = std::future::ready(()) => {}
    }
    owner.send(Message::ListDown).expect("it is there");
    assert!(round.wait(None, &mut messages, &mut heard).await);
    assert_eq!(round.messages.len(), 1);
}
