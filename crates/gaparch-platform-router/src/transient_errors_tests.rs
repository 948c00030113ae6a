//! Writes that the system takes in pieces, interrupts and has no buffers for.

use super::{write_all, WriteSocket};
use rustix::io::Errno;
use std::io::{self, IoSlice};
use std::sync::Mutex;

/// Takes one byte at a time, and fails in between as often as it has errors.
#[derive(Default)]
struct StubbornSocket {
    taken: Mutex<Vec<u8>>,
    errors: Mutex<Vec<Errno>>,
}

impl StubbornSocket {
    fn with(errors: Vec<Errno>) -> StubbornSocket {
        StubbornSocket { taken: Mutex::default(), errors: Mutex::new(errors) }
    }

    fn taken(&self) -> Vec<u8> {
        self.taken.lock().expect("whole").clone()
    }
}

impl WriteSocket for StubbornSocket {
    async fn writable(&self) -> io::Result<()> {
        Ok(())
    }

    fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        if let Some(errno) = self.errors.lock().expect("whole").pop() {
            return Err(errno.into());
        }
        let first = slices.iter().find(|slice| !slice.is_empty()).expect("something to write");
        self.taken.lock().expect("whole").push(first[0]);
        Ok(1)
    }
}

#[tokio::test]
async fn what_is_interrupted_or_short_of_buffers_is_written_whole() {
    let to = StubbornSocket::with(vec![Errno::INTR, Errno::NOBUFS, Errno::AGAIN, Errno::INTR, Errno::NOMEM]);
    write_all(&to, &mut &b"answer"[..]).await.expect("written");
    assert_eq!(to.taken(), b"answer");
}

#[tokio::test]
async fn a_broken_connection_is_no_moment() {
    for errno in [Errno::CONNRESET, Errno::PIPE, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        let to = StubbornSocket::with(vec![errno]);
        let error = write_all(&to, &mut &b"answer"[..]).await.expect_err("broken");
        assert_eq!(Errno::from_io_error(&error), Some(errno));
        assert!(to.taken().is_empty());
    }
}
