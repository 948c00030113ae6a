//! Checks the invariants of a scenario against what was observed and what was really done.

use super::observations::{IssuedOrder, Observations, ProcessState, ViewSample};
use super::report::{ExpectationResult, Report, LATE_AFTER_DRAIN};
use super::runner::Answered;
use super::scenario::{Expectation, ExpectationKind, Scenario};
use crate::checker::Verdict;
use crate::site::Site;
use gaparch_engine::Fault;
use gaparch_protocol::fleet::MemberState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A member that has run for this long without interruption must not count as dead anywhere: by then earlier
/// faults no longer have an effect, as the expectations of the scenarios verify.
const MIN_UPTIME: Duration = Duration::from_secs(5);
/// An older sample no longer describes the current state.
const SAMPLE_VALIDITY: Duration = Duration::from_millis(600);
/// How long an action may take until it is done to all routers that it names.
const ACTION_TOLERANCE: Duration = Duration::from_millis(150);
/// Events have the wall clock of a process that started later than the runner, so an event that directly
/// follows an action may seem to come some milliseconds before it.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(100);

fn state(sample: &ViewSample, of: usize) -> Option<MemberState> {
    let name = Site::router_name(of);
    sample.view.members.iter().find(|m| m.name == name).map(|m| m.state)
}

fn known(sample: &ViewSample, of: &[usize], wanted: MemberState) -> bool {
    of.iter().all(|of| *of == sample.router || state(sample, *of) == Some(wanted))
}

fn holds(
    expectation: &Expectation,
    scenario: &Scenario,
    observations: &Observations,
    sample: &ViewSample,
) -> bool {
    let routers = expectation.routers(scenario.routers);
    match expectation.what {
        ExpectationKind::Whole => {
            let living: Vec<usize> =
                (0..scenario.routers).filter(|r| observations.is_running(*r, sample.requested_at)).collect();
            // A suspicion is not a verdict: it ends by itself and has no effect on the suspected member.
            let present = [Some(MemberState::Alive), Some(MemberState::Suspect)];
            living.iter().all(|of| *of == sample.router || present.contains(&state(sample, *of)))
        }
        ExpectationKind::Dead => known(sample, &routers, MemberState::Dead),
        ExpectationKind::Left => known(sample, &routers, MemberState::Left),
        ExpectationKind::Majority => sample.view.majority,
        ExpectationKind::NoMajority => !sample.view.majority,
        ExpectationKind::Deaf => sample.view.receives_nothing && !sample.view.is_unanswered,
        ExpectationKind::Mute => sample.view.is_unanswered && !sample.view.receives_nothing,
        ExpectationKind::Forged => {
            sample.view.forged > 0 && sample.view.replayed + sample.view.misdirected > 0
        }
        ExpectationKind::Edges => {
            let name = Site::router_name;
            let mut wanted: Vec<(String, String)> = expectation
                .links(scenario.routers)
                .into_iter()
                .map(|(from, to)| (name(from), name(to)))
                .collect();
            let mut edges: Vec<(String, String)> =
                sample.view.link_faults.iter().map(|e| (e.from.clone(), e.to.clone())).collect();
            wanted.sort();
            edges.sort();
            edges == wanted
        }
        ExpectationKind::NoAccusation => {
            let accusers: Vec<String> = routers.into_iter().map(Site::router_name).collect();
            let living = (0..scenario.routers)
                .filter(|r| observations.is_running(*r, sample.requested_at))
                .map(Site::router_name);
            let living: Vec<String> = living.collect();
            let accused = sample.view.members.iter().filter(|m| living.contains(&m.name));
            !accused.flat_map(|m| &m.suspected_by).any(|by| accusers.contains(by))
        }
        ExpectationKind::Latest => match (&sample.versions, observations.list(sample.requested_at)) {
            (Some(view), Some(now)) => (view.version.epoch, view.version.version) >= (now.epoch, now.version),
            _ => false,
        },
        ExpectationKind::BroughtUp => sample.versions.as_ref().is_some_and(|v| v.lists_from_peers > 0),
        ExpectationKind::NotBroughtUp => sample.versions.as_ref().is_some_and(|v| v.lists_from_peers == 0),
        ExpectationKind::Held => expectation.text.as_ref().is_some_and(|engine| sample.held.contains(engine)),
        ExpectationKind::Free => {
            expectation.text.as_ref().is_some_and(|engine| !sample.held.contains(engine))
        }
        ExpectationKind::Event
        | ExpectationKind::Complete
        | ExpectationKind::NotComplete
        | ExpectationKind::Audit => false,
    }
}

/// Compares the audit logs with what arrived at the engines.
fn check_audit(
    expectation: &Expectation,
    scenario: &Scenario,
    what: String,
    observations: &Observations,
) -> ExpectationResult {
    let mut failure = None;
    let mut fail = |text: String| failure = failure.take().or(Some(text));
    let Some(audit) = &observations.audit else {
        return ExpectationResult {
            what,
            took: Vec::new(),
            failure: Some("the audit query was not answered".to_owned()),
        };
    };
    let killed = |router: &String| {
        let ends = [ProcessState::Killed, ProcessState::Left];
        observations
            .process_states
            .iter()
            .any(|(_, r, process_state)| Site::router_name(*r) == *router && ends.contains(process_state))
    };
    let mut said: BTreeMap<(String, String), (u64, u64)> = BTreeMap::new();
    for row in &audit.rows {
        let sent = said.entry((row.router.clone(), row.sends.engine.clone())).or_default();
        *sent = (sent.0 + row.sends.prefills, sent.1 + row.sends.decodes);
    }
    let whole = (0..scenario.routers).map(Site::router_name).filter(|router| !killed(router));
    for router in whole {
        let of = |all: &BTreeMap<(String, String), (u64, u64)>| -> BTreeMap<String, (u64, u64)> {
            let own = all.iter().filter(|((r, _), count)| *r == router && **count != (0, 0));
            own.map(|((_, engine), count)| (engine.clone(), *count)).collect()
        };
        let (said, arrived) = (of(&said), of(&observations.arrived));
        if said != arrived {
            fail(format!("{router} reports that it sent {said:?}, but {arrived:?} arrived"));
        }
    }
    if observations.arrived.is_empty() {
        fail("nothing arrived at any engine".to_owned());
    }
    if !observations.process_states.iter().any(|(_, _, process_state)| *process_state == ProcessState::Killed)
        && !audit.complete
    {
        fail(format!("the audit is not complete: {}", audit.unknown.join(", ")));
    }
    if let Some(name) = &expectation.text {
        let late = observations
            .stale_requests
            .iter()
            .filter(|s| s.late > LATE_AFTER_DRAIN)
            .map(|s| (s.router.clone(), s.engine.clone()));
        let late: BTreeSet<(String, String)> = late.collect();
        let newest = audit.rows.iter().map(|r| r.list.version).max().unwrap_or(0);
        let old = |router: &String, engine: &String| {
            let of = audit.rows.iter().filter(|r| r.router == *router && r.sends.engine == *engine);
            of.clone().any(|r| r.list.version < newest && !r.confirmed)
        };
        let named = late.iter().any(|(router, engine)| router == name && old(router, engine));
        if !named {
            fail(format!("the audit does not name {name}; late requests: {late:?}"));
        }
    }
    ExpectationResult { what, took: Vec::new(), failure }
}

/// When the orders issued at that time were reported as kept by all routers.
fn check_replication(
    expectation: &Expectation,
    what: String,
    observations: &Observations,
) -> ExpectationResult {
    let (at, by) = (expectation.at.duration(), expectation.at.duration() + expectation.within.duration());
    let given: Vec<&IssuedOrder> = observations
        .orders
        .iter()
        .filter(|g| g.at + ACTION_TOLERANCE >= at && g.at <= at + ACTION_TOLERANCE)
        .collect();
    let mut took = Vec::new();
    let mut failure = given.is_empty().then(|| "no order was issued at that time".to_owned());
    for order in given {
        let in_time = order.complete.filter(|complete| *complete <= by);
        match (expectation.what, in_time) {
            (ExpectationKind::Complete, Some(complete)) => took.push(complete.saturating_sub(at)),
            (ExpectationKind::Complete, None) => {
                failure = Some(format!(
                    "not reported as complete in time; the order was answered with {:?}",
                    order.answer
                ));
            }
            (_, Some(complete)) => {
                let after = complete.saturating_sub(order.at).as_secs_f64();
                failure = Some(format!(
                    "reported as complete after {after:.2} s, although not all routers can know the order"
                ));
            }
            (_, None) => {}
        }
    }
    ExpectationResult { what, took, failure }
}

/// Finds when each observer saw the expectation met, without a later violation in its time.
fn find(expectation: &Expectation, scenario: &Scenario, observations: &Observations) -> ExpectationResult {
    let what = format!("{:?} {:?}", expectation.what, expectation.routers(scenario.routers))
        .replace(" []", "")
        .to_lowercase();
    let (at, by) = (expectation.at.duration(), expectation.at.duration() + expectation.within.duration());
    let until = by + expectation.stays.duration();
    if expectation.what == ExpectationKind::Audit {
        return check_audit(expectation, scenario, what, observations);
    }
    if matches!(expectation.what, ExpectationKind::Complete | ExpectationKind::NotComplete) {
        return check_replication(expectation, what, observations);
    }
    if let Some(text) = expectation.text.as_ref().filter(|_| expectation.what == ExpectationKind::Event) {
        let observers = expectation.by(scenario.routers).unwrap_or_else(|| (0..scenario.routers).collect());
        let event = observations.events.iter().find(|e| {
            let from = at.saturating_sub(CLOCK_TOLERANCE);
            observers.contains(&e.router) && (from..=by).contains(&e.at) && e.text.contains(text.as_str())
        });
        let failure = event.is_none().then(|| format!("no event contains '{text}'"));
        return ExpectationResult {
            what,
            took: event.iter().map(|e| e.at.saturating_sub(at)).collect(),
            failure,
        };
    }
    let own = matches!(expectation.what, ExpectationKind::Deaf | ExpectationKind::Mute);
    // An action at the same time takes effect a moment later.
    let living = observations.living(scenario.routers, at + ACTION_TOLERANCE, until);
    let observers = match expectation.by(scenario.routers) {
        Some(by) => by.into_iter().filter(|r| living.contains(r)).collect(),
        None if own => expectation.routers(scenario.routers),
        None => living,
    };
    let mut took = Vec::new();
    let mut failure = observers.is_empty().then(|| "no observer was running".to_owned());
    for router in observers {
        let samples = observations
            .samples
            .iter()
            .filter(|l| l.router == router && l.requested_at >= at && l.at <= until);
        let (mut from, mut failed) = (None, None);
        for sample in samples {
            if holds(expectation, scenario, observations, sample) {
                from = from.or(Some(sample.at));
            } else {
                (from, failed) = (None, Some(sample));
            }
        }
        // A forbidden state counts as a failure even if it ends in time.
        if let Some(sample) = failed.filter(|_| expectation.what == ExpectationKind::NoAccusation) {
            failure = Some(format!(
                "observed by router {router} after {:.1} s",
                sample.at.saturating_sub(at).as_secs_f64()
            ));
            continue;
        }
        match from {
            Some(from) if from <= by => took.push(from.saturating_sub(at)),
            Some(from) => {
                failure = Some(format!(
                    "router {router} observed it only after {:.1} s",
                    (from - at).as_secs_f64()
                ));
            }
            None => {
                let view = failed.map(|l| {
                    let states: Vec<String> =
                        l.view.members.iter().map(|m| format!("{} {}", m.name, m.state)).collect();
                    let edges: Vec<String> =
                        l.view.link_faults.iter().map(|e| format!("{}->{}", e.from, e.to)).collect();
                    format!("majority {}, {}; cut {}", l.view.majority, states.join(", "), edges.join(", "))
                });
                failure = Some(format!("router {router} never saw it; at last {}", view.unwrap_or_default()));
            }
        }
    }
    ExpectationResult { what, took, failure }
}

/// The largest sum of the limit shares that all running routers used at once, by the latest sample of each.
fn max_limit_share(scenario: &Scenario, observations: &Observations) -> f64 {
    let mut samples: Vec<&ViewSample> = observations.samples.iter().collect();
    samples.sort_by_key(|l| l.at);
    let mut latest: Vec<Option<&ViewSample>> = vec![None; scenario.routers];
    let mut most: f64 = 0.0;
    for sample in samples {
        latest[sample.router] = Some(sample);
        let now = sample.at;
        let counts =
            |l: &&ViewSample| l.at + SAMPLE_VALIDITY >= now && observations.is_running(l.router, now);
        let parts =
            latest.iter().copied().flatten().filter(counts).map(|l| 1.0 / f64::from(l.view.divisor.max(1)));
        most = most.max(parts.sum());
    }
    most
}

/// Checks all invariants of a scenario and reports the result.
pub fn judge(
    scenario: &Scenario,
    observations: Observations,
    verdict: Verdict,
    answered: Answered,
) -> Report {
    let may_die = scenario.may_die();
    let mut false_deaths = Vec::new();
    for sample in &observations.samples {
        if !observations.is_running(sample.router, sample.requested_at) || may_die.contains(&sample.router) {
            continue;
        }
        for of in (0..scenario.routers).filter(|of| !may_die.contains(of)) {
            let lived = observations
                .process_state(of, sample.requested_at)
                .filter(|(_, process_state)| *process_state == ProcessState::Running);
            let long = lived.is_some_and(|(since, _)| sample.requested_at >= since + MIN_UPTIME);
            if long && state(sample, of) == Some(MemberState::Dead) {
                let text = format!("router {} counts running router {of} as dead", sample.router);
                if !false_deaths.contains(&text) {
                    false_deaths.push(text);
                }
            }
        }
    }
    let max_limit_share = max_limit_share(scenario, &observations);
    let most = observations.bytes.iter().max().copied().unwrap_or(0) as f64;
    Report {
        name: scenario.name.clone(),
        says: scenario.says.clone(),
        results: scenario
            .expectations
            .iter()
            .map(|expectation| find(expectation, scenario, &observations))
            .collect(),
        false_deaths,
        max_limit_share,
        bytes_per_s: most / scenario.lasts.duration().as_secs_f64().max(0.1),
        verdict,
        answered,
        crashes: observations.crashes.clone(),
        samples: observations.samples.len(),
        starts_cold: scenario.actions.iter().any(|d| matches!(d.fault(), Ok(Some((_, Fault::Start))))),
        allowed: (scenario.false_deaths, scenario.parts),
        stale_after: scenario.stale_after.map(|s| s.duration()),
        observations,
    }
}

#[cfg(test)]
#[path = "invariants_tests.rs"]
mod tests;
