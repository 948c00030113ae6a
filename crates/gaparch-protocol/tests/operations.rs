//! The operations protocol and the records on disk: what is written is read, what is not whole is refused.

use bytes::BytesMut;
use gaparch_protocol::frame::encode;
use gaparch_protocol::ops::ending::{
    Cause, EndKind, Ending, EndingFilter, Evidence, FollowUp, Group, Kept, RequestName, Stage, Step, StepEnd,
    WaitedFor,
};
use gaparch_protocol::ops::intent::{Change, Hold, Intent, LimitView, Note, Subject, Taken};
use gaparch_protocol::ops::view::{
    Avoid, EngineRole, EngineState, EngineView, Figures, Happening, LiveView, PartRest, Phase, Setting,
    Severity, Snapshot, TenantView,
};
use gaparch_protocol::ops::{
    from_bytes, to_bytes, Answer, DenyCode, OpsFrame, OpsRole, Order, Query, Update, MAX_ASK, VERSION,
};
use gaparch_protocol::{FrameDecoder, FrameError, Wire};
use proptest::prelude::*;
use proptest::sample::select;

fn text() -> impl Strategy<Value = String> {
    prop_oneof![8 => "[a-z0-9-]{0,12}", 1 => ".{0,40}"]
}

fn figure() -> impl Strategy<Value = f64> {
    // Numbers that equal themselves: what is wrong with others is not the codec's matter.
    prop_oneof![Just(0.0), -1e12..1e12, Just(f64::INFINITY)]
}

fn name() -> impl Strategy<Value = RequestName> {
    (any::<u64>(), any::<u64>()).prop_map(|(run, number)| RequestName { run, number })
}

fn note() -> impl Strategy<Value = Note> {
    (text(), text(), any::<u64>()).prop_map(|(who, why, at)| Note { who, why, at })
}

fn change() -> impl Strategy<Value = Change> {
    let hold = select(Hold::ALL);
    prop_oneof![
        (text(), hold).prop_map(|(engine, hold)| Change::Hold { engine, hold }),
        text().prop_map(|engine| Change::Free { engine }),
        Just(Change::Pause {}),
        Just(Change::Resume {}),
        (text(), proptest::option::of(figure())).prop_map(|(name, value)| Change::Limit { name, value }),
        Just(Change::Stop {}),
    ]
}

fn order() -> impl Strategy<Value = Order> {
    let rest = (text(), any::<bool>(), proptest::option::of(any::<u64>()));
    (change(), rest).prop_map(|(change, (why, force, revision))| Order { change, why, force, revision })
}

fn intent() -> impl Strategy<Value = Intent> {
    let subject = prop_oneof![
        (text(), select(Hold::ALL)).prop_map(|(engine, hold)| Subject::Engine { engine, hold }),
        Just(Subject::Intake {}),
        (text(), figure()).prop_map(|(name, value)| Subject::Limit { name, value }),
    ];
    let rest = (note(), any::<u64>(), any::<bool>());
    (subject, rest).prop_map(|(subject, (note, revision, kept))| Intent { subject, note, revision, kept })
}

fn step() -> impl Strategy<Value = Step> {
    let all = (text(), select(Stage::ALL), any::<u64>(), any::<u64>(), select(StepEnd::ALL));
    all.prop_map(|(engine, stage, from_us, took_us, end)| Step { engine, stage, from_us, took_us, end })
}

fn evidence() -> impl Strategy<Value = Evidence> {
    (text(), text(), figure(), figure(), figure()).prop_map(|(engine, avoided, memory, unread, pace)| {
        Evidence { engine, avoided, memory, unread, pace }
    })
}

fn ending() -> impl Strategy<Value = Ending> {
    let kinds = (select(EndKind::ALL), select(Cause::ALL), proptest::option::of(select(WaitedFor::ALL)));
    let times =
        (any::<u64>(), any::<u64>(), proptest::option::of(any::<u64>()), proptest::option::of(any::<u64>()));
    let lists = (proptest::collection::vec(step(), 0..4), proptest::collection::vec(evidence(), 0..4));
    let follow_up = proptest::option::of((any::<u64>(), name(), select(EndKind::ALL)));
    let rest = (text(), text(), any::<u32>(), any::<u64>());
    (name(), kinds, times, lists, follow_up, rest).prop_map(
        |(request, kinds, times, lists, follow_up, rest)| Ending {
            request,
            asked_at: times.0,
            ended_at: times.1,
            class: rest.0,
            tenant: rest.1,
            kind: kinds.0,
            cause: kinds.1,
            waited_for: kinds.2,
            retry_after_ms: times.2,
            first_after_us: times.3,
            tokens: rest.2,
            steps: lists.0,
            evidence: lists.1,
            fingerprint: rest.3,
            follow_up: follow_up.map(|(asked_at, request, kind)| FollowUp { asked_at, request, kind }),
        },
    )
}

fn engine() -> impl Strategy<Value = EngineView> {
    let states = (select(EngineRole::ALL), select(EngineState::ALL), select(EngineState::ALL), any::<bool>());
    let avoided = proptest::option::of(select(Avoid::ALL));
    let rests =
        (text(), text(), any::<u64>()).prop_map(|(class, tenant, until)| PartRest { class, tenant, until });
    let figures =
        (figure(), figure(), proptest::option::of(figure()), figure(), proptest::option::of(figure()));
    let counts = (any::<u32>(), any::<u32>(), any::<u64>(), proptest::option::of(any::<u64>()));
    (text(), text(), states, avoided, proptest::collection::vec(rests, 0..3), figures, counts).prop_map(
        |(name, address, states, avoided, rests, figures, counts)| EngineView {
            name,
            role: states.0,
            zone: address.clone(),
            rack: String::new(),
            address,
            listed: states.1,
            state: states.2,
            connected: states.3,
            avoided,
            rests,
            waiting: counts.0,
            streaming: counts.1,
            unread: figures.0,
            memory: figures.1,
            memory_said: figures.2,
            pace: figures.3,
            cold_budget: figures.4,
            started_at: counts.3,
            heard_at: counts.2,
            attempts: counts.2,
            failed: u64::from(counts.0),
            called_off: u64::from(counts.1),
        },
    )
}

fn event() -> impl Strategy<Value = Happening> {
    (any::<u64>(), select(Severity::ALL), proptest::option::of(text()), text())
        .prop_map(|(at, severity, engine, text)| Happening { at, severity, engine, text })
}

fn live() -> impl Strategy<Value = LiveView> {
    let rest = (select(Phase::ALL), proptest::option::of(select(EndKind::ALL)), any::<u32>());
    (name(), text(), proptest::collection::vec(step(), 0..3), rest).prop_map(
        |(request, class, steps, rest)| LiveView {
            request,
            asked_at: u64::from(rest.2),
            tenant: class.clone(),
            engine: class.clone(),
            class,
            phase: rest.0,
            kind: rest.1,
            tokens: rest.2,
            took_us: 7,
            steps,
        },
    )
}

fn snapshot() -> impl Strategy<Value = Snapshot> {
    let lists = (
        proptest::collection::vec(engine(), 0..4),
        proptest::collection::vec(intent(), 0..3),
        proptest::collection::vec(event(), 0..3),
    );
    (text(), any::<u64>(), lists, figure()).prop_map(|(router, number, (engines, intents, events), value)| {
        Snapshot {
            run: number,
            revision: number,
            began_at: number,
            figures: Figures { at: number, held: 3, paused: number % 2 > 0, ..Figures::default() },
            engines,
            tenants: vec![TenantView {
                name: router.clone(),
                requests: number,
                per_s: value,
                ..TenantView::default()
            }],
            intents,
            limits: vec![LimitView {
                name: router.clone(),
                value,
                by_settings: value,
                least: 0.0,
                most: value,
                unit: String::new(),
            }],
            events,
            settings: vec![Setting { name: router.clone(), value: router.clone() }],
            not_kept: router.clone(),
            router,
        }
    })
}

fn filter() -> impl Strategy<Value = EndingFilter> {
    let words = (proptest::option::of(text()), proptest::option::of(text()), proptest::option::of(text()));
    (proptest::option::of(select(Cause::ALL)), words, any::<u32>()).prop_map(|(cause, words, most)| {
        EndingFilter {
            kind: Some(EndKind::Refused),
            cause,
            waited_for: Some(WaitedFor::OverShare),
            class: words.0,
            tenant: words.1,
            engine: words.2,
            since: Some(u64::from(most)),
            until: None,
            most,
        }
    })
}

fn frame() -> impl Strategy<Value = OpsFrame> {
    let query = prop_oneof![
        Just(Query::Snapshot {}),
        Just(Query::Subscribe {}),
        order().prop_map(|order| Query::Order { order }),
        filter().prop_map(|filter| Query::Groups { filter }),
        filter().prop_map(|filter| Query::Endings { filter }),
        name().prop_map(|request| Query::Story { request }),
        (proptest::option::of(text()), any::<u64>(), any::<u32>())
            .prop_map(|(engine, since, most)| Query::Events { engine, since, most }),
    ];
    let group = (name(), any::<u64>(), text()).prop_map(|(example, count, class)| Group {
        kind: EndKind::Failed,
        cause: Cause::BrokeOff,
        waited_for: None,
        tenant: class.clone(),
        class,
        count,
        first_at: 1,
        last_at: 2,
        came_back: 3,
        served_then: 4,
        example,
    });
    let answer = prop_oneof![
        snapshot().prop_map(|s| Answer::Snapshot { snapshot: Box::new(s) }),
        (any::<u64>(), text()).prop_map(|(revision, effect)| Answer::Done { revision, effect }),
        (select(DenyCode::ALL), text()).prop_map(|(code, message)| Answer::Denied { code, message }),
        proptest::collection::vec(group, 0..3).prop_map(|groups| Answer::Groups { groups, total: 9 }),
        proptest::collection::vec(ending(), 0..3).prop_map(|endings| Answer::Endings { endings, total: 9 }),
        (proptest::option::of(ending()), proptest::option::of(live())).prop_map(|(ending, live)| {
            Answer::Story { ending: ending.map(Box::new), live: live.map(Box::new) }
        }),
        proptest::collection::vec(intent(), 0..3).prop_map(|intents| Answer::Intents { intents }),
    ];
    let update = prop_oneof![
        proptest::collection::vec(engine(), 0..3).prop_map(|engines| Update::Engines { engines }),
        event().prop_map(|event| Update::Happened { event }),
        ending().prop_map(|e| Update::Ended { ending: Box::new(e) }),
        any::<u64>().prop_map(|updates| Update::Missed { updates }),
        snapshot().prop_map(|s| Update::Fresh { snapshot: Box::new(s) }),
    ];
    prop_oneof![
        (proptest::option::of(text()), select(OpsRole::ALL), text())
            .prop_map(|(key, role, who)| OpsFrame::Hello { version: VERSION, key, role, who }),
        (any::<u32>(), query).prop_map(|(seq, query)| OpsFrame::Ask { seq, query }),
        (any::<u32>(), answer).prop_map(|(seq, answer)| OpsFrame::Answer { seq, answer }),
        update.prop_map(OpsFrame::Update),
        text().prop_map(|reason| OpsFrame::Bye { reason }),
    ]
}

/// Cut anywhere, it is refused; with a byte more too.
fn whole_or_nothing<T: Wire + PartialEq + std::fmt::Debug>(record: &T) -> Result<(), TestCaseError> {
    let bytes = to_bytes(record);
    let read = from_bytes::<T>(&bytes);
    prop_assert_eq!(read.as_ref(), Some(record));
    for end in 0..bytes.len() {
        prop_assert!(from_bytes::<T>(&bytes[..end]).is_none(), "cut at {}", end);
    }
    prop_assert!(from_bytes::<T>(&[&bytes[..], &[0]].concat()).is_none());
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn frames_survive_any_cut(frames in proptest::collection::vec(frame(), 1..5), cut in 1usize..200) {
        let mut bytes = BytesMut::new();
        frames.iter().for_each(|f| encode(f, &mut bytes));
        let mut decoder = FrameDecoder::new(1 << 20);
        let mut read = Vec::new();
        for piece in bytes.chunks(cut) {
            decoder.buffer().extend_from_slice(piece);
            while let Some(frame) = decoder.next_frame::<OpsFrame>().expect("sound") {
                read.push(frame);
            }
        }
        prop_assert_eq!(read, frames);
    }

    #[test]
    fn records_on_disk_are_whole_or_nothing(change in change(), note in note(), ending in ending(), event in event()) {
        whole_or_nothing(&Taken { revision: 3, change, note })?;
        whole_or_nothing(&event)?;
        whole_or_nothing(&Kept::Ending { ending: Box::new(ending) })?;
    }

    #[test]
    fn no_bytes_make_it_panic_or_take_room(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = FrameDecoder::new(MAX_ASK);
        decoder.buffer().extend_from_slice(&bytes);
        while let Ok(Some(_)) = decoder.next_frame::<OpsFrame>() {}
        let _ = from_bytes::<Snapshot>(&bytes);
        let _ = from_bytes::<Kept>(&bytes);
        let _ = from_bytes::<Vec<u64>>(&bytes);
    }
}

#[test]
fn another_version_is_read_as_far_as_it_can_be_answered() {
    let mut decoder = FrameDecoder::new(MAX_ASK);
    decoder.buffer().extend_from_slice(&[0, 0, 0, 6, 1, 0, 9, 1, 2, 3]);
    let hello = decoder.next_frame::<OpsFrame>().expect("read");
    assert!(matches!(hello, Some(OpsFrame::Hello { version: 9, .. })), "{hello:?}");
    decoder.buffer().extend_from_slice(&[0x40, 0, 0, 0, 1]);
    let oversized = decoder.next_frame::<OpsFrame>();
    assert!(matches!(oversized, Err(FrameError::Oversized { max: MAX_ASK, .. })), "{oversized:?}");
}

#[test]
fn words_of_closed_sets_are_told_apart_and_read_back() {
    for cause in Cause::ALL {
        assert_eq!(Cause::from_word(cause.word()), Some(*cause));
        assert_eq!(Cause::ALL.iter().filter(|c| c.word() == cause.word()).count(), 1);
    }
    let name = RequestName { run: 0x18a2b3, number: 42 };
    assert_eq!((name.to_string().as_str(), "msg_18a2b3_42".parse()), ("msg_18a2b3_42", Ok(name)));
    for wrong in ["", "42", "msg_x_1", "msg_1", "msg_1_x"] {
        assert!(wrong.parse::<RequestName>().is_err(), "{wrong}");
    }
}
