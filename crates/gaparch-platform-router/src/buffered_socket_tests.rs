//! Tests reads of bytes that arrived before the poller noticed them.

use super::*;
use crate::test_support::buffer_memory;
use std::io::Write;

/// `read_available` finds bytes that arrived since the poller last ran; a plain read would not notice them
/// yet.
#[tokio::test]
async fn read_available_finds_bytes_that_the_poller_has_not_noticed() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut peer =
        std::net::TcpStream::connect(listener.local_addr().expect("local address")).expect("connected");
    let mut socket = BufferedSocket::new(listener.accept().await.expect("accepted").0, buffer_memory());
    // The poller has reported that nothing is there.
    assert!(socket.read_available().await.is_none());
    peer.write_all(b"x").expect("written");
    // The poller does not run between the write and the read.
    assert!(matches!(socket.read_available().await, Some(Ok(1))));
    assert!(socket.read_available().await.is_none());
    drop(peer);
    assert!(matches!(socket.read_available().await, Some(Ok(0))));
}
