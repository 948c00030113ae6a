//! The orders of operators that are in force.

use gaparch_protocol::ops::intent::{AcceptedChange, Change, DrainMode, Intent, Subject};
use std::collections::BTreeMap;

/// Subjects of which the last change is remembered. Past it the oldest of those that are not in force are forgotten.
const MAX_SUBJECTS: usize = 20_000;

/// What a change is about: of each subject the last change counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ChangeSubject {
    Engine(String),
    Admission,
    Limit(String),
}

impl ChangeSubject {
    /// The subject of a change; `None` for one that nothing remembers.
    pub(crate) fn of(change: &Change) -> Option<ChangeSubject> {
        match change {
            Change::Drain { engine, .. } | Change::Undrain { engine } => {
                Some(ChangeSubject::Engine(engine.clone()))
            }
            Change::Pause {} | Change::Resume {} => Some(ChangeSubject::Admission),
            Change::SetLimit { name, .. } => Some(ChangeSubject::Limit(name.clone())),
            Change::Stop {} => None,
        }
    }
}

/// Whether a change leaves something in force, rather than ending it.
fn is_in_force(change: &Change) -> bool {
    matches!(change, Change::Drain { .. } | Change::Pause {} | Change::SetLimit { value: Some(_), .. })
}

/// What a change leaves in force.
fn subject_in_force(change: &Change) -> Option<Subject> {
    match change {
        Change::Drain { engine, mode } => Some(Subject::Engine { engine: engine.clone(), mode: *mode }),
        Change::Pause {} => Some(Subject::Admission {}),
        Change::SetLimit { name, value: Some(value) } => {
            Some(Subject::Limit { name: name.clone(), value: *value })
        }
        _ => None,
    }
}

/// How an engine is out of service by an operator's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineDrain {
    /// How it was taken out.
    pub mode: DrainMode,
    /// When, in nanoseconds since the Unix epoch.
    pub since: u64,
}

/// What is in force by operators' orders, and who changed each thing last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderRegistry {
    revision: u64,
    last_changes: BTreeMap<ChangeSubject, AcceptedChange>,
}

impl OrderRegistry {
    /// The registry after these changes, in their order.
    pub fn restore(changes: impl IntoIterator<Item = AcceptedChange>) -> OrderRegistry {
        let mut registry = OrderRegistry::default();
        for change in changes {
            registry.apply(change);
        }
        registry
    }

    /// Changes from which [`restore`](OrderRegistry::restore) makes this registry again, by revision.
    pub fn changes(&self) -> Vec<AcceptedChange> {
        let mut changes: Vec<AcceptedChange> = self.last_changes.values().cloned().collect();
        changes.sort_by_key(|accepted| accepted.revision);
        changes
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a change that was [proposed](OrderRegistry::propose), here or before a restart.
    pub fn apply(&mut self, accepted: AcceptedChange) {
        self.revision = self.revision.max(accepted.revision);
        if let Some(subject) = ChangeSubject::of(&accepted.change) {
            self.last_changes.insert(subject, accepted);
        }
        if self.last_changes.len() > MAX_SUBJECTS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let ended = self.last_changes.iter().filter(|(_, accepted)| !is_in_force(&accepted.change));
        let oldest = ended.min_by_key(|(_, accepted)| accepted.revision);
        if let Some(subject) = oldest.map(|(subject, _)| subject.clone()) {
            self.last_changes.remove(&subject);
        }
    }

    /// The last change of a subject.
    pub(crate) fn last_change(&self, subject: &ChangeSubject) -> Option<&AcceptedChange> {
        self.last_changes.get(subject)
    }

    /// How an engine is out of service by an operator's order, if it is.
    pub fn drain(&self, engine: &str) -> Option<EngineDrain> {
        let last = self.last_change(&ChangeSubject::Engine(engine.to_owned()))?;
        match last.change {
            Change::Drain { mode, .. } => Some(EngineDrain { mode, since: last.note.at }),
            _ => None,
        }
    }

    /// Whether an operator has paused admission.
    pub fn is_paused(&self) -> bool {
        let last = self.last_change(&ChangeSubject::Admission);
        last.is_some_and(|accepted| is_in_force(&accepted.change))
    }

    /// The value to which an operator has set a limit, if one has.
    pub fn limit(&self, name: &str) -> Option<f64> {
        let last = self.last_change(&ChangeSubject::Limit(name.to_owned()))?;
        match last.change {
            Change::SetLimit { value, .. } => value,
            _ => None,
        }
    }

    /// What is in force, the latest last. `is_persisted` says whether the change of a revision is on disk.
    pub fn intents(&self, is_persisted: impl Fn(u64) -> bool) -> Vec<Intent> {
        let intent = |accepted: &AcceptedChange| {
            Some(Intent {
                subject: subject_in_force(&accepted.change)?,
                note: accepted.note.clone(),
                revision: accepted.revision,
                persisted: is_persisted(accepted.revision),
            })
        };
        let mut intents: Vec<Intent> = self.last_changes.values().filter_map(intent).collect();
        intents.sort_by_key(|intent| intent.revision);
        intents
    }
}
