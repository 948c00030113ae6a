//! Changes that operators order, and the intents that are in force as a result.

use crate::wire::{choice, closed_set, record};

closed_set! {
    /// How an operator takes an engine out of service.
    pub enum DrainMode {
        /// It gets no new requests. Those in flight are completed, and the connection is kept.
        Drain = 1, "drain";
        /// It is treated as removed from the endpoint list: in addition, the connection is closed once no
        /// request is in flight there.
        Detach = 2, "aside";
    }
}

choice! {
    /// A change that an operator orders.
    pub enum Change {
        /// Takes an engine out of service.
        #[serde(rename = "hold")]
        1 => Drain {
            /// The engine's name.
            engine: String,
            /// How it is taken out.
            #[serde(rename = "hold")]
            mode: DrainMode,
        },
        /// Ends a drain: the state of the engine is again that in the endpoint list.
        #[serde(rename = "free")]
        2 => Undrain {
            /// The engine's name.
            engine: String,
        },
        /// Rejects all new requests.
        3 => Pause {},
        /// Admits new requests again.
        4 => Resume {},
        /// Changes a limit.
        #[serde(rename = "limit")]
        5 => SetLimit {
            /// The limit's name.
            name: String,
            /// Its new value; `None` to restore the configured one.
            value: Option<f64>,
        },
        /// Shuts the router down gracefully. It is not stored, so that it does not affect the next start.
        6 => Stop {},
    }
}

record! {
    /// The operator, the reason and the time of a change.
    pub struct ChangeNote {
        /// The operator's name.
        #[serde(rename = "who")]
        pub operator: String,
        /// The operator's reason, for other operators.
        #[serde(rename = "why")]
        pub reason: String,
        /// The time of the change, in nanoseconds since the Unix epoch.
        pub at: u64,
    }
}

record! {
    /// A change that was accepted, as it is stored.
    pub struct AcceptedChange {
        /// Its number, which increases by one with each change.
        pub revision: u64,
        /// The change.
        pub change: Change,
        /// The operator, the reason and the time.
        pub note: ChangeNote,
    }
}

choice! {
    /// The subject of an intent.
    pub enum Subject {
        /// An engine that is out of service.
        1 => Engine {
            /// The engine's name.
            engine: String,
            /// How it was taken out.
            #[serde(rename = "hold")]
            mode: DrainMode,
        },
        /// The admission of new requests, which is paused.
        #[serde(rename = "intake")]
        2 => Admission {},
        /// A limit that differs from the configured one.
        3 => Limit {
            /// The limit's name.
            name: String,
            /// Its value.
            value: f64,
        },
    }
}

record! {
    /// A state that an operator has ordered and that is in force.
    pub struct Intent {
        /// The subject.
        pub subject: Subject,
        /// The operator, the reason and the time.
        pub note: ChangeNote,
        /// The revision of the change that created it.
        pub revision: u64,
        /// Whether it is stored on disk, so that it survives a restart.
        #[serde(rename = "kept")]
        pub persisted: bool,
    }
}

record! {
    /// A limit that operators can change.
    pub struct LimitView {
        /// The limit's name.
        pub name: String,
        /// The value in force.
        pub value: f64,
        /// The configured value.
        #[serde(rename = "by_settings")]
        pub configured_value: f64,
        /// The lowest value that is accepted.
        #[serde(rename = "least")]
        pub min: f64,
        /// The highest value that is accepted.
        #[serde(rename = "most")]
        pub max: f64,
        /// The unit of these values.
        pub unit: String,
    }
}
