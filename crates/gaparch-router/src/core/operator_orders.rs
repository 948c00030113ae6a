//! Orders of operators, and the limits that they may change.

use super::{Core, Output};
use gaparch_ops::limits::{limited_tenant, tenant_limit, OPEN_REQUESTS};
use gaparch_ops::{EngineStatus, OrderDenied, SiteStatus};
use gaparch_protocol::ops::intent::{AcceptedChange, Change, ChangeNote, LimitView};
use gaparch_protocol::ops::view::{AvoidReason, EngineState, EngineView};
use gaparch_protocol::ops::Order;
use gaparch_scheduler::api::{EndpointUpdate, Event, Nanos, Tenant, TenantId};

/// Requests a second that a tenant's quota may be set to at most.
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
    /// Whether an order may be carried out as all stands; nothing is changed by asking.
    ///
    /// # Errors
    /// When it may not; the message says why.
    pub fn propose(&self, now: Nanos, order: &Order, who: &str) -> Result<Proposal, OrderDenied> {
        let proposed = self.orders.propose(order, who, now, &self.site_state())?;
        Ok(Proposal { accepted: proposed.change, effect: proposed.effect })
    }

    /// The number of the last change by an operator.
    pub fn orders_revision(&self) -> u64 {
        self.orders.revision()
    }

    /// An order that another router has handed on, as it is taken here; `None` where it is what holds already.
    ///
    /// # Errors
    /// When it makes no sense here; the message says why.
    pub fn adopt_fleet_order(
        &self,
        change: &Change,
        note: &ChangeNote,
    ) -> Result<Option<AcceptedChange>, OrderDenied> {
        self.orders.adopt(change, note, &self.limits())
    }

    fn site_state(&self) -> SiteStatus {
        let standing = |view: EngineView| EngineStatus {
            accepts_requests: view.state == EngineState::Ready
                && view.avoid_reason != Some(AvoidReason::Unreachable),
            name: view.name,
            role: view.role,
            awaiting_first_token: view.awaiting_first_token,
            streaming: view.streaming,
        };
        let metrics = self.metrics();
        SiteStatus {
            engines: self.engine_views().into_iter().map(standing).collect(),
            queued: metrics.queued,
            prefilling: metrics.prefilling,
            decode_workers_can_prefill: self.config.module.decode_workers_can_prefill,
            limits: self.limits(),
        }
    }

    /// Limits that operators may change, as they are now.
    pub fn limits(&self) -> Vec<LimitView> {
        let most = self.config.limits.open_requests as f64;
        let limit = |name: String, by_settings: f64, least, most, unit: &str| LimitView {
            value: self.orders.limit(&name).unwrap_or(by_settings),
            name,
            configured_value: by_settings,
            min: least,
            max: most,
            unit: unit.to_owned(),
        };
        let tenants = self.config.names.tenants.iter().zip(&self.config.module.tenants);
        let of_tenant = |(name, tenant): (&String, &Tenant)| {
            let unit = "requests a second, 0: not bounded";
            limit(tenant_limit(name), tenant.quota_per_second, 0.0, MAX_QUOTA_PER_SECOND, unit)
        };
        let open = limit(OPEN_REQUESTS.to_owned(), most, 1.0, most, "requests");
        std::iter::once(open).chain(tenants.map(of_tenant)).collect()
    }

    /// Tells the scheduler of all quotas that operators have set.
    pub(super) fn set_quotas(&mut self) {
        for (index, name) in self.config.names.tenants.iter().enumerate() {
            if let Some(quota_per_second) = self.orders.limit(&tenant_limit(name)) {
                self.scheduler_events
                    .push_back(Event::QuotaChanged { tenant: TenantId(index), quota_per_second });
            }
        }
    }

    /// Puts a change by an operator in force.
    pub(super) fn on_operator_change(&mut self, taken: AcceptedChange, out: &mut Vec<Output>) {
        let change = taken.change.clone();
        self.orders.apply(taken);
        match change {
            Change::Drain { engine, .. } | Change::Undrain { engine } => {
                if let Some(entry) = self.endpoints.apply_operator_hold(&engine, &self.orders) {
                    let entries = vec![entry].into();
                    self.scheduler_events.push_back(Event::EndpointsChanged {
                        update: EndpointUpdate::Delta,
                        endpoints: entries,
                    });
                    self.follow_all_endpoints(out);
                }
            }
            Change::SetLimit { name, value } => {
                let tenant = limited_tenant(&name);
                let tenant = tenant
                    .and_then(|tenant| self.config.names.tenants.iter().position(|name| name == tenant));
                if let Some(tenant) = tenant.map(TenantId) {
                    let by_settings = self
                        .config
                        .module
                        .tenants
                        .get(tenant.0)
                        .map_or(0.0, |tenant| tenant.quota_per_second);
                    let quota_per_second = value.unwrap_or(by_settings);
                    self.scheduler_events.push_back(Event::QuotaChanged { tenant, quota_per_second });
                }
            }
            // A pause is looked up where requests arrive; a stop is the shell's.
            Change::Pause {} | Change::Resume {} | Change::Stop {} => {}
        }
    }
}
