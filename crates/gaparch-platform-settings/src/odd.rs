//! What of the settings is missing, makes no sense or contradicts something, by field, with what is done about it.

use crate::{index, list, number, role, text, whole, Site};
use gaparch_scheduler::api::Role;
use serde_json::Value;
use std::fmt::Display;

/// Lines told at most: a file that is wrong all through needs no more.
const MOST: usize = 32;

/// One line for each field that is not as it should be; none stops a router.
pub fn oddities(env: &Value, site: &Site) -> Vec<String> {
    let mut odd = Vec::new();
    missing(env, &mut odd);
    kinds(env, site, &mut odd);
    classes(env, &mut odd);
    together(env, site, &mut odd);
    odd.truncate(MOST);
    odd
}

fn say(odd: &mut Vec<String>, field: impl Display, what: impl Display) {
    odd.push(format!("'settings.{field}' {what}"));
}

/// Figures that a router needs, and what stands for each.
fn missing(env: &Value, odd: &mut Vec<String>) {
    let needed = [
        ("caps", "maxAttempts", "a read and a write are made"),
        ("caps", "connectTimeoutNs", "a connection gets half a second"),
        ("familyInfo", "releaseWithinNs", "what is read is sent on at once or let go of"),
        ("rules", "stopSendingWithinNs", "nothing is sent to a worker once its drain is told"),
        ("rules", "rampTimeNs", "no worker counts as cold"),
        ("rules", "coldFrom", "a cold worker gets next to nothing"),
        ("rules", "overloadForNs", "a cold worker's share is counted over 0.1 s"),
    ];
    for (group, field, instead) in needed {
        let value = &env[group][field];
        if number(value).is_none() {
            let how = if value.is_null() { "is missing" } else { "is no number from 0" };
            say(odd, format_args!("{group}.{field}"), format_args!("{how}: {instead}"));
        }
    }
}

fn kinds(env: &Value, site: &Site, odd: &mut Vec<String>) {
    let (roles, memory) = (&env["familyInfo"]["roleByKind"], list(&env["familyInfo"]["tokensByKind"]));
    if roles.is_null() {
        say(odd, "familyInfo.roleByKind", "is missing: every kind reads and writes");
    }
    for (i, kind) in site.kinds.iter().enumerate() {
        if role(list(roles).get(i)).is_none() {
            let what = format!("is {}, no role: '{kind}' is sent nothing", list(roles)[i]);
            say(odd, format_args!("familyInfo.roleByKind[{i}]"), what);
        }
        if memory.get(i).and_then(number).is_none_or(|tokens| tokens <= 0.0) {
            let what = format_args!("tells no memory of '{kind}': it looks full only when it says so");
            say(odd, format_args!("familyInfo.tokensByKind[{i}]"), what);
        }
        if site.kinds[..i].contains(kind) {
            say(
                odd,
                format_args!("flavors[{i}]"),
                format_args!("names '{kind}' again: the first one counts"),
            );
        }
    }
}

fn classes(env: &Value, odd: &mut Vec<String>) {
    let mut seen: Vec<String> = Vec::new();
    for (i, class) in list(&env["services"]).iter().enumerate() {
        let field = |name: &str| format!("services[{i}].{name}");
        let name = text(&class["name"]);
        if name.is_empty() {
            say(odd, field("name"), "is missing: no request can be of this class");
        } else if seen.contains(&name) {
            say(odd, field("name"), format_args!("names '{name}' again: the first one counts"));
        }
        seen.push(name);
        if whole(&class["aimNs"]).is_none_or(|aim| aim == 0) {
            say(odd, field("aimNs"), "is missing: an answer is as good at any time until its client leaves");
        }
        let effect = class["idempotency"].as_str();
        if !matches!(effect, Some("free" | "guarded" | "single_shot")) {
            let what = format_args!(
                "is {}: a request is never sent again once it may have run",
                class["idempotency"]
            );
            say(odd, field("idempotency"), what);
        }
        if effect == Some("guarded") {
            if !matches!(class["dedupScope"].as_str(), Some("all" | "zone" | "cell")) {
                say(odd, field("dedupScope"), "is none of all, zone and cell: it is taken for cell");
            }
            if whole(&class["dedupWindowNs"]).is_none() {
                say(
                    odd,
                    field("dedupWindowNs"),
                    "is missing: a request is never sent again once it may have run",
                );
            }
        }
    }
}

/// What is sound by itself and not beside the rest.
fn together(env: &Value, site: &Site, odd: &mut Vec<String>) {
    let set = &site.settings;
    let can = |one: Role| {
        let roles = set.kinds.iter().filter_map(|kind| kind.role);
        roles.into_iter().any(|role| role == one || role == Role::Mixed)
    };
    if !can(Role::Decode) {
        say(odd, "familyInfo.roleByKind", "has no kind that writes: nothing can be served");
    } else if !can(Role::Prefill) && !set.decode_workers_can_prefill {
        say(odd, "familyInfo.roleByKind", "has no kind that reads, and writers don't: nothing can be served");
    }
    let whole_kinds =
        set.decode_workers_can_prefill || set.kinds.iter().any(|kind| kind.role == Some(Role::Mixed));
    if whole(&env["caps"]["maxAttempts"]).is_some_and(|most| most < 2) && !whole_kinds {
        say(odd, "caps.maxAttempts", "is under 2 where one reads and another writes: nothing can be served");
    }
    if set.drain_grace > 0 && set.connect_timeout > set.drain_grace {
        say(
            odd,
            "caps.connectTimeoutNs",
            "is longer than a drain's grace: a connection gets four fifths of that",
        );
    }
    if !env["zone"].is_null() && index(&site.zones, &env["zone"]).is_none() {
        say(
            odd,
            "zone",
            format_args!("is {}, none of 'settings.zones': this router stands in none", env["zone"]),
        );
    }
}

#[cfg(test)]
mod tests {
    use super::oddities;
    use serde_json::{json, Value};

    fn sound() -> Value {
        json!({"zone": "a", "zones": ["a"], "flavors": ["r", "w"],
            "services": [{"name": "chat", "idempotency": "free", "aimNs": 1}],
            "caps": {"maxAttempts": 4, "connectTimeoutNs": 1},
            "rules": {"coldFrom": 0.3, "rampTimeNs": 1, "overloadForNs": 1, "stopSendingWithinNs": 5},
            "familyInfo": {"roleByKind": ["read", "write"], "tokensByKind": [9, 9], "releaseWithinNs": 1}})
    }

    #[test]
    fn each_field_that_is_not_as_it_should_be_is_named_and_nothing_else() {
        let told = |env: &Value| oddities(env, &crate::read(env, 0));
        assert_eq!(told(&sound()), Vec::<String>::new());
        let cases = [
            ("/caps/maxAttempts", Value::Null, "caps.maxAttempts' is missing"),
            ("/caps/maxAttempts", json!(1), "caps.maxAttempts' is under 2"),
            ("/caps/connectTimeoutNs", json!(-3), "caps.connectTimeoutNs' is no number"),
            ("/caps/connectTimeoutNs", json!(6), "caps.connectTimeoutNs' is longer than"),
            ("/rules/coldFrom", json!("a third"), "rules.coldFrom' is no number"),
            ("/familyInfo/roleByKind", json!(["read", "encode"]), "familyInfo.roleByKind[1]' is \"encode\""),
            ("/familyInfo/roleByKind", json!(["read", "read"]), "has no kind that writes"),
            ("/familyInfo/roleByKind", json!(["write", "write"]), "has no kind that reads"),
            ("/familyInfo/tokensByKind", json!([9]), "familyInfo.tokensByKind[1]' tells no memory of 'w'"),
            ("/flavors", json!(["r", "r"]), "flavors[1]' names 'r' again"),
            ("/services/0/name", Value::Null, "services[0].name' is missing"),
            ("/services/0/aimNs", Value::Null, "services[0].aimNs' is missing"),
            ("/services/0/idempotency", json!("often"), "services[0].idempotency' is \"often\""),
            ("/services/0/idempotency", json!("guarded"), "services[0].dedupScope' is none of"),
            ("/zone", json!("z"), "'settings.zone' is \"z\""),
        ];
        for (field, value, said) in cases {
            let mut env = sound();
            *env.pointer_mut(field).expect("it is there") = value;
            let lines = told(&env);
            assert!(lines.iter().any(|line| line.contains(said)), "{field}: {lines:?}");
            assert!(lines.iter().all(|line| line.starts_with("'settings.")), "{lines:?}");
        }
        // Whatever stands there, it is read, and no more is said than can be read.
        for env in [json!({}), json!({"services": 3, "flavors": {}, "caps": []}), Value::Null] {
            assert!((1..=32).contains(&told(&env).len()));
        }
        let many: Vec<Value> = (0..500).map(|_| json!({})).collect();
        assert_eq!(told(&json!({ "services": many })).len(), 32);
    }
}
