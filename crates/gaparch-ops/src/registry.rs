//! The operators' orders that are in force.

use gaparch_protocol::ops::intent::{AcceptedChange, Change, DrainMode, Intent, Subject};
use std::collections::BTreeMap;

/// Maximum number of subjects whose last change is stored. Past it, the oldest change that is not in force is
/// removed.
const MAX_SUBJECTS: usize = 20_000;

/// What a change applies to. Of each subject only the last change matters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ChangeSubject {
    Engine(String),
    Admission,
    Limit(String),
}

impl ChangeSubject {
    /// Returns the subject of a change; `None` for a change that isn't stored.
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

/// Returns the subject and value that a change puts in force, if any.
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

/// An operator's order that takes an engine out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineDrain {
    /// How the engine was taken out of service.
    pub mode: DrainMode,
    /// Time of the order, in nanoseconds since the Unix epoch.
    pub since: u64,
}

/// The last change of each subject by an operator, and so the orders that are in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderRegistry {
    revision: u64,
    last_changes: BTreeMap<ChangeSubject, AcceptedChange>,
}

impl OrderRegistry {
    /// Builds a registry by applying changes in the given order.
    pub fn restore(changes: impl IntoIterator<Item = AcceptedChange>) -> OrderRegistry {
        let mut registry = OrderRegistry::default();
        for change in changes {
            registry.apply(change);
        }
        registry
    }

    /// Returns the stored changes, oldest first; [`restore`](OrderRegistry::restore) rebuilds this registry
    /// from them.
    pub fn changes(&self) -> Vec<AcceptedChange> {
        let mut changes: Vec<AcceptedChange> = self.last_changes.values().cloned().collect();
        changes.sort_by_key(|accepted| accepted.revision);
        changes
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a change that was accepted by [`propose`](OrderRegistry::propose) or
    /// [`adopt`](OrderRegistry::adopt), possibly before a restart.
    pub fn apply(&mut self, accepted: AcceptedChange) {
        self.revision = self.revision.max(accepted.revision);
        if let Some(subject) = ChangeSubject::of(&accepted.change) {
            self.last_changes.insert(subject, accepted);
        }
        if self.last_changes.len() > MAX_SUBJECTS {
            self.remove_oldest_ended();
        }
    }

    /// Removes the oldest change that is not in force.
    fn remove_oldest_ended(&mut self) {
        let ended = self.last_changes.iter().filter(|(_, accepted)| !is_in_force(&accepted.change));
        let oldest = ended.min_by_key(|(_, accepted)| accepted.revision);
        if let Some(subject) = oldest.map(|(subject, _)| subject.clone()) {
            self.last_changes.remove(&subject);
        }
    }

    /// Returns the last change of a subject.
    pub(crate) fn last_change(&self, subject: &ChangeSubject) -> Option<&AcceptedChange> {
        self.last_changes.get(subject)
    }

    /// Returns the operator's order that keeps an engine out of service, if there is one.
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

    /// Returns the value of a limit that an operator has set, if any.
    pub fn limit(&self, name: &str) -> Option<f64> {
        let last = self.last_change(&ChangeSubject::Limit(name.to_owned()))?;
        match last.change {
            Change::SetLimit { value, .. } => value,
            _ => None,
        }
    }

    /// Returns the orders in force, oldest first. `is_persisted` tells whether the change of a revision is on
    /// disk.
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
