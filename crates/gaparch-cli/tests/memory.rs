//! Tests that a platform router process stays under its memory limit, whatever clients and workers send.

mod common;

use common::Site;
use gaparch_config::EXAMPLE;
use gaparch_testbed::platform::{
    ask, events, folder, head_and_body, own_address, raw, read, until, Platform, Response, Step, LONG,
};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::{socket, AddressFamily, SocketType};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const KB_PER_MB: u64 = 1024;
/// The largest body of the protocol.
const MAX_BODY_BYTES: usize = 256 * 1024;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

fn limits(memory_mb: u64, sockets: u64) -> impl FnOnce(&mut Value) {
    move |config| config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets})
}

/// Memory that a process has filled itself, without the pages of its program file, in KiB.
fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let kb = |field: &str| -> u64 {
        let line = status.lines().find_map(|line| line.strip_prefix(field)).unwrap_or_default();
        line.trim().trim_end_matches(" kB").parse().unwrap_or(0)
    };
    kb("RssAnon:") + kb("RssShmem:")
}

/// Measures the peak of a router's memory until it is asked for it.
struct MemoryPeak {
    done: Arc<AtomicBool>,
    sampling: JoinHandle<u64>,
}

impl MemoryPeak {
    fn of(site: &Site) -> MemoryPeak {
        MemoryPeak::of_process(site.router.id())
    }

    fn of_process(pid: u32) -> MemoryPeak {
        let done = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&done);
        let sampling = std::thread::spawn(move || {
            let mut peak = 0;
            while !stop.load(Ordering::Relaxed) {
                peak = resident_kb(pid).max(peak);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        MemoryPeak { done, sampling }
    }

    fn assert_below(self, memory_mb: u64) {
        self.done.store(true, Ordering::Relaxed);
        let peak = self.sampling.join().expect("no panic");
        println!("the router filled {peak} kB of {memory_mb} MB");
        assert!(peak < memory_mb * KB_PER_MB, "the router filled {peak} kB of {memory_mb} MB");
    }
}

/// Makes this many requests with bodies of this length at once, each on its own connection.
fn ask_at_once(to: SocketAddr, requests: usize, body_bytes: usize) -> Vec<JoinHandle<Response>> {
    let body = format!("{{{}}}", " ".repeat(body_bytes - 2));
    let request = |number| head_and_body(&format!("large-{number}"), &body);
    let requests: Vec<Vec<u8>> = (0..requests).map(request).collect();
    requests.into_iter().map(|bytes| std::thread::spawn(move || raw(to, &bytes, LONG))).collect()
}

/// Guards against a kill for memory under hundreds of requests with large bodies at once, whose bytes were
/// bounded one by one, but not in sum.
#[test]
fn many_large_bodies_at_once_stay_under_the_memory_limit() {
    const MEMORY_MB: u64 = 64;
    let site = Site::with(limits(MEMORY_MB, 1024));
    let list = Platform::list(&site.prefill_workers, &site.decode_workers);
    // The requests wait for a decode worker, so their bodies are kept.
    site.publish_list(Platform::without_decode_workers(&list));
    let peak = MemoryPeak::of(&site);
    let large = ask_at_once(site.listen, 400, MAX_BODY_BYTES);
    std::thread::sleep(Duration::from_millis(1200));
    site.publish_list(list);
    assert_eq!(ask(site.listen, "usual").status, 200);
    let statuses: Vec<u16> =
        large.into_iter().map(|client| client.join().expect("no panic").status).collect();
    peak.assert_below(MEMORY_MB);
    // At the bound a request waits, or is rejected so that a retry is harmless.
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served >= 100, "{served} served: {statuses:?}");
}

fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(to).expect("connected");
    socket.set_write_timeout(Some(LONG)).expect("set");
    socket
}

/// Guards against a kill for memory by what clients send ahead of a response, and against a second request that
/// is lost because there was no memory to keep it.
#[test]
fn much_sent_ahead_of_responses_stays_under_the_memory_limit() {
    const MEMORY_MB: u64 = 64;
    let site = Site::with(limits(MEMORY_MB, 1024));
    let list = Platform::list(&site.prefill_workers, &site.decode_workers);
    site.publish_list(Platform::without_decode_workers(&list));
    let peak = MemoryPeak::of(&site);
    let second_body = format!("{{{}}}", " ".repeat(200 * 1024));
    let clients = (0..300).map(|number| {
        let mut socket = connect(site.listen);
        socket.write_all(&head_and_body(&format!("first-{number}"), "{}")).expect("written");
        let second = head_and_body(&format!("second-{number}"), &second_body);
        std::thread::spawn(move || {
            let _ = socket.write_all(&second);
            read_statuses(&mut socket)
        })
    });
    let clients: Vec<JoinHandle<Vec<u16>>> = clients.collect();
    std::thread::sleep(Duration::from_millis(1000));
    site.publish_list(list);
    let statuses: Vec<Vec<u16>> =
        clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    peak.assert_below(MEMORY_MB);
    let is_answered = |statuses: &Vec<u16>| matches!(statuses[..], [200, 200 | 503]);
    assert!(statuses.iter().all(is_answered), "{statuses:?}");
}

/// Reads responses until two streams are complete, a request is rejected or the connection ends. Returns their
/// statuses.
fn read_statuses(socket: &mut TcpStream) -> Vec<u16> {
    socket.set_read_timeout(Some(LONG)).expect("set");
    let mut text = String::new();
    let mut piece = [0; 4096];
    while text.matches("[DONE]").count() < 2 && !text.contains("HTTP/1.1 503") {
        match socket.read(&mut piece) {
            Ok(length) if length > 0 => text.push_str(&String::from_utf8_lossy(&piece[..length])),
            _ => break,
        }
    }
    let status = |rest: &str| rest.get(..3).and_then(|digits| digits.parse().ok()).unwrap_or(0);
    text.split("HTTP/1.1 ").skip(1).map(status).collect()
}

/// Guards against a kill for memory by incomplete heads, of which each connection could hold twice the longest.
#[test]
fn many_incomplete_heads_stay_under_the_memory_limit() {
    const MEMORY_MB: u64 = 6;
    let site = Site::with(limits(MEMORY_MB, 1024));
    let peak = MemoryPeak::of(&site);
    let head = format!("POST /v1/chat/completions HTTP/1.1\r\nX-Long: {}", "x".repeat(8_000));
    let clients: Vec<TcpStream> = (0..480)
        .map(|_| {
            let mut socket = connect(site.listen);
            socket.write_all(head.as_bytes()).expect("written");
            socket
        })
        .collect();
    assert_eq!(ask(site.listen, "usual").status, 200);
    for mut socket in clients {
        let status = read(&mut socket, LONG).status;
        assert!([408, 503].contains(&status), "{status}");
    }
    peak.assert_below(MEMORY_MB);
}

/// Guards against header lines that are kept while a request is open: each needs several times its bytes.
#[test]
fn open_requests_with_many_short_header_lines_stay_under_the_memory_limit() {
    const MEMORY_MB: u64 = 6;
    const HEADER_LINES: usize = 50;
    let site = Site::with(limits(MEMORY_MB, 1024));
    let list = Platform::list(&site.prefill_workers, &site.decode_workers);
    // The requests wait for a decode worker.
    site.publish_list(Platform::without_decode_workers(&list));
    let peak = MemoryPeak::of(&site);
    let lines: String = (0..HEADER_LINES).map(|number| format!("a{number}:b\r\n")).collect();
    let clients: Vec<TcpStream> = (0..480)
        .map(|number| {
            let request = String::from_utf8(head_and_body(&format!("open-{number}"), "{}")).expect("text");
            let request = request.replacen("\r\n", &format!("\r\n{lines}"), 1);
            let mut socket = connect(site.listen);
            socket.write_all(request.as_bytes()).expect("written");
            socket
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1000));
    peak.assert_below(MEMORY_MB);
    site.publish_list(list);
    let statuses: Vec<u16> = clients.into_iter().map(|mut socket| read(&mut socket, LONG).status).collect();
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
}

/// Guards against clients that stop just before the end of their bodies and hold all memory meanwhile: a sound
/// request of the maximum size and a usual one are served, and each of those clients gets its end in time.
#[test]
fn bodies_that_do_not_end_leave_memory_for_sound_requests() {
    const MEMORY_MB: u64 = 64;
    /// The platform allows 3 s; the rest is for a busy machine.
    const ENDS_WITHIN: Duration = Duration::from_secs(5);
    let site = Site::with(limits(MEMORY_MB, 1024));
    let peak = MemoryPeak::of(&site);
    let body = format!("{{{}}}", " ".repeat(MAX_BODY_BYTES - 2));
    let clients = (0..200).map(|number| {
        let mut socket = connect(site.listen);
        let mut request = head_and_body(&format!("stalled-{number}"), &body);
        request.pop();
        std::thread::spawn(move || {
            let connected_at = Instant::now();
            let _ = socket.write_all(&request);
            (read(&mut socket, LONG).status, connected_at.elapsed())
        })
    });
    let clients: Vec<JoinHandle<(u16, Duration)>> = clients.collect();
    std::thread::sleep(Duration::from_millis(200));
    let sound = raw(site.listen, &head_and_body("sound", &body), LONG);
    assert_eq!((sound.status, sound.is_complete), (200, true));
    assert_eq!(ask(site.listen, "usual").status, 200);
    for client in clients {
        let (status, ended_after) = client.join().expect("no panic");
        assert!([408, 503].contains(&status) && ended_after < ENDS_WITHIN, "{status} after {ended_after:?}");
    }
    peak.assert_below(MEMORY_MB);
}

/// Connects a client whose machine buffers little, so that what it does not read stays in the router.
fn connect_with_small_buffer(to: SocketAddr) -> TcpStream {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    set_socket_recv_buffer_size(&socket, 4096).expect("set");
    rustix::net::connect(&socket, &to).expect("connected");
    TcpStream::from(socket)
}

/// Guards against a kill for memory by stream parts that wait for clients that do not read: their number was
/// bounded for each client, but not their bytes.
#[test]
fn streams_to_clients_that_do_not_read_stay_under_the_memory_limit() {
    const MEMORY_MB: u64 = 32;
    const CLIENTS: usize = 80;
    let site = Site::with(limits(MEMORY_MB, 512));
    let event = format!("data: {}\n\n", "x".repeat(16_000));
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    let stream = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk.repeat(300));
    for _ in 0..CLIENTS {
        site.reply_to_next_decode(&[Step::Put(stream.clone().into_bytes()), Step::Hang]);
    }
    let peak = MemoryPeak::of(&site);
    let clients: Vec<TcpStream> = (0..CLIENTS)
        .map(|number| {
            let mut socket = connect_with_small_buffer(site.listen);
            socket.write_all(&head_and_body(&format!("stalled-{number}"), "{}")).expect("written");
            socket.set_read_timeout(Some(LONG)).expect("set");
            socket.read_exact(&mut [0; 1]).expect("the response begins");
            socket
        })
        .collect();
    assert_eq!(ask(site.listen, "usual").status, 200);
    std::thread::sleep(Duration::from_millis(500));
    peak.assert_below(MEMORY_MB);
    drop(clients);
}

/// Guards against a kill for memory by events that workers begin and do not end, each of which could be buffered
/// up to its maximum length.
#[test]
fn long_incomplete_events_stay_under_the_memory_limit() {
    const MEMORY_MB: u64 = 32;
    const STREAMS: usize = 400;
    let site = Site::with(limits(MEMORY_MB, 1024));
    let first = &events()[0];
    let incomplete = format!("data: {}", "x".repeat(60_000));
    let begun = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{first}\r\n{:x}\r\n{incomplete}",
        first.len(),
        MAX_BODY_BYTES
    );
    for _ in 0..STREAMS {
        site.reply_to_next_decode(&[Step::Put(begun.clone().into_bytes()), Step::Hang]);
    }
    let peak = MemoryPeak::of(&site);
    let clients: Vec<JoinHandle<Response>> = (0..STREAMS)
        .map(|number| {
            let (to, request) = (site.listen, head_and_body(&format!("cut-{number}"), "{}"));
            std::thread::spawn(move || raw(to, &request, LONG))
        })
        .collect();
    until("all streams have begun", || site.worker_log.requests().len() >= 2 * STREAMS);
    assert_eq!(ask(site.listen, "usual").status, 200);
    // Each client gets its end, though the event after the first one never does.
    let ended = clients.into_iter().map(|client| client.join().expect("no panic"));
    assert!(ended.into_iter().all(|response| response.status == 200 && !response.is_complete));
    peak.assert_below(MEMORY_MB);
}

/// An appliance that runs until this is dropped.
struct Appliance {
    process: Child,
    listen: SocketAddr,
}

impl Drop for Appliance {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Appliance {
    /// Starts the example site's router, without operators and fleet, with this much memory for request bodies.
    fn start(body_memory: &str) -> Appliance {
        let listen = own_address();
        let settings = EXAMPLE
            .replace("127.0.0.1:8080", &listen.to_string())
            .replace("127.0.0.1:8081", &own_address().to_string())
            .replace("127.0.0.1:8082", &own_address().to_string())
            .replace("body-memory=\"256MiB\"", &format!("body-memory=\"{body_memory}\""));
        let operations = settings.find("<operations").expect("operations");
        let end = settings.find("</fleet>").expect("the fleet") + "</fleet>".len();
        let file = folder().join("gaparch.xml");
        std::fs::write(&file, [&settings[..operations], &settings[end..]].concat()).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_gaparch"));
        command.args(["--log", "error", "serve"]).arg(file).stdout(Stdio::null());
        let process = command.spawn().expect("the program starts");
        until("the appliance listens", || TcpStream::connect(listen).is_ok());
        Appliance { process, listen }
    }
}

/// Guards against a `gaparch serve` whose memory grows with its connections: each of them could hold a body of the
/// maximum length.
#[test]
fn many_bodies_at_an_appliance_stay_under_their_memory() {
    const BODIES_MB: u64 = 32;
    /// For the process and its connections.
    const REST_MB: u64 = 32;
    let appliance = Appliance::start("32MiB");
    let peak = MemoryPeak::of_process(appliance.process.id());
    let head = "POST /v1/messages HTTP/1.1\r\nHost: x\r\nX-Api-Key: change-me-app\r\nContent-Length: 1000000\r\n\r\n";
    let incomplete = [head.as_bytes(), &vec![b'x'; 999_999]].concat();
    let clients = (0..150).map(|_| {
        let (mut socket, bytes) = (connect(appliance.listen), incomplete.clone());
        std::thread::spawn(move || {
            let _ = socket.write_all(&bytes);
            read(&mut socket, LONG).status
        })
    });
    let clients: Vec<JoinHandle<u16>> = clients.collect();
    let statuses: Vec<u16> = clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    peak.assert_below(BODIES_MB + REST_MB);
    // The connection of a rejected body may be reset before its client has read the answer.
    assert!(statuses.iter().all(|status| [0, 408, 503].contains(status)), "{statuses:?}");
}
