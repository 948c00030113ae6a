//! The settings of a router of the fleet that is designed for, as the platform gives them: one object for the processes
//! and, read by the same reader, for the hollow routers.

use super::layout::{zone_name, KINDS};
use super::target;
use crate::platform;
use serde_json::{json, Value};

/// Tokens of memory of a worker.
pub const MEMORY: f64 = 700_000.0;
/// Points of service for a probe.
const PROBE_PRICE: f64 = 0.003;

/// The object for router `me` of so many, in so many zones.
pub fn of_router(me: usize, routers: usize, zones: usize) -> Value {
    let tenant = |n: usize| json!({"name": tenant_name(n), "fraction": 1.0 / target::TENANTS as f64, "quotaPerS": 0.0});
    let mut settings = platform::settings();
    let second = 1_000_000_000u64;
    settings["me"] = json!(me);
    settings["replicasOfMe"] = json!(routers);
    settings["zone"] = json!(zone_name(0));
    settings["zones"] = (0..zones).map(zone_name).collect();
    settings["flavors"] = json!(KINDS);
    settings["tenants"] = (0..target::TENANTS).map(tenant).collect();
    settings["services"][0]["aimNs"] = json!((target::FIRST_TOKEN_S * 1e9) as u64);
    settings["caps"]["maxAttempts"] = json!(4);
    settings["rules"]["coldFrom"] = json!(0.3);
    settings["rules"]["rampTimeNs"] = json!(10 * second);
    let family = &mut settings["familyInfo"];
    family["ahead"] = json!(false);
    family["releaseWithinNs"] = json!(2 * second);
    family["tokensByKind"] = json!([MEMORY, MEMORY]);
    family["tokenAimNs"] = json!([(target::TOKEN_GAP_MS * 1e6) as u64]);
    family["aimUsPer1000PromptTokens"] = json!([0.0]);
    settings["fees"]["probe"] = json!(PROBE_PRICE);
    settings
}

pub fn tenant_name(number: usize) -> String {
    format!("t{number}")
}
