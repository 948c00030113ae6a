//! Health of servers, by symptom and against their peers.

use super::constants::*;
use super::Policy;
use crate::api::*;
use crate::state::*;

impl Policy {
    pub(crate) fn ill(&self, s: &Server, part: Option<Part>) -> bool {
        let rests = s.rests(self.now, None) || part.is_some() && s.rests(self.now, part);
        s.unreachable || rests || s.pace_ratio >= SLOW_SHUN && s.unbegun > 0
    }

    /// Takes a server out for a while, for all traffic or for a part that it refuses or leaves unanswered
    /// while it serves the rest. One failure has to tell where a router seldom meets a server.
    pub(super) fn rest(&mut self, server: ServerId, part: Option<Part>) {
        let visits = REST_VISITS * self.seen.gap(self.now, SEEN_SPAN) * self.servers.len() as f64;
        let (now, least) = (self.now, (visits as Nanos).clamp(RECENTLY, REST_MOST));
        self.servers.get_mut(&server).into_iter().for_each(|s| s.rest(now, part, least, REST_MOST));
    }

    pub(super) fn note_health(&mut self, o: &AttemptOutcome) {
        let (now, part) = (self.now, self.works.get(&o.id).map(Work::part));
        let Some(s) = self.servers.get_mut(&o.server) else { return };
        if o.status.is_answer() {
            s.answered(now, o.latency);
        }
        let heard = o.status.is_answer() || o.status == AttemptStatus::Reset;
        s.heard_at = if heard { now } else { s.heard_at };
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
            // A probe tells when it is back. A broken connection alone is no new process, and not cold.
            AttemptStatus::ConnectFailed | AttemptStatus::Reset => {
                (s.unreachable, s.lost, s.probe_at) = (true, s.lost || o.status != AttemptStatus::Reset, now);
            }
            _ => {}
        }
    }

    pub(super) fn on_probed(
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
            let late = s.role != Role::Prefill && latency >= LOOK_LATE;
            s.full_at = if late { Some(now) } else { s.full_at };
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

    pub(super) fn probe(&mut self) {
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
