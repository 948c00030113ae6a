//! A directory on a disk with a fault: a router is started on one to see whether it notices.

use gaparch_store::{Disk, StateDirectory};
use std::collections::BTreeMap;
use std::io;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A fault of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// Every sync succeeds, but nothing that the process writes survives its kill.
    Forget,
    /// Only the first half of each write survives.
    Torn,
    /// One bit of each file is flipped when it is read.
    Flip,
    /// Two writes in a row reach the disk in reverse order, and the last one not at all.
    Swapped,
    /// Files are read as they were when the previous process started.
    Stale,
    /// No space is left.
    Full,
    /// The device reports an error for each change.
    Broken,
    /// Nothing may be written.
    ReadOnly,
    /// Each change and sync takes this long.
    Slow(Duration),
}

/// The names of the faults in scenarios and commands.
pub const DISK_FAULT_NAMES: &str = "forget, torn, flip, swapped, stale, full, broken, read-only, slow";

/// A text that does not name a disk fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{text}' is no disk fault: {DISK_FAULT_NAMES}")]
pub struct UnknownDiskFault {
    /// The text.
    pub text: String,
}

impl FromStr for DiskFault {
    type Err = UnknownDiskFault;

    fn from_str(text: &str) -> Result<DiskFault, UnknownDiskFault> {
        Ok(match text {
            "forget" => DiskFault::Forget,
            "torn" => DiskFault::Torn,
            "flip" => DiskFault::Flip,
            "swapped" => DiskFault::Swapped,
            "stale" => DiskFault::Stale,
            "full" => DiskFault::Full,
            "broken" => DiskFault::Broken,
            "read-only" => DiskFault::ReadOnly,
            "slow" => DiskFault::Slow(Duration::from_secs(3)),
            _ => return Err(UnknownDiskFault { text: text.to_owned() }),
        })
    }
}

#[derive(Debug, Default)]
struct Overlay {
    /// Files as the process sees them, where the disk has something else; `None`: removed.
    files: BTreeMap<String, Option<Vec<u8>>>,
    /// Writes that reach the disk after the next one to the same file.
    delayed_writes: BTreeMap<String, Vec<u8>>,
}

/// The file in which a disk with stale reads stores how long each file was.
const LENGTHS_FILE: &str = "lengths-of-old";

/// A directory on a disk with a fault. Clones are the same directory.
#[derive(Clone)]
pub struct FaultyDirectory {
    directory: Arc<Mutex<StateDirectory>>,
    overlay: Arc<Mutex<Overlay>>,
    fault: DiskFault,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FaultyDirectory {
    /// A directory with this fault.
    ///
    /// # Errors
    /// When the directory can't be read or written.
    pub fn new(mut directory: StateDirectory, fault: DiskFault) -> io::Result<FaultyDirectory> {
        let mut overlay = Overlay::default();
        if fault == DiskFault::Stale {
            let known = directory.read(LENGTHS_FILE).unwrap_or_default();
            let (mut lengths, known) = (String::new(), String::from_utf8_lossy(&known).into_owned());
            for name in directory.list()?.into_iter().filter(|name| name != LENGTHS_FILE) {
                let bytes = directory.read(&name)?;
                let old = known.lines().find_map(|l| l.strip_prefix(&format!("{name} "))?.parse().ok());
                lengths.push_str(&format!("{name} {}\n", bytes.len()));
                let old: usize = old.unwrap_or(bytes.len()).min(bytes.len());
                overlay.files.insert(name, Some(bytes[..old].to_vec()));
            }
            if directory.read(LENGTHS_FILE).is_ok() {
                directory.remove(LENGTHS_FILE)?;
            }
            directory.append(LENGTHS_FILE, lengths.as_bytes())?;
        }
        Ok(FaultyDirectory {
            directory: Arc::new(Mutex::new(directory)),
            overlay: Arc::new(Mutex::new(overlay)),
            fault,
        })
    }

    /// Whether the process sees its changes although the disk gets something else.
    fn is_overlaid(&self) -> bool {
        matches!(self.fault, DiskFault::Forget | DiskFault::Torn | DiskFault::Swapped | DiskFault::Stale)
    }

    /// Waits or fails as the fault wants for each change.
    fn begin_change(&self) -> io::Result<()> {
        match self.fault {
            DiskFault::Full => Err(io::ErrorKind::StorageFull.into()),
            DiskFault::Broken => Err(io::Error::from_raw_os_error(5)),
            DiskFault::ReadOnly => Err(io::ErrorKind::ReadOnlyFilesystem.into()),
            DiskFault::Slow(time) => {
                std::thread::sleep(time);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn change(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) -> io::Result<()> {
        let mut bytes = match self.read(name) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
            read => read?,
        };
        change(&mut bytes);
        lock(&self.overlay).files.insert(name.to_owned(), Some(bytes));
        Ok(())
    }
}

impl Disk for FaultyDirectory {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = lock(&self.directory).list()?;
        for (name, shown) in &lock(&self.overlay).files {
            names.retain(|n| n != name);
            names.extend(shown.is_some().then(|| name.clone()));
        }
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        if let Some(shown) = lock(&self.overlay).files.get(name) {
            return shown.clone().ok_or_else(|| io::ErrorKind::NotFound.into());
        }
        let mut bytes = lock(&self.directory).read(name)?;
        if self.fault == DiskFault::Flip {
            let middle = bytes.len() * 3 / 4;
            bytes.iter_mut().skip(middle).take(1).for_each(|byte| *byte ^= 0x10);
        }
        Ok(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.begin_change()?;
        if !self.is_overlaid() {
            return lock(&self.directory).append(name, bytes);
        }
        match self.fault {
            DiskFault::Torn => lock(&self.directory).append(name, &bytes[..bytes.len() / 2])?,
            DiskFault::Stale => lock(&self.directory).append(name, bytes)?,
            DiskFault::Swapped => {
                let before = lock(&self.overlay).delayed_writes.remove(name);
                match before {
                    Some(before) => {
                        lock(&self.directory).append(name, bytes)?;
                        lock(&self.directory).append(name, &before)?;
                    }
                    None => drop(lock(&self.overlay).delayed_writes.insert(name.to_owned(), bytes.to_vec())),
                }
            }
            _ => {}
        }
        self.change(name, |all| all.extend_from_slice(bytes))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.begin_change()?;
        match self.is_overlaid() {
            true => Ok(()),
            false => lock(&self.directory).sync(name),
        }
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.begin_change()?;
        if !self.is_overlaid() {
            return lock(&self.directory).truncate(name, length);
        }
        self.change(name, |all| all.truncate(usize::try_from(length).unwrap_or(usize::MAX)))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.begin_change()?;
        if self.fault != DiskFault::Forget {
            // A file that was never written does not exist yet, and is created here.
            lock(&self.directory).append(from, &[])?;
            lock(&self.directory).rename(from, to)?;
            let mut shown = lock(&self.overlay);
            if let Some(waiting) = shown.delayed_writes.remove(from) {
                shown.delayed_writes.insert(to.to_owned(), waiting);
            }
        }
        if self.is_overlaid() {
            let bytes = match lock(&self.overlay).files.get(from).cloned().flatten() {
                Some(bytes) => bytes,
                None => lock(&self.directory).read(from)?,
            };
            let mut shown = lock(&self.overlay);
            shown.files.insert(to.to_owned(), Some(bytes));
            shown.files.insert(from.to_owned(), None);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.begin_change()?;
        if self.is_overlaid() {
            lock(&self.overlay).files.insert(name.to_owned(), None);
            return Ok(());
        }
        lock(&self.directory).remove(name)
    }
}

#[cfg(test)]
#[path = "faulty_directory_tests.rs"]
mod tests;
