//! The start-up settings, made into those of the module: one copy for the simulator's adapter, which gets them in
//! its first message, and for the router in service, which gets the same object in its configuration.

use gaparch_scheduler::api::{Class, Effect, Group, KindId, Nanos, Role, Settings, Tenant, ZoneId};
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
        me: whole(&env["me"]).unwrap_or(0) as u32,
        routers: whole(&env["replicasOfMe"]).unwrap_or(u64::from(base.routers)).max(1) as u32,
        zone: index(&zones, &env["zone"]).map(ZoneId),
        classes: services.iter().enumerate().map(|(i, s)| class(s, i, fam)).collect(),
        tenants: tenants
            .iter()
            .map(|t| Tenant {
                share: number(&t["fraction"]).unwrap_or(0.0),
                quota_per_s: number(&t["quotaPerS"]).unwrap_or(0.0),
            })
            .collect(),
        over_share_worth: number(&env["overShareWorth"]).unwrap_or(base.over_share_worth),
        roles: (0..kinds.len()).map(|i| role(roles.get(i)).unwrap_or_default()).collect(),
        neither: (0..kinds.len()).filter(|i| role(roles.get(*i)).is_none()).map(KindId).collect(),
        memory: (0..kinds.len())
            .map(|i| list(&fam["tokensByKind"]).get(i).and_then(number).unwrap_or(0.0))
            .collect(),
        self_prefill: flag(&fam["selfPrefill"]),
        ahead: flag(&fam["ahead"]),
        resume: flag(&fam["resume"]),
        release_within: whole(&fam["releaseWithinNs"]).unwrap_or(base.release_within),
        ask: env["discovery"].as_str() == Some("ask"),
        ask_within: whole(&rules["askEveryNs"]).unwrap_or(base.ask_within),
        cancel: flag(&caps["cancel"]),
        probes: flag(&caps["probes"]),
        peers: flag(&caps["peers"]),
        second_copies: flag(&caps["mayDuplicate"]),
        retry_after: flag(&caps["retryAfter"]),
        max_retry_after: whole(&caps["maxRetryAfterNs"]).unwrap_or(base.max_retry_after),
        max_attempts: whole(&caps["maxAttempts"]).unwrap_or(u64::from(base.max_attempts)) as u32,
        connect_timeout: whole(&caps["connectTimeoutNs"]).unwrap_or(base.connect_timeout),
        drain_grace: whole(&rules["stopSendingWithinNs"]).unwrap_or(base.drain_grace),
        cold_from: number(&rules["coldFrom"]).unwrap_or(base.cold_from),
        cold: whole(&rules["rampTimeNs"]).unwrap_or(base.cold),
        fall_multiple: number(&rules["overloadFactor"]).unwrap_or(base.fall_multiple),
        fall: whole(&rules["overloadForNs"]).unwrap_or(base.fall),
        answer_slack: whole(&rules["answerSlackNs"]).unwrap_or(base.answer_slack),
        tick: whole(&env["stepNs"]).unwrap_or(base.tick),
        probe_price: number(&env["fees"]["probe"]).unwrap_or(base.probe_price),
        peer_price: number(&env["fees"]["peer"]).unwrap_or(base.peer_price),
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

fn class(service: &Value, index: usize, fam: &Value) -> Class {
    let us_per_k = list(&fam["aimUsPer1000PromptTokens"]).get(index).and_then(number).unwrap_or(0.0);
    Class {
        // What is not known to be harmless is taken for harmful.
        effect: match service["idempotency"].as_str() {
            Some("free") => Effect::Safe,
            Some("guarded") => Effect::Keyed,
            _ => Effect::Unsafe,
        },
        group: match service["dedupScope"].as_str() {
            Some("all") => Group::All,
            Some("zone") => Group::Zone,
            _ => Group::Cell,
        },
        window: whole(&service["dedupWindowNs"]).unwrap_or(0),
        aim: whole(&service["aimNs"]).unwrap_or(0),
        aim_per_token: us_per_k,
        deadline: whole(&service["deadlineNs"]).unwrap_or(0),
        token_aim: list(&fam["tokenAimNs"]).get(index).and_then(whole).unwrap_or(0),
        worth: number(&service["worth"]).unwrap_or(1.0),
        late_worth: number(&service["lateShare"]).unwrap_or(0.0),
        streamed: service["streamed"].as_bool().unwrap_or(true),
    }
}

/// What a kind does; it does both where nothing is told, and `None` of it where the word is none of these.
fn role(value: Option<&Value>) -> Option<Role> {
    match value.filter(|v| !v.is_null()).map(Value::as_str) {
        Some(Some("read")) => Some(Role::Read),
        Some(Some("write")) => Some(Role::Write),
        Some(Some("both")) | None => Some(Role::Both),
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
