//! One client's connection: a request at a time, each with exactly one answer.

use super::closes::CloseReason;
use super::idle::{Idle, Resting};
use super::{Piece, AHEAD};
use crate::link::{Link, NoBody};
use crate::shared::{Answer, Forward, Message, Phase, Shared};
use crate::transient::write_all;
use bytes::BytesMut;
use gaparch_platform_protocol::ask::{Ask, AskError, READY_PATH};
use gaparch_platform_protocol::body::{put_chunk, Framing, LAST_CHUNK, MOST_BODY};
use gaparch_platform_protocol::head::{self, HeadError, RequestHead};
use gaparch_scheduler::api::{Nanos, RequestId};
use gaparch_scheduler::policy::shutdown_intake::ConnectionHistory;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// For a request from its first byte, and for that byte of a first request from the connection's beginning.
const REQUEST_TIME: Duration = Duration::from_secs(2);
/// For a whole first request from the connection's beginning: who has not said what it wants is owed an error or a close
/// within 3 s.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(2700);
/// A client that takes none of its stream for so long is gone.
const STALLED: Duration = Duration::from_secs(20);
/// After our last byte: closing over unread bytes resets the connection, and what is on its way to the client goes with
/// it. Less than the time in which a place has to come free ([`super::PLACE`]).
const LINGER: Duration = Duration::from_millis(150);
const LINGER_BYTES: usize = 256 * 1024;
/// A client that sends so much beyond what is kept for it, before its answer, takes none of them: it counts as gone.
const FLOOD: usize = 4 * 1024 * 1024;
/// Runs of events put into one write, in bytes.
const COALESCE: usize = 16 * 1024;

pub(super) struct Connection {
    link: Link,
    shared: Arc<Shared>,
    idle: Arc<Idle>,
    since: Instant,
    /// Bytes ahead of an answer that were not kept: where the next message begins is not known any more.
    flood: usize,
    /// What a close by the client is, as things stand.
    left_with: CloseReason,
    /// What a close behind the last answer is.
    answered_with: CloseReason,
}

/// A client's message that can't be taken.
struct Bad {
    status: u16,
    text: String,
}

impl From<HeadError> for Bad {
    fn from(error: HeadError) -> Bad {
        let status = if error == HeadError::TooLong { 431 } else { 400 };
        Bad { status, text: error.to_string() }
    }
}

impl From<NoBody> for Bad {
    fn from(error: NoBody) -> Bad {
        let status = if error == NoBody::TooLong { 413 } else { 400 };
        Bad { status, text: error.to_string() }
    }
}

impl From<AskError> for Bad {
    fn from(error: AskError) -> Bad {
        Bad { status: error.status(), text: error.to_string() }
    }
}

/// Why no request has come.
enum Nothing {
    /// The client has closed, or takes nothing any more.
    Gone,
    /// It is asked to go.
    Close,
    Bad(Bad),
}

impl From<Bad> for Nothing {
    fn from(bad: Bad) -> Nothing {
        Nothing::Bad(bad)
    }
}

/// A request that is open with the owner. Dropped before its answer is over, its client has left.
struct Ticket {
    id: RequestId,
    forward: Arc<Forward>,
    shared: Arc<Shared>,
    over: bool,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.over {
            // An attempt that is just coming up sees it here, however long the owner's queue is.
            self.forward.leave();
            self.shared.tell(Message::Gone(self.id));
        }
    }
}

impl Connection {
    pub fn new(socket: TcpStream, shared: Arc<Shared>, idle: Arc<Idle>) -> Connection {
        Connection {
            link: Link::new(socket),
            shared,
            idle,
            since: Instant::now(),
            flood: 0,
            left_with: CloseReason::ClientIdle,
            answered_with: CloseReason::Answered,
        }
    }

    pub async fn serve(mut self) {
        let mut first = true;
        loop {
            self.left_with = CloseReason::ClientIdle;
            let served = match self.head(first).await {
                Ok((head, began)) => {
                    let due = self.due(first, began);
                    self.request(head, began, due).await
                }
                Err(nothing) => Err(nothing),
            };
            let carried_nothing = std::mem::replace(&mut first, false);
            let shared = Arc::clone(&self.shared);
            match served {
                Ok(true) if self.flood == 0 => self.link.trim(),
                Ok(_) => {
                    shared.closes.count(self.answered_with);
                    return self.close().await;
                }
                Err(Nothing::Close) => {
                    shared.closes.count(CloseReason::Rested);
                    // No answer is on its way on one that carried nothing: its place is wanted now.
                    if carried_nothing {
                        return;
                    }
                    return self.close().await;
                }
                Err(Nothing::Gone) => return shared.closes.count(self.left_with),
                Err(Nothing::Bad(bad)) => {
                    shared.closes.count(CloseReason::BadMessage);
                    return self.reject(&bad).await;
                }
            }
        }
    }

    /// Waits for a head; with it, when its first byte came.
    async fn head(&mut self, first: bool) -> Result<(RequestHead, Instant), Nothing> {
        let mut began = (!self.link.buf.is_empty()).then(Instant::now);
        let carried = if first { ConnectionHistory::Unused } else { ConnectionHistory::CarriedRequests };
        let mut resting = began.is_none().then(|| self.idle.enter(carried));
        let mut phase = self.shared.phase.subscribe();
        loop {
            if let Some(head) = head::take_request(&mut self.link.buf).map_err(Bad::from)? {
                return Ok((head, began.unwrap_or_else(Instant::now)));
            }
            let until = match began {
                Some(began) => Some(self.due(first, began)),
                None => first.then(|| self.since + REQUEST_TIME),
            };
            let quiet = began.is_none();
            let come = tokio::select! {
                biased;
                read = self.link.read() => Some(read),
                () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => {
                    match quiet {
                        true => None,
                        false => return Err(Nothing::Bad(too_late())),
                    }
                }
                () = asked_to_close(resting.as_ref()), if quiet => None,
                _ = phase.wait_for(|phase| *phase == Phase::Closing), if quiet => None,
            };
            let come = match come {
                Some(read) => read,
                // A request may have come in this very moment.
                None => self.link.at_hand().await.ok_or(Nothing::Close)?,
            };
            match come {
                Ok(0) | Err(_) => return Err(Nothing::Gone),
                Ok(_) => {
                    began = began.or_else(|| Some(Instant::now()));
                    resting = None;
                }
            }
        }
    }

    /// When a request that began then has to be there.
    fn due(&self, first: bool, began: Instant) -> Instant {
        let due = began + REQUEST_TIME;
        if first {
            due.min(self.since + FIRST_REQUEST_TIME)
        } else {
            due
        }
    }

    /// Serves one request; whether another may follow.
    async fn request(&mut self, head: RequestHead, began: Instant, due: Instant) -> Result<bool, Nothing> {
        if head.target == READY_PATH && head.method == "GET" && head.framing == Framing::Length(0) {
            let ready = self.shared.phase() == Phase::Serving;
            let close = head.close || !ready;
            let answer = head::answer(if ready { 200 } else { 503 }, &[], "", close);
            return self.put(&answer, close).await;
        }
        let ask = Ask::read(&head, &self.shared.config.site).map_err(Bad::from)?;
        let body = match timeout_at(due, self.link.body(head.framing, MOST_BODY)).await {
            Ok(Ok(body)) => body,
            Ok(Err(NoBody::Ended)) => return Err(Nothing::Gone),
            Ok(Err(error)) => return Err(Bad::from(error).into()),
            Err(_) => return Err(too_late().into()),
        };
        if body.is_empty() {
            return Err(Bad::from(AskError::NoBody).into());
        }
        let ask = ask.with_body(body.len());
        let asks = Arc::clone(&self.shared.asks);
        let Ok(place) = self.watched(asks.acquire_owned()).await? else { return Err(Nothing::Close) };
        if !self.shared.take(&ask.txn) {
            let text = "a request of this id is open".to_owned();
            return Err(Bad { status: 409, text }.into());
        }
        let (answer, answered) = oneshot::channel();
        let id = self.shared.next_id();
        let forward = Arc::new(Forward::new(head.target.clone(), ask.txn.clone(), body));
        let mut ticket =
            Ticket { id, forward: Arc::clone(&forward), shared: Arc::clone(&self.shared), over: false };
        self.left_with = CloseReason::ClientLeft;
        let began = self.shared.clock.at(began.into_std());
        self.shared.tell(Message::Ask { id, ask: Box::new(ask), forward, began, answer, place });
        let answer = self.watched(answered).await?;
        let close = head.close || self.shared.phase() >= Phase::Leaving;
        let (status, extra) = match answer {
            Ok(Answer::Stream(pieces)) => return self.stream(pieces, &mut ticket, close).await,
            Ok(Answer::Refused { over_share, retry_after }) => {
                (if over_share { 429 } else { 503 }, come_back(retry_after))
            }
            // The owner has ended: nothing is known of the request.
            Ok(Answer::Failed) | Err(_) => (500, Vec::new()),
        };
        ticket.over = true;
        let text =
            if status == 500 { "not answered; it may have run" } else { "not done; a retry is harmless" };
        self.put(&head::answer(status, &extra, text, close), close).await
    }

    /// Waits for something of the request while the client stays. What it sends meanwhile is read also where there is no
    /// room for it, or its leaving would stand behind it unseen.
    async fn watched<T>(&mut self, what: impl std::future::Future<Output = T>) -> Result<T, Nothing> {
        tokio::pin!(what);
        loop {
            tokio::select! {
                biased;
                done = &mut what => return Ok(done),
                stays = self.link.more() => if !stays || self.flood > FLOOD { return Err(Nothing::Gone) },
            }
            self.flood += self.link.buf.len().saturating_sub(AHEAD);
            self.link.buf.truncate(AHEAD);
        }
    }

    /// Passes a stream on; whether another request may follow.
    async fn stream(
        &mut self,
        mut pieces: mpsc::Receiver<Piece>,
        ticket: &mut Ticket,
        close: bool,
    ) -> Result<bool, Nothing> {
        let mut out = BytesMut::from(head::stream_head(close));
        let mut whole = false;
        while !whole {
            let piece = self.watched(pieces.recv()).await?;
            let mut next = piece;
            loop {
                match next {
                    Some(Piece::Events(events)) => put_chunk(&mut out, &events),
                    Some(Piece::Whole) => {
                        out.extend_from_slice(LAST_CHUNK);
                        whole = true;
                        break;
                    }
                    // It broke: the connection ends without the last chunk, which says so.
                    None => {
                        ticket.over = true;
                        self.answered_with = CloseReason::StreamBroke;
                        return self.put(&out, true).await;
                    }
                }
                if out.len() >= COALESCE {
                    break;
                }
                next = match pieces.try_recv() {
                    Ok(piece) => Some(piece),
                    Err(mpsc::error::TryRecvError::Empty) => break,
                    Err(mpsc::error::TryRecvError::Disconnected) => None,
                };
            }
            self.put(&out, close).await?;
            out.clear();
        }
        ticket.over = true;
        Ok(!close)
    }

    async fn put(&mut self, answer: &[u8], close: bool) -> Result<bool, Nothing> {
        match timeout(STALLED, write_all(&self.link.stream, &mut &answer[..])).await {
            Ok(Ok(())) => Ok(!close),
            _ => Err(Nothing::Gone),
        }
    }

    /// Answers what can't be taken, and closes: where the next message would begin is not known.
    async fn reject(mut self, bad: &Bad) {
        tracing::debug!(status = bad.status, why = %bad.text, "a client's message was not taken");
        let answer = head::answer(bad.status, &[], &bad.text, true);
        if self.put(&answer, true).await.is_ok() {
            self.close().await;
        }
    }

    /// Ends the sending and takes what still comes, for a while: nothing of that is answered, and the client has the end
    /// before it could think otherwise.
    async fn close(mut self) {
        if self.link.stream.shutdown().await.is_err() {
            return;
        }
        self.link.buf = BytesMut::new();
        let mut seen = 0;
        let drain = async {
            while seen < LINGER_BYTES {
                match self.link.read().await {
                    Ok(n) if n > 0 => seen += n,
                    _ => return,
                }
                self.link.buf.clear();
            }
        };
        let _ = timeout(LINGER, drain).await;
    }
}

async fn asked_to_close(resting: Option<&Resting>) {
    match resting {
        Some(resting) => resting.asked_to_close().await,
        None => std::future::pending().await,
    }
}

fn too_late() -> Bad {
    Bad { status: 408, text: "the request did not come in time".to_owned() }
}

/// Seconds until a client may come back, where one is told.
fn come_back(retry_after: Nanos) -> Vec<(&'static str, String)> {
    let seconds = retry_after as f64 / 1e9;
    (retry_after > 0).then(|| ("Retry-After", format!("{seconds:.3}"))).into_iter().collect()
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
