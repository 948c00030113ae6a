//! Gossip between routers in UDP datagrams.

use crate::transient_errors::RETRY_DELAY;
use gaparch_platform_protocol::config::GossipAddresses;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Longest datagram in bytes; the platform forbids longer ones.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Messages that wait for the owner. More are dropped, as the network may drop any.
pub(crate) const QUEUE_LENGTH: usize = 256;

/// A message of another router.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct GossipMessage {
    /// Index of the router that sent it.
    pub from: u32,
    pub data: Vec<u8>,
}

/// The socket for gossip.
#[derive(Debug)]
pub(crate) struct GossipSocket {
    socket: UdpSocket,
    addresses: GossipAddresses,
    dropped: AtomicU64,
}

impl GossipSocket {
    /// Opens the socket at this router's address.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn bind(addresses: GossipAddresses) -> io::Result<Arc<GossipSocket>> {
        let socket = UdpSocket::bind(addresses.listen).await?;
        Ok(Arc::new(GossipSocket { socket, addresses, dropped: AtomicU64::new(0) }))
    }

    /// Returns how many messages came from no router, were too long, or found the queue full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Receives messages for as long as the router runs.
    pub async fn receive(self: Arc<Self>, owner: mpsc::Sender<GossipMessage>) {
        // One byte more than is allowed tells a datagram that is too long.
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut datagram).await else {
                // An earlier datagram was rejected somewhere, or the system lacks something: receiving again without a
                // pause would take all of the processor meanwhile.
                sleep(RETRY_DELAY).await;
                continue;
            };
            let message = self.message(&datagram[..length], from);
            if message.is_none_or(|message| owner.try_send(message).is_err()) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Returns the message in a datagram; `None` where it is too long or its sender is no router.
    fn message(&self, datagram: &[u8], from: SocketAddr) -> Option<GossipMessage> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return None;
        }
        let index = self.addresses.routers.iter().position(|router| *router == from)?;
        Some(GossipMessage { from: index as u32, data: datagram.to_vec() })
    }

    /// Sends a message to one router, or to all where `router` is `None`. One that can't be sent now is lost, as any may be.
    pub fn send(&self, router: Option<u32>, data: &[u8]) {
        let address = match router {
            Some(index) => self.addresses.routers.get(index as usize),
            None => self.addresses.broadcast.as_ref(),
        };
        if data.len() > MAX_DATAGRAM_BYTES {
            tracing::warn!(length = data.len(), "gossip message too long, not sent");
            return;
        }
        if let Some(address) = address {
            let _ = self.socket.try_send_to(data, *address);
        }
    }
}

#[cfg(test)]
#[path = "gossip_tests.rs"]
mod tests;
