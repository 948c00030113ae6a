//! A whole site on loopback: engines, a list service and routers, in one process.
//!
//! Each router has a runtime of its own: to kill it is to drop that runtime, which closes its sockets in the
//! middle of whatever it did, as `kill -9` does. All the rest shares one clock, so that the times in the
//! record can be compared.

use crate::checker::{self, Effect, Figures, Verdict};
use crate::list_service::ListService;
use crate::load::{Answered, Client, Patience, Question};
use crate::record::{Ask, Record, What};
use gaparch_config::{Config, Problem};
use gaparch_engine::server::{self, EngineHandle, EngineOptions};
use gaparch_engine::{EngineSpec, Fault};
use gaparch_net::{Clock, Credentials, OperationsAddress, OpsClient, OpsError};
use gaparch_protocol::client::Dialect;
use gaparch_protocol::list::ListEntry;
use gaparch_protocol::ops::intent::{Change, DrainMode};
use gaparch_protocol::ops::view::Snapshot;
use gaparch_protocol::ops::{Answer, Order, Query, SessionRole};
use gaparch_router::core::Counters;
use gaparch_router::shell::{serve_on, Disks};
use gaparch_router::{RouterHandle, ServeError};
use gaparch_scheduler::api::{Nanos, Role, ServerState};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use thiserror::Error;
use tokio::runtime::Runtime;

/// Why a site can't be started.
#[derive(Debug, Error)]
pub enum SiteError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Serve(#[from] ServeError),
    #[error("settings: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Settings(Vec<Problem>),
}

/// A class of the site's settings.
#[derive(Clone, Debug)]
pub struct SiteClass {
    pub name: &'static str,
    /// The rest of its attributes, as in the settings file.
    pub attributes: &'static str,
}

/// What a site is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    pub engines: Vec<EngineSpec>,
    pub routers: usize,
    pub classes: Vec<SiteClass>,
    /// Names and requests a second of their shares; the key is the name with `-key-0001` after it.
    pub tenants: Vec<(&'static str, f64)>,
    /// Further elements and attributes of the settings, where a test wants others.
    pub limits: &'static str,
    pub list_mode: &'static str,
    /// Routers have an operations side, at an address of loopback.
    pub operations: bool,
    /// Routers are processes that somebody else starts, by the site's settings.
    pub processes: bool,
    pub dialect: &'static str,
}

/// Two safe classes.
pub const CLASSES: [SiteClass; 2] = [
    SiteClass {
        name: "question",
        attributes: r#"default="true" effect="safe" aim="1s" aim-per-1000-tokens="60ms" deadline="5s" token-aim="50ms" worth="1" late-worth="0.1" stream-limit="30s" silence-limit="3s""#,
    },
    SiteClass {
        name: "transfer",
        attributes: r#"effect="safe" aim="1500ms" aim-per-1000-tokens="40ms" deadline="6s" token-aim="70ms" worth="3" late-worth="0.3" stream-limit="30s" silence-limit="3s""#,
    },
];

impl Plan {
    /// Readers and writers in turn, over so many zones with racks of two and two.
    pub fn small(readers: usize, writers: usize) -> Plan {
        let place = |n: usize| (["north", "south"][n % 2], ["n1", "s1", "n2", "s2"][n % 4]);
        let reader = |n: usize| EngineSpec::reader(&format!("read-{n}"), place(n).0, place(n).1);
        let writer = |n: usize| EngineSpec::writer(&format!("write-{n}"), place(n).0, place(n).1);
        Plan {
            engines: (0..readers).map(reader).chain((0..writers).map(writer)).collect(),
            routers: 1,
            classes: CLASSES.to_vec(),
            tenants: Vec::new(),
            limits: "",
            list_mode: "push",
            operations: false,
            processes: false,
            dialect: "own",
        }
    }

    /// With engines that cost nothing, so that the router is what is measured.
    pub fn quick(self) -> Plan {
        let quick = |spec: EngineSpec| EngineSpec {
            slots: 4096,
            queue: 4096,
            memory: 50_000_000,
            read_rate: 50_000_000.0,
            step: 1_000_000,
            step_per_answer: 0,
            near_rate: 1e9,
            far_rate: 1e9,
            ..spec
        };
        Plan { engines: self.engines.into_iter().map(quick).collect(), ..self }
    }
}

/// A running site.
pub struct Site {
    pub clock: Clock,
    pub record: Record,
    pub list: ListService,
    pub engines: BTreeMap<String, EngineHandle>,
    plan: Plan,
    routers: Vec<Option<Router>>,
    addresses: Vec<SocketAddr>,
    /// Where routers keep their state.
    state: TempDir,
}

/// Keys of the operators of a site's routers: one who may change things, one who may look.
pub const OFFICE_KEY: &str = "office-key-0000001";
pub const WALL_KEY: &str = "wall-key-00000001";

struct Router {
    handle: RouterHandle,
    runtime: Runtime,
}

/// A router that was killed here ends on threads of its own, which may take a moment to let go of its address.
async fn address_is_free(address: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(10);
    while std::net::TcpListener::bind(address).is_err() && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

impl Site {
    /// Starts everything, engines warm.
    ///
    /// # Errors
    /// When a socket can't be had or the plan makes no sound settings.
    pub async fn start(plan: Plan) -> Result<Site, SiteError> {
        let clock = Clock::default();
        let record = Record::default();
        let mut engines = BTreeMap::new();
        let mut entries = Vec::new();
        for spec in &plan.engines {
            let options = EngineOptions {
                spec: spec.clone(),
                address: (Ipv4Addr::LOCALHOST, 0).into(),
                clock,
                observer: Arc::new(record.clone()),
                warm: true,
            };
            let engine = server::start(options).await?;
            entries.push(entry(spec, engine.address(), ServerState::Ready));
            engines.insert(spec.name.clone(), engine);
        }
        // Between processes there are relays: what those passed on is what a router was told.
        let told = if plan.processes { Record::default() } else { record.clone() };
        let list = ListService::start((Ipv4Addr::LOCALHOST, 0).into(), entries, clock, told).await?;
        let mut site = Site {
            clock,
            record,
            list,
            engines,
            routers: (0..plan.routers).map(|_| None).collect(),
            addresses: crate::ports::free(plan.routers)?,
            state: tempfile::tempdir()?,
            plan,
        };
        if !site.plan.processes {
            for number in 0..site.plan.routers {
                site.start_router(number).await?;
            }
        }
        Ok(site)
    }

    /// Where a router listens; the same after a restart.
    pub fn address(&self, router: usize) -> SocketAddr {
        self.addresses[router]
    }

    pub fn router_name(router: usize) -> String {
        format!("router-{router}")
    }

    /// The settings of a router.
    ///
    /// # Errors
    /// When the plan makes no sound settings.
    pub fn config(&self, router: usize) -> Result<Config, SiteError> {
        Config::parse(&self.settings(router)).map_err(SiteError::Settings)
    }

    /// The text of a router's settings.
    pub fn settings(&self, router: usize) -> String {
        let plan = &self.plan;
        let mut xml = String::new();
        let memory = |role: Role| {
            let of = plan.engines.iter().filter(|e| e.role == role).map(|e| e.memory);
            of.min().unwrap_or(100_000)
        };
        // Writing to a String can't fail.
        let _ = write!(
            xml,
            r#"<gaparch version="1"><router name="{}" number="{router}" routers="{}" zone="{}" seed="{}">
            <listen address="{}" dialect="{}"/></router>
            <zones><zone id="north"/><zone id="south"/></zones><kinds>
            <kind id="read" role="read" memory-tokens="{}"/><kind id="write" role="write" memory-tokens="{}"/>
            <kind id="both" role="both" memory-tokens="{}"/></kinds><classes>"#,
            Site::router_name(router),
            plan.routers.max(1),
            ["north", "south"][router % 2],
            router + 1,
            self.addresses[router],
            plan.dialect,
            memory(Role::Prefill),
            memory(Role::Decode),
            memory(Role::Mixed),
        );
        for class in &plan.classes {
            let _ = write!(xml, r#"<class id="{}" {}/>"#, class.name, class.attributes);
        }
        xml.push_str("</classes>");
        if !plan.tenants.is_empty() {
            xml.push_str(r#"<tenants over-share-worth="0.2">"#);
            for (name, rate) in &plan.tenants {
                let _ = write!(
                    xml,
                    r#"<tenant id="{name}" requests-per-second="{rate}"><key value="{name}-key-0001"/></tenant>"#
                );
            }
            xml.push_str("</tenants>");
        }
        xml.push_str("<engines>");
        for spec in &plan.engines {
            let address = self.engines[&spec.name].address();
            let (kind, zone, rack) = (kind(spec.role), &spec.zone, &spec.rack);
            let _ = write!(
                xml,
                r#"<engine id="{}" address="{address}" kind="{kind}" zone="{zone}" rack="{rack}"/>"#,
                spec.name
            );
        }
        let _ = write!(
            xml,
            r#"</engines><list address="{}" mode="{}"/><attempts reconnect-most="500ms"/>
            <rules release-within="500ms" drain-grace="500ms" cold-from="0.28" cold="14s" fall-multiple="2.5"
             fall="2s"/>{}"#,
            self.list.address(),
            plan.list_mode,
            plan.limits
        );
        if plan.operations {
            let state = self.state_folder(router);
            let _ = write!(
                xml,
                r#"<operations state="{}" socket="{0}.sock" address="127.0.0.1:0" history="2MiB" refusals="4MiB">
                <operator name="office" role="change" key="{OFFICE_KEY}"/>
                <operator name="wall" role="watch" key="{WALL_KEY}"/></operations>"#,
                state.display()
            );
        }
        xml.push_str("</gaparch>");
        xml
    }

    /// The folder in which a router keeps its state, and its operators' socket beside it.
    pub fn state_folder(&self, router: usize) -> PathBuf {
        self.state.path().join(Site::router_name(router))
    }

    /// Starts a router, or starts it again after it was killed.
    ///
    /// # Errors
    /// When its address can't be listened at.
    pub async fn start_router(&mut self, router: usize) -> Result<(), SiteError> {
        self.start_router_on(router, None).await
    }

    /// The same with other disks than a folder.
    ///
    /// # Errors
    /// As for [`start_router`](Site::start_router).
    pub async fn start_router_on(&mut self, router: usize, disks: Option<Disks>) -> Result<(), SiteError> {
        let config = self.config(router)?;
        address_is_free(self.addresses[router]).await;
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let started = runtime.spawn(serve_on(config, disks, Clock::default())).await;
        match started.map_err(std::io::Error::other) {
            Ok(Ok(handle)) => {
                self.routers[router] = Some(Router { handle, runtime });
                Ok(())
            }
            failed => {
                // Dropped here it would panic, and hide why the router did not start.
                runtime.shutdown_background();
                failed?.map(drop).map_err(SiteError::from)
            }
        }
    }

    /// Starts a killed router again once its old process has let go of the state folder: that is when its last
    /// thread has ended.
    ///
    /// # Errors
    /// As for [`start_router`](Site::start_router), if that still holds after ten seconds.
    pub async fn start_again(&mut self, router: usize) -> Result<(), SiteError> {
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            match self.start_router(router).await {
                Err(_) if Instant::now() < until => tokio::time::sleep(Duration::from_millis(20)).await,
                result => return result,
            }
        }
    }

    /// Ends a router in the middle of whatever it does.
    pub fn kill_router(&mut self, router: usize) {
        if let Some(Router { handle, runtime }) = self.routers[router].take() {
            self.record.add(self.clock.now(), What::RouterKilled { router: Site::router_name(router) });
            runtime.shutdown_background();
            drop(handle);
        }
    }

    pub fn router(&self, router: usize) -> Option<&RouterHandle> {
        self.routers[router].as_ref().map(|r| &r.handle)
    }

    /// Ends a router in good order; what it counted.
    pub async fn stop_router(&mut self, router: usize) -> Option<Counters> {
        let Router { handle, runtime } = self.routers[router].take()?;
        let counts = runtime.spawn(handle.stop()).await.ok().flatten();
        runtime.shutdown_background();
        counts
    }

    /// Switches a fault of an engine, and notes it where the checker has to know.
    pub async fn fault(&self, engine: &str, fault: Fault) {
        if let Fault::CutLink(cut) = fault {
            self.record.add(self.clock.now(), What::Cut { engine: engine.to_owned(), router: None, cut });
        }
        if let Some(handle) = self.engines.get(engine) {
            handle.fault(fault).await;
        }
    }

    /// Waits until a router has a connection to every engine, as far as it can be seen from outside.
    pub async fn settle(&self) {
        let wanted = self.plan.routers * self.engines.len();
        for _ in 0..200 {
            let is_router = |e: &crate::record::Entry| {
                matches!(&e.what, What::Note { note: gaparch_engine::observe::Note::Router { .. }, .. })
            };
            if self.record.entries().iter().filter(|e| is_router(e)).count() >= wanted {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Where a router's operators come in.
    pub fn operations(&self, router: usize) -> Option<OperationsAddress> {
        self.router(router)?.operations_address().map(OperationsAddress::Tcp)
    }

    /// Comes in at a router as one who may change things.
    ///
    /// # Errors
    /// When it has no operations side, or is not there.
    pub async fn operator(&self, router: usize) -> Result<Operator, OpsError> {
        let place = self.operations(router).ok_or(OpsError::Protocol)?;
        let office = Credentials {
            key: Some(OFFICE_KEY.to_owned()),
            role: SessionRole::ReadWrite,
            operator: String::new(),
        };
        let client = OpsClient::connect(&place, &office).await?;
        let router = Site::router_name(router);
        Ok(Operator { client, router, clock: self.clock, record: self.record.clone() })
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for router in self.routers.iter_mut().filter_map(Option::take) {
            router.runtime.shutdown_background();
        }
    }
}

/// An operator at a router, whose drains are noted for the checker.
pub struct Operator {
    pub client: OpsClient,
    router: String,
    clock: Clock,
    record: Record,
}

impl Operator {
    /// Orders a change; from when it was ordered, and what was answered.
    ///
    /// # Errors
    /// When the connection is gone.
    pub async fn order(&mut self, change: Change, force: bool) -> Result<(Nanos, Answer), OpsError> {
        let hold = match &change {
            Change::Drain { engine, .. } => Some((engine.clone(), true)),
            Change::Undrain { engine } => Some((engine.clone(), false)),
            _ => None,
        };
        let at = self.clock.now();
        let note = |at, (engine, drained): (String, bool)| {
            let router = self.router.clone();
            self.record.add(at, What::Ordered { router, engine, drained });
        };
        // What may be sent again is so before the router knows; what may not, from when it was told.
        let freed = hold.clone().filter(|(_, drained)| !drained);
        freed.into_iter().for_each(|freed| note(at, freed));
        let order = Order { change, reason: "an operator's test".to_owned(), force, revision: None };
        let answer = self.client.query(Query::Order { order }).await?;
        if matches!(answer, Answer::Done { .. }) {
            hold.filter(|(_, drained)| *drained).into_iter().for_each(|drained| note(at, drained));
        }
        Ok((at, answer))
    }

    /// Drains an engine.
    ///
    /// # Errors
    /// As for [`order`](Operator::order).
    pub async fn drain(&mut self, engine: &str) -> Result<(Nanos, Answer), OpsError> {
        self.order(Change::Drain { engine: engine.to_owned(), mode: DrainMode::Drain }, false).await
    }

    /// Takes a drain back.
    ///
    /// # Errors
    /// As for [`order`](Operator::order).
    pub async fn undrain(&mut self, engine: &str) -> Result<(Nanos, Answer), OpsError> {
        self.order(Change::Undrain { engine: engine.to_owned() }, false).await
    }

    /// How all stands.
    ///
    /// # Errors
    /// When the connection is gone, or the router answers something else.
    pub async fn snapshot(&mut self) -> Result<Snapshot, OpsError> {
        match self.client.query(Query::Snapshot {}).await? {
            Answer::Snapshot { snapshot } => Ok(*snapshot),
            _ => Err(OpsError::Protocol),
        }
    }
}

/// The list's entry of an engine.
pub fn entry(spec: &EngineSpec, address: SocketAddr, state: ServerState) -> ListEntry {
    ListEntry {
        engine: spec.name.clone(),
        address: address.to_string(),
        kind: kind(spec.role).to_owned(),
        zone: spec.zone.clone(),
        rack: spec.rack.clone(),
        state,
        weight: None,
        started_at: None,
    }
}

fn kind(role: Role) -> &'static str {
    match role {
        Role::Prefill => "read",
        Role::Decode => "write",
        Role::Mixed => "both",
    }
}

impl Site {
    /// A plain question to the first router: a class-0 stream of so many tokens from a client that stays.
    pub fn question(&self, number: u64, answer_tokens: u32) -> Question {
        Question {
            ask: Ask(number),
            router: Site::router_name(0),
            address: self.address(0),
            key: None,
            class: 0,
            class_name: self.plan.classes[0].name.to_owned(),
            tenant: 0,
            session: Some(format!("session-{number}")),
            prefix: None,
            prompt_tokens: 400,
            max_tokens: answer_tokens.max(1) * 2,
            answer_tokens,
            stream: true,
            aim: 1_000_000_000,
            deadline: 5_000_000_000 + 48_000_000,
            patience: Patience::Stays,
        }
    }

    /// A client of this site that speaks its dialect.
    pub fn client(&self) -> Option<Client> {
        let dialect = Arc::new(Dialect::builtin(self.plan.dialect)?);
        Some(Client { clock: self.clock, record: self.record.clone(), dialect })
    }

    /// Puts questions at even gaps and waits for all of them; in the order of their numbers.
    pub async fn ask_all(&self, questions: Vec<Question>, gap: Duration) -> Vec<Answered> {
        let Some(client) = self.client() else { return Vec::new() };
        let mut tasks = Vec::new();
        for question in questions {
            let client = client.clone();
            tasks.push(tokio::spawn(async move { client.put(question).await }));
            tokio::time::sleep(gap).await;
        }
        let mut answers = Vec::new();
        for task in tasks {
            answers.extend(task.await);
        }
        answers
    }

    /// Stops the routers in good order after what is held has had time to be let go of, and judges all that
    /// went over the sockets.
    pub async fn judge(&mut self, effects: &[Effect]) -> (Verdict, Counters) {
        tokio::time::sleep(Duration::from_millis(900)).await;
        let mut counts = Counters::default();
        for router in 0..self.plan.routers {
            if let Some(of_one) = self.stop_router(router).await {
                counts.overdue += of_one.overdue;
                counts.requests += of_one.requests;
                counts.served += of_one.served;
                counts.rejected += of_one.rejected;
                counts.failed += of_one.failed;
                counts.client_disconnected += of_one.client_disconnected;
                counts.late_frames += of_one.late_frames;
                counts.protocol_violations += of_one.protocol_violations;
            }
        }
        let figures = crate::badday::figures(&self.plan);
        let effects = if effects.is_empty() { figures.effects.clone() } else { effects.to_vec() };
        (checker::check(&self.record, &Figures { effects, ..figures }), counts)
    }
}
