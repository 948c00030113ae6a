//! Events of the endpoint list that are reported to operators.

use crate::Nanos;
use gaparch_protocol::versions::ListVersion;
use std::fmt;

/// A change in the relation of this router's list to those of other routers and of the list service.
#[derive(Clone, Debug, PartialEq)]
pub enum ListEvent {
    /// The list service has confirmed no list to this router for too long.
    Unconfirmed {
        /// For how long, in nanoseconds.
        silent_for: Nanos,
    },
    /// The list service confirms the list in use again.
    Confirmed,
    /// Other routers have had a later version for some time.
    Behind {
        /// The version in use here.
        in_use: ListVersion,
        /// The version that other routers have.
        believed: ListVersion,
        /// For how long, in nanoseconds.
        lag: Nanos,
    },
    /// The list in use is up to date again.
    CaughtUp {
        /// The version in use.
        version: ListVersion,
        /// For how long it was behind, in nanoseconds.
        after: Nanos,
    },
    /// The list was fetched from another router.
    FetchedFromPeer {
        /// The other router.
        by: String,
        /// The version of the list.
        version: ListVersion,
        /// For how long this router was behind, in nanoseconds.
        after: Nanos,
    },
    /// The list service sends an older version than other routers have from it.
    SourceOutdated {
        /// The version in use here.
        in_use: ListVersion,
        /// The version that other routers have.
        believed: ListVersion,
    },
    /// The list service is at another epoch than that of other routers: there are two services, or one has
    /// started a new epoch that some routers have not seen.
    SourcesDiffer {
        /// The version in use here.
        in_use: ListVersion,
        /// The version that other routers have.
        believed: ListVersion,
    },
    /// One router states a version that no other router has.
    Outlier {
        /// The router.
        router: String,
        /// The version that it states.
        stated: ListVersion,
        /// The version that is believed instead.
        believed: ListVersion,
    },
    /// A list that was fetched from a router does not match the digest that was stated with it.
    DigestMismatch {
        /// The router.
        by: String,
        /// The version of the list.
        version: ListVersion,
    },
}

fn seconds(time: Nanos) -> f64 {
    time as f64 / 1e9
}

/// A version in the form shown to operators: the rank of its epoch and its number.
struct ShortVersion<'a>(&'a ListVersion);

impl fmt::Display for ShortVersion<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0.rank, self.0.version)
    }
}

impl fmt::Display for ListEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListEvent::Unconfirmed { silent_for } => {
                write!(f, "the list service has confirmed nothing for {:.1} s", seconds(*silent_for))
            }
            ListEvent::Confirmed => f.write_str("the list service confirms the list in use"),
            ListEvent::Behind { in_use, believed, lag } => write!(
                f,
                "the list in use here is {}, others have had {} for {:.1} s",
                ShortVersion(in_use),
                ShortVersion(believed),
                seconds(*lag)
            ),
            ListEvent::CaughtUp { version, after } => write!(
                f,
                "the list in use here is {}, as others have it, after {:.1} s",
                ShortVersion(version),
                seconds(*after)
            ),
            ListEvent::FetchedFromPeer { by, version, after } => write!(
                f,
                "fetched list {} from router {by}, {:.1} s after others had it",
                ShortVersion(version),
                seconds(*after)
            ),
            ListEvent::SourceOutdated { in_use, believed } => write!(
                f,
                "the list service answers {}, though others have {} from it: it is not believed",
                ShortVersion(in_use),
                ShortVersion(believed)
            ),
            ListEvent::SourcesDiffer { in_use, believed } => {
                write!(f, "the list service here is of epoch {}, ", in_use.rank)?;
                write!(
                    f,
                    "that of others of {}: there are two, and each router follows its own",
                    believed.rank
                )
            }
            ListEvent::Outlier { router, stated, believed } => write!(
                f,
                "router {router} states list {}, nobody else more than {}: its claim is not passed on",
                ShortVersion(stated),
                ShortVersion(believed)
            ),
            ListEvent::DigestMismatch { by, version } => write!(
                f,
                "list {} that was fetched from router {by} does not fit its digest",
                ShortVersion(version)
            ),
        }
    }
}
