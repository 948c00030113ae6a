//! What a schema can't say: names that must be known or unique, times that can't be kept.

use crate::config::{
    module_settings, server_id, Attempts, ClassTimes, Config, EngineConfig, Fleet, KeySource, Limits, Links,
    ListConfig, Listener, Names, Operations, Operator,
};
use crate::document::{Node, Problem};
use crate::raw;
use crate::units::Span;
use gaparch_protocol::client::{
    Dialect, DialectParts, EventKind, EventShape, Field, Path, RequestField, Source, Value, Word,
};
use gaparch_scheduler::api::{ClassId, ServerState, TenantId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The settings' own version.
const VERSION: u32 = 1;
/// A release time shorter than this can't be kept by a router that looks at its requests every 10 ms.
const LEAST_RELEASE: Span = Span::millis(50);
/// A deadline shorter than this leaves no time to answer before it.
const LEAST_DEADLINE: Span = Span::millis(100);

/// A probe each period, its answer, and as many to others that ask: some four datagrams of 1,200 bytes at most.
const FLEET_BYTES_PER_S: u64 = 65_536;
/// Periods in which a router hears of what some others hold.
const CONFIRM_PERIODS: u64 = 5;
const LEAST_PERIOD: Span = Span::millis(80);
const MOST_PERIOD: Span = Span::secs(10);

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

    /// The nth element of a name; each name stands in one place of the settings only.
    fn nth(&self, name: &str, n: usize) -> &'d Node {
        self.document.all(name).get(n).copied().unwrap_or(self.document)
    }

    fn wrong(&mut self, element: &str, n: usize, attribute: &str, message: impl Into<String>) {
        let node = self.nth(element, n);
        self.problems.push(Problem::attribute(node, attribute, message));
    }

    pub fn run(&mut self, raw: raw::Gaparch) -> Option<Config> {
        if raw.version != VERSION {
            self.wrong("gaparch", 0, "version", format!("version {VERSION} is wanted"));
        }
        let names = self.names(&raw);
        self.classes(&raw.classes.class);
        self.rules(&raw.rules);
        let dialects = self.dialects(raw.dialects.as_ref());
        let listeners = self.listeners(&raw.router.listen, &dialects);
        let keys = self.keys(&raw);
        let engines = self.engines(&raw, &names);
        self.router(&raw, &names);
        let list = raw.list.as_ref().and_then(|l| self.address("list", 0, &l.address));
        let limits = limits(&raw.limits);
        if limits.frame < limits.body + 4096 {
            self.wrong("limits", 0, "frame", "a frame must hold a whole body and 4 KiB more");
        }
        if raw.attempts.most < 2 {
            self.wrong("attempts", 0, "most", "a read and a write take 2 attempts");
        }
        if raw.attempts.reconnect_after > raw.attempts.reconnect_most || raw.attempts.reconnect_after.0 == 0 {
            self.wrong("attempts", 0, "reconnect-after", "must be above 0 and at most reconnect-most");
        }
        let operations = raw.operations.as_ref().map(|o| self.operations(o));
        let fleet = raw.fleet.as_ref().and_then(|f| self.fleet(f, &raw));
        let default = raw.classes.class.iter().position(|c| c.default);
        Some(Config {
            router: raw.router.name.clone(),
            listeners,
            module: module_settings(&raw, &names),
            names,
            class_times: raw
                .classes
                .class
                .iter()
                .map(|c| ClassTimes { stream: c.stream_limit.0, silence: c.silence_limit.0 })
                .collect(),
            default_class: default.map(ClassId),
            keys,
            engines,
            list: list.map(|address| ListConfig { address }),
            links: Links::Connections,
            attempts: Attempts {
                probe_timeout: raw.attempts.probe_timeout.0,
                reconnect_after: raw.attempts.reconnect_after.0,
                reconnect_most: raw.attempts.reconnect_most.0,
            },
            limits,
            operations,
            fleet,
        })
    }

    fn operations(&mut self, raw: &raw::Operations) -> Operations {
        let address = raw.address.as_ref().and_then(|a| self.address("operations", 0, a));
        if let Some(outside) = address.filter(|a| !a.ip().is_loopback()) {
            let message = format!("{} is not on loopback: what is said there is not encrypted", outside.ip());
            self.wrong("operations", 0, "address", message);
        }
        if raw.socket.is_none() && raw.address.is_none() {
            self.wrong("operations", 0, "socket", "neither a socket nor an address: nobody could come in");
        }
        if raw.address.is_some() && raw.operator.is_empty() {
            self.wrong("operations", 0, "address", "an address wants an <operator> with a key");
        }
        for (name, bytes) in [("history", raw.history.0), ("refusals", raw.refusals.0)] {
            if bytes < 1 << 20 {
                self.wrong("operations", 0, name, "1MiB at least");
            }
        }
        self.unique("operator", "name", raw.operator.iter().map(|o| o.name.as_str()));
        let mut operators = Vec::new();
        for (n, operator) in raw.operator.iter().enumerate() {
            let key = match (&operator.key_file, &operator.key) {
                (Some(file), None) => KeySource::File(file.into()),
                (None, Some(key)) => KeySource::Text(key.clone()),
                _ => {
                    self.wrong("operator", n, "key-file", "one of key-file and key is wanted");
                    continue;
                }
            };
            let may_change = operator.role == raw::OperatorRole::Change;
            operators.push(Operator { name: operator.name.clone(), may_change, key });
        }
        Operations {
            state: raw.state.clone().into(),
            socket: raw.socket.as_ref().map(Into::into),
            address,
            sessions: raw.sessions,
            history: raw.history.0,
            refusals: raw.refusals.0,
            operators,
        }
    }

    fn fleet(&mut self, raw: &raw::Fleet, all: &raw::Gaparch) -> Option<Fleet> {
        if all.operations.is_none() {
            let message = "wants <operations>: the state folder keeps how often this router was started";
            self.wrong("fleet", 0, "listen", message);
        }
        let listen = self.address("fleet", 0, &raw.listen);
        let address = match &raw.address {
            Some(address) => self.address("fleet", 0, address),
            None => listen,
        };
        if address.is_some_and(|a| a.ip().is_unspecified() || a.port() == 0) {
            let message =
                "the others can't send to that: name the address and the port that reach this router";
            self.wrong("fleet", 0, if raw.address.is_some() { "address" } else { "listen" }, message);
        }
        if raw.period < LEAST_PERIOD {
            let needed = LEAST_PERIOD.0 / 1_000_000;
            let message = format!(
                "at less than {needed}ms a router would have to send more than the {FLEET_BYTES_PER_S} bytes a second \
                 that it may, whatever the number of routers"
            );
            self.wrong("fleet", 0, "period", message);
        }
        if raw.period > MOST_PERIOD {
            self.wrong("fleet", 0, "period", "at more than 10s a dead router would be noticed after minutes");
        }
        let longest = all.classes.class.iter().map(|c| c.deadline).max().unwrap_or_default();
        let least = longest.max(all.rules.fall);
        if raw.hold < least {
            let message = format!(
                "{} ms at least: the longest deadline or the time of a fall, in which what a dead router sent still counts",
                least.0 / 1_000_000
            );
            self.wrong("fleet", 0, "hold", message);
        }
        if let Some(confirm) = raw.confirm {
            let least = Span(raw.period.0.saturating_mul(CONFIRM_PERIODS));
            if confirm < least {
                let message = format!(
                    "{} ms at least, {CONFIRM_PERIODS} periods: what others hold is not told faster",
                    least.0 / 1_000_000
                );
                self.wrong("fleet", 0, "confirm", message);
            }
            if all.list.is_none() {
                let message =
                    "wants <list>: with no list service nobody knows a newer list than the settings'";
                self.wrong("fleet", 0, "confirm", message);
            }
        }
        let mut seeds = Vec::new();
        for (n, seed) in raw.seed.iter().enumerate() {
            seeds.extend(self.address("seed", n, &seed.address));
        }
        if seeds.is_empty() && all.router.routers > 1 {
            let message = "<seed> is wanted: with none this router and the others never find one another";
            self.wrong("fleet", 0, "listen", message);
        }
        Some(Fleet {
            listen: listen?,
            address: address?,
            key_file: raw.key_file.clone().into(),
            seeds,
            period: raw.period.0,
            hold: raw.hold.0,
            confirm: raw.confirm.map(|c| c.0),
            refined: raw.refined,
        })
    }

    fn unique<'n>(&mut self, element: &str, attribute: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        for (n, name) in names.enumerate() {
            if let Some(first) = seen.insert(name, n) {
                let line = self.nth(element, first).line;
                self.wrong(element, n, attribute, format!("'{name}' stands in line {line} already"));
            }
        }
    }

    fn names(&mut self, raw: &raw::Gaparch) -> Names {
        let zones: Vec<String> = raw.zones.iter().flat_map(|z| &z.zone).map(|z| z.id.clone()).collect();
        let names = Names {
            classes: raw.classes.class.iter().map(|c| c.id.clone()).collect(),
            tenants: raw.tenants.iter().flat_map(|t| &t.tenant).map(|t| t.id.clone()).collect(),
            kinds: raw.kinds.kind.iter().map(|k| k.id.clone()).collect(),
            zones,
        };
        self.unique("zone", "id", names.zones.iter().map(String::as_str));
        self.unique("kind", "id", names.kinds.iter().map(String::as_str));
        self.unique("class", "id", names.classes.iter().map(String::as_str));
        self.unique("tenant", "id", names.tenants.iter().map(String::as_str));
        names
    }

    fn classes(&mut self, classes: &[raw::Class]) {
        for (n, class) in classes.iter().enumerate() {
            if class.deadline < LEAST_DEADLINE {
                self.wrong(
                    "class",
                    n,
                    "deadline",
                    format!("{} is too short: {LEAST_DEADLINE} at least", class.deadline),
                );
            }
            if class.aim.0 == 0 || class.aim > class.deadline {
                self.wrong("class", n, "aim", "must be above 0 and at most the deadline");
            }
            if class.effect == raw::Effect::Keyed && class.window.0 == 0 {
                self.wrong(
                    "class",
                    n,
                    "window",
                    "a keyed class needs the time for which repeats are dropped",
                );
            }
            if class.effect != raw::Effect::Keyed && class.window.0 > 0 {
                self.wrong("class", n, "window", "means something for a keyed class only");
            }
            if class.silence_limit.0 == 0 || class.silence_limit > class.stream_limit {
                self.wrong("class", n, "silence-limit", "must be above 0 and at most stream-limit");
            }
            if class.default && classes[..n].iter().any(|c| c.default) {
                self.wrong("class", n, "default", "another class is the default already");
            }
        }
    }

    fn rules(&mut self, rules: &raw::Rules) {
        if rules.release_within < LEAST_RELEASE {
            let message = format!("{} can't be kept: {LEAST_RELEASE} at least", rules.release_within);
            self.wrong("rules", 0, "release-within", message);
        }
        if rules.fall.0 == 0 {
            self.wrong("rules", 0, "fall", "must be above 0");
        }
        if rules.cold_from <= 0.0 {
            self.wrong("rules", 0, "cold-from", "must be above 0");
        }
        if rules.fall_multiple < 1.0 {
            self.wrong("rules", 0, "fall-multiple", "below 1 an engine falls over at what it can do");
        }
    }

    fn router(&mut self, raw: &raw::Gaparch, names: &Names) {
        if let Some(zone) = raw.router.zone.as_deref().filter(|z| names.zone(z).is_none()) {
            self.wrong("router", 0, "zone", format!("there is no zone '{zone}'"));
        }
        if raw.router.number.fract() != 0.0 || raw.router.number >= f64::from(raw.router.routers) {
            self.wrong("router", 0, "number", "must be a whole number below 'routers'");
        }
        if raw.engines.is_none() && raw.list.is_none() {
            self.problems
                .push(Problem::at(self.document, "neither <engines> nor a <list>: nothing to route to"));
        }
    }

    fn address(&mut self, element: &str, n: usize, text: &str) -> Option<SocketAddr> {
        match text.parse() {
            Ok(address) => Some(address),
            Err(_) => {
                self.wrong(element, n, "address", format!("'{text}' is no address and port"));
                None
            }
        }
    }

    fn listeners(&mut self, all: &[raw::Listen], dialects: &BTreeMap<String, Arc<Dialect>>) -> Vec<Listener> {
        let fixed = |l: &raw::Listen| !l.address.ends_with(":0");
        self.unique("listen", "address", all.iter().filter(|l| fixed(l)).map(|l| l.address.as_str()));
        let mut listeners = Vec::new();
        for (n, listen) in all.iter().enumerate() {
            let address = self.address("listen", n, &listen.address);
            let Some(dialect) = dialects.get(&listen.dialect) else {
                self.wrong("listen", n, "dialect", format!("there is no dialect '{}'", listen.dialect));
                continue;
            };
            listeners.extend(address.map(|address| Listener { address, dialect: Arc::clone(dialect) }));
        }
        listeners
    }

    fn keys(&mut self, raw: &raw::Gaparch) -> BTreeMap<String, TenantId> {
        let tenants = || raw.tenants.iter().flat_map(|t| &t.tenant).enumerate();
        let keys: Vec<(TenantId, &str)> =
            tenants().flat_map(|(i, t)| t.key.iter().map(move |k| (TenantId(i), k.value.as_str()))).collect();
        let mut by_key: BTreeMap<String, TenantId> = BTreeMap::new();
        for (n, (tenant, key)) in keys.into_iter().enumerate() {
            // The key itself is not repeated: messages end up in logs.
            if by_key.insert(key.to_owned(), tenant).is_some() {
                self.wrong("key", n, "value", "the same key stands there twice");
            }
        }
        if let Some(tenants) = &raw.tenants {
            let sum: f64 = tenants.tenant.iter().map(|t| t.share).sum();
            if sum > 1.0 + 1e-9 {
                self.wrong("tenants", 0, "share", format!("the shares add up to {sum}, more than 1"));
            }
        }
        by_key
    }

    fn engines(&mut self, raw: &raw::Gaparch, names: &Names) -> Vec<EngineConfig> {
        let all: &[raw::Engine] = raw.engines.as_ref().map_or(&[], |e| &e.engine);
        self.unique("engine", "id", all.iter().map(|e| e.id.as_str()));
        self.unique("engine", "address", all.iter().map(|e| e.address.as_str()));
        let mut ids = BTreeMap::new();
        let mut engines = Vec::new();
        for (n, engine) in all.iter().enumerate() {
            if let Some(zone) = engine.zone.as_deref().filter(|z| names.zone(z).is_none()) {
                self.wrong("engine", n, "zone", format!("there is no zone '{zone}'"));
            }
            if names.kind(&engine.kind).is_none() {
                self.wrong("engine", n, "kind", format!("there is no kind '{}'", engine.kind));
            }
            let other = ids.insert(server_id(&engine.id), &engine.id);
            if let Some(other) = other.filter(|o| **o != engine.id) {
                self.wrong("engine", n, "id", format!("has the same number as '{other}': choose another"));
            }
            let Some(address) = self.address("engine", n, &engine.address) else { continue };
            engines.push(EngineConfig {
                name: engine.id.clone(),
                address,
                kind: engine.kind.clone(),
                zone: engine.zone.clone().unwrap_or_default(),
                rack: engine.rack.clone().unwrap_or_default(),
                weight: engine.weight,
                state: match engine.state {
                    raw::State::Ready => ServerState::Ready,
                    raw::State::Draining => ServerState::Draining,
                },
            });
        }
        // With a list service engines may come later; without one what is missing never comes.
        let role = |e: &raw::Engine| raw.kinds.kind.iter().find(|k| k.id == e.kind).map(|k| k.role);
        let has = |role_: raw::Role| {
            all.iter().any(|e| matches!(role(e), Some(r) if r == role_ || r == raw::Role::Both))
        };
        let reads = has(raw::Role::Read) || raw.attempts.self_prefill;
        if raw.list.is_none() && !all.is_empty() && !(reads && has(raw::Role::Write)) {
            let message = "no engine reads, or none writes: no request could be served";
            self.problems.push(Problem::at(self.nth("engines", 0), message));
        }
        engines
    }

    fn dialects(&mut self, raw: Option<&raw::Dialects>) -> BTreeMap<String, Arc<Dialect>> {
        let builtin = |name: &str| Dialect::builtin(name).map(|d| (name.to_owned(), Arc::new(d)));
        let mut all: BTreeMap<String, Arc<Dialect>> =
            ["own", "messages"].into_iter().filter_map(builtin).collect();
        let raw: &[raw::Dialect] = raw.map_or(&[], |d| &d.dialect);
        let events_before = |n: usize| raw[..n].iter().map(|d| d.event.len()).sum::<usize>();
        for (n, dialect) in raw.iter().enumerate() {
            if all.contains_key(&dialect.id) {
                self.wrong("dialect", n, "id", format!("there is a dialect '{}' already", dialect.id));
                continue;
            }
            let base = match dialect.based_on.as_str() {
                "own" => DialectParts::own(),
                "messages" => DialectParts::messages(),
                other => {
                    self.wrong("dialect", n, "based-on", format!("'{other}' is neither own nor messages"));
                    continue;
                }
            };
            let parts = self.dialect(dialect, base, events_before(n));
            match Dialect::new(parts) {
                Ok(ready) => drop(all.insert(dialect.id.clone(), Arc::new(ready))),
                Err(errors) => {
                    let node = self.nth("dialect", n);
                    self.problems.extend(errors.iter().map(|e| Problem::at(node, e.to_string())));
                }
            }
        }
        all
    }

    fn dialect(&mut self, raw: &raw::Dialect, base: DialectParts, events_before: usize) -> DialectParts {
        let mut parts = DialectParts { name: raw.id.clone(), ..base };
        for (n, event) in raw.event.iter().enumerate() {
            let Some(kind) = EventKind::parse(&event.kind) else { continue };
            let mut fields = Vec::new();
            for field in &event.field {
                let source = match (&field.value, &field.text) {
                    (Some(value), None) => Value::parse(value).map(Source::Value),
                    (None, Some(text)) => Some(Source::Fixed(serde_json::Value::String(text.clone()))),
                    _ => None,
                };
                match (Path::parse(&field.path), source) {
                    (Some(path), Some(source)) => fields.push(Field { path, source }),
                    _ => {
                        let message =
                            format!("field '{}' needs a sound path and either value or text", field.path);
                        self.wrong("event", events_before + n, "kind", message);
                    }
                }
            }
            parts.events.insert(kind, EventShape { name: event.name.clone(), fields });
        }
        for word in &raw.word {
            parts.words.extend(Word::parse(&word.of).map(|w| (w, word.spelt.clone())));
        }
        for request in &raw.request {
            let field = RequestField::parse(&request.field).zip(Path::parse(&request.path));
            parts.request.extend(field);
        }
        parts
    }
}

fn limits(raw: &raw::Limits) -> Limits {
    let base = Limits::default();
    Limits {
        body: raw.body.map_or(base.body, |b| b.0),
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
