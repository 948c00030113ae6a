//! The shim that makes system calls of a router fail: compiled once a run, loaded with `LD_PRELOAD`, steered by a file.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("faults.c");
/// Kinds of calls in the file that steers it: accept, socket and connect, waits, reads, writes.
pub const KINDS: usize = 5;
/// Of 256 calls of each kind that fail while calls fail.
const RATES: [u8; KINDS] = [100, 60, 80, 40, 40];

/// The compiled shim.
#[derive(Debug)]
pub struct Shim {
    library: PathBuf,
}

impl Shim {
    /// Compiles it into a folder.
    ///
    /// # Errors
    /// When there is no C compiler, or it fails.
    pub fn compile(folder: &Path) -> io::Result<Shim> {
        let (source, library) = (folder.join("faults.c"), folder.join("faults.so"));
        fs::write(&source, SOURCE)?;
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(&source).arg("-ldl");
        let output = compiler.output()?;
        if !output.status.success() {
            return Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()));
        }
        Ok(Shim { library })
    }

    /// The environment of a process that it is loaded into.
    pub fn environment(&self, steering: &Steering, clock_ahead_s: i64, seed: u64) -> Vec<(String, String)> {
        let text = |path: &Path| path.to_string_lossy().into_owned();
        vec![
            ("LD_PRELOAD".to_owned(), text(&self.library)),
            ("SOAK_FAULTS".to_owned(), text(&steering.file)),
            ("SOAK_CLOCK".to_owned(), clock_ahead_s.to_string()),
            ("SOAK_SEED".to_owned(), (seed % 1_000_000_007).to_string()),
        ]
    }
}

/// Which calls of one process fail now.
#[derive(Clone, Debug)]
pub struct Steering {
    file: PathBuf,
}

impl Steering {
    /// None fail yet.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn new(file: PathBuf) -> io::Result<Steering> {
        fs::write(&file, [0; KINDS])?;
        Ok(Steering { file })
    }

    /// Calls fail from now on, or no more. The file is changed in place: the process has it mapped.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn set(&self, fail: bool) -> io::Result<()> {
        self.set_rates(if fail { RATES } else { [0; KINDS] })
    }

    /// From now on so many of 256 calls of each kind fail, or do less than they could: accept, socket and connect, waits,
    /// reads, writes.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn set_rates(&self, rates: [u8; KINDS]) -> io::Result<()> {
        use std::os::unix::fs::FileExt;
        fs::File::options().write(true).open(&self.file)?.write_all_at(&rates, 0)
    }
}
