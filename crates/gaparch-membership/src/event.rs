//! Membership events reported to operators.

use crate::Nanos;
use gaparch_protocol::fleet::MemberState;
use std::fmt;

/// A change in the membership of the fleet, or in this router's own state within it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A previously unknown member was discovered.
    Joined {
        /// The member.
        name: String,
    },
    /// A member was replaced by a new process of the same name.
    Restarted {
        /// The member.
        name: String,
        /// The incarnation of the new process.
        incarnation: u64,
    },
    /// A member is suspected.
    Suspected {
        /// The member.
        name: String,
        /// The member that suspects it.
        by: String,
    },
    /// A later heartbeat refuted a suspicion.
    Refuted {
        /// The member.
        name: String,
    },
    /// A member was declared dead.
    Died {
        /// The member.
        name: String,
        /// The member that declared it dead.
        by: String,
    },
    /// A member that was dead or had left is present again.
    Returned {
        /// The member.
        name: String,
        /// Its previous state.
        was: MemberState,
    },
    /// A member left gracefully.
    Left {
        /// The member.
        name: String,
    },
    /// A link failed in one direction.
    LinkFailed {
        /// The member whose messages do not arrive.
        from: String,
        /// The member that does not receive them, though others do.
        to: String,
    },
    /// A link that had failed in one direction works again.
    LinkRecovered {
        /// The sending end.
        from: String,
        /// The receiving end.
        to: String,
    },
    /// Two running processes use the same name.
    DuplicateName {
        /// The name.
        name: String,
        /// The addresses of the two processes.
        addresses: [String; 2],
    },
    /// This process resumed after it was stopped or not scheduled by the operating system.
    Resumed {
        /// How long it did not run, in nanoseconds.
        paused_for: Nanos,
    },
    /// Another member had declared this router dead.
    DeclaredDead {
        /// The member that declared it dead.
        by: String,
    },
    /// This router receives messages from no other member.
    Isolated,
    /// This router receives messages from other members again.
    IsolationEnded,
    /// This router receives messages from other members, but none of them answers its pings.
    Unanswered,
    /// This router's pings are answered again.
    AnsweredAgain,
    /// The present routers are a majority of those that must be counted.
    QuorumGained {
        /// The number of present routers.
        present: u32,
        /// The number of routers that may be running.
        counted: u32,
    },
    /// The present routers are no longer a majority of those that must be counted.
    QuorumLost {
        /// The number of present routers.
        present: u32,
        /// The number of routers that may be running.
        counted: u32,
    },
    /// The disk returned an incarnation older than one that other members have witnessed.
    IncarnationRolledBack {
        /// The incarnation on disk.
        stored: u64,
        /// The incarnation that other members have witnessed.
        witnessed: u64,
    },
    /// More routers are present than the settings state.
    TooManyRouters {
        /// The number of present routers.
        present: u32,
        /// The maximum number of routers in the settings.
        max_routers: u32,
    },
}

impl MembershipEvent {
    /// The name of the member concerned, if the event concerns one member.
    pub fn name(&self) -> Option<&str> {
        match self {
            MembershipEvent::Joined { name }
            | MembershipEvent::Restarted { name, .. }
            | MembershipEvent::Suspected { name, .. }
            | MembershipEvent::Refuted { name }
            | MembershipEvent::Died { name, .. }
            | MembershipEvent::Returned { name, .. }
            | MembershipEvent::Left { name }
            | MembershipEvent::DuplicateName { name, .. } => Some(name),
            _ => None,
        }
    }
}

impl fmt::Display for MembershipEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MembershipEvent::Joined { name } => write!(f, "router {name} has joined"),
            MembershipEvent::Restarted { name, incarnation } => {
                write!(f, "router {name} has restarted (incarnation {incarnation})")
            }
            MembershipEvent::Suspected { name, by } => {
                write!(
                    f,
                    "router {name} is suspected: {by} got no answer from it, directly or through others"
                )
            }
            MembershipEvent::Refuted { name } => {
                write!(f, "router {name} is no longer suspected: it has shown that it is alive")
            }
            MembershipEvent::Died { name, by } => {
                write!(f, "router {name} is declared dead by {by}; ")?;
                f.write_str("its share of limits stays reserved for a while")
            }
            MembershipEvent::Returned { name, was } => write!(f, "router {name} is back (it was {was})"),
            MembershipEvent::Left { name } => write!(f, "router {name} has left gracefully"),
            MembershipEvent::LinkFailed { from, to } => {
                write!(f, "router {to} receives nothing from router {from}, though others do: ")?;
                f.write_str("check the link between them")
            }
            MembershipEvent::LinkRecovered { from, to } => {
                write!(f, "router {to} receives messages from router {from} again")
            }
            MembershipEvent::DuplicateName { name, addresses: [one, other] } => {
                write!(f, "two processes run as router {name}, at {one} and {other}: stop one of them")
            }
            MembershipEvent::Resumed { paused_for } => write!(
                f,
                "this router was paused for {} ms: it suspects nobody until a ping is answered",
                paused_for / crate::MILLISECOND
            ),
            MembershipEvent::DeclaredDead { by } => {
                write!(f, "this router was declared dead by {by}; it has refuted that")
            }
            MembershipEvent::Isolated => {
                f.write_str("this router receives nothing from any other: ")?;
                f.write_str("it suspects nobody; check its own links")
            }
            MembershipEvent::IsolationEnded => f.write_str("this router receives messages from others again"),
            MembershipEvent::Unanswered => {
                f.write_str("this router receives messages from others, but none answers it: ")?;
                f.write_str("its own don't get out")
            }
            MembershipEvent::AnsweredAgain => f.write_str("this router is answered again"),
            MembershipEvent::QuorumGained { present, counted } => {
                write!(f, "quorum gained: {present} present of {counted} counted")
            }
            MembershipEvent::QuorumLost { present, counted } => write!(
                f,
                "quorum lost: {present} present of {counted} counted; it goes on, and counts all it ever knew"
            ),
            MembershipEvent::IncarnationRolledBack { stored, witnessed } => {
                write!(f, "the stored incarnation was rolled back: the disk has {stored}, ")?;
                write!(f, "others have witnessed {witnessed}; check the disk")
            }
            MembershipEvent::TooManyRouters { present, max_routers } => {
                write!(f, "{present} routers are present, the settings say {max_routers} at most: ")?;
                f.write_str("set 'routers' on all of them")
            }
        }
    }
}
