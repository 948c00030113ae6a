//! What the servers of a role have in common, and which of them are near a key.

use super::ring::Ring;
use super::{average, Near, Nearness, Places, Position, Server, Servers, Told};
use crate::api::{CellId, Nanos, Role};
use std::collections::BTreeMap;

/// The warm servers of a kind, and the places of the cold ones.
#[derive(Clone, Debug, Default)]
pub struct WarmKind {
    /// Means of the warm ones that are ready; `None` without one.
    pub rate: Option<f64>,
    pub weight: Option<f64>,
    pub cold: Vec<usize>,
}

/// Goes through all servers once. The last of so many kinds is that of servers of which none is told.
pub fn warm_by_kind(
    servers: &Servers,
    kinds: usize,
    is_warm: impl Fn(&Server) -> bool,
    rate: impl Fn(&Server) -> f64,
) -> Vec<WarmKind> {
    let mut sums = vec![(0.0, 0.0, 0.0); kinds];
    let mut all = vec![WarmKind::default(); kinds];
    for (place, server) in servers.values().enumerate() {
        let known = server.kind.filter(|kind| kind.0 + 1 < kinds);
        let kind = match (server.kind, known) {
            (None, _) => kinds - 1,
            (_, Some(kind)) => kind.0,
            (Some(_), None) => continue,
        };
        if !is_warm(server) {
            all[kind].cold.push(place);
        } else if server.ready {
            let (rates, weights, count) = &mut sums[kind];
            *rates += rate(server);
            *weights += server.weight;
            *count += 1.0;
        }
    }
    for (kind, (rates, weights, count)) in all.iter_mut().zip(sums) {
        let mean = |sum: f64| (count > 0.0).then(|| sum / count);
        (kind.rate, kind.weight) = (mean(rates), mean(weights));
    }
    all
}

/// What the servers of a role have in common.
#[derive(Clone, Debug, Default)]
pub struct Averages {
    at: Nanos,
    /// Mean weight by role.
    pub weight: [f64; 3],
    /// Each cell's share of all weight, by role.
    pub cells: BTreeMap<CellId, [f64; 3]>,
    /// Places of ready servers.
    pub places: Places,
    /// The role of those that are asked to write.
    pub writes: Role,
    /// There are so many that only those near a key are looked at for a request.
    many: bool,
    /// If so, their cells by hash.
    ring: Ring,
    /// By role, of those with fresh news: what others hold, as a share of memory; what others have to read.
    pub others: [Option<f64>; 3],
    pub others_unread: [Option<f64>; 3],
    /// What we and other routers hold at writers, and a writer's mean of it.
    pub known: f64,
    pub known_mean: f64,
}

impl Averages {
    /// Of what the list says. A server that is gone leaves the books with the last of our work there: new ones come
    /// under new ids all day. Of more than `most` ready servers those near a key are told apart.
    pub fn list(&mut self, servers: &mut Servers, most: usize, near: Nearness) {
        servers.retain(|s| !s.gone || s.unbegun > 0 || s.held >= 1.0);
        self.cells.clear();
        // Mixed servers get states from readers only where there are no writers.
        let split = servers.values().any(|s| s.ready && s.role == Role::Decode);
        self.writes = if split { Role::Decode } else { Role::Mixed };
        self.places = Places {
            readers: servers.places(|s| s.ready && s.role != Role::Decode),
            writers: servers.places(|s| s.ready && s.role == self.writes),
            mixed: servers.places(|s| s.ready && split && s.role == Role::Mixed),
        };
        self.many = self.places.readers.len() + self.places.writers.len() > most;
        if self.many {
            self.ring.list(servers, self.writes, split, near);
        } else {
            self.ring = Ring::default();
        }
        for role in [Role::Prefill, Role::Decode, Role::Mixed] {
            let ready = || servers.values().filter(|s| s.ready && s.role == role);
            self.weight[role as usize] = average(ready().map(|s| s.weight)).unwrap_or(1.0);
            let whole = ready().map(|s| s.weight).sum::<f64>();
            for (s, cell) in ready().filter_map(|s| Some((s, s.cell?))) {
                self.cells.entry(cell).or_default()[role as usize] += s.weight / whole;
            }
        }
    }

    /// Only those near a key are looked at for a request.
    pub fn has_many(&self) -> bool {
        self.many
    }

    /// All servers; or, where there are many, those near a position, and the writers of one cell besides.
    pub fn near(&self, position: Option<Position>, cell: Option<CellId>, near: Nearness) -> Near<'_> {
        let Some(position) = position.filter(|_| self.many) else { return Near::all(&self.places) };
        let mut found = self.ring.near(&self.places, position, near);
        if let Some(of_cell) = cell.and_then(|cell| self.ring.cell(cell)) {
            let writers = &mut found.places.to_mut().writers;
            let missing = |place: &&usize| !writers.contains(*place);
            let missing: Vec<usize> = of_cell.writers.iter().filter(missing).copied().collect();
            writers.extend(missing);
        }
        found
    }

    /// Of all writers the part that so many are, where only those near a point are looked at.
    pub fn part_of_writers(&self, count: usize) -> f64 {
        if self.many {
            count as f64 / self.places.writers.len().max(1) as f64
        } else {
            1.0
        }
    }

    /// Of the news of the last `span`; older news is forgotten. Done once in `every`.
    pub fn news(&mut self, now: Nanos, every: Nanos, span: Nanos, servers: &mut Servers, told: &mut Told) {
        if now < self.at + every {
            return;
        }
        self.at = now;
        let from = now.saturating_sub(span);
        told.forget(from);
        let (mut others, mut unread) = ([(0.0, 0.0); 3], [(0.0, 0.0); 3]);
        let (mut writers, mut held) = (0.0_f64, 0.0);
        for s in servers.values_mut() {
            if s.news_at < from {
                (s.others, s.others_unread, s.share) = (None, None, None);
            }
            // A probe whose answer was lost must not be waited for for ever.
            s.asked_at = s.asked_at.filter(|at| *at >= from);
            if s.ready {
                let add = |sum: &mut (f64, f64), value: f64| *sum = (sum.0 + value, sum.1 + 1.0);
                s.others.into_iter().for_each(|v| add(&mut others[s.role as usize], v / s.memory.max(1.0)));
                s.others_unread.into_iter().for_each(|v| add(&mut unread[s.role as usize], v));
                if s.role != Role::Prefill {
                    (writers, held) = (writers + 1.0, held + s.held);
                }
            }
        }
        let mean = |sum: (f64, f64)| (sum.1 > 0.0).then(|| sum.0 / sum.1);
        (self.others, self.others_unread) = (others.map(mean), unread.map(mean));
        self.known = held + told.all.values().sum::<f64>();
        self.known_mean = self.known / writers.max(1.0);
    }
}
