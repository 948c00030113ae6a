//! An in-memory disk with fault injection, for tests of code that uses a store.

use crate::disk::Disk;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
struct File {
    bytes: Vec<u8>,
    /// The number of bytes, from the start of the file, that survive a crash.
    synced_bytes: usize,
}

/// The faults to inject; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The disk crashes in the middle of this write operation, counted from 0 since the faults were set.
    pub crash_at: Option<u64>,
    /// Maximum total size of all files.
    pub capacity_bytes: Option<usize>,
    /// Each write operation fails.
    pub read_only: bool,
    /// Each sync fails, so that unsynced bytes may be lost in a crash.
    pub sync_fails: bool,
    /// A rename takes effect but reports an error, as when the sync of the directory fails afterwards.
    pub rename_fails_late: bool,
    /// Delay before each write operation.
    pub delay: Duration,
}

#[derive(Debug, Default)]
struct DiskState {
    files: BTreeMap<String, File>,
    faults: Faults,
    write_operations: u64,
    crashed: bool,
}

/// An in-memory disk with [`Faults`]. Clones share their files and faults.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk {
    state: Arc<Mutex<DiskState>>,
}

/// How many of the unsynced bytes of a file survive a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsynced {
    /// None of them.
    Lost,
    /// All of them.
    Kept,
    /// The first half of them.
    Half,
}

impl FaultyDisk {
    fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults and resets the count of write operations.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        state.faults = faults;
        state.write_operations = 0;
    }

    /// The number of write operations since the faults were set.
    pub fn operations(&self) -> u64 {
        self.lock().write_operations
    }

    /// Whether the disk has crashed; after a crash every write operation fails.
    pub fn has_crashed(&self) -> bool {
        self.lock().crashed
    }

    /// Returns a copy of the disk as it is after a crash and a restart, without faults.
    pub fn after_crash(&self, unsynced: Unsynced) -> FaultyDisk {
        let mut files = self.lock().files.clone();
        for file in files.values_mut() {
            let unsynced_bytes = file.bytes.len() - file.synced_bytes;
            let surviving_bytes = match unsynced {
                Unsynced::Lost => 0,
                Unsynced::Kept => unsynced_bytes,
                Unsynced::Half => unsynced_bytes / 2,
            };
            file.bytes.truncate(file.synced_bytes + surviving_bytes);
            file.synced_bytes = file.bytes.len();
        }
        FaultyDisk { state: Arc::new(Mutex::new(DiskState { files, ..DiskState::default() })) }
    }

    /// Changes the bytes of a file directly, to simulate disk corruption.
    pub fn corrupt(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        if let Some(file) = self.lock().files.get_mut(name) {
            change(&mut file.bytes);
            file.synced_bytes = file.bytes.len();
        }
    }

    /// The total size of all files, in bytes.
    pub fn bytes(&self) -> usize {
        self.lock().files.values().map(|f| f.bytes.len()).sum()
    }

    /// Begins a write operation. The returned flag is set if the disk crashes in the middle of it.
    fn begin_write(&self) -> io::Result<(MutexGuard<'_, DiskState>, bool)> {
        let delay = self.lock().faults.delay;
        std::thread::sleep(delay);
        let mut state = self.lock();
        if state.crashed {
            return Err(io::Error::other("the disk has crashed"));
        }
        if state.faults.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        let crashes = state.faults.crash_at == Some(state.write_operations);
        state.write_operations += 1;
        state.crashed = crashes;
        Ok((state, crashes))
    }
}

fn crash_error() -> io::Error {
    io::Error::other("the disk crashed in the middle of the operation")
}

impl Disk for FaultyDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.lock().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.lock().files.get(name).map(|f| f.bytes.clone()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let (mut state, crashes) = self.begin_write()?;
        let used: usize = state.files.values().map(|f| f.bytes.len()).sum();
        let capacity = state.faults.capacity_bytes.unwrap_or(usize::MAX);
        let free = capacity.saturating_sub(used);
        let attempted = if crashes { bytes.len() / 2 } else { bytes.len() };
        let written = attempted.min(free);
        state.files.entry(name.to_owned()).or_default().bytes.extend_from_slice(&bytes[..written]);
        match (crashes, written < bytes.len()) {
            (true, _) => Err(crash_error()),
            (false, true) => Err(io::ErrorKind::StorageFull.into()),
            (false, false) => Ok(()),
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let (mut state, crashes) = self.begin_write()?;
        if crashes {
            return Err(crash_error());
        }
        if state.faults.sync_fails {
            return Err(io::Error::other("device error"));
        }
        let file = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.synced_bytes = file.bytes.len();
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let (mut state, crashes) = self.begin_write()?;
        if crashes {
            return Err(crash_error());
        }
        let file = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.bytes.truncate(usize::try_from(length).unwrap_or(usize::MAX));
        file.synced_bytes = file.synced_bytes.min(file.bytes.len());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let (mut state, crashes) = self.begin_write()?;
        // A rename is atomic, so the crash happens before it.
        if crashes {
            return Err(crash_error());
        }
        let file = state.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.files.insert(to.to_owned(), file);
        if state.faults.rename_fails_late {
            return Err(io::Error::other("device error"));
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let (mut state, crashes) = self.begin_write()?;
        if crashes {
            return Err(crash_error());
        }
        state.files.remove(name).map(|_| ()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}
