//! The owner's side of the replicated endpoint list: which version it holds, and the cells between it and the
//! fleet's task. Neither waits for the other; each cell holds the latest value only.

use super::audit_record::AuditMessage;
use super::owner_updates::LocalOrder;
use super::send_recorder::SendRecorder;
use crate::core::ListUpdate;
use gaparch_audit::{ActiveList, ListOutcome, ListSnapshot, Nanos};
use gaparch_protocol::list::Scope;
use gaparch_protocol::versions::{ListVersion, SendContext};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// The endpoint list as the owner has it.
#[derive(Clone, Debug, Default)]
pub(in crate::shell) struct LocalListState {
    /// `None`: the engines of the settings alone.
    pub list: Option<Arc<ListSnapshot>>,
    /// When the list service itself confirmed the list last; `None`: another router has handed it on.
    pub confirmed_at: Option<Nanos>,
}

/// A list of another router, for the owner.
#[derive(Clone, Debug, Default)]
pub(in crate::shell) struct AdoptedList {
    /// To be acted on, unless a later one is held by then.
    pub list: Option<Arc<ListSnapshot>>,
    /// A version that more than one other router has from the list service itself.
    pub corroborated: Option<ListVersion>,
}

/// What to do with an update of the list service.
#[derive(Debug, PartialEq)]
pub(in crate::shell) enum UpdateAction {
    /// Act on it.
    Apply,
    /// It says what is known, or must not be acted on.
    Ignore,
    /// A change was missed: the full list is needed.
    FetchFullList,
}

/// What to do with an update of the list service, and an event for operators, if it is one.
#[derive(Debug, PartialEq)]
pub(in crate::shell) struct UpdateDecision {
    pub action: UpdateAction,
    pub event: Option<String>,
}

impl UpdateDecision {
    fn of(action: UpdateAction) -> UpdateDecision {
        UpdateDecision { action, event: None }
    }
}

/// The channels of the owner's side.
pub(in crate::shell) struct OwnerPorts {
    pub local_list: watch::Sender<LocalListState>,
    /// Orders given here, on their way to the others.
    pub local_orders: mpsc::Sender<LocalOrder>,
    pub audit: mpsc::Sender<AuditMessage>,
}

/// The version of the list that the owner acts by.
pub(in crate::shell) struct ListVersions {
    active: ActiveList,
    /// Which run of the list service is connected.
    epoch: u64,
    /// No update has come on this connection yet.
    first_update: bool,
    /// The scheduler polls the list itself, and waits for each answer.
    polled: bool,
    local_list: watch::Sender<LocalListState>,
    local_orders: mpsc::Sender<LocalOrder>,
    /// The refusal that was an event last, so that it is reported once.
    reported_refusal: Option<String>,
    /// For how long a confirmation counts.
    confirm: Nanos,
    /// What is sent under this version, for the audit record.
    pub recorder: SendRecorder,
}

impl ListVersions {
    pub fn new(polled: bool, confirm: Nanos, ports: OwnerPorts) -> ListVersions {
        ListVersions {
            active: ActiveList::default(),
            epoch: 0,
            first_update: true,
            polled,
            local_list: ports.local_list,
            local_orders: ports.local_orders,
            reported_refusal: None,
            confirm,
            recorder: SendRecorder::new(ports.audit),
        }
    }

    /// Hands over what was sent under the versions that hold now: before each change of them, and now and
    /// then.
    pub fn hand_over_sends(&mut self, order_revision: u64, now: Nanos, engine_name: impl Fn(u32) -> String) {
        let confirmed_at = self.local_list.borrow().confirmed_at;
        let context = SendContext {
            list: self.active.version().unwrap_or_default(),
            confirmed: confirmed_at.is_some_and(|at| at.saturating_add(self.confirm) >= now),
            order_revision,
            build: env!("CARGO_PKG_VERSION").to_owned(),
        };
        self.recorder.hand_over(context, now, engine_name);
    }

    /// Reserves room for one more order that is to reach all routers, if there is any.
    pub fn reserve_order(&self) -> Option<mpsc::OwnedPermit<LocalOrder>> {
        self.local_orders.clone().try_reserve_owned().ok()
    }

    /// The list service was connected to; `epoch` is its run.
    pub fn on_connected(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.first_update = true;
    }

    /// Decides what to do with an update of the list service.
    pub fn on_update(&mut self, update: &ListUpdate, now: Nanos) -> UpdateDecision {
        let first = std::mem::take(&mut self.first_update);
        match self.active.apply_service_update(
            self.epoch,
            first,
            update.scope,
            update.version,
            &update.entries,
        ) {
            ListOutcome::Adopted { new_epoch } => {
                self.reported_refusal = None;
                let state = LocalListState { list: Some(self.active.snapshot()), confirmed_at: Some(now) };
                self.local_list.send_replace(state);
                let text = "the list service counts anew: it was started from nothing, or went back";
                UpdateDecision { action: UpdateAction::Apply, event: new_epoch.then(|| text.to_owned()) }
            }
            ListOutcome::Unchanged => {
                self.local_list.send_modify(|state| state.confirmed_at = Some(now));
                let action = if self.polled { UpdateAction::Apply } else { UpdateAction::Ignore };
                UpdateDecision::of(action)
            }
            ListOutcome::Incomplete => UpdateDecision::of(UpdateAction::FetchFullList),
            ListOutcome::Rejected(why) => {
                let text = format!("what the list service says is not acted on: {why}");
                let is_new = self.reported_refusal.as_ref() != Some(&text);
                self.reported_refusal = Some(text.clone());
                UpdateDecision { action: UpdateAction::Ignore, event: is_new.then_some(text) }
            }
        }
    }

    /// Takes a list that another router has handed on; the update to act on, if it is later than the one
    /// held.
    pub fn on_adopted(&mut self, adopted: AdoptedList) -> Option<ListUpdate> {
        if let Some(version) = adopted.corroborated {
            let before = self.active.version();
            self.active.corroborate(version);
            if self.active.version() != before {
                // The same list under the count that the others have: it stays as confirmed as it was.
                let list = self.active.snapshot();
                self.local_list.send_modify(|state| state.list = Some(list));
            }
        }
        let list = adopted.list?;
        match self.active.apply_peer_list(&list) {
            ListOutcome::Adopted { .. } => {
                let state = LocalListState { list: Some(self.active.snapshot()), confirmed_at: None };
                self.local_list.send_replace(state);
                Some(ListUpdate {
                    scope: Scope::Full,
                    version: list.version.version,
                    base_version: 0,
                    entries: list.entries.clone(),
                })
            }
            ListOutcome::Unchanged | ListOutcome::Incomplete | ListOutcome::Rejected(_) => None,
        }
    }
}
