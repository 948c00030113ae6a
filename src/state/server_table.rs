//! The table of servers, sorted by id and stored contiguously, since every request iterates over it.

use super::{PerRole, Server};
use crate::api::{Nanos, Role, ServerId};

/// The servers sorted by id, with the last median latency of each role and the time of the last sweep.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: Vec<Server>,
    median_latencies: PerRole<f64>,
    swept_at: Nanos,
}

impl ServerTable {
    fn position(&self, id: ServerId) -> Result<usize, usize> {
        self.servers.binary_search_by_key(&id, |server| server.id)
    }

    /// The server with this id.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.position(id).ok().map(|index| &self.servers[index])
    }

    /// A mutable reference to the server with this id.
    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.position(id).ok().map(|index| &mut self.servers[index])
    }

    /// Inserts the servers that are missing, in one batch: inserting one by one would shift the table each
    /// time. Invalidates indices.
    pub fn insert_missing(&mut self, new: impl Iterator<Item = Server>) {
        let count_before = self.servers.len();
        for server in new {
            let found = self.servers[..count_before].binary_search_by_key(&server.id, |existing| existing.id);
            if found.is_err() {
                self.servers.push(server);
            }
        }
        if self.servers.len() > count_before {
            // The sort is stable: of two servers with the same id the first is kept.
            self.servers.sort_by_key(|server| server.id);
            self.servers.dedup_by_key(|server| server.id);
        }
    }

    /// Removes the servers for which `keep` is false. Invalidates indices.
    pub fn retain(&mut self, keep: impl Fn(&Server) -> bool) {
        self.servers.retain(keep);
    }

    /// The servers at these indices, in the order of the indices.
    pub fn at<'s: 'p, 'p>(&'s self, indices: &'p [usize]) -> impl Iterator<Item = &'s Server> + 'p {
        indices.iter().filter_map(|index| self.by_index(*index))
    }

    /// The server at an index.
    pub fn by_index(&self, index: usize) -> Option<&Server> {
        self.servers.get(index)
    }

    /// Applies a change to the servers at these indices.
    pub fn change_at(&mut self, indices: &[usize], mut change: impl FnMut(&mut Server)) {
        for index in indices {
            if let Some(server) = self.servers.get_mut(*index) {
                change(server);
            }
        }
    }

    /// The indices of the servers for which `matches` is true.
    pub fn indices(&self, matches: impl Fn(&Server) -> bool) -> Vec<usize> {
        (0..self.servers.len()).filter(|index| matches(&self.servers[*index])).collect()
    }

    /// The time between two sweeps over all servers: one `step` per `servers_per_step` servers, which bounds
    /// the average work per step.
    pub fn sweep_interval(&self, step: Nanos, servers_per_step: usize) -> Nanos {
        step * (self.servers.len() / servers_per_step).max(1) as Nanos
    }

    /// Whether a sweep over all servers is due in this step; if so, records it as done.
    pub fn begin_sweep_if_due(&mut self, now: Nanos, step: Nanos, servers_per_step: usize) -> bool {
        let interval = self.sweep_interval(step, servers_per_step);
        let is_due = now >= self.swept_at.saturating_add(interval);
        if is_due {
            self.swept_at = now;
        }
        is_due
    }

    /// The last computed median latency of a role; 0 if none was computed yet.
    pub fn median_latency(&self, role: Role) -> f64 {
        *self.median_latencies.get(role)
    }

    /// Stores the median latency of a role.
    pub fn set_median_latency(&mut self, role: Role, median: f64) {
        *self.median_latencies.get_mut(role) = median;
    }

    /// All servers, ordered by id.
    pub fn iter(&self) -> std::slice::Iter<'_, Server> {
        self.servers.iter()
    }

    /// All servers as mutable references, ordered by id.
    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, Server> {
        self.servers.iter_mut()
    }

    /// The number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there is no server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
