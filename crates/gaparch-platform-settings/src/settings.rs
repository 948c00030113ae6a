//! Converts the settings object into the scheduler's settings.

use crate::json::{flag, index_of, items, non_negative_number, string, strings, whole_number};
use gaparch_scheduler::api::{
    DeduplicationScope, Idempotency, Role, ServerKind, Settings, Tenant, TrafficClass, ZoneId,
};
use serde_json::Value;

/// The scheduler's settings, and the names of what the scheduler identifies by index.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The scheduler's settings.
    pub scheduler: Settings,
    /// Names of the traffic classes, by the index of `ClassId`.
    pub classes: Vec<String>,
    /// Names of the tenants, by the index of `TenantId`.
    pub tenants: Vec<String>,
    /// Names of the zones, by the index of `ZoneId`.
    pub zones: Vec<String>,
    /// Names of the kinds of workers, by the index of `KindId`.
    pub kinds: Vec<String>,
    /// Fields of the workers' load reports, in order.
    pub load_report_fields: Vec<String>,
}

impl PlatformSettings {
    /// Reads the settings object. Fields that it does not state have the scheduler's defaults.
    pub fn read(object: &Value, seed: u64) -> PlatformSettings {
        let zones = strings(&object["zones"]);
        let kinds = strings(&object["flavors"]);
        PlatformSettings {
            scheduler: read_scheduler(object, seed, &zones, kinds.len()),
            classes: item_names(&object["services"]),
            tenants: item_names(&object["tenants"]),
            zones,
            kinds,
            load_report_fields: strings(&object["report"]["fields"]),
        }
    }
}

fn item_names(value: &Value) -> Vec<String> {
    items(value).iter().map(|item| string(&item["name"])).collect()
}

fn read_scheduler(object: &Value, seed: u64, zones: &[String], kinds: usize) -> Settings {
    let default = Settings::default();
    let (caps, rules, family) = (&object["caps"], &object["rules"], &object["familyInfo"]);
    let nanos = |value: &Value, default: u64| whole_number(value).unwrap_or(default);
    let number = |value: &Value, default: f64| non_negative_number(value).unwrap_or(default);
    let count = |value: &Value, default: u32| nanos(value, u64::from(default)) as u32;
    Settings {
        seed,
        router_index: count(&object["me"], 0),
        router_count: nanos(&object["replicasOfMe"], u64::from(default.router_count)).max(1) as u32,
        zone: index_of(zones, &object["zone"]).map(ZoneId),
        classes: read_classes(&object["services"], family),
        tenants: items(&object["tenants"]).iter().map(read_tenant).collect(),
        over_quota_priority_weight: number(&object["overShareWorth"], default.over_quota_priority_weight),
        kinds: read_kinds(family, kinds),
        decode_workers_can_prefill: flag(&family["selfPrefill"]),
        can_reserve: flag(&family["ahead"]),
        can_resume: flag(&family["resume"]),
        kv_release_within: nanos(&family["releaseWithinNs"], default.kv_release_within),
        poll_endpoints: object["discovery"].as_str() == Some("ask"),
        endpoint_poll_interval: nanos(&rules["askEveryNs"], default.endpoint_poll_interval),
        can_cancel: flag(&caps["cancel"]),
        can_probe: flag(&caps["probes"]),
        can_gossip: flag(&caps["peers"]),
        can_hedge: flag(&caps["mayDuplicate"]),
        can_send_retry_after: flag(&caps["retryAfter"]),
        max_retry_after: nanos(&caps["maxRetryAfterNs"], default.max_retry_after),
        max_attempts: count(&caps["maxAttempts"], default.max_attempts),
        connect_timeout: nanos(&caps["connectTimeoutNs"], default.connect_timeout),
        drain_grace: nanos(&rules["stopSendingWithinNs"], default.drain_grace),
        slow_start_speed: number(&rules["coldFrom"], default.slow_start_speed),
        slow_start_duration: nanos(&rules["rampTimeNs"], default.slow_start_duration),
        overload_factor: number(&rules["overloadFactor"], default.overload_factor),
        overload_window: nanos(&rules["overloadForNs"], default.overload_window),
        answer_grace: nanos(&rules["answerSlackNs"], default.answer_grace),
        step: nanos(&object["stepNs"], default.step),
        probe_cost: number(&object["fees"]["probe"], default.probe_cost),
        gossip_cost: number(&object["fees"]["peer"], default.gossip_cost),
    }
}

fn read_classes(services: &Value, family: &Value) -> Vec<TrafficClass> {
    let per_thousand_prompt_tokens = items(&family["aimUsPer1000PromptTokens"]);
    let token_objectives = items(&family["tokenAimNs"]);
    let read = |(index, service)| TrafficClass {
        // Microseconds per 1,000 tokens are nanoseconds per token.
        latency_objective_per_prompt_token: per_thousand_prompt_tokens
            .get(index)
            .and_then(non_negative_number)
            .unwrap_or(0.0),
        token_latency_objective: token_objectives.get(index).and_then(whole_number).unwrap_or(0),
        ..read_class(service)
    };
    items(services).iter().enumerate().map(read).collect()
}

/// Reads a class without its objectives per token, which are in `familyInfo`.
fn read_class(service: &Value) -> TrafficClass {
    TrafficClass {
        idempotency: read_idempotency(&service["idempotency"]),
        deduplication_scope: read_deduplication_scope(&service["dedupScope"]),
        deduplication_window: whole_number(&service["dedupWindowNs"]).unwrap_or(0),
        latency_objective: whole_number(&service["aimNs"]).unwrap_or(0),
        latency_objective_per_prompt_token: 0.0,
        deadline: whole_number(&service["deadlineNs"]).unwrap_or(0),
        token_latency_objective: 0,
        priority_weight: non_negative_number(&service["worth"]).unwrap_or(1.0),
        late_priority_weight: non_negative_number(&service["lateShare"]).unwrap_or(0.0),
        streamed: service["streamed"].as_bool().unwrap_or(true),
    }
}

/// Reads whether a request may run twice. An unknown value counts as not idempotent.
fn read_idempotency(value: &Value) -> Idempotency {
    match value.as_str() {
        Some("free") => Idempotency::Idempotent,
        Some("guarded") => Idempotency::WithKey,
        _ => Idempotency::NotIdempotent,
    }
}

/// Reads the scope within which workers drop duplicates. An unknown value counts as the smallest scope.
fn read_deduplication_scope(value: &Value) -> DeduplicationScope {
    match value.as_str() {
        Some("all") => DeduplicationScope::All,
        Some("zone") => DeduplicationScope::Zone,
        _ => DeduplicationScope::Cell,
    }
}

fn read_tenant(tenant: &Value) -> Tenant {
    Tenant {
        quota_share: non_negative_number(&tenant["fraction"]).unwrap_or(0.0),
        quota_per_second: non_negative_number(&tenant["quotaPerS"]).unwrap_or(0.0),
    }
}

fn read_kinds(family: &Value, count: usize) -> Vec<ServerKind> {
    let roles = items(&family["roleByKind"]);
    let capacities = items(&family["tokensByKind"]);
    let read = |index: usize| ServerKind {
        role: read_role(roles.get(index)),
        kv_capacity_tokens: capacities.get(index).and_then(non_negative_number).unwrap_or(0.0),
    };
    (0..count).map(read).collect()
}

/// Reads the role of a kind: mixed if none is stated, `None` for an unknown role.
pub(crate) fn read_role(value: Option<&Value>) -> Option<Role> {
    let stated = value.filter(|value| !value.is_null());
    let Some(stated) = stated else { return Some(Role::Mixed) };
    match stated.as_str() {
        Some("read") => Some(Role::Prefill),
        Some("write") => Some(Role::Decode),
        Some("both") => Some(Role::Mixed),
        _ => None,
    }
}
