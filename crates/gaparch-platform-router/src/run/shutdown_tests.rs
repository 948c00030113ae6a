//! Tests the shutdown with the test in place of the owner: which messages it receives, and in which order.

use super::{finish, OpenCounts, OwnerMessage, SharedState};
use crate::test_support::shared_state;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

const CLIENTS: usize = 4;
/// Far longer than the interval between two questions.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts the shutdown of a router whose clients have all disconnected.
fn spawn_finish(shared: &Arc<SharedState>) -> JoinHandle<()> {
    let shared = Arc::clone(shared);
    tokio::spawn(async move { finish(&shared, &Semaphore::new(CLIENTS), CLIENTS).await })
}

/// An unanswered request or a release.
const ONE_OTHER: OpenCounts = OpenCounts { streams: 0, others: 1 };
const ONE_STREAM: OpenCounts = OpenCounts { streams: 1, others: 0 };
const NOTHING: OpenCounts = OpenCounts { streams: 0, others: 0 };

/// Receives the next message, which must ask for the open count, and answers it.
async fn answer_count_open(messages: &mut UnboundedReceiver<OwnerMessage>, open: OpenCounts) {
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
    answer_count_open(&mut messages, ONE_OTHER).await;
    assert!(!end.is_finished());
    answer_count_open(&mut messages, NOTHING).await;
    // Asked once more at the end, as requests that were ended by force may have started releases.
    answer_count_open(&mut messages, NOTHING).await;
    end.await.expect("no panic");
}

/// Answers questions for the open count until the owner is told to end the requests without an answer. Returns how
/// long that took.
async fn wait_until_unanswered_are_stopped(
    messages: &mut UnboundedReceiver<OwnerMessage>,
    open: OpenCounts,
) -> Duration {
    let started_at = Instant::now();
    loop {
        match messages.recv().await.expect("a message") {
            // Nobody awaits the reply to the last question, since the wait has timed out.
            OwnerMessage::CountOpen(reply) => drop(reply.send(open)),
            OwnerMessage::StopUnanswered => return started_at.elapsed(),
            OwnerMessage::StopAt(_) => {}
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a sound stream that is cut off by the clock of a shutdown: the router ends with it, however long it
/// takes, and ends requests without an answer before.
#[tokio::test(start_paused = true)]
async fn a_sound_stream_is_waited_for_without_a_time_limit() {
    const VERY_LONG: Duration = Duration::from_secs(3600);
    let (shared, mut messages) = shared_state(CLIENTS);
    let end = spawn_finish(&shared);
    wait_until_unanswered_are_stopped(&mut messages, OpenCounts { streams: 1, others: 1 }).await;
    let from = Instant::now();
    while from.elapsed() < VERY_LONG {
        answer_count_open(&mut messages, ONE_STREAM).await;
    }
    assert!(!end.is_finished());
    answer_count_open(&mut messages, NOTHING).await;
    answer_count_open(&mut messages, NOTHING).await;
    end.await.expect("no panic");
}

/// Requests without an answer are ended, at the longest deadline of a class if that is longer than usual.
#[tokio::test(start_paused = true)]
async fn requests_without_an_answer_have_a_time_limit() {
    let (shared, mut messages) = shared_state(CLIENTS);
    let _end = spawn_finish(&shared);
    let waited = wait_until_unanswered_are_stopped(&mut messages, ONE_OTHER).await;
    assert!((Duration::from_secs(90)..Duration::from_secs(91)).contains(&waited), "{waited:?}");
}

/// Guards against the end of a finished stream that a slow client loses: its connection is waited for.
#[tokio::test(start_paused = true)]
async fn a_connection_that_still_writes_its_response_is_waited_for() {
    let (shared, mut messages) = shared_state(CLIENTS);
    let permits = Arc::new(Semaphore::new(CLIENTS));
    let writing = Arc::clone(&permits).acquire_owned().await.expect("a permit");
    let (ending, end_permits) = (Arc::clone(&shared), Arc::clone(&permits));
    let end = tokio::spawn(async move { finish(&ending, &end_permits, CLIENTS).await });
    wait_until_unanswered_are_stopped(&mut messages, ONE_STREAM).await;
    answer_count_open(&mut messages, NOTHING).await;
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert!(!end.is_finished());
    drop(writing);
    answer_count_open(&mut messages, NOTHING).await;
    end.await.expect("no panic");
}

/// Releases of requests that were ended by force are still waited for.
#[tokio::test(start_paused = true)]
async fn releases_of_requests_ended_by_force_are_waited_for() {
    let (shared, mut messages) = shared_state(CLIENTS);
    let end = spawn_finish(&shared);
    wait_until_unanswered_are_stopped(&mut messages, ONE_OTHER).await;
    // It no longer streams.
    answer_count_open(&mut messages, ONE_OTHER).await;
    answer_count_open(&mut messages, ONE_OTHER).await;
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert!(!end.is_finished());
    answer_count_open(&mut messages, NOTHING).await;
    end.await.expect("no panic");
}
