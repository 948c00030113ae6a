//! A router that lies by defect: the rig stands in for it, under its name and with the site's key.
//!
//! It is a sound member, or nobody would listen to it; what it says of lists and orders is what no router may say: versions
//! and numbers from the future, entries that nobody listed.

use gaparch_audit::{subject, FleetOrder};
use gaparch_membership::{Membership, Output, Settings, SiteKey};
use gaparch_net::Clock;
use gaparch_protocol::ops::intent::{Change, ChangeNote};
use gaparch_protocol::ops::{from_bytes, to_bytes};
use gaparch_protocol::versions::{Claim, ListVersion, OrderId, ReplicationMessage};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{interval, sleep_until, Instant};

/// Between two lies.
const EVERY: Duration = Duration::from_millis(200);
/// By how far its versions and numbers are ahead.
const FAR: u64 = 1 << 60;
const MOST: usize = 2048;

/// One that lies.
pub struct Liar {
    pub name: String,
    pub listen: SocketAddr,
    /// Where the others are told to reach it.
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub routers: u32,
    pub key: String,
    pub clock: Clock,
}

impl Liar {
    /// Lies until it is aborted.
    pub async fn run(self) {
        let (Ok(socket), Some(key)) = (UdpSocket::bind(self.listen).await, SiteKey::new(self.key.as_bytes()))
        else {
            return;
        };
        let settings = Settings {
            name: self.name.clone(),
            zone: "north".to_owned(),
            build: "defect".to_owned(),
            address: self.address,
            run_id: self.clock.now(),
            incarnation: 1_000,
            seeds: self.seeds.clone(),
            max_routers: self.routers,
            probe_interval: 200_000_000,
            dead_hold: 60_000_000_000,
            seed: 1,
            use_extensions: true,
        };
        let mut out = Vec::new();
        let mut core = Membership::new(settings, self.clock.now(), &mut out);
        let mut lies = interval(EVERY);
        let mut datagram = [0; MOST];
        let mut heard = ListVersion::default();
        loop {
            let mut talks = Vec::new();
            for output in out.drain(..) {
                match output {
                    Output::Send { to, message } => {
                        if let Some(bytes) = key.seal(&message) {
                            let _ = socket.try_send_to(&bytes, to);
                        }
                    }
                    Output::Payload { from, bytes } => talks.push((from, bytes)),
                    _ => {}
                }
            }
            for (from, bytes) in talks {
                match from_bytes::<ReplicationMessage>(&bytes) {
                    Some(ReplicationMessage::ListStatus { version: held, .. }) => heard = held,
                    // Whoever believes it gets what nobody listed.
                    Some(ReplicationMessage::ListRequest { version, first: at }) => {
                        let page = ReplicationMessage::ListPage {
                            version,
                            digest: 1,
                            first: at,
                            total: 0,
                            entries: Vec::new(),
                        };
                        core.send_payload(self.clock.now(), &from, to_bytes(&page), &mut out);
                    }
                    _ => {}
                }
            }
            let due = Instant::from_std(self.clock.instant(core.next_timer_at()));
            tokio::select! {
                () = sleep_until(due) => core.on_timer(self.clock.now(), &mut out),
                _ = lies.tick() => {
                    for to in core.present_peers() {
                        for talk in [self.stamp(heard), self.order()] {
                            core.send_payload(self.clock.now(), &to, to_bytes(&talk), &mut out);
                        }
                    }
                }
                came = socket.recv_from(&mut datagram) => if let Ok((length, _)) = came {
                    if let Ok(message) = key.open(&datagram[..length]) {
                        core.on_message(self.clock.now(), message, &mut out);
                    }
                },
            }
        }
    }

    /// A list from the future, which it says to have from the service itself.
    fn stamp(&self, heard: ListVersion) -> ReplicationMessage {
        let held = ListVersion { version: heard.version.saturating_add(FAR), ..heard };
        let claim = Claim { router: "router-77".to_owned(), version: held, digest: 1, age_ms: 0 };
        ReplicationMessage::ListStatus {
            version: held,
            digest: 1,
            entries: 0,
            confirmed_ms_ago: Some(0),
            claims: vec![claim],
        }
    }

    /// An order that would go before all others for ever.
    fn order(&self) -> ReplicationMessage {
        let change = Change::Undrain { engine: "read-0".to_owned() };
        debug_assert!(subject(&change).is_some());
        let id = OrderId { number: FAR, restrictiveness: 0, router: self.name.clone(), incarnation: 1_000 };
        let note = ChangeNote { operator: "nobody".to_owned(), reason: "a defect".to_owned(), at: 0 };
        ReplicationMessage::Order { order: FleetOrder { id, replaces: None, change, note } }
    }
}
