//! What the store needs of a file system.

use std::io;

/// Files by name, in one directory. Whatever was written can be lost in a crash until it is synced.
pub trait Disk: Send {
    /// The names of all files.
    ///
    /// # Errors
    /// When the directory can't be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// All bytes of a file.
    ///
    /// # Errors
    /// When there is no such file, or it can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Adds bytes to the end of a file, which is made if there is none.
    ///
    /// # Errors
    /// When they can't be written; part of them may be there then.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes sure that all of a file survives a crash.
    ///
    /// # Errors
    /// When it may not; what is on the disk is unknown then.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Cuts a file to a length in bytes.
    ///
    /// # Errors
    /// When it can't be cut.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file in place of the one that has the new name, and makes sure that this survives a crash.
    ///
    /// # Errors
    /// When it may not survive; either name may be there then.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// When there is no such file, or it can't be removed.
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
