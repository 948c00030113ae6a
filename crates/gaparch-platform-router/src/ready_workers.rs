//! The workers that the most recently read endpoint list names as ready. The discovery task updates this
//! before the owner, whose queue may be deep, handles the list. Attempts therefore check it just before they
//! send their first byte.

use crate::sync::lock;
use gaparch_config::server_id;
use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_scheduler::api::{ServerId, ServerState};
use std::collections::HashMap;
use std::sync::Mutex;

/// The ready workers by id, each with the name that the id was derived from. Bounded by the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct ReadyWorkers {
    /// `None` until the first endpoint list arrives. Until then the last known list decides alone.
    names: Mutex<Option<HashMap<ServerId, String>>>,
}

impl ReadyWorkers {
    /// Applies a full endpoint list or a delta.
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

    /// Whether the endpoint list allows requests to this worker.
    pub fn may_receive_requests(&self, server: ServerId) -> bool {
        lock(&self.names).as_ref().is_none_or(|names| names.contains_key(&server))
    }
}

fn apply(names: &mut HashMap<ServerId, String>, entry: &ListEntry) {
    let server = server_id(&entry.engine);
    // On an id collision the worker that holds the id keeps it.
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
