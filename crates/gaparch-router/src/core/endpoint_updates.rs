//! Handles changes of the endpoint list, and connects to and disconnects from engines accordingly.

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
        // If the list service has to be polled, the scheduler does so.
        if !self.config.scheduler.poll_endpoints {
            out.push(Output::WatchEndpoints(true));
        }
    }

    pub(super) fn on_list_service_down(&mut self) {
        if self.config.scheduler.poll_endpoints {
            self.scheduler_events.push_back(Event::EndpointsChanged {
                update: EndpointUpdate::Failed,
                endpoints: Vec::new().into(),
            });
        }
    }

    pub(super) fn on_list_update(&mut self, update: ListUpdate, out: &mut Vec<Output>) {
        let applied =
            self.endpoints.apply_update(update, &self.config, &self.orders, self.now, &mut self.counters);
        let Some((kind, entries)) = applied else {
            // A change was missed: the full list is needed.
            return out.push(Output::FetchEndpoints);
        };
        let changed =
            (kind == EndpointUpdate::Delta).then(|| entries.iter().map(|entry| entry.server).collect());
        self.scheduler_events.push_back(Event::EndpointsChanged { update: kind, endpoints: entries.into() });
        match changed {
            Some(changed) => self.reconcile_connections(changed, out),
            None => self.reconcile_all_connections(out),
        }
    }

    /// Connects to all endpoints that were added, and disconnects from all that were removed.
    pub(super) fn reconcile_all_connections(&mut self, out: &mut Vec<Output>) {
        let mut all: BTreeSet<ServerId> = self.connections.keys().copied().collect();
        all.extend(self.endpoints.present());
        self.reconcile_connections(all, out);
    }

    /// Connects to those of the given engines that were added, and disconnects from those that were removed.
    /// A delta needs no more: few entries of a long list change at once.
    fn reconcile_connections(&mut self, engines: BTreeSet<ServerId>, out: &mut Vec<Output>) {
        self.fail_waiting_attempts();
        for engine in engines {
            if self.endpoints.is_present(engine) {
                let new_connection = match self.config.links {
                    Links::Connections => EngineConnection::default,
                    Links::Exchanges => EngineConnection::connectionless,
                };
                self.connections.entry(engine).or_insert_with(new_connection);
            }
            self.reconcile_connection(engine, out);
        }
        if self.config.links == Links::Exchanges {
            // New engines keep being added under new names: removed ones must not accumulate.
            let engines = &self.connections;
            self.endpoints.forget_removed(|engine| engines.contains_key(&engine));
        }
    }

    /// Fails attempts that wait for a connection to an engine that is not ready any more: they must not be
    /// sent after a drain.
    fn fail_waiting_attempts(&mut self) {
        let endpoints = &self.endpoints;
        let waiting_attempt = |tracked: &TrackedRequest| {
            tracked
                .attempt
                .filter(|attempt| attempt.awaits_connection() && !endpoints.is_ready(attempt.server))
        };
        let waiting: Vec<(RequestId, Attempt)> =
            self.requests.iter().filter_map(|(id, tracked)| Some((*id, waiting_attempt(tracked)?))).collect();
        for (id, attempt) in waiting {
            self.finish_attempt(id, attempt, AttemptResult::of(AttemptStatus::ConnectFailed));
        }
    }

    fn reconcile_connection(&mut self, engine: ServerId, out: &mut Vec<Output>) {
        let Some(connection) = self.connections.get(&engine) else { return };
        if self.endpoints.is_present(engine) {
            if connection.is_new() {
                self.connect(engine, out);
            }
        } else {
            self.disconnect_if_idle(engine, out);
        }
    }

    /// Queues an engine that is no longer listed for a check whether it can be disconnected. Called when
    /// something has ended there, which may have been the last.
    pub(super) fn queue_disconnect_check(&mut self, engine: ServerId) {
        if !self.endpoints.is_present(engine) && !self.disconnect_candidates.contains(&engine) {
            self.disconnect_candidates.push(engine);
        }
    }

    /// Closes the connection to an engine that is no longer listed, unless something is in flight or held
    /// there: a KV cache that is still to be fetched would be lost with the connection.
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
