//! Consistent hashing of cells: the servers near a key, whatever the number of all.
//!
//! Each cell stands at a few points of a ring of hashes, a server without a cell by itself. The servers near a key are
//! those of the cells that follow the key's point, until there are enough of each role. So they follow from the list
//! alone, no cell is torn apart, and a cell that comes or goes changes only what is near the points around its own.

use super::{Server, Servers};
use crate::api::{CellId, Key, Role, ServerId};
use std::collections::HashMap;

/// Points of a cell: with more, keys are spread more evenly over the cells.
const POINTS: u32 = 16;

/// What stands on the ring as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Group {
    Cell(CellId),
    Alone(ServerId),
}

impl Group {
    fn of(server: &Server) -> Group {
        server.cell.map_or(Group::Alone(server.id), Group::Cell)
    }

    fn point(self, number: u32) -> u64 {
        let (key, salt) = match self {
            Group::Cell(cell) => (cell.0, 0x9e37_79b9_7f4a_7c15),
            Group::Alone(server) => (u64::from(server.0), 0xc2b2_ae3d_27d4_eb4f),
        };
        Key(Key(key ^ salt).rank(ServerId(number))).rank(ServerId(number))
    }
}

/// Places in the table of servers, by what the servers are asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Places {
    pub readers: Vec<usize>,
    pub writers: Vec<usize>,
    /// Mixed servers beside writers.
    pub mixed: Vec<usize>,
}

impl Places {
    fn is_empty(&self) -> bool {
        self.readers.is_empty() && self.writers.is_empty() && self.mixed.is_empty()
    }

    fn clear(&mut self) {
        self.readers.clear();
        self.writers.clear();
        self.mixed.clear();
    }
}

/// How many servers near a key are enough, by role; 0 where all of a role are looked at anyway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Enough {
    pub readers: usize,
    pub writers: usize,
}

/// The servers near a key, and the point from which the next ones follow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Near {
    pub places: Places,
    /// Of each reader, by how much less it is home the further it is: a cell at the edge, which the next change of the
    /// list may push out, is home to next to nothing, so that few homes move then.
    pub fades: Vec<f64>,
    pub next: u64,
}

/// The least of the fades: a reader at the edge is no home, but not impossible.
const LEAST_FADE: f64 = 1e-3;

#[derive(Clone, Debug, Default)]
pub struct Ring {
    /// Hashes in their order, each with its group's slot.
    points: Vec<(u64, usize)>,
    slots: Vec<Places>,
    slot_of: HashMap<Group, usize>,
    free: Vec<usize>,
}

impl Ring {
    /// Takes the list: `writes` is the role that is asked to write, `mixed` whether mixed servers stand beside it.
    pub fn list(&mut self, servers: &Servers, writes: Role, mixed: bool) {
        self.slots.iter_mut().for_each(Places::clear);
        let mut new = Vec::new();
        for (place, server) in servers.values().enumerate().filter(|(_, server)| server.ready) {
            let group = Group::of(server);
            let slot = match self.slot_of.get(&group) {
                Some(slot) => *slot,
                None => {
                    let slot = self.new_slot(group);
                    new.push((group, slot));
                    slot
                }
            };
            let places = &mut self.slots[slot];
            if server.role != Role::Write {
                places.readers.push(place);
            }
            if server.role == writes {
                places.writers.push(place);
            }
            if mixed && server.role == Role::Both {
                places.mixed.push(place);
            }
        }
        self.drop_empty_groups();
        if !new.is_empty() {
            let points =
                new.into_iter().flat_map(|(group, slot)| (0..POINTS).map(move |n| (group.point(n), slot)));
            self.points.extend(points);
            // The old ones are in order already: a merge.
            self.points.sort();
        }
    }

    fn new_slot(&mut self, group: Group) -> usize {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Places::default());
            self.slots.len() - 1
        });
        self.slot_of.insert(group, slot);
        slot
    }

    fn drop_empty_groups(&mut self) {
        let slots = &self.slots;
        let known = self.slot_of.len();
        self.slot_of.retain(|_, slot| !slots[*slot].is_empty());
        if self.slot_of.len() < known {
            self.points.retain(|(_, slot)| !slots[*slot].is_empty());
            let free = |slot: &usize| slots[*slot].is_empty();
            self.free = (0..slots.len()).filter(free).collect();
        }
    }

    /// From a point on, the servers of whole cells until there are enough of each role. Where one role is scarce, no
    /// more of the other are taken than several times as many as are enough.
    pub fn near(&self, point: u64, enough: Enough) -> Near {
        /// Times as many as are enough.
        const MOST: usize = 4;
        let mut near = Near { next: point, ..Near::default() };
        let places = &mut near.places;
        let mut taken = vec![false; self.slots.len()];
        let from = self.points.partition_point(|(at, _)| *at < point);
        let (before, after) = self.points.split_at(from);
        for (at, slot) in after.iter().chain(before) {
            if places.readers.len() >= enough.readers && places.writers.len() >= enough.writers {
                near.next = *at;
                break;
            }
            if std::mem::replace(&mut taken[*slot], true) {
                continue;
            }
            let group = &self.slots[*slot];
            if places.readers.len() < MOST * enough.readers {
                let fade = 1.0 - places.readers.len() as f64 / enough.readers as f64;
                places.readers.extend(&group.readers);
                near.fades.resize(places.readers.len(), fade.max(LEAST_FADE));
            }
            if places.writers.len() < MOST * enough.writers {
                places.writers.extend(&group.writers);
            }
            places.mixed.extend(&group.mixed);
        }
        near
    }

    /// The servers of one cell.
    pub fn cell(&self, cell: CellId) -> Option<&Places> {
        self.slot_of.get(&Group::Cell(cell)).map(|slot| &self.slots[*slot])
    }
}
