//! The operators' side of the operations protocol.

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

/// Time for the connection and the welcome.
const CONNECT_WITHIN: Duration = Duration::from_secs(5);

/// Where a router accepts operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationsAddress {
    /// The local socket.
    Socket(PathBuf),
    /// An address over TCP.
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

/// Who opens a session, and in which role.
#[derive(Clone)]
pub struct Credentials {
    /// The operator's key; none is needed on the local socket.
    pub key: Option<String>,
    /// The role that is asked for.
    pub role: SessionRole,
    /// The operator's name, where no key says it.
    pub operator: String,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The key must not end up in logs.
        write!(f, "{} ({})", self.operator, self.role)
    }
}

/// Why a router does not answer.
#[derive(Debug, Error)]
pub enum OpsError {
    /// Nothing accepts the connection in time.
    #[error("no router answers at {address}: {source}")]
    Connect {
        /// Where the router should be.
        address: OperationsAddress,
        /// What the system says.
        source: std::io::Error,
    },
    /// The router closed the session, for the reason given.
    #[error("the router says: {0}")]
    Rejected(String),
    /// No more frames come.
    #[error("the connection broke: {0}")]
    Read(#[from] ReadError),
    /// A frame could not be sent.
    #[error("the connection broke: {0}")]
    Write(#[from] std::io::Error),
    /// The router sent a frame that it should not send.
    #[error("the router speaks another protocol")]
    Protocol,
}

/// What a router sends.
#[derive(Clone, Debug, PartialEq)]
pub enum Incoming {
    /// The answer to a question.
    Answer {
        /// The number of the question.
        seq: u32,
        /// The answer.
        answer: Answer,
    },
    /// An update for a subscriber.
    Update(Update),
}

/// A connection to a router's operations side.
pub struct OpsClient {
    reader: FrameReader<Box<dyn AsyncRead + Send + Unpin>>,
    writer: Box<dyn AsyncWrite + Send + Unpin>,
    /// Frames received together with the last one taken.
    received: VecDeque<OpsFrame>,
    next_seq: u32,
    /// The name of the router.
    pub router: String,
    /// The run of the router, which differs after each start.
    pub run: u64,
    /// The role that the router granted.
    pub role: SessionRole,
}

impl OpsClient {
    /// Connects and authenticates.
    ///
    /// # Errors
    /// When nobody listens there, or the router rejects the session; its reason is in the error.
    pub async fn connect(
        address: &OperationsAddress,
        credentials: &Credentials,
    ) -> Result<OpsClient, OpsError> {
        let late =
            |_| OpsError::Connect { address: address.clone(), source: std::io::ErrorKind::TimedOut.into() };
        timeout(CONNECT_WITHIN, OpsClient::open(address, credentials)).await.map_err(late)?
    }

    async fn open(address: &OperationsAddress, credentials: &Credentials) -> Result<OpsClient, OpsError> {
        let failed = |source| OpsError::Connect { address: address.clone(), source };
        type Halves = (Box<dyn AsyncRead + Send + Unpin>, Box<dyn AsyncWrite + Send + Unpin>);
        let (reader, writer): Halves = match address {
            OperationsAddress::Socket(path) => {
                let (reader, writer) = UnixStream::connect(path).await.map_err(failed)?.into_split();
                (Box::new(reader), Box::new(writer))
            }
            OperationsAddress::Tcp(address) => {
                let socket = TcpStream::connect(address).await.map_err(failed)?;
                socket.set_nodelay(true).map_err(failed)?;
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

    /// Sends a question and returns the number that its answer will have.
    ///
    /// # Errors
    /// When the connection is gone.
    pub async fn send(&mut self, query: Query) -> Result<u32, OpsError> {
        let seq = self.next_seq;
        self.next_seq = self.next_seq.wrapping_add(1);
        self.write(&OpsFrame::Query { seq, query }).await?;
        Ok(seq)
    }

    /// Waits for what the router sends next. Cancelling the wait loses nothing.
    ///
    /// # Errors
    /// When the connection is gone.
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

    /// Sends a question and waits for its answer. Updates that come before it are dropped.
    ///
    /// # Errors
    /// When the connection is gone.
    pub async fn query(&mut self, query: Query) -> Result<Answer, OpsError> {
        let wanted = self.send(query).await?;
        loop {
            match self.next().await? {
                Incoming::Answer { seq, answer } if seq == wanted => return Ok(answer),
                _ => {}
            }
        }
    }
}
