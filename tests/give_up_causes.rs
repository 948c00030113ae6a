//! Why a request is given up, and how the module shows what it thinks of a server.

mod common;

use common::*;
use gaparch_scheduler::api::*;
use gaparch_scheduler::view::AvoidReason;

fn held(reason: GiveUpReason, by: QueueingReason) -> Option<GiveUpCause> {
    Some(GiveUpCause { reason, queueing_reason: Some(by) })
}

#[test]
fn a_queued_request_says_what_it_waited_for() {
    for (engines, by) in [
        (vec![entry(1, 0, 0)], QueueingReason::NoDecodeWorker),
        (vec![entry(11, 1, 0)], QueueingReason::NoPrefillWorker),
    ] {
        let mut r = Router::new(settings(), engines);
        r.ask(1);
        assert_eq!(why(&r.pass(1100 * MS), 1), held(GiveUpReason::ObjectiveMissed, by));
    }
    // Its decode worker says that it is full, again and again.
    let mut r = Router::new(settings(), vec![entry(1, 0, 0), entry(11, 1, 0)]);
    let report = LoadReport { memory_utilization: Some(0.99), ..LoadReport::default() };
    r.event(Event::ProbeFinished {
        server: ServerId(11),
        status: AttemptStatus::Ok,
        latency: MS,
        report: Some(report),
    });
    r.ask(1);
    assert_eq!(
        why(&r.pass(1100 * MS), 1),
        held(GiveUpReason::ObjectiveMissed, QueueingReason::DecodeWorkersSaturated)
    );
}

#[test]
fn one_over_its_share_says_so_where_there_is_no_capacity_for_all() {
    let tenants = vec![Tenant { quota_share: 1.0, quota_per_second: 1.0 }];
    let mut r = Router::new(Settings { tenants, ..settings() }, vec![entry(1, 0, 0), entry(11, 1, 0)]);
    let report = LoadReport { memory_utilization: Some(0.99), ..LoadReport::default() };
    r.event(Event::ProbeFinished {
        server: ServerId(11),
        status: AttemptStatus::Ok,
        latency: MS,
        report: Some(report),
    });
    for id in 1..6 {
        let request = Request { tenant: Some(TenantId(0)), ..r.request(id) };
        r.event(Event::RequestArrived(request));
    }
    let done = r.pass(1100 * MS);
    assert_eq!(why(&done, 1), held(GiveUpReason::ObjectiveMissed, QueueingReason::DecodeWorkersSaturated));
    assert_eq!(why(&done, 5), held(GiveUpReason::ObjectiveMissed, QueueingReason::OverQuota));
}

#[test]
fn a_quota_told_later_counts_from_then_on() {
    let tenants = vec![Tenant { quota_share: 1.0, quota_per_second: 0.5 }];
    let mut r = Router::new(Settings { tenants, ..settings() }, vec![entry(1, 0, 0), entry(11, 1, 0)]);
    let report = LoadReport { memory_utilization: Some(0.99), ..LoadReport::default() };
    r.event(Event::ProbeFinished {
        server: ServerId(11),
        status: AttemptStatus::Ok,
        latency: MS,
        report: Some(report),
    });
    r.event(Event::QuotaChanged { tenant: TenantId(0), quota_per_second: 1000.0 });
    r.event(Event::QuotaChanged { tenant: TenantId(0), quota_per_second: f64::NAN });
    for id in 1..6 {
        let request = Request { tenant: Some(TenantId(0)), ..r.request(id) };
        r.event(Event::RequestArrived(request));
    }
    // By the old one it would be over its share.
    assert_eq!(
        why(&r.pass(1100 * MS), 5),
        held(GiveUpReason::ObjectiveMissed, QueueingReason::DecodeWorkersSaturated)
    );
}

#[test]
fn a_tenants_part_follows_the_number_of_routers_told_last() {
    let tenants = vec![Tenant { quota_share: 1.0, quota_per_second: 10.0 }];
    for (told, by) in [
        (vec![], QueueingReason::DecodeWorkersSaturated),
        (vec![100], QueueingReason::OverQuota),
        (vec![100, 1], QueueingReason::DecodeWorkersSaturated),
    ] {
        let mut r = Router::new(
            Settings { tenants: tenants.clone(), ..settings() },
            vec![entry(1, 0, 0), entry(11, 1, 0)],
        );
        let report = LoadReport { memory_utilization: Some(0.99), ..LoadReport::default() };
        r.event(Event::ProbeFinished {
            server: ServerId(11),
            status: AttemptStatus::Ok,
            latency: MS,
            report: Some(report),
        });
        told.into_iter().for_each(|routers| drop(r.event(Event::RouterCountChanged(routers))));
        for id in 1..6 {
            let request = Request { tenant: Some(TenantId(0)), ..r.request(id) };
            r.event(Event::RequestArrived(request));
        }
        assert_eq!(why(&r.pass(1100 * MS), 5), held(GiveUpReason::ObjectiveMissed, by));
    }
}

#[test]
fn attempts_used_up_and_effects_that_may_have_been_are_told_apart() {
    let settings = Settings { max_attempts: 2, ..settings() };
    let mut r = Router::new(settings.clone(), pairs());
    let prefill_worker = sent_to(&r.ask(1)).expect("a read");
    let done = r.outcome(1, prefill_worker, AttemptStatus::Error);
    assert_eq!(why(&done, 1), Some(GiveUpReason::AttemptsExhausted.into()));
    let classes = vec![class(Idempotency::NotIdempotent, DeduplicationScope::All)];
    let mut r = Router::new(Settings { classes, ..settings }, pairs());
    let prefill_worker = sent_to(&r.ask(1)).expect("a read");
    let decode_worker = sent_to(&r.outcome(1, prefill_worker, AttemptStatus::Prefilled)).expect("a write");
    let done = r.outcome(1, decode_worker, AttemptStatus::Error);
    assert!(failed(&done, 1));
    assert_eq!(why(&done, 1), Some(GiveUpReason::MayHaveRun.into()));
}

#[test]
fn a_server_shows_why_it_is_avoided() {
    let mut r = Router::new(settings(), pairs());
    let seen = |r: &Router, id| r.policy.views().find(|v| v.server == ServerId(id)).expect("known");
    assert_eq!(seen(&r, 1).avoid_reason, None);
    let prefill_worker = sent_to(&r.ask(1)).expect("a read");
    assert_eq!(seen(&r, prefill_worker).awaiting_first_token, 1);
    r.outcome(1, prefill_worker, AttemptStatus::Error);
    assert!(matches!(seen(&r, prefill_worker).avoid_reason, Some(AvoidReason::Ejected { .. })));
    r.members(EndpointUpdate::Delta, vec![Endpoint { state: ServerState::Draining, ..entry(11, 1, 0) }]);
    assert_eq!(seen(&r, 11).avoid_reason, Some(AvoidReason::NotReady));
    let prefill_worker = sent_to(&r.ask(2)).expect("a read");
    r.outcome(2, prefill_worker, AttemptStatus::ConnectFailed);
    assert_eq!(seen(&r, prefill_worker).avoid_reason, Some(AvoidReason::Unreachable));
    r.members(EndpointUpdate::Delta, vec![Endpoint { started_at: Some(r.now), ..entry(12, 1, 1) }]);
    assert_eq!(seen(&r, 12).avoid_reason, Some(AvoidReason::WarmingUp));
    assert!(seen(&r, 12).slow_start_budget.is_some_and(|left| left < 0.0));
}
