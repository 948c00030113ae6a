//! Connects to engines, and handles established and lost connections.

use super::attempts::AttemptResult;
use super::connection::{ConnectionNumber, EngineConnection};
use super::request::{Attempt, AttemptState, TrackedRequest};
use super::timers::Timer;
use super::{Core, Output};
use gaparch_protocol::engine::EngineFacts;
use gaparch_scheduler::api::{AttemptStatus, EndpointUpdate, Event, RequestId, ServerId};

impl Core {
    /// Connects to an engine that is listed and not connected.
    pub(super) fn connect(&mut self, engine: ServerId, out: &mut Vec<Output>) {
        let Some((name, address)) = self.endpoints.connect_target(engine) else { return };
        let Some(connection) =
            self.connections.get_mut(&engine).filter(|connection| connection.is_disconnected())
        else {
            return;
        };
        self.next_conn += 1;
        let conn = ConnectionNumber(self.next_conn);
        connection.start_connecting(conn);
        out.push(Output::Connect { engine, conn, name, address });
    }

    pub(super) fn on_engine_connected(
        &mut self,
        engine: ServerId,
        conn: ConnectionNumber,
        facts: &EngineFacts,
        out: &mut Vec<Output>,
    ) {
        let Some(connection) = self.connections.get_mut(&engine) else { return };
        if !connection.on_connected(conn) {
            return;
        }
        if let Err(mismatch) = self.endpoints.check_facts(engine, facts, &self.config) {
            return self.on_protocol_violation(engine, mismatch.reason(), out);
        }
        if let Some(entry) =
            self.endpoints.on_reported_start(engine, facts.started_at, self.now, &mut self.counters)
        {
            self.scheduler_events.push_back(Event::EndpointsChanged {
                update: EndpointUpdate::Delta,
                endpoints: vec![entry].into(),
            });
        }
        let awaits_engine = |tracked: &TrackedRequest| {
            tracked.attempt.is_some_and(|attempt| attempt.server == engine && attempt.awaits_connection())
        };
        let waiting: Vec<RequestId> =
            self.requests.iter().filter(|(_, tracked)| awaits_engine(tracked)).map(|(id, _)| *id).collect();
        for id in waiting {
            self.send_attempt_frame(id);
        }
        out.append(&mut self.pending_frames);
    }

    pub(super) fn on_engine_disconnected(
        &mut self,
        engine: ServerId,
        conn: ConnectionNumber,
        out: &mut Vec<Output>,
    ) {
        let Some(connection) = self.connections.get_mut(&engine) else { return };
        let Some(lost) = connection.on_disconnected(conn, &self.config.attempts) else { return };
        self.endpoints.mark_unreachable(engine, self.now);
        if self.endpoints.is_present(engine) {
            self.timers.set(self.now.saturating_add(lost.reconnect_after), Timer::Reconnect(engine));
        }
        for (_, sent) in lost.outstanding_probes {
            self.report_probe(engine, self.now.saturating_sub(sent), AttemptStatus::ConnectFailed, None);
        }
        if lost.was_connected {
            // Reports the lost connection to the scheduler even if no attempt was in flight there.
            self.report_probe(engine, 0, AttemptStatus::ConnectFailed, None);
        }
        for (id, attempt) in self.attempts_at(engine) {
            match attempt.state {
                AttemptState::Streaming => self.break_stream(id, attempt, AttemptStatus::Reset, out),
                AttemptState::AwaitingConnection => {
                    self.finish_attempt(id, attempt, AttemptResult::of(AttemptStatus::ConnectFailed))
                }
                AttemptState::AwaitingFirstToken => {
                    self.finish_attempt(id, attempt, AttemptResult::of(AttemptStatus::Reset))
                }
            }
        }
        self.forget_kv_at(engine);
    }

    fn attempts_at(&self, engine: ServerId) -> Vec<(RequestId, Attempt)> {
        let attempt_there =
            |tracked: &TrackedRequest| tracked.attempt.filter(|attempt| attempt.server == engine);
        self.requests.iter().filter_map(|(id, tracked)| Some((*id, attempt_there(tracked)?))).collect()
    }

    /// Forgets what an engine held for this router: it is lost with the connection.
    fn forget_kv_at(&mut self, engine: ServerId) {
        let held: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, tracked)| tracked.kv_held_at.contains(&engine))
            .map(|(id, _)| *id)
            .collect();
        for id in held {
            if let Some(tracked) = self.requests.get_mut(&id) {
                tracked.kv_held_at.retain(|holder| *holder != engine);
            }
            self.forget_if_done(id);
        }
    }

    /// Closes the connection to an engine that violated the protocol. Only requests on this connection are
    /// affected.
    pub(super) fn on_protocol_violation(
        &mut self,
        engine: ServerId,
        reason: &'static str,
        out: &mut Vec<Output>,
    ) {
        self.counters.protocol_violations += 1;
        out.push(Output::Disconnect { engine, reason });
        let conn = self.connections.get(&engine).and_then(EngineConnection::number);
        if let Some(conn) = conn {
            self.on_engine_disconnected(engine, conn, out);
        }
    }
}
