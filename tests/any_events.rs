//! Any sequence of events at all, with numbers that no one should send and outcomes for attempts never made: the
//! module does not panic (sums of times overflow in a debug build), and what it can be held to it keeps.

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

fn status() -> impl Strategy<Value = Status> {
    prop_oneof![
        Just(Status::Ok),
        Just(Status::Read),
        Just(Status::Error),
        Just(Status::Full),
        Just(Status::Timeout),
        Just(Status::ConnectFailed),
        Just(Status::Reset),
        Just(Status::Cancelled),
        Just(Status::Moot),
        Just(Status::Unknown),
    ]
}

fn report() -> BoxedStrategy<Option<Report>> {
    let some = || proptest::option::of(figure());
    proptest::option::of((some(), some(), some(), some(), some()).prop_map(
        |(inflight, queue, util, memory, unread_k)| Report { inflight, queue, util, memory, unread_k },
    ))
    .boxed()
}

fn entry() -> BoxedStrategy<Entry> {
    let state = prop_oneof![3 => Just(ServerState::Ready), 1 => Just(ServerState::Draining), 1 => Just(ServerState::Gone)];
    let place = (0usize..4, 0usize..5, 0u64..3);
    (0u32..6, place, state, proptest::option::of(figure()), proptest::option::of(time()))
        .prop_map(|(server, (zone, kind, cell), state, weight, ready_at)| Entry {
            server: ServerId(server),
            zone: Some(ZoneId(zone)),
            kind: Some(KindId(kind)),
            cell: Some(CellId(cell)),
            state,
            weight,
            ready_at,
        })
        .boxed()
}

fn event() -> BoxedStrategy<Event> {
    let id = || (0u64..8).prop_map(RequestId);
    let server = || (0u32..8).prop_map(ServerId);
    let attempt = || (0u32..4).prop_map(AttemptNo);
    let kind = prop_oneof![
        Just(ListKind::Delta),
        Just(ListKind::Full),
        Just(ListKind::Cached),
        Just(ListKind::Failed)
    ];
    let keys =
        (proptest::option::of(0u64..3), proptest::option::of(0u64..3), proptest::option::of(0usize..4));
    // Boxed, or the tree of strategies outgrows a test's stack.
    prop_oneof![
        2 => (kind, proptest::collection::vec(entry(), 0..7))
            .prop_map(|(kind, entries)| Event::Members { kind, entries: entries.into() }),
        4 => (id(), 0usize..5, keys, (figure(), figure(), figure()), proptest::option::of(time()), time()).prop_map(
            |(id, class, (session, prefix, tenant), (prompt_len, prefix_len, max_out), hint, give_up_at)| {
                Event::Request(Request {
                    id,
                    class: ClassId(class),
                    tenant: tenant.map(TenantId),
                    session: session.map(Key),
                    prefix: prefix.map(Key),
                    prompt_len,
                    prefix_len,
                    max_out,
                    hint,
                    give_up_at,
                    retry: false,
                    again: false,
                })
            }
        ),
        2 => (0u32..3).prop_map(|t| Event::Timer(TimerToken(t))),
        1 => (any::<u32>(), proptest::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(from, data)| Event::Peer { from, data }),
        2 => (id(), attempt(), server(), time())
            .prop_map(|(id, attempt, server, latency)| Event::First { id, attempt, server, latency }),
        1 => id().prop_map(Event::Gone),
        1 => (server(), status(), time(), report())
            .prop_map(|(server, status, latency, report)| Event::Probed { server, status, latency, report }),
        6 => ((id(), attempt(), server()), status(), time(), any::<bool>(), any::<u64>(), report()).prop_map(
            |((id, attempt, server), status, latency, closed, note, report)| {
                Event::Outcome(Outcome { id, attempt, server, status, latency, closed, note, report })
            }
        ),
    ]    .boxed()
}

fn settings(draws: u64) -> Settings {
    let class = |effect, aim_per_token, deadline| Class {
        effect,
        group: Group::Zone,
        window: if draws & 1 > 0 { u64::MAX } else { S },
        aim: if draws & 128 > 0 { 0 } else { S },
        aim_per_token,
        deadline,
        token_aim: 50 * MS,
        worth: 1.0,
        late_worth: 0.1,
        streamed: draws & 256 == 0,
    };
    Settings {
        seed: draws,
        routers: 1 + (draws % 300) as u32,
        classes: vec![
            class(Effect::Safe, 1e6, 5 * S),
            class(Effect::Keyed, 0.0, u64::MAX),
            class(Effect::Unsafe, 1e300, S),
        ],
        tenants: vec![Tenant { share: 0.5, quota_per_s: 1.0 }; 2],
        roles: vec![Role::Read, Role::Write, Role::Both],
        memory: vec![50_000.0, 20_000.0, 0.0],
        release_within: if draws & 2 > 0 { u64::MAX } else { 500 * MS },
        cancel: draws & 4 > 0,
        probes: draws & 8 > 0,
        peers: draws & 16 > 0,
        self_prefill: draws & 32 > 0,
        max_attempts: (draws % 6) as u32,
        cold_from: 0.3,
        cold: if draws & 64 > 0 { u64::MAX } else { 10 * S },
        fall_multiple: 2.5,
        fall: 2 * S,
        // Steps without end leave no time to serve anything, and kinds that do nothing leave little: seldom.
        tick: match (draws >> 9) % 16 {
            0 => u64::MAX,
            1..5 => 100 * MS,
            _ => 2 * MS,
        },
        neither: if (draws >> 13).is_multiple_of(8) { vec![KindId(1)] } else { Vec::new() },
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
                Event::Request(r) if !used.insert(r.id.0) => continue,
                Event::Request(r) => drop(open.insert(r.id.0)),
                Event::Members { kind, entries } if *kind != ListKind::Failed => {
                    if *kind != ListKind::Delta {
                        ready.clear();
                    }
                    for e in entries.iter() {
                        match e.state {
                            ServerState::Ready => ready.insert(e.server.0),
                            _ => ready.remove(&e.server.0),
                        };
                    }
                }
                Event::Gone(id) => drop(open.remove(&id.0)),
                // What is said of an attempt never made says nothing.
                Event::Outcome(o) if out.get(&o.id.0) == Some(&o.attempt.0) => {
                    out.remove(&o.id.0);
                    if o.closed {
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
                    Action::Refuse { id, .. } | Action::Fail { id, .. } => {
                        prop_assert!(open.remove(&id.0), "answered twice, or what was not asked");
                    }
                    _ => {}
                }
            }
        }
    }
}
