//! The fields for which diagnostics are reported.

use super::{diagnose, PlatformSettings};
use serde_json::{json, Value};

fn valid_settings() -> Value {
    json!({"zone": "a", "zones": ["a"], "flavors": ["r", "w"],
        "services": [{"name": "chat", "idempotency": "free", "aimNs": 1}],
        "caps": {"maxAttempts": 4, "connectTimeoutNs": 1},
        "rules": {"coldFrom": 0.3, "rampTimeNs": 1, "overloadForNs": 1, "stopSendingWithinNs": 5},
        "familyInfo": {"roleByKind": ["read", "write"], "tokensByKind": [9, 9], "releaseWithinNs": 1}})
}

fn diagnostics(object: &Value) -> Vec<String> {
    let diagnostics = diagnose(object, &PlatformSettings::read(object, 0));
    diagnostics.iter().map(ToString::to_string).collect()
}

#[test]
fn each_missing_invalid_or_contradictory_field_is_reported_and_no_valid_one() {
    assert_eq!(diagnostics(&valid_settings()), Vec::<String>::new());
    let cases = [
        ("/caps/maxAttempts", Value::Null, "caps.maxAttempts' is missing"),
        ("/caps/maxAttempts", json!(1), "caps.maxAttempts' is below 2"),
        ("/caps/connectTimeoutNs", json!(-3), "caps.connectTimeoutNs' is not a number of at least 0"),
        ("/caps/connectTimeoutNs", json!(6), "caps.connectTimeoutNs' is longer than"),
        ("/rules/coldFrom", json!("a third"), "rules.coldFrom' is not a number of at least 0"),
        ("/familyInfo/roleByKind", json!(["read", "encode"]), "familyInfo.roleByKind[1]' is \"encode\""),
        ("/familyInfo/roleByKind", json!(["read", "read"]), "has no kind that decodes"),
        ("/familyInfo/roleByKind", json!(["write", "write"]), "has no kind that prefills"),
        (
            "/familyInfo/tokensByKind",
            json!([9]),
            "familyInfo.tokensByKind[1]' states no KV cache capacity of 'w'",
        ),
        ("/flavors", json!(["r", "r"]), "flavors[1]' repeats 'r'"),
        ("/services/0/name", Value::Null, "services[0].name' is missing"),
        ("/services/0/aimNs", Value::Null, "services[0].aimNs' is missing"),
        ("/services/0/idempotency", json!("often"), "services[0].idempotency' is \"often\""),
        ("/services/0/idempotency", json!("guarded"), "services[0].dedupScope' is not one of"),
        ("/zone", json!("z"), "'settings.zone' is \"z\""),
    ];
    for (field, value, text) in cases {
        let mut object = valid_settings();
        *object.pointer_mut(field).expect("the field") = value;
        let lines = diagnostics(&object);
        assert!(lines.iter().any(|line| line.contains(text)), "{field}: {lines:?}");
        assert!(lines.iter().all(|line| line.starts_with("'settings.")), "{lines:?}");
    }
    // Any object can be read, and the number of diagnostics is limited.
    for object in [json!({}), json!({"services": 3, "flavors": {}, "caps": []}), Value::Null] {
        assert!((1..=32).contains(&diagnostics(&object).len()));
    }
    let many: Vec<Value> = (0..500).map(|_| json!({})).collect();
    assert_eq!(diagnostics(&json!({ "services": many })).len(), 32);
}

/// A kind of unknown role does not prove that prefill and decode need two attempts.
#[test]
fn a_limit_of_one_attempt_is_not_reported_if_a_kind_has_an_unknown_role() {
    let mut object = valid_settings();
    object["caps"]["maxAttempts"] = json!(1);
    object["familyInfo"]["roleByKind"] = json!(["read", "encode"]);
    let lines = diagnostics(&object);
    assert!(lines.iter().all(|line| !line.contains("caps.maxAttempts")), "{lines:?}");
}
