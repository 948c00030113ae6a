//! Handles the messages of engine connections and of the list service.

use super::Owner;
use crate::core::{Input, ListUpdate, Output};
use crate::shell::engine::EngineMessage;
use crate::shell::fleet::UpdateAction;
use crate::shell::list::ListMessage;
use crate::shell::ops::BroadcasterMessage;
use gaparch_protocol::ops::view::{Event, Severity};
use gaparch_scheduler::api::ServerId;

impl Owner {
    pub(super) fn on_engine_message(&mut self, now: u64, message: EngineMessage, out: &mut Vec<Output>) {
        match message {
            EngineMessage::Connected { engine, conn, facts } => {
                self.core.handle(now, Input::EngineConnected { engine, conn, facts }, out);
            }
            EngineMessage::Disconnected { engine, conn, reason } => {
                tracing::info!(engine = engine.0, conn = conn.0, %reason, "engine connection down");
                // A newer connection may have replaced it already.
                if self.engines.get(&engine).is_some_and(|task| task.conn == conn) {
                    self.engines.remove(&engine);
                }
                self.core.handle(now, Input::EngineDisconnected { engine, conn }, out);
            }
            EngineMessage::Frames { engine, conn, frames } => {
                for frame in frames {
                    self.core.handle(now, Input::EngineFrame { engine, conn, frame }, out);
                }
            }
        }
    }

    pub(super) fn on_list_message(&mut self, message: ListMessage, out: &mut Vec<Output>) {
        let now = self.clock.now();
        let input = match message {
            ListMessage::Connected(epoch) => {
                if let Some(versions) = &mut self.versions {
                    versions.on_connected(epoch);
                }
                Input::ListServiceUp
            }
            ListMessage::Unavailable(reason) => {
                tracing::warn!(%reason, "the list service is unavailable");
                Input::ListServiceDown
            }
            ListMessage::Update(update) => match self.decide_on_update(&update, now) {
                UpdateAction::Apply => Input::ListUpdated(update),
                UpdateAction::Ignore => return,
                UpdateAction::FetchFullList => return out.push(Output::FetchEndpoints),
            },
        };
        self.core.handle(now, input, out);
    }

    /// Decides whether to apply an update. With list replication an update that is older than the list in use
    /// is ignored.
    fn decide_on_update(&mut self, update: &ListUpdate, now: u64) -> UpdateAction {
        self.submit_sends();
        let Some(versions) = &mut self.versions else { return UpdateAction::Apply };
        let decision = versions.on_update(update, now);
        if let (Some(operations), Some(text)) = (&mut self.operations, decision.event) {
            let event = Event { at: now, severity: Severity::Warning, engine: None, text };
            operations.send(BroadcasterMessage::Event(event));
        }
        decision.action
    }

    /// Passes the send counts to the audit record.
    pub(super) fn submit_sends(&mut self) {
        let Some(versions) = &mut self.versions else { return };
        let core = &self.core;
        let engine_name = |engine| core.engine_name(ServerId(engine)).to_owned();
        versions.submit_sends(core.orders_revision(), self.clock.now(), engine_name);
    }
}
