//! Where a request that has been read is written: at a writer with room near the state.

use super::constants::*;
use super::Policy;
use crate::api::*;
use crate::state::*;

impl Policy {
    /// The writer for a state. `must`: one is needed now, with room or without.
    pub(super) fn pick_writer(&self, work: &Work, must: bool) -> Option<ServerId> {
        let need = work.need();
        let all = self.candidates(false, work);
        let open: Vec<&Server> = all.iter().copied().filter(|s| self.has_room(s, need)).collect();
        let open = if open.is_empty() && must { all } else { open };
        let least = self.least_loaded(work, open.iter().copied())?;
        let reader = work.state.and_then(|(r, _)| self.servers.get(&r));
        let cell = |s: &&&Server| s.cell.is_some() && reader.is_some_and(|r| r.cell == s.cell);
        let zone = |s: &&&Server| s.zone.is_some() && reader.is_some_and(|r| r.zone == s.zone);
        let margin = WRITER_YIELD + MOVE_YIELD * (self.moves[1].value - self.moves[0].value).max(0.0);
        let in_cell = self.least_loaded(work, open.iter().filter(cell).copied());
        let in_zone = self.least_loaded(work, open.iter().filter(zone).copied());
        let near = in_cell.into_iter().chain(in_zone).find(|s| self.load(s) <= self.load(least) + margin);
        Some(near.unwrap_or(least).id)
    }

    /// Ties go to the least guessed memory, then by lot, or many routers that know little pick the same one.
    fn least_loaded<'s>(&self, w: &Work, all: impl Iterator<Item = &'s Server>) -> Option<&'s Server> {
        all.min_by(|a, b| {
            let lot = || w.lot.rendezvous_rank(a.id).cmp(&w.lot.rendezvous_rank(b.id));
            self.load(a).total_cmp(&self.load(b)).then(a.held.total_cmp(&b.held)).then_with(lot)
        })
    }

    /// Full: as it reported, as it answered within the last second, or as guessed.
    pub(crate) fn has_room(&self, s: &Server, need: f64) -> bool {
        self.fits(s, need, self.memory_share(s))
    }

    pub(super) fn fits(&self, s: &Server, need: f64, share: f64) -> bool {
        let fits = s.memory <= 0.0 || share + need / s.memory <= FULL_SHARE || s.held <= 0.0;
        let late = s.asked_at.is_some_and(|at| self.now >= at + LOOK_LATE);
        !s.full_within(self.now, RECENTLY) && s.share.is_none_or(|share| share < FULL_SHARE) && !late && fits
    }

    /// Share of a writer's memory that is held, by guess: own sends, and the others'.
    pub(crate) fn memory_share(&self, s: &Server) -> f64 {
        let others = self.others(s).unwrap_or_else(|| self.told(s) / s.memory.max(1.0));
        s.held / s.memory.max(1.0) + others
    }

    /// Share that others hold, as the reports say; a server not heard from lately counts as average.
    fn others(&self, s: &Server) -> Option<f64> {
        s.others.map(|held| held / s.memory.max(1.0)).or(self.averages.others[s.role as usize])
    }

    /// Without any report: what routers told; one not heard from counts as the mean of those known, less
    /// what chance may do: a handful of streams tells little of hundreds of routers. Only for fullness.
    pub(super) fn told(&self, s: &Server) -> f64 {
        self.told.all.get(&s.id).map_or(0.0, |t| *t) + self.untold
    }

    /// The part of that which is the same for all servers; it changes with each event's news and requests.
    pub(super) fn note_untold(&mut self) {
        let (all, heard) = (&self.averages, self.told.routers());
        let unheard = (f64::from(self.set.router_count) - 1.0 - heard).max(0.0);
        let streams = all.known / (mean(&self.prompts) + mean(&self.answers)).max(1.0);
        let sure = 1.0 - streams.max(1.0).sqrt().recip();
        self.untold = unheard * sure * all.known_mean / (1.0 + heard);
    }

    fn load(&self, s: &Server) -> f64 {
        (s.held / s.memory.max(1.0) + self.others(s).unwrap_or(0.0)) / self.speed(s)
    }

    /// Its weight beside the mean of its role, less while it is slow or cold.
    pub(super) fn speed(&self, s: &Server) -> f64 {
        let mean = self.averages.weight[s.role as usize];
        let relative = if mean > 0.0 { s.weight / mean } else { 1.0 };
        let relative = if s.pace_ratio >= SLOW_FROM { relative / s.pace_ratio } else { relative };
        relative.max(0.02) * if self.cold(s) { self.set.slow_start_speed.clamp(0.1, 1.0) } else { 1.0 }
    }

    /// A state waits: send it on, let it wait a little, or let it go when the release time runs out.
    pub(super) fn place(&mut self, id: RequestId) {
        let Some(work) = self.works.get(&id) else { return };
        let Some((_, since)) = work.state.filter(|_| work.sent.is_none()) else { return };
        let patience = (self.set.kv_release_within as f64 * RELEASE_SHARE) as Nanos;
        let must = self.now.saturating_add(self.look_within()) >= since.saturating_add(patience);
        let over = self.now > since && self.now >= work.release_by(self.set.kv_release_within);
        if let Some(server) = self.pick_writer(work, must).filter(|_| !over) {
            self.send(id, Sent::to(server, Stage::Write));
        } else if must {
            self.give_up(id, GiveUpReason::KvReleaseTimeout);
        } else {
            self.look_further(id);
        }
    }
}
