//! What operators change, and what is in force by their orders.

use crate::wire::{choice, closed_set, record};

closed_set! {
    /// How an operator takes an engine out of service.
    pub enum DrainMode {
        /// It gets no new requests; those in flight end in their own time, and the connection stays.
        Drain = 1, "drain";
        /// As if it were not in the endpoint list: the connection is closed too, once nothing is in flight there.
        Detach = 2, "aside";
    }
}

choice! {
    /// A change that an operator orders.
    pub enum Change {
        /// Take an engine out of service.
        #[serde(rename = "hold")]
        1 => Drain {
            /// The engine's name.
            engine: String,
            /// How it is taken out.
            #[serde(rename = "hold")]
            mode: DrainMode,
        },
        /// Let the endpoint list alone say again what state an engine has.
        #[serde(rename = "free")]
        2 => Undrain {
            /// The engine's name.
            engine: String,
        },
        /// Reject all new requests.
        3 => Pause {},
        /// Admit new requests again.
        4 => Resume {},
        /// Change a limit.
        #[serde(rename = "limit")]
        5 => SetLimit {
            /// The limit's name.
            name: String,
            /// Its value; `None`: the one in the settings.
            value: Option<f64>,
        },
        /// Shut the router down gracefully. It is not stored: the next start is as usual.
        6 => Stop {},
    }
}

record! {
    /// Who made a change, why, and when.
    pub struct ChangeNote {
        /// The operator's name.
        #[serde(rename = "who")]
        pub operator: String,
        /// The operator's reason, for colleagues who read it later.
        #[serde(rename = "why")]
        pub reason: String,
        /// When, in nanoseconds since the Unix epoch.
        pub at: u64,
    }
}

record! {
    /// A change that was accepted, as it is stored.
    pub struct AcceptedChange {
        /// Its number; each change has the next one.
        pub revision: u64,
        /// The change.
        pub change: Change,
        /// Who made it, and why.
        pub note: ChangeNote,
    }
}

choice! {
    /// What an intent is about.
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
        /// A limit that differs from the settings.
        3 => Limit {
            /// The limit's name.
            name: String,
            /// Its value.
            value: f64,
        },
    }
}

record! {
    /// Something that is in force by an operator's order.
    pub struct Intent {
        /// What it is about.
        pub subject: Subject,
        /// Who ordered it, and why.
        pub note: ChangeNote,
        /// The revision of the change that made it.
        pub revision: u64,
        /// Whether it is on disk, so that it outlives a restart.
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
        /// The value in the settings.
        #[serde(rename = "by_settings")]
        pub configured_value: f64,
        /// The lowest value that it can be set to.
        #[serde(rename = "least")]
        pub min: f64,
        /// The highest value that it can be set to.
        #[serde(rename = "most")]
        pub max: f64,
        /// The unit of these values.
        pub unit: String,
    }
}
