//! How each link of a fleet behaves, in one direction.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// One end of a link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkEnd {
    Router(usize),
    Engine(String),
    /// The list service.
    List,
    Clients,
}

impl fmt::Display for LinkEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkEnd::Router(router) => write!(f, "router-{router}"),
            LinkEnd::Engine(engine) => f.write_str(engine),
            LinkEnd::List => f.write_str("list"),
            LinkEnd::Clients => f.write_str("clients"),
        }
    }
}

/// One direction of a link: from the first end to the second.
pub type DirectedLink = (LinkEnd, LinkEnd);

/// How a link behaves in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Everything sent is lost silently. A stream that lost bytes is reset when the cut ends.
    pub cut: bool,
    /// Everything sent is held back and delivered when the stall ends.
    pub stall: bool,
    /// Probability that a datagram is lost.
    pub loss: f64,
    pub duplicates: f64,
    pub delay: Duration,
    /// Maximum random delay in addition to `delay`. It reorders datagrams; a stream keeps its order.
    pub jitter: Duration,
    /// Bytes per second of a stream; 0: unlimited.
    pub rate: u32,
}

impl Fault {
    /// Whether nothing is delivered at present.
    pub fn is_silent(&self) -> bool {
        self.cut || self.stall
    }
}

/// The faults, reset counts and redirects of all links.
#[derive(Clone, Debug, Default)]
pub struct FaultTable {
    faults: BTreeMap<DirectedLink, Fault>,
    resets: BTreeMap<DirectedLink, u64>,
    redirects: BTreeMap<DirectedLink, SocketAddr>,
}

impl FaultTable {
    pub fn fault(&self, link: &DirectedLink) -> Fault {
        self.faults.get(link).copied().unwrap_or_default()
    }

    pub fn resets(&self, link: &DirectedLink) -> u64 {
        self.resets.get(link).copied().unwrap_or_default()
    }

    /// The address that new streams are connected to instead of the real one.
    pub fn redirect(&self, link: &DirectedLink) -> Option<SocketAddr> {
        self.redirects.get(link).copied()
    }
}

/// The faults in force, shared by all relays of a fleet.
#[derive(Debug, Default)]
pub struct Faults {
    table: watch::Sender<FaultTable>,
}

impl Faults {
    pub fn set(&self, links: &[DirectedLink], fault: Fault) {
        self.table.send_modify(|t| t.faults.extend(links.iter().map(|link| (link.clone(), fault))));
    }

    pub fn heal(&self) {
        self.table.send_modify(|t| t.faults.clear());
    }

    /// Resets the streams of these links.
    pub fn reset(&self, links: &[DirectedLink]) {
        self.table
            .send_modify(|t| links.iter().for_each(|link| *t.resets.entry(link.clone()).or_default() += 1));
    }

    /// Connects new streams of these links to another address, and resets the current ones.
    pub fn redirect(&self, links: &[DirectedLink], to: SocketAddr) {
        self.table.send_modify(|t| t.redirects.extend(links.iter().map(|link| (link.clone(), to))));
        self.reset(links);
    }

    pub fn fault(&self, link: &DirectedLink) -> Fault {
        self.table.borrow().fault(link)
    }

    pub fn watch(&self) -> watch::Receiver<FaultTable> {
        self.table.subscribe()
    }
}
