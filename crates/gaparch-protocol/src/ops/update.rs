//! Updates from a router to subscribers.

use super::intent::Intent;
use super::outcome::RequestOutcome;
use super::view::{EngineView, Event, RouterMetrics, Snapshot};
use crate::wire::choice;

choice! {
    /// An update to a subscriber.
    pub enum Update {
        /// The router's metrics, sent several times per second.
        #[serde(rename = "figures")]
        1 => Metrics {
            /// The metrics.
            #[serde(rename = "figures")]
            metrics: RouterMetrics,
        },
        /// Engines whose view has changed.
        2 => Engines {
            /// The changed engines.
            engines: Vec<EngineView>,
        },
        /// An event.
        #[serde(rename = "happened")]
        3 => Event {
            /// The event.
            event: Event,
        },
        /// A request was rejected, failed, or its client disconnected.
        #[serde(rename = "ended")]
        4 => RequestEnded {
            /// The request's outcome.
            #[serde(rename = "ending")]
            outcome: Box<RequestOutcome>,
        },
        /// The intents in force have changed.
        5 => Intents {
            /// The revision of the last change.
            revision: u64,
            /// All intents in force.
            intents: Vec<Intent>,
        },
        /// The subscriber was too slow and missed updates. A new snapshot follows.
        6 => Missed {
            /// The number of missed updates.
            updates: u64,
        },
        /// A new snapshot, to which further updates apply.
        #[serde(rename = "fresh")]
        7 => Resync {
            /// The snapshot.
            snapshot: Box<Snapshot>,
        },
    }
}
