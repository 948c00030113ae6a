//! A soak test of routers in service: a few dozen processes on loopback, two or three troubles at a time, judged by what
//! clients, workers and the discovery service recorded.
//!
//! Routers and workers are processes of the program. Before each worker stands a relay whose connections fall silent, are
//! reset or come up late; each router has an agent of the discovery service, and a shim that makes its system calls fail
//! and shifts its wall clock. All times are of the machine's monotonic clock, which all processes share.

mod clients;
mod discovery;
mod faults;
mod judge;
mod processes;
mod proxy;
mod shim;
mod site;
mod worker;

pub use judge::{judge, Facts, RouterFacts, WorkerFacts};
pub use shim::{Shim, Steering};
pub use worker::run as run_worker;

use clients::Answer;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// What to play.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program whose workers stand in.
    pub program: PathBuf,
    /// The program whose routers are tried.
    pub routers_program: PathBuf,
    pub seed: u64,
    pub span: Duration,
    pub routers: usize,
    pub workers: usize,
    /// Requests a second to each router.
    pub requests_per_s: f64,
    /// What a busy machine adds to every limit of the rules.
    pub slack: Duration,
    /// Keep what was logged and recorded in this folder.
    pub keep: Option<PathBuf>,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    pub seed: u64,
    /// The troubles, with when they began.
    pub troubles: Vec<String>,
    pub answers: BTreeMap<String, usize>,
    pub breaches: Vec<String>,
}

impl Report {
    pub fn holds(&self) -> bool {
        self.breaches.is_empty()
    }

    /// Requests that were served to their end.
    pub fn served(&self) -> usize {
        self.answers.get(&format!("{:?}", Answer::Served)).copied().unwrap_or(0)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "soak seed {}: {} troubles, answers {:?}", self.seed, self.troubles.len(), self.answers)?;
        if self.holds() {
            return write!(f, "soak seed {}: all invariants hold", self.seed);
        }
        self.troubles.iter().try_for_each(|trouble| writeln!(f, "  trouble {trouble}"))?;
        self.breaches.iter().try_for_each(|breach| writeln!(f, "  BREACH {breach}"))?;
        write!(f, "soak seed {}: {} breaches", self.seed, self.breaches.len())
    }
}

/// Plays one run and judges it.
///
/// # Errors
/// When a process can't be started, or there is no C compiler for the shim.
pub async fn play(options: &Options) -> io::Result<Report> {
    let site = site::Site::start(options).await?;
    let (facts, troubles) = site.play(options).await?;
    let mut answers: BTreeMap<String, usize> = BTreeMap::new();
    for asked in &facts.asked {
        *answers.entry(format!("{:?}", asked.answer)).or_default() += 1;
    }
    Ok(Report { seed: options.seed, troubles, answers, breaches: judge(&facts) })
}
