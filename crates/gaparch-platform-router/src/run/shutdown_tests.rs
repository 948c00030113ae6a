//! Tests the shutdown with the test in place of the owner: which messages it receives, and in which order.

use super::{finish, OwnerMessage, SharedState};
use crate::test_support::shared_state;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::timeout;

const CLIENTS: usize = 4;
/// Far longer than the interval between two questions.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts the shutdown of a router whose clients have all disconnected.
fn spawn_finish(shared: &Arc<SharedState>) -> JoinHandle<()> {
    let shared = Arc::clone(shared);
    tokio::spawn(async move { finish(&shared, &Semaphore::new(CLIENTS), CLIENTS).await })
}

/// Receives the next message, which must ask for the open count, and answers it.
async fn answer_count_open(messages: &mut UnboundedReceiver<OwnerMessage>, open: usize) {
    let message = timeout(QUESTION_TIMEOUT, messages.recv()).await.expect("asked in time");
    match message.expect("a message") {
        OwnerMessage::CountOpen(reply) => reply.send(open).expect("the reply is awaited"),
        other => panic!("expected CountOpen, got {other:?}"),
    }
}

/// New requests are rejected before the first question for the open count. So a request that is read while
/// the question is answered is either counted or rejected.
#[tokio::test]
async fn requests_are_rejected_before_open_ones_are_counted_and_releases_are_waited_for() {
    let (shared, mut messages) = shared_state(CLIENTS);
    let end = spawn_finish(&shared);
    let stop = messages.recv().await;
    assert!(
        matches!(stop, Some(OwnerMessage::StopAt(at)) if at <= shared.clock.now()),
        "rejects from now on"
    );
    // One request was accepted just before.
    answer_count_open(&mut messages, 1).await;
    assert!(!end.is_finished());
    answer_count_open(&mut messages, 0).await;
    // Asked once more at the end, as requests that were ended by force may have started releases.
    answer_count_open(&mut messages, 0).await;
    end.await.expect("no panic");
}

/// Releases of requests that were ended by force are still waited for.
#[tokio::test(start_paused = true)]
async fn releases_of_requests_ended_by_force_are_waited_for() {
    let (shared, mut messages) = shared_state(CLIENTS);
    let end = spawn_finish(&shared);
    let mut stopped = false;
    while !stopped {
        match messages.recv().await.expect("a message") {
            // Nobody awaits the reply to the last question, since the wait has timed out.
            OwnerMessage::CountOpen(reply) => drop(reply.send(1)),
            OwnerMessage::StopNow => stopped = true,
            OwnerMessage::StopAt(_) => {}
            other => panic!("{other:?}"),
        }
    }
    answer_count_open(&mut messages, 1).await;
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert!(!end.is_finished());
    answer_count_open(&mut messages, 0).await;
    end.await.expect("no panic");
}
