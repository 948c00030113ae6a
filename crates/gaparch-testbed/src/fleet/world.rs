//! Many membership cores in one process, in virtual time: links lose, delay and cut, members stop, die and come back.
//! The same seed gives the same day.

use gaparch_membership::{Membership, MembershipEvent, Nanos, Output, Settings, View};
use gaparch_protocol::fleet::{MemberState, Message};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;
/// Datagrams that a stopped process finds when it wakes; the system drops the rest.
const SOCKET_ROOM: usize = 256;

const MOST_COPIES: usize = 5_000;

/// How a link behaves, in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    pub loss: f64,
    pub duplicates: f64,
    /// Least delay, and what may come on top of it: with that, messages overtake one another.
    pub delay: Nanos,
    pub jitter: Nanos,
    pub cut: bool,
}

impl Default for Link {
    fn default() -> Self {
        Link { loss: 0.0, duplicates: 0.0, delay: MS / 2, jitter: MS / 2, cut: false }
    }
}

#[derive(Clone, Debug, PartialEq)]
enum What {
    Tick(u64),
    Arrives(Box<Message>),
}

/// In the order of time; ties in the order they were made.
#[derive(Clone, Debug)]
struct Due {
    at: Nanos,
    number: u64,
    node: usize,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

#[derive(Debug)]
struct Node {
    core: Option<Membership>,
    settings: Settings,
    stopped: bool,
    /// What waits in its socket while it is stopped.
    waiting: VecDeque<Message>,
    /// Grows with each process, so that an earlier one's ticks are known.
    process: u64,
    kept: u64,
    clock_from: Nanos,
}

/// Something that a node told of.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub at: Nanos,
    pub node: usize,
    pub what: MembershipEvent,
}

/// A fleet in virtual time.
#[derive(Debug)]
pub struct World {
    pub now: Nanos,
    pub told: Vec<Told>,
    /// For every pair without one of its own.
    pub link: Link,
    links: BTreeMap<(usize, usize), Link>,
    nodes: Vec<Node>,
    due: BinaryHeap<Reverse<Due>>,
    number: u64,
    rng: ChaCha8Rng,
    copying: bool,
    copies: Vec<(usize, Message)>,
}

/// What the members of a world are told, beside their names.
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
    /// So many members that all start now, and know the first two.
    pub fn new(members: usize, terms: Terms) -> World {
        let mut world = World {
            now: SECOND,
            told: Vec::new(),
            link: Link::default(),
            links: BTreeMap::new(),
            nodes: Vec::new(),
            due: BinaryHeap::new(),
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(terms.seed),
            copying: false,
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
                waiting: VecDeque::new(),
                process: 0,
                kept: 0,
                clock_from: 0,
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

    // --- What is done to it ------------------------------------------------------------------------------

    /// Starts a member, or starts it again under the same name.
    pub fn start(&mut self, node: usize) {
        let run = self.rng.random();
        let n = &mut self.nodes[node];
        n.process += 1;
        n.clock_from = self.now - SECOND;
        let settings = Settings { run_id: run, incarnation: n.kept + 1, ..n.settings.clone() };
        let mut out = Vec::new();
        n.core = Some(Membership::new(settings, SECOND, &mut out));
        (n.stopped, n.waiting) = (false, VecDeque::new());
        self.carry_out(node, out);
        self.plan_tick(node);
    }

    /// It is gone at once, without a word.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].core = None;
    }

    /// It leaves in good order.
    pub fn leave(&mut self, node: usize) {
        let mut out = Vec::new();
        let now = self.local(node);
        if let Some(mut core) = self.nodes[node].core.take() {
            core.leave(now, &mut out);
        }
        self.carry_out(node, out);
    }

    pub fn stop(&mut self, node: usize) {
        self.nodes[node].stopped = true;
    }

    /// It goes on where it was stopped: its socket first, or its timers, as the system likes.
    pub fn go_on(&mut self, node: usize) {
        self.nodes[node].stopped = false;
        let waiting = std::mem::take(&mut self.nodes[node].waiting);
        let timers_first = self.rng.random_bool(0.5);
        if timers_first {
            self.tick(node);
        }
        for message in waiting {
            self.hand_over(node, message);
        }
        if !timers_first {
            self.tick(node);
        }
        self.plan_tick(node);
    }

    /// What it has kept on disk is that from now on.
    pub fn set_kept(&mut self, node: usize, incarnation: u64) {
        self.nodes[node].kept = incarnation;
    }

    /// It takes another one's name, zone and kept incarnation, as a copy of that one's folder would.
    pub fn take_name(&mut self, node: usize, of: usize) {
        let of = &self.nodes[of];
        let (name, zone, kept) = (of.settings.name.clone(), of.settings.zone.clone(), of.kept);
        let node = &mut self.nodes[node];
        (node.settings.name, node.settings.zone, node.kept) = (name, zone, kept);
    }

    /// Whether messages under way are copied, for somebody to send them again.
    pub fn keep_copies(&mut self, keep: bool) {
        self.copying = keep;
    }

    /// Copies of messages, by whom they were for; at most some thousands.
    pub fn copies(&mut self) -> Vec<(usize, Message)> {
        std::mem::take(&mut self.copies)
    }

    /// Changes links between all of these and all of those, in that direction.
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

    /// All links are as [`link`](World::link) says again.
    pub fn heal(&mut self) {
        self.links.clear();
    }

    /// A message that comes from nowhere.
    pub fn inject(&mut self, to: usize, message: Message) {
        self.hand_over(to, message);
    }

    // --- Time --------------------------------------------------------------------------------------------

    pub fn run_for(&mut self, span: Nanos) {
        let until = self.now + span;
        while self.due.peek().is_some_and(|due| due.0.at <= until) {
            let Some(Reverse(due)) = self.due.pop() else { break };
            self.now = due.at;
            match due.what {
                What::Tick(process) if process != self.nodes[due.node].process => {}
                What::Tick(_) if self.nodes[due.node].stopped => {}
                What::Tick(_) => {
                    self.tick(due.node);
                    self.plan_tick(due.node);
                }
                What::Arrives(message) => self.arrive(due.node, *message),
            }
        }
        self.now = until;
    }

    /// Lets time pass until it holds; how long that took, or `None` within the bound.
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
        self.now - self.nodes[node].clock_from
    }

    fn tick(&mut self, node: usize) {
        let now = self.local(node);
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.on_timer(now, &mut out);
        }
        self.carry_out(node, out);
    }

    fn plan_tick(&mut self, node: usize) {
        let n = &self.nodes[node];
        if let Some(core) = &n.core {
            let (at, process) = ((core.next_timer_at() + n.clock_from).max(self.now + 1), n.process);
            self.plan(at, node, What::Tick(process));
        }
    }

    fn plan(&mut self, at: Nanos, node: usize, what: What) {
        self.number += 1;
        self.due.push(Reverse(Due { at, number: self.number, node, what }));
    }

    fn arrive(&mut self, node: usize, message: Message) {
        let n = &mut self.nodes[node];
        if !n.stopped {
            self.hand_over(node, message);
        } else if n.waiting.len() < SOCKET_ROOM {
            n.waiting.push_back(message);
        }
    }

    fn hand_over(&mut self, node: usize, message: Message) {
        let now = self.local(node);
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.on_message(now, message, &mut out);
        }
        self.carry_out(node, out);
    }

    fn carry_out(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => self.send(node, to, message),
                Output::PersistIncarnation { incarnation } => self.nodes[node].kept = incarnation,
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
        if self.copying && self.copies.len() < MOST_COPIES {
            self.copies.push((to, message.clone()));
        }
        let copies = 1 + usize::from(self.rng.random_bool(link.duplicates));
        for _ in 0..copies {
            if !self.rng.random_bool(link.loss) {
                let delay = link.delay + self.rng.random_range(0..=link.jitter);
                self.plan(self.now + delay, to, What::Arrives(Box::new(message.clone())));
            }
        }
    }

    // --- What is seen ------------------------------------------------------------------------------------

    pub fn view(&self, node: usize) -> Option<View> {
        self.nodes[node].core.as_ref().map(Membership::view)
    }

    /// Messages that one has sent.
    pub fn sent(&self, node: usize) -> u64 {
        self.nodes[node].core.as_ref().map_or(0, |core| core.counters().sent)
    }

    /// What one thinks of another; `None` if it knows nothing of it, or is not there.
    pub fn state(&self, of: usize, by: usize) -> Option<MemberState> {
        let name = name(of);
        self.view(by)?.members.into_iter().find(|m| m.info.name == name).map(|m| m.state)
    }

    /// All that are at work, and not stopped.
    pub fn living(&self) -> Vec<usize> {
        let lives = |n: &Node| n.core.is_some() && !n.stopped;
        self.nodes.iter().enumerate().filter(|(_, n)| lives(n)).map(|(node, _)| node).collect()
    }

    /// Every one of these thinks that of every one of those.
    pub fn all_think(&self, those: &[usize], state: MemberState, by: &[usize]) -> bool {
        by.iter().all(|by| those.iter().all(|of| of == by || self.state(*of, *by) == Some(state)))
    }

    /// All that are at work know all of them as alive, and none besides who is not.
    pub fn is_whole(&self) -> bool {
        let living = self.living();
        self.all_think(&living, MemberState::Alive, &living)
    }

    /// Deaths told of members that were at work and not stopped, from then on.
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
