//! Each field that a diagnostic can name.

use super::{diagnose, PlatformSettings};
use serde_json::{json, Value};

fn sound() -> Value {
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
fn each_field_that_is_not_as_it_should_be_is_named_and_nothing_else() {
    assert_eq!(diagnostics(&sound()), Vec::<String>::new());
    let cases = [
        ("/caps/maxAttempts", Value::Null, "caps.maxAttempts' is missing"),
        ("/caps/maxAttempts", json!(1), "caps.maxAttempts' is under 2"),
        ("/caps/connectTimeoutNs", json!(-3), "caps.connectTimeoutNs' is no number"),
        ("/caps/connectTimeoutNs", json!(6), "caps.connectTimeoutNs' is longer than"),
        ("/rules/coldFrom", json!("a third"), "rules.coldFrom' is no number"),
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
        ("/services/0/idempotency", json!("guarded"), "services[0].dedupScope' is none of"),
        ("/zone", json!("z"), "'settings.zone' is \"z\""),
    ];
    for (field, value, text) in cases {
        let mut object = sound();
        *object.pointer_mut(field).expect("it is there") = value;
        let lines = diagnostics(&object);
        assert!(lines.iter().any(|line| line.contains(text)), "{field}: {lines:?}");
        assert!(lines.iter().all(|line| line.starts_with("'settings.")), "{lines:?}");
    }
    // Whatever stands there, it is read, and the number of diagnostics is bounded.
    for object in [json!({}), json!({"services": 3, "flavors": {}, "caps": []}), Value::Null] {
        assert!((1..=32).contains(&diagnostics(&object).len()));
    }
    let many: Vec<Value> = (0..500).map(|_| json!({})).collect();
    assert_eq!(diagnostics(&json!({ "services": many })).len(), 32);
}

/// A kind of unknown role is no proof that a prefill and a decode take two attempts.
#[test]
fn one_attempt_is_not_named_beside_a_kind_of_unknown_role() {
    let mut object = sound();
    object["caps"]["maxAttempts"] = json!(1);
    object["familyInfo"]["roleByKind"] = json!(["read", "encode"]);
    let lines = diagnostics(&object);
    assert!(lines.iter().all(|line| !line.contains("caps.maxAttempts")), "{lines:?}");
}
