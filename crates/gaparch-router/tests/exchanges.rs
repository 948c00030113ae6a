//! Tests of the core with single exchanges instead of connections: engines count as reachable while they are
//! listed, a release may go to any of them, and many requests and many new engines leave nothing behind.

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

struct TestRouter {
    core: Core,
    now: Nanos,
    /// What the core put out at its start.
    initial_outputs: Vec<Output>,
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

impl TestRouter {
    fn new() -> TestRouter {
        let mut config = Config::parse(EXAMPLE).expect("valid settings");
        (config.links, config.engines, config.list) = (Links::Exchanges, Vec::new(), None);
        config.scheduler.can_probe = false;
        let mut out = Vec::new();
        let core = Core::new(config, OrderRegistry::default(), RouterRun(1), 1000 * S, &mut out);
        let mut router = TestRouter { core, now: 1000 * S, initial_outputs: out };
        let ready = |name: &str| entry(name, ServerState::Ready);
        let entries = vec![ready("r-1"), ready("r-2"), ready("w-1"), ready("w-2")];
        router.input(Input::ListUpdated(ListUpdate {
            scope: Scope::Full,
            version: 5,
            base_version: 0,
            entries,
        }));
        router
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.core.handle(self.now, input, &mut out);
        out
    }

    fn advance(&mut self, duration: Nanos) -> Vec<Output> {
        let (until, mut out) = (self.now + duration, Vec::new());
        while let Some(at) = self.core.next_timer_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.core.on_timers_due(self.now, &mut out);
        }
        self.now = until;
        out
    }

    fn receive_frame(&mut self, engine: ServerId, frame: EngineFrame) -> Vec<Output> {
        self.input(Input::EngineFrame { engine, conn: ConnectionNumber::EXCHANGES, frame })
    }

    fn start_prefill(&mut self, id: u64) -> (ServerId, AttemptKey) {
        let request = AcceptedRequest {
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
        let out = self.input(Input::RequestArrived { id: RequestId(id), request });
        sent_attempt(&out).expect("a prefill was sent")
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

fn releases(out: &[Output], id: u64) -> usize {
    let is_release = |output: &&Output| match output {
        Output::Engine { frame: EngineFrame::Release { request }, .. } => *request == id,
        _ => false,
    };
    out.iter().filter(is_release).count()
}

/// A delta of the list alone, without connections, makes engines usable or unusable.
#[test]
fn a_delta_of_the_list_decides_which_engines_get_requests() {
    let mut router = TestRouter::new();
    let removed = |name: &str| entry(name, ServerState::Removed);
    let entries = vec![removed("r-1"), removed("r-2"), entry("r-3", ServerState::Ready)];
    router.input(Input::ListUpdated(ListUpdate {
        scope: Scope::Delta,
        version: 6,
        base_version: 5,
        entries,
    }));
    for id in 1..=20 {
        let (prefill_worker, key) = router.start_prefill(id);
        assert_eq!(prefill_worker, server_id("r-3"));
        let done = EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 0, report: None };
        assert!(
            sent_attempt(&router.receive_frame(prefill_worker, done)).is_some(),
            "its result is accepted"
        );
    }
}

#[test]
fn ten_thousand_requests_and_a_thousand_new_engines_leave_nothing_behind() {
    let mut router = TestRouter::new();
    assert!(
        !router.initial_outputs.iter().any(|o| matches!(o, Output::Connect { .. })),
        "no connections are requested"
    );
    for id in 1..=10_000 {
        let (prefill_worker, key) = router.start_prefill(id);
        let done = EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 0, report: None };
        let (decode_worker, key) =
            sent_attempt(&router.receive_frame(prefill_worker, done)).expect("a decode was sent");
        let first_tokens = EngineFrame::Tokens { key, sent_before: 0, count: 0, text: String::new() };
        let out = router.receive_frame(decode_worker, first_tokens);
        let is_start = |o: &Output| matches!(o, Output::Client { event: ResponseEvent::Started { .. }, .. });
        assert_eq!(out.iter().filter(|o| is_start(o)).count(), 1);
        let ok = EngineFrame::Outcome {
            key,
            status: AttemptStatus::Ok,
            note: 0,
            produced_tokens: 0,
            report: None,
        };
        router.receive_frame(decode_worker, ok);
        router.advance(5 * MS);
        if id % 10 == 0 {
            let (new, old) = (format!("w-new-{id}"), format!("w-new-{}", id - 10));
            let entries = vec![entry(&new, ServerState::Ready), entry(&old, ServerState::Removed)];
            let update = ListUpdate {
                scope: Scope::Delta,
                version: 5 + id,
                base_version: previous_version(id),
                entries,
            };
            assert_eq!(sent_attempt(&router.input(Input::ListUpdated(update))), None);
        }
    }
    assert_eq!(router.core.counters().served, 10_000);
    assert_eq!((router.core.open_requests(), router.core.listed_engines().count()), (0, 5));
    assert!((1..=10_000).all(|id| router.core.phase(RequestId(id)).is_none()));
    // All timers become due: none is left.
    router.advance(20 * S);
    assert_eq!(router.core.next_timer_at(), None);
}

/// The version before that of a request: versions advance by ten here, as those of the platform may skip
/// numbers.
fn previous_version(id: u64) -> u64 {
    if id == 10 {
        5
    } else {
        5 + id - 10
    }
}

#[test]
fn the_kv_cache_of_a_failed_prefill_is_released_even_if_its_engine_was_removed() {
    for status in [AttemptStatus::Reset, AttemptStatus::Error, AttemptStatus::Unknown] {
        let mut router = TestRouter::new();
        let (prefill_worker, key) = router.start_prefill(1);
        let removed: Vec<ListEntry> = ["r-1", "r-2"].map(|name| entry(name, ServerState::Removed)).to_vec();
        router.input(Input::ListUpdated(ListUpdate {
            scope: Scope::Delta,
            version: 6,
            base_version: 5,
            entries: removed,
        }));
        let failed = EngineFrame::Outcome { key, status, note: 0, produced_tokens: 0, report: None };
        assert_eq!(releases(&router.receive_frame(prefill_worker, failed), 1), 1, "{status:?}");
    }
    // A prefill that was never sent has left no KV cache.
    let mut router = TestRouter::new();
    let (prefill_worker, key) = router.start_prefill(1);
    let status = AttemptStatus::ConnectFailed;
    let failed = EngineFrame::Outcome { key, status, note: 0, produced_tokens: 0, report: None };
    assert_eq!(releases(&router.receive_frame(prefill_worker, failed), 1), 0);
}

#[test]
fn a_failed_exchange_affects_only_its_own_attempt() {
    let mut router = TestRouter::new();
    let (server, first_key) = router.start_prefill(1);
    // Another prefill at the same engine.
    let (_, second_key) = (2..100)
        .find_map(|id| Some(router.start_prefill(id)).filter(|(other, _)| *other == server))
        .expect("a second prefill");
    let status = AttemptStatus::Reset;
    let failed = EngineFrame::Outcome { key: first_key, status, note: 0, produced_tokens: 0, report: None };
    let out = router.receive_frame(server, failed);
    assert!(!out.iter().any(|o| matches!(o, Output::Connect { .. } | Output::Disconnect { .. })));
    let done =
        EngineFrame::PrefillDone { key: second_key, cached_prompt_tokens: 0, prompt_tokens: 0, report: None };
    assert!(sent_attempt(&router.receive_frame(server, done)).is_some());
    assert_eq!(router.core.counters().late_frames, 0);
}

/// More engines than the core's table of known endpoints has places (65,536).
const REMOVED_ENGINES: u64 = 70_000;

#[test]
fn removals_of_unknown_engines_leave_nothing_and_start_times_in_the_future_are_corrected() {
    let mut router = TestRouter::new();
    for n in 0..REMOVED_ENGINES {
        let entries = vec![entry(&format!("w-{n}-x"), ServerState::Removed)];
        router.input(Input::ListUpdated(ListUpdate {
            scope: Scope::Delta,
            version: 6 + n,
            base_version: 5 + n,
            entries,
        }));
    }
    // Had the removed engines stayed, they would fill the table of known endpoints, and the next one would be
    // ignored.
    let start = Some(router.now + 10_000 * S);
    let entries = vec![ListEntry { started_at: start, ..entry("w-new", ServerState::Ready) }];
    let version = 6 + REMOVED_ENGINES;
    router.input(Input::ListUpdated(ListUpdate {
        scope: Scope::Delta,
        version,
        base_version: version - 1,
        entries,
    }));
    assert_eq!((router.core.counters().ignored_entries, router.core.counters().ignored_values), (0, 1));
    // It is there now, so it has started by now; its clock is wrong, and it may well be new.
    assert_eq!(
        router.core.endpoint_process(server_id("w-new")).map(|(_, started_at)| started_at),
        Some(router.now)
    );
}

/// A release is sent beside an unanswered decode, and the KV cache stays recorded: the decode may have
/// arrived.
#[test]
fn a_release_is_sent_beside_a_decode_whose_response_is_still_accepted() {
    let mut router = TestRouter::new();
    let (prefill_worker, key) = router.start_prefill(1);
    let frame = EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 0, report: None };
    let out =
        router.input(Input::EngineFrame { engine: prefill_worker, conn: ConnectionNumber::EXCHANGES, frame });
    let (decode_worker, key) = sent_attempt(&out).expect("a decode was sent");
    assert_eq!(router.core.held_kv_caches().count(), 1);
    let out = router.advance(600 * MS);
    assert_eq!(releases(&out, 1), 1, "{out:?}");
    let frame = EngineFrame::Tokens { key, sent_before: 0, count: 0, text: String::new() };
    let out =
        router.input(Input::EngineFrame { engine: decode_worker, conn: ConnectionNumber::EXCHANGES, frame });
    assert!(
        out.iter().any(|o| matches!(o, Output::Client { event: ResponseEvent::Started { .. }, .. })),
        "{out:?}"
    );
    assert_eq!(router.core.held_kv_caches().count(), 0);
    let ended =
        EngineFrame::Outcome { key, status: AttemptStatus::Ok, note: 0, produced_tokens: 0, report: None };
    router.input(Input::EngineFrame {
        engine: decode_worker,
        conn: ConnectionNumber::EXCHANGES,
        frame: ended,
    });
    assert_eq!(router.core.phase(RequestId(1)), None);
}
