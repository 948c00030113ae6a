//! Performs the core's outputs.

use super::{EngineTask, Owner};
use crate::core::{ConnectionNumber, Input, Output, ResponseEvent};
use crate::shell::engine;
use crate::shell::list::ListCommand;
use crate::shell::ops::BroadcasterMessage;
use gaparch_audit::SendKind;
use gaparch_protocol::engine::{AttemptKey, EngineFrame};
use gaparch_scheduler::api::{RequestId, ServerId};
use std::time::Duration;
use tokio::sync::mpsc;

/// Capacity of the queue of frames to one engine; the connection is closed when it is full.
const ENGINE_OUTBOX: usize = 16_384;
/// A probe has no attempt; the audit record has this key in its place.
const NO_ATTEMPT: AttemptKey = AttemptKey { request: 0, attempt: 0 };

/// The kind and the attempt of a frame that the audit record counts; `None` for other frames.
fn recorded_send(frame: &EngineFrame) -> Option<(SendKind, AttemptKey)> {
    match frame {
        EngineFrame::Prefill(job) => Some((SendKind::Prefill, job.key)),
        EngineFrame::Decode { job, .. } => Some((SendKind::Decode, job.key)),
        EngineFrame::Probe { .. } => Some((SendKind::Probe, NO_ATTEMPT)),
        _ => None,
    }
}

impl Owner {
    /// Performs all outputs, and those that result from failures to perform them.
    pub(super) fn perform_outputs(&mut self, out: &mut Vec<Output>) {
        let mut failures = Vec::new();
        while !out.is_empty() {
            for output in std::mem::take(out) {
                self.perform(output, &mut failures);
            }
            let now = self.clock.now();
            for input in failures.drain(..) {
                self.core.handle(now, input, out);
            }
        }
    }

    /// Performs one output; a failure is added to `failures` as an input for the core.
    fn perform(&mut self, output: Output, failures: &mut Vec<Input>) {
        match output {
            Output::Client { id, event } => self.send_to_client(id, event, failures),
            Output::Engine { engine, frame } => self.send_to_engine(engine, frame, failures),
            Output::Connect { engine, conn, name, address } => self.connect(engine, conn, name, address),
            Output::Disconnect { engine, reason } => {
                tracing::warn!(engine = engine.0, reason, "closing an engine's connection");
                if let Some(task) = self.engines.remove(&engine) {
                    let _ = task.frames.try_send(EngineFrame::Bye { reason: reason.to_owned() });
                }
            }
            Output::WatchEndpoints(on) => self.send_to_list_service(ListCommand::Watch(on), failures),
            Output::FetchEndpoints => self.send_to_list_service(ListCommand::Fetch, failures),
            Output::RequestEnded(outcome) => {
                if let Some(operations) = &mut self.operations {
                    operations.send(BroadcasterMessage::RequestEnded(outcome));
                }
            }
            // Not used here: the scheduler's settings allow no gossip, and the one connection to an engine
            // stays open.
            Output::SendGossip { .. } | Output::CloseIdleConnections(_) => {}
            Output::Log(text) => tracing::info!(%text, "scheduler"),
        }
    }

    fn connect(&mut self, engine: ServerId, conn: ConnectionNumber, name: String, address: String) {
        let (frames, frames_rx) = mpsc::channel(ENGINE_OUTBOX);
        let params = engine::ConnectionParams {
            engine,
            conn,
            name,
            address,
            run: self.core.run(),
            router: self.config.router.clone(),
            connect_timeout: Duration::from_nanos(self.config.scheduler.connect_timeout),
            write_timeout: engine::write_timeout(self.config.scheduler.drain_grace),
            max_frame: self.config.limits.frame,
        };
        tokio::spawn(engine::run(params, frames_rx, self.engine_inbox.clone()));
        self.engines.insert(engine, EngineTask { conn, frames });
    }

    fn send_to_client(&mut self, id: RequestId, event: ResponseEvent, failures: &mut Vec<Input>) {
        let is_last = event.is_last();
        if is_last {
            tracing::debug!(request = id.0, ?event, "answered");
        }
        let Some(response) = self.clients.get(&id) else { return };
        let sent = response.try_send(event);
        if is_last || sent.is_err() {
            self.clients.remove(&id);
        }
        if sent.is_err() && !is_last {
            tracing::info!(request = id.0, "client disconnected, or reads too slowly");
            failures.push(Input::ClientDisconnected(id));
        }
    }

    fn send_to_engine(&mut self, engine: ServerId, frame: EngineFrame, failures: &mut Vec<Input>) {
        if let Some(key) = frame.attempt() {
            tracing::trace!(request = key.request, attempt = key.attempt, engine = engine.0, "to engine");
        }
        let Some(task) = self.engines.get(&engine) else { return };
        if let Some(versions) = &mut self.versions {
            if let Some((kind, key)) = recorded_send(&frame) {
                let now = self.clock.now();
                versions.recorder.tally.record(engine.0, kind, key.request, key.attempt, now);
            }
        }
        if task.frames.try_send(frame).is_err() {
            let conn = task.conn;
            tracing::warn!(engine = engine.0, "engine does not accept frames; connection dropped");
            self.engines.remove(&engine);
            failures.push(Input::EngineDisconnected { engine, conn });
        }
    }

    fn send_to_list_service(&mut self, command: ListCommand, failures: &mut Vec<Input>) {
        let sent = self.list.as_ref().is_some_and(|list| list.try_send(command).is_ok());
        if !sent {
            failures.push(Input::ListServiceDown);
        }
    }
}
