//! What is wrong around a router, in plain words, each with what to do.

use gaparch_config::Config;
use gaparch_scheduler::api::{Idempotency, Nanos, Role};
use std::fmt;

/// Room on a disk below this will not last.
const LEAST_ROOM: u64 = 256 << 20;
/// Clocks that are this far apart are wrong.
const CLOCKS: Nanos = 5_000_000_000;
/// Open files: a stream takes two, and the rest needs some.
const FILES_BESIDE: u64 = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    Fine,
    /// It works, but something is not as good as it could be.
    Advice,
    Trouble,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    pub level: Level,
    pub what: String,
    /// Empty where all is well.
    pub to_do: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = match self.level {
            Level::Fine => "ok     ",
            Level::Advice => "advice ",
            Level::Trouble => "WRONG  ",
        };
        write!(f, "{mark} {}", self.what)?;
        if !self.to_do.is_empty() {
            write!(f, "\n        -> {}", self.to_do)?;
        }
        Ok(())
    }
}

fn finding(level: Level, what: impl Into<String>, to_do: impl Into<String>) -> Finding {
    Finding { level, what: what.into(), to_do: to_do.into() }
}

fn fine(what: impl Into<String>) -> Finding {
    finding(Level::Fine, what, "")
}

/// A key's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileSeen {
    Sound,
    Missing,
    /// Others may read it, by its mode's last nine bits.
    Open(u32),
    Unusable(String),
}

/// How an engine answers.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineSeen {
    /// It says of itself this name and role.
    Answers {
        name: String,
        role: Role,
        started_at: u64,
    },
    Silent(String),
}

/// How an address that the router listens at is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PortSeen {
    Free,
    Taken,
    Impossible(String),
}

/// The state folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateSeen {
    /// Another router, of this process number, has it.
    InUse(String),
    Sound {
        orders: usize,
        damaged: usize,
        last_event_at: u64,
    },
    Wrong(String),
}

/// All that was looked at.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    pub settings_mode: Option<u32>,
    pub keys: Vec<(String, FileSeen)>,
    pub ports: Vec<(String, PortSeen)>,
    pub engines: Vec<(String, EngineSeen)>,
    pub list: Option<Result<(), String>>,
    pub state: Option<StateSeen>,
    /// Bytes free where the state is kept.
    pub room: Option<u64>,
    /// Files that a process may open.
    pub open_files: Option<u64>,
    pub now: Nanos,
    /// When this program was built, if that is known: no clock may be before it.
    pub built_at: Nanos,
}

/// What to say of it, the worst last.
pub fn judge(config: &Config, seen: &Seen) -> Vec<Finding> {
    let mut findings = rules(config);
    findings.extend(files(config, seen));
    findings.extend(seen.ports.iter().map(|(name, port)| port_finding(name, port, seen)));
    findings.extend(seen.engines.iter().map(|(name, engine)| engine_finding(config, name, engine, seen.now)));
    match &seen.list {
        Some(Ok(())) => findings.push(fine("the list service answers")),
        Some(Err(why)) => findings.push(finding(
            Level::Trouble,
            format!("the list service does not answer: {why}"),
            "start it, or correct <list address>; until then the router goes by the settings' engines",
        )),
        None => {}
    }
    findings.extend(state(config, seen));
    findings.extend(clock(seen));
    findings.sort_by_key(|f| f.level);
    findings
}

/// Settings that are sound and yet can't keep a rule, or are unwise.
fn rules(config: &Config) -> Vec<Finding> {
    let module = &config.scheduler;
    let mut all = Vec::new();
    let mut say = |level, what: String, to_do: &str| all.push(finding(level, what, to_do));
    for (name, class) in config.names.classes.iter().zip(&module.classes) {
        if class.idempotency == Idempotency::WithKey && class.deduplication_window < class.deadline {
            // The module makes no attempt after the window, so no rule is at stake.
            let what = format!("class {name}: repeats are dropped for a shorter time than a client waits");
            let to_do =
                "what has failed after the window is not tried again: make `window` at least `deadline`";
            say(Level::Advice, what, to_do);
        }
        if class.idempotency != Idempotency::Idempotent && module.max_attempts < 3 {
            let what = format!(
                "class {name} may be tried again, but {} attempts are a read and a write",
                module.max_attempts
            );
            say(Level::Advice, what, "allow more attempts in <attempts most>");
        }
        if class.latency_objective.saturating_mul(2) > class.deadline {
            let what = format!("class {name}: the deadline leaves little time after the aim");
            say(Level::Advice, what, "requests that miss their aim have hardly time to be tried again: make `deadline` twice `aim`");
        }
    }
    if module.drain_grace < 100_000_000 {
        let what = format!("a drain must be kept within {} ms", module.drain_grace / 1_000_000);
        say(Level::Trouble, what, "an engine that takes no bytes is noticed after 100 ms at the earliest: make <rules drain-grace> 200ms or more");
    }
    if !module.can_send_retry_after {
        say(
            Level::Advice,
            "refused clients are not told when to come back".to_owned(),
            "set <attempts retry-after> to true",
        );
    }
    let role = |e: &gaparch_config::EngineConfig| {
        let kind = config.names.kind(&e.kind);
        module.kind(kind).map(|(role, _)| role)
    };
    let count = |one: Role| {
        config.engines.iter().filter(|e| role(e).is_some_and(|r| r == one || r == Role::Mixed)).count()
    };
    if config.list.is_none() {
        for (one, word) in [(Role::Prefill, "reads"), (Role::Decode, "writes")] {
            if count(one) == 1 {
                let what = format!("one engine alone {word}");
                say(
                    Level::Advice,
                    what,
                    "it can't be drained without refusing requests: a second one would help",
                );
            }
        }
    }
    match &config.operations {
        None => say(
            Level::Advice,
            "nobody can operate this router: there is no <operations>".to_owned(),
            "add one with a state folder and a socket; without it drains do not survive a restart",
        ),
        Some(operations)
            if operations.operators.iter().all(|o| !o.may_change) && operations.socket.is_none() =>
        {
            say(
                Level::Trouble,
                "nobody may change anything".to_owned(),
                "give one <operator> role=\"change\", or a socket",
            );
        }
        Some(_) => {}
    }
    if all.is_empty() {
        all.push(fine("the settings are sound, and can keep the rules"));
    }
    all
}

fn files(config: &Config, seen: &Seen) -> Vec<Finding> {
    let mut all = Vec::new();
    if let Some(mode) = seen.settings_mode.filter(|mode| mode & 0o077 != 0 && !config.keys.is_empty()) {
        let what = format!("others may read the settings (mode {mode:o}), and the tenants' keys in them");
        all.push(finding(Level::Advice, what, "chmod 600 the settings file"));
    }
    for (name, file) in &seen.keys {
        all.push(match file {
            FileSeen::Open(mode) => {
                let what = format!(
                    "others may read the key file {name} (mode {mode:o}): the router does not take it"
                );
                finding(Level::Trouble, what, format!("chmod 600 {name}"))
            }
            FileSeen::Sound => fine(format!("the key file {name} is for its owner alone")),
            FileSeen::Missing => {
                let to_do = format!("write one: head -c 24 /dev/urandom | base64 > {name}; chmod 600 {name}");
                finding(
                    Level::Trouble,
                    format!("there is no key file {name}: its operator can't come in"),
                    to_do,
                )
            }
            FileSeen::Unusable(why) => {
                let to_do = "let the router's user read it, with a key of 16 bytes or more in its first line";
                finding(Level::Trouble, format!("the key file {name} can't be used: {why}"), to_do)
            }
        });
    }
    let wanted = (config.limits.open_requests as u64).saturating_mul(2).saturating_add(FILES_BESIDE);
    if let Some(most) = seen.open_files.filter(|most| *most < wanted) {
        let streams = most.saturating_sub(FILES_BESIDE) / 2;
        let what = format!(
            "a process may open {most} files: some {streams} clients at once, where the settings allow {}",
            config.limits.open_requests
        );
        all.push(finding(
            Level::Advice,
            what,
            "raise it (LimitNOFILE of the service, ulimit -n), or lower <limits open-requests>",
        ));
    }
    all
}

fn port_finding(name: &str, port: &PortSeen, seen: &Seen) -> Finding {
    let running = matches!(seen.state, Some(StateSeen::InUse(_)));
    match port {
        PortSeen::Free if running => finding(
            Level::Trouble,
            format!("a router runs, but does not listen at {name}"),
            "it was started with other settings: restart it",
        ),
        PortSeen::Free => fine(format!("{name} is free")),
        PortSeen::Taken if running => fine(format!("{name} is taken, by the router that runs")),
        PortSeen::Taken => finding(
            Level::Trouble,
            format!("{name} is taken by something else"),
            "end what listens there (ss -ltnp shows it), or choose another port",
        ),
        PortSeen::Impossible(why) => finding(
            Level::Trouble,
            format!("{name} can't be listened at: {why}"),
            "choose an address of this machine, and a port from 1024 on",
        ),
    }
}

fn engine_finding(config: &Config, name: &str, engine: &EngineSeen, now: Nanos) -> Finding {
    let listed = config.engines.iter().find(|e| e.name == name);
    let wanted = listed.and_then(|e| Some(config.scheduler.kind(config.names.kind(&e.kind))?.0));
    let address = listed.map(|e| e.address.to_string()).unwrap_or_default();
    match engine {
        EngineSeen::Silent(why) => finding(
            Level::Trouble,
            format!("engine {name} at {address} does not answer: {why}"),
            "start it, or correct its address; the router goes on without it",
        ),
        EngineSeen::Answers { name: said, .. } if said != name => finding(
            Level::Trouble,
            format!("at {address}, where {name} should be, an engine says it is {said}"),
            "correct the address or the id: the router does not use it so",
        ),
        EngineSeen::Answers { role, .. } if Some(*role) != wanted => finding(
            Level::Trouble,
            format!("engine {name} reports the role {role:?}, the settings say otherwise"),
            "correct its kind: the router does not use it so",
        ),
        EngineSeen::Answers { started_at, .. } if *started_at > now.saturating_add(CLOCKS) => finding(
            Level::Trouble,
            format!("engine {name} says that it began in the future: its clock or this one is wrong"),
            "set both by the network (timedatectl set-ntp true)",
        ),
        EngineSeen::Answers { .. } => fine(format!("engine {name} answers as what it should be")),
    }
}

fn state(config: &Config, seen: &Seen) -> Vec<Finding> {
    let mut all = Vec::new();
    let Some(operations) = &config.operations else { return all };
    let folder = operations.state.display();
    match &seen.state {
        None => {}
        Some(StateSeen::InUse(by)) => all.push(fine(format!("a router runs on {folder} (process {by})"))),
        Some(StateSeen::Sound { orders, damaged: 0, .. }) => {
            all.push(fine(format!("the state folder {folder} is sound: {orders} orders of operators")));
        }
        Some(StateSeen::Sound { damaged, .. }) => all.push(finding(
            Level::Trouble,
            format!("{damaged} records in {folder} are not what was written"),
            "the disk may be failing: look at its log; the file is kept with the ending .damaged, the rest is in use",
        )),
        Some(StateSeen::Wrong(why)) => all.push(finding(
            Level::Trouble,
            format!("the state folder {folder} can't be used: {why}"),
            "let the router's user own it, on a disk that can be written",
        )),
    }
    let wanted = LEAST_ROOM.max(operations.history as u64 * 2);
    if let Some(room) = seen.room {
        let mib = |bytes: u64| bytes >> 20;
        if room < wanted {
            let what =
                format!("{} MiB are free where the state is kept, {} MiB are wanted", mib(room), mib(wanted));
            all.push(finding(Level::Trouble, what, "make room, or lower <operations history>: orders that can't be kept are forgotten by a restart"));
        } else {
            all.push(fine(format!("{} MiB are free where the state is kept", mib(room))));
        }
    }
    all
}

fn clock(seen: &Seen) -> Option<Finding> {
    let last = match seen.state {
        Some(StateSeen::Sound { last_event_at, .. }) => last_event_at,
        _ => 0,
    };
    let to_do = "set it by the network (timedatectl set-ntp true): times in the events and ages of engines count on it";
    if last > seen.now.saturating_add(CLOCKS) {
        let hours = (last - seen.now) / 3_600_000_000_000;
        let what = format!("the clock has gone back: the last event that is kept is {hours} h from now");
        return Some(finding(Level::Trouble, what, to_do));
    }
    (seen.now < seen.built_at)
        .then(|| finding(Level::Trouble, "the clock is before this program was built", to_do))
}
