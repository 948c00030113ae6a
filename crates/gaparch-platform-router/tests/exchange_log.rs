//! Tests that the log lines of exchanges name the reason of each step by its enum variant, as documented in
//! docs/operators/in-service.md.

mod common;

use common::{started_stream, RunningRouter};
use gaparch_testbed::platform::{ask, head_and_body, raw, until, Platform, Step, LONG};
use serde_json::json;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use tracing_subscriber::fmt::MakeWriter;

/// Captured log output.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Log {
    /// Captures everything that this process logs.
    fn capture() -> Log {
        let log = Log::default();
        let subscriber = tracing_subscriber::fmt()
            .with_max_level(tracing::Level::DEBUG)
            .with_ansi(false)
            .with_writer(log.clone())
            .finish();
        tracing::subscriber::set_global_default(subscriber).expect("no other global subscriber");
        log
    }

    fn has_line(&self, fragments: &[&str]) -> bool {
        let bytes = self.0.lock().expect("not poisoned");
        let text = String::from_utf8_lossy(&bytes);
        text.lines().any(|line| fragments.iter().all(|fragment| line.contains(fragment)))
    }

    fn wait_for_line(&self, fragments: &[&str]) {
        until(&format!("a line with {fragments:?}"), || self.has_line(fragments));
    }
}

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Log {
    type Writer = Log;

    fn make_writer(&'a self) -> Log {
        self.clone()
    }
}

#[test]
fn the_log_lines_of_an_exchange_name_their_reasons() {
    let log = Log::capture();
    let router = RunningRouter::with(|_| {});

    assert_eq!(ask(router.listen, "served").status, 200);
    log.wait_for_line(&["attempt sent", "txn=\"served\"", "stage=\"prefill\"", "previous_status=None"]);
    log.wait_for_line(&["exchange ended", "txn=\"served\"", "end=Prefilled { cached_prompt_tokens: "]);
    log.wait_for_line(&[
        "attempt sent",
        "txn=\"served\"",
        "stage=\"decode\"",
        "previous_status=Some(Prefilled)",
    ]);
    log.wait_for_line(&["exchange ended", "txn=\"served\"", "end=Ended(AttemptEnd { status: Ok, "]);

    let saturated = "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
    router.reply_to_next_decode(&[common::put(saturated)]);
    assert_eq!(ask(router.listen, "retried").status, 200);
    log.wait_for_line(&["exchange ended", "txn=\"retried\"", "end=Ended(AttemptEnd { status: Rejected, "]);
    log.wait_for_line(&["attempt sent", "txn=\"retried\"", "previous_status=Some(Rejected)"]);

    let missing = "HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
    router.reply_to_next_decode(&[common::put(missing)]);
    assert_eq!(ask(router.listen, "missing").status, 200);
    log.wait_for_line(&["exchange ended", "txn=\"missing\"", "status: Rejected, kv_cache_missing: true"]);

    router.reply_to_next_decode(&[Step::Close]);
    assert_eq!(ask(router.listen, "reset").status, 200);
    log.wait_for_line(&["exchange ended", "txn=\"reset\"", "status: Reset, "]);

    // The client disconnects after its stream has begun.
    let first_event = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\ndata: {}\n\n\r\n";
    router.reply_to_next_decode(&[common::put(first_event), Step::Hang]);
    drop(started_stream(&router, "left"));
    log.wait_for_line(&["attempt cancelled", "txn=\"left\""]);
    log.wait_for_line(&["exchange ended", "txn=\"left\"", "last_event_us=", "end=Cancelled"]);
    log.wait_for_line(&["connection closed", "reason=ClientDisconnected", "messages=1"]);
    log.wait_for_line(&["response ended", "txn=\"left\"", "status=200", "first_byte_us="]);

    router.publish_list(Platform::without_decode_workers(&Platform::list(
        &router.prefill_workers,
        &router.decode_workers,
    )));
    assert_eq!(ask(router.listen, "rejected").status, 503);
    log.wait_for_line(&["request rejected", "txn=\"rejected\"", "cause=", "waited_for=Some("]);

    let single_shot =
        RunningRouter::with(|config| config["settings"]["services"][0]["idempotency"] = json!("single_shot"));
    single_shot.reply_to_next_decode(&[Step::Close]);
    assert_eq!(ask(single_shot.listen, "failed").status, 500);
    log.wait_for_line(&["request failed", "txn=\"failed\"", "cause=", "detail="]);
    log.wait_for_line(&["KV cache released", "txn=\"failed\"", "prefill_worker="]);
    log.wait_for_line(&["release attempted", "txn=\"failed\"", "status=Some(204)"]);

    let late = head_and_body("late", "{}");
    let late = String::from_utf8(late).expect("text").replace("X-Remaining-Ms: 5000", "X-Remaining-Ms: 0");
    assert_eq!(raw(router.listen, late.as_bytes(), LONG).status, 503);
    log.wait_for_line(&["response ended", "txn=\"late\"", "status=503", "late_us="]);
}
