//! Where a request is read: at its home reader, unless that one is clearly busier than the least loaded.

use super::constants::*;
use super::Policy;
use crate::api::*;
use crate::state::*;

impl Policy {
    /// What a reader has to read, with so many tokens more, in tokens at the pace of an even one.
    fn read_cost(&self, s: &Server, unread: f64) -> f64 {
        (s.unread + self.others_unread(s) + unread) / self.speed(s)
    }

    /// A reader with a long wait looks full, but one with nothing of ours is tried all the same.
    pub(super) fn long(&self, s: &Server, aim: f64) -> bool {
        s.unbegun > 0 && self.read_cost(s, 0.0) * self.reads.best > READ_WAIT * aim
    }

    /// Sends a request to its home reader, or to the least loaded one where home is clearly busier.
    pub(super) fn start(&mut self, id: RequestId) -> bool {
        let Some(work) = self.works.get(&id) else { return true };
        let near = self.near(Some(work));
        let mut readers = self.open_to(&near.places, true, Some(work), Some(work.part()));
        if readers.is_empty() {
            return self.start_at_writer(id);
        }
        let writers = near.places.mixed.is_empty() || self.writers_have_room(work);
        readers.retain(|s| if s.role == Role::Mixed { self.has_room(s, work.need()) } else { writers });
        let homes = self.homes_of(work, &readers, &near.fade(&self.servers));
        let Some(home) = homes.first().copied() else { return false };
        let at_home = |s: &Server| homes.iter().any(|h| h.id == s.id);
        let kept = |s: &Server| if at_home(s) { work.request.prefix_tokens } else { 0.0 };
        let unread = |s: &Server| READ_BASE + (work.request.prompt_tokens - kept(s)).max(0.0);
        let cost = |s: &Server| self.read_cost(s, unread(s));
        let room = |s: &&Server| !s.full_within(self.now, RECENTLY) && !self.long(s, work.aim());
        let costs = readers.iter().filter(|s| room(s)).map(|s| (cost(s), *s));
        let Some((_, least)) = least_by_lot(costs, work.lot) else { return false };
        // A cold one that may be asked is likely idle: no router sends it much.
        let others = readers.iter().filter(|s| s.id != home.id);
        let other = others.max_by_key(|s| (self.cold(s), at_home(s), work.lot.rendezvous_rank(s.id)));
        let look_at: Vec<ServerId> = [home].iter().chain(other).map(|s| s.id).collect();
        let home = Some(home).filter(room).unwrap_or(least);
        let margin = self.reads.size.value.max(unread(home)) / self.speed(home);
        let chosen = if cost(home) > cost(least) + margin { least } else { home };
        let stage = if chosen.role == Role::Mixed { Stage::Whole } else { Stage::Read };
        let (unread, queued, behind) =
            (unread(chosen), cost(chosen), chosen.asked_before(self.now, LOOK_FOR));
        let (chosen, cell, until) = (chosen.id, chosen.cell, work.look_until.unwrap_or(self.now + LOOK_FOR));
        self.works.get_mut(&id).into_iter().for_each(|w| w.look_until = Some(until));
        if self.now < until && self.look(&look_at) {
            return false;
        }
        let Some(work) = self.works.get(&id) else { return true };
        let near = |s: &&Server| s.cell.is_some() && s.cell == cell;
        // Mixed servers stand in for writers that can't be reached.
        let places = self.near(Some(work)).places;
        let all = self.servers.at(&places.writers).chain(self.servers.at(&places.mixed));
        let unheard = all.filter(near).any(|s| self.unheard(s));
        let writers = if !unheard { Vec::new() } else { self.candidates(false, work) };
        let writers = first_by_lot(writers.into_iter().filter(near), LOOK_WRITERS, work.lot);
        self.throttle.take(self.now, PEER_SPAN);
        self.send(id, Sent { unread, queued, behind, ..Sent::to(chosen, stage) });
        self.look(&writers);
        true
    }

    /// Its beginning's homes by rendezvous hashing, its session's first, last whom they yield to; the same on
    /// all routers. Homes are spread as writers that take states without a move, the last as who has room.
    fn homes_of<'s>(&self, work: &Work, readers: &[&'s Server], fade: &Fade) -> Vec<&'s Server> {
        let session = work.request.session.unwrap_or(AffinityKey(work.request.id.0));
        let by =
            |key: AffinityKey| move |s: &&Server| -key.unit_interval(s.id).ln() / (s.home * fade.of(s.id));
        let first = work.request.prefix.unwrap_or(session);
        let homes = least_by(readers.to_vec(), work.homes, by(first));
        let others = readers.iter().copied().filter(|s| homes.iter().all(|h| h.id != s.id)).collect();
        let spare = |s: &&Server| -first.unit_interval(s.id).ln() / (HOME_MOST * s.weight - s.home).max(1e-3);
        least_by(homes, usize::MAX, by(session)).into_iter().chain(least_by(others, 1, spare)).collect()
    }

    /// Worth a probe, where probes are allowed.
    fn unheard(&self, s: &Server) -> bool {
        self.set.can_probe && s.asked_at.is_none() && s.heard_at + RECENTLY < self.now
    }

    /// Probes those not heard from lately, as many routers hear too seldom; whether an answer is awaited.
    fn look(&mut self, at: &[ServerId]) -> bool {
        let price = self.price_of_probe();
        for id in at {
            if self.servers.get(id).is_some_and(|s| self.unheard(s)) {
                self.buy_probe(*id, price);
            }
        }
        at.iter().any(|id| self.servers.get(id).is_some_and(|s| s.asked_at.is_some()))
    }

    /// Of a probe: where there are many servers their number a second is bounded by it.
    pub(super) fn price_of_probe(&self) -> f64 {
        let gap = || self.seen.gap(self.now, SEEN_SPAN).max(1.0);
        let least = if self.averages.has_many() { NEWS_WORTH * 1e9 / (gap() * PROBES) } else { 0.0 };
        self.set.probe_cost.max(least)
    }

    /// Probes a server, as far as there is something left to spend on it.
    pub(super) fn buy_probe(&mut self, server: ServerId, price: f64) {
        if let Some(s) = self.servers.get_mut(&server).filter(|_| self.purses[1] >= price) {
            self.purses[1] -= price;
            s.asked_at = Some(self.now);
            self.out.push(Action::Probe(server));
        }
    }

    /// What others have to read there, by reports or a probe's wait (long out: as such took); else the mean.
    fn others_unread(&self, s: &Server) -> f64 {
        let queue = if s.asked_before(self.now, LOOK_FOR) { self.reads.behind.value } else { 0.0 };
        let asked = s.asked_at.map_or(0.0, |at| self.reads.tokens(self.now - at).max(queue));
        let known = s.others_unread.or(self.averages.others_unread[s.role as usize]);
        known.unwrap_or(0.0).max(asked)
    }

    /// With no reader at all a writer that reads by itself takes the request whole.
    fn start_at_writer(&mut self, id: RequestId) -> bool {
        let Some(work) = self.works.get(&id).filter(|_| self.set.decode_workers_can_prefill) else {
            return false;
        };
        let unread = READ_BASE + work.request.prompt_tokens;
        let Some(server) = self.pick_writer(work, false) else { return false };
        self.send(id, Sent { unread, queued: unread, ..Sent::to(server, Stage::Whole) });
        true
    }
}
