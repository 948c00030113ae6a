//! The catalogue: the whole list, then one watch after the other on one connection. This task waits for nobody, so
//! that a watch never lapses.

mod backoff;

use crate::link::{Link, NoAnswer};
use crate::shared::{Message, Phase, Shared};
use crate::transient::write_all;
use backoff::Backoff;
use gaparch_platform_protocol::body::{Body, BodyError, Part};
use gaparch_platform_protocol::catalogue::{
    list_call, watch_call, CatalogueError, ListLimits, Members, MembersReader,
};
use gaparch_platform_protocol::head::AnswerHead;
use gaparch_protocol::list::Scope;
use gaparch_router::core::ListUpdate;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// How long one watch may wait. What there is to tell counts as told 2 s after that at the latest: a short wait
/// notices a silent agent early.
const WAIT: Duration = Duration::from_millis(1000);
/// For the answer, beyond the wait: the agent answers immediately.
const ANSWER: Duration = Duration::from_millis(800);
/// For a connection to the agent.
const CONNECT: Duration = Duration::from_millis(500);
/// Between two tries.
const AGAIN: Duration = Duration::from_millis(100);
/// What there is to tell counts as told so long after the agent had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// One connection after a fault, up to the answer of its first call, which does not wait.
const ONE_TRY: Duration =
    Duration::from_millis((AGAIN.as_millis() + CONNECT.as_millis() + ANSWER.as_millis()) as u64);
/// The longest that a change can be missed: a watch falls silent as it begins, the next connection is taken and stays
/// silent, too, and the one after it answers at the very end of its time. No wait here grows with the number of tries,
/// or this would not be all.
const MISSED: Duration =
    Duration::from_millis((WAIT.as_millis() + ANSWER.as_millis() + 2 * ONE_TRY.as_millis()) as u64);
/// For a process that gets so little of its core that it comes late to what has arrived.
const STARVED: Duration = Duration::from_secs(1);
const _: () = assert!(MISSED.as_millis() + STARVED.as_millis() < TOLD.as_millis());

/// Between two log lines on a catalogue that stays out of reach or refuses.
const LOG_EVERY: Duration = Duration::from_secs(10);
/// Bytes of a list that are parsed before other tasks get a turn.
const YIELD_AFTER: usize = 64 * 1024;

/// What the module wants of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Wanted {
    pub watch: bool,
    /// Grows with each whole list that is asked for.
    pub fetches: u64,
}

/// Why a connection to the agent is given up.
#[derive(Debug, Error)]
enum Fault {
    #[error("can't connect: {0}")]
    Connect(io::Error),
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("no answer in time")]
    Silent,
    #[error("the connection broke: {0}")]
    Broken(io::Error),
    #[error(transparent)]
    Answer(#[from] NoAnswer),
    #[error("its body can't be read: {0}")]
    Body(#[from] BodyError),
    #[error("the connection ended within the list")]
    ListCutOff,
    #[error("it answers {0}")]
    Status(u16),
    #[error(transparent)]
    List(#[from] CatalogueError),
    #[error("changes where the whole list was asked for")]
    NotWhole,
}

impl Fault {
    /// Whether the agent was reached and may have told something that was lost: only the whole list makes up for it.
    fn loses_generation(&self) -> bool {
        !matches!(self, Fault::Connect(_) | Fault::ConnectTimeout | Fault::Silent)
    }

    /// Whether the agent has answered with what can't be taken: it would do so again at once.
    fn refuses_list(&self) -> bool {
        matches!(self, Fault::Body(_) | Fault::Status(_) | Fault::List(_) | Fault::NotWhole)
    }
}

/// How far the list is known, across connections.
#[derive(Debug, Default)]
struct Progress {
    /// The agent that `generation` is of.
    agent: Option<SocketAddr>,
    generation: Option<u64>,
    fetched: u64,
    down: bool,
    /// When a fault was last logged.
    logged: Option<Instant>,
}

impl Progress {
    /// Generations are one agent's: another one has to tell its whole list.
    fn turn_to(&mut self, agent: SocketAddr) {
        if self.agent.replace(agent) != Some(agent) {
            self.generation = None;
        }
    }

    /// Whether a fault is to be logged now, which is so at the first one and then once in [`LOG_EVERY`].
    fn may_log(&mut self) -> bool {
        let now = Instant::now();
        let may = self.logged.is_none_or(|at| now >= at + LOG_EVERY);
        if may {
            self.logged = Some(now);
        }
        may
    }
}

/// Follows the list for as long as the router runs.
pub(crate) async fn follow(
    mut address: watch::Receiver<SocketAddr>,
    mut wanted: watch::Receiver<Wanted>,
    shared: Arc<Shared>,
) {
    let mut progress = Progress::default();
    let mut backoff = Backoff::new(shared.config.site.settings.seed);
    loop {
        if wanted.wait_for(|w| w.watch || w.fetches > progress.fetched).await.is_err() {
            return;
        }
        let agent = *address.borrow_and_update();
        // Also an address that changed while nothing was asked, between two tries.
        progress.turn_to(agent);
        let ended = tokio::select! {
            ended = talk(agent, &wanted, &mut progress, &shared) => ended,
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                tracing::info!(address = %*address.borrow(), "the catalogue has moved");
                // Also the same address again: what an answer was lost with is not known.
                progress.generation = None;
                continue;
            }
        };
        let Err(fault) = ended else { continue };
        if fault.loses_generation() {
            progress.generation = None;
        }
        let first = !std::mem::replace(&mut progress.down, true);
        if progress.may_log() {
            let waiting = shared.phase() == Phase::Starting;
            let consequence =
                if waiting { "waiting for a first list" } else { "the last list stays in force" };
            tracing::warn!(%agent, %fault, "the catalogue's list is not to be had: {consequence}");
        }
        if first {
            shared.tell(Message::ListDown);
            // At the start the list as last held serves, once the catalogue is known not to answer.
            shared.serve_known_list();
        }
        if fault.refuses_list() {
            sleep(backoff.wait()).await;
        } else {
            backoff.reset();
            sleep(AGAIN).await;
        }
    }
}

/// Talks to an agent until something is wrong, or nothing more is wanted of it.
async fn talk(
    agent: SocketAddr,
    wanted: &watch::Receiver<Wanted>,
    progress: &mut Progress,
    shared: &Shared,
) -> Result<(), Fault> {
    let connecting = timeout(CONNECT, TcpStream::connect(agent)).await;
    let stream = connecting.map_err(|_| Fault::ConnectTimeout)?.map_err(Fault::Connect)?;
    let mut link = Link::new(stream);
    let host = agent.to_string();
    // The first call on a connection is answered at once: a silent one is noticed that much sooner.
    let mut wait = Duration::ZERO;
    loop {
        let Wanted { watch, fetches } = *wanted.borrow();
        let after = progress.generation.filter(|_| fetches <= progress.fetched);
        let call = match after {
            Some(after) if watch => watch_call(&host, after, wait.as_millis() as u64),
            Some(_) => return Ok(()),
            None => list_call(&host),
        };
        let within = if after.is_some() { wait + ANSWER } else { ANSWER };
        let asked = Instant::now();
        let limits = shared.config.list_limits;
        let members = timeout(within, ask(&mut link, &call, limits)).await.map_err(|_| Fault::Silent)??;
        if after.is_none() {
            progress.fetched = fetches;
            if members.scope != Scope::Full {
                return Err(Fault::NotWhole);
            }
        }
        if std::mem::take(&mut progress.down) {
            tracing::info!("the catalogue answers");
        }
        let news = after != Some(members.generation) || !members.entries.is_empty();
        progress.generation = Some(members.generation);
        if news {
            tell(members, after, shared);
        } else if !wait.is_zero() && asked.elapsed() < AGAIN {
            // An agent that does not wait must not be asked without end; the next call still continues the watch.
            sleep(AGAIN).await;
        }
        wait = WAIT;
    }
}

/// Hands on what the agent has told, first to those who are about to send.
fn tell(members: Members, after: Option<u64>, shared: &Shared) {
    if members.dropped > 0 {
        tracing::warn!(entries = members.dropped, "entries of the catalogue make no sense");
    }
    shared.ready_workers.update(members.scope, &members.entries);
    shared.tell(Message::List(ListUpdate {
        scope: members.scope,
        version: members.generation,
        base_version: after.unwrap_or(0),
        entries: members.entries,
    }));
}

async fn ask(link: &mut Link, call: &str, limits: ListLimits) -> Result<Members, Fault> {
    write_all(&link.stream, &mut call.as_bytes()).await.map_err(Fault::Broken)?;
    let head = link.answer().await?;
    if head.status != 200 {
        return Err(Fault::Status(head.status));
    }
    read_members(link, head, limits).await
}

/// Reads a list as it comes: no copy of it is kept.
async fn read_members(link: &mut Link, head: AnswerHead, limits: ListLimits) -> Result<Members, Fault> {
    let mut body = Body::within(head.framing, limits.bytes);
    let mut members = MembersReader::new(limits);
    let mut unyielded = 0;
    loop {
        match body.next(&mut link.buf)? {
            Part::Data(data) => {
                members.push(&data)?;
                unyielded += data.len();
            }
            Part::End => break,
            Part::Wait if link.more().await => {}
            Part::Wait if body.ends_with_connection() => break,
            Part::Wait => return Err(Fault::ListCutOff),
        }
        if unyielded >= YIELD_AFTER {
            // Streams must not wait for a long list.
            unyielded = 0;
            tokio::task::yield_now().await;
        }
    }
    link.trim();
    Ok(members.finish()?)
}
