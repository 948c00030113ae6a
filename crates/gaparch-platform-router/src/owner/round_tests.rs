//! Tests which inputs the owner receives in one round.

use super::{GossipMessage, OwnerMessage, Round, MAX_BATCH};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// With too little CPU time the next timer is already due at the end of every round. Messages and gossip must
/// still be received.
#[tokio::test]
async fn messages_are_received_even_if_a_timer_is_always_due() {
    let (owner, mut messages) = mpsc::unbounded_channel();
    let (router, mut gossip) = mpsc::channel(4);
    for _ in 0..MAX_BATCH + 1 {
        owner.send(OwnerMessage::DiscoveryDown).expect("the receiver is open");
    }
    router.try_send(GossipMessage { from: 1, data: vec![7] }).expect("the queue is not full");
    let overdue = Instant::now() - Duration::from_secs(1);
    let mut round = Round::default();
    assert!(round.wait(overdue, &mut messages, &mut gossip).await);
    // No more than the maximum, or timers would be delayed.
    assert_eq!((round.messages.len(), round.gossip.len()), (MAX_BATCH, 1));
    round.messages.clear();
    assert!(round.wait(overdue, &mut messages, &mut gossip).await);
    assert_eq!(round.messages.len(), 1);
}

/// `wait` is cancel-safe: a message that arrives after it was dropped is received by the next call.
#[tokio::test]
async fn dropping_a_wait_loses_no_messages() {
    let (owner, mut messages) = mpsc::unbounded_channel();
    let (_router, mut gossip) = mpsc::channel(4);
    let mut round = Round::default();
    let later = Instant::now() + Duration::from_secs(60);
    tokio::select! {
        biased;
        result = round.wait(later, &mut messages, &mut gossip) => panic!("nothing to receive yet: {result}"),
        () = std::future::ready(()) => {}
    }
    owner.send(OwnerMessage::DiscoveryDown).expect("the receiver is open");
    assert!(round.wait(later, &mut messages, &mut gossip).await);
    assert_eq!(round.messages.len(), 1);
}
