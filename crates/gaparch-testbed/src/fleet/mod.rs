//! Fleets of routers that break.
//!
//! [`world`] plays the membership core alone, in virtual time, at any size. The rest plays processes of the built
//! program: [`day`] says what is done when and what has to be seen by when, [`relay`] stands between any two routers and
//! [`streams`] between a router and all else, as [`faults`] says; [`process`] starts, stops and kills them, and [`rig`]
//! plays a day. [`observations`] are what was seen of it, [`invariants`] judges them, and [`report`] says what came of
//! it. [`faulty_directory`] is a disk with a fault, [`liar`] a router that does, [`picture`] draws who thought what of whom.

pub mod day;
pub mod days;
pub mod faults;
pub mod faulty_directory;
pub mod invariants;
pub mod liar;
pub mod observations;
pub mod picture;
pub mod process;
pub mod relay;
pub mod report;
pub mod rig;
pub mod streams;
pub mod world;
