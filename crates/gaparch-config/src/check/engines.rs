//! Engines and their roles.

use super::Check;
use crate::config::{server_id, EngineConfig, Names};
use crate::document::Problem;
use crate::raw;
use gaparch_scheduler::api::ServerState;
use std::collections::BTreeMap;

impl Check<'_> {
    pub(super) fn engines(&mut self, raw: &raw::Gaparch, names: &Names) -> Vec<EngineConfig> {
        let all: &[raw::Engine] = raw.engines.as_ref().map_or(&[], |e| &e.engine);
        self.unique("engine", "id", all.iter().map(|e| e.id.as_str()));
        self.unique("engine", "address", all.iter().map(|e| e.address.as_str()));
        let mut ids = BTreeMap::new();
        let mut engines = Vec::new();
        for (n, engine) in all.iter().enumerate() {
            if let Some(zone) = engine.zone.as_deref().filter(|z| names.zone(z).is_none()) {
                self.report("engine", n, "zone", format!("unknown zone '{zone}'"));
            }
            if names.kind(&engine.kind).is_none() {
                self.report("engine", n, "kind", format!("unknown kind '{}'", engine.kind));
            }
            let other = ids.insert(server_id(&engine.id), &engine.id);
            if let Some(other) = other.filter(|o| **o != engine.id) {
                self.report(
                    "engine",
                    n,
                    "id",
                    format!("has the same server id, a hash of the name, as '{other}': choose another name"),
                );
            }
            let Some(address) = self.address("engine", n, &engine.address) else { continue };
            engines.push(EngineConfig {
                name: engine.id.clone(),
                address,
                kind: engine.kind.clone(),
                zone: engine.zone.clone().unwrap_or_default(),
                rack: engine.rack.clone().unwrap_or_default(),
                weight: engine.weight,
                state: match engine.state {
                    raw::State::Ready => ServerState::Ready,
                    raw::State::Draining => ServerState::Draining,
                },
            });
        }
        self.roles(raw, all);
        engines
    }

    /// Checks that the listed engines cover prefill and decode, unless a list service may add others later.
    fn roles(&mut self, raw: &raw::Gaparch, engines: &[raw::Engine]) {
        if raw.list.is_some() || engines.is_empty() {
            return;
        }
        let has_role = |wanted: raw::Role| {
            let mut roles = engines.iter().filter_map(|engine| role_of(engine, &raw.kinds));
            roles.any(|role| role == wanted || role == raw::Role::Both)
        };
        let prefill = has_role(raw::Role::Read) || raw.attempts.self_prefill;
        if !(prefill && has_role(raw::Role::Write)) {
            let message =
                "no engine prefills (role read), or none decodes (role write): no request could be served";
            self.problems.push(Problem::at(self.nth("engines", 0), message));
        }
    }
}

fn role_of(engine: &raw::Engine, kinds: &raw::Kinds) -> Option<raw::Role> {
    kinds.kind.iter().find(|kind| kind.id == engine.kind).map(|kind| kind.role)
}
