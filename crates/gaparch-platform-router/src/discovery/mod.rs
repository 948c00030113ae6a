//! Follows the endpoint list: requests the full list first, then one watch after the other on the same
//! connection. This task waits for no other task, so that none of them can delay the next watch.

mod backoff;
mod connection;
mod error;

use crate::messages::OwnerMessage;
use crate::shared_state::SharedState;
use backoff::Backoff;
use connection::DiscoveryConnection;
use error::DiscoveryError;
use gaparch_platform_protocol::endpoint_list::{encode_list_request, encode_watch_request, EndpointList};
use gaparch_protocol::list::Scope;
use gaparch_router::core::ListUpdate;
use gaparch_scheduler::policy::startup_list::{may_use_last_known_list, READY_WITHOUT_LIST_AFTER};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How long the service may wait for a change before it answers a watch. A short wait detects an unresponsive
/// service early.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Timeout of a response, in addition to that wait. A working service responds immediately.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// The same for the first list of a process: nothing is sent before it, and a slow service is not taken for one that
/// is down.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(1600);
/// Timeout for connecting to the service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between two connection attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// By the platform's rules, the router has to know a change this long after a reachable service has it.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);
/// Longest duration of one attempt after an error, up to the response to its first request, which the service
/// answers without waiting.
const ATTEMPT_TIME: Duration = Duration::from_millis(
    (RETRY_DELAY.as_millis() + CONNECT_TIMEOUT.as_millis() + ANSWER_TIMEOUT.as_millis()) as u64,
);
/// Longest time for which a change can be missed: a watch gets no response, the next connection is accepted
/// but gets none either, and the one after it is answered just before its timeout. This bound holds because
/// no delay here grows with the number of attempts.
const MAX_MISSED_TIME: Duration = Duration::from_millis(
    (WATCH_WAIT.as_millis() + ANSWER_TIMEOUT.as_millis() + 2 * ATTEMPT_TIME.as_millis()) as u64,
);
/// Margin for a process that gets so little CPU time that it handles arrived data late.
const STARVATION_MARGIN: Duration = Duration::from_secs(1);
const _: () =
    assert!(MAX_MISSED_TIME.as_millis() + STARVATION_MARGIN.as_millis() < CHANGE_DEADLINE.as_millis());

/// Interval between two log lines about a service that stays unreachable or whose lists are rejected.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Which updates of the endpoint list the scheduler wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Subscription {
    /// Whether the scheduler wants to receive changes.
    pub watch: bool,
    /// Number of full lists that the scheduler has requested so far.
    pub full_lists: u64,
}

/// The list by which requests are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ListBasis {
    /// None: no list has arrived since the start.
    #[default]
    Missing,
    /// The list that the router held before its start.
    LastKnown,
    /// The list of the service.
    Received,
}

impl ListBasis {
    /// What it means that the service sends no list now, for the log.
    fn consequence(self) -> &'static str {
        match self {
            ListBasis::Missing => "nothing is sent before the first list",
            ListBasis::LastKnown => "continuing with the list of before the start",
            ListBasis::Received => "continuing with the last list",
        }
    }
}

/// State of following the list that is kept across connections.
#[derive(Debug, Default)]
struct FollowState {
    /// The service that `generation` belongs to.
    service: Option<SocketAddr>,
    /// Generation of the last received list; `None` if the full list is needed.
    generation: Option<u64>,
    /// Number of full list requests that have been answered.
    full_lists: u64,
    is_down: bool,
    basis: ListBasis,
    /// When an error was last logged.
    logged_at: Option<Instant>,
}

impl FollowState {
    /// Switches to a service. Generations are specific to a service, so a different one has to send its full
    /// list.
    fn switch_to(&mut self, service: SocketAddr) {
        if self.service.replace(service) != Some(service) {
            self.generation = None;
        }
    }

    /// Whether to log an error now, at most once per [`LOG_INTERVAL`]. Records that it is logged.
    fn should_log_error(&mut self) -> bool {
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
    let mut state = FollowState::default();
    let mut backoff = Backoff::new(shared.config.settings.scheduler.seed);
    loop {
        let is_wanted = |wanted: &Subscription| wanted.watch || wanted.full_lists > state.full_lists;
        if subscription.wait_for(is_wanted).await.is_err() {
            return;
        }
        let service = *address.borrow_and_update();
        // The address may also have changed between two attempts, while nothing was requested.
        state.switch_to(service);
        let result = tokio::select! {
            result = follow_service(service, &subscription, &mut state, &shared) => result,
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                tracing::info!(address = %*address.borrow(), "discovery address changed");
                // Also if the address is the same: the abandoned response may have contained changes.
                state.generation = None;
                continue;
            }
        };
        let Err(error) = result else { continue };
        handle_error(service, &error, &mut state, &shared);
        if error.is_rejected_response() {
            sleep(backoff.next_delay()).await;
        } else {
            backoff.reset();
            sleep(RETRY_DELAY).await;
        }
    }
}

fn handle_error(service: SocketAddr, error: &DiscoveryError, state: &mut FollowState, shared: &SharedState) {
    if error.requires_full_list() {
        state.generation = None;
    }
    let is_first = !std::mem::replace(&mut state.is_down, true);
    let polls_endpoints = shared.config.settings.scheduler.poll_endpoints;
    if state.basis == ListBasis::Missing
        && shared.config.last_known_list.is_some()
        && may_use_last_known_list(polls_endpoints, error.fault())
    {
        state.basis = ListBasis::LastKnown;
        shared.notify_owner(OwnerMessage::UseLastKnownList);
    }
    if state.should_log_error() {
        let consequence = state.basis.consequence();
        tracing::warn!(%service, %error, "endpoint list unavailable: {consequence}");
    }
    if is_first {
        shared.notify_owner(OwnerMessage::DiscoveryDown);
    }
}

/// Reports that the router is ready although no list has arrived, once the time for it has come.
pub(crate) async fn report_ready_without_list(started_at: Instant, shared: Arc<SharedState>) {
    sleep_until(started_at + Duration::from_nanos(READY_WITHOUT_LIST_AFTER)).await;
    if shared.start_serving() {
        tracing::warn!("ready without an endpoint list: requests wait for it or are rejected");
    }
}

/// Follows the list of one service until an error occurs or no further updates are wanted.
async fn follow_service(
    service: SocketAddr,
    subscription: &watch::Receiver<Subscription>,
    state: &mut FollowState,
    shared: &SharedState,
) -> Result<(), DiscoveryError> {
    let mut connection = DiscoveryConnection::open(service, shared.memory.discovery_buffer.clone()).await?;
    let host = service.to_string();
    // The service answers the first request on a connection without waiting, so that an unresponsive service
    // is detected early.
    let mut wait = Duration::ZERO;
    loop {
        let Subscription { watch, full_lists } = *subscription.borrow();
        let after = state.generation.filter(|_| full_lists <= state.full_lists);
        let request = match after {
            Some(after) if watch => encode_watch_request(&host, after, wait.as_millis() as u64),
            Some(_) => return Ok(()),
            None => encode_list_request(&host),
        };
        let answer_timeout = match state.basis {
            ListBasis::Missing => FIRST_ANSWER_TIMEOUT,
            _ if after.is_some() => wait + ANSWER_TIMEOUT,
            _ => ANSWER_TIMEOUT,
        };
        let requested_at = Instant::now();
        let limits = shared.config.list_limits;
        let requesting = connection.request(&request, limits);
        let list = timeout(answer_timeout, requesting).await.map_err(|_| DiscoveryError::AnswerTimeout)??;
        if after.is_none() {
            state.full_lists = full_lists;
            if list.scope != Scope::Full {
                return Err(DiscoveryError::NotFull);
            }
        }
        if std::mem::take(&mut state.is_down) {
            tracing::info!("discovery service answers again");
        }
        let is_update = after != Some(list.generation) || !list.entries.is_empty();
        state.generation = Some(list.generation);
        state.basis = ListBasis::Received;
        if is_update {
            publish(list, after, shared);
        } else if !wait.is_zero() && requested_at.elapsed() < RETRY_DELAY {
            // A service that answers without waiting must not be polled in a tight loop; the next request
            // continues the watch.
            sleep(RETRY_DELAY).await;
        }
        wait = WATCH_WAIT;
    }
}

/// Publishes a list, first to attempts that are about to be sent, then to the owner.
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
