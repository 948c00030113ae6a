//! Tests a client connection with the test in place of the owner.

use super::{Connection, IdleConnections, SharedState};
use crate::messages::OwnerMessage;
use crate::test_support::shared_state;
use gaparch_testbed::platform::head_and_body;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;

/// Connects a client that has written a request, and spawns the task that serves it.
async fn client(shared: &Arc<SharedState>, transaction: &str) -> (TcpStream, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut client =
        TcpStream::connect(listener.local_addr().expect("local address")).await.expect("connected");
    let (socket, _) = listener.accept().await.expect("accepted");
    client.write_all(&head_and_body(transaction, "{}")).await.expect("written");
    let connection = Connection::new(socket, Arc::clone(shared), Arc::new(IdleConnections::default()));
    (client, tokio::spawn(connection.serve()))
}

/// Receives the next request for the owner, and returns its transaction id and queue permit.
async fn receive_request(messages: &mut UnboundedReceiver<OwnerMessage>) -> (String, OwnedSemaphorePermit) {
    match messages.recv().await.expect("a message") {
        OwnerMessage::RequestArrived(arrived) => {
            (arrived.forwarded.transaction.as_str().to_owned(), arrived.queue_permit)
        }
        other => panic!("expected a request, got {other:?}"),
    }
}

/// Guards against an owner queue that grows without bound: clients that connect and disconnect never put more
/// requests into it than it has slots.
#[tokio::test]
async fn the_owner_is_never_notified_of_a_client_that_disconnects_in_the_queue() {
    let (shared, mut messages) = shared_state(1);
    let (_first, _serving) = client(&shared, "first").await;
    let (transaction, permit) = receive_request(&mut messages).await;
    assert_eq!(transaction, "first");
    let (second, serving) = client(&shared, "second").await;
    drop(second);
    serving.await.expect("no panic");
    assert!(messages.try_recv().is_err());
    let (_third, _serving) = client(&shared, "third").await;
    drop(permit);
    assert_eq!(receive_request(&mut messages).await.0, "third");
}
