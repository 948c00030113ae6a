//! A relay that decides nothing: engines in turn, no health, no limits, no time-outs. What the router's own work
//! costs is measured against it; it is no way to run a site.

use crate::site::Site;
use bytes::{Bytes, BytesMut};
use gaparch_net::{write_frames, FrameReader};
use gaparch_protocol::client::{parse_request, ClientEvent, Dialect, StopReason, Usage};
use gaparch_protocol::engine::{AttemptKey, EngineFrame, Job, KvCacheLocation, Peer, RouterRun, VERSION};
use gaparch_protocol::DEFAULT_MAX_FRAME;
use gaparch_scheduler::api::{AttemptStatus, Role};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Frames that wait for one request or one engine; past it they are lost, as this is no real relay.
const WAITING: usize = 65_536;

/// For an engine that takes no bytes.
const WRITE_WITHIN: Duration = Duration::from_secs(5);

type Waiting = Arc<Mutex<HashMap<AttemptKey, mpsc::Sender<EngineFrame>>>>;

struct Engine {
    at: KvCacheLocation,
    frames: mpsc::Sender<EngineFrame>,
    waiting: Waiting,
}

impl Engine {
    async fn connect(name: &str, address: SocketAddr) -> io::Result<Engine> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let (read_half, mut write_half) = socket.into_split();
        let (frames, mut outbox) = mpsc::channel(WAITING);
        tokio::spawn(async move { write_frames(&mut write_half, &mut outbox, WRITE_WITHIN).await });
        let waiting = Waiting::default();
        let found = Arc::clone(&waiting);
        tokio::spawn(async move {
            let mut reader = FrameReader::new(read_half, DEFAULT_MAX_FRAME);
            let mut frames: Vec<EngineFrame> = Vec::new();
            while reader.read(&mut frames).await.is_ok() {
                let waiting = found.lock().unwrap_or_else(PoisonError::into_inner);
                for frame in frames.drain(..) {
                    if let Some(to) = frame.attempt().and_then(|key| waiting.get(&key)) {
                        let _ = to.try_send(frame);
                    }
                }
            }
        });
        let peer = Peer::Router { run: RouterRun(1), name: "plain".to_owned() };
        let _ = frames.send(EngineFrame::Hello { version: VERSION, peer }).await;
        let at = KvCacheLocation { engine: name.to_owned(), address: address.to_string() };
        Ok(Engine { at, frames, waiting })
    }

    async fn ask(&self, key: AttemptKey, frame: EngineFrame) -> mpsc::Receiver<EngineFrame> {
        let (to, from) = mpsc::channel(256);
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(key, to);
        let _ = self.frames.send(frame).await;
        from
    }

    fn forget(&self, key: AttemptKey) {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&key);
    }
}

/// A running plain relay in front of a site's engines. It ends when this is dropped.
pub struct PlainRelay {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Drop for PlainRelay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

struct Shared {
    readers: Vec<Engine>,
    writers: Vec<Engine>,
    dialect: Dialect,
    next: AtomicU64,
}

impl PlainRelay {
    /// Starts in front of the engines of a site.
    ///
    /// # Errors
    /// When a socket can't be had.
    pub async fn start(site: &Site) -> io::Result<PlainRelay> {
        let (mut readers, mut writers) = (Vec::new(), Vec::new());
        for spec in &site.plan().engines {
            let Some(handle) = site.engines.get(&spec.name) else { continue };
            let engine = Engine::connect(&spec.name, handle.address()).await?;
            if spec.role == Role::Prefill { &mut readers } else { &mut writers }.push(engine);
        }
        let dialect = Dialect::builtin("own").ok_or(io::ErrorKind::InvalidInput)?;
        let shared = Arc::new(Shared { readers, writers, dialect, next: AtomicU64::new(1 << 32) });
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let _ = socket.set_nodelay(true);
                let shared = Arc::clone(&shared);
                tokio::spawn(async move {
                    let service = service_fn(|request| answer(request, Arc::clone(&shared)));
                    let http = hyper::server::conn::http1::Builder::new();
                    http.serve_connection(TokioIo::new(socket), service).await
                });
            }
        });
        Ok(PlainRelay { address, accepting })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn answer(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<UnsyncBoxBody<Bytes, Infallible>>, Infallible> {
    let refused = || {
        let mut response = Response::new(Full::new(Bytes::new()).boxed_unsync());
        *response.status_mut() = hyper::StatusCode::BAD_GATEWAY;
        response
    };
    let Ok(body) = request.into_body().collect().await else { return Ok(refused()) };
    let Ok(ask) = parse_request(&shared.dialect, &body.to_bytes(), |_| None) else { return Ok(refused()) };
    let number = shared.next.fetch_add(1, Ordering::Relaxed);
    let turn = number as usize;
    let (reader, writer) = (turn % shared.readers.len(), turn % shared.writers.len());
    let job = |attempt| Job {
        key: AttemptKey { request: number, attempt },
        class: 0,
        tenant: None,
        session: None,
        prefix: None,
        prompt_tokens: ask.prompt_tokens,
        prefix_tokens: 0,
        max_output_tokens: ask.max_tokens,
        timeout_ms: 60_000,
        prompt: ask.prompt.clone(),
    };
    let (read, write) = (job(0), job(1));
    let (read_key, key) = (read.key, write.key);
    let mut read_done = shared.readers[reader].ask(read_key, EngineFrame::Prefill(read)).await;
    let done = read_done.recv().await;
    shared.readers[reader].forget(read_key);
    if !matches!(done, Some(EngineFrame::PrefillDone { .. })) {
        return Ok(refused());
    }
    let state = Some(shared.readers[reader].at.clone());
    let mut frames =
        shared.writers[writer].ask(key, EngineFrame::Decode { job: write, kv_cache: state }).await;
    let Some(first) = frames.recv().await else { return Ok(refused()) };
    let usage = Usage { prompt_tokens: ask.prompt_tokens, ..Usage::default() };
    let opened = ClientEvent::MessageStart { id: format!("msg_1_{number}"), model: ask.model, usage };
    let events =
        Events { shared, writer, key, frames, first: vec![opened], frame: Some(first), usage, done: false };
    Ok(Response::new(events.boxed_unsync()))
}

struct Events {
    shared: Arc<Shared>,
    writer: usize,
    key: AttemptKey,
    frames: mpsc::Receiver<EngineFrame>,
    first: Vec<ClientEvent>,
    frame: Option<EngineFrame>,
    usage: Usage,
    done: bool,
}

impl Drop for Events {
    fn drop(&mut self) {
        self.shared.writers[self.writer].forget(self.key);
    }
}

impl Events {
    fn put(&mut self, frame: EngineFrame, out: &mut BytesMut) {
        let dialect = &self.shared.dialect;
        match frame {
            EngineFrame::Tokens { count, text, .. } => {
                self.usage.output_tokens += u32::from(count);
                dialect.encode(&ClientEvent::TextDelta { text }, out);
            }
            EngineFrame::Outcome { status: AttemptStatus::Ok, .. } => {
                let reason = StopReason::Finished;
                dialect.encode(&ClientEvent::Usage { usage: self.usage, reason }, out);
                dialect.encode(&ClientEvent::MessageStop { reason }, out);
                self.done = true;
            }
            _ => self.done = true,
        }
    }
}

impl Body for Events {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        if this.done {
            return Poll::Ready(None);
        }
        let mut out = BytesMut::new();
        for event in std::mem::take(&mut this.first) {
            this.shared.dialect.encode(&event, &mut out);
        }
        if let Some(frame) = this.frame.take() {
            this.put(frame, &mut out);
        }
        for _ in 0..32 {
            match this.frames.poll_recv(cx) {
                Poll::Ready(Some(frame)) => this.put(frame, &mut out),
                Poll::Ready(None) => this.done = true,
                Poll::Pending => break,
            }
            if this.done {
                break;
            }
        }
        match out.is_empty() {
            true if this.done => Poll::Ready(None),
            true => Poll::Pending,
            false => Poll::Ready(Some(Ok(Frame::data(out.freeze())))),
        }
    }
}
