//! Membership among the routers of a site: failure detection, dissemination and quorum, without I/O or clock.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips,
//! Currey 2018). `docs/design-notes/membership.md` describes which parts are adopted, and where and why this
//! implementation differs. In short:
//!
//! - In each probe interval one member is pinged. If it does not answer, other members are asked to ping it;
//!   if none of them gets an answer either, it is suspected.
//! - **A member is alive as long as any member receives its messages.** A suspicion claims "no heartbeat
//!   later than this one", and any later heartbeat refutes it, whichever member received it. A link that
//!   fails in one direction therefore does not make a member flap.
//! - A router that was paused, is late, or receives nothing doubts its own health first
//!   ([Lifeguard's local health]).
//! - [`quorum`]: an upper bound on the number of routers that are running.
//!
//! [`Membership`] is given messages and the current time, and returns [`Output`]s; [`SiteKey`] authenticates
//! datagrams.
//!
//! [Lifeguard's local health]: View::local_health

#![warn(missing_docs)]

mod counters;
mod dissemination;
mod duplicate;
mod event;
mod link_failures;
mod local_health;
mod member;
mod membership;
mod output;
mod probes;
pub mod quorum;
mod replay;
mod send_budget;
mod settings;
mod site_key;
mod suspicion;
mod view;

pub use counters::Counters;
pub use event::MembershipEvent;
pub use local_health::Connectivity;
pub use membership::Membership;
pub use output::Output;
pub use settings::{Settings, MAX_MEMBERS, MIN_PROBE_INTERVAL};
pub use site_key::{OpenError, SiteKey, TAG_BYTES};
pub use view::{LinkFailure, MemberView, View};

/// A point in time of a monotonic clock, or a duration, in nanoseconds.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1_000 * MILLISECOND;
