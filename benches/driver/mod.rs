//! A minimal simulation around one scheduler: engines that answer, and requests at regular intervals. Shared
//! by the criterion bench and `examples/decisions.rs`.

use gaparch_scheduler::api::*;
use gaparch_scheduler::policy::Policy;
use std::time::Instant;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn settings() -> Settings {
    let class = |latency_objective: Nanos, priority_weight: f64| TrafficClass {
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0,
        latency_objective,
        latency_objective_per_prompt_token: 50_000.0,
        deadline: 60 * S,
        token_latency_objective: 50 * MS,
        priority_weight,
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

fn endpoints(count: u32) -> Vec<Endpoint> {
    let endpoint = |n: u32| Endpoint {
        server: ServerId(n.wrapping_mul(2_654_435_761)),
        zone: Some(ZoneId((n % 3) as usize)),
        kind: Some(KindId((n % 2) as usize)),
        cell: Some(CellId(u64::from(n / 5))),
        state: ServerState::Ready,
        weight: Some(1.0),
        started_at: None,
    };
    (1..=count).map(endpoint).collect()
}

pub struct Simulation {
    policy: Policy,
    now: Nanos,
    last_request_id: u64,
    /// Future events, by time and sequence number.
    scheduled: std::collections::BTreeMap<(Nanos, u64), Event>,
    last_sequence_number: u64,
    /// The number of attempts per request id.
    attempt_counts: std::collections::HashMap<u64, u32>,
    overload: bool,
}

impl Simulation {
    /// A simulation with `count` engines, half prefill workers and half decode workers; in overload their
    /// answers never end.
    fn new(count: u32, overload: bool) -> Simulation {
        let mut simulation = Simulation {
            policy: Policy::new(settings()),
            now: 100 * S,
            last_request_id: 0,
            scheduled: Default::default(),
            last_sequence_number: 0,
            attempt_counts: Default::default(),
            overload,
        };
        simulation.handle(Event::EndpointsChanged {
            update: EndpointUpdate::Full,
            endpoints: endpoints(count).into(),
        });
        simulation
    }

    fn schedule(&mut self, delay: Nanos, event: Event) {
        self.last_sequence_number += 1;
        self.scheduled.insert((self.now + delay, self.last_sequence_number), event);
    }

    /// Passes an event to the scheduler and applies its actions; returns the nanoseconds that the scheduler
    /// took.
    fn handle(&mut self, event: Event) -> Nanos {
        let started_at = Instant::now();
        let actions = self.policy.handle(self.now, event);
        let elapsed = started_at.elapsed().as_nanos() as Nanos;
        for action in actions {
            match action {
                Action::SetTimer { token, delay } => self.schedule(delay, Event::TimerFired(token)),
                Action::Probe(server) => {
                    let probe_finished =
                        Event::ProbeFinished { server, status: AttemptStatus::Ok, latency: MS, report: None };
                    self.schedule(MS, probe_finished);
                }
                Action::Send { id, server, .. } => self.answer(id, server),
                _ => {}
            }
        }
        elapsed
    }

    fn answer(&mut self, id: RequestId, server: ServerId) {
        let attempt_count = self.attempt_counts.entry(id.0).or_default();
        let attempt = AttemptNumber(*attempt_count);
        *attempt_count += 1;
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
            self.schedule(30 * MS, outcome(AttemptStatus::Prefilled, 30 * MS));
        } else {
            self.schedule(20 * MS, Event::FirstToken { id, attempt, server, latency: 20 * MS });
            // In overload answers outlast the simulation, so that queued requests stay queued.
            let duration = if self.overload { 3000 * S } else { 2 * S };
            self.schedule(duration, outcome(AttemptStatus::Ok, duration));
        }
    }

    /// Advances the clock, and handles the events scheduled until then.
    fn advance(&mut self, duration: Nanos) {
        let until = self.now + duration;
        while let Some(entry) = self.scheduled.first_entry().filter(|entry| entry.key().0 <= until) {
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = until;
    }

    /// Sends a request; returns the nanoseconds that the scheduler took.
    fn send_request(&mut self) -> Nanos {
        self.last_request_id += 1;
        let hash = self.last_request_id.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let class = ClassId((hash >> 60) as usize % 2);
        let request = Request {
            id: RequestId(self.last_request_id),
            class,
            tenant: Some(TenantId((hash >> 56) as usize % 3)),
            session: Some(AffinityKey(hash % 5000)),
            prefix: (!hash.is_multiple_of(4)).then_some(AffinityKey(hash % 50)),
            prompt_tokens: 500.0 + (hash >> 40) as f64 % 2000.0,
            prefix_tokens: 300.0,
            max_output_tokens: 400.0,
            expected_duration: Some(3 * S + (hash >> 33) % S),
            deadline_at: self.now + 60 * S,
            client_retry: false,
            client_reconnect: false,
        };
        self.handle(Event::RequestArrived(request))
    }
}

impl Simulation {
    /// A simulation with `queued` requests in the admission queue; at light load if there are none.
    pub fn with_queued(count: u32, queued: usize) -> Simulation {
        let mut simulation = Simulation::new(count, queued > 0);
        if queued > 0 {
            // Fills the decode workers first, then the admission queue.
            for n in 0..count as usize / 2 * 140 + queued {
                simulation.send_request();
                if n % 8 == 0 {
                    simulation.advance(MS);
                }
            }
        }
        simulation
    }

    /// Sends a request, and advances the clock to the next one; returns the nanoseconds that the scheduler
    /// took for the request.
    pub fn step(&mut self, count: u32) -> Nanos {
        let elapsed = self.send_request();
        self.advance(if self.overload { MS / 2 } else { 40 * MS * 14 / Nanos::from(count) });
        elapsed
    }
}
