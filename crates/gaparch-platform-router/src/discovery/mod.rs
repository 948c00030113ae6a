//! Follows the endpoint list: the full list first, then one watch after the other on one connection. This task waits for no
//! other, so that a watch never lapses.

mod backoff;
mod connection;
mod error;

use crate::messages::OwnerMessage;
use crate::shared_state::{Phase, SharedState};
use backoff::Backoff;
use connection::DiscoveryConnection;
use error::DiscoveryError;
use gaparch_platform_protocol::endpoint_list::{encode_list_request, encode_watch_request, EndpointList};
use gaparch_protocol::list::Scope;
use gaparch_router::core::ListUpdate;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// How long the service may wait for a change before it answers a watch. A short wait notices a silent service early.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Time-out of an answer beyond that wait: the service answers immediately.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time-out of connecting to the service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// A change counts as known to the router so long after the service had it and could be reached, by the platform's rules.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);
/// Longest time of one attempt after a fault, up to the answer of its first request, which does not wait.
const ATTEMPT_TIME: Duration = Duration::from_millis(
    (RETRY_DELAY.as_millis() + CONNECT_TIMEOUT.as_millis() + ANSWER_TIMEOUT.as_millis()) as u64,
);
/// Longest time for which a change can be missed: a watch falls silent as it begins, the next connection is accepted and stays
/// silent, too, and the one after it answers at the very end of its time. No delay here grows with the number of attempts, or
/// this would not be all.
const MAX_MISSED_TIME: Duration = Duration::from_millis(
    (WATCH_WAIT.as_millis() + ANSWER_TIMEOUT.as_millis() + 2 * ATTEMPT_TIME.as_millis()) as u64,
);
/// Margin for a process that gets so little processor time that it handles late what has arrived.
const STARVATION_MARGIN: Duration = Duration::from_secs(1);
const _: () =
    assert!(MAX_MISSED_TIME.as_millis() + STARVATION_MARGIN.as_millis() < CHANGE_DEADLINE.as_millis());

/// Interval between two log lines on a service that stays unreachable or whose lists are rejected.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What the scheduler wants of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Subscription {
    /// Whether changes are wanted.
    pub watch: bool,
    /// How many full lists have been requested so far.
    pub full_lists: u64,
}

/// How far the list is known, across connections.
#[derive(Debug, Default)]
struct Progress {
    /// The service that `generation` is of.
    service: Option<SocketAddr>,
    /// `None` where only the full list brings the router up to date.
    generation: Option<u64>,
    /// How many requests for full lists have been answered.
    full_lists: u64,
    is_down: bool,
    /// When a fault was last logged.
    logged_at: Option<Instant>,
}

impl Progress {
    /// Turns to a service. Generations are those of one service: another one has to send its full list.
    fn turn_to(&mut self, service: SocketAddr) {
        if self.service.replace(service) != Some(service) {
            self.generation = None;
        }
    }

    /// Whether a fault is to be logged now: the first one is, and then one in each [`LOG_INTERVAL`].
    fn take_log_permit(&mut self) -> bool {
        let now = Instant::now();
        let is_due = self.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        if is_due {
            self.logged_at = Some(now);
        }
        is_due
    }
}

/// Follows the endpoint list for as long as the router runs.
pub(crate) async fn follow(
    mut address: watch::Receiver<SocketAddr>,
    mut subscription: watch::Receiver<Subscription>,
    shared: Arc<SharedState>,
) {
    let mut progress = Progress::default();
    let mut backoff = Backoff::new(shared.config.settings.scheduler.seed);
    loop {
        let is_wanted = |wanted: &Subscription| wanted.watch || wanted.full_lists > progress.full_lists;
        if subscription.wait_for(is_wanted).await.is_err() {
            return;
        }
        let service = *address.borrow_and_update();
        // The address may also have changed between two attempts, while nothing was requested.
        progress.turn_to(service);
        let result = tokio::select! {
            result = follow_service(service, &subscription, &mut progress, &shared) => result,
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                tracing::info!(address = %*address.borrow(), "discovery address changed");
                // This holds for the same address, too: it is not known what was lost with an unfinished answer.
                progress.generation = None;
                continue;
            }
        };
        let Err(error) = result else { continue };
        handle_error(service, &error, &mut progress, &shared);
        if error.rejects_list() {
            sleep(backoff.next_delay()).await;
        } else {
            backoff.reset();
            sleep(RETRY_DELAY).await;
        }
    }
}

fn handle_error(service: SocketAddr, error: &DiscoveryError, progress: &mut Progress, shared: &SharedState) {
    if error.loses_generation() {
        progress.generation = None;
    }
    let is_first = !std::mem::replace(&mut progress.is_down, true);
    if progress.take_log_permit() {
        let is_waiting = shared.phase() == Phase::Starting;
        let consequence =
            if is_waiting { "waiting for a first list" } else { "the last list stays in force" };
        tracing::warn!(%service, %error, "endpoint list unavailable: {consequence}");
    }
    if is_first {
        shared.notify_owner(OwnerMessage::DiscoveryDown);
        // At the start the last known list serves once the discovery service is known not to answer.
        shared.start_serving_last_known_list();
    }
}

/// Follows the list of one service until something is wrong, or nothing more is wanted of it.
async fn follow_service(
    service: SocketAddr,
    subscription: &watch::Receiver<Subscription>,
    progress: &mut Progress,
    shared: &SharedState,
) -> Result<(), DiscoveryError> {
    let mut connection = DiscoveryConnection::open(service).await?;
    let host = service.to_string();
    // The first request on a connection is answered at once, so that a silent service is noticed early.
    let mut wait = Duration::ZERO;
    loop {
        let Subscription { watch, full_lists } = *subscription.borrow();
        let after = progress.generation.filter(|_| full_lists <= progress.full_lists);
        let request = match after {
            Some(after) if watch => encode_watch_request(&host, after, wait.as_millis() as u64),
            Some(_) => return Ok(()),
            None => encode_list_request(&host),
        };
        let answer_timeout = if after.is_some() { wait + ANSWER_TIMEOUT } else { ANSWER_TIMEOUT };
        let requested_at = Instant::now();
        let limits = shared.config.list_limits;
        let requesting = connection.request(&request, limits);
        let list = timeout(answer_timeout, requesting).await.map_err(|_| DiscoveryError::AnswerTimeout)??;
        if after.is_none() {
            progress.full_lists = full_lists;
            if list.scope != Scope::Full {
                return Err(DiscoveryError::NotFull);
            }
        }
        if std::mem::take(&mut progress.is_down) {
            tracing::info!("discovery service answers again");
        }
        let is_update = after != Some(list.generation) || !list.entries.is_empty();
        progress.generation = Some(list.generation);
        if is_update {
            publish(list, after, shared);
        } else if !wait.is_zero() && requested_at.elapsed() < RETRY_DELAY {
            // A service that does not wait must not be polled without a pause; the next request continues the watch.
            sleep(RETRY_DELAY).await;
        }
        wait = WATCH_WAIT;
    }
}

/// Passes a list on: first to the attempts that are about to be sent, then to the owner.
fn publish(list: EndpointList, after: Option<u64>, shared: &SharedState) {
    if list.rejected_entries > 0 {
        tracing::warn!(entries = list.rejected_entries, "endpoint list entries rejected");
    }
    shared.ready_workers.update(list.scope, &list.entries);
    shared.notify_owner(OwnerMessage::EndpointsChanged(ListUpdate {
        scope: list.scope,
        version: list.generation,
        base_version: after.unwrap_or(0),
        entries: list.entries,
    }));
}
