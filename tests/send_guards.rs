//! Tests of the send guards, one rule after the other.

use gaparch_scheduler::api::{
    AttemptStatus, CellId, DeduplicationScope, Idempotency, Nanos, TrafficClass, ZoneId,
};
use gaparch_scheduler::policy::send_guards::{may_reject, may_send, Denial, Denials, Repeat, SendFacts};
use gaparch_scheduler::state::MayHaveRun;

const NOW: Nanos = 1_000_000;

fn class(idempotency: Idempotency, scope: DeduplicationScope) -> TrafficClass {
    TrafficClass {
        idempotency,
        deduplication_scope: scope,
        deduplication_window: 500,
        latency_objective: 0,
        latency_objective_per_prompt_token: 0.0,
        deadline: 0,
        token_latency_objective: 0,
        priority_weight: 1.0,
        late_priority_weight: 0.0,
        streamed: true,
    }
}

fn allowed_send() -> SendFacts<'static> {
    SendFacts {
        now: NOW,
        deadline_at: NOW + 1,
        send_by: NOW + 1,
        answered: false,
        client_disconnected: false,
        attempt_in_flight: false,
        attempts_exhausted: false,
        server_ready: true,
        repeat: None,
    }
}

#[test]
fn each_rule_denies_a_send_by_itself() {
    assert_eq!(may_send(&allowed_send()), Ok(()));
    let denied = [
        (SendFacts { answered: true, ..allowed_send() }, Denial::Answered),
        (SendFacts { client_disconnected: true, ..allowed_send() }, Denial::ClientDisconnected),
        (SendFacts { deadline_at: NOW, ..allowed_send() }, Denial::DeadlineExceeded),
        (SendFacts { attempt_in_flight: true, ..allowed_send() }, Denial::AttemptInFlight),
        (SendFacts { attempts_exhausted: true, ..allowed_send() }, Denial::AttemptsExhausted),
        (SendFacts { send_by: NOW, ..allowed_send() }, Denial::TooLate),
        (SendFacts { server_ready: false, ..allowed_send() }, Denial::ServerNotReady),
    ];
    for (facts, denial) in denied {
        assert_eq!(may_send(&facts), Err(denial));
        // A server that is not ready does not end the request; every other denial does.
        assert_eq!(denial.status() == AttemptStatus::ConnectFailed, denial == Denial::ServerNotReady);
    }
}

#[test]
fn a_repeat_is_allowed_only_in_the_deduplication_domain_and_within_the_window() {
    let ran = MayHaveRun { zone: Some(ZoneId(1)), cell: Some(CellId(7)), at: NOW - 100 };
    let may_repeat_in = |idempotency, scope, zone: usize, cell: u64, age: Nanos| {
        let class = class(idempotency, scope);
        let (zone, cell) = (Some(ZoneId(zone)), Some(CellId(cell)));
        let ran = MayHaveRun { at: NOW - age, ..ran };
        let repeat = Some(Repeat { class: &class, ran, zone, cell });
        may_send(&SendFacts { repeat, ..allowed_send() }).is_ok()
    };
    assert!(may_repeat_in(Idempotency::Idempotent, DeduplicationScope::Cell, 2, 8, 10_000));
    assert!(!may_repeat_in(Idempotency::NotIdempotent, DeduplicationScope::All, 1, 7, 0));
    assert!(
        may_repeat_in(Idempotency::WithKey, DeduplicationScope::All, 2, 8, 499)
            && !may_repeat_in(Idempotency::WithKey, DeduplicationScope::All, 1, 7, 500)
    );
    assert!(
        may_repeat_in(Idempotency::WithKey, DeduplicationScope::Zone, 1, 8, 0)
            && !may_repeat_in(Idempotency::WithKey, DeduplicationScope::Zone, 2, 7, 0)
    );
    assert!(
        may_repeat_in(Idempotency::WithKey, DeduplicationScope::Cell, 2, 7, 0)
            && !may_repeat_in(Idempotency::WithKey, DeduplicationScope::Cell, 1, 8, 0)
    );
    // The deduplication domain that it ran in is not known.
    let class = class(Idempotency::WithKey, DeduplicationScope::Cell);
    let ran = MayHaveRun { cell: None, ..ran };
    let repeat = Some(Repeat { class: &class, ran, zone: None, cell: None });
    assert_eq!(may_send(&SendFacts { repeat, ..allowed_send() }), Err(Denial::MayHaveRun));
}

#[test]
fn a_request_is_rejected_only_if_a_retry_is_harmless() {
    for (idempotency, scope, is_harmless_after_a_run) in [
        (Idempotency::Idempotent, DeduplicationScope::Cell, true),
        (Idempotency::WithKey, DeduplicationScope::All, true),
        (Idempotency::WithKey, DeduplicationScope::Zone, false),
        (Idempotency::WithKey, DeduplicationScope::Cell, false),
        (Idempotency::NotIdempotent, DeduplicationScope::All, false),
    ] {
        let class = class(idempotency, scope);
        assert!(may_reject(&class, false).is_ok());
        assert_eq!(may_reject(&class, true).is_ok(), is_harmless_after_a_run, "{idempotency:?} {scope:?}");
    }
}

#[test]
fn denials_are_counted_by_reason_and_printed_by_name() {
    let mut denials = Denials::default();
    assert_eq!(denials.to_string(), "");
    denials.count(Denial::ServerNotReady);
    denials.count(Denial::ServerNotReady);
    denials.count(Denial::AttemptInFlight);
    let total: u64 = Denial::ALL.into_iter().map(|denial| denials.count_of(denial)).sum();
    assert_eq!((total, denials.count_of(Denial::ServerNotReady)), (3, 2));
    assert_eq!(denials.to_string(), "another_out=1,not_ready=2");
}
