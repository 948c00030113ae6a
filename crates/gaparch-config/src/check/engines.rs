//! Engines and the roles that they run.

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
                self.wrong("engine", n, "zone", format!("there is no zone '{zone}'"));
            }
            if names.kind(&engine.kind).is_none() {
                self.wrong("engine", n, "kind", format!("there is no kind '{}'", engine.kind));
            }
            let other = ids.insert(server_id(&engine.id), &engine.id);
            if let Some(other) = other.filter(|o| **o != engine.id) {
                self.wrong("engine", n, "id", format!("has the same number as '{other}': choose another"));
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

    /// Without a list service, engines that are missing never come.
    fn roles(&mut self, raw: &raw::Gaparch, engines: &[raw::Engine]) {
        if raw.list.is_some() || engines.is_empty() {
            return;
        }
        let runs = |wanted: raw::Role| {
            let mut roles = engines.iter().filter_map(|engine| role_of(engine, &raw.kinds));
            roles.any(|role| role == wanted || role == raw::Role::Both)
        };
        let prefill = runs(raw::Role::Read) || raw.attempts.self_prefill;
        if !(prefill && runs(raw::Role::Write)) {
            let message = "no engine reads, or none writes: no request could be served";
            self.problems.push(Problem::at(self.nth("engines", 0), message));
        }
    }
}

fn role_of(engine: &raw::Engine, kinds: &raw::Kinds) -> Option<raw::Role> {
    kinds.kind.iter().find(|kind| kind.id == engine.kind).map(|kind| kind.role)
}
