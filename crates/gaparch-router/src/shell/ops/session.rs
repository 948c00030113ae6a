//! One session of a console or a script: authentication, then questions and answers, with updates in between.

use super::operators::{authenticate, AuthenticationError, Claim, Identity, KnownOperator};
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

/// Time for the hello after a connection was accepted.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// A socket that takes no bytes for so long is closed: its console was stopped, or is no more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(120);
/// Updates that wait for one subscriber.
const UPDATE_QUEUE: usize = 64;

/// What all sessions share.
pub(super) struct SessionContext {
    pub router: String,
    pub run: RouterRun,
    pub operators: Vec<KnownOperator>,
    /// Bounds the number of open sessions.
    pub sessions: Arc<Semaphore>,
    pub control: mpsc::Sender<Control>,
    pub messages: mpsc::Sender<BroadcasterMessage>,
    /// Asks the fleet's task, where there are other routers.
    pub fleet: Option<fleet::FleetHandle>,
}

/// Why a session ended; its text is the reason that the other end is given.
#[derive(Debug, Error)]
pub(super) enum SessionError {
    /// No hello came in time, or another frame came in its place.
    #[error("expected a hello frame")]
    HelloExpected,
    /// The client speaks another version of the protocol.
    #[error("version {0} is not spoken here, version {VERSION} is")]
    Version(u16),
    #[error(transparent)]
    Authentication(#[from] AuthenticationError),
    /// A frame that only a router sends.
    #[error("a frame that an operator does not send")]
    UnexpectedFrame,
    #[error(transparent)]
    Read(#[from] ReadError),
    #[error(transparent)]
    Write(#[from] std::io::Error),
    /// A task that the session asks has ended, as it does with the router.
    #[error("the router has ended")]
    RouterEnded,
}

/// The writing side of a session.
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

    /// Gives the other end a reason and closes the connection.
    pub async fn close(&mut self, reason: &str) {
        // Whatever comes of it, the connection ends.
        let _ = self.write(&OpsFrame::Bye { reason: reason.to_owned() }).await;
        let _ = self.writer.shutdown().await;
    }

    /// Runs the session to its end. `local`: it came in on the local socket.
    pub async fn run<R: AsyncRead + Unpin>(
        &mut self,
        mut reader: FrameReader<R>,
        local: bool,
        context: &SessionContext,
    ) {
        let welcomed = timeout(HELLO_TIMEOUT, self.welcome(&mut reader, local, context)).await;
        let identity = match welcomed {
            Ok(Ok(identity)) => identity,
            Ok(Err(reason)) => {
                tracing::warn!(%reason, "operator session rejected");
                return self.close(&reason.to_string()).await;
            }
            Err(_) => return self.close(&SessionError::HelloExpected.to_string()).await,
        };
        let session = next_session_number();
        if let Err(reason) = self.serve(&mut reader, &identity, session, context).await {
            tracing::info!(who = identity.who, %reason, "operator session ended");
            self.close(&reason.to_string()).await;
        }
        // The broadcaster may have ended.
        let _ = context.messages.send(BroadcasterMessage::Unsubscribe { session }).await;
    }

    async fn welcome<R: AsyncRead + Unpin>(
        &mut self,
        reader: &mut FrameReader<R>,
        local: bool,
        context: &SessionContext,
    ) -> Result<Identity, SessionError> {
        match reader.read_one().await? {
            OpsFrame::Hello { version: VERSION, key, role, operator: who } => {
                let claim = Claim { key: key.as_deref(), role, who: &who };
                let identity = authenticate(&context.operators, local, &claim)?;
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
        let (updates, mut updates_in) = mpsc::channel::<Update>(UPDATE_QUEUE);
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
                Some(update) = updates_in.recv() => {
                    self.write(&OpsFrame::Update(update)).await?;
                }
            }
        }
    }
}

/// Numbers sessions of this process from 0.
fn next_session_number() -> u64 {
    static SESSIONS: AtomicU64 = AtomicU64::new(0);
    SESSIONS.fetch_add(1, Ordering::Relaxed)
}
