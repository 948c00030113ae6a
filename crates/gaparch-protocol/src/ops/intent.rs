//! What operators want.

use crate::wire::{choice, closed_set, record};

closed_set! {
    /// How an operator takes an engine out.
    pub enum Hold {
        /// Nothing new; what runs there ends in its own time, and the connection stays.
        Drain = 1, "drain";
        /// As if it were not listed: nothing new, and the connection is closed once nothing runs there.
        Aside = 2, "aside";
    }
}

choice! {
    pub enum Change {
        1 => Hold { engine: String, hold: Hold, },
        /// An engine is what the list says again.
        2 => Free { engine: String, },
        /// No new requests: they are refused at once.
        3 => Pause {},
        4 => Resume {},
        /// `None`: as the settings say.
        5 => Limit { name: String, value: Option<f64>, },
        /// The router ends in good order. It is not kept: the next start begins as before.
        6 => Stop {},
    }
}

record! {
    /// Who changed something, and why.
    pub struct Note {
        pub who: String,
        pub why: String,
        /// Nanoseconds since the Unix epoch.
        pub at: u64,
    }
}

record! {
    /// A change that was taken, as it is kept.
    pub struct Taken {
        /// Grows by one with each change.
        pub revision: u64,
        pub change: Change,
        pub note: Note,
    }
}

choice! {
    /// What is in force by an operator's word.
    pub enum Subject {
        1 => Engine { engine: String, hold: Hold, },
        2 => Intake {},
        3 => Limit { name: String, value: f64, },
    }
}

record! {
    pub struct Intent {
        pub subject: Subject,
        pub note: Note,
        /// That of the change that made it.
        pub revision: u64,
        /// A restart would find it again.
        pub kept: bool,
    }
}

record! {
    pub struct LimitView {
        pub name: String,
        pub value: f64,
        pub by_settings: f64,
        /// The least and the most that it may be set to.
        pub least: f64,
        pub most: f64,
        pub unit: String,
    }
}
