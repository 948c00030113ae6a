//! A disk in memory that fails on purpose, for tests of whatever stands on the store.

use crate::disk::Disk;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
struct File {
    bytes: Vec<u8>,
    /// So many of them are on the disk for sure.
    synced: usize,
}

/// What is wrong with a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The power goes in the middle of the operation of this number, counted from 0 and from now on.
    pub crash_at: Option<u64>,
    /// Room for so many bytes in all.
    pub room: Option<usize>,
    pub read_only: bool,
    /// Each sync fails, and leaves what it should have kept in doubt.
    pub sync_fails: bool,
    /// A rename takes effect, and fails all the same: what comes after it, as the folder's sync, went wrong.
    pub rename_fails_late: bool,
    /// Each write and sync takes so long.
    pub slow: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    files: BTreeMap<String, File>,
    faults: Faults,
    operations: u64,
    crashed: bool,
}

/// Clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk {
    inner: Arc<Mutex<Inner>>,
}

/// What is left of bytes that were written but not synced when the power went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsynced {
    Lost,
    Kept,
    /// The first half of them.
    Half,
}

impl FaultyDisk {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set(&self, faults: Faults) {
        let mut inner = self.lock();
        inner.faults = faults;
        inner.operations = 0;
    }

    /// Operations that change something, since the faults were set.
    pub fn operations(&self) -> u64 {
        self.lock().operations
    }

    pub fn has_crashed(&self) -> bool {
        self.lock().crashed
    }

    /// The disk as the next start finds it, without faults.
    pub fn after_crash(&self, unsynced: Unsynced) -> FaultyDisk {
        let mut files = self.lock().files.clone();
        for file in files.values_mut() {
            let more = file.bytes.len() - file.synced;
            let kept = match unsynced {
                Unsynced::Lost => 0,
                Unsynced::Kept => more,
                Unsynced::Half => more / 2,
            };
            file.bytes.truncate(file.synced + kept);
            file.synced = file.bytes.len();
        }
        FaultyDisk { inner: Arc::new(Mutex::new(Inner { files, ..Inner::default() })) }
    }

    /// Changes bytes behind the store's back.
    pub fn harm(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        if let Some(file) = self.lock().files.get_mut(name) {
            change(&mut file.bytes);
            file.synced = file.bytes.len();
        }
    }

    pub fn bytes(&self) -> usize {
        self.lock().files.values().map(|f| f.bytes.len()).sum()
    }

    /// Begins an operation that changes something; what it has to do if the power goes in the middle of it.
    fn begin(&self) -> io::Result<(MutexGuard<'_, Inner>, bool)> {
        let slow = self.lock().faults.slow;
        std::thread::sleep(slow);
        let mut inner = self.lock();
        if inner.crashed {
            return Err(io::Error::other("the power is off"));
        }
        if inner.faults.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        let crashes = inner.faults.crash_at == Some(inner.operations);
        inner.operations += 1;
        inner.crashed = crashes;
        Ok((inner, crashes))
    }
}

fn off() -> io::Error {
    io::Error::other("the power went")
}

impl Disk for FaultyDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.lock().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.lock().files.get(name).map(|f| f.bytes.clone()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let (mut inner, crashes) = self.begin()?;
        let used: usize = inner.files.values().map(|f| f.bytes.len()).sum();
        let room = inner.faults.room.map_or(usize::MAX, |room| room.saturating_sub(used));
        let written = bytes.len().min(room).min(if crashes { bytes.len() / 2 } else { usize::MAX });
        inner.files.entry(name.to_owned()).or_default().bytes.extend_from_slice(&bytes[..written]);
        match (crashes, written < bytes.len()) {
            (true, _) => Err(off()),
            (false, true) => Err(io::ErrorKind::StorageFull.into()),
            (false, false) => Ok(()),
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let (mut inner, crashes) = self.begin()?;
        if crashes {
            return Err(off());
        }
        if inner.faults.sync_fails {
            return Err(io::Error::other("an error of the device"));
        }
        let file = inner.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.synced = file.bytes.len();
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let (mut inner, crashes) = self.begin()?;
        if crashes {
            return Err(off());
        }
        let file = inner.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.bytes.truncate(usize::try_from(length).unwrap_or(usize::MAX));
        file.synced = file.synced.min(file.bytes.len());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let (mut inner, crashes) = self.begin()?;
        // It is atomic: the power goes before it.
        if crashes {
            return Err(off());
        }
        let file = inner.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        inner.files.insert(to.to_owned(), file);
        if inner.faults.rename_fails_late {
            return Err(io::Error::other("an error of the device"));
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let (mut inner, crashes) = self.begin()?;
        if crashes {
            return Err(off());
        }
        inner.files.remove(name).map(|_| ()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}
