//! Membership among the routers of a site: failure detection, dissemination and quorum, without I/O or clock.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips,
//! Currey 2018). `docs/design-notes/membership.md` says what is taken from them, what differs and why. In
//! short:
//!
//! - In each probe interval one member is pinged, through other members if it does not answer, and suspected if none of
//!   them gets an answer.
//! - **A member is alive while anybody receives its messages.** A suspicion claims "no heartbeat later than
//!   this one", and any later heartbeat, whoever received it, refutes it. So a link that fails in one direction
//!   does not make a member flap.
//! - A router that was paused, is late, or receives nothing distrusts itself first ([Lifeguard's local health]).
//! - [`quorum`]: how many routers may be running, never fewer than truly are.
//!
//! [`Membership`] takes messages and the time, and returns [`Output`]s; [`SiteKey`] authenticates datagrams.
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

/// An instant or a span of a monotonic clock, in nanoseconds.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1_000 * MILLISECOND;
