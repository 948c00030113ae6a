//! Relays for the TCP connections between a router and its engines, the list service and its clients.
//!
//! Routers reach engines and the list service through a relay each, which recognises the router by the first
//! frame of a stream, and so the link. Bytes are delayed, throttled, held or lost in one direction
//! independently of the other; neither end sees a reset unless the scenario has one, or a cut that lost bytes
//! ends.

use super::faults::{DirectedLink, FaultTable, Faults, LinkEnd};
use crate::record::{Record, What};
use bytes::{Bytes, BytesMut};
use gaparch_net::Clock;
use gaparch_protocol::engine::{EngineFrame, Peer};
use gaparch_protocol::frame::encode;
use gaparch_protocol::list::ListFrame;
use gaparch_protocol::FrameDecoder;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, sleep_until, Instant};

/// Maximum number of streams through one relay; more are closed.
const MAX_STREAMS: usize = 1024;
/// Maximum number of chunks of a stream in flight in one direction, and the size of each; beyond that the
/// relay stops reading from the sender.
const MAX_CHUNKS: usize = 64;
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// The first frame of a stream must end within this many bytes.
const MAX_HELLO_BYTES: usize = 4096;
/// A throttled stream is written in parts of as many bytes as its rate allows in this time, at least one.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(5);

/// Records what routers are told: the list entries delivered to them, and the orders of operators.
#[derive(Clone, Debug)]
pub struct Recorder {
    pub clock: Clock,
    pub record: Record,
}

/// The stream relays of a fleet. They end on drop.
#[derive(Debug)]
pub struct Streams {
    /// The relay addresses of engines and the list service for all routers, and of each router for its
    /// clients.
    addresses: BTreeMap<LinkEnd, SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Streams {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Streams {
    /// Starts relays from routers to these ends, and from clients to each router at these addresses.
    ///
    /// # Errors
    /// When a socket can't be opened.
    pub async fn start(
        routers: &[SocketAddr],
        ends: &[(LinkEnd, SocketAddr)],
        faults: &Arc<Faults>,
        recorder: &Recorder,
    ) -> io::Result<Streams> {
        let mut streams = Streams { addresses: BTreeMap::new(), tasks: Vec::new() };
        let fronts = routers.iter().enumerate().map(|(router, at)| (LinkEnd::Router(router), *at));
        let mut listeners = Vec::new();
        for (to, at) in fronts.chain(ends.iter().cloned()) {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            streams.addresses.insert(to.clone(), listener.local_addr()?);
            listeners.push((to, at, listener));
        }
        // The addresses in list entries are replaced too, so that routers reach those engines through relays.
        let relayed = |(end, at): &(LinkEnd, SocketAddr)| {
            Some((at.to_string(), streams.addresses.get(end)?.to_string()))
        };
        let engines: Arc<BTreeMap<String, String>> = Arc::new(ends.iter().filter_map(relayed).collect());
        for (to, at, listener) in listeners {
            let (faults, engines, recorder) = (faults.watch(), Arc::clone(&engines), recorder.clone());
            let relay = Relay { to, at, faults, engines, recorder };
            streams.tasks.push(tokio::spawn(relay.run(listener)));
        }
        Ok(streams)
    }

    /// The address of the relay to an end.
    pub fn address(&self, to: &LinkEnd) -> Option<SocketAddr> {
        self.addresses.get(to).copied()
    }
}

/// The stream can't continue; both of its connections are closed.
struct StreamBroken;

#[derive(Clone)]
struct Relay {
    to: LinkEnd,
    at: SocketAddr,
    faults: watch::Receiver<FaultTable>,
    /// Engine addresses in lists, and the relay addresses that replace them.
    engines: Arc<BTreeMap<String, String>>,
    recorder: Recorder,
}

impl Relay {
    async fn run(self, listener: TcpListener) {
        let mut streams = JoinSet::new();
        loop {
            while streams.try_join_next().is_some() {}
            let Ok((socket, _)) = listener.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            if streams.len() < MAX_STREAMS {
                let relay = self.clone();
                streams.spawn(async move { relay.relay_stream(socket).await });
            }
        }
    }

    /// Relays one stream until either of its connections fails or both ends have finished.
    async fn relay_stream(self, mut near: TcpStream) {
        let _ = near.set_nodelay(true);
        let mut first = BytesMut::new();
        let from = self.opener(&mut near, &mut first).await;
        let (there, back) = ((from.clone(), self.to.clone()), (self.to.clone(), from.clone()));
        let before = self.faults.borrow().resets(&there) + self.faults.borrow().resets(&back);
        let mut faults = self.faults.clone();
        // A link that is silent in one direction can't establish a connection either.
        let open = |t: &FaultTable| !t.fault(&there).is_silent() && !t.fault(&back).is_silent();
        if faults.wait_for(open).await.is_err() {
            return;
        }
        // If nothing listens there, the opener only sees the end of its stream.
        let at = self.faults.borrow().redirect(&there).unwrap_or(self.at);
        let Ok(far) = TcpStream::connect(at).await else { return };
        let _ = far.set_nodelay(true);
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        let out = StreamDirection { link: there.clone(), faults: self.faults.clone(), lists: None };
        let lists = matches!((&self.to, &from), (LinkEnd::List, LinkEnd::Router(_))).then(|| ListFrames {
            relay: self.clone(),
            router: from.to_string(),
            decoder: FrameDecoder::default(),
        });
        let home = StreamDirection { link: back.clone(), faults: self.faults.clone(), lists };
        let reset = |t: &FaultTable| t.resets(&there) + t.resets(&back) > before;
        let both = async {
            tokio::try_join!(
                out.run(near_in, far_out, first.freeze()),
                home.run(far_in, near_out, Bytes::new())
            )
        };
        // Dropping the halves closes both sockets; unread bytes turn the close into a reset.
        tokio::select! {
            _ = both => {}
            _ = faults.wait_for(reset) => {}
        }
    }

    /// The opener of a stream, found by its first frame; the bytes read go into `first`. All routers use the
    /// same address of an engine, as in a real site, and so do engines that fetch KV caches from one another.
    async fn opener(&self, near: &mut TcpStream, first: &mut BytesMut) -> LinkEnd {
        let unknown = LinkEnd::Engine("unknown".to_owned());
        let by_name = |name: &str| {
            let number = name.strip_prefix("router-").and_then(|n| n.parse().ok());
            number.map_or(LinkEnd::Engine(name.to_owned()), LinkEnd::Router)
        };
        loop {
            let mut decoder = FrameDecoder::default();
            decoder.buffer().extend_from_slice(first);
            let said = match self.to {
                LinkEnd::Router(_) | LinkEnd::Clients => return LinkEnd::Clients,
                LinkEnd::Engine(_) => match decoder.next_frame::<EngineFrame>() {
                    Ok(Some(EngineFrame::Hello { peer: Peer::Engine(facts), .. })) => {
                        Some(by_name(&facts.name))
                    }
                    Ok(Some(EngineFrame::Hello { peer: Peer::Router { name, .. }, .. })) => {
                        Some(by_name(&name))
                    }
                    Ok(None) => None,
                    _ => return unknown,
                },
                LinkEnd::List => match decoder.next_frame::<ListFrame>() {
                    Ok(Some(ListFrame::Hello { name, .. })) => Some(by_name(&name)),
                    Ok(None) => None,
                    _ => return unknown,
                },
            };
            match said {
                Some(end) => return end,
                None if first.len() < MAX_HELLO_BYTES && matches!(near.read_buf(first).await, Ok(1..)) => {}
                None => return unknown,
            }
        }
    }
}

/// Rewrites the frames of a list service on their way to a router.
struct ListFrames {
    relay: Relay,
    router: String,
    decoder: FrameDecoder,
}

impl ListFrames {
    /// The bytes for the router, and the list entries that they contain.
    fn pass(&mut self, chunk: &[u8]) -> (Bytes, Vec<What>) {
        self.decoder.buffer().extend_from_slice(chunk);
        let (mut bytes, mut told) = (BytesMut::new(), Vec::new());
        while let Ok(Some(mut frame)) = self.decoder.next_frame::<ListFrame>() {
            if let ListFrame::Update { entries, .. } = &mut frame {
                for entry in entries {
                    if let Some(address) = self.relay.engines.get(&entry.address) {
                        entry.address.clone_from(address);
                    }
                    let (router, engine) = (self.router.clone(), entry.engine.clone());
                    told.push(What::Listed { router, engine, state: entry.state });
                }
            }
            encode(&frame, &mut bytes);
        }
        (bytes.freeze(), told)
    }
}

/// One direction of one stream.
struct StreamDirection {
    link: DirectedLink,
    faults: watch::Receiver<FaultTable>,
    lists: Option<ListFrames>,
}

impl StreamDirection {
    async fn run(
        self,
        mut from: OwnedReadHalf,
        to: OwnedWriteHalf,
        first: Bytes,
    ) -> Result<(), StreamBroken> {
        let (chunks, chunks_in) = mpsc::channel(MAX_CHUNKS);
        let read = async move {
            if !first.is_empty() && chunks.send((Instant::now(), first)).await.is_err() {
                return Ok(());
            }
            loop {
                let mut chunk = BytesMut::with_capacity(MAX_CHUNK_BYTES);
                // An error counts as the end of the stream: a killed peer is simply gone.
                if !matches!(from.read_buf(&mut chunk).await, Ok(1..)) {
                    return Ok(());
                }
                if chunks.send((Instant::now(), chunk.freeze())).await.is_err() {
                    return Ok(());
                }
            }
        };
        tokio::try_join!(read, self.write(to, chunks_in)).map(|_| ())
    }

    async fn write(
        mut self,
        mut to: OwnedWriteHalf,
        mut chunks: mpsc::Receiver<(Instant, Bytes)>,
    ) -> Result<(), StreamBroken> {
        let (link, mut faults) = (self.link.clone(), self.faults.clone());
        loop {
            let chunk = chunks.recv().await;
            let cut = self.faults.borrow().fault(&link).cut;
            if cut && chunk.is_some() {
                // A receiver that missed bytes must not continue with later ones: everything is lost until
                // the cut ends, and then the stream is broken.
                let lose = async {
                    while chunks.recv().await.is_some() {}
                    std::future::pending::<()>().await;
                };
                tokio::select! {
                    () = lose => {}
                    _ = faults.wait_for(|t| !t.fault(&link).cut) => {}
                }
                return Err(StreamBroken);
            }
            // The end of a stream is held back like its bytes.
            if faults.wait_for(|t| !t.fault(&link).is_silent()).await.is_err() {
                return Err(StreamBroken);
            }
            let fault = faults.borrow().fault(&link);
            let Some((at, chunk)) = chunk else { break };
            sleep_until(at + fault.delay).await;
            self.pass(&mut to, &chunk, fault.rate).await?;
        }
        to.shutdown().await.map_err(|_| StreamBroken)
    }

    async fn pass(&mut self, to: &mut OwnedWriteHalf, chunk: &Bytes, rate: u32) -> Result<(), StreamBroken> {
        let (bytes, told) = match &mut self.lists {
            Some(lists) => lists.pass(chunk),
            None => (chunk.clone(), Vec::new()),
        };
        let at_once = match rate {
            0 => bytes.len(),
            _ => (f64::from(rate) * MIN_WRITE_INTERVAL.as_secs_f64()) as usize,
        };
        for part in bytes.chunks(at_once.max(1)) {
            to.write_all(part).await.map_err(|_| StreamBroken)?;
            if rate > 0 {
                sleep(Duration::from_secs_f64(part.len() as f64 / f64::from(rate))).await;
            }
        }
        if let Some(lists) = &self.lists {
            let recorder = &lists.relay.recorder;
            told.into_iter().for_each(|what| recorder.record.add(recorder.clock.now(), what));
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "streams_tests.rs"]
mod tests;
