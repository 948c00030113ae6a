//! A connection between a client and an owner that the test plays.

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

/// A client that has written a request, and the task that serves it.
async fn client(shared: &Arc<SharedState>, transaction: &str) -> (TcpStream, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut client =
        TcpStream::connect(listener.local_addr().expect("its address")).await.expect("it listens");
    let (socket, _) = listener.accept().await.expect("accepted");
    client.write_all(&head_and_body(transaction, "{}")).await.expect("written");
    let connection = Connection::new(socket, Arc::clone(shared), Arc::new(IdleConnections::default()));
    (client, tokio::spawn(connection.serve()))
}

/// The id and the queue permit of the next request that the owner is notified of.
async fn arrived(messages: &mut UnboundedReceiver<OwnerMessage>) -> (String, OwnedSemaphorePermit) {
    match messages.recv().await.expect("a message") {
        OwnerMessage::RequestArrived(arrived) => {
            (arrived.forwarded.transaction.as_str().to_owned(), arrived.queue_permit)
        }
        other => panic!("no request: {other:?}"),
    }
}

/// However many clients come and leave, the owner's queue holds no more requests than it has places.
#[tokio::test]
async fn the_owner_is_never_notified_of_a_client_that_disconnects_in_the_queue() {
    let (shared, mut messages) = shared_state(1);
    let (_first, _serving) = client(&shared, "first").await;
    let (transaction, permit) = arrived(&mut messages).await;
    assert_eq!(transaction, "first");
    let (second, serving) = client(&shared, "second").await;
    drop(second);
    serving.await.expect("no panic");
    assert!(messages.try_recv().is_err());
    let (_third, _serving) = client(&shared, "third").await;
    drop(permit);
    assert_eq!(arrived(&mut messages).await.0, "third");
}
