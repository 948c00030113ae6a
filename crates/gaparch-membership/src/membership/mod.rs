//! The membership core of one router: what it receives, what it decides and what it sends.
//!
//! [`Membership`] owns all state. Its methods are split into one module per concern, and the state that
//! belongs to one concern is a separate type with a narrow interface.

mod connectivity;
mod identity;
mod probing;
mod quorum_count;
mod receive;
mod relay;
mod send;
mod suspicions;
mod sync;
mod updates;

use crate::counters::Counters;
use crate::dissemination::DisseminationQueue;
use crate::event::MembershipEvent;
use crate::link_failures::LinkFailures;
use crate::local_health::LocalHealth;
use crate::member::Member;
use crate::output::Output;
use crate::probes::Probes;
use crate::quorum::Quorum;
use crate::send_budget::SendBudget;
use crate::settings::Settings;
use crate::view::{MemberView, View};
use crate::{Nanos, SECOND};
use gaparch_protocol::fleet::{MemberInfo, MemberState};
use identity::LocalIdentity;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use sync::SyncSchedule;

/// How long members that are dead or have left are kept, so that old updates do not bring them back.
const GONE_MEMBER_RETENTION: Nanos = 3_600 * SECOND;
/// The shortest pause of the process that is reported as an event.
const MIN_REPORTED_PAUSE: Nanos = SECOND;

/// The membership protocol state machine of one router.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    rng: ChaCha8Rng,
    now: Nanos,
    identity: LocalIdentity,
    members: BTreeMap<String, Member>,
    links: LinkFailures,
    queue: DisseminationQueue,
    probes: Probes,
    health: LocalHealth,
    quorum: Quorum,
    sync: SyncSchedule,
    budget: SendBudget,
    counters: Counters,
    /// The number of routers by which this one divides the site's limits, as last output.
    divisor: u32,
    /// The number of members from which messages were recently received, as of the last tick.
    direct_peers: u16,
    /// The sequence number of the last message sent.
    seq: u64,
    /// The nonce of the last ping sent.
    nonce: u64,
    probe_rounds: u64,
    tick_at: Nanos,
    /// When members in doubt are probed next: in every probe interval, even while the probe timeout is
    /// extended.
    probe_doubtful_at: Nanos,
    has_too_many_routers: bool,
    has_left: bool,
}

impl Membership {
    /// Starts a member that does not know any other member yet.
    pub fn new(settings: Settings, now: Nanos, out: &mut Vec<Output>) -> Membership {
        let mut rng = seeded_rng(&settings);
        // A random offset keeps routers that were started together from probing in lockstep.
        let tick_at = now + rng.random_range(0..settings.probe_interval.max(1));
        let mut membership = Membership {
            rng,
            now,
            identity: LocalIdentity::new(settings.incarnation, now),
            members: BTreeMap::new(),
            links: LinkFailures::default(),
            queue: DisseminationQueue::default(),
            probes: Probes::default(),
            health: LocalHealth::new(now),
            quorum: Quorum::alone(),
            sync: SyncSchedule::new(now),
            budget: SendBudget::new(now),
            counters: Counters::default(),
            divisor: 0,
            direct_peers: 0,
            seq: 0,
            nonce: 0,
            probe_rounds: 0,
            tick_at,
            probe_doubtful_at: tick_at,
            has_too_many_routers: false,
            has_left: false,
            settings,
        };
        membership.persist_incarnation(out);
        membership.recount(out);
        membership
    }

    /// When [`on_timer`](Membership::on_timer) is to be called next.
    pub fn next_timer_at(&self) -> Nanos {
        self.tick_at
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The number of routers by which this one divides the limits that all share.
    pub fn divisor(&self) -> u32 {
        self.divisor
    }

    /// Carries out the work that is due.
    pub fn on_timer(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.advance(now);
        if self.now < self.tick_at || self.has_left {
            return;
        }
        self.schedule_tick(out);
        self.answer_overdue_relays(out);
        self.check_probe(out);
        self.check_suspicions(out);
        if self.now >= self.probes.next_at {
            self.start_probe(out);
        }
        if self.now >= self.probe_doubtful_at && self.settings.use_extensions {
            self.probe_doubtful_at = self.now + self.settings.probe_interval;
            self.probe_doubtful(out);
        }
        self.start_sync_if_due(out);
        self.check_connectivity(out);
        self.remove_expired();
        self.recount(out);
    }

    fn advance(&mut self, now: Nanos) {
        self.now = now.max(self.now);
    }

    /// Schedules the next tick, and detects a pause of the process.
    fn schedule_tick(&mut self, out: &mut Vec<Output>) {
        let late = self.now - self.tick_at;
        let tick = (self.settings.probe_interval / 2).max(1);
        // Missed ticks are skipped: catching up would only send a burst of outdated pings.
        self.tick_at = if late > tick { self.now + tick } else { self.tick_at + tick };
        if late > self.settings.pause_threshold() {
            self.on_resumed(late, out);
        } else if late > tick && self.settings.use_extensions {
            self.health.degrade(1);
        }
    }

    /// The process was paused: discards or restarts everything that is based on elapsed time, before it takes
    /// effect.
    fn on_resumed(&mut self, paused_for: Nanos, out: &mut Vec<Output>) {
        if !self.settings.use_extensions {
            return;
        }
        if paused_for >= MIN_REPORTED_PAUSE {
            out.push(Output::Event(MembershipEvent::Resumed { paused_for }));
        }
        self.health.on_resumed(self.nonce, self.now);
        self.probes.current = None;
        self.probes.next_at = self.now;
        for member in self.members.values_mut() {
            member.unanswered_pings = None;
        }
        self.restart_suspicions();
    }

    fn restart_suspicions(&mut self) {
        for suspicion in self.members.values_mut().filter_map(|member| member.suspicion.as_mut()) {
            suspicion.restart(self.now);
        }
    }

    /// Removes members that have been gone for long, outdated duplicates, and outdated link states.
    fn remove_expired(&mut self) {
        let now = self.now;
        let is_expired = |member: &Member| {
            !member.is_present() && now >= member.state_since.saturating_add(GONE_MEMBER_RETENTION)
        };
        self.members.retain(|_, member| {
            member.duplicate.take_if(|duplicate| duplicate.is_confirmed && duplicate.is_outdated(now));
            !is_expired(member)
        });
        self.identity.remove_outdated_duplicate(now);
        let members = &self.members;
        let local = &self.settings.name;
        let is_present = |name: &str| name == local || members.get(name).is_some_and(Member::is_present);
        self.links.retain(is_present, now);
    }

    fn present(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.members.iter().filter(|(_, member)| member.is_present())
    }

    /// The names of all other members that are present.
    pub fn present_peers(&self) -> Vec<String> {
        self.present().map(|(name, _)| name.clone()).collect()
    }

    /// This router's current description of itself.
    pub fn local_info(&self) -> MemberInfo {
        MemberInfo {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            build: self.settings.build.clone(),
            address: self.settings.address.to_string(),
            run_id: self.settings.run_id,
            incarnation: self.identity.incarnation(),
            heartbeat: self.heartbeat(),
        }
    }

    fn heartbeat(&self) -> u64 {
        self.identity.heartbeat(self.now)
    }

    /// The current state of the fleet as this router sees it.
    pub fn view(&self) -> View {
        View {
            local: self.local_info(),
            members: self.members.values().map(member_view).collect(),
            failed_links: self.links.view(),
            has_quorum: self.quorum.has_quorum,
            present: self.quorum.present,
            counted: self.quorum.counted,
            divisor: self.divisor,
            connectivity: self.health.connectivity(),
            is_recovering: self.health.is_recovering(),
            local_health: self.health.score(),
            counters: self.counters,
        }
    }
}

fn seeded_rng(settings: &Settings) -> ChaCha8Rng {
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&settings.seed.to_le_bytes());
    seed[8..16].copy_from_slice(&settings.run_id.to_le_bytes());
    ChaCha8Rng::from_seed(seed)
}

fn member_view(member: &Member) -> MemberView {
    let accused_by = match &member.suspicion {
        Some(suspicion) => suspicion.accusers.clone(),
        None if member.reported_by.is_empty() => Vec::new(),
        None => vec![member.reported_by.clone()],
    };
    let duplicate = member.duplicate.as_ref().filter(|duplicate| duplicate.is_confirmed);
    MemberView {
        info: member.info.clone(),
        state: member.state,
        state_since: member.state_since,
        last_alive_at: member.last_alive_at,
        last_received_at: member.last_received_at,
        accused_by,
        duplicate_address: duplicate.map(|duplicate| duplicate.info.address.clone()),
        is_isolated: member.state == MemberState::Alive && member.direct_peers == 0,
    }
}
