//! Helpers shared by the unit tests: the state of a router whose owner is the test itself.

use crate::messages::OwnerMessage;
use crate::shared_state::SharedState;
use gaparch_net::Clock;
use gaparch_platform_protocol::config::RouterConfig;
use gaparch_testbed::platform::settings;
use serde_json::json;
use std::sync::Arc;
use tokio::sync::mpsc::{self, UnboundedReceiver};

/// Returns the shared state of a router whose owner queue holds `max_queued_requests`, and the receiving end
/// of that queue.
pub(crate) fn shared_state(
    max_queued_requests: usize,
) -> (Arc<SharedState>, UnboundedReceiver<OwnerMessage>) {
    let config =
        json!({"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings()});
    let config =
        RouterConfig::from_json(config.to_string().as_bytes(), |_| None).expect("valid configuration");
    let (owner, messages) = mpsc::unbounded_channel();
    (Arc::new(SharedState::new(config, Clock::default(), owner, max_queued_requests)), messages)
}
