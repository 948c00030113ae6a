//! An operator's terminal: a program runs in a pseudo-terminal, keys are typed, its screen is read.

use portable_pty::{native_pty_system, Child, CommandBuilder, MasterPty, PtySize};
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Bytes of output that are remembered for a recording; what comes later is left out.
const MOST_RECORDED: usize = 16 << 20;

#[derive(Debug, Error)]
pub enum TerminalError {
    #[error("the pseudo-terminal: {0}")]
    Pty(String),
    #[error("the terminal: {0}")]
    Io(#[from] std::io::Error),
    #[error("'{wanted}' did not come in {within:?}; the screen was\n{screen}")]
    Missing { wanted: String, within: Duration, screen: String },
}

fn pty(error: impl std::fmt::Display) -> TerminalError {
    TerminalError::Pty(error.to_string())
}

/// One piece of output, and when it came.
pub type Piece = (Duration, Vec<u8>);

struct Shared {
    parser: Mutex<vt100::Parser>,
    pieces: Mutex<Vec<Piece>>,
    /// Nobody reads the terminal.
    deaf: AtomicBool,
    ended: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A program in a terminal. It is killed when this is dropped.
pub struct Terminal {
    master: Box<dyn MasterPty + Send>,
    keys: Box<dyn Write + Send>,
    child: Box<dyn Child + Send + Sync>,
    shared: Arc<Shared>,
}

impl Terminal {
    /// Starts a program on a screen of so many columns and lines. `seen` gets all that it writes, as it comes.
    ///
    /// # Errors
    /// When there is no pseudo-terminal to be had, or the program can't be started.
    pub fn start(
        program: &std::path::Path,
        arguments: &[String],
        size: (u16, u16),
        began: Instant,
        mut seen: impl FnMut(&[u8]) + Send + 'static,
    ) -> Result<Terminal, TerminalError> {
        let (cols, rows) = size;
        let size = PtySize { rows, cols, pixel_width: 0, pixel_height: 0 };
        let pair = native_pty_system().openpty(size).map_err(pty)?;
        let mut command = CommandBuilder::new(program);
        command.args(arguments);
        command.env("TERM", "xterm-256color");
        let child = pair.slave.spawn_command(command).map_err(pty)?;
        drop(pair.slave);
        let mut output = pair.master.try_clone_reader().map_err(pty)?;
        let keys = pair.master.take_writer().map_err(pty)?;
        let shared = Arc::new(Shared {
            parser: Mutex::new(vt100::Parser::new(rows, cols, 0)),
            pieces: Mutex::default(),
            deaf: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        });
        let reader = Arc::clone(&shared);
        std::thread::spawn(move || {
            let mut bytes = [0; 4096];
            let mut recorded = 0;
            loop {
                while reader.deaf.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(5));
                }
                match output.read(&mut bytes) {
                    Ok(0) | Err(_) => break,
                    Ok(count) => {
                        lock(&reader.parser).process(&bytes[..count]);
                        seen(&bytes[..count]);
                        if recorded < MOST_RECORDED {
                            recorded += count;
                            lock(&reader.pieces).push((began.elapsed(), bytes[..count].to_vec()));
                        }
                    }
                }
            }
            reader.ended.store(true, Ordering::Relaxed);
        });
        Ok(Terminal { master: pair.master, keys, child, shared })
    }

    /// Types.
    ///
    /// # Errors
    /// When the terminal is gone.
    pub fn press(&mut self, keys: &str) -> Result<(), TerminalError> {
        self.keys.write_all(keys.as_bytes())?;
        Ok(self.keys.flush()?)
    }

    /// The screen as text.
    pub fn screen(&self) -> String {
        lock(&self.shared.parser).screen().contents()
    }

    /// Waits until a text stands on the screen.
    ///
    /// # Errors
    /// When it does not come; the screen is in the error.
    pub async fn wait_for(&self, wanted: &str, within: Duration) -> Result<(), TerminalError> {
        let until = Instant::now() + within;
        while !self.screen().contains(wanted) {
            if Instant::now() >= until {
                let screen = self.screen();
                return Err(TerminalError::Missing { wanted: wanted.to_owned(), within, screen });
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Changes the size of the window.
    ///
    /// # Errors
    /// When the terminal is gone.
    pub fn resize(&self, cols: u16, rows: u16) -> Result<(), TerminalError> {
        lock(&self.shared.parser).screen_mut().set_size(rows, cols);
        self.master.resize(PtySize { rows, cols, pixel_width: 0, pixel_height: 0 }).map_err(pty)
    }

    /// Nobody reads the terminal from now on, or again.
    pub fn deaf(&self, deaf: bool) {
        self.shared.deaf.store(deaf, Ordering::Relaxed);
    }

    /// Ends the program at once, as `kill -9` does.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the program has ended by itself; whether it did, and well.
    pub async fn ended(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// All that it wrote, with times.
    pub fn pieces(&self) -> Vec<Piece> {
        lock(&self.shared.pieces).clone()
    }
}

impl Drop for Terminal {
    fn drop(&mut self) {
        self.shared.deaf.store(false, Ordering::Relaxed);
        self.kill();
    }
}
