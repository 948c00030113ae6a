//! How each link of a fleet behaves, in one direction.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// One end of a link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Router(usize),
    Engine(String),
    /// The list service.
    List,
    Clients,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            End::Router(router) => write!(f, "router-{router}"),
            End::Engine(engine) => f.write_str(engine),
            End::List => f.write_str("list"),
            End::Clients => f.write_str("clients"),
        }
    }
}

/// A link in one direction.
pub type Way = (End, End);

/// How a link behaves in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// What is sent is lost, in silence. A stream that lost bytes is reset when the cut ends.
    pub cut: bool,
    /// What is sent is held, and delivered when that ends.
    pub stall: bool,
    /// Of datagrams.
    pub loss: f64,
    pub duplicates: f64,
    pub delay: Duration,
    /// On top of it, by lot: with that datagrams overtake one another; a stream keeps its order.
    pub jitter: Duration,
    /// Bytes a second of a stream; 0: as many as there are.
    pub rate: u32,
}

impl Fault {
    /// Nothing comes through now.
    pub fn is_silent(&self) -> bool {
        self.cut || self.stall
    }
}

/// All links with a fault, and how often each was reset.
#[derive(Clone, Debug, Default)]
pub struct Table {
    faults: BTreeMap<Way, Fault>,
    resets: BTreeMap<Way, u64>,
    detours: BTreeMap<Way, SocketAddr>,
}

impl Table {
    pub fn fault(&self, way: &Way) -> Fault {
        self.faults.get(way).copied().unwrap_or_default()
    }

    pub fn resets(&self, way: &Way) -> u64 {
        self.resets.get(way).copied().unwrap_or_default()
    }

    /// Where a stream leads in place of where it should.
    pub fn detour(&self, way: &Way) -> Option<SocketAddr> {
        self.detours.get(way).copied()
    }
}

/// The faults in force, shared by all relays of a fleet.
#[derive(Debug, Default)]
pub struct Faults {
    table: watch::Sender<Table>,
}

impl Faults {
    pub fn set(&self, ways: &[Way], fault: Fault) {
        self.table.send_modify(|t| t.faults.extend(ways.iter().map(|way| (way.clone(), fault))));
    }

    pub fn heal(&self) {
        self.table.send_modify(|t| t.faults.clear());
    }

    /// Ends the streams of these links with a reset.
    pub fn reset(&self, ways: &[Way]) {
        self.table
            .send_modify(|t| ways.iter().for_each(|way| *t.resets.entry(way.clone()).or_default() += 1));
    }

    /// From now on new streams of these links lead elsewhere; those there are end.
    pub fn detour(&self, ways: &[Way], to: SocketAddr) {
        self.table.send_modify(|t| t.detours.extend(ways.iter().map(|way| (way.clone(), to))));
        self.reset(ways);
    }

    pub fn fault(&self, way: &Way) -> Fault {
        self.table.borrow().fault(way)
    }

    pub fn watch(&self) -> watch::Receiver<Table> {
        self.table.subscribe()
    }
}
