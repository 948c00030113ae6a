//! The core where each attempt is an exchange of its own: engines count as reachable while listed, a release may reach
//! any of them, and nothing is left behind by a day of new requests and new engines.

use gaparch_config::{server_id, Config, Links, EXAMPLE};
use gaparch_ops::OrderRegistry;
use gaparch_protocol::engine::{AttemptKey, EngineFrame, RouterRun};
use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_router::core::{
    AcceptedRequest, ConnectionNumber, Core, Input, ListUpdate, Output, ResponseEvent,
};
use gaparch_scheduler::api::{AttemptStatus, Nanos, RequestId, ServerId, ServerState};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

struct Bench {
    core: Core,
    now: Nanos,
    out: Vec<Output>,
}

fn entry(name: &str, state: ServerState) -> ListEntry {
    let kind = if name.starts_with("r") { "reader" } else { "writer" };
    let (zone, rack) = ("north".to_owned(), "1".to_owned());
    let address = "127.0.0.1:9".to_owned();
    ListEntry {
        engine: name.to_owned(),
        address,
        kind: kind.to_owned(),
        zone,
        rack,
        state,
        weight: None,
        started_at: None,
    }
}

impl Bench {
    fn new() -> Bench {
        let mut config = Config::parse(EXAMPLE).expect("sound");
        (config.links, config.engines, config.list) = (Links::Exchanges, Vec::new(), None);
        config.module.can_probe = false;
        let mut out = Vec::new();
        let core = Core::new(config, OrderRegistry::default(), RouterRun(1), 1000 * S, &mut out);
        let mut bench = Bench { core, now: 1000 * S, out };
        let ready = |name: &str| entry(name, ServerState::Ready);
        let entries = vec![ready("r-1"), ready("r-2"), ready("w-1"), ready("w-2")];
        bench.input(Input::ListUpdated(ListUpdate {
            scope: Scope::Full,
            version: 5,
            base_version: 0,
            entries,
        }));
        bench
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.core.handle(self.now, input, &mut out);
        out
    }

    fn pass(&mut self, span: Nanos) -> Vec<Output> {
        let (until, mut out) = (self.now + span, Vec::new());
        while let Some(at) = self.core.next_timer_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.core.on_timers_due(self.now, &mut out);
        }
        self.now = until;
        out
    }

    fn frame(&mut self, engine: ServerId, frame: EngineFrame) -> Vec<Output> {
        self.input(Input::EngineFrame { engine, conn: ConnectionNumber::EXCHANGES, frame })
    }

    fn ask(&mut self, id: u64) -> (ServerId, AttemptKey) {
        let ask = AcceptedRequest {
            class: gaparch_scheduler::api::ClassId(0),
            tenant: None,
            session: Some(gaparch_scheduler::api::AffinityKey(id)),
            prefix: Some(gaparch_scheduler::api::AffinityKey(id)),
            prompt_tokens: 100,
            prefix_tokens: 50,
            max_output_tokens: 20,
            expected_output_tokens: None,
            client_retry: false,
            client_reconnect: false,
            deadline_at: Some(self.now + 5 * S),
            prompt: String::new(),
            fingerprint: 0,
        };
        let out = self.input(Input::RequestArrived { id: RequestId(id), request: ask });
        sent(&out).expect("a read")
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

fn releases(out: &[Output], id: u64) -> usize {
    let of = |o: &&Output| matches!(o, Output::Engine { frame: EngineFrame::Release { request }, .. } if *request == id);
    out.iter().filter(of).count()
}

/// A change of the list alone makes one engine usable and another one not.
#[test]
fn an_engine_that_a_change_names_is_asked_from_then_on() {
    let mut bench = Bench::new();
    let gone = |name: &str| entry(name, ServerState::Removed);
    let entries = vec![gone("r-1"), gone("r-2"), entry("r-3", ServerState::Ready)];
    bench.input(Input::ListUpdated(ListUpdate { scope: Scope::Delta, version: 6, base_version: 5, entries }));
    for id in 1..=20 {
        let (reader, key) = bench.ask(id);
        assert_eq!(reader, server_id("r-3"));
        let read = EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 0, report: None };
        assert!(sent(&bench.frame(reader, read)).is_some(), "its answer is heard");
    }
}

#[test]
fn ten_thousand_requests_and_a_thousand_engines_leave_nothing_behind() {
    let mut bench = Bench::new();
    assert!(!bench.out.iter().any(|o| matches!(o, Output::Connect { .. })), "there is nothing to connect");
    for id in 1..=10_000 {
        let (reader, key) = bench.ask(id);
        let read = EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 0, report: None };
        let (writer, key) = sent(&bench.frame(reader, read)).expect("a write");
        let begun = EngineFrame::Tokens { key, sent_before: 0, count: 0, text: String::new() };
        let out = bench.frame(writer, begun);
        let opened = |o: &Output| matches!(o, Output::Client { event: ResponseEvent::Started { .. }, .. });
        assert_eq!(out.iter().filter(|o| opened(o)).count(), 1);
        let ok = EngineFrame::Outcome {
            key,
            status: AttemptStatus::Ok,
            note: 0,
            produced_tokens: 0,
            report: None,
        };
        bench.frame(writer, ok);
        bench.pass(5 * MS);
        if id % 10 == 0 {
            let (new, old) = (format!("w-new-{id}"), format!("w-new-{}", id - 10));
            let entries = vec![entry(&new, ServerState::Ready), entry(&old, ServerState::Removed)];
            let update =
                ListUpdate { scope: Scope::Delta, version: 5 + id, base_version: bench_version(id), entries };
            assert_eq!(sent(&bench.input(Input::ListUpdated(update))), None);
        }
    }
    assert_eq!(bench.core.counters().served, 10_000);
    assert_eq!((bench.core.open_requests(), bench.core.listed_engines().count()), (0, 5));
    assert!((1..=10_000).all(|id| bench.core.phase(RequestId(id)).is_none()));
    // Every timer falls due in time: none waits for ever.
    bench.pass(20 * S);
    assert_eq!(bench.core.next_timer_at(), None);
}

/// The version before: lists jump by ten here, as the platform's may.
fn bench_version(id: u64) -> u64 {
    if id == 10 {
        5
    } else {
        5 + id - 10
    }
}

#[test]
fn what_a_broken_read_may_have_left_is_let_go_of_even_if_its_engine_is_gone() {
    for status in [AttemptStatus::Reset, AttemptStatus::Error, AttemptStatus::Unknown] {
        let mut bench = Bench::new();
        let (reader, key) = bench.ask(1);
        let gone: Vec<ListEntry> = ["r-1", "r-2"].map(|name| entry(name, ServerState::Removed)).to_vec();
        bench.input(Input::ListUpdated(ListUpdate {
            scope: Scope::Delta,
            version: 6,
            base_version: 5,
            entries: gone,
        }));
        let broken = EngineFrame::Outcome { key, status, note: 0, produced_tokens: 0, report: None };
        assert_eq!(releases(&bench.frame(reader, broken), 1), 1, "{status:?}");
    }
    // One that was never sent has left nothing.
    let mut bench = Bench::new();
    let (reader, key) = bench.ask(1);
    let status = AttemptStatus::ConnectFailed;
    let broken = EngineFrame::Outcome { key, status, note: 0, produced_tokens: 0, report: None };
    assert_eq!(releases(&bench.frame(reader, broken), 1), 0);
}

#[test]
fn a_failed_exchange_costs_its_own_attempt_only() {
    let mut bench = Bench::new();
    let (first, one) = bench.ask(1);
    // Another read at the same engine.
    let two =
        (2..100).find_map(|id| Some(bench.ask(id)).filter(|(server, _)| *server == first)).expect("one");
    let status = AttemptStatus::Reset;
    let broken = EngineFrame::Outcome { key: one, status, note: 0, produced_tokens: 0, report: None };
    let out = bench.frame(first, broken);
    assert!(!out.iter().any(|o| matches!(o, Output::Connect { .. } | Output::Disconnect { .. })));
    let read =
        EngineFrame::PrefillDone { key: two.1, cached_prompt_tokens: 0, prompt_tokens: 0, report: None };
    assert!(sent(&bench.frame(first, read)).is_some());
    assert_eq!(bench.core.counters().late_frames, 0);
}

#[test]
fn an_engine_that_was_never_known_leaves_nothing_when_it_goes_and_no_start_is_yet_to_come() {
    let mut bench = Bench::new();
    for n in 0..20_000u64 {
        let entries = vec![entry(&format!("w-{n}-x"), ServerState::Removed)];
        bench.input(Input::ListUpdated(ListUpdate {
            scope: Scope::Delta,
            version: 6 + n,
            base_version: 5 + n,
            entries,
        }));
    }
    // The list has room for 10,000: had they stayed, the next one would be dropped.
    let start = Some(bench.now + 10_000 * S);
    let entries = vec![ListEntry { started_at: start, ..entry("w-new", ServerState::Ready) }];
    let version = 20_006;
    bench.input(Input::ListUpdated(ListUpdate {
        scope: Scope::Delta,
        version,
        base_version: version - 1,
        entries,
    }));
    assert_eq!((bench.core.counters().ignored_entries, bench.core.counters().ignored_values), (0, 1));
    // It is there now, so it has begun by now; its clock is off, and it may well be new.
    assert_eq!(bench.core.endpoint_process(server_id("w-new")).map(|(_, began)| began), Some(bench.now));
}

/// A release goes out beside a write that is not answered, and the state stays booked: the write may have arrived.
#[test]
fn a_release_goes_out_beside_a_write_and_its_answer_is_still_taken() {
    let mut bench = Bench::new();
    let (reader, key) = bench.ask(1);
    let frame = EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 0, report: None };
    let out = bench.input(Input::EngineFrame { engine: reader, conn: ConnectionNumber::EXCHANGES, frame });
    let (writer, key) = sent(&out).expect("a write");
    assert_eq!(bench.core.held_kv_caches().count(), 1);
    let out = bench.pass(600 * MS);
    assert_eq!(releases(&out, 1), 1, "{out:?}");
    let frame = EngineFrame::Tokens { key, sent_before: 0, count: 0, text: String::new() };
    let out = bench.input(Input::EngineFrame { engine: writer, conn: ConnectionNumber::EXCHANGES, frame });
    assert!(
        out.iter().any(|o| matches!(o, Output::Client { event: ResponseEvent::Started { .. }, .. })),
        "{out:?}"
    );
    assert_eq!(bench.core.held_kv_caches().count(), 0);
    let ended =
        EngineFrame::Outcome { key, status: AttemptStatus::Ok, note: 0, produced_tokens: 0, report: None };
    bench.input(Input::EngineFrame { engine: writer, conn: ConnectionNumber::EXCHANGES, frame: ended });
    assert_eq!(bench.core.phase(RequestId(1)), None);
}
