//! `gaparch ctl`: the operations of the console for scripts.

mod show;
mod table;

use crate::CommandResult;
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

/// Exit code: the order was denied and changed nothing.
const DENIED: u8 = 3;
/// Exit code: the order is in force but not persisted, so that a restart would revert it.
const NOT_PERSISTED: u8 = 4;
/// Exit code: the request is unknown.
const NOT_FOUND: u8 = 5;
/// Exit code: a router that may be alive did not confirm in time that it has persisted the order.
const REPLICATION_INCOMPLETE: u8 = 6;
/// Interval between queries for the replication of an order.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Operations endpoint of a router, and the credentials of the operator.
#[derive(Clone, Debug, Args)]
pub struct Target {
    /// Settings file of the router, which has the socket and address for operators
    #[arg(long, default_value = "gaparch.xml", env = "GAPARCH_SETTINGS")]
    settings: PathBuf,
    /// Local socket of the router, instead of that in the settings
    #[arg(long, env = "GAPARCH_SOCKET", conflicts_with = "address")]
    socket: Option<PathBuf>,
    /// Operations address of the router, instead of that in the settings
    #[arg(long)]
    address: Option<SocketAddr>,
    /// File whose first line is the key
    #[arg(long)]
    key_file: Option<PathBuf>,
    /// Name of the operator, unless a key identifies them
    #[arg(long, env = "USER", default_value = "someone")]
    who: String,
    /// Use a read-only session
    #[arg(long)]
    watch_only: bool,
}

impl Target {
    /// Determines the operations endpoint and the credentials.
    pub fn resolve(&self) -> Result<(OperationsAddress, Credentials), String> {
        let key_from =
            |file: &PathBuf| read_key(file).map_err(|e| format!("key file {}: {e}", file.display()));
        let mut key = self.key_file.as_ref().map(key_from).transpose()?;
        let endpoint = match (&self.socket, self.address) {
            (Some(socket), _) => OperationsAddress::Socket(socket.clone()),
            (None, Some(address)) => OperationsAddress::Tcp(address),
            (None, None) => {
                let config = super::read_settings(&self.settings)?;
                let file = self.settings.display();
                let operations = config.operations.ok_or(format!("{file}: no <operations>"))?;
                match (operations.socket, operations.address) {
                    (Some(socket), _) => OperationsAddress::Socket(socket),
                    (None, Some(address)) => {
                        if let Some(operator) = operations.operators.first().filter(|_| key.is_none()) {
                            key = Some(match &operator.key {
                                KeySource::Text(key) => key.clone(),
                                KeySource::File(file) => key_from(file)?,
                            });
                        }
                        OperationsAddress::Tcp(address)
                    }
                    (None, None) => {
                        return Err(format!("{file}: <operations> has neither a socket nor an address"))
                    }
                }
            }
        };
        let role = if self.watch_only { SessionRole::ReadOnly } else { SessionRole::ReadWrite };
        Ok((endpoint, Credentials { key, role, operator: self.who.clone() }))
    }

    pub async fn connect(&self) -> Result<OpsClient, String> {
        let (endpoint, credentials) = self.resolve()?;
        OpsClient::connect(&endpoint, &credentials).await.map_err(|e| e.to_string())
    }
}

#[derive(Debug, Args)]
pub struct Options {
    #[command(flatten)]
    target: Target,
    /// Print JSON instead of tables
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

/// Options of an order.
#[derive(Clone, Debug, Args)]
struct OrderOptions {
    /// Reason for the order, shown to other operators and in the event log
    #[arg(long)]
    why: String,
    /// Only if the subject of the order has not changed since this revision
    #[arg(long)]
    if_revision: Option<u64>,
    /// Only at this router, even if its fleet replicates orders
    #[arg(long)]
    here: bool,
    /// Wait until every router that may be alive has persisted the order, and show which have
    #[arg(long, conflicts_with = "here")]
    wait: bool,
    /// Longest time to wait
    #[arg(long, default_value = "30s", requires = "wait")]
    within: String,
}

#[derive(Debug, Subcommand)]
enum FleetCommand {
    /// Sends to each engine under each version of the endpoint list, from the audit logs of all routers
    Audit(Audit),
}

#[derive(Debug, Args)]
struct Audit {
    /// Only sends to this engine
    #[arg(long)]
    engine: Option<String>,
    /// Start of the period as an age, such as 90s, 30m or 12h
    #[arg(long)]
    since: Option<String>,
    /// End of the period as an age
    #[arg(long)]
    until: Option<String>,
    /// Only sends under a lower version of the endpoint list than this
    #[arg(long)]
    version: Option<u64>,
    /// Only sends of this request, by its number at its router, where single sends are still recorded
    #[arg(long)]
    request: Option<u64>,
}

impl Audit {
    fn filter(&self) -> Result<AuditFilter, String> {
        Ok(AuditFilter {
            engine: self.engine.clone(),
            since: self.since.as_deref().map(parse_age).transpose()?.unwrap_or(0),
            until: self.until.as_deref().map(parse_age).transpose()?,
            below_version: self.version,
            request: self.request,
        })
    }
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Show the state of the router
    Status,
    /// Show the engines, and why an engine is avoided
    Engines,
    /// Send no new requests to an engine
    Drain {
        engine: String,
        #[command(flatten)]
        order: OrderOptions,
        /// Even if the engine is the last one with its role
        #[arg(long)]
        force: bool,
    },
    /// Treat an engine as if it were not in the endpoint list
    Aside {
        engine: String,
        #[command(flatten)]
        order: OrderOptions,
        /// Even if the engine is the last one with its role
        #[arg(long)]
        force: bool,
    },
    /// Restore the listed state of an engine
    Undrain {
        engine: String,
        #[command(flatten)]
        order: OrderOptions,
    },
    /// Reject all new requests
    Pause {
        #[command(flatten)]
        order: OrderOptions,
    },
    /// Accept new requests again
    Resume {
        #[command(flatten)]
        order: OrderOptions,
    },
    /// Show the limits that can be changed
    Limits,
    /// Change a limit, or reset it to its value in the settings
    Limit {
        name: String,
        /// A number, or `default`
        value: String,
        #[command(flatten)]
        order: OrderOptions,
    },
    /// Show the orders of operators that are in force
    Intents,
    /// Show the routers of the site, as seen by this router
    Members,
    /// Show the orders of the fleet, those that were superseded, and which routers have them
    Orders,
    /// Show which version of the endpoint list each router of the site has, and how far behind it is
    Fleet {
        #[command(subcommand)]
        what: Option<FleetCommand>,
    },
    /// Show the requests that were not served, grouped by cause
    Refusals(Filter),
    /// Show the history of a request
    Why {
        /// Request id, as in the x-gaparch-request-id header of the response
        request: GlobalRequestId,
    },
    /// Show open requests and those that ended last
    Live {
        #[arg(long, default_value_t = 50)]
        most: u32,
    },
    /// Show the event log
    Events {
        /// Only events of this engine
        #[arg(long)]
        engine: Option<String>,
        /// Start of the period as an age, such as 90s, 30m or 12h
        #[arg(long, default_value = "24h")]
        since: String,
        #[arg(long, default_value_t = 200)]
        most: u32,
    },
    /// Show the state and the events of an engine
    History { engine: String },
    /// Print events and request outcomes as they happen, one per line, until interrupted
    Follow,
    /// Shut the router down gracefully
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
    /// Only outcomes of this kind
    #[arg(long)]
    kind: Option<Kind>,
    /// Only this cause, as in the tables
    #[arg(long)]
    cause: Option<String>,
    /// Only requests that waited for this, as in the tables
    #[arg(long)]
    waited_for: Option<String>,
    #[arg(long)]
    class: Option<String>,
    #[arg(long)]
    tenant: Option<String>,
    /// Only requests that were sent to this engine, or during which it was avoided
    #[arg(long)]
    engine: Option<String>,
    /// Start of the period as an age, such as 90s, 30m or 12h
    #[arg(long)]
    since: Option<String>,
    /// List requests one by one instead of grouped
    #[arg(long)]
    list: bool,
    #[arg(long, default_value_t = 100)]
    most: u32,
}

/// Nanoseconds since the Unix epoch.
fn now() -> u64 {
    gaparch_net::Clock::default().now()
}

fn parse_within(text: &str) -> Result<Duration, String> {
    let span: gaparch_config::Span =
        text.parse().map_err(|_| format!("--within: '{text}' is not a duration, such as 30s"))?;
    Ok(span.duration())
}

/// The time, in nanoseconds since the Unix epoch, that was so long ago.
fn parse_age(text: &str) -> Result<u64, String> {
    let span: gaparch_config::Span =
        text.parse().map_err(|_| format!("--since: '{text}' is not a duration, such as 30m"))?;
    Ok(now().saturating_sub(span.0))
}

/// Parses the optional value of a flag; the error lists all valid values.
fn parse_choice<T: Copy>(
    flag: &str,
    value: &Option<String>,
    parse: fn(&str) -> Option<T>,
    all: &[T],
    name: fn(T) -> &'static str,
) -> Result<Option<T>, String> {
    let Some(value) = value else { return Ok(None) };
    let valid = || all.iter().map(|one| name(*one)).collect::<Vec<_>>().join(", ");
    parse(value).map(Some).ok_or_else(|| format!("--{flag}: '{value}' is not one of {}", valid()))
}

impl Filter {
    fn outcome_filter(&self) -> Result<OutcomeFilter, String> {
        Ok(OutcomeFilter {
            kind: self.kind.map(|kind| match kind {
                Kind::Refused => OutcomeKind::Rejected,
                Kind::Failed => OutcomeKind::Failed,
                Kind::Left => OutcomeKind::ClientDisconnected,
            }),
            cause: parse_choice(
                "cause",
                &self.cause,
                OutcomeCause::from_name,
                OutcomeCause::ALL,
                OutcomeCause::name,
            )?,
            queueing_reason: parse_choice(
                "waited-for",
                &self.waited_for,
                QueueingReason::from_name,
                QueueingReason::ALL,
                QueueingReason::name,
            )?,
            class: self.class.clone(),
            tenant: self.tenant.clone(),
            engine: self.engine.clone(),
            since: self.since.as_deref().map(parse_age).transpose()?,
            until: None,
            max: self.most,
        })
    }
}

fn order(change: Change, options: &OrderOptions, force: bool) -> Query {
    let order = Order { change, reason: options.why.clone(), force, revision: options.if_revision };
    match options.here {
        true => Query::LocalOrder { order },
        false => Query::Order { order },
    }
}

fn query(command: &Command) -> Result<Query, String> {
    let drain = |engine: &String, mode| Change::Drain { engine: engine.clone(), mode };
    Ok(match command {
        Command::Status | Command::Engines | Command::Follow => Query::Snapshot {},
        Command::Drain { engine, order: options, force } => {
            order(drain(engine, DrainMode::Drain), options, *force)
        }
        Command::Aside { engine, order: options, force } => {
            order(drain(engine, DrainMode::Detach), options, *force)
        }
        Command::Undrain { engine, order: options } => {
            order(Change::Undrain { engine: engine.clone() }, options, false)
        }
        Command::Pause { order: options } => order(Change::Pause {}, options, false),
        Command::Resume { order: options } => order(Change::Resume {}, options, false),
        Command::Limits => Query::Limits {},
        Command::Limit { name, value, order: options } => {
            let value = match value.as_str() {
                "default" => None,
                number => Some(number.parse().map_err(|_| {
                    format!(
                        "'{number}' is neither a number nor `default`; `gaparch ctl limits` shows the \
                         limits, such as {OPEN_REQUESTS}"
                    )
                })?),
            };
            order(Change::SetLimit { name: name.clone(), value }, options, false)
        }
        Command::Intents => Query::Intents {},
        Command::Members => Query::Members {},
        Command::Fleet { what: None } => Query::ListVersions {},
        Command::Fleet { what: Some(FleetCommand::Audit(audit)) } => Query::Audit { filter: audit.filter()? },
        Command::Orders => Query::OrderReplication {},
        Command::Refusals(filter) if filter.list => Query::Outcomes { filter: filter.outcome_filter()? },
        Command::Refusals(filter) => Query::OutcomeGroups { filter: filter.outcome_filter()? },
        Command::Why { request } => Query::RequestDetails { request: *request },
        Command::Live { most } => Query::OpenRequests { max: *most },
        Command::Events { engine, since, most } => {
            Query::Events { engine: engine.clone(), since: parse_age(since)?, max: *most }
        }
        Command::History { engine } => Query::Events { engine: Some(engine.clone()), since: 0, max: 200 },
        Command::Stop { why } => {
            let within = String::new();
            let options =
                OrderOptions { why: why.clone(), if_revision: None, here: true, wait: false, within };
            order(Change::Stop {}, &options, false)
        }
    })
}

pub async fn run(options: Options) -> CommandResult {
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
    let wait = options.command.order_options().filter(|order| order.wait);
    if let (Some(order), Answer::Done { effect, .. }) = (wait, &answer) {
        if !options.json {
            println!("{effect}");
        }
        return wait_for_replication(&mut client, parse_within(&order.within)?, options.json).await;
    }
    let code = exit_code(&answer);
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

fn exit_code(answer: &Answer) -> ExitCode {
    match answer {
        Answer::Denied { code: DenyCode::NotPersisted, .. } => ExitCode::from(NOT_PERSISTED),
        Answer::Denied { .. } => ExitCode::from(DENIED),
        Answer::RequestDetails { outcome: None, open: None } => ExitCode::from(NOT_FOUND),
        _ => ExitCode::SUCCESS,
    }
}

impl Command {
    /// The options of an order; `None` for other commands.
    fn order_options(&self) -> Option<&OrderOptions> {
        match self {
            Command::Drain { order, .. }
            | Command::Aside { order, .. }
            | Command::Undrain { order, .. }
            | Command::Pause { order }
            | Command::Resume { order }
            | Command::Limit { order, .. } => Some(order),
            _ => None,
        }
    }
}

/// Polls until all routers that may be alive have persisted the orders in force; prints each router that has.
async fn wait_for_replication(client: &mut OpsClient, within: Duration, json: bool) -> CommandResult {
    let deadline = tokio::time::Instant::now() + within;
    let mut printed = std::collections::BTreeSet::new();
    loop {
        let answer = client.query(Query::OrderReplication {}).await?;
        let Answer::OrderReplication { replication } = &answer else {
            let Answer::Denied { message, .. } = &answer else { return Err(OpsError::Protocol.into()) };
            return Err(message.clone().into());
        };
        let timed_out = tokio::time::Instant::now() >= deadline;
        if json && (replication.complete || timed_out) {
            println!("{}", serde_json::to_string_pretty(&answer)?);
        } else if !json {
            for row in replication.rows.iter().filter(|r| r.has_all) {
                if printed.insert(row.router.clone()) {
                    println!("{}: in force and persisted", row.router);
                }
            }
        }
        if replication.complete {
            if !json {
                println!("complete");
            }
            return Ok(ExitCode::SUCCESS);
        }
        if timed_out {
            if !json {
                for row in replication.rows.iter().filter(|r| !r.has_all) {
                    println!("{}: unknown (member state: {})", row.router, row.state);
                }
                println!("NOT complete");
            }
            return Ok(ExitCode::from(REPLICATION_INCOMPLETE));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn follow(client: &mut OpsClient, json: bool) -> CommandResult {
    client.send(Query::Subscribe {}).await?;
    let stop = super::shutdown_signal();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            _ = &mut stop => return Ok(ExitCode::SUCCESS),
            received = client.next() => {
                if let Incoming::Update(update) = received? {
                    match json {
                        true => println!("{}", serde_json::to_string(&update)?),
                        false => print!("{}", show::update(&update, now())),
                    }
                }
            }
        }
    }
}
