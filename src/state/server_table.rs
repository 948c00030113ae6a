//! The table of servers: in the order of their ids, one after the other in memory, since every
//! request walks it.

use super::{PerRole, Server};
use crate::api::{Nanos, Role, ServerId};

/// The servers, in the order of their ids, with what was last computed over all of them.
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

    /// The server with that id.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.position(id).ok().map(|index| &self.servers[index])
    }

    /// The server with that id, to be changed.
    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.position(id).ok().map(|index| &mut self.servers[index])
    }

    /// Inserts those that are missing, all at once: one by one, each would move the table. Indices
    /// are void then.
    pub fn insert_missing(&mut self, new: impl Iterator<Item = Server>) {
        let known = self.servers.len();
        for server in new {
            let found = self.servers[..known].binary_search_by_key(&server.id, |known| known.id);
            if found.is_err() {
                self.servers.push(server);
            }
        }
        if self.servers.len() > known {
            // The sort is stable: of two with one id the first stays.
            self.servers.sort_by_key(|server| server.id);
            self.servers.dedup_by_key(|server| server.id);
        }
    }

    /// Drops those for which `keep` does not hold. Indices are void then.
    pub fn retain(&mut self, keep: impl Fn(&Server) -> bool) {
        self.servers.retain(keep);
    }

    /// The servers at these indices, in their order.
    pub fn at<'s: 'p, 'p>(&'s self, indices: &'p [usize]) -> impl Iterator<Item = &'s Server> + 'p {
        indices.iter().filter_map(|index| self.by_index(*index))
    }

    /// The server at an index.
    pub fn by_index(&self, index: usize) -> Option<&Server> {
        self.servers.get(index)
    }

    /// Changes the servers at these indices.
    pub fn change_at(&mut self, indices: &[usize], mut change: impl FnMut(&mut Server)) {
        for index in indices {
            if let Some(server) = self.servers.get_mut(*index) {
                change(server);
            }
        }
    }

    /// The indices of the servers that match.
    pub fn indices(&self, matches: impl Fn(&Server) -> bool) -> Vec<usize> {
        (0..self.servers.len()).filter(|index| matches(&self.servers[*index])).collect()
    }

    /// The time between two sweeps over all servers, where one step may go through so many of them.
    pub fn sweep_interval(&self, step: Nanos, servers_per_step: usize) -> Nanos {
        step * (self.servers.len() / servers_per_step).max(1) as Nanos
    }

    /// Whether a sweep over all servers is due in this step; if so it counts as done.
    pub fn begin_sweep_if_due(&mut self, now: Nanos, step: Nanos, servers_per_step: usize) -> bool {
        let interval = self.sweep_interval(step, servers_per_step);
        let is_due = now >= self.swept_at.saturating_add(interval);
        if is_due {
            self.swept_at = now;
        }
        is_due
    }

    /// The median latency of a role as it was last computed; 0 before.
    pub fn median_latency(&self, role: Role) -> f64 {
        *self.median_latencies.get(role)
    }

    /// Keeps the median latency of a role.
    pub fn set_median_latency(&mut self, role: Role, median: f64) {
        *self.median_latencies.get_mut(role) = median;
    }

    /// All servers, in the order of their ids.
    pub fn iter(&self) -> std::slice::Iter<'_, Server> {
        self.servers.iter()
    }

    /// All servers, to be changed, in the order of their ids.
    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, Server> {
        self.servers.iter_mut()
    }

    /// The number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// There is no server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
