//! The rules as one place decides them, one after the other.

use gaparch_scheduler::api::{
    AttemptStatus, CellId, DeduplicationScope, Idempotency, Nanos, TrafficClass, ZoneId,
};
use gaparch_scheduler::policy::send_guards::{may_reject, may_send, Denial, Denials, Repeat, SendFacts};
use gaparch_scheduler::state::MayHaveRun;

const NOW: Nanos = 1_000_000;

fn class(effect: Idempotency, group: DeduplicationScope) -> TrafficClass {
    TrafficClass {
        idempotency: effect,
        deduplication_scope: group,
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

fn allowed() -> SendFacts<'static> {
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
    assert_eq!(may_send(&allowed()), Ok(()));
    let denied = [
        (SendFacts { answered: true, ..allowed() }, Denial::Answered),
        (SendFacts { client_disconnected: true, ..allowed() }, Denial::ClientDisconnected),
        (SendFacts { deadline_at: NOW, ..allowed() }, Denial::DeadlineExceeded),
        (SendFacts { attempt_in_flight: true, ..allowed() }, Denial::AttemptInFlight),
        (SendFacts { attempts_exhausted: true, ..allowed() }, Denial::AttemptsExhausted),
        (SendFacts { send_by: NOW, ..allowed() }, Denial::TooLate),
        (SendFacts { server_ready: false, ..allowed() }, Denial::ServerNotReady),
    ];
    for (facts, denial) in denied {
        assert_eq!(may_send(&facts), Err(denial));
        // A drained worker is no reason to end the request, the others are.
        assert_eq!(denial.status() == AttemptStatus::ConnectFailed, denial == Denial::ServerNotReady);
    }
}

#[test]
fn a_repeat_goes_only_where_and_while_it_is_dropped() {
    let ran = MayHaveRun { zone: Some(ZoneId(1)), cell: Some(CellId(7)), at: NOW - 100 };
    let goes = |effect, group, zone: usize, cell: u64, passed: Nanos| {
        let class = class(effect, group);
        let (zone, cell) = (Some(ZoneId(zone)), Some(CellId(cell)));
        let ran = MayHaveRun { at: NOW - passed, ..ran };
        let repeat = Some(Repeat { class: &class, ran, zone, cell });
        may_send(&SendFacts { repeat, ..allowed() }).is_ok()
    };
    assert!(goes(Idempotency::Idempotent, DeduplicationScope::Cell, 2, 8, 10_000));
    assert!(!goes(Idempotency::NotIdempotent, DeduplicationScope::All, 1, 7, 0));
    assert!(
        goes(Idempotency::WithKey, DeduplicationScope::All, 2, 8, 499)
            && !goes(Idempotency::WithKey, DeduplicationScope::All, 1, 7, 500)
    );
    assert!(
        goes(Idempotency::WithKey, DeduplicationScope::Zone, 1, 8, 0)
            && !goes(Idempotency::WithKey, DeduplicationScope::Zone, 2, 7, 0)
    );
    assert!(
        goes(Idempotency::WithKey, DeduplicationScope::Cell, 2, 7, 0)
            && !goes(Idempotency::WithKey, DeduplicationScope::Cell, 1, 8, 0)
    );
    // Nobody knows which group it ran in.
    let class = class(Idempotency::WithKey, DeduplicationScope::Cell);
    let ran = MayHaveRun { cell: None, ..ran };
    let repeat = Some(Repeat { class: &class, ran, zone: None, cell: None });
    assert_eq!(may_send(&SendFacts { repeat, ..allowed() }), Err(Denial::MayHaveRun));
}

#[test]
fn a_rejection_promises_only_what_holds() {
    for (effect, group, harmless_after_a_run) in [
        (Idempotency::Idempotent, DeduplicationScope::Cell, true),
        (Idempotency::WithKey, DeduplicationScope::All, true),
        (Idempotency::WithKey, DeduplicationScope::Zone, false),
        (Idempotency::WithKey, DeduplicationScope::Cell, false),
        (Idempotency::NotIdempotent, DeduplicationScope::All, false),
    ] {
        let class = class(effect, group);
        assert!(may_reject(&class, false).is_ok());
        assert_eq!(may_reject(&class, true).is_ok(), harmless_after_a_run, "{effect:?} {group:?}");
    }
}

#[test]
fn denials_are_counted_by_reason_and_told_by_name() {
    let mut denials = Denials::default();
    assert_eq!(denials.to_string(), "");
    denials.count(Denial::ServerNotReady);
    denials.count(Denial::ServerNotReady);
    denials.count(Denial::AttemptInFlight);
    let total: u64 = Denial::ALL.into_iter().map(|denial| denials.count_of(denial)).sum();
    assert_eq!((total, denials.count_of(Denial::ServerNotReady)), (3, 2));
    assert_eq!(denials.to_string(), "another_out=1,not_ready=2");
}
