//! Datagrams between routers.

use crate::shared::{Message, Shared};
use gaparch_platform::config::Peers;
use std::io;
use std::sync::Arc;
use tokio::net::UdpSocket;

/// A longer one must not be sent.
const MOST: usize = 256;

#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    peers: Peers,
}

impl PeerSocket {
    pub async fn bind(peers: Peers) -> io::Result<Arc<PeerSocket>> {
        Ok(Arc::new(PeerSocket { socket: UdpSocket::bind(peers.listen).await?, peers }))
    }

    /// Hears what other routers say; who is no router is not listened to.
    pub async fn hear(self: Arc<Self>, shared: Arc<Shared>) {
        let mut data = [0; MOST + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut data).await else {
                // An earlier message was not wanted somewhere: nothing is wrong here.
                tokio::task::yield_now().await;
                continue;
            };
            let number = self.peers.each.iter().position(|peer| *peer == from);
            match number {
                Some(number) if length <= MOST => {
                    shared.tell(Message::Peer { from: number as u32, data: data[..length].to_vec() });
                }
                _ => tracing::debug!(%from, length, "a message of no router"),
            }
        }
    }

    /// To one router or to all. One that can't be sent now is lost, as any may be.
    pub fn tell(&self, peer: Option<u32>, data: &[u8]) {
        let to = match peer {
            Some(number) => self.peers.each.get(number as usize),
            None => self.peers.all.as_ref(),
        };
        if data.len() > MOST {
            tracing::warn!(length = data.len(), "a message to routers is too long and stays here");
            return;
        }
        if let Some(to) = to {
            let _ = self.socket.try_send_to(data, *to);
        }
    }
}
