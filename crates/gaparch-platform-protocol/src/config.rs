//! The configuration file that the platform provides to a router, read at start-up and again on each SIGHUP.

use crate::endpoint_list::{EndpointList, ListLimits};
use gaparch_platform_settings::{diagnose, PlatformSettings, SettingsDiagnostic};
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// Minimum number of sockets that a router needs: listeners, discovery, signals, a few clients and workers.
const MIN_SOCKETS: u64 = 32;
/// Limit on a router's sockets if the file states none.
const DEFAULT_SOCKETS: u64 = 256;
/// Memory limit of a router in mebibytes if the file states none.
const DEFAULT_MEMORY_MB: f64 = 64.0;
const BYTES_PER_MB: f64 = 1_048_576.0;
/// Description of a valid address in error texts.
const ADDRESS: &str = "an IP address with a port";

/// The first invalid field of a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The file is not a JSON object.
    #[error("not JSON: {0}")]
    Json(String),
    /// A field is missing.
    #[error("'{0}' is missing")]
    Missing(&'static str),
    /// A field is malformed.
    #[error("'{field}' must be {expected}")]
    Invalid {
        /// Path of the field.
        field: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
}

/// The configuration of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Name of the router, for the log.
    pub name: String,
    /// Address to which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Maximum number of sockets that the router may use.
    pub sockets: usize,
    /// Maximum number of bytes of memory that the router may use.
    pub memory_bytes: usize,
    /// Limits on the size of an endpoint list, derived from the memory limit.
    pub list_limits: ListLimits,
    /// Addresses for gossip; `None` if gossip is not configured.
    pub gossip: Option<GossipAddresses>,
    /// The last endpoint list known to this router.
    pub last_known_list: Option<EndpointList>,
    /// The platform's settings object.
    pub settings: PlatformSettings,
    /// Diagnostics of the settings object: fields that are missing or malformed.
    pub diagnostics: Vec<SettingsDiagnostic>,
    /// Time after which a worker closes an idle connection, in nanoseconds; `None` if not stated.
    pub idle_close_ns: Option<u64>,
}

/// Addresses at which routers receive gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipAddresses {
    /// Address of this router.
    pub listen: SocketAddr,
    /// Address of each router, by its index.
    pub routers: Vec<SocketAddr>,
    /// Broadcast address that reaches all routers, if there is one.
    pub broadcast: Option<SocketAddr>,
}

impl RouterConfig {
    /// Parses the text of the file. If the file lacks `name`, `listen` or `discovery`, `fallback` is called
    /// with the name of the field.
    ///
    /// # Errors
    /// Returns the first field that is missing or malformed.
    pub fn from_json(
        json: &[u8],
        fallback: impl Fn(&str) -> Option<String>,
    ) -> Result<RouterConfig, ConfigError> {
        let file: Value =
            serde_json::from_slice(json).map_err(|error| ConfigError::Json(error.to_string()))?;
        if !file.is_object() {
            return Err(ConfigError::Json("expected an object".to_owned()));
        }
        let settings = read_settings(&file)?;
        let sockets = read_sockets(&file["limits"]["sockets"])?;
        let memory_bytes = read_memory_bytes(&file["limits"]["memory_mb"])?;
        Ok(RouterConfig {
            name: required_text(&file, "name", &fallback)?,
            listen: required_address(&file, "listen", &fallback)?,
            discovery: required_address(&file, "discovery", &fallback)?,
            sockets,
            memory_bytes,
            list_limits: ListLimits::for_memory(memory_bytes),
            gossip: read_gossip(&file)?,
            // An invalid list is ignored, since the discovery service provides the current one.
            last_known_list: EndpointList::from_value(&file["known"]).ok(),
            idle_close_ns: file["settings"]["caps"]["idleCloseNs"].as_u64().filter(|ns| *ns > 0),
            diagnostics: diagnose(&file["settings"], &settings),
            settings,
        })
    }
}

fn read_settings(file: &Value) -> Result<PlatformSettings, ConfigError> {
    let object = &file["settings"];
    if !object.is_object() {
        return Err(ConfigError::Missing("settings"));
    }
    let settings = PlatformSettings::read(object, read_seed(&file["seed"])?);
    if settings.classes.is_empty() {
        return Err(ConfigError::Missing("settings.services"));
    }
    if settings.kinds.is_empty() {
        return Err(ConfigError::Missing("settings.flavors"));
    }
    Ok(settings)
}

fn read_seed(value: &Value) -> Result<u64, ConfigError> {
    let error = ConfigError::Invalid { field: "seed", expected: "16 hexadecimal digits" };
    match value {
        Value::Null => Ok(0),
        Value::String(text) => u64::from_str_radix(text, 16).map_err(|_| error),
        value => value.as_u64().ok_or(error),
    }
}

fn read_sockets(value: &Value) -> Result<usize, ConfigError> {
    let error = ConfigError::Invalid { field: "limits.sockets", expected: "a whole number of at least 32" };
    let sockets = match value {
        Value::Null => DEFAULT_SOCKETS,
        value => value.as_u64().filter(|sockets| *sockets >= MIN_SOCKETS).ok_or(error)?,
    };
    Ok(usize::try_from(sockets).unwrap_or(usize::MAX))
}

fn read_memory_bytes(value: &Value) -> Result<usize, ConfigError> {
    let error = ConfigError::Invalid { field: "limits.memory_mb", expected: "a number above 0" };
    let megabytes = match value {
        Value::Null => DEFAULT_MEMORY_MB,
        value => value.as_f64().filter(|megabytes| *megabytes > 0.0).ok_or(error)?,
    };
    Ok((megabytes * BYTES_PER_MB) as usize)
}

fn required_text(
    file: &Value,
    field: &'static str,
    fallback: impl Fn(&str) -> Option<String>,
) -> Result<String, ConfigError> {
    match &file[field] {
        Value::String(text) => Ok(text.clone()),
        Value::Null => fallback(field).ok_or(ConfigError::Missing(field)),
        _ => Err(ConfigError::Invalid { field, expected: "a string" }),
    }
}

fn required_address(
    file: &Value,
    field: &'static str,
    fallback: impl Fn(&str) -> Option<String>,
) -> Result<SocketAddr, ConfigError> {
    let text = required_text(file, field, fallback)?;
    text.parse().map_err(|_| ConfigError::Invalid { field, expected: ADDRESS })
}

fn read_gossip(file: &Value) -> Result<Option<GossipAddresses>, ConfigError> {
    if file["peer_listen"].is_null() {
        return Ok(None);
    }
    let listen = read_address("peer_listen", &file["peer_listen"])?;
    let routers = file["peers"].as_array().map_or(&[][..], Vec::as_slice);
    let routers = routers.iter().map(|router| read_address("peers", router));
    Ok(Some(GossipAddresses {
        listen,
        routers: routers.collect::<Result<_, _>>()?,
        broadcast: match &file["peers_all"] {
            Value::Null => None,
            value => Some(read_address("peers_all", value)?),
        },
    }))
}

fn read_address(field: &'static str, value: &Value) -> Result<SocketAddr, ConfigError> {
    let address = value.as_str().and_then(|text| text.parse().ok());
    address.ok_or(ConfigError::Invalid { field, expected: ADDRESS })
}
