//! What stands between any two routers: datagrams are lost, doubled, late, held, overtaken or cut, for each direction
//! by itself.
//!
//! Each router is told the address of a relay as every other's, so that the relay knows by the sender's own address
//! which link a datagram takes.

use super::faults::{End, Faults, Way};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// Datagrams under way at once through all links; more are lost.
const UNDER_WAY: usize = 20_000;
/// Bytes of a datagram that is passed on.
const MOST: usize = 2048;
/// Copies of datagrams that passed a link, for somebody to send them again.
const COPIES: usize = 64;

#[derive(Debug, Default)]
struct Links {
    bytes: Vec<u64>,
    datagrams: Vec<u64>,
    /// The last ones, with whom they were for.
    copies: Vec<(usize, Vec<u8>)>,
}

/// The relays of a fleet. They end when this is dropped.
#[derive(Debug)]
pub struct Relays {
    addresses: Vec<SocketAddr>,
    listens: Vec<SocketAddr>,
    links: Arc<Mutex<Links>>,
    forger: Arc<UdpSocket>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Relays {
    /// Relays for routers that listen at these addresses.
    ///
    /// # Errors
    /// When a socket can't be had.
    pub async fn start(listens: Vec<SocketAddr>, faults: Arc<Faults>, seed: u64) -> io::Result<Relays> {
        let count = listens.len();
        let links = Links { bytes: vec![0; count], datagrams: vec![0; count], ..Links::default() };
        let links = Arc::new(Mutex::new(links));
        let forger = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let under_way = Arc::new(AtomicUsize::new(0));
        let mut relays = Relays { addresses: Vec::new(), listens, links, forger, tasks: Vec::new() };
        for to in 0..count {
            let socket = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
            relays.addresses.push(socket.local_addr()?);
            let relay = Relay {
                to,
                listens: relays.listens.clone(),
                links: Arc::clone(&relays.links),
                faults: Arc::clone(&faults),
                under_way: Arc::clone(&under_way),
                rng: ChaCha8Rng::seed_from_u64(seed ^ to as u64),
                socket,
            };
            relays.tasks.push(tokio::spawn(relay.run()));
        }
        Ok(relays)
    }

    /// Where others are told to reach a router.
    pub fn address(&self, router: usize) -> SocketAddr {
        self.addresses[router]
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Datagrams and bytes that a router has sent so far.
    pub fn sent(&self, router: usize) -> (u64, u64) {
        let links = self.links();
        (links.datagrams[router], links.bytes[router])
    }

    /// Sends a router what it must not take: datagrams seen before, harmed, cut short, too long, and noise. How many.
    pub async fn forge(&self, router: usize) -> usize {
        let copies: Vec<Vec<u8>> =
            self.links().copies.iter().filter(|(to, _)| *to == router).map(|(_, d)| d.clone()).collect();
        let mut forged = vec![vec![0; MOST], b"gF\x01nonsense".to_vec(), Vec::new()];
        for copy in copies {
            let mut harmed = copy.clone();
            let middle = harmed.len() / 2;
            harmed.iter_mut().skip(middle).take(1).for_each(|byte| *byte ^= 0x40);
            forged.extend([harmed, copy[..copy.len() - 1].to_vec(), copy]);
        }
        for datagram in &forged {
            // One that can't be sent now is lost, as any may be.
            let _ = self.forger.send_to(datagram, self.listens[router]).await;
        }
        forged.len()
    }
}

struct Relay {
    to: usize,
    listens: Vec<SocketAddr>,
    links: Arc<Mutex<Links>>,
    faults: Arc<Faults>,
    under_way: Arc<AtomicUsize>,
    rng: ChaCha8Rng,
    socket: Arc<UdpSocket>,
}

impl Relay {
    async fn run(mut self) {
        let mut datagram = [0; MOST];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut datagram).await else {
                // A router that is not there: its port says so, and the next one may be.
                tokio::task::yield_now().await;
                continue;
            };
            let Some(from) = self.listens.iter().position(|listen| *listen == from) else { continue };
            self.pass(from, &datagram[..length]);
        }
    }

    fn pass(&mut self, from: usize, datagram: &[u8]) {
        let way = (End::Router(from), End::Router(self.to));
        let fault = self.faults.fault(&way);
        {
            let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
            links.datagrams[from] += 1;
            links.bytes[from] += datagram.len() as u64;
            if links.copies.len() >= COPIES {
                links.copies.remove(0);
            }
            links.copies.push((self.to, datagram.to_vec()));
        }
        if fault.cut {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(fault.duplicates));
        for _ in 0..copies {
            if self.rng.random_bool(fault.loss) {
                continue;
            }
            let late = fault.delay + fault.jitter.mul_f64(self.rng.random_range(0.0..1.0));
            if late.is_zero() && !fault.stall {
                let _ = self.socket.try_send_to(datagram, self.listens[self.to]);
            } else if self.under_way.fetch_add(1, Ordering::Relaxed) < UNDER_WAY {
                self.send_later(&way, datagram.to_vec(), late);
            } else {
                self.under_way.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }

    fn send_later(&self, way: &Way, datagram: Vec<u8>, late: Duration) {
        let (way, mut faults) = (way.clone(), self.faults.watch());
        let (socket, to) = (Arc::clone(&self.socket), self.listens[self.to]);
        let under_way = Arc::clone(&self.under_way);
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            // The rig may have ended.
            let _ = faults.wait_for(|t| !t.fault(&way).stall).await;
            let _ = socket.try_send_to(&datagram, to);
            under_way.fetch_sub(1, Ordering::Relaxed);
        });
    }
}
