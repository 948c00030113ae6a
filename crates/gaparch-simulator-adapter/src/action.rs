//! Conversion of scheduler actions to the simulator's JSON.

use gaparch_scheduler::api::Action;
use serde_json::{json, Value};

/// Converts an action of an instance to JSON.
pub fn to_json(action: &Action, instance: u64) -> Value {
    match action {
        // The simulator sends immediately, without waiting for a connection: `send_by` does not apply.
        Action::Send { id, server, timeout, send_by: _ } => {
            json!({
                "t": "transmit", "who": instance, "msgId": id.0, "worker": server.0, "giveUpAfterNs": timeout,
            })
        }
        Action::Cancel { id, attempt } => {
            json!({"t": "recall", "who": instance, "msgId": id.0, "sendNo": attempt.0})
        }
        Action::Reject { id, retry_after, .. } => {
            json!({"t": "decline", "who": instance, "msgId": id.0, "waitNs": retry_after})
        }
        Action::Fail { id, .. } => json!({"t": "error", "who": instance, "msgId": id.0}),
        Action::ReleaseKv(id) => json!({"t": "letGo", "who": instance, "msgId": id.0}),
        Action::ReserveKv { id, server } => {
            json!({"t": "earmark", "who": instance, "msgId": id.0, "worker": server.0})
        }
        Action::Migrate(id) => json!({"t": "goAway", "who": instance, "msgId": id.0}),
        Action::Probe(server) => json!({"t": "healthCheck", "who": instance, "worker": server.0}),
        Action::CloseConnections(server) => json!({"t": "close", "who": instance, "worker": server.0}),
        Action::SetTimer { token, delay } => {
            json!({"t": "sleep", "who": instance, "name": token.0.to_string(), "sleepForNs": delay})
        }
        Action::SendGossip { peer, data } => {
            json!({"t": "post", "who": instance, "recipient": peer, "content": hex(data)})
        }
        Action::WatchEndpoints(on) => json!({"t": "follow", "who": instance, "enable": on}),
        Action::FetchEndpoints => json!({"t": "resolve", "who": instance}),
        Action::Log(text) => json!({"t": "debug", "who": instance, "reasonText": text}),
    }
}

fn hex(data: &[u8]) -> String {
    data.iter().map(|byte| format!("{byte:02x}")).collect()
}
