//! The shutdown of a router, with the test in the owner's place: what it is asked and notified of, in which order.

use super::{finish, OwnerMessage, SharedState};
use crate::test_support::shared_state;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::timeout;

const CLIENTS: usize = 4;
/// Far beyond what a question takes that is asked at all.
const ASKED_WITHIN: Duration = Duration::from_secs(20);

/// The shutdown of a router whose clients have all disconnected.
fn finishing(shared: &Arc<SharedState>) -> JoinHandle<()> {
    let shared = Arc::clone(shared);
    tokio::spawn(async move { finish(&shared, &Semaphore::new(CLIENTS), CLIENTS).await })
}

/// Takes the next message, which must be the question what is open, and answers it.
async fn asked_what_is_open(messages: &mut UnboundedReceiver<OwnerMessage>, open: usize) {
    let message = timeout(ASKED_WITHIN, messages.recv()).await.expect("it is asked");
    match message.expect("a message") {
        OwnerMessage::CountOpen(reply) => reply.send(open).expect("it is waited for"),
        other => panic!("not asked what is open: {other:?}"),
    }
}

/// All that comes is rejected before it is asked what is open: whatever is read as that is answered is either waited for
/// or rejected.
#[tokio::test]
async fn what_comes_as_the_last_question_is_answered_is_waited_for() {
    let (shared, mut messages) = shared_state(CLIENTS);
    let end = finishing(&shared);
    let stop = messages.recv().await;
    assert!(matches!(stop, Some(OwnerMessage::StopAt(at)) if at <= shared.clock.now()), "from now on");
    // One was taken just before.
    asked_what_is_open(&mut messages, 1).await;
    assert!(!end.is_finished());
    asked_what_is_open(&mut messages, 0).await;
    // And what was ended meanwhile may have left something behind.
    asked_what_is_open(&mut messages, 0).await;
    end.await.expect("no panic");
}

/// The releases of requests that had to be ended by force are still waited for.
#[tokio::test(start_paused = true)]
async fn releases_of_what_was_ended_by_force_are_waited_for() {
    let (shared, mut messages) = shared_state(CLIENTS);
    let end = finishing(&shared);
    let mut stopped = false;
    while !stopped {
        match messages.recv().await.expect("a message") {
            // The last question is given up with the wait.
            OwnerMessage::CountOpen(reply) => drop(reply.send(1)),
            OwnerMessage::StopNow => stopped = true,
            OwnerMessage::StopAt(_) => {}
            other => panic!("{other:?}"),
        }
    }
    asked_what_is_open(&mut messages, 1).await;
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert!(!end.is_finished());
    asked_what_is_open(&mut messages, 0).await;
    end.await.expect("no panic");
}
