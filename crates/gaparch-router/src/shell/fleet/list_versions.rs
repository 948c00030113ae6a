//! The owner's side of list replication: the version of the endpoint list that it uses, and the watch
//! channels between it and the fleet's task. Neither waits for the other, as a watch channel holds only the
//! latest value.

use super::audit_record::AuditMessage;
use super::owner_updates::LocalOrder;
use super::send_recorder::SendRecorder;
use crate::core::ListUpdate;
use gaparch_audit::{ActiveList, ListOutcome, ListSnapshot, Nanos};
use gaparch_protocol::list::Scope;
use gaparch_protocol::versions::{ListVersion, SendContext};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// The endpoint list that the owner uses.
#[derive(Clone, Debug, Default)]
pub(in crate::shell) struct LocalListState {
    /// `None` if only the engines of the settings are used.
    pub list: Option<Arc<ListSnapshot>>,
    /// When the list service last confirmed the list; `None` if the list was received from another router.
    pub confirmed_at: Option<Nanos>,
}

/// A list of another router, for the owner.
#[derive(Clone, Debug, Default)]
pub(in crate::shell) struct AdoptedList {
    /// The list to use, unless the owner has a later one by then.
    pub list: Option<Arc<ListSnapshot>>,
    /// A version that more than one other router has received from the list service.
    pub corroborated: Option<ListVersion>,
}

/// What to do with an update of the list service.
#[derive(Debug, PartialEq)]
pub(in crate::shell) enum UpdateAction {
    /// Apply it.
    Apply,
    /// It is already known or must not be applied.
    Ignore,
    /// A change was missed: the full list is needed.
    FetchFullList,
}

/// What to do with an update of the list service, and the text of an event for operators, if there is one.
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

/// The owner's ends of the channels to the fleet's tasks.
pub(in crate::shell) struct OwnerPorts {
    pub local_list: watch::Sender<LocalListState>,
    /// Orders given at this router, to be replicated.
    pub local_orders: mpsc::Sender<LocalOrder>,
    pub audit: mpsc::Sender<AuditMessage>,
}

/// The list replication state of the owner.
pub(in crate::shell) struct ListVersions {
    active: ActiveList,
    /// The epoch of the connected list service, which identifies its run.
    epoch: u64,
    /// Whether no update was received on this connection yet.
    first_update: bool,
    /// Whether the scheduler polls the list, so that it waits for each answer.
    polled: bool,
    local_list: watch::Sender<LocalListState>,
    local_orders: mpsc::Sender<LocalOrder>,
    /// The text of the last rejection event, so that each one is reported once.
    reported_rejection: Option<String>,
    /// How long a confirmation is valid.
    confirm: Nanos,
    /// Counts the sends under this version for the audit record.
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
            reported_rejection: None,
            confirm,
            recorder: SendRecorder::new(ports.audit),
        }
    }

    /// Passes the sends under the current versions to the audit record. Called before each change of a
    /// version, and periodically.
    pub fn submit_sends(&mut self, order_revision: u64, now: Nanos, engine_name: impl Fn(u32) -> String) {
        let confirmed_at = self.local_list.borrow().confirmed_at;
        let context = SendContext {
            list: self.active.version().unwrap_or_default(),
            confirmed: confirmed_at.is_some_and(|at| at.saturating_add(self.confirm) >= now),
            order_revision,
            build: env!("CARGO_PKG_VERSION").to_owned(),
        };
        self.recorder.submit(context, now, engine_name);
    }

    /// Reserves a place in the queue of orders to replicate, if there is one.
    pub fn reserve_order(&self) -> Option<mpsc::OwnedPermit<LocalOrder>> {
        self.local_orders.clone().try_reserve_owned().ok()
    }

    /// The list service was connected; `epoch` identifies its run.
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
                self.reported_rejection = None;
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
            ListOutcome::Rejected(reason) => {
                let text = format!("what the list service says is not acted on: {reason}");
                let is_new = self.reported_rejection.as_ref() != Some(&text);
                self.reported_rejection = Some(text.clone());
                UpdateDecision { action: UpdateAction::Ignore, event: is_new.then_some(text) }
            }
        }
    }

    /// Handles a list received from another router. Returns the update to apply, if the list is later than
    /// the one in use.
    pub fn on_adopted(&mut self, adopted: AdoptedList) -> Option<ListUpdate> {
        if let Some(version) = adopted.corroborated {
            let previous_version = self.active.version();
            self.active.corroborate(version);
            if self.active.version() != previous_version {
                // The same list, under the version that the other routers use: `confirmed_at` does not
                // change.
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
