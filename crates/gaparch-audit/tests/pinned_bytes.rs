//! Digests and hashes that routers of different builds compare, and records that they store.
//!
//! The constants were written by the build that introduced this test.

use gaparch_audit::{digest, subject, AuditLog, FleetOrder, FleetOrders, OrderOutput, SendKind, SendTally};
use gaparch_protocol::list::{ListEntry, ServerState};
use gaparch_protocol::ops::intent::{Change, ChangeNote, DrainMode};
use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::versions::{ListVersion, ReplicationMessage, SendContext};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn entry(name: &str, state: ServerState) -> ListEntry {
    ListEntry {
        engine: name.to_owned(),
        address: "10.0.0.1:7000".to_owned(),
        kind: "read".to_owned(),
        zone: "north".to_owned(),
        rack: "n1".to_owned(),
        state,
        weight: Some(0.25),
        started_at: None,
    }
}

#[test]
fn digest_of_a_list() {
    let entries = [entry("engine-1", ServerState::Ready), entry("engine-2", ServerState::Draining)];
    assert_eq!(digest(&entries), 17467824027233021543);
    assert_eq!(digest(&entries[..1]), 14569422583924442914);
}

#[test]
fn subjects_of_orders() {
    let engine = || "engine-1".to_owned();
    let subjects: Vec<Option<String>> = [
        Change::Drain { engine: engine(), mode: DrainMode::Drain },
        Change::Undrain { engine: engine() },
        Change::Pause {},
        Change::Resume {},
        Change::SetLimit { name: "queue".to_owned(), value: None },
        Change::Stop {},
    ]
    .iter()
    .map(subject)
    .collect();
    let names: Vec<Option<&str>> = subjects.iter().map(Option::as_deref).collect();
    let (engine, intake) = (Some("engine engine-1"), Some("intake"));
    assert_eq!(names, [engine, engine, intake, intake, Some("limit queue"), None]);
}

/// Issues several kinds of orders at one router; returns the router's orders, and those that it stored last.
fn issue_orders() -> (FleetOrders, Vec<FleetOrder>) {
    let mut orders = FleetOrders::new("router-1", 3, 1, Vec::new(), 0);
    let engine = || "engine-1".to_owned();
    let changes = [
        Change::Drain { engine: engine(), mode: DrainMode::Detach },
        Change::Pause {},
        Change::SetLimit { name: "queue".to_owned(), value: Some(12.5) },
        Change::SetLimit { name: "rate".to_owned(), value: Some(-1.0) },
        Change::Drain { engine: engine(), mode: DrainMode::Drain },
    ];
    let mut stored = Vec::new();
    for change in &changes {
        let note = ChangeNote { operator: "ada ".repeat(20), reason: "because ".repeat(40), at: 5 };
        let mut out = Vec::new();
        orders.issue(0, change, &note, &mut out);
        for output in out {
            if let OrderOutput::Persist(all) = output {
                stored = all;
            }
        }
    }
    (orders, stored)
}

#[test]
fn stored_orders_and_the_digest_that_routers_compare() {
    let (mut orders, stored) = issue_orders();
    let ids: Vec<String> = stored.iter().map(|order| hex(&to_bytes(&order.id))).collect();
    assert_eq!(
        ids,
        [
            "000000000000000500000000000000020008726f757465722d310000000000000003",
            "000000000000000200000000000000020008726f757465722d310000000000000003",
            "0000000000000003bfd6ffffffffffff0008726f757465722d310000000000000003",
            "000000000000000400000000000000000008726f757465722d310000000000000003"
        ]
    );
    let lengths: Vec<usize> = stored.iter().map(|order| to_bytes(order).len()).collect();
    assert_eq!(lengths, [393, 348, 364, 363]);
    let mut out = Vec::new();
    orders.on_stored(0, &stored, &mut out);
    let summary = ReplicationMessage::OrderSummary { digest: 0, complete_digest: 0, answer_requested: true };
    orders.on_message(0, "router-2", &summary, &mut out);
    let answers: Vec<String> = out
        .iter()
        .filter_map(|output| match output {
            OrderOutput::Send { message: message @ ReplicationMessage::OrderSummary { .. }, .. } => {
                Some(hex(&to_bytes(message)))
            }
            _ => None,
        })
        .collect();
    assert_eq!(answers, ["047c141b3de356405d7c141b3de356405d00"]);
}

#[test]
fn audit_segments_and_the_hash_that_chains_them() {
    let context = SendContext {
        list: ListVersion { rank: 1, epoch: 7, version: 4 },
        confirmed: true,
        order_revision: 2,
        build: "1".to_owned(),
    };
    let mut log = AuditLog::new(5, Vec::new(), 0);
    let mut segments = vec![log.start(1000).expect("a segment")];
    let mut tally = SendTally::default();
    tally.record(3, SendKind::Prefill, 71, 1, 2000);
    tally.record(4, SendKind::Decode, 71, 2, 2001);
    tally.record(3, SendKind::Probe, 0, 0, 2002);
    segments.extend(log.append(&tally.take(context, 2003, |engine| format!("engine-{engine}"))));
    segments.extend(log.finish(3000));
    let written: Vec<String> = segments.iter().map(|segment| hex(&to_bytes(segment))).collect();
    assert_eq!(written, ["000000000000000100000000000000000000000000000000000000000000000500000000000003e800000000000003e801000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000", "000000000000000295650229676ae28b3fbd5c5e08cb503f000000000000000500000000000007d00000000000000bb800010000000100000000000000070000000000000004010000000000000002000131000000020008656e67696e652d3300000000000000010000000000000000000000000000000100000000000007d000000000000007d20008656e67696e652d3400000000000000000000000000000001000000000000000000000000000007d100000000000007d10000000300000000000007d000000000000000470000000100000100000000000007d100000000000000470000000200010200000000000007d20000000000000000000000000000030000000000000000"]);
}
