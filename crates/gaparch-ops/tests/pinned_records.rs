//! The bytes of stored operators' orders, of this and of earlier versions, and the registry restored from
//! them.

use gaparch_ops::{limits, read_change, EngineDrain, OrderRegistry, CHANGE_SCHEMA, OUTCOME_SCHEMA};
use gaparch_protocol::ops::intent::{AcceptedChange, Change, ChangeNote, DrainMode};
use gaparch_protocol::ops::to_bytes;
use std::fmt::Write;

const NOW: u64 = 1_700_000_000_000_000_000;

/// Schema 1 had no revisions.
const DRAIN_OF_SCHEMA_1: &str = "0100027730010003616e6e00056e6f69736517979cfe362a0000";
const DRAIN: &str = "00000000000000040100027730010003616e6e00056e6f69736517979cfe362a0000";
const ASIDE: &str = "00000000000000040100027730020003616e6e00056e6f69736517979cfe362a0000";
const FREE: &str = "000000000000000402000277300003616e6e00056e6f69736517979cfe362a0000";
const PAUSE: &str = "0000000000000004030003616e6e00056e6f69736517979cfe362a0000";
const RESUME: &str = "0000000000000004040003616e6e00056e6f69736517979cfe362a0000";
const LIMIT: &str = "000000000000000405000d6f70656e2d72657175657374730140490000000000000003616e6e00056e6f69736517979cfe362a0000";
const RESET: &str =
    "000000000000000405000d6f70656e2d7265717565737473000003616e6e00056e6f69736517979cfe362a0000";

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
    }
    text
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text.chars().map(|digit| digit.to_digit(16).expect("a hex digit")).collect();
    digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect()
}

fn note() -> ChangeNote {
    ChangeNote { operator: "ann".to_owned(), reason: "noise".to_owned(), at: NOW }
}

fn drain(mode: DrainMode) -> Change {
    Change::Drain { engine: "w0".to_owned(), mode }
}

fn limit(value: Option<f64>) -> Change {
    Change::SetLimit { name: limits::OPEN_REQUESTS.to_owned(), value }
}

#[test]
fn changes_of_the_current_schema_have_the_pinned_bytes() {
    assert_eq!((CHANGE_SCHEMA, OUTCOME_SCHEMA), (2, 1));
    let records = [
        (drain(DrainMode::Drain), DRAIN),
        (drain(DrainMode::Detach), ASIDE),
        (Change::Undrain { engine: "w0".to_owned() }, FREE),
        (Change::Pause {}, PAUSE),
        (Change::Resume {}, RESUME),
        (limit(Some(50.0)), LIMIT),
        (limit(None), RESET),
    ];
    for (change, pinned) in records {
        let accepted = AcceptedChange { revision: 4, change, note: note() };
        assert_eq!(hex(&to_bytes(&accepted)), pinned, "{accepted:?}");
        assert_eq!(read_change(2, &unhex(pinned), 9), Some(accepted));
    }
}

#[test]
fn a_change_of_schema_1_can_be_read() {
    let expected = AcceptedChange { revision: 9, change: drain(DrainMode::Drain), note: note() };
    assert_eq!(read_change(1, &unhex(DRAIN_OF_SCHEMA_1), 9), Some(expected));
}

#[test]
fn a_registry_is_restored_from_pinned_changes() {
    let changes =
        [DRAIN, PAUSE, LIMIT].map(|pinned| read_change(2, &unhex(pinned), 0).expect("the change is read"));
    let registry = OrderRegistry::restore(changes);
    assert_eq!(registry.revision(), 4);
    assert_eq!(registry.drain("w0"), Some(EngineDrain { mode: DrainMode::Drain, since: NOW }));
    assert!(registry.is_paused());
    assert_eq!(registry.limit(limits::OPEN_REQUESTS), Some(50.0));
}

#[test]
fn limits_have_the_pinned_names() {
    assert_eq!(limits::OPEN_REQUESTS, "open-requests");
    assert_eq!(limits::tenant_limit("app"), "tenant.app.requests-per-second");
    assert_eq!(limits::limited_tenant("tenant.app.requests-per-second"), Some("app"));
}
