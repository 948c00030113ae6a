//! The hard cases over real sockets: stand-in engines, a list service, a router, clients, all on loopback. What is
//! said of the rules is the checker's word, from what went over the sockets.

use gaparch_engine::{EngineSpec, Fault};
use gaparch_protocol::engine::{AttemptKey, EngineFrame, Job, Peer, VERSION};
use gaparch_protocol::frame::encode;
use gaparch_scheduler::api::{AttemptStatus, LoadReport, ServerState};
use gaparch_testbed::checker::Effect;
use gaparch_testbed::load::{Answered, Patience, Question};
use gaparch_testbed::record::{Ask, End, Entry, Seen, What};
use gaparch_testbed::scripted::{Script, ScriptedEngine};
use gaparch_testbed::site::{entry, Plan, Site, SiteClass, CLASSES};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

async fn site(plan: Plan) -> Site {
    let site = Site::start(plan).await.expect("a site");
    site.settle().await;
    site
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn served(answers: &[Answered]) -> usize {
    answers.iter().filter(|a| matches!(a.end, Some(End::Served { .. }))).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_leaves_at_any_stage_gets_one_end_and_pins_nothing() {
    let mut site = site(Plan::small(1, 1)).await;
    // In the middle of its answer.
    let mid = Question { patience: Patience::LeavesAfter(3), ..site.question(100, 200) };
    let answers = site.ask_all(vec![mid, site.question(101, 5)], ms(10)).await;
    assert!(answers[0].left);
    assert_eq!(served(&answers[1..]), 1);
    // Held: the writer is full to its class. Reading: the reader stands still. Moving: states move slowly.
    let stages = [
        ("write-0", Fault::FullToClass(Some(0)), Fault::FullToClass(None)),
        ("read-0", Fault::Pause(true), Fault::Pause(false)),
        ("read-0", Fault::SlowMoves(800.0), Fault::SlowMoves(1.0)),
    ];
    for (number, (engine, on, off)) in stages.into_iter().enumerate() {
        site.fault(engine, on).await;
        let leaves = |n: u64| Question {
            patience: Patience::Leaves(ms(60 + 25 * n)),
            ..site.question(number as u64 * 10 + n, 20)
        };
        site.ask_all((0..8).map(leaves).collect(), ms(15)).await;
        sleep(ms(100)).await;
        site.fault(engine, off).await;
        sleep(ms(1200)).await;
    }
    let (verdict, counts) = site.judge(&[]).await;
    assert!(verdict.holds(), "{verdict}");
    assert_eq!((counts.overdue, counts.protocol_violations), (0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_writer_that_stalls_mid_answer_costs_its_streams_and_nothing_else() {
    let mut site = site(Plan::small(1, 2)).await;
    let questions = (0..6).map(|n| site.question(n, 150)).collect();
    let asking = site.ask_all(questions, ms(20));
    let stalling = async {
        sleep(ms(700)).await;
        site.fault("write-0", Fault::Pause(true)).await;
    };
    let (answers, ()) = tokio::join!(asking, stalling);
    let failed = answers.iter().filter(|a| a.end == Some(End::Failed)).count();
    assert!(failed > 0, "{answers:?}");
    assert_eq!(failed + served(&answers), 6, "each has one final answer");
    // It still stands still, and what comes now is written by the other.
    let answers = site.ask_all((10..16).map(|n| site.question(n, 10)).collect(), ms(50)).await;
    assert!(served(&answers) >= 4, "{answers:?}");
    site.fault("write-0", Fault::Pause(false)).await;
    let (verdict, counts) = site.judge(&[]).await;
    assert!(verdict.holds(), "{verdict}");
    assert_eq!(counts.protocol_violations, 0, "tokens that come late are no violation");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_that_dies_holding_states_and_comes_back_with_nothing() {
    let mut site = site(Plan::small(2, 2)).await;
    site.fault("read-0", Fault::SlowMoves(100.0)).await;
    site.fault("read-1", Fault::SlowMoves(100.0)).await;
    let questions = (0..20).map(|n| site.question(n, 10)).collect();
    let dying = async {
        sleep(ms(250)).await;
        site.fault("read-0", Fault::Crash).await;
        site.fault("read-1", Fault::SlowMoves(1.0)).await;
        sleep(ms(300)).await;
        site.fault("read-0", Fault::Start).await;
    };
    let (answers, ()) = tokio::join!(site.ask_all(questions, ms(25)), dying);
    let broken = answers.iter().filter(|a| a.end == Some(End::Broken)).count();
    assert_eq!(broken, 0, "{answers:?}");
    assert!(served(&answers) >= 10, "{}", served(&answers));
    let (verdict, _) = site.judge(&[]).await;
    assert!(verdict.holds(), "{verdict}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_is_kept_under_load_and_every_engine_gone_and_back_is_survived() {
    let mut site = site(Plan::small(2, 2)).await;
    let questions: Vec<Question> = (0..120).map(|n| site.question(n, 12)).collect();
    let draining = async {
        for round in 0..4 {
            sleep(ms(150)).await;
            let engine = ["write-0", "read-1"][round % 2];
            site.list.set_state(engine, ServerState::Draining);
            sleep(ms(200)).await;
            site.list.set_state(engine, ServerState::Ready);
        }
        for engine in ["read-0", "read-1", "write-0", "write-1"] {
            site.fault(engine, Fault::Crash).await;
        }
        sleep(ms(500)).await;
        for engine in ["read-0", "read-1", "write-0", "write-1"] {
            site.fault(engine, Fault::Start).await;
        }
    };
    let (answers, ()) = tokio::join!(site.ask_all(questions, ms(20)), draining);
    assert!(answers.iter().all(|a| a.end.is_some_and(|end| end != End::Broken)));
    let (verdict, counts) = site.judge(&[]).await;
    assert!(verdict.holds(), "{verdict}");
    assert_eq!(counts.overdue, 0);
    assert!(verdict.rules[2].checked > 50);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_inbox_refuses_at_once_and_harmlessly() {
    let limits = r#"<limits inbox="1" open-requests="3"/>"#;
    let mut site = site(Plan { limits, ..Plan::small(1, 1) }).await;
    site.fault("read-0", Fault::Pause(true)).await;
    let questions = (0..40).map(|n| site.question(n, 5)).collect();
    let opening = async {
        sleep(ms(1000)).await;
        site.fault("read-0", Fault::Pause(false)).await;
    };
    let (answers, ()) = tokio::join!(site.ask_all(questions, ms(2)), opening);
    let refused: Vec<&Answered> =
        answers.iter().filter(|a| a.end == Some(End::Refused { harmless: true })).collect();
    assert!(refused.len() >= 30, "{}", refused.len());
    assert!(refused.iter().all(|a| a.status == 503));
    let (verdict, counts) = site.judge(&[]).await;
    assert!(verdict.holds(), "{verdict}");
    assert!(counts.requests <= 10, "what is refused at the door is never accepted: {}", counts.requests);
}

#[tokio::test(flavor = "multi_thread")]
async fn half_requests_and_clients_that_read_nothing_stall_only_themselves() {
    let limits = r#"<limits connections="4000" head-time="2s" stream-buffer="4"/>"#;
    let mut site = site(Plan { limits, ..Plan::small(1, 2) }).await;
    let mut half = Vec::new();
    for _ in 0..2000 {
        let mut socket = TcpStream::connect(site.address(0)).await.expect("a connection");
        socket.write_all(b"POST /v1/messages HTTP/1.1\r\nhost: g\r\ncontent-le").await.expect("written");
        half.push(socket);
    }
    // Asks for a stream and never reads it.
    let question = site.question(900, 400);
    let body = gaparch_testbed::load::body(&question).to_string();
    let mut deaf = TcpStream::connect(site.address(0)).await.expect("a connection");
    let head = format!("POST /v1/messages HTTP/1.1\r\nhost: g\r\ncontent-length: {}\r\n\r\n", body.len());
    deaf.write_all(format!("{head}{body}").as_bytes()).await.expect("written");
    let answers = site.ask_all((0..10).map(|n| site.question(n, 20)).collect(), ms(20)).await;
    assert_eq!(served(&answers), 10);
    // The half requests are closed once their time is up: a read ends instead of waiting.
    sleep(ms(2500)).await;
    let mut bytes = Vec::new();
    let ended = tokio::time::timeout(ms(3000), half[0].read_to_end(&mut bytes)).await;
    assert!(ended.is_ok(), "still open");
    let (verdict, _) = site.judge(&[]).await;
    assert!(verdict.holds(), "{verdict}");
}

/// Guards against requests that are sent on for a client whose close stands behind bytes that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_not_sent_after_their_client_has_closed_behind_unread_requests() {
    /// The platform's limit for an attempt after its client's close.
    const SENT_WITHIN_NANOS: u64 = 100_000_000;
    let mut site = site(Plan::small(1, 1)).await;
    let request = |number| {
        let question = Question { stream: false, ..site.question(number, 30) };
        let body = gaparch_testbed::load::body(&question).to_string();
        format!("POST /v1/messages HTTP/1.1\r\nhost: g\r\ncontent-length: {}\r\n\r\n{body}", body.len())
    };
    let mut client = TcpStream::connect(site.address(0)).await.expect("a connection");
    let requests: String = (0..10).map(request).collect();
    client.write_all(requests.as_bytes()).await.expect("written");
    sleep(ms(100)).await;
    drop(client);
    let closed_at = site.clock.now();
    sleep(ms(1500)).await;
    let frames = site.record.entries();
    let sends = frames.iter().filter(|entry| {
        matches!(&entry.what, What::Frame { seen: Seen::Read { .. } | Seen::Write { .. }, .. })
    });
    let late = sends.clone().filter(|entry| entry.at > closed_at + SENT_WITHIN_NANOS).count();
    let is_cancel = |entry: &Entry| matches!(&entry.what, What::Frame { seen: Seen::Cancel { .. }, .. });
    assert!(sends.count() > 0 && late == 0, "{late} attempts were sent late");
    assert!(frames.iter().any(is_cancel), "the first request goes on");
    let (verdict, _) = site.judge(&[]).await;
    assert!(verdict.holds(), "{verdict}");
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_and_unsafe_requests_have_no_second_effect_when_connections_are_lost() {
    let class = |name, effect: &'static str| SiteClass { name, attributes: effect };
    let plan = Plan {
        classes: vec![
            class(
                "keyed",
                r#"default="true" effect="keyed" group="rack" window="2s" aim="1s" deadline="5s" silence-limit="3s""#,
            ),
            class("unsafe", r#"effect="unsafe" aim="1s" deadline="5s" silence-limit="3s""#),
        ],
        ..Plan::small(2, 4)
    };
    let mut site = site(plan).await;
    let question = |n: u64| Question {
        class: (n % 2) as usize,
        class_name: ["keyed", "unsafe"][(n % 2) as usize].to_owned(),
        deadline: 5_000_000_000,
        ..site.question(n, 15)
    };
    let losing = async {
        for round in 0..6 {
            sleep(ms(150)).await;
            let engine = ["write-0", "write-1", "write-2"][round % 3];
            site.fault(engine, Fault::Crash).await;
            sleep(ms(120)).await;
            site.fault(engine, Fault::Start).await;
        }
    };
    let (answers, ()) = tokio::join!(site.ask_all((0..150).map(question).collect(), ms(12)), losing);
    assert!(served(&answers) > 60, "{}", served(&answers));
    let (verdict, counts) =
        site.judge(&[Effect::KeyedInRack { window: 2_000_000_000 }, Effect::Unsafe]).await;
    assert!(verdict.holds(), "{verdict}");
    assert_eq!(counts.overdue, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_few_thousand_requests_in_the_published_dialect_end_once_each() {
    let mut site = site(Plan { dialect: "messages", ..Plan::small(4, 4) }).await;
    let question = |n: u64| Question {
        class: (n % 2) as usize,
        class_name: CLASSES[(n % 2) as usize].name.to_owned(),
        stream: !n.is_multiple_of(5),
        prompt_tokens: 150,
        ask: Ask(n),
        deadline: 7_000_000_000,
        ..site.question(n, 3)
    };
    let answers = site.ask_all((0..2000).map(question).collect(), ms(3)).await;
    assert!(served(&answers) >= 1900, "{}", served(&answers));
    assert!(answers.iter().all(|a| a.end.is_some_and(|end| end != End::Broken)));
    let (verdict, _) = site.judge(&[]).await;
    assert!(verdict.holds(), "{verdict}");
}

#[tokio::test(flavor = "multi_thread")]
async fn ten_times_what_the_engines_can_serve_is_refused_in_time_and_soon_over() {
    let slow = EngineSpec { slots: 4, queue: 4, ..EngineSpec::writer("write-0", "north", "n1") };
    let plan = Plan::small(1, 0);
    let mut site = site(Plan { engines: vec![plan.engines[0].clone(), slow], ..plan }).await;
    let normal = |from: u64| (from..from + 20).map(|n| site.question(n, 20)).collect::<Vec<_>>();
    let before = served(&site.ask_all(normal(0), ms(60)).await);
    assert!(before >= 18, "{before}");
    let began = Instant::now();
    let flood = site.ask_all((1000..2500).map(|n| site.question(n, 20)).collect(), ms(4)).await;
    let lasted = began.elapsed();
    assert!(flood.iter().all(|a| a.end.is_some_and(|end| end != End::Broken)));
    let lag = site.router(0).map(|r| r.lag()).expect("it runs");
    println!("flood of 1500 in {lasted:?}: {} served, owner late at most {:?}", served(&flood), lag.max);
    assert!(lag.late * 100 <= lag.rounds, "{lag:?}");
    // What the engine can do it still does: about a stream of 0.25 s in each of four slots.
    assert!(served(&flood) >= 25, "{}", served(&flood));
    sleep(ms(3000)).await;
    let after = served(&site.ask_all(normal(5000), ms(60)).await);
    assert!(after >= 17, "{after}");
    let (verdict, counts) = site.judge(&[]).await;
    assert!(verdict.holds(), "{verdict}");
    assert_eq!(counts.overdue, 0);
}

fn read_done(key: AttemptKey) -> EngineFrame {
    EngineFrame::PrefillDone { key, cached_prompt_tokens: 0, prompt_tokens: 400, report: None }
}

fn outcome(key: AttemptKey, status: AttemptStatus) -> EngineFrame {
    EngineFrame::Outcome { key, status, note: 0, produced_tokens: 0, report: None }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_breaks_the_protocol_costs_only_its_own_requests() {
    let twice: Script =
        |job: &Job| vec![read_done(job.key), read_done(job.key), outcome(job.key, AttemptStatus::Error)];
    let never_made: Script =
        |job: &Job| vec![outcome(AttemptKey { attempt: 77, ..job.key }, AttemptStatus::Ok)];
    let wrong_end: Script = |job: &Job| vec![outcome(job.key, AttemptStatus::Ok)];
    let silent: Script = |_: &Job| vec![];
    // The first says in no time that it has read and never has the state: beside it the honest reader looks slow
    // to the module, so that no answer is promised here; but each request has its one end.
    let cases: [(&str, &'static [u8], Script, bool, usize); 5] = [
        ("two ends for one attempt, and no state", b"", twice, false, 0),
        ("an attempt never made", b"", never_made, true, 20),
        ("an answer to a read", b"", wrong_end, true, 20),
        ("a frame of 4 GiB", &[0xff; 64], silent, false, 20),
        ("a malformed frame", &[0, 0, 0, 3, 18, 1, 2], silent, false, 20),
    ];
    for (name, after_hello, script, violates, least) in cases {
        let mut site = site(Plan::small(1, 1)).await;
        let odd = EngineSpec::reader("odd", "north", "n1");
        let engine = ScriptedEngine::start(odd.clone(), after_hello, script).await.expect("an engine");
        site.list.set(entry(&odd, engine.address(), ServerState::Ready));
        // A router that starts after it counts it as long running: in slow start it may get no request at all.
        site.stop_router(0).await.expect("it ran");
        site.start_again(0).await.expect("a router");
        site.settle().await;
        sleep(ms(150)).await;
        let answers = site.ask_all((0..30).map(|n| site.question(n, 8)).collect(), ms(15)).await;
        assert!(answers.iter().all(|a| a.end.is_some_and(|end| end != End::Broken)), "{name}");
        assert!(served(&answers) >= least, "{name}: {}", served(&answers));
        let (verdict, counts) = site.judge(&[]).await;
        assert!(verdict.holds(), "{name}: {verdict}");
        assert_eq!(counts.protocol_violations > 0, violates, "{name}: {counts:?}");
        assert_eq!(counts.overdue, 0, "{name}");
    }
}

/// Sends its load at full speed for as long as it is read.
async fn report_load(mut socket: TcpStream, spec: EngineSpec) -> std::io::Result<()> {
    const FRAMES_PER_WRITE: usize = 1000;
    let mut bytes = bytes::BytesMut::new();
    encode(&EngineFrame::Hello { version: VERSION, peer: Peer::Engine(spec.facts(1)) }, &mut bytes);
    socket.write_all(&bytes).await?;
    bytes.clear();
    (0..FRAMES_PER_WRITE).for_each(|_| encode(&EngineFrame::LoadReport(LoadReport::default()), &mut bytes));
    loop {
        socket.write_all(&bytes).await?;
    }
}

/// Guards against an engine whose frames are always handled first, so that no request is ever received.
#[tokio::test(flavor = "multi_thread")]
async fn engines_that_report_their_load_at_full_speed_delay_no_request() {
    const BUSY_ENGINES: usize = 24;
    /// The deadline of the class, and some for a busy machine.
    const ANSWERED_WITHIN: Duration = Duration::from_secs(8);
    let site = site(Plan::small(1, 1)).await;
    for number in 0..BUSY_ENGINES {
        let spec = EngineSpec::reader(&format!("busy-{number}"), "north", "n1");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut listed = entry(&spec, listener.local_addr().expect("its address"), ServerState::Ready);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(report_load(socket, spec.clone()));
            }
        });
        site.list.set(listed.clone());
        sleep(ms(200)).await;
        // It stays connected, but gets no requests.
        listed.state = ServerState::Draining;
        site.list.set(listed);
    }
    sleep(ms(500)).await;
    let asking = site.ask_all((0..10).map(|number| site.question(number, 8)).collect(), ms(50));
    let answers = tokio::time::timeout(ANSWERED_WITHIN, asking).await.expect("the requests are answered");
    assert!(answers.iter().all(|answer| answer.end.is_some()), "{answers:?}");
}
