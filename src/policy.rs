//! Every decision of the router. The interface (settings, events, actions) is in `src/api.rs`,
//! the tables are in `src/state/`, the reasons at length in `docs/design.md`.
//! Read it along a request's path: asked -> held while all writers look full -> read at its home reader
//! -> written near that reader -> answered. Then come health, cold servers and the clock.

use crate::api::*;
use crate::state::*;

const MS: Nanos = 1_000_000;
const TICK: Nanos = 10 * MS; // between looks at deadlines, held requests and overdue attempts
const LAST_CALL: f64 = 2.5; // looks before its client leaves, an unanswered request ends
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
const WALKED: usize = 256; // servers up to which a request chooses among all, and a tick goes through all
const NEAR: Nearness = Nearness { enough: 64, most: 256, points: 16, edge: 1e-3 }; // of more: near its key
const PROBES: f64 = 16.0; // a second before a choice, where there are many servers: some 2 KB with all else
const LOOKS: usize = 8; // at held requests for each event, where each has servers of its own to be looked at
const TICK_TIMER: TimerToken = TimerToken(0);
const ASK_TIMER: TimerToken = TimerToken(1);

#[derive(Default)]
pub struct Policy {
    pub(crate) set: Settings,
    pub(crate) now: Nanos,
    out: Vec<Action>,
    pub(crate) servers: Servers,
    works: Works,
    /// Held before their read.
    waiting: Held,
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
    told: Told,  // what other routers told that they hold
    untold: f64, // and what those not heard from may hold at each server
    told_at: Nanos,
    purses: [f64; 2], // what may be spent on messages and on probes, in points of service a request
    averages: Averages,
    ticking: bool,
    looked: Option<Turn>, // at held requests, up to this one
}

impl Policy {
    pub fn new(set: Settings) -> Policy {
        Policy {
            shares: vec![Bucket::default(); set.tenants.len()],
            prompts: vec![Mean::default(); set.classes.len()],
            answers: vec![Mean::default(); set.classes.len()],
            usual: vec![(Lagged::default(), 1.0); set.roles.len() + 1],
            call_offs: 1.0,
            reads: Reads::guessed(set.classes.iter().map(|c| c.aim_per_token).fold(0.0, f64::max)),
            set,
            ..Policy::default()
        }
    }

    pub fn handle(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        // A clock that went back would make ages of less than nothing.
        self.now = now.max(self.now);
        let now = self.now;
        if let Event::Peer { from, data } = event {
            self.told.hear(now, from, held_from_bytes(&data));
            return Vec::new();
        }
        let every = self.servers.walk_every(TICK, WALKED);
        self.averages.news(now, every, NEWS_FOR, &mut self.servers, &mut self.told);
        self.note_untold();
        match event {
            Event::Members { kind, entries } => self.on_members(kind, &entries),
            Event::Request(request) => self.on_request(request),
            Event::Timer(TICK_TIMER) => self.on_tick(),
            Event::Timer(ASK_TIMER) => self.out.push(Action::Watch(true)),
            Event::First { id, attempt, latency, .. } => self.on_first(id, attempt, latency),
            Event::Outcome(outcome) => self.on_outcome(outcome),
            Event::Gone(id) => self.end(id, None),
            Event::Quota { tenant, per_s } => self.set.quota(tenant, per_s),
            Event::Routers(routers) => self.set.routers = routers.max(1),
            Event::Probed { server: s, status, latency: l, report } => self.on_probed(s, status, l, report),
            Event::Timer(_) | Event::Note { .. } | Event::Peer { .. } => {}
        }
        self.admit();
        let unbegun = !self.waiting.is_empty() || !self.works.active().is_empty();
        if !self.ticking && (unbegun || self.servers.values().any(|s| s.unreachable)) {
            self.ticking = true;
            self.out.push(Action::Timer { token: TICK_TIMER, delay: TICK });
        }
        std::mem::take(&mut self.out)
    }

    // --- A request comes in -------------------------------------------------------------------------

    fn on_request(&mut self, request: Request) {
        let Some(class) = self.set.classes.get(request.class.0).cloned() else {
            return self.out.push(Action::Fail { id: request.id, why: Reason::UnknownClass.into() });
        };
        let prompt = if request.prompt_len > 0.0 { request.prompt_len } else { PROMPT_UNKNOWN };
        // The design's guess of a stream's memory: the hint, else half of what is allowed.
        let answer = match request.hint {
            Some(hint) if class.token_aim > 0 => hint as f64 / class.token_aim as f64,
            _ => request.max_out / 2.0,
        };
        let answer = if request.max_out > 0.0 { answer.min(request.max_out) } else { answer };
        let over_share = self.over_share(request.tenant);
        self.purses = self.purses.map(|purse| (purse + NEWS_WORTH).min(NEWS_WORTH * 100.0));
        let home = self.home(&request);
        self.prompts[request.class.0].add(prompt, GAIN);
        self.answers[request.class.0].add(answer, GAIN);
        self.note_untold();
        let (id, give_up_at) = (request.id, request.give_up_at);
        let aim = class.aim.saturating_add((class.aim_per_token * prompt) as Nanos);
        let aim_at = if class.aim > 0 { self.now.saturating_add(aim) } else { give_up_at };
        let request = Request { prompt_len: prompt, ..request };
        self.works.insert(id, Work::new(request, self.now, self.set.seed, home, over_share, aim_at, answer));
        if give_up_at <= self.last_call() {
            return self.give_up(id, Reason::Deadline);
        }
        self.hold(id);
    }

    fn hold(&mut self, id: RequestId) {
        let Some(work) = self.works.get(&id) else { return };
        self.waiting.insert(id, work, work.request.give_up_at.min(self.repeat_by(work)));
    }

    /// The longest that a look at deadlines may take to come: a site's own steps may be longer than ours.
    fn look_within(&self) -> Nanos {
        TICK.max(self.set.tick.saturating_mul(2))
    }

    /// Whose client leaves by then is answered now.
    fn last_call(&self) -> Nanos {
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
        let rate = self.set.tenants[tenant.0].quota_per_s / f64::from(self.set.routers) * SHARE_SLACK;
        rate > 0.0 && !self.shares[tenant.0].take(self.now, rate, rate * SHARE_BURST + 1.0)
    }

    // --- Before the read: held while all writers look full ------------------------------------------

    /// Sends held requests to be read as far as writers have room for them, in their turn: the earliest aim
    /// first, those over their tenant's share last. Of a part of the traffic for which not even the easiest
    /// can go none is looked at.
    fn admit(&mut self) {
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
    fn look_further(&mut self, id: RequestId) {
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
        let any = self.averages.places.readers.is_empty() || self.set.self_prefill;
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

    /// What a reader has to read, with so many tokens more, in tokens at the pace of an even one.
    fn read_cost(&self, s: &Server, unread: f64) -> f64 {
        (s.unread + self.others_unread(s) + unread) / self.speed(s)
    }

    /// A reader with a long wait looks full, but one with nothing of ours is tried all the same.
    fn long(&self, s: &Server, aim: f64) -> bool {
        s.unbegun > 0 && self.read_cost(s, 0.0) * self.reads.best > READ_WAIT * aim
    }

    /// Sends a request to its home reader, or to the least loaded one where home is clearly busier.
    fn start(&mut self, id: RequestId) -> bool {
        let Some(work) = self.works.get(&id) else { return true };
        let near = self.near(Some(work));
        let mut readers = self.open_to(&near.places, true, Some(work), Some(work.part()));
        if readers.is_empty() {
            return self.start_at_writer(id);
        }
        let writers = near.places.mixed.is_empty() || self.writers_have_room(work);
        readers.retain(|s| if s.role == Role::Both { self.has_room(s, work.need()) } else { writers });
        let homes = self.homes_of(work, &readers, &near.fade(&self.servers));
        let Some(home) = homes.first().copied() else { return false };
        let at_home = |s: &Server| homes.iter().any(|h| h.id == s.id);
        let kept = |s: &Server| if at_home(s) { work.request.prefix_len } else { 0.0 };
        let unread = |s: &Server| READ_BASE + (work.request.prompt_len - kept(s)).max(0.0);
        let cost = |s: &Server| self.read_cost(s, unread(s));
        let room = |s: &&Server| !s.full_within(self.now, RECENTLY) && !self.long(s, work.aim());
        let costs = readers.iter().filter(|s| room(s)).map(|s| (cost(s), *s));
        let Some((_, least)) = least_by_lot(costs, work.lot) else { return false };
        // A cold one that may be asked is likely idle: no router sends it much.
        let others = readers.iter().filter(|s| s.id != home.id);
        let other = others.max_by_key(|s| (self.cold(s), at_home(s), work.lot.rank(s.id)));
        let look_at: Vec<ServerId> = [home].iter().chain(other).map(|s| s.id).collect();
        let home = Some(home).filter(room).unwrap_or(least);
        let margin = self.reads.size.value.max(unread(home)) / self.speed(home);
        let chosen = if cost(home) > cost(least) + margin { least } else { home };
        let stage = if chosen.role == Role::Both { Stage::Whole } else { Stage::Read };
        let (unread, queued, behind) =
            (unread(chosen), cost(chosen), chosen.asked_before(self.now, LOOK_FOR));
        let (chosen, cell, until) = (chosen.id, chosen.cell, work.look_until.unwrap_or(self.now + LOOK_FOR));
        self.works.get_mut(&id).into_iter().for_each(|w| w.look_until = Some(until));
        if self.now < until && self.look(&look_at) {
            return false;
        }
        let Some(work) = self.works.get(&id) else { return true };
        let near = |s: &&Server| s.cell.is_some() && s.cell == cell;
        let unheard =
            self.servers.at(&self.near(Some(work)).places.writers).filter(near).any(|s| self.unheard(s));
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
        let session = work.request.session.unwrap_or(Key(work.request.id.0));
        let by = |key: Key| move |s: &&Server| -key.draw(s.id).ln() / (s.home * fade.of(s.id));
        let first = work.request.prefix.unwrap_or(session);
        let homes = least_by(readers.to_vec(), work.homes, by(first));
        let others = readers.iter().copied().filter(|s| homes.iter().all(|h| h.id != s.id)).collect();
        let spare = |s: &&Server| -first.draw(s.id).ln() / (HOME_MOST * s.weight - s.home).max(1e-3);
        least_by(homes, usize::MAX, by(session)).into_iter().chain(least_by(others, 1, spare)).collect()
    }

    /// Worth a probe, where probes are allowed.
    fn unheard(&self, s: &Server) -> bool {
        self.set.probes && s.asked_at.is_none() && s.heard_at + RECENTLY < self.now
    }

    /// Probes those not heard from lately, as many routers hear too seldom; whether an answer is awaited.
    fn look(&mut self, at: &[ServerId]) -> bool {
        let gap = || self.seen.gap(self.now, SEEN_SPAN).max(1.0);
        let least = if self.averages.has_many() { NEWS_WORTH * 1e9 / (gap() * PROBES) } else { 0.0 };
        let price = self.set.probe_price.max(least);
        for id in at {
            let unheard = self.servers.get(id).is_some_and(|s| self.unheard(s));
            if let Some(s) = self.servers.get_mut(id).filter(|_| unheard && self.purses[1] >= price) {
                self.purses[1] -= price;
                s.asked_at = Some(self.now);
                self.out.push(Action::Probe(*id));
            }
        }
        at.iter().any(|id| self.servers.get(id).is_some_and(|s| s.asked_at.is_some()))
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
        let Some(work) = self.works.get(&id).filter(|_| self.set.self_prefill) else { return false };
        let unread = READ_BASE + work.request.prompt_len;
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
            let lot = || w.lot.rank(a.id).cmp(&w.lot.rank(b.id));
            self.load(a).total_cmp(&self.load(b)).then(a.held.total_cmp(&b.held)).then_with(lot)
        })
    }

    /// Full: as it reported, as it answered within the last second, or as guessed.
    pub(crate) fn has_room(&self, s: &Server, need: f64) -> bool {
        self.fits(s, need, self.memory_share(s))
    }

    fn fits(&self, s: &Server, need: f64, share: f64) -> bool {
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
    fn told(&self, s: &Server) -> f64 {
        self.told.all.get(&s.id).map_or(0.0, |t| *t) + self.untold
    }

    /// The part of that which is the same for all servers; it changes with each event's news and requests.
    fn note_untold(&mut self) {
        let (all, heard) = (&self.averages, self.told.routers());
        let unheard = (f64::from(self.set.routers) - 1.0 - heard).max(0.0);
        let streams = all.known / (mean(&self.prompts) + mean(&self.answers)).max(1.0);
        let sure = 1.0 - streams.max(1.0).sqrt().recip();
        self.untold = unheard * sure * all.known_mean / (1.0 + heard);
    }

    fn load(&self, s: &Server) -> f64 {
        (s.held / s.memory.max(1.0) + self.others(s).unwrap_or(0.0)) / self.speed(s)
    }

    /// Its weight beside the mean of its role, less while it is slow or cold.
    fn speed(&self, s: &Server) -> f64 {
        let mean = self.averages.weight[s.role as usize];
        let relative = if mean > 0.0 { s.weight / mean } else { 1.0 };
        let relative = if s.pace_ratio >= SLOW_FROM { relative / s.pace_ratio } else { relative };
        relative.max(0.02) * if self.cold(s) { self.set.cold_from.clamp(0.1, 1.0) } else { 1.0 }
    }

    /// A state waits: send it on, let it wait a little, or let it go when the release time runs out.
    fn place(&mut self, id: RequestId) {
        let Some(work) = self.works.get(&id) else { return };
        let Some((_, since)) = work.state.filter(|_| work.sent.is_none()) else { return };
        let patience = (self.set.release_within as f64 * RELEASE_SHARE) as Nanos;
        let must = self.now.saturating_add(self.look_within()) >= since.saturating_add(patience);
        let over = self.now > since && self.now >= work.release_by(self.set.release_within);
        if let Some(server) = self.pick_writer(work, must).filter(|_| !over) {
            self.send(id, Sent::to(server, Stage::Write));
        } else if must {
            self.give_up(id, Reason::ReleaseTime);
        } else {
            self.look_further(id);
        }
    }

    /// Servers of one stage that may be sent to now, leaving out ill ones while enough others are left.
    pub(crate) fn candidates(&self, reads: bool, work: &Work) -> Vec<&Server> {
        self.open_to(&self.near(Some(work)).places, reads, Some(work), Some(work.part()))
    }

    /// Those that a request chooses among; without one all. A repeat may be bound to servers anywhere.
    fn near(&self, work: Option<&Work>) -> Near<'_> {
        let cell = work.and_then(|w| self.servers.get(&w.state?.0)?.cell);
        self.averages.near(work.filter(|w| w.may_have_run.is_none()).map(|w| w.position), cell, NEAR)
    }

    /// The same for any request of a part of the traffic. With no writer left mixed servers take states too.
    fn open_to(&self, all: &Places, reads: bool, work: Option<&Work>, part: Option<Part>) -> Vec<&Server> {
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
        let same = |class: &Class| class.group.of(ran.zone, ran.cell) == class.group.of(s.zone, s.cell);
        !self.spent(work) && self.set.classes.get(work.request.class.0).is_some_and(same)
    }

    /// It may have run and may never be sent again: waiting would only keep its client.
    fn spent(&self, work: &Work) -> bool {
        let Some(ran) = work.may_have_run else { return false };
        let Some(class) = self.set.classes.get(work.request.class.0) else { return true };
        let over = self.now.saturating_add(TICK) >= self.repeat_by(work);
        class.effect == Effect::Unsafe || class.group.of(ran.zone, ran.cell).is_none() || over
    }

    /// When the last byte of its next send has to be out: a keyed one is a repeat only within its window.
    fn repeat_by(&self, work: &Work) -> Nanos {
        let ran = work.may_have_run.zip(self.set.classes.get(work.request.class.0));
        ran.map_or(Nanos::MAX, |(ran, class)| ran.at.saturating_add(class.window))
    }

    fn send(&mut self, id: RequestId, plan: Sent) {
        let (now, server, stage) = (self.now, plan.server, plan.stage);
        // What it weighs at a cold server: its class's mean work, in mean requests.
        let means = if stage == Stage::Read { &self.prompts } else { &self.answers };
        let class = self.works.get(&id).map_or(0, |w| w.request.class.0);
        let cost = (means.get(class).map_or(0.0, |m| m.value) / mean(means).max(1.0)).max(0.1);
        let heard = self.works.get(&id).filter(|w| self.heard_early(w, stage));
        let blind = heard.map_or(0, |w| BLIND_PATIENCE.max(self.patience(w, &plan)));
        let (Some(work), Some(s)) = (self.works.get_mut(&id), self.servers.get_mut(&server)) else { return };
        let held = if stage == Stage::Read { 0.0 } else { work.need() };
        let sent = Sent { no: AttemptNo(work.attempts), at: now, held, ..plan };
        s.take(now, REPORT_LAG, &sent);
        s.sent.add(now, cost, PEER_SPAN);
        s.budget.level -= cost;
        self.call_offs = (self.call_offs + CALL_OFFS).min(1.0 + CALL_OFFS * 10.0);
        work.attempts += 1;
        work.read_at = work.read_at.or(Some(now));
        work.sent = Some(sent);
        let safe = stage == Stage::Read || self.set.classes[work.request.class.0].effect == Effect::Safe;
        let timeout = if self.set.cancel || !safe { 0 } else { blind };
        let within = self.set.release_within.max(self.look_within());
        let by = self.works.get(&id).map_or(Nanos::MAX, |w| self.repeat_by(w).min(w.release_by(within)));
        self.works.note(&id);
        self.out.push(Action::Send { id, server, timeout, by });
    }

    /// Whether an attempt tells of itself before its end, so that silence says something.
    fn heard_early(&self, work: &Work, stage: Stage) -> bool {
        stage == Stage::Read || self.set.classes.get(work.request.class.0).is_some_and(|c| c.streamed)
    }

    /// How long an attempt may go without an answer, by its aim and by what reads take.
    fn patience(&self, work: &Work, sent: &Sent) -> Nanos {
        (READ_WAIT * work.aim() + sent.queued * self.reads.late(DEVIATIONS)) as Nanos
    }

    fn on_first(&mut self, id: RequestId, attempt: AttemptNo, latency: Nanos) {
        let now = self.now;
        let Some(work) = self.works.get_mut(&id) else { return };
        let cell = work.state.take().and_then(|(reader, _)| self.servers.get(&reader)?.cell);
        let Some(sent) = work.sent.as_mut().filter(|s| s.no == attempt && !s.begun) else {
            return self.works.note(&id);
        };
        self.to_first.follow(now, now.saturating_sub(work.read_at.unwrap_or(now)) as f64, NEWS_FOR);
        let Some(s) = self.servers.get_mut(&sent.server) else { return self.works.note(&id) };
        s.begin(now, REPORT_LAG, sent);
        s.heard_at = now;
        sent.begun = true;
        let (stage, server) = (sent.stage, sent.server);
        let per_token = latency as f64 / sent.queued.max(READ_BASE);
        if stage == Stage::Write {
            self.moves[usize::from(s.cell != cell)].add(latency as f64 / 1e9, GAIN);
        } else {
            self.reads.add(per_token, GAIN, BEST_GAIN);
        }
        // Of one measure for each role: mixed servers by what they take whole, writers by what they fetch.
        let pace = if stage == Stage::Write { latency as f64 } else { per_token };
        if (stage == Stage::Write) != (s.role == Role::Both) {
            learn_pace(&mut self.servers, server, pace, PACE_GAIN, SAMPLES, WALKED);
        }
        self.works.note(&id);
    }

    fn on_outcome(&mut self, o: Outcome) {
        self.note_health(&o);
        let Some(work) = self.works.get_mut(&o.id) else { return };
        let Some(sent) = work.sent.take_if(|s| s.no == o.attempt) else { return };
        work.ended |= o.closed;
        let (prompt, aim) = (work.request.prompt_len, work.aim());
        if let Some(s) = self.servers.get_mut(&o.server) {
            s.close(self.now, REPORT_LAG, &sent);
            s.note_report(self.now, REPORT_LAG, o.report, self.reads.size.value);
        }
        if sent.stage == Stage::Read && o.status == Status::Read {
            let read = READ_BASE + (prompt - o.note as f64).max(0.0);
            let per_token = self.reads.done(&sent, o.latency, read, GAIN, BEST_GAIN);
            learn_pace(&mut self.servers, o.server, per_token, PACE_GAIN, SAMPLES, WALKED);
        }
        if o.status == Status::Read && sent.stage != Stage::Write && o.latency as f64 > READ_LATE * aim {
            self.throttle.cut(self.now, READS_CUT, PEER_SPAN, RECENTLY);
        }
        self.settle(o, sent);
    }

    fn settle(&mut self, o: Outcome, sent: Sent) {
        let now = self.now;
        let Some(work) = self.works.get_mut(&o.id) else { return };
        let read = sent.stage == Stage::Read;
        match work.state.as_mut() {
            // The release time starts again with each outcome, unless no worker was reached.
            Some((_, since)) if !read && o.status != Status::ConnectFailed => *since = now,
            _ if o.status == Status::Read => work.state = Some((o.server, now)),
            _ => {}
        }
        if work.ended {
            self.out.extend((!sent.begun).then_some(Action::Release(o.id)));
            self.works.remove(&o.id);
            return;
        }
        let effect = self.set.classes[work.request.class.0].effect;
        let not_run = matches!(o.status, Status::Full | Status::ConnectFailed | Status::Moot | Status::Read);
        if !read && !not_run && effect != Effect::Safe && work.may_have_run.is_none() {
            let (zone, cell) = self.servers.get(&o.server).map_or((None, None), |s| (s.zone, s.cell));
            work.may_have_run = Some(MayHaveRun { zone, cell, at: sent.at });
        }
        let no_state = o.status == Status::Full && o.note == 1 && !read;
        if no_state {
            // Out of the writer's reach is not gone: a cut-off reader holds it still, and it must be let go.
            work.state = None;
            self.out.push(Action::Release(o.id));
        } else if o.status != Status::Read && !work.avoid.contains(&o.server) {
            work.avoid.push(o.server);
        }
        // A way on needs one send with a state, two without.
        let (state, attempts) = (work.state, work.attempts);
        self.works.note(&o.id);
        let spent = self.works.get(&o.id).is_some_and(|w| self.spent(w));
        let steps = if state.is_some() { 1 } else { ATTEMPTS_KEPT };
        if spent || o.status == Status::Moot || attempts + steps > self.set.max_attempts.max(steps) {
            let moot = if o.status == Status::Moot { Reason::TooLate } else { Reason::AttemptsUsed };
            return self.give_up(o.id, if spent { Reason::MayHaveRun } else { moot });
        }
        match state {
            Some(_) => self.place(o.id),
            None => self.hold(o.id),
        }
    }

    /// A refusal where trying again is harmless, else a failure; nothing stays pinned.
    fn give_up(&mut self, id: RequestId, reason: Reason) {
        let Some(work) = self.works.get(&id) else { return };
        let Some(class) = self.set.classes.get(work.request.class.0) else { return };
        // A read has no effect, but one that is out and can't be cancelled may not have ended yet.
        let runs = |s: Sent| s.stage != Stage::Read || !self.set.cancel;
        let ran = work.may_have_run.is_some() || work.sent.is_some_and(runs);
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => !ran || class.group == Group::All,
            Effect::Unsafe => !ran,
        };
        let retry_after = self.set.come_back_after();
        let why = Why { reason, held_by: self.held_by(work, reason) };
        let last = if harmless { Action::Refuse { id, retry_after, why } } else { Action::Fail { id, why } };
        self.end(id, Some(last));
    }

    /// Closes a request: by a final answer of ours, or because its client has left.
    fn end(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(work) = self.works.get_mut(&id).filter(|w| !w.ended) else { return };
        work.ended = true;
        let (sent, state) = (work.sent, work.state);
        self.waiting.remove(&id);
        self.works.note(&id);
        // First, so that no retry crosses an attempt that is out.
        let cancel = sent.filter(|s| self.set.cancel && !s.begun && !s.cancelled);
        self.out.extend(cancel.map(|s| Action::Cancel { id, attempt: s.no }));
        self.out.extend(answer);
        if sent.is_none() {
            self.out.extend(state.map(|_| Action::Release(id)));
            self.works.remove(&id);
        }
    }

    // --- Health: by symptom, against peers -----------------------------------------------------------

    pub(crate) fn ill(&self, s: &Server, part: Option<Part>) -> bool {
        let rests = s.rests(self.now, None) || part.is_some() && s.rests(self.now, part);
        s.unreachable || rests || s.pace_ratio >= SLOW_SHUN && s.unbegun > 0
    }

    /// Takes a server out for a while, for all traffic or for a part that it refuses or leaves unanswered
    /// while it serves the rest. One failure has to tell where a router seldom meets a server.
    fn rest(&mut self, server: ServerId, part: Option<Part>) {
        let visits = REST_VISITS * self.seen.gap(self.now, SEEN_SPAN) * self.servers.len() as f64;
        let (now, least) = (self.now, (visits as Nanos).clamp(RECENTLY, REST_MOST));
        self.servers.get_mut(&server).into_iter().for_each(|s| s.rest(now, part, least, REST_MOST));
    }

    fn note_health(&mut self, o: &Outcome) {
        let (now, part) = (self.now, self.works.get(&o.id).map(Work::part));
        let Some(s) = self.servers.get_mut(&o.server) else { return };
        let unheard = [Status::Timeout, Status::Cancelled, Status::ConnectFailed, Status::Moot];
        s.heard_at = if unheard.contains(&o.status) { s.heard_at } else { now };
        match o.status {
            Status::Ok | Status::Read => {
                (s.unreachable, s.lost) = (false, false);
                part.into_iter().for_each(|part| s.served(part));
            }
            Status::Error | Status::Unknown => self.rest(o.server, None),
            Status::Full if o.note != 1 || s.role == Role::Read => {
                s.full_at = Some(now);
                self.rest(o.server, part);
            }
            Status::Timeout => self.rest(o.server, part),
            // A probe tells when it is back. A broken connection alone is no new process, and not cold.
            Status::ConnectFailed | Status::Reset => {
                (s.unreachable, s.lost, s.probe_at) = (true, s.lost || o.status != Status::Reset, now);
            }
            _ => {}
        }
    }

    fn on_probed(&mut self, server: ServerId, status: Status, latency: Nanos, report: Option<Report>) {
        let (now, waits) = (self.now, self.reads.tokens(latency));
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.note_report(now, REPORT_LAG, report, self.reads.size.value);
        s.asked_at = None;
        if matches!(status, Status::Ok | Status::Timeout) {
            s.others_unread = Some((waits - s.unread).max(0.0));
            s.news_at = now;
            let late = s.role != Role::Read && latency >= LOOK_LATE;
            s.full_at = if late { Some(now) } else { s.full_at };
        }
        if status == Status::ConnectFailed {
            (s.unreachable, s.lost, s.probe_at) = (true, true, now + PROBE_EVERY);
        } else if status == Status::Ok {
            if s.lost {
                // It may be a new process that the list has not told of: cold, or all routers pour onto it.
                s.back_at = now;
                s.budget = Bucket::owing(now, Key(self.set.seed).draw(server));
            }
            (s.unreachable, s.lost) = (false, false);
            (s.heard_at, s.quick_at) = (now, if latency < LOOK_LATE { now } else { s.quick_at });
        }
    }

    pub(crate) fn cold(&self, s: &Server) -> bool {
        s.began_at() > 0 && self.now < s.began_at().saturating_add(self.set.cold)
    }

    /// Rule 4, kept by each router alone: a part of what it sends to a warm peer; debts differ at the start.
    pub(crate) fn cold_budget_allows(&self, s: &Server) -> bool {
        !self.cold(s) || s.budget.level >= 0.0
    }

    fn fill_cold_budgets(&mut self) {
        let (now, span_s) = (self.now, PEER_SPAN as f64 / 1e9);
        let floor = COLD_FLOOR / (self.set.fall as f64 / 1e9).max(0.1) / f64::from(self.set.routers);
        let part = (self.set.fall_multiple * self.set.cold_from).min(1.0);
        // Servers of a kind are of one size, and where weights differ they tell of smaller ones.
        let rate = |s: &Server| s.sent.get(now, PEER_SPAN) / span_s;
        let warm = warm_by_kind(&self.servers, self.usual.len(), |s| !self.cold(s), rate);
        for ((usual, weight), warm) in self.usual.iter_mut().zip(warm) {
            *weight = warm.weight.unwrap_or(*weight);
            let peers = warm.rate.unwrap_or(usual.value);
            usual.follow(now, peers, PEER_SPAN);
            let rate = peers.max(usual.value) * part;
            let size = |s: &Server| (s.weight / *weight).min(1.0);
            self.servers.change_at(&warm.cold, |s| s.budget.fill(now, (rate * size(s)).max(floor), 0.0));
        }
    }

    fn on_members(&mut self, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            return self.out.push(Action::Timer { token: ASK_TIMER, delay: RECENTLY });
        }
        self.out.extend((kind == ListKind::Cached && self.set.ask).then_some(Action::Watch(true)));
        if kind != ListKind::Delta {
            self.servers.values_mut().for_each(|s| (s.ready, s.gone) = (false, true));
        }
        let new = |e: &Entry| self.set.kind(e.kind).map(|(role, memory)| new_server(e.server, role, memory));
        self.servers.insert_missing(entries.iter().filter_map(new));
        for e in entries {
            let Some(s) = self.servers.get_mut(&e.server) else { continue };
            let kind = self.set.kind(e.kind);
            s.ready &= kind.is_some();
            let Some((role, memory)) = kind else { continue };
            (s.role, s.memory) = (role, memory);
            // Nothing new goes to a draining or gone server from now on: rule 3 with its grace unused.
            s.listed(self.now, e, Key(self.set.seed).draw(e.server));
        }
        self.averages.list(&mut self.servers, WALKED, NEAR);
        // Homes are spread as the writers are that can take the states without a move out of the cell. What a
        // mixed server reads it writes itself.
        let writes = self.averages.writes as usize;
        for s in self.servers.values_mut() {
            let cell = s.cell.filter(|_| s.role == Role::Read).and_then(|c| self.averages.cells.get(&c));
            let near = cell.map_or(1.0, |of| of[writes] / of[Role::Read as usize].max(1e-9));
            s.home = s.weight * near.clamp(1e-3, HOME_MOST);
        }
        self.averages.news(self.now, 0, NEWS_FOR, &mut self.servers, &mut self.told);
        self.note_untold();
    }

    // --- The clock ----------------------------------------------------------------------------------

    fn on_tick(&mut self) {
        self.ticking = false;
        let walks = self.servers.walk_is_due(self.now, TICK, WALKED);
        if walks {
            self.fill_cold_budgets();
            compare_all_paces(&mut self.servers, SAMPLES, WALKED);
        }
        // Of those held, none but the ones whose time or aim runs out.
        let aim = self.now.saturating_add(self.to_first.value as Nanos);
        let due = self.waiting.due(self.last_call(), aim);
        let ids: std::collections::BTreeSet<_> = due.chain(self.works.active().iter().copied()).collect();
        ids.into_iter().for_each(|id| self.look_after(id));
        if walks {
            self.probe();
        }
        self.tell();
    }

    fn look_after(&mut self, id: RequestId) {
        let Some(work) = self.works.get(&id) else { return };
        let late = self.now.saturating_add(self.to_first.value as Nanos) > work.aim_at;
        match work.sent {
            Some(sent) if sent.begun => {}
            _ if self.last_call() >= work.request.give_up_at => self.give_up(id, Reason::Deadline),
            Some(sent) => self.check_overdue(id, sent),
            None if self.spent(work) => self.give_up(id, Reason::MayHaveRun),
            // Held, it can't make its aim any more: it ends now, so that others can.
            None if late && work.state.is_none() => self.give_up(id, Reason::AimLost),
            None => self.place(id),
        }
    }

    /// An attempt that takes too long: its server queues, is slow, is cut off or died without a word.
    fn check_overdue(&mut self, id: RequestId, sent: Sent) {
        let age = self.now - sent.at;
        let Some(work) = self.works.get(&id) else { return };
        // Where answers don't stream, nothing is heard of one before its end.
        let heard = self.heard_early(work, sent.stage);
        let reads = sent.stage != Stage::Write;
        let patience = if reads { self.patience(work, &sent) } else { WRITE_PATIENCE };
        let cell = work.state.and_then(|(reader, _)| self.servers.get(&reader)?.cell);
        let Some(s) = self.servers.get_mut(&sent.server) else { return };
        // What crosses cells may wait for a slow link: another far writer is no better then.
        let (silent, near) = (s.heard_at < sent.at, s.cell == cell);
        let stalled = heard && sent.stage == Stage::Write && age >= STALLED;
        s.full_at = if stalled { Some(self.now) } else { s.full_at };
        if !heard || age < patience || sent.cancelled {
            return;
        }
        if silent && self.set.probes && !s.unreachable {
            (s.unreachable, s.probe_at) = (true, self.now);
        }
        // A reader that answers a probe at once has left the read unanswered; one that does not may be busy.
        if reads && s.quick_at <= sent.at && age < 2 * patience {
            return;
        }
        let safe = sent.stage == Stage::Read || self.set.classes[work.request.class.0].effect == Effect::Safe;
        let room = |s: &Server| self.has_room(s, work.need());
        let better = |s: &&Server| {
            s.id != sent.server
                && !self.ill(s, Some(work.part()))
                && (reads || room(s) && (near || silent || s.cell == cell))
        };
        let left = work.attempts + ATTEMPTS_KEPT <= self.set.max_attempts && self.set.cancel;
        if !safe || !left || self.call_offs < 1.0 || !self.candidates(reads, work).iter().any(better) {
            return;
        }
        self.call_offs -= 1.0;
        let part = work.part();
        self.rest(sent.server, Some(part));
        if reads {
            self.reads.add(age as f64 / sent.queued.max(READ_BASE), GAIN, BEST_GAIN);
        }
        self.works.get_mut(&id).into_iter().for_each(|w| w.sent = Some(Sent { cancelled: true, ..sent }));
        self.out.push(Action::Cancel { id, attempt: sent.no });
    }

    /// Tells the other routers what we hold, where no server does and as often as that is worth its price.
    fn tell(&mut self) {
        let silent = || self.servers.values().all(|s| s.others.is_none());
        if !self.set.peers || self.set.routers < 2 || self.now < self.told_at + TELL_EVERY || !silent() {
            return;
        }
        // A message has no room for all where there are many.
        let held = self.servers.values().map(|s| (s.id, s.held)).collect();
        let data = held_to_bytes(least_by(held, usize::MAX, |(_, held)| -held).into_iter());
        let price = self.set.peer_price * f64::from(self.set.routers - 1) * data.len() as f64 / 256.0;
        // One that says nothing is no news, and costs its sending all the same.
        if self.purses[0] >= price && !data.is_empty() {
            self.purses[0] -= price;
            self.told_at = self.now;
            self.out.push(Action::Tell { peer: None, data });
        }
    }

    fn probe(&mut self) {
        for s in self.servers.values_mut().filter(|s| s.ready && s.unreachable && s.probe_at <= self.now) {
            if self.set.probes {
                s.probe_at = self.now + PROBE_EVERY;
                self.out.push(Action::Probe(s.id));
            } else if self.now >= s.probe_at + RECENTLY {
                s.unreachable = false;
            }
        }
    }
}
