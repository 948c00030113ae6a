//! What operators and scripts read of a router's core, as text: it must not change when names in the code do. The constants
//! in `pinned/` were written by the build of commit bdb4937.

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

struct Router {
    core: Core,
    now: Nanos,
    connections: BTreeMap<ServerId, ConnectionNumber>,
    /// How requests ended, a line of JSON each.
    endings: String,
}

impl Router {
    /// A router of the example's settings, with a class of each kind of effect, whose engines are connected.
    fn new() -> Router {
        let class = "<class id=\"purchase\" effect=\"unsafe\" aim=\"1s\" deadline=\"5s\" token-aim=\"50ms\" worth=\"1\" \
                     late-worth=\"0.1\" stream-limit=\"2m\" silence-limit=\"5s\"/></classes>";
        let config = Config::parse(&EXAMPLE.replace("</classes>", class)).expect("sound settings");
        let engines = config.engines.clone();
        let mut out = Vec::new();
        let core = Core::new(config, OrderRegistry::default(), RouterRun(42), 1000 * SECOND, &mut out);
        let connections = BTreeMap::new();
        let mut router = Router { core, now: 1000 * SECOND, connections, endings: String::new() };
        router.take(&out);
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

    fn take(&mut self, out: &[Output]) {
        for output in out {
            match output {
                Output::Connect { engine, conn, .. } => drop(self.connections.insert(*engine, *conn)),
                Output::RequestEnded(ending) => {
                    self.endings += &serde_json::to_string(ending).expect("JSON");
                    self.endings.push('\n');
                }
                _ => {}
            }
        }
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.core.handle(self.now, input, &mut out);
        self.take(&out);
        out
    }

    /// Lets time pass; what was sent meanwhile.
    fn pass(&mut self, span: Nanos) -> Vec<Output> {
        let until = self.now + span;
        let mut out = Vec::new();
        while let Some(at) = self.core.next_timer_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.core.on_timers_due(self.now, &mut out);
        }
        self.now = until;
        self.take(&out);
        out
    }

    fn ask(&mut self, id: u64, class: usize) {
        let ask = AcceptedRequest { class: ClassId(class), ..question() };
        let out = self.input(Input::RequestArrived { id: RequestId(id), request: ask });
        self.serve(out);
        let out = self.pass(SECOND / 10);
        self.serve(out);
    }

    /// Engines do what is asked of them: reads of requests 3 and up fail, writes of request 2 stream on.
    fn serve(&mut self, out: Vec<Output>) {
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
                    self.frame(engine, failed);
                }
                EngineFrame::Prefill(job) => {
                    let done = EngineFrame::PrefillDone {
                        key: job.key,
                        cached_prompt_tokens: 100,
                        prompt_tokens: 500,
                        report: None,
                    };
                    self.frame(engine, done);
                }
                EngineFrame::Decode { job, .. } => {
                    let key = job.key;
                    self.frame(
                        engine,
                        EngineFrame::Tokens { key, sent_before: 0, count: 1, text: "a".to_owned() },
                    );
                    if key.request == 1 {
                        let status = AttemptStatus::Ok;
                        self.frame(
                            engine,
                            EngineFrame::Outcome { key, status, note: 0, produced_tokens: 1, report: None },
                        );
                    }
                }
                EngineFrame::Probe { nonce } => {
                    self.frame(engine, EngineFrame::Probed { nonce, report: None });
                }
                _ => {}
            }
        }
    }

    fn frame(&mut self, engine: ServerId, frame: EngineFrame) {
        let conn = self.connections[&engine];
        let out = self.input(Input::EngineFrame { engine, conn, frame });
        self.serve(out);
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

fn question() -> AcceptedRequest {
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
fn the_settings_in_force_are_listed_by_the_pinned_words() {
    assert_eq!(lines(&Router::new().core.settings_listing()), include_str!("pinned/settings.jsonl"));
}

#[test]
fn the_limits_are_listed_by_the_pinned_words() {
    assert_eq!(lines(&Router::new().core.limits()), include_str!("pinned/limits.jsonl"));
}

#[test]
fn engines_requests_and_endings_are_shown_by_the_pinned_words() {
    let mut router = Router::new();
    for id in 1..=4 {
        router.ask(id, 0);
    }
    router.ask(5, 1);
    router.ask(6, 2);
    router.input(Input::ClientDisconnected(RequestId(6)));
    let engine = server_id("write-1");
    let conn = router.connections[&engine];
    router.input(Input::EngineDisconnected { engine, conn });
    router.ask(7, 0);
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
    let mut seen = lines(&router.core.engine_views());
    seen += &lines(&[router.core.metrics()]);
    seen += &lines(&router.core.open_request_views(10));
    router.pass(10 * SECOND);
    router.input(Input::StopNow);
    seen += &router.endings;
    let reasons = router.core.reasons_by_kind();
    let counts = [&reasons.rejected, &reasons.failed, &reasons.attempts, &reasons.retries];
    seen += &counts.map(|count| format!("{count}\n")).concat();
    seen += &lines(&[router.core.metrics()]);
    assert_eq!(seen, include_str!("pinned/views.jsonl"));
}

#[test]
fn the_effects_of_orders_are_told_by_the_pinned_words() {
    let mut router = Router::new();
    let hold = |engine: &str, hold| Change::Drain { engine: engine.to_owned(), mode: hold };
    let limit = |value| Change::SetLimit { name: "open-requests".to_owned(), value };
    let orders = [
        (hold("read-1", DrainMode::Drain), false),
        (hold("read-2", DrainMode::Detach), false),
        (hold("read-2", DrainMode::Detach), true),
        (hold("read-3", DrainMode::Detach), false),
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
