//! Pins bytes and names that are read outside this crate: gossip messages between routers, and the names in
//! logs and counters.

use gaparch_scheduler::api::{AttemptStatus, ServerId};
use gaparch_scheduler::policy::send_guards::{Denial, Denials};
use gaparch_scheduler::state::{decode_gossip, encode_gossip};
use std::collections::BTreeMap;

/// Servers 1, 2 and 0x01020304 with 16 tokens, 1000 tokens and more tokens than an entry can hold. Amounts
/// are in units of 16 tokens.
const MESSAGE: [u8; 18] = [1, 0, 0, 0, 1, 0, 2, 0, 0, 0, 62, 0, 4, 3, 2, 1, 0xff, 0xff];

#[test]
fn gossip_messages_are_encoded_to_the_same_bytes() {
    let tokens_by_server = [(1, 16.0), (2, 1000.0), (3, 15.9), (0x0102_0304, 1e12)];
    let bytes =
        encode_gossip(tokens_by_server.into_iter().map(|(server, tokens)| (ServerId(server), tokens)));
    assert_eq!(bytes, MESSAGE);
}

#[test]
fn gossip_messages_are_decoded_to_the_same_amounts() {
    let decoded =
        BTreeMap::from([(ServerId(1), 16.0), (ServerId(2), 992.0), (ServerId(0x0102_0304), 1_048_560.0)]);
    assert_eq!(decode_gossip(&MESSAGE), decoded);
    // A truncated entry at the end is ignored.
    assert_eq!(decode_gossip(&MESSAGE[..17]).len(), 2);
    assert!(decode_gossip(&[]).is_empty());
}

#[test]
fn a_gossip_message_holds_at_most_42_servers() {
    let bytes = encode_gossip((0..100).map(|server| (ServerId(server), 32.0)));
    assert_eq!(bytes.len(), 252);
}

#[test]
fn statuses_keep_their_names() {
    let names = [
        (AttemptStatus::Ok, "ok"),
        (AttemptStatus::Prefilled, "read"),
        (AttemptStatus::Error, "error"),
        (AttemptStatus::Rejected, "full"),
        (AttemptStatus::Timeout, "timeout"),
        (AttemptStatus::ConnectFailed, "connect_failed"),
        (AttemptStatus::NoSocket, "no_socket"),
        (AttemptStatus::Reset, "reset"),
        (AttemptStatus::Cancelled, "cancelled"),
        (AttemptStatus::Expired, "moot"),
        (AttemptStatus::Unknown, "unknown"),
    ];
    for (status, name) in names {
        assert_eq!(status.name(), name);
    }
}

#[test]
fn denials_keep_their_names_and_order() {
    let names = [
        "answered",
        "client_left",
        "deadline",
        "another_out",
        "attempts_used",
        "may_have_run",
        "not_harmless",
        "not_ready",
        "too_late",
    ];
    assert_eq!(Denial::ALL.map(Denial::name), names);
    let mut denials = Denials::default();
    assert_eq!(denials.to_string(), "");
    for denial in Denial::ALL {
        denials.count(denial);
    }
    denials.count(Denial::TooLate);
    assert_eq!(
        denials.to_string(),
        "answered=1,client_left=1,deadline=1,another_out=1,attempts_used=1,may_have_run=1,not_harmless=1,\
         not_ready=1,too_late=2"
    );
}
