//! Compatibility with the datagrams of deployed routers: one datagram sealed with a fixed key, and a digest
//! of all datagrams that a small fleet sends.
//!
//! The expected values were recorded by the build that introduced this test. A different digest means that
//! routers make other decisions, or send other bytes, than before.

use gaparch_membership::{Membership, Nanos, Output, Settings, SiteKey};
use gaparch_protocol::fleet::{MemberInfo, Message, MessageBody};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
const STEP: Nanos = 10 * MS;
const SECOND: Nanos = 1_000 * MS;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

fn site_key() -> SiteKey {
    SiteKey::new(b"a key of this site").expect("a key")
}

#[test]
fn sealed_datagram_matches_the_pinned_bytes() {
    let from = MemberInfo {
        name: "router-1".to_owned(),
        zone: "north".to_owned(),
        build: "2.1".to_owned(),
        address: "127.0.0.1:7400".to_owned(),
        run_id: 7,
        incarnation: 3,
        heartbeat: 9000,
    };
    let body = MessageBody::Ping { nonce: 5 };
    let message =
        Message { from, to: "router-2".to_owned(), seq: 17, direct_peers: 2, body, updates: Vec::new() };
    let pinned = "6746010008726f757465722d3100056e6f7274680003322e31000e3132372e302e302e313a373430300000000000000007000000000000000300000000000023280008726f757465722d320000000000000011000201000000000000000500000000c2db2a0b640760641c02bb11131b48c7";
    assert_eq!(site_key().seal(&message).as_deref().map(hex).as_deref(), Some(pinned));
    assert_eq!(site_key().open(&unhex(pinned)), Ok(message));
}

/// Members in simulated time. A datagram arrives one time step after it was sent.
struct Fleet {
    now: Nanos,
    members: Vec<Option<Membership>>,
    /// Sender, receiver and message of each datagram in flight, in the order of sending.
    in_flight: Vec<(usize, usize, Message)>,
    /// A link, as sender and receiver, that drops all datagrams in this direction.
    failed_link: Option<(usize, usize)>,
    traffic: Sha256,
    datagrams: u64,
    divisors: Vec<u32>,
}

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7400 + member as u16))
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            members: (0..count).map(|_| None).collect(),
            in_flight: Vec::new(),
            failed_link: None,
            traffic: Sha256::new(),
            datagrams: 0,
            divisors: vec![0; count],
        };
        (0..count).for_each(|member| fleet.start(member, 1));
        fleet
    }

    fn start(&mut self, member: usize, incarnation: u64) {
        let settings = Settings {
            name: format!("router-{member}"),
            zone: "north".to_owned(),
            build: "1".to_owned(),
            address: address(member),
            run_id: 100 + member as u64 + incarnation * 10,
            incarnation,
            seeds: vec![address(0), address(1)],
            max_routers: 5,
            probe_interval: 200 * MS,
            dead_hold: 2 * SECOND,
            seed: 40 + member as u64,
            use_extensions: true,
        };
        let mut out = Vec::new();
        self.members[member] = Some(Membership::new(settings, self.now, &mut out));
        self.carry_out(member, out);
    }

    fn carry_out(&mut self, member: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let datagram = site_key().seal(&message).expect("it fits into a datagram");
                    self.traffic.update(&datagram);
                    self.datagrams += 1;
                    let receiver = usize::from(to.port() - 7400);
                    if self.failed_link != Some((member, receiver)) {
                        self.in_flight.push((member, receiver, message));
                    }
                }
                Output::RouterCount(divisor) => self.divisors[member] = divisor,
                Output::PersistIncarnation { .. } | Output::Event(_) | Output::Payload { .. } => {}
            }
        }
    }

    fn run(&mut self, duration: Nanos) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            for (_, receiver, message) in std::mem::take(&mut self.in_flight) {
                let mut out = Vec::new();
                if let Some(core) = &mut self.members[receiver] {
                    core.on_message(self.now, message, &mut out);
                }
                self.carry_out(receiver, out);
            }
            for member in 0..self.members.len() {
                let mut out = Vec::new();
                if let Some(core) = &mut self.members[member] {
                    core.on_timer(self.now, &mut out);
                }
                self.carry_out(member, out);
            }
        }
    }
}

#[test]
fn fleet_traffic_matches_the_pinned_digest_through_deaths_link_failures_and_restarts() {
    let mut fleet = Fleet::new(5);
    fleet.run(20 * SECOND);
    let steady = fleet.divisors.clone();
    fleet.members[4] = None;
    fleet.run(20 * SECOND);
    let after_a_death = fleet.divisors[..4].to_vec();
    fleet.failed_link = Some((1, 0));
    fleet.run(20 * SECOND);
    fleet.failed_link = None;
    fleet.start(4, 1);
    fleet.run(20 * SECOND);
    fleet.now += 3 * SECOND;
    fleet.run(5 * SECOND);
    let mut out = Vec::new();
    fleet.members[2].as_mut().expect("it runs").leave(fleet.now, &mut out);
    fleet.carry_out(2, out);
    fleet.run(5 * SECOND);
    let digest = hex(&fleet.traffic.finalize());
    assert_eq!((steady, after_a_death), (vec![5, 5, 5, 5, 5], vec![4, 4, 4, 4]));
    assert_eq!(
        (fleet.datagrams, digest.as_str()),
        (5139, "9f54d10b76a3dce8ca5e89b916509d4556dc3b0a4e3813fdc0ebea2ed55e4f71")
    );
}
