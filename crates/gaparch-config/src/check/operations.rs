//! The operations interface.

use super::Check;
use crate::config::{KeySource, Operations, Operator};
use crate::raw;

impl Check<'_> {
    pub(super) fn operations(&mut self, raw: &raw::Operations) -> Operations {
        let address = raw.address.as_ref().and_then(|a| self.address("operations", 0, a));
        if let Some(external) = address.filter(|a| !a.ip().is_loopback()) {
            let message =
                format!("{} is not a loopback address: connections are not encrypted", external.ip());
            self.report("operations", 0, "address", message);
        }
        if raw.socket.is_none() && raw.address.is_none() {
            self.report(
                "operations",
                0,
                "socket",
                "a socket or an address is required: without one, no operator could connect",
            );
        }
        if raw.address.is_some() && raw.operator.is_empty() {
            self.report("operations", 0, "address", "requires an <operator> with a key");
        }
        for (name, bytes) in [("history", raw.history.0), ("refusals", raw.refusals.0)] {
            if bytes < 1 << 20 {
                self.report("operations", 0, name, "must be at least 1MiB");
            }
        }
        self.unique("operator", "name", raw.operator.iter().map(|o| o.name.as_str()));
        let mut operators = Vec::new();
        for (n, operator) in raw.operator.iter().enumerate() {
            let key = match (&operator.key_file, &operator.key) {
                (Some(file), None) => KeySource::File(file.into()),
                (None, Some(key)) => KeySource::Text(key.clone()),
                _ => {
                    self.report("operator", n, "key-file", "exactly one of key-file and key is required");
                    continue;
                }
            };
            let may_change = operator.role == raw::OperatorRole::Change;
            operators.push(Operator { name: operator.name.clone(), may_change, key });
        }
        Operations {
            state: raw.state.clone().into(),
            socket: raw.socket.as_ref().map(Into::into),
            address,
            sessions: raw.sessions,
            history: raw.history.0,
            refusals: raw.refusals.0,
            operators,
        }
    }
}
