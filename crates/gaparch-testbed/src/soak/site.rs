//! The site of a run: its processes, its load, and its troubles as they are played.

use super::clients::{ask, crowd, draw_manner, keep_asking, Asked, Target, CLASSES};
use super::discovery::{DiscoveryService, ListedWorker};
use super::faults::{draw, shape, Event, Shape, Trouble};
use super::judge::{Facts, RouterFacts, WorkerFacts};
use super::processes::{killed_after, Process, Router};
use super::proxy::Proxy;
use super::shim::{Shim, Steering};
use super::worker::{monotonic_ns, Entry};
use super::Options;
use crate::platform::{settings, Flood};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::{spawn_blocking, JoinSet};
use tokio::time::{sleep, sleep_until, Instant};

/// For a router to be there, and for what is open to end.
const READY_WITHIN: Duration = Duration::from_secs(20);
const SETTLE: Duration = Duration::from_millis(5_000);
/// What new connections to a worker may take longer: less than the slack of the time told.
const LATE: Duration = Duration::from_millis(120);
const DESCRIPTORS: usize = 512;
/// Clients of each router that go on with their connection.
const STAYING: u64 = 2;
/// Clients at full speed of a flood.
const FLOOD_CLIENTS: usize = 6;
const MEMORY_MB: usize = 64;
const PORT: u16 = 8080;

/// One worker: its process, its relay and its record.
struct Worker {
    name: String,
    reads: bool,
    process: Process,
    proxy: Proxy,
    record: PathBuf,
    kills: Vec<u64>,
    silences: Vec<u64>,
    resets: Vec<u64>,
}

/// A site in use.
pub(super) struct Site {
    folder: TempDir,
    shim: Shim,
    seed: u64,
    shape: Shape,
    discovery: DiscoveryService,
    listen: Vec<SocketAddr>,
    routers: Vec<Mutex<Router>>,
    workers: Vec<Mutex<Worker>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// An address of this run alone: a port that was free a moment ago could be another run's by now, whose requests have
/// the same ids.
fn own_address(number: usize) -> SocketAddr {
    let process = std::process::id();
    let octets =
        [127, 100 + (process / 250 % 100) as u8, 1 + (process % 250) as u8, 1 + (number % 250) as u8];
    SocketAddr::from((octets, PORT))
}

/// The platform's small deployment with one class of each effect and a slow start of some seconds.
fn soak_settings(routers: usize, deadline: Duration) -> Value {
    let mut all = settings();
    let class = |name: &str, effect: &str| {
        json!({"name": name, "idempotency": effect, "dedupScope": "all", "dedupWindowNs": 2_000_000_000u64,
            "aimNs": deadline.as_nanos() as u64 / 2, "streamed": true, "deadlineNs": deadline.as_nanos() as u64, "worth": 1.0, "lateShare": 0.1})
    };
    all["services"] =
        json!([class(CLASSES[0], "free"), class(CLASSES[1], "guarded"), class(CLASSES[2], "single_shot")]);
    all["familyInfo"]["tokenAimNs"] = json!([50_000_000, 50_000_000, 50_000_000]);
    all["familyInfo"]["aimUsPer1000PromptTokens"] = json!([60_000.0, 60_000.0, 60_000.0]);
    all["rules"]["rampTimeNs"] = json!(4_000_000_000u64);
    all["replicasOfMe"] = json!(routers);
    all
}

impl Site {
    pub async fn start(options: &Options) -> io::Result<Site> {
        let folder = tempfile::tempdir()?;
        let shape = shape(options.seed);
        let shim = Shim::compile(folder.path())?;
        let (mut workers, mut listed) = (Vec::new(), BTreeMap::new());
        for number in 0..options.workers {
            let worker = Worker::start(options, folder.path(), number).await?;
            let kind = if worker.reads { "prefill" } else { "decode" };
            let entry =
                ListedWorker { address: worker.proxy.address, kind, lifecycle: "ready", started_at_ms: 0 };
            listed.insert(worker.name.clone(), entry);
            workers.push(Mutex::new(worker));
        }
        let discovery = DiscoveryService::start(listed, options.routers).await?;
        let (mut routers, mut listen) = (Vec::new(), Vec::new());
        for number in 0..options.routers {
            let address = own_address(options.workers + number);
            let file = folder.path().join(format!("n{number}.json"));
            let config = json!({"name": format!("n{number}"), "listen": address.to_string(),
                "seed": format!("{:016x}", options.seed.wrapping_mul(97).wrapping_add(number as u64)),
                "discovery": discovery.addresses[number].to_string(),
                "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
                "settings": soak_settings(options.routers, shape.patience)});
            let arguments = ["--log", "gaparch_platform_router=debug", "lab", "node"].map(str::to_owned);
            let arguments = [arguments.to_vec(), vec![file.to_string_lossy().into_owned()]].concat();
            let log = folder.path().join(format!("n{number}.log"));
            let process = Process::new(&options.routers_program, arguments, log);
            let steering = Steering::new(folder.path().join(format!("n{number}.faults")))?;
            let mut router =
                Router { process, file, config: config.to_string(), steering, crowds: Vec::new() };
            router.start(&shim, 0, options.seed)?;
            listen.push(address);
            routers.push(Mutex::new(router));
        }
        let site = Site { folder, shim, seed: options.seed, shape, discovery, listen, routers, workers };
        for address in &site.listen {
            ready(*address).await?;
        }
        Ok(site)
    }

    /// Plays the troubles under load; what was seen, and what was played.
    pub async fn play(self, options: &Options) -> io::Result<(Facts, Vec<String>)> {
        let events = draw(options.seed, options.span, options.routers, options.workers);
        let began = Instant::now();
        let site = Arc::new(self);
        let mut troubles = JoinSet::new();
        let mut lines = Vec::new();
        for Event { at, trouble } in events {
            lines.push(format!("{:.2} s {trouble:?}", at.as_secs_f64()));
            let site = Arc::clone(&site);
            troubles.spawn(async move {
                sleep_until(began + at).await;
                site.harm(trouble).await
            });
        }
        let staying = site.staying(began + options.span);
        let mut asked = site.load(options, began).await;
        asked.extend(staying.join_all().await.into_iter().flatten());
        while let Some(done) = troubles.join_next().await {
            done.map_err(io::Error::other)??;
        }
        sleep(SETTLE).await;
        let facts = Facts { slack: options.slack, ..site.facts(asked).await };
        if let Some(folder) = &options.keep {
            keep(site.folder.path(), folder)?;
        }
        Ok((facts, lines))
    }

    fn target(&self, router: usize) -> Target {
        Target { address: self.listen[router], router, patience: self.shape.patience }
    }

    /// Clients that go on with their connections until the time is over.
    fn staying(&self, until: Instant) -> JoinSet<Vec<Asked>> {
        let clients =
            (0..self.listen.len()).flat_map(|router| (0..STAYING).map(move |client| (router, client)));
        clients.map(|(router, client)| keep_asking(self.target(router), client, until)).collect()
    }

    /// Requests to all routers at an even rate.
    async fn load(&self, options: &Options, began: Instant) -> Vec<Asked> {
        let mut draws = ChaCha8Rng::seed_from_u64(options.seed ^ 0x10ad);
        let gap = Duration::from_secs_f64(1.0 / (options.requests_per_s * options.routers as f64));
        let (mut open, mut asked, mut number) = (JoinSet::new(), Vec::new(), 0_u64);
        while began.elapsed() < options.span {
            sleep_until(began + gap * number as u32).await;
            let router = draws.random_range(0..self.listen.len());
            let class = CLASSES[draws.random_range(0..CLASSES.len())];
            open.spawn(ask(self.target(router), number, class, draw_manner(&mut draws)));
            number += 1;
            while let Some(done) = open.try_join_next() {
                asked.extend(done.ok());
            }
        }
        while let Some(done) = open.join_next().await {
            asked.extend(done.ok());
        }
        asked
    }

    async fn harm(&self, trouble: Trouble) -> io::Result<()> {
        match trouble {
            Trouble::KillWorker { worker, away } => self.kill_worker(worker, away).await?,
            Trouble::StopWorker { worker, span } => {
                self.workers[worker].lock().await.process.hold(span).await
            }
            Trouble::DrainWorker { worker, span } => {
                let name = self.workers[worker].lock().await.name.clone();
                self.discovery.set(&name, |listed| listed.lifecycle = "draining");
                sleep(span).await;
                self.discovery.set(&name, |listed| listed.lifecycle = "ready");
            }
            Trouble::SilenceConnections { worker } => {
                let mut worker = self.workers[worker].lock().await;
                worker.proxy.silence();
                worker.silences.push(monotonic_ns());
            }
            Trouble::ResetConnections { worker } => {
                let mut worker = self.workers[worker].lock().await;
                worker.resets.push(monotonic_ns());
                worker.proxy.reset();
            }
            Trouble::LateConnections { worker, span } => {
                self.workers[worker].lock().await.proxy.late(LATE);
                sleep(span).await;
                self.workers[worker].lock().await.proxy.late(Duration::ZERO);
            }
            Trouble::EndRouter { router, clock_ahead_s, signals } => {
                let mut router = self.routers[router].lock().await;
                router.process.leave(signals, killed_after(self.shape.patience)).await;
                router.start(&self.shim, clock_ahead_s, self.seed)?;
            }
            Trouble::KillRouter { router, clock_ahead_s } => {
                let mut router = self.routers[router].lock().await;
                router.process.kill();
                router.start(&self.shim, clock_ahead_s, self.seed)?;
            }
            Trouble::ReloadRouter { router, signals } => {
                let address = self.listen[router];
                let router = self.routers[router].lock().await;
                sleep(router.process.hears_hangup_in()).await;
                ready(address).await?;
                let half = &router.config[..router.config.len() / 2];
                std::fs::write(&router.file, half)?;
                router.process.signal_in_series(Signal::HUP, signals).await;
                sleep(Duration::from_millis(150)).await;
                std::fs::write(&router.file, &router.config)?;
            }
            Trouble::HoldRouter { router, span } => {
                self.routers[router].lock().await.process.hold(span).await
            }
            Trouble::FailCalls { router, span } => {
                let steering = self.routers[router].lock().await.steering.clone();
                steering.set(true)?;
                sleep(span).await;
                steering.set(false)?;
            }
            Trouble::SilenceDiscovery { router, span } => {
                self.discovery.set_silent(router, true);
                sleep(span).await;
                self.discovery.set_silent(router, false);
            }
            Trouble::CrowdRouter { router, connections, span } => {
                let target = self.target(router);
                let from = monotonic_ns();
                let crowding = tokio::spawn(crowd(target, connections, span));
                sleep(span / 4).await;
                let mut router = self.routers[router].lock().await;
                router.process.leave(1, killed_after(self.shape.patience)).await;
                router.start(&self.shim, 0, self.seed)?;
                drop(router);
                crowding.await.map_err(io::Error::other)?;
                self.routers[target.router].lock().await.crowds.push((from, monotonic_ns()));
            }
            Trouble::FloodRouter { router, kind, span } => {
                let flood = Flood::start(self.listen[router], kind, FLOOD_CLIENTS);
                sleep(span).await;
                // Joins the clients' threads.
                spawn_blocking(move || drop(flood)).await.map_err(io::Error::other)?;
            }
            Trouble::WholeLists { span } => {
                self.discovery.send_full_lists(true);
                sleep(span).await;
                self.discovery.send_full_lists(false);
            }
        }
        Ok(())
    }

    async fn kill_worker(&self, worker: usize, away: Duration) -> io::Result<()> {
        let mut worker = self.workers[worker].lock().await;
        worker.kills.push(monotonic_ns());
        worker.process.kill();
        self.discovery.set(&worker.name, |listed| listed.lifecycle = "gone");
        sleep(away).await;
        worker.process.start(&[])?;
        let started = unix_ms();
        self.discovery.set(&worker.name, |listed| {
            (listed.lifecycle, listed.started_at_ms) = ("ready", started);
        });
        Ok(())
    }

    async fn facts(&self, asked: Vec<Asked>) -> Facts {
        let ended_ns = monotonic_ns();
        let mut facts = Facts { asked, delivered: self.discovery.delivered(), ended_ns, ..Facts::default() };
        for worker in &self.workers {
            let mut worker = worker.lock().await;
            worker.process.kill();
            let text = std::fs::read_to_string(&worker.record).unwrap_or_default();
            facts.workers.push(WorkerFacts {
                name: worker.name.clone(),
                reads: worker.reads,
                entries: Entry::read_all(&text),
                stops: worker.process.stops.clone(),
                kills: worker.kills.clone(),
                silences: worker.silences.clone(),
                resets: worker.resets.clone(),
            });
        }
        for router in &self.routers {
            let mut router = router.lock().await;
            router.process.note_crash();
            let (lives, stops) = (router.process.lives.clone(), router.process.stops.clone());
            let crowds = router.crowds.clone();
            facts.routers.push(RouterFacts { lives, stops, crowds, log: router.process.log() });
        }
        facts
    }
}

impl Worker {
    async fn start(options: &Options, folder: &Path, number: usize) -> io::Result<Worker> {
        let reads = number.is_multiple_of(2);
        let name = format!("{}-{number}", if reads { "r" } else { "w" });
        let (address, record) = (own_address(number), folder.join(format!("{name}.record")));
        let mut arguments = ["lab", "soak-worker", "--listen"].map(str::to_owned).to_vec();
        arguments.push(address.to_string());
        arguments.extend(["--record".to_owned(), record.to_string_lossy().into_owned()]);
        arguments.extend(reads.then(|| "--reads".to_owned()));
        let mut process = Process::new(&options.program, arguments, folder.join(format!("{name}.log")));
        process.start(&[])?;
        let proxy = Proxy::start(address).await?;
        Ok(Worker {
            name,
            reads,
            process,
            proxy,
            record,
            kills: Vec::new(),
            silences: Vec::new(),
            resets: Vec::new(),
        })
    }
}

async fn ready(address: SocketAddr) -> io::Result<()> {
    let until = Instant::now() + READY_WITHIN;
    while Instant::now() < until {
        if let Ok(stream) = TcpStream::connect(address).await {
            let mut connection = crate::scale::real::wire::Connection::new(stream);
            let asked = connection.write(b"GET /_health HTTP/1.1\r\nHost: r\r\n\r\n").await.is_some();
            let answer = if asked { connection.head().await } else { None };
            if answer.is_some_and(|head| head.first_line.contains(" 200 ")) {
                return Ok(());
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
    Err(io::Error::other(format!("the router at {address} is not ready")))
}

/// Copies what was logged and recorded.
fn keep(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}
