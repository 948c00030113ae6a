//! What is asked of workers, and what their answers mean.

use crate::ask::Txn;
use crate::head::AnswerHead;
use bytes::Bytes;
use gaparch_scheduler::api::AttemptStatus;

/// Interim answers (1xx) that may come ahead of one.
pub const MOST_INTERIM: usize = 8;

/// One request as it goes to a worker.
pub fn job_head(target: &str, txn: &Txn, host: &str, wait_ms: u32, length: usize) -> Bytes {
    Bytes::from(format!(
        "POST {target} HTTP/1.1\r\nHost: {host}\r\nX-Txn: {}\r\nX-Remaining-Ms: {wait_ms}\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n",
        txn.as_str()
    ))
}

/// Asks for a place to be held.
pub fn reserve_head(txn: &Txn, host: &str) -> Bytes {
    call("POST", &format!("/internal/reservations/{}", txn.as_str()), host)
}

/// Lets go of all that is held for a request.
pub fn release_head(txn: &Txn, host: &str) -> Bytes {
    call("DELETE", &format!("/internal/reservations/{}", txn.as_str()), host)
}

pub fn probe_head(host: &str) -> Bytes {
    call("GET", "/ping", host)
}

fn call(method: &str, path: &str, host: &str) -> Bytes {
    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    Bytes::from(format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n{length}\r\n"))
}

/// What the head of a worker's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// The prompt is read; the body tells how much of it was kept.
    Read,
    /// Events follow.
    Stream,
    /// It has ended so, with this note.
    Ended(AttemptStatus, u64),
}

/// The answer to a read or to a write.
pub fn meaning(head: &AnswerHead, reads: bool) -> Meaning {
    let turned_away = head.first("x-turned-away") == Some("1");
    match head.status {
        202 if reads => Meaning::Read,
        200 if !reads => Meaning::Stream,
        // The state to be written from is gone.
        410 if turned_away => Meaning::Ended(AttemptStatus::Rejected, 1),
        503 | 504 if turned_away => Meaning::Ended(AttemptStatus::Rejected, 0),
        500 => Meaning::Ended(AttemptStatus::Error, 0),
        // Whatever else it says, the request may have run.
        _ => Meaning::Ended(AttemptStatus::Unknown, 0),
    }
}

/// The answer to a probe.
pub fn probe_meaning(status: u16) -> AttemptStatus {
    match status {
        200 => AttemptStatus::Ok,
        503 => AttemptStatus::Rejected,
        _ => AttemptStatus::Unknown,
    }
}

/// Whether a place is held, by the answer to a reservation. `None`: not known.
pub fn reserved(status: u16) -> Option<bool> {
    match status {
        200 => Some(true),
        204 => None,
        _ => Some(false),
    }
}

/// Tokens of a read's prompt that were found kept; 0 where its body does not say.
pub fn kept(body: &[u8]) -> u32 {
    #[derive(serde::Deserialize)]
    struct Read {
        cached_tokens: f64,
    }
    let told = serde_json::from_slice::<Read>(body).map_or(0.0, |read| read.cached_tokens);
    if told.is_finite() {
        told.clamp(0.0, f64::from(u32::MAX)) as u32
    } else {
        0
    }
}
