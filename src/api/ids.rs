//! Identifiers and the unit of time.

/// An instant on the router's monotonic clock, or a duration, in nanoseconds.
pub type Nanos = u64;

/// Identifies a request, uniquely within one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies a prefill, decode or mixed server; the same on every router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// The number of an attempt within its request, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// A traffic class, by its index in [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// A tenant, by its index in [`Settings::tenants`](super::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A zone, by its index in the site's list of zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// A kind of server, by its index in [`Settings::kinds`](super::Settings::kinds).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// A cell: a group of servers with fast KV cache transfer among them, for example a rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// Identifies a timer of the scheduler: [`Event::TimerFired`](super::Event::TimerFired) carries the
/// token that was passed to [`Action::SetTimer`](super::Action::SetTimer).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u32);

/// The digest of a session or of a shared prefix, the same on every router. Requests with the same
/// key prefer the same prefill servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AffinityKey(pub u64);

impl AffinityKey {
    /// The digest of a text (FNV-1a).
    pub fn from_text(text: &str) -> AffinityKey {
        let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        AffinityKey(text.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, step))
    }

    /// The rank of a server for this key in rendezvous hashing, the same on every router.
    pub fn rendezvous_rank(self, server: ServerId) -> u64 {
        mix(self.0 ^ mix(u64::from(server.0)))
    }

    /// The rendezvous rank as a number between 0 and 1, both excluded.
    pub fn unit_interval(self, server: ServerId) -> f64 {
        ((self.rendezvous_rank(server) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }
}

/// The output function of SplitMix64.
fn mix(key: u64) -> u64 {
    let z = key.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
