//! The scheduler instances. Each receives its events in order; they share only the endpoint tables.

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

/// An input line: events that occur at the same time.
#[derive(Debug, Deserialize)]
pub struct Batch {
    /// The time of the events.
    #[serde(rename = "clockNs")]
    pub clock: Nanos,
    /// The events, in order.
    pub events: Vec<Value>,
}

/// The instances by number, and the endpoint tables by the number that updates refer to.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    tables: BTreeMap<u64, Vec<UnresolvedEndpoint>>,
}

/// The scheduler of one simulated router, with its settings.
struct Instance {
    settings: PlatformSettings,
    policy: Policy,
}

impl Host {
    /// Processes a batch, and returns the reply with the resulting actions.
    ///
    /// # Errors
    /// If the line is not a valid batch, an event cannot be parsed, or its instance is not running.
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
                let number = required(event, "who", whole_number)?;
                self.instances.insert(number, start(event)?);
            }
            "teardown" => {
                let number = required(event, "who", whole_number)?;
                self.instances.remove(&number).ok_or_else(|| unknown_instance("teardown", number))?;
            }
            kind => {
                let number = required(event, "who", whole_number)?;
                let instance =
                    self.instances.get_mut(&number).ok_or_else(|| unknown_instance(kind, number))?;
                let new_actions = instance.handle(now, kind, event, &self.tables)?;
                actions.extend(new_actions.iter().map(|action| action::to_json(action, number)));
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
