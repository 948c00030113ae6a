//! The elements and attributes of the settings file as deserialized, with the defaults of absent attributes.
//!
//! Field names follow the file's keys; their meaning is documented in [`crate::config`] and in the schema.

mod dialects;
mod operations;
mod traffic;

pub(crate) use dialects::{Dialect, Dialects};
pub(crate) use operations::{Fleet, Operations, OperatorRole};
pub(crate) use traffic::{Class, Classes, Effect, Group, Tenant, Tenants};

use crate::units::{Bytes, Span};
use serde::Deserialize;

fn default_routers() -> u32 {
    1
}

fn enabled() -> bool {
    true
}

fn default_dialect() -> String {
    "own".to_owned()
}

fn default_state() -> State {
    State::Ready
}

fn default_mode() -> Mode {
    Mode::Push
}

fn default_max_attempts() -> u32 {
    5
}

fn default_ask_within() -> Span {
    Span::secs(10)
}

fn default_connect_timeout() -> Span {
    Span::millis(250)
}

fn default_probe_timeout() -> Span {
    Span::secs(1)
}

fn default_probe_price() -> f64 {
    0.003
}

fn default_reconnect_after() -> Span {
    Span::millis(50)
}

fn default_reconnect_most() -> Span {
    Span::secs(2)
}

fn default_max_retry_after() -> Span {
    Span::secs(1)
}

fn default_answer_slack() -> Span {
    Span::millis(50)
}

/// The root element.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Gaparch {
    #[serde(rename = "@version")]
    pub version: u32,
    pub router: Router,
    pub zones: Option<Zones>,
    pub kinds: Kinds,
    pub classes: Classes,
    pub tenants: Option<Tenants>,
    pub engines: Option<Engines>,
    pub list: Option<List>,
    #[serde(default)]
    pub attempts: Attempts,
    pub rules: Rules,
    #[serde(default)]
    pub limits: Limits,
    pub operations: Option<Operations>,
    pub fleet: Option<Fleet>,
    pub dialects: Option<Dialects>,
}

/// `<router>`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Router {
    #[serde(rename = "@name")]
    pub name: String,
    #[serde(rename = "@number", default)]
    pub number: f64,
    #[serde(rename = "@routers", default = "default_routers")]
    pub routers: u32,
    #[serde(rename = "@zone")]
    pub zone: Option<String>,
    #[serde(rename = "@seed", default)]
    pub seed: u64,
    #[serde(default)]
    pub listen: Vec<Listen>,
}

/// `<listen>`: an address at which clients connect.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Listen {
    #[serde(rename = "@address")]
    pub address: String,
    #[serde(rename = "@dialect", default = "default_dialect")]
    pub dialect: String,
}

/// `<zones>`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Zones {
    #[serde(default)]
    pub zone: Vec<Zone>,
}

/// `<zone>`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Zone {
    #[serde(rename = "@id")]
    pub id: String,
}

/// `<kinds>`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Kinds {
    #[serde(default)]
    pub kind: Vec<Kind>,
}

/// `<kind>`: a kind of engine.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Kind {
    #[serde(rename = "@id")]
    pub id: String,
    #[serde(rename = "@role")]
    pub role: Role,
    #[serde(rename = "@memory-tokens")]
    pub memory_tokens: u32,
}

/// `kind/@role`
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Role {
    Read,
    Write,
    Both,
}

/// `<engines>`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Engines {
    #[serde(default)]
    pub engine: Vec<Engine>,
}

/// `<engine>`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Engine {
    #[serde(rename = "@id")]
    pub id: String,
    #[serde(rename = "@address")]
    pub address: String,
    #[serde(rename = "@kind")]
    pub kind: String,
    #[serde(rename = "@zone")]
    pub zone: Option<String>,
    #[serde(rename = "@rack")]
    pub rack: Option<String>,
    #[serde(rename = "@weight")]
    pub weight: Option<f64>,
    #[serde(rename = "@state", default = "default_state")]
    pub state: State,
}

/// `engine/@state`
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum State {
    Ready,
    Draining,
}

/// `<list>`: the discovery service, which publishes the endpoint list.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct List {
    #[serde(rename = "@address")]
    pub address: String,
    #[serde(rename = "@mode", default = "default_mode")]
    pub mode: Mode,
    #[serde(rename = "@ask-within", default = "default_ask_within")]
    pub ask_within: Span,
}

/// `list/@mode`: whether updates are pushed or polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Mode {
    Push,
    Ask,
}

/// `<attempts>`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Attempts {
    #[serde(rename = "@most", default = "default_max_attempts")]
    pub most: u32,
    #[serde(rename = "@cancel", default = "enabled")]
    pub cancel: bool,
    #[serde(rename = "@probes", default = "enabled")]
    pub probes: bool,
    #[serde(rename = "@self-prefill", default)]
    pub self_prefill: bool,
    #[serde(rename = "@connect-timeout", default = "default_connect_timeout")]
    pub connect_timeout: Span,
    #[serde(rename = "@probe-timeout", default = "default_probe_timeout")]
    pub probe_timeout: Span,
    #[serde(rename = "@probe-price", default = "default_probe_price")]
    pub probe_price: f64,
    #[serde(rename = "@reconnect-after", default = "default_reconnect_after")]
    pub reconnect_after: Span,
    #[serde(rename = "@reconnect-most", default = "default_reconnect_most")]
    pub reconnect_most: Span,
    #[serde(rename = "@retry-after", default = "enabled")]
    pub retry_after: bool,
    #[serde(rename = "@max-retry-after", default = "default_max_retry_after")]
    pub max_retry_after: Span,
}

impl Default for Attempts {
    fn default() -> Self {
        Attempts {
            most: default_max_attempts(),
            cancel: true,
            probes: true,
            self_prefill: false,
            connect_timeout: default_connect_timeout(),
            probe_timeout: default_probe_timeout(),
            probe_price: default_probe_price(),
            reconnect_after: default_reconnect_after(),
            reconnect_most: default_reconnect_most(),
            retry_after: true,
            max_retry_after: default_max_retry_after(),
        }
    }
}

/// `<rules>`: the site's rules for KV release, draining, slow start and late answers.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Rules {
    #[serde(rename = "@release-within")]
    pub release_within: Span,
    #[serde(rename = "@drain-grace")]
    pub drain_grace: Span,
    #[serde(rename = "@cold-from")]
    pub cold_from: f64,
    #[serde(rename = "@cold")]
    pub cold: Span,
    #[serde(rename = "@fall-multiple")]
    pub fall_multiple: f64,
    #[serde(rename = "@fall")]
    pub fall: Span,
    #[serde(rename = "@answer-slack", default = "default_answer_slack")]
    pub answer_slack: Span,
}

/// `<limits>`; absent attributes have their defaults in [`crate::config::Limits`].
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Limits {
    #[serde(rename = "@body")]
    pub body: Option<Bytes>,
    #[serde(rename = "@body-memory")]
    pub body_memory: Option<Bytes>,
    #[serde(rename = "@connections")]
    pub connections: Option<usize>,
    #[serde(rename = "@open-requests")]
    pub open_requests: Option<usize>,
    #[serde(rename = "@inbox")]
    pub inbox: Option<usize>,
    #[serde(rename = "@stream-buffer")]
    pub stream_buffer: Option<usize>,
    #[serde(rename = "@frame")]
    pub frame: Option<Bytes>,
    #[serde(rename = "@head-time")]
    pub head_time: Option<Span>,
    #[serde(rename = "@body-time")]
    pub body_time: Option<Span>,
    #[serde(rename = "@keep-alive")]
    pub keep_alive: Option<Span>,
    #[serde(rename = "@shutdown")]
    pub shutdown: Option<Span>,
}
