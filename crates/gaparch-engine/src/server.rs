//! A stand-in engine on a socket: one task owns the model, others carry frames to and from it.

use crate::fault::Fault;
use crate::link::Link;
use crate::model::{ConnId, FetchId, Input, Model, Output};
use crate::observe::{Note, Observer, Way};
use crate::spec::EngineSpec;
use gaparch_net::{Clock, FrameReader, ReadError};
use gaparch_protocol::engine::{EngineFacts, EngineFrame, KvCacheKey, KvCacheLocation, Peer, VERSION};
use gaparch_protocol::frame::encode;
use gaparch_protocol::DEFAULT_MAX_FRAME;
use gaparch_scheduler::api::Nanos;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{sleep_until, timeout, Instant};

/// What waits for the model; past it connections wait to be read from.
const INBOX: usize = 8192;
/// Frames that wait for one connection; a router that reads so slowly loses its connection.
const OUTBOX: usize = 65_536;
/// Reads kept while the link is cut; past it nothing more is read.
const LINK_BUFFER: usize = 1024;
/// Connections held at once; more are closed at once.
const MOST_CONNECTIONS: usize = 1024;
/// For a state to come from another engine.
const FETCH_WITHIN: Duration = Duration::from_secs(10);
/// For a router that does not read.
const WRITE_WITHIN: Duration = Duration::from_secs(10);
/// For another engine's hello.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);

/// A running stand-in. It ends when this is dropped.
#[derive(Debug)]
pub struct EngineHandle {
    address: SocketAddr,
    inbox: mpsc::Sender<Message>,
    owner: JoinHandle<()>,
}

impl EngineHandle {
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches a fault. Returns false once the stand-in has ended.
    pub async fn fault(&self, fault: Fault) -> bool {
        self.inbox.send(Message::Fault(fault)).await.is_ok()
    }
}

impl Drop for EngineHandle {
    fn drop(&mut self) {
        self.owner.abort();
    }
}

/// Where and how a stand-in runs.
#[derive(Clone)]
pub struct EngineOptions {
    pub spec: EngineSpec,
    pub address: SocketAddr,
    pub clock: Clock,
    pub observer: Arc<dyn Observer>,
    /// Begins as if it had been running for long.
    pub warm: bool,
}

/// Starts a stand-in.
///
/// # Errors
/// When the address can't be listened at.
pub async fn start(options: EngineOptions) -> io::Result<EngineHandle> {
    let listener = TcpListener::bind(options.address).await?;
    let address = listener.local_addr()?;
    let options = EngineOptions { address, ..options };
    let (inbox, messages) = mpsc::channel(INBOX);
    let own_inbox = inbox.clone();
    let owner = tokio::spawn(async move {
        Owner::new(options, listener, own_inbox).run(messages).await;
    });
    Ok(EngineHandle { address, inbox, owner })
}

#[derive(Debug)]
enum Message {
    Accepted(TcpStream),
    /// With the time at which they came to the socket; a link that is cut keeps them after that.
    Frames(ConnId, Nanos, Vec<EngineFrame>),
    Closed(ConnId),
    Fetched(FetchId, Option<u32>),
    Fault(Fault),
}

/// Dropped, it is read no more; what waits in the outbox is still written, then the connection closes.
struct Connection {
    outbox: mpsc::Sender<(Instant, EngineFrame)>,
    reading: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.reading.abort();
    }
}

struct Owner {
    options: EngineOptions,
    inbox: mpsc::Sender<Message>,
    model: Model,
    link: Link,
    accepting: Option<JoinHandle<()>>,
    connections: BTreeMap<ConnId, Connection>,
    next_conn: u64,
}

impl Owner {
    fn new(options: EngineOptions, listener: TcpListener, inbox: mpsc::Sender<Message>) -> Owner {
        let now = options.clock.now();
        let model = match options.warm {
            // It says it started a day ago.
            true => Model::warm(options.spec.clone(), now, now.saturating_sub(86_400_000_000_000)),
            false => Model::new(options.spec.clone(), now, now),
        };
        let mut owner = Owner {
            options,
            inbox,
            model,
            link: Link::default(),
            accepting: None,
            connections: BTreeMap::new(),
            next_conn: 0,
        };
        owner.accept(listener);
        owner.note(now, Note::Started);
        owner
    }

    fn accept(&mut self, listener: TcpListener) {
        let inbox = self.inbox.clone();
        self.accepting = Some(tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((socket, _)) => {
                        if inbox.send(Message::Accepted(socket)).await.is_err() {
                            return;
                        }
                    }
                    // Too many open files, or a connection gone before it was taken: it may pass.
                    Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                }
            }
        }));
    }

    async fn run(mut self, mut messages: mpsc::Receiver<Message>) {
        let mut out = Vec::new();
        loop {
            let due = self.model.next_at();
            let due = due.map(|at| Instant::from_std(self.options.clock.instant(at)));
            let message = tokio::select! {
                biased;
                message = messages.recv() => match message {
                    Some(message) => Some(message),
                    None => return,
                },
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => None,
            };
            let now = self.options.clock.now();
            match message {
                None => self.model.handle(now, Input::Time, &mut out),
                Some(message) => self.on_message(now, message, &mut out).await,
            }
            // Time is not to wait for messages without end.
            if self.model.next_at().is_some_and(|at| at <= now) {
                self.model.handle(now, Input::Time, &mut out);
            }
            self.carry_out(now, &mut out);
        }
    }

    async fn on_message(&mut self, now: Nanos, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Accepted(socket) => self.connect(socket),
            // What comes to a process that is gone comes to nobody.
            Message::Frames(..) if !self.model.alive() => {}
            Message::Frames(conn, at, frames) => {
                for frame in frames {
                    self.options.observer.frame(at, &self.options.spec.name, conn, Way::In, &frame);
                    self.model.handle(now, Input::Frame { conn, frame }, out);
                }
            }
            Message::Closed(conn) => {
                self.connections.remove(&conn);
                self.model.handle(now, Input::Closed { conn }, out);
            }
            Message::Fetched(fetch, tokens) => self.model.handle(now, Input::Fetched { fetch, tokens }, out),
            Message::Fault(Fault::CutLink(cut)) => self.link.cut(cut),
            Message::Fault(Fault::SlowLink(delay)) => self.link.delay(delay),
            Message::Fault(Fault::Start) => self.restart(now).await,
            Message::Fault(fault) => self.model.handle(now, Input::Fault(fault), out),
        }
    }

    /// A new process under the same name and address: it knows nothing.
    async fn restart(&mut self, now: Nanos) {
        if self.model.alive() {
            return;
        }
        match TcpListener::bind(self.options.address).await {
            Ok(listener) => {
                self.model = Model::new(self.options.spec.clone(), now, now);
                self.accept(listener);
                self.note(now, Note::Started);
            }
            Err(error) => tracing::error!(engine = %self.options.spec.name, %error, "can't start again"),
        }
    }

    fn connect(&mut self, socket: TcpStream) {
        if !self.model.alive() || self.connections.len() >= MOST_CONNECTIONS {
            return;
        }
        let _ = socket.set_nodelay(true);
        self.next_conn += 1;
        let conn = ConnId(self.next_conn);
        let (read_half, write_half) = socket.into_split();
        let (outbox, frames) = mpsc::channel(OUTBOX);
        let reading = tokio::spawn(read_all(
            conn,
            read_half,
            self.inbox.clone(),
            self.link.clone(),
            self.options.clock,
        ));
        tokio::spawn(write_all(conn, write_half, frames, self.inbox.clone(), self.link.clone()));
        self.connections.insert(conn, Connection { outbox, reading: reading.abort_handle() });
    }

    fn carry_out(&mut self, now: Nanos, out: &mut Vec<Output>) {
        for output in out.drain(..) {
            match output {
                Output::Send { conn, frame } => {
                    self.options.observer.frame(now, &self.options.spec.name, conn, Way::Out, &frame);
                    self.send(conn, frame);
                }
                Output::Close { conn, reason } => {
                    tracing::warn!(engine = %self.options.spec.name, conn = conn.0, %reason, "closing a connection");
                    self.send(conn, EngineFrame::Bye { reason });
                    self.close(conn);
                }
                Output::Fetch { fetch, from, state } => self.fetch(fetch, from, state),
                Output::Note(note) => self.note(now, note),
                Output::Die => {
                    self.accepting.take().into_iter().for_each(|task| task.abort());
                    for conn in self.connections.keys().copied().collect::<Vec<_>>() {
                        self.close(conn);
                    }
                }
            }
        }
    }

    fn send(&mut self, conn: ConnId, frame: EngineFrame) {
        let due = Instant::now() + self.link.lag();
        let Some(connection) = self.connections.get(&conn) else { return };
        if connection.outbox.try_send((due, frame)).is_err() {
            self.close(conn);
        }
    }

    fn close(&mut self, conn: ConnId) {
        if self.connections.remove(&conn).is_some() {
            let inbox = self.inbox.clone();
            tokio::spawn(async move { inbox.send(Message::Closed(conn)).await });
        }
    }

    fn fetch(&self, fetch: FetchId, from: KvCacheLocation, state: KvCacheKey) {
        let (inbox, link, facts) = (self.inbox.clone(), self.link.clone(), self.model.facts().clone());
        tokio::spawn(async move {
            let got = timeout(FETCH_WITHIN, fetch_state(&from, state, facts, &link)).await;
            let tokens = got.ok().flatten();
            inbox.send(Message::Fetched(fetch, tokens)).await
        });
    }

    fn note(&self, now: Nanos, note: Note) {
        self.options.observer.note(now, &self.options.spec.name, note);
    }
}

/// Reads on while the link is cut, as far as its buffer goes: the bytes are there, they only come later.
async fn read_all(
    conn: ConnId,
    socket: tokio::net::tcp::OwnedReadHalf,
    inbox: mpsc::Sender<Message>,
    link: Link,
    clock: Clock,
) {
    let (arrived, mut arrivals) = mpsc::channel(LINK_BUFFER);
    let reading = async move {
        let mut reader = FrameReader::new(socket, DEFAULT_MAX_FRAME);
        loop {
            let mut frames = Vec::new();
            let read = reader.read(&mut frames).await;
            let message = Message::Frames(conn, clock.now(), frames);
            if arrived.send(message).await.is_err() {
                return;
            }
            if let Err(error) = read {
                if !matches!(error, ReadError::Closed) {
                    tracing::debug!(conn = conn.0, %error, "a connection ended");
                }
                return;
            }
        }
    };
    let passing_on = async move {
        while let Some(message) = arrivals.recv().await {
            link.open().await;
            if inbox.send(message).await.is_err() {
                return;
            }
        }
        let _ = inbox.send(Message::Closed(conn)).await;
    };
    tokio::join!(reading, passing_on);
}

async fn write_all(
    conn: ConnId,
    mut socket: tokio::net::tcp::OwnedWriteHalf,
    mut frames: mpsc::Receiver<(Instant, EngineFrame)>,
    inbox: mpsc::Sender<Message>,
    link: Link,
) {
    let mut bytes = bytes::BytesMut::new();
    while let Some((due, frame)) = frames.recv().await {
        encode(&frame, &mut bytes);
        // What is due with it goes with it.
        let now = Instant::now();
        sleep_until(due).await;
        while bytes.len() < 65_536 {
            match frames.try_recv() {
                Ok((due, frame)) if due <= now => encode(&frame, &mut bytes),
                Ok((due, frame)) => {
                    encode(&frame, &mut bytes);
                    sleep_until(due).await;
                }
                Err(_) => break,
            }
        }
        link.open().await;
        let written = timeout(WRITE_WITHIN, socket.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            let _ = inbox.send(Message::Closed(conn)).await;
            return;
        }
        bytes.clear();
    }
    let _ = socket.shutdown().await;
}

/// The plain fetch: a connection for each state.
async fn fetch_state(
    from: &KvCacheLocation,
    state: KvCacheKey,
    facts: EngineFacts,
    link: &Link,
) -> Option<u32> {
    link.open().await;
    let connect = timeout(CONNECT_WITHIN, TcpStream::connect(&from.address));
    let socket = connect.await.ok()?.ok()?;
    let _ = socket.set_nodelay(true);
    let (read_half, mut write_half) = socket.into_split();
    let mut bytes = bytes::BytesMut::new();
    encode(&EngineFrame::Hello { version: VERSION, peer: Peer::Engine(facts) }, &mut bytes);
    encode(&EngineFrame::Fetch { kv_cache: state }, &mut bytes);
    write_half.write_all(&bytes).await.ok()?;
    let mut reader = FrameReader::new(read_half, DEFAULT_MAX_FRAME);
    let hello: EngineFrame = timeout(CONNECT_WITHIN, reader.read_one()).await.ok()?.ok()?;
    if !matches!(hello, EngineFrame::Hello { version: VERSION, .. }) {
        return None;
    }
    loop {
        let frame = reader.read_one().await.ok()?;
        link.open().await;
        match frame {
            EngineFrame::KvCache { kv_cache: got, tokens, .. } if got == state => return Some(tokens),
            EngineFrame::KvCacheUnavailable { .. } | EngineFrame::Bye { .. } => return None,
            _ => {}
        }
    }
}
