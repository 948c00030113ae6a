//! Changes of the endpoint list, and the connections that follow from them.

use super::attempts::AttemptResult;
use super::connection::{ConnectionNumber, EngineConnection};
use super::endpoint_table::ListUpdate;
use super::request::{Attempt, TrackedRequest};
use super::{Core, Output};
use gaparch_config::Links;
use gaparch_scheduler::api::{AttemptStatus, EndpointUpdate, Event, RequestId, ServerId};
use std::collections::BTreeSet;

impl Core {
    pub(super) fn on_list_service_up(&mut self, out: &mut Vec<Output>) {
        // Where the list service must be polled, the scheduler polls it.
        if !self.config.module.poll_endpoints {
            out.push(Output::WatchEndpoints(true));
        }
    }

    pub(super) fn on_list_service_down(&mut self) {
        if self.config.module.poll_endpoints {
            self.scheduler_events.push_back(Event::EndpointsChanged {
                update: EndpointUpdate::Failed,
                endpoints: Vec::new().into(),
            });
        }
    }

    pub(super) fn on_list_update(&mut self, update: ListUpdate, out: &mut Vec<Output>) {
        let told =
            self.endpoints.apply_update(update, &self.config, &self.orders, self.now, &mut self.counters);
        let Some((kind, entries)) = told else {
            // A change was missed: the full list is needed.
            return out.push(Output::FetchEndpoints);
        };
        let changed =
            (kind == EndpointUpdate::Delta).then(|| entries.iter().map(|entry| entry.server).collect());
        self.scheduler_events.push_back(Event::EndpointsChanged { update: kind, endpoints: entries.into() });
        match changed {
            Some(changed) => self.follow_endpoints(changed, out),
            None => self.follow_all_endpoints(out),
        }
    }

    /// Connects to endpoints that were added, and disconnects from those that were removed.
    pub(super) fn follow_all_endpoints(&mut self, out: &mut Vec<Output>) {
        let mut all: BTreeSet<ServerId> = self.connections.keys().copied().collect();
        all.extend(self.endpoints.present());
        self.follow_endpoints(all, out);
    }

    /// The same for those that a change of the list names: of a long list few change at once.
    fn follow_endpoints(&mut self, engines: BTreeSet<ServerId>, out: &mut Vec<Output>) {
        self.fail_waiting_attempts();
        for engine in engines {
            if self.endpoints.is_present(engine) {
                let connection = match self.config.links {
                    Links::Connections => EngineConnection::default,
                    Links::Exchanges => EngineConnection::connectionless,
                };
                self.connections.entry(engine).or_insert_with(connection);
            }
            self.follow_endpoint(engine, out);
        }
        if self.config.links == Links::Exchanges {
            // New engines come under new names all day: removed ones must not accumulate.
            let engines = &self.connections;
            self.endpoints.forget_removed(|engine| engines.contains_key(&engine));
        }
    }

    /// Attempts that wait for a connection must not be sent after a drain.
    fn fail_waiting_attempts(&mut self) {
        let roster = &self.endpoints;
        let waits = |tracked: &TrackedRequest| {
            tracked.attempt.filter(|attempt| attempt.awaits_connection() && !roster.is_ready(attempt.server))
        };
        let waiting: Vec<(RequestId, Attempt)> =
            self.requests.iter().filter_map(|(id, tracked)| Some((*id, waits(tracked)?))).collect();
        for (id, attempt) in waiting {
            self.finish_attempt(id, attempt, AttemptResult::of(AttemptStatus::ConnectFailed));
        }
    }

    fn follow_endpoint(&mut self, engine: ServerId, out: &mut Vec<Output>) {
        let Some(connection) = self.connections.get(&engine) else { return };
        if self.endpoints.is_present(engine) {
            if connection.is_new() {
                self.connect(engine, out);
            }
        } else {
            self.disconnect_if_idle(engine, out);
        }
    }

    /// Something has ended at an engine: if the engine is no longer listed, that may have been the last.
    pub(super) fn queue_disconnect_check(&mut self, engine: ServerId) {
        if !self.endpoints.is_present(engine) && !self.disconnect_candidates.contains(&engine) {
            self.disconnect_candidates.push(engine);
        }
    }

    /// Closes the connection to an engine that is no longer listed once nothing is in flight or held there: a KV cache that
    /// is still to be fetched would be lost with it.
    pub(super) fn disconnect_if_idle(&mut self, engine: ServerId, out: &mut Vec<Output>) {
        let Some(connection) = self.connections.get(&engine).filter(|_| !self.endpoints.is_present(engine))
        else {
            return;
        };
        let holds = |tracked: &TrackedRequest| tracked.kv_held_at.contains(&engine);
        if !connection.in_flight.is_empty() || self.requests.values().any(holds) {
            return;
        }
        if let Some(conn) = connection.number().filter(|c| *c != ConnectionNumber::EXCHANGES) {
            out.push(Output::Disconnect { engine, reason: "no longer listed, or set aside" });
            self.on_engine_disconnected(engine, conn, out);
        }
        self.connections.remove(&engine);
    }
}
