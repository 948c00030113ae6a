//! Checks that the schema can't express: names that must be defined or unique, and values that contradict
//! one another.

mod dialects;
mod engines;
mod fleet;
mod operations;
mod traffic;

use crate::config::{Attempts, ClassTimes, Config, Limits, Links, ListConfig, Names};
use crate::document::{Node, Problem};
use crate::raw;
use crate::scheduler_settings::scheduler_settings;
use gaparch_scheduler::api::ClassId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Version of the settings file's format.
const VERSION: u32 = 1;

/// The checks of one settings file, and the problems found so far.
pub(crate) struct Check<'d> {
    document: &'d Node,
    problems: Vec<Problem>,
}

impl<'d> Check<'d> {
    pub fn new(document: &'d Node) -> Self {
        Check { document, problems: Vec::new() }
    }

    pub fn into_problems(mut self) -> Vec<Problem> {
        self.problems.sort_by_key(|p| p.line);
        self.problems
    }

    /// Returns the nth element with this name, counted from 0. The schema uses each element name in one place
    /// only, so that the name and the number identify the element.
    fn nth(&self, name: &str, n: usize) -> &'d Node {
        self.document.descendants(name).get(n).copied().unwrap_or(self.document)
    }

    fn report(&mut self, element: &str, n: usize, attribute: &str, message: impl Into<String>) {
        let node = self.nth(element, n);
        self.problems.push(Problem::attribute(node, attribute, message));
    }

    /// Checks the settings and builds the configuration; [`Check::into_problems`] returns the errors.
    pub fn run(&mut self, raw: raw::Gaparch) -> Option<Config> {
        if raw.version != VERSION {
            self.report("gaparch", 0, "version", format!("only version {VERSION} is supported"));
        }
        let names = self.names(&raw);
        self.classes(&raw.classes.class);
        self.rules(&raw.rules);
        let dialects = self.dialects(raw.dialects.as_ref());
        let listeners = self.listeners(&raw.router.listen, &dialects);
        let keys = self.keys(&raw);
        let engines = self.engines(&raw, &names);
        self.router(&raw, &names);
        let list = raw.list.as_ref().and_then(|list| self.address("list", 0, &list.address));
        let limits = self.limits(&raw.limits);
        let attempts = self.attempts(&raw.attempts);
        let operations = raw.operations.as_ref().map(|operations| self.operations(operations));
        let fleet = raw.fleet.as_ref().and_then(|fleet| self.fleet(fleet, &raw));
        let default_class = raw.classes.class.iter().position(|class| class.default);
        Some(Config {
            router: raw.router.name.clone(),
            listeners,
            scheduler: scheduler_settings(&raw, &names),
            names,
            class_times: raw.classes.class.iter().map(class_times).collect(),
            default_class: default_class.map(ClassId),
            keys,
            engines,
            list: list.map(|address| ListConfig { address }),
            links: Links::Connections,
            attempts,
            limits,
            operations,
            fleet,
        })
    }

    fn limits(&mut self, raw: &raw::Limits) -> Limits {
        let limits = limits(raw);
        if limits.frame < limits.body + 4096 {
            self.report(
                "limits",
                0,
                "frame",
                "must exceed 'body' by at least 4 KiB: a frame holds a whole body",
            );
        }
        if limits.body_memory < 2 * limits.body {
            self.report(
                "limits",
                0,
                "body-memory",
                "must be at least twice 'body': a body is copied when it is complete",
            );
        }
        limits
    }

    fn attempts(&mut self, raw: &raw::Attempts) -> Attempts {
        if raw.most < 2 {
            self.report(
                "attempts",
                0,
                "most",
                "must be at least 2: a request takes a prefill and a decode attempt",
            );
        }
        if raw.reconnect_after > raw.reconnect_most || raw.reconnect_after.0 == 0 {
            self.report("attempts", 0, "reconnect-after", "must be above 0 and at most reconnect-most");
        }
        Attempts {
            probe_timeout: raw.probe_timeout.0,
            reconnect_after: raw.reconnect_after.0,
            reconnect_most: raw.reconnect_most.0,
        }
    }

    fn unique<'n>(&mut self, element: &str, attribute: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        for (n, name) in names.enumerate() {
            if let Some(first) = seen.insert(name, n) {
                let line = self.nth(element, first).line;
                self.report(element, n, attribute, format!("'{name}' is already used in line {line}"));
            }
        }
    }

    fn router(&mut self, raw: &raw::Gaparch, names: &Names) {
        if let Some(zone) = raw.router.zone.as_deref().filter(|z| names.zone(z).is_none()) {
            self.report("router", 0, "zone", format!("unknown zone '{zone}'"));
        }
        if raw.router.number.fract() != 0.0 || raw.router.number >= f64::from(raw.router.routers) {
            self.report("router", 0, "number", "must be a whole number below 'routers'");
        }
        if raw.engines.is_none() && raw.list.is_none() {
            self.problems.push(Problem::at(
                self.document,
                "has neither <engines> nor <list>: there is no engine to route to",
            ));
        }
    }

    fn address(&mut self, element: &str, n: usize, text: &str) -> Option<SocketAddr> {
        match text.parse() {
            Ok(address) => Some(address),
            Err(_) => {
                self.report(element, n, "address", format!("'{text}' is not an IP address with a port"));
                None
            }
        }
    }
}

fn class_times(class: &raw::Class) -> ClassTimes {
    ClassTimes { stream: class.stream_limit.0, silence: class.silence_limit.0 }
}

fn limits(raw: &raw::Limits) -> Limits {
    let base = Limits::default();
    Limits {
        body: raw.body.map_or(base.body, |b| b.0),
        body_memory: raw.body_memory.map_or(base.body_memory, |b| b.0),
        connections: raw.connections.unwrap_or(base.connections),
        open_requests: raw.open_requests.unwrap_or(base.open_requests),
        inbox: raw.inbox.unwrap_or(base.inbox),
        stream_buffer: raw.stream_buffer.unwrap_or(base.stream_buffer),
        frame: raw.frame.map_or(base.frame, |b| b.0),
        head_time: raw.head_time.unwrap_or(base.head_time),
        body_time: raw.body_time.unwrap_or(base.body_time),
        keep_alive: raw.keep_alive.unwrap_or(base.keep_alive),
        shutdown: raw.shutdown.unwrap_or(base.shutdown),
    }
}
