//! What a router shows of itself.

use super::ending::{EndKind, RequestName, Step};
use super::intent::{Intent, LimitView};
use crate::fleet::MemberState;
use crate::versions::{FleetOrder, ListVersion, SendCounts};
use crate::wire::{closed_set, record};

closed_set! {
    pub enum EngineRole {
        Read = 1, "read";
        Write = 2, "write";
        Both = 3, "both";
    }
}

closed_set! {
    pub enum EngineState {
        Ready = 1, "ready";
        Draining = 2, "draining";
        Gone = 3, "gone";
    }
}

closed_set! {
    /// Why the module sends an engine nothing, or less than its peers.
    pub enum Avoid {
        NotReady = 1, "not-ready";
        Unreachable = 2, "unreachable";
        Resting = 3, "resting";
        Slow = 4, "slow";
        Cold = 5, "cold";
        Full = 6, "full";
    }
}

record! {
    /// A part of the traffic that an engine refuses or leaves unanswered.
    pub struct PartRest {
        pub class: String,
        pub tenant: String,
        pub until: u64,
    }
}

record! {
    pub struct EngineView {
        pub name: String,
        pub role: EngineRole,
        pub zone: String,
        pub rack: String,
        pub address: String,
        /// By the list, and with the operators' word.
        pub listed: EngineState,
        pub state: EngineState,
        pub connected: bool,
        pub avoided: Option<Avoid>,
        pub rests: Vec<PartRest>,
        /// Own attempts there: not begun, and streaming.
        pub waiting: u32,
        pub streaming: u32,
        pub unread: f64,
        /// Shares of its memory: by guess, and as it last said.
        pub memory: f64,
        pub memory_said: Option<f64>,
        pub pace: f64,
        pub cold_budget: Option<f64>,
        /// When its process began, if known, and when it last answered anything: nanoseconds since the Unix epoch.
        pub started_at: Option<u64>,
        pub heard_at: u64,
        /// Counted since the router began: attempts, those that failed there, those called off.
        pub attempts: u64,
        pub failed: u64,
        pub called_off: u64,
    }
}

record! {
    /// The router's own figures now.
    #[derive(Copy, Default)]
    pub struct Figures {
        pub at: u64,
        /// Requests by where they are.
        pub held: u32,
        pub reading: u32,
        pub read: u32,
        pub writing: u32,
        pub streaming: u32,
        /// Counted since the router began.
        pub requests: u64,
        pub served: u64,
        pub in_time: u64,
        pub refused: u64,
        pub failed: u64,
        pub left: u64,
        pub tokens: u64,
        pub paused: bool,
        /// The longest that the owner task was late since the last look.
        pub lag_us: u64,
    }
}

record! {
    #[derive(Default)]
    pub struct TenantView {
        pub name: String,
        pub requests: u64,
        pub served: u64,
        pub refused: u64,
        pub failed: u64,
        pub left: u64,
        pub tokens: u64,
        /// Its share, all routers together; 0: not bounded.
        pub per_s: f64,
    }
}

closed_set! {
    pub enum Severity {
        Info = 1, "info";
        Warning = 2, "warning";
        Trouble = 3, "trouble";
    }
}

record! {
    /// Something worth knowing in the morning.
    pub struct Happening {
        pub at: u64,
        pub severity: Severity,
        /// Of which engine, if of one.
        pub engine: Option<String>,
        pub text: String,
    }
}

closed_set! {
    pub enum Phase {
        Held = 1, "held";
        Reading = 2, "reading";
        Read = 3, "read";
        Writing = 4, "writing";
        Streaming = 5, "streaming";
        Ended = 6, "ended";
    }
}

record! {
    /// A request that is open, or lately ended.
    pub struct LiveView {
        pub request: RequestName,
        pub asked_at: u64,
        pub class: String,
        pub tenant: String,
        pub phase: Phase,
        pub kind: Option<EndKind>,
        /// The engine where it is.
        pub engine: String,
        pub tokens: u32,
        pub took_us: u64,
        pub steps: Vec<Step>,
    }
}

record! {
    pub struct Setting {
        pub name: String,
        pub value: String,
    }
}

record! {
    pub struct Snapshot {
        pub router: String,
        pub run: u64,
        /// Of the operators' changes.
        pub revision: u64,
        pub began_at: u64,
        pub figures: Figures,
        pub engines: Vec<EngineView>,
        pub tenants: Vec<TenantView>,
        pub intents: Vec<Intent>,
        pub limits: Vec<LimitView>,
        /// The latest, the last one last.
        pub events: Vec<Happening>,
        pub settings: Vec<Setting>,
        /// What is not being kept on disk, and why; empty if all is.
        pub not_kept: String,
    }
}

record! {
    /// One router, as another sees it. Times are nanoseconds since the Unix epoch.
    pub struct MemberRow {
        pub name: String,
        pub zone: String,
        pub build: String,
        pub address: String,
        pub incarnation: u64,
        pub state: MemberState,
        /// Since when it is in that state, there.
        pub since: u64,
        /// The last sign of life that anybody had, and the last that this router had itself.
        pub alive_at: u64,
        pub heard_at: Option<u64>,
        /// Who accuses it, or has given it up.
        pub accused_by: Vec<String>,
        /// Where another process under its name is.
        pub twin_at: Option<String>,
        /// It says that it hears nobody.
        pub hears_nobody: bool,
    }
}

record! {
    /// A link that fails in one direction: `to` does not hear `from`, though others do.
    pub struct EdgeRow {
        pub from: String,
        pub to: String,
        pub since: u64,
    }
}

record! {
    /// The list of engines that one router holds, as it was heard last.
    pub struct VersionRow {
        pub router: String,
        pub held: ListVersion,
        pub digest: u64,
        /// The list service itself said so, so many nanoseconds before; none: another router has handed it on.
        pub sure: Option<u64>,
        /// When it said so, nanoseconds since the Unix epoch.
        pub said_at: u64,
    }
}

record! {
    /// What one router sent to one engine under one version of the list; times by the clock of whoever was asked.
    pub struct AuditOf {
        pub router: String,
        pub list: ListVersion,
        pub sure: bool,
        pub sends: SendCounts,
    }
}

record! {
    pub struct AuditView {
        /// Every router that may be alive has answered, and none has a gap in its record.
        pub complete: bool,
        /// Those of which it is not known, with why.
        pub unknown: Vec<String>,
        pub rows: Vec<AuditOf>,
    }
}

record! {
    /// Whether one router keeps all orders of the fleet that are in force where this is asked.
    pub struct SpreadRow {
        pub router: String,
        pub state: MemberState,
        /// In force there and on its disk.
        pub keeps: bool,
        /// When it last said what it keeps, nanoseconds since the Unix epoch.
        pub said_at: Option<u64>,
    }
}

record! {
    /// An order that gave way to another; neither knew of the other.
    pub struct Overtaken {
        pub order: FleetOrder,
        pub by: FleetOrder,
    }
}

record! {
    pub struct SpreadView {
        /// Every router that may be alive keeps all of them.
        pub complete: bool,
        pub orders: Vec<FleetOrder>,
        pub overtaken: Vec<Overtaken>,
        /// This router first; those that left in good order are left out.
        pub rows: Vec<SpreadRow>,
    }
}

record! {
    /// Which router holds which version of the list.
    pub struct VersionsView {
        pub held: ListVersion,
        pub entries: u32,
        /// Nanoseconds since the list service last confirmed it, if it did in time.
        pub sure: Option<u64>,
        /// What others have from the list service itself, and whether more than one of them says so.
        pub believed: Option<ListVersion>,
        pub corroborated: bool,
        /// Since when others have a later one.
        pub behind_since: Option<u64>,
        /// Lists that other routers have handed on, and words of others that were not believed, since the start.
        pub brought_up: u64,
        pub refused: u64,
        pub rows: Vec<VersionRow>,
    }
}

record! {
    /// The routers of a site, as one of them sees them.
    pub struct FleetView {
        pub router: String,
        pub incarnation: u64,
        /// More than half of those it must count are present.
        pub majority: bool,
        /// Present, itself among them; counted on; and by how many it divides what all share.
        pub present: u32,
        pub counted: u32,
        pub divisor: u32,
        /// It hears no other; or hears others, and none answers it.
        pub hears_nobody: bool,
        pub unheard: bool,
        /// Times as patient as usual, less one.
        pub doubt: u32,
        pub members: Vec<MemberRow>,
        pub edges: Vec<EdgeRow>,
        /// Datagrams since the start: sent, with their bytes, taken, and dropped by why.
        pub sent: u64,
        pub sent_bytes: u64,
        pub received: u64,
        pub forged: u64,
        pub malformed: u64,
        pub newer: u64,
        pub replayed: u64,
        pub misdirected: u64,
        /// Kept back, since this router sends a bounded number of bytes a second.
        pub throttled: u64,
    }
}
