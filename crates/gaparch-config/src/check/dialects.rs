//! Listeners, and the dialects of the client protocol that they use.

use super::Check;
use crate::config::Listener;
use crate::document::Problem;
use crate::raw;
use gaparch_protocol::client::{
    Dialect, DialectDefinition, EventField, EventKind, EventShape, FieldSource, FieldValue, JsonPath, Label,
    RequestField,
};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Check<'_> {
    pub(super) fn listeners(
        &mut self,
        all: &[raw::Listen],
        dialects: &BTreeMap<String, Arc<Dialect>>,
    ) -> Vec<Listener> {
        let has_fixed_port = |l: &raw::Listen| !l.address.ends_with(":0");
        self.unique(
            "listen",
            "address",
            all.iter().filter(|l| has_fixed_port(l)).map(|l| l.address.as_str()),
        );
        let mut listeners = Vec::new();
        for (n, listen) in all.iter().enumerate() {
            let address = self.address("listen", n, &listen.address);
            let Some(dialect) = dialects.get(&listen.dialect) else {
                self.report("listen", n, "dialect", format!("unknown dialect '{}'", listen.dialect));
                continue;
            };
            listeners.extend(address.map(|address| Listener { address, dialect: Arc::clone(dialect) }));
        }
        listeners
    }

    pub(super) fn dialects(&mut self, raw: Option<&raw::Dialects>) -> BTreeMap<String, Arc<Dialect>> {
        let builtin = |name: &str| Dialect::builtin(name).map(|d| (name.to_owned(), Arc::new(d)));
        let mut all: BTreeMap<String, Arc<Dialect>> =
            ["own", "messages"].into_iter().filter_map(builtin).collect();
        let raw: &[raw::Dialect] = raw.map_or(&[], |d| &d.dialect);
        let events_before = |n: usize| raw[..n].iter().map(|d| d.event.len()).sum::<usize>();
        for (n, dialect) in raw.iter().enumerate() {
            if all.contains_key(&dialect.id) {
                self.report("dialect", n, "id", format!("dialect '{}' is already defined", dialect.id));
                continue;
            }
            let base = match dialect.based_on.as_str() {
                "own" => DialectDefinition::own(),
                "messages" => DialectDefinition::messages(),
                other => {
                    self.report("dialect", n, "based-on", format!("must be own or messages, not '{other}'"));
                    continue;
                }
            };
            let definition = self.dialect(dialect, base, events_before(n));
            match Dialect::new(definition) {
                Ok(built) => drop(all.insert(dialect.id.clone(), Arc::new(built))),
                Err(errors) => {
                    let node = self.nth("dialect", n);
                    self.problems.extend(errors.iter().map(|e| Problem::at(node, e.to_string())));
                }
            }
        }
        all
    }

    pub(super) fn dialect(
        &mut self,
        raw: &raw::Dialect,
        base: DialectDefinition,
        events_before: usize,
    ) -> DialectDefinition {
        let mut definition = DialectDefinition { name: raw.id.clone(), ..base };
        for (n, event) in raw.event.iter().enumerate() {
            let Some(kind) = EventKind::from_name(&event.kind) else { continue };
            let mut fields = Vec::new();
            for field in &event.field {
                let source = match (&field.value, &field.text) {
                    (Some(value), None) => FieldValue::from_name(value).map(FieldSource::Value),
                    (None, Some(text)) => Some(FieldSource::Fixed(serde_json::Value::String(text.clone()))),
                    _ => None,
                };
                match (JsonPath::parse(&field.path), source) {
                    (Some(path), Some(source)) => fields.push(EventField { path, source }),
                    _ => {
                        let message =
                            format!("field '{}' needs a valid path and either a value or a text", field.path);
                        self.report("event", events_before + n, "kind", message);
                    }
                }
            }
            definition.events.insert(kind, EventShape { name: event.name.clone(), fields });
        }
        for word in &raw.word {
            definition.labels.extend(Label::from_name(&word.of).map(|w| (w, word.spelt.clone())));
        }
        for request in &raw.request {
            let field = RequestField::from_name(&request.field).zip(JsonPath::parse(&request.path));
            definition.request.extend(field);
        }
        definition
    }
}
