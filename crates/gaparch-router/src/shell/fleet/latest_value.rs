//! Tasks that store the latest value of a cell: values that are replaced before they could be written are
//! skipped.

use crate::shell::storage::{run_blocking, StorageFailure, StorageReporter, RETRY_INTERVAL};
use gaparch_store::{Disk, Journal, JournalContents, StoreError};
use std::sync::Arc;
use tokio::sync::watch;

/// A journal on a disk that may not be readable; a router starts all the same.
pub(super) struct OptionalJournal(Result<Journal<Box<dyn Disk>>, Arc<StoreError>>);

impl OptionalJournal {
    /// Opens a journal and returns what was found in it, if it can be read.
    pub fn open(disk: Box<dyn Disk>, name: &str, schema: u16) -> (OptionalJournal, JournalContents) {
        match Journal::open(disk, name, schema) {
            Ok((journal, found)) => (OptionalJournal(Ok(journal)), found),
            Err(error) => (OptionalJournal(Err(Arc::new(error))), JournalContents::default()),
        }
    }

    /// The journal.
    ///
    /// # Errors
    /// Why it could not be opened.
    pub fn get(&mut self) -> Result<&mut Journal<Box<dyn Disk>>, StorageFailure> {
        self.0.as_mut().map_err(|error| StorageFailure::Store(Arc::clone(error)))
    }
}

/// Something that stores one value; a later value takes the place of the one before.
pub(super) trait LatestValueStore: Send + 'static {
    /// What is stored.
    type Value: Clone + Send + Sync + 'static;

    /// Writes a value to disk.
    fn write(&mut self, value: &Self::Value) -> Result<(), StorageFailure>;
}

/// Stores the latest value each time that it changes, and retries where that fails. `on_stored` gets what was
/// stored.
pub(super) async fn store_latest<S: LatestValueStore>(
    mut store: S,
    mut wanted: watch::Receiver<S::Value>,
    mut reporter: StorageReporter,
    on_stored: impl Fn(S::Value),
) {
    loop {
        let latest = wanted.borrow_and_update().clone();
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
            changed = wanted.changed() => if changed.is_err() { return },
            () = retry, if failure.is_some() => {}
        }
    }
}
