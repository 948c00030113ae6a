//! Gossip between routers over UDP.

use crate::transient_errors::RETRY_DELAY;
use gaparch_platform_protocol::config::GossipAddresses;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Largest datagram that the platform allows, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Gossip messages that may wait for the owner. Further ones are dropped, as the network may drop any
/// datagram.
pub(crate) const QUEUE_LENGTH: usize = 256;

/// A message from another router.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct GossipMessage {
    /// Index of the sending router.
    pub from: u32,
    pub data: Vec<u8>,
}

/// The UDP socket for gossip.
#[derive(Debug)]
pub(crate) struct GossipSocket {
    socket: UdpSocket,
    addresses: GossipAddresses,
    dropped: AtomicU64,
}

impl GossipSocket {
    /// Binds the socket to this router's gossip address.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn bind(addresses: GossipAddresses) -> io::Result<Arc<GossipSocket>> {
        let socket = UdpSocket::bind(addresses.listen).await?;
        Ok(Arc::new(GossipSocket { socket, addresses, dropped: AtomicU64::new(0) }))
    }

    /// Returns the number of datagrams dropped because the sender is unknown, they were too long, or the
    /// queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Receives messages for as long as the router runs, and queues them for the owner.
    pub async fn receive(self: Arc<Self>, owner: mpsc::Sender<GossipMessage>) {
        // One byte more than allowed, so that an oversized datagram can be detected.
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut datagram).await else {
                // An earlier datagram could not be delivered, or the system lacks resources: retrying without
                // a delay could use up the CPU.
                sleep(RETRY_DELAY).await;
                continue;
            };
            let message = self.parse(&datagram[..length], from);
            if message.is_none_or(|message| owner.try_send(message).is_err()) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Returns the message in a datagram, or `None` if it is too long or not from a known router.
    fn parse(&self, datagram: &[u8], from: SocketAddr) -> Option<GossipMessage> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return None;
        }
        let index = self.addresses.routers.iter().position(|router| *router == from)?;
        Some(GossipMessage { from: index as u32, data: datagram.to_vec() })
    }

    /// Sends a message to one router, or to all if `router` is `None`. A message that can't be sent
    /// immediately is dropped, as the network may drop any datagram.
    pub fn send(&self, router: Option<u32>, data: &[u8]) {
        let address = match router {
            Some(index) => self.addresses.routers.get(index as usize),
            None => self.addresses.broadcast.as_ref(),
        };
        if data.len() > MAX_DATAGRAM_BYTES {
            tracing::warn!(length = data.len(), "gossip message exceeds the datagram limit; not sent");
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
