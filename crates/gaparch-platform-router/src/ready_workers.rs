//! Which workers are listed as ready, as the discovery task last read it. That task is ahead of the owner, whose queue may be
//! deep, so an attempt checks here just before its first byte.

use crate::sync::lock;
use gaparch_config::server_id;
use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_scheduler::api::{ServerId, ServerState};
use std::collections::HashMap;
use std::sync::Mutex;

/// The ready workers by id, each with the name that the id was made of. Bounded by the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct ReadyWorkers {
    /// `None` until the first endpoint list: what is sent before goes by the last known one.
    names: Mutex<Option<HashMap<ServerId, String>>>,
}

impl ReadyWorkers {
    /// Takes an endpoint list or a change of it.
    pub fn update(&self, scope: Scope, entries: &[ListEntry]) {
        let mut names = lock(&self.names);
        if scope == Scope::Full {
            *names = Some(HashMap::with_capacity(entries.len()));
        }
        let Some(names) = names.as_mut() else { return };
        for entry in entries {
            apply(names, entry);
        }
    }

    /// Whether a request may be sent to that worker, as far as the endpoint list says.
    pub fn may_receive_requests(&self, server: ServerId) -> bool {
        lock(&self.names).as_ref().is_none_or(|names| names.contains_key(&server))
    }
}

fn apply(names: &mut HashMap<ServerId, String>, entry: &ListEntry) {
    let server = server_id(&entry.engine);
    // Another worker whose name gives the same id says nothing of the one that has it.
    if names.get(&server).is_some_and(|name| *name != entry.engine) {
        return;
    }
    if entry.state == ServerState::Ready {
        names.insert(server, entry.engine.clone());
    } else {
        names.remove(&server);
    }
}

#[cfg(test)]
#[path = "ready_workers_tests.rs"]
mod tests;
