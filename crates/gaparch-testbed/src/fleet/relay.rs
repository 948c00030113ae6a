//! Relays for the datagrams between routers. They lose, duplicate, delay, hold, reorder or cut datagrams,
//! separately for each direction of a link.
//!
//! Each router is reached by the others through a relay of its own, which recognises the link that a datagram
//! takes by the sender's address.

use super::faults::{DirectedLink, Faults, LinkEnd};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// Maximum number of datagrams in flight through all links; more are dropped.
const MAX_IN_FLIGHT: usize = 20_000;
/// Maximum size of a datagram that is forwarded.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Maximum number of datagrams that are copied to be replayed later.
const MAX_COPIES: usize = 64;

#[derive(Debug, Default)]
struct Links {
    bytes: Vec<u64>,
    datagrams: Vec<u64>,
    /// The latest datagrams, with their recipients.
    copies: Vec<(usize, Vec<u8>)>,
}

/// The datagram relays of a fleet. They end on drop.
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
    /// Starts relays for routers that listen at these addresses.
    ///
    /// # Errors
    /// When a socket can't be opened.
    pub async fn start(listens: Vec<SocketAddr>, faults: Arc<Faults>, seed: u64) -> io::Result<Relays> {
        let count = listens.len();
        let links = Links { bytes: vec![0; count], datagrams: vec![0; count], ..Links::default() };
        let links = Arc::new(Mutex::new(links));
        let forger = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let in_flight = Arc::new(AtomicUsize::new(0));
        let mut relays = Relays { addresses: Vec::new(), listens, links, forger, tasks: Vec::new() };
        for to in 0..count {
            let socket = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
            relays.addresses.push(socket.local_addr()?);
            let relay = Relay {
                to,
                listens: relays.listens.clone(),
                links: Arc::clone(&relays.links),
                faults: Arc::clone(&faults),
                in_flight: Arc::clone(&in_flight),
                rng: ChaCha8Rng::seed_from_u64(seed ^ to as u64),
                socket,
            };
            relays.tasks.push(tokio::spawn(relay.run()));
        }
        Ok(relays)
    }

    /// The address that other routers use for a router.
    pub fn address(&self, router: usize) -> SocketAddr {
        self.addresses[router]
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The datagrams and bytes that a router has sent so far.
    pub fn sent(&self, router: usize) -> (u64, u64) {
        let links = self.links();
        (links.datagrams[router], links.bytes[router])
    }

    /// Sends a router datagrams that it must reject: replayed, corrupted, truncated, too long, and random
    /// ones. Returns their number.
    pub async fn forge(&self, router: usize) -> usize {
        let copies: Vec<Vec<u8>> =
            self.links().copies.iter().filter(|(to, _)| *to == router).map(|(_, d)| d.clone()).collect();
        let mut forged = vec![vec![0; MAX_DATAGRAM_BYTES], b"gF\x01nonsense".to_vec(), Vec::new()];
        for copy in copies {
            let mut harmed = copy.clone();
            let middle = harmed.len() / 2;
            harmed.iter_mut().skip(middle).take(1).for_each(|byte| *byte ^= 0x40);
            forged.extend([harmed, copy[..copy.len() - 1].to_vec(), copy]);
        }
        for datagram in &forged {
            // A datagram that can't be sent is lost, like on any link.
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
    in_flight: Arc<AtomicUsize>,
    rng: ChaCha8Rng,
    socket: Arc<UdpSocket>,
}

impl Relay {
    async fn run(mut self) {
        let mut datagram = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut datagram).await else {
                // The port of a router that is not running is reported as an error; the next datagram may
                // succeed.
                tokio::task::yield_now().await;
                continue;
            };
            let Some(from) = self.listens.iter().position(|listen| *listen == from) else { continue };
            self.pass(from, &datagram[..length]);
        }
    }

    fn pass(&mut self, from: usize, datagram: &[u8]) {
        let link = (LinkEnd::Router(from), LinkEnd::Router(self.to));
        let fault = self.faults.fault(&link);
        {
            let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
            links.datagrams[from] += 1;
            links.bytes[from] += datagram.len() as u64;
            if links.copies.len() >= MAX_COPIES {
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
            } else if self.in_flight.fetch_add(1, Ordering::Relaxed) < MAX_IN_FLIGHT {
                self.send_later(&link, datagram.to_vec(), late);
            } else {
                self.in_flight.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }

    fn send_later(&self, link: &DirectedLink, datagram: Vec<u8>, late: Duration) {
        let (link, mut faults) = (link.clone(), self.faults.watch());
        let (socket, to) = (Arc::clone(&self.socket), self.listens[self.to]);
        let in_flight = Arc::clone(&self.in_flight);
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            // The run may have ended, in which case sending fails.
            let _ = faults.wait_for(|t| !t.fault(&link).stall).await;
            let _ = socket.try_send_to(&datagram, to);
            in_flight.fetch_sub(1, Ordering::Relaxed);
        });
    }
}
