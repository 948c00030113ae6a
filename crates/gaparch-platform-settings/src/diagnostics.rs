//! Diagnostics of the settings object: the fields that are missing, malformed or contradict one another, and
//! what the router does instead.

use crate::json::{index_of, items, non_negative_number, string, whole_number};
use crate::settings::read_role;
use crate::PlatformSettings;
use gaparch_scheduler::api::{Role, Settings};
use serde_json::Value;
use std::fmt;

/// Maximum number of diagnostics of one settings object. A file that is wrong throughout needs no more.
const MAX_DIAGNOSTICS: usize = 32;

/// A field of the settings object that is missing, malformed or contradictory. The router works nevertheless.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsDiagnostic {
    /// Path of the field within `settings`, for example `caps.maxAttempts`.
    pub field: String,
    /// What is wrong with the field, and what the router does instead.
    pub problem: String,
}

impl fmt::Display for SettingsDiagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "'settings.{}' {}", self.field, self.problem)
    }
}

/// A number that the settings should state.
struct RequiredNumber {
    group: &'static str,
    field: &'static str,
    /// What applies if the number is missing.
    fallback: &'static str,
}

const REQUIRED_NUMBERS: [RequiredNumber; 7] = [
    RequiredNumber {
        group: "caps",
        field: "maxAttempts",
        fallback: "a request gets one prefill and one decode attempt",
    },
    RequiredNumber {
        group: "caps",
        field: "connectTimeoutNs",
        fallback: "connecting times out after half a second",
    },
    RequiredNumber {
        group: "familyInfo",
        field: "releaseWithinNs",
        fallback: "a prefilled request is forwarded at once or its KV cache is released",
    },
    RequiredNumber {
        group: "rules",
        field: "stopSendingWithinNs",
        fallback: "nothing is sent to a worker once it is listed as draining",
    },
    RequiredNumber { group: "rules", field: "rampTimeNs", fallback: "there is no slow start" },
    RequiredNumber {
        group: "rules",
        field: "coldFrom",
        fallback: "a worker in slow start gets almost no requests at first",
    },
    RequiredNumber {
        group: "rules",
        field: "overloadForNs",
        fallback: "the load of a worker in slow start is measured over 0.1 s",
    },
];

/// Returns a diagnostic for each field that is missing, malformed or contradictory; at most 32.
pub fn diagnose(object: &Value, settings: &PlatformSettings) -> Vec<SettingsDiagnostic> {
    let mut diagnostics = Diagnostics::default();
    diagnostics.check_required_numbers(object);
    diagnostics.check_kinds(object, settings);
    diagnostics.check_classes(object);
    diagnostics.check_roles(&settings.scheduler);
    diagnostics.check_limits(object, &settings.scheduler);
    diagnostics.check_zone(object, settings);
    diagnostics.found.truncate(MAX_DIAGNOSTICS);
    diagnostics.found
}

/// The diagnostics found so far.
#[derive(Default)]
struct Diagnostics {
    found: Vec<SettingsDiagnostic>,
}

impl Diagnostics {
    fn add(&mut self, field: impl Into<String>, problem: impl Into<String>) {
        self.found.push(SettingsDiagnostic { field: field.into(), problem: problem.into() });
    }

    fn check_required_numbers(&mut self, object: &Value) {
        for RequiredNumber { group, field, fallback } in REQUIRED_NUMBERS {
            let value = &object[group][field];
            if non_negative_number(value).is_some() {
                continue;
            }
            let defect = if value.is_null() { "is missing" } else { "is not a number of at least 0" };
            self.add(format!("{group}.{field}"), format!("{defect}: {fallback}"));
        }
    }

    fn check_kinds(&mut self, object: &Value, settings: &PlatformSettings) {
        let roles = &object["familyInfo"]["roleByKind"];
        if roles.is_null() {
            self.add("familyInfo.roleByKind", "is missing: workers of every kind prefill and decode");
        }
        let capacities = items(&object["familyInfo"]["tokensByKind"]);
        for (index, kind) in settings.kinds.iter().enumerate() {
            let role = items(roles).get(index);
            if let (Some(stated), None) = (role, read_role(role)) {
                let problem = format!("is {stated}, which is not a role: kind '{kind}' gets no requests");
                self.add(format!("familyInfo.roleByKind[{index}]"), problem);
            }
            let capacity = capacities.get(index).and_then(non_negative_number);
            if capacity.is_none_or(|tokens| tokens <= 0.0) {
                let problem = format!(
                    "states no KV cache capacity of '{kind}': a worker counts as saturated only if it \
                     reports so"
                );
                self.add(format!("familyInfo.tokensByKind[{index}]"), problem);
            }
            if settings.kinds[..index].contains(kind) {
                self.add(
                    format!("flavors[{index}]"),
                    format!("repeats '{kind}': only the first one is used"),
                );
            }
        }
    }

    fn check_classes(&mut self, object: &Value) {
        let mut earlier_names: Vec<String> = Vec::new();
        for (index, class) in items(&object["services"]).iter().enumerate() {
            let field = |name: &str| format!("services[{index}].{name}");
            let name = string(&class["name"]);
            if name.is_empty() {
                self.add(field("name"), "is missing: no request can be of this class");
            } else if earlier_names.contains(&name) {
                self.add(field("name"), format!("repeats '{name}': only the first one is used"));
            }
            earlier_names.push(name);
            if whole_number(&class["aimNs"]).is_none_or(|objective| objective == 0) {
                let problem =
                    "is missing: a response has the same value at any time until its client disconnects";
                self.add(field("aimNs"), problem);
            }
            self.check_idempotency(class, field);
        }
    }

    fn check_idempotency(&mut self, class: &Value, field: impl Fn(&str) -> String) {
        const NO_RETRY: &str = "a request is never retried once it may have run";
        let idempotency = class["idempotency"].as_str();
        if !matches!(idempotency, Some("free" | "guarded" | "single_shot")) {
            self.add(field("idempotency"), format!("is {}: {NO_RETRY}", class["idempotency"]));
        }
        if idempotency != Some("guarded") {
            return;
        }
        if !matches!(class["dedupScope"].as_str(), Some("all" | "zone" | "cell")) {
            self.add(field("dedupScope"), "is not one of all, zone and cell: cell is used");
        }
        if whole_number(&class["dedupWindowNs"]).is_none() {
            self.add(field("dedupWindowNs"), format!("is missing: {NO_RETRY}"));
        }
    }

    /// Checks that the roles of all kinds together suffice to serve a request.
    fn check_roles(&mut self, settings: &Settings) {
        const FIELD: &str = "familyInfo.roleByKind";
        if !some_kind_can(settings, Role::Decode) {
            self.add(FIELD, "has no kind that decodes: no request can be served");
        } else if !some_kind_can(settings, Role::Prefill) && !settings.decode_workers_can_prefill {
            self.add(FIELD, "has no kind that prefills, and decode workers can't: no request can be served");
        }
    }

    /// Checks limits against the rest of the settings.
    fn check_limits(&mut self, object: &Value, settings: &Settings) {
        let has_mixed_kind = settings.kinds.iter().any(|kind| kind.role.unwrap_or_default() == Role::Mixed);
        let one_worker_suffices = settings.decode_workers_can_prefill || has_mixed_kind;
        let too_few = whole_number(&object["caps"]["maxAttempts"]).is_some_and(|attempts| attempts < 2);
        if too_few && !one_worker_suffices {
            let problem =
                "is below 2, but prefill and decode run on different workers: no request can be served";
            self.add("caps.maxAttempts", problem);
        }
        if settings.drain_grace > 0 && settings.connect_timeout > settings.drain_grace {
            let problem =
                "is longer than the drain grace period: connecting times out after four fifths of the period";
            self.add("caps.connectTimeoutNs", problem);
        }
    }

    fn check_zone(&mut self, object: &Value, settings: &PlatformSettings) {
        let zone = &object["zone"];
        if !zone.is_null() && index_of(&settings.zones, zone).is_none() {
            self.add(
                "zone",
                format!(
                    "is {zone}, which is not one of 'settings.zones': this router counts as being in no zone"
                ),
            );
        }
    }
}

/// Whether some kind of worker has the role `wanted` or is mixed.
fn some_kind_can(settings: &Settings, wanted: Role) -> bool {
    let mut roles = settings.kinds.iter().filter_map(|kind| kind.role);
    roles.any(|role| role == wanted || role == Role::Mixed)
}

#[cfg(test)]
#[path = "diagnostics_tests.rs"]
mod tests;
