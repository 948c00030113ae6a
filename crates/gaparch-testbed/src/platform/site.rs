//! The platform around one router: workers, a catalogue and its configuration file.

use super::{instance, raw, Catalogue, Floor, Seen, Worker};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Far beyond what anything here takes on a machine that is not stuck.
pub const LONG: Duration = Duration::from_secs(20);

/// Two readers, two writers, a catalogue and the configuration of a router between them.
#[derive(Debug)]
pub struct Platform {
    pub floor: Floor,
    pub readers: [Worker; 2],
    pub writers: [Worker; 2],
    pub catalogue: Catalogue,
    pub listen: SocketAddr,
    pub file: PathBuf,
    pub config: Value,
}

/// Settings of a small deployment with one class.
pub fn settings() -> Value {
    json!({
        "me": 0, "replicasOfMe": 1, "stepNs": 2_000_000, "zone": "a", "zones": ["a"],
        "flavors": ["prefill", "decode"], "discovery": "push",
        "services": [{"name": "chat", "idempotency": "free", "aimNs": 4_000_000_000u64, "streamed": true,
            "deadlineNs": 5_000_000_000u64, "worth": 1.0, "lateShare": 0.1}],
        "tenants": [{"name": "acme", "fraction": 1.0, "quotaPerS": 1000.0}],
        "caps": {"cancel": true, "connectTimeoutNs": 250_000_000, "idleCloseNs": 30_000_000_000u64,
            "maxAttempts": 5, "mayDuplicate": false, "peers": false, "probes": true, "retryAfter": true,
            "maxRetryAfterNs": 1_500_000_000},
        "rules": {"answerSlackNs": 8_000_000, "coldFrom": 0.5, "rampTimeNs": 1_000_000_000,
            "overloadFactor": 2.5, "overloadForNs": 2_000_000_000u64, "stopSendingWithinNs": 500_000_000},
        "familyInfo": {"ahead": true, "resume": false, "selfPrefill": false, "releaseWithinNs": 500_000_000,
            "roleByKind": ["read", "write"], "tokensByKind": [200_000, 200_000],
            "tokenAimNs": [50_000_000], "aimUsPer1000PromptTokens": [60_000.0]},
        "fees": {"probe": 0.001, "peer": 0.001}
    })
}

/// An address of this test alone: a port that was free a moment ago could be another test's by now.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (process, test) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let octets = [127, 1 + (process / 250 % 250) as u8, 1 + (process % 250) as u8, (test % 250) as u8];
    SocketAddr::from((octets, 8080))
}

/// A new folder of this test alone.
pub fn folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("gaparch-node-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("made");
    folder
}

/// Waits until something holds.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    let from = Instant::now();
    while !holds() {
        assert!(from.elapsed() < LONG, "never: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

impl Platform {
    pub fn new(change: impl FnOnce(&mut Value)) -> Platform {
        let floor = Floor::default();
        let (reader, writer) = (Worker::reader("r-1", &floor), Worker::writer("w-1", &floor));
        let readers = [reader.clone(), reader.twin("r-2", &floor)];
        let writers = [writer.clone(), writer.twin("w-2", &floor)];
        let catalogue = Catalogue::start(Platform::list(&readers, &writers));
        let listen = own_address();
        let mut config = json!({"name": "n0", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
            "discovery": catalogue.address.to_string(), "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
            "settings": settings()});
        change(&mut config);
        let file = folder().join("config.json");
        std::fs::write(&file, config.to_string()).expect("written");
        Platform { floor, readers, writers, catalogue, listen, file, config }
    }

    pub fn list(readers: &[Worker; 2], writers: &[Worker; 2]) -> Vec<Value> {
        let readers = readers.iter().map(|w| instance(w, "prefill", "ready"));
        readers.chain(writers.iter().map(|w| instance(w, "decode", "ready"))).collect()
    }

    /// The same with its writers drained.
    pub fn without_writers(list: &[Value]) -> Vec<Value> {
        let mut list = list.to_vec();
        list[2..].iter_mut().for_each(|entry| entry["lifecycle"] = json!("draining"));
        list
    }

    /// Lists this, and waits until the router has heard of it.
    pub fn tell(&self, list: Vec<Value>) {
        let calls = self.catalogue.calls();
        self.catalogue.set(list);
        until("the list is told", || self.catalogue.calls() > calls + 1);
    }

    /// What the router's own readiness call answers; 0: nothing.
    pub fn health(&self) -> u16 {
        raw(self.listen, b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", LONG).status
    }

    /// The next write gets this, whichever writer is asked.
    pub fn next_write(&self, steps: &[super::Step]) {
        self.writers[0].then(steps.to_vec());
    }

    pub fn writes(&self, txn: &str) -> usize {
        self.floor.asked().iter().filter(|(worker, of)| worker.starts_with("w-") && of == txn).count()
    }

    pub fn released(&self, txn: &str) -> bool {
        self.floor.seen().iter().any(|s| matches!(s, Seen::Released { txn: of, .. } if of == txn))
    }

    pub fn no_second_copies(&self) {
        let copies = self.floor.seen().into_iter().filter(|s| matches!(s, Seen::SecondCopy { .. }));
        assert_eq!(copies.collect::<Vec<_>>(), vec![]);
    }
}
