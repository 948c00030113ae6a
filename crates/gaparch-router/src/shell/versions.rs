//! The list that is held, where other routers may hand it on: what the owner has of it, and the cells between it and the
//! fleet's task. Neither waits for the other; each cell holds the latest word only.

use super::audit::Message;
use super::fleet_orders::Issued;
use crate::core::ListUpdate;
use gaparch_audit::{ActiveList, ListOutcome, ListSnapshot, Nanos, SendBatch, SendTally};
use gaparch_protocol::list::Scope;
use gaparch_protocol::versions::{ListVersion, SendContext};
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// What the fleet's task is told of the list.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldNews {
    /// None yet: the settings' engines alone.
    pub list: Option<Arc<ListSnapshot>>,
    /// The service itself has said so: when last. None: another router has handed it on.
    pub sure_at: Option<Nanos>,
}

/// What the fleet's task wants the owner to do.
#[derive(Clone, Debug, Default)]
pub(super) struct Adopt {
    /// To be acted on, unless a later one is held by then; and who has handed it on.
    pub list: Option<(Arc<ListSnapshot>, String)>,
    pub believed: Option<ListVersion>,
}

/// What to do with an update of the service.
#[derive(Debug, PartialEq)]
pub(super) enum Verdict {
    Act,
    /// It says what is known, or must not be acted on.
    Nothing,
    Fetch,
}

/// The owner's side.
pub(super) struct Versions {
    held: ActiveList,
    epoch: u64,
    first: bool,
    /// The module asks for the list itself, and waits for each answer.
    asked: bool,
    cell: watch::Sender<HeldNews>,
    /// Orders given here, on their way to the others.
    issued: mpsc::Sender<Issued>,
    /// What was refused last, so that it is told once.
    refused: Option<String>,
    /// What was sent since it was handed over last, and what could not be handed over yet.
    pub tally: SendTally,
    waiting: VecDeque<SendBatch>,
    record: mpsc::Sender<Message>,
    confirm: Nanos,
}

/// Hand-overs that wait for the record's task. Past it the singles of the oldest two are thrown together.
const WAITING: usize = 64;

impl Versions {
    pub fn new(
        asked: bool,
        confirm: Nanos,
        cell: watch::Sender<HeldNews>,
        issued: mpsc::Sender<Issued>,
        record: mpsc::Sender<Message>,
    ) -> Versions {
        Versions {
            held: ActiveList::default(),
            epoch: 0,
            first: true,
            asked,
            cell,
            issued,
            refused: None,
            tally: SendTally::default(),
            waiting: VecDeque::new(),
            record,
            confirm,
        }
    }

    /// Hands over what was sent under the versions that hold now: before each change of them, and now and then.
    pub fn hand_over(&mut self, orders: u64, now: Nanos, name: impl Fn(u32) -> String) {
        if !self.tally.is_empty() {
            let sure_at = self.cell.borrow().sure_at;
            let stamp = SendContext {
                list: self.held.version().unwrap_or_default(),
                confirmed: sure_at.is_some_and(|at| at.saturating_add(self.confirm) >= now),
                order_revision: orders,
                build: env!("CARGO_PKG_VERSION").to_owned(),
            };
            let sent = self.tally.take(stamp, now, name);
            if self.waiting.len() < WAITING {
                self.waiting.push_back(sent);
            } else if let Some(last) = self.waiting.back_mut() {
                // The record's disk has been stuck for long: counts are kept, one an engine, and where versions differ under
                // none, for a clean record of the wrong one would be a lie.
                last.omitted_records += sent.omitted_records + sent.records.len() as u64;
                last.at = sent.at;
                if last.context != sent.context {
                    last.context = SendContext::default();
                }
                for one in sent.counts {
                    match last.counts.iter_mut().find(|known| known.engine == one.engine) {
                        Some(known) => {
                            known.prefills += one.prefills;
                            known.decodes += one.decodes;
                            known.probes += one.probes;
                            known.last_at = one.last_at;
                        }
                        None => last.counts.push(one),
                    }
                }
            }
        }
        while let Some(sent) = self.waiting.pop_front() {
            if let Err(error) = self.record.try_send(Message::Sent(sent)) {
                if let mpsc::error::TrySendError::Full(Message::Sent(sent)) = error {
                    self.waiting.push_front(sent);
                }
                return;
            }
        }
    }

    /// Room for one more order that is to reach all routers, if there is any.
    pub fn reserve(&self) -> Option<mpsc::OwnedPermit<Issued>> {
        self.issued.clone().try_reserve_owned().ok()
    }

    /// Connected to that run of the service.
    pub fn on_up(&mut self, epoch: u64) {
        (self.epoch, self.first) = (epoch, true);
    }

    /// What to do with an update, and what to tell operators of it.
    pub fn on_update(&mut self, update: &ListUpdate, now: Nanos) -> (Verdict, Option<String>) {
        let first = std::mem::take(&mut self.first);
        match self.held.apply_service_update(self.epoch, first, update.scope, update.version, &update.entries)
        {
            ListOutcome::Adopted { new_epoch } => {
                self.refused = None;
                self.cell.send_replace(HeldNews { list: Some(self.held.snapshot()), sure_at: Some(now) });
                let text = "the list service counts anew: it was started from nothing, or went back";
                (Verdict::Act, new_epoch.then(|| text.to_owned()))
            }
            ListOutcome::Unchanged => {
                self.cell.send_modify(|news| news.sure_at = Some(now));
                (if self.asked { Verdict::Act } else { Verdict::Nothing }, None)
            }
            ListOutcome::Incomplete => (Verdict::Fetch, None),
            ListOutcome::Rejected(why) => {
                let text = format!("what the list service says is not acted on: {why}");
                let told = self.refused.as_ref() != Some(&text);
                self.refused = Some(text.clone());
                (Verdict::Nothing, told.then_some(text))
            }
        }
    }

    /// What another router has handed on, as an update to act on.
    pub fn on_adopt(&mut self, adopt: Adopt) -> Option<ListUpdate> {
        if let Some(believed) = adopt.believed {
            let before = self.held.version();
            self.held.corroborate(believed);
            if self.held.version() != before {
                // The same list under the count that the others have: what was sure is as sure.
                let list = self.held.snapshot();
                self.cell.send_modify(|news| news.list = Some(list));
            }
        }
        let (list, _) = adopt.list?;
        match self.held.apply_peer_list(&list) {
            ListOutcome::Adopted { .. } => {
                self.cell.send_replace(HeldNews { list: Some(self.held.snapshot()), sure_at: None });
                let version = list.version.version;
                Some(ListUpdate {
                    scope: Scope::Full,
                    version,
                    base_version: 0,
                    entries: list.entries.clone(),
                })
            }
            ListOutcome::Unchanged | ListOutcome::Incomplete | ListOutcome::Rejected(_) => None,
        }
    }
}
