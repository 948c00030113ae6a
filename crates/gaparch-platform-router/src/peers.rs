//! Datagrams between routers.

use crate::transient::PAUSE;
use gaparch_platform_protocol::config::Peers;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// A longer one must not be sent.
const MOST: usize = 256;
/// Messages that wait for the owner; more are dropped, as the network may drop any.
pub(crate) const WAITING: usize = 256;

/// What another router said, by its number.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Heard {
    pub from: u32,
    pub data: Vec<u8>,
}

#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    peers: Peers,
    dropped: AtomicU64,
}

impl PeerSocket {
    pub async fn bind(peers: Peers) -> io::Result<Arc<PeerSocket>> {
        let socket = UdpSocket::bind(peers.listen).await?;
        Ok(Arc::new(PeerSocket { socket, peers, dropped: AtomicU64::new(0) }))
    }

    /// Messages that came from no router, were too long, or found too many waiting.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Hears what other routers say; who is no router is not listened to.
    pub async fn hear(self: Arc<Self>, owner: mpsc::Sender<Heard>) {
        let mut data = [0; MOST + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut data).await else {
                // An earlier message was not wanted somewhere, or the system is short of something: nothing is wrong
                // here, and asking again without a pause would take all of the core for as long.
                sleep(PAUSE).await;
                continue;
            };
            let number = self.peers.each.iter().position(|peer| *peer == from).filter(|_| length <= MOST);
            let heard = number.map(|number| Heard { from: number as u32, data: data[..length].to_vec() });
            if heard.is_none_or(|heard| owner.try_send(heard).is_err()) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
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

#[cfg(test)]
mod tests {
    use super::*;

    async fn socket() -> UdpSocket {
        UdpSocket::bind("127.0.0.1:0").await.expect("a free port")
    }

    #[tokio::test]
    async fn only_routers_are_heard_and_no_more_than_may_wait() {
        let (router, stranger) = (socket().await, socket().await);
        let each = vec![([127, 0, 0, 9], 1).into(), router.local_addr().expect("it has one")];
        let peers = Peers { listen: ([127, 0, 0, 1], 0).into(), each, all: None };
        let peers = PeerSocket::bind(peers).await.expect("bound");
        let to = peers.socket.local_addr().expect("it has one");
        let (said, mut heard) = mpsc::channel(2);
        let hearing = tokio::spawn(Arc::clone(&peers).hear(said));
        stranger.send_to(b"x", to).await.expect("sent");
        router.send_to(&[0; MOST + 1], to).await.expect("sent");
        for n in 0..5 {
            router.send_to(&[n], to).await.expect("sent");
        }
        // Two strange ones, and three for which there was no room.
        while peers.dropped() < 5 {
            tokio::task::yield_now().await;
        }
        assert_eq!(heard.recv().await, Some(Heard { from: 1, data: vec![0] }));
        assert_eq!(heard.recv().await, Some(Heard { from: 1, data: vec![1] }));
        hearing.abort();
        // One that is too long stays here; one to a router that there is not, too.
        peers.tell(Some(1), &[0; MOST + 1]);
        peers.tell(Some(7), b"y");
        peers.tell(Some(1), b"z");
        let mut data = [0; 300];
        let (length, _) = router.recv_from(&mut data).await.expect("received");
        assert_eq!(&data[..length], b"z");
    }
}
