//! The checked settings as the router uses them.

use crate::units::Span;
use gaparch_protocol::client::Dialect;
use gaparch_scheduler::api::{
    AffinityKey, CellId, ClassId, KindId, Nanos, ServerId, ServerState, Settings, TenantId, ZoneId,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Returns the id of the engine with this name: a hash of the name, the same on every router.
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
    /// Names of the classes, tenants, zones and kinds that the scheduler identifies by index.
    pub names: Names,
    /// Time limits for streaming responses, by class.
    pub class_times: Vec<ClassTimes>,
    /// Class of a request that states none; `None` if each request must state one.
    pub default_class: Option<ClassId>,
    /// Tenants by API key; empty if clients need no key.
    pub keys: BTreeMap<String, TenantId>,
    /// Engines listed in the settings.
    pub engines: Vec<EngineConfig>,
    /// The discovery service; `None` if there are no engines but those of the settings.
    pub list: Option<ListConfig>,
    /// How the router connects to engines.
    pub links: Links,
    /// Timing of probes and reconnects.
    pub attempts: Attempts,
    /// Limits on connections, requests, buffers and waiting times.
    pub limits: Limits,
    /// The operations interface, if there is one.
    pub operations: Option<Operations>,
    /// Membership among the routers of the site; `None` if this router communicates with no other.
    pub fleet: Option<Fleet>,
}

/// Settings of membership: how the routers of a site find and monitor one another (SWIM).
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Address at which this router receives datagrams.
    pub listen: SocketAddr,
    /// Address to which the other routers send their datagrams.
    pub address: SocketAddr,
    /// File whose first line is the key that the routers of the site share.
    pub key_file: PathBuf,
    /// Addresses of routers through which this one joins the others.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes in nanoseconds.
    pub period: Nanos,
    /// Dead hold: how long a dead router still counts as one of the routers of the site, in nanoseconds.
    pub hold: Nanos,
    /// How long the endpoint list may remain unconfirmed before this router requests it from another, in
    /// nanoseconds; `None` if it never does.
    pub confirm: Option<Nanos>,
    /// Whether the extensions of SWIM are enabled; plain SWIM exists for comparison.
    pub refined: bool,
}

impl Fleet {
    /// Resolves a relative path of the key file against a folder.
    pub fn resolve_paths(mut self, folder: &Path) -> Fleet {
        self.key_file = folder.join(&self.key_file);
        self
    }
}

/// Settings of the operations interface.
#[derive(Clone, Debug, PartialEq)]
pub struct Operations {
    /// Folder for data that must survive a restart.
    pub state: PathBuf,
    /// Path of the Unix socket to listen on.
    pub socket: Option<PathBuf>,
    /// Loopback TCP address to listen on.
    pub address: Option<SocketAddr>,
    /// Maximum number of concurrent connections of consoles and scripts.
    pub sessions: usize,
    /// Maximum size of the history on disk, in bytes.
    pub history: usize,
    /// Maximum size of the rejections kept in memory, in bytes.
    pub refusals: usize,
    /// Operators who may connect over TCP.
    pub operators: Vec<Operator>,
}

impl Operations {
    /// Resolves relative paths against a folder.
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

/// An operator and their permissions.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// Name, as recorded with their orders.
    pub name: String,
    /// Whether they may give orders; otherwise they have read-only access.
    pub may_change: bool,
    /// Key with which they authenticate.
    pub key: KeySource,
}

/// Where an operator's key comes from.
#[derive(Clone, PartialEq)]
pub enum KeySource {
    /// The first line of a file.
    File(PathBuf),
    /// The key is in the settings.
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
    /// Dialect of the client protocol at this address.
    pub dialect: Arc<Dialect>,
}

/// Names of what the scheduler identifies by index.
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

/// Names of the traffic classes, by index.
pub type ClassNames = Vec<String>;

impl Names {
    /// Finds the class with this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|n| n == name).map(ClassId)
    }

    /// Finds the zone with this name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|n| n == name).map(ZoneId)
    }

    /// Finds the kind of engine with this name.
    pub fn kind(&self, name: &str) -> Option<KindId> {
        self.kinds.iter().position(|n| n == name).map(KindId)
    }

    /// Returns the cell of a rack; `None` without a rack. It is a hash of the names, so it is the same on
    /// every router, regardless of its settings.
    pub fn cell(&self, zone: &str, rack: &str) -> Option<CellId> {
        (!rack.is_empty()).then(|| CellId(AffinityKey::from_text(&format!("{zone}/{rack}")).0))
    }
}

/// Time limits for a streaming response, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassTimes {
    /// Maximum duration of the whole stream.
    pub stream: Nanos,
    /// Maximum time between two events.
    pub silence: Nanos,
}

/// An engine listed in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    /// Name, unique within the site.
    pub name: String,
    /// Address of the engine protocol.
    pub address: SocketAddr,
    /// Name of its kind.
    pub kind: String,
    /// Name of its zone; empty if it has none.
    pub zone: String,
    /// Name of its rack; empty if it has none.
    pub rack: String,
    /// Capacity relative to other engines of its role; `None` counts as 1.
    pub weight: Option<f64>,
    /// Whether it accepts requests.
    pub state: ServerState,
}

/// How the router connects to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Links {
    /// One connection to each engine carries all attempts; if it breaks, what the engine holds is lost.
    Connections,
    /// Each attempt is an HTTP exchange of its own, and no other can fail with it: an engine counts as
    /// reachable while it is listed.
    Exchanges,
}

/// The discovery service, which publishes the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListConfig {
    /// Address of the service.
    pub address: SocketAddr,
}

/// Timing of probes and reconnects, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    /// Timeout of a probe.
    pub probe_timeout: Nanos,
    /// Initial backoff before a reconnect; it doubles with each failure.
    pub reconnect_after: Nanos,
    /// Maximum backoff before a reconnect.
    pub reconnect_most: Nanos,
}

/// Limits on connections, requests, buffers and waiting times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's body, in bytes.
    pub body: usize,
    /// Maximum number of bytes that all bodies and prompts of requests may take together.
    pub body_memory: usize,
    /// Maximum number of client connections.
    pub connections: usize,
    /// Maximum number of accepted requests that have not ended yet.
    pub open_requests: usize,
    /// Maximum number of requests waiting to be accepted.
    pub inbox: usize,
    /// Maximum number of buffered events per stream, while its client is slow to read.
    pub stream_buffer: usize,
    /// Maximum size of a frame of the engine protocol, in bytes.
    pub frame: usize,
    /// Timeout for the arrival of a request's head.
    pub head_time: Span,
    /// Timeout for the arrival of a request's body.
    pub body_time: Span,
    /// Interval of keep-alive events while nothing else is sent.
    pub keep_alive: Span,
    /// Time that requests in flight get to finish in a graceful shutdown.
    pub shutdown: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body: 1 << 20,
            body_memory: 256 << 20,
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
