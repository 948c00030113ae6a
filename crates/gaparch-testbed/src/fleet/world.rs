//! Simulates many membership cores in one process, in virtual time: links lose, delay and cut messages,
//! members stop, die and restart. A run is deterministic: the same seed gives the same events.

use gaparch_membership::{Membership, MembershipEvent, Nanos, Output, Settings, View};
use gaparch_protocol::fleet::{MemberState, Message};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;
/// Datagrams that a stopped process receives when it continues; the operating system drops the rest.
const SOCKET_QUEUE_LENGTH: usize = 256;

/// Maximum number of messages that are copied to be replayed later.
const MAX_COPIES: usize = 5_000;

/// How a link behaves, in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    pub loss: f64,
    pub duplicates: f64,
    /// The minimum delay.
    pub delay: Nanos,
    /// Maximum random delay in addition to `delay`; it reorders messages.
    pub jitter: Nanos,
    pub cut: bool,
}

impl Default for Link {
    fn default() -> Self {
        Link { loss: 0.0, duplicates: 0.0, delay: MS / 2, jitter: MS / 2, cut: false }
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Work {
    Timer(u64),
    Delivery(Box<Message>),
}

/// A scheduled event. Events are ordered by time, and by their creation if the times are equal.
#[derive(Clone, Debug)]
struct ScheduledWork {
    at: Nanos,
    sequence: u64,
    node: usize,
    what: Work,
}

impl PartialEq for ScheduledWork {
    fn eq(&self, other: &ScheduledWork) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledWork {}

impl PartialOrd for ScheduledWork {
    fn partial_cmp(&self, other: &ScheduledWork) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledWork {
    fn cmp(&self, other: &ScheduledWork) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

#[derive(Debug)]
struct Node {
    core: Option<Membership>,
    settings: Settings,
    stopped: bool,
    /// Messages queued in its socket while it is stopped.
    queued: VecDeque<Message>,
    /// The number of the current process; timers of earlier ones are recognised by it and ignored.
    process: u64,
    /// The incarnation that is stored on disk.
    stored_incarnation: u64,
    /// The simulated time at which the node's own clock reads 0.
    clock_origin: Nanos,
}

/// An event that a node reported.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub at: Nanos,
    pub node: usize,
    pub what: MembershipEvent,
}

/// A simulated fleet in virtual time.
#[derive(Debug)]
pub struct World {
    pub now: Nanos,
    pub told: Vec<Told>,
    /// The link of every pair that has no link of its own.
    pub link: Link,
    links: BTreeMap<(usize, usize), Link>,
    nodes: Vec<Node>,
    scheduled: BinaryHeap<Reverse<ScheduledWork>>,
    sequence: u64,
    rng: ChaCha8Rng,
    copies_messages: bool,
    copies: Vec<(usize, Message)>,
}

/// Settings that all members of a simulation share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub routers: u32,
    pub zones: usize,
    pub period: Nanos,
    pub hold: Nanos,
    pub refined: bool,
    pub seed: u64,
}

impl Terms {
    pub fn of(routers: usize) -> Terms {
        Terms {
            routers: routers as u32,
            zones: 3,
            period: 200 * MS,
            hold: 60 * SECOND,
            refined: true,
            seed: 1,
        }
    }
}

pub fn name(node: usize) -> String {
    format!("router-{node}")
}

fn address(node: usize) -> SocketAddr {
    (Ipv4Addr::new(10, 0, (node / 250) as u8, (node % 250) as u8 + 1), 7400).into()
}

fn node_of(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, _, high, low] = address.ip().octets();
    Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
}

impl World {
    /// Creates and starts that many members; the first two are the seeds of all.
    pub fn new(members: usize, terms: Terms) -> World {
        let mut world = World {
            now: SECOND,
            told: Vec::new(),
            link: Link::default(),
            links: BTreeMap::new(),
            nodes: Vec::new(),
            scheduled: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(terms.seed),
            copies_messages: false,
            copies: Vec::new(),
        };
        for node in 0..members {
            let settings = Settings {
                name: name(node),
                zone: format!("zone-{}", node % terms.zones.max(1)),
                build: "test".to_owned(),
                address: address(node),
                run_id: 0,
                incarnation: 1,
                seeds: vec![address(0), address(1)],
                max_routers: terms.routers,
                probe_interval: terms.period,
                dead_hold: terms.hold,
                seed: terms.seed,
                use_extensions: terms.refined,
            };
            world.nodes.push(Node {
                core: None,
                settings,
                stopped: false,
                queued: VecDeque::new(),
                process: 0,
                stored_incarnation: 0,
                clock_origin: 0,
            });
        }
        (0..members).for_each(|node| world.start(node));
        world
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    // --- Actions -----------------------------------------------------------------------------------------

    /// Starts a member, or restarts it under the same name.
    pub fn start(&mut self, node: usize) {
        let run = self.rng.random();
        let n = &mut self.nodes[node];
        n.process += 1;
        n.clock_origin = self.now - SECOND;
        let settings = Settings { run_id: run, incarnation: n.stored_incarnation + 1, ..n.settings.clone() };
        let mut out = Vec::new();
        n.core = Some(Membership::new(settings, SECOND, &mut out));
        (n.stopped, n.queued) = (false, VecDeque::new());
        self.perform(node, out);
        self.schedule_tick(node);
    }

    /// Ends a member at once; it sends nothing.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].core = None;
    }

    /// Makes a member leave the fleet in the regular way.
    pub fn leave(&mut self, node: usize) {
        let mut out = Vec::new();
        let now = self.local(node);
        if let Some(mut core) = self.nodes[node].core.take() {
            core.leave(now, &mut out);
        }
        self.perform(node, out);
    }

    pub fn stop(&mut self, node: usize) {
        self.nodes[node].stopped = true;
    }

    /// Continues a stopped member. Whether its queued messages or its timers come first is random, as with a
    /// real process.
    pub fn go_on(&mut self, node: usize) {
        self.nodes[node].stopped = false;
        let queued = std::mem::take(&mut self.nodes[node].queued);
        let timers_first = self.rng.random_bool(0.5);
        if timers_first {
            self.tick(node);
        }
        for message in queued {
            self.deliver(node, message);
        }
        if !timers_first {
            self.tick(node);
        }
        self.schedule_tick(node);
    }

    /// Sets the incarnation that a member has stored on disk.
    pub fn set_kept(&mut self, node: usize, incarnation: u64) {
        self.nodes[node].stored_incarnation = incarnation;
    }

    /// Gives a member the name, zone and stored incarnation of another one, as if its folder had been copied.
    pub fn take_name(&mut self, node: usize, of: usize) {
        let of = &self.nodes[of];
        let (name, zone, stored_incarnation) =
            (of.settings.name.clone(), of.settings.zone.clone(), of.stored_incarnation);
        let node = &mut self.nodes[node];
        (node.settings.name, node.settings.zone, node.stored_incarnation) = (name, zone, stored_incarnation);
    }

    /// Sets whether messages in flight are copied, to be replayed later.
    pub fn keep_copies(&mut self, keep: bool) {
        self.copies_messages = keep;
    }

    /// Takes the copies of messages, with their recipients; there are at most 5,000.
    pub fn copies(&mut self) -> Vec<(usize, Message)> {
        std::mem::take(&mut self.copies)
    }

    /// Sets the links from each node in `from` to each node in `to`.
    pub fn set_links(&mut self, from: &[usize], to: &[usize], link: Link) {
        for pair in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))) {
            self.links.insert(pair, link);
        }
    }

    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        self.set_links(from, to, Link { cut: true, ..Link::default() });
    }

    pub fn cut_both(&mut self, one: &[usize], other: &[usize]) {
        self.cut(one, other);
        self.cut(other, one);
    }

    /// Restores all links to [`link`](World::link).
    pub fn heal(&mut self) {
        self.links.clear();
    }

    /// Delivers a message that no member sent.
    pub fn inject(&mut self, to: usize, message: Message) {
        self.deliver(to, message);
    }

    // --- Time --------------------------------------------------------------------------------------------

    pub fn run_for(&mut self, span: Nanos) {
        let until = self.now + span;
        while self.scheduled.peek().is_some_and(|scheduled| scheduled.0.at <= until) {
            let Some(Reverse(scheduled)) = self.scheduled.pop() else { break };
            self.now = scheduled.at;
            match scheduled.what {
                Work::Timer(process) if process != self.nodes[scheduled.node].process => {}
                Work::Timer(_) if self.nodes[scheduled.node].stopped => {}
                Work::Timer(_) => {
                    self.tick(scheduled.node);
                    self.schedule_tick(scheduled.node);
                }
                Work::Delivery(message) => self.arrive(scheduled.node, *message),
            }
        }
        self.now = until;
    }

    /// Runs until the condition holds; returns how long that took, or `None` if it did not within `most`.
    pub fn run_until(&mut self, most: Nanos, mut holds: impl FnMut(&World) -> bool) -> Option<Nanos> {
        let from = self.now;
        while !holds(self) {
            if self.now >= from + most {
                return None;
            }
            self.run_for(20 * MS);
        }
        Some(self.now - from)
    }

    fn local(&self, node: usize) -> Nanos {
        self.now - self.nodes[node].clock_origin
    }

    fn tick(&mut self, node: usize) {
        let now = self.local(node);
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.on_timer(now, &mut out);
        }
        self.perform(node, out);
    }

    fn schedule_tick(&mut self, node: usize) {
        let n = &self.nodes[node];
        if let Some(core) = &n.core {
            let (at, process) = ((core.next_timer_at() + n.clock_origin).max(self.now + 1), n.process);
            self.schedule(at, node, Work::Timer(process));
        }
    }

    fn schedule(&mut self, at: Nanos, node: usize, what: Work) {
        self.sequence += 1;
        self.scheduled.push(Reverse(ScheduledWork { at, sequence: self.sequence, node, what }));
    }

    fn arrive(&mut self, node: usize, message: Message) {
        let n = &mut self.nodes[node];
        if !n.stopped {
            self.deliver(node, message);
        } else if n.queued.len() < SOCKET_QUEUE_LENGTH {
            n.queued.push_back(message);
        }
    }

    fn deliver(&mut self, node: usize, message: Message) {
        let now = self.local(node);
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.on_message(now, message, &mut out);
        }
        self.perform(node, out);
    }

    fn perform(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => self.send(node, to, message),
                Output::PersistIncarnation { incarnation } => {
                    self.nodes[node].stored_incarnation = incarnation
                }
                Output::Event(what) => self.told.push(Told { at: self.now, node, what }),
                Output::RouterCount(_) | Output::Payload { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let Some(to) = node_of(to).filter(|to| *to < self.nodes.len()) else { return };
        let link = self.links.get(&(from, to)).copied().unwrap_or(self.link);
        if link.cut {
            return;
        }
        if self.copies_messages && self.copies.len() < MAX_COPIES {
            self.copies.push((to, message.clone()));
        }
        let copies = 1 + usize::from(self.rng.random_bool(link.duplicates));
        for _ in 0..copies {
            if !self.rng.random_bool(link.loss) {
                let delay = link.delay + self.rng.random_range(0..=link.jitter);
                self.schedule(self.now + delay, to, Work::Delivery(Box::new(message.clone())));
            }
        }
    }

    // --- Observations ------------------------------------------------------------------------------------

    pub fn view(&self, node: usize) -> Option<View> {
        self.nodes[node].core.as_ref().map(Membership::view)
    }

    /// The number of messages that a member has sent.
    pub fn sent(&self, node: usize) -> u64 {
        self.nodes[node].core.as_ref().map_or(0, |core| core.counters().sent)
    }

    /// The state of `of` in the view of `by`; `None` if `by` does not know it or is not running.
    pub fn state(&self, of: usize, by: usize) -> Option<MemberState> {
        let name = name(of);
        self.view(by)?.members.into_iter().find(|m| m.info.name == name).map(|m| m.state)
    }

    /// All members that run and are not stopped.
    pub fn living(&self) -> Vec<usize> {
        let lives = |n: &Node| n.core.is_some() && !n.stopped;
        self.nodes.iter().enumerate().filter(|(_, n)| lives(n)).map(|(node, _)| node).collect()
    }

    /// Whether each of `by` has each of `those` in this state.
    pub fn all_think(&self, those: &[usize], state: MemberState, by: &[usize]) -> bool {
        by.iter().all(|by| those.iter().all(|of| of == by || self.state(*of, *by) == Some(state)))
    }

    /// Whether each running member sees each running member as alive.
    pub fn is_whole(&self) -> bool {
        let living = self.living();
        self.all_think(&living, MemberState::Alive, &living)
    }

    /// The number of deaths reported since then of members that now run and are not stopped.
    pub fn false_deaths(&self, since: Nanos) -> usize {
        let living: BTreeSet<String> = self.living().into_iter().map(name).collect();
        let deaths = self.told.iter().filter(|t| t.at >= since);
        deaths
            .filter(|t| matches!(&t.what, MembershipEvent::Died { name, .. } if living.contains(name)))
            .count()
    }

    pub fn count(&self, since: Nanos, of: impl Fn(&MembershipEvent) -> bool) -> usize {
        self.told.iter().filter(|t| t.at >= since && of(&t.what)).count()
    }
}
