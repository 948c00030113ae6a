//! The platform around one router: workers, a discovery service and its configuration file.

use super::{instance, raw, DiscoveryService, Worker, WorkerEvent, WorkerLog};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Longer than any step of a test takes on a machine that is not stuck.
pub const LONG: Duration = Duration::from_secs(20);

/// Two prefill workers, two decode workers, a discovery service and the configuration of a router between them.
#[derive(Debug)]
pub struct Platform {
    pub worker_log: WorkerLog,
    pub prefill_workers: [Worker; 2],
    pub decode_workers: [Worker; 2],
    pub discovery: DiscoveryService,
    pub listen: SocketAddr,
    pub file: PathBuf,
    pub config: Value,
}

/// The settings of a small deployment with one class.
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

/// Returns an address that no other test uses: a port that was free a moment ago might be in use by now.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (process, test) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let octets = [127, 1 + (process / 250 % 250) as u8, 1 + (process % 250) as u8, (test % 250) as u8];
    SocketAddr::from((octets, 8080))
}

/// Creates a folder that no other test uses.
pub fn folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("gaparch-node-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("made");
    folder
}

/// Waits until a condition holds.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    let from = Instant::now();
    while !holds() {
        assert!(from.elapsed() < LONG, "never: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

impl Platform {
    pub fn new(change: impl FnOnce(&mut Value)) -> Platform {
        let worker_log = WorkerLog::default();
        let (reader, writer) = (Worker::prefill("r-1", &worker_log), Worker::decode("w-1", &worker_log));
        let prefill_workers = [reader.clone(), reader.with_same_script("r-2", &worker_log)];
        let decode_workers = [writer.clone(), writer.with_same_script("w-2", &worker_log)];
        let discovery = DiscoveryService::start(Platform::list(&prefill_workers, &decode_workers));
        let listen = own_address();
        let mut config = json!({"name": "n0", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
            "discovery": discovery.address.to_string(), "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
            "settings": settings()});
        change(&mut config);
        let file = folder().join("config.json");
        std::fs::write(&file, config.to_string()).expect("written");
        Platform { worker_log, prefill_workers, decode_workers, discovery, listen, file, config }
    }

    pub fn list(prefill_workers: &[Worker; 2], decode_workers: &[Worker; 2]) -> Vec<Value> {
        let prefill_workers = prefill_workers.iter().map(|w| instance(w, "prefill", "ready"));
        prefill_workers.chain(decode_workers.iter().map(|w| instance(w, "decode", "ready"))).collect()
    }

    /// Returns the list with its decode workers draining.
    pub fn without_decode_workers(list: &[Value]) -> Vec<Value> {
        let mut list = list.to_vec();
        list[2..].iter_mut().for_each(|entry| entry["lifecycle"] = json!("draining"));
        list
    }

    /// Publishes a list, and waits until the router has received it.
    pub fn publish_list(&self, list: Vec<Value>) {
        let responses = self.discovery.responses();
        self.discovery.set_list(list);
        // The request after the response with the list shows that the router has read it.
        until("the router has received the list", || self.discovery.responses() > responses + 1);
    }

    /// Returns the status of the router's health check; 0 if there is no response.
    pub fn health(&self) -> u16 {
        raw(self.listen, b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", LONG).status
    }

    /// Sets the reply to the next decode request, whichever worker receives it.
    pub fn reply_to_next_decode(&self, steps: &[super::Step]) {
        self.decode_workers[0].reply_once(steps.to_vec());
    }

    /// Returns the number of decode requests with this id that workers have received.
    pub fn decode_requests(&self, txn: &str) -> usize {
        self.worker_log.requests().iter().filter(|(worker, id)| worker.starts_with("w-") && id == txn).count()
    }

    /// Whether a worker has received a release for this id.
    pub fn is_released(&self, txn: &str) -> bool {
        self.worker_log
            .events()
            .iter()
            .any(|event| matches!(event, WorkerEvent::Released { txn: id, .. } if id == txn))
    }

    /// Asserts that no worker received an attempt while another one of the same request was in flight.
    pub fn assert_no_second_copies(&self) {
        let copies = self
            .worker_log
            .events()
            .into_iter()
            .filter(|event| matches!(event, WorkerEvent::SecondCopy { .. }));
        assert_eq!(copies.collect::<Vec<_>>(), vec![]);
    }
}
