//! Tests that `gaparch serve` bounds the bytes of all request bodies together.

use gaparch_config::{Config, EXAMPLE};
use gaparch_router::shell::{serve, RouterHandle};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const BODY_BYTES: usize = 64 * 1024;
/// Longer than any step takes on a machine that is not stuck.
const LONG: Duration = Duration::from_secs(20);
/// Longer than a body in transit takes to be read.
const PAUSE: Duration = Duration::from_millis(300);

/// Starts a router without engines, with memory for two bodies of the maximum length.
async fn start_router() -> RouterHandle {
    let mut config = Config::parse(EXAMPLE).expect("valid settings");
    config.listeners.truncate(1);
    config.listeners[0].address = "127.0.0.1:0".parse().expect("an address");
    config.engines.clear();
    config.operations = None;
    config.limits.body = BODY_BYTES;
    config.limits.body_memory = 4 * BODY_BYTES;
    serve(config).await.expect("the router starts")
}

fn request(body_bytes: usize) -> Vec<u8> {
    let text = "x".repeat(body_bytes - 100);
    let body = format!(
        "{{\"model\":\"m\",\"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}"
    );
    let head = format!(
        "POST /v1/messages HTTP/1.1\r\nHost: x\r\nX-Api-Key: change-me-app\r\nConnection: close\r\nContent-Length: {}",
        body.len()
    );
    format!("{head}\r\n\r\n{body}").into_bytes()
}

async fn connect(router: &RouterHandle) -> TcpStream {
    TcpStream::connect(router.addresses()[0]).await.expect("connected")
}

/// Reads to the end of the connection, and returns the status of the response.
async fn read_status(mut client: TcpStream) -> String {
    let mut bytes = Vec::new();
    timeout(LONG, client.read_to_end(&mut bytes)).await.expect("the router answers").expect("read");
    String::from_utf8_lossy(&bytes).split_whitespace().nth(1).unwrap_or_default().to_owned()
}

/// Guards against memory that is exhausted by many bodies at once, each of which is short enough: bodies that do
/// not end give their memory back, and complete ones are accepted meanwhile.
#[tokio::test]
async fn bodies_that_do_not_end_make_room_for_others() {
    let router = start_router().await;
    let bytes = request(BODY_BYTES);
    let mut stalled = JoinSet::new();
    for _ in 0..4 {
        let mut client = connect(&router).await;
        client.write_all(&bytes[..bytes.len() - 1]).await.expect("written");
        stalled.spawn(read_status(client));
    }
    sleep(PAUSE).await;
    let mut sound = connect(&router).await;
    sound.write_all(&bytes).await.expect("written");
    // Far earlier than the time limit of a body, which is 10 s.
    let answered = timeout(Duration::from_secs(8), read_status(sound)).await.expect("it gets memory");
    assert_eq!(answered, "503", "without engines a request that was read is rejected at its deadline");
    // Two make room for the two that wait, and one of these for the sound one. The other may keep its memory, since
    // nobody waits for it any more, and comes to its time limit.
    let statuses = stalled.join_all().await;
    let rejected = statuses.iter().filter(|status| *status == "503").count();
    assert!(
        rejected >= 3 && statuses.iter().all(|status| ["503", "408"].contains(&status.as_str())),
        "{statuses:?}"
    );
}

/// Guards against short requests that wait behind long ones that do not end.
#[tokio::test]
async fn short_bodies_need_no_reservation() {
    let router = start_router().await;
    let bytes = request(BODY_BYTES);
    let mut stalled = Vec::new();
    for _ in 0..2 {
        let mut client = connect(&router).await;
        client.write_all(&bytes[..bytes.len() - 1]).await.expect("written");
        stalled.push(client);
    }
    sleep(PAUSE).await;
    let mut short = connect(&router).await;
    short.write_all(b"POST /v1/messages HTTP/1.1\r\nHost: x\r\nX-Api-Key: change-me-app\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}").await.expect("written");
    let answered = timeout(Duration::from_secs(2), read_status(short)).await;
    assert_eq!(answered.expect("answered at once"), "400");
}
