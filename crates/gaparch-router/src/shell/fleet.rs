//! The other routers of the site: a socket and a clock around the membership core.
//!
//! It has a task of its own, and waits neither for the owner nor for the disk: what the owner is to know, and what is
//! to be kept, stands in a cell that holds the latest word only, and is taken from there by tasks that may wait.

use super::audit as audit_record;
use super::fleet_orders::{self, Issued, Kept, Shelf};
use super::ops::FleetDisks;
use super::ops::News;
use super::owner::Control;
use super::versions::{Adopt, HeldNews};
use gaparch_audit::{self as audit, AuditQuery, FleetOrder, FleetOrders, ListFollower, OrderOutput};
use gaparch_config::{Config, Fleet};
use gaparch_membership::{
    Connectivity, Membership, MembershipEvent, OpenError, Output, Settings, SiteKey, View,
};
use gaparch_net::{read_key, Clock};
use gaparch_protocol::engine::RouterRun;
use gaparch_protocol::fleet::{MemberState, MAX_DATAGRAM_BYTES};
use gaparch_protocol::ops::view::{
    self, AuditView, FleetView, LinkFault, ListVersionRow, ListVersionsView, MemberView,
    OrderReplicationView, ReplicationRow, RouterAuditRow, Severity, SupersededOrder,
};
use gaparch_protocol::ops::{from_bytes, to_bytes};
use gaparch_protocol::versions::{AuditFilter, OrderId, ReplicationMessage};
use gaparch_store::{Disk, Journal};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// Questions that wait for an answer; whoever has more waits to ask.
const ASKED: usize = 16;
/// What could not be kept is tried again after so long.
const TRY_AGAIN: Duration = Duration::from_secs(1);
/// For the words of one that leaves.
const LEAVE_WITHIN: Duration = Duration::from_millis(500);
/// After a datagram could not be received.
const RECEIVE_AGAIN: Duration = Duration::from_millis(5);
/// The records' meaning: one number.
const SCHEMA: u16 = 1;
/// Records past the one that matters, before the journal is written anew.
const SLACK: u64 = 256;

/// Why a router can't be one of a fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    #[error("can't listen at {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
    #[error("reading the state folder: {0}")]
    State(#[from] tokio::task::JoinError),
}

/// Where what it learns goes.
pub(super) struct Ports {
    pub control: mpsc::Sender<Control>,
    pub news: mpsc::Sender<News>,
    /// The list as the owner has it.
    pub held: watch::Receiver<HeldNews>,
    /// Orders given here that all routers are to keep.
    pub issued: mpsc::Receiver<Issued>,
    /// What was sent, to be recorded.
    pub sent: mpsc::Receiver<audit_record::Message>,
}

enum Ask {
    Audit(AuditFilter, oneshot::Sender<Option<AuditView>>),
    Spread(oneshot::Sender<Option<OrderReplicationView>>),
    View(oneshot::Sender<FleetView>),
    /// `None`: lists are not followed here.
    Versions(oneshot::Sender<Option<ListVersionsView>>),
    Leave(oneshot::Sender<()>),
}

/// Asks how the fleet looks.
#[derive(Clone)]
pub(super) struct Asker(mpsc::Sender<Ask>);

impl Asker {
    /// `None` once the router has ended.
    pub async fn ask(&self) -> Option<FleetView> {
        let (reply, wait) = oneshot::channel();
        self.0.send(Ask::View(reply)).await.ok()?;
        wait.await.ok()
    }

    /// What all records say of that; `None` once the router has ended.
    pub async fn audit(&self, filter: AuditFilter) -> Option<Option<AuditView>> {
        let (reply, wait) = oneshot::channel();
        self.0.send(Ask::Audit(filter, reply)).await.ok()?;
        wait.await.ok()
    }

    /// Which router keeps the orders of the fleet; `None` once the router has ended.
    pub async fn spread(&self) -> Option<Option<OrderReplicationView>> {
        let (reply, wait) = oneshot::channel();
        self.0.send(Ask::Spread(reply)).await.ok()?;
        wait.await.ok()
    }

    /// Which router holds which version; `None` once the router has ended.
    pub async fn versions(&self) -> Option<Option<ListVersionsView>> {
        let (reply, wait) = oneshot::channel();
        self.0.send(Ask::Versions(reply)).await.ok()?;
        wait.await.ok()
    }
}

#[derive(Debug)]
pub(super) struct Running {
    pub address: SocketAddr,
    asks: mpsc::Sender<Ask>,
    tasks: Vec<JoinHandle<()>>,
}

impl Running {
    pub fn asker(&self) -> Asker {
        Asker(self.asks.clone())
    }

    /// Tells the others that this router goes.
    pub async fn leave(&self) {
        let (reply, wait) = oneshot::channel();
        let told = async {
            if self.asks.send(Ask::Leave(reply)).await.is_ok() {
                // Dropped unsent, the task has ended.
                let _ = wait.await;
            }
        };
        let _ = tokio::time::timeout(LEAVE_WITHIN, told).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Datagrams that were dropped before the core saw them.
#[derive(Clone, Copy, Debug, Default)]
struct Dropped {
    forged: u64,
    malformed: u64,
    newer: u64,
}

struct Task {
    core: Membership,
    socket: UdpSocket,
    key: SiteKey,
    clock: Clock,
    dropped: Dropped,
    news: mpsc::Sender<News>,
    routers: watch::Sender<u32>,
    incarnation: watch::Sender<u64>,
    asks: mpsc::Receiver<Ask>,
    newer_told: bool,
    /// What is made of versions, where the settings say for how long a list may go unconfirmed.
    follow: Option<ListFollower>,
    held: watch::Receiver<HeldNews>,
    adopt: watch::Sender<Adopt>,
    /// What is made of orders, where lists are followed, too.
    orders: Option<FleetOrders>,
    issued: mpsc::Receiver<Issued>,
    apply: mpsc::Sender<FleetOrder>,
    applied: mpsc::Receiver<OrderId>,
    keep_orders: watch::Sender<Kept>,
    kept_orders: watch::Receiver<Kept>,
    record: audit_record::Shared,
    /// Questions to all records that are under way.
    gathers: Vec<(AuditQuery, oneshot::Sender<Option<AuditView>>)>,
    nonce: u64,
}

/// Reads what is kept, binds the socket and starts.
///
/// # Errors
/// When the address can't be had. Without a key there is no fleet, and an event says so. A disk that can't be read does not keep a router from starting: what the
/// others witnessed puts it right.
pub(super) async fn start(
    fleet: &Fleet,
    config: &Config,
    run: RouterRun,
    clock: Clock,
    disks: FleetDisks,
    ports: Ports,
) -> Result<Option<Running>, FleetError> {
    let key = read_key(&fleet.key_file).map_err(|e| e.to_string());
    let key = match key.and_then(|key| SiteKey::new(key.as_bytes()).ok_or_else(|| "it is empty".to_owned())) {
        Ok(key) => key,
        Err(why) => {
            // A missing key must not keep a router from routing.
            let file = fleet.key_file.display();
            let text = format!("this router knows of no other: the fleet's key file {file}: {why}");
            let event = view::Event { at: clock.now(), severity: Severity::Fault, engine: None, text };
            // The hub is not there yet, and its queue is empty.
            let _ = ports.news.try_send(News::Happened(event));
            return Ok(None);
        }
    };
    let wrong = |source| FleetError::Listen { address: fleet.listen, source };
    let socket = UdpSocket::bind(fleet.listen).await.map_err(wrong)?;
    let FleetDisks { incarnation, orders, audit, audit_mark } = disks;
    let open = move || {
        let record = audit_record::Shelf::open(audit, audit_mark, run.0);
        (Keeper::open(incarnation), Shelf::open(orders), record)
    };
    let ((keeper, kept), (shelf, orders), (record_shelf, record)) = tokio::task::spawn_blocking(open).await?;
    let record: audit_record::Shared = Arc::new(Mutex::new(record));
    let zone = config.module.zone.and_then(|z| config.names.zones.get(z.0)).cloned().unwrap_or_default();
    let settings = Settings {
        name: config.router.clone(),
        zone,
        build: env!("CARGO_PKG_VERSION").to_owned(),
        address: fleet.address,
        run_id: run.0,
        incarnation: kept.saturating_add(1),
        seeds: fleet.seeds.clone(),
        max_routers: config.module.router_count,
        probe_interval: fleet.period,
        dead_hold: fleet.hold,
        seed: config.module.seed,
        use_extensions: fleet.refined,
    };
    let mut out = Vec::new();
    let core = Membership::new(settings, clock.now(), &mut out);
    let (asks, asks_in) = mpsc::channel(ASKED);
    let (routers, routers_in) = watch::channel(config.module.router_count);
    let (incarnation, incarnation_in) = watch::channel(0);
    let (adopt, adopt_in) = watch::channel(Adopt::default());
    let follow = fleet.confirm.map(|confirm| {
        let settings = audit::FollowerSettings {
            router: config.router.clone(),
            confirm_within: confirm,
            seed: config.module.seed ^ run.0,
        };
        ListFollower::new(settings, clock.now())
    });
    let incarnation_now = kept.saturating_add(1);
    let orders = fleet.confirm.map(|_| {
        FleetOrders::new(&config.router, incarnation_now, config.module.seed ^ run.0, orders, clock.now())
    });
    let (apply, apply_in) = mpsc::channel(fleet_orders::APPLIED);
    let (applied, applied_in) = mpsc::channel(fleet_orders::APPLIED);
    let (keep_orders, keep_orders_in) = watch::channel(Kept::default());
    let (kept_orders, kept_orders_in) = watch::channel(Kept::default());
    let task = Task {
        core,
        socket,
        key,
        clock,
        dropped: Dropped::default(),
        news: ports.news.clone(),
        routers,
        incarnation,
        asks: asks_in,
        newer_told: false,
        follow,
        held: ports.held,
        adopt,
        orders,
        issued: ports.issued,
        apply,
        applied: applied_in,
        keep_orders,
        kept_orders: kept_orders_in,
        record: Arc::clone(&record),
        gathers: Vec::new(),
        nonce: 0,
    };
    let mut tasks = vec![
        tokio::spawn(task.run(out)),
        tokio::spawn(tell_owner(routers_in, ports.control.clone(), Control::Routers)),
        tokio::spawn(keep(keeper, incarnation_in, ports.news.clone())),
    ];
    // Where no list is followed nothing is written for it either.
    if fleet.confirm.is_some() {
        tasks.extend([
            tokio::spawn(tell_owner(adopt_in, ports.control.clone(), Control::Adopt)),
            tokio::spawn(fleet_orders::apply(apply_in, ports.control, applied)),
            tokio::spawn(audit_record::run(record_shelf, record, ports.sent, clock, ports.news.clone())),
            tokio::spawn(fleet_orders::keep(shelf, keep_orders_in, kept_orders, ports.news)),
        ]);
    }
    Ok(Some(Running { address: fleet.listen, asks, tasks }))
}

/// The owner may be busy for a while: it is told what holds once it has time.
async fn tell_owner<T: Clone>(
    mut cell: watch::Receiver<T>,
    control: mpsc::Sender<Control>,
    say: impl Fn(T) -> Control,
) {
    while cell.changed().await.is_ok() {
        let now = cell.borrow_and_update().clone();
        if control.send(say(now)).await.is_err() {
            return;
        }
    }
}

impl Task {
    async fn run(mut self, mut out: Vec<Output>) {
        // One byte more than any router sends shows what is too long.
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            self.carry_out(&mut out);
            let others = self.follow.as_ref().map(ListFollower::next_timer_at).into_iter();
            let others = others.chain(self.orders.as_ref().map(FleetOrders::next_timer_at));
            let others = others.chain(self.gathers.iter().map(|(gather, _)| gather.next_timer_at()));
            let due = others.fold(self.core.next_timer_at(), u64::min);
            let due = Instant::from_std(self.clock.instant(due));
            tokio::select! {
                biased;
                // Before what waits in the socket: a process that was stopped must know it first.
                () = sleep_until(due) => {
                    self.core.on_timer(self.clock.now(), &mut out);
                    self.carry_out(&mut out);
                    self.follow_on(&mut out, ListFollower::on_timer);
                    self.order(&mut out, |orders, now, others, wanted| orders.on_timer(now, others, wanted));
                    self.gather(&mut out);
                }
                Some((change, note)) = self.issued.recv(), if self.orders.is_some() => {
                    self.order(&mut out, |orders, now, _, wanted| orders.issue(now, &change, &note, wanted));
                }
                Some(id) = self.applied.recv(), if self.orders.is_some() => {
                    self.order(&mut out, |orders, now, _, wanted| orders.on_applied(now, &id, wanted));
                }
                Ok(()) = self.kept_orders.changed(), if self.orders.is_some() => {
                    let kept = Kept::clone(&self.kept_orders.borrow_and_update());
                    self.order(&mut out, |orders, now, _, wanted| orders.on_stored(now, &kept, wanted));
                }
                Ok(()) = self.held.changed(), if self.follow.is_some() => {
                    let news = self.held.borrow_and_update().clone();
                    self.follow_on(&mut out, |follow, now, _, _| follow.on_list(now, news.list, news.sure_at));
                }
                ask = self.asks.recv() => match ask {
                    Some(Ask::View(reply)) => {
                        // Who asked may have left.
                        let _ = reply.send(self.view());
                    }
                    Some(Ask::Audit(filter, reply)) => self.ask_all(filter, reply, &mut out),
                    Some(Ask::Spread(reply)) => {
                        let _ = reply.send(self.spread());
                    }
                    Some(Ask::Versions(reply)) => {
                        let view = self.follow.as_ref().map(|follow| versions(follow.view()));
                        let _ = reply.send(view);
                    }
                    Some(Ask::Leave(reply)) => {
                        self.core.leave(self.clock.now(), &mut out);
                        self.carry_out(&mut out);
                        let _ = reply.send(());
                        return;
                    }
                    None => return,
                },
                came = self.socket.recv_from(&mut datagram) => match came {
                    Ok((length, _)) => self.on_datagram(&datagram[..length], &mut out),
                    // An earlier datagram was not wanted somewhere, or the system is short of something: nothing is
                    // wrong here, and asking again without a pause would take a whole core for as long.
                    Err(_) => sleep(RECEIVE_AGAIN).await,
                },
            }
        }
    }

    fn on_datagram(&mut self, datagram: &[u8], out: &mut Vec<Output>) {
        match self.key.open(datagram) {
            Ok(message) => self.core.on_message(self.clock.now(), message, out),
            Err(OpenError::BadTag) => self.dropped.forged += 1,
            Err(OpenError::TooLong | OpenError::Malformed) => self.dropped.malformed += 1,
            Err(OpenError::UnsupportedVersion(version)) => {
                self.dropped.newer += 1;
                if !std::mem::replace(&mut self.newer_told, true) {
                    let text = format!(
                        "a router speaks version {version} of the fleet's protocol, which is not known here"
                    );
                    self.tell(Severity::Warning, text);
                }
            }
        }
    }

    fn carry_out(&mut self, out: &mut Vec<Output>) {
        let mut talks = Vec::new();
        for output in out.drain(..) {
            match output {
                Output::Send { to, message } => {
                    if let Some(datagram) = self.key.seal(&message) {
                        // One that can't be sent now is lost, as any may be.
                        let _ = self.socket.try_send_to(&datagram, to);
                    }
                }
                Output::PersistIncarnation { incarnation } => {
                    self.orders.iter_mut().for_each(|orders| orders.on_incarnation(incarnation));
                    self.incarnation.send_replace(incarnation);
                }
                Output::RouterCount(routers) => drop(self.routers.send_replace(routers)),
                Output::Payload { from, bytes } => {
                    // A word that is not known here is of a newer build.
                    if let Some(talk) = from_bytes::<ReplicationMessage>(&bytes) {
                        talks.push((from, talk));
                    }
                }
                Output::Event(what) => {
                    if let (MembershipEvent::Resumed { .. }, Some(follow)) = (&what, &mut self.follow) {
                        follow.on_resumed(self.clock.now());
                    }
                    let severity = severity(&what);
                    match severity {
                        Some(severity) => self.tell(severity, what.to_string()),
                        None => tracing::debug!("{what}"),
                    }
                }
            }
        }
        for (from, talk) in talks {
            self.on_audit(&from, &talk, out);
            self.order(out, |orders, now, _, wanted| orders.on_message(now, &from, &talk, wanted));
            self.follow_on(out, |follow, now, _, answers| follow.on_message(now, &from, talk, answers));
        }
    }

    /// Lets the one that keeps orders do something, and does what it wants.
    fn order(
        &mut self,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut FleetOrders, u64, Vec<String>, &mut Vec<OrderOutput>),
    ) {
        let now = self.clock.now();
        let Some(orders) = &mut self.orders else { return };
        let mut wanted = Vec::new();
        act(orders, now, self.core.present_peers(), &mut wanted);
        for one in wanted {
            match one {
                OrderOutput::Send { to, message } => {
                    self.core.send_payload(now, &to, to_bytes(&message), out)
                }
                // One that finds no room is handed over again.
                OrderOutput::Apply(order) => drop(self.apply.try_send(order)),
                OrderOutput::Persist(all) => drop(self.keep_orders.send_replace(Kept::new(all))),
                OrderOutput::Event(what) => self.tell(Severity::Warning, what.to_string()),
            }
        }
    }

    /// Asks all routers that may be alive what their records say.
    fn ask_all(
        &mut self,
        filter: AuditFilter,
        reply: oneshot::Sender<Option<AuditView>>,
        out: &mut Vec<Output>,
    ) {
        if self.follow.is_none() || self.gathers.len() >= ASKED {
            return drop(reply.send(None));
        }
        let stays = |m: &gaparch_membership::MemberView| m.state != MemberState::Left;
        let routers = self.core.view().members.into_iter().filter(stays).map(|m| m.info.name).collect();
        self.nonce += 1;
        self.gathers.push((AuditQuery::new(self.nonce, filter, routers, self.clock.now()), reply));
        self.gather(out);
    }

    /// Asks on, and answers whoever asked once all is there or the time is over.
    fn gather(&mut self, out: &mut Vec<Output>) {
        let now = self.clock.now();
        let mut asks = Vec::new();
        self.gathers.iter_mut().for_each(|(gather, _)| gather.on_timer(now, &mut asks));
        for (to, talk) in asks {
            self.core.send_payload(now, &to, to_bytes(&talk), out);
        }
        let (over, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.gathers).into_iter().partition(|(gather, _)| gather.is_over(now));
        self.gathers = open;
        for (gather, reply) in over {
            let filter = gather.filter().clone();
            let mut told = gather.into_answers();
            let book = audit_record::lock(&self.record);
            let gaps = u32::try_from(book.gaps().len()).unwrap_or(u32::MAX);
            told.push(audit::AuditAnswer {
                router: self.core.local_info().name,
                rows: book.rows(&filter),
                gaps: Some(gaps),
            });
            let _ = reply.send(Some(audit_view(told)));
        }
    }

    fn on_audit(&mut self, from: &str, talk: &ReplicationMessage, out: &mut Vec<Output>) {
        let now = self.clock.now();
        if let ReplicationMessage::AuditRequest { nonce, filter, first: row } = talk {
            let pages = {
                let book = audit_record::lock(&self.record);
                let gaps = u32::try_from(book.gaps().len()).unwrap_or(u32::MAX);
                audit::answer_pages(*nonce, now, gaps, &book.rows(filter), *row)
            };
            for page in pages {
                self.core.send_payload(now, from, to_bytes(&page), out);
            }
        }
        if matches!(talk, ReplicationMessage::AuditPage { .. }) {
            let mut asks = Vec::new();
            for (gather, _) in &mut self.gathers {
                gather.on_message(now, from, talk, &mut asks);
            }
            for (to, talk) in asks {
                self.core.send_payload(now, &to, to_bytes(&talk), out);
            }
            self.gather(out);
        }
    }

    /// Who keeps the orders of the fleet. Whoever did not say that it leaves may be alive: one that counts as dead may only
    /// be cut off.
    fn spread(&mut self) -> Option<OrderReplicationView> {
        let orders = self.orders.as_mut()?;
        let view = self.core.view();
        let members: BTreeMap<String, MemberState> =
            view.members.into_iter().map(|m| (m.info.name, m.state)).collect();
        let stay = members.iter().filter(|(_, state)| **state != MemberState::Left);
        let names: Vec<String> = stay.map(|(name, _)| name.clone()).collect();
        let row = |acked: audit::OrderAck| ReplicationRow {
            state: members.get(&acked.router).copied().unwrap_or(MemberState::Alive),
            router: acked.router,
            has_all: acked.is_complete,
            reported_at: acked.reported_at,
        };
        let rows: Vec<ReplicationRow> = orders.acknowledgements(&names).into_iter().map(row).collect();
        let overtaken = orders
            .superseded()
            .map(|one| SupersededOrder { order: one.order.clone(), by: one.by.clone() })
            .collect();
        Some(OrderReplicationView {
            complete: rows.iter().all(|r| r.has_all),
            orders: orders.all(),
            superseded: overtaken,
            rows,
        })
    }

    /// Lets the one that follows lists do something, and does what it wants.
    fn follow_on(
        &mut self,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut ListFollower, u64, Vec<String>, &mut Vec<audit::FollowerOutput>),
    ) {
        let now = self.clock.now();
        let Some(follow) = &mut self.follow else { return };
        let mut wanted = Vec::new();
        act(follow, now, self.core.present_peers(), &mut wanted);
        for one in wanted {
            match one {
                audit::FollowerOutput::Send { to, message } => {
                    self.core.send_payload(now, &to, to_bytes(&message), out)
                }
                audit::FollowerOutput::Adopt { list, by } => {
                    self.adopt.send_modify(|adopt| adopt.list = Some((list, by)));
                }
                audit::FollowerOutput::Corroborated(version) => {
                    self.adopt.send_modify(|adopt| adopt.believed = Some(version));
                }
                audit::FollowerOutput::Event(what) => self.tell(grave(&what), what.to_string()),
            }
        }
    }

    fn tell(&self, severity: Severity, text: String) {
        let event = view::Event { at: self.clock.now(), severity, engine: None, text };
        // The hub counts what it lost by its own inbox; here the log has it at least.
        if let Err(error) = self.news.try_send(News::Happened(event)) {
            tracing::warn!(%error, "an event of the fleet could not be told");
        }
    }

    fn view(&self) -> FleetView {
        let view: View = self.core.view();
        let member = |m: gaparch_membership::MemberView| MemberView {
            name: m.info.name,
            zone: m.info.zone,
            build: m.info.build,
            address: m.info.address,
            incarnation: m.info.incarnation,
            state: m.state,
            since: m.state_since,
            last_alive_at: m.last_alive_at,
            last_received_at: m.last_received_at,
            suspected_by: m.accused_by,
            duplicate_at: m.duplicate_address,
            receives_nothing: m.is_isolated,
        };
        let edge = |e: gaparch_membership::LinkFailure| LinkFault { from: e.from, to: e.to, since: e.since };
        FleetView {
            router: view.local.name,
            incarnation: view.local.incarnation,
            majority: view.has_quorum,
            present: view.present,
            counted: view.counted,
            divisor: view.divisor,
            receives_nothing: view.connectivity == Connectivity::Isolated,
            is_unanswered: view.connectivity == Connectivity::Unanswered,
            timeout_extension: view.local_health,
            members: view.members.into_iter().map(member).collect(),
            link_faults: view.failed_links.into_iter().map(edge).collect(),
            sent: view.counters.sent,
            sent_bytes: view.counters.sent_bytes,
            received: view.counters.received,
            forged: self.dropped.forged,
            malformed: self.dropped.malformed,
            newer: self.dropped.newer,
            replayed: view.counters.replayed,
            misdirected: view.counters.misdirected,
            throttled: view.counters.throttled,
        }
    }
}

/// What all records say together: those that did not answer, or have gaps, are unknown.
fn audit_view(mut told: Vec<audit::AuditAnswer>) -> AuditView {
    told.sort_by(|a, b| a.router.cmp(&b.router));
    let (mut rows, mut unknown) = (Vec::new(), Vec::new());
    for one in told {
        match one.gaps {
            None => unknown.push(format!("{} did not answer in time", one.router)),
            Some(0) => {}
            Some(gaps) => unknown.push(format!("{} has {gaps} gaps in its record", one.router)),
        }
        rows.extend(one.rows.into_iter().map(|row| RouterAuditRow {
            router: one.router.clone(),
            list: row.list,
            confirmed: row.confirmed,
            sends: row.counts,
        }));
    }
    AuditView { complete: unknown.is_empty(), unknown, rows }
}

fn versions(view: audit::ListView) -> ListVersionsView {
    let row = |row: audit::PeerListStatus| ListVersionRow {
        router: row.router,
        version: row.version,
        digest: row.digest,
        confirmed_ago: row.confirmed_ago,
        reported_at: row.reported_at,
    };
    ListVersionsView {
        version: view.in_use,
        entries: view.entries,
        confirmed_ago: view.confirmed_ago,
        latest_known: view.believed,
        corroborated: view.is_corroborated,
        behind_since: view.behind_since,
        lists_from_peers: view.fetched,
        rejected_claims: view.rejected,
        rows: view.peers.into_iter().map(row).collect(),
    }
}

fn grave(what: &audit::ListEvent) -> Severity {
    match what {
        audit::ListEvent::Confirmed
        | audit::ListEvent::CaughtUp { .. }
        | audit::ListEvent::FetchedFromPeer { .. } => Severity::Info,
        audit::ListEvent::Unconfirmed { .. }
        | audit::ListEvent::Behind { .. }
        | audit::ListEvent::DigestMismatch { .. } => Severity::Warning,
        audit::ListEvent::SourceOutdated { .. }
        | audit::ListEvent::SourcesDiffer { .. }
        | audit::ListEvent::Outlier { .. } => Severity::Fault,
    }
}

/// How grave it is; `None` is for the log alone: a suspicion that ends by itself is no news to an operator.
fn severity(what: &MembershipEvent) -> Option<Severity> {
    Some(match what {
        MembershipEvent::Suspected { .. } | MembershipEvent::Refuted { .. } => return None,
        MembershipEvent::Died { .. }
        | MembershipEvent::DuplicateName { .. }
        | MembershipEvent::IncarnationRolledBack { .. }
        | MembershipEvent::Unanswered
        | MembershipEvent::Isolated
        | MembershipEvent::QuorumLost { .. } => Severity::Fault,
        MembershipEvent::LinkFailed { .. }
        | MembershipEvent::Resumed { .. }
        | MembershipEvent::DeclaredDead { .. }
        | MembershipEvent::TooManyRouters { .. } => Severity::Warning,
        MembershipEvent::Joined { .. }
        | MembershipEvent::Restarted { .. }
        | MembershipEvent::Returned { .. }
        | MembershipEvent::Left { .. }
        | MembershipEvent::LinkRecovered { .. }
        | MembershipEvent::IsolationEnded
        | MembershipEvent::AnsweredAgain
        | MembershipEvent::QuorumGained { .. } => Severity::Info,
    })
}

/// Keeps the incarnation on disk.
struct Keeper {
    journal: Option<Journal<Box<dyn Disk>>>,
    trouble: Option<String>,
}

impl Keeper {
    /// Reads what is kept; 0 if nothing is.
    fn open(disk: Box<dyn Disk>) -> (Keeper, u64) {
        match Journal::open(disk, "incarnation", SCHEMA) {
            Ok((journal, found)) => {
                let numbers = found
                    .records
                    .iter()
                    .filter_map(|r| Some(u64::from_be_bytes(r.as_slice().try_into().ok()?)));
                let kept = numbers.max().unwrap_or(0);
                (Keeper { journal: Some(journal), trouble: None }, kept)
            }
            Err(error) => (Keeper { journal: None, trouble: Some(error.to_string()) }, 0),
        }
    }

    fn write(&mut self, incarnation: u64) -> Result<(), String> {
        let record = incarnation.to_be_bytes();
        let journal = self.journal.as_mut().ok_or_else(|| self.trouble.clone().unwrap_or_default())?;
        let result = if journal.needs_rewrite() || journal.records() > SLACK {
            journal.rewrite([record])
        } else {
            journal.append(&[record])
        };
        result.map_err(|e| e.to_string())
    }
}

/// Keeps the latest incarnation, and tries again where that fails.
async fn keep(mut keeper: Keeper, mut incarnation: watch::Receiver<u64>, news: mpsc::Sender<News>) {
    let mut told = None;
    loop {
        let latest = *incarnation.borrow_and_update();
        let work = tokio::task::spawn_blocking(move || {
            let result = if latest == 0 { Ok(()) } else { keeper.write(latest) };
            (keeper, result)
        });
        let Ok((back, result)) = work.await else { return };
        keeper = back;
        let trouble = result.err();
        if told.as_ref() != Some(&trouble) {
            if news.send(News::NotKept("incarnations", trouble.clone())).await.is_err() {
                return;
            }
            told = Some(trouble.clone());
        }
        let retry = tokio::time::sleep(TRY_AGAIN);
        tokio::select! {
            changed = incarnation.changed() => if changed.is_err() { return },
            () = retry, if trouble.is_some() => {}
        }
    }
}
