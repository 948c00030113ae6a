//! Runs a scenario on processes of the built program.
//!
//! Engines, the list service and the clients run inside the runner, on one clock; what passed over their
//! sockets is what the five rules are checked against. The view of each router is polled continuously. The
//! real state of each router is known, since the runner sets it.

use super::faults::{DirectedLink, Faults, LinkEnd};
use super::invariants;
use super::liar::Liar;
use super::observations::{
    IssuedOrder, ListSnapshot, Observations, ObservedEvent, ProcessState, StaleRequest, ViewSample,
};
use super::process::Process;
use super::relay::Relays;
use super::report::Report;
use super::scenario::{Action, ActionKind, ListedState, OrderKind, Scenario};
use super::streams::{Recorder, Streams};
use crate::badday;
use crate::checker;
use crate::list_service::{ListService, ListShare};
use crate::load::{Patience, Question};
use crate::ports;
use crate::record::{Ask, Record, What};
use crate::site::{self, Plan, Site, SiteError, OFFICE_KEY};
use gaparch_engine::ConnId;
use gaparch_net::{Credentials, OperationsAddress, OpsClient};
use gaparch_protocol::ops::intent::{Change, DrainMode, Intent, Subject};
use gaparch_protocol::ops::view::{Event, FleetView};
use gaparch_protocol::ops::{Answer, Order, Query, SessionRole};
use gaparch_protocol::versions::AuditFilter;
use gaparch_router::shell::Lag;
use gaparch_scheduler::api::ServerState;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Polling interval per router, and the timeout of an answer: a stopped router gives none.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of the audit query, which covers all routers.
const AUDIT_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval at which an operator polls whether all routers keep an order.
const REPLICATION_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two list changes under churn.
const CHURN_INTERVAL: Duration = Duration::from_millis(100);
/// Busy threads per processor while the machine is starved.
const BUSY_THREADS_PER_CORE: usize = 12;
/// Each query asks for the events of this last period, so that late ones are not missed.
const EVENT_OVERLAP: Duration = Duration::from_secs(3);
/// Maximum number of events per answer.
const MAX_EVENTS: u32 = 200;
/// Interval between two measurements of how late the lab process is.
const LAG_INTERVAL: Duration = Duration::from_millis(20);
/// Time at the end of a run for requests and KV caches to be released.
const SETTLE_TIME: Duration = Duration::from_millis(900);

/// Whether each router runs and has answered since its start; clients use only such routers.
type Reachable = Arc<Mutex<Vec<bool>>>;

struct Runner {
    scenario: Scenario,
    site: Site,
    processes: Vec<Process>,
    /// The addresses at which routers receive datagrams.
    listens: Vec<SocketAddr>,
    faults: Arc<Faults>,
    relays: Relays,
    streams: Streams,
    /// A second list service or a replica, once the scenario has redirected a router to it.
    second: Option<ListService>,
    churn: Vec<JoinHandle<()>>,
    /// Links through which nothing is delivered at present.
    silent: BTreeSet<DirectedLink>,
    began: Instant,
    reachable: Reachable,
    observations: Arc<Mutex<Observations>>,
    copies: PathBuf,
}

/// Runs a scenario with this program, in a folder that is removed afterwards.
///
/// # Errors
/// When something can't be started; failed expectations are in the report.
pub async fn run(scenario: Scenario, program: &Path) -> Result<Report, SiteError> {
    let plan = Plan { routers: scenario.routers, operations: true, processes: true, ..Plan::small(3, 4) };
    let site = Site::start(plan).await?;
    let listens = ports::free(scenario.routers)?;
    let faults = Arc::new(Faults::default());
    let relays = Relays::start(listens.clone(), Arc::clone(&faults), scenario.seed).await?;
    let mut ends: Vec<(LinkEnd, SocketAddr)> =
        site.engines.iter().map(|(name, engine)| (LinkEnd::Engine(name.clone()), engine.address())).collect();
    ends.push((LinkEnd::List, site.list.address()));
    let fronts: Vec<SocketAddr> = (0..scenario.routers).map(|router| site.address(router)).collect();
    let recorder = Recorder { clock: site.clock, record: site.record.clone() };
    let streams = Streams::start(&fronts, &ends, &faults, &recorder).await?;
    let folder = site.state_folder(0).parent().map(Path::to_owned).unwrap_or_default();
    let mut key = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(folder.join("fleet.key"))?;
    writeln!(key, "{}", key_text(scenario.seed))?;
    let mut processes = Vec::new();
    for (router, listen) in listens.iter().enumerate() {
        let seeds: String = (0..scenario.routers.min(2))
            .map(|seed| format!(r#"<seed address="{}"/>"#, relays.address(seed)))
            .collect();
        let confirm =
            scenario.confirm_of(router).map_or(String::new(), |span| format!(r#" confirm="{span}""#));
        let fleet = format!(
            r#"<fleet listen="{listen}" address="{}" key-file="fleet.key" refined="{}"{confirm}>{seeds}</fleet></gaparch>"#,
            relays.address(router),
            !scenario.plain
        );
        let mut text = site.settings(router).replace("</gaparch>", &fleet);
        for (end, at) in &ends {
            let relay = streams.address(end).map_or(at.to_string(), |relay| relay.to_string());
            text = text.replace(&format!("\"{at}\""), &format!("\"{relay}\""));
        }
        let file = |ending: &str| folder.join(format!("{}.{ending}", Site::router_name(router)));
        processes.push(Process::new(program, file("xml"), &text, file("log"))?);
    }
    let reachable = Arc::new(Mutex::new(vec![false; scenario.routers]));
    let observations = Arc::new(Mutex::new(Observations::default()));
    let copies = folder.join("copies");
    let mut runner = Runner {
        scenario,
        site,
        processes,
        listens,
        faults,
        relays,
        streams,
        second: None,
        churn: Vec::new(),
        silent: BTreeSet::new(),
        began: Instant::now(),
        reachable,
        observations,
        copies,
    };
    runner.note_list();
    for router in 0..runner.scenario.routers {
        runner.processes[router].start()?;
        runner.note_at(Duration::ZERO, router, ProcessState::Running);
    }
    let mut tasks = JoinSet::new();
    let began_at = runner.site.clock.at(runner.began.into_std());
    for router in 0..runner.scenario.routers {
        let place = OperationsAddress::Socket(runner.site.state_folder(router).with_extension("sock"));
        let observer = RouterObserver {
            router,
            began: runner.began,
            began_at,
            follows: runner.scenario.confirm_of(router).is_some(),
            observations: Arc::clone(&runner.observations),
            reachable: Arc::clone(&runner.reachable),
        };
        tasks.spawn(observer.sample(place));
    }
    let lab_lag = Arc::new(Lag::default());
    tasks.spawn(measure_lag(Arc::clone(&lab_lag)));
    let load = tokio::spawn(load(runner.questions()));
    runner.run().await?;
    let answered = load.await.unwrap_or_default();
    sleep(SETTLE_TIME).await;
    tasks.shutdown().await;
    runner.observations.lock().unwrap_or_else(PoisonError::into_inner).lab_lag = lab_lag.take();
    runner.query_audit().await;
    runner.judge(answered)
}

impl Runner {
    fn note_state(&self, router: usize, process_state: ProcessState) {
        self.note_at(self.began.elapsed(), router, process_state);
    }

    fn note_at(&self, at: Duration, router: usize, process_state: ProcessState) {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner).process_states.push((
            at,
            router,
            process_state,
        ));
        // A router gets requests again once it has answered a query, since a started process does not listen
        // at once. A stopped one still gets requests and answers them when it continues.
        if process_state != ProcessState::Stopped {
            self.reachable.lock().unwrap_or_else(PoisonError::into_inner)[router] = false;
        }
    }

    /// Notes the current list of the list service.
    fn note_list(&self) {
        let listed = list_snapshot(self.began, &self.site.list.share());
        self.observations.lock().unwrap_or_else(PoisonError::into_inner).lists.push(listed);
    }

    fn record(&self, what: What) {
        self.site.record.add(self.site.clock.now(), what);
    }

    async fn run(&mut self) -> Result<(), SiteError> {
        let mut actions = self.scenario.actions.clone();
        actions.sort_by_key(|d| d.at);
        for action in actions {
            sleep_until(self.began + action.at.duration()).await;
            tracing::info!(day = self.scenario.name, deed = ?action, "performing a scenario action");
            self.perform(&action).await?;
        }
        sleep_until(self.began + self.scenario.lasts.duration()).await;
        for router in 0..self.scenario.routers {
            if self.processes[router].has_ended() {
                let lines = self.processes[router].last_lines();
                let text = format!("router {router} exited unexpectedly: {lines}");
                self.observations.lock().unwrap_or_else(PoisonError::into_inner).crashes.push(text);
            }
        }
        Ok(())
    }

    async fn perform(&mut self, action: &Action) -> Result<(), SiteError> {
        let of = self.scenario.routers;
        let engines: Vec<String> = self.site.engines.keys().cloned().collect();
        let links = action.links(of, &engines);
        for router in action.routers(of) {
            match action.what {
                ActionKind::Kill => {
                    // Requests that reach it in this moment are lost, so the kill is recorded first.
                    self.note_state(router, ProcessState::Killed);
                    self.record(What::RouterKilled { router: Site::router_name(router) });
                    self.processes[router].kill()?;
                }
                ActionKind::Start => {
                    self.processes[router].start()?;
                    self.note_state(router, ProcessState::Running);
                }
                ActionKind::Lie => {
                    self.note_state(router, ProcessState::Killed);
                    self.record(What::RouterKilled { router: Site::router_name(router) });
                    self.processes[router].kill()?;
                    let liar = Liar {
                        name: Site::router_name(router),
                        listen: self.listens[router],
                        address: self.relays.address(router),
                        seeds: (0..of.min(2)).map(|seed| self.relays.address(seed)).collect(),
                        routers: of as u32,
                        key: key_text(self.scenario.seed),
                        clock: self.site.clock,
                    };
                    self.churn.push(tokio::spawn(liar.run()));
                }
                ActionKind::Leave => {
                    self.note_state(router, ProcessState::Left);
                    let unstarted_process = self.unstarted_process(router)?;
                    let mut process = std::mem::replace(&mut self.processes[router], unstarted_process);
                    let left =
                        tokio::task::spawn_blocking(move || process.leave().map(|well| (process, well)));
                    let (process, well) = left.await.map_err(io::Error::other)??;
                    self.processes[router] = process;
                    if !well {
                        let text = format!("router {router} did not exit successfully after SIGTERM");
                        self.observations.lock().unwrap_or_else(PoisonError::into_inner).crashes.push(text);
                    }
                }
                ActionKind::Stop => {
                    self.note_state(router, ProcessState::Stopped);
                    self.record(What::RouterStopped { router: Site::router_name(router), stopped: true });
                    self.processes[router].stop()?;
                }
                ActionKind::Continue => {
                    self.processes[router].resume()?;
                    self.record(What::RouterStopped { router: Site::router_name(router), stopped: false });
                    self.note_state(router, ProcessState::Running);
                }
                ActionKind::Disk => {
                    let lie = action.disk.clone().filter(|lie| lie != "honest");
                    self.processes[router].set_disk(lie);
                }
                ActionKind::Forge => drop(self.relays.forge(router).await),
                ActionKind::CopyFolder => copy(&self.site.state_folder(router), &self.folder_copy(router))?,
                ActionKind::OldFolder => {
                    std::fs::remove_dir_all(self.site.state_folder(router))?;
                    copy(&self.folder_copy(router), &self.site.state_folder(router))?;
                }
                ActionKind::LoseFolder => std::fs::remove_dir_all(self.site.state_folder(router))?,
                ActionKind::Clock => self.processes[router].set_clock(action.ahead.unwrap_or(0)),
                ActionKind::Order
                | ActionKind::List
                | ActionKind::ListRestart
                | ActionKind::OldReplica
                | ActionKind::ListChurn
                | ActionKind::SecondList
                | ActionKind::Cut
                | ActionKind::Stall
                | ActionKind::Reset
                | ActionKind::Links
                | ActionKind::Heal
                | ActionKind::Fault
                | ActionKind::Starve => {}
            }
        }
        if let Some(fault) = action.link_fault() {
            self.set_silent(&links, fault.is_silent());
            self.faults.set(&links, fault);
        }
        match action.what {
            ActionKind::Reset => {
                // Bytes in flight are lost with the stream.
                self.set_silent(&links, true);
                self.faults.reset(&links);
                self.set_silent(&links, false);
            }
            ActionKind::Heal => {
                self.faults.heal();
                let all: Vec<DirectedLink> = self.silent.iter().cloned().collect();
                self.set_silent(&all, false);
            }
            ActionKind::List => {
                let state = match action.state {
                    Some(ListedState::Draining) => ServerState::Draining,
                    Some(ListedState::Gone) => ServerState::Removed,
                    Some(ListedState::Ready) | None => ServerState::Ready,
                };
                let engine = action.engine.as_deref().unwrap_or_default();
                if !self.site.list.set_state(engine, state) {
                    // The engine was removed; it is added again.
                    let spec = self.site.plan().engines.iter().find(|e| e.name == engine);
                    let handle = self.site.engines.get(engine);
                    if let (Some(spec), Some(handle)) = (spec, handle) {
                        self.site.list.set(site::entry(spec, handle.address(), state));
                    }
                }
                self.note_list();
            }
            ActionKind::Order => {
                let change = match (action.order, action.engine.clone().unwrap_or_default()) {
                    (Some(OrderKind::Aside), engine) => Change::Drain { engine, mode: DrainMode::Detach },
                    (Some(OrderKind::Undrain), engine) => Change::Undrain { engine },
                    (Some(OrderKind::Drain) | None, engine) => {
                        Change::Drain { engine, mode: DrainMode::Drain }
                    }
                };
                if let Some(router) = action.routers(of).first().copied() {
                    let operator = Operator {
                        place: OperationsAddress::Socket(
                            self.site.state_folder(router).with_extension("sock"),
                        ),
                        router,
                        routers: of,
                        recorder: Recorder { clock: self.site.clock, record: self.site.record.clone() },
                        began: self.began,
                        observations: Arc::clone(&self.observations),
                    };
                    self.churn.push(tokio::spawn(operator.order(change)));
                }
            }
            ActionKind::ListRestart => {
                self.site.list.restart(self.site.clock);
                self.note_list();
            }
            ActionKind::ListChurn => {
                let (list, observations, began) =
                    (self.site.list.share(), Arc::clone(&self.observations), self.began);
                let until = Instant::now() + action.delay.duration();
                self.churn.push(tokio::spawn(async move {
                    let (_, _, entries) = list.state();
                    let Some(mut entry) = entries.into_iter().next() else { return };
                    let mut on = false;
                    while Instant::now() < until {
                        // A change that has no effect on any request.
                        on = !on;
                        entry.weight = on.then_some(1.0);
                        list.set(entry.clone());
                        let listed = list_snapshot(began, &list);
                        observations.lock().unwrap_or_else(PoisonError::into_inner).lists.push(listed);
                        sleep(CHURN_INTERVAL).await;
                    }
                }));
            }
            ActionKind::SecondList | ActionKind::OldReplica => {
                let address = (Ipv4Addr::LOCALHOST, 0).into();
                let second = match action.what {
                    ActionKind::OldReplica => self.site.list.replica(address, self.site.clock).await?,
                    _ => {
                        let (_, _, entries) = self.site.list.state();
                        ListService::start(address, entries, self.site.clock, Record::default()).await?
                    }
                };
                let links: Vec<DirectedLink> =
                    action.routers(of).into_iter().map(|r| (LinkEnd::Router(r), LinkEnd::List)).collect();
                self.faults.redirect(&links, second.address());
                self.second = Some(second);
            }
            ActionKind::Starve => starve(action.delay.duration()),
            ActionKind::Fault => {
                // The scenario was validated, so there is a fault.
                if let Ok(Some((engine, fault))) = action.fault() {
                    self.site.fault(&engine, fault).await;
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Records for the checker which links become silent or deliver again, in either direction.
    fn set_silent(&mut self, links: &[DirectedLink], silent: bool) {
        for link in links {
            let (router, other) = match link {
                (LinkEnd::Router(router), other) | (other, LinkEnd::Router(router)) => {
                    (*router, other.clone())
                }
                _ => continue,
            };
            let is_silent = |silent: &BTreeSet<DirectedLink>| {
                let there = (LinkEnd::Router(router), other.clone());
                silent.contains(&there) || silent.contains(&(there.1, there.0))
            };
            let before = is_silent(&self.silent);
            match silent {
                true => drop(self.silent.insert(link.clone())),
                false => drop(self.silent.remove(link)),
            }
            let cut = is_silent(&self.silent);
            let router = Site::router_name(router);
            match other {
                LinkEnd::Engine(engine) if cut != before => {
                    self.record(What::Cut { engine, router: Some(router), cut })
                }
                LinkEnd::Clients if cut != before => self.record(What::ClientsCut { router, cut }),
                _ => {}
            }
        }
    }

    fn folder_copy(&self, router: usize) -> PathBuf {
        self.copies.join(Site::router_name(router))
    }

    /// Queries the audit logs of all routers through the first router that answers.
    async fn query_audit(&self) {
        for router in (0..self.scenario.routers).filter(|r| self.scenario.confirm_of(*r).is_some()) {
            let place = OperationsAddress::Socket(self.site.state_folder(router).with_extension("sock"));
            let credentials = Credentials {
                key: Some(OFFICE_KEY.to_owned()),
                role: SessionRole::ReadOnly,
                operator: "rig".to_owned(),
            };
            let ask = async {
                let mut client = OpsClient::connect(&place, &credentials).await.ok()?;
                match client.query(Query::Audit { filter: AuditFilter::default() }).await.ok()? {
                    Answer::Audit { audit } => Some(*audit),
                    _ => None,
                }
            };
            if let Ok(Some(audit)) = timeout(AUDIT_TIMEOUT, ask).await {
                self.observations.lock().unwrap_or_else(PoisonError::into_inner).audit = Some(audit);
                return;
            }
        }
    }

    /// Finds the requests that reached engines after the list service had drained them, and counts all that
    /// arrived.
    fn find_stale_requests(&self) {
        let began_at = self.site.clock.at(self.began.into_std());
        let mut names: BTreeMap<(String, ConnId), String> = BTreeMap::new();
        let mut observations = self.observations.lock().unwrap_or_else(PoisonError::into_inner);
        let (mut stale_requests, mut arrived) = (Vec::new(), BTreeMap::<(String, String), (u64, u64)>::new());
        for entry in self.site.record.entries() {
            let What::Frame { engine, conn, way: gaparch_engine::observe::Way::In, seen: frame } = entry.what
            else {
                continue;
            };
            match frame {
                crate::record::Seen::Hello { router, .. } => {
                    names.insert((engine, conn), router);
                }
                crate::record::Seen::Read { .. } | crate::record::Seen::Write { .. } => {
                    let at = Duration::from_nanos(entry.at.saturating_sub(began_at));
                    let router = names.get(&(engine.clone(), conn)).cloned().unwrap_or_default();
                    let count = arrived.entry((router.clone(), engine.clone())).or_insert((0, 0));
                    match frame {
                        crate::record::Seen::Read { .. } => count.0 += 1,
                        _ => count.1 += 1,
                    }
                    if let Some(since) = observations.drained_since(&engine, at) {
                        stale_requests.push(StaleRequest { router, engine, late: at - since });
                    }
                }
                _ => {}
            }
        }
        (observations.stale_requests, observations.arrived) = (stale_requests, arrived);
    }

    /// A process that is not started, as a placeholder for one that is being ended in another thread.
    fn unstarted_process(&self, router: usize) -> io::Result<Process> {
        let file =
            |ending: &str| self.copies.with_file_name(format!("{}.{ending}", Site::router_name(router)));
        let text = std::fs::read_to_string(file("xml"))?;
        Process::new(Path::new(""), file("xml"), &text, file("log"))
    }

    /// The requests of the scenario's clients, and when each is sent.
    fn questions(&self) -> Load {
        let targets = self.scenario.load_to();
        let one = |n: usize| {
            let router = targets[n % targets.len()];
            let number = n as u64 + 1;
            let question = Question {
                router: Site::router_name(router),
                address: self
                    .streams
                    .address(&LinkEnd::Router(router))
                    .unwrap_or_else(|| self.site.address(router)),
                patience: Patience::Stays,
                ask: Ask(number),
                ..self.site.question(number, 20)
            };
            (router, question)
        };
        // Leaves time for all routers to start, and for the last answers to arrive.
        let from = Duration::from_secs(3);
        let until = self.scenario.lasts.duration().saturating_sub(Duration::from_secs(2));
        let count = (until.saturating_sub(from).as_secs_f64() * self.scenario.rate) as usize;
        Load {
            client: self.site.client(),
            reachable: Arc::clone(&self.reachable),
            questions: (0..count).map(one).collect(),
            from: self.began + from,
            gap: Duration::from_secs_f64(1.0 / self.scenario.rate.max(0.001)),
        }
    }

    fn judge(mut self, answered: Answered) -> Result<Report, SiteError> {
        for router in 0..self.scenario.routers {
            let (_, bytes) = self.relays.sent(router);
            self.observations.lock().unwrap_or_else(PoisonError::into_inner).bytes.push(bytes);
        }
        // Routers are killed in the middle of their work: KV caches that they still hold are not counted
        // against them, but those held too long before are.
        for process in &mut self.processes {
            process.kill()?;
        }
        self.churn.iter().for_each(JoinHandle::abort);
        for router in self.scenario.keep.iter().flat_map(|_| 0..self.scenario.routers) {
            let kept = self.scenario.keep.iter().map(|keep| keep.join(Site::router_name(router)));
            kept.into_iter().try_for_each(|kept| copy(&self.site.state_folder(router), &kept))?;
        }
        self.find_stale_requests();
        let verdict = checker::check_entries(&self.site.record.entries(), &badday::figures(self.site.plan()));
        let observations =
            std::mem::take(&mut *self.observations.lock().unwrap_or_else(PoisonError::into_inner));
        Ok(invariants::judge(&self.scenario, observations, verdict, answered))
    }
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

fn key_text(seed: u64) -> String {
    format!("the-key-of-this-rig-{seed}")
}

fn held_engine(intent: Intent) -> Option<String> {
    match intent.subject {
        Subject::Engine { engine, .. } => Some(engine),
        Subject::Admission {} | Subject::Limit { .. } => None,
    }
}

fn list_snapshot(began: Instant, list: &ListShare) -> ListSnapshot {
    let (epoch, version, entries) = list.state();
    let drained = entries.into_iter().filter(|e| e.state != ServerState::Ready).map(|e| e.engine).collect();
    ListSnapshot { at: began.elapsed(), epoch, version, drained }
}

/// Keeps all processors busy for that long, with several threads each.
fn starve(time: Duration) {
    let until = std::time::Instant::now() + time;
    let cores = std::thread::available_parallelism().map_or(4, usize::from);
    for _ in 0..cores * BUSY_THREADS_PER_CORE {
        std::thread::spawn(move || {
            while std::time::Instant::now() < until {
                std::hint::spin_loop();
            }
        });
    }
}

fn copy(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}

/// An operator who issues an order at one router and waits until all routers keep it.
struct Operator {
    place: OperationsAddress,
    router: usize,
    routers: usize,
    recorder: Recorder,
    began: Instant,
    observations: Arc<Mutex<Observations>>,
}

impl Operator {
    async fn order(self, change: Change) {
        let number = {
            let mut observations = self.observations.lock().unwrap_or_else(PoisonError::into_inner);
            observations.orders.push(IssuedOrder { at: self.began.elapsed(), complete: None, answer: None });
            observations.orders.len() - 1
        };
        let record_order = |at: Option<u64>, routers: &mut dyn Iterator<Item = usize>| {
            let (engine, drained) = match &change {
                Change::Drain { engine, .. } => (engine.clone(), true),
                Change::Undrain { engine } => (engine.clone(), false),
                _ => return,
            };
            for router in routers {
                let (router, engine) = (Site::router_name(router), engine.clone());
                let at = at.unwrap_or_else(|| self.recorder.clock.now());
                self.recorder.record.add(at, What::Ordered { router, engine, drained });
            }
        };
        // An undrained engine may get requests from any router as soon as that router knows of it.
        if matches!(change, Change::Undrain { .. }) {
            record_order(None, &mut (0..self.routers));
        }
        let credentials = Credentials {
            key: Some(OFFICE_KEY.to_owned()),
            role: SessionRole::ReadWrite,
            operator: "rig".to_owned(),
        };
        let Ok(mut client) = OpsClient::connect(&self.place, &credentials).await else { return };
        let order = Order {
            change: change.clone(),
            reason: "a day of the rig".to_owned(),
            force: true,
            revision: None,
        };
        let answer = client.query(Query::Order { order }).await;
        let done = matches!(answer, Ok(Answer::Done { .. }));
        {
            let mut observations = self.observations.lock().unwrap_or_else(PoisonError::into_inner);
            observations.orders[number].answer = Some(format!("{answer:?}"));
        }
        if !done {
            return;
        }
        let held = matches!(change, Change::Drain { .. });
        if held {
            record_order(None, &mut std::iter::once(self.router));
        }
        loop {
            match client.query(Query::OrderReplication {}).await {
                Ok(Answer::OrderReplication { replication: spread }) if spread.complete => break,
                Ok(_) => sleep(REPLICATION_POLL_INTERVAL).await,
                Err(_) => return,
            }
        }
        // From now on all routers must know the order, since it was reported as complete.
        if held {
            record_order(None, &mut (0..self.routers).filter(|r| *r != self.router));
        }
        let mut observations = self.observations.lock().unwrap_or_else(PoisonError::into_inner);
        observations.orders[number].complete = Some(self.began.elapsed());
    }
}

/// The numbers of client requests sent and served.
pub type Answered = (usize, usize);

struct Load {
    client: Option<crate::load::Client>,
    reachable: Reachable,
    questions: Vec<(usize, Question)>,
    from: Instant,
    gap: Duration,
}

async fn load(load: Load) -> Answered {
    let Some(client) = load.client else { return (0, 0) };
    let mut tasks = JoinSet::new();
    for (n, (router, question)) in load.questions.into_iter().enumerate() {
        sleep_until(load.from + load.gap * n as u32).await;
        if load.reachable.lock().unwrap_or_else(PoisonError::into_inner)[router] {
            let client = client.clone();
            tasks.spawn(async move { client.put(question).await });
        }
    }
    let put = tasks.len();
    let served = |a: &crate::load::Answered| matches!(a.end, Some(crate::record::End::Served { .. }));
    let all = tasks.join_all().await;
    (put, all.iter().filter(|a| served(a)).count())
}

/// Measures continuously how late the timers of this process are.
async fn measure_lag(lag: Arc<Lag>) {
    loop {
        let due = Instant::now() + LAG_INTERVAL;
        sleep_until(due).await;
        lag.record(due.elapsed());
    }
}

/// Polls one router.
struct RouterObserver {
    router: usize,
    began: Instant,
    /// The same time on the clock that event times use.
    began_at: u64,
    /// Whether the router is also asked for its list versions.
    follows: bool,
    observations: Arc<Mutex<Observations>>,
    reachable: Reachable,
}

impl RouterObserver {
    /// Polls the router continuously for its view and its events.
    async fn sample(self, place: OperationsAddress) {
        let RouterObserver { router, began, began_at, follows, observations, reachable } = self;
        let credentials = Credentials {
            key: Some(OFFICE_KEY.to_owned()),
            role: SessionRole::ReadOnly,
            operator: "rig".to_owned(),
        };
        let mut client: Option<OpsClient> = None;
        loop {
            sleep(SAMPLE_INTERVAL).await;
            let requested_at = began.elapsed();
            // Events of different tasks reach the event log slightly out of order, so the latest ones are
            // asked for again.
            let since = began_at.saturating_add(nanos(requested_at.saturating_sub(EVENT_OVERLAP)));
            let mut once = async || {
                if client.is_none() {
                    client = OpsClient::connect(&place, &credentials).await.ok();
                }
                let client = client.as_mut()?;
                let view: FleetView = match client.query(Query::Members {}).await.ok()? {
                    Answer::Members { fleet } => *fleet,
                    _ => return None,
                };
                let events: Vec<Event> =
                    match client.query(Query::Events { engine: None, since, max: MAX_EVENTS }).await.ok()? {
                        Answer::Events { events } => events,
                        _ => return None,
                    };
                let versions = match follows {
                    true => match client.query(Query::ListVersions {}).await.ok()? {
                        Answer::ListVersions { versions } => Some(*versions),
                        _ => return None,
                    },
                    false => None,
                };
                let held = match client.query(Query::Intents {}).await.ok()? {
                    Answer::Intents { intents } => intents.into_iter().filter_map(held_engine).collect(),
                    _ => return None,
                };
                Some((view, versions, held, events))
            };
            match timeout(SAMPLE_TIMEOUT, once()).await {
                Ok(Some((view, versions, held, events))) => {
                    let mut observations = observations.lock().unwrap_or_else(PoisonError::into_inner);
                    // An answer to a query from before a kill says nothing about the current process.
                    let process_state = observations.process_state(router, began.elapsed());
                    let answers = process_state.is_some_and(|(since, process_state)| {
                        process_state == ProcessState::Running && since <= requested_at
                    });
                    reachable.lock().unwrap_or_else(PoisonError::into_inner)[router] = answers;
                    observations.samples.push(ViewSample {
                        at: began.elapsed(),
                        requested_at,
                        router,
                        view,
                        versions,
                        held,
                    });
                    for event in events {
                        let at = Duration::from_nanos(event.at.saturating_sub(began_at));
                        let heard = ObservedEvent { at, router, text: event.text };
                        if !observations.events.contains(&heard) {
                            observations.events.push(heard);
                        }
                    }
                }
                // The router is stopped, dead, or not started yet.
                _ => client = None,
            }
        }
    }
}
