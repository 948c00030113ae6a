//! Random sequences of events, with invalid numbers and outcomes of attempts that were never sent: the module
//! does not panic (sums of times overflow in a debug build), and keeps the guarantees that hold for any
//! events.

use gaparch_scheduler::api::*;
use gaparch_scheduler::policy::Policy;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

/// Mostly a plausible number, at times an invalid or extreme one.
fn number() -> impl Strategy<Value = f64> {
    prop_oneof![
        4 => 0.0..5000.0,
        1 => prop_oneof![
            Just(f64::NAN),
            Just(f64::INFINITY),
            Just(-1.0),
            Just(1e300),
            Just(-1e300),
            Just(f64::MIN_POSITIVE)
        ],
    ]
}

/// Mostly a plausible time, at times an extreme one.
fn time() -> impl Strategy<Value = Nanos> {
    prop_oneof![4 => 0..20 * S, 1 => Just(0), 1 => Just(u64::MAX), 1 => Just(u64::MAX / 2)]
}

fn status() -> impl Strategy<Value = AttemptStatus> {
    prop_oneof![
        Just(AttemptStatus::Ok),
        Just(AttemptStatus::Prefilled),
        Just(AttemptStatus::Error),
        Just(AttemptStatus::Rejected),
        Just(AttemptStatus::Timeout),
        Just(AttemptStatus::ConnectFailed),
        Just(AttemptStatus::Reset),
        Just(AttemptStatus::Cancelled),
        Just(AttemptStatus::Expired),
        Just(AttemptStatus::Unknown),
    ]
}

fn report() -> BoxedStrategy<Option<LoadReport>> {
    let optional_number = || proptest::option::of(number());
    proptest::option::of(
        (optional_number(), optional_number(), optional_number(), optional_number(), optional_number())
            .prop_map(
                |(in_flight, queued, slot_utilization, memory_utilization, pending_prefill_kilotokens)| {
                    LoadReport {
                        in_flight,
                        queued,
                        slot_utilization,
                        memory_utilization,
                        pending_prefill_kilotokens,
                    }
                },
            ),
    )
    .boxed()
}

fn endpoint() -> BoxedStrategy<Endpoint> {
    let state = prop_oneof![
        3 => Just(ServerState::Ready),
        1 => Just(ServerState::Draining),
        1 => Just(ServerState::Removed)
    ];
    let location = (0usize..4, 0usize..5, 0u64..3);
    (0u32..6, location, state, proptest::option::of(number()), proptest::option::of(time()))
        .prop_map(|(server, (zone, kind, cell), state, weight, started_at)| Endpoint {
            server: ServerId(server),
            zone: Some(ZoneId(zone)),
            kind: Some(KindId(kind)),
            cell: Some(CellId(cell)),
            state,
            weight,
            started_at,
        })
        .boxed()
}

fn event() -> BoxedStrategy<Event> {
    let id = || (0u64..8).prop_map(RequestId);
    let server = || (0u32..8).prop_map(ServerId);
    let attempt = || (0u32..4).prop_map(AttemptNumber);
    let update = prop_oneof![
        Just(EndpointUpdate::Delta),
        Just(EndpointUpdate::Full),
        Just(EndpointUpdate::Cached),
        Just(EndpointUpdate::Failed)
    ];
    let keys =
        (proptest::option::of(0u64..3), proptest::option::of(0u64..3), proptest::option::of(0usize..4));
    // Boxed, as the tree of strategies would overflow the stack of a test thread.
    prop_oneof![
        2 => (update, proptest::collection::vec(endpoint(), 0..7))
            .prop_map(|(update, endpoints)| Event::EndpointsChanged { update, endpoints: endpoints.into() }),
        4 => (
            id(),
            0usize..5,
            keys,
            (number(), number(), number()),
            proptest::option::of(time()),
            time(),
        )
            .prop_map(|(id, class, (session, prefix, tenant), tokens, expected_duration, deadline_at)| {
                let (prompt_tokens, prefix_tokens, max_output_tokens) = tokens;
                Event::RequestArrived(Request {
                    id,
                    class: ClassId(class),
                    tenant: tenant.map(TenantId),
                    session: session.map(AffinityKey),
                    prefix: prefix.map(AffinityKey),
                    prompt_tokens,
                    prefix_tokens,
                    max_output_tokens,
                    expected_duration,
                    deadline_at,
                    client_retry: false,
                    client_reconnect: false,
                })
            }
        ),
        2 => (0u32..3).prop_map(|t| Event::TimerFired(TimerToken(t))),
        1 => (any::<u32>(), proptest::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(from, data)| Event::GossipReceived { from, data }),
        2 => (id(), attempt(), server(), time())
            .prop_map(|(id, attempt, server, latency)| Event::FirstToken { id, attempt, server, latency }),
        1 => id().prop_map(Event::ClientDisconnected),
        1 => (server(), status(), time(), report())
            .prop_map(|(server, status, latency, report)| {
                Event::ProbeFinished { server, status, latency, report }
            }),
        6 => ((id(), attempt(), server()), status(), time(), any::<bool>(), any::<u64>(), report()).prop_map(
            |((id, attempt, server), status, latency, request_finished, note, report)| {
                Event::AttemptFinished(AttemptOutcome {
                    id,
                    attempt,
                    server,
                    status,
                    latency,
                    request_finished,
                    cached_prompt_tokens: OutcomeNote(note).cached_prompt_tokens(status),
                    kv_cache_missing: OutcomeNote(note).kv_cache_missing(status),
                    report,
                })
            }
        ),
    ]
    .boxed()
}

/// Settings that follow from the bits of a random number.
fn settings(seed: u64) -> Settings {
    let class = |idempotency, latency_objective_per_prompt_token, deadline| TrafficClass {
        idempotency,
        deduplication_scope: DeduplicationScope::Zone,
        deduplication_window: if seed & 1 > 0 { u64::MAX } else { S },
        latency_objective: if seed & 128 > 0 { 0 } else { S },
        latency_objective_per_prompt_token,
        deadline,
        token_latency_objective: 50 * MS,
        priority_weight: 1.0,
        late_priority_weight: 0.1,
        streamed: seed & 256 == 0,
    };
    Settings {
        seed,
        router_count: 1 + (seed % 300) as u32,
        classes: vec![
            class(Idempotency::Idempotent, 1e6, 5 * S),
            class(Idempotency::WithKey, 0.0, u64::MAX),
            class(Idempotency::NotIdempotent, 1e300, S),
        ],
        tenants: vec![Tenant { quota_share: 0.5, quota_per_second: 1.0 }; 2],
        kinds: vec![
            ServerKind { role: Some(Role::Prefill), kv_capacity_tokens: 50_000.0 },
            // A kind without a role is chosen seldom, as then there is little to check.
            ServerKind {
                role: (!(seed >> 13).is_multiple_of(8)).then_some(Role::Decode),
                kv_capacity_tokens: 20_000.0,
            },
            ServerKind { role: Some(Role::Mixed), kv_capacity_tokens: 0.0 },
        ],
        kv_release_within: if seed & 2 > 0 { u64::MAX } else { 500 * MS },
        can_cancel: seed & 4 > 0,
        can_probe: seed & 8 > 0,
        can_gossip: seed & 16 > 0,
        decode_workers_can_prefill: seed & 32 > 0,
        max_attempts: (seed % 6) as u32,
        slow_start_speed: 0.3,
        slow_start_duration: if seed & 64 > 0 { u64::MAX } else { 10 * S },
        overload_factor: 2.5,
        overload_window: 2 * S,
        // An endless step is chosen seldom, as then there is no time to serve anything.
        step: match (seed >> 9) % 16 {
            0 => u64::MAX,
            1..5 => 100 * MS,
            _ => 2 * MS,
        },
        ..Settings::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_events_make_the_module_panic_or_break_a_guarantee(
        seed in any::<u64>(),
        events in proptest::collection::vec((event(), 0u64..400), 1..120),
    ) {
        let mut policy = Policy::new(settings(seed));
        let mut now = 100 * S;
        let mut ready: BTreeSet<u32> = BTreeSet::new();
        // The requests without a final answer, and all requests.
        let mut unanswered: BTreeSet<u64> = BTreeSet::new();
        let mut arrived: BTreeSet<u64> = BTreeSet::new();
        // By request: the number of attempts sent, and the attempt that is in flight.
        let mut attempt_counts: BTreeMap<u64, u32> = BTreeMap::new();
        let mut in_flight: BTreeMap<u64, u32> = BTreeMap::new();
        for (event, ms) in events {
            now += ms * MS;
            match &event {
                // Callers use each id only once.
                Event::RequestArrived(r) if !arrived.insert(r.id.0) => continue,
                Event::RequestArrived(r) => drop(unanswered.insert(r.id.0)),
                Event::EndpointsChanged { update, endpoints } if *update != EndpointUpdate::Failed => {
                    if *update != EndpointUpdate::Delta {
                        ready.clear();
                    }
                    for e in endpoints.iter() {
                        match e.state {
                            ServerState::Ready => ready.insert(e.server.0),
                            _ => ready.remove(&e.server.0),
                        };
                    }
                }
                Event::ClientDisconnected(id) => drop(unanswered.remove(&id.0)),
                // The outcome of an attempt that is not in flight is ignored.
                Event::AttemptFinished(o) if in_flight.get(&o.id.0) == Some(&o.attempt.0) => {
                    in_flight.remove(&o.id.0);
                    if o.request_finished {
                        unanswered.remove(&o.id.0);
                    }
                }
                _ => {}
            }
            for action in policy.handle(now, event) {
                match action {
                    Action::Send { id, server, .. } => {
                        prop_assert!(ready.contains(&server.0), "sent to a server that is not ready");
                        prop_assert!(unanswered.contains(&id.0), "sent after its end");
                        let count = attempt_counts.entry(id.0).or_default();
                        prop_assert_eq!(in_flight.insert(id.0, *count), None, "two attempts at once");
                        *count += 1;
                    }
                    Action::Reject { id, .. } | Action::Fail { id, .. } => {
                        prop_assert!(unanswered.remove(&id.0), "answered twice, or without a request");
                    }
                    _ => {}
                }
            }
        }
    }
}
