//! The elements for the operations interface and for membership.

use crate::units::{Bytes, Span};
use serde::Deserialize;

fn enabled() -> bool {
    true
}

fn default_sessions() -> usize {
    32
}

fn default_history() -> Bytes {
    Bytes(64 << 20)
}

fn default_refusals() -> Bytes {
    Bytes(32 << 20)
}

fn default_operator_role() -> OperatorRole {
    OperatorRole::Change
}

fn default_fleet_period() -> Span {
    Span::millis(200)
}

fn default_fleet_hold() -> Span {
    Span::secs(60)
}

/// `<operations>`: the operations interface.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Operations {
    #[serde(rename = "@state")]
    pub state: String,
    #[serde(rename = "@socket")]
    pub socket: Option<String>,
    #[serde(rename = "@address")]
    pub address: Option<String>,
    #[serde(rename = "@sessions", default = "default_sessions")]
    pub sessions: usize,
    #[serde(rename = "@history", default = "default_history")]
    pub history: Bytes,
    #[serde(rename = "@refusals", default = "default_refusals")]
    pub refusals: Bytes,
    #[serde(default)]
    pub operator: Vec<Operator>,
}

/// `<operator>`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Operator {
    #[serde(rename = "@name")]
    pub name: String,
    #[serde(rename = "@role", default = "default_operator_role")]
    pub role: OperatorRole,
    #[serde(rename = "@key-file")]
    pub key_file: Option<String>,
    #[serde(rename = "@key")]
    pub key: Option<String>,
}

/// `operator/@role`
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum OperatorRole {
    Watch,
    Change,
}

/// `<fleet>`: membership among the routers of the site.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fleet {
    #[serde(rename = "@listen")]
    pub listen: String,
    #[serde(rename = "@address")]
    pub address: Option<String>,
    #[serde(rename = "@key-file")]
    pub key_file: String,
    #[serde(rename = "@period", default = "default_fleet_period")]
    pub period: Span,
    #[serde(rename = "@hold", default = "default_fleet_hold")]
    pub hold: Span,
    #[serde(rename = "@confirm")]
    pub confirm: Option<Span>,
    #[serde(rename = "@refined", default = "enabled")]
    pub refined: bool,
    #[serde(default)]
    pub seed: Vec<Seed>,
}

/// `<seed>`: a router through which this one joins the others.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Seed {
    #[serde(rename = "@address")]
    pub address: String,
}
