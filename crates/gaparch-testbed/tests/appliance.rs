//! A router run by operators, over real sockets: orders under load, consoles that vanish, disks that fail, the night.

use gaparch_engine::observe::Way;
use gaparch_engine::Fault;
use gaparch_net::{Credentials, Incoming, OperationsAddress, OpsClient, OpsError};
use gaparch_protocol::ops::intent::{Change, DrainMode, Subject};
use gaparch_protocol::ops::outcome::{OutcomeCause, OutcomeFilter, OutcomeKind, QueueingReason};
use gaparch_protocol::ops::view::Event;
use gaparch_protocol::ops::{Answer, DenyCode, Order, Query, SessionRole, Update};
use gaparch_router::shell::{Disks, FleetDisks};
use gaparch_scheduler::api::{Nanos, ServerState};
use gaparch_store::faulty::{Faults, FaultyDisk, Unsynced};
use gaparch_testbed::load::{Answered, Question};
use gaparch_testbed::record::{End, Seen, What};
use gaparch_testbed::site::{entry, Plan, Site, OFFICE_KEY, WALL_KEY};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn plan(readers: usize, writers: usize) -> Plan {
    Plan { operations: true, ..Plan::small(readers, writers) }
}

async fn site(plan: Plan) -> Site {
    let site = Site::start(plan).await.expect("a site");
    site.settle().await;
    site
}

fn served(answers: &[Answered]) -> usize {
    answers.iter().filter(|a| matches!(a.end, Some(End::Served { .. }))).count()
}

fn code(answer: &Answer) -> Option<DenyCode> {
    match answer {
        Answer::Denied { code, .. } => Some(*code),
        _ => None,
    }
}

fn done(answer: &Answer) -> bool {
    matches!(answer, Answer::Done { .. })
}

fn address(site: &Site) -> std::net::SocketAddr {
    site.router(0).and_then(|r| r.operations_address()).expect("an operations side")
}

async fn come_in(site: &Site, key: &str, role: SessionRole) -> Result<OpsClient, OpsError> {
    let credentials = Credentials { key: Some(key.to_owned()), role, operator: String::new() };
    OpsClient::connect(&OperationsAddress::Tcp(address(site)), &credentials).await
}

/// A console that subscribes, and reads nothing any more.
async fn stopped_console(site: &Site) -> OpsClient {
    let mut console = come_in(site, WALL_KEY, SessionRole::ReadOnly).await.expect("it comes in");
    console.send(Query::Subscribe {}).await.expect("asked");
    console
}

/// When new work last came to an engine, from that time on and up to another.
fn last_new(site: &Site, engine: &str, from: Nanos, to: Nanos) -> Option<Nanos> {
    let entries = site.record.entries();
    let new = |what: &What| match what {
        What::Frame { engine: e, way: Way::In, seen: Seen::Read { .. } | Seen::Write { .. }, .. } => {
            e == engine
        }
        _ => false,
    };
    entries.iter().rev().find(|e| e.at >= from && e.at < to && new(&e.what)).map(|e| e.at)
}

async fn events(site: &Site) -> Vec<Event> {
    let mut operator = site.operator(0).await.expect("in");
    match operator.client.query(Query::Events { engine: None, since: 0, max: 0 }).await {
        Ok(Answer::Events { events }) => events,
        other => panic!("{other:?}"),
    }
}

/// A hundred drains under load while ten consoles are not read from, one is read without pause, and the list
/// changes as that of fifty engines would.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_is_acknowledged_and_kept_within_500_ms_a_hundred_times() {
    let mut site = site(plan(2, 6)).await;
    let mut stopped = Vec::new();
    for _ in 0..10 {
        stopped.push(stopped_console(&site).await);
    }
    let mut eager = stopped_console(&site).await;
    let watching = tokio::spawn(async move { while eager.next().await.is_ok() {} });
    let engines = site.plan().engines.clone();
    let mut latencies = Vec::new();
    let mut presses = Vec::new();
    let mut operator = site.operator(0).await.expect("in");
    let work = async {
        for _ in 0..20 {
            for writer in 0..5 {
                let engine = format!("write-{writer}");
                let (pressed, answer) = operator.drain(&engine).await.expect("answered");
                assert!(done(&answer), "{answer:?}");
                latencies.push(site.clock.now() - pressed);
                presses.push((engine, pressed));
                sleep(ms(15)).await;
            }
            sleep(ms(510)).await;
            for writer in 0..5 {
                let engine = format!("write-{writer}");
                let (at, answer) = operator.undrain(&engine).await.expect("answered");
                assert!(done(&answer), "{answer:?}");
                let press = presses.iter().rev().find(|(e, _)| *e == engine).expect("pressed").1;
                let last = last_new(&site, &engine, press, at).map_or(0, |last| last - press);
                latencies.push(last);
            }
        }
    };
    let changes = async {
        for n in 0..600u32 {
            let spec = &engines[n as usize % engines.len()];
            let address = site.engines[&spec.name].address();
            let weight = Some(1.0 + f64::from(n % 3) / 100.0);
            site.list.set(gaparch_protocol::list::ListEntry {
                weight,
                ..entry(spec, address, ServerState::Ready)
            });
            sleep(ms(20)).await;
        }
    };
    let questions = (0..700).map(|n| site.question(n, 10)).collect();
    let (answers, (), ()) = tokio::join!(site.ask_all(questions, ms(18)), work, changes);
    assert_eq!(latencies.len(), 200);
    let worst = latencies.iter().max().copied().unwrap_or(0);
    assert!(worst < 500_000_000, "the slowest acknowledgement or last new frame: {} ms", worst / 1_000_000);
    assert!(served(&answers) > 650, "{}", served(&answers));
    watching.abort();
    drop((stopped, operator));
    let (verdict, counts) = site.judge(&[]).await;
    assert!(verdict.holds(), "{verdict}");
    assert_eq!(counts.overdue, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn consoles_that_vanish_change_nothing_for_clients() {
    let mut ends = Vec::new();
    for consoles in [false, true] {
        let mut site = site(plan(2, 3)).await;
        let questions: Vec<Question> = (0..150).map(|n| site.question(n, 12)).collect();
        let disturb = async {
            if !consoles {
                return;
            }
            let mut stopped = Vec::new();
            for round in 0..10 {
                stopped.push(stopped_console(&site).await);
                // One that is gone in the middle of a question, and one in the middle of a frame.
                let mut gone = come_in(&site, OFFICE_KEY, SessionRole::ReadWrite).await.expect("in");
                gone.send(Query::OpenRequests { max: 500 }).await.expect("asked");
                drop(gone);
                let mut torn = TcpStream::connect(address(&site)).await.expect("connected");
                torn.write_all(&[0, 0, 0, 90, 1, 0]).await.expect("written");
                sleep(ms(100)).await;
                if round % 2 == 0 {
                    stopped.clear();
                }
            }
        };
        let (answers, ()) = tokio::join!(site.ask_all(questions, ms(10)), disturb);
        ends.push(served(&answers));
        let (verdict, counts) = site.judge(&[]).await;
        assert!(verdict.holds(), "{verdict}");
        assert_eq!(
            (counts.rejected, counts.failed, counts.client_disconnected),
            (0, 0, 0),
            "consoles: {consoles}"
        );
    }
    assert_eq!(ends, [150, 150]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_subscriber_is_told_that_it_missed_updates_and_shown_all_anew() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let tenants = names.map(|name| (name, 10.0)).to_vec();
    let site = site(Plan { tenants, ..plan(1, 2) }).await;
    let mut console = stopped_console(&site).await;
    let mut operator = site.operator(0).await.expect("in");
    // More than sockets and queues hold, some 20 MiB: each change tells of all orders in force, at length.
    let last_name = "tenant.h.requests-per-second";
    for n in 0..2400 {
        let name = format!("tenant.{}.requests-per-second", names[n % 8]);
        let change = Change::SetLimit { name, value: Some(n as f64) };
        let order = Order { change, reason: "x".repeat(480), force: false, revision: None };
        let answer = operator.client.query(Query::Order { order }).await.expect("answered");
        assert!(done(&answer), "{answer:?}");
    }
    let mut missed = 0;
    let mut shown = None;
    let read = async {
        while shown != Some(2399.0) {
            match console.next().await.expect("it goes on") {
                Incoming::Update(Update::Missed { updates }) => missed += updates,
                Incoming::Update(Update::Resync { snapshot }) => {
                    shown = snapshot.limits.iter().find(|l| l.name == last_name).map(|l| l.value);
                }
                _ => {}
            }
        }
    };
    timeout(Duration::from_secs(20), read).await.expect("it catches up");
    assert!(missed > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_hold_after_a_kill_before_the_first_request_is_routed() {
    let mut site = site(plan(2, 2)).await;
    for round in 0..4u64 {
        let engine = ["write-0", "read-1"][round as usize % 2];
        let mut operator = site.operator(0).await.expect("in");
        let (_, answer) = operator.drain(engine).await.expect("answered");
        assert!(done(&answer), "{answer:?}");
        let killed = site.clock.now();
        site.kill_router(0);
        site.start_again(0).await.expect("it starts");
        let questions = (0..10).map(|n| site.question(100 * round + n, 5)).collect();
        let answers = site.ask_all(questions, ms(20)).await;
        assert_eq!(served(&answers), 10, "{answers:?}");
        assert_eq!(last_new(&site, engine, killed, Nanos::MAX), None, "round {round}");
        let mut operator = site.operator(0).await.expect("in");
        let snapshot = operator.snapshot().await.expect("shown");
        assert!(
            snapshot.intents.iter().all(|i| i.persisted && i.note.operator == "office"),
            "{:?}",
            snapshot.intents
        );
        assert!(done(&operator.undrain(engine).await.expect("answered").1));
    }
}

fn disks(intents: &FaultyDisk) -> Disks {
    let calm = || Box::new(FaultyDisk::default());
    let intents = Box::new(intents.clone());
    Disks { intents, events: calm(), outcomes: calm(), fleet: FleetDisks::of(|| calm()) }
}

/// Kills a router at each write of its store; what was acknowledged holds in the next one.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_orders_survive_a_crash_at_each_write() {
    let mut site = site(plan(2, 3)).await;
    site.kill_router(0);
    let changes = || {
        let hold = |engine: &str, hold| Change::Drain { engine: engine.to_owned(), mode: hold };
        [
            hold("write-0", DrainMode::Drain),
            hold("write-1", DrainMode::Detach),
            Change::Undrain { engine: "write-0".to_owned() },
            Change::Pause {},
            Change::SetLimit { name: "open-requests".to_owned(), value: Some(7.0) },
        ]
    };
    for crash_at in 0..16 {
        let disk = FaultyDisk::default();
        disk.set_faults(Faults { crash_at: Some(crash_at), ..Faults::default() });
        site.start_router_on(0, Some(disks(&disk))).await.expect("it routes without a disk too");
        let mut operator = site.operator(0).await.expect("in");
        let mut kept = Vec::new();
        for change in changes() {
            match operator.order(change.clone(), false).await.expect("answered").1 {
                Answer::Done { .. } => kept.push(change),
                answer => assert_eq!(code(&answer), Some(DenyCode::NotPersisted), "{answer:?}"),
            }
        }
        assert!(disk.has_crashed() == (kept.len() < 5), "crash at {crash_at}: {kept:?}");
        site.kill_router(0);
        for unsynced in [Unsynced::Lost, Unsynced::Half] {
            let after = disks(&disk.after_crash(unsynced));
            site.start_router_on(0, Some(after)).await.expect("it starts");
            let snapshot = site.operator(0).await.expect("in").snapshot().await.expect("shown");
            let has = |wanted: &Subject| snapshot.intents.iter().any(|i| i.subject == *wanted);
            let aside = Subject::Engine { engine: "write-1".to_owned(), mode: DrainMode::Detach };
            let drained = Subject::Engine { engine: "write-0".to_owned(), mode: DrainMode::Drain };
            assert!(kept.len() < 2 || has(&aside), "crash at {crash_at}: {:?}", snapshot.intents);
            assert!(
                kept.is_empty() || kept.len() > 2 || has(&drained),
                "crash at {crash_at}: {:?}",
                snapshot.intents
            );
            assert!(kept.len() < 3 || !has(&drained), "crash at {crash_at}: a freed engine is held again");
            assert!(kept.len() < 4 || has(&Subject::Admission {}), "crash at {crash_at}");
            site.kill_router(0);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_read_only_or_slow_disk_does_not_stop_routing_and_nothing_is_acknowledged_unkept() {
    let mut site = site(plan(2, 3)).await;
    site.kill_router(0);
    let disk = FaultyDisk::default();
    site.start_router_on(0, Some(disks(&disk))).await.expect("it starts");
    let mut operator = site.operator(0).await.expect("in");
    for (round, faults) in [
        Faults { capacity_bytes: Some(0), ..Faults::default() },
        Faults { read_only: true, ..Faults::default() },
        Faults { sync_fails: true, ..Faults::default() },
    ]
    .into_iter()
    .enumerate()
    {
        disk.set_faults(faults);
        let (pressed, answer) = operator.drain("write-0").await.expect("answered");
        assert_eq!(code(&answer), Some(DenyCode::NotPersisted), "{answer:?}");
        let questions = (0..10).map(|n| site.question(100 * round as u64 + n, 5)).collect();
        assert_eq!(served(&site.ask_all(questions, ms(10)).await), 10);
        assert_eq!(last_new(&site, "write-0", pressed + 100_000_000, Nanos::MAX), None, "it is in force");
        let snapshot = operator.snapshot().await.expect("shown");
        assert!(snapshot.storage_error.contains("orders"), "{}", snapshot.storage_error);
        assert!(snapshot.intents.iter().any(|i| !i.persisted));
        // Room again: it is kept by itself.
        disk.set_faults(Faults::default());
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            let snapshot = operator.snapshot().await.expect("shown");
            if snapshot.storage_error.is_empty() && snapshot.intents.iter().all(|i| i.persisted) {
                break;
            }
            assert!(Instant::now() < until, "{}", snapshot.storage_error);
            sleep(ms(100)).await;
        }
        assert!(done(&operator.undrain("write-0").await.expect("answered").1));
    }
    let slow = Duration::from_secs(2);
    disk.set_faults(Faults { delay: slow, ..Faults::default() });
    let questions = (0..100).map(|n| site.question(1000 + n, 5)).collect();
    let asking = site.ask_all(questions, ms(20));
    let ordering = operator.drain("write-0");
    let (answers, ordered) = tokio::join!(asking, ordering);
    let (pressed, answer) = ordered.expect("answered");
    assert!(done(&answer), "{answer:?}");
    assert!(site.clock.now() - pressed >= 2 * 2_000_000_000, "a write and a sync take two seconds each");
    assert_eq!(served(&answers), 100);
    assert_eq!(last_new(&site, "write-0", pressed + 500_000_000, Nanos::MAX), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn who_may_not_come_in_is_told_so_and_who_may_look_changes_nothing() {
    let site = site(plan(1, 1)).await;
    let sent_away = |result: Result<OpsClient, OpsError>| match result {
        Err(OpsError::Rejected(reason)) => reason,
        Err(other) => panic!("{other}"),
        Ok(_) => panic!("it came in"),
    };
    assert!(
        sent_away(come_in(&site, "office-key-0000002", SessionRole::ReadOnly).await).contains("not known")
    );
    let nobody = Credentials { key: None, role: SessionRole::ReadOnly, operator: "someone".to_owned() };
    let result = OpsClient::connect(&OperationsAddress::Tcp(address(&site)), &nobody).await;
    assert!(sent_away(result).contains("a key is required"));
    // Raw bytes: garbage, a frame of 1 GiB, another version.
    for (bytes, word) in [
        (&b"\x00\x00\x00\x05\x09garb"[..], "malformed"),
        (b"GET / HTTP/1.1\r\n\r\n", "bytes, at most"),
        (&[0x40, 0, 0, 0, 1], "1073741824 bytes, at most 65536"),
        (&[0, 0, 0, 3, 1, 0, 9], "version 9 is not spoken here"),
    ] {
        let mut socket = TcpStream::connect(address(&site)).await.expect("connected");
        socket.write_all(bytes).await.expect("written");
        let mut said = Vec::new();
        timeout(Duration::from_secs(10), socket.read_to_end(&mut said)).await.expect("closed").expect("read");
        let said = String::from_utf8_lossy(&said).into_owned();
        assert!(said.contains(word), "{said:?} for {bytes:?}");
    }
    let mut wall = come_in(&site, WALL_KEY, SessionRole::ReadWrite).await.expect("in");
    assert_eq!(wall.role, SessionRole::ReadOnly);
    let order = Order { change: Change::Pause {}, reason: "no".to_owned(), force: true, revision: None };
    let answer = wall.query(Query::Order { order }).await.expect("answered");
    assert_eq!(code(&answer), Some(DenyCode::ReadOnly));
    let answers = site.ask_all(vec![site.question(1, 5)], ms(1)).await;
    assert_eq!(served(&answers), 1);
    // Sessions are bounded, and each that ends makes room.
    let mut open = Vec::new();
    while open.len() < 40 {
        match come_in(&site, WALL_KEY, SessionRole::ReadOnly).await {
            Ok(client) => open.push(client),
            Err(error) => {
                assert!(error.to_string().contains("too many sessions"), "{error}");
                break;
            }
        }
    }
    assert_eq!(open.len(), 31);
    open.truncate(10);
    let until = Instant::now() + Duration::from_secs(10);
    while come_in(&site, WALL_KEY, SessionRole::ReadOnly).await.is_err() {
        assert!(Instant::now() < until, "no room was made");
        sleep(ms(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_consoles_at_once_leave_a_reader_and_contradictions_are_told() {
    let site = site(plan(2, 2)).await;
    let mut one = site.operator(0).await.expect("in");
    let mut other = site.operator(0).await.expect("in");
    let (first, second) = tokio::join!(one.drain("read-0"), other.drain("read-1"));
    let answers = [first.expect("answered").1, second.expect("answered").1];
    assert_eq!(answers.iter().filter(|a| done(a)).count(), 1, "{answers:?}");
    assert_eq!(answers.iter().filter_map(code).collect::<Vec<_>>(), [DenyCode::LastOfRole]);
    // Both have looked; the second to change the same engine is told of the first.
    let seen = one.snapshot().await.expect("shown").revision;
    let change = |change| Order {
        change,
        reason: "seen on the screen".to_owned(),
        force: false,
        revision: Some(seen),
    };
    let aside = Change::Drain { engine: "write-0".to_owned(), mode: DrainMode::Detach };
    let answer = one.client.query(Query::Order { order: change(aside.clone()) }).await.expect("answered");
    assert!(done(&answer), "{answer:?}");
    let answer = other.client.query(Query::Order { order: change(aside) }).await.expect("answered");
    assert_eq!(code(&answer), Some(DenyCode::Conflict), "{answer:?}");
    let answers = site.ask_all((0..10).map(|n| site.question(n, 5)).collect(), ms(10)).await;
    assert_eq!(served(&answers), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_says_why_what_was_seen_and_whether_its_client_came_back() {
    let mut site = site(plan(1, 2)).await;
    for engine in ["write-0", "write-1"] {
        site.fault(engine, Fault::FullToClass(Some(0))).await;
    }
    let answers = site.ask_all((0..6).map(|n| site.question(n, 5)).collect(), ms(10)).await;
    assert_eq!(served(&answers), 0, "{answers:?}");
    for engine in ["write-0", "write-1"] {
        site.fault(engine, Fault::FullToClass(None)).await;
    }
    sleep(ms(1500)).await;
    // The same questions again.
    let answers = site.ask_all((0..6).map(|n| site.question(n, 5)).collect(), ms(10)).await;
    assert_eq!(served(&answers), 6, "{answers:?}");
    let mut operator = site.operator(0).await.expect("in");
    let filter = OutcomeFilter { kind: Some(OutcomeKind::Rejected), ..OutcomeFilter::default() };
    let Ok(Answer::OutcomeGroups { groups, total }) =
        operator.client.query(Query::OutcomeGroups { filter }).await
    else {
        panic!("groups are wanted")
    };
    let came_back: u64 = groups.iter().map(|g| g.retried).sum();
    assert_eq!((total, came_back, groups.iter().map(|g| g.served_on_retry).sum()), (6, 6, 6), "{groups:?}");
    let group = groups
        .iter()
        .find(|g| g.cause == OutcomeCause::ObjectiveMissed || g.cause == OutcomeCause::AttemptsExhausted);
    let group = group.unwrap_or_else(|| panic!("{groups:?}"));
    let story = operator.client.query(Query::RequestDetails { request: group.example }).await;
    let Ok(Answer::RequestDetails { outcome: Some(ending), .. }) = story else { panic!("{story:?}") };
    assert!(ending.evidence.iter().any(|e| e.engine.starts_with("write-") && !e.avoid_reason.is_empty()));
    assert!(ending.queueing_reason.is_none_or(|w| w != QueueingReason::OverQuota));
    // It is found again after a restart.
    drop(operator);
    sleep(ms(2500)).await;
    site.kill_router(0);
    site.start_again(0).await.expect("it starts");
    let mut operator = site.operator(0).await.expect("in");
    let story = operator.client.query(Query::RequestDetails { request: group.example }).await;
    assert_eq!(story.ok(), Some(Answer::RequestDetails { outcome: Some(ending), open: None }));
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_turned_away_at_the_door_are_told_of_too() {
    let site = site(Plan { limits: r#"<limits open-requests="2"/>"#, ..plan(1, 1) }).await;
    let answers = site.ask_all((0..8).map(|n| site.question(n, 60)).collect(), ms(5)).await;
    let refused = answers.iter().filter(|a| matches!(a.end, Some(End::Refused { .. }))).count() as u64;
    assert!(refused >= 4, "{answers:?}");
    let mut operator = site.operator(0).await.expect("in");
    let filter = OutcomeFilter { cause: Some(OutcomeCause::TooManyOpen), ..OutcomeFilter::default() };
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        let answer = operator.client.query(Query::OutcomeGroups { filter: filter.clone() }).await;
        let Ok(Answer::OutcomeGroups { total, .. }) = answer else { panic!("{answer:?}") };
        let counted = operator.snapshot().await.expect("shown").metrics.rejected;
        if (total, counted) == (refused, refused) {
            break;
        }
        assert!(Instant::now() < until, "{total} told, {counted} counted of {refused}");
        sleep(ms(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn in_the_morning_the_night_can_be_read() {
    let site = site(plan(2, 3)).await;
    let night = async {
        sleep(ms(800)).await;
        site.fault("write-0", Fault::Pause(true)).await;
        site.fault("read-1", Fault::SilentToClass(Some(0))).await;
        sleep(ms(3500)).await;
        site.fault("write-0", Fault::Pause(false)).await;
        site.fault("read-1", Fault::SilentToClass(None)).await;
        sleep(ms(100)).await;
    };
    let questions = (0..400).map(|n| site.question(n, 10)).collect();
    let began = site.clock.now();
    let (_, ()) = tokio::join!(site.ask_all(questions, ms(15)), night);
    let until = Instant::now() + Duration::from_secs(30);
    loop {
        let all = events(&site).await;
        let of = |engine: &str, word: &str| {
            all.iter().find(|e| e.engine.as_deref() == Some(engine) && e.text.contains(word)).cloned()
        };
        let stalled = of("write-0", "answers nothing").or(of("write-0", "or leaves it unanswered"));
        let silent =
            of("read-1", "class question or leaves it unanswered").or(of("read-1", "answers nothing"));
        let done = of("write-0", "meanwhile").zip(of("read-1", "meanwhile"));
        if let (Some(stalled), Some(silent), Some((over, _))) = (&stalled, &silent, &done) {
            assert!(stalled.at > began + 800_000_000 && silent.at > began + 800_000_000);
            assert!(over.text.contains("attempts failed there"), "{}", over.text);
            return;
        }
        assert!(Instant::now() < until, "{all:#?}");
        // The module tries it again now and then, as requests come.
        site.ask_all((1000..1005).map(|n| site.question(n, 5)).collect(), ms(20)).await;
        sleep(ms(200)).await;
    }
}
