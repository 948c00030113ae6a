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

/// Where a router's operators come in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    Socket(PathBuf),
    Address(SocketAddr),
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Socket(path) => write!(f, "{}", path.display()),
            Place::Address(address) => write!(f, "{address}"),
        }
    }
}

/// Who comes in, and as what.
#[derive(Clone)]
pub struct Credentials {
    pub key: Option<String>,
    pub role: SessionRole,
    /// A name, where no key says it.
    pub who: String,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The key must not end up in logs.
        write!(f, "{} ({})", self.who, self.role)
    }
}

/// Why a router's answer can't be had.
#[derive(Debug, Error)]
pub enum OpsError {
    #[error("no router answers at {place}: {source}")]
    Connect { place: Place, source: std::io::Error },
    #[error("the router says: {0}")]
    SentAway(String),
    #[error("the connection broke: {0}")]
    Broke(#[from] ReadError),
    #[error("the connection broke: {0}")]
    Write(#[from] std::io::Error),
    #[error("the router speaks another protocol")]
    Protocol,
}

/// What comes from a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Incoming {
    Answer { seq: u32, answer: Answer },
    Update(Update),
}

/// A connection to a router's operations side.
pub struct OpsClient {
    reader: FrameReader<Box<dyn AsyncRead + Send + Unpin>>,
    writer: Box<dyn AsyncWrite + Send + Unpin>,
    /// Frames that came together with the last one taken.
    came: VecDeque<OpsFrame>,
    next_seq: u32,
    pub router: String,
    pub run: u64,
    pub role: SessionRole,
}

impl OpsClient {
    /// Connects and says hello.
    ///
    /// # Errors
    /// When nobody listens there, or the router sends us away; its reason is in the error.
    pub async fn connect(place: &Place, credentials: &Credentials) -> Result<OpsClient, OpsError> {
        let late =
            |_| OpsError::Connect { place: place.clone(), source: std::io::ErrorKind::TimedOut.into() };
        timeout(CONNECT_WITHIN, OpsClient::open(place, credentials)).await.map_err(late)?
    }

    async fn open(place: &Place, credentials: &Credentials) -> Result<OpsClient, OpsError> {
        let wrong = |source| OpsError::Connect { place: place.clone(), source };
        type Halves = (Box<dyn AsyncRead + Send + Unpin>, Box<dyn AsyncWrite + Send + Unpin>);
        let (reader, writer): Halves = match place {
            Place::Socket(path) => {
                let (reader, writer) = UnixStream::connect(path).await.map_err(wrong)?.into_split();
                (Box::new(reader), Box::new(writer))
            }
            Place::Address(address) => {
                let socket = TcpStream::connect(address).await.map_err(wrong)?;
                socket.set_nodelay(true).map_err(wrong)?;
                let (reader, writer) = socket.into_split();
                (Box::new(reader), Box::new(writer))
            }
        };
        let mut client = OpsClient {
            reader: FrameReader::new(reader, MAX_ANSWER_BYTES),
            writer,
            came: VecDeque::new(),
            next_seq: 1,
            router: String::new(),
            run: 0,
            role: SessionRole::ReadOnly,
        };
        let Credentials { key, role, who } = credentials.clone();
        client.write(&OpsFrame::Hello { version: VERSION, key, role, operator: who }).await?;
        match client.reader.read_one().await? {
            OpsFrame::Welcome { version: VERSION, router, run, role } => {
                (client.router, client.run, client.role) = (router, run, role);
                Ok(client)
            }
            OpsFrame::Bye { reason } => Err(OpsError::SentAway(reason)),
            _ => Err(OpsError::Protocol),
        }
    }

    async fn write(&mut self, frame: &OpsFrame) -> Result<(), OpsError> {
        let mut bytes = BytesMut::new();
        encode(frame, &mut bytes);
        Ok(self.writer.write_all(&bytes).await?)
    }

    /// Puts a question; the number that its answer will have.
    ///
    /// # Errors
    /// When the connection is gone.
    pub async fn put(&mut self, query: Query) -> Result<u32, OpsError> {
        let seq = self.next_seq;
        self.next_seq = self.next_seq.wrapping_add(1);
        self.write(&OpsFrame::Query { seq, query }).await?;
        Ok(seq)
    }

    /// Waits for what comes next. Nothing is lost if the wait is given up.
    ///
    /// # Errors
    /// When the connection is gone.
    pub async fn next(&mut self) -> Result<Incoming, OpsError> {
        loop {
            match self.came.pop_front() {
                Some(OpsFrame::Answer { seq, answer }) => return Ok(Incoming::Answer { seq, answer }),
                Some(OpsFrame::Update(update)) => return Ok(Incoming::Update(update)),
                Some(OpsFrame::Bye { reason }) => return Err(OpsError::SentAway(reason)),
                Some(_) => return Err(OpsError::Protocol),
                None => {}
            }
            let mut frames = Vec::new();
            let read = self.reader.read(&mut frames).await;
            self.came.extend(frames);
            if self.came.is_empty() {
                read?;
            }
        }
    }

    /// Puts a question and waits for its answer. Updates that come before it are dropped.
    ///
    /// # Errors
    /// When the connection is gone.
    pub async fn ask(&mut self, query: Query) -> Result<Answer, OpsError> {
        let wanted = self.put(query).await?;
        loop {
            match self.next().await? {
                Incoming::Answer { seq, answer } if seq == wanted => return Ok(answer),
                _ => {}
            }
        }
    }
}
