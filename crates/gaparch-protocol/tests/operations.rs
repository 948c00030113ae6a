//! Round trips of the operations protocol and of stored records. Truncated, extended and arbitrary bytes are
//! rejected without a panic.

use bytes::BytesMut;
use gaparch_protocol::frame::encode;
use gaparch_protocol::ops::intent::{
    AcceptedChange, Change, ChangeNote, DrainMode, Intent, LimitView, Subject,
};
use gaparch_protocol::ops::outcome::{
    AttemptEnd, AttemptRecord, EngineEvidence, FollowUp, GlobalRequestId, OutcomeCause, OutcomeFilter,
    OutcomeGroup, OutcomeKind, QueueingReason, RequestOutcome, Stage, StoredOutcome,
};
use gaparch_protocol::ops::view::{
    AvoidReason, EngineRole, EngineState, EngineView, Event, PartialEjection, Phase, RequestView,
    RouterMetrics, Setting, Severity, Snapshot, TenantView,
};
use gaparch_protocol::ops::{
    from_bytes, to_bytes, Answer, DenyCode, OpsFrame, Order, Query, SessionRole, Update, MAX_QUERY_BYTES,
    VERSION,
};
use gaparch_protocol::{FrameDecoder, FrameError, Wire};
use proptest::prelude::*;
use proptest::sample::select;

fn text() -> impl Strategy<Value = String> {
    prop_oneof![8 => "[a-z0-9-]{0,12}", 1 => ".{0,40}"]
}

fn number() -> impl Strategy<Value = f64> {
    // Without NaN, which does not compare equal to itself. The codec does not validate numbers.
    prop_oneof![Just(0.0), -1e12..1e12, Just(f64::INFINITY)]
}

fn request_id() -> impl Strategy<Value = GlobalRequestId> {
    (any::<u64>(), any::<u64>()).prop_map(|(run, number)| GlobalRequestId { run, number })
}

fn note() -> impl Strategy<Value = ChangeNote> {
    (text(), text(), any::<u64>()).prop_map(|(operator, reason, at)| ChangeNote { operator, reason, at })
}

fn change() -> impl Strategy<Value = Change> {
    let mode = select(DrainMode::ALL);
    prop_oneof![
        (text(), mode).prop_map(|(engine, mode)| Change::Drain { engine, mode }),
        text().prop_map(|engine| Change::Undrain { engine }),
        Just(Change::Pause {}),
        Just(Change::Resume {}),
        (text(), proptest::option::of(number())).prop_map(|(name, value)| Change::SetLimit { name, value }),
        Just(Change::Stop {}),
    ]
}

fn order() -> impl Strategy<Value = Order> {
    let rest = (text(), any::<bool>(), proptest::option::of(any::<u64>()));
    (change(), rest).prop_map(|(change, (reason, force, revision))| Order { change, reason, force, revision })
}

fn intent() -> impl Strategy<Value = Intent> {
    let subject = prop_oneof![
        (text(), select(DrainMode::ALL)).prop_map(|(engine, mode)| Subject::Engine { engine, mode }),
        Just(Subject::Admission {}),
        (text(), number()).prop_map(|(name, value)| Subject::Limit { name, value }),
    ];
    let rest = (note(), any::<u64>(), any::<bool>());
    (subject, rest).prop_map(|(subject, (note, revision, persisted))| Intent {
        subject,
        note,
        revision,
        persisted,
    })
}

fn attempt() -> impl Strategy<Value = AttemptRecord> {
    let all = (text(), select(Stage::ALL), any::<u64>(), any::<u64>(), select(AttemptEnd::ALL));
    all.prop_map(|(engine, stage, sent_after_us, took_us, end)| AttemptRecord {
        engine,
        stage,
        sent_after_us,
        took_us,
        end,
    })
}

fn evidence() -> impl Strategy<Value = EngineEvidence> {
    (text(), text(), number(), number(), number()).prop_map(
        |(engine, avoid_reason, memory_utilization, queued_prompt_tokens, latency_ratio)| EngineEvidence {
            engine,
            avoid_reason,
            memory_utilization,
            queued_prompt_tokens,
            latency_ratio,
        },
    )
}

fn outcome() -> impl Strategy<Value = RequestOutcome> {
    let kinds = (
        select(OutcomeKind::ALL),
        select(OutcomeCause::ALL),
        proptest::option::of(select(QueueingReason::ALL)),
    );
    let times =
        (any::<u64>(), any::<u64>(), proptest::option::of(any::<u64>()), proptest::option::of(any::<u64>()));
    let lists = (proptest::collection::vec(attempt(), 0..4), proptest::collection::vec(evidence(), 0..4));
    let follow_up = proptest::option::of((any::<u64>(), request_id(), select(OutcomeKind::ALL)));
    let rest = (text(), text(), any::<u32>(), any::<u64>());
    (request_id(), kinds, times, lists, follow_up, rest).prop_map(
        |(request, kinds, times, lists, follow_up, rest)| RequestOutcome {
            request,
            received_at: times.0,
            ended_at: times.1,
            class: rest.0,
            tenant: rest.1,
            kind: kinds.0,
            cause: kinds.1,
            queueing_reason: kinds.2,
            retry_after_ms: times.2,
            first_token_after_us: times.3,
            tokens: rest.2,
            attempts: lists.0,
            evidence: lists.1,
            fingerprint: rest.3,
            follow_up: follow_up.map(|(received_at, request, kind)| FollowUp { received_at, request, kind }),
        },
    )
}

fn engine() -> impl Strategy<Value = EngineView> {
    let states = (select(EngineRole::ALL), select(EngineState::ALL), select(EngineState::ALL), any::<bool>());
    let avoid_reason = proptest::option::of(select(AvoidReason::ALL));
    let partial_ejections = (text(), text(), any::<u64>())
        .prop_map(|(class, tenant, until)| PartialEjection { class, tenant, until });
    let numbers =
        (number(), number(), proptest::option::of(number()), number(), proptest::option::of(number()));
    let counts = (any::<u32>(), any::<u32>(), any::<u64>(), proptest::option::of(any::<u64>()));
    (
        text(),
        text(),
        states,
        avoid_reason,
        proptest::collection::vec(partial_ejections, 0..3),
        numbers,
        counts,
    )
        .prop_map(|(name, address, states, avoid_reason, partial_ejections, numbers, counts)| {
            EngineView {
                name,
                role: states.0,
                zone: address.clone(),
                rack: String::new(),
                address,
                listed_state: states.1,
                state: states.2,
                connected: states.3,
                avoid_reason,
                partial_ejections,
                awaiting_first_token: counts.0,
                streaming: counts.1,
                queued_prompt_tokens: numbers.0,
                memory_utilization: numbers.1,
                reported_memory_utilization: numbers.2,
                latency_ratio: numbers.3,
                slow_start_budget: numbers.4,
                started_at: counts.3,
                last_response_at: counts.2,
                attempts: counts.2,
                failed: u64::from(counts.0),
                cancelled: u64::from(counts.1),
            }
        })
}

fn event() -> impl Strategy<Value = Event> {
    (any::<u64>(), select(Severity::ALL), proptest::option::of(text()), text())
        .prop_map(|(at, severity, engine, text)| Event { at, severity, engine, text })
}

fn open_request() -> impl Strategy<Value = RequestView> {
    let rest = (select(Phase::ALL), proptest::option::of(select(OutcomeKind::ALL)), any::<u32>());
    (request_id(), text(), proptest::collection::vec(attempt(), 0..3), rest).prop_map(
        |(request, class, attempts, rest)| RequestView {
            request,
            received_at: u64::from(rest.2),
            tenant: class.clone(),
            engine: class.clone(),
            class,
            phase: rest.0,
            kind: rest.1,
            tokens: rest.2,
            elapsed_us: 7,
            attempts,
        },
    )
}

fn snapshot() -> impl Strategy<Value = Snapshot> {
    let lists = (
        proptest::collection::vec(engine(), 0..4),
        proptest::collection::vec(intent(), 0..3),
        proptest::collection::vec(event(), 0..3),
    );
    (text(), any::<u64>(), lists, number()).prop_map(|(router, number, (engines, intents, events), value)| {
        Snapshot {
            run: number,
            revision: number,
            started_at: number,
            metrics: RouterMetrics {
                at: number,
                queued: 3,
                paused: number % 2 > 0,
                ..RouterMetrics::default()
            },
            engines,
            tenants: vec![TenantView {
                name: router.clone(),
                requests: number,
                quota_per_second: value,
                ..TenantView::default()
            }],
            intents,
            limits: vec![LimitView {
                name: router.clone(),
                value,
                configured_value: value,
                min: 0.0,
                max: value,
                unit: String::new(),
            }],
            events,
            settings: vec![Setting { name: router.clone(), value: router.clone() }],
            storage_error: router.clone(),
            router,
        }
    })
}

fn filter() -> impl Strategy<Value = OutcomeFilter> {
    let texts = (proptest::option::of(text()), proptest::option::of(text()), proptest::option::of(text()));
    (proptest::option::of(select(OutcomeCause::ALL)), texts, any::<u32>()).prop_map(|(cause, texts, max)| {
        OutcomeFilter {
            kind: Some(OutcomeKind::Rejected),
            cause,
            queueing_reason: Some(QueueingReason::OverQuota),
            class: texts.0,
            tenant: texts.1,
            engine: texts.2,
            since: Some(u64::from(max)),
            until: None,
            max,
        }
    })
}

fn frame() -> impl Strategy<Value = OpsFrame> {
    let query = prop_oneof![
        Just(Query::Snapshot {}),
        Just(Query::Subscribe {}),
        order().prop_map(|order| Query::Order { order }),
        filter().prop_map(|filter| Query::OutcomeGroups { filter }),
        filter().prop_map(|filter| Query::Outcomes { filter }),
        request_id().prop_map(|request| Query::RequestDetails { request }),
        (proptest::option::of(text()), any::<u64>(), any::<u32>())
            .prop_map(|(engine, since, max)| Query::Events { engine, since, max }),
    ];
    let group = (request_id(), any::<u64>(), text()).prop_map(|(example, count, class)| OutcomeGroup {
        kind: OutcomeKind::Failed,
        cause: OutcomeCause::StreamBroken,
        queueing_reason: None,
        tenant: class.clone(),
        class,
        count,
        first_at: 1,
        last_at: 2,
        retried: 3,
        served_on_retry: 4,
        example,
    });
    let answer = prop_oneof![
        snapshot().prop_map(|snapshot| Answer::Snapshot { snapshot: Box::new(snapshot) }),
        (any::<u64>(), text()).prop_map(|(revision, effect)| Answer::Done { revision, effect }),
        (select(DenyCode::ALL), text()).prop_map(|(code, message)| Answer::Denied { code, message }),
        proptest::collection::vec(group, 0..3).prop_map(|groups| Answer::OutcomeGroups { groups, total: 9 }),
        proptest::collection::vec(outcome(), 0..3)
            .prop_map(|outcomes| Answer::Outcomes { outcomes, total: 9 }),
        (proptest::option::of(outcome()), proptest::option::of(open_request())).prop_map(
            |(outcome, open)| {
                Answer::RequestDetails { outcome: outcome.map(Box::new), open: open.map(Box::new) }
            }
        ),
        proptest::collection::vec(intent(), 0..3).prop_map(|intents| Answer::Intents { intents }),
    ];
    let update = prop_oneof![
        proptest::collection::vec(engine(), 0..3).prop_map(|engines| Update::Engines { engines }),
        event().prop_map(|event| Update::Event { event }),
        outcome().prop_map(|outcome| Update::RequestEnded { outcome: Box::new(outcome) }),
        any::<u64>().prop_map(|updates| Update::Missed { updates }),
        snapshot().prop_map(|snapshot| Update::Resync { snapshot: Box::new(snapshot) }),
    ];
    prop_oneof![
        (proptest::option::of(text()), select(SessionRole::ALL), text())
            .prop_map(|(key, role, operator)| OpsFrame::Hello { version: VERSION, key, role, operator }),
        (any::<u32>(), query).prop_map(|(seq, query)| OpsFrame::Query { seq, query }),
        (any::<u32>(), answer).prop_map(|(seq, answer)| OpsFrame::Answer { seq, answer }),
        update.prop_map(OpsFrame::Update),
        text().prop_map(|reason| OpsFrame::Bye { reason }),
    ]
}

/// Asserts that the record is decoded from its bytes, and that truncated bytes and an additional byte are
/// rejected.
fn assert_exact_decoding<T: Wire + PartialEq + std::fmt::Debug>(record: &T) -> Result<(), TestCaseError> {
    let bytes = to_bytes(record);
    let decoded = from_bytes::<T>(&bytes);
    prop_assert_eq!(decoded.as_ref(), Some(record));
    for end in 0..bytes.len() {
        prop_assert!(from_bytes::<T>(&bytes[..end]).is_none(), "truncated at {}", end);
    }
    prop_assert!(from_bytes::<T>(&[&bytes[..], &[0]].concat()).is_none());
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn frames_round_trip_in_chunks_of_any_size(
        frames in proptest::collection::vec(frame(), 1..5),
        chunk_size in 1usize..200,
    ) {
        let mut bytes = BytesMut::new();
        frames.iter().for_each(|f| encode(f, &mut bytes));
        let mut decoder = FrameDecoder::new(1 << 20);
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(chunk_size) {
            decoder.buffer().extend_from_slice(chunk);
            while let Some(frame) = decoder.next_frame::<OpsFrame>().expect("valid frames") {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
    }

    #[test]
    fn truncated_or_extended_records_are_rejected(
        change in change(),
        note in note(),
        outcome in outcome(),
        event in event(),
    ) {
        assert_exact_decoding(&AcceptedChange { revision: 3, change, note })?;
        assert_exact_decoding(&event)?;
        assert_exact_decoding(&StoredOutcome::Outcome { outcome: Box::new(outcome) })?;
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic_or_large_allocation(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let mut decoder = FrameDecoder::new(MAX_QUERY_BYTES);
        decoder.buffer().extend_from_slice(&bytes);
        while let Ok(Some(_)) = decoder.next_frame::<OpsFrame>() {}
        let _ = from_bytes::<Snapshot>(&bytes);
        let _ = from_bytes::<StoredOutcome>(&bytes);
        let _ = from_bytes::<Vec<u64>>(&bytes);
    }
}

#[test]
fn a_hello_of_another_version_is_decoded_and_an_oversized_frame_is_rejected() {
    let mut decoder = FrameDecoder::new(MAX_QUERY_BYTES);
    decoder.buffer().extend_from_slice(&[0, 0, 0, 6, 1, 0, 9, 1, 2, 3]);
    let hello = decoder.next_frame::<OpsFrame>().expect("a valid frame");
    assert!(matches!(hello, Some(OpsFrame::Hello { version: 9, .. })), "{hello:?}");
    decoder.buffer().extend_from_slice(&[0x40, 0, 0, 0, 1]);
    let oversized = decoder.next_frame::<OpsFrame>();
    assert!(matches!(oversized, Err(FrameError::Oversized { max: MAX_QUERY_BYTES, .. })), "{oversized:?}");
}

#[test]
fn names_of_causes_are_unique_and_request_ids_round_trip() {
    for cause in OutcomeCause::ALL {
        assert_eq!(OutcomeCause::from_name(cause.name()), Some(*cause));
        assert_eq!(OutcomeCause::ALL.iter().filter(|c| c.name() == cause.name()).count(), 1);
    }
    let id = GlobalRequestId { run: 0x18a2b3, number: 42 };
    assert_eq!((id.to_string().as_str(), "msg_18a2b3_42".parse()), ("msg_18a2b3_42", Ok(id)));
    for invalid in ["", "42", "msg_x_1", "msg_1", "msg_1_x"] {
        assert!(invalid.parse::<GlobalRequestId>().is_err(), "{invalid}");
    }
}
