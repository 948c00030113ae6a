//! What operators order and look at, as far as the core has to do with it.

use super::request::{Stage, TrackedRequest};
use super::{Core, Output, ResponseEvent};
use gaparch_config::Span;
use gaparch_ops::book::{Denied, EngineStanding, Standing};
use gaparch_ops::limits::{limited_tenant, tenant_limit, OPEN_REQUESTS};
use gaparch_protocol::ops::ending::{
    self, Cause, EndKind, Ending, Evidence, RequestName, Step, MAX_EVIDENCE,
};
use gaparch_protocol::ops::intent::{Change, LimitView, Note, Taken};
use gaparch_protocol::ops::view::{
    Avoid, EngineRole, EngineState, EngineView, Figures, LiveView, PartRest, Phase, Setting,
};
use gaparch_protocol::ops::Order;
use gaparch_scheduler::api::{
    EndpointUpdate, Event, Idempotency, Nanos, RequestId, Role, ServerId, ServerState, TenantId,
};
use gaparch_scheduler::view::{AvoidReason, ServerView};
use std::collections::BTreeMap;

/// Evidence younger than this is used again: requests given up together saw the same.
const EVIDENCE_FOR: Nanos = 50_000_000;
/// Requests a second that a tenant's share may be set to.
const MOST_PER_S: f64 = 1e6;

pub(super) fn listed_state(state: ServerState) -> EngineState {
    match state {
        ServerState::Ready => EngineState::Ready,
        ServerState::Draining => EngineState::Draining,
        ServerState::Removed => EngineState::Gone,
    }
}

pub(super) fn server_state(state: EngineState) -> ServerState {
    match state {
        EngineState::Ready => ServerState::Ready,
        EngineState::Draining => ServerState::Draining,
        EngineState::Gone => ServerState::Removed,
    }
}

fn role(role: Role) -> EngineRole {
    match role {
        Role::Prefill => EngineRole::Read,
        Role::Decode => EngineRole::Write,
        Role::Mixed => EngineRole::Both,
    }
}

fn avoid(avoided: AvoidReason) -> Avoid {
    match avoided {
        AvoidReason::NotReady => Avoid::NotReady,
        AvoidReason::Unreachable => Avoid::Unreachable,
        AvoidReason::Ejected { .. } => Avoid::Resting,
        AvoidReason::Outlier => Avoid::Slow,
        AvoidReason::WarmingUp => Avoid::Cold,
        AvoidReason::Saturated => Avoid::Full,
    }
}

/// The time that a refused client was told to stay away, in milliseconds, if it was told one.
pub(crate) fn retry_after_millis(retry_after: Nanos) -> Option<u64> {
    (retry_after > 0).then_some(retry_after / 1_000_000)
}

fn micros(nanos: Nanos) -> u64 {
    nanos / 1000
}

/// An order that may be carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    pub taken: Taken,
    /// What it does to the requests at hand, in words.
    pub effect: String,
}

impl Core {
    /// Whether an order may be carried out as all stands; nothing is changed by asking.
    ///
    /// # Errors
    /// When it may not; the message says why.
    pub fn propose(&self, now: Nanos, order: &Order, who: &str) -> Result<Proposal, Denied> {
        let (taken, effect) = self.orders.propose(order, who, now, &self.site_state())?;
        Ok(Proposal { taken, effect })
    }

    /// The number of the last change by an operator.
    pub fn orders_revision(&self) -> u64 {
        self.orders.revision()
    }

    /// The name of an engine that was ever listed.
    pub fn engine_name(&self, engine: ServerId) -> &str {
        self.endpoints.name(engine)
    }

    /// An order that another router has handed on, as it is taken here; `None` where it is what holds already.
    ///
    /// # Errors
    /// When it makes no sense here; the message says why.
    pub fn adopt_fleet_order(&self, change: &Change, note: &Note) -> Result<Option<Taken>, Denied> {
        self.orders.adopt(change, note, &self.limits())
    }

    fn site_state(&self) -> Standing {
        let standing = |view: EngineView| EngineStanding {
            takes_new: view.state == EngineState::Ready && view.avoided != Some(Avoid::Unreachable),
            name: view.name,
            role: view.role,
            waiting: view.waiting,
            streaming: view.streaming,
        };
        let figures = self.figures();
        Standing {
            engines: self.engine_views().into_iter().map(standing).collect(),
            held: figures.held,
            reading: figures.reading,
            self_prefill: self.config.module.decode_workers_can_prefill,
            limits: self.limits(),
        }
    }

    /// Limits that operators may change, as they are now.
    pub fn limits(&self) -> Vec<LimitView> {
        let most = self.config.limits.open_requests as f64;
        let limit = |name: String, by_settings: f64, least, most, unit: &str| LimitView {
            value: self.orders.limit(&name).unwrap_or(by_settings),
            name,
            by_settings,
            least,
            most,
            unit: unit.to_owned(),
        };
        let tenants = self.config.names.tenants.iter().zip(&self.config.module.tenants);
        let of_tenant = |(name, tenant): (&String, &gaparch_scheduler::api::Tenant)| {
            let unit = "requests a second, 0: not bounded";
            limit(tenant_limit(name), tenant.quota_per_second, 0.0, MOST_PER_S, unit)
        };
        let open = limit(OPEN_REQUESTS.to_owned(), most, 1.0, most, "requests");
        std::iter::once(open).chain(tenants.map(of_tenant)).collect()
    }

    /// Tells the module of all quotas that operators have set.
    pub(super) fn set_quotas(&mut self) {
        for (n, name) in self.config.names.tenants.iter().enumerate() {
            if let Some(per_s) = self.orders.limit(&tenant_limit(name)) {
                self.scheduler_events
                    .push_back(Event::QuotaChanged { tenant: TenantId(n), quota_per_second: per_s });
            }
        }
    }

    pub(super) fn on_operator_change(&mut self, taken: Taken, out: &mut Vec<Output>) {
        let change = taken.change.clone();
        self.orders.apply(taken);
        match change {
            Change::Hold { engine, .. } | Change::Free { engine } => {
                if let Some(entry) = self.endpoints.apply_operator_hold(&engine, &self.orders) {
                    let entries = vec![entry].into();
                    self.scheduler_events.push_back(Event::EndpointsChanged {
                        update: EndpointUpdate::Delta,
                        endpoints: entries,
                    });
                    self.follow_all_endpoints(out);
                }
            }
            Change::Limit { name, value } => {
                let tenant = limited_tenant(&name);
                let tenant = tenant.and_then(|t| self.config.names.tenants.iter().position(|n| n == t));
                if let Some(tenant) = tenant.map(TenantId) {
                    let by_settings =
                        self.config.module.tenants.get(tenant.0).map_or(0.0, |t| t.quota_per_second);
                    let per_s = value.unwrap_or(by_settings);
                    self.scheduler_events.push_back(Event::QuotaChanged { tenant, quota_per_second: per_s });
                }
            }
            // Looked at where requests come in; the shell stops.
            Change::Pause {} | Change::Resume {} | Change::Stop {} => {}
        }
    }

    // --- What is shown --------------------------------------------------------------------------------

    /// All engines that were ever listed, in the order of their names.
    pub fn engine_views(&self) -> Vec<EngineView> {
        let mut streaming: BTreeMap<ServerId, u32> = BTreeMap::new();
        let begun = self.requests.values().filter_map(|l| l.attempt).filter(|a| a.begun);
        begun.for_each(|a| *streaming.entry(a.server).or_default() += 1);
        let seen: BTreeMap<ServerId, ServerView> = self.policy.views().map(|v| (v.server, v)).collect();
        let view = |(id, known): (&ServerId, &super::endpoint_table::KnownEndpoint)| {
            let seen = seen.get(id)?;
            let link = self.connections.get(id);
            let tally = link.map(|l| l.attempt_counters).unwrap_or_default();
            let part = |rest: &gaparch_scheduler::view::PartialEjection| PartRest {
                class: self.config.names.classes.get(rest.class.0).cloned().unwrap_or_default(),
                tenant: self.tenant_name(rest.tenant).to_owned(),
                until: rest.until,
            };
            Some(EngineView {
                name: known.listed.engine.clone(),
                role: role(seen.role),
                zone: known.listed.zone.clone(),
                rack: known.listed.rack.clone(),
                address: known.listed.address.clone(),
                listed: listed_state(known.listed.state),
                state: listed_state(known.endpoint.state),
                connected: link.is_some_and(|l| l.is_connected()),
                avoided: seen.avoid_reason.map(avoid),
                rests: seen.partial_ejections.iter().map(part).collect(),
                waiting: seen.awaiting_first_token,
                streaming: streaming.get(id).copied().unwrap_or(0),
                unread: seen.queued_prompt_tokens,
                memory: seen.memory_utilization,
                memory_said: seen.reported_memory_utilization,
                pace: seen.latency_ratio,
                cold_budget: seen.slow_start_budget,
                started_at: known.endpoint.started_at,
                heard_at: seen.last_response_at,
                attempts: tally.attempts,
                failed: tally.failed,
                called_off: tally.cancelled,
            })
        };
        let mut views: Vec<EngineView> = self.endpoints.iter().filter_map(view).collect();
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    /// The router's own figures; the owner's lag is for the shell to fill in.
    pub fn figures(&self) -> Figures {
        let counts = self.counters;
        let mut figures = Figures {
            at: self.now,
            requests: counts.requests,
            served: counts.served,
            in_time: counts.within_objective,
            refused: counts.rejected,
            failed: counts.failed,
            left: counts.client_disconnected,
            tokens: counts.tokens,
            paused: self.orders.paused(),
            ..Figures::default()
        };
        for live in self.requests.values() {
            match live.phase() {
                super::Phase::Queued => figures.held += 1,
                super::Phase::Prefilling => figures.reading += 1,
                super::Phase::Prefilled => figures.read += 1,
                super::Phase::Decoding => figures.writing += 1,
                super::Phase::Streaming => figures.streaming += 1,
                super::Phase::Ended => {}
            }
        }
        figures
    }

    /// The oldest open requests, at most so many.
    pub fn open_request_views(&self, most: usize) -> Vec<LiveView> {
        let open = self.requests.iter().filter(|(_, l)| !l.answered);
        open.take(most).map(|(id, live)| self.request_view(*id, live)).collect()
    }

    /// One that is open.
    pub fn open_request_view(&self, id: RequestId) -> Option<LiveView> {
        self.requests.get(&id).filter(|l| !l.answered).map(|live| self.request_view(id, live))
    }

    fn request_view(&self, id: RequestId, live: &TrackedRequest) -> LiveView {
        let phase = match live.phase() {
            super::Phase::Queued => Phase::Held,
            super::Phase::Prefilling => Phase::Reading,
            super::Phase::Prefilled => Phase::Read,
            super::Phase::Decoding => Phase::Writing,
            super::Phase::Streaming => Phase::Streaming,
            super::Phase::Ended => Phase::Ended,
        };
        let at = live.attempt.map(|a| a.server).or(live.kv_cache_at);
        LiveView {
            request: RequestName { run: self.run.0, number: id.0 },
            asked_at: live.arrived_at,
            class: self.class_name(live).to_owned(),
            tenant: self.tenant_name(live.request.tenant).to_owned(),
            phase,
            kind: None,
            engine: at.map(|server| self.endpoints.name(server)).unwrap_or_default().to_owned(),
            tokens: live.usage.output,
            took_us: micros(self.now.saturating_sub(live.arrived_at)),
            steps: self.attempt_views(live),
        }
    }

    fn class_name(&self, live: &TrackedRequest) -> &str {
        self.config.names.classes.get(live.request.class.0).map_or("", String::as_str)
    }

    fn tenant_name(&self, tenant: Option<TenantId>) -> &str {
        tenant.and_then(|t| self.config.names.tenants.get(t.0)).map_or("", String::as_str)
    }

    fn attempt_views(&self, live: &TrackedRequest) -> Vec<Step> {
        let step = |note: &super::request::AttemptRecord| Step {
            engine: self.endpoints.name(note.server).to_owned(),
            stage: match note.stage {
                Stage::Prefill => ending::Stage::Read,
                Stage::Decode => ending::Stage::Write,
            },
            from_us: micros(note.started_at.saturating_sub(live.arrived_at)),
            took_us: micros(note.duration),
            end: note.end,
        };
        live.attempt_records.iter().map(step).collect()
    }

    // --- How requests ended ---------------------------------------------------------------------------

    pub(super) fn met_latency_objective(&self, id: RequestId, event: &ResponseEvent) -> bool {
        let Some(live) = self.requests.get(&id) else { return false };
        let aim = live.request.latency_objective(&self.config.module);
        let in_time = |first: Nanos| first.saturating_sub(live.arrived_at) <= aim;
        matches!(event, ResponseEvent::Finished { .. }) && live.first_token_at.is_some_and(in_time)
    }

    /// Hands over how a request ended, where there is somebody to keep it; `None`: its client left.
    pub(super) fn report_ending(
        &mut self,
        id: RequestId,
        event: Option<&ResponseEvent>,
        out: &mut Vec<Output>,
    ) {
        if self.config.operations.is_none() {
            return;
        }
        let (kind, cause, waited_for, retry_after) = match event {
            None => (EndKind::Left, Cause::ClientLeft, None, None),
            Some(ResponseEvent::Rejected { retry_after, cause, waited_for }) => {
                (EndKind::Refused, *cause, *waited_for, Some(*retry_after))
            }
            Some(ResponseEvent::Failed { cause, .. }) => (EndKind::Failed, *cause, None, None),
            Some(_) => (EndKind::Served, Cause::Answered, None, None),
        };
        let lost = matches!(kind, EndKind::Refused | EndKind::Failed);
        let evidence = if lost { self.engine_evidence() } else { Vec::new() };
        let Some(live) = self.requests.get(&id) else { return };
        let request = RequestName { run: self.run.0, number: id.0 };
        let ending = Ending {
            class: self.class_name(live).to_owned(),
            tenant: self.tenant_name(live.request.tenant).to_owned(),
            waited_for,
            retry_after_ms: retry_after.and_then(retry_after_millis),
            first_after_us: live.first_token_at.map(|at| micros(at.saturating_sub(live.arrived_at))),
            tokens: live.usage.output,
            steps: self.attempt_views(live),
            evidence,
            fingerprint: live.request.fingerprint,
            ..Ending::bare(request, live.arrived_at, self.now, kind, cause)
        };
        out.push(Output::RequestEnded(Box::new(ending)));
    }

    /// How the engines look now, those avoided first.
    fn engine_evidence(&mut self) -> Vec<Evidence> {
        if let Some((at, evidence)) = &self.evidence {
            if self.now < at.saturating_add(EVIDENCE_FOR) {
                return evidence.clone();
            }
        }
        let mut views: Vec<ServerView> = self.policy.views().collect();
        views.sort_by_key(|v| v.avoid_reason.is_none());
        let one = |view: &ServerView| Evidence {
            engine: self.endpoints.name(view.server).to_owned(),
            avoided: view.avoid_reason.map(|a| avoid(a).word().to_owned()).unwrap_or_default(),
            memory: view.memory_utilization,
            unread: view.queued_prompt_tokens,
            pace: view.latency_ratio,
        };
        let evidence: Vec<Evidence> = views.iter().take(MAX_EVIDENCE).map(one).collect();
        self.evidence = Some((self.now, evidence.clone()));
        evidence
    }

    /// The settings in force, for people.
    pub fn settings_listing(&self) -> Vec<Setting> {
        let module = &self.config.module;
        let mut all = vec![
            ("router", format!("{}, {} of {}", self.config.router, module.router_index, module.router_count)),
            ("drain grace", Span(module.drain_grace).to_string()),
            ("release within", Span(module.kv_release_within).to_string()),
            (
                "cold",
                format!(
                    "{} from {} of full speed",
                    Span(module.slow_start_duration),
                    module.slow_start_speed
                ),
            ),
            ("attempts at most", module.max_attempts.to_string()),
            ("calls off attempts", module.can_cancel.to_string()),
            ("probes", module.can_probe.to_string()),
            ("retry-after at most", Span(module.max_retry_after).to_string()),
        ]
        .into_iter()
        .map(|(name, value)| Setting { name: name.to_owned(), value })
        .collect::<Vec<_>>();
        for (name, class) in self.config.names.classes.iter().zip(&module.classes) {
            let value = format!(
                "{}, aim {}, deadline {}, worth {}",
                idempotency_setting(class.idempotency),
                Span(class.latency_objective),
                Span(class.deadline),
                class.priority_weight
            );
            all.push(Setting { name: format!("class {name}"), value: value.to_lowercase() });
        }
        all
    }
}

/// The word of the settings file for a class's idempotency, as operators' tools have always printed it.
fn idempotency_setting(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "safe",
        Idempotency::WithKey => "keyed",
        Idempotency::NotIdempotent => "unsafe",
    }
}
