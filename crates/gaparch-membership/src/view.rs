//! What a member shows of itself and of the others.

use crate::core::Counters;
use crate::Nanos;
use gaparch_protocol::fleet::{MemberInfo, MemberState};

/// One member, as this router sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    pub facts: MemberInfo,
    pub state: MemberState,
    /// Since when it is in that state, here.
    pub since: Nanos,
    /// The last sign of life that anybody had, and the last that this router had itself.
    pub alive_at: Nanos,
    pub direct_at: Option<Nanos>,
    /// Who accuses it, or has given it up.
    pub accused_by: Vec<String>,
    /// Another process under its name, and where.
    pub twin_at: Option<String>,
    /// It says that it hears nobody.
    pub hears_nobody: bool,
}

/// A link that fails in one direction: `to` does not hear `from`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeView {
    pub from: String,
    pub to: String,
    pub since: Nanos,
}

/// How the fleet looks from one router.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    pub me: MemberInfo,
    pub members: Vec<MemberView>,
    pub edges: Vec<EdgeView>,
    pub majority: bool,
    pub present: u32,
    pub counted: u32,
    pub divisor: u32,
    /// It hears nobody; others hear it not. None of both where there is nobody else.
    pub hears_nobody: bool,
    pub unheard: bool,
    /// It has woken, or hears again, and waits for an answer before it accuses anybody.
    pub unsure: bool,
    /// Times as patient as usual, less one: its own doubt in itself.
    pub doubt: u32,
    pub counters: Counters,
}

/// Something worth telling an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Happening {
    Joined {
        name: String,
    },
    /// The same name, a new process.
    Restarted {
        name: String,
        incarnation: u64,
    },
    Suspected {
        name: String,
        by: String,
    },
    /// A suspicion that turned out wrong.
    Cleared {
        name: String,
    },
    Died {
        name: String,
        by: String,
    },
    Returned {
        name: String,
        was: MemberState,
    },
    Left {
        name: String,
    },
    /// `to` does not hear `from`, though others do; or hears it again.
    EdgeLost {
        from: String,
        to: String,
    },
    EdgeBack {
        from: String,
        to: String,
    },
    /// Two processes under one name.
    Twins {
        name: String,
        addresses: [String; 2],
    },
    /// This process was stopped, or got no processor, for so long.
    Woke {
        stopped: Nanos,
    },
    /// Others had taken this router for dead.
    WasGivenUp {
        by: String,
    },
    HearsNobody,
    HearsAgain,
    Unheard,
    HeardAgain,
    Majority {
        present: u32,
        counted: u32,
    },
    NoMajority {
        present: u32,
        counted: u32,
    },
    /// The disk gave an incarnation that others know to be over.
    DiskLied {
        kept: u64,
        witnessed: u64,
    },
    /// More routers than the settings say.
    TooMany {
        present: u32,
        routers: u32,
    },
}

impl Happening {
    /// The member it is about, if about one.
    pub fn name(&self) -> Option<&str> {
        match self {
            Happening::Joined { name }
            | Happening::Restarted { name, .. }
            | Happening::Suspected { name, .. }
            | Happening::Cleared { name }
            | Happening::Died { name, .. }
            | Happening::Returned { name, .. }
            | Happening::Left { name }
            | Happening::Twins { name, .. } => Some(name),
            _ => None,
        }
    }
}

impl std::fmt::Display for Happening {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Happening::Joined { name } => write!(f, "router {name} has joined"),
            Happening::Restarted { name, incarnation } => {
                write!(f, "router {name} is a new process (incarnation {incarnation})")
            }
            Happening::Suspected { name, by } => {
                write!(f, "router {name} is suspected: {by} had no answer from it, directly or through others")
            }
            Happening::Cleared { name } => write!(f, "router {name} has given a sign of life: no suspicion any more"),
            Happening::Died { name, by } => {
                write!(f, "router {name} counts as dead, by {by}; its part of shared limits is kept for it a while")
            }
            Happening::Returned { name, was } => write!(f, "router {name} is back (it counted as {was})"),
            Happening::Left { name } => write!(f, "router {name} has left in good order"),
            Happening::EdgeLost { from, to } => {
                write!(f, "router {to} does not hear router {from}, though others do: look at the link between them")
            }
            Happening::EdgeBack { from, to } => write!(f, "router {to} hears router {from} again"),
            Happening::Twins { name, addresses: [one, other] } => {
                write!(f, "two processes say that they are router {name}, at {one} and {other}: stop one of them")
            }
            Happening::Woke { stopped } => {
                write!(f, "this router was stopped for {} ms: it accuses nobody until it has heard again", stopped / 1_000_000)
            }
            Happening::WasGivenUp { by } => write!(f, "this router counted as dead, by {by}; it has said that it lives"),
            Happening::HearsNobody => f.write_str("this router hears no other: it accuses nobody; look at its own links"),
            Happening::HearsAgain => f.write_str("this router hears others again"),
            Happening::Unheard => f.write_str("this router hears others, but none answers it: its messages don't get out"),
            Happening::HeardAgain => f.write_str("this router is answered again"),
            Happening::Majority { present, counted } => {
                write!(f, "stands with a majority: {present} present of {counted} counted")
            }
            Happening::NoMajority { present, counted } => write!(
                f,
                "stands without a majority: {present} present of {counted} counted; it goes on, and counts all it ever knew"
            ),
            Happening::DiskLied { kept, witnessed } => write!(
                f,
                "the disk went back in time: it gave incarnation {kept}, others have witnessed {witnessed}; look at the disk"
            ),
            Happening::TooMany { present, routers } => write!(
                f,
                "{present} routers are present, the settings say {routers} at most: set 'routers' on all of them"
            ),
        }
    }
}
