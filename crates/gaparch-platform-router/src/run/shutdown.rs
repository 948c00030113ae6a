//! Graceful shutdown of a router.

use super::Router;
use crate::messages::{OpenCounts, OwnerMessage};
use crate::shared_state::{Phase, SharedState};
use gaparch_scheduler::policy::shutdown_intake::{
    end_unanswered_after, ACCEPT_CONNECTIONS_FOR, ACCEPT_REQUESTS_FOR,
};
use std::time::Duration;
use tokio::sync::{oneshot, Semaphore};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// How long to wait for releases after the last response.
const LAST_RELEASES_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two checks for open requests and releases.
const OPEN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Shuts a router down: keeps accepting connections for a short time, then stops, and finishes open requests.
pub(super) async fn shut_down(router: Router) {
    let Router { shared, listener, client_permits, max_clients, .. } = router;
    let started_at = Instant::now();
    // From then on the owner rejects requests by the clock, even if this task is delayed.
    let reject_from = started_at + Duration::from_nanos(ACCEPT_REQUESTS_FOR);
    shared.notify_owner(OwnerMessage::StopAt(shared.clock.at(reject_from.into_std())));
    shared.phase.send_replace(Phase::Draining);
    tracing::info!("shutting down: open requests are finished");
    sleep_until(started_at + Duration::from_nanos(ACCEPT_CONNECTIONS_FOR)).await;
    shared.phase.send_replace(Phase::Closing);
    let _ = listener.await;
    finish(&shared, &client_permits, max_clients).await;
    tracing::info!("shut down");
}

/// Waits until all requests, their releases at workers and the responses being written to clients are finished.
/// Requests whose answer has not begun and releases have a time limit. A stream has none, since it would be lost:
/// it ends with its worker, or is cut off when its worker or its client makes no progress.
pub(super) async fn finish(shared: &SharedState, client_permits: &Semaphore, max_clients: usize) {
    // Requests from now on are rejected; earlier ones are waited for.
    shared.notify_owner(OwnerMessage::StopAt(shared.clock.now()));
    let until = Instant::now() + unanswered_timeout(shared);
    if timeout_at(until, wait_until_open(shared, OpenCounts::is_empty)).await.is_err() {
        tracing::info!("requests without an answer are ended; streams go on");
        shared.notify_owner(OwnerMessage::StopUnanswered);
        wait_until_open(shared, |open| open.streams == 0).await;
    }
    // Client connections may still be writing their last response, or reading bytes after they have shut down
    // their sending side, since closing over unread bytes would reset the connection. Each of these steps has
    // its own time limit.
    let _ = client_permits.acquire_many(max_clients as u32).await;
    // Requests ended by force may have started releases.
    let until = Instant::now() + LAST_RELEASES_TIMEOUT;
    let _ = timeout_at(until, wait_until_open(shared, OpenCounts::is_empty)).await;
}

/// Returns how long requests whose answer has not begun are waited for.
fn unanswered_timeout(shared: &SharedState) -> Duration {
    let classes = &shared.config.settings.scheduler.classes;
    let longest_deadline = classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    Duration::from_nanos(end_unanswered_after(longest_deadline))
}

/// Waits until what is open meets a condition. If the owner has ended, nothing is open.
async fn wait_until_open(shared: &SharedState, condition: impl Fn(OpenCounts) -> bool) {
    loop {
        let (reply, count) = oneshot::channel();
        shared.notify_owner(OwnerMessage::CountOpen(reply));
        if condition(count.await.unwrap_or_default()) {
            return;
        }
        sleep(OPEN_CHECK_INTERVAL).await;
    }
}

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod tests;
