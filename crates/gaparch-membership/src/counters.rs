//! Counters of one member.

/// Counts of one member since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages sent.
    pub sent: u64,
    /// Total length of these messages as datagrams, in bytes.
    pub sent_bytes: u64,
    /// Messages received with a valid tag.
    pub received: u64,
    /// Messages dropped because their sequence number was already seen.
    pub replayed: u64,
    /// Messages dropped because they were addressed to another member or came from a superseded process.
    pub misdirected: u64,
    /// Messages not sent because the send budget was exhausted.
    pub throttled: u64,
    /// Members not admitted because the member table was full.
    pub rejected_members: u64,
    /// Suspicions started.
    pub suspicions: u64,
    /// Members declared dead.
    pub deaths: u64,
    /// Dead members that turned out to be alive.
    pub returns: u64,
    /// Suspicions that were refuted.
    pub refutations: u64,
}
