//! Runs the adapter program: replies to batches, exit codes and error messages.

use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Output, Stdio};

const CLOCK: u64 = 8_412_250_000;

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gaparch-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("a pipe");
    for line in lines {
        // The adapter may have exited already because of an earlier line.
        let _ = writeln!(input, "{line}");
    }
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn replies(output: &Output) -> Vec<Value> {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().map(|l| serde_json::from_str(l).expect("a reply")).collect()
}

fn batch(at: u64, events: Value) -> String {
    json!({"clockNs": at, "events": events}).to_string()
}

fn env() -> Value {
    json!({
        "caps": {"cancel": true, "maxAttempts": 5, "probes": false, "retryAfter": true, "maxRetryAfterNs": 1000000000},
        "discovery": "ask",
        "familyInfo": {"aimUsPer1000PromptTokens": [60000.0], "releaseWithinNs": 500000000,
            "roleByKind": ["read", "write"], "tokenAimNs": [50000000], "tokensByKind": [244379, 133840]},
        "flavors": ["prefill", "decode"], "me": 0, "replicasOfMe": 3,
        "report": {"fields": ["concurrent", "x0", "unheard_of"], "source": "piggyback"},
        "rules": {"coldFrom": 0.28, "overloadFactor": 2.5, "overloadForNs": 2000000000u64, "rampTimeNs": 14000000000u64},
        "services": [{"aimNs": 1000000000, "deadlineNs": 5000000000u64, "idempotency": "free", "name": "ask"}],
        "zone": "a", "zones": ["a", "b"], "unheard_of": {"x": [1, 2]}
    })
}

fn start(instance: u64) -> Value {
    json!([
        {"t": "init", "who": instance, "entropy": 77, "env": env()},
        {"t": "pool", "table": 3, "membersList": [
            {"worker": 51, "az": "a", "kind": "prefill", "cohort": 0, "status": "up", "scale": 1},
            {"worker": 74, "az": "a", "kind": "decode", "cohort": 0, "status": "up", "scale": 1.5, "launchedNs": 0},
            {"worker": 90, "az": "b", "kind": "decode", "cohort": 1, "status": "draining", "scale": 1}]},
        {"t": "rosterChange", "who": instance, "scope": "cached", "revision": 41, "table": 3}
    ])
}

fn submit(instance: u64, id: u64) -> Value {
    json!({"t": "submit", "who": instance, "msgId": id, "prefixId": "c:x", "inputLen": 1800, "nPrefix": 1200,
        "nMax": 256, "giveUpAtNs": CLOCK + 5_000_000_000u64, "session": "conv:y", "priority": "ask",
        "unheard_of": 1})
}

fn closed_attempt(instance: u64, id: u64, attempt: u64, worker: u64, outcome: u64, ended: bool) -> Value {
    json!({"t": "closedAttempt", "who": instance, "msgId": id, "sendNo": attempt, "worker": worker,
        "outcome": outcome, "durationNs": 18500000, "ended": ended, "info": 0, "stats": [3.0, 0.2, 9.0]})
}

fn actions(reply: &Value, kind: &str) -> Vec<Value> {
    let all = reply["do"].as_array().expect("actions");
    all.iter().filter(|action| action["t"] == kind).cloned().collect()
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let out = replies(&run(&[batch(CLOCK, json!([]))]));
    assert_eq!(out, vec![json!({"do": []})]);
}

#[test]
fn a_request_is_sent_once_to_a_prefill_worker_and_then_once_to_a_decode_worker() {
    let id = 2_272_941_206_835_652;
    let out = replies(&run(&[
        batch(CLOCK, start(3)),
        batch(CLOCK, json!([submit(3, id)])),
        batch(CLOCK + 1, json!([closed_attempt(3, id, 0, 51, 102, false)])),
        batch(
            CLOCK + 2,
            json!([{"t": "begun", "who": 3, "msgId": id, "sendNo": 1, "worker": 74, "durationNs": 5}]),
        ),
        batch(CLOCK + 3, json!([closed_attempt(3, id, 1, 74, 100, true)])),
    ]));
    assert_eq!(actions(&out[0], "follow"), vec![json!({"t": "follow", "who": 3, "enable": true})]);
    let prefill = json!({"t": "transmit", "who": 3, "msgId": id, "worker": 51, "giveUpAfterNs": 0});
    assert_eq!(actions(&out[1], "transmit"), vec![prefill]);
    let decode = json!({"t": "transmit", "who": 3, "msgId": id, "worker": 74, "giveUpAfterNs": 0});
    assert_eq!(actions(&out[2], "transmit"), vec![decode]);
    assert!(out[3..].iter().all(|reply| actions(reply, "transmit").is_empty()));
}

/// Guards against an unknown class ending the whole adapter, and with it all other instances.
#[test]
fn a_request_of_an_unknown_class_fails_alone() {
    let mut unknown_class = submit(3, 1);
    unknown_class["priority"] = json!("unheard-of");
    let out = replies(&run(&[batch(CLOCK, start(3)), batch(CLOCK, json!([unknown_class, submit(3, 2)]))]));
    assert_eq!(actions(&out[1], "error"), vec![json!({"t": "error", "who": 3, "msgId": 1})]);
    assert_eq!(actions(&out[1], "transmit")[0]["msgId"], 2);
}

#[test]
fn timers_fire_by_name_and_unknown_timers_are_ignored() {
    let out = replies(&run(&[
        batch(CLOCK, start(3)),
        batch(CLOCK, json!([submit(3, 1)])),
        batch(CLOCK + 10_000_000, json!([{"t": "tickDue", "who": 3, "name": "0"}])),
        batch(CLOCK + 10_000_000, json!([{"t": "tickDue", "who": 3, "name": "not ours"}])),
    ]));
    assert_eq!(actions(&out[1], "sleep")[0]["name"], "0");
    assert_eq!(actions(&out[2], "sleep").len(), 1);
    assert_eq!(out[3], json!({"do": []}));
}

#[test]
fn a_request_past_its_deadline_is_declined() {
    let mut late = submit(3, 9);
    late["giveUpAtNs"] = json!(CLOCK - 1);
    let out = replies(&run(&[batch(CLOCK, start(3)), batch(CLOCK, json!([late]))]));
    let decline = json!({"t": "decline", "who": 3, "msgId": 9, "waitNs": 1000000000});
    assert_eq!(actions(&out[1], "decline"), vec![decline]);
}

#[test]
fn other_events_and_unknown_events_are_accepted() {
    let out = replies(&run(&[
        batch(CLOCK, start(3)),
        batch(CLOCK, json!([submit(3, 1)])),
        batch(
            CLOCK + 1,
            json!([
                {"t": "health", "who": 3, "worker": 74, "outcome": 100, "durationNs": 5, "stats": [1, 0.5, 0]},
                {"t": "datagram", "who": 3, "neighbour": 1, "content": "68692037"},
                {"t": "reserved", "who": 3, "msgId": 1, "sendNo": 0, "sort": 2, "worker": 74, "level": 0},
                {"t": "never_heard_of", "who": 3, "x": 1},
                {"t": "rosterChange", "who": 3, "scope": "failed", "revision": 0, "table": 99},
                {"t": "withdrawn", "who": 3, "msgId": 1},
                {"t": "withdrawn", "who": 3, "msgId": 4242},
                closed_attempt(3, 1, 0, 51, 999, true),
                {"t": "teardown", "who": 3}
            ]),
        ),
        batch(CLOCK + 2, start(3)),
    ]));
    assert_eq!(actions(&out[2], "recall"), vec![json!({"t": "recall", "who": 3, "msgId": 1, "sendNo": 0})]);
    assert_eq!(actions(&out[2], "letGo"), vec![json!({"t": "letGo", "who": 3, "msgId": 1})]);
    assert_eq!(out.len(), 4);
}

#[test]
fn an_instance_acts_the_same_alone_and_beside_another() {
    let batches = |instance: u64| {
        vec![
            batch(CLOCK, start(instance)),
            batch(CLOCK, json!([submit(instance, 5)])),
            batch(CLOCK + 9, json!([closed_attempt(instance, 5, 0, 51, 301, false)])),
        ]
    };
    let together: Vec<String> = (0..3)
        .map(|i| {
            let events: Vec<Value> = [1, 2]
                .iter()
                .flat_map(|instance| {
                    let line: Value = serde_json::from_str(&batches(*instance)[i]).expect("a batch");
                    line["events"].as_array().expect("events").clone()
                })
                .collect();
            let first: Value = serde_json::from_str(&batches(1)[i]).expect("a batch");
            json!({"clockNs": first["clockNs"], "events": events}).to_string()
        })
        .collect();
    let both = replies(&run(&together));
    for instance in [1, 2] {
        let alone = replies(&run(&batches(instance)));
        for (together, alone) in both.iter().zip(&alone) {
            let own_actions = |reply: &Value| -> Vec<Value> {
                reply["do"]
                    .as_array()
                    .expect("actions")
                    .iter()
                    .filter(|action| action["who"] == instance)
                    .cloned()
                    .collect()
            };
            assert_eq!(own_actions(together), own_actions(alone));
        }
    }
}

#[test]
fn an_invalid_line_exits_with_a_message_that_names_the_line() {
    let mut no_id = submit(3, 1);
    no_id.as_object_mut().expect("an object").remove("msgId");
    let invalid_lines = [
        "not json".to_owned(),
        "[]".to_owned(),
        json!({"events": []}).to_string(),
        json!({"clockNs": 1}).to_string(),
        batch(CLOCK, json!([no_id])),
        batch(CLOCK, json!([submit(8, 1)])),
        batch(CLOCK, json!([{"t": "rosterChange", "who": 3, "scope": "full", "revision": 1, "table": 12}])),
        batch(CLOCK, json!([{"t": "closedAttempt", "who": 3, "msgId": 1}])),
        batch(CLOCK, json!([{"who": 3}])),
        batch(CLOCK, json!([17])),
        batch(CLOCK, json!([{"t": "init", "who": 4, "entropy": 1}])),
    ];
    for line in invalid_lines {
        let output = run(&[batch(CLOCK, start(3)), line.clone()]);
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{line}");
        assert!(message.contains("line 2: "), "{line}: {message}");
        assert!(!message.contains("panicked"), "{line}: {message}");
        assert_eq!(message.lines().count(), 1, "{line}: {message}");
    }
}

#[test]
fn the_end_of_input_is_a_clean_exit() {
    let output = run(&[]);
    assert!(output.status.success());
    assert!(output.stdout.is_empty() && output.stderr.is_empty());
}
