//! Converts the elements of the settings file into settings of the scheduler.

use crate::config::Names;
use crate::raw;
use gaparch_scheduler::api::{
    DeduplicationScope, Idempotency, Role, ServerKind, Settings, Tenant, TrafficClass,
};

/// Returns the scheduler's settings, with names resolved to indices.
pub(crate) fn scheduler_settings(raw: &raw::Gaparch, names: &Names) -> Settings {
    let (attempts, rules) = (&raw.attempts, &raw.rules);
    Settings {
        seed: raw.router.seed,
        router_index: raw.router.number as u32,
        router_count: raw.router.routers,
        zone: raw.router.zone.as_deref().and_then(|z| names.zone(z)),
        classes: raw.classes.class.iter().map(class).collect(),
        tenants: raw.tenants.iter().flat_map(|t| &t.tenant).map(tenant).collect(),
        over_quota_priority_weight: raw.tenants.as_ref().map_or(1.0, |t| t.over_share_worth),
        kinds: raw.kinds.kind.iter().map(server_kind).collect(),
        decode_workers_can_prefill: attempts.self_prefill,
        can_reserve: true,
        can_resume: false,
        kv_release_within: rules.release_within.0,
        poll_endpoints: raw.list.as_ref().is_some_and(|l| l.mode == raw::Mode::Ask),
        endpoint_poll_interval: raw.list.as_ref().map_or(0, |l| l.ask_within.0),
        can_cancel: attempts.cancel,
        can_probe: attempts.probes,
        can_gossip: false,
        can_hedge: false,
        can_send_retry_after: attempts.retry_after,
        max_retry_after: attempts.max_retry_after.0,
        max_attempts: attempts.most,
        connect_timeout: attempts.connect_timeout.0,
        drain_grace: rules.drain_grace.0,
        slow_start_speed: rules.cold_from,
        slow_start_duration: rules.cold.0,
        overload_factor: rules.fall_multiple,
        overload_window: rules.fall.0,
        answer_grace: rules.answer_slack.0,
        step: 0,
        probe_cost: attempts.probe_price,
        gossip_cost: 0.0,
    }
}

fn class(raw: &raw::Class) -> TrafficClass {
    TrafficClass {
        idempotency: match raw.effect {
            raw::Effect::Safe => Idempotency::Idempotent,
            raw::Effect::Keyed => Idempotency::WithKey,
            raw::Effect::Unsafe => Idempotency::NotIdempotent,
        },
        deduplication_scope: match raw.group {
            raw::Group::All => DeduplicationScope::All,
            raw::Group::Zone => DeduplicationScope::Zone,
            raw::Group::Rack => DeduplicationScope::Cell,
        },
        deduplication_window: raw.window.0,
        latency_objective: raw.aim.0,
        latency_objective_per_prompt_token: raw.aim_per_1000_tokens.0 as f64 / 1000.0,
        deadline: raw.deadline.0,
        token_latency_objective: raw.token_aim.0,
        priority_weight: raw.worth,
        late_priority_weight: raw.late_worth,
        streamed: true,
    }
}

fn tenant(raw: &raw::Tenant) -> Tenant {
    Tenant { quota_share: raw.share, quota_per_second: raw.requests_per_second }
}

fn server_kind(kind: &raw::Kind) -> ServerKind {
    ServerKind { role: Some(role(kind.role)), kv_capacity_tokens: f64::from(kind.memory_tokens) }
}

fn role(raw: raw::Role) -> Role {
    match raw {
        raw::Role::Read => Role::Prefill,
        raw::Role::Write => Role::Decode,
        raw::Role::Both => Role::Mixed,
    }
}
