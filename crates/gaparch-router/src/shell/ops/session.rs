//! One console or script.

use super::{KnownOperator, Lobby, News};
use crate::shell::owner::Control;
use bytes::BytesMut;
use gaparch_net::{FrameReader, ReadError};
use gaparch_protocol::frame::encode;
use gaparch_protocol::ops::{
    Answer, DenyCode, OpsFrame, Order, Query, SessionRole, Update, MAX_QUERY_BYTES, VERSION,
};
use gaparch_scheduler::api::RequestId;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, UnixListener};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// Who says nothing for so long after connecting is sent away.
const HELLO_WITHIN: Duration = Duration::from_secs(5);
/// A socket that takes no bytes for so long is closed: its console was stopped, or is no more.
const WRITE_WITHIN: Duration = Duration::from_secs(120);
/// Updates that wait for one subscriber.
const UPDATES: usize = 64;
/// Live requests of one answer.
const MOST_LIVE: u32 = 2000;

pub(super) async fn accept_tcp(listener: TcpListener, lobby: Arc<Lobby>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let _ = socket.set_nodelay(true);
                let (reader, writer) = socket.into_split();
                begin(reader, writer, false, &lobby);
            }
            Err(error) => failed(&error).await,
        }
    }
}

pub(super) async fn accept_unix(listener: UnixListener, lobby: Arc<Lobby>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let (reader, writer) = socket.into_split();
                begin(reader, writer, true, &lobby);
            }
            Err(error) => failed(&error).await,
        }
    }
}

async fn failed(error: &std::io::Error) {
    tracing::warn!(%error, "can't accept an operator");
    sleep(Duration::from_millis(100)).await;
}

fn begin<R, W>(reader: R, writer: W, local: bool, lobby: &Arc<Lobby>)
where
    R: AsyncRead + Unpin + Send + 'static,
    W: AsyncWrite + Unpin + Send + 'static,
{
    let lobby = Arc::clone(lobby);
    tokio::spawn(async move {
        let mut session = Session { writer, bytes: BytesMut::new() };
        let Ok(_permit) = Arc::clone(&lobby.sessions).try_acquire_owned() else {
            return session.bye("too many sessions are open").await;
        };
        session.run(FrameReader::new(reader, MAX_QUERY_BYTES), local, &lobby).await;
    });
}

/// Who is at the other end.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Guest {
    who: String,
    role: SessionRole,
}

/// By a key its operator; without one only whoever may open the local socket, by the name it says.
fn admit(
    operators: &[KnownOperator],
    local: bool,
    key: Option<&str>,
    asked: SessionRole,
    who: &str,
) -> Result<Guest, &'static str> {
    let (name, most) = match key {
        None if local => (if who.is_empty() { "someone" } else { who }, SessionRole::ReadWrite),
        None => return Err("a key is wanted"),
        Some(key) => {
            // All are looked at, and each in constant time: how long it takes tells nothing of a key.
            let mut found = None;
            for operator in operators {
                if bool::from(operator.key.as_slice().ct_eq(key.as_bytes())) {
                    found = Some(operator);
                }
            }
            let operator = found.ok_or("that key is not known here")?;
            (operator.name.as_str(), operator.role)
        }
    };
    Ok(Guest { who: name.to_owned(), role: asked.min(most) })
}

struct Session<W> {
    writer: W,
    bytes: BytesMut,
}

impl<W: AsyncWrite + Unpin> Session<W> {
    async fn write(&mut self, frame: &OpsFrame) -> std::io::Result<()> {
        self.bytes.clear();
        encode(frame, &mut self.bytes);
        timeout(WRITE_WITHIN, self.writer.write_all(&self.bytes)).await?
    }

    async fn bye(&mut self, reason: &str) {
        // Whatever comes of it, the connection ends.
        let _ = self.write(&OpsFrame::Bye { reason: reason.to_owned() }).await;
        let _ = self.writer.shutdown().await;
    }

    async fn run<R: AsyncRead + Unpin>(&mut self, mut reader: FrameReader<R>, local: bool, lobby: &Lobby) {
        let guest = match timeout(HELLO_WITHIN, self.greet(&mut reader, local, lobby)).await {
            Ok(Ok(guest)) => guest,
            Ok(Err(reason)) => {
                tracing::warn!(%reason, "an operator was sent away");
                return self.bye(&reason).await;
            }
            Err(_) => return self.bye("a hello was wanted").await,
        };
        let session = session_number();
        if let Err(reason) = self.serve(&mut reader, &guest, session, lobby).await {
            tracing::info!(who = guest.who, %reason, "an operator's session ended");
            self.bye(&reason).await;
        }
        // The hub may have ended.
        let _ = lobby.news.send(News::Unsubscribe(session)).await;
    }

    async fn greet<R: AsyncRead + Unpin>(
        &mut self,
        reader: &mut FrameReader<R>,
        local: bool,
        lobby: &Lobby,
    ) -> Result<Guest, String> {
        match reader.read_one().await.map_err(|e| e.to_string())? {
            OpsFrame::Hello { version: VERSION, key, role, operator: who } => {
                let guest = admit(&lobby.operators, local, key.as_deref(), role, &who)?;
                let welcome = OpsFrame::Welcome {
                    version: VERSION,
                    router: lobby.router.clone(),
                    run: lobby.run.0,
                    role: guest.role,
                };
                self.write(&welcome).await.map_err(|e| e.to_string())?;
                Ok(guest)
            }
            OpsFrame::Hello { version, .. } => {
                Err(format!("version {version} is not spoken here, version {VERSION} is"))
            }
            _ => Err("a hello was wanted".to_owned()),
        }
    }

    async fn serve<R: AsyncRead + Unpin>(
        &mut self,
        reader: &mut FrameReader<R>,
        guest: &Guest,
        session: u64,
        lobby: &Lobby,
    ) -> Result<(), String> {
        let (updates, mut updates_in) = mpsc::channel(UPDATES);
        let mut frames = Vec::new();
        loop {
            tokio::select! {
                biased;
                read = reader.read(&mut frames) => {
                    for frame in frames.drain(..) {
                        match frame {
                            OpsFrame::Query { seq, query } => {
                                let answer = ask(query, guest, session, &updates, lobby).await?;
                                self.write(&OpsFrame::Answer { seq, answer }).await.map_err(|e| e.to_string())?;
                            }
                            OpsFrame::Bye { .. } => return Ok(()),
                            _ => return Err("a frame that an operator does not send".to_owned()),
                        }
                    }
                    match read {
                        Ok(()) => {}
                        Err(ReadError::Closed) => return Ok(()),
                        Err(error) => return Err(error.to_string()),
                    }
                }
                Some(update) = updates_in.recv() => {
                    self.write(&OpsFrame::Update(update)).await.map_err(|e| e.to_string())?;
                }
            }
        }
    }
}

fn session_number() -> u64 {
    static SESSIONS: AtomicU64 = AtomicU64::new(0);
    SESSIONS.fetch_add(1, Ordering::Relaxed)
}

const ENDED: &str = "the router has ended";

/// Answers one question; an error ends the session.
async fn ask(
    query: Query,
    guest: &Guest,
    session: u64,
    updates: &mpsc::Sender<Update>,
    lobby: &Lobby,
) -> Result<Answer, String> {
    match query {
        Query::Subscribe {} => {
            let subscribed = lobby.news.send(News::Subscribe(session, updates.clone())).await;
            subscribed.map(|()| Answer::Subscribed {}).map_err(|_| ENDED.to_owned())
        }
        Query::Unsubscribe {} => {
            let unsubscribed = lobby.news.send(News::Unsubscribe(session)).await;
            unsubscribed.map(|()| Answer::Unsubscribed {}).map_err(|_| ENDED.to_owned())
        }
        Query::Order { order } => carry_out(order, false, guest, lobby).await,
        Query::LocalOrder { order } => carry_out(order, true, guest, lobby).await,
        Query::OrderReplication {} => {
            let spread = match &lobby.fleet {
                Some(fleet) => fleet.spread().await.ok_or(ENDED)?,
                None => None,
            };
            Ok(spread.map_or_else(alone, |spread| Answer::OrderReplication { replication: Box::new(spread) }))
        }
        Query::Members {} => Ok(match &lobby.fleet {
            Some(fleet) => {
                let view = fleet.ask().await.ok_or(ENDED)?;
                Answer::Members { fleet: Box::new(view) }
            }
            None => {
                let message =
                    "this router knows of no other: its settings have no <fleet>, or the key file can't \
                               be read (see the events)"
                        .to_owned();
                Answer::Denied { code: DenyCode::Unknown, message }
            }
        }),
        Query::Audit { filter } => {
            let audit = match &lobby.fleet {
                Some(fleet) => fleet.audit(filter).await.ok_or(ENDED)?,
                None => None,
            };
            Ok(audit.map_or_else(alone, |audit| Answer::Audit { audit: Box::new(audit) }))
        }
        Query::ListVersions {} => {
            let versions = match &lobby.fleet {
                Some(fleet) => fleet.versions().await.ok_or(ENDED)?,
                None => None,
            };
            Ok(versions.map_or_else(alone, |versions| Answer::ListVersions { versions: Box::new(versions) }))
        }
        Query::OpenRequests { max: most } => {
            let most = most.clamp(1, MOST_LIVE);
            let (reply, wait) = oneshot::channel();
            lobby.control.send(Control::Live(most as usize, reply)).await.map_err(|_| ENDED)?;
            let (mut live, mut total) = wait.await.map_err(|_| ENDED)?;
            let left = most.saturating_sub(live.len() as u32);
            if let Answer::OpenRequests { requests: lately, total: more } =
                ask_hub(Query::OpenRequests { max: left }, lobby).await?
            {
                live.extend(lately);
                total += more;
            }
            Ok(Answer::OpenRequests { requests: live, total })
        }
        Query::RequestDetails { request } => {
            let (reply, wait) = oneshot::channel();
            let open = RequestId(request.number);
            lobby.control.send(Control::One(open, reply)).await.map_err(|_| ENDED)?;
            let live = wait.await.map_err(|_| ENDED)?.filter(|l| l.request == request).map(Box::new);
            match ask_hub(Query::RequestDetails { request }, lobby).await? {
                Answer::RequestDetails { outcome: ending, .. } => {
                    Ok(Answer::RequestDetails { outcome: ending, open: live })
                }
                other => Ok(other),
            }
        }
        other => ask_hub(other, lobby).await,
    }
}

async fn ask_hub(query: Query, lobby: &Lobby) -> Result<Answer, String> {
    let (reply, wait) = oneshot::channel();
    lobby.news.send(News::Ask(query, reply)).await.map_err(|_| ENDED)?;
    wait.await.map_err(|_| ENDED.to_owned())
}

/// The answer of a router that follows no other.
fn alone() -> Answer {
    let message = "this router follows no other: its settings have no <fleet confirm=\"...\">";
    Answer::Denied { code: DenyCode::Unknown, message: message.to_owned() }
}

async fn carry_out(order: Order, here: bool, guest: &Guest, lobby: &Lobby) -> Result<Answer, String> {
    if guest.role != SessionRole::ReadWrite {
        let message = format!("{} may look, and change nothing", guest.who);
        return Ok(Answer::Denied { code: DenyCode::ReadOnly, message });
    }
    let (reply, wait) = oneshot::channel();
    let who = guest.who.clone();
    lobby.control.send(Control::Order { order, who, here, reply }).await.map_err(|_| ENDED)?;
    Ok(match wait.await.map_err(|_| ENDED)? {
        Ok(done) => Answer::Done { revision: done.revision, effect: done.effect },
        Err(denied) => Answer::Denied { code: denied.code, message: denied.message },
    })
}
