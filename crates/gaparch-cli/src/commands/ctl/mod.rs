//! `gaparch ctl`: all that the console does, for scripts.

mod show;
mod table;

use crate::Outcome;
use clap::{Args, Subcommand, ValueEnum};
use gaparch_config::KeySource;
use gaparch_net::{read_key, Credentials, Incoming, OperationsAddress, OpsClient, OpsError};
use gaparch_ops::limits::OPEN_REQUESTS;
use gaparch_protocol::ops::intent::{Change, DrainMode};
use gaparch_protocol::ops::outcome::{
    GlobalRequestId, OutcomeCause, OutcomeFilter, OutcomeKind, QueueingReason,
};
use gaparch_protocol::ops::{Answer, DenyCode, Order, Query, SessionRole};
use gaparch_protocol::versions::AuditFilter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The order was denied, and nothing was changed.
const DENIED: u8 = 3;
/// It is in force, but a restart would forget it.
const NOT_KEPT: u8 = 4;
/// There is nothing of that name.
const NOTHING: u8 = 5;
/// Some router that may be alive did not say in time that it keeps the order.
const NOT_COMPLETE: u8 = 6;
/// Between two questions whether all keep an order.
const ASK_EVERY: Duration = Duration::from_millis(100);

/// Where the router is, and who asks.
#[derive(Clone, Debug, Args)]
pub struct Target {
    /// The router's settings file, which says where its operators come in
    #[arg(long, default_value = "gaparch.xml", env = "GAPARCH_SETTINGS")]
    settings: PathBuf,
    /// The router's local socket, instead of the settings'
    #[arg(long, env = "GAPARCH_SOCKET", conflicts_with = "address")]
    socket: Option<PathBuf>,
    /// The router's operations address, instead of the settings'
    #[arg(long)]
    address: Option<SocketAddr>,
    /// A file whose first line is the key
    #[arg(long)]
    key_file: Option<PathBuf>,
    /// Who asks, where no key says it
    #[arg(long, env = "USER", default_value = "someone")]
    who: String,
    /// Look only
    #[arg(long)]
    watch_only: bool,
}

impl Target {
    /// The place and the credentials.
    pub fn resolve(&self) -> Result<(OperationsAddress, Credentials), String> {
        let key_in = |file: &PathBuf| read_key(file).map_err(|e| format!("key file {}: {e}", file.display()));
        let mut key = self.key_file.as_ref().map(key_in).transpose()?;
        let place = match (&self.socket, self.address) {
            (Some(socket), _) => OperationsAddress::Socket(socket.clone()),
            (None, Some(address)) => OperationsAddress::Tcp(address),
            (None, None) => {
                let config = super::settings(&self.settings)?;
                let file = self.settings.display();
                let operations = config.operations.ok_or(format!("{file}: has no <operations>"))?;
                match (operations.socket, operations.address) {
                    (Some(socket), _) => OperationsAddress::Socket(socket),
                    (None, Some(address)) => {
                        if let Some(first) = operations.operators.first().filter(|_| key.is_none()) {
                            key = Some(match &first.key {
                                KeySource::Text(key) => key.clone(),
                                KeySource::File(file) => key_in(file)?,
                            });
                        }
                        OperationsAddress::Tcp(address)
                    }
                    (None, None) => return Err(format!("{file}: <operations> has no socket and no address")),
                }
            }
        };
        let role = if self.watch_only { SessionRole::ReadOnly } else { SessionRole::ReadWrite };
        Ok((place, Credentials { key, role, operator: self.who.clone() }))
    }

    pub async fn connect(&self) -> Result<OpsClient, String> {
        let (place, credentials) = self.resolve()?;
        OpsClient::connect(&place, &credentials).await.map_err(|e| e.to_string())
    }
}

#[derive(Debug, Args)]
pub struct Options {
    #[command(flatten)]
    target: Target,
    /// JSON instead of tables
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

/// Why, for whoever reads it in the morning.
#[derive(Clone, Debug, Args)]
struct Reason {
    /// Why, for whoever reads it in the morning
    #[arg(long)]
    why: String,
    /// Only if nobody has changed it since this revision
    #[arg(long)]
    if_revision: Option<u64>,
    /// At this router alone, where routers follow one another
    #[arg(long)]
    here: bool,
    /// Wait until every router that may be alive keeps it, and show which do
    #[arg(long, conflicts_with = "here")]
    wait: bool,
    /// For so long at most
    #[arg(long, default_value = "30s", requires = "wait")]
    within: String,
}

#[derive(Debug, Subcommand)]
enum FleetWhat {
    /// What routers sent to which engine under which version, by the records of all of them
    Audit(Audit),
}

#[derive(Debug, Args)]
struct Audit {
    /// To one engine
    #[arg(long)]
    engine: Option<String>,
    /// From so long ago, as 90s, 30m or 12h
    #[arg(long)]
    since: Option<String>,
    /// Until so long ago
    #[arg(long)]
    until: Option<String>,
    /// Under a lower version of the list than that
    #[arg(long)]
    version: Option<u64>,
    /// Of one request, by its number at its router, where single sends are still kept
    #[arg(long)]
    request: Option<u64>,
}

impl Audit {
    fn filter(&self) -> Result<AuditFilter, String> {
        Ok(AuditFilter {
            engine: self.engine.clone(),
            since: self.since.as_deref().map(since).transpose()?.unwrap_or(0),
            until: self.until.as_deref().map(since).transpose()?,
            below_version: self.version,
            request: self.request,
        })
    }
}

#[derive(Debug, Subcommand)]
enum Command {
    /// How all stands
    Status,
    /// The engines, and why one is avoided
    Engines,
    /// Give an engine nothing new
    Drain {
        engine: String,
        #[command(flatten)]
        reason: Reason,
        /// Even if it is the last of its role
        #[arg(long)]
        force: bool,
    },
    /// Treat an engine as if it were not listed
    Aside {
        engine: String,
        #[command(flatten)]
        reason: Reason,
        /// Even if it is the last of its role
        #[arg(long)]
        force: bool,
    },
    /// Make an engine what the list says again
    Undrain {
        engine: String,
        #[command(flatten)]
        reason: Reason,
    },
    /// Refuse all new requests
    Pause {
        #[command(flatten)]
        reason: Reason,
    },
    /// Take new requests again
    Resume {
        #[command(flatten)]
        reason: Reason,
    },
    /// The limits that can be changed
    Limits,
    /// Change a limit, or set it to what the settings say
    Limit {
        name: String,
        /// A number, or `default`
        value: String,
        #[command(flatten)]
        reason: Reason,
    },
    /// What operators have ordered and is in force
    Intents,
    /// The routers of the site, as this one sees them
    Members,
    /// Orders of the fleet, those that gave way, and which routers keep them
    Orders,
    /// Which router of the site holds which version of the list, and how far behind it is
    Fleet {
        #[command(subcommand)]
        what: Option<FleetWhat>,
    },
    /// Requests that were not served, grouped by why
    Refusals(Filter),
    /// The story of one request
    Why {
        /// As in the answer's x-gaparch-request-id header
        request: GlobalRequestId,
    },
    /// Open requests, and those that ended last
    Live {
        #[arg(long, default_value_t = 50)]
        most: u32,
    },
    /// What happened
    Events {
        /// Of one engine
        #[arg(long)]
        engine: Option<String>,
        /// From so long ago, as 90s, 30m or 12h
        #[arg(long, default_value = "24h")]
        since: String,
        #[arg(long, default_value_t = 200)]
        most: u32,
    },
    /// One engine: how it stands and what happened to it
    History { engine: String },
    /// Follow what happens, a line each, until interrupted
    Follow,
    /// Stop the router in good order
    Stop {
        #[arg(long, default_value = "")]
        why: String,
    },
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Kind {
    Refused,
    Failed,
    Left,
}

#[derive(Clone, Debug, Args)]
struct Filter {
    #[arg(long)]
    kind: Option<Kind>,
    /// A reason, as in the tables
    #[arg(long)]
    cause: Option<String>,
    /// What it waited for, as in the tables
    #[arg(long)]
    waited_for: Option<String>,
    #[arg(long)]
    class: Option<String>,
    #[arg(long)]
    tenant: Option<String>,
    /// It was sent there, or that engine was avoided then
    #[arg(long)]
    engine: Option<String>,
    /// From so long ago, as 90s, 30m or 12h
    #[arg(long)]
    since: Option<String>,
    /// One by one instead of grouped
    #[arg(long)]
    list: bool,
    #[arg(long, default_value_t = 100)]
    most: u32,
}

/// Nanoseconds since the Unix epoch.
fn now() -> u64 {
    gaparch_net::Clock::default().now()
}

fn span_of(text: &str) -> Result<Duration, String> {
    let span: gaparch_config::Span =
        text.parse().map_err(|_| format!("--within: '{text}' is no span of time: try 30s"))?;
    Ok(span.duration())
}

fn since(text: &str) -> Result<u64, String> {
    let span: gaparch_config::Span =
        text.parse().map_err(|_| format!("--since: '{text}' is no span of time: try 30m"))?;
    Ok(now().saturating_sub(span.0))
}

fn known<T: Copy>(
    what: &str,
    word: &Option<String>,
    parse: fn(&str) -> Option<T>,
    all: &[T],
    name: fn(T) -> &'static str,
) -> Result<Option<T>, String> {
    let Some(word) = word else { return Ok(None) };
    let words = || all.iter().map(|one| name(*one)).collect::<Vec<_>>().join(", ");
    parse(word).map(Some).ok_or_else(|| format!("--{what}: '{word}' is none of {}", words()))
}

impl Filter {
    fn wanted(&self) -> Result<OutcomeFilter, String> {
        Ok(OutcomeFilter {
            kind: self.kind.map(|kind| match kind {
                Kind::Refused => OutcomeKind::Rejected,
                Kind::Failed => OutcomeKind::Failed,
                Kind::Left => OutcomeKind::ClientDisconnected,
            }),
            cause: known(
                "cause",
                &self.cause,
                OutcomeCause::from_name,
                OutcomeCause::ALL,
                OutcomeCause::name,
            )?,
            queueing_reason: known(
                "waited-for",
                &self.waited_for,
                QueueingReason::from_name,
                QueueingReason::ALL,
                QueueingReason::name,
            )?,
            class: self.class.clone(),
            tenant: self.tenant.clone(),
            engine: self.engine.clone(),
            since: self.since.as_deref().map(since).transpose()?,
            until: None,
            max: self.most,
        })
    }
}

fn order(change: Change, reason: &Reason, force: bool) -> Query {
    let order = Order { change, reason: reason.why.clone(), force, revision: reason.if_revision };
    match reason.here {
        true => Query::LocalOrder { order },
        false => Query::Order { order },
    }
}

fn query(command: &Command) -> Result<Query, String> {
    let hold = |engine: &String, hold| Change::Drain { engine: engine.clone(), mode: hold };
    Ok(match command {
        Command::Status | Command::Engines | Command::Follow => Query::Snapshot {},
        Command::Drain { engine, reason, force } => order(hold(engine, DrainMode::Drain), reason, *force),
        Command::Aside { engine, reason, force } => order(hold(engine, DrainMode::Detach), reason, *force),
        Command::Undrain { engine, reason } => {
            order(Change::Undrain { engine: engine.clone() }, reason, false)
        }
        Command::Pause { reason } => order(Change::Pause {}, reason, false),
        Command::Resume { reason } => order(Change::Resume {}, reason, false),
        Command::Limits => Query::Limits {},
        Command::Limit { name, value, reason } => {
            let value = match value.as_str() {
                "default" => None,
                number => Some(number.parse().map_err(|_| {
                    format!("'{number}' is neither a number nor `default`; limits are {OPEN_REQUESTS} and others: see `gaparch ctl limits`")
                })?),
            };
            order(Change::SetLimit { name: name.clone(), value }, reason, false)
        }
        Command::Intents => Query::Intents {},
        Command::Members => Query::Members {},
        Command::Fleet { what: None } => Query::ListVersions {},
        Command::Fleet { what: Some(FleetWhat::Audit(asked)) } => Query::Audit { filter: asked.filter()? },
        Command::Orders => Query::OrderReplication {},
        Command::Refusals(filter) if filter.list => Query::Outcomes { filter: filter.wanted()? },
        Command::Refusals(filter) => Query::OutcomeGroups { filter: filter.wanted()? },
        Command::Why { request } => Query::RequestDetails { request: *request },
        Command::Live { most } => Query::OpenRequests { max: *most },
        Command::Events { engine, since: from, most } => {
            Query::Events { engine: engine.clone(), since: since(from)?, max: *most }
        }
        Command::History { engine } => Query::Events { engine: Some(engine.clone()), since: 0, max: 200 },
        Command::Stop { why } => {
            let within = String::new();
            let reason = Reason { why: why.clone(), if_revision: None, here: true, wait: false, within };
            order(Change::Stop {}, &reason, false)
        }
    })
}

pub async fn run(options: Options) -> Outcome {
    let query = query(&options.command)?;
    let mut client = options.target.connect().await?;
    if let Command::Follow = options.command {
        return follow(&mut client, options.json).await;
    }
    let mut answer = client.query(query).await?;
    if let Command::History { engine } = &options.command {
        let Answer::Snapshot { snapshot } = client.query(Query::Snapshot {}).await? else {
            return Err(OpsError::Protocol.into());
        };
        if let Some(view) = snapshot.engines.iter().find(|e| e.name == *engine) {
            print!("{}", show::engine(view, &snapshot));
        } else if matches!(&answer, Answer::Events { events } if events.is_empty()) {
            let message = format!("there is no engine '{engine}'");
            answer = Answer::Denied { code: DenyCode::Unknown, message };
        }
    }
    let wait = options.command.reason().filter(|reason| reason.wait);
    if let (Some(reason), Answer::Done { effect, .. }) = (wait, &answer) {
        if !options.json {
            println!("{effect}");
        }
        return wait_for_all(&mut client, span_of(&reason.within)?, options.json).await;
    }
    let code = code(&answer);
    if options.json {
        println!("{}", serde_json::to_string_pretty(&answer)?);
    } else if let Answer::Denied { message, .. } = &answer {
        eprintln!("gaparch: {message}");
    } else {
        let engines = matches!(options.command, Command::Engines);
        print!("{}", show::answer(&answer, now(), engines));
    }
    Ok(code)
}

fn code(answer: &Answer) -> ExitCode {
    match answer {
        Answer::Denied { code: DenyCode::NotPersisted, .. } => ExitCode::from(NOT_KEPT),
        Answer::Denied { .. } => ExitCode::from(DENIED),
        Answer::RequestDetails { outcome: None, open: None } => ExitCode::from(NOTHING),
        _ => ExitCode::SUCCESS,
    }
}

impl Command {
    /// That of an order.
    fn reason(&self) -> Option<&Reason> {
        match self {
            Command::Drain { reason, .. }
            | Command::Aside { reason, .. }
            | Command::Undrain { reason, .. }
            | Command::Pause { reason }
            | Command::Resume { reason }
            | Command::Limit { reason, .. } => Some(reason),
            _ => None,
        }
    }
}

/// Asks until all routers that may be alive keep what is in force, and shows a router as soon as it does.
async fn wait_for_all(client: &mut OpsClient, within: Duration, json: bool) -> Outcome {
    let until = tokio::time::Instant::now() + within;
    let mut shown = std::collections::BTreeSet::new();
    loop {
        let answer = client.query(Query::OrderReplication {}).await?;
        let Answer::OrderReplication { replication: spread } = &answer else {
            let Answer::Denied { message, .. } = &answer else { return Err(OpsError::Protocol.into()) };
            return Err(message.clone().into());
        };
        let late = tokio::time::Instant::now() >= until;
        if json && (spread.complete || late) {
            println!("{}", serde_json::to_string_pretty(&answer)?);
        } else if !json {
            for row in spread.rows.iter().filter(|r| r.has_all) {
                if shown.insert(row.router.clone()) {
                    println!("{}: in force and kept", row.router);
                }
            }
        }
        if spread.complete {
            if !json {
                println!("complete");
            }
            return Ok(ExitCode::SUCCESS);
        }
        if late {
            if !json {
                for row in spread.rows.iter().filter(|r| !r.has_all) {
                    println!("{}: unknown, it counts as {}", row.router, row.state);
                }
                println!("NOT complete");
            }
            return Ok(ExitCode::from(NOT_COMPLETE));
        }
        tokio::time::sleep(ASK_EVERY).await;
    }
}

async fn follow(client: &mut OpsClient, json: bool) -> Outcome {
    client.send(Query::Subscribe {}).await?;
    let stop = super::asked_to_stop();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            _ = &mut stop => return Ok(ExitCode::SUCCESS),
            came = client.next() => {
                if let Incoming::Update(update) = came? {
                    match json {
                        true => println!("{}", serde_json::to_string(&update)?),
                        false => print!("{}", show::update(&update, now())),
                    }
                }
            }
        }
    }
}
