//! A relay before each worker: its open connections can fall silent or be reset, and new ones come up late.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{copy_bidirectional, AsyncReadExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// What is done to connections, all below a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Harm {
    silent_below: u64,
    reset_below: u64,
}

/// The relay of one worker. Dropped, it stops.
#[derive(Debug)]
pub struct Proxy {
    pub address: SocketAddr,
    harm: watch::Sender<Harm>,
    late_ms: Arc<AtomicU64>,
    next: Arc<AtomicU64>,
    serving: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

impl Proxy {
    /// # Errors
    /// When no address is to be had.
    pub async fn start(to: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (harm, seen) = watch::channel(Harm::default());
        let (late_ms, next) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (late, numbers) = (Arc::clone(&late_ms), Arc::clone(&next));
        let serving = tokio::spawn(async move {
            loop {
                let Ok((client, _)) = listener.accept().await else { continue };
                let number = numbers.fetch_add(1, Ordering::Relaxed);
                let (late, seen) = (Duration::from_millis(late.load(Ordering::Relaxed)), seen.clone());
                tokio::spawn(async move {
                    sleep(late).await;
                    relay(client, to, number, seen).await;
                });
            }
        });
        Ok(Proxy { address, harm, late_ms, next, serving })
    }

    /// All open connections fall silent, for good.
    pub fn silence(&self) {
        let below = self.next.load(Ordering::Relaxed);
        self.harm.send_modify(|harm| harm.silent_below = below);
    }

    /// All open connections are reset.
    pub fn reset(&self) {
        let below = self.next.load(Ordering::Relaxed);
        self.harm.send_modify(|harm| harm.reset_below = below);
    }

    /// From now on what is sent on a new connection arrives so much later.
    pub fn late(&self, by: Duration) {
        self.late_ms.store(by.as_millis() as u64, Ordering::Relaxed);
    }
}

async fn relay(mut client: TcpStream, to: SocketAddr, number: u64, mut harm: watch::Receiver<Harm>) {
    let Ok(mut server) = TcpStream::connect(to).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let harmed = tokio::select! {
        _ = copy_bidirectional(&mut client, &mut server) => return,
        harmed = harm.wait_for(|harm| harm.silent_below > number || harm.reset_below > number) => {
            harmed.map(|harm| *harm)
        }
    };
    if harmed.is_ok_and(|harm| harm.reset_below > number) {
        let _ = client.set_zero_linger();
        return;
    }
    // Silent: what comes goes nowhere, and the worker's side stays open until the router gives it up.
    let mut sink = [0; 4096];
    while client.read(&mut sink).await.is_ok_and(|n| n > 0) {}
}
