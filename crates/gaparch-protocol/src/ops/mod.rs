//! The operations protocol: a console or a script on one side, a router on the other.
//!
//! `docs/protocols/operations.md` describes it. The client says [`Hello`](OpsFrame::Hello) and is
//! [welcomed](OpsFrame::Welcome) with the role it has, or sent away. Then it [asks](OpsFrame::Ask), one
//! question after the other; a subscriber gets [updates](OpsFrame::Update) in between. The records in
//! [`ending`] and [`intent`] are also what the router keeps on disk.

pub mod ending;
pub mod intent;
pub mod view;

use crate::frame::Frame;
use crate::versions::AuditFilter;
use crate::wire::{choice, closed_set, malformed, record, Wire};
use bytes::BytesMut;
use ending::{Ending, EndingFilter, Group, RequestName};
use intent::{Change, Intent, LimitView};
use view::{
    AuditView, EngineView, Figures, FleetView, Happening, LiveView, Snapshot, SpreadView, VersionsView,
};
use winnow::ModalResult;

/// The version spoken here.
pub const VERSION: u16 = 1;
/// Bytes that a router takes in one frame of an operator: 64 KiB.
pub const MAX_ASK: usize = 64 << 10;
/// Bytes that an operator's side takes in one frame: 32 MiB, some 100,000 endings.
pub const MAX_ANSWER: usize = 32 << 20;

closed_set! {
    /// What a session may do.
    pub enum OpsRole {
        /// Look at everything, change nothing.
        Watch = 1, "watch";
        Change = 2, "change";
    }
}

record! {
    /// A change, as an operator orders it.
    pub struct Order {
        pub change: Change,
        /// For whoever reads it in the morning.
        pub why: String,
        /// Although it leaves no engine of a role.
        pub force: bool,
        /// Only if this is still what the router holds: another operator may have changed it meanwhile.
        pub revision: Option<u64>,
    }
}

choice! {
    pub enum Query {
        1 => Snapshot {},
        /// A snapshot now, and all that changes from now on.
        2 => Subscribe {},
        3 => Unsubscribe {},
        4 => Order { order: Order, },
        /// Refusals and failures, grouped.
        5 => Groups { filter: EndingFilter, },
        /// The same one by one, the latest first.
        6 => Endings { filter: EndingFilter, },
        /// All that is known of one request.
        7 => Story { request: RequestName, },
        /// Requests that are open now, the oldest first, at most so many.
        8 => Live { most: u32, },
        /// What happened, of one engine or of all, the latest last.
        9 => Events { engine: Option<String>, since: u64, most: u32, },
        10 => Limits {},
        11 => Intents {},
        /// The other routers of the site, as this one sees them.
        12 => Members {},
        /// Which of them holds which version of the list.
        13 => Versions {},
        /// An order for this router alone, where others would be for all of the site.
        14 => OrderHere { order: Order, },
        /// Which routers keep all orders of the fleet that are in force here.
        15 => Spread {},
        /// What the records of all routers say.
        16 => Audit { filter: AuditFilter, },
    }
}

closed_set! {
    /// Why a question was not answered, or an order not carried out.
    pub enum DenyCode {
        /// The session may look only.
        Role = 1, "role";
        Unknown = 2, "unknown";
        /// It would leave no engine of a role.
        LeavesNone = 3, "leaves-none";
        /// Another operator was there first.
        Changed = 4, "changed";
        Invalid = 5, "invalid";
        /// It is in force, but could not be kept: a restart would forget it.
        NotKept = 6, "not-kept";
        Busy = 7, "busy";
    }
}

choice! {
    pub enum Answer {
        1 => Snapshot { snapshot: Box<Snapshot>, },
        2 => Subscribed {},
        3 => Unsubscribed {},
        /// Carried out and kept. What it does to the requests at hand, in words.
        4 => Done { revision: u64, effect: String, },
        5 => Denied { code: DenyCode, message: String, },
        6 => Groups { groups: Vec<Group>, total: u64, },
        7 => Endings { endings: Vec<Ending>, total: u64, },
        8 => Story { ending: Option<Box<Ending>>, live: Option<Box<LiveView>>, },
        9 => Live { live: Vec<LiveView>, total: u64, },
        10 => Events { events: Vec<Happening>, },
        11 => Limits { limits: Vec<LimitView>, },
        12 => Intents { intents: Vec<Intent>, },
        13 => Members { fleet: Box<FleetView>, },
        14 => Versions { versions: Box<VersionsView>, },
        15 => Spread { spread: Box<SpreadView>, },
        16 => Audit { audit: Box<AuditView>, },
    }
}

choice! {
    /// What a subscriber is told, by itself.
    pub enum Update {
        1 => Figures { figures: Figures, },
        /// Engines that look other than before.
        2 => Engines { engines: Vec<EngineView>, },
        3 => Happened { event: Happening, },
        /// A request was refused, failed, or its client left.
        4 => Ended { ending: Box<Ending>, },
        5 => Intents { revision: u64, intents: Vec<Intent>, },
        /// The subscriber was too slow for so many updates. A fresh snapshot follows.
        6 => Missed { updates: u64, },
        7 => Fresh { snapshot: Box<Snapshot>, },
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum OpsFrame {
    /// Client, first.
    Hello {
        version: u16,
        key: Option<String>,
        role: OpsRole,
        who: String,
    },
    /// Router, first. The role is what the key allows, at most what was asked for.
    Welcome {
        version: u16,
        router: String,
        run: u64,
        role: OpsRole,
    },
    Ask {
        seq: u32,
        query: Query,
    },
    Answer {
        seq: u32,
        answer: Answer,
    },
    Update(Update),
    /// Either side, last.
    Bye {
        reason: String,
    },
}

impl Frame for OpsFrame {
    fn kind(&self) -> u8 {
        match self {
            OpsFrame::Hello { .. } => 1,
            OpsFrame::Welcome { .. } => 2,
            OpsFrame::Ask { .. } => 3,
            OpsFrame::Answer { .. } => 4,
            OpsFrame::Update(_) => 5,
            OpsFrame::Bye { .. } => 63,
        }
    }

    fn put_body(&self, out: &mut BytesMut) {
        match self {
            OpsFrame::Hello { version, key, role, who } => {
                version.put(out);
                key.put(out);
                role.put(out);
                who.put(out);
            }
            OpsFrame::Welcome { version, router, run, role } => {
                version.put(out);
                router.put(out);
                run.put(out);
                role.put(out);
            }
            OpsFrame::Ask { seq, query } => {
                seq.put(out);
                query.put(out);
            }
            OpsFrame::Answer { seq, answer } => {
                seq.put(out);
                answer.put(out);
            }
            OpsFrame::Update(update) => update.put(out),
            OpsFrame::Bye { reason } => reason.put(out),
        }
    }

    fn parse_body(kind: u8, body: &mut &[u8]) -> ModalResult<Self> {
        Ok(match kind {
            1 => {
                let version = u16::take(body)?;
                if version != VERSION {
                    // What follows has another form: the version is all that is needed to say so.
                    *body = &[];
                    return Ok(OpsFrame::Hello {
                        version,
                        key: None,
                        role: OpsRole::Watch,
                        who: String::new(),
                    });
                }
                OpsFrame::Hello {
                    version,
                    key: Wire::take(body)?,
                    role: Wire::take(body)?,
                    who: Wire::take(body)?,
                }
            }
            2 => OpsFrame::Welcome {
                version: Wire::take(body)?,
                router: Wire::take(body)?,
                run: Wire::take(body)?,
                role: Wire::take(body)?,
            },
            3 => OpsFrame::Ask { seq: Wire::take(body)?, query: Wire::take(body)? },
            4 => OpsFrame::Answer { seq: Wire::take(body)?, answer: Wire::take(body)? },
            5 => OpsFrame::Update(Wire::take(body)?),
            63 => OpsFrame::Bye { reason: Wire::take(body)? },
            _ => return malformed(),
        })
    }
}

/// A record as it stands on disk.
pub fn to_bytes<T: Wire>(record: &T) -> Vec<u8> {
    let mut out = BytesMut::new();
    record.put(&mut out);
    out.to_vec()
}

/// A record from its bytes; `None` if they are not exactly one.
pub fn from_bytes<T: Wire>(mut bytes: &[u8]) -> Option<T> {
    let record = T::take(&mut bytes).ok()?;
    bytes.is_empty().then_some(record)
}
