//! Fault injection tests of router fleets.
//!
//! [`world`] simulates the membership core alone, in virtual time, for any fleet size. The other modules run
//! processes of the built program: [`scenario`] is the format of a scenario file (actions, and expectations
//! with a deadline) and [`scenarios`] has the scenarios that are built in. [`relay`] forwards datagrams
//! between routers and [`streams`] TCP connections between a router and everything else, with the faults of
//! [`faults`]. [`process`] starts, stops and kills routers, and [`runner`] runs a scenario. [`observations`]
//! holds what was observed, [`invariants`] checks it, and [`report`] formats the result. [`faulty_directory`]
//! simulates a faulty disk, [`liar`] a router that sends false lists and orders, and [`picture`] draws how
//! each router saw the states of the others over time.

pub mod faults;
pub mod faulty_directory;
pub mod invariants;
pub mod liar;
pub mod observations;
pub mod picture;
pub mod process;
pub mod relay;
pub mod report;
pub mod runner;
pub mod scenario;
pub mod scenarios;
pub mod streams;
pub mod world;
