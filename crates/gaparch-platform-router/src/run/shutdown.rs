//! Graceful shutdown of a router.

use super::Router;
use crate::messages::OwnerMessage;
use crate::shared_state::{Phase, SharedState};
use gaparch_scheduler::policy::shutdown_intake::{ACCEPT_CONNECTIONS_FOR, ACCEPT_REQUESTS_FOR};
use std::time::Duration;
use tokio::sync::{oneshot, Semaphore};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// How long open requests are finished. Whoever ends the process may do so earlier; a stream may take a minute.
const FINISH_TIMEOUT: Duration = Duration::from_secs(90);
/// How long connections of clients may take to end after the last response, however late that was.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two questions whether anything is open.
const OPEN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Shuts a router down: new connections are accepted for a moment, then rejected, and what is open is finished.
pub(super) async fn shut_down(router: Router) {
    let Router { shared, listener, client_permits, max_clients, .. } = router;
    let ordered_at = Instant::now();
    // Requests are rejected by the clock, whatever keeps this task busy until then.
    let rejects_from = ordered_at + Duration::from_nanos(ACCEPT_REQUESTS_FOR);
    shared.notify_owner(OwnerMessage::StopAt(shared.clock.at(rejects_from.into_std())));
    shared.phase.send_replace(Phase::Draining);
    tracing::info!("shutting down: open requests are finished");
    sleep_until(ordered_at + Duration::from_nanos(ACCEPT_CONNECTIONS_FOR)).await;
    shared.phase.send_replace(Phase::Closing);
    let _ = listener.await;
    finish(&shared, &client_permits, max_clients).await;
    tracing::info!("shut down");
}

/// Waits within bounds for all that is open: requests, what is held for them at workers, and responses on their way to clients.
pub(super) async fn finish(shared: &SharedState, client_permits: &Semaphore, max_clients: usize) {
    // What comes from now on is rejected, and what came before is waited for.
    shared.notify_owner(OwnerMessage::StopAt(shared.clock.now()));
    let until = Instant::now() + FINISH_TIMEOUT;
    if timeout_at(until, until_nothing_is_open(shared)).await.is_err() {
        shared.notify_owner(OwnerMessage::StopNow);
    }
    // The tasks of clients may still write the last responses, and read what comes on connections that they have closed: unread
    // bytes would reset these. Each of them has its own bounds.
    let until = until.max(Instant::now() + LAST_RESPONSES_TIMEOUT);
    let _ = timeout_at(until, client_permits.acquire_many(max_clients as u32)).await;
    // Requests that were ended by force have left releases behind.
    let _ = timeout_at(Instant::now() + LAST_RESPONSES_TIMEOUT, until_nothing_is_open(shared)).await;
}

/// Waits until no request and no release is open. Without an owner none is.
async fn until_nothing_is_open(shared: &SharedState) {
    loop {
        let (reply, open) = oneshot::channel();
        shared.notify_owner(OwnerMessage::CountOpen(reply));
        if open.await.unwrap_or(0) == 0 {
            return;
        }
        sleep(OPEN_CHECK_INTERVAL).await;
    }
}

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod tests;
