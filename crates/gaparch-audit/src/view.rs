//! What is shown and told of versions.

use crate::Nanos;
use gaparch_protocol::versions::ListVersion;
use std::fmt;

/// Something worth an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Happening {
    /// The own list service has been silent for so long.
    Unsure { silent: Nanos },
    /// It is sure again of what it holds.
    Sure,
    /// Others hold a later version, for so long now.
    Behind { held: ListVersion, believed: ListVersion, for_: Nanos },
    /// It holds what they hold.
    CaughtUp { version: ListVersion, after: Nanos },
    /// Another router has handed on the list.
    BroughtUp { by: String, version: ListVersion, after: Nanos },
    /// The own service answers versions that others have left behind.
    SourceIsOld { held: ListVersion, believed: ListVersion },
    /// The own service is of another epoch than that which others hold: there are two, or one has begun anew unseen.
    TwoSources { held: ListVersion, believed: ListVersion },
    /// One router states a version that nobody else has.
    Outlier { router: String, said: ListVersion, believed: ListVersion },
    /// What one router handed on was not what it said.
    Harmed { by: String, version: ListVersion },
}

fn secs(time: Nanos) -> f64 {
    time as f64 / 1e9
}

struct Name<'a>(&'a ListVersion);

impl fmt::Display for Name<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0.rank, self.0.version)
    }
}

impl fmt::Display for Happening {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Happening::Unsure { silent } => {
                write!(f, "the list service has confirmed nothing for {:.1} s", secs(*silent))
            }
            Happening::Sure => f.write_str("the list service confirms what is held"),
            Happening::Behind { held, believed, for_ } => write!(
                f,
                "the list held here is {}, others have {}, for {:.1} s now",
                Name(held),
                Name(believed),
                secs(*for_)
            ),
            Happening::CaughtUp { version, after } => {
                write!(f, "the list held here is {} as others have it, after {:.1} s", Name(version), secs(*after))
            }
            Happening::BroughtUp { by, version, after } => write!(
                f,
                "brought up to list {} by router {by}, {:.1} s after others had it",
                Name(version),
                secs(*after)
            ),
            Happening::SourceIsOld { held, believed } => write!(
                f,
                "the list service answers {}, though others have {} from it: it is not believed",
                Name(held),
                Name(believed)
            ),
            Happening::TwoSources { held, believed } => write!(
                f,
                "the list service here counts epoch {}, that of others {}: there are two, and each is followed by its own",
                held.rank, believed.rank
            ),
            Happening::Outlier { router, said, believed } => write!(
                f,
                "router {router} states list {}, nobody else more than {}: its word is not passed on",
                Name(said),
                Name(believed)
            ),
            Happening::Harmed { by, version } => {
                write!(f, "the list {} that router {by} handed on does not fit its digest", Name(version))
            }
        }
    }
}

/// What one router holds, as far as it was heard.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub router: String,
    pub held: ListVersion,
    pub digest: u64,
    /// From the service itself, so long ago; none: another router handed it on, or it is not sure any more.
    pub sure: Option<Nanos>,
    /// When it said so.
    pub said_at: Nanos,
}

/// How the versions look from here.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    pub held: ListVersion,
    pub entries: u32,
    pub sure: Option<Nanos>,
    /// What the others have from the service itself, and whether more than one of them says so.
    pub believed: Option<ListVersion>,
    pub corroborated: bool,
    pub behind_since: Option<Nanos>,
    pub brought_up: u64,
    pub refused: u64,
    pub rows: Vec<Row>,
}
