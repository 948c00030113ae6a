//! The records of the fleet that a router keeps on disk, and the events that it shows to operators at its
//! start. The constants come from a running router of commit bdb4937; this version must write the same and
//! read them again.

use gaparch_config::Config;
use gaparch_net::{Clock, Credentials, OperationsAddress, OpsClient};
use gaparch_protocol::ops::intent::{Change, DrainMode};
use gaparch_protocol::ops::{Answer, Order, Query, SessionRole};
use gaparch_router::shell::{serve_on, Disks, FleetDisks, RouterHandle};
use gaparch_store::faulty::FaultyDisk;
use gaparch_store::Journal;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The incarnation of the first start.
const INCARNATION: [u8; 8] = [0, 0, 0, 0, 0, 0, 0, 1];
/// The record of an order of the fleet without the time at its end: operator `office` drains engine read-1,
/// for the reason "a test".
const FLEET_ORDER: &str = "0000000000000001000000000000000200076e6f7274682d310000000000000001\
                           00010006726561642d310100066f66666963650006612074657374";
/// The number of the first audit segment; each later segment has the next one.
const FIRST_AUDIT_MARK: [u8; 8] = [0, 0, 0, 0, 0, 0, 0, 1];
/// The events of a router that started and was ordered to drain an engine, without their times.
const EVENTS: &str = r#"
info null the router has begun; 0 orders of operators are in force
trouble null operator night can't come in by a key: key file FOLDER/missing.key: there is no such file
info "read-1" draining: it is sent nothing new (it was ready)
info "read-1" read-1 drained by office: a test
"#;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hexadecimal digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Waits until a snapshot shows the engines: changes of their state by an order are events only from then on.
async fn wait_until_engines_are_shown(operator: &mut OpsClient) {
    for _ in 0..500 {
        let answer = operator.query(Query::Snapshot {}).await.expect("an answer");
        if matches!(&answer, Answer::Snapshot { snapshot } if !snapshot.engines.is_empty()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no engine is shown");
}

fn events_without_times(answer: &Answer, folder: &Path) -> String {
    let json = serde_json::to_value(answer).expect("JSON");
    let events = json["events"]["events"].as_array().expect("a list");
    let line = |event: &serde_json::Value| {
        let severity = event["severity"].as_str().expect("a word");
        let text = event["text"].as_str().expect("a text").replace(&folder.display().to_string(), "FOLDER");
        format!("{severity} {} {text}\n", event["engine"])
    };
    format!("\n{}", events.iter().map(line).collect::<String>())
}

struct TestState {
    disk: FaultyDisk,
    folder: PathBuf,
}

impl TestState {
    fn new(name: &str) -> TestState {
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        TestState { disk: FaultyDisk::default(), folder }
    }

    /// Starts a router that is alone in its fleet, with settings on loopback addresses.
    async fn start(&self) -> RouterHandle {
        let key = self.folder.join("fleet.key");
        std::fs::write(&key, "a key of the site for tests\n").expect("written");
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).expect("mode 600");
        let (folder, key) = (self.folder.display(), key.display());
        let settings = format!(
            r#"<?xml version="1.0" encoding="UTF-8"?>
            <gaparch version="1">
              <router name="north-1" number="0" routers="1" zone="north" seed="1">
                <listen address="127.0.0.1:0" dialect="own"/>
              </router>
              <zones><zone id="north"/></zones>
              <kinds><kind id="reader" role="read" memory-tokens="200000"/>
                <kind id="writer" role="write" memory-tokens="130000"/></kinds>
              <classes><class id="question" default="true" effect="safe" aim="1s" deadline="5s" token-aim="50ms"
                worth="1" late-worth="0.1" stream-limit="2m" silence-limit="5s"/></classes>
              <engines>
                <engine id="read-1" address="127.0.0.1:1" kind="reader" zone="north" rack="n1"/>
                <engine id="read-2" address="127.0.0.1:2" kind="reader" zone="north" rack="n1"/>
                <engine id="write-1" address="127.0.0.1:3" kind="writer" zone="north" rack="n1"/>
              </engines>
              <list address="127.0.0.1:4" mode="push" ask-within="10s"/>
              <attempts most="5" cancel="true" probes="true" self-prefill="false" connect-timeout="250ms"
                probe-timeout="1s" probe-price="0.003" reconnect-after="50ms" reconnect-most="2s" retry-after="true"
                max-retry-after="1s"/>
              <rules release-within="500ms" drain-grace="500ms" cold-from="0.28" cold="14s" fall-multiple="2.5"
                fall="2s" answer-slack="50ms"/>
              <limits body="1MiB" connections="4096" open-requests="20000" inbox="1024" stream-buffer="256" frame="4MiB"
                head-time="10s" body-time="10s" keep-alive="15s" shutdown="10s"/>
              <operations state="{folder}/state" socket="{folder}/ops.sock" history="2MiB" refusals="4MiB">
                <operator name="night" role="change" key-file="{folder}/missing.key"/>
              </operations>
              <fleet listen="127.0.0.1:0" address="127.0.0.1:7400" key-file="{key}" period="200ms" hold="60s"
                confirm="3s" refined="true"/>
            </gaparch>"#
        );
        let config = Config::parse(&settings).expect("valid settings");
        let disk = || Box::new(self.disk.clone());
        let disks =
            Disks { intents: disk(), events: disk(), outcomes: disk(), fleet: FleetDisks::of(|| disk()) };
        serve_on(config, Some(disks), Clock::default()).await.expect("it starts")
    }

    async fn operator(&self) -> OpsClient {
        let address = OperationsAddress::Socket(self.folder.join("ops.sock"));
        let credentials =
            Credentials { key: None, role: SessionRole::ReadWrite, operator: "office".to_owned() };
        OpsClient::connect(&address, &credentials).await.expect("accepted")
    }

    fn records(&self, journal: &str) -> Vec<Vec<u8>> {
        let (_, found) = Journal::open(self.disk.clone(), journal, 1).expect("readable");
        found.records
    }

    /// Waits until a journal has a record.
    async fn wait_for_record(&self, journal: &str) {
        for _ in 0..500 {
            if !self.records(journal).is_empty() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("{journal} has no record");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn fleet_records_and_the_first_events_match_the_pinned_constants() {
    let state = TestState::new("pinned-records");
    let router = state.start().await;
    let mut operator = state.operator().await;
    wait_until_engines_are_shown(&mut operator).await;
    let change = Change::Drain { engine: "read-1".to_owned(), mode: DrainMode::Drain };
    let order = Order { change, reason: "a test".to_owned(), force: true, revision: None };
    let done = operator.query(Query::Order { order }).await.expect("an answer");
    assert!(matches!(done, Answer::Done { revision: 1, .. }), "{done:?}");
    state.wait_for_record("fleet-orders").await;
    assert_eq!(state.records("incarnation"), [INCARNATION]);
    let orders = state.records("fleet-orders");
    let [order] = &orders[..] else { panic!("one order: {orders:?}") };
    let (head, time) = order.split_at(order.len() - 8);
    assert_eq!((hex(head).as_str(), time.len()), (FLEET_ORDER, 8));
    let events = operator.query(Query::Events { engine: None, since: 0, max: 100 }).await.expect("an answer");
    assert_eq!(events_without_times(&events, &state.folder), EVENTS);
    router.stop().await.expect("it ran");
    let marks = state.records("audit-mark");
    assert_eq!(marks.first(), Some(&FIRST_AUDIT_MARK.to_vec()), "{marks:?}");
    let numbers: Vec<Vec<u8>> =
        (1..=marks.len() as u64).map(|number| number.to_be_bytes().to_vec()).collect();
    assert_eq!(marks, numbers);
}

#[tokio::test(flavor = "multi_thread")]
async fn pinned_fleet_records_are_restored() {
    let state = TestState::new("pinned-start");
    let time = 1_700_000_000_000_000_000_u64;
    let order: Vec<u8> = bytes(FLEET_ORDER).into_iter().chain(time.to_be_bytes()).collect();
    for (journal, record) in [("incarnation", INCARNATION.to_vec()), ("fleet-orders", order)] {
        let (mut journal, _) = Journal::open(state.disk.clone(), journal, 1).expect("readable");
        journal.rewrite([record]).expect("written");
    }
    let router = state.start().await;
    let mut operator = state.operator().await;
    let Answer::Members { fleet } = operator.query(Query::Members {}).await.expect("an answer") else {
        panic!("it is in a fleet");
    };
    assert_eq!(fleet.incarnation, 2);
    let replication = operator.query(Query::OrderReplication {}).await.expect("an answer");
    let replication = serde_json::to_value(&replication).expect("JSON");
    let expected = serde_json::json!([{
        "id": {"number": 1, "care": 2, "router": "north-1", "incarnation": 1},
        "over": null,
        "change": {"hold": {"engine": "read-1", "hold": "drain"}},
        "note": {"who": "office", "why": "a test", "at": time},
    }]);
    assert_eq!(replication["spread"]["spread"]["orders"], expected);
    router.stop().await.expect("it ran");
}
