//! The engine model, alone: what it does with frames and time.

use gaparch_engine::model::FetchId;
use gaparch_engine::observe::Note;
use gaparch_engine::{ConnId, EngineSpec, Fault, Input, Model, Output};
use gaparch_protocol::engine::{
    AttemptKey, EngineFrame, Job, KvCacheKey, KvCacheLocation, KvCacheUnavailable, Peer, RouterRun, VERSION,
};
use gaparch_scheduler::api::{AttemptStatus, Nanos, Role};
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const ROUTER: ConnId = ConnId(1);
const RUN: RouterRun = RouterRun(9);

struct Bench {
    model: Model,
    now: Nanos,
}

impl Bench {
    fn new(spec: EngineSpec) -> Bench {
        let mut bench = Bench { model: Model::warm(spec, 100 * S, 1), now: 100 * S };
        bench.frame(hello(Peer::Router { run: RUN, name: "r".to_owned() }));
        bench
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.model.handle(self.now, input, &mut out);
        out
    }

    fn frame(&mut self, frame: EngineFrame) -> Vec<Output> {
        self.input(Input::Frame { conn: ROUTER, frame })
    }

    /// Lets time pass; what came out, with its time.
    fn pass(&mut self, span: Nanos) -> Vec<(Nanos, Output)> {
        let until = self.now + span;
        let mut all = Vec::new();
        while let Some(at) = self.model.next_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            let out = self.input(Input::Time);
            all.extend(out.into_iter().map(|o| (self.now, o)));
        }
        self.now = until;
        all
    }
}

fn hello(peer: Peer) -> EngineFrame {
    EngineFrame::Hello { version: VERSION, peer }
}

fn job(request: u64, prompt_len: u32, max_out: u32) -> Job {
    Job {
        key: AttemptKey { request, attempt: 0 },
        class: 0,
        tenant: Some(3),
        session: Some(request),
        prefix: None,
        prompt_tokens: prompt_len,
        prefix_tokens: 0,
        max_output_tokens: max_out,
        timeout_ms: 5000,
        prompt: format!("[[answer {max_out}]]"),
    }
}

fn at_reader() -> KvCacheLocation {
    KvCacheLocation { engine: "reader".to_owned(), address: "127.0.0.1:1".to_owned() }
}

fn write(job: Job) -> EngineFrame {
    EngineFrame::Decode { job, kv_cache: Some(at_reader()) }
}

fn outcomes(out: &[Output]) -> Vec<(u64, AttemptStatus, u64)> {
    let outcome = |o: &Output| match o {
        Output::Send { frame: EngineFrame::Outcome { key, status, note, .. }, .. } => {
            Some((key.request, *status, *note))
        }
        _ => None,
    };
    out.iter().filter_map(outcome).collect()
}

fn plain(out: Vec<(Nanos, Output)>) -> Vec<Output> {
    out.into_iter().map(|(_, o)| o).collect()
}

fn fetches(out: &[Output]) -> Vec<FetchId> {
    let fetch = |o: &Output| match o {
        Output::Fetch { fetch, .. } => Some(*fetch),
        _ => None,
    };
    out.iter().filter_map(fetch).collect()
}

fn tokens(out: &[Output]) -> u32 {
    let count = |o: &Output| match o {
        Output::Send { frame: EngineFrame::Tokens { count, .. }, .. } => u32::from(*count),
        _ => 0,
    };
    out.iter().map(count).sum()
}

#[test]
fn a_read_takes_its_time_and_a_kept_session_less() {
    let mut bench = Bench::new(EngineSpec::reader("e", "z", "r"));
    let mut read = |request: u64| {
        let began = bench.now;
        let mut again = job(request, 10_000, 10);
        again.session = Some(5);
        bench.frame(EngineFrame::Prefill(again));
        let out = bench.pass(2 * S);
        let done = out.iter().find_map(|(at, o)| match o {
            Output::Send { frame: EngineFrame::PrefillDone { cached_prompt_tokens: kept, .. }, .. } => {
                Some((*at - began, *kept))
            }
            _ => None,
        });
        done.expect("read")
    };
    let (first, none) = read(1);
    let (second, kept) = read(2);
    assert_eq!((none, kept), (0, 9_999));
    assert!((450 * MS..600 * MS).contains(&first), "{first}");
    assert!(second < 20 * MS, "{second}");
    assert_eq!(bench.model.pinned(), 2);
    bench.frame(EngineFrame::Release { request: 1 });
    bench.frame(EngineFrame::Release { request: 2 });
    assert_eq!((bench.model.pinned(), bench.model.held()), (0, 0));
}

#[test]
fn a_write_fetches_its_state_streams_and_frees_its_memory() {
    let mut bench = Bench::new(EngineSpec::writer("w", "z", "r"));
    let out = bench.frame(write(job(1, 1000, 20)));
    let fetch = fetches(&out)[0];
    assert_eq!(tokens(&plain(bench.pass(S))), 0, "nothing before the state is there");
    bench.input(Input::Fetched { fetch, tokens: Some(1000) });
    let out = plain(bench.pass(S));
    assert_eq!(tokens(&out), 20);
    assert_eq!(outcomes(&out), vec![(1, AttemptStatus::Ok, 0)]);
    assert_eq!(bench.model.held(), 0);
}

#[test]
fn a_write_without_a_state_to_fetch_is_full_with_note_one() {
    let mut bench = Bench::new(EngineSpec::writer("w", "z", "r"));
    let out = bench.frame(EngineFrame::Decode { job: job(1, 1000, 20), kv_cache: None });
    assert_eq!(outcomes(&out), vec![(1, AttemptStatus::Rejected, 1)]);
    let fetch = fetches(&bench.frame(write(job(2, 1000, 20))))[0];
    let out = bench.input(Input::Fetched { fetch, tokens: None });
    assert_eq!(outcomes(&out), vec![(2, AttemptStatus::Rejected, 1)]);
    assert_eq!(bench.model.held(), 0);
}

#[test]
fn slots_and_queue_are_bounded_and_the_rest_is_full() {
    let spec = EngineSpec { slots: 2, queue: 3, ..EngineSpec::writer("w", "z", "r") };
    let mut bench = Bench::new(spec);
    let out: Vec<Output> = (0..9).flat_map(|i| bench.frame(write(job(i, 100, 500)))).collect();
    let full: Vec<u64> = outcomes(&out).iter().map(|o| o.0).collect();
    assert_eq!(full, vec![5, 6, 7, 8]);
    assert!(outcomes(&out).iter().all(|o| (o.1, o.2) == (AttemptStatus::Rejected, 0)));
}

#[test]
fn what_waits_longer_than_its_patience_times_out_at_the_engine() {
    let spec = EngineSpec { slots: 1, ..EngineSpec::writer("w", "z", "r") };
    let mut bench = Bench::new(spec);
    let fetch = fetches(&bench.frame(write(job(1, 100, 2000))))[0];
    bench.input(Input::Fetched { fetch, tokens: Some(100) });
    bench.frame(write(job(2, 100, 500)));
    let out = plain(bench.pass(30 * S));
    assert!(outcomes(&out).contains(&(2, AttemptStatus::Timeout, 0)));
}

#[test]
fn when_memory_runs_out_the_newest_answer_is_read_anew_and_still_ends_whole() {
    let spec = EngineSpec { memory: 2_100, ..EngineSpec::writer("w", "z", "r") };
    let mut bench = Bench::new(spec);
    for request in [1, 2] {
        let fetch = fetches(&bench.frame(write(job(request, 1000, 300))))[0];
        bench.input(Input::Fetched { fetch, tokens: Some(1000) });
    }
    let out = plain(bench.pass(60 * S));
    assert_eq!(tokens(&out), 600);
    let ended: Vec<u64> = outcomes(&out).iter().map(|o| o.0).collect();
    assert_eq!(ended, vec![1, 2]);
    assert_eq!(bench.model.held(), 0);
}

#[test]
fn an_engine_pushed_while_cold_falls_over_and_a_gentle_share_does_not() {
    let spec = EngineSpec::reader("e", "z", "r");
    let fell = |gap: Nanos| {
        let mut model = Model::new(spec.clone(), 100 * S, 1);
        let mut out = Vec::new();
        let peer = Peer::Router { run: RUN, name: "r".to_owned() };
        model.handle(100 * S, Input::Frame { conn: ROUTER, frame: hello(peer) }, &mut out);
        for i in 0..400 {
            let frame = EngineFrame::Prefill(job(i, 2000, 10));
            model.handle(100 * S + i * gap, Input::Frame { conn: ROUTER, frame }, &mut out);
        }
        assert_eq!(out.contains(&Output::Note(Note::Fell)), !model.alive());
        !model.alive()
    };
    assert!(fell(20 * MS), "5 times what it can do");
    assert!(!fell(400 * MS), "a quarter of what it can do");
}

#[test]
fn faults_act_until_they_are_set_back() {
    let mut bench = Bench::new(EngineSpec::reader("e", "z", "r"));
    bench.input(Input::Fault(Fault::Errors(0.5)));
    let out: Vec<Output> = (0..4).flat_map(|i| bench.frame(EngineFrame::Prefill(job(i, 100, 10)))).collect();
    assert_eq!(outcomes(&out).iter().filter(|o| o.1 == AttemptStatus::Error).count(), 2);
    bench.input(Input::Fault(Fault::Errors(0.0)));
    bench.input(Input::Fault(Fault::FullToTenant(Some(3))));
    assert_eq!(
        outcomes(&bench.frame(EngineFrame::Prefill(job(7, 100, 10)))),
        vec![(7, AttemptStatus::Rejected, 0)]
    );
    bench.input(Input::Fault(Fault::FullToTenant(None)));
    bench.input(Input::Fault(Fault::SilentToClass(Some(0))));
    bench.frame(EngineFrame::Prefill(job(8, 100, 10)));
    bench.input(Input::Fault(Fault::SilentToClass(None)));
    bench.input(Input::Fault(Fault::Pause(true)));
    bench.frame(EngineFrame::Prefill(job(9, 100, 10)));
    assert_eq!(bench.pass(5 * S), vec![]);
    bench.input(Input::Fault(Fault::Pause(false)));
    let done = |o: &Output| match o {
        Output::Send { frame: EngineFrame::PrefillDone { key, .. }, .. } => Some(key.request),
        _ => None,
    };
    let read: Vec<u64> = plain(bench.pass(5 * S)).iter().filter_map(done).collect();
    assert!(read.contains(&9) && !read.contains(&8), "{read:?}");
    bench.input(Input::Fault(Fault::Drain(S)));
    assert_eq!(
        outcomes(&bench.frame(EngineFrame::Prefill(job(10, 100, 10)))),
        vec![(10, AttemptStatus::Rejected, 0)]
    );
    let out = plain(bench.pass(2 * S));
    assert!(out.contains(&Output::Die) && !bench.model.alive());
}

#[test]
fn a_place_held_ahead_takes_the_state_and_a_release_gives_it_back() {
    let mut bench = Bench::new(EngineSpec::writer("w", "z", "r"));
    let out = bench.frame(EngineFrame::Reserve { job: job(1, 1000, 5), from: at_reader() });
    assert!(out
        .iter()
        .any(|o| matches!(o, Output::Send { frame: EngineFrame::Reserved { reserved: true, .. }, .. })));
    let fetch = fetches(&out)[0];
    bench.input(Input::Fetched { fetch, tokens: Some(1000) });
    assert_eq!((bench.model.pinned(), bench.model.held()), (1, 1000));
    assert!(fetches(&bench.frame(write(job(1, 1000, 5)))).is_empty(), "it is here already");
    assert_eq!(tokens(&plain(bench.pass(S))), 5);
    bench.frame(EngineFrame::Reserve { job: job(2, 1000, 5), from: at_reader() });
    bench.frame(EngineFrame::Release { request: 2 });
    assert_eq!((bench.model.pinned(), bench.model.held()), (0, 0));
}

#[test]
fn another_engine_gets_a_state_once_even_if_it_asks_while_it_is_read() {
    let mut bench = Bench::new(EngineSpec::reader("e", "z", "r"));
    let writer = ConnId(2);
    let facts = EngineSpec::writer("w", "z", "r").facts(1);
    bench.input(Input::Frame { conn: writer, frame: hello(Peer::Engine(facts)) });
    bench.frame(EngineFrame::Prefill(job(1, 3000, 10)));
    let state = KvCacheKey { router: RUN, request: 1 };
    let fetch = Input::Frame { conn: writer, frame: EngineFrame::Fetch { kv_cache: state } };
    bench.input(fetch.clone());
    let out = plain(bench.pass(2 * S));
    let given = |o: &Output| matches!(o, Output::Send { conn, frame: EngineFrame::KvCache { tokens: 3000, .. } } if *conn == writer);
    assert_eq!(out.iter().filter(|o| given(o)).count(), 1);
    let absent = EngineFrame::KvCacheUnavailable { kv_cache: state, reason: KvCacheUnavailable::Unknown };
    assert_eq!(bench.input(fetch), vec![Output::Send { conn: writer, frame: absent }]);
    assert_eq!(bench.model.held(), 0);
}

#[test]
fn a_router_that_closes_leaves_nothing_behind() {
    let mut bench = Bench::new(EngineSpec::mixed("m", "z", "r"));
    assert_eq!(bench.model.spec().role, Role::Mixed);
    for request in 0..5 {
        bench.frame(EngineFrame::Decode { job: job(request, 1000, 500), kv_cache: None });
        bench.frame(EngineFrame::Prefill(job(10 + request, 1000, 500)));
    }
    bench.pass(3 * S);
    bench.input(Input::Closed { conn: ROUTER });
    assert_eq!((bench.model.pinned(), bench.model.held()), (0, 0));
    assert_eq!(bench.pass(10 * S), vec![]);
}

fn any_frame() -> impl Strategy<Value = EngineFrame> {
    let key = || (0u64..6, 0u32..2).prop_map(|(request, attempt)| AttemptKey { request, attempt });
    let jobs = || {
        (key(), any::<u32>(), any::<u32>(), 0u32..9000).prop_map(|(key, len, max_out, patience_ms)| Job {
            key,
            prompt_tokens: len % 50_000,
            max_output_tokens: max_out % 400,
            timeout_ms: patience_ms,
            ..job(0, 0, 0)
        })
    };
    prop_oneof![
        jobs().prop_map(EngineFrame::Prefill),
        (jobs(), any::<bool>())
            .prop_map(|(job, some)| EngineFrame::Decode { job, kv_cache: some.then(at_reader) }),
        key().prop_map(EngineFrame::Cancel),
        jobs().prop_map(|job| EngineFrame::Reserve { job, from: at_reader() }),
        (0u64..6).prop_map(|request| EngineFrame::Release { request }),
        any::<u64>().prop_map(|nonce| EngineFrame::Probe { nonce }),
        (0u64..6).prop_map(|request| EngineFrame::Fetch { kv_cache: KvCacheKey { router: RUN, request } }),
        Just(hello(Peer::Router { run: RUN, name: "again".to_owned() })),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes, memory is never lost or freed twice: once all routers are gone nothing is held.
    #[test]
    fn any_frames_leave_the_books_straight(
        frames in proptest::collection::vec((any_frame(), 0u64..400, proptest::option::of(0u32..3000)), 1..60),
        role in 0..3,
    ) {
        let spec = match role {
            0 => EngineSpec::reader("e", "z", "r"),
            1 => EngineSpec::writer("e", "z", "r"),
            _ => EngineSpec { memory: 30_000, slots: 3, ..EngineSpec::mixed("e", "z", "r") },
        };
        let mut bench = Bench::new(spec);
        for (frame, ms, fetched) in frames {
            let out = bench.frame(frame);
            for fetch in fetches(&out) {
                bench.input(Input::Fetched { fetch, tokens: fetched });
            }
            for (_, output) in bench.pass(ms * MS) {
                if let Output::Fetch { fetch, .. } = output {
                    bench.input(Input::Fetched { fetch, tokens: fetched });
                }
            }
        }
        bench.input(Input::Closed { conn: ROUTER });
        prop_assert_eq!((bench.model.pinned(), bench.model.held()), (0, 0));
    }
}
