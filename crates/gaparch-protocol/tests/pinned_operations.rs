//! The bytes of each frame of the operations protocol and of each record that a router stores on disk, and
//! the JSON that operators' scripts read.

mod common;

use common::{assert_frame, assert_json, assert_record};
use gaparch_protocol::fleet::MemberState;
use gaparch_protocol::ops::intent::{
    AcceptedChange, Change, ChangeNote, DrainMode, Intent, LimitView, Subject,
};
use gaparch_protocol::ops::outcome::{
    AttemptEnd, AttemptRecord, EngineEvidence, FollowUp, GlobalRequestId, OutcomeCause, OutcomeFilter,
    OutcomeGroup, OutcomeKind, QueueingReason, RequestOutcome, Stage, StoredOutcome,
};
use gaparch_protocol::ops::view::{
    AuditView, AvoidReason, EngineRole, EngineState, EngineView, Event, FleetView, LinkFault, ListVersionRow,
    ListVersionsView, MemberView, OrderReplicationView, PartialEjection, Phase, ReplicationRow, RequestView,
    RouterAuditRow, RouterMetrics, Setting, Severity, Snapshot, SupersededOrder, TenantView,
};
use gaparch_protocol::ops::{Answer, DenyCode, OpsFrame, Order, Query, SessionRole, Update};
use gaparch_protocol::versions::{AuditFilter, FleetOrder, ListVersion, OrderId, SendCounts};

const NAME: GlobalRequestId = GlobalRequestId { run: 0x18a2b3, number: 42 };
const NOW: u64 = 1_700_000_000_000_000_000;

fn note() -> ChangeNote {
    ChangeNote { operator: "ann".to_owned(), reason: "noise".to_owned(), at: NOW }
}

fn drain() -> Change {
    Change::Drain { engine: "w0".to_owned(), mode: DrainMode::Drain }
}

fn changes() -> [Change; 7] {
    [
        drain(),
        Change::Undrain { engine: "w0".to_owned() },
        Change::Pause {},
        Change::Resume {},
        Change::SetLimit { name: "open-requests".to_owned(), value: Some(50.0) },
        Change::SetLimit { name: "open-requests".to_owned(), value: None },
        Change::Stop {},
    ]
}

fn order(change: Change) -> Order {
    Order { change, reason: "noise".to_owned(), force: true, revision: Some(7) }
}

fn intents() -> Vec<Intent> {
    let subjects = [
        Subject::Engine { engine: "w0".to_owned(), mode: DrainMode::Detach },
        Subject::Admission {},
        Subject::Limit { name: "open-requests".to_owned(), value: 50.0 },
    ];
    subjects.map(|subject| Intent { subject, note: note(), revision: 3, persisted: true }).to_vec()
}

fn limit() -> LimitView {
    LimitView {
        name: "open-requests".to_owned(),
        value: 50.0,
        configured_value: 100.0,
        min: 1.0,
        max: 1000.0,
        unit: "requests".to_owned(),
    }
}

fn attempts() -> Vec<AttemptRecord> {
    let attempt =
        |stage, end| AttemptRecord { engine: "r0".to_owned(), stage, sent_after_us: 10, took_us: 20, end };
    vec![attempt(Stage::Prefill, AttemptEnd::Completed), attempt(Stage::Decode, AttemptEnd::Cancelled)]
}

fn outcome() -> RequestOutcome {
    RequestOutcome {
        class: "question".to_owned(),
        tenant: "app".to_owned(),
        queueing_reason: Some(QueueingReason::DecodeWorkersSaturated),
        retry_after_ms: Some(1500),
        first_token_after_us: Some(2500),
        tokens: 20,
        attempts: attempts(),
        evidence: vec![EngineEvidence {
            engine: "w0".to_owned(),
            avoid_reason: "full".to_owned(),
            memory_utilization: 0.75,
            queued_prompt_tokens: 1000.0,
            latency_ratio: 1.25,
        }],
        fingerprint: 99,
        follow_up: Some(FollowUp { received_at: NOW + 9, request: NAME, kind: OutcomeKind::Served }),
        ..outcome_without_details()
    }
}

fn outcome_without_details() -> RequestOutcome {
    RequestOutcome::without_details(NAME, NOW, NOW + 5, OutcomeKind::Rejected, OutcomeCause::ObjectiveMissed)
}

fn filter() -> OutcomeFilter {
    OutcomeFilter {
        kind: Some(OutcomeKind::Failed),
        cause: Some(OutcomeCause::DeadlineExceeded),
        queueing_reason: Some(QueueingReason::NoPrefillWorker),
        class: Some("question".to_owned()),
        tenant: Some("app".to_owned()),
        engine: Some("w0".to_owned()),
        since: Some(1),
        until: Some(2),
        max: 3,
    }
}

fn group() -> OutcomeGroup {
    OutcomeGroup {
        kind: OutcomeKind::Rejected,
        cause: OutcomeCause::ObjectiveMissed,
        queueing_reason: Some(QueueingReason::OverQuota),
        class: "question".to_owned(),
        tenant: "app".to_owned(),
        count: 5,
        first_at: 1,
        last_at: 2,
        retried: 3,
        served_on_retry: 4,
        example: NAME,
    }
}

fn open_request() -> RequestView {
    RequestView {
        request: NAME,
        received_at: NOW,
        class: "question".to_owned(),
        tenant: "app".to_owned(),
        phase: Phase::Decoding,
        kind: Some(OutcomeKind::ClientDisconnected),
        engine: "w0".to_owned(),
        tokens: 6,
        elapsed_us: 7,
        attempts: attempts(),
    }
}

fn event() -> Event {
    Event { at: NOW, severity: Severity::Fault, engine: Some("w0".to_owned()), text: "slow".to_owned() }
}

fn metrics() -> RouterMetrics {
    RouterMetrics {
        at: NOW,
        queued: 1,
        prefilling: 2,
        prefilled: 3,
        decoding: 4,
        streaming: 5,
        requests: 6,
        served: 7,
        served_in_time: 8,
        rejected: 9,
        failed: 10,
        client_disconnected: 11,
        tokens: 12,
        paused: true,
        lag_us: 13,
    }
}

fn engine() -> EngineView {
    EngineView {
        name: "w0".to_owned(),
        role: EngineRole::Decode,
        zone: "north".to_owned(),
        rack: "n1".to_owned(),
        address: "10.0.0.2:7000".to_owned(),
        listed_state: EngineState::Ready,
        state: EngineState::Draining,
        connected: true,
        avoid_reason: Some(AvoidReason::Ejected),
        partial_ejections: vec![PartialEjection {
            class: "question".to_owned(),
            tenant: "app".to_owned(),
            until: NOW,
        }],
        awaiting_first_token: 1,
        streaming: 2,
        queued_prompt_tokens: 3.5,
        memory_utilization: 0.25,
        reported_memory_utilization: Some(0.5),
        latency_ratio: 1.5,
        slow_start_budget: Some(2.0),
        started_at: Some(NOW - 5),
        last_response_at: NOW - 1,
        attempts: 4,
        failed: 5,
        cancelled: 6,
    }
}

fn tenant() -> TenantView {
    TenantView {
        name: "app".to_owned(),
        requests: 1,
        served: 2,
        rejected: 3,
        failed: 4,
        client_disconnected: 5,
        tokens: 6,
        quota_per_second: 7.5,
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        router: "router-1".to_owned(),
        run: 0x18a2b3,
        revision: 3,
        started_at: NOW,
        metrics: metrics(),
        engines: vec![engine()],
        tenants: vec![tenant()],
        intents: intents(),
        limits: vec![limit()],
        events: vec![event()],
        settings: vec![Setting { name: "retry-after".to_owned(), value: "1 s".to_owned() }],
        storage_error: "the disk is full".to_owned(),
    }
}

fn version() -> ListVersion {
    ListVersion { rank: 1, epoch: 77, version: 12 }
}

fn fleet() -> FleetView {
    FleetView {
        router: "router-1".to_owned(),
        incarnation: 1,
        majority: true,
        present: 2,
        counted: 3,
        divisor: 4,
        receives_nothing: false,
        is_unanswered: true,
        timeout_extension: 5,
        members: vec![MemberView {
            name: "router-2".to_owned(),
            zone: "north".to_owned(),
            build: "1.0".to_owned(),
            address: "10.0.0.3:7100".to_owned(),
            incarnation: 6,
            state: MemberState::Suspect,
            since: NOW,
            last_alive_at: NOW - 1,
            last_received_at: Some(NOW - 2),
            suspected_by: vec!["router-3".to_owned()],
            duplicate_at: Some("10.0.0.4:7100".to_owned()),
            receives_nothing: true,
        }],
        link_faults: vec![LinkFault { from: "router-2".to_owned(), to: "router-1".to_owned(), since: NOW }],
        sent: 7,
        sent_bytes: 8,
        received: 9,
        forged: 10,
        malformed: 11,
        newer: 12,
        replayed: 13,
        misdirected: 14,
        throttled: 15,
    }
}

fn versions() -> ListVersionsView {
    ListVersionsView {
        version: version(),
        entries: 6,
        confirmed_ago: Some(1000),
        latest_known: Some(version()),
        corroborated: true,
        behind_since: Some(NOW),
        lists_from_peers: 2,
        rejected_claims: 3,
        rows: vec![ListVersionRow {
            router: "router-2".to_owned(),
            version: version(),
            digest: 4,
            confirmed_ago: None,
            reported_at: NOW,
        }],
    }
}

fn fleet_order(number: u64, replaces: Option<OrderId>) -> FleetOrder {
    let id = OrderId { number, restrictiveness: 2, router: "router-1".to_owned(), incarnation: 3 };
    FleetOrder { id, replaces, change: drain(), note: note() }
}

fn order_replication() -> OrderReplicationView {
    let first = fleet_order(1, None);
    let second = fleet_order(2, Some(first.id.clone()));
    OrderReplicationView {
        complete: false,
        orders: vec![second.clone()],
        superseded: vec![SupersededOrder { order: first, by: second }],
        rows: vec![ReplicationRow {
            router: "router-2".to_owned(),
            state: MemberState::Alive,
            has_all: true,
            reported_at: Some(NOW),
        }],
    }
}

fn audit() -> AuditView {
    let sends =
        SendCounts { engine: "w0".to_owned(), prefills: 1, decodes: 2, probes: 3, first_at: 4, last_at: 5 };
    AuditView {
        complete: false,
        unknown: vec!["router-3: no answer".to_owned()],
        rows: vec![RouterAuditRow { router: "router-2".to_owned(), list: version(), confirmed: true, sends }],
    }
}

fn query_frame(query: Query) -> OpsFrame {
    OpsFrame::Query { seq: 5, query }
}

fn answer_frame(answer: Answer) -> OpsFrame {
    OpsFrame::Answer { seq: 5, answer }
}

#[test]
fn opening_and_closing_frames_keep_their_bytes() {
    let operator = || "ann".to_owned();
    let key = Some("secret".to_owned());
    assert_frame(
        &OpsFrame::Hello { version: 1, key, role: SessionRole::ReadWrite, operator: operator() },
        "00000012010001010006736563726574020003616e6e",
    );
    assert_frame(
        &OpsFrame::Hello { version: 1, key: None, role: SessionRole::ReadOnly, operator: operator() },
        "0000000a01000100010003616e6e",
    );
    let router = "router-1".to_owned();
    assert_frame(
        &OpsFrame::Welcome { version: 1, router, run: 0x18a2b3, role: SessionRole::ReadOnly },
        "000000160200010008726f757465722d31000000000018a2b301",
    );
    assert_frame(&OpsFrame::Bye { reason: "no such key".to_owned() }, "0000000e3f000b6e6f2073756368206b6579");
}

#[test]
fn each_query_keeps_its_bytes() {
    assert_frame(&query_frame(Query::Snapshot {}), "00000006030000000501");
    assert_frame(&query_frame(Query::Subscribe {}), "00000006030000000502");
    assert_frame(&query_frame(Query::Unsubscribe {}), "00000006030000000503");
    assert_frame(
        &query_frame(Query::Order { order: order(drain()) }),
        "0000001d03000000050401000277300100056e6f69736501010000000000000007",
    );
    assert_frame(
        &query_frame(Query::OutcomeGroups { filter: filter() }),
        "000000380300000005050103010301020100087175657374696f6e01000361707001000277300100000000000000\
         0101000000000000000200000003",
    );
    assert_frame(
        &query_frame(Query::Outcomes { filter: OutcomeFilter::default() }),
        "00000012030000000506000000000000000000000000",
    );
    assert_frame(
        &query_frame(Query::RequestDetails { request: NAME }),
        "00000016030000000507000000000018a2b3000000000000002a",
    );
    assert_frame(&query_frame(Query::OpenRequests { max: 9 }), "0000000a03000000050800000009");
    assert_frame(
        &query_frame(Query::Events { engine: Some("w0".to_owned()), since: NOW, max: 9 }),
        "00000017030000000509010002773017979cfe362a000000000009",
    );
    assert_frame(&query_frame(Query::Limits {}), "0000000603000000050a");
    assert_frame(&query_frame(Query::Intents {}), "0000000603000000050b");
    assert_frame(&query_frame(Query::Members {}), "0000000603000000050c");
    assert_frame(&query_frame(Query::ListVersions {}), "0000000603000000050d");
    assert_frame(
        &query_frame(Query::LocalOrder { order: order(Change::Pause {}) }),
        "0000001803000000050e0300056e6f69736501010000000000000007",
    );
    assert_frame(&query_frame(Query::OrderReplication {}), "0000000603000000050f");
    let filter = AuditFilter {
        engine: Some("w0".to_owned()),
        since: 1,
        until: Some(2),
        below_version: Some(3),
        request: Some(4),
    };
    assert_frame(
        &query_frame(Query::Audit { filter }),
        "0000002e030000000510010002773000000000000000010100000000000000020100000000000000030100000000\
         00000004",
    );
}

#[test]
fn each_answer_keeps_its_bytes() {
    assert_frame(
        &answer_frame(Answer::Snapshot { snapshot: Box::new(snapshot()) }),
        "0000025b0400000005010008726f757465722d31000000000018a2b3000000000000000317979cfe362a00001797\
         9cfe362a000000000001000000020000000300000004000000050000000000000006000000000000000700000000\
         000000080000000000000009000000000000000a000000000000000b000000000000000c01000000000000000d00\
         000001000277300200056e6f72746800026e31000d31302e302e302e323a37303030010201010300000001000871\
         75657374696f6e000361707017979cfe362a00000000000100000002400c0000000000003fd0000000000000013f\
         e00000000000003ff80000000000000140000000000000000117979cfe3629fffb17979cfe3629ffff0000000000\
         00000400000000000000050000000000000006000000010003617070000000000000000100000000000000020000\
         000000000003000000000000000400000000000000050000000000000006401e0000000000000000000301000277\
         30020003616e6e00056e6f69736517979cfe362a0000000000000000000301020003616e6e00056e6f6973651797\
         9cfe362a000000000000000000030103000d6f70656e2d726571756573747340490000000000000003616e6e0005\
         6e6f69736517979cfe362a000000000000000000030100000001000d6f70656e2d72657175657374734049000000\
         00000040590000000000003ff0000000000000408f400000000000000872657175657374730000000117979cfe36\
         2a00000301000277300004736c6f7700000001000b72657472792d61667465720003312073001074686520646973\
         6b2069732066756c6c",
    );
    assert_frame(&answer_frame(Answer::Subscribed {}), "00000006040000000502");
    assert_frame(&answer_frame(Answer::Unsubscribed {}), "00000006040000000503");
    assert_frame(
        &answer_frame(Answer::Done { revision: 4, effect: "drained".to_owned() }),
        "0000001704000000050400000000000000040007647261696e6564",
    );
    let message = || "no".to_owned();
    assert_frame(
        &answer_frame(Answer::Denied { code: DenyCode::ReadOnly, message: message() }),
        "0000000b0400000005050100026e6f",
    );
    assert_frame(
        &answer_frame(Answer::Denied { code: DenyCode::Unknown, message: message() }),
        "0000000b0400000005050200026e6f",
    );
    assert_frame(
        &answer_frame(Answer::Denied { code: DenyCode::LastOfRole, message: message() }),
        "0000000b0400000005050300026e6f",
    );
    assert_frame(
        &answer_frame(Answer::Denied { code: DenyCode::Conflict, message: message() }),
        "0000000b0400000005050400026e6f",
    );
    assert_frame(
        &answer_frame(Answer::Denied { code: DenyCode::Invalid, message: message() }),
        "0000000b0400000005050500026e6f",
    );
    assert_frame(
        &answer_frame(Answer::Denied { code: DenyCode::NotPersisted, message: message() }),
        "0000000b0400000005050600026e6f",
    );
    assert_frame(
        &answer_frame(Answer::Denied { code: DenyCode::Busy, message: message() }),
        "0000000b0400000005050700026e6f",
    );
    assert_frame(
        &answer_frame(Answer::OutcomeGroups { groups: vec![group()], total: 9 }),
        "0000005d040000000506000000010204010300087175657374696f6e000361707000000000000000050000000000\
         000001000000000000000200000000000000030000000000000004000000000018a2b3000000000000002a000000\
         0000000009",
    );
    assert_frame(
        &answer_frame(Answer::Outcomes { outcomes: vec![outcome_without_details()], total: 9 }),
        "0000005004000000050700000001000000000018a2b3000000000000002a17979cfe362a000017979cfe362a0005\
         0000000002040000000000000000000000000000000000000000000000000000000000000009",
    );
    let (outcome, open) = (Some(Box::new(outcome())), Some(Box::new(open_request())));
    assert_frame(
        &answer_frame(Answer::RequestDetails { outcome, open }),
        "0000013304000000050801000000000018a2b3000000000000002a17979cfe362a000017979cfe362a0005000871\
         75657374696f6e0003617070020401040100000000000005dc0100000000000009c4000000140000000200027230\
         01000000000000000a0000000000000014010002723002000000000000000a000000000000001407000000010002\
         7730000466756c6c3fe8000000000000408f4000000000003ff400000000000000000000000000630117979cfe36\
         2a0009000000000018a2b3000000000000002a0101000000000018a2b3000000000000002a17979cfe362a000000\
         087175657374696f6e00036170700401040002773000000006000000000000000700000002000272300100000000\
         0000000a0000000000000014010002723002000000000000000a000000000000001407",
    );
    assert_frame(
        &answer_frame(Answer::OpenRequests { requests: vec![open_request()], total: 9 }),
        "0000007c04000000050900000001000000000018a2b3000000000000002a17979cfe362a00000008717565737469\
         6f6e000361707004010400027730000000060000000000000007000000020002723001000000000000000a000000\
         0000000014010002723002000000000000000a0000000000000014070000000000000009",
    );
    assert_frame(
        &answer_frame(Answer::Events { events: vec![event()] }),
        "0000001e04000000050a0000000117979cfe362a00000301000277300004736c6f77",
    );
    assert_frame(
        &answer_frame(Answer::Limits { limits: vec![limit()] }),
        "0000004304000000050b00000001000d6f70656e2d7265717565737473404900000000000040590000000000003f\
         f0000000000000408f40000000000000087265717565737473",
    );
    assert_frame(
        &answer_frame(Answer::Intents { intents: intents() }),
        "0000008004000000050c000000030100027730020003616e6e00056e6f69736517979cfe362a0000000000000000\
         000301020003616e6e00056e6f69736517979cfe362a000000000000000000030103000d6f70656e2d7265717565\
         73747340490000000000000003616e6e00056e6f69736517979cfe362a0000000000000000000301",
    );
    assert_frame(
        &answer_frame(Answer::Members { fleet: Box::new(fleet()) }),
        "000000fd04000000050d0008726f757465722d310000000000000001010000000200000003000000040001000000\
         05000000010008726f757465722d3200056e6f7274680003312e30000d31302e302e302e333a3731303000000000\
         000000060217979cfe362a000017979cfe3629ffff0117979cfe3629fffe000000010008726f757465722d330100\
         0d31302e302e302e343a3731303001000000010008726f757465722d320008726f757465722d3117979cfe362a00\
         00000000000000000700000000000000080000000000000009000000000000000a000000000000000b0000000000\
         00000c000000000000000d000000000000000e000000000000000f",
    );
    assert_frame(
        &answer_frame(Answer::ListVersions { versions: Box::new(versions()) }),
        "0000008904000000050e00000001000000000000004d000000000000000c000000060100000000000003e8010000\
         0001000000000000004d000000000000000c010117979cfe362a0000000000000000000200000000000000030000\
         00010008726f757465722d3200000001000000000000004d000000000000000c00000000000000040017979cfe36\
         2a0000",
    );
    assert_frame(
        &answer_frame(Answer::OrderReplication { replication: Box::new(order_replication()) }),
        "0000012304000000050f0000000001000000000000000200000000000000020008726f757465722d310000000000\
         00000301000000000000000100000000000000020008726f757465722d3100000000000000030100027730010003\
         616e6e00056e6f69736517979cfe362a000000000001000000000000000100000000000000020008726f75746572\
         2d310000000000000003000100027730010003616e6e00056e6f69736517979cfe362a0000000000000000000200\
         000000000000020008726f757465722d31000000000000000301000000000000000100000000000000020008726f\
         757465722d3100000000000000030100027730010003616e6e00056e6f69736517979cfe362a0000000000010008\
         726f757465722d3201010117979cfe362a0000",
    );
    assert_frame(
        &answer_frame(Answer::Audit { audit: Box::new(audit()) }),
        "0000006f04000000051000000000010013726f757465722d333a206e6f20616e73776572000000010008726f7574\
         65722d3200000001000000000000004d000000000000000c01000277300000000000000001000000000000000200\
         0000000000000300000000000000040000000000000005",
    );
}

#[test]
fn each_update_keeps_its_bytes() {
    assert_frame(
        &OpsFrame::Update(Update::Metrics { metrics: metrics() }),
        "0000005f050117979cfe362a00000000000100000002000000030000000400000005000000000000000600000000\
         0000000700000000000000080000000000000009000000000000000a000000000000000b000000000000000c0100\
         0000000000000d",
    );
    assert_frame(
        &OpsFrame::Update(Update::Engines { engines: vec![engine()] }),
        "000000a0050200000001000277300200056e6f72746800026e31000d31302e302e302e323a373030300102010103\
         0000000100087175657374696f6e000361707017979cfe362a00000000000100000002400c0000000000003fd000\
         0000000000013fe00000000000003ff80000000000000140000000000000000117979cfe3629fffb17979cfe3629\
         ffff000000000000000400000000000000050000000000000006",
    );
    assert_frame(
        &OpsFrame::Update(Update::Event { event: event() }),
        "00000016050317979cfe362a00000301000277300004736c6f77",
    );
    assert_frame(
        &OpsFrame::Update(Update::RequestEnded { outcome: Box::new(outcome()) }),
        "000000c30504000000000018a2b3000000000000002a17979cfe362a000017979cfe362a00050008717565737469\
         6f6e0003617070020401040100000000000005dc0100000000000009c40000001400000002000272300100000000\
         0000000a0000000000000014010002723002000000000000000a0000000000000014070000000100027730000466\
         756c6c3fe8000000000000408f4000000000003ff400000000000000000000000000630117979cfe362a00090000\
         00000018a2b3000000000000002a01",
    );
    assert_frame(
        &OpsFrame::Update(Update::Intents { revision: 3, intents: intents() }),
        "0000008405050000000000000003000000030100027730020003616e6e00056e6f69736517979cfe362a00000000\
         00000000000301020003616e6e00056e6f69736517979cfe362a000000000000000000030103000d6f70656e2d72\
         6571756573747340490000000000000003616e6e00056e6f69736517979cfe362a0000000000000000000301",
    );
    assert_frame(&OpsFrame::Update(Update::Missed { updates: 8 }), "0000000a05060000000000000008");
    assert_frame(
        &OpsFrame::Update(Update::Resync { snapshot: Box::new(snapshot()) }),
        "0000025705070008726f757465722d31000000000018a2b3000000000000000317979cfe362a000017979cfe362a\
         00000000000100000002000000030000000400000005000000000000000600000000000000070000000000000008\
         0000000000000009000000000000000a000000000000000b000000000000000c01000000000000000d0000000100\
         0277300200056e6f72746800026e31000d31302e302e302e323a3730303001020101030000000100087175657374\
         696f6e000361707017979cfe362a00000000000100000002400c0000000000003fd0000000000000013fe0000000\
         0000003ff80000000000000140000000000000000117979cfe3629fffb17979cfe3629ffff000000000000000400\
         00000000000005000000000000000600000001000361707000000000000000010000000000000002000000000000\
         0003000000000000000400000000000000050000000000000006401e000000000000000000030100027730020003\
         616e6e00056e6f69736517979cfe362a0000000000000000000301020003616e6e00056e6f69736517979cfe362a\
         000000000000000000030103000d6f70656e2d726571756573747340490000000000000003616e6e00056e6f6973\
         6517979cfe362a000000000000000000030100000001000d6f70656e2d7265717565737473404900000000000040\
         590000000000003ff0000000000000408f400000000000000872657175657374730000000117979cfe362a000003\
         01000277300004736c6f7700000001000b72657472792d616674657200033120730010746865206469736b206973\
         2066756c6c",
    );
}

#[test]
fn records_on_disk_keep_their_bytes() {
    let [drain, undrain, pause, resume, limit, reset, stop] =
        changes().map(|change| AcceptedChange { revision: 4, change, note: note() });
    assert_record(&drain, "00000000000000040100027730010003616e6e00056e6f69736517979cfe362a0000");
    assert_record(&undrain, "000000000000000402000277300003616e6e00056e6f69736517979cfe362a0000");
    assert_record(&pause, "0000000000000004030003616e6e00056e6f69736517979cfe362a0000");
    assert_record(&resume, "0000000000000004040003616e6e00056e6f69736517979cfe362a0000");
    assert_record(
        &limit,
        "000000000000000405000d6f70656e2d72657175657374730140490000000000000003616e6e00056e6f69736517\
         979cfe362a0000",
    );
    assert_record(
        &reset,
        "000000000000000405000d6f70656e2d7265717565737473000003616e6e00056e6f69736517979cfe362a0000",
    );
    assert_record(&stop, "0000000000000004060003616e6e00056e6f69736517979cfe362a0000");
    assert_record(&event(), "17979cfe362a00000301000277300004736c6f77");
    assert_record(
        &Event { engine: None, severity: Severity::Info, ..event() },
        "17979cfe362a000001000004736c6f77",
    );
    assert_record(
        &Event { engine: None, severity: Severity::Warning, ..event() },
        "17979cfe362a000002000004736c6f77",
    );
    assert_record(
        &StoredOutcome::Outcome { outcome: Box::new(outcome()) },
        "01000000000018a2b3000000000000002a17979cfe362a000017979cfe362a000500087175657374696f6e000361\
         7070020401040100000000000005dc0100000000000009c400000014000000020002723001000000000000000a00\
         00000000000014010002723002000000000000000a0000000000000014070000000100027730000466756c6c3fe8\
         000000000000408f4000000000003ff400000000000000000000000000630117979cfe362a0009000000000018a2\
         b3000000000000002a01",
    );
    assert_record(
        &StoredOutcome::Outcome { outcome: Box::new(outcome_without_details()) },
        "01000000000018a2b3000000000000002a17979cfe362a000017979cfe362a000500000000020400000000000000\
         0000000000000000000000000000000000",
    );
    let follow_up = FollowUp { received_at: NOW, request: NAME, kind: OutcomeKind::Failed };
    assert_record(
        &StoredOutcome::FollowUp { request: NAME, follow_up },
        "02000000000018a2b3000000000000002a17979cfe362a0000000000000018a2b3000000000000002a03",
    );
}

#[test]
fn records_keep_their_json() {
    assert_json(
        &snapshot(),
        r#"{"router":"router-1","run":1614515,"revision":3,"began_at":1700000000000000000,"figures":{"at":1700000000000000000,"held":1,"reading":2,"read":3,"writing":4,"streaming":5,"requests":6,"served":7,"in_time":8,"refused":9,"failed":10,"left":11,"tokens":12,"paused":true,"lag_us":13},"engines":[{"name":"w0","role":"write","zone":"north","rack":"n1","address":"10.0.0.2:7000","listed":"ready","state":"draining","connected":true,"avoided":"resting","rests":[{"class":"question","tenant":"app","until":1700000000000000000}],"waiting":1,"streaming":2,"unread":3.5,"memory":0.25,"memory_said":0.5,"pace":1.5,"cold_budget":2.0,"started_at":1699999999999999995,"heard_at":1699999999999999999,"attempts":4,"failed":5,"called_off":6}],"tenants":[{"name":"app","requests":1,"served":2,"refused":3,"failed":4,"left":5,"tokens":6,"per_s":7.5}],"intents":[{"subject":{"engine":{"engine":"w0","hold":"aside"}},"note":{"who":"ann","why":"noise","at":1700000000000000000},"revision":3,"kept":true},{"subject":{"intake":{}},"note":{"who":"ann","why":"noise","at":1700000000000000000},"revision":3,"kept":true},{"subject":{"limit":{"name":"open-requests","value":50.0}},"note":{"who":"ann","why":"noise","at":1700000000000000000},"revision":3,"kept":true}],"limits":[{"name":"open-requests","value":50.0,"by_settings":100.0,"least":1.0,"most":1000.0,"unit":"requests"}],"events":[{"at":1700000000000000000,"severity":"trouble","engine":"w0","text":"slow"}],"settings":[{"name":"retry-after","value":"1 s"}],"not_kept":"the disk is full"}"#,
    );
    assert_json(
        &Snapshot { engines: vec![], tenants: vec![], ..snapshot() },
        r#"{"router":"router-1","run":1614515,"revision":3,"began_at":1700000000000000000,"figures":{"at":1700000000000000000,"held":1,"reading":2,"read":3,"writing":4,"streaming":5,"requests":6,"served":7,"in_time":8,"refused":9,"failed":10,"left":11,"tokens":12,"paused":true,"lag_us":13},"engines":[],"tenants":[],"intents":[{"subject":{"engine":{"engine":"w0","hold":"aside"}},"note":{"who":"ann","why":"noise","at":1700000000000000000},"revision":3,"kept":true},{"subject":{"intake":{}},"note":{"who":"ann","why":"noise","at":1700000000000000000},"revision":3,"kept":true},{"subject":{"limit":{"name":"open-requests","value":50.0}},"note":{"who":"ann","why":"noise","at":1700000000000000000},"revision":3,"kept":true}],"limits":[{"name":"open-requests","value":50.0,"by_settings":100.0,"least":1.0,"most":1000.0,"unit":"requests"}],"events":[{"at":1700000000000000000,"severity":"trouble","engine":"w0","text":"slow"}],"settings":[{"name":"retry-after","value":"1 s"}],"not_kept":"the disk is full"}"#,
    );
    assert_json(
        &changes(),
        r#"[{"hold":{"engine":"w0","hold":"drain"}},{"free":{"engine":"w0"}},{"pause":{}},{"resume":{}},{"limit":{"name":"open-requests","value":50.0}},{"limit":{"name":"open-requests","value":null}},{"stop":{}}]"#,
    );
    assert_json(
        &order(drain()),
        r#"{"change":{"hold":{"engine":"w0","hold":"drain"}},"why":"noise","force":true,"revision":7}"#,
    );
    assert_json(
        &AcceptedChange { revision: 4, change: drain(), note: note() },
        r#"{"revision":4,"change":{"hold":{"engine":"w0","hold":"drain"}},"note":{"who":"ann","why":"noise","at":1700000000000000000}}"#,
    );
    assert_json(
        &outcome(),
        r#"{"request":{"run":1614515,"number":42},"asked_at":1700000000000000000,"ended_at":1700000000000000005,"class":"question","tenant":"app","kind":"refused","cause":"aim-lost","waited_for":"writers-full","retry_after_ms":1500,"first_after_us":2500,"tokens":20,"steps":[{"engine":"r0","stage":"read","from_us":10,"took_us":20,"end":"done"},{"engine":"r0","stage":"write","from_us":10,"took_us":20,"end":"called-off"}],"evidence":[{"engine":"w0","avoided":"full","memory":0.75,"unread":1000.0,"pace":1.25}],"fingerprint":99,"follow_up":{"asked_at":1700000000000000009,"request":{"run":1614515,"number":42},"kind":"served"}}"#,
    );
    assert_json(
        &outcome_without_details(),
        r#"{"request":{"run":1614515,"number":42},"asked_at":1700000000000000000,"ended_at":1700000000000000005,"class":"","tenant":"","kind":"refused","cause":"aim-lost","waited_for":null,"retry_after_ms":null,"first_after_us":null,"tokens":0,"steps":[],"evidence":[],"fingerprint":0,"follow_up":null}"#,
    );
    assert_json(
        &StoredOutcome::Outcome { outcome: Box::new(outcome_without_details()) },
        r#"{"ending":{"ending":{"request":{"run":1614515,"number":42},"asked_at":1700000000000000000,"ended_at":1700000000000000005,"class":"","tenant":"","kind":"refused","cause":"aim-lost","waited_for":null,"retry_after_ms":null,"first_after_us":null,"tokens":0,"steps":[],"evidence":[],"fingerprint":0,"follow_up":null}}}"#,
    );
    let follow_up = FollowUp { received_at: NOW, request: NAME, kind: OutcomeKind::Failed };
    assert_json(
        &StoredOutcome::FollowUp { request: NAME, follow_up },
        r#"{"follow-up":{"request":{"run":1614515,"number":42},"follow_up":{"asked_at":1700000000000000000,"request":{"run":1614515,"number":42},"kind":"failed"}}}"#,
    );
    assert_json(
        &filter(),
        r#"{"kind":"failed","cause":"deadline","waited_for":"no-reader","class":"question","tenant":"app","engine":"w0","since":1,"until":2,"most":3}"#,
    );
    assert_json(
        &group(),
        r#"{"kind":"refused","cause":"aim-lost","waited_for":"over-share","class":"question","tenant":"app","count":5,"first_at":1,"last_at":2,"came_back":3,"served_then":4,"example":{"run":1614515,"number":42}}"#,
    );
    assert_json(
        &open_request(),
        r#"{"request":{"run":1614515,"number":42},"asked_at":1700000000000000000,"class":"question","tenant":"app","phase":"writing","kind":"left","engine":"w0","tokens":6,"took_us":7,"steps":[{"engine":"r0","stage":"read","from_us":10,"took_us":20,"end":"done"},{"engine":"r0","stage":"write","from_us":10,"took_us":20,"end":"called-off"}]}"#,
    );
    assert_json(&event(), r#"{"at":1700000000000000000,"severity":"trouble","engine":"w0","text":"slow"}"#);
    assert_json(
        &fleet(),
        r#"{"router":"router-1","incarnation":1,"majority":true,"present":2,"counted":3,"divisor":4,"hears_nobody":false,"unheard":true,"doubt":5,"members":[{"name":"router-2","zone":"north","build":"1.0","address":"10.0.0.3:7100","incarnation":6,"state":"suspect","since":1700000000000000000,"alive_at":1699999999999999999,"heard_at":1699999999999999998,"accused_by":["router-3"],"twin_at":"10.0.0.4:7100","hears_nobody":true}],"edges":[{"from":"router-2","to":"router-1","since":1700000000000000000}],"sent":7,"sent_bytes":8,"received":9,"forged":10,"malformed":11,"newer":12,"replayed":13,"misdirected":14,"throttled":15}"#,
    );
    assert_json(
        &versions(),
        r#"{"held":{"rank":1,"epoch":77,"version":12},"entries":6,"sure":1000,"believed":{"rank":1,"epoch":77,"version":12},"corroborated":true,"behind_since":1700000000000000000,"brought_up":2,"refused":3,"rows":[{"router":"router-2","held":{"rank":1,"epoch":77,"version":12},"digest":4,"sure":null,"said_at":1700000000000000000}]}"#,
    );
    assert_json(
        &order_replication(),
        r#"{"complete":false,"orders":[{"id":{"number":2,"care":2,"router":"router-1","incarnation":3},"over":{"number":1,"care":2,"router":"router-1","incarnation":3},"change":{"hold":{"engine":"w0","hold":"drain"}},"note":{"who":"ann","why":"noise","at":1700000000000000000}}],"overtaken":[{"order":{"id":{"number":1,"care":2,"router":"router-1","incarnation":3},"over":null,"change":{"hold":{"engine":"w0","hold":"drain"}},"note":{"who":"ann","why":"noise","at":1700000000000000000}},"by":{"id":{"number":2,"care":2,"router":"router-1","incarnation":3},"over":{"number":1,"care":2,"router":"router-1","incarnation":3},"change":{"hold":{"engine":"w0","hold":"drain"}},"note":{"who":"ann","why":"noise","at":1700000000000000000}}}],"rows":[{"router":"router-2","state":"alive","keeps":true,"said_at":1700000000000000000}]}"#,
    );
    assert_json(
        &audit(),
        r#"{"complete":false,"unknown":["router-3: no answer"],"rows":[{"router":"router-2","list":{"rank":1,"epoch":77,"version":12},"sure":true,"sends":{"engine":"w0","reads":1,"writes":2,"probes":3,"first_at":4,"last_at":5}}]}"#,
    );
    assert_json(
        &Query::LocalOrder { order: order(Change::Pause {}) },
        r#"{"order-here":{"order":{"change":{"pause":{}},"why":"noise","force":true,"revision":7}}}"#,
    );
    assert_json(
        &Answer::Done { revision: 4, effect: "drained".to_owned() },
        r#"{"done":{"revision":4,"effect":"drained"}}"#,
    );
    assert_json(
        &Answer::RequestDetails { outcome: None, open: None },
        r#"{"story":{"ending":null,"live":null}}"#,
    );
    assert_json(
        &Update::Event { event: event() },
        r#"{"happened":{"event":{"at":1700000000000000000,"severity":"trouble","engine":"w0","text":"slow"}}}"#,
    );
    assert_json(&Update::Missed { updates: 8 }, r#"{"missed":{"updates":8}}"#);
    assert_eq!(NAME.to_string(), "msg_18a2b3_42");
}

#[test]
fn enum_variants_keep_their_names_and_codes() {
    assert_json(&OutcomeKind::ALL, r#"["served","refused","failed","left"]"#);
    assert_json(
        &OutcomeCause::ALL,
        r#"["answered","unknown-class","deadline","aim-lost","release-time","attempts-used","may-have-run","too-late","paused","stopping","too-much-open","broke-off","stalled","client-left","overdue"]"#,
    );
    assert_json(
        &QueueingReason::ALL,
        r#"["no-writer","no-reader","over-share","writers-full","readers-full"]"#,
    );
    assert_json(&Stage::ALL, r#"["read","write"]"#);
    assert_json(
        &AttemptEnd::ALL,
        r#"["out","done","error","full","timeout","connect-failed","reset","called-off"]"#,
    );
    assert_json(&DrainMode::ALL, r#"["drain","aside"]"#);
    assert_json(&SessionRole::ALL, r#"["watch","change"]"#);
    assert_json(&DenyCode::ALL, r#"["role","unknown","leaves-none","changed","invalid","not-kept","busy"]"#);
    assert_json(&EngineRole::ALL, r#"["read","write","both"]"#);
    assert_json(&EngineState::ALL, r#"["ready","draining","gone"]"#);
    assert_json(&AvoidReason::ALL, r#"["not-ready","unreachable","resting","slow","cold","full"]"#);
    assert_json(&Severity::ALL, r#"["info","warning","trouble"]"#);
    assert_json(&Phase::ALL, r#"["held","reading","read","writing","streaming","ended"]"#);
    assert_json(&MemberState::ALL, r#"["alive","suspect","dead","left"]"#);
    assert_record(&OutcomeKind::ALL.to_vec(), "0000000401020304");
    assert_record(&OutcomeCause::ALL.to_vec(), "0000000f01020304050607081415161718191a");
    assert_record(&QueueingReason::ALL.to_vec(), "000000050102030405");
    assert_record(&Stage::ALL.to_vec(), "000000020102");
    assert_record(&AttemptEnd::ALL.to_vec(), "000000080001020304050607");
    assert_record(&DrainMode::ALL.to_vec(), "000000020102");
    assert_record(&SessionRole::ALL.to_vec(), "000000020102");
    assert_record(&DenyCode::ALL.to_vec(), "0000000701020304050607");
    assert_record(&EngineRole::ALL.to_vec(), "00000003010203");
    assert_record(&EngineState::ALL.to_vec(), "00000003010203");
    assert_record(&AvoidReason::ALL.to_vec(), "00000006010203040506");
    assert_record(&Severity::ALL.to_vec(), "00000003010203");
    assert_record(&Phase::ALL.to_vec(), "00000006010203040506");
    assert_record(&MemberState::ALL.to_vec(), "0000000401020304");
}
