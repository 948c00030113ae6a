//! A test harness: a router with a small site, and helpers for the events that it gets and the actions it
//! returns.
#![allow(dead_code)]

pub mod random;

use gaparch_scheduler::api::*;
use gaparch_scheduler::policy::Policy;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

/// The outcome of an attempt without a load report; `Ok` finishes the request.
pub fn attempt_outcome(
    id: RequestId,
    attempt: AttemptNumber,
    server: ServerId,
    status: AttemptStatus,
    latency: Nanos,
) -> AttemptOutcome {
    AttemptOutcome {
        id,
        attempt,
        server,
        status,
        latency,
        request_finished: status == AttemptStatus::Ok,
        cached_prompt_tokens: 0,
        kv_cache_missing: false,
        report: None,
    }
}

pub fn class(idempotency: Idempotency, scope: DeduplicationScope) -> TrafficClass {
    TrafficClass {
        idempotency,
        deduplication_scope: scope,
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

/// One kind each of prefill, decode and mixed servers, with these KV capacities in tokens.
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

pub fn endpoint(server: u32, kind: usize, cell: u64) -> Endpoint {
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

/// Two cells with a prefill and a decode worker each: servers 1 and 11, and servers 2 and 12.
pub fn two_cells() -> Vec<Endpoint> {
    vec![endpoint(1, 0, 0), endpoint(2, 0, 1), endpoint(11, 1, 0), endpoint(12, 1, 1)]
}

pub struct Router {
    pub policy: Policy,
    pub now: Nanos,
    /// The number of attempts sent, by request.
    pub attempt_counts: std::collections::BTreeMap<u64, u32>,
    /// All actions so far, without timers.
    pub actions: Vec<Action>,
    timers: Vec<(Nanos, TimerToken)>,
    /// Timers fire only at multiples of this step, as at a site that handles events in batches that far
    /// apart.
    pub step: Nanos,
}

impl Router {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Router {
        let mut router = Router {
            policy: Policy::new(settings),
            now: 100 * S,
            attempt_counts: Default::default(),
            actions: Vec::new(),
            timers: Vec::new(),
            step: 1,
        };
        router.update_endpoints(EndpointUpdate::Cached, endpoints);
        router
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let actions = self.policy.handle(self.now, event);
        for action in &actions {
            match action {
                Action::SetTimer { token, delay } => {
                    self.timers.push(((self.now + delay).next_multiple_of(self.step), *token))
                }
                Action::Send { id, .. } => *self.attempt_counts.entry(id.0).or_default() += 1,
                _ => {}
            }
        }
        let other_actions: Vec<Action> =
            actions.into_iter().filter(|a| !matches!(a, Action::SetTimer { .. })).collect();
        self.actions.extend(other_actions.iter().cloned());
        other_actions
    }

    pub fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) -> Vec<Action> {
        self.handle(Event::EndpointsChanged { update, endpoints: endpoints.into() })
    }

    /// Advances the time, and fires the timers that are due; returns the actions that follow.
    pub fn advance(&mut self, span: Nanos) -> Vec<Action> {
        let until = self.now + span;
        let mut actions = Vec::new();
        while let Some(at) = self.timers.iter().map(|t| t.0).filter(|at| *at <= until).min() {
            let index = self.timers.iter().position(|t| t.0 == at).unwrap_or(0);
            let (at, token) = self.timers.remove(index);
            self.now = at;
            actions.extend(self.handle(Event::TimerFired(token)));
        }
        self.now = until;
        actions
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

    /// Lets a request with default values arrive.
    pub fn submit(&mut self, id: u64) -> Vec<Action> {
        let request = self.request(id);
        self.handle(Event::RequestArrived(request))
    }

    /// Ends the latest attempt of a request.
    pub fn finish_attempt_with_note(
        &mut self,
        id: u64,
        server: u32,
        status: AttemptStatus,
        note: u64,
    ) -> Vec<Action> {
        let attempt = AttemptNumber(self.attempt_counts.get(&id).map_or(0, |n| n - 1));
        self.handle(Event::AttemptFinished(AttemptOutcome {
            cached_prompt_tokens: OutcomeNote(note).cached_prompt_tokens(status),
            kv_cache_missing: OutcomeNote(note).kv_cache_missing(status),
            ..attempt_outcome(RequestId(id), attempt, ServerId(server), status, 10 * MS)
        }))
    }

    pub fn finish_attempt(&mut self, id: u64, server: u32, status: AttemptStatus) -> Vec<Action> {
        self.finish_attempt_with_note(id, server, status, 0)
    }

    pub fn first_token(&mut self, id: u64, server: u32) -> Vec<Action> {
        self.first_token_after(id, server, 20 * MS)
    }

    pub fn first_token_after(&mut self, id: u64, server: u32, latency: Nanos) -> Vec<Action> {
        let attempt = AttemptNumber(self.attempt_counts.get(&id).map_or(0, |n| n - 1));
        self.handle(Event::FirstToken { id: RequestId(id), attempt, server: ServerId(server), latency })
    }

    /// Like [`Router::start_stream`] where the prefill may wait for load probes, which are answered after 2
    /// ms.
    pub fn start_stream_with_probes(&mut self, id: u64) -> (u32, u32) {
        let mut actions = self.submit(id);
        for _ in 0..20 {
            let probed_server = |a: &Action| match a {
                Action::Probe(server) => Some(*server),
                _ => None,
            };
            let probed: Vec<ServerId> = actions.iter().filter_map(probed_server).collect();
            let prefill_worker = sent_to(&actions);
            actions = self.advance(2 * MS);
            for server in probed {
                let ok =
                    Event::ProbeFinished { server, status: AttemptStatus::Ok, latency: 2 * MS, report: None };
                actions.extend(self.handle(ok));
            }
            if let Some(prefill_worker) = prefill_worker {
                let decode_worker =
                    sent_to(&self.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
                        .expect("a decode is sent");
                self.first_token(id, decode_worker);
                return (prefill_worker, decode_worker);
            }
        }
        panic!("no prefill is sent")
    }

    /// Lets a request arrive, be prefilled and start streaming; returns its prefill worker and its decode
    /// worker.
    pub fn start_stream(&mut self, id: u64) -> (u32, u32) {
        let prefill_worker = sent_to(&self.submit(id)).expect("a prefill is sent");
        let decode_worker = sent_to(&self.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
            .expect("a decode is sent");
        self.first_token(id, decode_worker);
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

/// The number of final answers for that request among the actions.
pub fn final_answers(actions: &[Action], id: u64) -> usize {
    let is_answer = |a: &&Action| match a {
        Action::Reject { id: i, .. } | Action::Fail { id: i, .. } => i.0 == id,
        _ => false,
    };
    actions.iter().filter(is_answer).count()
}

pub fn releases_kv(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::ReleaseKv(RequestId(id)))
}

pub fn is_failed(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id: i, .. } if i.0 == id))
}

pub fn is_rejected(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if i.0 == id))
}

/// Why that request was rejected or failed.
pub fn give_up_cause(actions: &[Action], id: u64) -> Option<GiveUpCause> {
    actions.iter().find_map(|a| match a {
        Action::Reject { id: i, cause, .. } | Action::Fail { id: i, cause } if i.0 == id => Some(*cause),
        _ => None,
    })
}
