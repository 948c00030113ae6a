//! What a fleet of many routers before many workers costs, measured: `gaparch lab scale`.
//!
//! Two ways of running. [`real`] starts processes of the built program before stand-ins on loopback; [`hollow`] plays
//! many decision modules in virtual time. Each row takes figures at several sizes; [`fit`] gives their slopes and what
//! they come to in the fleet that is designed for ([`target`]).

pub mod decision;
pub mod fit;
pub mod hollow;
pub mod knowledge;
mod layout;
pub mod real;
pub mod report;
pub mod router;
mod settings;
pub mod target;
mod watches;

use hollow::Shape;
use knowledge::Span;
use real::AnswerPace;
use report::{Figure, ScaleReport};
use router::Phases;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde::Serialize;
use std::fmt;
use std::io;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::task::spawn_blocking;

/// Workers of the largest list, unless told otherwise.
const WORKERS: usize = target::WORKERS;
/// Workers of the largest hollow fleet, unless told otherwise.
const HOLLOW_WORKERS: usize = 800;
const QUICK_HOLLOW_WORKERS: usize = 200;
/// The least that a slope can be fitted to.
const LEAST_WORKERS: usize = 100;
const MOST_WORKERS: usize = 16_000;
const MOST_ROUTERS: usize = 5_000;
const MOST_ZONES: usize = 100;
/// Days that are played at once in a hollow fleet, each with its own modules.
const DAYS_AT_ONCE: u64 = 4;
/// Descriptors that a run needs besides one for each worker.
const DESCRIPTORS: u64 = 6_000;

/// A row of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Row {
    Decision,
    Router,
    List,
    Messages,
    Connections,
    Knowledge,
}

impl Row {
    pub const ALL: [Row; 6] =
        [Row::Decision, Row::Router, Row::List, Row::Messages, Row::Connections, Row::Knowledge];

    fn name(self) -> &'static str {
        match self {
            Row::Decision => "decision",
            Row::Router => "router",
            Row::List => "list",
            Row::Messages => "messages",
            Row::Connections => "connections",
            Row::Knowledge => "knowledge",
        }
    }

    /// Whether processes are run for it; one run gives all such rows.
    fn is_of_processes(self) -> bool {
        matches!(self, Row::Router | Row::List | Row::Messages | Row::Connections)
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// There is no such row.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("there is no row '{0}': there are decision, router, list, messages, connections and knowledge")]
pub struct UnknownRow(String);

impl FromStr for Row {
    type Err = UnknownRow;

    fn from_str(name: &str) -> Result<Row, UnknownRow> {
        Row::ALL.into_iter().find(|row| row.name() == name).ok_or_else(|| UnknownRow(name.to_owned()))
    }
}

/// What is to be run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Watches at the catalogue, at most.
    pub routers: Option<usize>,
    /// Workers, at most.
    pub workers: Option<usize>,
    pub zones: Option<usize>,
    pub seed: u64,
    pub rows: Vec<Row>,
    pub quick: bool,
    /// The program whose processes are started.
    pub program: PathBuf,
}

/// Why nothing is started.
#[derive(Debug, Error)]
pub enum ScaleError {
    #[error("--{option} {value}: {least} to {most} are possible")]
    Size { option: &'static str, value: usize, least: usize, most: usize },
    #[error("--workers {workers} in a hollow fleet of {routers} routers needs some {needed} MB, over half of this machine's memory ({most} MB)")]
    Memory { workers: usize, routers: usize, needed: u64, most: u64 },
    #[error("{needed} descriptors are needed, the limit is {limit}")]
    Descriptors { needed: u64, limit: u64 },
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The sizes of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Sizes {
    lists: Vec<usize>,
    hollow: Vec<usize>,
    watches: Vec<usize>,
    zones: usize,
}

/// A part of a run that gives one or more rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Decision,
    Processes,
    Watches,
    Knowledge,
}

impl Stage {
    /// The row that it is told as.
    fn row(self) -> Row {
        match self {
            Stage::Decision => Row::Decision,
            Stage::Processes => Row::Router,
            Stage::Watches => Row::List,
            Stage::Knowledge => Row::Knowledge,
        }
    }
}

impl Options {
    /// What the rows need, in its order.
    fn stages(&self) -> Vec<Stage> {
        let wants = |row: Row| self.rows.contains(&row);
        let all = [
            (wants(Row::Decision), Stage::Decision),
            (self.rows.iter().any(|row| row.is_of_processes()), Stage::Processes),
            (wants(Row::List), Stage::Watches),
            (wants(Row::Knowledge), Stage::Knowledge),
        ];
        all.into_iter().filter(|(wanted, _)| *wanted).map(|(_, stage)| stage).collect()
    }

    fn sizes(&self) -> Result<Sizes, ScaleError> {
        let check = |option, value: Option<usize>, least, most| match value {
            Some(value) if !(least..=most).contains(&value) => {
                Err(ScaleError::Size { option, value, least, most })
            }
            _ => Ok(()),
        };
        check("workers", self.workers, LEAST_WORKERS, MOST_WORKERS)?;
        check("routers", self.routers, 4, MOST_ROUTERS)?;
        check("zones", self.zones, 1, MOST_ZONES)?;
        let usual = if self.quick { QUICK_HOLLOW_WORKERS } else { HOLLOW_WORKERS };
        let workers = self.workers.unwrap_or(WORKERS);
        let hollow = self.workers.unwrap_or(usual);
        let watches = self.routers.unwrap_or(target::ROUTERS);
        let sizes = Sizes {
            lists: vec![workers / 100, workers / 25, workers / 10, workers * 4 / 10, workers],
            hollow: vec![hollow / 8, hollow / 4, hollow / 2, hollow],
            watches: vec![watches / 13, watches / 4, watches / 2, watches],
            zones: self.zones.unwrap_or(target::ZONES),
        };
        self.check_memory(&sizes)?;
        Ok(sizes.with_least())
    }

    fn check_memory(&self, sizes: &Sizes) -> Result<(), ScaleError> {
        if !self.rows.contains(&Row::Knowledge) {
            return Ok(());
        }
        const MEGABYTE: u64 = 1 << 20;
        let largest = hollow::shape(sizes.hollow[sizes.hollow.len() - 1], self.seed);
        let (needed, most) = (largest.memory() * DAYS_AT_ONCE, target::memory_bound());
        if needed > most {
            let Shape { workers, routers, .. } = largest;
            return Err(ScaleError::Memory {
                workers,
                routers,
                needed: needed / MEGABYTE,
                most: most / MEGABYTE,
            });
        }
        Ok(())
    }
}

impl Sizes {
    /// A list has readers and writers of some cells at least.
    fn with_least(mut self) -> Sizes {
        const LEAST: usize = 24;
        let sizes = [&mut self.lists, &mut self.hollow];
        sizes.into_iter().flatten().for_each(|size| *size = (*size).max(LEAST));
        self.watches.iter_mut().for_each(|size| *size = (*size).max(1));
        self
    }
}

/// So many steps does a run take; each is told as it is done.
fn steps(options: &Options, sizes: &Sizes) -> u64 {
    let of = |stage: &Stage| match stage {
        Stage::Decision | Stage::Processes => sizes.lists.len(),
        Stage::Watches => sizes.watches.len(),
        Stage::Knowledge => sizes.hollow.len() * seeds(options).len(),
    };
    options.stages().iter().map(of).sum::<usize>() as u64
}

fn seeds(options: &Options) -> Vec<u64> {
    let count = if options.quick { 1 } else { 2 };
    (0..count).map(|number| options.seed + number).collect()
}

/// Listeners of thousands of workers need as many descriptors.
///
/// # Errors
/// When the system allows fewer.
pub fn raise_descriptors(workers: usize) -> Result<(), ScaleError> {
    let needed = workers as u64 + DESCRIPTORS;
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= needed) {
        return Ok(());
    }
    let most = limit.maximum.unwrap_or(u64::MAX);
    if most < needed {
        return Err(ScaleError::Descriptors { needed, limit: most });
    }
    let raised = Rlimit { current: Some(needed), maximum: limit.maximum };
    setrlimit(Resource::Nofile, raised).map_err(io::Error::from)?;
    Ok(())
}

/// Is told the row of each step that is done, and how many steps there are.
pub type Progress = Arc<dyn Fn(Row, u64) + Send + Sync>;

/// Runs the rows. `progress` is told each step and how many there are.
///
/// # Errors
/// When sizes make no sense or don't fit this machine, before anything is started; or when a router does not start.
pub async fn run(options: &Options, progress: Progress) -> Result<ScaleReport, ScaleError> {
    let sizes = options.sizes()?;
    raise_descriptors(sizes.lists[sizes.lists.len() - 1])?;
    let all = steps(options, &sizes);
    let began = Instant::now();
    let mut figures: Vec<Figure> = Vec::new();
    for stage in options.stages() {
        let progress = Arc::clone(&progress);
        let step = move || progress(stage.row(), all);
        let lists = sizes.lists.clone();
        match stage {
            Stage::Decision => {
                let (zones, seed) = (sizes.zones, options.seed);
                let measured = spawn_blocking(move || decision::figures(&lists, zones, seed, step));
                figures.extend(measured.await.map_err(io::Error::from)?);
            }
            Stage::Processes => {
                let phases = phases(options.quick);
                let measured = router::figures(&lists, sizes.zones, phases, &options.program, step).await?;
                figures.extend(measured.into_iter().filter(|figure| options.rows.contains(&figure.row)));
            }
            Stage::Watches => {
                let workers = lists[lists.len() - 1];
                figures.extend(watches::figures(&sizes.watches, workers, step).await?);
            }
            Stage::Knowledge => {
                let span = if options.quick { QUICK_SPAN } else { SPAN };
                let (hollow, seeds) = (sizes.hollow.clone(), seeds(options));
                let measured = spawn_blocking(move || knowledge::figures(&hollow, &seeds, span, step));
                figures.extend(measured.await.map_err(io::Error::from)?);
            }
        }
    }
    let short = figures.iter().filter_map(Figure::short).collect();
    Ok(ScaleReport {
        seed: options.seed,
        quick: options.quick,
        cores: std::thread::available_parallelism().map_or(1, usize::from),
        took_s: began.elapsed().as_secs_f64(),
        found: figures.into_iter().map(Figure::found).collect(),
        short,
    })
}

const SPAN: Span = Span { warm_up: 20.0, counted: 10.0 };
const QUICK_SPAN: Span = Span { warm_up: 4.0, counted: 4.0 };

fn phases(quick: bool) -> Phases {
    let seconds = Duration::from_secs;
    if quick {
        // The target's answers at twelve times its pace.
        let answers = AnswerPace { gap: AnswerPace::of_target().gap / 12, ..AnswerPace::of_target() };
        Phases { idle: seconds(1), load: seconds(1), measured: seconds(1), answers }
    } else {
        // Answers take twelve seconds: before that not all of a peak's are open.
        Phases { idle: seconds(3), load: seconds(13), measured: seconds(4), answers: AnswerPace::of_target() }
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
