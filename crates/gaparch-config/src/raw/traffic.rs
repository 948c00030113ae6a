//! The elements for traffic classes and tenants.

use crate::units::Span;
use serde::Deserialize;

fn default_weight() -> f64 {
    1.0
}

fn default_group() -> Group {
    Group::All
}

fn default_stream_limit() -> Span {
    Span::secs(300)
}

fn default_silence_limit() -> Span {
    Span::secs(10)
}

/// `<classes>`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Classes {
    #[serde(default)]
    pub class: Vec<Class>,
}

/// `<class>`: a traffic class.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Class {
    #[serde(rename = "@id")]
    pub id: String,
    #[serde(rename = "@default", default)]
    pub default: bool,
    #[serde(rename = "@effect")]
    pub effect: Effect,
    #[serde(rename = "@group", default = "default_group")]
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
    #[serde(rename = "@worth", default = "default_weight")]
    pub worth: f64,
    #[serde(rename = "@late-worth", default)]
    pub late_worth: f64,
    #[serde(rename = "@stream-limit", default = "default_stream_limit")]
    pub stream_limit: Span,
    #[serde(rename = "@silence-limit", default = "default_silence_limit")]
    pub silence_limit: Span,
}

/// `class/@effect`: whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

/// `class/@group`: the engines among which a duplicate is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Group {
    All,
    Zone,
    Rack,
}

/// `<tenants>`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Tenants {
    #[serde(rename = "@over-share-worth", default = "default_weight")]
    pub over_share_worth: f64,
    #[serde(default)]
    pub tenant: Vec<Tenant>,
}

/// `<tenant>`
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

/// `<key>`: an API key of a tenant.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Key {
    #[serde(rename = "@value")]
    pub value: String,
}
