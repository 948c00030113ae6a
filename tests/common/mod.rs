//! A router with a small site, and short words for the events and actions of the tests.
#![allow(dead_code)]

pub mod draws;

use gaparch_scheduler::api::*;
use gaparch_scheduler::policy::Policy;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

pub fn class(effect: Effect, group: Group) -> Class {
    Class {
        effect,
        group,
        window: 2 * S,
        aim: S,
        aim_per_token: 0.0,
        deadline: 5 * S,
        token_aim: 50 * MS,
        worth: 1.0,
        late_worth: 0.1,
        streamed: true,
    }
}

pub fn settings() -> Settings {
    Settings {
        routers: 2,
        classes: vec![class(Effect::Safe, Group::All)],
        roles: vec![Role::Read, Role::Write, Role::Both],
        memory: vec![100_000.0, 100_000.0, 100_000.0],
        release_within: 500 * MS,
        cancel: true,
        probes: false,
        max_attempts: 5,
        drain_grace: 500 * MS,
        cold_from: 0.3,
        cold: 10 * S,
        fall_multiple: 2.5,
        fall: 2 * S,
        answer_slack: 8 * MS,
        tick: 2 * MS,
        ..Settings::default()
    }
}

pub fn entry(server: u32, kind: usize, cell: u64) -> Entry {
    Entry {
        server: ServerId(server),
        zone: Some(ZoneId(cell as usize)),
        kind: Some(KindId(kind)),
        cell: Some(CellId(cell)),
        state: ServerState::Ready,
        weight: None,
        ready_at: None,
    }
}

/// Readers 1 and 2, writers 11 and 12, a cell for each pair.
pub fn pairs() -> Vec<Entry> {
    vec![entry(1, 0, 0), entry(2, 0, 1), entry(11, 1, 0), entry(12, 1, 1)]
}

pub struct Router {
    pub policy: Policy,
    pub now: Nanos,
    pub attempts: std::collections::BTreeMap<u64, u32>,
    pub log: Vec<Action>,
    timers: Vec<(Nanos, TimerToken)>,
    /// Timers come due at whole steps only, as where a site's batches are that far apart.
    pub step: Nanos,
}

impl Router {
    pub fn new(settings: Settings, entries: Vec<Entry>) -> Router {
        let mut router = Router {
            policy: Policy::new(settings),
            now: 100 * S,
            attempts: Default::default(),
            log: Vec::new(),
            timers: Vec::new(),
            step: 1,
        };
        router.members(ListKind::Cached, entries);
        router
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let actions = self.policy.handle(self.now, event);
        for action in &actions {
            match action {
                Action::Timer { token, delay } => {
                    self.timers.push(((self.now + delay).next_multiple_of(self.step), *token))
                }
                Action::Send { id, .. } => *self.attempts.entry(id.0).or_default() += 1,
                _ => {}
            }
        }
        let rest: Vec<Action> = actions.into_iter().filter(|a| !matches!(a, Action::Timer { .. })).collect();
        self.log.extend(rest.iter().cloned());
        rest
    }

    pub fn members(&mut self, kind: ListKind, entries: Vec<Entry>) -> Vec<Action> {
        self.event(Event::Members { kind, entries: entries.into() })
    }

    /// Lets time pass, with the timers that fall due; returns what was done.
    pub fn pass(&mut self, span: Nanos) -> Vec<Action> {
        let until = self.now + span;
        let mut done = Vec::new();
        while let Some(at) = self.timers.iter().map(|t| t.0).filter(|at| *at <= until).min() {
            let index = self.timers.iter().position(|t| t.0 == at).unwrap_or(0);
            let (at, token) = self.timers.remove(index);
            self.now = at;
            done.extend(self.event(Event::Timer(token)));
        }
        self.now = until;
        done
    }

    pub fn request(&self, id: u64) -> Request {
        Request {
            id: RequestId(id),
            class: ClassId(0),
            tenant: None,
            session: Some(Key(id)),
            prefix: None,
            prompt_len: 1000.0,
            prefix_len: 0.0,
            max_out: 200.0,
            hint: None,
            give_up_at: self.now + 5 * S,
            retry: false,
            again: false,
        }
    }

    pub fn ask(&mut self, id: u64) -> Vec<Action> {
        let request = self.request(id);
        self.event(Event::Request(request))
    }

    pub fn outcome_with(&mut self, id: u64, server: u32, status: Status, note: u64) -> Vec<Action> {
        let attempt = AttemptNo(self.attempts.get(&id).map_or(0, |n| n - 1));
        self.event(Event::Outcome(Outcome {
            id: RequestId(id),
            attempt,
            server: ServerId(server),
            status,
            latency: 10 * MS,
            closed: status == Status::Ok,
            note,
            report: None,
        }))
    }

    pub fn outcome(&mut self, id: u64, server: u32, status: Status) -> Vec<Action> {
        self.outcome_with(id, server, status, 0)
    }

    pub fn first(&mut self, id: u64, server: u32) -> Vec<Action> {
        self.first_after(id, server, 20 * MS)
    }

    pub fn first_after(&mut self, id: u64, server: u32, latency: Nanos) -> Vec<Action> {
        let attempt = AttemptNo(self.attempts.get(&id).map_or(0, |n| n - 1));
        self.event(Event::First { id: RequestId(id), attempt, server: ServerId(server), latency })
    }

    /// The same where probes come first; they are answered at once.
    pub fn stream_after_probes(&mut self, id: u64) -> (u32, u32) {
        let mut done = self.ask(id);
        for _ in 0..20 {
            let probed = |a: &Action| match a {
                Action::Probe(server) => Some(*server),
                _ => None,
            };
            let probes: Vec<ServerId> = done.iter().filter_map(probed).collect();
            let reader = sent_to(&done);
            done = self.pass(2 * MS);
            for server in probes {
                let ok = Event::Probed { server, status: Status::Ok, latency: 2 * MS, report: None };
                done.extend(self.event(ok));
            }
            if let Some(reader) = reader {
                let writer = sent_to(&self.outcome(id, reader, Status::Read)).expect("a write");
                self.first(id, writer);
                return (reader, writer);
            }
        }
        panic!("no read")
    }

    /// Asks, reads and begins to write; returns the reader and the writer.
    pub fn stream(&mut self, id: u64) -> (u32, u32) {
        let reader = sent_to(&self.ask(id)).expect("a read");
        let writer = sent_to(&self.outcome(id, reader, Status::Read)).expect("a write");
        self.first(id, writer);
        (reader, writer)
    }
}

/// The server of the first send among the actions.
pub fn sent_to(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

pub fn answers(actions: &[Action], id: u64) -> usize {
    let of = |a: &&Action| match a {
        Action::Refuse { id: i, .. } | Action::Fail { id: i, .. } => i.0 == id,
        _ => false,
    };
    actions.iter().filter(of).count()
}

pub fn released(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Release(RequestId(id)))
}

pub fn failed(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id: i, .. } if i.0 == id))
}

pub fn refused(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id: i, .. } if i.0 == id))
}

/// Why that request was refused or failed.
pub fn why(actions: &[Action], id: u64) -> Option<Why> {
    actions.iter().find_map(|a| match a {
        Action::Refuse { id: i, why, .. } | Action::Fail { id: i, why } if i.0 == id => Some(*why),
        _ => None,
    })
}
