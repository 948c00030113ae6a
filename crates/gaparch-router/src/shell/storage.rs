//! Shared by the tasks that write to disk: blocking work on a thread of its own, and reports of what is not being stored.

use super::ops::BroadcasterMessage;
use gaparch_store::StoreError;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;

/// Time after which a write that failed is tried again.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Why something could not be written to disk.
#[derive(Clone, Debug, Error)]
pub(super) enum StorageFailure {
    /// The store refused a write, or could not be opened.
    #[error(transparent)]
    Store(Arc<StoreError>),
    /// The file could not be read at the start, and is not written to since.
    #[error("the folder can't be read")]
    Unreadable,
    /// The thread that had the journal did not give it back.
    #[error("the journal is lost")]
    JournalLost,
    /// The thread that wrote has panicked.
    #[error("{0}")]
    Task(Arc<tokio::task::JoinError>),
    /// The history's disk failed; records that found no room were dropped.
    #[error("{error}; {dropped} records were left out so far")]
    History {
        /// What the store says.
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

/// The event broadcaster has ended, as it does with the router.
#[derive(Clone, Copy, Debug, Error)]
#[error("the event broadcaster has ended")]
pub(super) struct BroadcasterEnded;

/// Reports to the event broadcaster whether one store can be written, each time that this changes.
pub(super) struct StorageReporter {
    store: &'static str,
    messages: mpsc::Sender<BroadcasterMessage>,
    /// The failure reported last, in words; the outer `None`: nothing was reported yet.
    reported: Option<Option<String>>,
}

impl StorageReporter {
    /// `store`: what is stored there, as operators know it.
    pub fn new(store: &'static str, messages: mpsc::Sender<BroadcasterMessage>) -> StorageReporter {
        StorageReporter { store, messages, reported: None }
    }

    /// Whether that failure, or that there is none, was not reported yet.
    pub fn is_news(&self, failure: Option<&StorageFailure>) -> bool {
        self.reported != Some(failure.map(ToString::to_string))
    }

    /// Reports a failure, or that there is none, if that is news.
    pub async fn report(&mut self, failure: Option<&StorageFailure>) -> Result<(), BroadcasterEnded> {
        if !self.is_news(failure) {
            return Ok(());
        }
        let failure = failure.map(ToString::to_string);
        let message = BroadcasterMessage::StorageStatus { store: self.store, failure: failure.clone() };
        self.messages.send(message).await.map_err(|_| BroadcasterEnded)?;
        self.reported = Some(failure);
        Ok(())
    }
}

/// Does blocking work on a value on a thread where it holds up no other task; a disk may take seconds.
///
/// # Errors
/// When the work panicked: the value is lost then.
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
