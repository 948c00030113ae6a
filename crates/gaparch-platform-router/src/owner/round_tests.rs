//! What the owner takes in one round.

use super::{GossipMessage, OwnerMessage, Round, MAX_BATCH};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// On a starved processor each round ends with the next timer due: messages and other routers still have their turn.
#[tokio::test]
async fn a_timer_that_is_always_due_keeps_nobody_waiting() {
    let (owner, mut messages) = mpsc::unbounded_channel();
    let (router, mut gossip) = mpsc::channel(4);
    for _ in 0..MAX_BATCH + 1 {
        owner.send(OwnerMessage::DiscoveryDown).expect("it is there");
    }
    router.try_send(GossipMessage { from: 1, data: vec![7] }).expect("the queue is not full");
    let overdue = Some(Instant::now() - Duration::from_secs(1));
    let mut round = Round::default();
    assert!(round.wait(overdue, &mut messages, &mut gossip).await);
    // No more than a batch, or timers would wait.
    assert_eq!((round.messages.len(), round.gossip.len()), (MAX_BATCH, 1));
    round.messages.clear();
    assert!(round.wait(overdue, &mut messages, &mut gossip).await);
    assert_eq!(round.messages.len(), 1);
}

/// A round that is dropped while it waits has lost nothing.
#[tokio::test]
async fn what_comes_as_a_round_is_given_up_is_taken_by_the_next() {
    let (owner, mut messages) = mpsc::unbounded_channel();
    let (_router, mut gossip) = mpsc::channel(4);
    let mut round = Round::default();
    tokio::select! {
        biased;
        there = round.wait(None, &mut messages, &mut gossip) => panic!("there is nothing yet: {there}"),
        () = std::future::ready(()) => {}
    }
    owner.send(OwnerMessage::DiscoveryDown).expect("it is there");
    assert!(round.wait(None, &mut messages, &mut gossip).await);
    assert_eq!(round.messages.len(), 1);
}
