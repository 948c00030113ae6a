//! The laboratory: stand-ins for what is around a router, load, faults, and a checker of the rules.
//!
//! [`site`] starts a whole site on loopback: engines, a list service, routers. [`load`] is its clients.
//! [`record`] keeps what went over the sockets, and [`checker`] judges the five rules from that record
//! alone: it shares no code with the router's core. [`badday`] puts them together. [`terminal`] is an
//! operator's terminal, and [`demo`] a session at it. [`fleet`] breaks routers that are processes. [`platform`] is what
//! surrounds a router in service, and [`soak`] breaks dozens of processes of it at once.

pub mod badday;
pub mod checker;
pub mod demo;
pub mod fleet;
pub mod list_service;
pub mod load;
pub mod plain_relay;
pub mod platform;
pub mod ports;
pub mod record;
pub mod scale;
pub mod scripted;
pub mod site;
pub mod soak;
pub mod terminal;
