//! A router with a small site, and short words for the events and actions of the tests.
#![allow(dead_code)]

pub mod draws;

use gaparch_scheduler::api::*;
use gaparch_scheduler::policy::Policy;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

pub fn class(effect: Idempotency, group: DeduplicationScope) -> TrafficClass {
    TrafficClass {
        idempotency: effect,
        deduplication_scope: group,
        deduplication_window: 2 * S,
        latency_objective: S,
        latency_objective_per_prompt_token: 0.0,
        deadline: 5 * S,
        token_latency_objective: 50 * MS,
        priority_weight: 1.0,
        late_priority_weight: 0.1,
        streamed: true,
    }
}

/// A prefill, a decode and a mixed kind, with their KV capacities in tokens.
pub fn kinds(capacities: [f64; 3]) -> Vec<ServerKind> {
    let roles = [Role::Prefill, Role::Decode, Role::Mixed];
    let kind = |(role, kv_capacity_tokens)| ServerKind { role: Some(role), kv_capacity_tokens };
    roles.into_iter().zip(capacities).map(kind).collect()
}

pub fn settings() -> Settings {
    Settings {
        router_count: 2,
        classes: vec![class(Idempotency::Idempotent, DeduplicationScope::All)],
        kinds: kinds([100_000.0; 3]),
        kv_release_within: 500 * MS,
        can_cancel: true,
        can_probe: false,
        max_attempts: 5,
        drain_grace: 500 * MS,
        slow_start_speed: 0.3,
        slow_start_duration: 10 * S,
        overload_factor: 2.5,
        overload_window: 2 * S,
        answer_grace: 8 * MS,
        step: 2 * MS,
        ..Settings::default()
    }
}

pub fn entry(server: u32, kind: usize, cell: u64) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        zone: Some(ZoneId(cell as usize)),
        kind: Some(KindId(kind)),
        cell: Some(CellId(cell)),
        state: ServerState::Ready,
        weight: None,
        started_at: None,
    }
}

/// Prefill workers 1 and 2, decode workers 11 and 12, a cell for each pair.
pub fn pairs() -> Vec<Endpoint> {
    vec![entry(1, 0, 0), entry(2, 0, 1), entry(11, 1, 0), entry(12, 1, 1)]
}

pub struct Router {
    pub policy: Policy,
    pub now: Nanos,
    pub attempts: std::collections::BTreeMap<u64, u32>,
    pub log: Vec<Action>,
    timers: Vec<(Nanos, TimerToken)>,
    /// Timers come due at whole steps only, as where a site's batches are that far apart.
    pub step: Nanos,
}

impl Router {
    pub fn new(settings: Settings, entries: Vec<Endpoint>) -> Router {
        let mut router = Router {
            policy: Policy::new(settings),
            now: 100 * S,
            attempts: Default::default(),
            log: Vec::new(),
            timers: Vec::new(),
            step: 1,
        };
        router.members(EndpointUpdate::Cached, entries);
        router
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let actions = self.policy.handle(self.now, event);
        for action in &actions {
            match action {
                Action::SetTimer { token, delay } => {
                    self.timers.push(((self.now + delay).next_multiple_of(self.step), *token))
                }
                Action::Send { id, .. } => *self.attempts.entry(id.0).or_default() += 1,
                _ => {}
            }
        }
        let rest: Vec<Action> =
            actions.into_iter().filter(|a| !matches!(a, Action::SetTimer { .. })).collect();
        self.log.extend(rest.iter().cloned());
        rest
    }

    pub fn members(&mut self, kind: EndpointUpdate, entries: Vec<Endpoint>) -> Vec<Action> {
        self.event(Event::EndpointsChanged { update: kind, endpoints: entries.into() })
    }

    /// Lets time pass, with the timers that fall due; returns what was done.
    pub fn pass(&mut self, span: Nanos) -> Vec<Action> {
        let until = self.now + span;
        let mut done = Vec::new();
        while let Some(at) = self.timers.iter().map(|t| t.0).filter(|at| *at <= until).min() {
            let index = self.timers.iter().position(|t| t.0 == at).unwrap_or(0);
            let (at, token) = self.timers.remove(index);
            self.now = at;
            done.extend(self.event(Event::TimerFired(token)));
        }
        self.now = until;
        done
    }

    pub fn request(&self, id: u64) -> Request {
        Request {
            id: RequestId(id),
            class: ClassId(0),
            tenant: None,
            session: Some(AffinityKey(id)),
            prefix: None,
            prompt_tokens: 1000.0,
            prefix_tokens: 0.0,
            max_output_tokens: 200.0,
            expected_duration: None,
            deadline_at: self.now + 5 * S,
            client_retry: false,
            client_reconnect: false,
        }
    }

    pub fn ask(&mut self, id: u64) -> Vec<Action> {
        let request = self.request(id);
        self.event(Event::RequestArrived(request))
    }

    pub fn outcome_with(&mut self, id: u64, server: u32, status: AttemptStatus, note: u64) -> Vec<Action> {
        let attempt = AttemptNumber(self.attempts.get(&id).map_or(0, |n| n - 1));
        self.event(Event::AttemptFinished(AttemptOutcome {
            id: RequestId(id),
            attempt,
            server: ServerId(server),
            status,
            latency: 10 * MS,
            request_finished: status == AttemptStatus::Ok,
            cached_prompt_tokens: OutcomeNote(note).cached_prompt_tokens(status),
            kv_cache_missing: OutcomeNote(note).kv_cache_missing(status),
            report: None,
        }))
    }

    pub fn outcome(&mut self, id: u64, server: u32, status: AttemptStatus) -> Vec<Action> {
        self.outcome_with(id, server, status, 0)
    }

    pub fn first(&mut self, id: u64, server: u32) -> Vec<Action> {
        self.first_after(id, server, 20 * MS)
    }

    pub fn first_after(&mut self, id: u64, server: u32, latency: Nanos) -> Vec<Action> {
        let attempt = AttemptNumber(self.attempts.get(&id).map_or(0, |n| n - 1));
        self.event(Event::FirstToken { id: RequestId(id), attempt, server: ServerId(server), latency })
    }

    /// The same where probes come first; they are answered at once.
    pub fn stream_after_probes(&mut self, id: u64) -> (u32, u32) {
        let mut done = self.ask(id);
        for _ in 0..20 {
            let probed = |a: &Action| match a {
                Action::Probe(server) => Some(*server),
                _ => None,
            };
            let probes: Vec<ServerId> = done.iter().filter_map(probed).collect();
            let prefill_worker = sent_to(&done);
            done = self.pass(2 * MS);
            for server in probes {
                let ok =
                    Event::ProbeFinished { server, status: AttemptStatus::Ok, latency: 2 * MS, report: None };
                done.extend(self.event(ok));
            }
            if let Some(prefill_worker) = prefill_worker {
                let decode_worker =
                    sent_to(&self.outcome(id, prefill_worker, AttemptStatus::Prefilled)).expect("a write");
                self.first(id, decode_worker);
                return (prefill_worker, decode_worker);
            }
        }
        panic!("no read")
    }

    /// Asks, reads and begins to write; returns the prefill worker and the decode worker.
    pub fn stream(&mut self, id: u64) -> (u32, u32) {
        let prefill_worker = sent_to(&self.ask(id)).expect("a read");
        let decode_worker =
            sent_to(&self.outcome(id, prefill_worker, AttemptStatus::Prefilled)).expect("a write");
        self.first(id, decode_worker);
        (prefill_worker, decode_worker)
    }
}

/// The server of the first send among the actions.
pub fn sent_to(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

pub fn answers(actions: &[Action], id: u64) -> usize {
    let of = |a: &&Action| match a {
        Action::Reject { id: i, .. } | Action::Fail { id: i, .. } => i.0 == id,
        _ => false,
    };
    actions.iter().filter(of).count()
}

pub fn released(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::ReleaseKv(RequestId(id)))
}

pub fn failed(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id: i, .. } if i.0 == id))
}

pub fn rejected(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if i.0 == id))
}

/// Why that request was rejected or failed.
pub fn why(actions: &[Action], id: u64) -> Option<GiveUpCause> {
    actions.iter().find_map(|a| match a {
        Action::Reject { id: i, cause: why, .. } | Action::Fail { id: i, cause: why } if i.0 == id => {
            Some(*why)
        }
        _ => None,
    })
}
