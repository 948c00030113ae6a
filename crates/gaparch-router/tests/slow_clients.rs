//! Tests clients of `gaparch serve` that send one byte of a request after the other.

use gaparch_config::{Config, Span, EXAMPLE};
use gaparch_router::shell::{serve, RouterHandle};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The time limit of a head and of a body.
const TIME_LIMIT: Duration = Duration::from_secs(1);
/// By then a connection over its limit has ended on a busy machine, too.
const ENDS_WITHIN: Duration = Duration::from_secs(3);
const DRIP_INTERVAL: Duration = Duration::from_millis(50);

async fn start_router() -> RouterHandle {
    let mut config = Config::parse(EXAMPLE).expect("valid settings");
    config.listeners.truncate(1);
    config.listeners[0].address = "127.0.0.1:0".parse().expect("an address");
    config.engines.clear();
    config.operations = None;
    config.limits.head_time = Span::secs(1);
    config.limits.body_time = Span::secs(1);
    serve(config).await.expect("the router starts")
}

/// Sends the bytes, then one byte after the other; returns how long the router keeps the connection.
async fn drip_after(start: &str) -> Duration {
    let router = start_router().await;
    let client = TcpStream::connect(router.addresses()[0]).await.expect("connected");
    let (mut reader, mut writer) = client.into_split();
    writer.write_all(start.as_bytes()).await.expect("written");
    let connected_at = Instant::now();
    let dripping = tokio::spawn(async move {
        while writer.write_all(b"x").await.is_ok() {
            sleep(DRIP_INTERVAL).await;
        }
    });
    let reading = async { while matches!(reader.read(&mut [0; 1024]).await, Ok(length) if length > 0) {} };
    // A connection that the router keeps open counts as kept for the whole time.
    let _ = timeout(2 * ENDS_WITHIN, reading).await;
    dripping.abort();
    connected_at.elapsed()
}

/// Guards against a client whose bytes prolong the time for a request's head.
#[tokio::test]
async fn a_head_without_end_is_closed_at_its_time_limit() {
    let kept = drip_after("POST /v1/messages HTTP/1.1\r\nHost: x\r\nX-Padding: ").await;
    assert!((TIME_LIMIT..ENDS_WITHIN).contains(&kept), "kept for {kept:?}");
}

/// Guards against a client whose bytes prolong the time for a request's body.
#[tokio::test]
async fn a_body_without_end_is_closed_at_its_time_limit() {
    let head =
        "POST /v1/messages HTTP/1.1\r\nHost: x\r\nX-Api-Key: change-me-app\r\nContent-Length: 10000\r\n\r\n";
    let kept = drip_after(head).await;
    assert!((TIME_LIMIT..ENDS_WITHIN).contains(&kept), "kept for {kept:?}");
}
