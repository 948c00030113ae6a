//! What routers tell one another of the versions that they hold, and the lists that they hand on.
//!
//! It travels inside the fleet's datagrams ([`crate::fleet::Word::Talk`]); `docs/protocols/fleet.md` describes it. What
//! is made of it is decided in `gaparch-audit`.

use crate::list::ListEntry;
use crate::ops::intent::{Change, ChangeNote};
use crate::wire::{choice, record};

/// Claims of others that one stamp passes on at most.
pub const MOST_CLAIMS: usize = 2;

record! {
    /// A version of the list of engines.
    #[derive(Copy, Eq, PartialOrd, Ord, Default)]
    pub struct ListVersion {
        /// Grows by one with each epoch that follows another; routers count it, for epochs have no order.
        pub rank: u32,
        /// Which run of the list service counted.
        pub epoch: u64,
        /// As the service counted.
        pub version: u64,
    }
}

impl ListVersion {
    /// The same list: ranks are each router's own count, and one that started later counts lower.
    pub fn is(&self, other: &ListVersion) -> bool {
        (self.epoch, self.version) == (other.epoch, other.version)
    }

    /// Within an epoch its versions tell, whatever rank each router counts it by; else the ranks do.
    pub fn later_than(&self, other: &ListVersion) -> bool {
        match self.epoch == other.epoch {
            true => self.version > other.version,
            false => (self.rank, self.epoch) > (other.rank, other.epoch),
        }
    }
}

record! {
    /// That a router has had a version from the list service itself, and when it was last sure of that.
    #[derive(Eq)]
    pub struct Claim {
        pub router: String,
        pub version: ListVersion,
        /// Of all its entries.
        pub digest: u64,
        /// Milliseconds ago.
        pub age: u32,
    }
}

record! {
    /// An order of the fleet's own name. Later ones are greater; of two that knew nothing of each other the more careful one is.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct OrderId {
        /// One more than any that the router which gave it knew of.
        pub number: u64,
        /// How careful it is, where numbers are the same: a drain goes before its end, a small limit before a large one.
        pub care: u64,
        pub router: String,
        /// Of that router's name: an old folder must not give the same number twice.
        pub incarnation: u64,
    }
}

record! {
    /// An operator's order that all routers of a site keep.
    pub struct FleetOrder {
        pub id: OrderId,
        /// What it takes the place of, as its router knew.
        pub over: Option<OrderId>,
        pub change: Change,
        pub note: ChangeNote,
    }
}

record! {
    /// What a router acts by.
    #[derive(Eq, Default)]
    pub struct Stamp {
        pub list: ListVersion,
        /// The list service itself confirmed that list in time.
        pub sure: bool,
        /// The number of the last change by an operator that is in force there.
        pub orders: u64,
        pub build: String,
    }
}

record! {
    /// What was sent to one engine under one stamp; times in nanoseconds since the Unix epoch.
    #[derive(Eq)]
    pub struct Sends {
        pub engine: String,
        pub reads: u64,
        pub writes: u64,
        pub probes: u64,
        pub first_at: u64,
        pub last_at: u64,
    }
}

record! {
    /// One attempt, or a probe (request 0).
    #[derive(Copy, Eq)]
    pub struct Single {
        pub at: u64,
        pub request: u64,
        pub attempt: u32,
        /// Where the engine stands among the piece's sends.
        pub engine: u16,
        /// 1 read, 2 write, 3 probe.
        pub kind: u8,
    }
}

record! {
    /// A stretch of a router's record: what it acted by, and what it sent meanwhile.
    #[derive(Eq)]
    pub struct Piece {
        /// Grows by one, over restarts too.
        pub number: u64,
        /// The first 16 bytes of the SHA-256 of the piece before, as two numbers.
        pub before: u64,
        pub before_low: u64,
        /// The process.
        pub run: u64,
        pub from: u64,
        pub to: u64,
        /// The first of its process; the last one, that ended in good order.
        pub begins: bool,
        pub ends: bool,
        pub stamp: Stamp,
        pub sends: Vec<Sends>,
        pub singles: Vec<Single>,
        /// Single ones that there was no room for; they are counted above.
        pub left_out: u64,
    }
}

record! {
    /// What is asked of a record.
    #[derive(Eq, Default)]
    pub struct AuditFilter {
        pub engine: Option<String>,
        pub since: u64,
        pub until: Option<u64>,
        /// Only what was sent under a lower version of the list than that.
        pub below: Option<u64>,
        pub request: Option<u64>,
    }
}

record! {
    /// What one router sent to one engine under one version of the list.
    #[derive(Eq)]
    pub struct AuditRow {
        pub list: ListVersion,
        pub sure: bool,
        pub sends: Sends,
    }
}

choice! {
    pub enum Talk {
        /// What the sender holds; `sure`: the service itself has said so, so many milliseconds ago.
        1 => Stamp {
            held: ListVersion,
            digest: u64,
            entries: u32,
            sure: Option<u32>,
            claims: Vec<Claim>,
        },
        /// The list of this version, from that entry on.
        2 => Want { version: ListVersion, from: u32, },
        /// Orders in force at the sender, and those that it keeps on disk, by their digests; `answer`: it wants to hear the
        /// same.
        4 => Orders { held: u64, kept: u64, answer: bool, },
        5 => Order { order: FleetOrder, },
        /// Orders on what follows that subject, some at once.
        6 => WantOrders { after: String, },
        /// What does your record say, from that row on?
        7 => AuditAsk { nonce: u64, filter: AuditFilter, from: u32, },
        /// Rows from that one on, of so many; `now` by the sender's clock, `gaps` in its record.
        8 => AuditRows { nonce: u64, now: u64, gaps: u32, from: u32, of: u32, rows: Vec<AuditRow>, },
        /// Entries of a list in the order of their names, from that one on, of so many.
        3 => Page { version: ListVersion, digest: u64, from: u32, of: u32, entries: Vec<ListEntry>, },
    }
}
