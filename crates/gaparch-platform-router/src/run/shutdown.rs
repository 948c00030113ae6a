//! Graceful shutdown of a router.

use super::Router;
use crate::messages::OwnerMessage;
use crate::shared_state::{Phase, SharedState};
use gaparch_scheduler::policy::shutdown_intake::{ACCEPT_CONNECTIONS_FOR, ACCEPT_REQUESTS_FOR};
use std::time::Duration;
use tokio::sync::{oneshot, Semaphore};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// How long to wait for open requests to finish. A stream may take a minute. The process may be killed
/// earlier.
const FINISH_TIMEOUT: Duration = Duration::from_secs(90);
/// How long to wait for client connections to close after the last response, however late that was.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(500);
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

/// Waits, with time limits, until all requests, their releases at workers and the responses being written to
/// clients are finished.
pub(super) async fn finish(shared: &SharedState, client_permits: &Semaphore, max_clients: usize) {
    // Requests from now on are rejected; earlier ones are waited for.
    shared.notify_owner(OwnerMessage::StopAt(shared.clock.now()));
    let until = Instant::now() + FINISH_TIMEOUT;
    if timeout_at(until, wait_until_nothing_is_open(shared)).await.is_err() {
        shared.notify_owner(OwnerMessage::StopNow);
    }
    // Client connections may still be writing their last response, or reading bytes after they have shut down
    // their sending side, since closing over unread bytes would reset the connection. Each of these steps has
    // its own time limit.
    let until = until.max(Instant::now() + LAST_RESPONSES_TIMEOUT);
    let _ = timeout_at(until, client_permits.acquire_many(max_clients as u32)).await;
    // Requests ended by force may have started releases.
    let _ = timeout_at(Instant::now() + LAST_RESPONSES_TIMEOUT, wait_until_nothing_is_open(shared)).await;
}

/// Waits until no request or release is open. If the owner has ended, nothing is.
async fn wait_until_nothing_is_open(shared: &SharedState) {
    loop {
        let (reply, count) = oneshot::channel();
        shared.notify_owner(OwnerMessage::CountOpen(reply));
        if count.await.unwrap_or(0) == 0 {
            return;
        }
        sleep(OPEN_CHECK_INTERVAL).await;
    }
}

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod tests;
