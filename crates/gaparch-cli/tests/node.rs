//! The router in service, a process of its own between stand-ins of the platform.

mod common;

use common::{start, Environment, Site};
use gaparch_testbed::platform::{
    ask, events, folder, head_and_body, instance, raw, settings, stream, until, Catalogue, Floor, Got,
    Platform, Seen, Step, Stuck, Worker, LONG,
};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

fn put(text: &str) -> Step {
    Step::Put(text.as_bytes().to_vec())
}

const OPENING: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn first_event() -> String {
    let event = &events()[0];
    format!("{OPENING}{:x}\r\n{event}\r\n", event.len())
}

#[test]
fn a_request_is_read_then_written_and_its_events_pass_unchanged() {
    let site = Site::new();
    let body = "{\"stream\":true,\"messages\":[\"\u{e1}\"]}";
    let mut request = head_and_body("txn-1", body);
    let got = raw(site.listen, &request, LONG);
    assert_eq!((got.status, got.whole), (200, true));
    assert_eq!(String::from_utf8_lossy(&got.body), events().concat());
    let asked: Vec<Seen> =
        site.floor.seen().into_iter().filter(|s| matches!(s, Seen::Asked { .. })).collect();
    let [Seen::Asked { worker: read, .. }, Seen::Asked { worker: written, .. }] = &asked[..] else {
        panic!("{asked:?}")
    };
    assert!(read.starts_with("r-") && written.starts_with("w-"), "{asked:?}");
    for seen in &asked {
        let Seen::Asked { txn, target, body: passed, .. } = seen else { continue };
        assert_eq!((txn.as_str(), target.as_str()), ("txn-1", "/v1/chat/completions"));
        assert_eq!(passed, body.as_bytes());
    }
    // The same in two chunks, with a query and under another id.
    request =
        b"POST /v1/chat/completions?a=b HTTP/1.1\r\nX-Txn: txn-2\r\nX-Lane: chat\r\nX-Remaining-Ms: 5000\r\n\
         Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n1\r\n \r\n0\r\n\r\n"
            .to_vec();
    assert_eq!(raw(site.listen, &request, LONG).status, 200);
    let passed = |s: &Seen| {
        matches!(s, Seen::Asked { txn, target, body, .. }
        if txn == "txn-2" && target == "/v1/chat/completions?a=b" && body == b"{} ")
    };
    assert_eq!(site.floor.seen().iter().filter(|s| passed(s)).count(), 2);
    site.no_second_copies();
}

#[test]
fn whatever_a_writer_answers_before_its_first_event_another_attempt_serves() {
    let long_head = format!("HTTP/1.1 200 OK\r\nX-Long: {}", "x".repeat(20_000));
    let spoilt_at_once = format!("{}zz\r\n", first_event());
    let bad: Vec<(&str, Vec<Step>)> = vec![
        ("an error", vec![put("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")]),
        ("turned away", vec![put("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")]),
        ("no state", vec![put("HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")]),
        ("a word of its own", vec![put("HTTP/1.1 418 No\r\nContent-Length: 0\r\n\r\n")]),
        ("a broken connection", vec![Step::Close]),
        ("half a head", vec![put("HTTP/1.1 200 O"), Step::Close]),
        ("noise", vec![put("\u{1}\u{2}\u{3} noise\r\n\r\n"), Step::Hang]),
        ("a head without end", vec![put(&long_head), Step::Hang]),
        (
            "two framings",
            vec![put("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")],
        ),
        ("a chunk size that is none", vec![put(&format!("{OPENING}zz\r\n")), Step::Hang]),
        ("a giant chunk", vec![put(&format!("{OPENING}c0000000\r\ndata: ")), Step::Hang]),
        ("no events", vec![put(&format!("{OPENING}5\r\nnoise\r\n")), Step::Hang]),
        ("an event and rubbish at once", vec![put(&spoilt_at_once), Step::Hang]),
        ("only interim answers", vec![put(&"HTTP/1.1 100 Continue\r\n\r\n".repeat(50)), Step::Hang]),
    ];
    let site = Site::new();
    for (number, (what, steps)) in bad.into_iter().enumerate() {
        let txn = format!("txn-{number}");
        site.next_write(&steps);
        let got = ask(site.listen, &txn);
        assert_eq!((got.status, got.whole), (200, true), "{what}");
        assert_eq!(site.writes(&txn), 2, "{what}");
    }
    site.no_second_copies();
}

#[test]
fn a_stream_spoilt_after_its_first_event_ends_its_client_without_the_last_chunk() {
    let site = Site::new();
    let bad: Vec<(&str, Vec<Step>)> = vec![
        ("it breaks", vec![put(&first_event()), Step::Wait(Duration::from_millis(50)), Step::Close]),
        (
            "it ends too early",
            vec![put(&first_event()), Step::Wait(Duration::from_millis(50)), put("0\r\n\r\n")],
        ),
        (
            "a chunk size",
            vec![put(&first_event()), Step::Wait(Duration::from_millis(50)), put("zz\r\n"), Step::Hang],
        ),
        ("silence", vec![put(&first_event()), Step::Hang]),
    ];
    for (number, (what, steps)) in bad.into_iter().enumerate() {
        let txn = format!("txn-{number}");
        site.next_write(&steps);
        let got = ask(site.listen, &txn);
        assert_eq!((got.status, got.whole, site.writes(&txn)), (200, false, 1), "{what}");
        assert_eq!(String::from_utf8_lossy(&got.body), events()[0], "{what}");
    }
    site.no_second_copies();
}

#[test]
fn good_answers_with_more_than_belongs_to_them_stand() {
    let site = Site::new();
    let mut answer = stream(&events());
    // A load report that can't be read, in the head of a good answer.
    let at = answer.windows(2).position(|w| w == b"\r\n").expect("a status line") + 2;
    answer.splice(at..at, b"X-Pressure: \xff\x01{{=?\r\n".iter().copied());
    let ahead = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n".to_vec();
    let all = [ahead, answer, stream(&events())].concat();
    site.writers.iter().for_each(|w| w.always(vec![Step::Put(all.clone())]));
    for number in 0..4 {
        let got = ask(site.listen, &format!("txn-{number}"));
        assert_eq!((got.status, got.whole), (200, true));
        assert_eq!(String::from_utf8_lossy(&got.body), events().concat());
    }
}

#[test]
fn bad_clients_are_told_so_or_cut_off_and_nothing_of_theirs_reaches_a_worker() {
    let site = Site::new();
    let head = "POST /v1/chat/completions HTTP/1.1\r\n";
    let sound = "X-Txn: bad\r\nX-Lane: chat\r\nX-Remaining-Ms: 5000\r\n";
    let hidden = "0\r\n\r\nPOST /v1/chat/completions HTTP/1.1\r\nX-Txn: hidden\r\nX-Lane: chat\r\n\
                  X-Remaining-Ms: 5000\r\nContent-Length: 2\r\n\r\n{}";
    let cases: Vec<(&str, u16, String)> = vec![
        ("noise", 400, "\u{1}\u{2}\u{3}\r\n\r\n".to_owned()),
        ("a head without end", 431, format!("{head}X-A: {}", "y".repeat(20_000))),
        ("many headers", 431, format!("{head}{}\r\n", "X-A: 1\r\n".repeat(100))),
        ("another version", 400, format!("POST /v1/chat/completions HTTP/1.0\r\n{sound}\r\n")),
        ("no length that is one", 400, format!("{head}{sound}Content-Length: x\r\n\r\n{{}}")),
        ("a negative length", 400, format!("{head}{sound}Content-Length: -2\r\n\r\n{{}}")),
        ("two lengths", 400, format!("{head}{sound}Content-Length: 2\r\nContent-Length: 2\r\n\r\n{{}}")),
        ("a huge length", 413, format!("{head}{sound}Content-Length: 62914560\r\n\r\n{{}}")),
        (
            "a length beyond numbers",
            400,
            format!("{head}{sound}Content-Length: 99999999999999999999999\r\n\r\n"),
        ),
        (
            "both framings",
            400,
            format!("{head}{sound}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n{hidden}"),
        ),
        ("an unknown coding", 400, format!("{head}{sound}Transfer-Encoding: gzip\r\n\r\n{{}}")),
        ("a chunk size that is none", 400, format!("{head}{sound}Transfer-Encoding: chunked\r\n\r\nzz\r\n")),
        ("a giant chunk", 400, format!("{head}{sound}Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n")),
        (
            "chunks beyond the bound",
            413,
            format!(
                "{head}{sound}Transfer-Encoding: chunked\r\n\r\n{}",
                format!("8000\r\n{}\r\n", "z".repeat(0x8000)).repeat(9)
            ),
        ),
        (
            "an unknown class",
            400,
            format!("{head}X-Txn: bad\r\nX-Lane: none\r\nX-Remaining-Ms: 5\r\nContent-Length: 2\r\n\r\n{{}}"),
        ),
        ("no deadline", 400, format!("{head}X-Txn: bad\r\nX-Lane: chat\r\nContent-Length: 2\r\n\r\n{{}}")),
        (
            "a deadline that is none",
            400,
            format!(
                "{head}X-Txn: bad\r\nX-Lane: chat\r\nX-Remaining-Ms: soon\r\nContent-Length: 2\r\n\r\n{{}}"
            ),
        ),
        (
            "a negative deadline",
            400,
            format!(
                "{head}X-Txn: bad\r\nX-Lane: chat\r\nX-Remaining-Ms: -5\r\nContent-Length: 2\r\n\r\n{{}}"
            ),
        ),
        (
            "no id",
            400,
            format!("{head}X-Lane: chat\r\nX-Remaining-Ms: 5000\r\nContent-Length: 2\r\n\r\n{{}}"),
        ),
        ("two ids", 400, format!("{head}{sound}X-Txn: other\r\nContent-Length: 2\r\n\r\n{{}}")),
        (
            "an id with spaces",
            400,
            format!(
                "{head}X-Txn: a b\r\nX-Lane: chat\r\nX-Remaining-Ms: 5000\r\nContent-Length: 2\r\n\r\n{{}}"
            ),
        ),
        ("no body", 400, format!("{head}{sound}\r\n")),
        ("elsewhere", 404, format!("POST /v1/other HTTP/1.1\r\n{sound}Content-Length: 2\r\n\r\n{{}}")),
        ("another method", 405, format!("GET /v1/chat/completions HTTP/1.1\r\n{sound}\r\n")),
        ("half a head", 408, format!("{head}X-Txn: ba")),
        ("half a body", 408, format!("{head}{sound}Content-Length: 200\r\n\r\n{{")),
        ("nothing", 0, String::new()),
    ];
    for (what, status, bytes) in cases {
        let from = Instant::now();
        let got = raw(site.listen, bytes.as_bytes(), LONG);
        assert!(got.status == status || got.status == 0 && bytes.len() > 100_000, "{what}: {got:?}");
        assert!(from.elapsed() < LONG, "{what}");
    }
    // Half a request and a close leaves nothing behind, and its id is free again.
    drop(TcpStream::connect(site.listen).map(|mut s| s.write_all(format!("{head}X-Txn: half").as_bytes())));
    assert_eq!(site.floor.asked(), vec![]);
    assert_eq!(ask(site.listen, "half").status, 200);
    assert_eq!(site.floor.asked().len(), 2);
}

#[test]
fn the_id_of_an_open_request_is_taken_and_free_again_after_it() {
    let site = Site::new();
    site.next_write(&[put(&first_event()), Step::Wait(Duration::from_millis(600)), Step::Close]);
    let listen = site.listen;
    let first = std::thread::spawn(move || ask(listen, "same"));
    until("it is written", || site.writes("same") == 1);
    assert_eq!(ask(site.listen, "same").status, 409);
    assert_eq!(first.join().expect("it ends").status, 200);
    until("it is served", || ask(site.listen, "same").whole);
    site.no_second_copies();
}

#[test]
fn silent_connections_by_the_hundreds_cost_the_usual_clients_nothing() {
    let site = Site::new();
    // More than the whole budget of descriptors.
    let silent: Vec<TcpStream> = (0..400).filter_map(|_| TcpStream::connect(site.listen).ok()).collect();
    assert!(silent.len() > 256);
    for number in 0..20 {
        let got = ask(site.listen, &format!("txn-{number}"));
        assert_eq!((got.status, got.whole), (200, true), "request {number}");
    }
    assert_eq!(site.health(), 200);
}

#[test]
fn what_a_broken_read_may_have_left_is_let_go_of_at_a_worker_that_runs() {
    let site = Site::new();
    site.readers[0].then(vec![Step::Close]);
    let got = ask(site.listen, "broken");
    assert_eq!((got.status, got.whole), (200, true));
    let released =
        || site.floor.seen().iter().any(|s| matches!(s, Seen::Released { txn, .. } if txn == "broken"));
    until("it is let go of", released);
    site.no_second_copies();
}

#[test]
fn a_client_that_leaves_takes_its_attempt_with_it_and_what_was_read_is_let_go_of() {
    let site = Site::new();
    site.writers.iter().for_each(|w| w.always(vec![Step::Hang]));
    let mut client = TcpStream::connect(site.listen).expect("it listens");
    client.write_all(&head_and_body("left", "{}")).expect("written");
    until("it is written", || site.writes("left") == 1);
    drop(client);
    let released =
        || site.floor.seen().iter().any(|s| matches!(s, Seen::Released { txn, .. } if txn == "left"));
    until("it is let go of", released);
}

#[test]
fn a_refusal_comes_at_once_and_says_when_to_come_back() {
    let site = Site::with(|config| config["settings"]["caps"]["maxAttempts"] = json!(2));
    site.writers.iter().for_each(|w| w.always(vec![put("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")]));
    let from = Instant::now();
    let got = ask(site.listen, "refused");
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.head.contains("Retry-After: 1.5"), "{}", got.head);
    assert!(from.elapsed() < Duration::from_secs(2), "it was held back");
}

#[test]
fn nothing_goes_to_a_drained_worker_and_nonsense_never_empties_the_list() {
    let site = Site::new();
    let mut list = Platform::list(&site.readers, &site.writers);
    list[0]["lifecycle"] = json!("draining");
    list[2]["lifecycle"] = json!("draining");
    let calls = site.catalogue.calls();
    site.catalogue.set(list);
    until("the change is told", || site.catalogue.calls() > calls + 1);
    let before = site.floor.asked().len();
    for nonsense in
        ["", "{", "[]", "{\"generation\":9}", "{\"generation\":99,\"reset\":true,\"instances\":[]}"]
    {
        site.catalogue.nonsense(Some(nonsense));
        let calls = site.catalogue.calls();
        until("it was told nonsense", || site.catalogue.calls() > calls + 1);
        for number in 0..5 {
            let txn = format!("txn-{number}-{}", site.floor.seen().len());
            assert_eq!(ask(site.listen, &txn).status, 200, "{nonsense}");
        }
    }
    let asked = &site.floor.asked()[before..];
    assert!(asked.iter().all(|(worker, _)| worker == "r-2" || worker == "w-2"), "{asked:?}");
    // A whole list brings them back.
    site.catalogue.nonsense(None);
    site.catalogue.set(Platform::list(&site.readers, &site.writers));
    until("both readers are used", || {
        ask(site.listen, &format!("txn-{}", site.floor.seen().len()));
        site.floor.asked()[before..].iter().any(|(worker, _)| worker == "w-1" || worker == "r-1")
    });
}

/// Found by reading: a connection got the settings' time even where that is longer than the grace of a drain that is told
/// meanwhile, and the request went out after it.
#[test]
fn what_waits_for_a_connection_does_not_go_out_after_a_drains_grace() {
    let site = Site::with(|config| {
        let caps = &mut config["settings"]["caps"];
        (caps["connectTimeoutNs"], caps["maxAttempts"]) = (json!(3_500_000_000u64), json!(2));
    });
    let late = Stuck::start();
    let stuck = |state: &str| {
        let mut entry = instance(&site.writers[0], "decode", state);
        entry["instanceId"] = json!("w-stuck");
        entry["hostPort"] = json!(late.address.to_string());
        entry
    };
    let list = Platform::list(&site.readers, &site.writers);
    site.tell([Platform::without_writers(&list), vec![stuck("ready")]].concat());
    let listen = site.listen;
    let client = std::thread::spawn(move || {
        let from = Instant::now();
        (ask(listen, "late"), from.elapsed())
    });
    until("it is read", || site.floor.asked().iter().any(|(_, txn)| txn == "late"));
    site.catalogue.set([&list[..], &[stuck("draining")]].concat());
    // Past the grace there is room again: what still waits comes now.
    std::thread::sleep(Duration::from_millis(700));
    let heard = late.heard_within(Duration::from_millis(2500));
    assert_eq!(heard, "", "a drained worker got something");
    // It was answered as soon as the connection had had its time, not when the client was about to leave.
    let (got, took) = client.join().expect("it ends");
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.head.contains("Retry-After: 1.5"), "{}", got.head);
    assert!(took < Duration::from_millis(2500), "{took:?}");
}

/// What each stage is given up for is told at once, with the time after which to come back.
#[test]
fn each_kind_of_refusal_comes_at_once_and_says_when_to_come_back() {
    let site = Site::with(|config| {
        config["settings"]["services"][0]["aimNs"] = json!(600_000_000);
        config["settings"]["caps"]["maxAttempts"] = json!(2);
    });
    let list = Platform::list(&site.readers, &site.writers);
    let refused = |txn: &str| {
        let from = Instant::now();
        let got = ask(site.listen, txn);
        assert_eq!(got.status, 503, "{txn}: {got:?}");
        assert!(got.head.contains("Retry-After: 1.5"), "{txn}: {}", got.head);
        // The client would wait for 5 s.
        assert!(from.elapsed() < Duration::from_millis(3000), "{txn}: {:?}", from.elapsed());
    };
    site.readers.iter().for_each(|r| r.always(vec![put("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")]));
    refused("no-read");
    site.readers.iter().for_each(|r| r.always(vec![Step::Close]));
    refused("broken-read");
    // No writer is left to wait for: its aim ends the wait.
    let calls = site.catalogue.calls();
    site.catalogue.set(Platform::without_writers(&list));
    until("the list is told", || site.catalogue.calls() > calls + 1);
    refused("no-writer");
}

#[test]
fn sigterm_finishes_what_is_open_and_ends_with_code_zero() {
    let mut site = Site::new();
    let whole = stream(&events());
    let cut = whole.len() - 40;
    let steps = vec![
        Step::Put(whole[..cut].to_vec()),
        Step::Wait(Duration::from_millis(1500)),
        Step::Put(whole[cut..].to_vec()),
    ];
    site.writers.iter().for_each(|w| w.always(steps.clone()));
    let listen = site.listen;
    let open = std::thread::spawn(move || ask(listen, "open"));
    until("it is written", || site.writes("open") == 1);
    site.signal(Signal::TERM);
    until("it is on its way out", || site.health() != 200);
    // New connections still arrive for a while, and are served.
    let late = ask(site.listen, "late");
    assert_eq!((late.status, late.whole), (200, true));
    assert!(late.head.contains("Connection: close"), "{}", late.head);
    let got = open.join().expect("it ends");
    assert_eq!((got.status, got.whole), (200, true));
    assert!(site.ended().success());
}

#[test]
fn sighup_takes_another_catalogue_and_a_broken_file_changes_nothing() {
    let site = Site::new();
    let other = Catalogue::start(Platform::list(&site.readers, &site.writers));
    // A broken file first, and another twice in a row.
    std::fs::write(&site.file, "{\"name\":").expect("written");
    site.signal(Signal::HUP);
    let calls = site.catalogue.calls();
    until("the old catalogue goes on", || site.catalogue.calls() > calls + 1);
    assert_eq!(ask(site.listen, "txn-1").status, 200);
    let mut config = site.config.clone();
    config["discovery"] = json!(other.address.to_string());
    std::fs::write(&site.file, config.to_string()).expect("written");
    site.signal(Signal::HUP);
    site.signal(Signal::HUP);
    until("the new catalogue is followed", || other.calls() > 1);
    let mut list = Platform::list(&site.readers, &site.writers);
    list[2]["lifecycle"] = json!("draining");
    let calls = other.calls();
    other.set(list);
    until("a change is told", || other.calls() > calls + 1);
    let before = site.floor.asked().len();
    for number in 0..6 {
        assert_eq!(ask(site.listen, &format!("txn-b-{number}")).status, 200);
    }
    assert!(site.floor.asked()[before..].iter().all(|(worker, _)| worker != "w-1"));
}

#[test]
fn a_router_starts_from_its_known_list_when_the_catalogue_is_silent() {
    let floor = Floor::default();
    let (reader, writer) = (Worker::reader("r-1", &floor), Worker::writer("w-1", &floor));
    let known = json!({"generation": 7, "reset": true,
        "instances": [instance(&reader, "prefill", "ready"), instance(&writer, "decode", "ready")]});
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = silent.local_addr().expect("its address").to_string();
    let site = Site::with(|config| {
        config["discovery"] = json!(address);
        config["known"] = known;
    });
    let got: Got = ask(site.listen, "txn-1");
    assert_eq!((got.status, got.whole), (200, true));
    assert_eq!(floor.asked().len(), 2);
}

/// A router that has a list as last held, and finds this catalogue.
fn with_known_list(discovery: SocketAddr) -> Site {
    let floor = Floor::default();
    let (reader, writer) = (Worker::reader("r-1", &floor), Worker::writer("w-1", &floor));
    let entries = [instance(&reader, "prefill", "ready"), instance(&writer, "decode", "ready")];
    Site::with(|config| {
        config["discovery"] = json!(discovery.to_string());
        config["known"] = json!({"generation": 7, "reset": true, "instances": entries});
    })
}

/// Ten processes are killed under load and start again at once, while the catalogue is silent, refuses or talks nonsense.
#[test]
fn nine_of_ten_processes_that_restart_together_are_ready_in_time_whatever_the_catalogue_does() {
    const READY_WITHIN: Duration = Duration::from_secs(10);
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed = TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("its address");
    let nonsense = Catalogue::start(Vec::new());
    nonsense.nonsense(Some("{\"generation\": \"many\"}"));
    for discovery in [silent.local_addr().expect("its address"), closed, nonsense.address] {
        let starting: Vec<_> =
            (0..10).map(|_| std::thread::spawn(move || with_known_list(discovery))).collect();
        let mut sites: Vec<Site> =
            starting.into_iter().map(|site| site.join().expect("it is ready")).collect();
        for site in &mut sites {
            let mut client = TcpStream::connect(site.listen).expect("it listens");
            client.write_all(&head_and_body("in-flight", "{}")).expect("written");
            site.router.kill().expect("it runs");
            site.router.wait().expect("it was started");
        }
        let from = Instant::now();
        sites.iter_mut().for_each(|site| site.router = start(&site.platform.file, Environment::new()));
        let late = sites.iter().filter(|site| {
            while site.health() != 200 && from.elapsed() < READY_WITHIN {
                std::thread::sleep(Duration::from_millis(10));
            }
            from.elapsed() >= READY_WITHIN
        });
        assert!(late.count() <= 1, "{discovery}");
        println!("{discovery}: all but one ready after {:?}", from.elapsed());
        // A request of the same id is another process's now.
        assert_eq!(ask(sites[0].listen, "in-flight").status, 200);
    }
}

#[test]
fn a_configuration_that_cant_be_used_is_one_line_with_file_and_field_and_code_two() {
    let sound =
        json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()});
    type Change = Box<dyn Fn(&mut Value)>;
    let cases: Vec<(&str, Change)> = vec![
        ("'name'", Box::new(|c| c["name"] = json!(3))),
        ("'listen'", Box::new(|c| c["listen"] = json!("nowhere"))),
        ("'discovery'", Box::new(|c| c["discovery"] = Value::Null)),
        ("'settings'", Box::new(|c| c["settings"] = json!([]))),
        ("'settings.services'", Box::new(|c| c["settings"]["services"] = json!([]))),
        ("'limits.sockets'", Box::new(|c| c["limits"] = json!({"sockets": -1}))),
        ("'seed'", Box::new(|c| c["seed"] = json!("xyz"))),
        (
            "'peers'",
            Box::new(|c| {
                c["peer_listen"] = json!("127.0.0.1:0");
                c["peers"] = json!(["x"]);
            }),
        ),
    ];
    for (field, change) in cases {
        let mut config = sound.clone();
        change(&mut config);
        let file = folder().join("config.json");
        std::fs::write(&file, config.to_string()).expect("written");
        let output = start(&file, Environment::new()).wait_with_output().expect("it ends");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{field}: {said}");
        assert!(said.contains(field) && said.contains("config.json") && said.lines().count() == 1, "{said}");
    }
    let output =
        start(&PathBuf::from("/nowhere.json"), Environment::new()).wait_with_output().expect("it ends");
    assert_eq!(output.status.code(), Some(2));
}
