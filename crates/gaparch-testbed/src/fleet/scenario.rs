//! Days of the rig as files: what is done when, and what has to be seen by when.

use super::faults::{End, Fault as LinkFault, Way};
use gaparch_config::schema::Schema;
use gaparch_config::Span;
use gaparch_engine::{Fault, Script};
use serde::Deserialize;
use std::sync::OnceLock;

const SCHEMA: &str = include_str!("../../../../schema/fleet-day.xsd");

fn zero() -> Span {
    Span::default()
}

fn one() -> u64 {
    1
}

fn whole() -> f64 {
    1.0
}

/// A day of the rig.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    #[serde(rename = "@name")]
    pub name: String,
    /// The statement that it proves.
    #[serde(rename = "@says")]
    pub says: String,
    #[serde(rename = "@routers")]
    pub routers: usize,
    #[serde(rename = "@lasts")]
    pub lasts: Span,
    #[serde(rename = "@seed", default = "one")]
    pub seed: u64,
    /// Requests a second, all routers together.
    #[serde(rename = "@rate", default)]
    pub rate: f64,
    #[serde(rename = "@load-to")]
    load_to: Option<String>,
    #[serde(rename = "@may-die")]
    may_die: Option<String>,
    /// False deaths that there may be.
    #[serde(rename = "@false-deaths", default)]
    pub false_deaths: usize,
    /// What all at work may take of a limit at once.
    #[serde(rename = "@parts", default = "whole")]
    pub parts: f64,
    /// For how long routers leave the list unconfirmed before they ask one another; none: they never do.
    #[serde(rename = "@confirm")]
    pub confirm: Option<Span>,
    /// Routers whose settings lack that, as before an upgrade.
    #[serde(rename = "@without")]
    without: Option<String>,
    /// So long after the list service drained an engine nothing new may come to it, from whichever router.
    #[serde(rename = "@stale-after")]
    pub stale_after: Option<Span>,
    /// Routers run without the refinements.
    #[serde(skip)]
    pub plain: bool,
    /// Where the routers' folders are copied to at its end.
    #[serde(skip)]
    pub keep: Option<std::path::PathBuf>,
    #[serde(rename = "do", default)]
    pub deeds: Vec<Deed>,
    #[serde(rename = "want", default)]
    pub wants: Vec<Want>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeedKind {
    Kill,
    Start,
    Leave,
    Stop,
    Continue,
    Cut,
    /// What is sent is held until the links are healed.
    Stall,
    /// Streams are ended by a reset, once.
    Reset,
    Links,
    Heal,
    Forge,
    Disk,
    /// Of an engine.
    Fault,
    /// The machine's processors are kept busy by others.
    Starve,
    CopyFolder,
    OldFolder,
    LoseFolder,
    /// From its next start on its wall clock is off by so much.
    Clock,
    /// The list service changes the state of an engine.
    List,
    /// It begins anew, from what it has.
    ListRestart,
    /// It changes something ten times a second, for so long.
    ListChurn,
    /// These routers are led to another list service, which counts for itself.
    SecondList,
    /// These are led to a copy of it that learns of no change from now on.
    OldReplica,
    /// These are ended, and the rig lies in their name.
    Lie,
    /// An operator at the first of these routers drains an engine, sets it aside, or frees it, for all routers.
    Order,
}

/// What the list service may say of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

/// What an operator may want of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Wanted {
    Drain,
    Aside,
    Undrain,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deed {
    #[serde(rename = "@at")]
    pub at: Span,
    #[serde(rename = "@what")]
    pub what: DeedKind,
    #[serde(rename = "@routers")]
    routers: Option<String>,
    #[serde(rename = "@from")]
    from: Option<String>,
    #[serde(rename = "@to")]
    to: Option<String>,
    #[serde(rename = "@loss", default)]
    pub loss: f64,
    #[serde(rename = "@duplicates", default)]
    pub duplicates: f64,
    #[serde(rename = "@delay", default = "zero")]
    pub delay: Span,
    #[serde(rename = "@jitter", default = "zero")]
    pub jitter: Span,
    /// Bytes a second of a stream.
    #[serde(rename = "@rate", default)]
    pub rate: u32,
    /// Seconds that a wall clock is ahead.
    #[serde(rename = "@ahead")]
    pub ahead: Option<i32>,
    #[serde(rename = "@disk")]
    pub disk: Option<String>,
    #[serde(rename = "@engine")]
    pub engine: Option<String>,
    #[serde(rename = "@fault")]
    fault: Option<String>,
    #[serde(rename = "@state")]
    pub state: Option<Listed>,
    #[serde(rename = "@order")]
    pub order: Option<Wanted>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WishKind {
    /// All living know all living as alive.
    Whole,
    /// These count as dead.
    Dead,
    Left,
    Majority,
    NoMajority,
    /// Exactly these links are told as cut.
    Edges,
    /// They know that they hear nobody; that nobody hears them.
    Deaf,
    Mute,
    /// Somebody has counted forged datagrams.
    Forged,
    /// An event that holds the text was told.
    Event,
    /// These accuse nobody who lives.
    NoAccusation,
    /// They hold the list as the service has it.
    Latest,
    /// Another router has handed them a list on; none has.
    BroughtUp,
    NotBroughtUp,
    /// The orders given at that time are said to be kept by all; are not.
    Complete,
    NotComplete,
    /// That engine is held, or free, by an operator's order.
    Held,
    Free,
    /// At the day's end the records of all say what came to the engines, entry by entry, of routers that were neither
    /// killed nor had left; `text`: and name that router as one that sent to a drained engine under an old version.
    Audit,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Want {
    #[serde(rename = "@at")]
    pub at: Span,
    #[serde(rename = "@within")]
    pub within: Span,
    #[serde(rename = "@stays", default = "zero")]
    pub stays: Span,
    #[serde(rename = "@what")]
    pub what: WishKind,
    #[serde(rename = "@routers")]
    routers: Option<String>,
    #[serde(rename = "@by")]
    by: Option<String>,
    #[serde(rename = "@from")]
    from: Option<String>,
    #[serde(rename = "@to")]
    to: Option<String>,
    #[serde(rename = "@text")]
    pub text: Option<String>,
}

/// Numbers of routers; the schema has judged the text.
fn numbers(text: Option<&String>, routers: usize) -> Vec<usize> {
    match text.map(String::as_str) {
        None => Vec::new(),
        Some("all") => (0..routers).collect(),
        Some(list) => list.split(' ').filter_map(|n| n.parse().ok()).collect(),
    }
}

/// Ends of links: routers by number or all of them, `engines` or one by its name, `list`, `clients`.
fn ends(text: Option<&String>, routers: usize, engines: &[String]) -> Vec<End> {
    let engine = |name: &String| End::Engine(name.clone());
    let one = |word: &str| match word {
        "all" => (0..routers).map(End::Router).collect(),
        "engines" => engines.iter().map(engine).collect(),
        "list" => vec![End::List],
        "clients" => vec![End::Clients],
        word => match word.parse() {
            Ok(router) => vec![End::Router(router)],
            Err(_) => vec![End::Engine(word.to_owned())],
        },
    };
    text.into_iter().flat_map(|t| t.split(' ')).flat_map(one).collect()
}

impl Deed {
    /// The engine's fault; an error names the word that is none.
    ///
    /// # Errors
    /// When it is written wrongly.
    pub fn fault(&self) -> Result<Option<(String, Fault)>, String> {
        let (Some(engine), Some(fault)) = (&self.engine, &self.fault) else { return Ok(None) };
        let script: Script =
            format!("0s {fault}").parse().map_err(|e| format!("<do fault>: '{fault}': {e}"))?;
        Ok(script.0.first().map(|(_, fault)| (engine.clone(), *fault)))
    }

    pub fn routers(&self, of: usize) -> Vec<usize> {
        numbers(self.routers.as_ref(), of)
    }

    /// The links it is about, in their direction, among routers and these engines.
    pub fn ways(&self, of: usize, engines: &[String]) -> Vec<Way> {
        let (from, to) = (ends(self.from.as_ref(), of, engines), ends(self.to.as_ref(), of, engines));
        let is_router = |end: &End| matches!(end, End::Router(_));
        let all = from.iter().flat_map(|a| to.iter().map(move |b| (a.clone(), b.clone())));
        all.filter(|(a, b)| a != b && (is_router(a) || is_router(b))).collect()
    }

    /// How those links behave from then on; `None`: it is no deed of links.
    pub fn link_fault(&self) -> Option<LinkFault> {
        let (delay, jitter) = (self.delay.duration(), self.jitter.duration());
        match self.what {
            DeedKind::Cut => Some(LinkFault { cut: true, ..LinkFault::default() }),
            DeedKind::Stall => Some(LinkFault { stall: true, ..LinkFault::default() }),
            DeedKind::Links => Some(LinkFault {
                loss: self.loss,
                duplicates: self.duplicates,
                delay,
                jitter,
                rate: self.rate,
                ..LinkFault::default()
            }),
            _ => None,
        }
    }
}

impl Want {
    pub fn routers(&self, of: usize) -> Vec<usize> {
        numbers(self.routers.as_ref(), of)
    }

    /// Who has to see it; none named: all living.
    pub fn by(&self, of: usize) -> Option<Vec<usize>> {
        self.by.is_some().then(|| numbers(self.by.as_ref(), of))
    }

    pub fn links(&self, of: usize) -> Vec<(usize, usize)> {
        pairs(&numbers(self.from.as_ref(), of), &numbers(self.to.as_ref(), of))
    }
}

fn pairs(from: &[usize], to: &[usize]) -> Vec<(usize, usize)> {
    from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b).collect()
}

impl Day {
    /// Reads and checks a day.
    ///
    /// # Errors
    /// Every mistake in it, with its line.
    pub fn parse(text: &str) -> Result<Day, Vec<String>> {
        static PARSED: OnceLock<Schema> = OnceLock::new();
        let schema = PARSED
            .get_or_init(|| Schema::parse(SCHEMA).unwrap_or_else(|e| panic!("schema/fleet-day.xsd: {e}")));
        let problems = schema.judge(text);
        if !problems.is_empty() {
            return Err(problems.iter().map(ToString::to_string).collect());
        }
        let day: Day = quick_xml::de::from_str(text).map_err(|e| vec![e.to_string()])?;
        let mut wrong = Vec::new();
        let named = day.most_named();
        if named >= day.routers {
            wrong.push(format!("<day routers>: router {named} is named, there are {}", day.routers));
        }
        for deed in day.deeds.iter().filter(|d| d.at > day.lasts) {
            wrong.push(format!("<do at>: {:?} comes after the day's end", deed.what));
        }
        for deed in day.deeds.iter().filter(|d| (d.what == DeedKind::Disk) != d.disk.is_some()) {
            wrong.push(format!("<do disk>: goes with what=\"disk\", here it is {:?}", deed.what));
        }
        for deed in day.deeds.iter().filter(|d| (d.what == DeedKind::Clock) != d.ahead.is_some()) {
            wrong.push(format!("<do ahead>: goes with what=\"clock\", here it is {:?}", deed.what));
        }
        let about_links = |d: &&Deed| d.link_fault().is_some() || d.what == DeedKind::Reset;
        for deed in day.deeds.iter().filter(about_links) {
            if deed.ways(day.routers, &["any-engine".to_owned()]).is_empty() {
                wrong.push(format!(
                    "<do from>: {:?} has to name links, of which a router is an end",
                    deed.what
                ));
            }
        }
        for deed in day.deeds.iter().filter(|d| (d.what == DeedKind::List) != d.state.is_some()) {
            wrong.push(format!("<do state>: goes with what=\"list\", here it is {:?}", deed.what));
        }
        for deed in day.deeds.iter().filter(|d| (d.what == DeedKind::Order) != d.order.is_some()) {
            wrong.push(format!("<do order>: goes with what=\"order\", here it is {:?}", deed.what));
        }
        let of_engine = |d: &&Deed| matches!(d.what, DeedKind::List | DeedKind::Order) && d.engine.is_none();
        for deed in day.deeds.iter().filter(of_engine) {
            wrong.push(format!("<do engine>: {:?} has to say of which engine", deed.what));
        }
        for deed in &day.deeds {
            match (deed.what == DeedKind::Fault, deed.fault()) {
                (_, Err(error)) => wrong.push(error),
                (true, Ok(None)) => wrong.push("<do fault>: has to say of which engine, and what".to_owned()),
                _ => {}
            }
        }
        for want in &day.wants {
            if want.at.duration() + want.within.duration() + want.stays.duration() > day.lasts.duration() {
                wrong.push(format!("<want within>: {:?} could be seen after the day's end only", want.what));
            }
            let lacks = match want.what {
                WishKind::Dead
                | WishKind::Left
                | WishKind::Deaf
                | WishKind::Mute
                | WishKind::NoAccusation => want.routers.is_none(),
                WishKind::Event | WishKind::Held | WishKind::Free => want.text.is_none(),
                _ => false,
            };
            if lacks {
                wrong.push(format!("<want>: {:?} has to say of whom, or what text", want.what));
            }
        }
        if wrong.is_empty() {
            Ok(day)
        } else {
            Err(wrong)
        }
    }

    /// The highest number of a router that it names.
    pub fn most_named(&self) -> usize {
        let texts = [&self.load_to, &self.may_die, &self.without]
            .into_iter()
            .chain(self.deeds.iter().flat_map(|d| [&d.routers, &d.from, &d.to]))
            .chain(self.wants.iter().flat_map(|w| [&w.routers, &w.by, &w.from, &w.to]));
        // Named as "all" they are as many as there are.
        texts.filter(|t| t.as_deref() != Some("all")).flat_map(|t| numbers(t.as_ref(), 0)).max().unwrap_or(0)
    }

    /// Routers that get requests.
    pub fn load_to(&self) -> Vec<usize> {
        match &self.load_to {
            None => (0..self.routers).collect(),
            some => numbers(some.as_ref(), self.routers),
        }
    }

    /// For how long that router leaves the list unconfirmed.
    pub fn confirm_of(&self, router: usize) -> Option<Span> {
        self.confirm
            .filter(|_| !self.plain && !numbers(self.without.as_ref(), self.routers).contains(&router))
    }

    pub fn may_die(&self) -> Vec<usize> {
        numbers(self.may_die.as_ref(), self.routers)
    }
}
