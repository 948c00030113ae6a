//! Stores the latest value of a watch channel; values that are replaced before they could be written are
//! skipped.

use crate::shell::storage::{run_blocking, StorageFailure, StorageReporter, RETRY_INTERVAL};
use gaparch_store::{Disk, Journal, JournalContents, StoreError};
use std::sync::Arc;
use tokio::sync::watch;

/// A journal that may not be readable, which does not prevent the router from starting.
pub(super) struct OptionalJournal(Result<Journal<Box<dyn Disk>>, Arc<StoreError>>);

impl OptionalJournal {
    /// Opens a journal and returns its contents, which are empty if it can't be read.
    pub fn open(disk: Box<dyn Disk>, name: &str, schema: u16) -> (OptionalJournal, JournalContents) {
        match Journal::open(disk, name, schema) {
            Ok((journal, found)) => (OptionalJournal(Ok(journal)), found),
            Err(error) => (OptionalJournal(Err(Arc::new(error))), JournalContents::default()),
        }
    }

    /// The journal.
    ///
    /// # Errors
    /// The error from opening it, if that failed.
    pub fn get(&mut self) -> Result<&mut Journal<Box<dyn Disk>>, StorageFailure> {
        self.0.as_mut().map_err(|error| StorageFailure::Store(Arc::clone(error)))
    }
}

/// A store of one value; each write replaces the previous value.
pub(super) trait LatestValueStore: Send + 'static {
    /// What is stored.
    type Value: Clone + Send + Sync + 'static;

    /// Writes a value to disk.
    fn write(&mut self, value: &Self::Value) -> Result<(), StorageFailure>;
}

/// Stores the latest value each time it changes, and retries failed writes. `on_stored` is called with each
/// stored value.
pub(super) async fn store_latest<S: LatestValueStore>(
    mut store: S,
    mut values: watch::Receiver<S::Value>,
    mut reporter: StorageReporter,
    on_stored: impl Fn(S::Value),
) {
    loop {
        let latest = values.borrow_and_update().clone();
        let value = latest.clone();
        let Ok((back, result)) = run_blocking(store, move |store| store.write(&value)).await else { return };
        store = back;
        let failure = result.err();
        if failure.is_none() {
            on_stored(latest);
        }
        if reporter.report(failure.as_ref()).await.is_err() {
            return;
        }
        let retry = tokio::time::sleep(RETRY_INTERVAL);
        tokio::select! {
            changed = values.changed() => if changed.is_err() { return },
            () = retry, if failure.is_some() => {}
        }
    }
}
