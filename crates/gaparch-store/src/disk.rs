//! A folder of files, as far as the store needs one.

use crate::StoreError;
use std::collections::{HashMap, HashSet};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Files by name, in one folder. All that is written can be lost until it is synced.
pub trait Disk: Send {
    fn list(&self) -> io::Result<Vec<String>>;

    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Adds to the end; the file is made if there is none. After an error part of it may be there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// All of the file is on the disk when it returns.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Replaces what has the new name; on the disk when it returns.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    fn remove(&mut self, name: &str) -> io::Result<()>;
}

impl Disk for Box<dyn Disk> {
    fn list(&self) -> io::Result<Vec<String>> {
        self.as_ref().list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.as_ref().read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.as_mut().append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.as_mut().sync(name)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.as_mut().truncate(name, length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.as_mut().rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.as_mut().remove(name)
    }
}

const LOCK: &str = "lock";

/// A real folder that this process alone uses until it is dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The lock goes with the last of those that share it.
    lock: Arc<File>,
    open: HashMap<String, File>,
    /// Files that were made since the folder was last synced: their names may not be on the disk yet.
    made: HashSet<String>,
}

impl Folder {
    /// Makes the folder if there is none (mode 0700) and locks it.
    ///
    /// # Errors
    /// [`StoreError::InUse`] if another process has it, else what the system says.
    pub fn open(path: &Path) -> Result<Folder, StoreError> {
        let wrong = |source| StoreError::io(path.display().to_string(), source);
        fs::DirBuilder::new().recursive(true).mode(0o700).create(path).map_err(wrong)?;
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false).mode(0o600);
        // On a disk that is read only now, what was kept can still be read.
        let lock = options.open(path.join(LOCK)).or_else(|_| File::open(path.join(LOCK)));
        let mut lock = lock.map_err(wrong)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let mut by = String::new();
                // Who has it is only told where it can be read.
                let read = lock.read_to_string(&mut by).is_ok();
                let by = Some(by.trim().to_owned()).filter(|by| read && !by.is_empty());
                return Err(StoreError::InUse { folder: path.display().to_string(), by });
            }
            Err(TryLockError::Error(source)) => return Err(wrong(source)),
        }
        // A full disk must not keep a router from its state: the number is only for the message above.
        let _ = lock.set_len(0).and_then(|()| writeln!(lock, "{}", std::process::id()));
        Ok(Folder { path: path.to_owned(), lock: Arc::new(lock), open: HashMap::new(), made: HashSet::new() })
    }

    /// The same folder for another part of the program, under the same lock.
    pub fn share(&self) -> Folder {
        Folder {
            path: self.path.clone(),
            lock: Arc::clone(&self.lock),
            open: HashMap::new(),
            made: HashSet::new(),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let path = self.path.join(name);
            if !path.exists() {
                self.made.insert(name.to_owned());
            }
            let file = OpenOptions::new().append(true).create(true).mode(0o600).open(path)?;
            self.open.insert(name.to_owned(), file);
        }
        self.open.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl Disk for Folder {
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
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()?;
        if self.made.contains(name) {
            self.sync_folder()?;
            self.made.clear();
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.sync_folder()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }
}
