//! The table of servers: in the order of their ids, one after the other in memory, since every request walks it.

use super::Server;
use crate::api::ServerId;

#[derive(Clone, Debug, Default)]
pub struct Servers {
    all: Vec<Server>,
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

    /// The server of that id, made if there is none. Places told before are void then.
    pub fn get_or_insert(&mut self, id: ServerId, make: impl FnOnce() -> Server) -> &mut Server {
        let at = self.place(id).unwrap_or_else(|at| {
            self.all.insert(at, make());
            at
        });
        &mut self.all[at]
    }

    /// Drops those for which it does not hold. Places told before are void then.
    pub fn retain(&mut self, keep: impl Fn(&Server) -> bool) {
        self.all.retain(keep);
    }

    /// Those at these places, in their order.
    pub fn at<'s>(&'s self, places: &'s [usize]) -> impl Iterator<Item = &'s Server> {
        places.iter().filter_map(|at| self.all.get(*at))
    }

    /// Places of those for which something holds.
    pub fn places(&self, fits: impl Fn(&Server) -> bool) -> Vec<usize> {
        (0..self.all.len()).filter(|at| fits(&self.all[*at])).collect()
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
