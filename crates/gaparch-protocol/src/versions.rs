//! What routers tell one another of the versions that they hold, and the lists that they hand on.
//!
//! It travels inside the fleet's datagrams ([`crate::fleet::Word::Talk`]); `docs/protocols/fleet.md` describes it. What
//! is made of it is decided in `gaparch-audit`.

use crate::list::ListEntry;
use crate::wire::{choice, record};

/// Claims of others that one stamp passes on at most.
pub const MOST_CLAIMS: usize = 2;

record! {
    /// A version of the list of engines: later ones are greater, whoever told of them.
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
        /// Entries of a list in the order of their names, from that one on, of so many.
        3 => Page { version: ListVersion, digest: u64, from: u32, of: u32, entries: Vec<ListEntry>, },
    }
}
