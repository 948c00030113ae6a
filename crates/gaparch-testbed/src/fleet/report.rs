//! The report of a scenario, as text and as JSON.

use super::observations::{Observations, StaleRequest};
use super::runner::Answered;
use crate::checker::Verdict;
use std::fmt;
use std::time::Duration;

/// Bytes per second that a router may send to its peers, independent of the fleet size.
const MAX_BYTES_PER_S: f64 = 65_536.0;
/// A request that reaches an engine this long after its drain counts as late.
pub(super) const LATE_AFTER_DRAIN: Duration = Duration::from_millis(500);

/// The result of one expectation: how long each observer took, or why it failed.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpectationResult {
    pub what: String,
    pub took: Vec<Duration>,
    pub failure: Option<String>,
}

/// The report of a scenario.
#[derive(Clone, Debug)]
pub struct Report {
    pub name: String,
    pub says: String,
    pub results: Vec<ExpectationResult>,
    pub false_deaths: Vec<String>,
    /// The largest sum of the limit shares that all running routers used at the same time.
    pub max_limit_share: f64,
    pub bytes_per_s: f64,
    pub verdict: Verdict,
    pub answered: Answered,
    pub crashes: Vec<String>,
    pub samples: usize,
    /// Whether the scenario starts an engine cold.
    pub starts_cold: bool,
    /// The false deaths and the sum of limit shares that the scenario allows.
    pub allowed: (usize, f64),
    /// Once the list service has drained an engine for this long, no request may reach it.
    pub stale_after: Option<Duration>,
    /// Everything that was observed.
    pub observations: Observations,
}

impl Report {
    /// All failures, as text.
    pub fn failures(&self) -> Vec<String> {
        let mut failures: Vec<String> = self
            .results
            .iter()
            .filter_map(|f| Some(format!("{}: {}", f.what, f.failure.as_ref()?)))
            .collect();
        if self.false_deaths.len() > self.allowed.0 {
            failures.extend(self.false_deaths.iter().cloned());
        }
        failures.extend(self.crashes.iter().cloned());
        // Whatever the views are, the sum is below 2 (proved in `quorum` of `gaparch-membership`); it is at
        // most 1 unless a running router was declared dead.
        if self.max_limit_share > self.allowed.1 + 1e-6 {
            failures.push(format!("running routers used {:.3} of a limit at once", self.max_limit_share));
        }
        if self.bytes_per_s > MAX_BYTES_PER_S {
            failures.push(format!("a router sent {:.0} bytes a second to its peers", self.bytes_per_s));
        }
        for (number, rule) in self.verdict.rules.iter().enumerate() {
            failures.extend(rule.broken.iter().take(3).map(|b| format!("rule {}: {b}", number + 1)));
        }
        if let Some(bound) = self.stale_after {
            let late: Vec<&StaleRequest> =
                self.observations.stale_requests.iter().filter(|s| s.late > bound).collect();
            if let Some(worst) = late.iter().max_by_key(|s| s.late) {
                failures.push(format!(
                    "{} came to drained engines later than {:.1} s after, the last to {} by {} after {:.1} s",
                    late.len(),
                    bound.as_secs_f64(),
                    worst.engine,
                    worst.router,
                    worst.late.as_secs_f64()
                ));
            }
            if self.observations.lists.iter().all(|l| l.drained.is_empty()) {
                failures.push("no engine was drained".to_owned());
            }
        }
        if self.starts_cold && self.verdict.rules[3].checked == 0 {
            failures.push("no cold engine was observed, although one was started".to_owned());
        }
        if self.samples == 0 {
            failures.push("no router was observed".to_owned());
        }
        failures
    }

    pub fn passed(&self) -> bool {
        self.failures().is_empty()
    }

    /// As JSON, for scripts.
    pub fn to_json(&self) -> serde_json::Value {
        let ms = |d: &Duration| d.as_millis() as u64;
        let result = |f: &ExpectationResult| {
            let took: Vec<u64> = f.took.iter().map(ms).collect();
            serde_json::json!({ "what": f.what, "took_ms": took, "short": f.failure })
        };
        serde_json::json!({
            "day": self.name,
            "says": self.says,
            "holds": self.passed(),
            "wants": self.results.iter().map(result).collect::<Vec<_>>(),
            "false_deaths": self.false_deaths,
            "most_parts": self.max_limit_share,
            "bytes_per_s": self.bytes_per_s,
            "requests": self.answered.0,
            "served": self.answered.1,
            "short": self.failures(),
        })
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.passed() { "holds" } else { "FAILED" };
        write!(f, "{:<14} {word:<12}", self.name)?;
        for result in self.results.iter().filter(|result| !result.took.is_empty()) {
            let mut took = result.took.clone();
            took.sort_unstable();
            let median = took[took.len() / 2].as_secs_f64();
            let worst = took[took.len() - 1].as_secs_f64();
            write!(f, " {} {median:.1}/{worst:.1} s;", result.what)?;
        }
        let broken: u64 = self.verdict.rules.iter().map(|r| r.broken_count).sum();
        write!(
            f,
            " false deaths {}; parts {:.2}; {:.0} B/s; {} of {} served; rules broken {broken}",
            self.false_deaths.len(),
            self.max_limit_share,
            self.bytes_per_s,
            self.answered.1,
            self.answered.0
        )?;
        let lag = &self.observations.lab_lag;
        write!(f, "; lab late by {} ms, {} of {} timers", lag.max.as_millis(), lag.late, lag.rounds)?;
        if self.starts_cold {
            write!(
                f,
                "; cold engines got {:.0} % of the permitted load",
                self.verdict.rules[3].nearest * 100.0
            )?;
        }
        if let Some(audit) = &self.observations.audit {
            let word = if audit.complete { "complete" } else { "incomplete" };
            write!(f, "; audit of {} rows {word}", audit.rows.len())?;
            let newest = audit.rows.iter().map(|r| r.list.version).max().unwrap_or(0);
            for row in audit.rows.iter().filter(|r| r.list.version < newest && !r.confirmed) {
                let late = self
                    .observations
                    .stale_requests
                    .iter()
                    .filter(|s| s.router == row.router && s.engine == row.sends.engine);
                let late: Vec<&StaleRequest> = late.filter(|s| s.late > LATE_AFTER_DRAIN).collect();
                if !late.is_empty() {
                    write!(
                        f,
                        "\n    the audit names {}: {} reads and {} writes to {} under list {}.{}, \
                         which was not confirmed to it; \
                         the engine received {} late requests after its drain",
                        row.router,
                        row.sends.prefills,
                        row.sends.decodes,
                        row.sends.engine,
                        row.list.rank,
                        row.list.version,
                        late.len()
                    )?;
                }
            }
        }
        if self.stale_after.is_some() {
            let worst = self.observations.stale_requests.iter().map(|s| s.late).max().unwrap_or_default();
            write!(
                f,
                "; {} requests to drained engines, the latest {:.2} s after the drain",
                self.observations.stale_requests.len(),
                worst.as_secs_f64()
            )?;
        }
        for failure in self.failures() {
            write!(f, "\n    {failure}")?;
        }
        Ok(())
    }
}
