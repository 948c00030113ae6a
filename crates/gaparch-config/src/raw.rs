//! The settings as they stand in the file, with the defaults of what may be left out.

use crate::units::{Bytes, Span};
use serde::Deserialize;

macro_rules! defaults {
    ($($name:ident: $type:ty = $value:expr;)*) => { $(fn $name() -> $type { $value })* };
}

defaults! {
    one: u32 = 1;
    yes: bool = true;
    unit: f64 = 1.0;
    own: String = "own".to_owned();
    all: Group = Group::All;
    ready: State = State::Ready;
    push: Mode = Mode::Push;
    most: u32 = 5;
    stream_limit: Span = Span::secs(300);
    silence_limit: Span = Span::secs(10);
    ask_within: Span = Span::secs(10);
    connect_timeout: Span = Span::millis(250);
    probe_timeout: Span = Span::secs(1);
    probe_price: f64 = 0.003;
    reconnect_after: Span = Span::millis(50);
    reconnect_most: Span = Span::secs(2);
    max_retry_after: Span = Span::secs(1);
    answer_slack: Span = Span::millis(50);
    sessions: usize = 32;
    history: Bytes = Bytes(64 << 20);
    refusals: Bytes = Bytes(32 << 20);
    change: OperatorRole = OperatorRole::Change;
    fleet_period: Span = Span::millis(200);
    fleet_hold: Span = Span::secs(60);
}

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

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Router {
    #[serde(rename = "@name")]
    pub name: String,
    #[serde(rename = "@number", default)]
    pub number: f64,
    #[serde(rename = "@routers", default = "one")]
    pub routers: u32,
    #[serde(rename = "@zone")]
    pub zone: Option<String>,
    #[serde(rename = "@seed", default)]
    pub seed: u64,
    #[serde(default)]
    pub listen: Vec<Listen>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Listen {
    #[serde(rename = "@address")]
    pub address: String,
    #[serde(rename = "@dialect", default = "own")]
    pub dialect: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Zones {
    #[serde(default)]
    pub zone: Vec<Zone>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Zone {
    #[serde(rename = "@id")]
    pub id: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Kinds {
    #[serde(default)]
    pub kind: Vec<Kind>,
}

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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Role {
    Read,
    Write,
    Both,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Classes {
    #[serde(default)]
    pub class: Vec<Class>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Class {
    #[serde(rename = "@id")]
    pub id: String,
    #[serde(rename = "@default", default)]
    pub default: bool,
    #[serde(rename = "@effect")]
    pub effect: Effect,
    #[serde(rename = "@group", default = "all")]
    pub group: Group,
    #[serde(rename = "@window", default)]
    pub window: Span,
    #[serde(rename = "@aim")]
    pub aim: Span,
    #[serde(rename = "@aim-per-1000-tokens", default)]
    pub aim_per_1000_tokens: Span,
    #[serde(rename = "@deadline")]
    pub deadline: Span,
    #[serde(rename = "@token-aim", default)]
    pub token_aim: Span,
    #[serde(rename = "@worth", default = "unit")]
    pub worth: f64,
    #[serde(rename = "@late-worth", default)]
    pub late_worth: f64,
    #[serde(rename = "@stream-limit", default = "stream_limit")]
    pub stream_limit: Span,
    #[serde(rename = "@silence-limit", default = "silence_limit")]
    pub silence_limit: Span,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Group {
    All,
    Zone,
    Rack,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Tenants {
    #[serde(rename = "@over-share-worth", default = "unit")]
    pub over_share_worth: f64,
    #[serde(default)]
    pub tenant: Vec<Tenant>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Tenant {
    #[serde(rename = "@id")]
    pub id: String,
    #[serde(rename = "@share", default)]
    pub share: f64,
    #[serde(rename = "@requests-per-second", default)]
    pub requests_per_second: f64,
    #[serde(default)]
    pub key: Vec<Key>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Key {
    #[serde(rename = "@value")]
    pub value: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Engines {
    #[serde(default)]
    pub engine: Vec<Engine>,
}

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
    #[serde(rename = "@state", default = "ready")]
    pub state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum State {
    Ready,
    Draining,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct List {
    #[serde(rename = "@address")]
    pub address: String,
    #[serde(rename = "@mode", default = "push")]
    pub mode: Mode,
    #[serde(rename = "@ask-within", default = "ask_within")]
    pub ask_within: Span,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Mode {
    Push,
    Ask,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Attempts {
    #[serde(rename = "@most", default = "most")]
    pub most: u32,
    #[serde(rename = "@cancel", default = "yes")]
    pub cancel: bool,
    #[serde(rename = "@probes", default = "yes")]
    pub probes: bool,
    #[serde(rename = "@self-prefill", default)]
    pub self_prefill: bool,
    #[serde(rename = "@connect-timeout", default = "connect_timeout")]
    pub connect_timeout: Span,
    #[serde(rename = "@probe-timeout", default = "probe_timeout")]
    pub probe_timeout: Span,
    #[serde(rename = "@probe-price", default = "probe_price")]
    pub probe_price: f64,
    #[serde(rename = "@reconnect-after", default = "reconnect_after")]
    pub reconnect_after: Span,
    #[serde(rename = "@reconnect-most", default = "reconnect_most")]
    pub reconnect_most: Span,
    #[serde(rename = "@retry-after", default = "yes")]
    pub retry_after: bool,
    #[serde(rename = "@max-retry-after", default = "max_retry_after")]
    pub max_retry_after: Span,
}

impl Default for Attempts {
    fn default() -> Self {
        Attempts {
            most: most(),
            cancel: true,
            probes: true,
            self_prefill: false,
            connect_timeout: connect_timeout(),
            probe_timeout: probe_timeout(),
            probe_price: probe_price(),
            reconnect_after: reconnect_after(),
            reconnect_most: reconnect_most(),
            retry_after: true,
            max_retry_after: max_retry_after(),
        }
    }
}

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
    #[serde(rename = "@answer-slack", default = "answer_slack")]
    pub answer_slack: Span,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Limits {
    #[serde(rename = "@body")]
    pub body: Option<Bytes>,
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

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Operations {
    #[serde(rename = "@state")]
    pub state: String,
    #[serde(rename = "@socket")]
    pub socket: Option<String>,
    #[serde(rename = "@address")]
    pub address: Option<String>,
    #[serde(rename = "@sessions", default = "sessions")]
    pub sessions: usize,
    #[serde(rename = "@history", default = "history")]
    pub history: Bytes,
    #[serde(rename = "@refusals", default = "refusals")]
    pub refusals: Bytes,
    #[serde(default)]
    pub operator: Vec<Operator>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fleet {
    #[serde(rename = "@listen")]
    pub listen: String,
    #[serde(rename = "@address")]
    pub address: Option<String>,
    #[serde(rename = "@key-file")]
    pub key_file: String,
    #[serde(rename = "@period", default = "fleet_period")]
    pub period: Span,
    #[serde(rename = "@hold", default = "fleet_hold")]
    pub hold: Span,
    #[serde(rename = "@confirm")]
    pub confirm: Option<Span>,
    #[serde(rename = "@refined", default = "yes")]
    pub refined: bool,
    #[serde(default)]
    pub seed: Vec<Seed>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Seed {
    #[serde(rename = "@address")]
    pub address: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Operator {
    #[serde(rename = "@name")]
    pub name: String,
    #[serde(rename = "@role", default = "change")]
    pub role: OperatorRole,
    #[serde(rename = "@key-file")]
    pub key_file: Option<String>,
    #[serde(rename = "@key")]
    pub key: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum OperatorRole {
    Watch,
    Change,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Dialects {
    #[serde(default)]
    pub dialect: Vec<Dialect>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Dialect {
    #[serde(rename = "@id")]
    pub id: String,
    #[serde(rename = "@based-on", default = "own")]
    pub based_on: String,
    #[serde(default)]
    pub event: Vec<Event>,
    #[serde(default)]
    pub word: Vec<Word>,
    #[serde(default)]
    pub request: Vec<Request>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Event {
    #[serde(rename = "@kind")]
    pub kind: String,
    #[serde(rename = "@name", default)]
    pub name: String,
    #[serde(default)]
    pub field: Vec<Field>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Field {
    #[serde(rename = "@path")]
    pub path: String,
    #[serde(rename = "@value")]
    pub value: Option<String>,
    #[serde(rename = "@text")]
    pub text: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Word {
    #[serde(rename = "@of")]
    pub of: String,
    #[serde(rename = "@spelt")]
    pub spelt: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Request {
    #[serde(rename = "@field")]
    pub field: String,
    #[serde(rename = "@path")]
    pub path: String,
}
