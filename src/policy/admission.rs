//! Requests that come in, and are held before their read while all writers look full.

use super::constants::*;
use super::Policy;
use crate::api::*;
use crate::state::*;

impl Policy {
    pub(super) fn on_request(&mut self, request: Request) {
        let Some(class) = self.set.classes.get(request.class.0).cloned() else {
            return self.out.push(Action::Fail { id: request.id, cause: GiveUpReason::UnknownClass.into() });
        };
        let prompt = if request.prompt_tokens > 0.0 { request.prompt_tokens } else { PROMPT_UNKNOWN };
        // The design's guess of a stream's memory: the hint, else half of what is allowed.
        let answer = match request.expected_duration {
            Some(hint) if class.token_latency_objective > 0 => {
                hint as f64 / class.token_latency_objective as f64
            }
            _ => request.max_output_tokens / 2.0,
        };
        let answer =
            if request.max_output_tokens > 0.0 { answer.min(request.max_output_tokens) } else { answer };
        let over_share = self.over_share(request.tenant);
        self.purses = self.purses.map(|purse| (purse + NEWS_WORTH).min(NEWS_WORTH * 100.0));
        let home = self.home(&request);
        self.prompts[request.class.0].add(prompt, GAIN);
        self.answers[request.class.0].add(answer, GAIN);
        self.note_untold();
        let (id, give_up_at) = (request.id, request.deadline_at);
        let aim = class
            .latency_objective
            .saturating_add((class.latency_objective_per_prompt_token * prompt) as Nanos);
        let aim_at = if class.latency_objective > 0 { self.now.saturating_add(aim) } else { give_up_at };
        let request = Request { prompt_tokens: prompt, ..request };
        self.works.insert(id, Work::new(request, self.now, self.set.seed, home, over_share, aim_at, answer));
        if give_up_at <= self.last_call() {
            return self.give_up(id, GiveUpReason::DeadlineExceeded);
        }
        self.hold(id);
    }

    pub(super) fn hold(&mut self, id: RequestId) {
        let Some(work) = self.works.get(&id) else { return };
        self.waiting.insert(id, work, work.request.deadline_at.min(self.repeat_by(work)));
    }

    /// The longest that a look at deadlines may take to come: a site's own steps may be longer than ours.
    pub(super) fn look_within(&self) -> Nanos {
        TICK.max(self.set.step.saturating_mul(2))
    }

    /// Whose client leaves by then is answered now.
    pub(super) fn last_call(&self) -> Nanos {
        self.now.saturating_add((self.look_within() as f64 * LAST_CALL) as Nanos)
    }

    /// Readers that a shared beginning is at home at: more where it surely is more than a reader's part of
    /// all requests, by what this router saw: it would swamp one. Coarse: sessions stay. Near a point.
    fn home(&mut self, request: &Request) -> Home {
        let readers = self.averages.places.readers.len();
        let (same, all) = self.seen.add(self.now, request.prefix, SEEN_SPAN);
        let sure = (same - same.sqrt()).max(0.0) / all.max(1.0);
        Home::of(request, power_of_four((sure * HOMES * readers as f64) as usize), NEAR.enough)
    }

    /// Whether this request is beyond its tenant's share, of which each router takes an even part.
    fn over_share(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant.filter(|t| t.0 < self.shares.len()) else { return false };
        let rate =
            self.set.tenants[tenant.0].quota_per_second / f64::from(self.set.router_count) * SHARE_SLACK;
        rate > 0.0 && !self.shares[tenant.0].take(self.now, rate, rate * SHARE_BURST + 1.0)
    }

    /// Sends held requests to be read as far as writers have room for them, in their turn: the earliest aim
    /// first, those over their tenant's share last. Of a part of the traffic for which not even the easiest
    /// can go none is looked at.
    pub(super) fn admit(&mut self) {
        if self.waiting.is_empty() || !self.throttle.allows(self.now, READS_GROW) {
            return;
        }
        let mut open: Vec<Open> = Vec::new();
        let (mut fresh, many) = (false, self.averages.has_many());
        let (mut last, mut looks) = (self.looked.take(), if many { LOOKS } else { usize::MAX });
        loop {
            if !std::mem::replace(&mut fresh, true) {
                open.clear();
                for (part, group) in self.waiting.groups() {
                    if many || group.is_single() || self.may_open(*part, group.easiest()) {
                        open.push(Open { part: *part, first: group.after(last), too_much: f64::INFINITY });
                    }
                }
            }
            let turn = |o: &Open| o.first.map(|(turn, _)| turn);
            let next = open.iter_mut().filter(|o| o.first.is_some()).min_by_key(|o| turn(o));
            let Some(Open { part, first: Some((turn, wants)), too_much }) = next.filter(|_| looks > 0) else {
                return self.looked = last.filter(|_| looks == 0);
            };
            let (part, turn, wants, id) = (*part, *turn, *wants, turn.2);
            // What needs no less than one that has just found no room finds none either.
            let fits = |w| self.mixed_room(Some(w), wants.need) || self.writers_have_room(w);
            let room = wants.need < *too_much && self.works.get(&id).is_some_and(fits);
            if !room && part.is_some() && !many {
                *too_much = too_much.min(wants.need);
            }
            if room && (many || self.reader_may_have_room(wants)) && self.start(id) {
                self.waiting.remove(&id);
                if !self.throttle.allows(self.now, READS_GROW) {
                    return;
                }
                // It has changed what there is room for.
                fresh = false;
            } else if many {
                looks -= 1;
                self.look_further(id);
            }
            last = Some(turn);
            let next = self.waiting.group(&part).and_then(|group| group.after(last));
            open.iter_mut().filter(|o| o.part == part).for_each(|o| o.first = next);
        }
    }

    /// None of the servers near its point has room for it: next time it is those behind them, and so round.
    pub(super) fn look_further(&mut self, id: RequestId) {
        let Some(work) = self.works.get_mut(&id).filter(|w| !w.awaits_probes(self.now)) else { return };
        work.position = self.averages.near(Some(work.position), None, NEAR).next.unwrap_or(work.position);
    }

    /// Whether one that wants so little of a part of the traffic may go; those that some servers must not be
    /// asked for are looked at one by one.
    fn may_open(&self, part: Option<Part>, least: Wants) -> bool {
        let writers = || self.room_for(self.open_to(&self.averages.places, false, None, part), least.need);
        part.is_none() || self.reader_may_have_room(least) && (self.mixed_room(None, least.need) || writers())
    }

    /// False only if no reader can have room for what has so little to read and so long an aim: `start`
    /// would find the same, one reader after the other.
    fn reader_may_have_room(&self, wants: Wants) -> bool {
        let any = self.averages.places.readers.is_empty() || self.set.decode_workers_can_prefill;
        let room = |s: &Server| !s.full_within(self.now, RECENTLY) && !self.long(s, wants.aim);
        any || self.servers.at(&self.averages.places.readers).any(room)
    }

    /// Room for a request besides what is being read for writers already.
    pub(crate) fn writers_have_room(&self, work: &Work) -> bool {
        self.room_for(self.candidates(false, work), work.need())
    }

    /// Beside writers, mixed servers take requests whole: they have room of their own.
    fn mixed_room(&self, work: Option<&Work>, need: f64) -> bool {
        let any = !self.averages.places.mixed.is_empty();
        any && self.servers.at(&self.near(work).places.mixed).any(|s| self.has_room(s, need))
    }

    fn room_for(&self, writers: Vec<&Server>, need: f64) -> bool {
        let (mut free, mut some, mut unknown) = (0.0, false, false);
        let part = self.averages.part_of_writers(writers.len());
        for s in writers {
            let share = self.memory_share(s);
            if self.fits(s, need, share) {
                free += (FULL_SHARE - share) * s.memory;
                (some, unknown) = (true, unknown || s.memory <= 0.0);
            }
        }
        some && (unknown || free >= self.works.pledged() * part + need)
    }
}
