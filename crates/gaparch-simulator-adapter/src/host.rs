//! Keeps the instances apart and hands each its events in order.

use crate::wire::{self, need, Batch, Parsed, RawEntry};
use gaparch_platform_settings::{whole_number, PlatformSettings};
use gaparch_scheduler::api::{EndpointUpdate, Event};
use gaparch_scheduler::policy::Policy;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    tables: BTreeMap<u64, Vec<RawEntry>>,
}

struct Instance {
    site: PlatformSettings,
    policy: Policy,
}

impl Host {
    /// Answers one batch, a line of the wire, with one reply.
    pub fn batch(&mut self, line: &[u8], reply: &mut String) -> Parsed<()> {
        let batch: Batch = serde_json::from_slice(line).map_err(|e| format!("not a batch: {e}"))?;
        let mut actions = Vec::new();
        for event in &batch.events {
            self.event(batch.clock, event, &mut actions)?;
        }
        let text = serde_json::to_string(&serde_json::json!({ "do": actions })).map_err(|e| e.to_string())?;
        reply.push_str(&text);
        Ok(())
    }

    fn event(&mut self, now: u64, event: &Value, actions: &mut Vec<Value>) -> Parsed<()> {
        let kind = need(event, "t", Value::as_str)?;
        if kind == "pool" {
            self.tables.insert(need(event, "table", whole_number)?, wire::pool(event)?);
            return Ok(());
        }
        let who = need(event, "who", whole_number)?;
        if kind == "init" {
            let site = PlatformSettings::read(need(event, "env", object)?, need(event, "entropy", seed)?);
            let policy = Policy::new(site.scheduler.clone());
            self.instances.insert(who, Instance { site, policy });
            return Ok(());
        }
        let unknown = || format!("{kind}: instance {who} was never started");
        if kind == "teardown" {
            return self.instances.remove(&who).map(drop).ok_or_else(unknown);
        }
        let Instance { site, policy } = self.instances.get_mut(&who).ok_or_else(unknown)?;
        let event = match kind {
            "rosterChange" => Some(members(event, site, &self.tables)?),
            _ => wire::event(event, site)?,
        };
        if let Some(event) = event {
            actions.extend(policy.handle(now, event).iter().map(|a| wire::action(a, who)));
        }
        Ok(())
    }
}

fn members(event: &Value, site: &PlatformSettings, tables: &BTreeMap<u64, Vec<RawEntry>>) -> Parsed<Event> {
    let kind = wire::list_kind(event)?;
    if kind == EndpointUpdate::Failed {
        return Ok(Event::EndpointsChanged { update: kind, endpoints: Arc::from([]) });
    }
    let table = need(event, "table", whole_number)?;
    let entries = tables.get(&table).ok_or_else(|| format!("rosterChange: list {table} was never given"))?;
    Ok(Event::EndpointsChanged {
        update: kind,
        endpoints: entries.iter().map(|e| wire::entry(e, site)).collect(),
    })
}

fn object(value: &Value) -> Option<&Value> {
    value.as_object().map(|_| value)
}

fn seed(value: &Value) -> Option<u64> {
    whole_number(value).or_else(|| value.as_i64().map(|n| n as u64))
}
