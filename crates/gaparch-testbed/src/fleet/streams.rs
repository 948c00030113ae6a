//! What stands between a router and whatever it speaks to over TCP: its engines, the list service, its clients.
//!
//! Each router is told addresses of relays of its own, so that a relay knows which link a stream takes. Bytes are late,
//! slow, held or lost in one direction and not in the other; nobody is told so by a reset unless the day says so.

use super::faults::{End, Faults, Table, Way};
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

/// Streams through one relay at once; more are closed.
const MOST_STREAMS: usize = 1024;
/// Pieces of a stream under way in one direction, and bytes of each; past them the sender is not read from.
const PIECES: usize = 64;
const PIECE: usize = 16 * 1024;
/// Bytes in which the first frame of a stream has to be found.
const HELLO: usize = 4096;
/// Between two pieces of a slow stream, at the least.
const TICK: Duration = Duration::from_millis(5);

/// Who records what passed.
#[derive(Clone, Debug)]
pub struct Witness {
    pub clock: Clock,
    pub record: Record,
}

/// The relays of a fleet's streams. They end when this is dropped.
#[derive(Debug)]
pub struct Streams {
    /// Where engines and the list service are reached by all routers, and each router by its clients.
    addresses: BTreeMap<End, SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Streams {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Streams {
    /// Relays from routers to these ends, and from clients to each router at these addresses.
    ///
    /// # Errors
    /// When a socket can't be had.
    pub async fn start(
        routers: &[SocketAddr],
        ends: &[(End, SocketAddr)],
        faults: &Arc<Faults>,
        witness: &Witness,
    ) -> io::Result<Streams> {
        let mut streams = Streams { addresses: BTreeMap::new(), tasks: Vec::new() };
        let fronts = routers.iter().enumerate().map(|(router, at)| (End::Router(router), *at));
        let mut listeners = Vec::new();
        for (to, at) in fronts.chain(ends.iter().cloned()) {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            streams.addresses.insert(to.clone(), listener.local_addr()?);
            listeners.push((to, at, listener));
        }
        // By the list's entries routers are to reach engines through relays, too.
        let relayed =
            |(end, at): &(End, SocketAddr)| Some((at.to_string(), streams.addresses.get(end)?.to_string()));
        let engines: Arc<BTreeMap<String, String>> = Arc::new(ends.iter().filter_map(relayed).collect());
        for (to, at, listener) in listeners {
            let (faults, engines, witness) = (faults.watch(), Arc::clone(&engines), witness.clone());
            let relay = Relay { to, at, faults, engines, witness };
            streams.tasks.push(tokio::spawn(relay.run(listener)));
        }
        Ok(streams)
    }

    /// Where an end is reached by those who are to pass its relay.
    pub fn address(&self, to: &End) -> Option<SocketAddr> {
        self.addresses.get(to).copied()
    }
}

/// A stream that goes no further: both of its sides are closed.
struct Broken;

#[derive(Clone)]
struct Relay {
    to: End,
    at: SocketAddr,
    faults: watch::Receiver<Table>,
    /// Addresses in lists, and what routers are told in their place.
    engines: Arc<BTreeMap<String, String>>,
    witness: Witness,
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
            if streams.len() < MOST_STREAMS {
                let relay = self.clone();
                streams.spawn(async move { relay.carry(socket).await });
            }
        }
    }

    /// One stream; it ends with both of its sockets.
    async fn carry(self, mut near: TcpStream) {
        let _ = near.set_nodelay(true);
        let mut first = BytesMut::new();
        let from = self.opener(&mut near, &mut first).await;
        let (there, back) = ((from.clone(), self.to.clone()), (self.to.clone(), from.clone()));
        let before = self.faults.borrow().resets(&there) + self.faults.borrow().resets(&back);
        let mut faults = self.faults.clone();
        // What is silent one way makes no connection either.
        let open = |t: &Table| !t.fault(&there).is_silent() && !t.fault(&back).is_silent();
        if faults.wait_for(open).await.is_err() {
            return;
        }
        // Where nobody listens the other side is told by the end of its stream, in silence otherwise.
        let at = self.faults.borrow().detour(&there).unwrap_or(self.at);
        let Ok(far) = TcpStream::connect(at).await else { return };
        let _ = far.set_nodelay(true);
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        let out = Pump { way: there.clone(), faults: self.faults.clone(), lists: None };
        let lists = matches!((&self.to, &from), (End::List, End::Router(_))).then(|| Lists {
            relay: self.clone(),
            router: from.to_string(),
            decoder: FrameDecoder::default(),
        });
        let home = Pump { way: back.clone(), faults: self.faults.clone(), lists };
        let reset = |t: &Table| t.resets(&there) + t.resets(&back) > before;
        let both = async {
            tokio::try_join!(
                out.run(near_in, far_out, first.freeze()),
                home.run(far_in, near_out, Bytes::new())
            )
        };
        // With their halves dropped both sockets are closed; what was not read there makes it a reset.
        tokio::select! {
            _ = both => {}
            _ = faults.wait_for(reset) => {}
        }
    }

    /// Who has opened a stream, by its first frame; what was read of it goes into `first`. All routers take the same
    /// address of an engine, as in a real site, and engines that fetch states from one another take it too.
    async fn opener(&self, near: &mut TcpStream, first: &mut BytesMut) -> End {
        let unknown = End::Engine("unknown".to_owned());
        let by_name = |name: &str| {
            let number = name.strip_prefix("router-").and_then(|n| n.parse().ok());
            number.map_or(End::Engine(name.to_owned()), End::Router)
        };
        loop {
            let mut decoder = FrameDecoder::default();
            decoder.buffer().extend_from_slice(first);
            let said = match self.to {
                End::Router(_) | End::Clients => return End::Clients,
                End::Engine(_) => match decoder.next_frame::<EngineFrame>() {
                    Ok(Some(EngineFrame::Hello { peer: Peer::Engine(facts), .. })) => {
                        Some(by_name(&facts.name))
                    }
                    Ok(Some(EngineFrame::Hello { peer: Peer::Router { name, .. }, .. })) => {
                        Some(by_name(&name))
                    }
                    Ok(None) => None,
                    _ => return unknown,
                },
                End::List => match decoder.next_frame::<ListFrame>() {
                    Ok(Some(ListFrame::Hello { name, .. })) => Some(by_name(&name)),
                    Ok(None) => None,
                    _ => return unknown,
                },
            };
            match said {
                Some(end) => return end,
                None if first.len() < HELLO && matches!(near.read_buf(first).await, Ok(1..)) => {}
                None => return unknown,
            }
        }
    }
}

/// Frames of a list service on their way to a router.
struct Lists {
    relay: Relay,
    router: String,
    decoder: FrameDecoder,
}

impl Lists {
    /// The bytes for the router, and what it is told with them.
    fn pass(&mut self, piece: &[u8]) -> (Bytes, Vec<What>) {
        self.decoder.buffer().extend_from_slice(piece);
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
struct Pump {
    way: Way,
    faults: watch::Receiver<Table>,
    lists: Option<Lists>,
}

impl Pump {
    async fn run(self, mut from: OwnedReadHalf, to: OwnedWriteHalf, first: Bytes) -> Result<(), Broken> {
        let (pieces, pieces_in) = mpsc::channel(PIECES);
        let read = async move {
            if !first.is_empty() && pieces.send((Instant::now(), first)).await.is_err() {
                return Ok(());
            }
            loop {
                let mut piece = BytesMut::with_capacity(PIECE);
                // An error ends the stream as its end does: a peer that was killed is no more than gone.
                if !matches!(from.read_buf(&mut piece).await, Ok(1..)) {
                    return Ok(());
                }
                if pieces.send((Instant::now(), piece.freeze())).await.is_err() {
                    return Ok(());
                }
            }
        };
        tokio::try_join!(read, self.write(to, pieces_in)).map(|_| ())
    }

    async fn write(
        mut self,
        mut to: OwnedWriteHalf,
        mut pieces: mpsc::Receiver<(Instant, Bytes)>,
    ) -> Result<(), Broken> {
        let (way, mut faults) = (self.way.clone(), self.faults.clone());
        loop {
            let piece = pieces.recv().await;
            let cut = self.faults.borrow().fault(&way).cut;
            if cut && piece.is_some() {
                // Whoever misses bytes must not take what follows for the next ones: all is lost until the cut ends,
                // and the stream with it.
                let lose = async {
                    while pieces.recv().await.is_some() {}
                    std::future::pending::<()>().await;
                };
                tokio::select! {
                    () = lose => {}
                    _ = faults.wait_for(|t| !t.fault(&way).cut) => {}
                }
                return Err(Broken);
            }
            // The end of a stream is as silent as its bytes.
            if faults.wait_for(|t| !t.fault(&way).is_silent()).await.is_err() {
                return Err(Broken);
            }
            let fault = faults.borrow().fault(&way);
            let Some((at, piece)) = piece else { break };
            sleep_until(at + fault.delay).await;
            self.pass(&mut to, &piece, fault.rate).await?;
        }
        to.shutdown().await.map_err(|_| Broken)
    }

    async fn pass(&mut self, to: &mut OwnedWriteHalf, piece: &Bytes, rate: u32) -> Result<(), Broken> {
        let (bytes, told) = match &mut self.lists {
            Some(lists) => lists.pass(piece),
            None => (piece.clone(), Vec::new()),
        };
        let at_once = match rate {
            0 => bytes.len(),
            _ => (f64::from(rate) * TICK.as_secs_f64()) as usize,
        };
        for part in bytes.chunks(at_once.max(1)) {
            to.write_all(part).await.map_err(|_| Broken)?;
            if rate > 0 {
                sleep(Duration::from_secs_f64(part.len() as f64 / f64::from(rate))).await;
            }
        }
        if let Some(lists) = &self.lists {
            let witness = &lists.relay.witness;
            told.into_iter().for_each(|what| witness.record.add(witness.clock.now(), what));
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "streams_tests.rs"]
mod tests;
