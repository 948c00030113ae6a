//! Orders of operators, and the limits that they may change.

use super::{Core, Output};
use gaparch_ops::limits::{limited_tenant, tenant_limit, OPEN_REQUESTS};
use gaparch_ops::{EngineStatus, OrderDenied, SiteStatus};
use gaparch_protocol::ops::intent::{AcceptedChange, Change, ChangeNote, LimitView};
use gaparch_protocol::ops::view::{AvoidReason, EngineState, EngineView};
use gaparch_protocol::ops::Order;
use gaparch_scheduler::api::{EndpointUpdate, Event, Nanos, Tenant, TenantId};

/// The highest quota that an operator may set for a tenant, in requests per second.
const MAX_QUOTA_PER_SECOND: f64 = 1e6;

/// An order that may be carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The change, as it is stored.
    pub accepted: AcceptedChange,
    /// What it does to the requests in flight, in words.
    pub effect: String,
}

impl Core {
    /// Checks whether an order may be carried out in the present state; changes nothing.
    ///
    /// # Errors
    /// If it may not be carried out; the message says why.
    pub fn propose(&self, now: Nanos, order: &Order, operator: &str) -> Result<Proposal, OrderDenied> {
        let proposed = self.orders.propose(order, operator, now, &self.site_state())?;
        Ok(Proposal { accepted: proposed.change, effect: proposed.effect })
    }

    /// The revision of the last change by an operator.
    pub fn orders_revision(&self) -> u64 {
        self.orders.revision()
    }

    /// The change that an order passed on by another router makes here; `None` if it is in force already.
    ///
    /// # Errors
    /// If it sets a limit that this router does not have, or sets it out of bounds; the message says so.
    pub fn adopt_fleet_order(
        &self,
        change: &Change,
        note: &ChangeNote,
    ) -> Result<Option<AcceptedChange>, OrderDenied> {
        self.orders.adopt(change, note, &self.limits())
    }

    fn site_state(&self) -> SiteStatus {
        let engine_status = |view: EngineView| EngineStatus {
            accepts_requests: view.state == EngineState::Ready
                && view.avoid_reason != Some(AvoidReason::Unreachable),
            name: view.name,
            role: view.role,
            awaiting_first_token: view.awaiting_first_token,
            streaming: view.streaming,
        };
        let metrics = self.metrics();
        SiteStatus {
            engines: self.engine_views().into_iter().map(engine_status).collect(),
            queued: metrics.queued,
            prefilling: metrics.prefilling,
            decode_workers_can_prefill: self.config.scheduler.decode_workers_can_prefill,
            limits: self.limits(),
        }
    }

    /// Limits that operators may change, with their present values.
    pub fn limits(&self) -> Vec<LimitView> {
        let configured_open = self.config.limits.open_requests as f64;
        let limit = |name: String, configured_value: f64, min, max, unit: &str| LimitView {
            value: self.orders.limit(&name).unwrap_or(configured_value),
            name,
            configured_value,
            min,
            max,
            unit: unit.to_owned(),
        };
        let tenants = self.config.names.tenants.iter().zip(&self.config.scheduler.tenants);
        let quota_limit = |(name, tenant): (&String, &Tenant)| {
            let unit = "requests a second, 0: not bounded";
            limit(tenant_limit(name), tenant.quota_per_second, 0.0, MAX_QUOTA_PER_SECOND, unit)
        };
        let open_limit = limit(OPEN_REQUESTS.to_owned(), configured_open, 1.0, configured_open, "requests");
        std::iter::once(open_limit).chain(tenants.map(quota_limit)).collect()
    }

    /// Passes all quotas that operators have set to the scheduler.
    pub(super) fn set_quotas(&mut self) {
        for (index, name) in self.config.names.tenants.iter().enumerate() {
            if let Some(quota_per_second) = self.orders.limit(&tenant_limit(name)) {
                self.scheduler_events
                    .push_back(Event::QuotaChanged { tenant: TenantId(index), quota_per_second });
            }
        }
    }

    /// Puts a change by an operator in force.
    pub(super) fn on_operator_change(&mut self, accepted: AcceptedChange, out: &mut Vec<Output>) {
        let change = accepted.change.clone();
        self.orders.apply(accepted);
        match change {
            Change::Drain { engine, .. } | Change::Undrain { engine } => {
                if let Some(entry) = self.endpoints.apply_operator_drain(&engine, &self.orders) {
                    let entries = vec![entry].into();
                    self.scheduler_events.push_back(Event::EndpointsChanged {
                        update: EndpointUpdate::Delta,
                        endpoints: entries,
                    });
                    self.reconcile_all_connections(out);
                }
            }
            Change::SetLimit { name, value } => {
                let tenant = limited_tenant(&name);
                let tenant = tenant
                    .and_then(|tenant| self.config.names.tenants.iter().position(|name| name == tenant));
                if let Some(tenant) = tenant.map(TenantId) {
                    let configured_quota = self
                        .config
                        .scheduler
                        .tenants
                        .get(tenant.0)
                        .map_or(0.0, |tenant| tenant.quota_per_second);
                    let quota_per_second = value.unwrap_or(configured_quota);
                    self.scheduler_events.push_back(Event::QuotaChanged { tenant, quota_per_second });
                }
            }
            // A pause is checked when a request arrives; the shell carries out a stop.
            Change::Pause {} | Change::Resume {} | Change::Stop {} => {}
        }
    }
}
