//! A directory on a file system, locked by this process.

use crate::disk::Disk;
use crate::StoreError;
use std::collections::{HashMap, HashSet};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const LOCK_FILE: &str = "lock";
const DIRECTORY_MODE: u32 = 0o700;
const FILE_MODE: u32 = 0o600;

/// A directory that is locked against other processes until the last value that shares it is dropped.
#[derive(Debug)]
pub struct StateDirectory {
    path: PathBuf,
    /// The open lock file; the lock is released when the last clone is dropped.
    lock: Arc<File>,
    open_files: HashMap<String, File>,
    /// Files created since the last sync of the directory: their directory entries may not survive a crash
    /// yet.
    created_unsynced: HashSet<String>,
}

impl StateDirectory {
    /// Creates the directory with mode 0700 if it doesn't exist, and locks it.
    ///
    /// # Errors
    /// [`StoreError::InUse`] if another process has locked the directory, otherwise the error of the file
    /// system.
    pub fn open(path: &Path) -> Result<StateDirectory, StoreError> {
        let io_error = |source| StoreError::io(path.display().to_string(), source);
        fs::DirBuilder::new().recursive(true).mode(DIRECTORY_MODE).create(path).map_err(io_error)?;
        let mut lock_file = open_lock_file(&path.join(LOCK_FILE)).map_err(io_error)?;
        match lock_file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let process = read_lock_holder(&mut lock_file);
                return Err(StoreError::InUse { directory: path.display().to_string(), process });
            }
            Err(TryLockError::Error(source)) => return Err(io_error(source)),
        }
        // The process id only serves the error message above, so a full disk must not make the directory
        // unusable.
        let _ = lock_file.set_len(0).and_then(|()| writeln!(lock_file, "{}", std::process::id()));
        Ok(StateDirectory::new(path.to_owned(), Arc::new(lock_file)))
    }

    /// Returns another handle to the directory that shares its lock.
    pub fn share(&self) -> StateDirectory {
        StateDirectory::new(self.path.clone(), Arc::clone(&self.lock))
    }

    fn new(path: PathBuf, lock: Arc<File>) -> StateDirectory {
        StateDirectory { path, lock, open_files: HashMap::new(), created_unsynced: HashSet::new() }
    }

    /// Returns a file opened for appending, which is created if it doesn't exist.
    fn open_file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open_files.contains_key(name) {
            let path = self.path.join(name);
            if !path.exists() {
                self.created_unsynced.insert(name.to_owned());
            }
            let file = OpenOptions::new().append(true).create(true).mode(FILE_MODE).open(path)?;
            self.open_files.insert(name.to_owned(), file);
        }
        self.open_files.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// Opens the lock file, for reading only where it can't be written: the stored data of a read-only file
/// system stays readable.
fn open_lock_file(path: &Path) -> io::Result<File> {
    let mut options = OpenOptions::new();
    options.read(true).write(true).create(true).truncate(false).mode(FILE_MODE);
    options.open(path).or_else(|_| File::open(path))
}

/// Returns the id of the process that holds the lock, if the lock file has it.
fn read_lock_holder(lock_file: &mut File) -> Option<String> {
    let mut text = String::new();
    lock_file.read_to_string(&mut text).ok()?;
    let process = text.trim();
    (!process.is_empty()).then(|| process.to_owned())
}

impl Disk for StateDirectory {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.extend(entry.file_name().into_string().ok());
            }
        }
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_file(name)?.sync_data()?;
        if self.created_unsynced.contains(name) {
            self.sync_directory()?;
            self.created_unsynced.clear();
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open_file(name)?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_files.remove(from);
        self.open_files.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.sync_directory()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        fs::remove_file(self.path.join(name))
    }
}
