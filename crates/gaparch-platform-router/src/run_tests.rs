//! The end of a router, with the test in the owner's place: what it is asked and told, in which order.

use super::{finish, next_order, Message, NodeError, Order, Shared};
use crate::test_support::shared;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{mpsc, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::timeout;

const CLIENTS: usize = 4;
/// Far beyond what a question takes that is asked at all.
const ASKED_WITHIN: Duration = Duration::from_secs(20);

/// The end of a router whose clients have all gone.
fn ending(shared: &Arc<Shared>) -> JoinHandle<()> {
    let shared = Arc::clone(shared);
    tokio::spawn(async move { finish(&shared, &Semaphore::new(CLIENTS), CLIENTS).await })
}

/// Takes the next message, which must be the question what is open, and answers it.
async fn asked_what_is_open(messages: &mut UnboundedReceiver<Message>, open: usize) {
    let message = timeout(ASKED_WITHIN, messages.recv()).await.expect("it is asked");
    match message.expect("a message") {
        Message::Open(reply) => reply.send(open).expect("it is waited for"),
        other => panic!("not asked what is open: {other:?}"),
    }
}

/// All that comes is refused before it is asked what is open: whatever is read as that is answered is either waited for
/// or refused.
#[tokio::test]
async fn what_comes_as_the_last_question_is_answered_is_waited_for() {
    let (shared, mut messages) = shared(CLIENTS);
    let end = ending(&shared);
    let stop = messages.recv().await;
    assert!(matches!(stop, Some(Message::StopAt(at)) if at <= shared.clock.now()), "from now on");
    // One was taken just before.
    asked_what_is_open(&mut messages, 1).await;
    assert!(!end.is_finished());
    asked_what_is_open(&mut messages, 0).await;
    // And what was ended meanwhile may have left something behind.
    asked_what_is_open(&mut messages, 0).await;
    end.await.expect("no panic");
}

/// What had to be ended by force still lets go of what it holds.
#[tokio::test(start_paused = true)]
async fn releases_of_what_was_ended_by_force_are_waited_for() {
    let (shared, mut messages) = shared(CLIENTS);
    let end = ending(&shared);
    let mut stopped = false;
    while !stopped {
        match messages.recv().await.expect("a message") {
            // The last question is given up with the wait.
            Message::Open(reply) => drop(reply.send(1)),
            Message::StopNow => stopped = true,
            Message::StopAt(_) => {}
            other => panic!("{other:?}"),
        }
    }
    asked_what_is_open(&mut messages, 1).await;
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert!(!end.is_finished());
    asked_what_is_open(&mut messages, 0).await;
    end.await.expect("no panic");
}

/// A router whose deciding task has panicked would answer 500 to everything for ever, and call itself ready.
#[tokio::test]
async fn a_router_ends_with_the_task_that_decides() {
    let (_orders, mut taken) = mpsc::channel(1);
    let mut deciding = tokio::spawn(async { panic!("a mistake") });
    let ended = next_order(&mut taken, &mut deciding).await;
    assert!(matches!(ended, Err(NodeError::NoOwner(Some(why))) if why.contains("a mistake")));
}

#[tokio::test]
async fn orders_come_in_their_order_and_the_last_is_to_end() {
    let (orders, mut taken) = mpsc::channel(1);
    let mut deciding = tokio::spawn(std::future::pending());
    orders.send(Order::Reload).await.expect("it is taken");
    assert_eq!(next_order(&mut taken, &mut deciding).await.ok(), Some(Order::Reload));
    drop(orders);
    assert_eq!(next_order(&mut taken, &mut deciding).await.ok(), Some(Order::End));
}
