//! The platform's settings object with every key, and what an earlier build read from it, which must not
//! change.

use gaparch_platform_settings::{diagnose, PlatformSettings, SettingsDiagnostic};
use gaparch_scheduler::api::{
    DeduplicationScope, Idempotency, Role, ServerKind, Settings, Tenant, TrafficClass, ZoneId,
};
use serde_json::{json, Value};

fn every_key() -> Value {
    serde_json::from_str(
        r#"{
        "me": 2, "replicasOfMe": 5, "zone": "b", "zones": ["a", "b"],
        "flavors": ["prefill-small", "decode-small", "mixed", "encode"], "discovery": "ask", "stepNs": 100,
        "overShareWorth": 0.25,
        "tenants": [{"name": "t0", "fraction": 0.5, "quotaPerS": 12.5}, {"name": "t1"}],
        "services": [
            {"name": "chat", "idempotency": "free", "dedupScope": "all", "dedupWindowNs": 11, "aimNs": 12,
             "deadlineNs": 13, "worth": 1.5, "lateShare": 0.75, "streamed": false},
            {"name": "tool", "idempotency": "guarded", "dedupScope": "zone"},
            {"name": "pay", "idempotency": "single_shot", "dedupScope": "cell"}],
        "familyInfo": {
            "roleByKind": ["read", "write", "both", "encode"], "tokensByKind": [1000, 2000, 3000],
            "aimUsPer1000PromptTokens": [7.5], "tokenAimNs": [14, 15],
            "selfPrefill": true, "ahead": true, "resume": true, "releaseWithinNs": 16},
        "caps": {
            "cancel": true, "probes": true, "peers": true, "mayDuplicate": true, "retryAfter": true,
            "maxRetryAfterNs": 17, "maxAttempts": 18, "connectTimeoutNs": 19},
        "rules": {
            "askEveryNs": 20, "stopSendingWithinNs": 21, "coldFrom": 0.125, "rampTimeNs": 22, "overloadFactor": 2.5,
            "overloadForNs": 23, "answerSlackNs": 24},
        "fees": {"probe": 0.001, "peer": 0.002},
        "report": {"fields": ["inflight", "queue"]}}"#,
    )
    .expect("JSON")
}

#[test]
fn each_key_sets_its_field() {
    let settings = PlatformSettings::read(&every_key(), 99);
    let chat = TrafficClass {
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 11,
        latency_objective: 12,
        latency_objective_per_prompt_token: 7.5,
        deadline: 13,
        token_latency_objective: 14,
        priority_weight: 1.5,
        late_priority_weight: 0.75,
        streamed: false,
    };
    let tool = TrafficClass {
        idempotency: Idempotency::WithKey,
        deduplication_scope: DeduplicationScope::Zone,
        deduplication_window: 0,
        latency_objective: 0,
        latency_objective_per_prompt_token: 0.0,
        deadline: 0,
        token_latency_objective: 15,
        priority_weight: 1.0,
        late_priority_weight: 0.0,
        streamed: true,
    };
    let pay = TrafficClass {
        idempotency: Idempotency::NotIdempotent,
        deduplication_scope: DeduplicationScope::Cell,
        token_latency_objective: 0,
        ..tool.clone()
    };
    let expected = Settings {
        seed: 99,
        router_index: 2,
        router_count: 5,
        zone: Some(ZoneId(1)),
        classes: vec![chat, tool, pay],
        tenants: vec![
            Tenant { quota_share: 0.5, quota_per_second: 12.5 },
            Tenant { quota_share: 0.0, quota_per_second: 0.0 },
        ],
        over_quota_priority_weight: 0.25,
        kinds: vec![
            ServerKind { role: Some(Role::Prefill), kv_capacity_tokens: 1000.0 },
            ServerKind { role: Some(Role::Decode), kv_capacity_tokens: 2000.0 },
            ServerKind { role: Some(Role::Mixed), kv_capacity_tokens: 3000.0 },
            ServerKind { role: None, kv_capacity_tokens: 0.0 },
        ],
        decode_workers_can_prefill: true,
        can_reserve: true,
        can_resume: true,
        kv_release_within: 16,
        poll_endpoints: true,
        endpoint_poll_interval: 20,
        can_cancel: true,
        can_probe: true,
        can_gossip: true,
        can_hedge: true,
        can_send_retry_after: true,
        max_retry_after: 17,
        max_attempts: 18,
        connect_timeout: 19,
        drain_grace: 21,
        slow_start_speed: 0.125,
        slow_start_duration: 22,
        overload_factor: 2.5,
        overload_window: 23,
        answer_grace: 24,
        step: 100,
        probe_cost: 0.001,
        gossip_cost: 0.002,
    };
    assert_eq!(settings.scheduler, expected);
    assert_eq!(settings.classes, ["chat", "tool", "pay"]);
    assert_eq!(settings.tenants, ["t0", "t1"]);
    assert_eq!(settings.zones, ["a", "b"]);
    assert_eq!(settings.kinds, ["prefill-small", "decode-small", "mixed", "encode"]);
    assert_eq!(settings.load_report_fields, ["inflight", "queue"]);
}

#[test]
fn an_absent_key_has_the_schedulers_default() {
    let settings = PlatformSettings::read(&json!({}), 0);
    assert_eq!(settings.scheduler, Settings::default());
    assert!(
        settings.classes.is_empty() && settings.kinds.is_empty() && settings.load_report_fields.is_empty()
    );
}

/// A field of the wrong type counts as absent, and so does a negative number.
#[test]
fn an_invalid_value_counts_as_absent() {
    let mut object = every_key();
    object["rules"]["coldFrom"] = json!("a third");
    object["rules"]["rampTimeNs"] = json!(-1);
    object["caps"]["cancel"] = json!("yes");
    object["zone"] = json!("c");
    let settings = PlatformSettings::read(&object, 0).scheduler;
    let defaults = Settings::default();
    assert_eq!(settings.slow_start_speed, defaults.slow_start_speed);
    assert_eq!(
        (settings.slow_start_duration, settings.can_cancel, settings.zone),
        (defaults.slow_start_duration, false, None)
    );
}

/// The fields for which diagnostics are reported, and their order.
#[test]
fn diagnostics_name_these_fields_in_this_order() {
    let fields = |object: &Value| -> Vec<String> {
        let lines = diagnose(object, &PlatformSettings::read(object, 0));
        let field = |diagnostic: &SettingsDiagnostic| {
            let line = diagnostic.to_string();
            let path = line.strip_prefix("'settings.").expect("a field");
            path.split('\'').next().expect("the field's end").to_owned()
        };
        lines.iter().map(field).collect()
    };
    let of_every_key = [
        "familyInfo.roleByKind[3]",
        "familyInfo.tokensByKind[3]",
        "services[1].aimNs",
        "services[1].dedupWindowNs",
        "services[2].aimNs",
    ];
    assert_eq!(fields(&every_key()), of_every_key);
    let of_nothing = [
        "caps.maxAttempts",
        "caps.connectTimeoutNs",
        "familyInfo.releaseWithinNs",
        "rules.stopSendingWithinNs",
        "rules.rampTimeNs",
        "rules.coldFrom",
        "rules.overloadForNs",
        "familyInfo.roleByKind",
        "familyInfo.roleByKind",
    ];
    assert_eq!(fields(&json!({})), of_nothing);
}
