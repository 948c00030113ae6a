//! Consistent hashing of cells: finds the servers near a key, independently of the size of the fleet.
//!
//! Each cell has several points on a hash ring; a server without a cell is a member of its own. The
//! neighbourhood of a key consists of the cells that follow the key's point on the ring, up to the target
//! number of servers per role. It therefore depends on the endpoint list alone, never splits a cell, and a
//! cell that is added or removed changes only the neighbourhoods around its own points. If a neighbourhood
//! has no capacity, the search continues on a second ring with one point per cell, which visits every cell
//! once.

use super::{Server, ServerTable};
use crate::api::{AffinityKey, CellId, Role, ServerId};
use std::borrow::Cow;
use std::collections::HashMap;

/// The size limits and weights of a neighbourhood.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NeighborhoodLimits {
    /// The number of servers per role at which a neighbourhood is complete. If a role has no more servers
    /// than this, all of them are included.
    pub target_servers: usize,
    /// Once a role has this many servers, further cells add none of it, even while the other role is still
    /// below its target.
    pub max_servers: usize,
    /// Points per cell on the ring; more points spread keys more evenly over the cells.
    pub points_per_cell: u32,
    /// The minimum distance weight, for prefill workers at the edge; the nearest ones have weight 1.
    pub edge_weight: f64,
}

/// Where on the ring the search for servers starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RingPosition {
    /// At the point of a key, on the ring with all points of each cell.
    Key(u64),
    /// At a point of the ring with one point per cell, after the key's own neighbourhood had no capacity.
    Fallback(u64),
}

/// A member of the ring: a cell, or a server without a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum RingMember {
    Cell(CellId),
    Server(ServerId),
}

/// Separates the points of a cell from those of a server with the same id.
const CELL_SALT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Separates the points of a server from those of a cell with the same id.
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

/// Indices into the server table, by the work that the servers are asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerIndices {
    /// Servers that prefill: prefill workers and mixed servers.
    pub prefill: Vec<usize>,
    /// Servers that decode for prefill workers.
    pub decode: Vec<usize>,
    /// Mixed servers, if there are also decode workers.
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

/// The servers near a ring position.
#[derive(Clone, Debug)]
pub struct Neighborhood<'a> {
    /// The servers.
    pub servers: Cow<'a, ServerIndices>,
    /// The distance weight of each prefill worker. A cell at the edge may drop out of the neighbourhood with
    /// the next change of the endpoint list; its low weight keeps the number of keys that move then small.
    /// Empty if all weights are equal.
    prefill_weights: Vec<f64>,
    /// Where the search continues; `None` if the neighbourhood has all servers.
    pub next: Option<RingPosition>,
}

impl<'a> Neighborhood<'a> {
    /// All servers, with equal weights.
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

/// The distance weights of the prefill workers of a neighbourhood: how much affinity each attracts,
/// decreasing with its distance from the key.
#[derive(Clone, Debug, Default)]
pub struct DistanceWeights {
    /// Sorted by id.
    by_id: Vec<(ServerId, f64)>,
}

impl DistanceWeights {
    /// The weight of a server, in (0, 1]; 1 if it has no entry.
    pub fn of(&self, server: ServerId) -> f64 {
        let found = self.by_id.binary_search_by_key(&server, |(id, _)| *id);
        found.map_or(1.0, |index| self.by_id[index].1)
    }
}

/// A point on the ring, with the slot of its member.
type RingPoint = (u64, usize);

/// The points of a ring, sorted.
#[derive(Clone, Debug, Default)]
struct RingPoints {
    points: Vec<RingPoint>,
}

impl RingPoints {
    fn add(&mut self, new: impl Iterator<Item = RingPoint>) {
        self.points.extend(new);
        // The existing points are a sorted run already: the stable sort merges the new ones into it.
        self.points.sort();
    }

    /// All points once, clockwise from a given point.
    fn clockwise_from(&self, point: u64) -> impl Iterator<Item = &RingPoint> {
        let start = self.points.partition_point(|(at, _)| *at < point);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before)
    }
}

/// The hash ring of cells and servers without a cell. A member keeps its slot while it is listed.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    /// Several points per member, for an even distribution of keys.
    key_points: RingPoints,
    /// One point per member, to visit all members in turn.
    fallback_points: RingPoints,
    slots: Vec<ServerIndices>,
    slot_of: HashMap<RingMember, usize>,
    free_slots: Vec<usize>,
}

impl HashRing {
    /// Updates the ring after a change of the endpoint list. `decode_role` is the role that decodes;
    /// `mixed_beside_decode` says whether mixed servers exist in addition to it.
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
        self.key_points.add(points);
        self.fallback_points.add(members.iter().map(|(member, slot)| (member.point(0), *slot)));
    }

    fn drop_empty_members(&mut self) {
        let slots = &self.slots;
        let count_before = self.slot_of.len();
        self.slot_of.retain(|_, slot| !slots[*slot].is_empty());
        if self.slot_of.len() == count_before {
            return;
        }
        for ring in [&mut self.key_points, &mut self.fallback_points] {
            ring.points.retain(|(_, slot)| !slots[*slot].is_empty());
        }
        let is_free = |slot: &usize| slots[*slot].is_empty();
        self.free_slots = (0..slots.len()).filter(is_free).collect();
    }

    /// The neighbourhood of a position: whole cells clockwise from there, until each role has its target
    /// number of servers. Of a role that has no more servers than the target, `all` are included.
    pub fn neighborhood<'a>(
        &self,
        all: &'a ServerIndices,
        position: RingPosition,
        limits: NeighborhoodLimits,
    ) -> Neighborhood<'a> {
        let target =
            |servers: &[usize]| if servers.len() > limits.target_servers { limits.target_servers } else { 0 };
        let (target_prefill, target_decode) = (target(&all.prefill), target(&all.decode));
        let mut servers = ServerIndices::default();
        let mut prefill_weights = Vec::new();
        let (ring, start) = match position {
            RingPosition::Key(point) => (&self.key_points, point),
            RingPosition::Fallback(point) => (&self.fallback_points, point),
        };
        let mut end = start;
        let mut visited = vec![false; self.slots.len()];
        for (point, slot) in ring.clockwise_from(start) {
            if servers.prefill.len() >= target_prefill && servers.decode.len() >= target_decode {
                end = *point;
                break;
            }
            if std::mem::replace(&mut visited[*slot], true) {
                continue;
            }
            let member = &self.slots[*slot];
            if target_prefill > 0 && servers.prefill.len() < limits.max_servers {
                let weight = 1.0 - servers.prefill.len() as f64 / limits.target_servers as f64;
                servers.prefill.extend(&member.prefill);
                prefill_weights.resize(servers.prefill.len(), weight.max(limits.edge_weight));
            }
            if target_decode > 0 && servers.decode.len() < limits.max_servers {
                servers.decode.extend(&member.decode);
            }
            servers.mixed.extend(&member.mixed);
        }
        if target_prefill == 0 {
            servers.prefill.clone_from(&all.prefill);
        }
        if target_decode == 0 {
            servers.decode.clone_from(&all.decode);
        }
        let next = match position {
            // The fallback search starts at the point of the key.
            RingPosition::Key(point) => RingPosition::Fallback(point),
            RingPosition::Fallback(_) => RingPosition::Fallback(end),
        };
        Neighborhood { servers: Cow::Owned(servers), prefill_weights, next: Some(next) }
    }

    /// The servers of one cell.
    pub fn cell(&self, cell: CellId) -> Option<&ServerIndices> {
        let slot = self.slot_of.get(&RingMember::Cell(cell))?;
        Some(&self.slots[*slot])
    }
}
