//! The router as operators see it: engines, requests, metrics and settings.

use super::connection::EngineConnection;
use super::endpoint_table::KnownEndpoint;
use super::request::{AttemptRecord, Phase, TrackedRequest};
use super::wire_names::{
    attempt_stage, avoid_reason, engine_role, engine_state, idempotency_setting, micros, request_phase,
};
use super::Core;
use gaparch_config::Span;
use gaparch_protocol::ops::outcome::{self, GlobalRequestId};
use gaparch_protocol::ops::view::{self, EngineView, RequestView, RouterMetrics, Setting};
use gaparch_scheduler::api::{RequestId, ServerId, TenantId, TrafficClass};
use gaparch_scheduler::view::{PartialEjection, ServerView};
use std::collections::BTreeMap;

impl Core {
    /// The name of an engine; empty if it is not known.
    pub fn engine_name(&self, engine: ServerId) -> &str {
        self.endpoints.name(engine)
    }

    /// All known engines, sorted by name.
    pub fn engine_views(&self) -> Vec<EngineView> {
        let streaming = self.streams_by_engine();
        let server_views: BTreeMap<ServerId, ServerView> =
            self.policy.views().map(|view| (view.server, view)).collect();
        let mut views = Vec::new();
        for (id, known) in self.endpoints.iter() {
            if let Some(server_view) = server_views.get(id) {
                let streaming = streaming.get(id).copied().unwrap_or(0);
                views.push(self.engine_view(*id, known, server_view, streaming));
            }
        }
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    fn streams_by_engine(&self) -> BTreeMap<ServerId, u32> {
        let mut streaming: BTreeMap<ServerId, u32> = BTreeMap::new();
        for attempt in self.requests.values().filter_map(|tracked| tracked.attempt) {
            if attempt.is_streaming() {
                *streaming.entry(attempt.server).or_default() += 1;
            }
        }
        streaming
    }

    fn engine_view(
        &self,
        id: ServerId,
        known: &KnownEndpoint,
        server_view: &ServerView,
        streaming: u32,
    ) -> EngineView {
        let connection = self.connections.get(&id);
        let counters = connection.map(|connection| connection.attempt_counters).unwrap_or_default();
        let partial_ejection = |ejection: &PartialEjection| view::PartialEjection {
            class: self.config.names.classes.get(ejection.class.0).cloned().unwrap_or_default(),
            tenant: self.tenant_name(ejection.tenant).to_owned(),
            until: ejection.until,
        };
        EngineView {
            name: known.listed.engine.clone(),
            role: engine_role(server_view.role),
            zone: known.listed.zone.clone(),
            rack: known.listed.rack.clone(),
            address: known.listed.address.clone(),
            listed_state: engine_state(known.listed.state),
            state: engine_state(known.endpoint.state),
            connected: connection.is_some_and(EngineConnection::is_connected),
            avoid_reason: server_view.avoid_reason.map(avoid_reason),
            partial_ejections: server_view.partial_ejections.iter().map(partial_ejection).collect(),
            awaiting_first_token: server_view.awaiting_first_token,
            streaming,
            queued_prompt_tokens: server_view.queued_prompt_tokens,
            memory_utilization: server_view.memory_utilization,
            reported_memory_utilization: server_view.reported_memory_utilization,
            latency_ratio: server_view.latency_ratio,
            slow_start_budget: server_view.slow_start_budget,
            started_at: known.endpoint.started_at,
            last_response_at: server_view.last_response_at,
            attempts: counters.attempts,
            failed: counters.failed,
            cancelled: counters.cancelled,
        }
    }

    /// The router's metrics. `lag_us` is 0 here: the shell measures it.
    pub fn metrics(&self) -> RouterMetrics {
        let counters = self.counters;
        let mut metrics = RouterMetrics {
            at: self.now,
            requests: counters.requests,
            served: counters.served,
            served_in_time: counters.within_objective,
            rejected: counters.rejected,
            failed: counters.failed,
            client_disconnected: counters.client_disconnected,
            tokens: counters.tokens,
            paused: self.orders.is_paused(),
            ..RouterMetrics::default()
        };
        for tracked in self.requests.values() {
            match tracked.phase() {
                Phase::Queued => metrics.queued += 1,
                Phase::Prefilling => metrics.prefilling += 1,
                Phase::Prefilled => metrics.prefilled += 1,
                Phase::Decoding => metrics.decoding += 1,
                Phase::Streaming => metrics.streaming += 1,
                Phase::Ended => {}
            }
        }
        metrics
    }

    /// The oldest open requests, at most `max` of them.
    pub fn open_request_views(&self, max: usize) -> Vec<RequestView> {
        let open = self.requests.iter().filter(|(_, tracked)| !tracked.answered);
        open.take(max).map(|(id, tracked)| self.request_view(*id, tracked)).collect()
    }

    /// One request, if it is open.
    pub fn open_request_view(&self, id: RequestId) -> Option<RequestView> {
        self.requests
            .get(&id)
            .filter(|tracked| !tracked.answered)
            .map(|tracked| self.request_view(id, tracked))
    }

    fn request_view(&self, id: RequestId, tracked: &TrackedRequest) -> RequestView {
        let phase = request_phase(tracked.phase());
        let engine = tracked.attempt.map(|attempt| attempt.server).or(tracked.kv_cache_at);
        RequestView {
            request: GlobalRequestId { run: self.run.0, number: id.0 },
            received_at: tracked.arrived_at,
            class: self.class_name(tracked).to_owned(),
            tenant: self.tenant_name(tracked.request.tenant).to_owned(),
            phase,
            kind: None,
            engine: engine.map(|server| self.endpoints.name(server)).unwrap_or_default().to_owned(),
            tokens: tracked.usage.output_tokens,
            elapsed_us: micros(self.now.saturating_sub(tracked.arrived_at)),
            attempts: self.attempt_views(tracked),
        }
    }

    /// The name of a request's class in the settings.
    pub(super) fn class_name(&self, tracked: &TrackedRequest) -> &str {
        self.config.names.classes.get(tracked.request.class.0).map_or("", String::as_str)
    }

    /// The name of a tenant in the settings; empty if there is none.
    pub(super) fn tenant_name(&self, tenant: Option<TenantId>) -> &str {
        tenant.and_then(|tenant| self.config.names.tenants.get(tenant.0)).map_or("", String::as_str)
    }

    pub(super) fn attempt_views(&self, tracked: &TrackedRequest) -> Vec<outcome::AttemptRecord> {
        let attempt_view = |record: &AttemptRecord| outcome::AttemptRecord {
            engine: self.endpoints.name(record.server).to_owned(),
            stage: attempt_stage(record.stage),
            sent_after_us: micros(record.started_at.saturating_sub(tracked.arrived_at)),
            took_us: micros(record.duration),
            end: record.end,
        };
        tracked.attempt_records.iter().map(attempt_view).collect()
    }

    /// The settings in force, under the names that operators' tools show.
    pub fn settings_listing(&self) -> Vec<Setting> {
        let scheduler = &self.config.scheduler;
        let router =
            format!("{}, {} of {}", self.config.router, scheduler.router_index, scheduler.router_count);
        let slow_start = format!(
            "{} from {} of full speed",
            Span(scheduler.slow_start_duration),
            scheduler.slow_start_speed
        );
        let mut settings = vec![
            setting("router", router),
            setting("drain grace", Span(scheduler.drain_grace).to_string()),
            setting("release within", Span(scheduler.kv_release_within).to_string()),
            setting("cold", slow_start),
            setting("attempts at most", scheduler.max_attempts.to_string()),
            setting("calls off attempts", scheduler.can_cancel.to_string()),
            setting("probes", scheduler.can_probe.to_string()),
            setting("retry-after at most", Span(scheduler.max_retry_after).to_string()),
        ];
        for (name, class) in self.config.names.classes.iter().zip(&scheduler.classes) {
            settings.push(setting(&format!("class {name}"), class_listing(class)));
        }
        settings
    }
}

fn setting(name: &str, value: String) -> Setting {
    Setting { name: name.to_owned(), value }
}

fn class_listing(class: &TrafficClass) -> String {
    let listing = format!(
        "{}, aim {}, deadline {}, worth {}",
        idempotency_setting(class.idempotency),
        Span(class.latency_objective),
        Span(class.deadline),
        class.priority_weight
    );
    listing.to_lowercase()
}
