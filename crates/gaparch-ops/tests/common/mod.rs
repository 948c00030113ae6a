//! Builders for orders, site statuses and outcomes.
#![allow(dead_code)]

use gaparch_ops::{EngineStatus, OrderDenied, OrderRegistry, SiteStatus, SECOND};
use gaparch_protocol::ops::intent::{Change, DrainMode, LimitView};
use gaparch_protocol::ops::outcome::{
    AttemptEnd, AttemptRecord, EngineEvidence, GlobalRequestId, OutcomeCause, OutcomeKind, QueueingReason,
    RequestOutcome, Stage,
};
use gaparch_protocol::ops::view::EngineRole;
use gaparch_protocol::ops::Order;

pub fn order(change: Change) -> Order {
    Order { change, reason: "a test".to_owned(), force: false, revision: None }
}

pub fn drain(engine: &str) -> Order {
    order(Change::Drain { engine: engine.to_owned(), mode: DrainMode::Drain })
}

pub fn undrain(engine: &str) -> Order {
    order(Change::Undrain { engine: engine.to_owned() })
}

/// A site with prefill workers `r0`, `r1`, ... and decode workers `w0`, `w1`, ..., all of which accept
/// requests.
pub fn site(prefill_workers: usize, decode_workers: usize) -> SiteStatus {
    let engine = |role, name: String| EngineStatus {
        name,
        role,
        accepts_requests: true,
        awaiting_first_token: 2,
        streaming: 3,
    };
    let prefill_workers = (0..prefill_workers).map(|n| engine(EngineRole::Prefill, format!("r{n}")));
    let decode_workers = (0..decode_workers).map(|n| engine(EngineRole::Decode, format!("w{n}")));
    let limit = |name: &str, value| LimitView {
        name: name.to_owned(),
        value,
        configured_value: value,
        min: 1.0,
        max: 1000.0,
        unit: "requests".to_owned(),
    };
    let limits = vec![limit("open-requests", 100.0), limit("tenant.app.requests-per-second", 20.0)];
    SiteStatus {
        engines: prefill_workers.chain(decode_workers).collect(),
        queued: 12,
        prefilling: 3,
        decode_workers_can_prefill: false,
        limits,
    }
}

/// Marks the engines that are drained in the registry as not accepting requests.
pub fn apply_drains(mut site: SiteStatus, registry: &OrderRegistry) -> SiteStatus {
    for engine in &mut site.engines {
        engine.accepts_requests = registry.drain(&engine.name).is_none();
    }
    site
}

/// Carries out orders one after the other, each with the engines that the earlier ones have left.
pub fn carry_out(
    registry: &mut OrderRegistry,
    site: &SiteStatus,
    orders: &[Order],
) -> Vec<Result<String, OrderDenied>> {
    let mut results = Vec::new();
    for (n, order) in orders.iter().enumerate() {
        let current_site = apply_drains(site.clone(), registry);
        let result = registry.propose(order, "someone", n as u64 * SECOND, &current_site);
        results.push(result.map(|proposed| {
            registry.apply(proposed.change);
            proposed.effect
        }));
    }
    results
}

pub fn evidence(engines: usize, avoid_reason: &str) -> Vec<EngineEvidence> {
    let evidence_of = |n| EngineEvidence {
        engine: format!("w{n}"),
        avoid_reason: avoid_reason.to_owned(),
        memory_utilization: 0.9,
        queued_prompt_tokens: 0.0,
        latency_ratio: 1.0,
    };
    (0..engines).map(evidence_of).collect()
}

/// A request with this fingerprint that was received at this second and rejected one second later.
pub fn rejection(number: u64, second: u64, fingerprint: u64) -> RequestOutcome {
    let request = GlobalRequestId { run: 7, number };
    let (received_at, ended_at) = (second * SECOND, (second + 1) * SECOND);
    RequestOutcome {
        class: "question".to_owned(),
        tenant: "app".to_owned(),
        queueing_reason: Some(QueueingReason::DecodeWorkersSaturated),
        retry_after_ms: Some(1000),
        attempts: vec![AttemptRecord {
            engine: "r0".to_owned(),
            stage: Stage::Prefill,
            sent_after_us: 10,
            took_us: 20,
            end: AttemptEnd::Error,
        }],
        evidence: evidence(4, "full"),
        fingerprint,
        ..RequestOutcome::without_details(
            request,
            received_at,
            ended_at,
            OutcomeKind::Rejected,
            OutcomeCause::ObjectiveMissed,
        )
    }
}

/// The same request, but served.
pub fn served(number: u64, second: u64, fingerprint: u64) -> RequestOutcome {
    RequestOutcome {
        kind: OutcomeKind::Served,
        cause: OutcomeCause::Answered,
        queueing_reason: None,
        tokens: 20,
        evidence: Vec::new(),
        ..rejection(number, second, fingerprint)
    }
}
