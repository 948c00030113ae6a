//! The operations side of a running router.
//!
//! The owner of the core carries out orders and shows how all stands, four times a second; all else is done beside
//! it. The [`keeper`] puts orders on disk, the [`historian`] what happened, the [`hub`] keeps both in memory and
//! tells subscribers, and each [`session`] talks to one console or script. None of them can hold up the owner:
//!
//! | queue | bound | full |
//! | --- | --- | --- |
//! | orders to the keeper | 256 | the order is denied, and not carried out |
//! | news to the hub | 16,384 | left out, and counted |
//! | updates to one subscriber | 64 | left out; it is told so, and shown all anew |
//! | batches to the historian | 4 | the hub collects on, up to 1 MiB; then the newest are left out, and counted |
//! | sessions | `operations/sessions` | sent away |

mod historian;
mod hub;
mod keeper;
mod session;

use super::fleet;
use super::owner::Control;
use crate::core::{told_to_stay_away, Proposal};
use gaparch_config::{Config, KeySource, Operations};
use gaparch_net::{read_key, Clock};
use gaparch_ops::EventLog;
use gaparch_ops::{OrderDenied, OrderRegistry};
use gaparch_ops::{OutcomeLog, OutcomeLogLimits};
use gaparch_protocol::engine::RouterRun;
use gaparch_protocol::ops::intent::{AcceptedChange, LimitView};
use gaparch_protocol::ops::outcome::{GlobalRequestId, OutcomeCause, OutcomeKind, RequestOutcome};
use gaparch_protocol::ops::view::{EngineView, Event, RouterMetrics, Setting, Severity};
use gaparch_protocol::ops::SessionRole;
use gaparch_scheduler::api::{Nanos, RequestId};
use gaparch_store::{Disk, StateDirectory, StoreError};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, UnixListener};
use tokio::sync::{mpsc, oneshot, Notify, Semaphore};
use tokio::task::JoinHandle;

const HUB_INBOX: usize = 16_384;
const KEEPER_INBOX: usize = 256;
/// For the last events at the router's end.
const FINISH_WITHIN: Duration = Duration::from_secs(2);

/// Why the operations side can't start.
#[derive(Debug, Error)]
pub enum OperationsError {
    #[error("the state folder: {0}")]
    Store(#[from] StoreError),
    #[error("{what}: {source}")]
    Io { what: String, source: std::io::Error },
}

/// Where the state is kept. Tests give disks that fail.
pub struct Disks {
    pub intents: Box<dyn Disk>,
    pub events: Box<dyn Disk>,
    pub endings: Box<dyn Disk>,
    pub fleet: FleetDisks,
}

/// Where what concerns the other routers is kept.
pub struct FleetDisks {
    /// How often the router was started.
    pub incarnation: Box<dyn Disk>,
    pub orders: Box<dyn Disk>,
    /// What was sent under which version, and a mark of the last of it.
    pub audit: Box<dyn Disk>,
    pub audit_mark: Box<dyn Disk>,
}

impl FleetDisks {
    /// One disk for each.
    pub fn of(mut share: impl FnMut() -> Box<dyn Disk>) -> FleetDisks {
        FleetDisks { incarnation: share(), orders: share(), audit: share(), audit_mark: share() }
    }
}

impl Disks {
    /// The folder of the settings, locked.
    ///
    /// # Errors
    /// When it can't be had, or another router has it.
    pub fn open(settings: &Operations) -> Result<Disks, StoreError> {
        let folder = StateDirectory::open(&settings.state)?;
        let (events, endings) = (Box::new(folder.share()), Box::new(folder.share()));
        let fleet = FleetDisks::of(|| Box::new(folder.share()));
        Ok(Disks { fleet, intents: Box::new(folder), events, endings })
    }
}

impl std::fmt::Debug for Disks {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Disks")
    }
}

/// How all stands, as the owner shows it.
#[derive(Clone, Debug)]
pub(super) struct Board {
    pub figures: RouterMetrics,
    pub engines: Vec<EngineView>,
    pub limits: Vec<LimitView>,
    /// News that there was no room for, since the start.
    pub lost: u64,
}

/// A reply to an order.
pub(super) type OrderReply = oneshot::Sender<Result<Done, OrderDenied>>;

#[derive(Clone, Debug, PartialEq)]
pub(super) struct Done {
    pub revision: u64,
    pub effect: String,
}

pub(super) enum News {
    Board(Box<Board>),
    Ended(Box<RequestOutcome>),
    Taken(AcceptedChange),
    Happened(Event),
    /// All changes up to that one are on disk.
    Kept(u64),
    /// What is not being kept on disk now, and why; no reason: it is again.
    NotKept(&'static str, Option<String>),
    Ask(gaparch_protocol::ops::Query, oneshot::Sender<gaparch_protocol::ops::Answer>),
    Subscribe(u64, mpsc::Sender<gaparch_protocol::ops::Update>),
    Unsubscribe(u64),
    /// The router ends: what has happened goes to disk now, and this is told then.
    Finish(oneshot::Sender<()>),
}

/// Where requests are turned away before the owner hears of them, since too much is open.
#[derive(Debug)]
pub(super) struct Door {
    news: mpsc::Sender<News>,
    run: RouterRun,
    clock: Clock,
    turned_away: AtomicU64,
}

impl Door {
    /// Tells the hub of one that was turned away; past the hub's bound it is only counted.
    pub fn turn_away(&self, id: RequestId, class: &str, tenant: &str, retry_after: Nanos, fingerprint: u64) {
        self.turned_away.fetch_add(1, Ordering::Relaxed);
        let now = self.clock.now();
        let request = GlobalRequestId { run: self.run.0, number: id.0 };
        let ending = RequestOutcome {
            class: class.to_owned(),
            tenant: tenant.to_owned(),
            retry_after_ms: told_to_stay_away(retry_after),
            fingerprint,
            ..RequestOutcome::bare(request, now, now, OutcomeKind::Rejected, OutcomeCause::TooManyOpen)
        };
        // The count is what must not be lost.
        let _ = self.news.try_send(News::Ended(Box::new(ending)));
    }
}

/// The owner's side of it.
pub(super) struct Desk {
    news: mpsc::Sender<News>,
    door: Arc<Door>,
    keeper: mpsc::Sender<keeper::Keep>,
    lost: u64,
    stop: Arc<Notify>,
}

impl Desk {
    pub fn door(&self) -> Arc<Door> {
        Arc::clone(&self.door)
    }

    /// Tells the hub; past its bound the news is left out and counted.
    pub fn tell(&mut self, news: News) {
        self.lost += u64::from(self.news.try_send(news).is_err());
    }

    pub fn show(&mut self, figures: RouterMetrics, engines: Vec<EngineView>, limits: Vec<LimitView>) {
        let turned_away = self.door.turned_away.load(Ordering::Relaxed);
        let (requests, refused) = (figures.requests + turned_away, figures.rejected + turned_away);
        let figures = RouterMetrics { requests, rejected: refused, ..figures };
        let board = Board { figures, engines, limits, lost: self.lost };
        self.tell(News::Board(Box::new(board)));
    }

    /// Room for one more order, if the keeper has any.
    pub fn reserve(&self) -> Option<mpsc::OwnedPermit<keeper::Keep>> {
        self.keeper.clone().try_reserve_owned().ok()
    }

    /// Has an order kept that was carried out; the reply is given once it is.
    pub fn keep(&mut self, permit: mpsc::OwnedPermit<keeper::Keep>, proposal: Proposal, reply: OrderReply) {
        self.tell(News::Taken(proposal.taken.clone()));
        permit.send(keeper::Keep { taken: proposal.taken, effect: proposal.effect, reply });
    }

    /// An operator wants the router to end.
    pub fn stop(&mut self, at: u64, who: &str, why: &str) {
        let text = format!("{who} stops the router: {why}");
        self.tell(News::Happened(Event { at, severity: Severity::Warning, engine: None, text }));
        self.stop.notify_one();
    }
}

/// Who may come in by a key.
#[derive(Clone)]
pub(super) struct KnownOperator {
    pub name: String,
    pub role: SessionRole,
    pub key: Vec<u8>,
}

impl std::fmt::Debug for KnownOperator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ({})", self.name, self.role)
    }
}

/// What all sessions share.
pub(super) struct Lobby {
    pub router: String,
    pub run: RouterRun,
    pub operators: Vec<KnownOperator>,
    pub sessions: Arc<Semaphore>,
    pub control: mpsc::Sender<Control>,
    pub news: mpsc::Sender<News>,
    /// How the other routers look, where there are any.
    pub fleet: Option<fleet::Asker>,
}

/// The state that was found, before anything runs.
pub(super) struct Prepared {
    pub book: OrderRegistry,
    keeper: keeper::Keeper,
    historian: historian::Historian,
    chronicle: EventLog,
    ledger: OutcomeLog,
    operators: Vec<KnownOperator>,
    /// Operators that can't come in, and why.
    locked_out: Vec<String>,
    settings: Operations,
    pub fleet: Option<FleetDisks>,
}

/// Reads the state folder. What operators have ordered is known before the first request comes.
pub(super) async fn prepare(settings: Operations, disks: Option<Disks>) -> Result<Prepared, OperationsError> {
    let read = move || {
        let (operators, locked_out) = operators(&settings);
        let disks = match disks {
            Some(disks) => disks,
            None => Disks::open(&settings)?,
        };
        let (keeper, book) = keeper::Keeper::open(disks.intents)?;
        let mut ledger = OutcomeLog::new(OutcomeLogLimits { max_bytes: settings.refusals });
        let mut chronicle = EventLog::default();
        let historian = historian::Historian::open(
            disks.events,
            disks.endings,
            settings.history as u64,
            &mut chronicle,
            &mut ledger,
        )?;
        let fleet = Some(disks.fleet);
        Ok(Prepared { book, keeper, historian, chronicle, ledger, operators, locked_out, settings, fleet })
    };
    let wrong = |e: tokio::task::JoinError| OperationsError::Io {
        what: "reading the state folder".to_owned(),
        source: std::io::Error::other(e),
    };
    tokio::task::spawn_blocking(read).await.map_err(wrong)?
}

/// Those who may come in, and why others can't: a missing key must not keep a router from routing.
fn operators(settings: &Operations) -> (Vec<KnownOperator>, Vec<String>) {
    let (mut known, mut locked_out) = (Vec::new(), Vec::new());
    for operator in &settings.operators {
        let key = match &operator.key {
            KeySource::Text(key) => Ok(key.clone()),
            KeySource::File(file) => read_key(file).map_err(|e| format!("key file {}: {e}", file.display())),
        };
        let role = if operator.may_change { SessionRole::ReadWrite } else { SessionRole::ReadOnly };
        match key {
            Ok(key) => known.push(KnownOperator { name: operator.name.clone(), role, key: key.into_bytes() }),
            Err(why) => locked_out.push(format!("operator {} can't come in by a key: {why}", operator.name)),
        }
    }
    (known, locked_out)
}

/// Everything that runs beside the owner.
#[derive(Debug)]
pub(super) struct Running {
    pub address: Option<SocketAddr>,
    pub socket: Option<PathBuf>,
    pub stop: Arc<Notify>,
    news: mpsc::Sender<News>,
    tasks: Vec<JoinHandle<()>>,
}

impl Running {
    /// Puts the last events on disk, as far as that can be done in the time.
    pub async fn finish(&self) {
        let (written, wait) = oneshot::channel();
        let finish = async {
            if self.news.send(News::Finish(written)).await.is_ok() {
                // Dropped unsent, the hub or the historian has ended.
                let _ = wait.await;
            }
        };
        if tokio::time::timeout(FINISH_WITHIN, finish).await.is_err() {
            tracing::warn!("the last events could not be put on disk in time");
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        if let Some(socket) = &self.socket {
            // One that stays is replaced by the next start.
            let _ = std::fs::remove_file(socket);
        }
    }
}

/// How the parts reach one another.
pub(super) struct Channels {
    pub control: mpsc::Sender<Control>,
    pub news: (mpsc::Sender<News>, mpsc::Receiver<News>),
    pub fleet: Option<fleet::Asker>,
}

/// What the hub is told by.
pub(super) fn news_channel() -> (mpsc::Sender<News>, mpsc::Receiver<News>) {
    mpsc::channel(HUB_INBOX)
}

/// Starts the keeper, the historian, the hub and the listeners.
pub(super) async fn start(
    prepared: Prepared,
    config: &Config,
    run: RouterRun,
    clock: Clock,
    settings: Vec<Setting>,
    channels: Channels,
) -> Result<(Desk, Running), OperationsError> {
    let Channels { control, news: (news, news_in), fleet } = channels;
    let (keeper_in, keeper_out) = mpsc::channel(KEEPER_INBOX);
    let (history, history_in) = mpsc::channel(historian::INBOX);
    let sessions = prepared.settings.sessions;
    let lobby = Arc::new(Lobby {
        router: config.router.clone(),
        run,
        operators: prepared.operators,
        sessions: Arc::new(Semaphore::new(sessions)),
        control,
        news: news.clone(),
        fleet,
    });
    let mut listeners = Vec::new();
    let mut bound = None;
    if let Some(address) = prepared.settings.address {
        let wrong = |source| OperationsError::Io { what: format!("can't listen at {address}"), source };
        let listener = TcpListener::bind(address).await.map_err(wrong)?;
        bound = Some(listener.local_addr().map_err(wrong)?);
        listeners.push(tokio::spawn(session::accept_tcp(listener, Arc::clone(&lobby))));
    }
    if let Some(path) = &prepared.settings.socket {
        let wrong =
            |source| OperationsError::Io { what: format!("can't listen at {}", path.display()), source };
        // The folder's lock says that no router lives that would listen there.
        match std::fs::remove_file(path) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(wrong(error)),
            _ => {}
        }
        let listener = UnixListener::bind(path).map_err(wrong)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(wrong)?;
        listeners.push(tokio::spawn(session::accept_unix(listener, Arc::clone(&lobby))));
    }
    let hub = hub::Hub::new(
        hub::Identity { router: config.router.clone(), run: run.0, began_at: clock.now(), settings },
        prepared.book,
        prepared.chronicle,
        prepared.ledger,
        history,
    );
    let mut tasks = vec![
        tokio::spawn(prepared.keeper.run(keeper_out, news.clone())),
        tokio::spawn(prepared.historian.run(history_in, news.clone())),
        tokio::spawn(hub.run(news_in, clock, prepared.locked_out)),
    ];
    tasks.append(&mut listeners);
    let stop = Arc::new(Notify::new());
    let running = Running {
        address: bound,
        socket: prepared.settings.socket,
        stop: Arc::clone(&stop),
        news: news.clone(),
        tasks,
    };
    let door = Arc::new(Door { news: news.clone(), run, clock, turned_away: AtomicU64::new(0) });
    Ok((Desk { news, door, keeper: keeper_in, lost: 0, stop }, running))
}
