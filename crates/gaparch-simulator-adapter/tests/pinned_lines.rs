//! The exact JSON of every event and action that the adapter exchanges with the simulator.

use gaparch_platform_settings::PlatformSettings;
use gaparch_scheduler::api::{
    Action, AffinityKey, AttemptNumber, AttemptOutcome, AttemptStatus, CellId, ClassId, Endpoint,
    EndpointUpdate, Event, GiveUpCause, GiveUpReason, KindId, LoadReport, QueueingReason, Request, RequestId,
    ServerId, ServerState, TenantId, TimerToken, ZoneId,
};
use gaparch_simulator_adapter::host::Batch;
use gaparch_simulator_adapter::{action, endpoint, event};
use serde_json::{json, Value};

fn settings() -> PlatformSettings {
    let env = json!({
        "flavors": ["prefill", "decode"], "zones": ["a", "b"], "tenants": [{"name": "t"}],
        "services": [{"aimNs": 1000000000, "deadlineNs": 5000000000u64, "idempotency": "free", "name": "ask"}],
        "report": {"fields": ["concurrent", "depth", "load_share", "x0", "x1", "unheard_of"], "source": "piggyback"}
    });
    PlatformSettings::read(&env, 7)
}

fn parse_event(line: &str) -> Event {
    let value: Value = serde_json::from_str(line).expect("JSON");
    event::parse(&value, &settings()).expect("an event").expect("a known event")
}

fn serialize(action: Action) -> String {
    action::to_json(&action, 3).to_string()
}

fn give_up_cause() -> GiveUpCause {
    GiveUpCause {
        reason: GiveUpReason::ObjectiveMissed,
        queueing_reason: Some(QueueingReason::NoDecodeWorker),
    }
}

#[test]
fn actions_serialize_to_pinned_json() {
    let (id, server, attempt) = (RequestId(5), ServerId(74), AttemptNumber(1));
    let lines = [
        (
            Action::Send { id, server, timeout: 9, send_by: 11 },
            r#"{"giveUpAfterNs":9,"msgId":5,"t":"transmit","who":3,"worker":74}"#,
        ),
        (Action::Cancel { id, attempt }, r#"{"msgId":5,"sendNo":1,"t":"recall","who":3}"#),
        (
            Action::Reject { id, retry_after: 8, cause: give_up_cause() },
            r#"{"msgId":5,"t":"decline","waitNs":8,"who":3}"#,
        ),
        (Action::Fail { id, cause: give_up_cause() }, r#"{"msgId":5,"t":"error","who":3}"#),
        (Action::ReleaseKv(id), r#"{"msgId":5,"t":"letGo","who":3}"#),
        (Action::ReserveKv { id, server }, r#"{"msgId":5,"t":"earmark","who":3,"worker":74}"#),
        (Action::Migrate(id), r#"{"msgId":5,"t":"goAway","who":3}"#),
        (Action::Probe(server), r#"{"t":"healthCheck","who":3,"worker":74}"#),
        (Action::CloseConnections(server), r#"{"t":"close","who":3,"worker":74}"#),
        (
            Action::SetTimer { token: TimerToken(1), delay: 10 },
            r#"{"name":"1","sleepForNs":10,"t":"sleep","who":3}"#,
        ),
        (
            Action::SendGossip { peer: None, data: vec![0, 171] },
            r#"{"content":"00ab","recipient":null,"t":"post","who":3}"#,
        ),
        (
            Action::SendGossip { peer: Some(2), data: Vec::new() },
            r#"{"content":"","recipient":2,"t":"post","who":3}"#,
        ),
        (Action::WatchEndpoints(true), r#"{"enable":true,"t":"follow","who":3}"#),
        (Action::WatchEndpoints(false), r#"{"enable":false,"t":"follow","who":3}"#),
        (Action::FetchEndpoints, r#"{"t":"resolve","who":3}"#),
        (Action::Log("text".to_owned()), r#"{"reasonText":"text","t":"debug","who":3}"#),
    ];
    for (action, line) in lines {
        assert_eq!(serialize(action), line);
    }
}

#[test]
fn a_request_with_all_fields_parses() {
    let event = parse_event(
        r#"{"t":"submit","msgId":5,"priority":"ask","clientGroup":"t","session":"conv:y","prefixId":"c:x",
            "inputLen":1800,"nPrefix":1200,"nMax":256,"workHintNs":77,"giveUpAtNs":99,"isRetry":true,"again":true}"#,
    );
    let request = Request {
        id: RequestId(5),
        class: ClassId(0),
        tenant: Some(TenantId(0)),
        session: Some(AffinityKey(263_480_876_586_342_458)),
        prefix: Some(AffinityKey(17_768_663_265_832_689_632)),
        prompt_tokens: 1800.0,
        prefix_tokens: 1200.0,
        max_output_tokens: 256.0,
        expected_duration: Some(77),
        deadline_at: 99,
        client_retry: true,
        client_reconnect: true,
    };
    assert_eq!(event, Event::RequestArrived(request));
}

#[test]
fn missing_optional_request_fields_have_defaults() {
    let event =
        parse_event(r#"{"t":"submit","msgId":5,"priority":"unheard-of","workHintNs":0,"giveUpAtNs":-4}"#);
    let request = Request {
        id: RequestId(5),
        class: ClassId(usize::MAX),
        tenant: None,
        session: None,
        prefix: None,
        prompt_tokens: 0.0,
        prefix_tokens: 0.0,
        max_output_tokens: 0.0,
        expected_duration: None,
        deadline_at: 0,
        client_retry: false,
        client_reconnect: false,
    };
    assert_eq!(event, Event::RequestArrived(request));
}

#[test]
fn other_events_parse() {
    let (id, server, attempt) = (RequestId(5), ServerId(74), AttemptNumber(1));
    assert_eq!(parse_event(r#"{"t":"tickDue","name":"1"}"#), Event::TimerFired(TimerToken(1)));
    assert_eq!(
        parse_event(r#"{"t":"datagram","neighbour":2,"content":"00aB"}"#),
        Event::GossipReceived { from: 2, data: vec![0, 171] }
    );
    assert_eq!(
        parse_event(r#"{"t":"begun","msgId":5,"sendNo":1,"worker":74,"durationNs":6}"#),
        Event::FirstToken { id, attempt, server, latency: 6 }
    );
    for (sort, reserved) in [(0, false), (1, true), (2, false)] {
        let line = format!(r#"{{"t":"reserved","msgId":5,"sendNo":1,"worker":74,"sort":{sort}}}"#);
        assert_eq!(parse_event(&line), Event::ReservationAnswered { id, attempt, server, reserved });
    }
    assert_eq!(parse_event(r#"{"t":"withdrawn","msgId":5}"#), Event::ClientDisconnected(id));
}

#[test]
fn load_report_values_follow_the_field_order_of_the_settings() {
    let event =
        parse_event(r#"{"t":"health","worker":74,"outcome":100,"durationNs":6,"stats":[1,2,0.25,0.5,3,99]}"#);
    let report = LoadReport {
        in_flight: Some(1.0),
        queued: Some(2.0),
        slot_utilization: Some(0.25),
        memory_utilization: Some(0.5),
        pending_prefill_kilotokens: Some(3.0),
    };
    let probed = Event::ProbeFinished {
        server: ServerId(74),
        status: AttemptStatus::Ok,
        latency: 6,
        report: Some(report),
    };
    assert_eq!(event, probed);
}

#[test]
fn outcome_codes_map_to_attempt_statuses() {
    let codes = [
        (100, AttemptStatus::Ok),
        (102, AttemptStatus::Prefilled),
        (301, AttemptStatus::Error),
        (302, AttemptStatus::Rejected),
        (303, AttemptStatus::Timeout),
        (304, AttemptStatus::ConnectFailed),
        (305, AttemptStatus::Reset),
        (306, AttemptStatus::Cancelled),
        (307, AttemptStatus::Expired),
        (0, AttemptStatus::Unknown),
        (101, AttemptStatus::Unknown),
        (308, AttemptStatus::Unknown),
    ];
    for (code, status) in codes {
        let line = format!(
            r#"{{"t":"closedAttempt","msgId":5,"sendNo":1,"worker":74,"outcome":{code},"durationNs":6,"ended":true,"info":1}}"#
        );
        let outcome = AttemptOutcome {
            id: RequestId(5),
            attempt: AttemptNumber(1),
            server: ServerId(74),
            status,
            latency: 6,
            request_finished: true,
            cached_prompt_tokens: u64::from(matches!(status, AttemptStatus::Ok | AttemptStatus::Prefilled)),
            kv_cache_missing: status == AttemptStatus::Rejected,
            report: None,
        };
        assert_eq!(parse_event(&line), Event::AttemptFinished(outcome));
    }
}

#[test]
fn endpoint_tables_parse_and_resolve() {
    let line = r#"{"t":"pool","table":3,"membersList":[
        {"worker":51,"az":"a","kind":"prefill","cohort":4,"status":"up","scale":1.5,"launchedNs":8},
        {"worker":74,"az":"b","kind":"decode","status":"removed"},
        {"worker":90,"az":"nowhere","kind":"other","status":"draining"}]}"#;
    let pool: Value = serde_json::from_str(line).expect("JSON");
    let settings = settings();
    let entries: Vec<Endpoint> = endpoint::parse_table(&pool)
        .expect("a list")
        .iter()
        .map(|unresolved| unresolved.resolve(&settings))
        .collect();
    let up = Endpoint {
        server: ServerId(51),
        zone: Some(ZoneId(0)),
        kind: Some(KindId(0)),
        cell: Some(CellId(4)),
        state: ServerState::Ready,
        weight: Some(1.5),
        started_at: Some(8),
    };
    let removed = Endpoint {
        server: ServerId(74),
        zone: Some(ZoneId(1)),
        kind: Some(KindId(1)),
        cell: None,
        state: ServerState::Removed,
        weight: None,
        started_at: None,
    };
    let draining = Endpoint {
        server: ServerId(90),
        zone: None,
        kind: None,
        state: ServerState::Draining,
        ..removed.clone()
    };
    assert_eq!(entries, [up, removed, draining]);
}

#[test]
fn list_scopes_map_to_endpoint_updates() {
    let scopes = [
        ("delta", EndpointUpdate::Delta),
        ("full", EndpointUpdate::Full),
        ("cached", EndpointUpdate::Cached),
        ("failed", EndpointUpdate::Failed),
    ];
    for (scope, update) in scopes {
        let event = json!({"t": "rosterChange", "scope": scope});
        assert_eq!(endpoint::parse_update(&event).expect("a known scope"), update);
    }
    assert!(endpoint::parse_update(&json!({"t": "rosterChange", "scope": "other"})).is_err());
}

#[test]
fn a_batch_parses() {
    let batch: Batch =
        serde_json::from_str(r#"{"clockNs":7,"events":[{"t":"withdrawn"}]}"#).expect("a batch");
    assert_eq!(batch.clock, 7);
    assert_eq!(batch.events, [json!({"t": "withdrawn"})]);
}
