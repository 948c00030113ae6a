//! The laboratory: stand-ins for what is around a router, load, faults, and a checker of the rules.
//!
//! [`site`] starts a whole site on loopback: engines, a list service, routers. [`load`] is its clients.
//! [`record`] keeps what went over the sockets, so that a run can be judged from outside the router.

pub mod list_service;
pub mod load;
pub mod record;
pub mod site;
