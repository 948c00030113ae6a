//! The hosted instances: each gets its events in order, and they share nothing but the endpoint tables.

use crate::endpoint::{parse_table, parse_update, UnresolvedEndpoint};
use crate::error::BatchError;
use crate::field::{object, required, seed};
use crate::{action, event};
use gaparch_platform_settings::{whole_number, PlatformSettings};
use gaparch_scheduler::api::{Action, EndpointUpdate, Event, Nanos};
use gaparch_scheduler::policy::Policy;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A line of the wire: events that come at one time.
#[derive(Debug, Deserialize)]
pub struct Batch {
    /// The time.
    #[serde(rename = "clockNs")]
    pub clock: Nanos,
    /// The events, in their order.
    pub events: Vec<Value>,
}

/// The instances by number, and the endpoint tables that updates name.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    tables: BTreeMap<u64, Vec<UnresolvedEndpoint>>,
}

/// A simulated router.
struct Instance {
    settings: PlatformSettings,
    policy: Policy,
}

impl Host {
    /// Answers a batch with the actions that its events lead to.
    ///
    /// # Errors
    /// When the line is no batch, or an event can't be read or is for an instance that is not there.
    pub fn answer(&mut self, line: &[u8]) -> Result<String, BatchError> {
        let batch: Batch = serde_json::from_slice(line).map_err(BatchError::InvalidBatch)?;
        let mut actions = Vec::new();
        for event in &batch.events {
            self.handle(batch.clock, event, &mut actions)?;
        }
        serde_json::to_string(&json!({ "do": actions })).map_err(BatchError::InvalidReply)
    }

    fn handle(&mut self, now: Nanos, event: &Value, actions: &mut Vec<Value>) -> Result<(), BatchError> {
        match required(event, "t", Value::as_str)? {
            "pool" => {
                self.tables.insert(required(event, "table", whole_number)?, parse_table(event)?);
            }
            "init" => {
                let who = required(event, "who", whole_number)?;
                self.instances.insert(who, start(event)?);
            }
            "teardown" => {
                let who = required(event, "who", whole_number)?;
                self.instances.remove(&who).ok_or_else(|| unknown_instance("teardown", who))?;
            }
            kind => {
                let who = required(event, "who", whole_number)?;
                let instance = self.instances.get_mut(&who).ok_or_else(|| unknown_instance(kind, who))?;
                let new = instance.handle(now, kind, event, &self.tables)?;
                actions.extend(new.iter().map(|new| action::to_json(new, who)));
            }
        }
        Ok(())
    }
}

impl Instance {
    fn handle(
        &mut self,
        now: Nanos,
        kind: &str,
        event: &Value,
        tables: &BTreeMap<u64, Vec<UnresolvedEndpoint>>,
    ) -> Result<Vec<Action>, BatchError> {
        let parsed = match kind {
            "rosterChange" => Some(endpoints_changed(event, &self.settings, tables)?),
            _ => event::parse(event, &self.settings)?,
        };
        Ok(parsed.map_or_else(Vec::new, |event| self.policy.handle(now, event)))
    }
}

fn start(event: &Value) -> Result<Instance, BatchError> {
    let env = required(event, "env", object)?;
    let settings = PlatformSettings::read(env, required(event, "entropy", seed)?);
    let policy = Policy::new(settings.scheduler.clone());
    Ok(Instance { settings, policy })
}

fn unknown_instance(event: &str, instance: u64) -> BatchError {
    BatchError::UnknownInstance { event: event.to_owned(), instance }
}

fn endpoints_changed(
    event: &Value,
    settings: &PlatformSettings,
    tables: &BTreeMap<u64, Vec<UnresolvedEndpoint>>,
) -> Result<Event, BatchError> {
    let update = parse_update(event)?;
    if update == EndpointUpdate::Failed {
        return Ok(Event::EndpointsChanged { update, endpoints: Arc::from([]) });
    }
    let table = required(event, "table", whole_number)?;
    let endpoints = tables.get(&table).ok_or(BatchError::UnknownTable { table })?;
    let resolved = endpoints.iter().map(|endpoint| endpoint.resolve(settings));
    Ok(Event::EndpointsChanged { update, endpoints: resolved.collect() })
}
