//! The meaning of responses of workers, of endpoint lists and of the configuration, as read by an earlier
//! build: it must not change.

use bytes::BytesMut;
use gaparch_platform_protocol::config::{ConfigError, GossipAddresses, RouterConfig};
use gaparch_platform_protocol::endpoint_list::{
    encode_list_request, encode_watch_request, EndpointList, ListLimits,
};
use gaparch_platform_protocol::head::{decode_response, ResponseHead};
use gaparch_platform_protocol::worker::{
    cached_prompt_tokens, interpret_probe, interpret_reservation, interpret_response, Reservation,
    ResponseMeaning, Stage,
};
use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_scheduler::api::{AttemptStatus, ServerState};

const LIMITS: ListLimits = ListLimits { bytes: 1 << 20, entries: 100 };

fn head(status: u16, rejected: bool) -> ResponseHead {
    let header = if rejected { "X-Turned-Away: 1\r\n" } else { "" };
    let text = format!("HTTP/1.1 {status} X\r\n{header}Content-Length: 0\r\n\r\n");
    decode_response(&mut BytesMut::from(text.as_bytes())).expect("valid").expect("complete")
}

fn ended(status: AttemptStatus, kv_cache_missing: bool) -> ResponseMeaning {
    ResponseMeaning::Ended { status, kv_cache_missing }
}

#[test]
fn responses_of_workers() {
    assert_eq!(interpret_response(&head(202, false), Stage::Prefill), ResponseMeaning::Prefilled);
    assert_eq!(interpret_response(&head(202, false), Stage::Decode), ended(AttemptStatus::Unknown, false));
    assert_eq!(interpret_response(&head(200, false), Stage::Decode), ResponseMeaning::EventStream);
    assert_eq!(interpret_response(&head(200, false), Stage::Prefill), ended(AttemptStatus::Unknown, false));
    for stage in [Stage::Prefill, Stage::Decode] {
        assert_eq!(interpret_response(&head(410, true), stage), ended(AttemptStatus::Rejected, true));
        assert_eq!(interpret_response(&head(410, false), stage), ended(AttemptStatus::Unknown, false));
        assert_eq!(interpret_response(&head(503, true), stage), ended(AttemptStatus::Rejected, false));
        assert_eq!(interpret_response(&head(504, true), stage), ended(AttemptStatus::Rejected, false));
        assert_eq!(interpret_response(&head(503, false), stage), ended(AttemptStatus::Unknown, false));
        assert_eq!(interpret_response(&head(500, true), stage), ended(AttemptStatus::Error, false));
        assert_eq!(interpret_response(&head(500, false), stage), ended(AttemptStatus::Error, false));
    }
}

#[test]
fn responses_of_workers_to_calls() {
    let probes = [200, 503, 404, 500].map(interpret_probe);
    assert_eq!(
        probes,
        [AttemptStatus::Ok, AttemptStatus::Rejected, AttemptStatus::Unknown, AttemptStatus::Unknown]
    );
    assert_eq!(
        [200, 204, 503].map(interpret_reservation),
        [Reservation::Reserved, Reservation::Unknown, Reservation::Rejected]
    );
    assert_eq!(cached_prompt_tokens(br#"{"cached_tokens":37.9,"x":1}"#), 37);
    assert_eq!(
        [
            cached_prompt_tokens(b"{}"),
            cached_prompt_tokens(b"noise"),
            cached_prompt_tokens(br#"{"cached_tokens":-1}"#)
        ],
        [0; 3]
    );
    assert_eq!(cached_prompt_tokens(br#"{"cached_tokens":1e30}"#), u32::MAX);
}

#[test]
fn requests_for_endpoint_lists() {
    assert_eq!(encode_list_request("a:1"), "GET /catalog/members HTTP/1.1\r\nHost: a:1\r\n\r\n");
    let watch = "GET /catalog/members?after=41&wait_ms=1000 HTTP/1.1\r\nHost: a:1\r\n\r\n";
    assert_eq!(encode_watch_request("a:1", 41, 1000), watch);
}

fn entry(engine: &str, state: ServerState) -> ListEntry {
    ListEntry {
        engine: engine.to_owned(),
        address: "10.0.0.1:80".to_owned(),
        kind: String::new(),
        zone: String::new(),
        rack: String::new(),
        state,
        weight: None,
        started_at: None,
    }
}

#[test]
fn endpoint_lists() {
    let json = br#"{"generation":42,"reset":true,"instances":[
        {"instanceId":"w-1","hostPort":"10.0.0.1:80","zone":"a","machineType":"decode","cell":7,"lifecycle":"ready",
         "weight":0.5,"startedAtMs":1500.5},
        {"instanceId":"w-2","hostPort":"10.0.0.1:80","lifecycle":"draining","cell":"rack-b"},
        {"instanceId":"w-3","hostPort":"10.0.0.1:80","lifecycle":"gone"},
        {"instanceId":"w-4","hostPort":"10.0.0.1:80","lifecycle":"sleeping"},
        {"instanceId":"","hostPort":"10.0.0.1:80","lifecycle":"ready"}]}"#;
    let complete = ListEntry {
        kind: "decode".to_owned(),
        zone: "a".to_owned(),
        rack: "7".to_owned(),
        weight: Some(0.5),
        started_at: Some(1_500_500_000),
        ..entry("w-1", ServerState::Ready)
    };
    let named_rack = ListEntry { rack: "rack-b".to_owned(), ..entry("w-2", ServerState::Draining) };
    let entries =
        vec![complete, named_rack, entry("w-3", ServerState::Removed), entry("w-4", ServerState::Draining)];
    let expected = EndpointList { generation: 42, scope: Scope::Full, entries, rejected_entries: 1 };
    assert_eq!(EndpointList::from_json(json, LIMITS).expect("a list"), expected);

    let change = EndpointList::from_json(br#"{"generation":43,"instances":[]}"#, LIMITS).expect("a change");
    assert_eq!(
        change,
        EndpointList { generation: 43, scope: Scope::Delta, entries: Vec::new(), rejected_entries: 0 }
    );
}

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:8080","discovery":"127.0.0.1:9090","seed":"00000000000000ff",
    "limits":{"sockets":400,"memory_mb":32.5},
    "peer_listen":"127.0.0.1:7000","peers":["127.0.0.1:7001","127.0.0.1:7002"],"peers_all":"127.0.0.1:7999",
    "known":{"generation":3,"reset":true,"instances":[{"instanceId":"w-1","hostPort":"10.0.0.1:80","lifecycle":"ready"}]},
    "settings":{"services":[{"name":"chat"}],"flavors":["m"],"caps":{"idleCloseNs":7000000000}}}"#;

#[test]
fn configuration_with_every_field() {
    let config = RouterConfig::from_json(CONFIG.as_bytes(), |_| None).expect("valid");
    assert_eq!((config.name.as_str(), config.sockets), ("n0", 400));
    assert_eq!(config.listen.to_string(), "127.0.0.1:8080");
    assert_eq!(config.discovery.to_string(), "127.0.0.1:9090");
    assert_eq!(config.settings.scheduler.seed, 255);
    assert_eq!(config.list_limits, ListLimits { bytes: 8320 * 512, entries: 8320 });
    let address = |text: &str| text.parse().expect("an address");
    let gossip = GossipAddresses {
        listen: address("127.0.0.1:7000"),
        routers: vec![address("127.0.0.1:7001"), address("127.0.0.1:7002")],
        broadcast: Some(address("127.0.0.1:7999")),
    };
    assert_eq!(config.gossip, Some(gossip));
    let entries = vec![entry("w-1", ServerState::Ready)];
    assert_eq!(
        config.last_known_list,
        Some(EndpointList { generation: 3, scope: Scope::Full, entries, rejected_entries: 0 })
    );
    assert_eq!(config.idle_close_ns, Some(7_000_000_000));
    assert!(!config.diagnostics.is_empty());
}

#[test]
fn configuration_with_only_settings() {
    let fallback = |field: &str| match field {
        "name" => Some("from-environment".to_owned()),
        "listen" => Some("127.0.0.1:1".to_owned()),
        "discovery" => Some("127.0.0.1:2".to_owned()),
        _ => None,
    };
    let text = br#"{"settings":{"services":[{"name":"chat"}],"flavors":["m"]}}"#;
    let config = RouterConfig::from_json(text, fallback).expect("valid");
    assert_eq!((config.name.as_str(), config.sockets), ("from-environment", 256));
    assert_eq!((config.listen.port(), config.discovery.port()), (1, 2));
    assert_eq!(config.list_limits, ListLimits { bytes: 16384 * 512, entries: 16384 });
    assert_eq!((config.gossip, config.last_known_list, config.idle_close_ns), (None, None, None));
    assert_eq!(config.settings.scheduler.seed, 0);
}

#[test]
fn configuration_with_an_invalid_field() {
    let without_settings = br#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2"}"#;
    let error = RouterConfig::from_json(without_settings, |_| None).expect_err("no settings");
    assert_eq!(error, ConfigError::Missing("settings"));
    let cases = [
        ("\"n0\"", "7", "'name' must be"),
        ("\"n0\"", "null", "'name' is missing"),
        ("\"127.0.0.1:8080\"", "\"nowhere\"", "'listen' must be"),
        ("\"127.0.0.1:9090\"", "\"nowhere\"", "'discovery' must be"),
        ("\"00000000000000ff\"", "\"xyz\"", "'seed' must be"),
        ("400", "31", "'limits.sockets' must be"),
        ("32.5", "0", "'limits.memory_mb' must be"),
        ("\"127.0.0.1:7000\"", "\"nowhere\"", "'peer_listen' must be"),
        ("\"127.0.0.1:7001\"", "7", "'peers' must be"),
        ("\"127.0.0.1:7999\"", "7", "'peers_all' must be"),
        (r#"[{"name":"chat"}]"#, "[]", "'settings.services' is missing"),
        (r#"["m"]"#, "[]", "'settings.flavors' is missing"),
        (r#"{"name":"n0","#, "{{", "not JSON: "),
    ];
    for (from, to, expected) in cases {
        let error =
            RouterConfig::from_json(CONFIG.replacen(from, to, 1).as_bytes(), |_| None).expect_err(from);
        assert!(error.to_string().starts_with(expected), "{from}: {error}");
    }
}
