//! The table of servers: in the order of their ids, one after the other in memory, since every request walks it.

use super::Server;
use crate::api::{Nanos, ServerId};

#[derive(Clone, Debug, Default)]
pub struct Servers {
    all: Vec<Server>,
    /// By role, of the latencies of those with enough samples, when they were last compared.
    pub medians: [f64; 3],
    /// When all of them were last gone through.
    walked_at: Nanos,
}

impl Servers {
    fn place(&self, id: ServerId) -> Result<usize, usize> {
        self.all.binary_search_by_key(&id, |s| s.id)
    }

    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.place(*id).ok().map(|at| &self.all[at])
    }

    pub fn get_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.place(*id).ok().map(|at| &mut self.all[at])
    }

    /// Makes those that are not there yet, all in one go: a whole list of them one by one would move the table for each.
    /// Places told before are void then.
    pub fn insert_missing(&mut self, new: impl Iterator<Item = Server>) {
        let known = self.all.len();
        for server in new {
            if self.all[..known].binary_search_by_key(&server.id, |s| s.id).is_err() {
                self.all.push(server);
            }
        }
        if self.all.len() > known {
            // Stable: of two with one id the first stays.
            self.all.sort_by_key(|s| s.id);
            self.all.dedup_by_key(|s| s.id);
        }
    }

    /// Drops those for which it does not hold. Places told before are void then.
    pub fn retain(&mut self, keep: impl Fn(&Server) -> bool) {
        self.all.retain(keep);
    }

    /// Those at these places, in their order.
    pub fn at<'s: 'p, 'p>(&'s self, places: &'p [usize]) -> impl Iterator<Item = &'s Server> + 'p {
        places.iter().filter_map(|place| self.by_place(*place))
    }

    pub fn by_place(&self, place: usize) -> Option<&Server> {
        self.all.get(place)
    }

    /// Changes those at these places.
    pub fn change_at(&mut self, places: &[usize], mut change: impl FnMut(&mut Server)) {
        for place in places {
            self.all.get_mut(*place).into_iter().for_each(&mut change);
        }
    }

    /// Places of those for which something holds.
    pub fn places(&self, fits: impl Fn(&Server) -> bool) -> Vec<usize> {
        (0..self.all.len()).filter(|at| fits(&self.all[*at])).collect()
    }

    /// How often all servers are gone through where a step may go through so many: in each step, of more as much seldomer.
    pub fn walk_every(&self, step: Nanos, most: usize) -> Nanos {
        step * (self.all.len() / most).max(1) as Nanos
    }

    /// Whether all servers are to be gone through in this step; counts as done then.
    pub fn walk_is_due(&mut self, now: Nanos, step: Nanos, most: usize) -> bool {
        let due = now >= self.walked_at.saturating_add(self.walk_every(step, most));
        self.walked_at = if due { now } else { self.walked_at };
        due
    }

    pub fn values(&self) -> std::slice::Iter<'_, Server> {
        self.all.iter()
    }

    pub fn values_mut(&mut self) -> std::slice::IterMut<'_, Server> {
        self.all.iter_mut()
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}
