//! Texts about a router's core that operators and scripts read: they must not change when names in the code
//! do. The files in `pinned/` were written by the build of commit bdb4937.

use gaparch_config::{server_id, Config, EXAMPLE};
use gaparch_ops::OrderRegistry;
use gaparch_protocol::engine::{EngineFacts, EngineFrame, RouterRun};
use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_protocol::ops::intent::{Change, DrainMode};
use gaparch_protocol::ops::Order;
use gaparch_router::core::{AcceptedRequest, ConnectionNumber, Core, Input, ListUpdate, Output};
use gaparch_scheduler::api::{AttemptStatus, ClassId, Nanos, RequestId, Role, ServerId, ServerState};
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;

struct TestRouter {
    core: Core,
    now: Nanos,
    connections: BTreeMap<ServerId, ConnectionNumber>,
    /// How requests ended, one line of JSON each.
    outcomes: String,
}

impl TestRouter {
    /// A router with the example settings and a class of each idempotency, connected to all its engines.
    fn new() -> TestRouter {
        let class = "<class id=\"purchase\" effect=\"unsafe\" aim=\"1s\" deadline=\"5s\" token-aim=\"50ms\" worth=\"1\" \
                     late-worth=\"0.1\" stream-limit=\"2m\" silence-limit=\"5s\"/></classes>";
        let config = Config::parse(&EXAMPLE.replace("</classes>", class)).expect("valid settings");
        let engines = config.engines.clone();
        let mut out = Vec::new();
        let core = Core::new(config, OrderRegistry::default(), RouterRun(42), 1000 * SECOND, &mut out);
        let connections = BTreeMap::new();
        let mut router = TestRouter { core, now: 1000 * SECOND, connections, outcomes: String::new() };
        router.record(&out);
        for engine in engines {
            let role = if engine.kind == "reader" { Role::Prefill } else { Role::Decode };
            let facts = EngineFacts {
                name: engine.name.clone(),
                role,
                kv_capacity_tokens: 1e5,
                zone: engine.zone.clone(),
                rack: engine.rack.clone(),
                started_at: SECOND,
            };
            let engine = server_id(&engine.name);
            let conn = router.connections[&engine];
            router.input(Input::EngineConnected { engine, conn, facts });
        }
        router
    }

    fn record(&mut self, out: &[Output]) {
        for output in out {
            match output {
                Output::Connect { engine, conn, .. } => drop(self.connections.insert(*engine, *conn)),
                Output::RequestEnded(outcome) => {
                    self.outcomes += &serde_json::to_string(outcome).expect("JSON");
                    self.outcomes.push('\n');
                }
                _ => {}
            }
        }
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.core.handle(self.now, input, &mut out);
        self.record(&out);
        out
    }

    /// Advances the time and returns the outputs of the timers that were due.
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

    fn send_request(&mut self, id: u64, class: usize) {
        let request = AcceptedRequest { class: ClassId(class), ..request() };
        let out = self.input(Input::RequestArrived { id: RequestId(id), request });
        self.answer_as_engines(out);
        let out = self.advance(SECOND / 10);
        self.answer_as_engines(out);
    }

    /// Plays the engines: prefills of requests 3 and up fail, the decode of request 1 completes, and that of
    /// request 2 streams on.
    fn answer_as_engines(&mut self, out: Vec<Output>) {
        for output in out {
            let Output::Engine { engine, frame } = output else { continue };
            match frame {
                EngineFrame::Prefill(job) if job.key.request >= 3 => {
                    let failed = EngineFrame::Outcome {
                        key: job.key,
                        status: AttemptStatus::Error,
                        note: 0,
                        produced_tokens: 0,
                        report: None,
                    };
                    self.receive_frame(engine, failed);
                }
                EngineFrame::Prefill(job) => {
                    let done = EngineFrame::PrefillDone {
                        key: job.key,
                        cached_prompt_tokens: 100,
                        prompt_tokens: 500,
                        report: None,
                    };
                    self.receive_frame(engine, done);
                }
                EngineFrame::Decode { job, .. } => {
                    let key = job.key;
                    self.receive_frame(
                        engine,
                        EngineFrame::Tokens { key, sent_before: 0, count: 1, text: "a".to_owned() },
                    );
                    if key.request == 1 {
                        let status = AttemptStatus::Ok;
                        self.receive_frame(
                            engine,
                            EngineFrame::Outcome { key, status, note: 0, produced_tokens: 1, report: None },
                        );
                    }
                }
                EngineFrame::Probe { nonce } => {
                    self.receive_frame(engine, EngineFrame::Probed { nonce, report: None });
                }
                _ => {}
            }
        }
    }

    fn receive_frame(&mut self, engine: ServerId, frame: EngineFrame) {
        let conn = self.connections[&engine];
        let out = self.input(Input::EngineFrame { engine, conn, frame });
        self.answer_as_engines(out);
    }

    /// The effect of an order, or why it is denied.
    fn order(&mut self, change: Change, force: bool) -> String {
        let order = Order { change, reason: "a test".to_owned(), force, revision: None };
        match self.core.propose(self.now, &order, "office") {
            Ok(proposal) => {
                let effect = proposal.effect.clone();
                self.input(Input::OperatorChange(proposal.accepted));
                format!("{effect}\n")
            }
            Err(denied) => format!("denied: {denied}\n"),
        }
    }
}

fn request() -> AcceptedRequest {
    AcceptedRequest {
        class: ClassId(0),
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

fn lines<T: serde::Serialize>(items: &[T]) -> String {
    items.iter().map(|item| serde_json::to_string(item).expect("JSON") + "\n").collect()
}

#[test]
fn the_settings_listing_matches_the_pinned_file() {
    assert_eq!(lines(&TestRouter::new().core.settings_listing()), include_str!("pinned/settings.jsonl"));
}

#[test]
fn the_limits_match_the_pinned_file() {
    assert_eq!(lines(&TestRouter::new().core.limits()), include_str!("pinned/limits.jsonl"));
}

#[test]
fn views_of_engines_and_requests_and_outcomes_match_the_pinned_file() {
    let mut router = TestRouter::new();
    for id in 1..=4 {
        router.send_request(id, 0);
    }
    router.send_request(5, 1);
    router.send_request(6, 2);
    router.input(Input::ClientDisconnected(RequestId(6)));
    let engine = server_id("write-1");
    let conn = router.connections[&engine];
    router.input(Input::EngineDisconnected { engine, conn });
    router.send_request(7, 0);
    let change = ListEntry {
        engine: "read-2".to_owned(),
        address: "127.0.0.1:7102".to_owned(),
        kind: "reader".to_owned(),
        zone: "south".to_owned(),
        rack: "s1".to_owned(),
        state: ServerState::Draining,
        weight: None,
        started_at: None,
    };
    router.input(Input::ListUpdated(ListUpdate {
        scope: Scope::Full,
        version: 1,
        base_version: 0,
        entries: vec![change],
    }));
    let mut actual = lines(&router.core.engine_views());
    actual += &lines(&[router.core.metrics()]);
    actual += &lines(&router.core.open_request_views(10));
    router.advance(10 * SECOND);
    router.input(Input::StopNow);
    actual += &router.outcomes;
    let reasons = router.core.reasons_by_kind();
    let counts = [&reasons.rejected, &reasons.failed, &reasons.attempts, &reasons.retries];
    actual += &counts.map(|count| format!("{count}\n")).concat();
    actual += &lines(&[router.core.metrics()]);
    assert_eq!(actual, include_str!("pinned/views.jsonl"));
}

#[test]
fn the_effects_of_orders_match_the_pinned_file() {
    let mut router = TestRouter::new();
    let drain = |engine: &str, mode| Change::Drain { engine: engine.to_owned(), mode };
    let limit = |value| Change::SetLimit { name: "open-requests".to_owned(), value };
    let orders = [
        (drain("read-1", DrainMode::Drain), false),
        (drain("read-2", DrainMode::Detach), false),
        (drain("read-2", DrainMode::Detach), true),
        (drain("read-3", DrainMode::Detach), false),
        (Change::Undrain { engine: "read-1".to_owned() }, false),
        (Change::Undrain { engine: "read-1".to_owned() }, false),
        (Change::Pause {}, false),
        (Change::Resume {}, false),
        (Change::Resume {}, false),
        (limit(Some(5.0)), false),
        (limit(Some(1e9)), false),
        (limit(None), false),
        (Change::Stop {}, false),
    ];
    let effects: String = orders.into_iter().map(|(change, force)| router.order(change, force)).collect();
    assert_eq!(effects, include_str!("pinned/effects.txt"));
}
