//! Shared by the tasks that write to disk: runs blocking work on another thread, and reports storage
//! failures.

use super::ops::BroadcasterMessage;
use gaparch_store::StoreError;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;

/// Delay before a failed write is retried.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Why a store can't be written.
#[derive(Clone, Debug, Error)]
pub(super) enum StorageFailure {
    /// A write failed, or the store could not be opened.
    #[error(transparent)]
    Store(Arc<StoreError>),
    /// The file could not be read at the start, so it is not written to.
    #[error("the folder can't be read")]
    Unreadable,
    /// The blocking task that held the journal has panicked.
    #[error("the journal is lost")]
    JournalLost,
    /// The blocking task that wrote has panicked.
    #[error("{0}")]
    Task(Arc<tokio::task::JoinError>),
    /// The history's disk failed; records that exceeded its buffer were dropped.
    #[error("{error}; {dropped} records were left out so far")]
    History {
        /// The error of the store.
        error: Arc<StoreError>,
        /// Records dropped since the start.
        dropped: u64,
    },
}

impl From<StoreError> for StorageFailure {
    fn from(error: StoreError) -> StorageFailure {
        StorageFailure::Store(Arc::new(error))
    }
}

/// The event broadcaster has ended, which happens when the router shuts down.
#[derive(Clone, Copy, Debug, Error)]
#[error("the event broadcaster has ended")]
pub(super) struct BroadcasterEnded;

/// Reports to the event broadcaster whether a store can be written and why not, each time that this changes.
pub(super) struct StorageReporter {
    store: &'static str,
    messages: mpsc::Sender<BroadcasterMessage>,
    /// The text of the last reported failure, or `Some(None)` if no failure; `None` before the first report.
    reported: Option<Option<String>>,
}

impl StorageReporter {
    /// `store` describes the stored data to operators.
    pub fn new(store: &'static str, messages: mpsc::Sender<BroadcasterMessage>) -> StorageReporter {
        StorageReporter { store, messages, reported: None }
    }

    /// Whether this state differs from the one reported last.
    pub fn has_changed(&self, failure: Option<&StorageFailure>) -> bool {
        self.reported != Some(failure.map(ToString::to_string))
    }

    /// Reports a failure, or that there is none, if that differs from the last report.
    pub async fn report(&mut self, failure: Option<&StorageFailure>) -> Result<(), BroadcasterEnded> {
        if !self.has_changed(failure) {
            return Ok(());
        }
        let failure = failure.map(ToString::to_string);
        let message = BroadcasterMessage::StorageStatus { store: self.store, failure: failure.clone() };
        self.messages.send(message).await.map_err(|_| BroadcasterEnded)?;
        self.reported = Some(failure);
        Ok(())
    }
}

/// Runs `work` on a thread for blocking work, since a disk access may take seconds, and returns the value
/// with the result.
///
/// # Errors
/// When `work` panics; the value is lost then.
pub(super) async fn run_blocking<T: Send + 'static, R: Send + 'static>(
    mut value: T,
    work: impl FnOnce(&mut T) -> R + Send + 'static,
) -> Result<(T, R), tokio::task::JoinError> {
    let task = move || {
        let result = work(&mut value);
        (value, result)
    };
    tokio::task::spawn_blocking(task).await
}
