//! What came of a scenario: its findings, as a text and as JSON.

use super::observations::{Seen, Stale};
use super::rig::Answered;
use crate::checker::Verdict;
use std::fmt;
use std::time::Duration;

/// Bytes a second that a router may send to others, whatever their number.
const MOST_BYTES_PER_S: f64 = 65_536.0;
/// What comes to an engine so long after its drain is late.
pub(super) const LATE_AFTER_DRAIN: Duration = Duration::from_millis(500);

/// What came of one want: the times that its observers took, or why it fell short.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    pub what: String,
    pub took: Vec<Duration>,
    pub short: Option<String>,
}

/// A day's report.
#[derive(Clone, Debug)]
pub struct Report {
    pub name: String,
    pub says: String,
    pub found: Vec<Found>,
    pub false_deaths: Vec<String>,
    /// The largest sum of the parts of a limit that all at work took at once.
    pub most_parts: f64,
    pub bytes_per_s: f64,
    pub verdict: Verdict,
    pub answered: Answered,
    pub crashes: Vec<String>,
    pub looks: usize,
    /// An engine is started cold in it.
    pub starts_cold: bool,
    /// False deaths, and parts of a limit, that the day allows.
    pub may: (usize, f64),
    /// Past which nothing may come to an engine that the list service drained.
    pub stale_after: Option<Duration>,
    /// All that was seen.
    pub seen: Seen,
}
impl Report {
    /// What fell short, in words.
    pub fn short(&self) -> Vec<String> {
        let mut short: Vec<String> =
            self.found.iter().filter_map(|f| Some(format!("{}: {}", f.what, f.short.as_ref()?))).collect();
        if self.false_deaths.len() > self.may.0 {
            short.extend(self.false_deaths.iter().cloned());
        }
        short.extend(self.crashes.iter().cloned());
        // The proof says less than two, whatever the views; without a death that was given up it is one.
        if self.most_parts > self.may.1 + 1e-6 {
            short.push(format!("all at work took {:.3} of a limit at once", self.most_parts));
        }
        if self.bytes_per_s > MOST_BYTES_PER_S {
            short.push(format!("a router sent {:.0} bytes a second to others", self.bytes_per_s));
        }
        for (number, rule) in self.verdict.rules.iter().enumerate() {
            short.extend(rule.broken.iter().take(3).map(|b| format!("rule {}: {b}", number + 1)));
        }
        if let Some(bound) = self.stale_after {
            let late: Vec<&Stale> = self.seen.stale.iter().filter(|s| s.late > bound).collect();
            if let Some(worst) = late.iter().max_by_key(|s| s.late) {
                short.push(format!(
                    "{} came to drained engines later than {:.1} s after, the last to {} by {} after {:.1} s",
                    late.len(),
                    bound.as_secs_f64(),
                    worst.engine,
                    worst.router,
                    worst.late.as_secs_f64()
                ));
            }
            if self.seen.lists.iter().all(|l| l.drained.is_empty()) {
                short.push("nothing was drained".to_owned());
            }
        }
        if self.starts_cold && self.verdict.rules[3].checked == 0 {
            short.push("no cold engine was seen, though one was started".to_owned());
        }
        if self.looks == 0 {
            short.push("nothing was seen".to_owned());
        }
        short
    }

    pub fn holds(&self) -> bool {
        self.short().is_empty()
    }

    /// As JSON, for scripts.
    pub fn to_json(&self) -> serde_json::Value {
        let ms = |d: &Duration| d.as_millis() as u64;
        let found = |f: &Found| {
            let took: Vec<u64> = f.took.iter().map(ms).collect();
            serde_json::json!({ "what": f.what, "took_ms": took, "short": f.short })
        };
        serde_json::json!({
            "day": self.name,
            "says": self.says,
            "holds": self.holds(),
            "wants": self.found.iter().map(found).collect::<Vec<_>>(),
            "false_deaths": self.false_deaths,
            "most_parts": self.most_parts,
            "bytes_per_s": self.bytes_per_s,
            "requests": self.answered.0,
            "served": self.answered.1,
            "short": self.short(),
        })
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.holds() { "holds" } else { "FALLS SHORT" };
        write!(f, "{:<14} {word:<12}", self.name)?;
        for found in self.found.iter().filter(|found| !found.took.is_empty()) {
            let mut took = found.took.clone();
            took.sort_unstable();
            let median = took[took.len() / 2].as_secs_f64();
            let worst = took[took.len() - 1].as_secs_f64();
            write!(f, " {} {median:.1}/{worst:.1} s;", found.what)?;
        }
        let broken: u64 = self.verdict.rules.iter().map(|r| r.broken_count).sum();
        write!(
            f,
            " false deaths {}; parts {:.2}; {:.0} B/s; {} of {} served; rules broken {broken}",
            self.false_deaths.len(),
            self.most_parts,
            self.bytes_per_s,
            self.answered.1,
            self.answered.0
        )?;
        if self.starts_cold {
            write!(
                f,
                "; cold engines got {:.0} % of what is allowed",
                self.verdict.rules[3].nearest * 100.0
            )?;
        }
        if let Some(audit) = &self.seen.audit {
            let word = if audit.complete { "complete" } else { "incomplete" };
            write!(f, "; audit of {} rows {word}", audit.rows.len())?;
            let newest = audit.rows.iter().map(|r| r.list.version).max().unwrap_or(0);
            for row in audit.rows.iter().filter(|r| r.list.version < newest && !r.confirmed) {
                let late =
                    self.seen.stale.iter().filter(|s| s.router == row.router && s.engine == row.sends.engine);
                let late: Vec<&Stale> = late.filter(|s| s.late > LATE_AFTER_DRAIN).collect();
                if !late.is_empty() {
                    write!(
                        f,
                        "\n    the audit names {}: {} reads and {} writes to {} under list {}.{}, which nobody confirmed to it; \
                         the engine had {} after its drain",
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
            let worst = self.seen.stale.iter().map(|s| s.late).max().unwrap_or_default();
            write!(
                f,
                "; {} sent to drained engines, {:.2} s after at last",
                self.seen.stale.len(),
                worst.as_secs_f64()
            )?;
        }
        for short in self.short() {
            write!(f, "\n    {short}")?;
        }
        Ok(())
    }
}
