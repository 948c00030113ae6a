//! A simulation around one module: engines that answer, requests at even gaps. Shared by the criterion bench and
//! by `examples/decisions.rs`.

use gaparch_scheduler::api::*;
use gaparch_scheduler::policy::Policy;
use std::time::Instant;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn settings() -> Settings {
    let class = |aim: Nanos, worth: f64| TrafficClass {
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0,
        latency_objective: aim,
        latency_objective_per_prompt_token: 50_000.0,
        deadline: 60 * S,
        token_latency_objective: 50 * MS,
        priority_weight: worth,
        late_priority_weight: 0.1,
        streamed: true,
    };
    Settings {
        router_count: 1,
        classes: vec![class(40 * S, 1.0), class(50 * S, 3.0)],
        tenants: vec![Tenant { quota_share: 0.5, quota_per_second: 0.0 }; 3],
        kinds: vec![
            ServerKind { role: Some(Role::Prefill), kv_capacity_tokens: 240_000.0 },
            ServerKind { role: Some(Role::Decode), kv_capacity_tokens: 130_000.0 },
        ],
        kv_release_within: S / 2,
        can_cancel: true,
        can_probe: true,
        max_attempts: 5,
        drain_grace: S / 2,
        slow_start_speed: 0.28,
        slow_start_duration: 14 * S,
        overload_factor: 2.5,
        overload_window: 2 * S,
        answer_grace: 8 * MS,
        probe_cost: 0.003,
        ..Settings::default()
    }
}

fn engines(count: u32) -> Vec<Endpoint> {
    let entry = |n: u32| Endpoint {
        server: ServerId(n.wrapping_mul(2_654_435_761)),
        zone: Some(ZoneId((n % 3) as usize)),
        kind: Some(KindId((n % 2) as usize)),
        cell: Some(CellId(u64::from(n / 5))),
        state: ServerState::Ready,
        weight: Some(1.0),
        started_at: None,
    };
    (1..=count).map(entry).collect()
}

pub struct Simulation {
    policy: Policy,
    now: Nanos,
    id: u64,
    /// Attempts that are answered at the times given.
    due: std::collections::BTreeMap<(Nanos, u64), Event>,
    number: u64,
    attempts: std::collections::HashMap<u64, u32>,
    overload: bool,
}

impl Simulation {
    /// So many engines, half prefill workers and half decode workers; in overload their answers never end.
    fn new(count: u32, overload: bool) -> Simulation {
        let mut simulation = Simulation {
            policy: Policy::new(settings()),
            now: 100 * S,
            id: 0,
            due: Default::default(),
            number: 0,
            attempts: Default::default(),
            overload,
        };
        simulation.event(Event::EndpointsChanged {
            update: EndpointUpdate::Full,
            endpoints: engines(count).into(),
        });
        simulation
    }

    fn later(&mut self, after: Nanos, event: Event) {
        self.number += 1;
        self.due.insert((self.now + after, self.number), event);
    }

    fn event(&mut self, event: Event) -> Nanos {
        let began = Instant::now();
        let actions = self.policy.handle(self.now, event);
        let took = began.elapsed().as_nanos() as Nanos;
        for action in actions {
            match action {
                Action::SetTimer { token, delay } => self.later(delay, Event::TimerFired(token)),
                Action::Probe(server) => {
                    let probed =
                        Event::ProbeFinished { server, status: AttemptStatus::Ok, latency: MS, report: None };
                    self.later(MS, probed);
                }
                Action::Send { id, server, .. } => self.answer(id, server),
                _ => {}
            }
        }
        took
    }

    fn answer(&mut self, id: RequestId, server: ServerId) {
        let no = self.attempts.entry(id.0).or_default();
        let attempt = AttemptNumber(*no);
        *no += 1;
        let outcome = |status, latency| {
            Event::AttemptFinished(AttemptOutcome {
                id,
                attempt,
                server,
                status,
                latency,
                request_finished: status == AttemptStatus::Ok,
                cached_prompt_tokens: 0,
                kv_cache_missing: false,
                report: None,
            })
        };
        if attempt.0 == 0 {
            self.later(30 * MS, outcome(AttemptStatus::Prefilled, 30 * MS));
        } else {
            self.later(20 * MS, Event::FirstToken { id, attempt, server, latency: 20 * MS });
            // In overload the answers last longer than the simulation: what is queued stays queued.
            let length = if self.overload { 3000 * S } else { 2 * S };
            self.later(length, outcome(AttemptStatus::Ok, length));
        }
    }

    /// Lets time pass, and answers what falls due.
    fn pass(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= until) {
            self.now = entry.key().0;
            let event = entry.remove();
            self.event(event);
        }
        self.now = until;
    }

    /// One request; the nanoseconds that the module took.
    fn send_request(&mut self) -> Nanos {
        self.id += 1;
        let mixed = self.id.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let class = ClassId((mixed >> 60) as usize % 2);
        let request = Request {
            id: RequestId(self.id),
            class,
            tenant: Some(TenantId((mixed >> 56) as usize % 3)),
            session: Some(AffinityKey(mixed % 5000)),
            prefix: (!mixed.is_multiple_of(4)).then_some(AffinityKey(mixed % 50)),
            prompt_tokens: 500.0 + (mixed >> 40) as f64 % 2000.0,
            prefix_tokens: 300.0,
            max_output_tokens: 400.0,
            expected_duration: Some(3 * S + (mixed >> 33) % S),
            deadline_at: self.now + 60 * S,
            client_retry: false,
            client_reconnect: false,
        };
        self.event(Event::RequestArrived(request))
    }
}

impl Simulation {
    /// A simulation in which so many requests are queued; with none, one at light load.
    pub fn with_queued(count: u32, queued: usize) -> Simulation {
        let mut simulation = Simulation::new(count, queued > 0);
        if queued > 0 {
            // Fills the decode workers and then what is queued.
            for n in 0..count as usize / 2 * 140 + queued {
                simulation.send_request();
                if n % 8 == 0 {
                    simulation.pass(MS);
                }
            }
        }
        simulation
    }

    /// One request and the time until the next one.
    pub fn step(&mut self, count: u32) -> Nanos {
        let took = self.send_request();
        self.pass(if self.overload { MS / 2 } else { 40 * MS * 14 / Nanos::from(count) });
        took
    }
}
