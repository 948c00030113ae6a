//! The record of what was sent under which version: written beside everything else, and never waited for.

use super::ops::News;
use gaparch_audit::{AuditLog, ChainVerifier, SendBatch};
use gaparch_net::Clock;
use gaparch_protocol::ops::{from_bytes, to_bytes};
use gaparch_protocol::versions::AuditSegment;
use gaparch_store::{Disk, History, HistoryLimits, Journal, StateDirectory, StoreError};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Hand-overs that wait; past it the owner keeps counting.
pub(super) const INBOX: usize = 64;
/// What is left open is closed so often.
const CLOSE_EVERY: Duration = Duration::from_secs(5);
/// The records' meaning: one piece; of the mark: the number of the last piece written.
const SCHEMA: u16 = 1;
const LIMITS: HistoryLimits = HistoryLimits { segment_bytes: 1 << 20, max_segments: 16 };
/// Marks before their journal is written anew.
const MARKS: u64 = 1024;

/// The record, for whoever asks about it.
pub(super) type Shared = Arc<Mutex<AuditLog>>;

pub(super) fn lock(book: &Shared) -> MutexGuard<'_, AuditLog> {
    book.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(super) enum Message {
    Sent(SendBatch),
    /// The router ends in good order; told once all is on disk.
    Finish(oneshot::Sender<()>),
}

/// Where it is kept.
pub(super) struct Shelf {
    history: Option<History<Box<dyn Disk>>>,
    mark: Option<Journal<Box<dyn Disk>>>,
}

impl Shelf {
    /// Reads what is kept. A disk that can't be read keeps no router from starting; the record says what it lacks.
    pub fn open(disk: Box<dyn Disk>, mark: Box<dyn Disk>, run: u64) -> (Shelf, AuditLog) {
        let mut pieces: Vec<AuditSegment> = Vec::new();
        let history =
            History::open(disk, "audit", SCHEMA, LIMITS, |_, body| pieces.extend(from_bytes(body))).ok();
        let (mark, written) = match Journal::open(mark, "audit-mark", SCHEMA) {
            Ok((journal, found)) => (Some(journal), marked(&found.records)),
            Err(_) => (None, 0),
        };
        (Shelf { history, mark }, AuditLog::new(run, pieces, written))
    }

    fn write(&mut self, piece: &AuditSegment) -> Result<(), String> {
        let history = self.history.as_mut().ok_or("the folder can't be read")?;
        history.push(&to_bytes(piece)).map_err(|e| e.to_string())?;
        history.flush().map_err(|e| e.to_string())?;
        let mark = self.mark.as_mut().ok_or("the folder can't be read")?;
        let number = piece.number.to_be_bytes();
        let written = match mark.needs_rewrite() || mark.records() > MARKS {
            true => mark.rewrite([number]),
            false => mark.append(&[number]),
        };
        written.map_err(|e| e.to_string())
    }
}

/// Walks over the record in the state folder of a router that does not run.
///
/// # Errors
/// When the folder can't be had, or another has it.
pub fn verify(folder: &Path) -> Result<ChainVerifier, StoreError> {
    let folder = StateDirectory::open(folder)?;
    let mut chain = ChainVerifier::default();
    History::open(folder.share(), "audit", SCHEMA, LIMITS, |_, body| {
        from_bytes(body).iter().for_each(|piece| chain.push(piece));
    })?;
    let (_, found) = Journal::open(folder, "audit-mark", SCHEMA)?;
    chain.witness(marked(&found.records));
    Ok(chain)
}

/// The number of the last piece that was written.
fn marked(records: &[Vec<u8>]) -> u64 {
    let numbers = records.iter().filter_map(|r| Some(u64::from_be_bytes(r.as_slice().try_into().ok()?)));
    numbers.max().unwrap_or(0)
}

/// Takes what the owner has counted, and writes pieces as they are closed.
pub(super) async fn run(
    mut shelf: Shelf,
    book: Shared,
    mut inbox: mpsc::Receiver<Message>,
    clock: Clock,
    news: mpsc::Sender<News>,
) {
    let mut told = None;
    let mut close = tokio::time::interval(CLOSE_EVERY);
    close.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for gap in lock(&book).gaps() {
        tracing::warn!(%gap, "the audit's record has a gap");
    }
    let mut begins = lock(&book).start(clock.now());
    loop {
        let (piece, finished) = if begins.is_some() {
            (begins.take(), None)
        } else {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(Message::Sent(sent)) => (lock(&book).append(&sent), None),
                    Some(Message::Finish(reply)) => (lock(&book).finish(clock.now()), Some(reply)),
                    None => return,
                },
                _ = close.tick() => (lock(&book).close_segment(false), None),
            }
        };
        if let Some(piece) = piece {
            let work = tokio::task::spawn_blocking(move || {
                let result = shelf.write(&piece);
                (shelf, result)
            });
            let Ok((back, result)) = work.await else { return };
            shelf = back;
            let trouble = result.err();
            if told.as_ref() != Some(&trouble) {
                if news.send(News::NotKept("the audit's record", trouble.clone())).await.is_err() {
                    return;
                }
                told = Some(trouble);
            }
        }
        if let Some(reply) = finished {
            let _ = reply.send(());
            return;
        }
    }
}
