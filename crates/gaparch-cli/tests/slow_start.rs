//! Slow start over the routers of a site: a worker that has just started gets no more from all of them together than
//! the settings allow, whatever state its peers are in. The routers are processes, and workers, clients and the
//! discovery service are stand-ins on loopback.

mod common;

use common::start;
use gaparch_testbed::platform::{
    folder, head_and_body, instance, own_address, raw, settings, until, DiscoveryService, Worker,
    WorkerEvent, WorkerLog, LONG,
};
use serde_json::{json, Value};
use std::io::Read;
use std::net::SocketAddr;
use std::process::Child;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const ROUTERS: usize = 24;
const CLIENTS_PER_ROUTER: usize = 6;
/// Between two requests of a client.
const CLIENT_PAUSE: Duration = Duration::from_millis(250);
const WARM_WORKERS: usize = 4;
/// Requests per second that a warm worker of the overloaded role completes.
const WORKER_RATE: f64 = 5.0;
/// How long the routers are in overload before the worker starts, and how long it is watched.
const OVERLOAD: Duration = Duration::from_secs(8);
const WATCHED: Duration = Duration::from_secs(8);

const SLOW_START_SPEED: f64 = 0.28;
const SLOW_START: Duration = Duration::from_secs(14);
const OVERLOAD_FACTOR: f64 = 2.5;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);
/// The number of requests below which a budget has a bound of its own.
const SMALL_BUDGET: f64 = 30.0;

/// The role whose workers are overloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Prefill,
    Decode,
}

/// Routers as processes, ended with this value.
struct Routers(Vec<Child>);

impl Drop for Routers {
    fn drop(&mut self) {
        for router in &mut self.0 {
            let _ = router.kill();
            let _ = router.wait();
        }
    }
}

impl Routers {
    /// Ends the first router, and returns what it has logged of slow starts.
    fn slow_start_log(&mut self) -> Vec<String> {
        let router = &mut self.0[0];
        let _ = router.kill();
        let mut log = String::new();
        if let Some(mut stderr) = router.stderr.take() {
            let _ = stderr.read_to_string(&mut log);
        }
        let is_shown = |line: &&str| line.contains("slow start") || line.contains(" summary open=");
        log.lines().filter(is_shown).map(str::to_owned).collect()
    }
}

/// Clients that send to all routers until they are stopped.
struct Clients {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    fn start(routers: &[SocketAddr]) -> Clients {
        let stopped = Arc::new(AtomicBool::new(false));
        let number = Arc::new(AtomicU64::new(0));
        let targets = routers.iter().flat_map(|address| [*address; CLIENTS_PER_ROUTER]);
        let client = |address: SocketAddr| {
            let (stopped, number) = (Arc::clone(&stopped), Arc::clone(&number));
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let txn = format!("txn-{}", number.fetch_add(1, Ordering::Relaxed));
                    raw(address, &head_and_body(&txn, "{\"stream\":true}"), LONG);
                    thread::sleep(CLIENT_PAUSE);
                }
            })
        };
        let threads = targets.map(client).collect();
        Clients { stopped, threads }
    }

    fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| thread.join().expect("the client ends"));
    }
}

fn site_settings(router: usize) -> Value {
    let mut settings = settings();
    settings["me"] = json!(router);
    settings["replicasOfMe"] = json!(ROUTERS);
    settings["rules"]["coldFrom"] = json!(SLOW_START_SPEED);
    settings["rules"]["rampTimeNs"] = json!(SLOW_START.as_nanos() as u64);
    settings["rules"]["overloadFactor"] = json!(OVERLOAD_FACTOR);
    settings["rules"]["overloadForNs"] = json!(OVERLOAD_WINDOW.as_nanos() as u64);
    settings
}

/// Starts the routers, and waits until they are ready.
fn start_routers(discovery: SocketAddr) -> (Routers, Vec<SocketAddr>) {
    let folder = folder();
    let (mut routers, mut addresses) = (Vec::new(), Vec::new());
    for number in 0..ROUTERS {
        let listen = own_address();
        let config = json!({"name": format!("n{number}"), "listen": listen.to_string(),
            "seed": format!("{:016x}", (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            "discovery": discovery.to_string(), "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
            "settings": site_settings(number)});
        let file = folder.join(format!("n{number}.json"));
        std::fs::write(&file, config.to_string()).expect("written");
        routers.push(start(&file, Vec::new()));
        addresses.push(listen);
    }
    let health =
        |address: &SocketAddr| raw(*address, b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", LONG).status;
    until("the routers are ready", || addresses.iter().all(|address| health(address) == 200));
    (Routers(routers), addresses)
}

fn kind(role: Role) -> &'static str {
    match role {
        Role::Prefill => "prefill",
        Role::Decode => "decode",
    }
}

fn new_worker(role: Role, name: &str, log: &WorkerLog) -> Worker {
    match role {
        Role::Prefill => Worker::prefill(name, log),
        Role::Decode => Worker::decode(name, log),
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970").as_millis() as u64
}

/// The most requests that a worker may get in a window that begins so long after its start.
fn bound(age: Duration) -> f64 {
    let warm = (age.as_secs_f64() / SLOW_START.as_secs_f64()).min(1.0);
    let speed = SLOW_START_SPEED + (1.0 - SLOW_START_SPEED) * warm;
    let budget = OVERLOAD_FACTOR * speed * WORKER_RATE * OVERLOAD_WINDOW.as_secs_f64();
    match budget {
        small if small < SMALL_BUDGET => small + 3.0 * small.sqrt() + 3.0,
        large => large + 2.0 * large.sqrt() + 2.0,
    }
}

/// The windows in which a worker got more than its bound, as requests and bound.
fn overloads(received: &[Instant], started: Instant) -> Vec<(usize, f64)> {
    let windows = received.iter().enumerate().map(|(first, from)| {
        let within = received[first..].iter().take_while(|at| **at - *from < OVERLOAD_WINDOW).count();
        (within, bound(from.saturating_duration_since(started)))
    });
    windows.filter(|(count, bound)| *count as f64 > *bound).collect()
}

/// When a worker received each request.
fn received(log: &WorkerLog, name: &str) -> Vec<Instant> {
    let is_for =
        |event: &WorkerEvent| matches!(event, WorkerEvent::RequestReceived { worker, .. } if worker == name);
    log.log().into_iter().filter(|(_, event)| is_for(event)).map(|(at, _)| at).collect()
}

fn rejections(log: &WorkerLog) -> usize {
    log.events().iter().filter(|event| matches!(event, WorkerEvent::RequestRejected { .. })).count()
}

/// Overloads the warm workers of a role, starts another one, and checks what it gets.
fn check_start_in_overload(overloaded: Role) {
    let log = WorkerLog::default();
    let mut list = Vec::new();
    for role in [Role::Prefill, Role::Decode] {
        for number in 0..WARM_WORKERS {
            let worker = new_worker(role, &format!("{}-{number}", kind(role)), &log);
            if role == overloaded {
                worker.limit_rate(WORKER_RATE);
            }
            list.push(instance(&worker, kind(role), "ready"));
        }
    }
    let discovery = DiscoveryService::start(list.clone());
    let (mut routers, addresses) = start_routers(discovery.address);
    let clients = Clients::start(&addresses);
    thread::sleep(OVERLOAD);
    let rejected = rejections(&log);
    let starting = new_worker(overloaded, "starting", &log);
    let mut entry = instance(&starting, kind(overloaded), "ready");
    entry["startedAtMs"] = json!(unix_ms());
    list.push(entry);
    let started = Instant::now();
    discovery.set_list(list);
    thread::sleep(WATCHED);
    clients.stop();
    let received = received(&log, "starting");
    let completed = OVERLOAD.as_secs_f64() * WORKER_RATE * WARM_WORKERS as f64;
    assert!(rejected as f64 > completed, "no overload: {rejected} rejections");
    assert!(!received.is_empty(), "the worker is not used");
    let overloads = overloads(&received, started);
    let worst = overloads.iter().max_by(|a, b| (a.0 as f64 / a.1).total_cmp(&(b.0 as f64 / b.1)));
    println!(
        "{rejected} rejections, {} requests, windows over their bound: {}",
        received.len(),
        overloads.len()
    );
    let router_log = routers.slow_start_log();
    router_log.iter().for_each(|line| println!("{line}"));
    assert!(router_log.iter().any(|line| line.contains("slow start worker=\"starting\"")), "not logged");
    assert!(
        worst.is_none(),
        "overloaded in {} windows, at worst (requests, bound) {worst:?}",
        overloads.len()
    );
}

#[test]
fn a_started_prefill_worker_is_not_overloaded_while_its_peers_reject() {
    check_start_in_overload(Role::Prefill);
}

#[test]
fn a_started_decode_worker_is_not_overloaded_while_its_peers_reject() {
    check_start_in_overload(Role::Decode);
}
