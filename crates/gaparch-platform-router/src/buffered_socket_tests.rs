//! Bytes that have arrived before the poller noticed them.

use super::*;
use std::io::Write;

/// What has arrived since the poller was last asked is found, where a plain read would not know of it.
#[tokio::test]
async fn what_has_arrived_unnoticed_is_available() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut other = std::net::TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    let mut socket = BufferedSocket::new(listener.accept().await.expect("it comes").0);
    // The poller has said that nothing is there.
    assert!(socket.read_available().await.is_none());
    other.write_all(b"x").expect("written");
    // Not a moment is given to the poller between the two.
    assert!(matches!(socket.read_available().await, Some(Ok(1))));
    assert!(socket.read_available().await.is_none());
    drop(other);
    assert!(matches!(socket.read_available().await, Some(Ok(0))));
}
