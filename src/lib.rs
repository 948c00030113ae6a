//! gaparch decides, for one router, which reader and which writer serves each request.
//!
//! [`policy`] holds every decision, [`api`] is its interface, [`state`] keeps the books, [`view`] and
//! [`counts`] show them.

pub mod api;
pub mod counts;
pub mod policy;
pub mod state;
pub mod view;
