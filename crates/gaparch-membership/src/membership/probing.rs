//! Probing: which members are pinged, and what follows from a missing answer.

use super::Membership;
use crate::dissemination::Topic;
use crate::member::Member;
use crate::output::Output;
use crate::probes::Probe;
use gaparch_protocol::fleet::{MemberState, MessageBody};
use rand::seq::IndexedRandom;
use rand::RngExt;
use std::net::SocketAddr;

/// The number of members that are asked to ping a member that does not answer.
const HELPERS: usize = 3;
/// The maximum number of members in doubt that are pinged in one interval, beside the regular probe.
const MAX_DOUBTFUL_PINGS: usize = 6;
/// Helpers are asked to ping a suspect as well after each such number of this router's own pings.
const PINGS_PER_HELP_REQUEST: u32 = super::suspicions::MIN_PINGS_BEFORE_DEATH / 2;
/// The number of probe rounds between pings of a dead member and of a seed at which no member is present: a
/// partition may have healed.
const REJOIN_ROUNDS: u64 = 5;

impl Membership {
    /// Checks the current probe: asks helpers after half of the timeout, and treats the probe as failed after
    /// the full timeout.
    pub(super) fn check_probe(&mut self, out: &mut Vec<Output>) {
        let Some(mut probe) = self.probes.current.take() else { return };
        let target = self.members.get(&probe.target);
        let is_answered = target.is_none_or(|member| member.last_received_at >= Some(probe.sent_at));
        if is_answered {
            self.health.improve();
            return;
        }
        let waited = self.now.saturating_sub(probe.sent_at);
        let timeout = self.probe_timeout();
        if waited >= timeout / 2 && probe.helpers == 0 {
            probe.helpers = self.ask_helpers(&probe, out).max(1);
        }
        if waited < timeout {
            self.probes.current = Some(probe);
            return;
        }
        self.on_probe_failed(&probe, out);
    }

    /// The probe interval, extended according to this router's local health.
    pub(super) fn probe_timeout(&self) -> u64 {
        self.settings.probe_interval * self.health.timeout_factor()
    }

    /// Asks some members to ping the target as well; returns how many.
    fn ask_helpers(&mut self, probe: &Probe, out: &mut Vec<Output>) -> usize {
        let Some(target) = self.members.get(&probe.target) else { return 0 };
        let address = target.info.address.clone();
        let helpers = self.choose_helpers(&probe.target);
        for helper in &helpers {
            let body = MessageBody::PingRequest {
                nonce: probe.nonce,
                target: probe.target.clone(),
                address: address.clone(),
            };
            self.send_to_member(helper, body, &[], out);
        }
        helpers.len()
    }

    /// Chooses helpers at random, preferring other zones: a failure that isolates this zone may leave the
    /// others connected.
    fn choose_helpers(&mut self, target: &str) -> Vec<String> {
        let members = self.members.values();
        let eligible =
            members.filter(|member| member.state == MemberState::Alive && member.info.name != target);
        let mut ranked: Vec<(bool, u64, String)> = eligible
            .map(|member| {
                let is_same_zone = member.info.zone == self.settings.zone;
                (is_same_zone, self.rng.random(), member.info.name.clone())
            })
            .collect();
        ranked.sort_unstable();
        // One helper is from this router's own zone, if it has another live member.
        let first_same_zone = ranked.iter().position(|(is_same_zone, ..)| *is_same_zone);
        if let Some(position) = first_same_zone.filter(|position| *position >= HELPERS) {
            ranked.swap(position, HELPERS - 1);
        }
        ranked.truncate(HELPERS);
        ranked.into_iter().map(|(.., name)| name).collect()
    }

    fn on_probe_failed(&mut self, probe: &Probe, out: &mut Vec<Output>) {
        let Some(member) = self.members.get_mut(&probe.target) else { return };
        if !member.is_present() {
            return;
        }
        if member.info.heartbeat > probe.last_heartbeat {
            // Other members receive its messages, so only the link to this router is in doubt.
            member.unanswered_pings.get_or_insert(0);
            self.health.improve();
            return;
        }
        if self.settings.use_extensions {
            // Lifeguard: helpers that did not even send a nack indicate a fault of this router itself.
            let missing_nacks = probe.helpers.saturating_sub(probe.nacks) as u32;
            self.health.degrade(1 + missing_nacks.min(1));
        }
        if self.may_suspect() {
            self.suspect(&probe.target, probe.last_heartbeat, out);
        }
    }

    /// Starts the next probe; in some rounds, also pings a dead member and a seed.
    pub(super) fn start_probe(&mut self, out: &mut Vec<Output>) {
        self.probe_rounds += 1;
        self.probes.next_at = self.now + self.probe_timeout();
        if let Some(target) = self.next_probe_target() {
            let member = self.members.get(&target);
            let last_heartbeat = member.map_or(0, |member| member.heartbeat_at(self.now));
            let nonce = self.ping(&target, out);
            self.probes.current = Some(Probe::new(target, nonce, self.now, last_heartbeat));
        }
        let is_alone = self.present().next().is_none();
        if is_alone || self.probe_rounds.is_multiple_of(REJOIN_ROUNDS) {
            self.ping_dead_member(out);
            self.ping_unknown_seed(out);
        }
    }

    fn next_probe_target(&mut self) -> Option<String> {
        let members = &self.members;
        let is_present = |name: &str| members.get(name).is_some_and(Member::is_present);
        let present = members.iter().filter(|(_, member)| member.is_present()).map(|(name, _)| name);
        self.probes.next_target(&mut self.rng, is_present, present)
    }

    /// Pings suspects, and members whose messages reach other members but not this router. Every member that
    /// knows of a suspicion pings the suspect itself, so that false suspicions are refuted quickly and true
    /// ones are confirmed.
    pub(super) fn probe_doubtful(&mut self, out: &mut Vec<Output>) {
        let is_doubtful = |member: &Member| member.suspicion.is_some() || member.unanswered_pings.is_some();
        let doubtful = self.present().filter(|(_, member)| is_doubtful(member));
        let names: Vec<String> = doubtful.map(|(name, _)| name.clone()).collect();
        let mut has_asked_helpers = false;
        for name in self.sample(names, MAX_DOUBTFUL_PINGS) {
            let nonce = self.ping(&name, out);
            let Some(member) = self.members.get_mut(&name) else { continue };
            if let Some(pings) = &mut member.unanswered_pings {
                *pings = pings.saturating_add(1);
            }
            let Some(suspicion) = &mut member.suspicion else { continue };
            suspicion.count_attempt(self.now);
            if !has_asked_helpers && suspicion.attempts.is_multiple_of(PINGS_PER_HELP_REQUEST) {
                has_asked_helpers = true;
                let probe = Probe::new(name, nonce, self.now, suspicion.last_heartbeat);
                self.ask_helpers(&probe, out);
            }
        }
    }

    fn ping_dead_member(&mut self, out: &mut Vec<Output>) {
        let dead = self.members.iter().filter(|(_, member)| member.state == MemberState::Dead);
        let names: Vec<String> = dead.map(|(name, _)| name.clone()).collect();
        if let Some(name) = names.choose(&mut self.rng) {
            self.ping(name, out);
        }
    }

    fn ping_unknown_seed(&mut self, out: &mut Vec<Output>) {
        let is_known = |seed: &SocketAddr| {
            let address = seed.to_string();
            let mut members = self.members.values();
            members.any(|member| member.is_present() && member.info.address == address)
        };
        let seeds = self.settings.seeds.iter();
        let unknown: Vec<SocketAddr> =
            seeds.filter(|seed| **seed != self.settings.address && !is_known(seed)).copied().collect();
        if let Some(seed) = unknown.choose(&mut self.rng) {
            let nonce = self.next_nonce();
            self.send(*seed, String::new(), MessageBody::Ping { nonce }, &[], out);
        }
    }

    fn ping(&mut self, name: &str, out: &mut Vec<Output>) -> u64 {
        let nonce = self.next_nonce();
        // Lifeguard's buddy system: the ping tells a suspect of the suspicion, so that it can refute it.
        let is_accused = self.members.get(name).is_some_and(|member| member.state != MemberState::Alive);
        let topic = is_accused.then(|| Topic::Member(name.to_owned()));
        self.send_to_member(name, MessageBody::Ping { nonce }, topic.as_slice(), out);
        nonce
    }
}
