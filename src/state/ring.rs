//! Consistent hashing of cells: the servers near a key, whatever the number of all.
//!
//! Each cell stands at a few points of a ring of hashes, a server without a cell by itself. The servers near a key are
//! those of the cells that follow the key's point, until there are enough of each role. So they follow from the list
//! alone, no cell is torn apart, and a cell that comes or goes changes only what is near the points around its own.
//! Where those near have no room, the way on goes past every cell once.

use super::{Server, Servers};
use crate::api::{AffinityKey, CellId, Role, ServerId};
use std::borrow::Cow;
use std::collections::HashMap;

/// How many servers near a key a request chooses among, and how these are told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Nearness {
    /// Of a role. Of a role with no more all are chosen among.
    pub enough: usize,
    /// Of the other role at most, where one is scarce.
    pub most: usize,
    /// Points of a cell on the ring: with more, keys are spread more evenly over the cells.
    pub points: u32,
    /// How much a reader at the edge is home, beside one at the key's point.
    pub edge: f64,
}

/// Where on the ring servers are looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// At a key's own point, with all points of the cells.
    Key(u64),
    /// From there on, where there was no room: once round past every cell.
    Beyond(u64),
}

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
        AffinityKey(AffinityKey(key ^ salt).rendezvous_rank(ServerId(number)))
            .rendezvous_rank(ServerId(number))
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

/// The servers near a position.
#[derive(Clone, Debug)]
pub struct Near<'a> {
    pub places: Cow<'a, Places>,
    /// Of each of the readers, by how much less it is home the further it is: a cell at the edge, which the next change
    /// of the list may push out, is home to next to nothing, so that few homes move then. Empty: all alike.
    fades: Vec<f64>,
    /// Where those follow that are not among them; `None`: all are.
    pub next: Option<Position>,
}

impl<'a> Near<'a> {
    /// All servers, which are alike.
    pub fn all(places: &'a Places) -> Near<'a> {
        Near { places: Cow::Borrowed(places), fades: Vec::new(), next: None }
    }

    pub fn fade(&self, servers: &Servers) -> Fade {
        let readers = self.places.readers.iter().zip(&self.fades);
        let of = readers.filter_map(|(place, fade)| Some((servers.by_place(*place)?.id, *fade)));
        let mut of: Vec<(ServerId, f64)> = of.collect();
        of.sort_unstable_by_key(|(id, _)| *id);
        Fade { of }
    }
}

/// How much each reader near a position is home there.
#[derive(Clone, Debug, Default)]
pub struct Fade {
    /// In the order of the ids.
    of: Vec<(ServerId, f64)>,
}

impl Fade {
    /// 1 of a reader that is not among them, and where all are alike.
    pub fn of(&self, server: ServerId) -> f64 {
        self.of.binary_search_by_key(&server, |(id, _)| *id).map_or(1.0, |at| self.of[at].1)
    }
}

/// Hashes in their order, each with the slot of its group.
#[derive(Clone, Debug, Default)]
struct Circle {
    points: Vec<(u64, usize)>,
}

impl Circle {
    fn add(&mut self, new: impl Iterator<Item = (u64, usize)>) {
        self.points.extend(new);
        // The old ones are in order already: a merge.
        self.points.sort();
    }

    /// All from a point on, once round.
    fn from(&self, point: u64) -> impl Iterator<Item = &(u64, usize)> {
        let (before, after) = self.points.split_at(self.points.partition_point(|(at, _)| *at < point));
        after.iter().chain(before)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Ring {
    /// Several points of each group, among which keys fall evenly.
    keys: Circle,
    /// One point of each group: a way past all of them.
    round: Circle,
    slots: Vec<Places>,
    slot_of: HashMap<Group, usize>,
    free: Vec<usize>,
}

impl Ring {
    /// Takes the list: `writes` is the role that is asked to write, `mixed` whether mixed servers stand beside it.
    pub fn list(&mut self, servers: &Servers, writes: Role, mixed: bool, near: Nearness) {
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
            if server.role != Role::Decode {
                places.readers.push(place);
            }
            if server.role == writes {
                places.writers.push(place);
            }
            if mixed && server.role == Role::Mixed {
                places.mixed.push(place);
            }
        }
        self.drop_empty_groups();
        if !new.is_empty() {
            let points = |(group, slot): &(Group, usize)| {
                let (group, slot) = (*group, *slot);
                (0..near.points).map(move |number| (group.point(number), slot))
            };
            self.keys.add(new.iter().flat_map(points));
            self.round.add(new.iter().map(|(group, slot)| (group.point(0), *slot)));
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
            for circle in [&mut self.keys, &mut self.round] {
                circle.points.retain(|(_, slot)| !slots[*slot].is_empty());
            }
            let free = |slot: &usize| slots[*slot].is_empty();
            self.free = (0..slots.len()).filter(free).collect();
        }
    }

    /// The servers near a position, beside `all`: of whole cells from there on, until there are enough of each role of
    /// which there are more.
    pub fn near<'a>(&self, all: &'a Places, position: Position, near: Nearness) -> Near<'a> {
        let wanted = |of: &[usize]| if of.len() > near.enough { near.enough } else { 0 };
        let (readers, writers) = (wanted(&all.readers), wanted(&all.writers));
        let mut places = Places::default();
        let mut fades = Vec::new();
        let (circle, from) = match position {
            Position::Key(point) => (&self.keys, point),
            Position::Beyond(point) => (&self.round, point),
        };
        let mut next = from;
        let mut taken = vec![false; self.slots.len()];
        for (at, slot) in circle.from(from) {
            if places.readers.len() >= readers && places.writers.len() >= writers {
                next = *at;
                break;
            }
            if std::mem::replace(&mut taken[*slot], true) {
                continue;
            }
            let group = &self.slots[*slot];
            if readers > 0 && places.readers.len() < near.most {
                let fade = 1.0 - places.readers.len() as f64 / near.enough as f64;
                places.readers.extend(&group.readers);
                fades.resize(places.readers.len(), fade.max(near.edge));
            }
            if writers > 0 && places.writers.len() < near.most {
                places.writers.extend(&group.writers);
            }
            places.mixed.extend(&group.mixed);
        }
        if readers == 0 {
            places.readers.clone_from(&all.readers);
        }
        if writers == 0 {
            places.writers.clone_from(&all.writers);
        }
        let next = match position {
            // The way round begins where the key stands.
            Position::Key(point) => Position::Beyond(point),
            Position::Beyond(_) => Position::Beyond(next),
        };
        Near { places: Cow::Owned(places), fades, next: Some(next) }
    }

    /// The servers of one cell.
    pub fn cell(&self, cell: CellId) -> Option<&Places> {
        self.slot_of.get(&Group::Cell(cell)).map(|slot| &self.slots[*slot])
    }
}
