//! Tests writes that the system splits, interrupts or has no buffers for.

use super::{write_all, WriteSocket};
use rustix::io::Errno;
use std::io::{self, IoSlice};
use std::sync::Mutex;

/// A socket that returns its queued errors first and then accepts one byte per call.
#[derive(Default)]
struct FlakySocket {
    written: Mutex<Vec<u8>>,
    errors: Mutex<Vec<Errno>>,
}

impl FlakySocket {
    fn with_errors(errors: Vec<Errno>) -> FlakySocket {
        FlakySocket { written: Mutex::default(), errors: Mutex::new(errors) }
    }

    fn written(&self) -> Vec<u8> {
        self.written.lock().expect("not poisoned").clone()
    }
}

impl WriteSocket for FlakySocket {
    async fn writable(&self) -> io::Result<()> {
        Ok(())
    }

    fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        if let Some(errno) = self.errors.lock().expect("not poisoned").pop() {
            return Err(errno.into());
        }
        let first = slices.iter().find(|slice| !slice.is_empty()).expect("something to write");
        self.written.lock().expect("not poisoned").push(first[0]);
        Ok(1)
    }
}

#[tokio::test]
async fn writes_are_completed_after_interrupts_and_lack_of_buffers() {
    let socket =
        FlakySocket::with_errors(vec![Errno::INTR, Errno::NOBUFS, Errno::AGAIN, Errno::INTR, Errno::NOMEM]);
    write_all(&socket, &mut &b"answer"[..]).await.expect("written");
    assert_eq!(socket.written(), b"answer");
}

#[tokio::test]
async fn errors_of_a_broken_connection_are_not_retried() {
    for errno in [Errno::CONNRESET, Errno::PIPE, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        let socket = FlakySocket::with_errors(vec![errno]);
        let error = write_all(&socket, &mut &b"answer"[..]).await.expect_err("broken");
        assert_eq!(Errno::from_io_error(&error), Some(errno));
        assert!(socket.written().is_empty());
    }
}
