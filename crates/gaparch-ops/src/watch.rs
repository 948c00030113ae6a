//! Events from what a router sees of its engines and of itself, look after look.
//!
//! A trouble begins when it is seen and ends when it has not been seen for [`WELL_AFTER`]: an engine that comes
//! and goes ten times a minute is one trouble and not twenty events. The end says how long it was and what the
//! router did about it, by what was counted between.

use crate::combine::remark;
use crate::SECOND;
use gaparch_protocol::ops::intent::Hold;
use gaparch_protocol::ops::view::{Avoid, EngineState, EngineView, Figures, Happening, Severity};
use std::collections::BTreeMap;

/// A trouble is over once it has not been seen for so long.
pub const WELL_AFTER: u64 = 2 * SECOND;
/// Troubles of one engine at once; more are not told of.
const MOST_TROUBLES: usize = 64;
/// An owner that is late by more than this can't keep its times.
const LATE_US: u64 = 50_000;

/// What is wrong with an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Trouble {
    /// It could not be reached, or answers nothing.
    Unreachable,
    Resting,
    Slow,
    /// It refuses or leaves unanswered a part of the traffic.
    Part {
        class: String,
        tenant: String,
    },
}

#[derive(Clone, Debug)]
struct Spell {
    since: u64,
    seen_at: u64,
    failed: u64,
    called_off: u64,
}

#[derive(Clone, Debug)]
struct Known {
    state: EngineState,
    started_at: Option<u64>,
    troubles: BTreeMap<Trouble, Spell>,
}

/// A stretch in which requests are refused or failed.
#[derive(Clone, Copy, Debug)]
struct Storm {
    since: u64,
    seen_at: u64,
    at_start: Figures,
}

#[derive(Clone, Debug, Default)]
pub struct Watch {
    engines: BTreeMap<String, Known>,
    last: Option<Figures>,
    storm: Option<Storm>,
    late_since: Option<u64>,
}

fn event(at: u64, severity: Severity, engine: Option<&str>, text: impl Into<String>) -> Happening {
    Happening { at, severity, engine: engine.map(str::to_owned), text: text.into() }
}

impl Watch {
    /// Looks at all engines; `hold` says how an operator holds one, and since when.
    pub fn look(
        &mut self,
        figures: &Figures,
        engines: &[EngineView],
        hold: impl Fn(&str) -> Option<(Hold, u64)>,
    ) -> Vec<Happening> {
        let mut out = Vec::new();
        for engine in engines {
            self.look_at(figures.at, engine, &hold, &mut out);
        }
        self.look_at_router(figures, &mut out);
        out
    }

    fn look_at(
        &mut self,
        now: u64,
        engine: &EngineView,
        hold: &impl Fn(&str) -> Option<(Hold, u64)>,
        out: &mut Vec<Happening>,
    ) {
        let name = engine.name.as_str();
        let known = self.engines.entry(name.to_owned()).or_insert_with(|| Known {
            state: engine.state,
            started_at: engine.started_at,
            troubles: BTreeMap::new(),
        });
        if known.state != engine.state {
            let text = format!("{} (it was {})", state_words(engine.state), known.state);
            out.push(event(now, Severity::Info, Some(name), text));
            known.state = engine.state;
        }
        if known.started_at < engine.started_at {
            // The first time that an engine says when it began is no restart.
            let text =
                known.started_at.map(|_| "a new process: it is cold and is warmed by and by".to_owned());
            let held = hold(name).and_then(|(hold, at)| remark(hold, at, engine.started_at));
            let severity = if held.is_some() { Severity::Warning } else { Severity::Info };
            out.extend(held.or(text).map(|text| event(now, severity, Some(name), text)));
            known.started_at = engine.started_at;
        }
        for trouble in troubles(engine) {
            if let Some(spell) = known.troubles.get_mut(&trouble) {
                spell.seen_at = now;
            } else if known.troubles.len() < MOST_TROUBLES {
                out.push(event(now, Severity::Trouble, Some(name), begins(&trouble, engine)));
                let (failed, called_off) = (engine.failed, engine.called_off);
                known.troubles.insert(trouble, Spell { since: now, seen_at: now, failed, called_off });
            }
        }
        known.troubles.retain(|trouble, spell| {
            let goes_on = now < spell.seen_at.saturating_add(WELL_AFTER);
            if !goes_on {
                out.push(event(now, Severity::Info, Some(name), ends(trouble, spell, engine)));
            }
            goes_on
        });
    }

    fn look_at_router(&mut self, figures: &Figures, out: &mut Vec<Happening>) {
        let now = figures.at;
        let Some(last) = self.last.replace(*figures) else { return };
        let lost = |f: &Figures| f.refused + f.failed;
        if lost(figures) > lost(&last) {
            match &mut self.storm {
                Some(storm) => storm.seen_at = now,
                None => {
                    let text = format!(
                        "requests are given up: {} refused, {} failed at first; {} held, {} reading, {} streaming",
                        figures.refused - last.refused,
                        figures.failed - last.failed,
                        figures.held,
                        figures.reading,
                        figures.streaming
                    );
                    out.push(event(now, Severity::Warning, None, text));
                    self.storm = Some(Storm { since: now, seen_at: now, at_start: last });
                }
            }
        }
        if let Some(storm) = self.storm.filter(|s| now >= s.seen_at.saturating_add(5 * WELL_AFTER)) {
            let text = format!(
                "no more requests are given up: in {} there were {} refused and {} failed, beside {} served",
                span(storm.seen_at - storm.since),
                figures.refused - storm.at_start.refused,
                figures.failed - storm.at_start.failed,
                figures.served - storm.at_start.served
            );
            out.push(event(now, Severity::Info, None, text));
            self.storm = None;
        }
        let late = figures.lag_us > LATE_US;
        if late && self.late_since.is_none() {
            let text =
                format!("the router was late by {} ms: it can't keep its times", figures.lag_us / 1000);
            out.push(event(now, Severity::Warning, None, text));
            self.late_since = Some(now);
        }
        if !late && self.late_since.is_some_and(|since| now >= since + 30 * SECOND) {
            self.late_since = None;
        }
    }
}

fn troubles(engine: &EngineView) -> impl Iterator<Item = Trouble> + '_ {
    let whole = match engine.avoided {
        Some(Avoid::Unreachable) => Some(Trouble::Unreachable),
        Some(Avoid::Resting) => Some(Trouble::Resting),
        Some(Avoid::Slow) => Some(Trouble::Slow),
        // Those that are out by the list, cold or full do what they should.
        Some(Avoid::NotReady | Avoid::Cold | Avoid::Full) | None => None,
    };
    let part = |r: &gaparch_protocol::ops::view::PartRest| Trouble::Part {
        class: r.class.clone(),
        tenant: r.tenant.clone(),
    };
    whole.into_iter().chain(engine.rests.iter().map(part))
}

fn part_words(class: &str, tenant: &str) -> String {
    match tenant {
        "" => format!("class {class}"),
        tenant => format!("class {class} of tenant {tenant}"),
    }
}

fn begins(trouble: &Trouble, engine: &EngineView) -> String {
    let there = format!("{} waiting and {} streaming there", engine.waiting, engine.streaming);
    match trouble {
        Trouble::Unreachable if engine.connected => format!("answers nothing, though connected; {there}"),
        Trouble::Unreachable => format!("can't be reached; {there}"),
        Trouble::Resting => format!("has failed, and is left alone for a while; {there}"),
        Trouble::Slow => {
            format!("{:.1} times as slow as its peers: one request at a time; {there}", engine.pace)
        }
        Trouble::Part { class, tenant } => {
            let part = part_words(class, tenant);
            format!("refuses {part} or leaves it unanswered; it gets none of it for a while, but the rest")
        }
    }
}

fn ends(trouble: &Trouble, spell: &Spell, engine: &EngineView) -> String {
    let what = match trouble {
        Trouble::Unreachable => "answers again".to_owned(),
        Trouble::Resting => "is used again".to_owned(),
        Trouble::Slow => "is as quick as its peers again".to_owned(),
        Trouble::Part { class, tenant } => format!("is sent {} again", part_words(class, tenant)),
    };
    let took = span(spell.seen_at.saturating_sub(spell.since));
    let failed = engine.failed.saturating_sub(spell.failed);
    let called_off = engine.called_off.saturating_sub(spell.called_off);
    format!("{what} after {took}; meanwhile {failed} attempts failed there and {called_off} were called off")
}

fn state_words(state: EngineState) -> &'static str {
    match state {
        EngineState::Ready => "ready: it is sent requests",
        EngineState::Draining => "draining: it is sent nothing new",
        EngineState::Gone => "gone: it is sent nothing, and let go of",
    }
}

/// A span in words: the two largest units.
pub fn span(nanos: u64) -> String {
    let seconds = nanos / SECOND;
    match seconds {
        0..=9 => format!("{:.1} s", nanos as f64 / SECOND as f64),
        10..=119 => format!("{seconds} s"),
        120..=7199 => format!("{} min {} s", seconds / 60, seconds % 60),
        _ => format!("{} h {} min", seconds / 3600, seconds % 3600 / 60),
    }
}
