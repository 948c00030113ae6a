//! Which servers a request may be sent to now: cold, ill, or outside the group that drops its repeats.

use super::constants::*;
use super::permits::{may_repeat, Repeat};
use super::Policy;
use crate::api::*;
use crate::state::*;

impl Policy {
    /// Servers of one stage that may be sent to now, leaving out ill ones while enough others are left.
    pub(crate) fn candidates(&self, reads: bool, work: &Work) -> Vec<&Server> {
        self.open_to(&self.near(Some(work)).places, reads, Some(work), Some(work.part()))
    }

    /// Those that a request chooses among; without one all. A repeat may be bound to servers anywhere.
    pub(super) fn near(&self, work: Option<&Work>) -> Near<'_> {
        let cell = work.and_then(|w| self.servers.get(&w.state?.0)?.cell);
        self.averages.near(work.filter(|w| w.may_have_run.is_none()).map(|w| w.position), cell, NEAR)
    }

    /// The same for any request of a part of the traffic. With no writer left mixed servers take states too.
    pub(super) fn open_to(
        &self,
        all: &Places,
        reads: bool,
        work: Option<&Work>,
        part: Option<Part>,
    ) -> Vec<&Server> {
        let may = |s: &&Server| self.cold_budget_allows(s) && work.is_none_or(|w| self.may_go_to(w, s));
        let of = |pool: &[usize]| self.servers.at(pool).filter(may).collect::<Vec<&Server>>();
        let open = of(if reads { &all.readers } else { &all.writers });
        let open =
            if open.iter().all(|s| s.unreachable) && !reads { [open, of(&all.mixed)].concat() } else { open };
        let avoid = work.map_or(&[][..], |w| &w.avoid);
        let well = |s: &&Server| !self.ill(s, part) && !avoid.contains(&s.id);
        let well: Vec<&Server> = open.iter().copied().filter(well).collect();
        // Where most look ill the cause is likely elsewhere, and the few left would be swamped.
        if !well.is_empty() && well.len() * 3 >= open.len() {
            return well;
        }
        let none = open.iter().all(|s| s.unreachable);
        open.into_iter().filter(|s| none || !s.unreachable).collect()
    }

    /// Rule 2 for keyed requests that may have run: same group, within the window.
    fn may_go_to(&self, work: &Work, s: &Server) -> bool {
        let Some(ran) = work.may_have_run else { return true };
        let (zone, cell) = (s.zone, s.cell);
        let dropped = |class: &TrafficClass| may_repeat(self.now, &Repeat { class, ran, zone, cell });
        !self.spent(work) && self.set.classes.get(work.request.class.0).is_some_and(dropped)
    }

    /// It may have run and may never be sent again: waiting would only keep its client.
    pub(super) fn spent(&self, work: &Work) -> bool {
        let Some(ran) = work.may_have_run else { return false };
        let Some(class) = self.set.classes.get(work.request.class.0) else { return true };
        let over = self.now.saturating_add(TICK) >= self.repeat_by(work);
        class.idempotency == Idempotency::NotIdempotent
            || class.deduplication_scope.domain(ran.zone, ran.cell).is_none()
            || over
    }

    /// When the last byte of its next send has to be out: a keyed one is a repeat only within its window.
    pub(super) fn repeat_by(&self, work: &Work) -> Nanos {
        let ran = work.may_have_run.zip(self.set.classes.get(work.request.class.0));
        ran.map_or(Nanos::MAX, |(ran, class)| ran.at.saturating_add(class.deduplication_window))
    }
}
