//! Reload of the configuration while a router runs.

use super::{load_config, log_diagnostics};
use crate::shared_state::SharedState;
use gaparch_platform_protocol::config::RouterConfig;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// How long a configuration that can't be read is retried. The old discovery service closes 1.5 s after the order.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between two attempts.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reloads of a configuration file.
pub(super) struct Reload {
    file: PathBuf,
    shared: Arc<SharedState>,
    discovery: watch::Sender<SocketAddr>,
    /// Until when it is retried, while a reload is ordered that could not be done.
    retry_until: Option<Instant>,
}

impl Reload {
    pub fn new(file: PathBuf, shared: Arc<SharedState>, discovery: watch::Sender<SocketAddr>) -> Reload {
        Reload { file, shared, discovery, retry_until: None }
    }

    /// Starts a reload, in place of one that is retried.
    pub fn start(&mut self) {
        self.retry_until = Some(Instant::now() + RELOAD_TIMEOUT);
        self.attempt();
    }

    /// Waits for the next attempt; for ever, where there is none.
    pub async fn next_attempt_due(&self) {
        match self.retry_until {
            Some(_) => sleep(RELOAD_RETRY_DELAY).await,
            None => std::future::pending().await,
        }
    }

    /// Reads the file. One that can't be read now, or is still being written, may be sound in a moment: where it is not in
    /// time, the last configuration stays in force.
    pub fn attempt(&mut self) {
        match load_config(&self.file) {
            Ok(config) => {
                self.retry_until = None;
                self.apply(&config);
            }
            Err(error) if self.retry_until.is_none_or(|until| Instant::now() >= until) => {
                self.retry_until = None;
                tracing::error!(%error, "reload failed: the configuration stays as it was");
            }
            Err(error) => tracing::debug!(%error, "reload retried"),
        }
    }

    fn apply(&self, config: &RouterConfig) {
        tracing::info!(discovery = %config.discovery, "configuration reloaded");
        if config.settings.scheduler != self.shared.config.settings.scheduler {
            tracing::warn!("settings changed: they are applied at the next start");
            log_diagnostics(config);
        }
        self.discovery.send_replace(config.discovery);
    }
}
