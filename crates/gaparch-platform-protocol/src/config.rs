//! The configuration that the platform gives a router at its start, and again at each SIGHUP.

use crate::catalogue::{ListLimits, Members};
use gaparch_platform_settings::{diagnose, PlatformSettings, SettingsDiagnostic};
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// Descriptors a router can't do without: listeners, catalogue, signals, a few clients and workers.
const LEAST_SOCKETS: u64 = 32;
/// Where no limit is told.
const SOCKETS: u64 = 256;
/// Mebibytes of memory where no limit is told.
const MEMORY_MB: f64 = 64.0;
const MEBIBYTE: f64 = 1_048_576.0;

/// What is wrong with a configuration, by field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    #[error("not JSON: {0}")]
    Json(String),
    #[error("'{0}' is missing")]
    Missing(&'static str),
    #[error("'{field}' must be {wanted}")]
    Wrong { field: &'static str, wanted: &'static str },
}

/// All that a router is told.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub sockets: usize,
    /// What a list may hold, by the memory limit.
    pub list_limits: ListLimits,
    pub peers: Option<Peers>,
    /// The list as this router last held it.
    pub known: Option<Members>,
    pub site: PlatformSettings,
    /// What of the settings is missing or makes no sense, it stops nothing.
    pub odd: Vec<SettingsDiagnostic>,
    /// How long an idle connection to a worker lives, at its side.
    pub idle_close_ns: Option<u64>,
}

/// Where routers hear one another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    pub listen: SocketAddr,
    /// By the routers' numbers.
    pub each: Vec<SocketAddr>,
    pub all: Option<SocketAddr>,
}

impl NodeConfig {
    /// Reads the file's text. `fallback` is asked for what it lacks, by the name of the field.
    ///
    /// # Errors
    /// The first field that is missing or makes no sense.
    pub fn read(text: &[u8], fallback: impl Fn(&str) -> Option<String>) -> Result<NodeConfig, ConfigError> {
        let all: Value = serde_json::from_slice(text).map_err(|e| ConfigError::Json(e.to_string()))?;
        if !all.is_object() {
            return Err(ConfigError::Json("an object is wanted".to_owned()));
        }
        let text = |field: &'static str| match &all[field] {
            Value::String(text) => Ok(text.clone()),
            Value::Null => fallback(field).ok_or(ConfigError::Missing(field)),
            _ => Err(ConfigError::Wrong { field, wanted: "a text" }),
        };
        let address = |field: &'static str| {
            text(field)?.parse().map_err(|_| ConfigError::Wrong { field, wanted: "an address with its port" })
        };
        let settings = &all["settings"];
        if !settings.is_object() {
            return Err(ConfigError::Missing("settings"));
        }
        let site = PlatformSettings::read(settings, seed(&all["seed"])?);
        if site.classes.is_empty() {
            return Err(ConfigError::Missing("settings.services"));
        }
        if site.kinds.is_empty() {
            return Err(ConfigError::Missing("settings.flavors"));
        }
        let sockets = match &all["limits"]["sockets"] {
            Value::Null => SOCKETS,
            value => value
                .as_u64()
                .filter(|n| *n >= LEAST_SOCKETS)
                .ok_or(ConfigError::Wrong { field: "limits.sockets", wanted: "a whole number from 32" })?,
        };
        let memory_mb = match &all["limits"]["memory_mb"] {
            Value::Null => MEMORY_MB,
            value => value
                .as_f64()
                .filter(|mb| *mb > 0.0)
                .ok_or(ConfigError::Wrong { field: "limits.memory_mb", wanted: "a number above 0" })?,
        };
        Ok(NodeConfig {
            name: text("name")?,
            listen: address("listen")?,
            discovery: address("discovery")?,
            sockets: usize::try_from(sockets).unwrap_or(usize::MAX),
            list_limits: ListLimits::within_memory((memory_mb * MEBIBYTE) as usize),
            peers: peers(&all)?,
            // An old list that can't be read is none: the catalogue tells.
            known: Members::from_value(&all["known"]).ok(),
            idle_close_ns: settings["caps"]["idleCloseNs"].as_u64().filter(|ns| *ns > 0),
            odd: diagnose(settings, &site),
            site,
        })
    }
}

fn seed(value: &Value) -> Result<u64, ConfigError> {
    let wrong = ConfigError::Wrong { field: "seed", wanted: "16 hexadecimal digits" };
    match value {
        Value::Null => Ok(0),
        Value::String(text) => u64::from_str_radix(text, 16).map_err(|_| wrong),
        value => value.as_u64().ok_or(wrong),
    }
}

fn peers(all: &Value) -> Result<Option<Peers>, ConfigError> {
    let wanted = "an address with its port";
    let address = |field, value: &Value| match value.as_str().map(str::parse) {
        Some(Ok(address)) => Ok(address),
        _ => Err(ConfigError::Wrong { field, wanted }),
    };
    if all["peer_listen"].is_null() {
        return Ok(None);
    }
    let each = all["peers"].as_array().map_or(&[][..], Vec::as_slice);
    Ok(Some(Peers {
        listen: address("peer_listen", &all["peer_listen"])?,
        each: each.iter().map(|peer| address("peers", peer)).collect::<Result<_, _>>()?,
        all: match &all["peers_all"] {
            Value::Null => None,
            value => Some(address("peers_all", value)?),
        },
    }))
}
