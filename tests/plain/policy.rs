//! The module with every sum computed anew at each event, as a reference. Every decision of the router. The interface (settings, events, actions) is in `src/api.rs`,
//! the tables are in `src/state.rs`, the reasons at length in `docs/design.md`.
//! Read it along a request's path: asked -> held while all writers look full -> read at its home reader
//! -> written near that reader -> answered. Then come health, cold servers and the clock.

use super::state::*;
use gaparch_scheduler::api::*;
use gaparch_scheduler::policy::unanswered_decode::{kv_cache_fate, KvCacheFate, NextStep, UnansweredDecode};
use std::collections::{BTreeMap, BTreeSet};

const MS: Nanos = 1_000_000;
const TICK: Nanos = 10 * MS; // between looks at deadlines, held requests and overdue attempts
const LAST_CALL: Nanos = 25 * MS; // an unanswered request ends so long before its client leaves: two ticks
const RELEASE_SHARE: f64 = 0.7; // of the release time, until a state is sent somewhere or let go
const RECENTLY: Nanos = 1000 * MS; // the design's: a full server is left alone, news needs no probe
const FULL_SHARE: f64 = 0.92; // of its memory, from which a writer looks full: answers in progress grow
const WRITER_YIELD: f64 = 0.25; // a near writer yields with this share of memory more held than the least
const MOVE_YIELD: f64 = 0.5; // and this more for each second that far writes begin later: slow links
const HOME_MOST: f64 = 1.6; // times an even share that a reader is home to, whatever writers its cell has
const HOMES: f64 = 3.0; // of a shared beginning, for each reader's even part of all requests it makes up
const SEEN_SPAN: Nanos = 60_000 * MS; // over which requests are counted for that
const READ_BASE: f64 = 400.0; // tokens that a read costs whatever its length: steps, hand-over
const PROMPT_UNKNOWN: f64 = 500.0; // prompt length taken when none is told
const NEWS_FOR: Nanos = 3000 * MS; // older news is none: many routers hear seldom from each server
const NEWS_WORTH: f64 = 0.015; // of all service, that messages and probes before a choice may cost, each
const TELL_EVERY: Nanos = 300 * MS; // least gap between messages, some 50 bytes each; more where it must pay
const LOOK_FOR: Nanos = 30 * MS; // how long a read waits for the answers of probes
const LOOK_WRITERS: usize = 2; // of the reader's cell, probed during a read
const LOOK_LATE: Nanos = 120 * MS; // a writer whose probe takes longer has a queue: it looks full
const REPORT_LAG: Nanos = 500 * MS; // of reports, when own work is told from that of other routers
const GAIN: f64 = 0.1; // of a new sample in running means: about the last ten count
const BEST_GAIN: f64 = 0.02; // of a slower sample in the pace of a read that waits for nothing
const PACE_GAIN: f64 = 0.25; // of a new sample in a server's own pace
const REST_VISITS: f64 = 1.0; // a server that fails rests until this router would come to it so often again
const REST_MOST: Nanos = 16_000 * MS; // at most
const SLOW_FROM: f64 = 2.0; // times its peers' median latency, a server counts as so much smaller
const SLOW_SHUN: f64 = 3.0; // and from here on it gets one request at a time
const SAMPLES: u32 = 3; // before a server's own pace is believed
const PROBE_EVERY: Nanos = 400 * MS; // to a server that could not be reached
const STALLED: Nanos = 400 * MS; // a write not begun for this long is queued: its writer looks full
const WRITE_PATIENCE: Nanos = 900 * MS; // and is called off if another writer has room
const READ_WAIT: f64 = 0.25; // of the aim: a reader with a longer wait looks full, and the rest waits here
const READ_LATE: f64 = 1.0; // of the aim: a read is lost: too many come, all routers together
const READS_CUT: f64 = 0.8; // part of the reads lately sent that goes on then, once a second at most
const READS_GROW: f64 = 0.2; // a second, until then
const DEVIATIONS: f64 = 4.0; // past that and its expected time, by which a read is overdue
const CALL_OFFS: f64 = 0.2; // attempts that may be called off for each sent: in a jam more would add to it
const BLIND_PATIENCE: Nanos = 1500 * MS; // time-out of a send where attempts can't be called off
const ATTEMPTS_KEPT: u32 = 2; // for a read and a write from the start
const PEER_SPAN: Nanos = 5000 * MS; // over which the load of warm peers is averaged, for the cold budget
const COLD_FLOOR: f64 = 0.5; // mean requests a window that a cold server gets when peers tell nothing
const SHARE_SLACK: f64 = 1.5; // times its share before a tenant is over it: routers see uneven parts
const SHARE_BURST: f64 = 2.0; // seconds of its share that may come at once, and one request besides
const TICK_TIMER: TimerToken = TimerToken(0);
const ASK_TIMER: TimerToken = TimerToken(1);

#[derive(Default)]
pub struct Policy {
    set: Settings,
    now: Nanos,
    out: Vec<Action>,
    servers: Servers,
    works: BTreeMap<RequestId, Work>,
    /// Held before their read, in the order in which they leave.
    waiting: BTreeSet<(bool, Nanos, RequestId)>,
    shares: Vec<Bucket>,
    prompts: Vec<Mean>, // tokens by class
    answers: Vec<Mean>,
    to_first: Lagged, // from the read's send to the first token
    reads: Reads,
    throttle: Throttle,        // of reads
    call_offs: f64,            // attempts that may be called off yet
    usual: Vec<(Lagged, f64)>, // by kind: mean requests a second sent to a warm server, and its weight
    moves: [Mean; 2],          // seconds to the first token of a write, in the reader's cell and out of it
    seen: Seen,
    told: Told, // what other routers told that they hold
    told_at: Nanos,
    purses: [f64; 2], // what may be spent on messages and on probes, in points of service a request
    averages: Averages,
    ticking: bool,
}

impl Policy {
    pub fn new(set: Settings) -> Policy {
        Policy {
            shares: vec![Bucket::default(); set.tenants.len()],
            prompts: vec![Mean::default(); set.classes.len()],
            answers: vec![Mean::default(); set.classes.len()],
            usual: vec![(Lagged::default(), 1.0); set.kinds.len() + 1],
            call_offs: 1.0,
            reads: Reads::guessed(
                set.classes.iter().map(|c| c.latency_objective_per_prompt_token).fold(0.0, f64::max),
            ),
            set,
            ..Policy::default()
        }
    }

    pub fn handle(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        self.now = now;
        if let Event::GossipReceived { from, data } = event {
            self.told.hear(now, from, held_from_bytes(&data));
            return Vec::new();
        }
        self.averages.news(now, TICK, NEWS_FOR, &mut self.servers, &mut self.told);
        match event {
            Event::EndpointsChanged { update: kind, endpoints: entries } => self.on_members(kind, &entries),
            Event::RequestArrived(request) => self.on_request(request),
            Event::TimerFired(TICK_TIMER) => self.on_tick(),
            Event::TimerFired(ASK_TIMER) => self.out.push(Action::WatchEndpoints(true)),
            Event::FirstToken { id, attempt, latency, .. } => self.on_first(id, attempt, latency),
            Event::AttemptFinished(outcome) => self.on_outcome(outcome),
            Event::ClientDisconnected(id) => self.end(id, None),
            Event::ProbeFinished { server: s, status, latency, report } => {
                self.on_probed(s, status, latency, report)
            }
            Event::TimerFired(_) | Event::ReservationAnswered { .. } | Event::GossipReceived { .. } => {}
            Event::QuotaChanged { .. } | Event::RouterCountChanged(_) => {}
        }
        self.admit();
        let awake = self.works.values().any(Work::unbegun) || self.servers.values().any(|s| s.unreachable);
        if !self.ticking && awake {
            self.ticking = true;
            self.out.push(Action::SetTimer { token: TICK_TIMER, delay: TICK });
        }
        std::mem::take(&mut self.out)
    }

    // --- A request comes in -------------------------------------------------------------------------

    fn on_request(&mut self, request: Request) {
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
        let homes = self.homes(request.prefix);
        self.prompts[request.class.0].add(prompt, GAIN);
        self.answers[request.class.0].add(answer, GAIN);
        let (id, give_up_at) = (request.id, request.deadline_at);
        let aim_at =
            self.now + class.latency_objective + (class.latency_objective_per_prompt_token * prompt) as Nanos;
        let request = Request { prompt_tokens: prompt, ..request };
        self.works.insert(id, Work::new(request, self.now, self.set.seed, homes, over_share, aim_at, answer));
        if give_up_at <= self.now + LAST_CALL {
            return self.give_up(id);
        }
        self.waiting.insert((over_share, aim_at, id));
    }

    /// Readers that a shared beginning is at home at: more where it surely is more than a reader's part of
    /// all requests, by what this router saw. Else it swamps one home and its cell. Coarse: sessions stay.
    fn homes(&mut self, prefix: Option<AffinityKey>) -> usize {
        let readers = self.servers.values().filter(|s| s.ready && s.role != Role::Decode).count();
        let (same, all) = self.seen.add(self.now, prefix, SEEN_SPAN);
        let sure = (same - same.sqrt()).max(0.0) / all.max(1.0);
        power_of_four((sure * HOMES * readers as f64) as usize)
    }

    /// Whether this request is beyond its tenant's share, of which each router takes an even part.
    fn over_share(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant.filter(|t| t.0 < self.shares.len()) else { return false };
        let rate =
            self.set.tenants[tenant.0].quota_per_second / f64::from(self.set.router_count) * SHARE_SLACK;
        rate > 0.0 && !self.shares[tenant.0].take(self.now, rate, rate * SHARE_BURST + 1.0)
    }

    // --- Before the read: held while all writers look full ------------------------------------------

    /// Sends held requests to be read as far as writers have room for them.
    fn admit(&mut self) {
        for held in self.waiting.iter().copied().collect::<Vec<_>>() {
            let Some(work) = self.works.get(&held.2) else { continue };
            let allowed = self.throttle.allows(self.now, READS_GROW);
            let room = || self.mixed_room(work.need()) || self.writers_have_room(work);
            if allowed && room() && self.start(held.2) {
                self.waiting.remove(&held);
            }
        }
    }

    /// Room for a request besides what is being read for writers already.
    fn writers_have_room(&self, work: &Work) -> bool {
        let need = work.need();
        let pledged: f64 = self.works.values().filter(|w| w.pledged()).map(Work::need).sum();
        let mut with_room = self.candidates(false, work);
        with_room.retain(|s| self.has_room(s, need));
        let free: f64 = with_room.iter().map(|s| (FULL_SHARE - self.memory_share(s)) * s.memory).sum();
        !with_room.is_empty() && (free >= pledged + need || with_room.iter().any(|s| s.memory <= 0.0))
    }

    /// Sends a request to its home reader, or to the least loaded one where home is clearly busier.
    fn start(&mut self, id: RequestId) -> bool {
        let Some(work) = self.works.get(&id) else { return true };
        let mut readers = self.candidates(true, work);
        if readers.is_empty() {
            return self.start_at_writer(id);
        }
        let writers = self.mixed().is_empty() || self.writers_have_room(work);
        readers.retain(|s| if s.role == Role::Mixed { self.has_room(s, work.need()) } else { writers });
        let homes = self.homes_of(work, &readers);
        let Some(home) = homes.first().copied() else { return false };
        let kept =
            |s: &Server| homes.iter().find(|h| h.id == s.id).map_or(0.0, |_| work.request.prefix_tokens);
        let unread = |s: &Server| READ_BASE + (work.request.prompt_tokens - kept(s)).max(0.0);
        let cost = |s: &Server| (s.unread + self.others_unread(s) + unread(s)) / self.speed(s);
        // A reader with a long wait looks full, but one with nothing of ours is tried all the same.
        let wait = |s: &Server| (s.unread + self.others_unread(s)) / self.speed(s);
        let long = |s: &Server| s.unbegun > 0 && wait(s) * self.reads.best > READ_WAIT * work.aim();
        let room = |s: &&&Server| !s.full_within(self.now, RECENTLY) && !long(s);
        let lot = |s: &Server| work.lot.rendezvous_rank(s.id);
        let order = |a: &&&Server, b: &&&Server| cost(a).total_cmp(&cost(b)).then(lot(a).cmp(&lot(b)));
        let Some(least) = readers.iter().filter(room).min_by(order) else { return false };
        let at_home = |s: &Server| homes.iter().any(|h| h.id == s.id);
        let rank = |s: &&&Server| (self.cold(s), at_home(s), lot(s));
        let other = readers.iter().filter(|s| s.id != home.id).max_by_key(rank);
        let look_at: Vec<ServerId> = [home].iter().chain(other).map(|s| s.id).collect();
        let home = Some(home).filter(|s| room(&s)).unwrap_or(least);
        let margin = self.reads.size.value.max(unread(home)) / self.speed(home);
        let chosen = if cost(home) > cost(least) + margin { least } else { home };
        let stage = if chosen.role == Role::Mixed { Stage::Whole } else { Stage::Read };
        let (unread, queued, behind) =
            (unread(chosen), cost(chosen), chosen.asked_before(self.now, LOOK_FOR));
        let (chosen, cell, until) = (chosen.id, chosen.cell, work.look_until.unwrap_or(self.now + LOOK_FOR));
        self.works.entry(id).and_modify(|w| w.look_until = Some(until));
        if self.now < until && self.look(&look_at) {
            return false;
        }
        let Some(work) = self.works.get(&id) else { return true };
        let mut near = self.candidates(false, work);
        near.retain(|s| s.cell.is_some() && s.cell == cell);
        near.sort_by_key(|s| work.lot.rendezvous_rank(s.id));
        let near: Vec<ServerId> = near.iter().take(LOOK_WRITERS).map(|s| s.id).collect();
        self.throttle.take(self.now, PEER_SPAN);
        self.send(id, Sent { unread, queued, behind, ..Sent::to(chosen, stage) });
        self.look(&near);
        true
    }

    /// The homes of its shared beginning by rendezvous hashing, the one of its session first; the same on all
    /// routers. They are spread as the writers are that can take the states without a move out of the cell.
    fn homes_of<'s>(&self, work: &Work, readers: &[&'s Server]) -> Vec<&'s Server> {
        let split = self.servers.values().any(|s| s.ready && s.role == Role::Decode);
        let writes = if split { Role::Decode } else { Role::Mixed } as usize;
        let weight = |s: &Server| {
            let cell = s.cell.filter(|_| s.role == Role::Prefill).and_then(|c| self.averages.cells.get(&c));
            let near = cell.map_or(1.0, |of| of[writes] / of[Role::Prefill as usize].max(1e-9));
            s.weight * near.clamp(1e-3, HOME_MOST)
        };
        let session = work.request.session.unwrap_or(AffinityKey(work.request.id.0));
        let by = |key: AffinityKey| move |s: &&Server| -key.unit_interval(s.id).ln() / weight(s);
        let first = work.request.prefix.unwrap_or(session);
        let mut homes = sorted_by(readers.to_vec(), by(first));
        let others = homes.split_off(work.homes.min(homes.len()));
        let spare =
            |s: &&Server| -first.unit_interval(s.id).ln() / (HOME_MOST * s.weight - weight(s)).max(1e-3);
        let next = sorted_by(others, spare).into_iter().next();
        sorted_by(homes, by(session)).into_iter().chain(next).collect()
    }

    /// Probes those not heard from lately, as many routers hear too seldom; whether an answer is awaited.
    fn look(&mut self, at: &[ServerId]) -> bool {
        let (now, price) = (self.now, self.set.probe_cost);
        for id in at.iter().filter(|_| self.set.can_probe) {
            let Some(s) = self.servers.get_mut(id) else { continue };
            if s.asked_at.is_none() && s.heard_at + RECENTLY < now && self.purses[1] >= price {
                self.purses[1] -= price;
                s.asked_at = Some(now);
                self.out.push(Action::Probe(*id));
            }
        }
        at.iter().any(|id| self.servers.get(id).is_some_and(|s| s.asked_at.is_some()))
    }

    /// What others have to read there, as the reports or a probe's wait say; else as the average.
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

    // --- After the read: a writer with room, near the state ------------------------------------------

    /// The writer for a state. `must`: one is needed now, with room or without.
    fn pick_writer(&self, work: &Work, must: bool) -> Option<ServerId> {
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
    fn has_room(&self, s: &Server, need: f64) -> bool {
        let fits = s.memory <= 0.0 || self.memory_share(s) + need / s.memory <= FULL_SHARE || s.held <= 0.0;
        let late = s.asked_at.is_some_and(|at| self.now >= at + LOOK_LATE);
        !s.full_within(self.now, RECENTLY) && s.share.is_none_or(|share| share < FULL_SHARE) && !late && fits
    }

    /// Share of a writer's memory that is held, by guess: own sends, and the others'.
    fn memory_share(&self, s: &Server) -> f64 {
        let others = self.others(s).unwrap_or_else(|| self.told(s) / s.memory.max(1.0));
        s.held / s.memory.max(1.0) + others
    }

    /// Share that others hold, as the reports say; a server not heard from lately counts as average.
    fn others(&self, s: &Server) -> Option<f64> {
        s.others.map(|held| held / s.memory.max(1.0)).or(self.averages.others[s.role as usize])
    }

    /// Without any report: what routers told; one not heard from counts as the mean of those known, less
    /// what chance may do: a handful of streams tells little of hundreds of routers. Only for fullness.
    fn told(&self, s: &Server) -> f64 {
        let all = &self.averages;
        let heard = self.told.routers();
        let unheard = (f64::from(self.set.router_count) - 1.0 - heard).max(0.0);
        let streams = all.known / (mean(&self.prompts) + mean(&self.answers)).max(1.0);
        let sure = 1.0 - streams.max(1.0).sqrt().recip();
        self.told.all.get(&s.id).map_or(0.0, |t| *t) + unheard * sure * all.known_mean / (1.0 + heard)
    }

    fn load(&self, s: &Server) -> f64 {
        (s.held / s.memory.max(1.0) + self.others(s).unwrap_or(0.0)) / self.speed(s)
    }

    /// Its weight beside the mean of its role, less while it is slow or cold.
    fn speed(&self, s: &Server) -> f64 {
        let mean = self.averages.weight[s.role as usize];
        let relative = if mean > 0.0 { s.weight / mean } else { 1.0 };
        let relative = if s.pace_ratio >= SLOW_FROM { relative / s.pace_ratio } else { relative };
        relative.max(0.02) * if self.cold(s) { self.set.slow_start_speed.clamp(0.1, 1.0) } else { 1.0 }
    }

    /// A state waits: send it on, let it wait a little, or let it go when the release time runs out.
    fn place(&mut self, id: RequestId) {
        let Some(work) = self.works.get(&id) else { return };
        let Some((_, since)) = work.state.filter(|_| work.sent.is_none()) else { return };
        let patience = (self.set.kv_release_within as f64 * RELEASE_SHARE) as Nanos;
        let must = self.now + TICK >= since + patience;
        let over = self.now > since && self.now >= since + self.set.kv_release_within;
        if let Some(server) = self.pick_writer(work, must).filter(|_| !over) {
            self.send(id, Sent::to(server, Stage::Write));
        } else if must {
            self.give_up(id);
        }
    }

    /// Servers of one stage that may be sent to now, leaving out ill ones while enough others are left.
    fn candidates(&self, reads: bool, work: &Work) -> Vec<&Server> {
        let split = self.servers.values().any(|s| s.ready && s.role == Role::Decode);
        let fits = |s: &&Server| match s.role {
            Role::Prefill => reads,
            Role::Decode => !reads,
            Role::Mixed => reads || !split,
        };
        let may = |s: &&Server| s.ready && self.cold_budget_allows(s) && self.may_go_to(work, s);
        let mut open: Vec<&Server> = self.servers.values().filter(may).filter(fits).collect();
        if !reads && open.iter().all(|s| s.unreachable) {
            open.extend(self.mixed().into_iter().filter(|s| may(s)));
        }
        let well = |s: &&Server| !self.ill(s, work) && !work.avoid.contains(&s.id);
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
        let same = |class: &TrafficClass| {
            class.deduplication_scope.domain(ran.zone, ran.cell)
                == class.deduplication_scope.domain(s.zone, s.cell)
        };
        !self.spent(work) && self.set.classes.get(work.request.class.0).is_some_and(same)
    }

    fn spent(&self, work: &Work) -> bool {
        let Some(ran) = work.may_have_run else { return false };
        let Some(class) = self.set.classes.get(work.request.class.0) else { return true };
        let over = self.now + TICK >= ran.at + class.deduplication_window;
        class.idempotency == Idempotency::NotIdempotent
            || class.deduplication_scope.domain(ran.zone, ran.cell).is_none()
            || over
    }

    fn send(&mut self, id: RequestId, plan: Sent) {
        let (now, server, stage) = (self.now, plan.server, plan.stage);
        // What it weighs at a cold server: its class's mean work, in mean requests.
        let means = if stage == Stage::Read { &self.prompts } else { &self.answers };
        let class = self.works.get(&id).map_or(0, |w| w.request.class.0);
        let cost = (means.get(class).map_or(0.0, |m| m.value) / mean(means).max(1.0)).max(0.1);
        let patience = self.works.get(&id).map_or(0, |w| self.patience(w, &plan));
        let (Some(work), Some(s)) = (self.works.get_mut(&id), self.servers.get_mut(&server)) else { return };
        let held = if stage == Stage::Read { 0.0 } else { work.need() };
        let sent = Sent { no: AttemptNumber(work.attempts), at: now, held, ..plan };
        s.take(now, REPORT_LAG, &sent);
        s.sent.add(now, cost, PEER_SPAN);
        s.budget.level -= cost;
        self.call_offs = (self.call_offs + CALL_OFFS).min(1.0 + CALL_OFFS * 10.0);
        work.attempts += 1;
        work.read_at = work.read_at.or(Some(now));
        work.sent = Some(sent);
        let safe = stage == Stage::Read
            || self.set.classes[work.request.class.0].idempotency == Idempotency::Idempotent;
        let timeout = if self.set.can_cancel || !safe { 0 } else { BLIND_PATIENCE.max(patience) };
        let ran = work
            .may_have_run
            .map(|ran| ran.at.saturating_add(self.set.classes[work.request.class.0].deduplication_window));
        let within = self.set.kv_release_within.max(2 * self.set.step).max(TICK);
        let state = self.works.get(&id).and_then(|w| w.state);
        let release_by = state.map_or(Nanos::MAX, |(_, since)| since.saturating_add(within));
        let by = ran.unwrap_or(Nanos::MAX).min(release_by);
        self.out.push(Action::Send { id, server, timeout, send_by: by });
    }

    fn patience(&self, work: &Work, sent: &Sent) -> Nanos {
        (READ_WAIT * work.aim() + sent.queued * self.reads.late(DEVIATIONS)) as Nanos
    }

    fn on_first(&mut self, id: RequestId, attempt: AttemptNumber, latency: Nanos) {
        let now = self.now;
        let Some(work) = self.works.get_mut(&id) else { return };
        let cell = work.state.take().and_then(|(reader, _)| self.servers.get(&reader)?.cell);
        let Some(sent) = work.sent.as_mut().filter(|s| s.no == attempt && !s.begun) else { return };
        self.to_first.follow(now, now.saturating_sub(work.read_at.unwrap_or(now)) as f64, NEWS_FOR);
        let Some(s) = self.servers.get_mut(&sent.server) else { return };
        s.begin(now, REPORT_LAG, sent);
        s.heard_at = now;
        s.answered(now, latency);
        sent.begun = true;
        let per_token = latency as f64 / sent.queued.max(READ_BASE);
        if sent.stage == Stage::Write {
            self.moves[usize::from(s.cell != cell)].add(latency as f64 / 1e9, GAIN);
        } else {
            self.reads.add(per_token, GAIN, BEST_GAIN);
        }
        let pace = if sent.stage == Stage::Write { latency as f64 } else { per_token };
        if (sent.stage == Stage::Write) != (s.role == Role::Mixed) {
            learn_pace(&mut self.servers, sent.server, pace, PACE_GAIN, SAMPLES);
        }
    }

    /// Ready mixed servers beside writers.
    fn mixed(&self) -> Vec<&Server> {
        let split = self.servers.values().any(|s| s.ready && s.role == Role::Decode);
        self.servers.values().filter(|s| split && s.ready && s.role == Role::Mixed).collect()
    }

    fn mixed_room(&self, need: f64) -> bool {
        self.mixed().into_iter().any(|s| self.has_room(s, need))
    }

    fn on_outcome(&mut self, o: AttemptOutcome) {
        self.note_health(&o);
        let Some(work) = self.works.get_mut(&o.id) else { return };
        let Some(sent) = work.sent.take_if(|s| s.no == o.attempt) else { return };
        work.ended |= o.request_finished;
        let prompt = work.request.prompt_tokens;
        let aim = work.aim();
        if let Some(s) = self.servers.get_mut(&o.server) {
            s.close(self.now, REPORT_LAG, &sent);
            s.note_report(self.now, REPORT_LAG, o.report, self.reads.size.value);
        }
        if sent.stage == Stage::Read && o.status == AttemptStatus::Prefilled {
            let read = READ_BASE + (prompt - o.cached_prompt_tokens as f64).max(0.0);
            let per_token = self.reads.done(&sent, o.latency, read, GAIN, BEST_GAIN);
            learn_pace(&mut self.servers, o.server, per_token, PACE_GAIN, SAMPLES);
        }
        let reads = sent.stage != Stage::Write && o.status == AttemptStatus::Prefilled;
        if reads && o.latency as f64 > READ_LATE * aim {
            self.throttle.cut(self.now, READS_CUT, PEER_SPAN, RECENTLY);
        }
        self.settle(o, sent);
    }

    fn settle(&mut self, o: AttemptOutcome, sent: Sent) {
        self.settle_state(&o, &sent);
        let Some(work) = self.works.get_mut(&o.id) else { return };
        let read = sent.stage == Stage::Read;
        if work.ended {
            self.out.extend((!sent.begun).then_some(Action::ReleaseKv(o.id)));
            self.works.remove(&o.id);
            return;
        }
        let effect = self.set.classes[work.request.class.0].idempotency;
        let not_run = matches!(
            o.status,
            AttemptStatus::Rejected
                | AttemptStatus::ConnectFailed
                | AttemptStatus::Expired
                | AttemptStatus::Prefilled
        );
        if !read && !not_run && effect != Idempotency::Idempotent && work.may_have_run.is_none() {
            let (zone, cell) = self.servers.get(&o.server).map_or((None, None), |s| (s.zone, s.cell));
            work.may_have_run = Some(MayHaveRun { zone, cell, at: sent.at });
        }
        let no_state = o.kv_cache_missing && !read;
        if no_state {
            // Out of the writer's reach is not gone: a cut-off reader holds it still, and it must be let go.
            work.state = None;
            self.out.push(Action::ReleaseKv(o.id));
        } else if o.status != AttemptStatus::Prefilled && !work.avoid.contains(&o.server) {
            work.avoid.push(o.server);
        }
        // A way on needs one send with a state, two without.
        let steps = if work.state.is_some() { 1 } else { ATTEMPTS_KEPT };
        let (state, turn) = (work.state, (work.over_share, work.aim_at, o.id));
        let used = work.attempts + steps > self.set.max_attempts.max(steps);
        let spent = self.works.get(&o.id).is_some_and(|w| self.spent(w));
        if spent || o.status == AttemptStatus::Expired || used {
            return self.give_up(o.id);
        }
        match state {
            Some(_) => self.place(o.id),
            None => drop(self.waiting.insert(turn)),
        }
    }

    /// A refusal where trying again is harmless, else a failure; nothing stays pinned.
    fn give_up(&mut self, id: RequestId) {
        let Some(work) = self.works.get(&id) else { return };
        let Some(class) = self.set.classes.get(work.request.class.0) else { return };
        // A read has no effect, but one that is out and can't be cancelled may not have ended yet.
        let runs = |s: Sent| s.stage != Stage::Read || !self.set.can_cancel;
        let ran = work.may_have_run.is_some() || work.sent.is_some_and(runs);
        let harmless = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => !ran || class.deduplication_scope == DeduplicationScope::All,
            Idempotency::NotIdempotent => !ran,
        };
        let retry_after = if self.set.can_send_retry_after { self.set.max_retry_after } else { 0 };
        // It says no reasons; the comparison leaves them out.
        let why = GiveUpReason::DeadlineExceeded.into();
        let answer = if harmless {
            Action::Reject { id, retry_after, cause: why }
        } else {
            Action::Fail { id, cause: why }
        };
        self.end(id, Some(answer));
    }

    /// Closes a request: by a final answer of ours, or because its client has left.
    fn end(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(work) = self.works.get_mut(&id).filter(|w| !w.ended) else { return };
        work.ended = true;
        self.waiting.remove(&(work.over_share, work.aim_at, id));
        match work.sent {
            Some(sent) if self.set.can_cancel && !sent.begun && !sent.cancelled => {
                self.out.push(Action::Cancel { id, attempt: sent.no });
                self.out.extend(answer);
            }
            Some(_) => {
                self.out.extend(answer);
                let held = work.state.is_some() && !work.sent.is_some_and(|sent| sent.released);
                self.out.extend(held.then_some(Action::ReleaseKv(id)));
            }
            None => {
                self.out.extend(answer);
                self.out.extend(work.state.map(|_| Action::ReleaseKv(id)));
                self.works.remove(&id);
            }
        }
    }

    // --- Health: by symptom, against peers -----------------------------------------------------------

    fn ill(&self, s: &Server, work: &Work) -> bool {
        let rests = s.rests(self.now, None) || s.rests(self.now, Some(work.part()));
        s.unreachable || rests || s.pace_ratio >= SLOW_SHUN && s.unbegun > 0
    }

    /// Takes a server out for a while, for all traffic or for a part that it refuses or leaves unanswered
    /// while it serves the rest. One failure has to tell where a router seldom meets a server.
    fn rest(&mut self, server: ServerId, part: Option<Part>) {
        let visits = REST_VISITS * self.seen.gap(self.now, SEEN_SPAN) * self.servers.len() as f64;
        let least = (visits as Nanos).clamp(RECENTLY, REST_MOST);
        self.servers.entry(server).and_modify(|s| s.rest(self.now, part, least, REST_MOST));
    }

    fn note_health(&mut self, o: &AttemptOutcome) {
        let now = self.now;
        let part = self.works.get(&o.id).map(Work::part);
        let Some(s) = self.servers.get_mut(&o.server) else { return };
        let unheard = [
            AttemptStatus::Timeout,
            AttemptStatus::Cancelled,
            AttemptStatus::ConnectFailed,
            AttemptStatus::Expired,
        ];
        s.heard_at = if unheard.contains(&o.status) { s.heard_at } else { now };
        if o.status.is_answer() {
            s.answered(now, o.latency);
        }
        match o.status {
            AttemptStatus::Ok | AttemptStatus::Prefilled => {
                (s.unreachable, s.lost) = (false, false);
                part.into_iter().for_each(|part| s.served(part));
            }
            AttemptStatus::Error | AttemptStatus::Unknown => self.rest(o.server, None),
            AttemptStatus::Rejected if !o.kv_cache_missing || s.role == Role::Prefill => {
                s.full_at = Some(now);
                self.rest(o.server, part);
            }
            AttemptStatus::Timeout => self.rest(o.server, part),
            // Dead, cut off, or with all connections taken: a probe tells when it is back.
            AttemptStatus::ConnectFailed | AttemptStatus::Reset => {
                (s.unreachable, s.lost, s.probe_at) = (true, s.lost || o.status != AttemptStatus::Reset, now);
            }
            _ => {}
        }
    }

    fn on_probed(
        &mut self,
        server: ServerId,
        status: AttemptStatus,
        latency: Nanos,
        report: Option<LoadReport>,
    ) {
        let (now, waits) = (self.now, self.reads.tokens(latency));
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.note_report(now, REPORT_LAG, report, self.reads.size.value);
        s.asked_at = None;
        if status.is_answer() {
            s.answered(now, latency);
        }
        if matches!(status, AttemptStatus::Ok | AttemptStatus::Timeout) {
            s.others_unread = Some((waits - s.unread).max(0.0));
            s.news_at = now;
            if s.role != Role::Prefill && latency >= LOOK_LATE {
                s.full_at = Some(now);
            }
        }
        if status == AttemptStatus::ConnectFailed {
            (s.unreachable, s.lost, s.probe_at) = (true, true, now + PROBE_EVERY);
        } else if status == AttemptStatus::Ok {
            if s.lost {
                // It may be a new process that the list has not told of: cold, or all routers pour onto it.
                s.back_at = now;
                s.budget = Bucket::owing(now, AffinityKey(self.set.seed).unit_interval(server));
            }
            (s.unreachable, s.lost) = (false, false);
            (s.heard_at, s.quick_at) = (now, if latency < LOOK_LATE { now } else { s.quick_at });
        }
    }

    fn cold(&self, s: &Server) -> bool {
        s.began_at() > 0 && self.now < s.began_at() + self.set.slow_start_duration
    }

    /// Rule 4, kept by each router alone: a part of what it sends itself to a warm peer. It begins in debt,
    /// each router by another part of a request, or all would pay it off at the same moment.
    fn cold_budget_allows(&self, s: &Server) -> bool {
        !self.cold(s) || s.budget.level >= 0.0
    }

    fn fill_cold_budgets(&mut self) {
        let (now, span_s) = (self.now, PEER_SPAN as f64 / 1e9);
        let floor =
            COLD_FLOOR / (self.set.overload_window as f64 / 1e9).max(0.1) / f64::from(self.set.router_count);
        let part = (self.set.overload_factor * self.set.slow_start_speed).min(1.0);
        let kinds = (0..self.set.kinds.len()).map(|kind| Some(KindId(kind))).chain([None]);
        let mut all = std::mem::take(&mut self.usual);
        for (kind, (usual, weight)) in kinds.zip(&mut all) {
            let warm = || self.servers.values().filter(|p| p.ready && p.kind == kind && !self.cold(p));
            let sent = average(warm().map(|p| p.sent.get(now, PEER_SPAN) / span_s));
            *weight = average(warm().map(|p| p.weight)).unwrap_or(*weight);
            let peers = sent.unwrap_or(usual.value);
            usual.follow(now, peers, PEER_SPAN);
            let rate = peers.max(usual.value) * part;
            for s in self.servers.values_mut().filter(|s| s.kind == kind) {
                s.budget.fill(now, (rate * (s.weight / *weight).min(1.0)).max(floor), 0.0);
            }
        }
        self.usual = all;
    }

    fn on_members(&mut self, kind: EndpointUpdate, entries: &[Endpoint]) {
        if kind == EndpointUpdate::Failed {
            return self.out.push(Action::SetTimer { token: ASK_TIMER, delay: RECENTLY });
        }
        self.out.extend(
            (kind == EndpointUpdate::Cached && self.set.poll_endpoints)
                .then_some(Action::WatchEndpoints(true)),
        );
        if kind != EndpointUpdate::Delta {
            self.servers.values_mut().for_each(|s| s.ready = false);
        }
        for e in entries {
            let Some((role, memory)) = self.set.kind(e.kind) else { continue };
            let s = self.servers.entry(e.server).or_insert_with(|| new_server(e.server, role, memory));
            // Nothing new goes to a draining or gone server from now on: rule 3 with its grace unused.
            s.listed(self.now, e, AffinityKey(self.set.seed).unit_interval(e.server));
        }
        self.averages.list(&self.servers);
        self.averages.news(self.now, 0, NEWS_FOR, &mut self.servers, &mut self.told);
    }

    // --- The clock ----------------------------------------------------------------------------------

    fn on_tick(&mut self) {
        self.ticking = false;
        self.fill_cold_budgets();
        let ids: Vec<RequestId> = self.works.iter().filter(|w| !w.1.ended).map(|w| *w.0).collect();
        ids.into_iter().for_each(|id| self.look_after(id));
        self.probe();
        self.tell();
    }

    fn look_after(&mut self, id: RequestId) {
        let Some(work) = self.works.get(&id) else { return };
        let late = self.now + self.to_first.value as Nanos > work.aim_at;
        match work.sent {
            Some(sent) if sent.begun => {}
            _ if self.now + LAST_CALL >= work.request.deadline_at => self.give_up(id),
            Some(sent) => {
                if !self.check_arrival(id, &sent) {
                    self.check_overdue(id, sent);
                }
            }
            None if self.spent(work) => self.give_up(id),
            // Held, it can't make its aim any more: it ends now, so that others can.
            None if late && work.state.is_none() => self.give_up(id),
            None => self.place(id),
        }
    }

    /// What is to be done about an unanswered write is decided by the module's own function: no sum has a part in it.
    fn check_arrival(&mut self, id: RequestId, sent: &Sent) -> bool {
        let Some((_, held_since)) = self.works.get(&id).and_then(|w| w.state) else { return false };
        let server = self.servers.get(&sent.server);
        if sent.stage != Stage::Write || sent.released {
            return false;
        }
        let write = UnansweredDecode {
            now: self.now,
            sent_at: sent.at,
            held_since,
            release_within: self.set.kv_release_within,
            server_runs: server.is_some_and(|s| s.ran_at > sent.at),
            probed_at: server.and_then(|s| s.asked_at),
            may_probe: self.set.can_probe,
        };
        let work = &self.works[&id];
        let safe = self.set.classes[work.request.class.0].idempotency == Idempotency::Idempotent;
        let left = work.attempts < self.set.max_attempts;
        let may = safe && left && self.set.can_cancel && !sent.cancelled;
        let room = |s: &&Server| s.id != sent.server && self.has_room(s, work.need());
        let leaves = write.is_silent() && may && self.candidates(false, work).iter().any(room);
        match write.next_step() {
            NextStep::Retry | NextStep::Release if leaves => {
                let now = self.now;
                self.servers.entry(sent.server).and_modify(|s| (s.unreachable, s.probe_at) = (true, now));
                self.works.entry(id).and_modify(|w| w.sent = Some(Sent { cancelled: true, ..*sent }));
                self.out.push(Action::Cancel { id, attempt: sent.no });
                return true;
            }
            NextStep::Release => {
                self.works.entry(id).and_modify(|w| w.sent = Some(Sent { released: true, ..*sent }));
                self.out.push(Action::ReleaseKv(id));
            }
            NextStep::Probe if self.purses[1] >= self.set.probe_cost => {
                let now = self.now;
                self.purses[1] -= self.set.probe_cost;
                self.servers.entry(sent.server).and_modify(|s| s.asked_at = Some(now));
                self.out.push(Action::Probe(sent.server));
            }
            NextStep::Probe | NextStep::Wait | NextStep::Retry => {}
        }
        false
    }

    fn settle_state(&mut self, o: &AttemptOutcome, sent: &Sent) {
        let runs = self.servers.get(&o.server).is_some_and(|s| s.ran_at > sent.at);
        let Some(work) = self.works.get_mut(&o.id) else { return };
        match kv_cache_fate(o.status, sent.released, runs) {
            _ if o.status == AttemptStatus::Prefilled => work.state = Some((o.server, self.now)),
            KvCacheFate::HeldAnew => work.state = work.state.map(|(reader, _)| (reader, self.now)),
            KvCacheFate::Released if work.state.is_some() && !work.ended => {
                work.state = None;
                self.out.push(Action::ReleaseKv(o.id));
            }
            KvCacheFate::Released | KvCacheFate::Held => {}
        }
    }

    /// An attempt that takes too long: its server queues, is slow, is cut off or died without a word.
    fn check_overdue(&mut self, id: RequestId, sent: Sent) {
        let age = self.now - sent.at;
        let Some(work) = self.works.get(&id) else { return };
        let read_wait = READ_WAIT * work.aim();
        let cell = work.state.and_then(|(reader, _)| self.servers.get(&reader)?.cell);
        let Some(s) = self.servers.get_mut(&sent.server) else { return };
        // What crosses cells may wait for a slow link: another far writer is no better then.
        let (silent, near) = (s.heard_at < sent.at, s.cell == cell);
        if sent.stage == Stage::Write && age >= STALLED {
            s.full_at = Some(self.now);
        }
        let reads = sent.stage != Stage::Write;
        let patience = (read_wait + sent.queued * self.reads.late(DEVIATIONS)) as Nanos;
        let patience = if reads { patience } else { WRITE_PATIENCE };
        if age < patience || sent.cancelled {
            return;
        }
        if silent && self.set.can_probe && !s.unreachable {
            (s.unreachable, s.probe_at) = (true, self.now);
        }
        // A reader that answers a probe at once has left the read unanswered; one that does not may be busy.
        if reads && s.quick_at <= sent.at && age < 2 * patience {
            return;
        }
        let safe = sent.stage == Stage::Read
            || self.set.classes[work.request.class.0].idempotency == Idempotency::Idempotent;
        let room = |s: &Server| self.has_room(s, work.need());
        let better = |s: &&Server| {
            s.id != sent.server
                && !self.ill(s, work)
                && (reads || room(s) && (near || silent || s.cell == cell))
        };
        let left = work.attempts + ATTEMPTS_KEPT <= self.set.max_attempts && self.set.can_cancel;
        if !safe || !left || self.call_offs < 1.0 || !self.candidates(reads, work).iter().any(better) {
            return;
        }
        self.call_offs -= 1.0;
        let part = work.part();
        self.rest(sent.server, Some(part));
        if reads {
            self.reads.add(age as f64 / sent.queued.max(READ_BASE), GAIN, BEST_GAIN);
        }
        self.works.entry(id).and_modify(|w| w.sent = Some(Sent { cancelled: true, ..sent }));
        self.out.push(Action::Cancel { id, attempt: sent.no });
    }

    /// Tells the other routers what we hold, where no server does and as often as that is worth its price.
    fn tell(&mut self) {
        let silent = self.servers.values().all(|s| s.others.is_none());
        if !self.set.can_gossip
            || self.set.router_count < 2
            || !silent
            || self.now < self.told_at + TELL_EVERY
        {
            return;
        }
        let data = held_to_bytes(self.servers.values().map(|s| (s.id, s.held)));
        let price = self.set.gossip_cost * f64::from(self.set.router_count - 1) * data.len() as f64 / 256.0;
        if self.purses[0] >= price {
            self.purses[0] -= price;
            self.told_at = self.now;
            self.out.push(Action::SendGossip { peer: None, data });
        }
    }

    fn probe(&mut self) {
        for s in self.servers.values_mut().filter(|s| s.ready && s.unreachable && s.probe_at <= self.now) {
            if self.set.can_probe {
                s.probe_at = self.now + PROBE_EVERY;
                self.out.push(Action::Probe(s.id));
            } else if self.now >= s.probe_at + RECENTLY {
                s.unreachable = false;
            }
        }
    }
}
