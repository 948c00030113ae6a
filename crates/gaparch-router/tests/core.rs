//! Tests of the core alone: invalid frames, duplicate and late outcomes, drains, orders of operators, start
//! times and shutdown.

use gaparch_config::{server_id, Config, EXAMPLE};
use gaparch_ops::OrderRegistry;
use gaparch_protocol::engine::{AttemptKey, EngineFacts, EngineFrame, RouterRun};
use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_protocol::ops::intent::{AcceptedChange, Change, ChangeNote, DrainMode};
use gaparch_protocol::ops::outcome::{OutcomeCause, OutcomeKind, RequestOutcome};
use gaparch_protocol::ops::view::EngineState;
use gaparch_protocol::ops::Order;
use gaparch_router::core::{
    AcceptedRequest, ConnectionNumber, Core, Input, ListUpdate, Output, Phase, ResponseEvent,
};
use gaparch_scheduler::api::{AttemptStatus, Nanos, RequestId, Role, ServerId, ServerState};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

struct TestRouter {
    core: Core,
    now: Nanos,
    connections: BTreeMap<ServerId, ConnectionNumber>,
    outputs: Vec<Output>,
}

impl TestRouter {
    /// A router with the example settings, connected to all its engines.
    fn new() -> TestRouter {
        let mut router = TestRouter::connecting();
        for engine in Config::parse(EXAMPLE).expect("valid settings").engines {
            let role = if engine.kind == "reader" { Role::Prefill } else { Role::Decode };
            router.connect_engine(&engine.name, role, 1);
        }
        router
    }

    /// A router with the example settings, of whose connections none is established yet.
    fn connecting() -> TestRouter {
        let config = Config::parse(EXAMPLE).expect("valid settings");
        let mut out = Vec::new();
        let core = Core::new(config, OrderRegistry::default(), RouterRun(1), 1000 * S, &mut out);
        let mut router =
            TestRouter { core, now: 1000 * S, connections: BTreeMap::new(), outputs: Vec::new() };
        for output in out {
            if let Output::Connect { engine, conn, .. } = output {
                router.connections.insert(engine, conn);
            }
        }
        router
    }

    fn connect_engine(&mut self, name: &str, role: Role, started_at: u64) {
        let engine = server_id(name);
        let (zone, rack) = ("north".to_owned(), "n1".to_owned());
        let facts =
            EngineFacts { name: name.to_owned(), role, kv_capacity_tokens: 1e5, zone, rack, started_at };
        let conn = self.connections[&engine];
        self.input(Input::EngineConnected { engine, conn, facts });
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.core.handle(self.now, input, &mut out);
        self.record(&out);
        out
    }

    fn record(&mut self, out: &[Output]) {
        for output in out {
            if let Output::Connect { engine, conn, .. } = output {
                self.connections.insert(*engine, *conn);
            }
        }
        self.outputs.extend(out.iter().cloned());
    }

    fn receive_frame(&mut self, engine: ServerId, frame: EngineFrame) -> Vec<Output> {
        let conn = self.connections[&engine];
        self.input(Input::EngineFrame { engine, conn, frame })
    }

    fn advance(&mut self, duration: Nanos) -> Vec<Output> {
        let until = self.now + duration;
        let mut out = Vec::new();
        while let Some(at) = self.core.next_timer_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.core.on_timers_due(self.now, &mut out);
        }
        self.now = until;
        self.record(&out);
        out
    }

    fn start_prefill(&mut self, id: u64) -> (ServerId, AttemptKey) {
        self.try_start_prefill(id).expect("a prefill was sent")
    }

    fn try_start_prefill(&mut self, id: u64) -> Option<(ServerId, AttemptKey)> {
        let mut out = self.input(Input::RequestArrived { id: RequestId(id), request: request() });
        // The scheduler may probe before it sends.
        out.extend(self.advance(100 * MS));
        sent_attempt(&out)
    }

    fn start_decode(&mut self, id: u64) -> (ServerId, AttemptKey) {
        let (engine, key) = self.start_prefill(id);
        let done =
            EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 500, report: None };
        let out = self.receive_frame(engine, done);
        sent_attempt(&out).expect("a decode was sent")
    }
}

fn request() -> AcceptedRequest {
    AcceptedRequest {
        class: gaparch_scheduler::api::ClassId(0),
        tenant: None,
        session: None,
        prefix: None,
        prompt_tokens: 500,
        prefix_tokens: 0,
        max_output_tokens: 50,
        expected_output_tokens: None,
        client_retry: false,
        client_reconnect: false,
        deadline_at: None,
        prompt: "hello".to_owned(),
        fingerprint: 1,
    }
}

fn sent_attempt(out: &[Output]) -> Option<(ServerId, AttemptKey)> {
    out.iter().find_map(|o| match o {
        Output::Engine { engine, frame: EngineFrame::Prefill(job) | EngineFrame::Decode { job, .. } } => {
            Some((*engine, job.key))
        }
        _ => None,
    })
}

fn tokens(key: AttemptKey, from: u32) -> EngineFrame {
    EngineFrame::Tokens { key, sent_before: from, count: 1, text: "x".to_owned() }
}

fn outcome(key: AttemptKey, status: AttemptStatus, produced: u32) -> EngineFrame {
    EngineFrame::Outcome { key, status, note: 0, produced_tokens: produced, report: None }
}

fn final_answers(outputs: &[Output], id: u64) -> Vec<ResponseEvent> {
    let final_answer = |output: &Output| match output {
        Output::Client { id: of, event } if of.0 == id && event.is_last() => Some(event.clone()),
        _ => None,
    };
    outputs.iter().filter_map(final_answer).collect()
}

fn disconnects(out: &[Output]) -> usize {
    out.iter().filter(|o| matches!(o, Output::Disconnect { .. })).count()
}

#[test]
fn a_request_goes_through_its_phases_to_one_answer() {
    let mut router = TestRouter::new();
    let (decode_worker, key) = router.start_decode(1);
    assert_eq!(router.core.phase(RequestId(1)), Some(Phase::Decoding));
    router.receive_frame(decode_worker, tokens(key, 0));
    assert_eq!(router.core.phase(RequestId(1)), Some(Phase::Streaming));
    router.receive_frame(decode_worker, tokens(key, 1));
    router.receive_frame(decode_worker, outcome(key, AttemptStatus::Ok, 2));
    assert_eq!(router.core.phase(RequestId(1)), None);
    assert!(matches!(final_answers(&router.outputs, 1)[..], [ResponseEvent::Finished { .. }]));
}

#[test]
fn duplicate_outcomes_and_frames_after_the_timeout_change_nothing() {
    let mut router = TestRouter::new();
    let (decode_worker, key) = router.start_decode(1);
    router.receive_frame(decode_worker, tokens(key, 0));
    router.receive_frame(decode_worker, outcome(key, AttemptStatus::Ok, 1));
    let before = router.core.counters();
    assert_eq!(router.receive_frame(decode_worker, outcome(key, AttemptStatus::Ok, 1)), vec![]);
    assert_eq!(router.core.counters().late_frames, before.late_frames + 1);
    let (prefill_worker, key) = router.start_prefill(2);
    router.advance(20 * S);
    assert_eq!(final_answers(&router.outputs, 2).len(), 1);
    assert_eq!(
        sent_attempt(&router.receive_frame(
            prefill_worker,
            EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 5, report: None }
        )),
        None
    );
    assert_eq!(final_answers(&router.outputs, 2).len(), 1);
    let release = |o: &Output| matches!(o, Output::Engine { frame: EngineFrame::Release { request: 2 }, .. });
    assert!(router.outputs.iter().any(release), "the KV cache of an ended request is released");
}

#[test]
fn protocol_violations_close_the_connection_and_affect_only_its_requests() {
    type InvalidFrame = fn(AttemptKey) -> EngineFrame;
    let cases: [(&str, InvalidFrame); 6] = [
        ("an unknown attempt", |key| outcome(AttemptKey { attempt: 9, ..key }, AttemptStatus::Ok, 0)),
        ("missing tokens", |key| tokens(key, 5)),
        ("a prefill result for a decode", |key| EngineFrame::PrefillDone {
            key,
            cached_prompt_tokens: 0,
            prompt_tokens: 1,
            report: None,
        }),
        ("an outcome with another token count", |key| outcome(key, AttemptStatus::Ok, 7)),
        ("a frame of a router: release", |_| EngineFrame::Release { request: 1 }),
        ("a frame of a router: cancel", |key| EngineFrame::Cancel(key)),
    ];
    for (name, invalid_frame) in cases {
        let mut router = TestRouter::new();
        let (decode_worker, key) = router.start_decode(1);
        let (prefill_worker, prefill_key) = router.start_prefill(2);
        assert_ne!(decode_worker, prefill_worker);
        let out = router.receive_frame(decode_worker, invalid_frame(key));
        assert_eq!((disconnects(&out), router.core.counters().protocol_violations), (1, 1), "{name}");
        let done = EngineFrame::PrefillDone {
            key: prefill_key,
            cached_prompt_tokens: 0,
            prompt_tokens: 5,
            report: None,
        };
        assert!(
            sent_attempt(&router.receive_frame(prefill_worker, done)).is_some(),
            "{name}: the request on the other connection continues"
        );
        router.advance(20 * S);
        assert_eq!(final_answers(&router.outputs, 1).len(), 1, "{name}");
    }
}

#[test]
fn an_engine_whose_role_differs_from_the_list_is_disconnected() {
    let mut router = TestRouter::new();
    let engine = server_id("read-1");
    let conn = router.connections[&engine];
    router.input(Input::EngineDisconnected { engine, conn });
    router.advance(S);
    assert_ne!(router.connections[&engine], conn, "the router reconnects");
    router.connect_engine("read-1", Role::Decode, 1);
    assert_eq!((disconnects(&router.outputs), router.core.counters().protocol_violations), (1, 1));
}

#[test]
fn invalid_values_from_engines_and_the_list_are_ignored_and_counted() {
    let mut router = TestRouter::new();
    let (prefill_worker, key) = router.start_prefill(1);
    let report = gaparch_scheduler::api::LoadReport {
        in_flight: Some(f64::NAN),
        queued: Some(-1.0),
        slot_utilization: Some(1e300),
        memory_utilization: Some(f64::INFINITY),
        pending_prefill_kilotokens: Some(1.0),
    };
    let done =
        EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 5, report: Some(report) };
    assert!(sent_attempt(&router.receive_frame(prefill_worker, done)).is_some());
    assert_eq!(router.core.counters().ignored_values, 4);
    let entry = |engine: &str, kind: &str, weight| ListEntry {
        engine: engine.to_owned(),
        address: "127.0.0.1:7201".to_owned(),
        kind: kind.to_owned(),
        zone: "north".to_owned(),
        rack: "n1".to_owned(),
        state: ServerState::Ready,
        weight,
        started_at: None,
    };
    let entries = vec![entry("write-1", "writer", Some(f64::NAN)), entry("new", "no-such-kind", None)];
    router.input(Input::ListUpdated(ListUpdate { scope: Scope::Full, version: 1, base_version: 0, entries }));
    let counters = router.core.counters();
    assert_eq!((counters.ignored_values, counters.ignored_entries), (5, 1));
}

#[test]
fn the_list_is_fetched_after_a_missed_update_and_removals_stop_sends_at_once() {
    let mut router = TestRouter::new();
    let full = |version| ListUpdate { scope: Scope::Full, version, base_version: 0, entries: vec![] };
    router.input(Input::ListUpdated(full(3)));
    let gap = ListUpdate { scope: Scope::Delta, version: 9, base_version: 8, entries: vec![] };
    assert_eq!(router.input(Input::ListUpdated(gap)), vec![Output::FetchEndpoints]);
    // The full list was empty: nothing is sent any more, and the request is answered in time.
    router.now += 10 * MS;
    let before = router.outputs.len();
    router.input(Input::RequestArrived { id: RequestId(5), request: request() });
    router.advance(10 * S);
    assert_eq!(sent_attempt(&router.outputs[before..]), None);
    assert!(matches!(final_answers(&router.outputs, 5)[..], [ResponseEvent::Rejected { .. }]));
    assert_eq!(router.core.counters().overdue, 0);
}

/// A prefill waits for its connection while a delta of the list drains its engine: it must not be sent when
/// the connection is established.
#[test]
fn an_attempt_awaiting_its_connection_is_not_sent_once_its_engine_drains() {
    let mut router = TestRouter::connecting();
    let entry = |name: &str, kind: &str, state| ListEntry {
        engine: name.to_owned(),
        address: "127.0.0.1:7101".to_owned(),
        kind: kind.to_owned(),
        zone: "north".to_owned(),
        rack: "n1".to_owned(),
        state,
        weight: None,
        started_at: None,
    };
    let prefill_workers = |state| vec![entry("read-1", "reader", state), entry("read-2", "reader", state)];
    let entries =
        [prefill_workers(ServerState::Ready), vec![entry("write-1", "writer", ServerState::Ready)]].concat();
    router.input(Input::ListUpdated(ListUpdate { scope: Scope::Full, version: 3, base_version: 0, entries }));
    router.input(Input::RequestArrived { id: RequestId(1), request: request() });
    router.advance(100 * MS);
    assert_eq!(sent_attempt(&router.outputs), None, "no connection is established");
    let entries = prefill_workers(ServerState::Draining);
    router.input(Input::ListUpdated(ListUpdate {
        scope: Scope::Delta,
        version: 4,
        base_version: 3,
        entries,
    }));
    router.connect_engine("read-1", Role::Prefill, 1);
    router.connect_engine("read-2", Role::Prefill, 1);
    assert_eq!(sent_attempt(&router.outputs), None, "sent to a draining prefill worker");
}

/// The router's wall clock may be ahead of the engine's: the start time that an engine reports must not make
/// it older than the delta of the list that added it.
#[test]
fn an_added_engine_counts_as_started_no_earlier_than_it_was_added() {
    let mut router = TestRouter::new();
    let entry = |name: &str| ListEntry {
        engine: name.to_owned(),
        address: "127.0.0.1:7101".to_owned(),
        kind: "reader".to_owned(),
        zone: "north".to_owned(),
        rack: "n1".to_owned(),
        state: ServerState::Ready,
        weight: None,
        started_at: None,
    };
    let entries =
        vec![entry("read-1"), entry("read-2"), ListEntry { kind: "writer".to_owned(), ..entry("write-1") }];
    router.input(Input::ListUpdated(ListUpdate { scope: Scope::Full, version: 3, base_version: 0, entries }));
    router.advance(1000 * MS);
    let added_at = router.now;
    let entries = vec![entry("read-9")];
    router.input(Input::ListUpdated(ListUpdate {
        scope: Scope::Delta,
        version: 4,
        base_version: 3,
        entries,
    }));
    router.advance(10 * MS);
    router.connect_engine("read-9", Role::Prefill, 1);
    let started_at = router.core.endpoint_process(server_id("read-9")).map(|(_, started_at)| started_at);
    assert_eq!(started_at, Some(added_at));
}

#[test]
fn a_silent_stream_fails_and_is_cancelled_at_its_engine() {
    let mut router = TestRouter::new();
    let (decode_worker, key) = router.start_decode(1);
    router.receive_frame(decode_worker, tokens(key, 0));
    router.advance(4 * S);
    router.receive_frame(decode_worker, tokens(key, 1));
    router.advance(4 * S);
    assert!(final_answers(&router.outputs, 1).is_empty(), "the silence limit is not reached");
    let out = router.advance(2 * S);
    assert!(matches!(final_answers(&out, 1)[..], [ResponseEvent::Failed { .. }]));
    assert!(out.contains(&Output::Engine { engine: decode_worker, frame: EngineFrame::Cancel(key) }));
}

fn empty_tokens(key: AttemptKey, from: u32) -> EngineFrame {
    EngineFrame::Tokens { key, sent_before: from, count: 0, text: String::new() }
}

/// Guards against a client that is left waiting because frames without tokens restart its stream's silence
/// limit.
#[test]
fn a_stream_of_frames_without_tokens_fails_at_the_silence_limit() {
    let mut router = TestRouter::new();
    let (decode_worker, key) = router.start_decode(1);
    router.receive_frame(decode_worker, tokens(key, 0));
    for _ in 0..4 {
        router.advance(S);
        router.receive_frame(decode_worker, empty_tokens(key, 1));
    }
    assert!(final_answers(&router.outputs, 1).is_empty(), "the silence limit is not reached");
    let out = router.advance(2 * S);
    assert!(matches!(final_answers(&out, 1)[..], [ResponseEvent::Failed { .. }]));
    assert!(out.contains(&Output::Engine { engine: decode_worker, frame: EngineFrame::Cancel(key) }));
    let empty_text = |output: &Output| matches!(output, Output::Client { event: ResponseEvent::Text { text }, .. } if text.is_empty());
    assert!(!router.outputs.iter().any(empty_text), "frames without tokens are not passed on");
}

/// Guards against a frame without tokens that counts as the first token, from which on the client's deadline
/// no longer applies.
#[test]
fn a_frame_without_tokens_does_not_start_a_stream() {
    let mut router = TestRouter::new();
    let (decode_worker, key) = router.start_decode(1);
    router.receive_frame(decode_worker, empty_tokens(key, 0));
    assert_eq!(router.core.phase(RequestId(1)), Some(Phase::Decoding));
    router.receive_frame(decode_worker, tokens(key, 0));
    assert_eq!(router.core.phase(RequestId(1)), Some(Phase::Streaming));
}

#[test]
fn a_stop_answers_open_requests_and_rejects_new_ones() {
    let mut router = TestRouter::new();
    router.start_decode(1);
    router.start_prefill(2);
    router.input(Input::StopAt(router.now));
    let rejected = router.input(Input::RequestArrived { id: RequestId(3), request: request() });
    assert!(matches!(final_answers(&rejected, 3)[..], [ResponseEvent::Rejected { .. }]));
    router.input(Input::StopNow);
    for id in 1..=3 {
        assert_eq!(final_answers(&router.outputs, id).len(), 1, "{id}");
    }
    assert_eq!(router.core.open_requests(), 0);
}

/// Guards against a sound stream that is cut off when a shutdown ends what has no answer yet.
#[test]
fn a_stop_of_unanswered_requests_leaves_streams_alone() {
    let mut router = TestRouter::new();
    let (decode_worker, key) = router.start_decode(1);
    router.receive_frame(decode_worker, tokens(key, 0));
    router.start_decode(2);
    router.start_prefill(3);
    router.input(Input::StopUnanswered);
    for id in 2..=3 {
        assert_eq!(final_answers(&router.outputs, id).len(), 1, "{id}");
    }
    assert!(final_answers(&router.outputs, 1).is_empty(), "the stream goes on");
    assert_eq!(router.core.phase(RequestId(1)), Some(Phase::Streaming));
    assert_eq!(router.core.open_requests(), 1);
    let rejected = router.input(Input::RequestArrived { id: RequestId(4), request: request() });
    assert!(matches!(final_answers(&rejected, 4)[..], [ResponseEvent::Rejected { .. }]));
}

#[test]
fn the_same_inputs_give_the_same_outputs() {
    let run = || {
        let mut router = TestRouter::new();
        for id in 1..40 {
            let Some((engine, key)) = router.try_start_prefill(id) else { continue };
            if id % 3 > 0 {
                router.receive_frame(
                    engine,
                    EngineFrame::PrefillDone {
                        key,
                        cached_prompt_tokens: 0,
                        prompt_tokens: 500,
                        report: None,
                    },
                );
            }
            if id % 7 == 0 {
                router.input(Input::ClientDisconnected(RequestId(id)));
            }
        }
        router.advance(20 * S);
        router.outputs
    };
    assert_eq!(run(), run());
}

fn order(change: Change) -> Order {
    Order { change, reason: "a test".to_owned(), force: false, revision: None }
}

impl TestRouter {
    fn send_request(&mut self, id: u64) -> Vec<Output> {
        self.input(Input::RequestArrived { id: RequestId(id), request: request() })
    }

    fn order(&mut self, change: Change) -> Vec<Output> {
        let proposal = self.core.propose(self.now, &order(change), "someone").expect("allowed");
        self.input(Input::OperatorChange(proposal.accepted))
    }

    fn outcomes(&self) -> Vec<&RequestOutcome> {
        self.outputs
            .iter()
            .filter_map(|o| if let Output::RequestEnded(outcome) = o { Some(outcome.as_ref()) } else { None })
            .collect()
    }
}

#[test]
fn an_operators_drain_overrides_the_endpoint_list() {
    let mut router = TestRouter::new();
    router.order(Change::Drain { engine: "read-1".to_owned(), mode: DrainMode::Drain });
    for version in 1..4 {
        let entry = ListEntry {
            engine: "read-1".to_owned(),
            address: "127.0.0.1:7101".to_owned(),
            kind: "reader".to_owned(),
            zone: "north".to_owned(),
            rack: "n1".to_owned(),
            state: if version == 2 { ServerState::Removed } else { ServerState::Ready },
            weight: None,
            started_at: None,
        };
        let scope = if version == 1 { Scope::Full } else { Scope::Delta };
        router.input(Input::ListUpdated(ListUpdate {
            scope,
            version,
            base_version: version - 1,
            entries: vec![entry],
        }));
        router.send_request(version);
    }
    let prefills = |router: &TestRouter| {
        let is_prefill = |output: &&Output| match output {
            Output::Engine { engine, frame: EngineFrame::Prefill(_) } => *engine == server_id("read-1"),
            _ => false,
        };
        router.outputs.iter().filter(is_prefill).count()
    };
    assert_eq!(prefills(&router), 0);
    let view = router.core.engine_views().into_iter().find(|v| v.name == "read-1").expect("known");
    assert_eq!((view.listed_state, view.state), (EngineState::Ready, EngineState::Draining));
    router.order(Change::Undrain { engine: "read-1".to_owned() });
    let view = router.core.engine_views().into_iter().find(|v| v.name == "read-1").expect("known");
    assert_eq!(view.state, EngineState::Ready);
}

#[test]
fn a_detached_engine_stays_connected_until_nothing_is_in_flight_or_held_there() {
    let mut router = TestRouter::new();
    let (prefill_worker, key) = router.start_prefill(1);
    let name = router
        .core
        .engine_views()
        .into_iter()
        .find(|v| server_id(&v.name) == prefill_worker)
        .expect("known")
        .name;
    let is_disconnected = |out: &[Output]| {
        out.iter().any(|o| matches!(o, Output::Disconnect { engine, .. } if *engine == prefill_worker))
    };
    let out = router.order(Change::Drain { engine: name.clone(), mode: DrainMode::Detach });
    assert!(!is_disconnected(&out), "a prefill is in flight");
    let out = router.receive_frame(
        prefill_worker,
        EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 500, report: None },
    );
    assert!(!is_disconnected(&out), "its KV cache has not been fetched");
    let (decode_worker, key) = sent_attempt(&out).expect("a decode was sent");
    let out = router.receive_frame(
        decode_worker,
        EngineFrame::Tokens { key, sent_before: 0, count: 1, text: "a".to_owned() },
    );
    assert!(is_disconnected(&out), "the KV cache was fetched, and nothing else is there: {out:?}");
    let out = router.order(Change::Undrain { engine: name });
    assert!(out.iter().any(|o| matches!(o, Output::Connect { engine, .. } if *engine == prefill_worker)));
}

#[test]
fn a_pause_and_the_open_requests_limit_reject_only_new_requests() {
    let mut router = TestRouter::new();
    router.start_prefill(1);
    router.order(Change::Pause {});
    let rejected = router.send_request(2);
    assert!(matches!(
        final_answers(&rejected, 2)[..],
        [ResponseEvent::Rejected { cause: OutcomeCause::Paused, .. }]
    ));
    router.order(Change::Resume {});
    router.start_prefill(3);
    router.order(Change::SetLimit { name: "open-requests".to_owned(), value: Some(2.0) });
    let rejected = router.send_request(4);
    assert!(matches!(
        final_answers(&rejected, 4)[..],
        [ResponseEvent::Rejected { cause: OutcomeCause::TooManyOpen, .. }]
    ));
    let causes: Vec<OutcomeCause> = router.outcomes().iter().map(|outcome| outcome.cause).collect();
    assert_eq!(causes, [OutcomeCause::Paused, OutcomeCause::TooManyOpen]);
    router.input(Input::ClientDisconnected(RequestId(1)));
    let last = router.outcomes().pop().expect("an outcome");
    assert_eq!(
        (last.kind, last.attempts.len(), last.evidence.len()),
        (OutcomeKind::ClientDisconnected, 1, 0)
    );
    assert_eq!(router.core.open_requests(), 1);
}

#[test]
fn restored_orders_apply_before_the_first_request() {
    let config = Config::parse(EXAMPLE).expect("valid settings");
    let note = ChangeNote { operator: "someone".to_owned(), reason: "noise".to_owned(), at: 1 };
    let accepted = |revision, change| AcceptedChange { revision, change, note: note.clone() };
    let detach = Change::Drain { engine: "write-2".to_owned(), mode: DrainMode::Detach };
    let orders = OrderRegistry::restore([accepted(1, detach), accepted(2, Change::Pause {})]);
    let mut out = Vec::new();
    let mut core = Core::new(config, orders, RouterRun(2), 1000 * S, &mut out);
    let is_connect = |o: &Output| matches!(o, Output::Connect { name, .. } if name == "write-2");
    assert!(!out.iter().any(is_connect), "no connection to a detached engine");
    let mut out = Vec::new();
    core.handle(1000 * S, Input::RequestArrived { id: RequestId(1), request: request() }, &mut out);
    assert!(matches!(
        final_answers(&out, 1)[..],
        [ResponseEvent::Rejected { cause: OutcomeCause::Paused, .. }]
    ));
}

#[test]
fn a_rejection_carries_evidence_of_the_state_of_the_engines() {
    let mut router = TestRouter::new();
    for engine in ["write-1", "write-2"] {
        let conn = router.connections[&server_id(engine)];
        router.input(Input::EngineDisconnected { engine: server_id(engine), conn });
    }
    router.send_request(1);
    router.advance(6 * S);
    let outcome = router.outcomes().pop().expect("given up").clone();
    assert_eq!(outcome.kind, OutcomeKind::Rejected, "{outcome:?}");
    let is_unreachable =
        |name: &str| outcome.evidence.iter().any(|e| e.engine == name && e.avoid_reason == "unreachable");
    assert!(is_unreachable("write-1") && is_unreachable("write-2"), "{:?}", outcome.evidence);
}

#[test]
fn a_restarted_engine_counts_as_new_whatever_its_clock_shows() {
    let mut router = TestRouter::new();
    let prefill_worker = server_id("read-1");
    let reconnect = |router: &mut TestRouter, started_at: u64| {
        let conn = router.connections[&prefill_worker];
        router.input(Input::EngineDisconnected { engine: prefill_worker, conn });
        let lost_at = router.now;
        router.advance(5 * S);
        router.connect_engine("read-1", Role::Prefill, started_at);
        (lost_at, router.core.endpoint_process(prefill_worker).expect("listed").1)
    };
    let (_, started_at) = reconnect(&mut router, 1);
    assert_eq!(started_at, 1, "the same process: its connection was lost");
    // A clock that is far behind would make the new process look warm.
    let (lost_at, started_at) = reconnect(&mut router, 2);
    assert_eq!(started_at, lost_at);
    // A clock that is far ahead would keep it warming up for hours, or its start time would be ignored and it
    // would look warm.
    let ahead = router.now + 24 * 3600 * S;
    let (_, started_at) = reconnect(&mut router, ahead);
    assert_eq!(started_at, router.now);
}

/// A client may state a deadline an hour away and disconnect at once: its timers must not stay for that hour.
#[test]
fn ended_requests_leave_no_timers_even_if_their_deadlines_are_far_away() {
    let mut router = TestRouter::new();
    let before = router.core.timer_count();
    for id in 1..=500 {
        let request = AcceptedRequest { deadline_at: Some(router.now + 3600 * S), ..request() };
        let out = router.input(Input::RequestArrived { id: RequestId(id), request });
        if id % 2 == 0 {
            router.input(Input::ClientDisconnected(RequestId(id)));
        } else if let Some((engine, key)) = sent_attempt(&out) {
            router.receive_frame(
                engine,
                EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 500, report: None },
            );
            router.input(Input::ClientDisconnected(RequestId(id)));
        } else {
            router.advance(100 * MS);
            router.input(Input::ClientDisconnected(RequestId(id)));
        }
    }
    router.advance(30 * S);
    let left = router.core.timer_count().saturating_sub(before);
    assert!(left < 10, "{left} timers left of 500 ended requests");
}

/// One connection carries all frames to an engine, and a release would remove a KV cache that a waiting
/// decode is still to fetch. It is sent beside a decode only if the decode's engine has answered nothing that
/// was sent after the decode.
#[test]
fn a_kv_cache_is_released_beside_a_decode_unless_its_engine_is_known_to_run() {
    for answers_probes in [false, true] {
        let mut router = TestRouter::new();
        router.start_decode(1);
        let (mut releases, mut handled) = (0, 0);
        for _ in 0..60 {
            router.advance(10 * MS);
            let new = router.outputs[handled..].to_vec();
            handled = router.outputs.len();
            for output in new {
                match output {
                    Output::Engine { frame: EngineFrame::Release { request: 1 }, .. } => releases += 1,
                    Output::Engine { engine, frame: EngineFrame::Probe { nonce } } if answers_probes => {
                        router.receive_frame(engine, EngineFrame::Probed { nonce, report: None });
                    }
                    _ => {}
                }
            }
        }
        assert_eq!(releases > 0, !answers_probes, "answers probes: {answers_probes}");
    }
}
