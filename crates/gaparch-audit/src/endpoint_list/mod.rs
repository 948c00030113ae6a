//! The endpoint list: the version in use, the versions of other routers, and how a router that lags catches
//! up.

mod active;
mod claims;
mod event;
mod fetch;
mod follower;
mod snapshot;
mod view;

pub use active::{ActiveList, ListOutcome, ListRejection};
pub use event::ListEvent;
pub use follower::{FollowerOutput, FollowerSettings, ListFollower};
pub use snapshot::{digest, ListSnapshot};
pub use view::{ListView, PeerListStatus};
