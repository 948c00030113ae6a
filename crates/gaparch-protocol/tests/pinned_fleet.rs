//! The bytes of the fleet protocol and of stored records of its types, as released routers encode and decode
//! them.
//!
//! Each constant was written by the build that introduced this test. A change of the encoding breaks fleets
//! with routers of different builds, or makes stored records unreadable.

use gaparch_protocol::fleet::{MemberInfo, MemberState, Message, MessageBody, Update};
use gaparch_protocol::list::{ListEntry, ServerState};
use gaparch_protocol::ops::intent::{Change, ChangeNote, DrainMode};
use gaparch_protocol::ops::{from_bytes, to_bytes};
use gaparch_protocol::versions::{
    AuditFilter, AuditRow, AuditSegment, Claim, FleetOrder, ListVersion, OrderId, ReplicationMessage,
    SendContext, SendCounts, SendRecord,
};
use serde::Serialize;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

/// Asserts that a value is encoded as the pinned bytes, and that they are decoded as the value.
macro_rules! assert_pinned {
    ($value:expr, $pinned:literal) => {
        let value = $value;
        assert_eq!(hex(&to_bytes(&value)), $pinned);
        assert_eq!(from_bytes(&unhex($pinned)), Some(value));
    };
}

#[track_caller]
fn assert_json(value: &impl Serialize, pinned: &str) {
    assert_eq!(serde_json::to_string(value).expect("a record is serializable"), pinned);
}

fn member_info() -> MemberInfo {
    MemberInfo {
        name: "router-1".to_owned(),
        zone: "north".to_owned(),
        build: "2.1".to_owned(),
        address: "127.0.0.1:7400".to_owned(),
        run_id: 0x0102_0304_0506_0708,
        incarnation: 3,
        heartbeat: 9000,
    }
}

fn version() -> ListVersion {
    ListVersion { rank: 2, epoch: 77, version: 4001 }
}

fn claim() -> Claim {
    Claim { router: "router-2".to_owned(), version: version(), digest: 0xfeed_beef, age_ms: 250 }
}

fn entry() -> ListEntry {
    ListEntry {
        engine: "engine-1".to_owned(),
        address: "10.0.0.1:8000".to_owned(),
        kind: "both".to_owned(),
        zone: "north".to_owned(),
        rack: "r7".to_owned(),
        state: ServerState::Draining,
        weight: Some(1.5),
        started_at: Some(1_700_000_000_000_000_000),
    }
}

fn order_id() -> OrderId {
    OrderId { number: 12, restrictiveness: 2, router: "router-1".to_owned(), incarnation: 3 }
}

fn order(change: Change) -> FleetOrder {
    let note = ChangeNote {
        operator: "ada".to_owned(),
        reason: "maintenance".to_owned(),
        at: 1_700_000_000_000_000_001,
    };
    let replaced = OrderId { number: 11, restrictiveness: 0, router: "router-2".to_owned(), incarnation: 1 };
    FleetOrder { id: order_id(), replaces: Some(replaced), change, note }
}

fn context() -> SendContext {
    SendContext { list: version(), confirmed: true, order_revision: 12, build: "2.1".to_owned() }
}

fn counts() -> SendCounts {
    SendCounts {
        engine: "engine-1".to_owned(),
        prefills: 5,
        decodes: 6,
        probes: 7,
        first_at: 1000,
        last_at: 2000,
    }
}

fn filter() -> AuditFilter {
    AuditFilter {
        engine: Some("engine-1".to_owned()),
        since: 10,
        until: Some(20),
        below_version: Some(4001),
        request: Some(99),
    }
}

fn row() -> AuditRow {
    AuditRow { list: version(), confirmed: true, counts: counts() }
}

fn segment() -> AuditSegment {
    AuditSegment {
        number: 8,
        previous_hash_high: 0x1122,
        previous_hash_low: 0x3344,
        run_id: 5,
        from_at: 1000,
        to_at: 2000,
        starts_process: true,
        ends_process: false,
        context: context(),
        counts: vec![counts()],
        records: vec![SendRecord { at: 1500, request: 99, attempt: 2, engine: 0, kind: 1 }],
        omitted_records: 4,
    }
}

fn message(body: MessageBody, updates: Vec<Update>) -> Message {
    Message { from: member_info(), to: "router-2".to_owned(), seq: 17, direct_peers: 2, body, updates }
}

#[test]
fn member_states() {
    assert_pinned!(MemberState::Alive, "01");
    assert_pinned!(MemberState::Suspect, "02");
    assert_pinned!(MemberState::Dead, "03");
    assert_pinned!(MemberState::Left, "04");
    let names: Vec<String> = MemberState::ALL.iter().map(MemberState::to_string).collect();
    assert_eq!(names, ["alive", "suspect", "dead", "left"]);
}

#[test]
fn info_of_a_member() {
    assert_pinned!(
        member_info(),
        "0008726f757465722d3100056e6f7274680003322e31000e3132372e302e302e313a37343030010203040506070800000000000000030000000000002328"
    );
}

#[test]
fn updates_of_members_and_links() {
    let (info, reporter) = (member_info(), "router-3".to_owned());
    assert_pinned!(
        Update::Member { info, state: MemberState::Suspect, reporter, last_heartbeat: 8000 },
        "010008726f757465722d3100056e6f7274680003322e31000e3132372e302e302e313a37343030010203040506070800000000000000030000000000002328020008726f757465722d330000000000001f40"
    );
    let (from, to) = ("router-1".to_owned(), "router-3".to_owned());
    assert_pinned!(
        Update::Link { from, to, failed: true, incarnation: 3, heartbeat: 7000 },
        "020008726f757465722d310008726f757465722d330100000000000000030000000000001b58"
    );
}

#[test]
fn each_kind_of_message_body() {
    assert_pinned!(MessageBody::Ping { nonce: 5 }, "010000000000000005");
    assert_pinned!(MessageBody::Ack { nonce: 6 }, "020000000000000006");
    let (target, address) = ("router-3".to_owned(), "127.0.0.1:7402".to_owned());
    assert_pinned!(
        MessageBody::PingRequest { nonce: 7, target, address },
        "0300000000000000070008726f757465722d33000e3132372e302e302e313a37343032"
    );
    assert_pinned!(MessageBody::Nack { nonce: 8 }, "040000000000000008");
    assert_pinned!(MessageBody::SyncRequest { after: "router-1".to_owned() }, "050008726f757465722d31");
    assert_pinned!(
        MessageBody::SyncPage { after: String::new(), next: Some("router-9".to_owned()) },
        "060000010008726f757465722d39"
    );
    assert_pinned!(
        MessageBody::SyncPage { after: "router-9".to_owned(), next: None },
        "060008726f757465722d3900"
    );
    assert_pinned!(MessageBody::Payload { bytes: vec![1, 2, 255] }, "07000000030102ff");
}

#[test]
fn complete_messages_with_their_header() {
    let updates = vec![Update::Member {
        info: member_info(),
        state: MemberState::Dead,
        reporter: "router-3".to_owned(),
        last_heartbeat: 1,
    }];
    let message = message(MessageBody::Ping { nonce: 5 }, updates);
    let pinned = "6746010008726f757465722d3100056e6f7274680003322e31000e3132372e302e302e313a373430300102030405060708000000000000000300000000000023280008726f757465722d320000000000000011000201000000000000000500000001010008726f757465722d3100056e6f7274680003322e31000e3132372e302e302e313a37343030010203040506070800000000000000030000000000002328030008726f757465722d330000000000000001";
    assert_eq!(hex(&message.to_bytes()), pinned);
    assert_eq!(Message::from_bytes(&unhex(pinned)), Ok(message));
}

#[test]
fn each_kind_of_audit_message() {
    let (in_use, claims) = (version(), vec![claim()]);
    assert_pinned!(
        ReplicationMessage::ListStatus { version: in_use, digest: 0xabcd, entries: 110, confirmed_ms_ago: Some(40), claims },
        "0100000002000000000000004d0000000000000fa1000000000000abcd0000006e0100000028000000010008726f757465722d3200000002000000000000004d0000000000000fa100000000feedbeef000000fa"
    );
    assert_pinned!(
        ReplicationMessage::ListStatus {
            version: in_use,
            digest: 0xabcd,
            entries: 0,
            confirmed_ms_ago: None,
            claims: Vec::new()
        },
        "0100000002000000000000004d0000000000000fa1000000000000abcd000000000000000000"
    );
    assert_pinned!(
        ReplicationMessage::ListRequest { version: version(), first: 64 },
        "0200000002000000000000004d0000000000000fa100000040"
    );
    let (version, entries) = (version(), vec![entry()]);
    assert_pinned!(
        ReplicationMessage::ListPage { version, digest: 0xabcd, first: 64, total: 110, entries },
        "0300000002000000000000004d0000000000000fa1000000000000abcd000000400000006e000000010008656e67696e652d31000d31302e302e302e313a383030300004626f746800056e6f7274680002723701013ff80000000000000117979cfe362a0000"
    );
    assert_pinned!(
        ReplicationMessage::OrderSummary { digest: 0x11, complete_digest: 0x22, answer_requested: true },
        "040000000000000011000000000000002201"
    );
    assert_pinned!(
        ReplicationMessage::Order { order: order(Change::Pause {}) },
        "05000000000000000c00000000000000020008726f757465722d31000000000000000301000000000000000b00000000000000000008726f757465722d320000000000000001030003616461000b6d61696e74656e616e636517979cfe362a0001"
    );
    assert_pinned!(
        ReplicationMessage::OrderRequest { after: "engine engine-1".to_owned() },
        "06000f656e67696e6520656e67696e652d31"
    );
    assert_pinned!(
        ReplicationMessage::AuditRequest { nonce: 7, filter: filter(), first: 3 },
        "070000000000000007010008656e67696e652d31000000000000000a010000000000000014010000000000000fa101000000000000006300000003"
    );
    assert_pinned!(
        ReplicationMessage::AuditPage { nonce: 7, now: 5000, gaps: 1, first: 3, total: 4, rows: vec![row()] },
        "08000000000000000700000000000013880000000100000003000000040000000100000002000000000000004d0000000000000fa1010008656e67696e652d3100000000000000050000000000000006000000000000000700000000000003e800000000000007d0"
    );
}

#[test]
fn stored_orders_of_each_change() {
    let engine = || "engine-1".to_owned();
    assert_pinned!(
        order(Change::Drain { engine: engine(), mode: DrainMode::Drain }),
        "000000000000000c00000000000000020008726f757465722d31000000000000000301000000000000000b00000000000000000008726f757465722d320000000000000001010008656e67696e652d31010003616461000b6d61696e74656e616e636517979cfe362a0001"
    );
    assert_pinned!(
        order(Change::Drain { engine: engine(), mode: DrainMode::Detach }),
        "000000000000000c00000000000000020008726f757465722d31000000000000000301000000000000000b00000000000000000008726f757465722d320000000000000001010008656e67696e652d31020003616461000b6d61696e74656e616e636517979cfe362a0001"
    );
    assert_pinned!(
        order(Change::Undrain { engine: engine() }),
        "000000000000000c00000000000000020008726f757465722d31000000000000000301000000000000000b00000000000000000008726f757465722d320000000000000001020008656e67696e652d310003616461000b6d61696e74656e616e636517979cfe362a0001"
    );
    assert_pinned!(
        order(Change::Pause {}),
        "000000000000000c00000000000000020008726f757465722d31000000000000000301000000000000000b00000000000000000008726f757465722d320000000000000001030003616461000b6d61696e74656e616e636517979cfe362a0001"
    );
    assert_pinned!(
        order(Change::Resume {}),
        "000000000000000c00000000000000020008726f757465722d31000000000000000301000000000000000b00000000000000000008726f757465722d320000000000000001040003616461000b6d61696e74656e616e636517979cfe362a0001"
    );
    assert_pinned!(
        order(Change::SetLimit { name: "queue".to_owned(), value: Some(0.5) }),
        "000000000000000c00000000000000020008726f757465722d31000000000000000301000000000000000b00000000000000000008726f757465722d3200000000000000010500057175657565013fe00000000000000003616461000b6d61696e74656e616e636517979cfe362a0001"
    );
    assert_pinned!(
        order(Change::SetLimit { name: "queue".to_owned(), value: None }),
        "000000000000000c00000000000000020008726f757465722d31000000000000000301000000000000000b00000000000000000008726f757465722d3200000000000000010500057175657565000003616461000b6d61696e74656e616e636517979cfe362a0001"
    );
    assert_pinned!(
        order(Change::Stop {}),
        "000000000000000c00000000000000020008726f757465722d31000000000000000301000000000000000b00000000000000000008726f757465722d320000000000000001060003616461000b6d61696e74656e616e636517979cfe362a0001"
    );
}

#[test]
fn stored_records_of_the_audit_log() {
    assert_pinned!(
        segment(),
        "000000000000000800000000000011220000000000003344000000000000000500000000000003e800000000000007d0010000000002000000000000004d0000000000000fa101000000000000000c0003322e31000000010008656e67696e652d3100000000000000050000000000000006000000000000000700000000000003e800000000000007d00000000100000000000005dc0000000000000063000000020000010000000000000004"
    );
    assert_pinned!(
        AuditSegment { starts_process: false, ends_process: true, counts: Vec::new(), records: Vec::new(), ..segment() },
        "000000000000000800000000000011220000000000003344000000000000000500000000000003e800000000000007d0000100000002000000000000004d0000000000000fa101000000000000000c0003322e3100000000000000000000000000000004"
    );
}

#[test]
fn json_of_records_that_operators_tools_read() {
    assert_json(
        &member_info(),
        r#"{"name":"router-1","zone":"north","build":"2.1","address":"127.0.0.1:7400","run":72623859790382856,"incarnation":3,"beat":9000}"#,
    );
    assert_json(&MemberState::Suspect, r#""suspect""#);
    assert_json(
        &order(Change::Pause {}),
        r#"{"id":{"number":12,"care":2,"router":"router-1","incarnation":3},"over":{"number":11,"care":0,"router":"router-2","incarnation":1},"change":{"pause":{}},"note":{"who":"ada","why":"maintenance","at":1700000000000000001}}"#,
    );
    assert_json(
        &row(),
        r#"{"list":{"rank":2,"epoch":77,"version":4001},"sure":true,"sends":{"engine":"engine-1","reads":5,"writes":6,"probes":7,"first_at":1000,"last_at":2000}}"#,
    );
    assert_json(&filter(), r#"{"engine":"engine-1","since":10,"until":20,"below":4001,"request":99}"#);
    assert_json(
        &segment(),
        r#"{"number":8,"before":4386,"before_low":13124,"run":5,"from":1000,"to":2000,"begins":true,"ends":false,"stamp":{"list":{"rank":2,"epoch":77,"version":4001},"sure":true,"orders":12,"build":"2.1"},"sends":[{"engine":"engine-1","reads":5,"writes":6,"probes":7,"first_at":1000,"last_at":2000}],"singles":[{"at":1500,"request":99,"attempt":2,"engine":0,"kind":1}],"left_out":4}"#,
    );
    assert_json(
        &claim(),
        r#"{"router":"router-2","version":{"rank":2,"epoch":77,"version":4001},"digest":4276993775,"age":250}"#,
    );
    assert_json(
        &ReplicationMessage::ListRequest { version: version(), first: 64 },
        r#"{"want":{"version":{"rank":2,"epoch":77,"version":4001},"from":64}}"#,
    );
    assert_json(
        &MessageBody::SyncRequest { after: "router-1".to_owned() },
        r#"{"want":{"after":"router-1"}}"#,
    );
    let (from, to) = ("router-1".to_owned(), "router-3".to_owned());
    assert_json(
        &Update::Link { from, to, failed: true, incarnation: 3, heartbeat: 7000 },
        r#"{"edge":{"from":"router-1","to":"router-3","lost":true,"incarnation":3,"beat":7000}}"#,
    );
}
