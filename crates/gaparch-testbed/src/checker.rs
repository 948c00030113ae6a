//! Judges the five rules from a record of what went over the sockets, and from nothing else.
//!
//! Frames have the time at which their bytes came to an engine's socket or left the engine. An attempt that a
//! router calls off is over when the call arrives; two attempts are at once if they overlap by more than
//! [`Figures::margin`]. A state at an engine whose link is cut can't be let go of until the cut ends. What a
//! killed router held is no longer its duty.

use crate::record::{Ask, End, Entry, Record, Seen, What};
use gaparch_engine::observe::{Note, Way};
use gaparch_engine::{ConnId, EngineSpec};
use gaparch_protocol::engine::{AttemptKey, RouterRun};
use gaparch_scheduler::api::{Nanos, ServerState};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

const MS: Nanos = 1_000_000;

/// What repeating does, as the checker is told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    /// Repeats are dropped in the rack of the first attempt that may have run, for so long.
    KeyedInRack {
        window: Nanos,
    },
    Unsafe,
}

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct Figures {
    pub effects: Vec<Effect>,
    pub engines: Vec<EngineSpec>,
    pub release_within: Nanos,
    pub drain_grace: Nanos,
    pub answer_slack: Nanos,
    /// Doubt about times measured at two ends of a socket on a busy machine.
    pub margin: Nanos,
}

/// The five rules, in their order.
pub const RULES: [&str; 5] = [
    "one final answer, in time, nothing after it",
    "no double effects, never two attempts at once",
    "nothing new to a drained or gone server",
    "no cold server pushed over",
    "nothing pinned past the release time",
];

/// What was found of one rule.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Finding {
    /// Cases looked at.
    pub checked: u64,
    /// What broke it, the first few in words.
    pub broken: Vec<String>,
    pub broken_count: u64,
    /// The nearest miss, as a share of what is allowed.
    pub nearest: f64,
}

/// Cases written out in words, a rule.
const IN_WORDS: usize = 20;

impl Finding {
    fn case(&mut self, share: f64, broken: bool, words: impl FnOnce() -> String) {
        self.checked += 1;
        if broken {
            self.broken_count += 1;
            if self.broken.len() < IN_WORDS {
                self.broken.push(words());
            }
        } else {
            self.nearest = self.nearest.max(share);
        }
    }
}

/// What was found of all five.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    pub rules: [Finding; 5],
}

impl Verdict {
    pub fn holds(&self) -> bool {
        self.rules.iter().all(|f| f.broken_count == 0)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<48} {:>8} {:>7} {:>13}", "rule", "checked", "broken", "nearest miss")?;
        for (number, (name, found)) in RULES.iter().zip(&self.rules).enumerate() {
            writeln!(
                f,
                "{} {name:<46} {:>8} {:>7} {:>12.0}%",
                number + 1,
                found.checked,
                found.broken_count,
                found.nearest * 100.0
            )?;
        }
        for found in &self.rules {
            found.broken.iter().try_for_each(|words| writeln!(f, "  broken: {words}"))?;
        }
        Ok(())
    }
}

/// Judges a record.
pub fn check(record: &Record, figures: &Figures) -> Verdict {
    check_entries(&record.entries(), figures)
}

/// Judges entries that are in the order of their times.
pub fn check_entries(entries: &[Entry], figures: &Figures) -> Verdict {
    let attempts = attempts(entries);
    Verdict {
        rules: [
            answers(entries, &attempts, figures),
            effects(entries, &attempts, figures),
            drains(entries, figures),
            cold(entries, figures),
            pinned(entries, &attempts, figures),
        ],
    }
}

/// Times in which something was so, from and to.
type Spans = Vec<(Nanos, Nanos)>;

/// Notes that something begins or ends; what has not ended lasts for ever.
fn mark(spans: &mut Spans, at: Nanos, begins: bool) {
    match (begins, spans.last_mut()) {
        (true, Some((_, Nanos::MAX))) => {}
        (true, _) => spans.push((at, Nanos::MAX)),
        (false, Some(last)) if last.1 == Nanos::MAX => last.1 = at,
        (false, _) => {}
    }
}

fn overlaps(spans: Option<&Spans>, from: Nanos, to: Nanos) -> bool {
    spans.into_iter().flatten().any(|(began, ended)| *began <= to && *ended >= from)
}

/// When links were cut: of an engine with all, or with one router.
#[derive(Debug, Default)]
struct Cuts<'a> {
    engines: BTreeMap<&'a str, Spans>,
    links: BTreeMap<&'a str, BTreeMap<RouterRun, Spans>>,
}

impl<'a> Cuts<'a> {
    fn of(entries: &'a [Entry]) -> Cuts<'a> {
        let mut runs: BTreeMap<&str, BTreeSet<RouterRun>> = BTreeMap::new();
        for entry in entries {
            if let What::Frame { seen: Seen::Hello { run, router }, .. } = &entry.what {
                runs.entry(router).or_default().insert(*run);
            }
        }
        let mut cuts = Cuts::default();
        for entry in entries {
            match &entry.what {
                What::Cut { engine, router: None, cut } => {
                    mark(cuts.engines.entry(engine).or_default(), entry.at, *cut);
                }
                What::Cut { engine, router: Some(router), cut } => {
                    for run in runs.get(router.as_str()).into_iter().flatten() {
                        let of = cuts.links.entry(engine).or_default();
                        mark(of.entry(*run).or_default(), entry.at, *cut);
                    }
                }
                _ => {}
            }
        }
        cuts
    }

    /// All times in which nothing of that router could come to the engine.
    fn between<'s>(
        &'s self,
        engine: &str,
        run: RouterRun,
    ) -> impl Iterator<Item = (Nanos, Nanos)> + use<'s, 'a> {
        let link = self.links.get(engine).and_then(|of| of.get(&run)).into_iter().flatten();
        self.engines.get(engine).into_iter().flatten().chain(link).copied()
    }
}

/// A request as engines know it.
type Key = (RouterRun, u64);

#[derive(Clone, Debug)]
struct Attempt {
    engine: String,
    class: u16,
    write: bool,
    from: Nanos,
    to: Nanos,
    /// Proven to have had no effect.
    not_run: bool,
}

/// Every attempt that reached an engine, with its time there.
fn attempts(entries: &[Entry]) -> BTreeMap<Key, Vec<Attempt>> {
    let mut runs: BTreeMap<(&str, ConnId), RouterRun> = BTreeMap::new();
    let mut open: BTreeMap<(&str, ConnId, AttemptKey), Attempt> = BTreeMap::new();
    let mut done: BTreeMap<Key, Vec<Attempt>> = BTreeMap::new();
    for entry in entries {
        match &entry.what {
            What::Note { engine, note: Note::Router { conn, run } } => {
                runs.insert((engine, *conn), *run);
            }
            What::Frame { engine, conn, way, seen } => {
                let mut close = |key: AttemptKey, not_run: bool| {
                    let Some(run) = runs.get(&(engine.as_str(), *conn)) else { return };
                    if let Some(attempt) = open.remove(&(engine.as_str(), *conn, key)) {
                        let to = entry.at;
                        done.entry((*run, key.request)).or_default().push(Attempt { to, not_run, ..attempt });
                    }
                };
                match (way, seen) {
                    (Way::In, Seen::Read { key, class }) | (Way::In, Seen::Write { key, class }) => {
                        let write = matches!(seen, Seen::Write { .. });
                        let attempt = Attempt {
                            engine: engine.clone(),
                            class: *class,
                            write,
                            from: entry.at,
                            to: Nanos::MAX,
                            not_run: false,
                        };
                        open.insert((engine, *conn, *key), attempt);
                    }
                    (Way::In, Seen::Cancel { key }) => close(*key, false),
                    (Way::Out, Seen::ReadDone { key }) => close(*key, true),
                    (Way::Out, Seen::Outcome { key, not_run, .. }) => close(*key, *not_run),
                    _ => {}
                }
            }
            // With the process, or with the connection, an attempt is over.
            What::Note { engine, note: note @ (Note::ConnectionClosed { .. } | Note::Ended) } => {
                let over = |(e, c, _): &&(&str, ConnId, AttemptKey)| {
                    let all = *note == Note::Ended;
                    *e == engine.as_str() && (all || *note == Note::ConnectionClosed { conn: *c })
                };
                for place in open.keys().filter(over).copied().collect::<Vec<_>>() {
                    let Some(run) = runs.get(&(place.0, place.1)) else { continue };
                    let Some(attempt) = open.remove(&place) else { continue };
                    let to = entry.at.max(attempt.from);
                    done.entry((*run, place.2.request)).or_default().push(Attempt { to, ..attempt });
                }
            }
            _ => {}
        }
    }
    for ((engine, conn, key), attempt) in open {
        if let Some(run) = runs.get(&(engine, conn)) {
            done.entry((*run, key.request)).or_default().push(attempt);
        }
    }
    done.values_mut().for_each(|all| all.sort_by_key(|a| a.from));
    done
}

#[derive(Debug, Default)]
struct Client {
    router: String,
    asked_at: Nanos,
    deadline: Nanos,
    first_at: Option<Nanos>,
    ends: Vec<(Nanos, End)>,
    after: u32,
    left: bool,
    name: Option<Key>,
}

fn clients(entries: &[Entry]) -> BTreeMap<Ask, Client> {
    let mut clients: BTreeMap<Ask, Client> = BTreeMap::new();
    for entry in entries {
        match &entry.what {
            What::Asked { ask, router, deadline, .. } => {
                let client = clients.entry(*ask).or_default();
                (client.router, client.asked_at, client.deadline) = (router.clone(), entry.at, *deadline);
            }
            What::Named { ask, run, request } => {
                clients.entry(*ask).or_default().name = Some((*run, *request));
            }
            What::First { ask } => clients.entry(*ask).or_default().first_at = Some(entry.at),
            What::Ended { ask, end } => clients.entry(*ask).or_default().ends.push((entry.at, *end)),
            What::After { ask } => clients.entry(*ask).or_default().after += 1,
            What::Left { ask } => clients.entry(*ask).or_default().left = true,
            _ => {}
        }
    }
    clients
}

/// When the first token of each request left its engine: for answers in one piece the only sign of it.
fn first_tokens(entries: &[Entry]) -> BTreeMap<Key, Nanos> {
    let mut runs: BTreeMap<(&str, ConnId), RouterRun> = BTreeMap::new();
    let mut first = BTreeMap::new();
    for entry in entries {
        match &entry.what {
            What::Note { engine, note: Note::Router { conn, run } } => {
                runs.insert((engine, *conn), *run);
            }
            What::Frame { engine, conn, seen: Seen::Tokens { key, .. }, .. } => {
                if let Some(run) = runs.get(&(engine.as_str(), *conn)) {
                    first.entry((*run, key.request)).or_insert(entry.at);
                }
            }
            _ => {}
        }
    }
    first
}

/// Rule 1.
fn answers(entries: &[Entry], attempts: &BTreeMap<Key, Vec<Attempt>>, figures: &Figures) -> Finding {
    let mut found = Finding::default();
    let first_tokens = first_tokens(entries);
    let cuts = Cuts::of(entries);
    let (mut cut, mut stopped) = (BTreeMap::<&str, Spans>::new(), BTreeMap::<&str, Spans>::new());
    for entry in entries {
        match &entry.what {
            What::ClientsCut { router, cut: on } => mark(cut.entry(router).or_default(), entry.at, *on),
            What::RouterStopped { router, stopped: on } => {
                mark(stopped.entry(router).or_default(), entry.at, *on);
            }
            _ => {}
        }
    }
    let killed: Vec<(&str, Nanos)> = entries
        .iter()
        .filter_map(|e| match &e.what {
            What::RouterKilled { router } => Some((router.as_str(), e.at)),
            _ => None,
        })
        .collect();
    for (ask, client) in clients(entries) {
        let spared = |router: &str, at: Nanos| router == client.router && at + 200 * MS >= client.asked_at;
        if client.left || killed.iter().any(|(router, at)| spared(router, *at)) {
            continue;
        }
        let id = ask.0;
        // Nobody can answer a client whose link is cut; more than one answer it must not get all the same.
        let until = client.deadline.max(client.ends.last().map_or(0, |(at, _)| *at));
        if overlaps(cut.get(client.router.as_str()), client.asked_at, until) {
            let twice = client.ends.len() > 1 || client.after > 0;
            found.case(0.0, twice, || format!("request {} had more than one final answer", ask.0));
            continue;
        }
        let [(at, end)] = client.ends[..] else {
            let ends = client.ends.len();
            found.case(0.0, true, || format!("request {id} had {ends} final answers"));
            continue;
        };
        // Nor can a router while it is stopped: it has to as soon as it has woken.
        let stops = stopped.get(client.router.as_str()).into_iter().flatten();
        let away: Nanos =
            stops.map(|(from, to)| to.min(&at).saturating_sub(*from.max(&client.asked_at))).sum();
        let allowed = (client.deadline - client.asked_at) + away + figures.answer_slack + figures.margin;
        // A begun answer has no deadline, in one piece or in parts.
        let begun = client.first_at.or_else(|| first_tokens.get(&client.name?).copied());
        let took = begun.unwrap_or(at).min(at).saturating_sub(client.asked_at);
        let share = took as f64 / allowed as f64;
        found.case(share, end == End::Broken, || format!("request {id} broke off without a final answer"));
        found
            .case(share, took > allowed, || format!("request {id} was answered {share:.2} of its time late"));
        found.case(0.0, client.after > 0, || format!("request {id} got events after its last"));
        let sent = client.name.and_then(|name| attempts.get(&name)).into_iter().flatten();
        // What a link held since before is no longer in the router's hand.
        let held = |a: &&Attempt| {
            let run = client.name.map_or(RouterRun(0), |(run, _)| run);
            cuts.between(&a.engine, run).any(|(from, to)| from <= a.from && to.saturating_add(HELD) >= a.from)
        };
        let late = sent.filter(|a| a.from > at + figures.margin).find(|a| !held(a));
        found.case(0.0, late.is_some(), || format!("request {id} was sent to an engine after its end"));
    }
    found
}

/// Rule 2.
fn effects(entries: &[Entry], attempts: &BTreeMap<Key, Vec<Attempt>>, figures: &Figures) -> Finding {
    let mut found = Finding::default();
    let cuts = Cuts::of(entries);
    for ((run, request), all) in attempts {
        let effect = all.first().and_then(|a| figures.effects.get(usize::from(a.class))).copied();
        for pair in all.windows(2) {
            // What is called off over a link that is cut ends when the call arrives. That is forbidden only where
            // a repeat does harm.
            let cut = |(from, to): (Nanos, Nanos)| from <= pair[1].from && to >= pair[0].from;
            if effect == Some(Effect::Safe) && cuts.between(&pair[0].engine, *run).any(cut) {
                continue;
            }
            let overlap = pair[0].to.saturating_sub(pair[1].from);
            let share = overlap as f64 / figures.margin as f64;
            found.case(share.min(1.0), overlap > figures.margin, || {
                format!(
                    "request {request} of {:x} at {} and {} at once",
                    run.0, pair[0].engine, pair[1].engine
                )
            });
        }
        let writes: Vec<&Attempt> = all.iter().filter(|a| a.write).collect();
        let Some(first) = writes.iter().find(|a| !a.not_run) else { continue };
        let later = writes.iter().filter(|a| a.from > first.from);
        match effect {
            None | Some(Effect::Safe) => {}
            Some(Effect::Unsafe) => {
                let again = later.clone().count();
                found.case(0.0, again > 0, || {
                    format!("unsafe request {request} was written {} times", 1 + again)
                });
            }
            Some(Effect::KeyedInRack { window }) => {
                let rack = |engine: &str| {
                    let spec = figures.engines.iter().find(|e| e.name == engine);
                    spec.map(|e| (e.zone.as_str(), e.rack.as_str()))
                };
                for again in later {
                    let other = rack(&again.engine) != rack(&first.engine);
                    let age = again.from - first.from;
                    let share = age as f64 / window as f64;
                    found.case(share, other || age > window + figures.margin, || {
                        format!("keyed request {request} again at {} after {} ms", again.engine, age / MS)
                    });
                }
            }
        }
    }
    let mut ran: BTreeMap<Key, u64> = BTreeMap::new();
    for entry in entries {
        if let What::Note { note: Note::Effect { run, key }, .. } = &entry.what {
            *ran.entry((*run, key.request)).or_default() += 1;
        }
    }
    for (ask, client) in clients(entries) {
        let Some(name) = client.name else { continue };
        let class = attempts.get(&name).and_then(|all| all.first()).map(|a| usize::from(a.class));
        let harmful = class.and_then(|c| figures.effects.get(c)).is_some_and(|e| *e != Effect::Safe);
        let effects = ran.get(&name).copied().unwrap_or(0);
        let refused = client.ends.iter().any(|(_, end)| matches!(end, End::Refused { .. }));
        if harmful && refused {
            found.case(0.0, effects > 0, || format!("request {} was refused though it had run", ask.0));
        }
        if harmful {
            let twice = effects > 1 && class.and_then(|c| figures.effects.get(c)) == Some(&Effect::Unsafe);
            found.case(0.0, twice, || format!("unsafe request {} had {effects} effects", ask.0));
        }
    }
    found
}

/// For what a link held to arrive once it holds nothing more.
const HELD: Nanos = 200 * MS;

/// Rule 3.
fn drains(entries: &[Entry], figures: &Figures) -> Finding {
    let mut found = Finding::default();
    let mut names: BTreeMap<RouterRun, &str> = BTreeMap::new();
    let mut runs: BTreeMap<(&str, ConnId), RouterRun> = BTreeMap::new();
    let mut told: BTreeMap<(&str, &str), Nanos> = BTreeMap::new();
    let mut ordered: BTreeMap<(&str, &str), Nanos> = BTreeMap::new();
    let mut stopped: BTreeMap<&str, Spans> = BTreeMap::new();
    let cuts = Cuts::of(entries);
    for entry in entries {
        match &entry.what {
            What::Frame { engine, conn, seen: Seen::Hello { run, router }, .. } => {
                names.insert(*run, router);
                runs.insert((engine, *conn), *run);
            }
            What::Listed { router, engine, state } => match state {
                ServerState::Ready => drop(told.remove(&(router.as_str(), engine.as_str()))),
                _ => drop(told.entry((router, engine)).or_insert(entry.at)),
            },
            What::RouterStopped { router, stopped: on } => {
                mark(stopped.entry(router).or_default(), entry.at, *on);
            }
            What::Ordered { router, engine, drained } => match drained {
                false => drop(ordered.remove(&(router.as_str(), engine.as_str()))),
                true => drop(ordered.entry((router, engine)).or_insert(entry.at)),
            },
            What::Frame { engine, conn, way: Way::In, seen } => {
                let key = match seen {
                    Seen::Read { key, .. } | Seen::Write { key, .. } | Seen::Reserve { key } => key,
                    _ => continue,
                };
                let name = runs.get(&(engine.as_str(), *conn)).and_then(|run| names.get(run));
                let by = |all: &BTreeMap<(&str, &str), Nanos>| {
                    name.and_then(|n| all.get(&(*n, engine.as_str())).copied())
                };
                // What came to a stopped process it knows from when it woke.
                let woke = |at: Nanos| {
                    let spans = name.and_then(|n| stopped.get(*n));
                    let over = spans.into_iter().flatten().find(|(from, to)| *from <= at && at <= *to);
                    over.map_or(at, |(_, to)| *to)
                };
                let since = by(&told).into_iter().chain(by(&ordered)).map(woke).min();
                let late = since.map_or(0, |at| entry.at.saturating_sub(at));
                // What a link held since before is no longer in the router's hand.
                let run = runs.get(&(engine.as_str(), *conn)).copied().unwrap_or(RouterRun(0));
                let held =
                    |(from, to): (Nanos, Nanos)| from <= entry.at && to.saturating_add(HELD) >= entry.at;
                if cuts.between(engine, run).any(held) {
                    continue;
                }
                let share = late as f64 / figures.drain_grace as f64;
                found.case(share, late > figures.drain_grace, || {
                    format!("request {} came to {engine} {} ms after the drain", key.request, late / MS)
                });
            }
            _ => {}
        }
    }
    found
}

/// Requests of mean weight that chance may add to what a cold engine is sent.
const CHANCE: f64 = 3.0;

/// Rule 4: the work that came to a cold engine in any window, against what it could do then.
fn cold(entries: &[Entry], figures: &Figures) -> Finding {
    let mut found = Finding::default();
    for spec in &figures.engines {
        let mut started: Option<Nanos> = None;
        let mut window: Vec<(Nanos, f64)> = Vec::new();
        let mut all = (0.0, 0.0);
        let mut first_start = true;
        for entry in entries {
            let What::Note { engine, note } = &entry.what else { continue };
            if *engine != spec.name {
                continue;
            }
            match note {
                // The site begins with warm engines.
                Note::Started if std::mem::take(&mut first_start) => {}
                Note::Started => {
                    started = Some(entry.at);
                    window.clear();
                }
                Note::Fell => found.case(0.0, true, || format!("{engine} was pushed over")),
                Note::Work { seconds } => {
                    all = (all.0 + seconds, all.1 + 1.0);
                    let Some(start) = started.filter(|s| entry.at < s + spec.cold) else { continue };
                    window.push((entry.at, *seconds));
                    window.retain(|(at, _)| at + spec.fall > entry.at);
                    let sum: f64 = window.iter().map(|(_, s)| s).sum();
                    let age = (entry.at - start) as f64 / spec.cold as f64;
                    let speed = spec.cold_from + (1.0 - spec.cold_from) * age;
                    let can = spec.fall_multiple * speed * spec.fall as f64 / 1e9 + CHANCE * all.0 / all.1;
                    found.case(sum / can, sum > can, || {
                        format!(
                            "{engine} was sent {:.1} times what it may be, {age:.2} into its ramp",
                            sum / can
                        )
                    });
                }
                _ => {}
            }
        }
    }
    found
}

/// Rule 5.
fn pinned(entries: &[Entry], attempts: &BTreeMap<Key, Vec<Attempt>>, figures: &Figures) -> Finding {
    let mut found = Finding::default();
    let killed: BTreeSet<&str> = entries
        .iter()
        .filter_map(|e| match &e.what {
            What::RouterKilled { router } => Some(router.as_str()),
            _ => None,
        })
        .collect();
    let mut spared: BTreeSet<RouterRun> = BTreeSet::new();
    let cuts = Cuts::of(entries);
    let mut stopped: BTreeMap<RouterRun, Spans> = BTreeMap::new();
    let mut runs: BTreeMap<&str, BTreeSet<RouterRun>> = BTreeMap::new();
    let mut held: BTreeMap<(Key, &str, bool), Nanos> = BTreeMap::new();
    let mut stretches: Vec<(Key, &str, Nanos, Nanos)> = Vec::new();
    let last = entries.last().map_or(0, |e| e.at);
    for entry in entries {
        match &entry.what {
            What::Frame { seen: Seen::Hello { run, router }, .. } => {
                if killed.contains(router.as_str()) {
                    spared.insert(*run);
                }
                runs.entry(router).or_default().insert(*run);
            }
            What::RouterStopped { router, stopped: on } => {
                for run in runs.get(router.as_str()).into_iter().flatten() {
                    mark(stopped.entry(*run).or_default(), entry.at, *on);
                }
            }
            What::Note { engine, note } => {
                let (key, on, place) = match note {
                    Note::StateHeld { run, request, held } => ((*run, *request), *held, false),
                    Note::PlaceHeld { run, request, held } => ((*run, *request), *held, true),
                    Note::Ended => {
                        held.retain(|(_, e, _), _| *e != engine.as_str());
                        continue;
                    }
                    _ => continue,
                };
                let slot = (key, engine.as_str(), place);
                match (on, held.get(&slot).copied()) {
                    (true, None) => drop(held.insert(slot, entry.at)),
                    (false, Some(from)) => {
                        held.remove(&slot);
                        stretches.push((key, engine, from, entry.at));
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }
    stretches.extend(held.into_iter().map(|((key, engine, _), from)| (key, engine, from, last)));
    let allowed = figures.release_within + figures.margin;
    for (key, engine, from, to) in stretches {
        if spared.contains(&key.0) {
            continue;
        }
        // While an attempt is out the time rests, and it starts again with its outcome. A link that is cut
        // keeps the release from arriving, and a stopped router can send none.
        let mut rests: Vec<(Nanos, Nanos)> =
            attempts.get(&key).into_iter().flatten().map(|a| (a.from, a.to)).collect();
        rests.extend(cuts.between(engine, key.0));
        rests.extend(stopped.get(&key.0).into_iter().flatten().copied());
        rests.sort_unstable();
        let (mut at, mut longest) = (from, 0);
        for (rest_from, rest_to) in rests {
            if rest_from >= to {
                break;
            }
            if rest_from > at {
                longest = longest.max(rest_from - at);
            }
            at = at.max(rest_to);
        }
        longest = longest.max(to.saturating_sub(at));
        let share = longest as f64 / allowed as f64;
        found.case(share, longest > allowed, || {
            format!("request {} was pinned at {engine} for {} ms", key.1, longest / MS)
        });
    }
    found
}
