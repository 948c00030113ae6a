//! Reloading the configuration of a running router.

use super::{load_config, log_diagnostics, Command};
use crate::shared_state::SharedState;
use gaparch_platform_protocol::config::RouterConfig;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, Instant};

/// How long reading the configuration is retried. The old discovery service closes 1.5 s after the reload
/// command.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between two attempts to read the configuration.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reloads a configuration file, with retries.
pub(super) struct Reload {
    file: PathBuf,
    shared: Arc<SharedState>,
    discovery: watch::Sender<SocketAddr>,
    /// When to give up on the pending reload; `None` if no reload is pending.
    retry_until: Option<Instant>,
}

impl Reload {
    pub fn new(file: PathBuf, shared: Arc<SharedState>, discovery: watch::Sender<SocketAddr>) -> Reload {
        Reload { file, shared, discovery, retry_until: None }
    }

    /// Carries out reload commands, and goes on with a pending reload, for as long as this is awaited. Open requests
    /// are still sent to workers during a shutdown, so the endpoint list has to be that of the current discovery
    /// service. Further shutdown commands have no effect.
    pub async fn follow(mut self, mut commands: mpsc::Receiver<Command>) -> Infallible {
        let mut is_open = true;
        loop {
            tokio::select! {
                command = commands.recv(), if is_open => match command {
                    Some(Command::Reload) => self.start(),
                    Some(Command::Shutdown) => {}
                    None => is_open = false,
                },
                () = self.next_attempt_due() => self.attempt(),
            }
        }
    }

    /// Starts a reload, replacing a pending one.
    pub fn start(&mut self) {
        self.retry_until = Some(Instant::now() + RELOAD_TIMEOUT);
        self.attempt();
    }

    /// Waits until the next attempt is due; never completes if no reload is pending.
    pub async fn next_attempt_due(&self) {
        match self.retry_until {
            Some(_) => sleep(RELOAD_RETRY_DELAY).await,
            None => std::future::pending().await,
        }
    }

    /// Reads the file and applies it. The file may be temporarily unreadable or still being written, so a
    /// failure is retried. If no attempt succeeds in time, the previous configuration stays in force.
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
            Err(error) => tracing::debug!(%error, "reload failed; retrying"),
        }
    }

    fn apply(&self, config: &RouterConfig) {
        tracing::info!(discovery = %config.discovery, "configuration reloaded");
        if config.settings.scheduler != self.shared.config.settings.scheduler {
            tracing::warn!("settings changed; restart the router to apply them");
            log_diagnostics(config);
        }
        self.discovery.send_replace(config.discovery);
    }
}
