//! The catalogue: the whole list, then one watch after the other on one connection. This task waits for nobody, so
//! that a watch never lapses.

use crate::link::Link;
use crate::shared::{Message, Shared};
use gaparch_platform::body::MOST_BODY;
use gaparch_platform::catalogue::{list_call, watch_call, Members};
use gaparch_protocol::list::Scope;
use gaparch_router::core::ListUpdate;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// How long one watch may wait. What there is to tell counts as told 2 s after that at the latest: a short wait
/// notices a silent agent early.
const WAIT: Duration = Duration::from_millis(1000);
/// For the answer, beyond the wait: the agent answers immediately.
const ANSWER: Duration = Duration::from_millis(1000);
const CONNECT: Duration = Duration::from_millis(500);
/// Between two tries.
const AGAIN: Duration = Duration::from_millis(100);
/// What there is to tell counts as told so long after the agent had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// The longest that a change can be missed: a watch falls silent as it begins, the next connection hangs, the one after
/// it is asked at the very end of its time. No wait here grows with the number of tries, or this would not be all.
const MISSED: Duration = Duration::from_millis(
    (WAIT.as_millis() + ANSWER.as_millis() // the silent watch
        + 2 * (AGAIN.as_millis() + CONNECT.as_millis()) // two connections, the first in vain
        + ANSWER.as_millis()) as u64, // the list
);
const _: () = assert!(MISSED.as_millis() < TOLD.as_millis());

/// What the module wants of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Wanted {
    pub watch: bool,
    /// Grows with each whole list that is asked for.
    pub fetches: u64,
}

pub(crate) async fn follow(
    mut address: watch::Receiver<SocketAddr>,
    mut wanted: watch::Receiver<Wanted>,
    shared: Arc<Shared>,
) {
    let mut fetched = 0;
    let mut generation = None;
    let mut down = false;
    loop {
        if wanted.wait_for(|w| w.watch || w.fetches > fetched).await.is_err() {
            return;
        }
        let to = *address.borrow_and_update();
        let talk = talk(to, &wanted, &mut fetched, &mut generation, &mut down, &shared);
        let why = tokio::select! {
            why = talk => match why {
                Some(why) => why,
                None => continue,
            },
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                tracing::info!(address = %*address.borrow(), "the catalogue has moved");
                // Generations are one agent's: the new one tells the whole list.
                generation = None;
                continue;
            }
        };
        if !down {
            down = true;
            tracing::warn!(%why, "the catalogue does not answer");
            shared.tell(Message::ListDown);
        }
        sleep(AGAIN).await;
    }
}

/// Talks to an agent until something is wrong, or nothing more is wanted of it.
async fn talk(
    to: SocketAddr,
    wanted: &watch::Receiver<Wanted>,
    fetched: &mut u64,
    generation: &mut Option<u64>,
    down: &mut bool,
    shared: &Shared,
) -> Option<String> {
    let mut link = match timeout(CONNECT, TcpStream::connect(to)).await {
        Ok(Ok(stream)) => Link::new(stream),
        Ok(Err(error)) => return Some(error.to_string()),
        Err(_) => return Some("no connection in time".to_owned()),
    };
    let host = to.to_string();
    loop {
        let Wanted { watch, fetches } = *wanted.borrow();
        let after = generation.filter(|_| fetches <= *fetched);
        let call = match after {
            Some(after) if watch => watch_call(&host, after, WAIT.as_millis() as u64),
            Some(_) => return None,
            None => list_call(&host),
        };
        let asked = Instant::now();
        let members = match timeout(WAIT + ANSWER, ask(&mut link, &call)).await {
            Ok(Ok(members)) => members,
            Ok(Err(why)) => {
                // Nonsense, or a broken connection: the whole list tells what was missed.
                *generation = None;
                return Some(why);
            }
            Err(_) => return Some("silent".to_owned()),
        };
        if after.is_none() {
            *fetched = fetches;
            if members.scope != Scope::Full {
                *generation = None;
                return Some("changes where the whole list was asked for".to_owned());
            }
        }
        if std::mem::take(down) {
            tracing::info!("the catalogue answers");
        }
        if members.dropped > 0 {
            tracing::warn!(entries = members.dropped, "entries of the catalogue make no sense");
        }
        let news = after != Some(members.generation) || !members.entries.is_empty();
        *generation = Some(members.generation);
        if news {
            let (scope, version) = (members.scope, members.generation);
            let after = after.unwrap_or(0);
            shared.tell(Message::List(ListUpdate { scope, version, after, entries: members.entries }));
        } else if asked.elapsed() < AGAIN {
            // An agent that does not wait must not be asked without end; the next call still continues the watch.
            sleep(AGAIN).await;
        }
    }
}

async fn ask(link: &mut Link, call: &str) -> Result<Members, String> {
    link.stream.write_all(call.as_bytes()).await.map_err(|e| e.to_string())?;
    let head = link.answer().await.map_err(|e| e.to_string())?;
    let body = link.body(head.framing, MOST_BODY).await.map_err(|e| e.to_string())?;
    if head.status != 200 {
        return Err(format!("it answers {}", head.status));
    }
    Members::read(&body).map_err(|e| e.to_string())
}
