//! Plays a day on processes of the built program.
//!
//! Engines, the list service and the clients are the rig's own, on one clock, and what went over their sockets is what
//! the five rules are judged by. What routers think of one another is asked of each of them, all the time; what is true
//! of them the rig knows, since it did it.

use super::day::{Day, Deed, DeedKind, Listed, Wanted};
use super::faults::{End, Faults, Way};
use super::invariants;
use super::liar::Liar;
use super::observations::{Given, Heard, Life, ListedNow, Look, Seen, Stale};
use super::process::Process;
use super::relay::Relays;
use super::report::Report;
use super::streams::{Streams, Witness};
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

/// Between two looks at a router, and for its answer: a stopped one gives none.
const LOOK_EVERY: Duration = Duration::from_millis(100);
const LOOK_WITHIN: Duration = Duration::from_millis(400);
/// For the records of all routers.
const RECORDS_WITHIN: Duration = Duration::from_secs(4);
/// Between two questions whether all keep an order.
const SPREAD_EVERY: Duration = Duration::from_millis(20);
/// Between two changes of a list that changes all the time.
const CHURN: Duration = Duration::from_millis(100);
/// Threads that are busy on each processor while the machine is starved.
const BUSY: usize = 12;
/// Events are asked for from so long ago on.
const EVENTS_OF: Duration = Duration::from_secs(3);
/// Events of one answer.
const EVENTS: u32 = 200;
/// For what is held at the day's end to be let go of.
const SETTLE: Duration = Duration::from_millis(900);

/// Routers that live and have answered since, so that clients are sent to none that does not.
type Lives = Arc<Mutex<Vec<bool>>>;

struct Rig {
    day: Day,
    site: Site,
    processes: Vec<Process>,
    /// Where routers take datagrams.
    listens: Vec<SocketAddr>,
    faults: Arc<Faults>,
    relays: Relays,
    streams: Streams,
    /// A list service that counts for itself, once the day has led somebody to it.
    second: Option<ListService>,
    churn: Vec<JoinHandle<()>>,
    /// Links of routers with engines and clients through which nothing comes now.
    silent: BTreeSet<Way>,
    began: Instant,
    lives: Lives,
    seen: Arc<Mutex<Seen>>,
    copies: PathBuf,
}

/// Plays a day with this program, in a folder that is removed afterwards.
///
/// # Errors
/// When something can't be started; what fell short is in the report.
pub async fn play(day: Day, program: &Path) -> Result<Report, SiteError> {
    let plan = Plan { routers: day.routers, operations: true, processes: true, ..Plan::small(3, 4) };
    let site = Site::start(plan).await?;
    let listens = ports::free(day.routers)?;
    let faults = Arc::new(Faults::default());
    let relays = Relays::start(listens.clone(), Arc::clone(&faults), day.seed).await?;
    let mut ends: Vec<(End, SocketAddr)> =
        site.engines.iter().map(|(name, engine)| (End::Engine(name.clone()), engine.address())).collect();
    ends.push((End::List, site.list.address()));
    let fronts: Vec<SocketAddr> = (0..day.routers).map(|router| site.address(router)).collect();
    let witness = Witness { clock: site.clock, record: site.record.clone() };
    let streams = Streams::start(&fronts, &ends, &faults, &witness).await?;
    let folder = site.state_folder(0).parent().map(Path::to_owned).unwrap_or_default();
    let mut key = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(folder.join("fleet.key"))?;
    writeln!(key, "{}", key_text(day.seed))?;
    let mut processes = Vec::new();
    for (router, listen) in listens.iter().enumerate() {
        let seeds: String = (0..day.routers.min(2))
            .map(|seed| format!(r#"<seed address="{}"/>"#, relays.address(seed)))
            .collect();
        let confirm = day.confirm_of(router).map_or(String::new(), |span| format!(r#" confirm="{span}""#));
        let fleet = format!(
            r#"<fleet listen="{listen}" address="{}" key-file="fleet.key" refined="{}"{confirm}>{seeds}</fleet></gaparch>"#,
            relays.address(router),
            !day.plain
        );
        let mut text = site.settings(router).replace("</gaparch>", &fleet);
        for (end, at) in &ends {
            let relay = streams.address(end).map_or(at.to_string(), |relay| relay.to_string());
            text = text.replace(&format!("\"{at}\""), &format!("\"{relay}\""));
        }
        let file = |ending: &str| folder.join(format!("{}.{ending}", Site::router_name(router)));
        processes.push(Process::new(program, file("xml"), &text, file("log"))?);
    }
    let lives = Arc::new(Mutex::new(vec![false; day.routers]));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let copies = folder.join("copies");
    let mut rig = Rig {
        day,
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
        lives,
        seen,
        copies,
    };
    rig.note_list();
    for router in 0..rig.day.routers {
        rig.processes[router].start()?;
        rig.note_at(Duration::ZERO, router, Life::Running);
    }
    let mut tasks = JoinSet::new();
    let began_at = rig.site.clock.now();
    for router in 0..rig.day.routers {
        let place = OperationsAddress::Socket(rig.site.state_folder(router).with_extension("sock"));
        let eye = Eye {
            router,
            began: rig.began,
            began_at,
            follows: rig.day.confirm_of(router).is_some(),
            seen: Arc::clone(&rig.seen),
            lives: Arc::clone(&rig.lives),
        };
        tasks.spawn(eye.look(place));
    }
    let load = tokio::spawn(load(rig.questions()));
    rig.run().await?;
    let answered = load.await.unwrap_or_default();
    sleep(SETTLE).await;
    tasks.shutdown().await;
    rig.ask_records().await;
    rig.judge(answered)
}

impl Rig {
    fn note(&self, router: usize, life: Life) {
        self.note_at(self.began.elapsed(), router, life);
    }

    fn note_at(&self, at: Duration, router: usize, life: Life) {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).lives.push((at, router, life));
        // It is sent requests again once it has answered a look: a process that was started does not listen at once. One
        // that is stopped answers those that it gets meanwhile when it wakes.
        if life != Life::Stopped {
            self.lives.lock().unwrap_or_else(PoisonError::into_inner)[router] = false;
        }
    }

    /// What the list service has, from now on.
    fn note_list(&self) {
        let listed = listed_now(self.began, &self.site.list.share());
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).lists.push(listed);
    }

    fn record(&self, what: What) {
        self.site.record.add(self.site.clock.now(), what);
    }

    async fn run(&mut self) -> Result<(), SiteError> {
        let mut deeds = self.day.deeds.clone();
        deeds.sort_by_key(|d| d.at);
        for deed in deeds {
            sleep_until(self.began + deed.at.duration()).await;
            tracing::info!(day = self.day.name, ?deed, "a deed");
            self.carry_out(&deed).await?;
        }
        sleep_until(self.began + self.day.lasts.duration()).await;
        for router in 0..self.day.routers {
            if self.processes[router].has_ended() {
                let lines = self.processes[router].last_lines();
                let text = format!("router {router} ended by itself: {lines}");
                self.seen.lock().unwrap_or_else(PoisonError::into_inner).crashes.push(text);
            }
        }
        Ok(())
    }

    async fn carry_out(&mut self, deed: &Deed) -> Result<(), SiteError> {
        let of = self.day.routers;
        let engines: Vec<String> = self.site.engines.keys().cloned().collect();
        let ways = deed.ways(of, &engines);
        for router in deed.routers(of) {
            match deed.what {
                DeedKind::Kill => {
                    // What it was asked just now is lost with it: that is noted before.
                    self.note(router, Life::Killed);
                    self.record(What::RouterKilled { router: Site::router_name(router) });
                    self.processes[router].kill()?;
                }
                DeedKind::Start => {
                    self.processes[router].start()?;
                    self.note(router, Life::Running);
                }
                DeedKind::Lie => {
                    self.note(router, Life::Killed);
                    self.record(What::RouterKilled { router: Site::router_name(router) });
                    self.processes[router].kill()?;
                    let liar = Liar {
                        name: Site::router_name(router),
                        listen: self.listens[router],
                        address: self.relays.address(router),
                        seeds: (0..of.min(2)).map(|seed| self.relays.address(seed)).collect(),
                        routers: of as u32,
                        key: key_text(self.day.seed),
                        clock: self.site.clock,
                    };
                    self.churn.push(tokio::spawn(liar.run()));
                }
                DeedKind::Leave => {
                    self.note(router, Life::Left);
                    let unstarted = self.unstarted(router)?;
                    let mut process = std::mem::replace(&mut self.processes[router], unstarted);
                    let left =
                        tokio::task::spawn_blocking(move || process.leave().map(|well| (process, well)));
                    let (process, well) = left.await.map_err(io::Error::other)??;
                    self.processes[router] = process;
                    if !well {
                        let text = format!("router {router} did not end well at SIGTERM");
                        self.seen.lock().unwrap_or_else(PoisonError::into_inner).crashes.push(text);
                    }
                }
                DeedKind::Stop => {
                    self.note(router, Life::Stopped);
                    self.record(What::RouterStopped { router: Site::router_name(router), stopped: true });
                    self.processes[router].stop()?;
                }
                DeedKind::Continue => {
                    self.processes[router].go_on()?;
                    self.record(What::RouterStopped { router: Site::router_name(router), stopped: false });
                    self.note(router, Life::Running);
                }
                DeedKind::Disk => {
                    let lie = deed.disk.clone().filter(|lie| lie != "honest");
                    self.processes[router].set_disk(lie);
                }
                DeedKind::Forge => drop(self.relays.forge(router).await),
                DeedKind::CopyFolder => copy(&self.site.state_folder(router), &self.copy_of(router))?,
                DeedKind::OldFolder => {
                    std::fs::remove_dir_all(self.site.state_folder(router))?;
                    copy(&self.copy_of(router), &self.site.state_folder(router))?;
                }
                DeedKind::LoseFolder => std::fs::remove_dir_all(self.site.state_folder(router))?,
                DeedKind::Clock => self.processes[router].set_clock(deed.ahead.unwrap_or(0)),
                DeedKind::Order
                | DeedKind::List
                | DeedKind::ListRestart
                | DeedKind::OldReplica
                | DeedKind::ListChurn
                | DeedKind::SecondList
                | DeedKind::Cut
                | DeedKind::Stall
                | DeedKind::Reset
                | DeedKind::Links
                | DeedKind::Heal
                | DeedKind::Fault
                | DeedKind::Starve => {}
            }
        }
        if let Some(fault) = deed.link_fault() {
            self.hush(&ways, fault.is_silent());
            self.faults.set(&ways, fault);
        }
        match deed.what {
            DeedKind::Reset => {
                // What was under way there is lost with the stream.
                self.hush(&ways, true);
                self.faults.reset(&ways);
                self.hush(&ways, false);
            }
            DeedKind::Heal => {
                self.faults.heal();
                let all: Vec<Way> = self.silent.iter().cloned().collect();
                self.hush(&all, false);
            }
            DeedKind::List => {
                let state = match deed.state {
                    Some(Listed::Draining) => ServerState::Draining,
                    Some(Listed::Gone) => ServerState::Removed,
                    Some(Listed::Ready) | None => ServerState::Ready,
                };
                let engine = deed.engine.as_deref().unwrap_or_default();
                if !self.site.list.set_state(engine, state) {
                    // It was gone: it is listed anew.
                    let spec = self.site.plan().engines.iter().find(|e| e.name == engine);
                    let handle = self.site.engines.get(engine);
                    if let (Some(spec), Some(handle)) = (spec, handle) {
                        self.site.list.set(site::entry(spec, handle.address(), state));
                    }
                }
                self.note_list();
            }
            DeedKind::Order => {
                let change = match (deed.order, deed.engine.clone().unwrap_or_default()) {
                    (Some(Wanted::Aside), engine) => Change::Drain { engine, mode: DrainMode::Detach },
                    (Some(Wanted::Undrain), engine) => Change::Undrain { engine },
                    (Some(Wanted::Drain) | None, engine) => Change::Drain { engine, mode: DrainMode::Drain },
                };
                if let Some(router) = deed.routers(of).first().copied() {
                    let operator = Operator {
                        place: OperationsAddress::Socket(
                            self.site.state_folder(router).with_extension("sock"),
                        ),
                        router,
                        routers: of,
                        witness: Witness { clock: self.site.clock, record: self.site.record.clone() },
                        began: self.began,
                        seen: Arc::clone(&self.seen),
                    };
                    self.churn.push(tokio::spawn(operator.order(change)));
                }
            }
            DeedKind::ListRestart => {
                self.site.list.restart(self.site.clock);
                self.note_list();
            }
            DeedKind::ListChurn => {
                let (list, seen, began) = (self.site.list.share(), Arc::clone(&self.seen), self.began);
                let until = Instant::now() + deed.delay.duration();
                self.churn.push(tokio::spawn(async move {
                    let (_, _, entries) = list.state();
                    let Some(mut entry) = entries.into_iter().next() else { return };
                    let mut on = false;
                    while Instant::now() < until {
                        // Something that changes nothing for anybody's requests.
                        on = !on;
                        entry.weight = on.then_some(1.0);
                        list.set(entry.clone());
                        let listed = listed_now(began, &list);
                        seen.lock().unwrap_or_else(PoisonError::into_inner).lists.push(listed);
                        sleep(CHURN).await;
                    }
                }));
            }
            DeedKind::SecondList | DeedKind::OldReplica => {
                let address = (Ipv4Addr::LOCALHOST, 0).into();
                let second = match deed.what {
                    DeedKind::OldReplica => self.site.list.replica(address, self.site.clock).await?,
                    _ => {
                        let (_, _, entries) = self.site.list.state();
                        ListService::start(address, entries, self.site.clock, Record::default()).await?
                    }
                };
                let ways: Vec<Way> =
                    deed.routers(of).into_iter().map(|r| (End::Router(r), End::List)).collect();
                self.faults.detour(&ways, second.address());
                self.second = Some(second);
            }
            DeedKind::Starve => starve(deed.delay.duration()),
            DeedKind::Fault => {
                // The day was checked: there is one.
                if let Ok(Some((engine, fault))) = deed.fault() {
                    self.site.fault(&engine, fault).await;
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Notes for the checker which links are silent, in either direction, from now on.
    fn hush(&mut self, ways: &[Way], silent: bool) {
        for way in ways {
            let (router, other) = match way {
                (End::Router(router), other) | (other, End::Router(router)) => (*router, other.clone()),
                _ => continue,
            };
            let link = |silent: &BTreeSet<Way>| {
                let there = (End::Router(router), other.clone());
                silent.contains(&there) || silent.contains(&(there.1, there.0))
            };
            let before = link(&self.silent);
            match silent {
                true => drop(self.silent.insert(way.clone())),
                false => drop(self.silent.remove(way)),
            }
            let cut = link(&self.silent);
            let router = Site::router_name(router);
            match other {
                End::Engine(engine) if cut != before => {
                    self.record(What::Cut { engine, router: Some(router), cut })
                }
                End::Clients if cut != before => self.record(What::ClientsCut { router, cut }),
                _ => {}
            }
        }
    }

    fn copy_of(&self, router: usize) -> PathBuf {
        self.copies.join(Site::router_name(router))
    }

    /// What the records of all routers say, by the first one that answers.
    async fn ask_records(&self) {
        for router in (0..self.day.routers).filter(|r| self.day.confirm_of(*r).is_some()) {
            let place = OperationsAddress::Socket(self.site.state_folder(router).with_extension("sock"));
            let office = Credentials {
                key: Some(OFFICE_KEY.to_owned()),
                role: SessionRole::ReadOnly,
                operator: "rig".to_owned(),
            };
            let ask = async {
                let mut client = OpsClient::connect(&place, &office).await.ok()?;
                match client.query(Query::Audit { filter: AuditFilter::default() }).await.ok()? {
                    Answer::Audit { audit } => Some(*audit),
                    _ => None,
                }
            };
            if let Ok(Some(audit)) = timeout(RECORDS_WITHIN, ask).await {
                self.seen.lock().unwrap_or_else(PoisonError::into_inner).audit = Some(audit);
                return;
            }
        }
    }

    /// What came to engines that the list service had drained, from whichever router, and how long after.
    fn find_stale(&self) {
        let began_at = self.site.clock.at(self.began.into_std());
        let mut names: BTreeMap<(String, ConnId), String> = BTreeMap::new();
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let (mut stale, mut arrived) = (Vec::new(), BTreeMap::<(String, String), (u64, u64)>::new());
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
                    if let Some(since) = seen.drained_since(&engine, at) {
                        stale.push(Stale { router, engine, late: at - since });
                    }
                }
                _ => {}
            }
        }
        (seen.stale, seen.arrived) = (stale, arrived);
    }

    /// Stands in for a process that is being ended elsewhere.
    fn unstarted(&self, router: usize) -> io::Result<Process> {
        let file =
            |ending: &str| self.copies.with_file_name(format!("{}.{ending}", Site::router_name(router)));
        let text = std::fs::read_to_string(file("xml"))?;
        Process::new(Path::new(""), file("xml"), &text, file("log"))
    }

    /// The questions of the day's clients, and when each is put.
    fn questions(&self) -> Load {
        let targets = self.day.load_to();
        let one = |n: usize| {
            let router = targets[n % targets.len()];
            let number = n as u64 + 1;
            let question = Question {
                router: Site::router_name(router),
                address: self
                    .streams
                    .address(&End::Router(router))
                    .unwrap_or_else(|| self.site.address(router)),
                patience: Patience::Stays,
                ask: Ask(number),
                ..self.site.question(number, 20)
            };
            (router, question)
        };
        // All routers have to be there first, and the last answers have to come.
        let from = Duration::from_secs(3);
        let until = self.day.lasts.duration().saturating_sub(Duration::from_secs(2));
        let count = (until.saturating_sub(from).as_secs_f64() * self.day.rate) as usize;
        Load {
            client: self.site.client(),
            lives: Arc::clone(&self.lives),
            questions: (0..count).map(one).collect(),
            from: self.began + from,
            gap: Duration::from_secs_f64(1.0 / self.day.rate.max(0.001)),
        }
    }

    fn judge(mut self, answered: Answered) -> Result<Report, SiteError> {
        for router in 0..self.day.routers {
            let (_, bytes) = self.relays.sent(router);
            self.seen.lock().unwrap_or_else(PoisonError::into_inner).bytes.push(bytes);
        }
        // In the middle of whatever they do: what they hold is no longer their duty, but what they held before is.
        for process in &mut self.processes {
            process.kill()?;
        }
        self.churn.iter().for_each(JoinHandle::abort);
        for router in self.day.keep.iter().flat_map(|_| 0..self.day.routers) {
            let kept = self.day.keep.iter().map(|keep| keep.join(Site::router_name(router)));
            kept.into_iter().try_for_each(|kept| copy(&self.site.state_folder(router), &kept))?;
        }
        self.find_stale();
        let verdict = checker::check_entries(&self.site.record.entries(), &badday::figures(self.site.plan()));
        let seen = std::mem::take(&mut *self.seen.lock().unwrap_or_else(PoisonError::into_inner));
        Ok(invariants::judge(&self.day, seen, verdict, answered))
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

fn listed_now(began: Instant, list: &ListShare) -> ListedNow {
    let (epoch, version, entries) = list.state();
    let drained = entries.into_iter().filter(|e| e.state != ServerState::Ready).map(|e| e.engine).collect();
    ListedNow { at: began.elapsed(), epoch, version, drained }
}

/// Keeps all processors busy for that long, many times over.
fn starve(time: Duration) {
    let until = std::time::Instant::now() + time;
    let cores = std::thread::available_parallelism().map_or(4, usize::from);
    for _ in 0..cores * BUSY {
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

/// Somebody who gives an order at one router, and waits until all keep it.
struct Operator {
    place: OperationsAddress,
    router: usize,
    routers: usize,
    witness: Witness,
    began: Instant,
    seen: Arc<Mutex<Seen>>,
}

impl Operator {
    async fn order(self, change: Change) {
        let number = {
            let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
            seen.orders.push(Given { at: self.began.elapsed(), complete: None, answer: None });
            seen.orders.len() - 1
        };
        let note = |at: Option<u64>, routers: &mut dyn Iterator<Item = usize>| {
            let (engine, drained) = match &change {
                Change::Drain { engine, .. } => (engine.clone(), true),
                Change::Undrain { engine } => (engine.clone(), false),
                _ => return,
            };
            for router in routers {
                let (router, engine) = (Site::router_name(router), engine.clone());
                let at = at.unwrap_or_else(|| self.witness.clock.now());
                self.witness.record.add(at, What::Ordered { router, engine, drained });
            }
        };
        // What may be sent again is so at whichever router knows first.
        if matches!(change, Change::Undrain { .. }) {
            note(None, &mut (0..self.routers));
        }
        let office = Credentials {
            key: Some(OFFICE_KEY.to_owned()),
            role: SessionRole::ReadWrite,
            operator: "rig".to_owned(),
        };
        let Ok(mut client) = OpsClient::connect(&self.place, &office).await else { return };
        let order = Order {
            change: change.clone(),
            reason: "a day of the rig".to_owned(),
            force: true,
            revision: None,
        };
        let answer = client.query(Query::Order { order }).await;
        let done = matches!(answer, Ok(Answer::Done { .. }));
        {
            let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
            seen.orders[number].answer = Some(format!("{answer:?}"));
        }
        if !done {
            return;
        }
        let held = matches!(change, Change::Drain { .. });
        if held {
            note(None, &mut std::iter::once(self.router));
        }
        loop {
            match client.query(Query::OrderReplication {}).await {
                Ok(Answer::OrderReplication { replication: spread }) if spread.complete => break,
                Ok(_) => sleep(SPREAD_EVERY).await,
                Err(_) => return,
            }
        }
        // From now on all know, or it should not have been said.
        if held {
            note(None, &mut (0..self.routers).filter(|r| *r != self.router));
        }
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.orders[number].complete = Some(self.began.elapsed());
    }
}

/// What came of the day's requests: put, and served.
pub type Answered = (usize, usize);

struct Load {
    client: Option<crate::load::Client>,
    lives: Lives,
    questions: Vec<(usize, Question)>,
    from: Instant,
    gap: Duration,
}

async fn load(load: Load) -> Answered {
    let Some(client) = load.client else { return (0, 0) };
    let mut tasks = JoinSet::new();
    for (n, (router, question)) in load.questions.into_iter().enumerate() {
        sleep_until(load.from + load.gap * n as u32).await;
        if load.lives.lock().unwrap_or_else(PoisonError::into_inner)[router] {
            let client = client.clone();
            tasks.spawn(async move { client.put(question).await });
        }
    }
    let put = tasks.len();
    let served = |a: &crate::load::Answered| matches!(a.end, Some(crate::record::End::Served { .. }));
    let all = tasks.join_all().await;
    (put, all.iter().filter(|a| served(a)).count())
}

/// Looks at one router.
struct Eye {
    router: usize,
    began: Instant,
    /// The same by the clock that events have.
    began_at: u64,
    /// It is asked for versions, too.
    follows: bool,
    seen: Arc<Mutex<Seen>>,
    lives: Lives,
}

impl Eye {
    /// Asks the router for its view, all the time, and what it told of.
    async fn look(self, place: OperationsAddress) {
        let Eye { router, began, began_at, follows, seen, lives } = self;
        let office = Credentials {
            key: Some(OFFICE_KEY.to_owned()),
            role: SessionRole::ReadOnly,
            operator: "rig".to_owned(),
        };
        let mut client: Option<OpsClient> = None;
        loop {
            sleep(LOOK_EVERY).await;
            let asked = began.elapsed();
            // Events of several tasks come to the hub a moment out of order: those of the last while are asked for again.
            let since = began_at.saturating_add(nanos(asked.saturating_sub(EVENTS_OF)));
            let mut once = async || {
                if client.is_none() {
                    client = OpsClient::connect(&place, &office).await.ok();
                }
                let client = client.as_mut()?;
                let view: FleetView = match client.query(Query::Members {}).await.ok()? {
                    Answer::Members { fleet } => *fleet,
                    _ => return None,
                };
                let events: Vec<Event> =
                    match client.query(Query::Events { engine: None, since, max: EVENTS }).await.ok()? {
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
            match timeout(LOOK_WITHIN, once()).await {
                Ok(Some((view, versions, held, events))) => {
                    let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
                    // An answer from before it was killed says nothing of now.
                    let life = seen.life(router, began.elapsed());
                    let answers = life.is_some_and(|(since, life)| life == Life::Running && since <= asked);
                    lives.lock().unwrap_or_else(PoisonError::into_inner)[router] = answers;
                    seen.looks.push(Look { at: began.elapsed(), asked, router, view, versions, held });
                    for event in events {
                        let at = Duration::from_nanos(event.at.saturating_sub(began_at));
                        let heard = Heard { at, router, text: event.text };
                        if !seen.events.contains(&heard) {
                            seen.events.push(heard);
                        }
                    }
                }
                // It is stopped, dead, or not there yet.
                _ => client = None,
            }
        }
    }
}
