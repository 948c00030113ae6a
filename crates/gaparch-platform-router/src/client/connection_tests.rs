//! A connection between a client and an owner that the test plays.

use super::{Connection, Idle, Message, Shared};
use crate::test_support::shared;
use gaparch_testbed::platform::head_and_body;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;

/// A client that has written a request, and the task that serves it.
async fn client(shared: &Arc<Shared>, txn: &str) -> (TcpStream, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut client =
        TcpStream::connect(listener.local_addr().expect("its address")).await.expect("it listens");
    let (socket, _) = listener.accept().await.expect("accepted");
    client.write_all(&head_and_body(txn, "{}")).await.expect("written");
    let connection = Connection::new(socket, Arc::clone(shared), Arc::new(Idle::default()));
    (client, tokio::spawn(connection.serve()))
}

/// The id and the place of the next request that the owner is told of.
async fn asked(messages: &mut UnboundedReceiver<Message>) -> (String, OwnedSemaphorePermit) {
    match messages.recv().await.expect("a message") {
        Message::Ask { forward, place, .. } => (forward.txn.as_str().to_owned(), place),
        other => panic!("no request: {other:?}"),
    }
}

/// However many clients come and leave, the owner's queue holds no more requests than it has places.
#[tokio::test]
async fn a_client_that_leaves_before_its_turn_is_never_told_of() {
    let (shared, mut messages) = shared(1);
    let (_first, _serving) = client(&shared, "first").await;
    let (txn, place) = asked(&mut messages).await;
    assert_eq!(txn, "first");
    let (second, serving) = client(&shared, "second").await;
    drop(second);
    serving.await.expect("no panic");
    assert!(messages.try_recv().is_err());
    let (_third, _serving) = client(&shared, "third").await;
    drop(place);
    assert_eq!(asked(&mut messages).await.0, "third");
}
