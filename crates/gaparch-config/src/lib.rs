//! The XML settings of a router, validated against `schema/gaparch.xsd` and by checks that a schema can't
//! express.
//!
//! [`Config::parse`] reads the text of a file and reports all errors at once, each with its line and element.
//! The schema alone defines the valid elements and attributes: [`schema`] interprets it at run time, so that
//! this crate and the published schema can't disagree on them. The crate does no I/O.

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

/// An example settings file with comments.
pub const EXAMPLE: &str = include_str!("../../../examples/gaparch.xml");
