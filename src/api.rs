//! The interface of the decision module: what a router is told and what it can do.
//!
//! Free of any wire. All times and spans are in nanoseconds; a clock starts anywhere and never goes back.
//! Names (classes, tenants, zones, kinds) come as their index in the settings, never as text.

use std::sync::Arc;

pub type Nanos = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);
/// Token of a timer, given back as it was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u32);

/// A session or a shared beginning, as a digest that is the same on every router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    /// FNV-1a over the text.
    pub fn of(text: &str) -> Key {
        let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
        Key(text.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, step))
    }

    /// Rendezvous rank of a server for this key, the same on every router.
    pub fn rank(self, server: ServerId) -> u64 {
        mix(self.0 ^ mix(u64::from(server.0)))
    }

    /// The same as a number in (0, 1).
    pub fn draw(self, server: ServerId) -> f64 {
        ((self.rank(server) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }
}

/// A fixed mixing of bits (SplitMix64).
fn mix(key: u64) -> u64 {
    let z = key.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    Read,
    Write,
    /// Where none is told.
    #[default]
    Both,
}

/// What repeating a request of a class does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

impl Group {
    /// The one that a server is in; `None` where nobody tells.
    pub fn of(self, zone: Option<ZoneId>, cell: Option<CellId>) -> Option<u64> {
        match self {
            Group::All => Some(0),
            Group::Zone => zone.map(|zone| zone.0 as u64),
            Group::Cell => cell.map(|cell| cell.0),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub effect: Effect,
    pub group: Group,
    /// How long a keyed repeat is dropped, from the first send that may have run.
    pub window: Nanos,
    /// 0 if not told: its requests are as good at any time until the client leaves.
    pub aim: Nanos,
    /// Added to the aim for every prompt token.
    pub aim_per_token: f64,
    pub deadline: Nanos,
    /// Aim for the time between two tokens; 0 if not told.
    pub token_aim: Nanos,
    pub worth: f64,
    pub late_worth: f64,
    /// Its answers stream, and their beginning is told; else nothing is heard before an answer's end.
    pub streamed: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub share: f64,
    /// Requests a second within the share, all routers together; 0 if not told.
    pub quota_per_s: f64,
}

/// What a router is told at its start. [`Settings::default`] holds what an absent setting means.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub seed: u64,
    pub me: u32,
    pub routers: u32,
    pub zone: Option<ZoneId>,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    pub over_share_worth: f64,
    /// Role and memory in tokens, by kind.
    pub roles: Vec<Role>,
    pub memory: Vec<f64>,
    /// Kinds that neither read nor write: their servers are sent nothing.
    pub neither: Vec<KindId>,
    pub self_prefill: bool,
    pub ahead: bool,
    pub resume: bool,
    pub release_within: Nanos,
    pub ask: bool,
    pub ask_within: Nanos,
    pub cancel: bool,
    pub probes: bool,
    pub peers: bool,
    pub second_copies: bool,
    pub retry_after: bool,
    pub max_retry_after: Nanos,
    /// Where none is told: a read and a write.
    pub max_attempts: u32,
    pub connect_timeout: Nanos,
    pub drain_grace: Nanos,
    pub cold_from: f64,
    pub cold: Nanos,
    pub fall_multiple: f64,
    pub fall: Nanos,
    pub answer_slack: Nanos,
    /// The least time between two looks at what has happened, where the world has steps.
    pub tick: Nanos,
    /// Points of service for one probe, and for one message of 256 bytes to one router, a request.
    pub probe_price: f64,
    pub peer_price: f64,
}

impl Settings {
    /// Role and memory of a kind; one that is not told of does both, and its memory is not known. `None`: it neither
    /// reads nor writes.
    pub fn kind(&self, kind: Option<KindId>) -> Option<(Role, f64)> {
        if kind.is_some_and(|k| self.neither.contains(&k)) {
            return None;
        }
        let i = kind.map_or(usize::MAX, |k| k.0);
        Some((self.roles.get(i).copied().unwrap_or_default(), self.memory.get(i).copied().unwrap_or(0.0)))
    }
}

impl Settings {
    /// The time that a refused client is told to stay away; 0: it is told none.
    pub fn come_back_after(&self) -> Nanos {
        if self.retry_after {
            self.max_retry_after
        } else {
            0
        }
    }

    /// Another quota for a tenant; one that is no number or below nothing is none.
    pub fn quota(&mut self, tenant: TenantId, per_s: f64) {
        let sound = per_s.is_finite() && per_s >= 0.0;
        self.tenants.get_mut(tenant.0).filter(|_| sound).into_iter().for_each(|t| t.quota_per_s = per_s);
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            seed: 0,
            me: 0,
            routers: 1,
            zone: None,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            roles: Vec::new(),
            memory: Vec::new(),
            neither: Vec::new(),
            self_prefill: false,
            ahead: false,
            resume: false,
            release_within: 0,
            ask: false,
            ask_within: 0,
            cancel: false,
            probes: false,
            peers: false,
            second_copies: false,
            retry_after: false,
            max_retry_after: 0,
            max_attempts: 2,
            connect_timeout: 0,
            drain_grace: 0,
            cold_from: 0.0,
            cold: 0,
            fall_multiple: 1.0,
            fall: 0,
            answer_slack: 0,
            tick: 0,
            probe_price: 0.0,
            peer_price: 0.0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub server: ServerId,
    pub zone: Option<ZoneId>,
    pub kind: Option<KindId>,
    pub cell: Option<CellId>,
    pub state: ServerState,
    pub weight: Option<f64>,
    /// When its process last started; `None` or 0 means long ago.
    pub ready_at: Option<Nanos>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Delta,
    Full,
    Cached,
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub session: Option<Key>,
    pub prefix: Option<Key>,
    pub prompt_len: f64,
    pub prefix_len: f64,
    pub max_out: f64,
    /// Rough length of the answer, as time at the class's aim for a token.
    pub hint: Option<Nanos>,
    pub give_up_at: Nanos,
    /// The client says that it repeats an earlier try.
    pub retry: bool,
    /// The client comes back after a broken or moved stream.
    pub again: bool,
}

/// A load report; a field that the site does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub inflight: Option<f64>,
    pub queue: Option<f64>,
    /// Share of slots in use.
    pub util: Option<f64>,
    /// Share of memory held (x0).
    pub memory: Option<f64>,
    /// Thousands of prompt tokens that wait to be read or fetched (x1).
    pub unread_k: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Ok,
    /// The prompt is read and its state waits at the reader.
    Read,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    /// This machine had no socket or no way out for it: it never ran, and nothing is known of the server.
    NoSocket,
    Reset,
    Cancelled,
    Moot,
    /// A code this version does not know; it may have run.
    Unknown,
}

impl Status {
    /// The server itself has answered: its process ran after the exchange began.
    pub fn is_answer(self) -> bool {
        matches!(self, Status::Ok | Status::Read | Status::Error | Status::Full | Status::Unknown)
    }

    /// The word for it in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Status::Ok => "ok",
            Status::Read => "read",
            Status::Error => "error",
            Status::Full => "full",
            Status::Timeout => "timeout",
            Status::ConnectFailed => "connect_failed",
            Status::NoSocket => "no_socket",
            Status::Reset => "reset",
            Status::Cancelled => "cancelled",
            Status::Moot => "moot",
            Status::Unknown => "unknown",
        }
    }

    /// There was no connection for it: nothing of it has left.
    pub fn never_left(self) -> bool {
        matches!(self, Status::ConnectFailed | Status::NoSocket)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub id: RequestId,
    pub attempt: AttemptNo,
    pub server: ServerId,
    pub status: Status,
    pub latency: Nanos,
    /// The request is finished.
    pub closed: bool,
    /// Read, ok: prompt tokens found kept. Full: 1 if there was no state to fetch.
    pub note: u64,
    pub report: Option<Report>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Members {
        kind: ListKind,
        entries: Arc<[Entry]>,
    },
    Request(Request),
    Timer(TimerToken),
    Peer {
        from: u32,
        data: Vec<u8>,
    },
    First {
        id: RequestId,
        attempt: AttemptNo,
        server: ServerId,
        latency: Nanos,
    },
    Note {
        id: RequestId,
        attempt: AttemptNo,
        server: ServerId,
        held: bool,
    },
    Gone(RequestId),
    Probed {
        server: ServerId,
        status: Status,
        latency: Nanos,
        report: Option<Report>,
    },
    /// A tenant's requests a second within its share are others from now on.
    Quota {
        tenant: TenantId,
        per_s: f64,
    },
    /// So many routers may be at work from now on, this one among them: its parts of what all share follow.
    /// Never told, the settings' number holds.
    Routers(u32),
    Outcome(Outcome),
}

/// Why a request is given up: the module's own reason, not a guess from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// Its class is not one of the settings.
    UnknownClass,
    /// Its client's time is up.
    Deadline,
    /// Held, it could not make its aim any more.
    AimLost,
    /// Its read state may not wait any longer, and no writer can be sent to.
    ReleaseTime,
    /// No attempts are left for a way that ends in an answer.
    AttemptsUsed,
    /// It may have run, and may not be tried again.
    MayHaveRun,
    /// The router found a send too late to be made.
    TooLate,
}

impl Reason {
    /// It ended a wait, so that what was waited for can be told.
    pub fn waited(self) -> bool {
        matches!(self, Reason::Deadline | Reason::AimLost | Reason::ReleaseTime)
    }
}

/// What a request that was given up while it waited was waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Holdup {
    /// No writer may be sent to.
    NoWriter,
    /// No reader may be sent to.
    NoReader,
    /// There is no room for all, and its tenant is over its share.
    OverShare,
    /// All writers look full.
    WritersFull,
    /// All readers have long waits.
    ReadersFull,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Why {
    pub reason: Reason,
    /// `None` where an attempt was out, or it did not wait.
    pub held_by: Option<Holdup>,
}

impl From<Reason> for Why {
    fn from(reason: Reason) -> Why {
        Why { reason, held_by: None }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// `timeout` 0: until the client gives up. The request's last byte is out before `by`, or none of it is sent:
    /// the outcome is moot then.
    Send {
        id: RequestId,
        server: ServerId,
        timeout: Nanos,
        by: Nanos,
    },
    Cancel {
        id: RequestId,
        attempt: AttemptNo,
    },
    Refuse {
        id: RequestId,
        retry_after: Nanos,
        why: Why,
    },
    Fail {
        id: RequestId,
        why: Why,
    },
    Release(RequestId),
    Ahead {
        id: RequestId,
        server: ServerId,
    },
    Move(RequestId),
    Probe(ServerId),
    Close(ServerId),
    Timer {
        token: TimerToken,
        delay: Nanos,
    },
    /// To one router, or to all.
    Tell {
        peer: Option<u32>,
        data: Vec<u8>,
    },
    Watch(bool),
    Fetch,
    Log(String),
}
