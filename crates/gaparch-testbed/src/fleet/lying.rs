//! Disks that lie, under a real folder: the same router is started on one to see what it makes of it.

use gaparch_store::{Disk, StateDirectory};
use std::collections::BTreeMap;
use std::io;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How a disk lies, or fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lie {
    /// All is there while the process lives, every sync says yes, and nothing of it is kept at the kill.
    Forget,
    /// Of each write the first half is kept.
    Torn,
    /// One bit of each file is another when it is read.
    Flip,
    /// Of two writes the later one is kept first, and the last one not at all.
    Swapped,
    /// What is read is the file as it stood when the process before this one began.
    Stale,
    /// No room is left; an error of the device; nothing may be written.
    Full,
    Broken,
    ReadOnly,
    /// Each write and sync takes so long.
    Slow(Duration),
}

/// The names by which days and commands know them.
pub const LIES: &str = "forget, torn, flip, swapped, stale, full, broken, read-only, slow";

impl FromStr for Lie {
    type Err = String;

    fn from_str(text: &str) -> Result<Lie, String> {
        Ok(match text {
            "forget" => Lie::Forget,
            "torn" => Lie::Torn,
            "flip" => Lie::Flip,
            "swapped" => Lie::Swapped,
            "stale" => Lie::Stale,
            "full" => Lie::Full,
            "broken" => Lie::Broken,
            "read-only" => Lie::ReadOnly,
            "slow" => Lie::Slow(Duration::from_secs(3)),
            _ => return Err(format!("'{text}' is no way in which a disk lies: {LIES}")),
        })
    }
}

#[derive(Debug, Default)]
struct Shown {
    /// What the process sees, where that is not what the folder holds; `None`: removed.
    files: BTreeMap<String, Option<Vec<u8>>>,
    /// Writes that wait for the next one to their file.
    waiting: BTreeMap<String, Vec<u8>>,
}

/// Where a disk that gives back older files keeps how long they were.
const LENGTHS: &str = "lengths-of-old";

/// A folder that lies. Shares of it show the same.
#[derive(Clone)]
pub struct LyingDisk {
    folder: Arc<Mutex<StateDirectory>>,
    shown: Arc<Mutex<Shown>>,
    lie: Lie,
}

fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LyingDisk {
    /// # Errors
    /// When the folder can't be read.
    pub fn new(mut folder: StateDirectory, lie: Lie) -> io::Result<LyingDisk> {
        let mut shown = Shown::default();
        if lie == Lie::Stale {
            let known = folder.read(LENGTHS).unwrap_or_default();
            let (mut lengths, known) = (String::new(), String::from_utf8_lossy(&known).into_owned());
            for name in folder.list()?.into_iter().filter(|name| name != LENGTHS) {
                let bytes = folder.read(&name)?;
                let old = known.lines().find_map(|l| l.strip_prefix(&format!("{name} "))?.parse().ok());
                lengths.push_str(&format!("{name} {}\n", bytes.len()));
                let old: usize = old.unwrap_or(bytes.len()).min(bytes.len());
                shown.files.insert(name, Some(bytes[..old].to_vec()));
            }
            if folder.read(LENGTHS).is_ok() {
                folder.remove(LENGTHS)?;
            }
            folder.append(LENGTHS, lengths.as_bytes())?;
        }
        Ok(LyingDisk { folder: Arc::new(Mutex::new(folder)), shown: Arc::new(Mutex::new(shown)), lie })
    }

    /// Whether a change is shown only, and not what the folder gets.
    fn is_shown_only(&self) -> bool {
        matches!(self.lie, Lie::Forget | Lie::Torn | Lie::Swapped | Lie::Stale)
    }

    /// What a change costs, or why there is none.
    fn allow(&self) -> io::Result<()> {
        match self.lie {
            Lie::Full => Err(io::ErrorKind::StorageFull.into()),
            Lie::Broken => Err(io::Error::from_raw_os_error(5)),
            Lie::ReadOnly => Err(io::ErrorKind::ReadOnlyFilesystem.into()),
            Lie::Slow(time) => {
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
        lock(&self.shown).files.insert(name.to_owned(), Some(bytes));
        Ok(())
    }
}

impl Disk for LyingDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = lock(&self.folder).list()?;
        for (name, shown) in &lock(&self.shown).files {
            names.retain(|n| n != name);
            names.extend(shown.is_some().then(|| name.clone()));
        }
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        if let Some(shown) = lock(&self.shown).files.get(name) {
            return shown.clone().ok_or_else(|| io::ErrorKind::NotFound.into());
        }
        let mut bytes = lock(&self.folder).read(name)?;
        if self.lie == Lie::Flip {
            let middle = bytes.len() * 3 / 4;
            bytes.iter_mut().skip(middle).take(1).for_each(|byte| *byte ^= 0x10);
        }
        Ok(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.allow()?;
        if !self.is_shown_only() {
            return lock(&self.folder).append(name, bytes);
        }
        match self.lie {
            Lie::Torn => lock(&self.folder).append(name, &bytes[..bytes.len() / 2])?,
            Lie::Stale => lock(&self.folder).append(name, bytes)?,
            Lie::Swapped => {
                let before = lock(&self.shown).waiting.remove(name);
                match before {
                    Some(before) => {
                        lock(&self.folder).append(name, bytes)?;
                        lock(&self.folder).append(name, &before)?;
                    }
                    None => drop(lock(&self.shown).waiting.insert(name.to_owned(), bytes.to_vec())),
                }
            }
            _ => {}
        }
        self.change(name, |all| all.extend_from_slice(bytes))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.allow()?;
        match self.is_shown_only() {
            true => Ok(()),
            false => lock(&self.folder).sync(name),
        }
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.allow()?;
        if !self.is_shown_only() {
            return lock(&self.folder).truncate(name, length);
        }
        self.change(name, |all| all.truncate(usize::try_from(length).unwrap_or(usize::MAX)))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.allow()?;
        if self.lie != Lie::Forget {
            // What nobody has written yet is no file.
            lock(&self.folder).append(from, &[])?;
            lock(&self.folder).rename(from, to)?;
            let mut shown = lock(&self.shown);
            if let Some(waiting) = shown.waiting.remove(from) {
                shown.waiting.insert(to.to_owned(), waiting);
            }
        }
        if self.is_shown_only() {
            let bytes = match lock(&self.shown).files.get(from).cloned().flatten() {
                Some(bytes) => bytes,
                None => lock(&self.folder).read(from)?,
            };
            let mut shown = lock(&self.shown);
            shown.files.insert(to.to_owned(), Some(bytes));
            shown.files.insert(from.to_owned(), None);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.allow()?;
        if self.is_shown_only() {
            lock(&self.shown).files.insert(name.to_owned(), None);
            return Ok(());
        }
        lock(&self.folder).remove(name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use gaparch_store::Journal;

    /// What a journal on such a disk keeps for the next process, which finds an honest one.
    fn kept(lie: Lie) -> (Result<(), String>, Vec<Vec<u8>>) {
        let folder = tempfile::tempdir().expect("a folder");
        let write = |lie, record: &[u8]| {
            let disk =
                LyingDisk::new(StateDirectory::open(folder.path()).expect("opened"), lie).expect("a disk");
            let (mut journal, _) = Journal::open(disk, "x", 1).expect("opened");
            if journal.needs_rewrite() {
                journal.rewrite([record]).map_err(|e| e.to_string())
            } else {
                journal.append(&[record]).map_err(|e| e.to_string())
            }
        };
        write(Lie::Slow(Duration::ZERO), b"the first").expect("written");
        let wrote = write(lie, b"the second");
        let reads = matches!(lie, Lie::Flip | Lie::Stale);
        let read_by = if reads { lie } else { Lie::Slow(Duration::ZERO) };
        let disk =
            LyingDisk::new(StateDirectory::open(folder.path()).expect("opened"), read_by).expect("a disk");
        (wrote, Journal::open(disk, "x", 1).expect("opened").1.records)
    }

    #[test]
    fn each_lie_keeps_what_it_says() {
        let first = || vec![b"the first".to_vec()];
        assert_eq!(kept(Lie::Forget), (Ok(()), first()));
        assert_eq!(kept(Lie::Torn), (Ok(()), first()));
        assert_eq!(kept(Lie::Swapped), (Ok(()), first()), "the last write is not kept");
        assert_eq!(kept(Lie::Stale), (Ok(()), first()), "as it stood when the second process began");
        for lie in [Lie::Full, Lie::Broken, Lie::ReadOnly] {
            let (wrote, records) = kept(lie);
            assert!(wrote.is_err() && records == first(), "{lie:?}");
        }
        assert_eq!(kept(Lie::Slow(Duration::ZERO)).1.len(), 2);
        let (wrote, records) = kept(Lie::Flip);
        assert!(wrote.is_ok() && records.len() < 2, "{records:?}");
    }
}
