//! The interface of the store to a file system.

use std::io;

/// Named files in one directory. Written data may be lost in a crash until it is synced.
pub trait Disk: Send {
    /// Returns the names of all files.
    ///
    /// # Errors
    /// When the directory can't be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    /// When the file doesn't exist or can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends bytes to a file, which is created if it doesn't exist.
    ///
    /// # Errors
    /// When the bytes can't be written; some of them may have been appended.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes a file durable: its name and all of its content survive a crash.
    ///
    /// # Errors
    /// When the file may not be durable; what is on the disk is then unknown.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Truncates a file to a length in bytes.
    ///
    /// # Errors
    /// When the file can't be truncated.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Durably renames a file, replacing a file that has the new name.
    ///
    /// # Errors
    /// When the rename may not be durable; the file may then have either name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// When the file doesn't exist or can't be removed.
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
