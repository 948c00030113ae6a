//! Counters of one member.

/// What a member has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages sent.
    pub sent: u64,
    /// Bytes of these messages, as datagrams.
    pub sent_bytes: u64,
    /// Messages received with a valid tag.
    pub received: u64,
    /// Messages dropped since their sequence number was seen before.
    pub replayed: u64,
    /// Messages dropped since they were for another member, or of a process that is over.
    pub misdirected: u64,
    /// Messages not sent since the send budget was spent.
    pub throttled: u64,
    /// Members not admitted since the member table was full.
    pub rejected_members: u64,
    /// Suspicions that began.
    pub suspicions: u64,
    /// Members declared dead.
    pub deaths: u64,
    /// Dead members that turned out to be alive.
    pub returns: u64,
    /// Suspicions that were refuted.
    pub refutations: u64,
}
