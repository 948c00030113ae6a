//! The XML settings of a router, validated by `schema/gaparch.xsd` and by checks that a schema can't express.
//!
//! [`Config::parse`] reads a file's text and reports every problem at once, each with its line and element. The schema
//! alone defines which elements and attributes there are: [`schema`] interprets it, so that what this crate accepts and
//! what the published schema accepts can't drift apart. The crate does no I/O.

#![warn(missing_docs)]

mod check;
mod config;
mod document;
mod parse;
mod raw;
mod scheduler_settings;
pub mod schema;
mod units;

pub use config::{
    server_id, Attempts, ClassNames, ClassTimes, Config, EngineConfig, Fleet, KeySource, Limits, Links,
    ListConfig, Listener, Names, Operations, Operator,
};
pub use document::Problem;
pub use units::{Bytes, Span};

/// The commented example of a settings file.
pub const EXAMPLE: &str = include_str!("../../../examples/gaparch.xml");
