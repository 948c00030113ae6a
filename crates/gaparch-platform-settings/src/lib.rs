//! The start-up settings, made into those of the module: one copy for the simulator's adapter, which gets them in
//! its first message, and for the router in service, which gets the same object in its configuration.

use gaparch_scheduler::api::{
    DeduplicationScope, Idempotency, Nanos, Role, ServerKind, Settings, Tenant, TrafficClass, ZoneId,
};
use serde_json::Value;

mod odd;
pub use odd::oddities;

/// The module's settings, and the names used outside for what the module knows by index.
#[derive(Clone, Debug)]
pub struct Site {
    pub settings: Settings,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report: Vec<String>,
}

/// Reads the object; what it does not say is as the module takes an absent setting.
pub fn read(env: &Value, seed: u64) -> Site {
    let base = Settings::default();
    let (caps, rules, fam) = (&env["caps"], &env["rules"], &env["familyInfo"]);
    let zones = names(&env["zones"]);
    let kinds = names(&env["flavors"]);
    let services = list(&env["services"]);
    let tenants = list(&env["tenants"]);
    let roles = list(&fam["roleByKind"]);
    let settings = Settings {
        seed,
        router_index: whole(&env["me"]).unwrap_or(0) as u32,
        router_count: whole(&env["replicasOfMe"]).unwrap_or(u64::from(base.router_count)).max(1) as u32,
        zone: index(&zones, &env["zone"]).map(ZoneId),
        classes: services.iter().enumerate().map(|(i, s)| class(s, i, fam)).collect(),
        tenants: tenants
            .iter()
            .map(|t| Tenant {
                quota_share: number(&t["fraction"]).unwrap_or(0.0),
                quota_per_second: number(&t["quotaPerS"]).unwrap_or(0.0),
            })
            .collect(),
        over_quota_priority_weight: number(&env["overShareWorth"]).unwrap_or(base.over_quota_priority_weight),
        kinds: (0..kinds.len())
            .map(|index| ServerKind {
                role: role(roles.get(index)),
                kv_capacity_tokens: list(&fam["tokensByKind"]).get(index).and_then(number).unwrap_or(0.0),
            })
            .collect(),
        decode_workers_can_prefill: flag(&fam["selfPrefill"]),
        can_reserve: flag(&fam["ahead"]),
        can_resume: flag(&fam["resume"]),
        kv_release_within: whole(&fam["releaseWithinNs"]).unwrap_or(base.kv_release_within),
        poll_endpoints: env["discovery"].as_str() == Some("ask"),
        endpoint_poll_interval: whole(&rules["askEveryNs"]).unwrap_or(base.endpoint_poll_interval),
        can_cancel: flag(&caps["cancel"]),
        can_probe: flag(&caps["probes"]),
        can_gossip: flag(&caps["peers"]),
        can_hedge: flag(&caps["mayDuplicate"]),
        can_send_retry_after: flag(&caps["retryAfter"]),
        max_retry_after: whole(&caps["maxRetryAfterNs"]).unwrap_or(base.max_retry_after),
        max_attempts: whole(&caps["maxAttempts"]).unwrap_or(u64::from(base.max_attempts)) as u32,
        connect_timeout: whole(&caps["connectTimeoutNs"]).unwrap_or(base.connect_timeout),
        drain_grace: whole(&rules["stopSendingWithinNs"]).unwrap_or(base.drain_grace),
        slow_start_speed: number(&rules["coldFrom"]).unwrap_or(base.slow_start_speed),
        slow_start_duration: whole(&rules["rampTimeNs"]).unwrap_or(base.slow_start_duration),
        overload_factor: number(&rules["overloadFactor"]).unwrap_or(base.overload_factor),
        overload_window: whole(&rules["overloadForNs"]).unwrap_or(base.overload_window),
        answer_grace: whole(&rules["answerSlackNs"]).unwrap_or(base.answer_grace),
        step: whole(&env["stepNs"]).unwrap_or(base.step),
        probe_cost: number(&env["fees"]["probe"]).unwrap_or(base.probe_cost),
        gossip_cost: number(&env["fees"]["peer"]).unwrap_or(base.gossip_cost),
    };
    Site {
        settings,
        classes: services.iter().map(|s| text(&s["name"])).collect(),
        tenants: tenants.iter().map(|t| text(&t["name"])).collect(),
        zones,
        kinds,
        report: names(&env["report"]["fields"]),
    }
}

fn class(service: &Value, index: usize, fam: &Value) -> TrafficClass {
    let us_per_k = list(&fam["aimUsPer1000PromptTokens"]).get(index).and_then(number).unwrap_or(0.0);
    TrafficClass {
        // What is not known to be harmless is taken for harmful.
        idempotency: match service["idempotency"].as_str() {
            Some("free") => Idempotency::Idempotent,
            Some("guarded") => Idempotency::WithKey,
            _ => Idempotency::NotIdempotent,
        },
        deduplication_scope: match service["dedupScope"].as_str() {
            Some("all") => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            _ => DeduplicationScope::Cell,
        },
        deduplication_window: whole(&service["dedupWindowNs"]).unwrap_or(0),
        latency_objective: whole(&service["aimNs"]).unwrap_or(0),
        latency_objective_per_prompt_token: us_per_k,
        deadline: whole(&service["deadlineNs"]).unwrap_or(0),
        token_latency_objective: list(&fam["tokenAimNs"]).get(index).and_then(whole).unwrap_or(0),
        priority_weight: number(&service["worth"]).unwrap_or(1.0),
        late_priority_weight: number(&service["lateShare"]).unwrap_or(0.0),
        streamed: service["streamed"].as_bool().unwrap_or(true),
    }
}

/// What a kind does; it does both where nothing is told, and `None` of it where the word is none of these.
fn role(value: Option<&Value>) -> Option<Role> {
    match value.filter(|v| !v.is_null()).map(Value::as_str) {
        Some(Some("read")) => Some(Role::Prefill),
        Some(Some("write")) => Some(Role::Decode),
        Some(Some("both")) | None => Some(Role::Mixed),
        Some(_) => None,
    }
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn names(value: &Value) -> Vec<String> {
    list(value).iter().map(text).collect()
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}

/// A finite number that is not negative.
pub fn number(value: &Value) -> Option<f64> {
    value.as_f64().filter(|n| n.is_finite() && *n >= 0.0)
}

/// The same as a whole number.
pub fn whole(value: &Value) -> Option<Nanos> {
    value.as_u64().or_else(|| number(value).map(|n| n as u64))
}

pub fn index(names: &[String], value: &Value) -> Option<usize> {
    let name = value.as_str()?;
    names.iter().position(|n| n == name)
}
