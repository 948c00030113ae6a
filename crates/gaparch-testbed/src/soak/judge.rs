//! Judges the rules by what clients, workers and the discovery service recorded of a run.

use super::clients::{Answer, Asked, Manner, RUDE_WITHIN};
use super::discovery::DeliveredEntry;
use super::processes::Life;
use super::worker::{Entry, Kind};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An answer up to so long after its time only earns nothing.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const DRAIN_GRACE: Duration = Duration::from_millis(500 + 50);
const RELEASE_WITHIN: Duration = Duration::from_millis(500 + 300);
const LEFT_WITHIN: Duration = Duration::from_millis(100);
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// A router that has been told to end takes what comes so soon after; what it may do with the rest is refuse it.
const TAKEN_AFTER_TERM: Duration = Duration::from_millis(400);
/// What comes later than this after SIGTERM is owed an answer before the router is killed.
const OWED_AFTER_TERM: Duration = Duration::from_millis(700);
/// Between a kill and a client's seeing its connection end.
const KILL_SEEN: Duration = Duration::from_millis(20);
/// A request so shortly before a kill may cross it.
const CROSSES_KILL: Duration = Duration::from_millis(100);
/// Between the close of an attempt here and its worker's noticing it.
const CLOSE_SEEN: Duration = Duration::from_millis(100);
/// An attempt that ends so soon after it has arrived had ended before.
const AT_ONCE: Duration = Duration::from_millis(5);

/// A worker as the run saw it.
#[derive(Clone, Debug, Default)]
pub struct WorkerFacts {
    pub name: String,
    pub reads: bool,
    pub entries: Vec<Entry>,
    /// When it was stopped, and when it was killed: what it saw around that says nothing of routers.
    pub stops: Vec<(u64, u64)>,
    pub kills: Vec<u64>,
    /// When its open connections fell silent: an answer on one of them is lost, and its attempt still out.
    pub silences: Vec<u64>,
    /// When its open connections were reset: what was under way on one may arrive a moment later, with its close.
    pub resets: Vec<u64>,
}

/// All that was seen of a run.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    pub asked: Vec<Asked>,
    pub workers: Vec<WorkerFacts>,
    pub delivered: Vec<DeliveredEntry>,
    pub routers: Vec<RouterFacts>,
    pub ended_ns: u64,
    /// What a busy machine adds to every limit here.
    pub slack: Duration,
}

/// A router as the run saw it.
#[derive(Clone, Debug, Default)]
pub struct RouterFacts {
    pub lives: Vec<Life>,
    pub stops: Vec<(u64, u64)>,
    /// When crowds of connections filled its descriptors: new ones may be shut unread then.
    pub crowds: Vec<(u64, u64)>,
    pub log: String,
}

fn ns(span: Duration) -> u64 {
    span.as_nanos() as u64
}

/// An attempt as its worker saw it.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    worker: usize,
    asked_ns: u64,
    /// When it was answered or its connection closed; `None`: never, as far as is known.
    ended_ns: Option<u64>,
    answered: bool,
    remaining_ms: u64,
}

/// Every breach of a rule.
pub fn judge(facts: &Facts) -> Vec<String> {
    let attempts = attempts(facts);
    let mut breaches = Vec::new();
    answers(facts, &attempts, &mut breaches);
    late_requests(facts, &attempts, &mut breaches);
    double_effects(facts, &attempts, &mut breaches);
    drains(facts, &attempts, &mut breaches);
    held(facts, &attempts, &mut breaches);
    clients_that_left(facts, &attempts, &mut breaches);
    times_told(facts, &attempts, &mut breaches);
    processes(facts, &mut breaches);
    breaches
}

/// The router of a request, by its id.
fn router_of(txn: &str) -> usize {
    txn.strip_prefix('n').and_then(|rest| rest.split('-').next()?.parse().ok()).unwrap_or(usize::MAX)
}

fn attempts(facts: &Facts) -> BTreeMap<&str, Vec<Attempt>> {
    let mut all: BTreeMap<&str, Vec<Attempt>> = BTreeMap::new();
    for (worker, seen) in facts.workers.iter().enumerate() {
        for entry in &seen.entries {
            let of = all.entry(&entry.txn).or_default();
            match entry.kind {
                Kind::Asked => of.push(Attempt {
                    worker,
                    asked_ns: entry.at_ns,
                    ended_ns: None,
                    answered: false,
                    remaining_ms: entry.remaining_ms,
                }),
                Kind::Answered | Kind::Closed => {
                    let open = of.iter_mut().rev().find(|a| a.worker == worker && a.ended_ns.is_none());
                    if let Some(open) = open {
                        (open.ended_ns, open.answered) = (Some(entry.at_ns), entry.kind == Kind::Answered);
                    }
                }
                Kind::Released => {}
            }
        }
        // What was under way as a process was killed ended with it.
        for attempt in all.values_mut().flatten().filter(|a| a.worker == worker && a.ended_ns.is_none()) {
            attempt.ended_ns = seen.kills.iter().copied().find(|kill| *kill >= attempt.asked_ns);
        }
    }
    all.values_mut().for_each(|of| of.sort_by_key(|a| a.asked_ns));
    all
}

/// The life of a router that a request came to, if it was one that owed it an answer to its end.
fn owing_life<'f>(facts: &'f Facts, asked: &Asked) -> Option<&'f Life> {
    let lives = &facts.routers.get(asked.router)?.lives;
    let life =
        lives.iter().find(|l| l.from_ns <= asked.sent_ns && l.until_ns.is_none_or(|u| u > asked.sent_ns))?;
    let due = asked.sent_ns + ns(asked.patience);
    let killed_before = life.killed && life.until_ns.is_some_and(|until| until < due + ns(ANSWER_SLACK));
    let late = life.told_to_end_ns.is_some_and(|told| asked.sent_ns > told + ns(TAKEN_AFTER_TERM));
    (!killed_before && !late).then_some(life)
}

fn sent_after_term(life: &Life, asked: &Asked) -> bool {
    life.told_to_end_ns.is_some_and(|told| asked.sent_ns > told)
}

/// Whether a crowd filled the descriptors of its router as a request was sent.
fn crowded(facts: &Facts, asked: &Asked) -> bool {
    let router = facts.routers.get(asked.router);
    router.is_some_and(|r| r.crowds.iter().any(|(from, until)| (*from..=*until).contains(&asked.sent_ns)))
}

/// Whether a router was held up between two times.
fn held_up(router: Option<&RouterFacts>, from_ns: u64, until_ns: u64) -> bool {
    router.is_some_and(|r| r.stops.iter().any(|(from, until)| *from <= until_ns && *until >= from_ns))
}

/// Rule 1: one final answer to each request, in its client's time; bad clients get an error or a close.
fn answers(facts: &Facts, attempts: &BTreeMap<&str, Vec<Attempt>>, breaches: &mut Vec<String>) {
    for asked in &facts.asked {
        let Some(life) = owing_life(facts, asked) else { continue };
        let took = Duration::from_nanos(asked.answered_ns.saturating_sub(asked.sent_ns));
        let (txn, answer) = (&asked.txn, asked.answer);
        match (asked.manner, answer) {
            (Manner::StopsHalfway, Answer::Served | Answer::Broken) => {
                breaches.push(format!("{txn}: half a request is served"));
            }
            (Manner::StopsHalfway, _) if took > RUDE_WITHIN + facts.slack => {
                breaches.push(format!("{txn}: half a request is told so after {took:?}"));
            }
            (Manner::StopsHalfway, _) | (_, Answer::Left | Answer::NotSent) => {}
            // A request that crosses the end of its connection, and was not read.
            (_, Answer::ClosedUnanswered)
                if (asked.reused || crowded(facts, asked) || sent_after_term(life, asked))
                    && !attempts.contains_key(txn.as_str()) => {}
            (_, Answer::ClosedUnanswered | Answer::Nothing) => {
                breaches.push(format!("{txn}: lost: {answer:?} after {took:?}"));
            }
            (_, _) if took > asked.patience + ANSWER_SLACK + facts.slack => {
                breaches.push(format!("{txn}: answered after {took:?}: {answer:?}"));
            }
            _ => {}
        }
    }
}

/// Rule 1: what comes late after SIGTERM, on whatever connection is still open, is unread or has its whole answer; what
/// comes later than 0.7 s after it is not under way any more when the router is killed.
fn late_requests(facts: &Facts, attempts: &BTreeMap<&str, Vec<Attempt>>, breaches: &mut Vec<String>) {
    for asked in facts.asked.iter().filter(|asked| asked.manner != Manner::StopsHalfway) {
        let Some((life, told)) = ending_life(facts, asked) else { continue };
        let killed_at = life.until_ns.filter(|_| life.killed).unwrap_or(u64::MAX);
        let crosses_kill = asked.sent_ns + ns(CROSSES_KILL + facts.slack / 4) >= killed_at;
        let owed = asked.sent_ns > told + ns(OWED_AFTER_TERM) && !crosses_kill;
        let ended_by_kill = asked.answered_ns + ns(KILL_SEEN) >= killed_at;
        let lost = match asked.answer {
            Answer::Nothing | Answer::Broken => owed,
            Answer::ClosedUnanswered if ended_by_kill => owed,
            Answer::ClosedUnanswered => attempts.contains_key(asked.txn.as_str()),
            _ => false,
        };
        if lost {
            let answer = asked.answer;
            breaches.push(format!("{}: came late after SIGTERM and is lost: {answer:?}", asked.txn));
        }
    }
}

/// The life of a router that was told to end well before a request came to it, with when it was told.
fn ending_life<'f>(facts: &'f Facts, asked: &Asked) -> Option<(&'f Life, u64)> {
    facts.routers.get(asked.router)?.lives.iter().find_map(|life| {
        let told = life.told_to_end_ns?;
        let came =
            asked.sent_ns > told + ns(TAKEN_AFTER_TERM) && life.until_ns.is_none_or(|u| asked.sent_ns < u);
        came.then_some((life, told))
    })
}

/// Rule 2: never two attempts at once, no second execution of what may run once, no refusal of what may have run.
fn double_effects(facts: &Facts, attempts: &BTreeMap<&str, Vec<Attempt>>, breaches: &mut Vec<String>) {
    let by_txn: BTreeMap<&str, &Asked> =
        facts.asked.iter().map(|asked| (asked.txn.as_str(), asked)).collect();
    for (txn, of) in attempts {
        for (number, second) in of.iter().enumerate() {
            let overlaps = |first: &&Attempt| {
                let end = first.ended_ns.unwrap_or(u64::MAX).saturating_sub(ns(CLOSE_SEEN));
                let unclear = disturbed(facts, first, second.asked_ns)
                    || disturbed(facts, second, second.asked_ns)
                    || arrived_with_its_close(facts, second);
                end > second.asked_ns && !unclear
            };
            if let Some(first) = of[..number].iter().find(overlaps) {
                let (first, second) = (&facts.workers[first.worker].name, &facts.workers[second.worker].name);
                breaches.push(format!("{txn}: out at {first} and at {second} at once"));
            }
        }
        let Some(asked) = by_txn.get(txn).filter(|asked| asked.class == "once") else { continue };
        let writes = of.iter().filter(|a| !facts.workers[a.worker].reads).count();
        if writes > 1 {
            breaches.push(format!("{txn}: may run once, and was sent to be written {writes} times"));
        }
        if writes > 0 && asked.answer == Answer::Refused {
            breaches.push(format!("{txn}: refused, though it may have run"));
        }
    }
}

/// Whether what a worker saw of an attempt is no measure: it was stopped, and sees what came meanwhile, the close of its
/// connection too, only when it goes on.
fn disturbed(facts: &Facts, attempt: &Attempt, at_ns: u64) -> bool {
    let worker = &facts.workers[attempt.worker];
    let slack = ns(CLOSE_SEEN);
    worker.stops.iter().any(|(from, until)| *from <= at_ns + slack && *until + slack >= attempt.asked_ns)
}

/// Whether an attempt had lost its connection before it arrived: its worker saw its end with it, right after a reset.
fn arrived_with_its_close(facts: &Facts, attempt: &Attempt) -> bool {
    let resets = &facts.workers[attempt.worker].resets;
    let was_reset = resets.iter().any(|at| {
        *at <= attempt.asked_ns + ns(CLOSE_SEEN) && attempt.asked_ns <= *at + ns(CLOSE_SEEN + facts.slack)
    });
    let lasted = attempt.ended_ns.map_or(u64::MAX, |ended| ended.saturating_sub(attempt.asked_ns));
    was_reset && !attempt.answered && lasted < ns(AT_ONCE)
}

/// Rule 3: nothing is sent to a worker past the grace period after the router has received that it drains.
fn drains(facts: &Facts, attempts: &BTreeMap<&str, Vec<Attempt>>, breaches: &mut Vec<String>) {
    for (txn, of) in attempts {
        let router = router_of(txn);
        for attempt in of {
            let worker = &facts.workers[attempt.worker];
            let delivered = facts.delivered.iter().filter(|entry| {
                entry.router == router && entry.worker == worker.name && entry.at_ns <= attempt.asked_ns
            });
            let Some(last) = delivered.max_by_key(|entry| entry.at_ns) else { continue };
            let over = attempt.asked_ns.saturating_sub(last.at_ns) > ns(DRAIN_GRACE + facts.slack);
            let stopped = worker.stops.iter().any(|(_, until)| {
                attempt.asked_ns >= *until && attempt.asked_ns - until < ns(Duration::from_millis(500))
            });
            if last.lifecycle != "ready" && over && !stopped {
                breaches.push(format!("{txn}: sent to {} though it was listed as draining", worker.name));
            }
        }
    }
}

/// Rule 5: what a read has left is fetched or let go of in time, while no attempt is out.
fn held(facts: &Facts, attempts: &BTreeMap<&str, Vec<Attempt>>, breaches: &mut Vec<String>) {
    let mut releases: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for entry in facts.workers.iter().flat_map(|w| &w.entries).filter(|e| e.kind == Kind::Released) {
        releases.entry(&entry.txn).or_default().push(entry.at_ns);
    }
    for (txn, of) in attempts {
        let router = facts.routers.get(router_of(txn));
        let reads = of.iter().filter(|a| facts.workers[a.worker].reads && a.answered);
        for read in reads {
            // Its answer ended the attempt, or its connection had closed by then.
            let Some(from) = read.ended_ns else { continue };
            let until = from + ns(RELEASE_WITHIN + facts.slack);
            let answer_lost = facts.workers[read.worker]
                .silences
                .iter()
                .any(|at| *at >= read.asked_ns && *at <= from + ns(CLOSE_SEEN));
            // What a reader holds can be let go of at any other worker: only its read must not have been disturbed.
            let unclear = answer_lost || disturbed(facts, read, from);
            if until > facts.ended_ns || unclear || died(router, read.asked_ns, until) {
                continue;
            }
            // A reader notes its answer once it is written: the next attempt may be quicker.
            let fetched = of.iter().any(|a| {
                a.asked_ns > read.asked_ns && a.asked_ns + ns(CLOSE_SEEN) > from && a.asked_ns <= until
            });
            let released =
                releases.get(txn).is_some_and(|all| all.iter().any(|at| *at > read.asked_ns && *at <= until));
            if !fetched && !released {
                let worker = &facts.workers[read.worker].name;
                breaches.push(format!("{txn}: what {worker} holds for it was neither fetched nor let go of"));
            }
        }
    }
}

/// Whether a router died between two times: what it held is nobody's duty any more.
fn died(router: Option<&RouterFacts>, from_ns: u64, until_ns: u64) -> bool {
    let ended = |life: &Life| life.until_ns.is_some_and(|at| at >= from_ns && at <= until_ns);
    router.is_none_or(|r| r.lives.iter().any(ended))
}

/// Rule 1: nothing begins for a client that has left.
fn clients_that_left(facts: &Facts, attempts: &BTreeMap<&str, Vec<Attempt>>, breaches: &mut Vec<String>) {
    for asked in facts.asked.iter().filter(|asked| asked.answer == Answer::Left) {
        let gone = asked.answered_ns + ns(LEFT_WITHIN + facts.slack);
        let router = facts.routers.get(asked.router);
        for attempt in attempts.get(asked.txn.as_str()).into_iter().flatten() {
            let stopped = facts.workers[attempt.worker].stops.iter().any(|(from, until)| {
                *from <= attempt.asked_ns && *until + ns(facts.slack) >= asked.answered_ns
            });
            if attempt.asked_ns > gone && !stopped && !held_up(router, asked.answered_ns, attempt.asked_ns) {
                breaches.push(format!("{}: sent after its client had left", asked.txn));
            }
        }
    }
}

/// The time that an attempt tells its worker is at most what its client has left.
fn times_told(facts: &Facts, attempts: &BTreeMap<&str, Vec<Attempt>>, breaches: &mut Vec<String>) {
    for asked in &facts.asked {
        let due = asked.sent_ns + ns(asked.patience + TOLD_SLACK + facts.slack);
        let router = facts.routers.get(asked.router);
        for attempt in attempts.get(asked.txn.as_str()).into_iter().flatten() {
            let worker = &facts.workers[attempt.worker];
            let told_until = attempt.asked_ns + attempt.remaining_ms * 1_000_000;
            let late = worker.stops.iter().any(|(from, until)| {
                *from <= attempt.asked_ns && *until + ns(facts.slack) >= attempt.asked_ns
            });
            let held = held_up(router, attempt.asked_ns.saturating_sub(ns(facts.slack)), attempt.asked_ns);
            if told_until > due && !late && !held {
                breaches.push(format!("{}: {} is told {} ms", asked.txn, worker.name, attempt.remaining_ms));
            }
        }
    }
}

/// No router ends by itself, panics, answers twice or late by its own count.
fn processes(facts: &Facts, breaches: &mut Vec<String>) {
    for (number, router) in facts.routers.iter().enumerate() {
        for life in router.lives.iter().filter(|life| life.crashed) {
            let exit = life.exit.as_deref().unwrap_or("unknown");
            let order = if life.told_to_end_ns.is_some() { "after" } else { "without" };
            breaches.push(format!("router {number} has ended {order} an order: {exit}"));
        }
        if let Some(line) = router.log.lines().find(|line| line.contains("panicked")) {
            breaches.push(format!("router {number}: {line}"));
        }
        for counter in ["second_answers", "overdue"] {
            let counts = router.log.lines().filter_map(|line| {
                line.split_whitespace().find_map(|word| word.strip_prefix(counter)?.strip_prefix('='))
            });
            let counts: BTreeSet<&str> = counts.filter(|count| *count != "0").collect();
            if let Some(count) = counts.last() {
                breaches.push(format!("router {number} counts {counter}={count}"));
            }
        }
    }
}

#[cfg(test)]
#[path = "judge_tests.rs"]
mod tests;
