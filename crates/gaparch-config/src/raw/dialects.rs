//! The elements for dialects of the client protocol.

use serde::Deserialize;

fn default_dialect() -> String {
    "own".to_owned()
}

/// `<dialects>`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Dialects {
    #[serde(default)]
    pub dialect: Vec<Dialect>,
}

/// `<dialect>`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Dialect {
    #[serde(rename = "@id")]
    pub id: String,
    #[serde(rename = "@based-on", default = "default_dialect")]
    pub based_on: String,
    #[serde(default)]
    pub event: Vec<Event>,
    #[serde(default)]
    pub word: Vec<Word>,
    #[serde(default)]
    pub request: Vec<Request>,
}

/// `<event>` of a dialect.
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

/// `<field>` of an event.
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

/// `<word>`: another spelling of one of the protocol's words.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Word {
    #[serde(rename = "@of")]
    pub of: String,
    #[serde(rename = "@spelt")]
    pub spelt: String,
}

/// `<request>`: the path of a field of requests.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Request {
    #[serde(rename = "@field")]
    pub field: String,
    #[serde(rename = "@path")]
    pub path: String,
}
