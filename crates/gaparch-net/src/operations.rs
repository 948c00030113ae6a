//! The client of the operations protocol.

use crate::framed::{FrameReader, ReadError};
use bytes::BytesMut;
use gaparch_protocol::frame::encode;
use gaparch_protocol::ops::{Answer, OpsFrame, Query, SessionRole, Update, MAX_ANSWER_BYTES, VERSION};
use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::timeout;

/// Timeout for the connection and the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// The address at which a router accepts operators' sessions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationsAddress {
    /// The path of the local socket.
    Socket(PathBuf),
    /// A TCP address.
    Tcp(SocketAddr),
}

impl fmt::Display for OperationsAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperationsAddress::Socket(path) => write!(f, "{}", path.display()),
            OperationsAddress::Tcp(address) => write!(f, "{address}"),
        }
    }
}

/// The credentials with which a session is opened.
#[derive(Clone)]
pub struct Credentials {
    /// The operator's key, which the local socket doesn't require.
    pub key: Option<String>,
    /// The requested role.
    pub role: SessionRole,
    /// The operator's name, for sessions without a key.
    pub operator: String,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The key must not be written to logs.
        write!(f, "{} ({})", self.operator, self.role)
    }
}

/// Why a session with a router can't be opened or has ended.
#[derive(Debug, Error)]
pub enum OpsError {
    /// The connection can't be established, or the handshake has timed out.
    #[error("no router answers at {address}: {source}")]
    Connect {
        /// The address of the router.
        address: OperationsAddress,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The router rejected or closed the session, for this reason.
    #[error("the router closed the session: {0}")]
    Rejected(String),
    /// No more frames can be read.
    #[error("the connection failed: {0}")]
    Read(#[from] ReadError),
    /// A frame can't be sent.
    #[error("the connection failed: {0}")]
    Write(#[from] std::io::Error),
    /// The router sent a frame that the protocol doesn't allow here, or uses another protocol version.
    #[error("the router sent an unexpected frame or uses another protocol version")]
    Protocol,
}

/// A message from the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Incoming {
    /// The answer to a query.
    Answer {
        /// The sequence number of the query.
        seq: u32,
        /// The answer.
        answer: Answer,
    },
    /// An update for a subscriber.
    Update(Update),
}

/// A session with a router over the operations protocol.
pub struct OpsClient {
    reader: FrameReader<Box<dyn AsyncRead + Send + Unpin>>,
    writer: Box<dyn AsyncWrite + Send + Unpin>,
    /// Frames that were received but not yet returned.
    received: VecDeque<OpsFrame>,
    next_seq: u32,
    /// The router's name.
    pub router: String,
    /// The router's run id, which changes with each start.
    pub run: u64,
    /// The role that the router granted.
    pub role: SessionRole,
}

impl OpsClient {
    /// Connects to a router and authenticates.
    ///
    /// # Errors
    /// When the connection or the handshake fails, or the router rejects the session; the error has its
    /// reason.
    pub async fn connect(
        address: &OperationsAddress,
        credentials: &Credentials,
    ) -> Result<OpsClient, OpsError> {
        let timed_out =
            |_| OpsError::Connect { address: address.clone(), source: std::io::ErrorKind::TimedOut.into() };
        timeout(CONNECT_TIMEOUT, OpsClient::open(address, credentials)).await.map_err(timed_out)?
    }

    async fn open(address: &OperationsAddress, credentials: &Credentials) -> Result<OpsClient, OpsError> {
        let connect_error = |source| OpsError::Connect { address: address.clone(), source };
        type Halves = (Box<dyn AsyncRead + Send + Unpin>, Box<dyn AsyncWrite + Send + Unpin>);
        let (reader, writer): Halves = match address {
            OperationsAddress::Socket(path) => {
                let (reader, writer) = UnixStream::connect(path).await.map_err(connect_error)?.into_split();
                (Box::new(reader), Box::new(writer))
            }
            OperationsAddress::Tcp(address) => {
                let socket = TcpStream::connect(address).await.map_err(connect_error)?;
                socket.set_nodelay(true).map_err(connect_error)?;
                let (reader, writer) = socket.into_split();
                (Box::new(reader), Box::new(writer))
            }
        };
        let mut client = OpsClient {
            reader: FrameReader::new(reader, MAX_ANSWER_BYTES),
            writer,
            received: VecDeque::new(),
            next_seq: 1,
            router: String::new(),
            run: 0,
            role: SessionRole::ReadOnly,
        };
        let Credentials { key, role, operator } = credentials.clone();
        client.write(&OpsFrame::Hello { version: VERSION, key, role, operator }).await?;
        match client.reader.read_one().await? {
            OpsFrame::Welcome { version: VERSION, router, run, role } => {
                client.router = router;
                client.run = run;
                client.role = role;
                Ok(client)
            }
            OpsFrame::Bye { reason } => Err(OpsError::Rejected(reason)),
            _ => Err(OpsError::Protocol),
        }
    }

    async fn write(&mut self, frame: &OpsFrame) -> Result<(), OpsError> {
        let mut bytes = BytesMut::new();
        encode(frame, &mut bytes);
        Ok(self.writer.write_all(&bytes).await?)
    }

    /// Sends a query and returns the sequence number that its answer will have.
    ///
    /// # Errors
    /// When the connection has failed.
    pub async fn send(&mut self, query: Query) -> Result<u32, OpsError> {
        let seq = self.next_seq;
        self.next_seq = self.next_seq.wrapping_add(1);
        self.write(&OpsFrame::Query { seq, query }).await?;
        Ok(seq)
    }

    /// Waits for the next answer or update. The future can be cancelled without losing a frame.
    ///
    /// # Errors
    /// When the connection has failed, or the router closes the session or sends an unexpected frame.
    pub async fn next(&mut self) -> Result<Incoming, OpsError> {
        loop {
            match self.received.pop_front() {
                Some(OpsFrame::Answer { seq, answer }) => return Ok(Incoming::Answer { seq, answer }),
                Some(OpsFrame::Update(update)) => return Ok(Incoming::Update(update)),
                Some(OpsFrame::Bye { reason }) => return Err(OpsError::Rejected(reason)),
                Some(_) => return Err(OpsError::Protocol),
                None => {}
            }
            let mut frames = Vec::new();
            let read = self.reader.read(&mut frames).await;
            self.received.extend(frames);
            if self.received.is_empty() {
                read?;
            }
        }
    }

    /// Sends a query and waits for its answer. Updates that arrive before the answer are dropped.
    ///
    /// # Errors
    /// As for [`next`](OpsClient::next).
    pub async fn query(&mut self, query: Query) -> Result<Answer, OpsError> {
        let query_seq = self.send(query).await?;
        loop {
            match self.next().await? {
                Incoming::Answer { seq, answer } if seq == query_seq => return Ok(answer),
                _ => {}
            }
        }
    }
}
