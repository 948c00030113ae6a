//! The invariants of a scenario, checked against what was observed and what was truly done.

use super::day::{Day, Want, WishKind};
use super::observations::{Given, Life, Look, Seen};
use super::report::{Found, Report, LATE_AFTER_DRAIN};
use super::rig::Answered;
use crate::checker::Verdict;
use crate::site::Site;
use gaparch_engine::Fault;
use gaparch_protocol::fleet::MemberState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A member that has lived for so long without a break must not count as dead anywhere: what was done to it before has
/// been forgotten by then, as the wants say.
const LIVED_FOR: Duration = Duration::from_secs(5);
/// A look that is older says nothing of now.
const LOOK_HOLDS: Duration = Duration::from_millis(600);
/// For a deed to be done to all it names.
const DEED_WITHIN: Duration = Duration::from_millis(150);
/// Events bear the wall clock of a process that started later than the rig: what follows a deed at once may seem to come
/// some milliseconds before it.
const CLOCKS_APART: Duration = Duration::from_millis(100);
fn state(look: &Look, of: usize) -> Option<MemberState> {
    let name = Site::router_name(of);
    look.view.members.iter().find(|m| m.name == name).map(|m| m.state)
}

fn known(look: &Look, of: &[usize], wanted: MemberState) -> bool {
    of.iter().all(|of| *of == look.router || state(look, *of) == Some(wanted))
}

fn holds(want: &Want, day: &Day, seen: &Seen, look: &Look) -> bool {
    let routers = want.routers(day.routers);
    match want.what {
        WishKind::Whole => {
            let living: Vec<usize> = (0..day.routers).filter(|r| seen.lives(*r, look.asked)).collect();
            // A suspicion is a question, not a word: it ends by itself, and costs nobody anything.
            let present = [Some(MemberState::Alive), Some(MemberState::Suspect)];
            living.iter().all(|of| *of == look.router || present.contains(&state(look, *of)))
        }
        WishKind::Dead => known(look, &routers, MemberState::Dead),
        WishKind::Left => known(look, &routers, MemberState::Left),
        WishKind::Majority => look.view.majority,
        WishKind::NoMajority => !look.view.majority,
        WishKind::Deaf => look.view.receives_nothing && !look.view.is_unanswered,
        WishKind::Mute => look.view.is_unanswered && !look.view.receives_nothing,
        WishKind::Forged => look.view.forged > 0 && look.view.replayed + look.view.misdirected > 0,
        WishKind::Edges => {
            let name = Site::router_name;
            let mut wanted: Vec<(String, String)> =
                want.links(day.routers).into_iter().map(|(from, to)| (name(from), name(to))).collect();
            let mut edges: Vec<(String, String)> =
                look.view.link_faults.iter().map(|e| (e.from.clone(), e.to.clone())).collect();
            wanted.sort();
            edges.sort();
            edges == wanted
        }
        WishKind::NoAccusation => {
            let accusers: Vec<String> = routers.into_iter().map(Site::router_name).collect();
            let living = (0..day.routers).filter(|r| seen.lives(*r, look.asked)).map(Site::router_name);
            let living: Vec<String> = living.collect();
            let accused = look.view.members.iter().filter(|m| living.contains(&m.name));
            !accused.flat_map(|m| &m.suspected_by).any(|by| accusers.contains(by))
        }
        WishKind::Latest => match (&look.versions, seen.list(look.asked)) {
            (Some(view), Some(now)) => (view.version.epoch, view.version.version) >= (now.epoch, now.version),
            _ => false,
        },
        WishKind::BroughtUp => look.versions.as_ref().is_some_and(|v| v.lists_from_peers > 0),
        WishKind::NotBroughtUp => look.versions.as_ref().is_some_and(|v| v.lists_from_peers == 0),
        WishKind::Held => want.text.as_ref().is_some_and(|engine| look.held.contains(engine)),
        WishKind::Free => want.text.as_ref().is_some_and(|engine| !look.held.contains(engine)),
        WishKind::Event | WishKind::Complete | WishKind::NotComplete | WishKind::Audit => false,
    }
}

/// Compares what the records say with what came to the engines.
fn find_audit(want: &Want, day: &Day, what: String, seen: &Seen) -> Found {
    let mut short = None;
    let mut fail = |text: String| short = short.take().or(Some(text));
    let Some(audit) = &seen.audit else {
        return Found { what, took: Vec::new(), short: Some("no answer to the question came".to_owned()) };
    };
    let killed = |router: &String| {
        let ends = [Life::Killed, Life::Left];
        seen.lives.iter().any(|(_, r, life)| Site::router_name(*r) == *router && ends.contains(life))
    };
    let mut said: BTreeMap<(String, String), (u64, u64)> = BTreeMap::new();
    for row in &audit.rows {
        let sent = said.entry((row.router.clone(), row.sends.engine.clone())).or_default();
        *sent = (sent.0 + row.sends.prefills, sent.1 + row.sends.decodes);
    }
    let whole = (0..day.routers).map(Site::router_name).filter(|router| !killed(router));
    for router in whole {
        let of = |all: &BTreeMap<(String, String), (u64, u64)>| -> BTreeMap<String, (u64, u64)> {
            let own = all.iter().filter(|((r, _), count)| *r == router && **count != (0, 0));
            own.map(|((_, engine), count)| (engine.clone(), *count)).collect()
        };
        let (said, arrived) = (of(&said), of(&seen.arrived));
        if said != arrived {
            fail(format!("{router} says that it sent {said:?}, and {arrived:?} came"));
        }
    }
    if seen.arrived.is_empty() {
        fail("nothing came to any engine".to_owned());
    }
    if !seen.lives.iter().any(|(_, _, life)| *life == Life::Killed) && !audit.complete {
        fail(format!("it is not complete: {}", audit.unknown.join(", ")));
    }
    if let Some(name) = &want.text {
        let late = seen
            .stale
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
            fail(format!("it does not name {name}: late were {late:?}"));
        }
    }
    Found { what, took: Vec::new(), short }
}

/// When the orders given at that time were said to be kept by all.
fn find_complete(want: &Want, what: String, seen: &Seen) -> Found {
    let (at, by) = (want.at.duration(), want.at.duration() + want.within.duration());
    let given: Vec<&Given> =
        seen.orders.iter().filter(|g| g.at + DEED_WITHIN >= at && g.at <= at + DEED_WITHIN).collect();
    let mut took = Vec::new();
    let mut short = given.is_empty().then(|| "no order was given then".to_owned());
    for order in given {
        let in_time = order.complete.filter(|complete| *complete <= by);
        match (want.what, in_time) {
            (WishKind::Complete, Some(complete)) => took.push(complete.saturating_sub(at)),
            (WishKind::Complete, None) => {
                short = Some(format!("it was not said in time; answered {:?}", order.answer));
            }
            (_, Some(complete)) => {
                let after = complete.saturating_sub(order.at).as_secs_f64();
                short = Some(format!("said after {after:.2} s, though not all can know"));
            }
            (_, None) => {}
        }
    }
    Found { what, took, short }
}

/// By when each of those who have to see it did, and for good.
fn find(want: &Want, day: &Day, seen: &Seen) -> Found {
    let what = format!("{:?} {:?}", want.what, want.routers(day.routers)).replace(" []", "").to_lowercase();
    let (at, by) = (want.at.duration(), want.at.duration() + want.within.duration());
    let until = by + want.stays.duration();
    if want.what == WishKind::Audit {
        return find_audit(want, day, what, seen);
    }
    if matches!(want.what, WishKind::Complete | WishKind::NotComplete) {
        return find_complete(want, what, seen);
    }
    if let Some(text) = want.text.as_ref().filter(|_| want.what == WishKind::Event) {
        let observers = want.by(day.routers).unwrap_or_else(|| (0..day.routers).collect());
        let heard = seen.events.iter().find(|e| {
            let from = at.saturating_sub(CLOCKS_APART);
            observers.contains(&e.router) && (from..=by).contains(&e.at) && e.text.contains(text.as_str())
        });
        let short = heard.is_none().then(|| format!("no event says '{text}'"));
        return Found { what, took: heard.iter().map(|e| e.at.saturating_sub(at)).collect(), short };
    }
    let own = matches!(want.what, WishKind::Deaf | WishKind::Mute);
    // What is done at the same time is done a moment later.
    let living = seen.living(day.routers, at + DEED_WITHIN, until);
    let observers = match want.by(day.routers) {
        Some(by) => by.into_iter().filter(|r| living.contains(r)).collect(),
        None if own => want.routers(day.routers),
        None => living,
    };
    let mut took = Vec::new();
    let mut short = observers.is_empty().then(|| "nobody was there to see it".to_owned());
    for router in observers {
        let looks = seen.looks.iter().filter(|l| l.router == router && l.asked >= at && l.at <= until);
        let (mut from, mut failed) = (None, None);
        for look in looks {
            if holds(want, day, seen, look) {
                from = from.or(Some(look.at));
            } else {
                (from, failed) = (None, Some(look));
            }
        }
        // What must never be is not made good by ending.
        if let Some(look) = failed.filter(|_| want.what == WishKind::NoAccusation) {
            short = Some(format!(
                "seen by router {router} after {:.1} s",
                look.at.saturating_sub(at).as_secs_f64()
            ));
            continue;
        }
        match from {
            Some(from) if from <= by => took.push(from.saturating_sub(at)),
            Some(from) => {
                short = Some(format!("router {router} saw it after {:.1} s only", (from - at).as_secs_f64()));
            }
            None => {
                let view = failed.map(|l| {
                    let states: Vec<String> =
                        l.view.members.iter().map(|m| format!("{} {}", m.name, m.state)).collect();
                    let edges: Vec<String> =
                        l.view.link_faults.iter().map(|e| format!("{}->{}", e.from, e.to)).collect();
                    format!("majority {}, {}; cut {}", l.view.majority, states.join(", "), edges.join(", "))
                });
                short = Some(format!("router {router} never saw it; at last {}", view.unwrap_or_default()));
            }
        }
    }
    Found { what, took, short }
}

/// The largest sum of the parts of a limit that all at work took at once, by what each showed last.
fn most_parts(day: &Day, seen: &Seen) -> f64 {
    let mut looks: Vec<&Look> = seen.looks.iter().collect();
    looks.sort_by_key(|l| l.at);
    let mut latest: Vec<Option<&Look>> = vec![None; day.routers];
    let mut most: f64 = 0.0;
    for look in looks {
        latest[look.router] = Some(look);
        let now = look.at;
        let counts = |l: &&Look| l.at + LOOK_HOLDS >= now && seen.lives(l.router, now);
        let parts =
            latest.iter().copied().flatten().filter(counts).map(|l| 1.0 / f64::from(l.view.divisor.max(1)));
        most = most.max(parts.sum());
    }
    most
}

/// Judges a day.
pub fn judge(day: &Day, seen: Seen, verdict: Verdict, answered: Answered) -> Report {
    let may_die = day.may_die();
    let mut false_deaths = Vec::new();
    for look in &seen.looks {
        if !seen.lives(look.router, look.asked) || may_die.contains(&look.router) {
            continue;
        }
        for of in (0..day.routers).filter(|of| !may_die.contains(of)) {
            let lived = seen.life(of, look.asked).filter(|(_, life)| *life == Life::Running);
            let long = lived.is_some_and(|(since, _)| look.asked >= since + LIVED_FOR);
            if long && state(look, of) == Some(MemberState::Dead) {
                let text = format!("router {} counts {of} as dead", look.router);
                if !false_deaths.contains(&text) {
                    false_deaths.push(text);
                }
            }
        }
    }
    let most_parts = most_parts(day, &seen);
    let most = seen.bytes.iter().max().copied().unwrap_or(0) as f64;
    Report {
        name: day.name.clone(),
        says: day.says.clone(),
        found: day.wants.iter().map(|want| find(want, day, &seen)).collect(),
        false_deaths,
        most_parts,
        bytes_per_s: most / day.lasts.duration().as_secs_f64().max(0.1),
        verdict,
        answered,
        crashes: seen.crashes.clone(),
        looks: seen.looks.len(),
        starts_cold: day.deeds.iter().any(|d| matches!(d.fault(), Ok(Some((_, Fault::Start))))),
        may: (day.false_deaths, day.parts),
        stale_after: day.stale_after.map(|s| s.duration()),
        seen,
    }
}

#[cfg(test)]
#[path = "invariants_tests.rs"]
mod tests;
