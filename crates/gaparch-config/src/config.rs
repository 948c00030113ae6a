//! The checked settings, as the router uses them.

use crate::units::Span;
use gaparch_protocol::client::Dialect;
use gaparch_scheduler::api::{
    AffinityKey, CellId, ClassId, KindId, Nanos, ServerId, ServerState, Settings, TenantId, ZoneId,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The id of the engine with this name, the same on every router.
pub fn server_id(name: &str) -> ServerId {
    let digest = AffinityKey::from_text(name).0;
    ServerId((digest ^ (digest >> 32)) as u32)
}

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this router.
    pub router: String,
    /// Addresses at which clients connect.
    pub listeners: Vec<Listener>,
    /// Settings of the scheduler.
    pub scheduler: Settings,
    /// The names of what the scheduler knows by index.
    pub names: Names,
    /// Time limits of a stream that has started, by class.
    pub class_times: Vec<ClassTimes>,
    /// Class of a request that names none; `None`: a request has to name one.
    pub default_class: Option<ClassId>,
    /// Tenants by API key; empty: clients need no key.
    pub keys: BTreeMap<String, TenantId>,
    /// Engines that the settings list.
    pub engines: Vec<EngineConfig>,
    /// The service that publishes the endpoint list; `None`: the engines of the settings are all.
    pub list: Option<ListConfig>,
    /// How engines are connected to.
    pub links: Links,
    /// Timing of probes and of reconnects.
    pub attempts: Attempts,
    /// Bounds of what is held at once.
    pub limits: Limits,
    /// The operations interface; `None`: there is none.
    pub operations: Option<Operations>,
    /// Membership among the routers of the site; `None`: this router knows of no other.
    pub fleet: Option<Fleet>,
}

/// How this router and the others of its site find one another, and monitor one another (SWIM).
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Address at which datagrams are received.
    pub listen: SocketAddr,
    /// Address that the other routers send them to.
    pub address: SocketAddr,
    /// File whose first line is the key shared by the routers of the site.
    pub key_file: PathBuf,
    /// Addresses of routers to join.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes, in nanoseconds.
    pub period: Nanos,
    /// How long a dead router still counts among those that share the site, in nanoseconds.
    pub hold: Nanos,
    /// How long the endpoint list may go unconfirmed before another router is asked for it, in nanoseconds; `None`:
    /// no router ever is.
    pub confirm: Option<Nanos>,
    /// Whether the refinements of SWIM are on; plain SWIM is there to compare with.
    pub refined: bool,
}

impl Fleet {
    /// These settings with a relative key file resolved against a folder.
    pub fn resolve_paths(mut self, folder: &Path) -> Fleet {
        self.key_file = folder.join(&self.key_file);
        self
    }
}

/// Settings of the operations interface.
#[derive(Clone, Debug, PartialEq)]
pub struct Operations {
    /// Folder for what must survive a restart.
    pub state: PathBuf,
    /// Unix socket to listen at.
    pub socket: Option<PathBuf>,
    /// Loopback TCP address to listen at.
    pub address: Option<SocketAddr>,
    /// Most consoles and scripts that are connected at once.
    pub sessions: usize,
    /// Most bytes of history on disk.
    pub history: usize,
    /// Most bytes of rejections kept in memory.
    pub refusals: usize,
    /// Operators who may connect over TCP.
    pub operators: Vec<Operator>,
}

impl Operations {
    /// These settings with relative paths resolved against a folder.
    pub fn resolve_paths(mut self, folder: &Path) -> Operations {
        self.state = folder.join(&self.state);
        self.socket = self.socket.map(|socket| folder.join(socket));
        for operator in &mut self.operators {
            if let KeySource::File(file) = &mut operator.key {
                *file = folder.join(&*file);
            }
        }
        self
    }
}

/// An operator and what they may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// Name, as it appears in the records of their orders.
    pub name: String,
    /// Whether they may give orders; else they may only read.
    pub may_change: bool,
    /// Key by which they identify themselves.
    pub key: KeySource,
}

/// Where an operator's key comes from.
#[derive(Clone, PartialEq)]
pub enum KeySource {
    /// The first line of a file.
    File(PathBuf),
    /// The settings themselves.
    Text(String),
}

impl std::fmt::Debug for KeySource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            KeySource::File(file) => write!(f, "File({})", file.display()),
            // Keys must not end up in logs.
            KeySource::Text(_) => f.write_str("Text(..)"),
        }
    }
}

/// An address at which clients connect.
#[derive(Clone, Debug)]
pub struct Listener {
    /// The address.
    pub address: SocketAddr,
    /// The dialect that is spoken there.
    pub dialect: Arc<Dialect>,
}

/// The names of what the scheduler knows by index.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Traffic classes.
    pub classes: ClassNames,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of engines.
    pub kinds: Vec<String>,
}

/// The names of the traffic classes, by their index.
pub type ClassNames = Vec<String>;

impl Names {
    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|n| n == name).map(ClassId)
    }

    /// The zone of this name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|n| n == name).map(ZoneId)
    }

    /// The kind of engine of this name.
    pub fn kind(&self, name: &str) -> Option<KindId> {
        self.kinds.iter().position(|n| n == name).map(KindId)
    }

    /// The cell of a rack, the same on every router whatever its settings list; `None` without a rack.
    pub fn cell(&self, zone: &str, rack: &str) -> Option<CellId> {
        (!rack.is_empty()).then(|| CellId(AffinityKey::from_text(&format!("{zone}/{rack}")).0))
    }
}

/// Time limits of a stream that has started, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassTimes {
    /// Longest duration of the whole stream.
    pub stream: Nanos,
    /// Longest pause between two events.
    pub silence: Nanos,
}

/// An engine that the settings list.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    /// Name, unique in the site.
    pub name: String,
    /// Address of the engine protocol.
    pub address: SocketAddr,
    /// Name of its kind.
    pub kind: String,
    /// Name of its zone; empty: none.
    pub zone: String,
    /// Name of its rack; empty: none.
    pub rack: String,
    /// Capacity relative to other engines of its role; `None`: 1.
    pub weight: Option<f64>,
    /// Whether it takes requests.
    pub state: ServerState,
}

/// How engines are connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Links {
    /// One connection to each engine carries all attempts; what the engine holds is lost with it.
    Connections,
    /// Each attempt has an HTTP exchange of its own, and only that can fail: an engine counts as reachable while it is
    /// listed.
    Exchanges,
}

/// The service that publishes the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListConfig {
    /// Its address.
    pub address: SocketAddr,
}

/// Timing of probes and reconnects, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    /// How long a probe may take.
    pub probe_timeout: Nanos,
    /// First backoff before a reconnect; it doubles with each failure.
    pub reconnect_after: Nanos,
    /// Longest backoff before a reconnect.
    pub reconnect_most: Nanos,
}

/// Bounds of what is held at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's body.
    pub body: usize,
    /// Most client connections.
    pub connections: usize,
    /// Most requests that are accepted and not yet ended.
    pub open_requests: usize,
    /// Most requests that wait to be accepted.
    pub inbox: usize,
    /// Most events of one stream that wait for its client.
    pub stream_buffer: usize,
    /// Most bytes of a frame of the engine protocol.
    pub frame: usize,
    /// Time for the head of a request to arrive.
    pub head_time: Span,
    /// Time for the body of a request to arrive.
    pub body_time: Span,
    /// Time between two keep-alive events while nothing else is sent.
    pub keep_alive: Span,
    /// Time for requests in flight to finish in a graceful shutdown.
    pub shutdown: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body: 1 << 20,
            connections: 16_384,
            open_requests: 20_000,
            inbox: 1024,
            stream_buffer: 256,
            frame: gaparch_protocol::DEFAULT_MAX_FRAME,
            head_time: Span::secs(10),
            body_time: Span::secs(10),
            keep_alive: Span::secs(15),
            shutdown: Span::secs(10),
        }
    }
}
