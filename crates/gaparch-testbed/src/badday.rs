//! A bad day of about a minute on loopback: three routers, ten engines in two zones and four racks, two
//! classes and three tenants, clients that leave at every stage, and one trouble after the other.

use crate::checker::{self, Effect, Figures, Verdict};
use crate::load::{Answered, Client, Patience, Question, Summary};
use crate::record::{Ask, End, Entry, Record};
use crate::site::{Plan, Site, SiteError};
use gaparch_engine::Fault;
use gaparch_net::Clock;
use gaparch_protocol::client::Dialect;
use gaparch_protocol::ops::intent::{Change, DrainMode};
use gaparch_protocol::ops::Answer;
use gaparch_scheduler::api::{Nanos, ServerState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

const S: Nanos = 1_000_000_000;
const ROUTERS: usize = 3;
const READERS: usize = 4;
const WRITERS: usize = 6;

/// How long and how hard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Day {
    pub seed: u64,
    /// The script's times are parts of this.
    pub length: Duration,
    /// Requests a second, all routers together.
    pub rate: f64,
}

impl Default for Day {
    fn default() -> Self {
        Day { seed: 1, length: Duration::from_secs(50), rate: 40.0 }
    }
}

/// One thing that happens, at a part of the day.
#[derive(Clone, Debug, PartialEq)]
enum Trouble {
    Engine(String, Fault),
    List(String, ServerState),
    KillRouter(usize),
    StartRouter(usize),
    /// An operator at each router drains an engine, or takes that back.
    Drain(String, bool),
    /// An operator pauses the intake of a router, or resumes it.
    Pause(usize, bool),
}

/// The troubles of a day; which engine each one hits comes from the seed.
fn script(rng: &mut ChaCha8Rng) -> Vec<(f64, Trouble)> {
    let mut readers: Vec<String> = (0..READERS).map(|n| format!("read-{n}")).collect();
    let mut writers: Vec<String> = (0..WRITERS).map(|n| format!("write-{n}")).collect();
    let mut draw = |from: &mut Vec<String>| from.swap_remove(rng.random_range(0..from.len()));
    let (crashed, drained) = (draw(&mut readers), draw(&mut writers));
    let (slow, cut) = (draw(&mut writers), draw(&mut writers));
    let (throttled, paused) = (draw(&mut readers), draw(&mut writers));
    // Of those that nothing else befalls.
    let (held_reader, held_writer) = (draw(&mut readers), draw(&mut writers));
    let router = rng.random_range(0..ROUTERS);
    let pauses = (router + 1) % ROUTERS;
    let engine = |name: &String, fault| Trouble::Engine(name.clone(), fault);
    let list = |name: &String, state| Trouble::List(name.clone(), state);
    vec![
        (0.10, engine(&crashed, Fault::Crash)),
        (0.14, engine(&slow, Fault::Slow(6.0))),
        // The list is late by a second or two, and the replacement is cold.
        (0.16, list(&crashed, ServerState::Draining)),
        (0.20, engine(&crashed, Fault::Start)),
        (0.22, list(&crashed, ServerState::Ready)),
        // Under fire: while the list drains another writer, and a router is killed that must know it after.
        (0.33, Trouble::Drain(held_writer.clone(), true)),
        (0.30, list(&drained, ServerState::Draining)),
        (0.31, engine(&drained, Fault::Drain(1_500_000_000))),
        (0.36, engine(&slow, Fault::Slow(1.0))),
        (0.38, list(&drained, ServerState::Removed)),
        (0.42, Trouble::KillRouter(router)),
        (0.44, engine(&drained, Fault::Start)),
        (0.45, list(&drained, ServerState::Ready)),
        (0.48, Trouble::StartRouter(router)),
        (0.49, Trouble::Pause(pauses, true)),
        (0.50, engine(&throttled, Fault::FullToClass(Some(1)))),
        (0.51, Trouble::Pause(pauses, false)),
        (0.54, Trouble::Drain(held_writer, false)),
        (0.55, engine(&cut, Fault::CutLink(true))),
        (0.58, Trouble::Drain(held_reader.clone(), true)),
        (0.62, engine(&throttled, Fault::FullToClass(None))),
        (0.64, engine(&cut, Fault::CutLink(false))),
        (0.66, Trouble::Drain(held_reader, false)),
        (0.68, engine(&paused, Fault::Pause(true))),
        (0.70, engine(&throttled, Fault::SilentToClass(Some(0)))),
        (0.72, engine(&paused, Fault::Pause(false))),
        (0.78, engine(&throttled, Fault::SilentToClass(None))),
        (0.80, engine(&slow, Fault::Errors(0.5))),
        (0.82, engine(&paused, Fault::SlowMoves(8.0))),
        (0.88, engine(&slow, Fault::Errors(0.0))),
        (0.90, engine(&paused, Fault::SlowMoves(1.0))),
    ]
}

/// What came of a day.
#[derive(Debug, Default)]
pub struct Report {
    /// What went over the sockets.
    pub entries: Vec<Entry>,
    pub verdict: Verdict,
    pub summary: Summary,
    /// Worth asked for and served in time, by class and by tenant.
    pub by_class: BTreeMap<&'static str, Worth>,
    pub by_tenant: BTreeMap<&'static str, Worth>,
    pub left: u64,
    /// Orders of the operator, and those denied.
    pub orders: (usize, usize),
    /// The longest that an owner was late, and how often it was by over 10 ms.
    pub lag: (Duration, u64),
    pub overdue: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Worth {
    pub asked: f64,
    pub served: f64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.verdict, self.summary)?;
        writeln!(f, "{} left by themselves", self.left)?;
        for (what, all) in [("class", &self.by_class), ("tenant", &self.by_tenant)] {
            for (name, worth) in all {
                let share = worth.served / worth.asked.max(1e-9);
                writeln!(
                    f,
                    "{what} {name}: worth served in time {:.0} of {:.0}, {share:.3}",
                    worth.served, worth.asked
                )?;
            }
        }
        writeln!(f, "{} orders of operators, {} denied", self.orders.0 + self.orders.1, self.orders.1)?;
        writeln!(
            f,
            "owner late at most {:.1} ms, by over 10 ms {} times",
            self.lag.0.as_secs_f64() * 1e3,
            self.lag.1
        )
    }
}

const TENANTS: [(&str, f64, f64); 3] = [("app", 30.0, 0.5), ("web", 20.0, 0.3), ("partner", 12.0, 0.2)];

/// The site of a bad day.
pub fn plan() -> Plan {
    Plan {
        routers: ROUTERS,
        operations: true,
        tenants: TENANTS.iter().map(|(name, rate, _)| (*name, *rate)).collect(),
        ..Plan::small(READERS, WRITERS)
    }
}

/// The figures by which the plan's record is judged.
pub fn figures(plan: &Plan) -> Figures {
    Figures {
        effects: vec![Effect::Safe; plan.classes.len()],
        engines: plan.engines.clone(),
        release_within: S / 2,
        drain_grace: S / 2,
        answer_slack: S / 20,
        margin: S / 10,
    }
}

/// Plays a day and judges it.
///
/// # Errors
/// When the site can't be started.
pub async fn play(day: Day) -> Result<Report, SiteError> {
    let mut site = Site::start(plan()).await?;
    site.settle().await;
    let mut rng = ChaCha8Rng::seed_from_u64(day.seed);
    let troubles = script(&mut rng);
    let began = Instant::now();
    let front = Front::new(&site);
    let load = tokio::spawn(load(day, began, front.clone(), site.clock, site.record.clone(), rng));
    let mut lag = (Duration::ZERO, 0);
    let mut orders = (0, 0);
    for (part, trouble) in troubles {
        sleep_until(began + day.length.mul_f64(part)).await;
        tracing::info!(?trouble, "at {part:.2} of the day");
        match trouble {
            Trouble::Engine(engine, fault) => site.fault(&engine, fault).await,
            Trouble::List(engine, state) => {
                relist(&site, &engine, state);
            }
            Trouble::KillRouter(router) => {
                note_lag(&site, &mut lag);
                site.kill_router(router);
                front.set(router, false);
            }
            Trouble::StartRouter(router) => {
                site.start_again(router).await?;
                front.set(router, true);
            }
            Trouble::Drain(engine, drained) => {
                let change = match drained {
                    true => Change::Drain { engine, mode: DrainMode::Drain },
                    false => Change::Undrain { engine },
                };
                for router in 0..ROUTERS {
                    order(&site, router, change.clone(), &mut orders).await;
                }
            }
            Trouble::Pause(router, paused) => {
                let change = if paused { Change::Pause {} } else { Change::Resume {} };
                order(&site, router, change, &mut orders).await;
            }
        }
    }
    let (answers, left) = load.await.map_err(std::io::Error::other)?;
    note_lag(&site, &mut lag);
    // What was held for the last ones is let go of, or would be found pinned.
    tokio::time::sleep(Duration::from_millis(900)).await;
    let mut overdue = 0;
    for router in 0..ROUTERS {
        overdue += site.stop_router(router).await.map_or(0, |counts| counts.overdue);
    }
    let entries = site.record.entries();
    let verdict = checker::check_entries(&entries, &figures(site.plan()));
    Ok(Report { entries, verdict, left, lag, orders, overdue, ..report(answers, day) })
}

/// Puts an order at a router; one that is dead has nobody to take it.
async fn order(site: &Site, router: usize, change: Change, orders: &mut (usize, usize)) {
    let Ok(mut operator) = site.operator(router).await else { return };
    match operator.order(change, false).await {
        Ok((_, Answer::Done { .. })) => orders.0 += 1,
        Ok((_, answer)) => {
            tracing::warn!(?answer, "an order was denied");
            orders.1 += 1;
        }
        Err(error) => tracing::warn!(%error, "an order was lost"),
    }
}

fn relist(site: &Site, engine: &str, state: ServerState) {
    if !site.list.set_state(engine, state) {
        // It was gone: its entry comes back.
        let spec = site.plan().engines.iter().find(|e| e.name == engine);
        let address = site.engines.get(engine).map(|e| e.address());
        if let Some((spec, address)) = spec.zip(address) {
            site.list.set(crate::site::entry(spec, address, state));
        }
    }
}

fn note_lag(site: &Site, lag: &mut (Duration, u64)) {
    for router in 0..ROUTERS {
        if let Some(seen) = site.router(router).map(|r| r.lag()) {
            *lag = (lag.0.max(seen.max), lag.1 + seen.late);
        }
    }
}

/// A plain front: it spreads clients over the routers it believes in, and learns late of a dead one.
#[derive(Clone)]
struct Front {
    alive: Arc<Mutex<Vec<(SocketAddr, bool)>>>,
}

impl Front {
    fn new(site: &Site) -> Front {
        let alive = (0..ROUTERS).map(|r| (site.address(r), true)).collect();
        Front { alive: Arc::new(Mutex::new(alive)) }
    }

    fn set(&self, router: usize, alive: bool) {
        self.alive.lock().unwrap_or_else(PoisonError::into_inner)[router].1 = alive;
    }

    fn choose(&self, number: u64) -> (usize, SocketAddr) {
        let alive = self.alive.lock().unwrap_or_else(PoisonError::into_inner);
        let first = number as usize % alive.len();
        let ring = (0..alive.len()).map(|n| (first + n) % alive.len());
        let router = ring.clone().find(|r| alive[*r].1).unwrap_or(first);
        (router, alive[router].0)
    }
}

type Answers = Vec<(usize, usize, Answered, Duration)>;

async fn load(
    day: Day,
    began: Instant,
    front: Front,
    clock: Clock,
    record: Record,
    mut rng: ChaCha8Rng,
) -> (Answers, u64) {
    let dialect = Dialect::builtin("own").map(Arc::new);
    let Some(dialect) = dialect else { return (Vec::new(), 0) };
    let client = Client { clock, record, dialect };
    let mut clients = JoinSet::new();
    let mut at = Duration::ZERO;
    let mut number = 0;
    loop {
        let draw: f64 = rng.random_range(f64::EPSILON..1.0);
        // A burst of twice the traffic in the middle of the day.
        let part = at.as_secs_f64() / day.length.as_secs_f64();
        let rate = if (0.58..0.64).contains(&part) { day.rate * 2.0 } else { day.rate };
        at += Duration::from_secs_f64(-draw.ln() / rate);
        if at >= day.length {
            break;
        }
        number += 1;
        sleep_until(began + at).await;
        let (router, address) = front.choose(number);
        let question = question(number, router, address, &mut rng);
        let aim = Duration::from_nanos(question.aim);
        let (class, tenant, client) = (question.class, question.tenant, client.clone());
        clients.spawn(async move { (class, tenant, client.put(question).await, aim) });
    }
    let mut answers = Vec::new();
    let mut left = 0;
    while let Some(done) = clients.join_next().await {
        if let Ok(done) = done {
            left += u64::from(done.2.left);
            answers.push(done);
        }
    }
    (answers, left)
}

fn question(number: u64, router: usize, address: SocketAddr, rng: &mut ChaCha8Rng) -> Question {
    let class = usize::from(rng.random_bool(0.44));
    let draw: f64 = rng.random_range(0.0..1.0);
    let tenant = match draw {
        d if d < 0.5 => 0,
        d if d < 0.8 => 1,
        _ => 2,
    };
    let prompt_tokens = rng.random_range(300..3000);
    let answer_tokens = if class == 0 { rng.random_range(10..50) } else { rng.random_range(40..140) };
    let patience = match rng.random_range(0..20) {
        0 => Patience::Leaves(Duration::from_millis(rng.random_range(1..200))),
        1 => Patience::LeavesAfter(rng.random_range(1..20)),
        _ => Patience::Stays,
    };
    let (aim, aim_per_k, deadline) =
        if class == 0 { (S, S * 6 / 100, 5 * S) } else { (S * 3 / 2, S * 4 / 100, 6 * S) };
    let longer = aim_per_k * Nanos::from(prompt_tokens) / 1000;
    Question {
        ask: Ask(number),
        router: Site::router_name(router),
        address,
        key: Some(format!("{}-key-0001", TENANTS[tenant].0)),
        class,
        class_name: ["question", "transfer"][class].to_owned(),
        tenant,
        session: Some(format!("session-{}", rng.random_range(0..200))),
        prefix: Some((format!("beginning-{}", rng.random_range(0..6)), prompt_tokens / 2)),
        prompt_tokens,
        max_tokens: answer_tokens * 2,
        answer_tokens,
        stream: rng.random_bool(0.8),
        aim: aim + longer,
        deadline: deadline + 2 * longer,
        patience,
    }
}

fn report(answers: Answers, day: Day) -> Report {
    let mut summary = Summary::default();
    let mut by_class: BTreeMap<&'static str, Worth> = BTreeMap::new();
    let mut by_tenant: BTreeMap<&'static str, Worth> = BTreeMap::new();
    for (class, tenant, answered, aim) in answers {
        summary.add(&answered);
        if answered.left {
            continue;
        }
        let worth = [1.0, 3.0][class];
        let served = matches!(answered.end, Some(End::Served { .. }));
        let in_time = served && answered.first_after.is_some_and(|first| first <= aim);
        for sum in [
            by_class.entry(["question", "transfer"][class]).or_default(),
            by_tenant.entry(TENANTS[tenant].0).or_default(),
        ] {
            sum.asked += worth;
            sum.served += if in_time { worth } else { 0.0 };
        }
    }
    summary.took = day.length;
    Report { summary, by_class, by_tenant, ..Report::default() }
}
