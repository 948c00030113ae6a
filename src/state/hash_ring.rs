//! Consistent hashing of cells: the servers near a key, whatever the number of all.
//!
//! Each cell stands at a few points of a ring of hashes, a server without a cell by itself. The
//! neighbourhood of a key is made of the cells that follow the key's point, until there are enough
//! servers of each role. So it follows from the endpoint list alone, no cell is torn apart, and a
//! cell that comes or goes changes only the neighbourhoods around its own points. Where a
//! neighbourhood has no capacity, the search continues past every cell once.

use super::{Server, ServerTable};
use crate::api::{AffinityKey, CellId, Role, ServerId};
use std::borrow::Cow;
use std::collections::HashMap;

/// The bounds of a neighbourhood.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NeighborhoodLimits {
    /// Servers of a role that are enough. Of a role with no more all are taken.
    pub target_servers: usize,
    /// The most servers of a role that are taken while the other one is scarce.
    pub max_servers: usize,
    /// Points of a cell on the ring: with more, keys are spread more evenly over the cells.
    pub points_per_cell: u32,
    /// The distance weight of a prefill worker at the edge; one at the key's own point has 1.
    pub edge_weight: f64,
}

/// Where on the ring servers are looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RingPosition {
    /// At a key's own point, on the ring with all points of the cells.
    Key(u64),
    /// From there on, on the ring with one point of each cell: where the key's own neighbourhood
    /// had no capacity.
    Beyond(u64),
}

/// What stands on the ring as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum RingMember {
    Cell(CellId),
    Server(ServerId),
}

/// Keeps the points of a cell apart from those of a server with the same number.
const CELL_SALT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Keeps the points of a server apart from those of a cell with the same number.
const SERVER_SALT: u64 = 0xc2b2_ae3d_27d4_eb4f;

impl RingMember {
    fn of(server: &Server) -> RingMember {
        server.listing.cell.map_or(RingMember::Server(server.id), RingMember::Cell)
    }

    fn point(self, number: u32) -> u64 {
        let salted = match self {
            RingMember::Cell(cell) => cell.0 ^ CELL_SALT,
            RingMember::Server(server) => u64::from(server.0) ^ SERVER_SALT,
        };
        let number = ServerId(number);
        AffinityKey(AffinityKey(salted).rendezvous_rank(number)).rendezvous_rank(number)
    }
}

/// Indices into the table of servers, by what the servers are asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerIndices {
    /// Servers that prefill.
    pub prefill: Vec<usize>,
    /// Servers that decode.
    pub decode: Vec<usize>,
    /// Mixed servers beside decode workers.
    pub mixed: Vec<usize>,
}

impl ServerIndices {
    fn is_empty(&self) -> bool {
        self.prefill.is_empty() && self.decode.is_empty() && self.mixed.is_empty()
    }

    fn clear(&mut self) {
        self.prefill.clear();
        self.decode.clear();
        self.mixed.clear();
    }
}

/// The servers near a position.
#[derive(Clone, Debug)]
pub struct Neighborhood<'a> {
    /// The servers.
    pub servers: Cow<'a, ServerIndices>,
    /// For each prefill worker its distance weight: a cell at the edge, which the next change of
    /// the list may push out, attracts next to nothing, so that few keys move then. Empty: all
    /// weigh alike.
    prefill_weights: Vec<f64>,
    /// Where the search continues; `None`: all servers are in it.
    pub next: Option<RingPosition>,
}

impl<'a> Neighborhood<'a> {
    /// All servers, which weigh alike.
    pub fn all(servers: &'a ServerIndices) -> Neighborhood<'a> {
        Neighborhood { servers: Cow::Borrowed(servers), prefill_weights: Vec::new(), next: None }
    }

    /// The distance weights of its prefill workers.
    pub fn distance_weights(&self, table: &ServerTable) -> DistanceWeights {
        let weighted = self.servers.prefill.iter().zip(&self.prefill_weights);
        let by_id = weighted.filter_map(|(index, weight)| Some((table.by_index(*index)?.id, *weight)));
        let mut by_id: Vec<(ServerId, f64)> = by_id.collect();
        by_id.sort_unstable_by_key(|(id, _)| *id);
        DistanceWeights { by_id }
    }
}

/// How much affinity each prefill worker of a neighbourhood attracts there, by its distance from
/// the key.
#[derive(Clone, Debug, Default)]
pub struct DistanceWeights {
    /// In the order of the ids.
    by_id: Vec<(ServerId, f64)>,
}

impl DistanceWeights {
    /// The weight of a server, in (0, 1]; 1 if it is not among them, or all weigh alike.
    pub fn of(&self, server: ServerId) -> f64 {
        let found = self.by_id.binary_search_by_key(&server, |(id, _)| *id);
        found.map_or(1.0, |index| self.by_id[index].1)
    }
}

/// A point on the ring, with the slot of the member that stands there.
type RingPoint = (u64, usize);

/// Points in their order.
#[derive(Clone, Debug, Default)]
struct Circle {
    points: Vec<RingPoint>,
}

impl Circle {
    fn add(&mut self, new: impl Iterator<Item = RingPoint>) {
        self.points.extend(new);
        // The old ones are in order already: a merge.
        self.points.sort();
    }

    /// All from a point on, once round.
    fn from(&self, point: u64) -> impl Iterator<Item = &RingPoint> {
        let start = self.points.partition_point(|(at, _)| *at < point);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before)
    }
}

/// The cells and servers on the ring. Members keep their slot while they are listed.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    /// Several points of each member, among which keys fall evenly.
    by_key: Circle,
    /// One point of each member: a way past all of them.
    beyond: Circle,
    slots: Vec<ServerIndices>,
    slot_of: HashMap<RingMember, usize>,
    free_slots: Vec<usize>,
}

impl HashRing {
    /// Takes the listed servers. `decode_role` is the role that is asked to decode,
    /// `mixed_beside_decode` whether mixed servers stand beside it.
    pub fn update(
        &mut self,
        servers: &ServerTable,
        decode_role: Role,
        mixed_beside_decode: bool,
        limits: NeighborhoodLimits,
    ) {
        self.slots.iter_mut().for_each(ServerIndices::clear);
        let mut new_members = Vec::new();
        for (index, server) in servers.iter().enumerate() {
            if !server.listing.is_ready() {
                continue;
            }
            let member = RingMember::of(server);
            let slot = self.slot_of.get(&member).copied().unwrap_or_else(|| {
                let slot = self.add_member(member);
                new_members.push((member, slot));
                slot
            });
            let indices = &mut self.slots[slot];
            let role = server.listing.role;
            if role != Role::Decode {
                indices.prefill.push(index);
            }
            if role == decode_role {
                indices.decode.push(index);
            }
            if mixed_beside_decode && role == Role::Mixed {
                indices.mixed.push(index);
            }
        }
        self.drop_empty_members();
        self.add_points(&new_members, limits.points_per_cell);
    }

    fn add_member(&mut self, member: RingMember) -> usize {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(ServerIndices::default());
            self.slots.len() - 1
        });
        self.slot_of.insert(member, slot);
        slot
    }

    fn add_points(&mut self, members: &[(RingMember, usize)], points_per_cell: u32) {
        if members.is_empty() {
            return;
        }
        let points = members.iter().flat_map(|(member, slot)| {
            let (member, slot) = (*member, *slot);
            (0..points_per_cell).map(move |number| (member.point(number), slot))
        });
        self.by_key.add(points);
        self.beyond.add(members.iter().map(|(member, slot)| (member.point(0), *slot)));
    }

    fn drop_empty_members(&mut self) {
        let slots = &self.slots;
        let known = self.slot_of.len();
        self.slot_of.retain(|_, slot| !slots[*slot].is_empty());
        if self.slot_of.len() == known {
            return;
        }
        for circle in [&mut self.by_key, &mut self.beyond] {
            circle.points.retain(|(_, slot)| !slots[*slot].is_empty());
        }
        let is_free = |slot: &usize| slots[*slot].is_empty();
        self.free_slots = (0..slots.len()).filter(is_free).collect();
    }

    /// The neighbourhood of a position among `all` servers: those of whole cells from there on,
    /// until there are enough of each role of which there are more.
    pub fn neighborhood<'a>(
        &self,
        all: &'a ServerIndices,
        position: RingPosition,
        limits: NeighborhoodLimits,
    ) -> Neighborhood<'a> {
        let wanted =
            |servers: &[usize]| if servers.len() > limits.target_servers { limits.target_servers } else { 0 };
        let (wanted_prefill, wanted_decode) = (wanted(&all.prefill), wanted(&all.decode));
        let mut servers = ServerIndices::default();
        let mut prefill_weights = Vec::new();
        let (circle, start) = match position {
            RingPosition::Key(point) => (&self.by_key, point),
            RingPosition::Beyond(point) => (&self.beyond, point),
        };
        let mut end = start;
        let mut taken = vec![false; self.slots.len()];
        for (point, slot) in circle.from(start) {
            if servers.prefill.len() >= wanted_prefill && servers.decode.len() >= wanted_decode {
                end = *point;
                break;
            }
            if std::mem::replace(&mut taken[*slot], true) {
                continue;
            }
            let member = &self.slots[*slot];
            if wanted_prefill > 0 && servers.prefill.len() < limits.max_servers {
                let weight = 1.0 - servers.prefill.len() as f64 / limits.target_servers as f64;
                servers.prefill.extend(&member.prefill);
                prefill_weights.resize(servers.prefill.len(), weight.max(limits.edge_weight));
            }
            if wanted_decode > 0 && servers.decode.len() < limits.max_servers {
                servers.decode.extend(&member.decode);
            }
            servers.mixed.extend(&member.mixed);
        }
        if wanted_prefill == 0 {
            servers.prefill.clone_from(&all.prefill);
        }
        if wanted_decode == 0 {
            servers.decode.clone_from(&all.decode);
        }
        let next = match position {
            // The way past all cells begins where the key stands.
            RingPosition::Key(point) => RingPosition::Beyond(point),
            RingPosition::Beyond(_) => RingPosition::Beyond(end),
        };
        Neighborhood { servers: Cow::Owned(servers), prefill_weights, next: Some(next) }
    }

    /// The servers of one cell.
    pub fn cell(&self, cell: CellId) -> Option<&ServerIndices> {
        let slot = self.slot_of.get(&RingMember::Cell(cell))?;
        Some(&self.slots[*slot])
    }
}
