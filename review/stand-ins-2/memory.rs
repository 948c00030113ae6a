//! The memory of a router while workers are replaced.

use crate::cases::settings;
use crate::discovery::Discovery;
use crate::fleet::{self, Counts, Place};
use crate::router::{Configuration, Router, SIGKILL};
use crate::site::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The most workers that a fleet has, and how many of them are replaced in one release: six in ten, within 7 s.
const WORKERS: usize = 3200;
const REPLACED: usize = WORKERS * 6 / 10;
const STEPS: usize = 7;
const STEP: Duration = Duration::from_millis(1000);
/// The limits of the router. Clients hold at most a third of the descriptors.
const MEMORY_MB: u64 = 33;
const SOCKETS: u64 = 1024;
const CLIENTS: usize = 300;
/// A prompt of 10,000 tokens has 40 KB.
const BODY: usize = 40_000;
const RELEASES: usize = 12;

#[derive(Default)]
struct Answers {
    served: AtomicU64,
    refused: AtomicU64,
    other: AtomicU64,
}

fn entry(name: &str, place: &Place, state: &str, number: usize, started_ms: u128) -> (String, String) {
    let kind = if place.is_writer { "decode" } else { "prefill" };
    let entry = format!(
        "{{\"instanceId\":\"{name}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"{kind}\",\"cell\":{},\
         \"lifecycle\":\"{state}\",\"weight\":1.0,\"startedAtMs\":{started_ms}}}",
        place.address,
        number / 6
    );
    (name.to_owned(), entry)
}

/// A figure of the process's memory in kB.
fn memory_kb(status: &str, field: &str) -> u64 {
    let line = status.lines().find(|line| line.starts_with(field));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn client(router: SocketAddr, number: usize, answers: &Answers, is_over: &AtomicBool) {
    let body = format!("{{\"model\":\"chat\",\"stream\":true,\"prompt\":\"{}\"}}", "y".repeat(BODY));
    let mut asked = 0;
    while !is_over.load(Relaxed) {
        let Ok(mut socket) = TcpStream::connect(router) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = socket.set_nodelay(true);
        let _ = socket.set_read_timeout(Some(Duration::from_secs(9)));
        while !is_over.load(Relaxed) {
            asked += 1;
            let head = format!(
                "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Txn: c{number}-{asked}\r\nX-Lane: chat\r\n\
                 X-Org: acme\r\nX-Entity: s{number}-{}\r\nX-Remaining-Ms: 4800\r\n\
                 X-Labels: prompt_len=10000,max_out=200\r\nContent-Length: {}\r\n\r\n",
                asked / 3,
                body.len()
            );
            if socket.write_all(head.as_bytes()).is_err() || socket.write_all(body.as_bytes()).is_err() {
                break;
            }
            let status = answer(&mut socket);
            match status {
                200 => &answers.served,
                503 | 429 => &answers.refused,
                _ => &answers.other,
            }
            .fetch_add(1, Relaxed);
            if status != 200 {
                thread::sleep(Duration::from_millis(200));
                break;
            }
        }
    }
}

/// Reads an answer and returns its status; 0 if it is not whole.
fn answer(socket: &mut TcpStream) -> u16 {
    let (mut tail, mut status, mut bytes) = (Vec::new(), 0, [0; 8192]);
    loop {
        match socket.read(&mut bytes) {
            Ok(length) if length > 0 => {
                tail.extend_from_slice(&bytes[..length]);
                if status == 0 && tail.len() >= 12 {
                    status = String::from_utf8_lossy(&tail[9..12]).parse().unwrap_or(1);
                }
                let is_whole = status != 200 || tail.ends_with(b"\r\n0\r\n\r\n");
                if status != 0 && is_whole {
                    return status;
                }
                let surplus = tail.len().saturating_sub(64);
                tail.drain(..surplus);
            }
            _ => return 0,
        }
    }
}

pub fn worker_replacement(with_trouble: bool, record: &Record) -> bool {
    fleet::raise_descriptor_limit((WORKERS + REPLACED) as u64 + 2500);
    let counts = Arc::new(Counts::default());
    // New workers get the addresses of workers that have been gone for a whole release.
    let places = fleet::start(WORKERS, &counts);
    let spare = fleet::start(REPLACED, &counts);
    let place = |number: usize, release: usize| {
        if number < REPLACED && release % 2 == 1 { &spare[number] } else { &places[number] }
    };
    let name = |number: usize, release: usize| {
        let release = if number < REPLACED { release } else { 0 };
        format!("s-{release:02x}{number:06x}")
    };
    let all = (0..WORKERS).map(|number| entry(&name(number, 0), place(number, 0), "ready", number, 0)).collect();
    let discovery = Discovery::start_recorded(record, "discovery", all, false);
    let mut configuration = Configuration::new(settings(5000), discovery.whole_list());
    (configuration.memory_mb, configuration.sockets) = (MEMORY_MB, SOCKETS);
    let router = Router::start(&configuration, discovery.address);
    let (listen, id) = (router.listen, router.id());

    let (answers, is_over, is_killed) =
        (Arc::new(Answers::default()), Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    for number in 0..CLIENTS {
        let (answers, is_over) = (Arc::clone(&answers), Arc::clone(&is_over));
        let asking = move || client(listen, number, &answers, &is_over);
        thread::Builder::new().stack_size(256 * 1024).spawn(asking).expect("a thread");
    }
    let platform = {
        let (record, answers, counts) = (record.clone(), Arc::clone(&answers), Arc::clone(&counts));
        let (is_over, is_killed) = (Arc::clone(&is_over), Arc::clone(&is_killed));
        thread::spawn(move || watch(id, &record, &answers, &counts, &is_over, &is_killed))
    };
    thread::sleep(Duration::from_secs(6));
    for release in 1..=RELEASES {
        let now = || SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
        let mut drained: Vec<(String, String)> = Vec::new();
        let mut ending: Vec<&Place> = Vec::new();
        for step in 0..STEPS {
            let numbers = REPLACED * step / STEPS..REPLACED * (step + 1) / STEPS;
            let started = Instant::now();
            if with_trouble {
                let mut changes: Vec<(String, String)> = std::mem::take(&mut drained);
                for number in numbers.clone() {
                    let old = (name(number, release - 1), place(number, release - 1));
                    changes.push(entry(&old.0, old.1, "draining", number, 0));
                    drained.push(entry(&old.0, old.1, "gone", number, 0));
                    changes.push(entry(&name(number, release), place(number, release), "ready", number, now()));
                }
                for place in std::mem::replace(&mut ending, numbers.map(|number| place(number, release - 1)).collect()) {
                    place.end();
                }
                discovery.change(changes);
            }
            thread::sleep(STEP.saturating_sub(started.elapsed()));
            if is_killed.load(Relaxed) {
                break;
            }
        }
        ending.into_iter().for_each(Place::end);
        discovery.change(drained);
        if is_killed.load(Relaxed) {
            break;
        }
        record.line(&format!("release {release} is over"));
    }
    is_over.store(true, Relaxed);
    let _ = platform.join();
    router.end(record);
    is_killed.load(Relaxed)
}

/// The platform: it kills a router whose resident memory is over its limit.
fn watch(
    id: u32,
    record: &Record,
    answers: &Answers,
    counts: &Counts,
    is_over: &AtomicBool,
    is_killed: &AtomicBool,
) {
    let mut said = Instant::now();
    while !is_over.load(Relaxed) && !is_killed.load(Relaxed) {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = memory_kb(&status, "VmRSS:");
        let is_too_much = resident > MEMORY_MB * 1024;
        if is_too_much || said.elapsed() >= Duration::from_secs(1) {
            said = Instant::now();
            record.line(&format!(
                "memory {resident} kB ({} kB of it anonymous), limit {} kB; clients: {} served, {} refused, {} other; \
                 workers: {} reads, {} answers, {} releases, {} probes",
                memory_kb(&status, "RssAnon:"),
                MEMORY_MB * 1024,
                answers.served.load(Relaxed),
                answers.refused.load(Relaxed),
                answers.other.load(Relaxed),
                counts.reads.load(Relaxed),
                counts.answers.load(Relaxed),
                counts.releases.load(Relaxed),
                counts.probes.load(Relaxed),
            ));
        }
        if is_too_much {
            record.line("BROKEN crash: the router is over its memory limit, and the platform kills it");
            crate::router::send_signal(id, SIGKILL);
            is_killed.store(true, Relaxed);
        }
        thread::sleep(Duration::from_millis(50));
    }
}
