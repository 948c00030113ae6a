//! Tests how close reasons are counted and formatted.

use super::{CloseCounts, CloseReason};

#[test]
fn reasons_that_occurred_are_formatted_with_their_counts() {
    let closes = CloseCounts::default();
    assert_eq!(closes.to_string(), "");
    closes.count(CloseReason::StreamBroken, 1);
    closes.count(CloseReason::ClientDisconnected, 1);
    closes.count(CloseReason::ClientDisconnected, 1);
    assert_eq!(closes.to_string(), "client_disconnected=2,stream_broken=1");
}
