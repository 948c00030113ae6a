//! The reported cause when a request is given up, and the reported reason why a server is avoided.

mod common;

use common::*;
use gaparch_scheduler::api::*;
use gaparch_scheduler::view::AvoidReason;

fn while_queued(reason: GiveUpReason, queueing_reason: QueueingReason) -> Option<GiveUpCause> {
    Some(GiveUpCause { reason, queueing_reason: Some(queueing_reason) })
}

#[test]
fn a_queued_request_is_given_up_with_its_queueing_reason() {
    for (endpoints, queueing_reason) in [
        (vec![endpoint(1, 0, 0)], QueueingReason::NoDecodeWorker),
        (vec![endpoint(11, 1, 0)], QueueingReason::NoPrefillWorker),
    ] {
        let mut r = Router::new(settings(), endpoints);
        r.submit(1);
        assert_eq!(
            give_up_cause(&r.advance(1100 * MS), 1),
            while_queued(GiveUpReason::ObjectiveMissed, queueing_reason)
        );
    }
    // The only decode worker reported that its KV cache is nearly full.
    let mut r = Router::new(settings(), vec![endpoint(1, 0, 0), endpoint(11, 1, 0)]);
    let report = LoadReport { memory_utilization: Some(0.99), ..LoadReport::default() };
    r.handle(Event::ProbeFinished {
        server: ServerId(11),
        status: AttemptStatus::Ok,
        latency: MS,
        report: Some(report),
    });
    r.submit(1);
    assert_eq!(
        give_up_cause(&r.advance(1100 * MS), 1),
        while_queued(GiveUpReason::ObjectiveMissed, QueueingReason::DecodeWorkersSaturated)
    );
}

#[test]
fn a_request_over_quota_is_given_up_as_over_quota_where_decode_workers_are_saturated() {
    let tenants = vec![Tenant { quota_share: 1.0, quota_per_second: 1.0 }];
    let mut r = Router::new(Settings { tenants, ..settings() }, vec![endpoint(1, 0, 0), endpoint(11, 1, 0)]);
    let report = LoadReport { memory_utilization: Some(0.99), ..LoadReport::default() };
    r.handle(Event::ProbeFinished {
        server: ServerId(11),
        status: AttemptStatus::Ok,
        latency: MS,
        report: Some(report),
    });
    for id in 1..6 {
        let request = Request { tenant: Some(TenantId(0)), ..r.request(id) };
        r.handle(Event::RequestArrived(request));
    }
    let actions = r.advance(1100 * MS);
    assert_eq!(
        give_up_cause(&actions, 1),
        while_queued(GiveUpReason::ObjectiveMissed, QueueingReason::DecodeWorkersSaturated)
    );
    assert_eq!(
        give_up_cause(&actions, 5),
        while_queued(GiveUpReason::ObjectiveMissed, QueueingReason::OverQuota)
    );
}

#[test]
fn a_changed_quota_applies_from_then_on() {
    let tenants = vec![Tenant { quota_share: 1.0, quota_per_second: 0.5 }];
    let mut r = Router::new(Settings { tenants, ..settings() }, vec![endpoint(1, 0, 0), endpoint(11, 1, 0)]);
    let report = LoadReport { memory_utilization: Some(0.99), ..LoadReport::default() };
    r.handle(Event::ProbeFinished {
        server: ServerId(11),
        status: AttemptStatus::Ok,
        latency: MS,
        report: Some(report),
    });
    r.handle(Event::QuotaChanged { tenant: TenantId(0), quota_per_second: 1000.0 });
    r.handle(Event::QuotaChanged { tenant: TenantId(0), quota_per_second: f64::NAN });
    for id in 1..6 {
        let request = Request { tenant: Some(TenantId(0)), ..r.request(id) };
        r.handle(Event::RequestArrived(request));
    }
    // It would be over the old quota; the quota that is not a number was ignored.
    assert_eq!(
        give_up_cause(&r.advance(1100 * MS), 5),
        while_queued(GiveUpReason::ObjectiveMissed, QueueingReason::DecodeWorkersSaturated)
    );
}

#[test]
fn a_tenants_part_of_the_quota_follows_the_last_announced_number_of_routers() {
    let tenants = vec![Tenant { quota_share: 1.0, quota_per_second: 10.0 }];
    for (announced_counts, queueing_reason) in [
        (vec![], QueueingReason::DecodeWorkersSaturated),
        (vec![100], QueueingReason::OverQuota),
        (vec![100, 1], QueueingReason::DecodeWorkersSaturated),
    ] {
        let mut r = Router::new(
            Settings { tenants: tenants.clone(), ..settings() },
            vec![endpoint(1, 0, 0), endpoint(11, 1, 0)],
        );
        let report = LoadReport { memory_utilization: Some(0.99), ..LoadReport::default() };
        r.handle(Event::ProbeFinished {
            server: ServerId(11),
            status: AttemptStatus::Ok,
            latency: MS,
            report: Some(report),
        });
        announced_counts.into_iter().for_each(|routers| drop(r.handle(Event::RouterCountChanged(routers))));
        for id in 1..6 {
            let request = Request { tenant: Some(TenantId(0)), ..r.request(id) };
            r.handle(Event::RequestArrived(request));
        }
        assert_eq!(
            give_up_cause(&r.advance(1100 * MS), 5),
            while_queued(GiveUpReason::ObjectiveMissed, queueing_reason)
        );
    }
}

#[test]
fn exhausted_attempts_and_a_request_that_may_have_run_have_different_reasons() {
    let settings = Settings { max_attempts: 2, ..settings() };
    let mut r = Router::new(settings.clone(), two_cells());
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    let actions = r.finish_attempt(1, prefill_worker, AttemptStatus::Error);
    assert_eq!(give_up_cause(&actions, 1), Some(GiveUpReason::AttemptsExhausted.into()));
    let classes = vec![class(Idempotency::NotIdempotent, DeduplicationScope::All)];
    let mut r = Router::new(Settings { classes, ..settings }, two_cells());
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    let decode_worker =
        sent_to(&r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled)).expect("a decode is sent");
    let actions = r.finish_attempt(1, decode_worker, AttemptStatus::Error);
    assert!(is_failed(&actions, 1));
    assert_eq!(give_up_cause(&actions, 1), Some(GiveUpReason::MayHaveRun.into()));
}

#[test]
fn a_view_states_why_a_server_is_avoided() {
    let mut r = Router::new(settings(), two_cells());
    let view =
        |r: &Router, id| r.policy.views().find(|v| v.server == ServerId(id)).expect("the server is listed");
    assert_eq!(view(&r, 1).avoid_reason, None);
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    assert_eq!(view(&r, prefill_worker).awaiting_first_token, 1);
    r.finish_attempt(1, prefill_worker, AttemptStatus::Error);
    assert!(matches!(view(&r, prefill_worker).avoid_reason, Some(AvoidReason::Ejected { .. })));
    r.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { state: ServerState::Draining, ..endpoint(11, 1, 0) }],
    );
    assert_eq!(view(&r, 11).avoid_reason, Some(AvoidReason::NotReady));
    let prefill_worker = sent_to(&r.submit(2)).expect("a prefill is sent");
    r.finish_attempt(2, prefill_worker, AttemptStatus::ConnectFailed);
    assert_eq!(view(&r, prefill_worker).avoid_reason, Some(AvoidReason::Unreachable));
    r.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { started_at: Some(r.now), ..endpoint(12, 1, 1) }],
    );
    assert_eq!(view(&r, 12).avoid_reason, Some(AvoidReason::WarmingUp));
    assert!(view(&r, 12).slow_start_budget.is_some_and(|left| left < 0.0));
}
