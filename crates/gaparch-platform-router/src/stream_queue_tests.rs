//! Tests the bounds of a stream's queue.

use super::{stream_queue, ClientGone, ReceivedPart, StreamPart};
use std::time::Duration;
use tokio::time::timeout;

const PARTS: usize = 32;
/// Longer than a task that can run waits for its turn.
const PAUSE: Duration = Duration::from_millis(50);

/// Guards against a queue whose number of parts is bounded, but not their bytes.
#[tokio::test]
async fn the_bytes_of_a_queue_are_bounded_and_long_events_arrive_whole() {
    let (sender, mut receiver) = stream_queue(PARTS, 1024);
    let events = vec![b'x'; 10_000];
    let sent = events.clone();
    let sending = tokio::spawn(async move { sender.send_events(&sent).await });
    tokio::time::sleep(PAUSE).await;
    let mut queued = 0;
    while let Ok(ReceivedPart { part: StreamPart::Events(piece), .. }) = receiver.try_recv() {
        queued += piece.len();
    }
    assert!((1..=1024).contains(&queued), "{queued} bytes queued");
    let mut received = queued;
    while let Some(ReceivedPart { part: StreamPart::Events(piece), .. }) = receiver.recv().await {
        received += piece.len();
    }
    assert_eq!((received, sending.await.expect("no panic")), (events.len(), Ok(())));
}

#[tokio::test]
async fn a_sender_that_waits_for_room_notices_that_the_client_is_gone() {
    let (sender, receiver) = stream_queue(PARTS, 1024);
    let sending = tokio::spawn(async move { sender.send_events(&[b'x'; 10_000]).await });
    assert!(timeout(PAUSE, async {
        while !sending.is_finished() {
            tokio::task::yield_now().await
        }
    })
    .await
    .is_err());
    drop(receiver);
    assert_eq!(sending.await.expect("no panic"), Err(ClientGone));
}
