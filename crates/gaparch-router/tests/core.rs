//! The core alone: frames that make no sense, outcomes that come twice or late, drains, the end.

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

struct Bench {
    core: Core,
    now: Nanos,
    conns: BTreeMap<ServerId, ConnectionNumber>,
    seen: Vec<Output>,
}

impl Bench {
    /// The example's site, with all its engines connected.
    fn new() -> Bench {
        let mut bench = Bench::connecting();
        for engine in Config::parse(EXAMPLE).expect("sound").engines {
            let role = if engine.kind == "reader" { Role::Prefill } else { Role::Decode };
            bench.up(&engine.name, role, 1);
        }
        bench
    }

    /// The same with none of its connections up yet.
    fn connecting() -> Bench {
        let config = Config::parse(EXAMPLE).expect("sound");
        let mut out = Vec::new();
        let core = Core::new(config, OrderRegistry::default(), RouterRun(1), 1000 * S, &mut out);
        let mut bench = Bench { core, now: 1000 * S, conns: BTreeMap::new(), seen: Vec::new() };
        for output in out {
            if let Output::Connect { engine, conn, .. } = output {
                bench.conns.insert(engine, conn);
            }
        }
        bench
    }

    fn up(&mut self, name: &str, role: Role, started_at: u64) {
        let engine = server_id(name);
        let (zone, rack) = ("north".to_owned(), "n1".to_owned());
        let facts =
            EngineFacts { name: name.to_owned(), role, kv_capacity_tokens: 1e5, zone, rack, started_at };
        let conn = self.conns[&engine];
        self.input(Input::EngineConnected { engine, conn, facts });
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.core.handle(self.now, input, &mut out);
        self.note(&out);
        out
    }

    fn note(&mut self, out: &[Output]) {
        for output in out {
            if let Output::Connect { engine, conn, .. } = output {
                self.conns.insert(*engine, *conn);
            }
        }
        self.seen.extend(out.iter().cloned());
    }

    fn frame(&mut self, engine: ServerId, frame: EngineFrame) -> Vec<Output> {
        let conn = self.conns[&engine];
        self.input(Input::EngineFrame { engine, conn, frame })
    }

    fn pass(&mut self, span: Nanos) -> Vec<Output> {
        let until = self.now + span;
        let mut out = Vec::new();
        while let Some(at) = self.core.next_timer_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.core.on_timers_due(self.now, &mut out);
        }
        self.now = until;
        self.note(&out);
        out
    }

    fn ask(&mut self, id: u64) -> (ServerId, AttemptKey) {
        self.ask_if_room(id).expect("a read")
    }

    fn ask_if_room(&mut self, id: u64) -> Option<(ServerId, AttemptKey)> {
        let mut out = self.input(Input::RequestArrived { id: RequestId(id), request: question() });
        // The module may look before it sends.
        out.extend(self.pass(100 * MS));
        sent(&out)
    }

    fn read(&mut self, id: u64) -> (ServerId, AttemptKey) {
        let (engine, key) = self.ask(id);
        let done =
            EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 500, report: None };
        let out = self.frame(engine, done);
        sent(&out).expect("a write")
    }
}

fn question() -> AcceptedRequest {
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

fn sent(out: &[Output]) -> Option<(ServerId, AttemptKey)> {
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

fn answers(seen: &[Output], id: u64) -> Vec<ResponseEvent> {
    let of = |o: &Output| match o {
        Output::Client { id: i, event } if i.0 == id && event.is_last() => Some(event.clone()),
        _ => None,
    };
    seen.iter().filter_map(of).collect()
}

fn disconnects(out: &[Output]) -> usize {
    out.iter().filter(|o| matches!(o, Output::Disconnect { .. })).count()
}

#[test]
fn a_request_goes_through_its_phases_to_one_answer() {
    let mut bench = Bench::new();
    let (writer, key) = bench.read(1);
    assert_eq!(bench.core.phase(RequestId(1)), Some(Phase::Decoding));
    bench.frame(writer, tokens(key, 0));
    assert_eq!(bench.core.phase(RequestId(1)), Some(Phase::Streaming));
    bench.frame(writer, tokens(key, 1));
    bench.frame(writer, outcome(key, AttemptStatus::Ok, 2));
    assert_eq!(bench.core.phase(RequestId(1)), None);
    assert!(matches!(answers(&bench.seen, 1)[..], [ResponseEvent::Finished { .. }]));
}

#[test]
fn a_second_outcome_and_one_after_the_time_out_change_nothing() {
    let mut bench = Bench::new();
    let (writer, key) = bench.read(1);
    bench.frame(writer, tokens(key, 0));
    bench.frame(writer, outcome(key, AttemptStatus::Ok, 1));
    let before = bench.core.counters();
    assert_eq!(bench.frame(writer, outcome(key, AttemptStatus::Ok, 1)), vec![]);
    assert_eq!(bench.core.counters().late_frames, before.late_frames + 1);
    let (reader, key) = bench.ask(2);
    bench.pass(20 * S);
    assert_eq!(answers(&bench.seen, 2).len(), 1);
    assert_eq!(
        sent(&bench.frame(
            reader,
            EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 5, report: None }
        )),
        None
    );
    assert_eq!(answers(&bench.seen, 2).len(), 1);
    let release = |o: &Output| matches!(o, Output::Engine { frame: EngineFrame::Release { request: 2 }, .. });
    assert!(bench.seen.iter().any(release), "what was read for nobody is let go of");
}

#[test]
fn frames_that_make_no_sense_close_their_connection_and_cost_only_its_requests() {
    type Wrong = fn(AttemptKey) -> EngineFrame;
    let cases: [(&str, Wrong); 6] = [
        ("an attempt never made", |k| outcome(AttemptKey { attempt: 9, ..k }, AttemptStatus::Ok, 0)),
        ("tokens missing", |k| tokens(k, 5)),
        ("a read's end for a write", |k| EngineFrame::PrefillDone {
            key: k,
            cached_prompt_tokens: 0,
            prompt_tokens: 1,
            report: None,
        }),
        ("an end that lost tokens", |k| outcome(k, AttemptStatus::Ok, 7)),
        ("a router's frame", |_| EngineFrame::Release { request: 1 }),
        ("a read for the router", |k| EngineFrame::Cancel(k)),
    ];
    for (name, wrong) in cases {
        let mut bench = Bench::new();
        let (writer, key) = bench.read(1);
        let (other, other_key) = bench.ask(2);
        assert_ne!(writer, other);
        let out = bench.frame(writer, wrong(key));
        assert_eq!((disconnects(&out), bench.core.counters().protocol_violations), (1, 1), "{name}");
        let done = EngineFrame::PrefillDone {
            key: other_key,
            cached_prompt_tokens: 0,
            prompt_tokens: 5,
            report: None,
        };
        assert!(sent(&bench.frame(other, done)).is_some(), "{name}: the other goes on");
        bench.pass(20 * S);
        assert_eq!(answers(&bench.seen, 1).len(), 1, "{name}");
    }
}

#[test]
fn an_engine_that_is_not_what_the_list_says_is_turned_away() {
    let mut bench = Bench::new();
    let engine = server_id("read-1");
    let conn = bench.conns[&engine];
    bench.input(Input::EngineDisconnected { engine, conn });
    bench.pass(S);
    assert_ne!(bench.conns[&engine], conn, "it is connected to again");
    bench.up("read-1", Role::Decode, 1);
    assert_eq!(bench.core.counters().protocol_violations, 1);
}

#[test]
fn figures_of_engines_and_the_list_that_make_no_sense_are_dropped_and_counted() {
    let mut bench = Bench::new();
    let (reader, key) = bench.ask(1);
    let report = gaparch_scheduler::api::LoadReport {
        in_flight: Some(f64::NAN),
        queued: Some(-1.0),
        slot_utilization: Some(1e300),
        memory_utilization: Some(f64::INFINITY),
        pending_prefill_kilotokens: Some(1.0),
    };
    let done =
        EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 5, report: Some(report) };
    assert!(sent(&bench.frame(reader, done)).is_some());
    assert_eq!(bench.core.counters().ignored_values, 4);
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
    bench.input(Input::ListUpdated(ListUpdate { scope: Scope::Full, version: 1, base_version: 0, entries }));
    let counts = bench.core.counters();
    assert_eq!((counts.ignored_values, counts.ignored_entries), (5, 1));
}

#[test]
fn a_missed_change_of_the_list_is_asked_for_and_a_drain_stops_sends_at_once() {
    let mut bench = Bench::new();
    let full = |version| ListUpdate { scope: Scope::Full, version, base_version: 0, entries: vec![] };
    bench.input(Input::ListUpdated(full(3)));
    let gap = ListUpdate { scope: Scope::Delta, version: 9, base_version: 8, entries: vec![] };
    assert_eq!(bench.input(Input::ListUpdated(gap)), vec![Output::FetchEndpoints]);
    // The whole list named none: nothing is sent any more, and the request is answered in time.
    bench.now += 10 * MS;
    let before = bench.seen.len();
    bench.input(Input::RequestArrived { id: RequestId(5), request: question() });
    bench.pass(10 * S);
    assert_eq!(sent(&bench.seen[before..]), None);
    assert!(matches!(answers(&bench.seen, 5)[..], [ResponseEvent::Rejected { .. }]));
    assert_eq!(bench.core.counters().overdue, 0);
}

/// A read waits for its connection, and its reader drains by a change of the list: it is not sent once that is up.
#[test]
fn what_waits_for_a_connection_is_not_sent_after_a_change_that_drains_its_engine() {
    let mut bench = Bench::connecting();
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
    let readers = |state| vec![entry("read-1", "reader", state), entry("read-2", "reader", state)];
    let entries =
        [readers(ServerState::Ready), vec![entry("write-1", "writer", ServerState::Ready)]].concat();
    bench.input(Input::ListUpdated(ListUpdate { scope: Scope::Full, version: 3, base_version: 0, entries }));
    bench.input(Input::RequestArrived { id: RequestId(1), request: question() });
    bench.pass(100 * MS);
    assert_eq!(sent(&bench.seen), None, "no connection is up");
    let entries = readers(ServerState::Draining);
    bench.input(Input::ListUpdated(ListUpdate { scope: Scope::Delta, version: 4, base_version: 3, entries }));
    bench.up("read-1", Role::Prefill, 1);
    bench.up("read-2", Role::Prefill, 1);
    assert_eq!(sent(&bench.seen), None, "sent to a drained reader");
}

/// The router's wall clock may be ahead: what an engine says of its start makes one that a change of the list names no
/// older than that change.
#[test]
fn an_engine_that_joins_is_new_whatever_it_says_of_its_start() {
    let mut bench = Bench::new();
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
    bench.input(Input::ListUpdated(ListUpdate { scope: Scope::Full, version: 3, base_version: 0, entries }));
    bench.pass(1000 * MS);
    let joined = bench.now;
    let entries = vec![entry("read-9")];
    bench.input(Input::ListUpdated(ListUpdate { scope: Scope::Delta, version: 4, base_version: 3, entries }));
    bench.pass(10 * MS);
    bench.up("read-9", Role::Prefill, 1);
    let began = bench.core.endpoint_process(server_id("read-9")).map(|(_, began)| began);
    assert_eq!(began, Some(joined));
}

#[test]
fn a_silent_stream_ends_with_a_failure_and_its_writer_is_told() {
    let mut bench = Bench::new();
    let (writer, key) = bench.read(1);
    bench.frame(writer, tokens(key, 0));
    bench.pass(4 * S);
    bench.frame(writer, tokens(key, 1));
    bench.pass(4 * S);
    assert!(answers(&bench.seen, 1).is_empty(), "it is silent for less than is allowed");
    let out = bench.pass(2 * S);
    assert!(matches!(answers(&out, 1)[..], [ResponseEvent::Failed { .. }]));
    assert!(out.contains(&Output::Engine { engine: writer, frame: EngineFrame::Cancel(key) }));
}

#[test]
fn the_end_answers_all_that_is_open_and_takes_nothing_new() {
    let mut bench = Bench::new();
    bench.read(1);
    bench.ask(2);
    bench.input(Input::StopAt(bench.now));
    let refused = bench.input(Input::RequestArrived { id: RequestId(3), request: question() });
    assert!(matches!(answers(&refused, 3)[..], [ResponseEvent::Rejected { .. }]));
    bench.input(Input::StopNow);
    for id in 1..=3 {
        assert_eq!(answers(&bench.seen, id).len(), 1, "{id}");
    }
    assert_eq!(bench.core.open_requests(), 0);
}

#[test]
fn the_same_inputs_give_the_same_outputs() {
    let play = || {
        let mut bench = Bench::new();
        for id in 1..40 {
            let Some((engine, key)) = bench.ask_if_room(id) else { continue };
            if id % 3 > 0 {
                bench.frame(
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
                bench.input(Input::ClientDisconnected(RequestId(id)));
            }
        }
        bench.pass(20 * S);
        bench.seen
    };
    assert_eq!(play(), play());
}

fn order(change: Change) -> Order {
    Order { change, reason: "a test".to_owned(), force: false, revision: None }
}

impl Bench {
    fn ask_raw(&mut self, id: u64) -> Vec<Output> {
        self.input(Input::RequestArrived { id: RequestId(id), request: question() })
    }

    fn order(&mut self, change: Change) -> Vec<Output> {
        let proposal = self.core.propose(self.now, &order(change), "someone").expect("allowed");
        self.input(Input::OperatorChange(proposal.accepted))
    }

    fn endings(&self) -> Vec<&RequestOutcome> {
        self.seen
            .iter()
            .filter_map(|o| if let Output::RequestEnded(ending) = o { Some(ending.as_ref()) } else { None })
            .collect()
    }
}

#[test]
fn an_operator_s_drain_holds_whatever_the_list_says() {
    let mut bench = Bench::new();
    let hold = |engine: &str| Change::Drain { engine: engine.to_owned(), mode: DrainMode::Drain };
    bench.order(hold("read-1"));
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
        bench.input(Input::ListUpdated(ListUpdate {
            scope,
            version,
            base_version: version - 1,
            entries: vec![entry],
        }));
        bench.ask_raw(version);
    }
    let reads = |bench: &Bench| {
        let of = |o: &&Output| matches!(o, Output::Engine { engine, frame: EngineFrame::Prefill(_) } if *engine == server_id("read-1"));
        bench.seen.iter().filter(of).count()
    };
    assert_eq!(reads(&bench), 0);
    let view = bench.core.engine_views().into_iter().find(|v| v.name == "read-1").expect("known");
    assert_eq!((view.listed_state, view.state), (EngineState::Ready, EngineState::Draining));
    bench.order(Change::Undrain { engine: "read-1".to_owned() });
    let view = bench.core.engine_views().into_iter().find(|v| v.name == "read-1").expect("known");
    assert_eq!(view.state, EngineState::Ready);
}

#[test]
fn an_engine_set_aside_keeps_its_connection_until_its_last_request_has_ended() {
    let mut bench = Bench::new();
    let (reader, key) = bench.ask(1);
    let name =
        bench.core.engine_views().into_iter().find(|v| server_id(&v.name) == reader).expect("known").name;
    let left = |out: &[Output]| {
        out.iter().any(|o| matches!(o, Output::Disconnect { engine, .. } if *engine == reader))
    };
    let out = bench.order(Change::Drain { engine: name.clone(), mode: DrainMode::Detach });
    assert!(!left(&out), "it reads");
    let out = bench.frame(
        reader,
        EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 500, report: None },
    );
    assert!(!left(&out), "its state is to be fetched");
    let (writer, key) = sent(&out).expect("a write");
    let out =
        bench.frame(writer, EngineFrame::Tokens { key, sent_before: 0, count: 1, text: "a".to_owned() });
    assert!(left(&out), "the state was taken, and nothing more is there: {out:?}");
    let out = bench.order(Change::Undrain { engine: name });
    assert!(out.iter().any(|o| matches!(o, Output::Connect { engine, .. } if *engine == reader)));
}

#[test]
fn a_paused_intake_refuses_at_once_with_its_reason_and_what_runs_goes_on() {
    let mut bench = Bench::new();
    bench.ask(1);
    bench.order(Change::Pause {});
    let refused = bench.ask_raw(2);
    assert!(matches!(
        answers(&refused, 2)[..],
        [ResponseEvent::Rejected { cause: OutcomeCause::Paused, .. }]
    ));
    bench.order(Change::Resume {});
    bench.ask(3);
    bench.order(Change::SetLimit { name: "open-requests".to_owned(), value: Some(2.0) });
    let refused = bench.ask_raw(4);
    assert!(matches!(
        answers(&refused, 4)[..],
        [ResponseEvent::Rejected { cause: OutcomeCause::TooManyOpen, .. }]
    ));
    let causes: Vec<OutcomeCause> = bench.endings().iter().map(|e| e.cause).collect();
    assert_eq!(causes, [OutcomeCause::Paused, OutcomeCause::TooManyOpen]);
    bench.input(Input::ClientDisconnected(RequestId(1)));
    let left = bench.endings().pop().expect("an ending");
    assert_eq!(
        (left.kind, left.attempts.len(), left.evidence.len()),
        (OutcomeKind::ClientDisconnected, 1, 0)
    );
    assert_eq!(bench.core.open_requests(), 1);
}

#[test]
fn a_router_that_starts_again_keeps_to_the_orders_before_its_first_request() {
    let config = Config::parse(EXAMPLE).expect("sound");
    let note = ChangeNote { operator: "someone".to_owned(), reason: "noise".to_owned(), at: 1 };
    let taken = |revision, change| AcceptedChange { revision, change, note: note.clone() };
    let hold = Change::Drain { engine: "write-2".to_owned(), mode: DrainMode::Detach };
    let book = OrderRegistry::restore([taken(1, hold), taken(2, Change::Pause {})]);
    let mut out = Vec::new();
    let mut core = Core::new(config, book, RouterRun(2), 1000 * S, &mut out);
    let asked = |o: &Output| matches!(o, Output::Connect { name, .. } if name == "write-2");
    assert!(!out.iter().any(asked), "no connection to what is set aside");
    let mut out = Vec::new();
    core.handle(1000 * S, Input::RequestArrived { id: RequestId(1), request: question() }, &mut out);
    assert!(matches!(answers(&out, 1)[..], [ResponseEvent::Rejected { cause: OutcomeCause::Paused, .. }]));
}

#[test]
fn a_refusal_carries_what_the_engines_looked_like() {
    let mut bench = Bench::new();
    for engine in ["write-1", "write-2"] {
        let conn = bench.conns[&server_id(engine)];
        bench.input(Input::EngineDisconnected { engine: server_id(engine), conn });
    }
    bench.ask_raw(1);
    bench.pass(6 * S);
    let ending = bench.endings().pop().expect("given up").clone();
    assert_eq!(ending.kind, OutcomeKind::Rejected, "{ending:?}");
    let down =
        |name: &str| ending.evidence.iter().any(|e| e.engine == name && e.avoid_reason == "unreachable");
    assert!(down("write-1") && down("write-2"), "{:?}", ending.evidence);
}

#[test]
fn an_engine_that_was_not_there_is_cold_whatever_its_clock_says() {
    let mut bench = Bench::new();
    let reader = server_id("read-1");
    let again = |bench: &mut Bench, started_at: u64| {
        let conn = bench.conns[&reader];
        bench.input(Input::EngineDisconnected { engine: reader, conn });
        let away = bench.now;
        bench.pass(5 * S);
        bench.up("read-1", Role::Prefill, started_at);
        (away, bench.core.endpoint_process(reader).expect("listed").1)
    };
    let (_, began) = again(&mut bench, 1);
    assert_eq!(began, 1, "the same process: its connection was lost");
    // Its clock is far behind, as seen from here: it would look long warm.
    let (away, began) = again(&mut bench, 2);
    assert_eq!(began, away);
    // Far ahead: it would stay cold for hours, or its word would be dropped and it would look warm.
    let ahead = bench.now + 24 * 3600 * S;
    let (_, began) = again(&mut bench, ahead);
    assert_eq!(began, bench.now);
}

/// Clients may state an hour and leave at once: what is kept for them must not stay for that hour.
#[test]
fn requests_that_are_over_leave_no_timers_however_long_their_clients_would_have_waited() {
    let mut bench = Bench::new();
    let before = bench.core.timer_count();
    for id in 1..=500 {
        let ask = AcceptedRequest { deadline_at: Some(bench.now + 3600 * S), ..question() };
        let asked = bench.input(Input::RequestArrived { id: RequestId(id), request: ask });
        if id % 2 == 0 {
            bench.input(Input::ClientDisconnected(RequestId(id)));
        } else if let Some((engine, key)) = sent(&asked) {
            bench.frame(
                engine,
                EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 500, report: None },
            );
            bench.input(Input::ClientDisconnected(RequestId(id)));
        } else {
            bench.pass(100 * MS);
            bench.input(Input::ClientDisconnected(RequestId(id)));
        }
    }
    bench.pass(30 * S);
    let left = bench.core.timer_count().saturating_sub(before);
    assert!(left < 10, "{left} timers for 500 requests that are over");
}

/// One connection carries all to an engine, and a release would take a state from a write that waits for it there: it goes
/// out only beside a write whose engine has answered nothing that was sent after it.
#[test]
fn a_state_is_let_go_of_beside_a_write_unless_its_engine_is_known_to_run() {
    for answers_probes in [false, true] {
        let mut bench = Bench::new();
        bench.read(1);
        let (mut released, mut seen) = (0, 0);
        for _ in 0..60 {
            bench.pass(10 * MS);
            let new = bench.seen[seen..].to_vec();
            seen = bench.seen.len();
            for output in new {
                match output {
                    Output::Engine { frame: EngineFrame::Release { request: 1 }, .. } => released += 1,
                    Output::Engine { engine, frame: EngineFrame::Probe { nonce } } if answers_probes => {
                        bench.frame(engine, EngineFrame::Probed { nonce, report: None });
                    }
                    _ => {}
                }
            }
        }
        assert_eq!(released > 0, !answers_probes, "answers probes: {answers_probes}");
    }
}
