//! Tests that the bytes the router writes to clients and workers stay the same as those of earlier builds.

mod common;

use common::{put, RunningRouter};
use gaparch_platform_router::Command;
use gaparch_testbed::platform::{events, head_and_body, instance, raw, until, Platform, Step, LONG};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Sends these bytes and returns everything that comes back until the connection ends.
fn response_to(router: &RunningRouter, request: &[u8]) -> String {
    let mut client = TcpStream::connect(router.listen).expect("connected");
    client.write_all(request).expect("written");
    client.set_read_timeout(Some(LONG)).expect("set");
    let mut bytes = Vec::new();
    client.read_to_end(&mut bytes).expect("the end");
    String::from_utf8(bytes).expect("text")
}

/// Returns a response with a text body, after which the connection closes.
fn closing_response(status: &str, text: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{text}",
        text.len()
    )
}

/// Returns a request that asks to close the connection after the response.
fn last_request(txn: &str, remaining_ms: u32) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nX-Txn: {txn}\r\nX-Lane: chat\r\nX-Remaining-Ms: {remaining_ms}\r\n\
         Connection: close\r\nContent-Length: 2\r\n\r\n{{}}"
    )
    .into_bytes()
}

#[test]
fn health_checks_and_rejected_messages() {
    let router = RunningRouter::with(|_| {});
    let health =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let request = b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    assert_eq!(response_to(&router, request), health);

    let post = "POST /v1/chat/completions HTTP/1.1\r\n";
    let valid = "X-Txn: a\r\nX-Lane: chat\r\nX-Remaining-Ms: 100\r\n";
    let cases = [
        ("GET / HTTP/1.1\r\n\r\n".to_owned(), "404 Not Found", "nothing is served there"),
        (
            "GET /v1/chat/completions HTTP/1.1\r\n\r\n".to_owned(),
            "405 Method Not Allowed",
            "that is done with POST",
        ),
        (
            format!("{post}X-Txn: a b\r\n\r\n"),
            "400 Bad Request",
            "X-Txn must be there once: up to 64 letters, digits, '-' or '_'",
        ),
        (format!("{post}X-Txn: a\r\n\r\n"), "400 Bad Request", "X-Lane must name a class of the settings"),
        (
            format!("{post}X-Txn: a\r\nX-Lane: chat\r\n\r\n"),
            "400 Bad Request",
            "X-Remaining-Ms must be a whole number of milliseconds",
        ),
        (
            format!("{post}{valid}X-Org: a\r\nX-Org: b\r\n\r\n"),
            "400 Bad Request",
            "X-Org, X-Entity, X-Labels and X-Resent may be there once each",
        ),
        (format!("{post}{valid}Content-Length: 0\r\n\r\n"), "400 Bad Request", "a request must have a body"),
        (format!("{post}Content-Length: 1, 1\r\n\r\n"), "400 Bad Request", "a length that can't be told"),
        ("noise\r\n\r\n".to_owned(), "400 Bad Request", "no HTTP/1.1 head"),
        (
            format!("{post}{valid}Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
            "400 Bad Request",
            "a chunk whose size can't be read",
        ),
        (
            format!("{post}{valid}Transfer-Encoding: chunked\r\n\r\n3\r\nabcd"),
            "400 Bad Request",
            "a chunk that does not end where its size says",
        ),
        (
            format!("{post}{valid}Transfer-Encoding: chunked\r\n\r\n50000\r\n"),
            "400 Bad Request",
            "a chunk of more bytes than a body may have",
        ),
        (format!("{post}{valid}Content-Length: 300000\r\n\r\n"), "413 Content Too Large", "too long"),
        (
            format!("{post}X: {}\r\n\r\n", "x".repeat(9000)),
            "431 Request Header Fields Too Large",
            "a head of more than 8192 bytes",
        ),
        (post.to_owned(), "408 Request Timeout", "the request did not come in time"),
    ];
    for (request, status, text) in cases {
        assert_eq!(
            response_to(&router, request.as_bytes()),
            closing_response(status, text),
            "{request:.200}"
        );
    }
}

#[test]
fn complete_and_broken_streams() {
    let router = RunningRouter::with(|_| {});
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
        Connection: close\r\n\r\n";
    let all = events().concat();
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    router.reply_to_next_decode(&[put(&format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{all}",
        all.len()
    ))]);
    let expected = format!("{head}{}0\r\n\r\n", chunk(&all));
    assert_eq!(response_to(&router, &last_request("complete", 5000)), expected);

    let first = &events()[0];
    let begun = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(first));
    router.reply_to_next_decode(&[put(&begun), Step::Wait(Duration::from_millis(200)), Step::Close]);
    assert_eq!(response_to(&router, &last_request("broken", 5000)), format!("{head}{}", chunk(first)));
}

#[test]
fn rejected_failed_and_conflicting_requests() {
    let router = RunningRouter::with(|config| {
        config["settings"]["services"][0]["idempotency"] = json!("single_shot");
        config["settings"]["caps"]["retryAfter"] = json!(false);
    });
    router.reply_to_next_decode(&[Step::Wait(Duration::from_millis(100)), Step::Close]);
    let failed = closing_response("500 Internal Server Error", "not answered; it may have run");
    assert_eq!(response_to(&router, &last_request("failed", 5000)), failed);

    let list = Platform::list(&router.prefill_workers, &router.decode_workers);
    router.publish_list(Platform::without_decode_workers(&list));
    let mut open = TcpStream::connect(router.listen).expect("connected");
    open.write_all(&head_and_body("open", "{}")).expect("written");
    std::thread::sleep(Duration::from_millis(100));
    let conflict = closing_response("409 Conflict", "a request of this id is open");
    assert_eq!(response_to(&router, &last_request("open", 5000)), conflict);

    let rejected = closing_response("503 Service Unavailable", "not done; a retry is harmless");
    assert_eq!(response_to(&router, &last_request("rejected", 300)), rejected);
}

/// A worker that records the bytes of each message and answers all of them successfully.
#[derive(Clone)]
struct Recorder {
    address: String,
    answer: &'static str,
    messages: Arc<Mutex<Vec<String>>>,
}

impl Recorder {
    fn start(answer: &'static str) -> Recorder {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("local address").to_string();
        let recorder = Recorder { address, answer, messages: Arc::default() };
        let this = recorder.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(socket));
            }
        });
        recorder
    }

    fn serve(&self, mut socket: TcpStream) {
        while let Some(message) = read_message(&mut socket) {
            let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            let answer = if message.contains(" /v1/") { self.answer } else { ok };
            self.messages.lock().expect("not poisoned").push(message);
            socket.write_all(answer.as_bytes()).expect("written");
        }
    }

    fn entry(&self, router: &RunningRouter, name: &str, kind: &str) -> Value {
        let mut entry = instance(&router.prefill_workers[0], kind, "ready");
        entry["instanceId"] = json!(name);
        entry["hostPort"] = json!(self.address);
        entry
    }

    /// Returns the recorded messages that begin with `prefix`.
    fn recorded(&self, prefix: &str) -> Vec<String> {
        let messages = self.messages.lock().expect("not poisoned");
        messages.iter().filter(|message| message.starts_with(prefix)).cloned().collect()
    }
}

/// Lists only these two workers, and those of the platform as gone.
fn list_only(router: &RunningRouter, prefill: &Recorder, decode: &Recorder) {
    let mut list = Platform::list(&router.prefill_workers, &router.decode_workers);
    list.iter_mut().for_each(|entry| entry["lifecycle"] = json!("gone"));
    list.push(prefill.entry(router, "p", "prefill"));
    list.push(decode.entry(router, "d", "decode"));
    router.publish_list(list);
}

/// Reads a message with its body, whose length the head states; returns `None` at the end of the connection.
fn read_message(socket: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let mut byte = [0];
        if socket.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
        if bytes.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    let head = String::from_utf8(bytes).expect("text");
    let length =
        head.split_once("Content-Length: ").map_or("0", |(_, rest)| rest.lines().next().expect("a line"));
    let mut body = vec![0; length.parse().expect("a number")];
    socket.read_exact(&mut body).ok()?;
    Some(head + std::str::from_utf8(&body).expect("text"))
}

/// Returns the request without the value of `X-Remaining-Ms`, which varies, and that value.
fn without_remaining(request: &str) -> (String, u64) {
    let (before, rest) = request.split_once("X-Remaining-Ms: ").expect("the header");
    let (value, after) = rest.split_once("\r\n").expect("the end");
    (format!("{before}X-Remaining-Ms: \r\n{after}"), value.parse().expect("a number"))
}

#[test]
fn requests_and_probes_to_workers() {
    let router = RunningRouter::with(|_| {});
    let prefill = Recorder::start("HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}");
    let decode = Recorder::start("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n");
    list_only(&router, &prefill, &decode);
    assert_eq!(raw(router.listen, &head_and_body("bytes", "{}"), LONG).status, 200);
    for worker in [&prefill, &decode] {
        let host = &worker.address;
        let expected = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: {host}\r\nX-Txn: bytes\r\nX-Remaining-Ms: \r\n\
             Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        let requests = worker.recorded("POST /v1/");
        let (request, remaining) = without_remaining(&requests[0]);
        assert_eq!((request, requests.len()), (expected, 1));
        assert!((1..=5000).contains(&remaining), "{remaining}");
        for probe in worker.recorded("GET") {
            assert_eq!(probe, format!("GET /ping HTTP/1.1\r\nHost: {host}\r\n\r\n"));
        }
    }
}

/// The KV cache is released after the decode worker has failed the request.
#[test]
fn releases_to_workers() {
    let router =
        RunningRouter::with(|config| config["settings"]["services"][0]["idempotency"] = json!("single_shot"));
    let prefill = Recorder::start("HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}");
    let decode = Recorder::start("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n");
    list_only(&router, &prefill, &decode);
    assert_eq!(raw(router.listen, &head_and_body("bytes", "{}"), LONG).status, 500);
    let released = || [prefill.recorded("DELETE"), decode.recorded("DELETE")].concat();
    until("the KV cache is released", || !released().is_empty());
    let expected = |worker: &Recorder| {
        format!("DELETE /internal/reservations/bytes HTTP/1.1\r\nHost: {}\r\n\r\n", worker.address)
    };
    assert!(released().iter().all(|release| *release == expected(&prefill) || *release == expected(&decode)));
}

#[test]
fn health_check_of_a_router_that_is_shutting_down() {
    let router = RunningRouter::with(|_| {});
    router.send(Command::Shutdown);
    until("the router is shutting down", || router.health() == 503);
    let expected = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\
        Connection: close\r\n\r\n";
    let mut client = TcpStream::connect(router.listen).expect("still accepting connections");
    client.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").expect("written");
    let mut text = String::new();
    client.read_to_string(&mut text).expect("the end");
    assert_eq!(text, expected);
    router.wait_for_shutdown();
}
