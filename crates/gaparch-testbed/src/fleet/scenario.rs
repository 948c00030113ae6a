//! The format of scenario files: timed actions, and expectations with a deadline.

use super::faults::{DirectedLink, Fault as LinkFault, LinkEnd};
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

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    #[serde(rename = "@name")]
    pub name: String,
    /// The property that the scenario verifies.
    #[serde(rename = "@says")]
    pub says: String,
    #[serde(rename = "@routers")]
    pub routers: usize,
    #[serde(rename = "@lasts")]
    pub lasts: Span,
    #[serde(rename = "@seed", default = "one")]
    pub seed: u64,
    /// Requests per second, over all routers.
    #[serde(rename = "@rate", default)]
    pub rate: f64,
    #[serde(rename = "@load-to")]
    load_to: Option<String>,
    #[serde(rename = "@may-die")]
    may_die: Option<String>,
    /// The number of false deaths that are tolerated.
    #[serde(rename = "@false-deaths", default)]
    pub false_deaths: usize,
    /// The largest permitted sum of the limit shares that all running routers use at the same time.
    #[serde(rename = "@parts", default = "whole")]
    pub parts: f64,
    /// How long routers go without a confirmation of the list before they ask their peers; `None`: they never
    /// ask.
    #[serde(rename = "@confirm")]
    pub confirm: Option<Span>,
    /// Routers whose settings lack `confirm`, as before an upgrade.
    #[serde(rename = "@without")]
    without: Option<String>,
    /// Once the list service has drained an engine for this long, no router may send it new work.
    #[serde(rename = "@stale-after")]
    pub stale_after: Option<Span>,
    /// Routers run plain SWIM without its refinements, and don't ask their peers for lists.
    #[serde(skip)]
    pub plain: bool,
    /// Where the routers' state folders are copied to at the end.
    #[serde(skip)]
    pub keep: Option<std::path::PathBuf>,
    #[serde(rename = "do", default)]
    pub actions: Vec<Action>,
    #[serde(rename = "want", default)]
    pub expectations: Vec<Expectation>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ActionKind {
    Kill,
    Start,
    Leave,
    Stop,
    Continue,
    Cut,
    /// Bytes and datagrams sent are held back until the links are healed.
    Stall,
    /// Resets the current streams once.
    Reset,
    Links,
    Heal,
    Forge,
    Disk,
    /// Injects a fault into an engine.
    Fault,
    /// Other threads keep the machine's processors busy.
    Starve,
    CopyFolder,
    OldFolder,
    LoseFolder,
    /// Sets the offset of the router's wall clock, from its next start on.
    Clock,
    /// The list service changes the state of an engine.
    List,
    /// Restarts the list service with its current entries.
    ListRestart,
    /// The list service changes an entry ten times a second, for the duration in `delay`.
    ListChurn,
    /// Redirects these routers to another list service, which numbers its versions independently.
    SecondList,
    /// Redirects these routers to a replica that receives no further changes.
    OldReplica,
    /// Kills these routers; the runner sends false lists and orders under their names.
    Lie,
    /// An operator at the first of these routers drains, detaches or undrains an engine for all routers.
    Order,
}

/// The state of an engine in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    Ready,
    Draining,
    Gone,
}

/// An operator's order for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    Drain,
    Aside,
    Undrain,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Action {
    #[serde(rename = "@at")]
    pub at: Span,
    #[serde(rename = "@what")]
    pub what: ActionKind,
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
    /// Bytes per second of a stream.
    #[serde(rename = "@rate", default)]
    pub rate: u32,
    /// Seconds by which the wall clock is ahead.
    #[serde(rename = "@ahead")]
    pub ahead: Option<i32>,
    #[serde(rename = "@disk")]
    pub disk: Option<String>,
    #[serde(rename = "@engine")]
    pub engine: Option<String>,
    #[serde(rename = "@fault")]
    fault: Option<String>,
    #[serde(rename = "@state")]
    pub state: Option<ListedState>,
    #[serde(rename = "@order")]
    pub order: Option<OrderKind>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExpectationKind {
    /// Each running router knows every running router as alive (or suspect).
    Whole,
    /// These routers count as dead.
    Dead,
    Left,
    Majority,
    NoMajority,
    /// Exactly these links are reported as cut.
    Edges,
    /// The routers know that they receive nothing.
    Deaf,
    /// The routers know that they are unanswered.
    Mute,
    /// The router has counted forged datagrams, and replayed or misdirected ones.
    Forged,
    /// An event that contains the text was reported.
    Event,
    /// These routers suspect no running router.
    NoAccusation,
    /// The routers hold the current list of the list service.
    Latest,
    /// The routers have received a list from a peer.
    BroughtUp,
    /// The routers have received no list from a peer.
    NotBroughtUp,
    /// The orders issued at that time are reported as kept by all routers.
    Complete,
    /// The orders issued at that time are not reported as kept by all routers.
    NotComplete,
    /// An operator's order holds the engine.
    Held,
    /// No operator's order holds the engine.
    Free,
    /// At the end, the audit logs match what arrived at the engines, entry by entry, for each router that was
    /// neither killed nor left. With `text`, they also name that router as one that sent to a drained engine
    /// under an old list version.
    Audit,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    #[serde(rename = "@at")]
    pub at: Span,
    #[serde(rename = "@within")]
    pub within: Span,
    #[serde(rename = "@stays", default = "zero")]
    pub stays: Span,
    #[serde(rename = "@what")]
    pub what: ExpectationKind,
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

/// Parses a list of router numbers; the schema has validated the text.
fn router_numbers(text: Option<&String>, routers: usize) -> Vec<usize> {
    match text.map(String::as_str) {
        None => Vec::new(),
        Some("all") => (0..routers).collect(),
        Some(list) => list.split(' ').filter_map(|n| n.parse().ok()).collect(),
    }
}

/// Parses link ends: routers by number or `all`, `engines` or one engine by name, `list`, `clients`.
fn ends(text: Option<&String>, routers: usize, engines: &[String]) -> Vec<LinkEnd> {
    let engine = |name: &String| LinkEnd::Engine(name.clone());
    let one = |word: &str| match word {
        "all" => (0..routers).map(LinkEnd::Router).collect(),
        "engines" => engines.iter().map(engine).collect(),
        "list" => vec![LinkEnd::List],
        "clients" => vec![LinkEnd::Clients],
        word => match word.parse() {
            Ok(router) => vec![LinkEnd::Router(router)],
            Err(_) => vec![LinkEnd::Engine(word.to_owned())],
        },
    };
    text.into_iter().flat_map(|t| t.split(' ')).flat_map(one).collect()
}

impl Action {
    /// The engine and its fault, if the action has one.
    ///
    /// # Errors
    /// When the fault does not parse; the error quotes it.
    pub fn fault(&self) -> Result<Option<(String, Fault)>, String> {
        let (Some(engine), Some(fault)) = (&self.engine, &self.fault) else { return Ok(None) };
        let script: Script =
            format!("0s {fault}").parse().map_err(|e| format!("<do fault>: '{fault}': {e}"))?;
        Ok(script.0.first().map(|(_, fault)| (engine.clone(), *fault)))
    }

    pub fn routers(&self, of: usize) -> Vec<usize> {
        router_numbers(self.routers.as_ref(), of)
    }

    /// The directed links that the action affects, among the routers and these engines.
    pub fn links(&self, of: usize, engines: &[String]) -> Vec<DirectedLink> {
        let (from, to) = (ends(self.from.as_ref(), of, engines), ends(self.to.as_ref(), of, engines));
        let is_router = |end: &LinkEnd| matches!(end, LinkEnd::Router(_));
        let all = from.iter().flat_map(|a| to.iter().map(move |b| (a.clone(), b.clone())));
        all.filter(|(a, b)| a != b && (is_router(a) || is_router(b))).collect()
    }

    /// The fault that the action sets on its links; `None` if it sets none.
    pub fn link_fault(&self) -> Option<LinkFault> {
        let (delay, jitter) = (self.delay.duration(), self.jitter.duration());
        match self.what {
            ActionKind::Cut => Some(LinkFault { cut: true, ..LinkFault::default() }),
            ActionKind::Stall => Some(LinkFault { stall: true, ..LinkFault::default() }),
            ActionKind::Links => Some(LinkFault {
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

impl Expectation {
    pub fn routers(&self, of: usize) -> Vec<usize> {
        router_numbers(self.routers.as_ref(), of)
    }

    /// The routers that must observe it; `None` if not given, which means all running ones.
    pub fn by(&self, of: usize) -> Option<Vec<usize>> {
        self.by.is_some().then(|| router_numbers(self.by.as_ref(), of))
    }

    pub fn links(&self, of: usize) -> Vec<(usize, usize)> {
        pairs(&router_numbers(self.from.as_ref(), of), &router_numbers(self.to.as_ref(), of))
    }
}

fn pairs(from: &[usize], to: &[usize]) -> Vec<(usize, usize)> {
    from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b).collect()
}

impl Scenario {
    /// Parses and validates a scenario.
    ///
    /// # Errors
    /// All mistakes; those that the schema finds come with their line.
    pub fn parse(text: &str) -> Result<Scenario, Vec<String>> {
        static PARSED: OnceLock<Schema> = OnceLock::new();
        let schema = PARSED
            .get_or_init(|| Schema::parse(SCHEMA).unwrap_or_else(|e| panic!("schema/fleet-day.xsd: {e}")));
        let problems = schema.validate(text);
        if !problems.is_empty() {
            return Err(problems.iter().map(ToString::to_string).collect());
        }
        let scenario: Scenario = quick_xml::de::from_str(text).map_err(|e| vec![e.to_string()])?;
        let mut wrong = Vec::new();
        let named = scenario.highest_router();
        if named >= scenario.routers {
            wrong.push(format!("<day routers>: router {named} is named, there are {}", scenario.routers));
        }
        for action in scenario.actions.iter().filter(|d| d.at > scenario.lasts) {
            wrong.push(format!("<do at>: {:?} comes after the day's end", action.what));
        }
        for action in scenario.actions.iter().filter(|d| (d.what == ActionKind::Disk) != d.disk.is_some()) {
            wrong.push(format!("<do disk>: goes with what=\"disk\", here it is {:?}", action.what));
        }
        for action in scenario.actions.iter().filter(|d| (d.what == ActionKind::Clock) != d.ahead.is_some()) {
            wrong.push(format!("<do ahead>: goes with what=\"clock\", here it is {:?}", action.what));
        }
        let about_links = |d: &&Action| d.link_fault().is_some() || d.what == ActionKind::Reset;
        for action in scenario.actions.iter().filter(about_links) {
            if action.links(scenario.routers, &["any-engine".to_owned()]).is_empty() {
                wrong.push(format!(
                    "<do from>: {:?} has to name links, of which a router is an end",
                    action.what
                ));
            }
        }
        for action in scenario.actions.iter().filter(|d| (d.what == ActionKind::List) != d.state.is_some()) {
            wrong.push(format!("<do state>: goes with what=\"list\", here it is {:?}", action.what));
        }
        for action in scenario.actions.iter().filter(|d| (d.what == ActionKind::Order) != d.order.is_some()) {
            wrong.push(format!("<do order>: goes with what=\"order\", here it is {:?}", action.what));
        }
        let of_engine =
            |d: &&Action| matches!(d.what, ActionKind::List | ActionKind::Order) && d.engine.is_none();
        for action in scenario.actions.iter().filter(of_engine) {
            wrong.push(format!("<do engine>: {:?} must name an engine", action.what));
        }
        for action in &scenario.actions {
            match (action.what == ActionKind::Fault, action.fault()) {
                (_, Err(error)) => wrong.push(error),
                (true, Ok(None)) => wrong.push("<do fault>: must name an engine and its fault".to_owned()),
                _ => {}
            }
        }
        for expectation in &scenario.expectations {
            if expectation.at.duration() + expectation.within.duration() + expectation.stays.duration()
                > scenario.lasts.duration()
            {
                wrong.push(format!(
                    "<want within>: {:?} could be seen after the day's end only",
                    expectation.what
                ));
            }
            let lacks = match expectation.what {
                ExpectationKind::Dead
                | ExpectationKind::Left
                | ExpectationKind::Deaf
                | ExpectationKind::Mute
                | ExpectationKind::NoAccusation => expectation.routers.is_none(),
                ExpectationKind::Event | ExpectationKind::Held | ExpectationKind::Free => {
                    expectation.text.is_none()
                }
                _ => false,
            };
            if lacks {
                wrong.push(format!("<want>: {:?} must name routers, or have a text", expectation.what));
            }
        }
        if wrong.is_empty() {
            Ok(scenario)
        } else {
            Err(wrong)
        }
    }

    /// The highest router number that the scenario names.
    pub fn highest_router(&self) -> usize {
        let texts = [&self.load_to, &self.may_die, &self.without]
            .into_iter()
            .chain(self.actions.iter().flat_map(|d| [&d.routers, &d.from, &d.to]))
            .chain(self.expectations.iter().flat_map(|w| [&w.routers, &w.by, &w.from, &w.to]));
        // "all" names no particular number.
        texts
            .filter(|t| t.as_deref() != Some("all"))
            .flat_map(|t| router_numbers(t.as_ref(), 0))
            .max()
            .unwrap_or(0)
    }

    /// The routers that receive client requests.
    pub fn load_to(&self) -> Vec<usize> {
        match &self.load_to {
            None => (0..self.routers).collect(),
            some => router_numbers(some.as_ref(), self.routers),
        }
    }

    /// How long that router goes without a confirmation of the list before it asks its peers.
    pub fn confirm_of(&self, router: usize) -> Option<Span> {
        self.confirm
            .filter(|_| !self.plain && !router_numbers(self.without.as_ref(), self.routers).contains(&router))
    }

    pub fn may_die(&self) -> Vec<usize> {
        router_numbers(self.may_die.as_ref(), self.routers)
    }
}
