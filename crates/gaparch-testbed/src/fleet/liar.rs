//! A defective router that sends false lists and orders. The runner impersonates it with its name and the
//! site's key.
//!
//! It takes part in the membership protocol correctly, since otherwise the other routers would ignore it. The
//! lists and orders that it states are invalid: versions and numbers far ahead of the real ones, and entries
//! that were never listed.

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

/// Interval between two false payloads.
const LIE_INTERVAL: Duration = Duration::from_millis(200);
/// How far its list versions and order numbers are ahead of the real ones.
const VERSION_OFFSET: u64 = 1 << 60;
const MAX_DATAGRAM_BYTES: usize = 2048;

/// A router that sends false lists and orders.
pub struct Liar {
    pub name: String,
    pub listen: SocketAddr,
    /// The address that the other routers use for it.
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub routers: u32,
    pub key: String,
    pub clock: Clock,
}

impl Liar {
    /// Sends false lists and orders until the task is aborted.
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
        let mut lie_timer = interval(LIE_INTERVAL);
        let mut datagram = [0; MAX_DATAGRAM_BYTES];
        let mut last_version = ListVersion::default();
        loop {
            let mut payloads = Vec::new();
            for output in out.drain(..) {
                match output {
                    Output::Send { to, message } => {
                        if let Some(bytes) = key.seal(&message) {
                            let _ = socket.try_send_to(&bytes, to);
                        }
                    }
                    Output::Payload { from, bytes } => payloads.push((from, bytes)),
                    _ => {}
                }
            }
            for (from, bytes) in payloads {
                match from_bytes::<ReplicationMessage>(&bytes) {
                    Some(ReplicationMessage::ListStatus { version, .. }) => last_version = version,
                    // A router that believes the false version fetches a list that never existed.
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
                _ = lie_timer.tick() => {
                    for to in core.present_peers() {
                        for payload in [self.future_list(last_version), self.future_order()] {
                            core.send_payload(self.clock.now(), &to, to_bytes(&payload), &mut out);
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

    /// States a list version far ahead of the real one, as if the list service had just confirmed it.
    fn future_list(&self, last_version: ListVersion) -> ReplicationMessage {
        let version =
            ListVersion { version: last_version.version.saturating_add(VERSION_OFFSET), ..last_version };
        let claim = Claim { router: "router-77".to_owned(), version, digest: 1, age_ms: 0 };
        ReplicationMessage::ListStatus {
            version,
            digest: 1,
            entries: 0,
            confirmed_ms_ago: Some(0),
            claims: vec![claim],
        }
    }

    /// States an order with a number that would take precedence over all others permanently.
    fn future_order(&self) -> ReplicationMessage {
        let change = Change::Undrain { engine: "read-0".to_owned() };
        debug_assert!(subject(&change).is_some());
        let id = OrderId {
            number: VERSION_OFFSET,
            restrictiveness: 0,
            router: self.name.clone(),
            incarnation: 1_000,
        };
        let note = ChangeNote { operator: "nobody".to_owned(), reason: "a defect".to_owned(), at: 0 };
        ReplicationMessage::Order { order: FleetOrder { id, replaces: None, change, note } }
    }
}
