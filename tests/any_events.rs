//! Any sequence of events at all, with numbers that no one should send and outcomes for attempts never made:
//! the module does not panic (sums of times overflow in a debug build), and what it can be held to it keeps.

use gaparch_scheduler::api::*;
use gaparch_scheduler::policy::Policy;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn figure() -> impl Strategy<Value = f64> {
    prop_oneof![
        4 => 0.0..5000.0,
        1 => prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-1.0), Just(1e300), Just(-1e300), Just(f64::MIN_POSITIVE)],
    ]
}

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
    let some = || proptest::option::of(figure());
    proptest::option::of((some(), some(), some(), some(), some()).prop_map(
        |(inflight, queue, util, memory, unread_k)| LoadReport {
            in_flight: inflight,
            queued: queue,
            slot_utilization: util,
            memory_utilization: memory,
            pending_prefill_kilotokens: unread_k,
        },
    ))
    .boxed()
}

fn entry() -> BoxedStrategy<Endpoint> {
    let state = prop_oneof![3 => Just(ServerState::Ready), 1 => Just(ServerState::Draining), 1 => Just(ServerState::Removed)];
    let place = (0usize..4, 0usize..5, 0u64..3);
    (0u32..6, place, state, proptest::option::of(figure()), proptest::option::of(time()))
        .prop_map(|(server, (zone, kind, cell), state, weight, ready_at)| Endpoint {
            server: ServerId(server),
            zone: Some(ZoneId(zone)),
            kind: Some(KindId(kind)),
            cell: Some(CellId(cell)),
            state,
            weight,
            started_at: ready_at,
        })
        .boxed()
}

fn event() -> BoxedStrategy<Event> {
    let id = || (0u64..8).prop_map(RequestId);
    let server = || (0u32..8).prop_map(ServerId);
    let attempt = || (0u32..4).prop_map(AttemptNumber);
    let kind = prop_oneof![
        Just(EndpointUpdate::Delta),
        Just(EndpointUpdate::Full),
        Just(EndpointUpdate::Cached),
        Just(EndpointUpdate::Failed)
    ];
    let keys =
        (proptest::option::of(0u64..3), proptest::option::of(0u64..3), proptest::option::of(0usize..4));
    // Boxed, or the tree of strategies outgrows a test's stack.
    prop_oneof![
        2 => (kind, proptest::collection::vec(entry(), 0..7))
            .prop_map(|(kind, entries)| Event::EndpointsChanged { update: kind, endpoints: entries.into() }),
        4 => (id(), 0usize..5, keys, (figure(), figure(), figure()), proptest::option::of(time()), time()).prop_map(
            |(id, class, (session, prefix, tenant), (prompt_len, prefix_len, max_out), hint, give_up_at)| {
                Event::RequestArrived(Request {
                    id,
                    class: ClassId(class),
                    tenant: tenant.map(TenantId),
                    session: session.map(AffinityKey),
                    prefix: prefix.map(AffinityKey),
                    prompt_tokens: prompt_len,
                    prefix_tokens: prefix_len,
                    max_output_tokens: max_out,
                    expected_duration: hint,
                    deadline_at: give_up_at,
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
            .prop_map(|(server, status, latency, report)| Event::ProbeFinished { server, status, latency, report }),
        6 => ((id(), attempt(), server()), status(), time(), any::<bool>(), any::<u64>(), report()).prop_map(
            |((id, attempt, server), status, latency, closed, note, report)| {
                Event::AttemptFinished(AttemptOutcome { id, attempt, server, status, latency, request_finished: closed, cached_prompt_tokens: OutcomeNote(note).cached_prompt_tokens(status), kv_cache_missing: OutcomeNote(note).kv_cache_missing(status), report })
            }
        ),
    ]    .boxed()
}

fn settings(draws: u64) -> Settings {
    let class = |effect, aim_per_token, deadline| TrafficClass {
        idempotency: effect,
        deduplication_scope: DeduplicationScope::Zone,
        deduplication_window: if draws & 1 > 0 { u64::MAX } else { S },
        latency_objective: if draws & 128 > 0 { 0 } else { S },
        latency_objective_per_prompt_token: aim_per_token,
        deadline,
        token_latency_objective: 50 * MS,
        priority_weight: 1.0,
        late_priority_weight: 0.1,
        streamed: draws & 256 == 0,
    };
    Settings {
        seed: draws,
        router_count: 1 + (draws % 300) as u32,
        classes: vec![
            class(Idempotency::Idempotent, 1e6, 5 * S),
            class(Idempotency::WithKey, 0.0, u64::MAX),
            class(Idempotency::NotIdempotent, 1e300, S),
        ],
        tenants: vec![Tenant { quota_share: 0.5, quota_per_second: 1.0 }; 2],
        kinds: vec![
            ServerKind { role: Some(Role::Prefill), kv_capacity_tokens: 50_000.0 },
            // Kinds that do nothing leave little to look at: seldom.
            ServerKind {
                role: (!(draws >> 13).is_multiple_of(8)).then_some(Role::Decode),
                kv_capacity_tokens: 20_000.0,
            },
            ServerKind { role: Some(Role::Mixed), kv_capacity_tokens: 0.0 },
        ],
        kv_release_within: if draws & 2 > 0 { u64::MAX } else { 500 * MS },
        can_cancel: draws & 4 > 0,
        can_probe: draws & 8 > 0,
        can_gossip: draws & 16 > 0,
        decode_workers_can_prefill: draws & 32 > 0,
        max_attempts: (draws % 6) as u32,
        slow_start_speed: 0.3,
        slow_start_duration: if draws & 64 > 0 { u64::MAX } else { 10 * S },
        overload_factor: 2.5,
        overload_window: 2 * S,
        // Steps without end leave no time to serve anything: seldom.
        step: match (draws >> 9) % 16 {
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
    fn nothing_makes_the_module_panic_or_forget_itself(
        draws in any::<u64>(),
        events in proptest::collection::vec((event(), 0u64..400), 1..120),
    ) {
        let mut policy = Policy::new(settings(draws));
        let mut now = 100 * S;
        let mut ready: BTreeSet<u32> = BTreeSet::new();
        // Requests told of and not answered, and attempts by request that are out.
        let mut open: BTreeSet<u64> = BTreeSet::new();
        let mut used: BTreeSet<u64> = BTreeSet::new();
        let mut made: BTreeMap<u64, u32> = BTreeMap::new();
        let mut out: BTreeMap<u64, u32> = BTreeMap::new();
        for (event, ms) in events {
            now += ms * MS;
            match &event {
                // An id is used once: the callers see to that.
                Event::RequestArrived(r) if !used.insert(r.id.0) => continue,
                Event::RequestArrived(r) => drop(open.insert(r.id.0)),
                Event::EndpointsChanged { update: kind, endpoints: entries } if *kind != EndpointUpdate::Failed => {
                    if *kind != EndpointUpdate::Delta {
                        ready.clear();
                    }
                    for e in entries.iter() {
                        match e.state {
                            ServerState::Ready => ready.insert(e.server.0),
                            _ => ready.remove(&e.server.0),
                        };
                    }
                }
                Event::ClientDisconnected(id) => drop(open.remove(&id.0)),
                // What is said of an attempt never made says nothing.
                Event::AttemptFinished(o) if out.get(&o.id.0) == Some(&o.attempt.0) => {
                    out.remove(&o.id.0);
                    if o.request_finished {
                        open.remove(&o.id.0);
                    }
                }
                _ => {}
            }
            for action in policy.handle(now, event) {
                match action {
                    Action::Send { id, server, .. } => {
                        prop_assert!(ready.contains(&server.0), "sent to a server that is not ready");
                        prop_assert!(open.contains(&id.0), "sent after its end");
                        let no = made.entry(id.0).or_default();
                        prop_assert_eq!(out.insert(id.0, *no), None, "two attempts at once");
                        *no += 1;
                    }
                    Action::Reject { id, .. } | Action::Fail { id, .. } => {
                        prop_assert!(open.remove(&id.0), "answered twice, or what was not asked");
                    }
                    _ => {}
                }
            }
        }
    }
}
