//! One attempt at a worker: its request is written, and what comes back is told to the owner. Nothing is ever sent
//! again from here.

use super::pool::{Conn, LastExchange, Pool, Target};
use crate::client::Piece;
use crate::link::NoAnswer;
use crate::shared::{Forward, Message, Seen, Shared};
use crate::transient::write_all;
use bytes::{Buf, Bytes, BytesMut};
use gaparch_net::Clock;
use gaparch_platform_protocol::body::{Body, Part};
use gaparch_platform_protocol::events::Events;
use gaparch_platform_protocol::head::AnswerHead;
use gaparch_platform_protocol::worker::{job_head, kept, meaning, Meaning};
use gaparch_scheduler::api::{AttemptNumber, AttemptStatus, Nanos, RequestId};
use gaparch_scheduler::policy::connect::SendRisk;
use gaparch_scheduler::policy::send_guards::{self, Denial, SendFacts};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A client may be left waiting for 5 s after an event; a worker silent for that long has to be ended before.
const SILENCE: Duration = Duration::from_millis(4000);
/// Bytes of an answer without events: a few figures.
const MOST_ANSWER: usize = 16 * 1024;

/// One attempt.
pub(crate) struct Job {
    pub id: RequestId,
    pub no: AttemptNumber,
    pub target: Target,
    pub reads: bool,
    /// Whether something is held for its request that it is to fetch.
    pub carries: SendRisk,
    /// When the client stops waiting for its first token.
    pub give_up_at: Nanos,
    pub forward: Arc<Forward>,
    /// The attempt before it, which must be off its connection before this one is written.
    pub prior: Option<JoinHandle<()>>,
    /// Ends with the last release for the request, which would let go of what this attempt has read, too.
    pub releasing: Option<oneshot::Receiver<()>>,
    /// For writing the request on a connection that is up.
    pub write_within: Duration,
    /// When its last byte has to be written, whatever the connection takes.
    pub write_by: Nanos,
    /// For one try of a release, and for the few figures behind a head that has told all that matters.
    pub release_within: Duration,
    /// Says when the last byte was written.
    pub written: watch::Sender<bool>,
}

/// How an exchange ended, with its connection if the answer's framing is at its end.
struct End {
    seen: Option<Seen>,
    conn: Option<(Conn, AnswerHead)>,
}

impl End {
    /// Given up meanwhile: its connection closes, and nobody has to hear of it.
    const UNWANTED: End = End { seen: None, conn: None };

    fn broken(status: AttemptStatus) -> End {
        End { seen: Some(Seen::Ended { status, note: 0 }), conn: None }
    }
}

/// Times on the socket, for whoever compares them with what the module believes. An attempt that is given up is logged as
/// abandoned: a cancelled one tells by this how far it had come.
struct Trace {
    line: Option<TraceLine>,
    clock: Clock,
    asked: Nanos,
    /// How long its connection had stood idle, if it is not new.
    idle: Option<Duration>,
    connected: Nanos,
    written: Nanos,
    first: Nanos,
}

/// What a trace is of.
struct TraceLine {
    request: u64,
    attempt: u32,
    target: Target,
    reads: bool,
    forward: Arc<Forward>,
}

impl Trace {
    fn new(job: &Job, clock: Clock) -> Trace {
        let line = TraceLine {
            request: job.id.0,
            attempt: job.no.0,
            target: job.target,
            reads: job.reads,
            forward: Arc::clone(&job.forward),
        };
        Trace { line: Some(line), clock, asked: clock.now(), idle: None, connected: 0, written: 0, first: 0 }
    }

    fn log(&mut self, end: &dyn std::fmt::Debug) {
        let Some(line) = self.line.take() else { return };
        tracing::debug!(
            target: "gaparch_platform_router::wire",
            request = line.request,
            txn = line.forward.txn.as_str(),
            attempt = line.attempt,
            worker = line.target.server.0,
            address = %line.target.address,
            reads = line.reads,
            idle_ms = self.idle.map(|idle| idle.as_millis() as u64),
            connected_us = self.connected.saturating_sub(self.asked) / 1000,
            written_us = self.written.saturating_sub(self.asked) / 1000,
            first_us = self.first.saturating_sub(self.asked) / 1000,
            ended_us = self.clock.now().saturating_sub(self.asked) / 1000,
            ?end,
            "exchange"
        );
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.log(&"abandoned");
    }
}

/// Carries an attempt out. Dropped, its connection closes with it.
pub(crate) async fn exchange(mut job: Job, pool: Arc<Pool>, shared: Arc<Shared>) {
    if let Some(prior) = job.prior.take() {
        // It was told to stop: whatever it ended with, its connection is closed now.
        let _ = prior.await;
    }
    if let Some(releasing) = job.releasing.take() {
        // A worker that does not take it must not hold up the attempt for long.
        let _ = timeout(job.release_within, releasing).await;
    }
    let mut trace = Trace::new(&job, shared.clock);
    let end = attempt(&job, &pool, &shared, &mut trace).await;
    let at = shared.clock.now();
    trace.log(&end.seen);
    if let Some((conn, head)) = end.conn {
        pool.put(conn, &head, LastExchange::Attempt(job.carries));
    }
    if let Some(seen) = end.seen {
        shared.tell(Message::Worker { server: job.target.server, id: job.id, no: job.no, at, seen });
    }
}

async fn attempt(job: &Job, pool: &Pool, shared: &Shared, trace: &mut Trace) -> End {
    let left = Duration::from_nanos(job.write_by.saturating_sub(shared.clock.now()));
    let mut conn = match timeout(left, pool.get_for(job.target, job.carries)).await {
        Ok(Ok(conn)) => conn,
        Ok(Err(failure)) => return End::broken(failure.status()),
        Err(_) => return End::broken(AttemptStatus::Expired),
    };
    // Until the poller has been asked once more, a close or a change of the list that has arrived is not known of.
    tokio::task::yield_now().await;
    if let Err(denial) = may_send(job, shared) {
        shared.denied(job.id, denial);
        return End::broken(denial.status());
    }
    trace.idle = conn.idle;
    trace.connected = shared.clock.now();
    if let Err(reason) = write(job, shared, &mut conn).await {
        return End::broken(reason);
    }
    trace.written = shared.clock.now();
    job.written.send_replace(true);
    let head = match conn.link.answer().await {
        Ok(head) => head,
        // It ended after the last byte was written: it may have run.
        Err(NoAnswer::Ended) => {
            pool.broke(&conn);
            return End::broken(AttemptStatus::Reset);
        }
        // Noise, or a head without end, in place of an answer: it has run.
        Err(NoAnswer::Unreadable(_) | NoAnswer::Interim) => return End::broken(AttemptStatus::Unknown),
    };
    trace.first = shared.clock.now();
    pool.heard(job.target);
    match meaning(&head, job.reads) {
        Meaning::Ended(status, note) => {
            let (_, conn) = figures(conn, head, job.release_within).await;
            End { seen: Some(Seen::Ended { status, note }), conn }
        }
        Meaning::Read => {
            // The head alone says that it is read; a body that breaks off costs only the figure.
            let (body, conn) = figures(conn, head, job.release_within).await;
            End { seen: Some(Seen::Read { kept: kept(&body) }), conn }
        }
        Meaning::Stream => stream(job, shared, conn, head).await,
    }
}

/// Whether an attempt whose connection is up may still be sent: its client may have left since it was decided on, its time
/// may be over, or its worker may be drained or gone, perhaps by a list that the owner has not come to yet.
fn may_send(job: &Job, shared: &Shared) -> Result<(), Denial> {
    send_guards::may_send(&SendFacts {
        now: shared.clock.now(),
        deadline_at: job.give_up_at,
        send_by: job.write_by,
        // The attempt before it was waited for, and an answer cancels what is out.
        answered: false,
        attempt_in_flight: false,
        attempts_exhausted: false,
        repeat: None,
        client_disconnected: job.forward.is_left(),
        server_ready: shared.ready_workers.may_be_sent_to(job.target.server),
    })
}

/// Writes the request up to its last byte, before which it has not run. A worker that takes none of it must not get the
/// rest when the time of a drain or of a repeat is over.
async fn write(job: &Job, shared: &Shared, conn: &mut Conn) -> Result<(), AttemptStatus> {
    let Forward { target, txn, body, .. } = &*job.forward;
    let now = shared.clock.now();
    // What is left to the client now, not when the attempt was decided on.
    let wait_ms = Duration::from_nanos(job.give_up_at.saturating_sub(now)).as_millis().max(1);
    let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
    let head = job_head(target, txn, &job.target.address.to_string(), wait_ms, body.len());
    let mut request = head.chain(&body[..]);
    let within = job.write_within.min(Duration::from_nanos(job.write_by.saturating_sub(now)));
    match timeout(within, write_all(&conn.link.stream, &mut request)).await {
        Ok(Ok(())) => Ok(()),
        _ if shared.clock.now() >= job.write_by => Err(AttemptStatus::Expired),
        _ => Err(AttemptStatus::ConnectFailed),
    }
}

/// Reads a body of a few figures; without it the connection is of no further use. One that never ends must not hold back
/// what the head has told: a read state's time runs, and so does the client's.
async fn figures(mut conn: Conn, head: AnswerHead, within: Duration) -> (Bytes, Option<(Conn, AnswerHead)>) {
    match timeout(within, conn.link.body(head.framing, MOST_ANSWER)).await {
        Ok(Ok(body)) => (body, Some((conn, head))),
        _ => (Bytes::new(), None),
    }
}

/// Passes events on as they come. Until the first sound one was passed on, anything unsound is a failed attempt.
async fn stream(job: &Job, shared: &Shared, mut conn: Conn, head: AnswerHead) -> End {
    let mut body = Body::new(head.framing);
    let mut events = Events::default();
    let mut client: Option<mpsc::Sender<Piece>> = None;
    // What has come and was not passed on: all that is at hand is looked at first, so that what is spoilt at once has
    // not begun.
    let mut ready = BytesMut::new();
    // The worker is there and has run it: this is no broken connection, after which it would count as a new process.
    let spoilt = || End::broken(AttemptStatus::Unknown);
    loop {
        let part = match body.next(&mut conn.link.buf) {
            Ok(part) => part,
            Err(_) => return spoilt(),
        };
        match part {
            Part::Data(data) => match events.take(&data) {
                Ok(Some(run)) => ready.extend_from_slice(&run),
                Ok(None) => {}
                Err(_) => return spoilt(),
            },
            Part::End => {
                if pass_on(job, shared, &mut ready, &mut client).await.is_err() {
                    return End::UNWANTED;
                }
                return whole(conn, head, &events, client).await;
            }
            Part::Wait => {
                if pass_on(job, shared, &mut ready, &mut client).await.is_err() {
                    return End::UNWANTED;
                }
                // Before the first event the attempt's own time-out holds.
                let within = if client.is_some() { SILENCE } else { Duration::MAX };
                match timeout(within, conn.link.read()).await {
                    Ok(Ok(n)) if n > 0 => {}
                    Ok(Ok(_)) if body.ends_with_connection() => {
                        return whole(conn, head, &events, client).await;
                    }
                    Ok(_) => return End::broken(AttemptStatus::Reset),
                    Err(_) => return End::broken(AttemptStatus::Timeout),
                }
            }
        }
    }
}

/// Nobody wants the stream any more.
struct Unwanted;

/// Passes on what is ready, to whom the owner says if it is the first.
async fn pass_on(
    job: &Job,
    shared: &Shared,
    ready: &mut BytesMut,
    client: &mut Option<mpsc::Sender<Piece>>,
) -> Result<(), Unwanted> {
    if ready.is_empty() {
        return Ok(());
    }
    if client.is_none() {
        *client = begin(job, shared).await;
    }
    let Some(to) = client else { return Err(Unwanted) };
    // A full queue stops the reading here, and so the worker: nothing is cut off.
    to.send(Piece::Events(ready.split().freeze())).await.map_err(|_| Unwanted)
}

/// Asks the owner where the stream may go.
async fn begin(job: &Job, shared: &Shared) -> Option<mpsc::Sender<Piece>> {
    let (grant, granted) = oneshot::channel();
    let at = shared.clock.now();
    let seen = Seen::Begun(grant);
    shared.tell(Message::Worker { server: job.target.server, id: job.id, no: job.no, at, seen });
    granted.await.ok()
}

/// The body has ended: the stream is whole if its last event was there.
async fn whole(conn: Conn, head: AnswerHead, events: &Events, client: Option<mpsc::Sender<Piece>>) -> End {
    let Some(client) = client.filter(|_| events.is_whole()) else {
        return End::broken(AttemptStatus::Unknown);
    };
    if client.send(Piece::Whole).await.is_err() {
        return End::UNWANTED;
    }
    End { seen: Some(Seen::Ended { status: AttemptStatus::Ok, note: 0 }), conn: Some((conn, head)) }
}
