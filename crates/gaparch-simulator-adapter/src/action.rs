//! Actions of one instance on the simulator's wire.

use gaparch_scheduler::api::Action;
use serde_json::{json, Value};

/// Writes an action of an instance.
pub fn to_json(action: &Action, who: u64) -> Value {
    match action {
        // Nothing waits for a connection on this wire: what is sent is out at once.
        Action::Send { id, server, timeout, send_by: _ } => {
            json!({"t": "transmit", "who": who, "msgId": id.0, "worker": server.0, "giveUpAfterNs": timeout})
        }
        Action::Cancel { id, attempt } => {
            json!({"t": "recall", "who": who, "msgId": id.0, "sendNo": attempt.0})
        }
        Action::Reject { id, retry_after, .. } => {
            json!({"t": "decline", "who": who, "msgId": id.0, "waitNs": retry_after})
        }
        Action::Fail { id, .. } => json!({"t": "error", "who": who, "msgId": id.0}),
        Action::ReleaseKv(id) => json!({"t": "letGo", "who": who, "msgId": id.0}),
        Action::ReserveKv { id, server } => {
            json!({"t": "earmark", "who": who, "msgId": id.0, "worker": server.0})
        }
        Action::Migrate(id) => json!({"t": "goAway", "who": who, "msgId": id.0}),
        Action::Probe(server) => json!({"t": "healthCheck", "who": who, "worker": server.0}),
        Action::CloseConnections(server) => json!({"t": "close", "who": who, "worker": server.0}),
        Action::SetTimer { token, delay } => {
            json!({"t": "sleep", "who": who, "name": token.0.to_string(), "sleepForNs": delay})
        }
        Action::SendGossip { peer, data } => {
            json!({"t": "post", "who": who, "recipient": peer, "content": hex(data)})
        }
        Action::WatchEndpoints(on) => json!({"t": "follow", "who": who, "enable": on}),
        Action::FetchEndpoints => json!({"t": "resolve", "who": who}),
        Action::Log(text) => json!({"t": "debug", "who": who, "reasonText": text}),
    }
}

fn hex(data: &[u8]) -> String {
    data.iter().map(|byte| format!("{byte:02x}")).collect()
}
