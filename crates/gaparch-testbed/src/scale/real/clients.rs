//! Clients of a real router: requests at an even rate, each on a kept connection where one is free.

use super::super::settings::tenant_name;
use super::super::target;
use super::wire::Connection;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{interval, timeout};

/// For a whole answer.
const PATIENCE: Duration = Duration::from_secs(30);
const DEADLINE_MS: u64 = 5_000;

/// What became of the requests.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    pub asked: usize,
    pub served: usize,
    pub first_tokens: Vec<Duration>,
}

impl Loaded {
    /// Seconds to the first token for so many of a hundred.
    pub fn first_token_s(&self, percent: f64) -> f64 {
        let mut all = self.first_tokens.clone();
        all.sort_unstable();
        let at = ((all.len() as f64 * percent / 100.0) as usize).min(all.len().saturating_sub(1));
        all.get(at).map_or(0.0, Duration::as_secs_f64)
    }
}

/// Sends so many requests a second for so long, and waits for their answers.
pub async fn load(router: SocketAddr, per_s: f64, span: Duration, salt: u64) -> Loaded {
    let kept = Arc::new(Mutex::new(Vec::new()));
    let mut open = JoinSet::new();
    let mut pace = interval(Duration::from_secs_f64(1.0 / per_s));
    let until = Instant::now() + span;
    let mut loaded = Loaded::default();
    while Instant::now() < until {
        pace.tick().await;
        let number = salt.wrapping_add(loaded.asked as u64);
        loaded.asked += 1;
        let kept = Arc::clone(&kept);
        open.spawn(async move { timeout(PATIENCE, ask(router, number, &kept)).await.ok().flatten() });
    }
    while let Some(answer) = open.join_next().await {
        if let Ok(Some(first_token)) = answer {
            loaded.served += 1;
            loaded.first_tokens.push(first_token);
        }
    }
    loaded
}

/// One request, the time to its first token if it is served.
async fn ask(router: SocketAddr, number: u64, kept: &Mutex<Vec<Connection>>) -> Option<Duration> {
    let free = kept.lock().unwrap_or_else(PoisonError::into_inner).pop();
    let mut connection = match free {
        Some(connection) => connection,
        None => Connection::new(TcpStream::connect(router).await.ok()?),
    };
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let body = "{\"stream\":true}";
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-Txn: {mixed:016x}\r\nX-Lane: chat\r\nX-Org: {}\r\n\
         X-Entity: {mixed:016x}\r\nX-Remaining-Ms: {DEADLINE_MS}\r\n\
         X-Labels: prefix={:016x},prompt_len=4000,prefix_len=2000,max_out=800\r\nContent-Length: {}\r\n\r\n{body}",
        tenant_name((number % target::TENANTS as u64) as usize),
        mixed % 4_000,
        body.len()
    );
    let asked = Instant::now();
    connection.write(request.as_bytes()).await?;
    let head = connection.head().await?;
    let first_token = asked.elapsed();
    if !head.first_line.contains(" 200 ") || !head.chunked {
        return None;
    }
    connection.chunks().await?;
    kept.lock().unwrap_or_else(PoisonError::into_inner).push(connection);
    Some(first_token)
}
