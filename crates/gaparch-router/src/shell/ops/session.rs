//! One session of a console or a script: authentication, then queries with answers, and updates in between.

use super::operators::{authenticate, AuthenticationError, Credentials, Identity, KnownOperator};
use super::session_queries::answer;
use super::BroadcasterMessage;
use crate::shell::fleet;
use crate::shell::owner::Control;
use bytes::BytesMut;
use gaparch_net::{FrameReader, ReadError};
use gaparch_protocol::engine::RouterRun;
use gaparch_protocol::frame::encode;
use gaparch_protocol::ops::{OpsFrame, Update, VERSION};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::timeout;

/// Time limit for the hello frame after a connection was accepted.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for writing a frame. A peer that reads nothing for so long was suspended or has ended.
const WRITE_TIMEOUT: Duration = Duration::from_secs(120);
/// Capacity of the queue of updates to one subscriber.
const UPDATE_QUEUE: usize = 64;

/// State shared by all sessions.
pub(super) struct SessionContext {
    pub router: String,
    pub run: RouterRun,
    pub operators: Vec<KnownOperator>,
    /// Limits the number of open sessions.
    pub sessions: Arc<Semaphore>,
    pub control: mpsc::Sender<Control>,
    pub messages: mpsc::Sender<BroadcasterMessage>,
    /// Sends queries to the fleet's task, if there is one.
    pub fleet: Option<fleet::FleetHandle>,
}

/// Why a session ended; the text is sent to the client as the reason.
#[derive(Debug, Error)]
pub(super) enum SessionError {
    /// No hello frame came in time, or another frame came first.
    #[error("expected a hello frame")]
    HelloExpected,
    /// The client uses another version of the protocol.
    #[error("version {0} is not spoken here, version {VERSION} is")]
    Version(u16),
    #[error(transparent)]
    Authentication(#[from] AuthenticationError),
    /// The client sent a frame that only a router may send.
    #[error("a frame that an operator does not send")]
    UnexpectedFrame,
    #[error(transparent)]
    Read(#[from] ReadError),
    #[error(transparent)]
    Write(#[from] std::io::Error),
    /// A task that the session depends on has ended, which happens when the router shuts down.
    #[error("the router has ended")]
    RouterEnded,
}

/// The writing half of a session.
pub(super) struct Session<W> {
    writer: W,
    buffer: BytesMut,
}

impl<W: AsyncWrite + Unpin> Session<W> {
    pub fn new(writer: W) -> Session<W> {
        Session { writer, buffer: BytesMut::new() }
    }

    async fn write(&mut self, frame: &OpsFrame) -> std::io::Result<()> {
        self.buffer.clear();
        encode(frame, &mut self.buffer);
        timeout(WRITE_TIMEOUT, self.writer.write_all(&self.buffer)).await?
    }

    /// Sends the client a reason and closes the connection.
    pub async fn close(&mut self, reason: &str) {
        // Errors don't matter: the connection ends in any case.
        let _ = self.write(&OpsFrame::Bye { reason: reason.to_owned() }).await;
        let _ = self.writer.shutdown().await;
    }

    /// Runs the session to its end. `local` is set for connections on the local socket.
    pub async fn run<R: AsyncRead + Unpin>(
        &mut self,
        mut reader: FrameReader<R>,
        local: bool,
        context: &SessionContext,
    ) {
        let handshake = timeout(HELLO_TIMEOUT, self.handshake(&mut reader, local, context)).await;
        let identity = match handshake {
            Ok(Ok(identity)) => identity,
            Ok(Err(reason)) => {
                tracing::warn!(%reason, "operator session rejected");
                return self.close(&reason.to_string()).await;
            }
            Err(_) => return self.close(&SessionError::HelloExpected.to_string()).await,
        };
        let session = next_session_number();
        if let Err(reason) = self.serve(&mut reader, &identity, session, context).await {
            tracing::info!(who = identity.name, %reason, "operator session ended");
            self.close(&reason.to_string()).await;
        }
        // Fails only if the broadcaster has ended.
        let _ = context.messages.send(BroadcasterMessage::Unsubscribe { session }).await;
    }

    async fn handshake<R: AsyncRead + Unpin>(
        &mut self,
        reader: &mut FrameReader<R>,
        local: bool,
        context: &SessionContext,
    ) -> Result<Identity, SessionError> {
        match reader.read_one().await? {
            OpsFrame::Hello { version: VERSION, key, role, operator } => {
                let credentials = Credentials { key: key.as_deref(), role, name: &operator };
                let identity = authenticate(&context.operators, local, &credentials)?;
                let welcome = OpsFrame::Welcome {
                    version: VERSION,
                    router: context.router.clone(),
                    run: context.run.0,
                    role: identity.role,
                };
                self.write(&welcome).await?;
                Ok(identity)
            }
            OpsFrame::Hello { version, .. } => Err(SessionError::Version(version)),
            _ => Err(SessionError::HelloExpected),
        }
    }

    async fn serve<R: AsyncRead + Unpin>(
        &mut self,
        reader: &mut FrameReader<R>,
        identity: &Identity,
        session: u64,
        context: &SessionContext,
    ) -> Result<(), SessionError> {
        let (updates, mut updates_rx) = mpsc::channel::<Update>(UPDATE_QUEUE);
        let mut frames = Vec::new();
        loop {
            tokio::select! {
                biased;
                read = reader.read(&mut frames) => {
                    for frame in frames.drain(..) {
                        match frame {
                            OpsFrame::Query { seq, query } => {
                                let answer = answer(query, identity, session, &updates, context).await?;
                                self.write(&OpsFrame::Answer { seq, answer }).await?;
                            }
                            OpsFrame::Bye { .. } => return Ok(()),
                            _ => return Err(SessionError::UnexpectedFrame),
                        }
                    }
                    match read {
                        Ok(()) => {}
                        Err(ReadError::Closed) => return Ok(()),
                        Err(error) => return Err(error.into()),
                    }
                }
                Some(update) = updates_rx.recv() => {
                    self.write(&OpsFrame::Update(update)).await?;
                }
            }
        }
    }
}

/// Returns the next session number of this process, from 0.
fn next_session_number() -> u64 {
    static SESSIONS: AtomicU64 = AtomicU64::new(0);
    SESSIONS.fetch_add(1, Ordering::Relaxed)
}
