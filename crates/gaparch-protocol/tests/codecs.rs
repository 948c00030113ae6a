//! Every codec: what goes in comes out, however the bytes are cut, and no bytes at all make it panic.

use bytes::BytesMut;
use gaparch_protocol::client::{
    encode_event, parse_request, ClientEvent, Dialect, ErrorKind, SseDecoder, SseError, SseEvent, StopReason,
    Usage,
};
use gaparch_protocol::engine::{
    AttemptKey, EngineFacts, EngineFrame, Job, KvCacheKey, KvCacheLocation, KvCacheUnavailable, Peer,
    RouterRun,
};
use gaparch_protocol::frame::{encode, Frame};
use gaparch_protocol::list::{ListEntry, ListFrame, Scope};
use gaparch_protocol::{FrameDecoder, FrameError};
use gaparch_scheduler::api::{AttemptStatus, LoadReport, Role, ServerState};
use proptest::collection::vec;
use proptest::prelude::*;

fn key() -> impl Strategy<Value = AttemptKey> {
    (any::<u64>(), any::<u32>()).prop_map(|(request, attempt)| AttemptKey { request, attempt })
}

fn report() -> impl Strategy<Value = LoadReport> {
    // NaN is carried too, but would not compare equal here.
    let figure = || proptest::option::of(prop_oneof![Just(f64::INFINITY), Just(-1.0), Just(1e300), 0.0..9.0]);
    (figure(), figure(), figure(), figure(), figure()).prop_map(
        |(inflight, queue, util, memory, unread_k)| LoadReport {
            in_flight: inflight,
            queued: queue,
            slot_utilization: util,
            memory_utilization: memory,
            pending_prefill_kilotokens: unread_k,
        },
    )
}

fn job() -> impl Strategy<Value = Job> {
    let figures = (any::<u32>(), any::<u32>(), any::<u32>(), any::<u32>());
    let keys = (proptest::option::of(any::<u16>()), proptest::option::of(any::<u64>()));
    (key(), any::<u16>(), keys, figures, ".{0,40}").prop_map(|(key, class, keys, figures, prompt)| Job {
        key,
        class,
        tenant: keys.0,
        session: keys.1,
        prefix: None,
        prompt_tokens: figures.0,
        prefix_tokens: figures.1,
        max_output_tokens: figures.2,
        timeout_ms: figures.3,
        prompt,
    })
}

fn state_key() -> impl Strategy<Value = KvCacheKey> {
    (any::<u64>(), any::<u64>()).prop_map(|(run, request)| KvCacheKey { router: RouterRun(run), request })
}

fn engine_frame() -> impl Strategy<Value = EngineFrame> {
    let at = || (".{0,9}", ".{0,9}").prop_map(|(engine, address)| KvCacheLocation { engine, address });
    let status = prop_oneof![
        Just(AttemptStatus::Ok),
        Just(AttemptStatus::Error),
        Just(AttemptStatus::Rejected),
        Just(AttemptStatus::Timeout),
        Just(AttemptStatus::Reset),
        Just(AttemptStatus::Cancelled),
        Just(AttemptStatus::Unknown)
    ];
    let facts = (".{0,9}", 0.0..1e9, ".{0,9}", any::<u64>()).prop_map(|(name, memory, zone, started_at)| {
        EngineFacts {
            name,
            role: Role::Mixed,
            kv_capacity_tokens: memory,
            zone,
            rack: "rack".to_owned(),
            started_at,
        }
    });
    let router = (any::<u64>(), ".{0,9}").prop_map(|(run, name)| Peer::Router { run: RouterRun(run), name });
    prop_oneof![
        (any::<u16>(), prop_oneof![router, facts.prop_map(Peer::Engine)])
            .prop_map(|(version, peer)| EngineFrame::Hello { version, peer }),
        job().prop_map(EngineFrame::Prefill),
        (job(), proptest::option::of(at()))
            .prop_map(|(job, state)| EngineFrame::Decode { job, kv_cache: state }),
        key().prop_map(EngineFrame::Cancel),
        (job(), at()).prop_map(|(job, from)| EngineFrame::Reserve { job, from }),
        any::<u64>().prop_map(|request| EngineFrame::Release { request }),
        any::<u64>().prop_map(|nonce| EngineFrame::Probe { nonce }),
        (key(), any::<u32>(), any::<u32>(), proptest::option::of(report())).prop_map(
            |(key, kept, prompt_len, report)| EngineFrame::PrefillDone {
                key,
                cached_prompt_tokens: kept,
                prompt_tokens: prompt_len,
                report
            }
        ),
        (key(), any::<u32>(), any::<u16>(), ".{0,80}")
            .prop_map(|(key, from, count, text)| EngineFrame::Tokens { key, sent_before: from, count, text }),
        (key(), status, any::<u64>(), any::<u32>(), proptest::option::of(report())).prop_map(
            |(key, status, note, produced, report)| EngineFrame::Outcome {
                key,
                status,
                note,
                produced_tokens: produced,
                report
            }
        ),
        (key(), any::<bool>()).prop_map(|(key, held)| EngineFrame::Reserved { key, reserved: held }),
        (any::<u64>(), proptest::option::of(report()))
            .prop_map(|(nonce, report)| EngineFrame::Probed { nonce, report }),
        report().prop_map(EngineFrame::LoadReport),
        state_key().prop_map(|state| EngineFrame::Fetch { kv_cache: state }),
        (state_key(), any::<u32>(), ".{0,80}").prop_map(|(state, tokens, prompt)| EngineFrame::KvCache {
            kv_cache: state,
            tokens,
            prompt
        }),
        state_key().prop_map(|state| EngineFrame::KvCacheUnavailable {
            kv_cache: state,
            reason: KvCacheUnavailable::NotReady
        }),
        ".{0,40}".prop_map(|reason| EngineFrame::Bye { reason }),
    ]
}

fn list_frame() -> impl Strategy<Value = ListFrame> {
    let state =
        prop_oneof![Just(ServerState::Ready), Just(ServerState::Draining), Just(ServerState::Removed)];
    let entry =
        (".{0,9}", ".{0,9}", state, proptest::option::of(0.0..9.0), proptest::option::of(any::<u64>()))
            .prop_map(|(engine, address, state, weight, started_at)| ListEntry {
                engine,
                address,
                kind: "k".to_owned(),
                zone: "z".to_owned(),
                rack: "r".to_owned(),
                state,
                weight,
                started_at,
            });
    prop_oneof![
        (any::<u16>(), ".{0,9}", any::<u64>()).prop_map(|(version, name, epoch)| {
            // The first version has no room for one.
            ListFrame::Hello { version, name, epoch: if version < 2 { 0 } else { epoch } }
        }),
        any::<bool>().prop_map(ListFrame::Watch),
        Just(ListFrame::Fetch),
        (any::<bool>(), any::<u64>(), vec(entry, 0..5)).prop_map(|(full, version, entries)| {
            let scope = if full { Scope::Full } else { Scope::Delta };
            ListFrame::Update { scope, version, entries }
        }),
        ".{0,40}".prop_map(|reason| ListFrame::Failed { reason }),
        ".{0,40}".prop_map(|reason| ListFrame::Bye { reason }),
    ]
}

/// Feeds bytes cut at the given lengths, over and over, and collects the frames.
fn decode_cut<F: Frame>(bytes: &[u8], cuts: &[usize]) -> Result<Vec<F>, FrameError> {
    let mut decoder = FrameDecoder::default();
    let mut frames = Vec::new();
    let mut rest = bytes;
    let mut cuts = cuts.iter().cycle();
    while !rest.is_empty() {
        let (now, later) = rest.split_at((*cuts.next().unwrap_or(&1)).clamp(1, rest.len()));
        decoder.buffer().extend_from_slice(now);
        rest = later;
        while let Some(frame) = decoder.next_frame()? {
            frames.push(frame);
        }
    }
    Ok(frames)
}

fn encoded<F: Frame>(frames: &[F]) -> BytesMut {
    let mut bytes = BytesMut::new();
    frames.iter().for_each(|frame| encode(frame, &mut bytes));
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn engine_frames_survive_any_cut(frames in vec(engine_frame(), 0..8), cuts in vec(1usize..60, 1..8)) {
        prop_assert_eq!(decode_cut::<EngineFrame>(&encoded(&frames), &cuts), Ok(frames));
    }

    #[test]
    fn list_frames_survive_any_cut(frames in vec(list_frame(), 0..8), cuts in vec(1usize..60, 1..8)) {
        prop_assert_eq!(decode_cut::<ListFrame>(&encoded(&frames), &cuts), Ok(frames));
    }

    #[test]
    fn no_bytes_make_a_decoder_panic(bytes in vec(any::<u8>(), 0..300), cuts in vec(1usize..60, 1..8)) {
        let _ = decode_cut::<EngineFrame>(&bytes, &cuts);
        let _ = decode_cut::<ListFrame>(&bytes, &cuts);
        let mut events = SseDecoder::new(100);
        events.feed(&bytes);
        while let Ok(Some(event)) = events.next_event() {
            let _ = Dialect::builtin("messages").map(|d| d.decode(&event));
        }
        for dialect in ["own", "messages"].into_iter().filter_map(Dialect::builtin) {
            let _ = parse_request(&dialect, &bytes, |_| None);
            let _ = (dialect.decode_answer(&bytes), dialect.decode_error(&bytes));
        }
    }

    #[test]
    fn a_flipped_byte_of_a_frame_is_an_error_or_another_frame(frame in engine_frame(), at in any::<usize>()) {
        let mut bytes = encoded(std::slice::from_ref(&frame));
        let at = at % bytes.len();
        bytes[at] ^= 0x55;
        // Every code of a later version means the same.
        let unknown = matches!(frame, EngineFrame::Outcome { status: AttemptStatus::Unknown, .. });
        prop_assert!(unknown || decode_cut::<EngineFrame>(&bytes, &[7]) != Ok(vec![frame]));
    }

    #[test]
    fn streams_of_events_survive_any_cut(
        texts in vec(".{0,30}", 1..6),
        cuts in vec(1usize..30, 1..8),
        name in prop_oneof![Just("own"), Just("messages")],
    ) {
        let dialect = Dialect::builtin(name).expect("built in");
        let events: Vec<ClientEvent> = texts.into_iter().map(|text| ClientEvent::TextDelta { text }).collect();
        let mut bytes = BytesMut::new();
        events.iter().for_each(|event| dialect.encode(event, &mut bytes));
        let mut decoder = SseDecoder::new(10_000);
        let mut seen = Vec::new();
        let (mut rest, mut cuts) = (&bytes[..], cuts.iter().cycle());
        while !rest.is_empty() {
            let (now, later) = rest.split_at((*cuts.next().unwrap_or(&1)).min(rest.len()));
            decoder.feed(now);
            rest = later;
            while let Some(event) = decoder.next_event().expect("well formed") {
                seen.extend(dialect.decode(&event));
            }
        }
        prop_assert_eq!(seen, events);
    }
}

#[test]
fn lengths_and_kinds_that_make_no_sense_are_named() {
    let decode = |bytes: &[u8]| decode_cut::<EngineFrame>(bytes, &[3]);
    let max = gaparch_protocol::DEFAULT_MAX_FRAME;
    assert_eq!(decode(&[0, 0, 0, 0]), Err(FrameError::Empty));
    assert_eq!(decode(&[0xff; 4]), Err(FrameError::Oversized { length: u32::MAX as usize, max }));
    assert_eq!(decode(&[0, 0, 0, 1, 99]), Err(FrameError::Malformed { kind: 99, length: 1 }));
    // A probe with a byte left over.
    let long = [&[0, 0, 0, 10, 7][..], &[0; 9]].concat();
    assert_eq!(decode(&long), Err(FrameError::Malformed { kind: 7, length: 10 }));
}

#[test]
fn an_outcome_that_only_a_router_can_know_is_malformed_and_a_later_code_is_unknown() {
    let outcome = |status| EngineFrame::Outcome {
        key: AttemptKey { request: 1, attempt: 0 },
        status,
        note: 0,
        produced_tokens: 0,
        report: None,
    };
    for status in [AttemptStatus::Prefilled, AttemptStatus::ConnectFailed, AttemptStatus::Expired] {
        assert!(decode_cut::<EngineFrame>(&encoded(&[outcome(status)]), &[64]).is_err(), "{status:?}");
    }
    let mut later = encoded(&[outcome(AttemptStatus::Ok)]);
    later[4 + 1 + 12] = 77;
    assert_eq!(decode_cut(&later, &[64]), Ok(vec![outcome(AttemptStatus::Unknown)]));
}

#[test]
fn dialects_read_back_all_they_write() {
    let usage = Usage { prompt_tokens: 7, cached_prompt_tokens: 3, output_tokens: 11 };
    let failed = |kind, harmless| ClientEvent::Failed {
        kind,
        message: "a \"quoted\"\nline".to_owned(),
        retry_harmless: harmless,
    };
    let events = [
        ClientEvent::MessageStart { id: "r1".to_owned(), model: "m".to_owned(), usage },
        ClientEvent::ContentBlockStart,
        ClientEvent::TextDelta { text: "é\u{1}\\".to_owned() },
        ClientEvent::ContentBlockStop,
        ClientEvent::KeepAlive,
        ClientEvent::Usage { usage, reason: StopReason::MaxTokens },
        ClientEvent::MessageStop { reason: StopReason::Finished },
        failed(ErrorKind::Failed, false),
        failed(ErrorKind::Rejected, true),
    ];
    for (name, first) in [("own", "opened"), ("messages", "message_start")] {
        let dialect = Dialect::builtin(name).expect("built in");
        let mut bytes = BytesMut::new();
        events.iter().for_each(|event| dialect.encode(event, &mut bytes));
        let mut decoder = SseDecoder::new(10_000);
        decoder.feed(&bytes);
        let mut seen = Vec::new();
        while let Some(event) = decoder.next_event().expect("well formed") {
            if seen.is_empty() {
                assert_eq!(event.name, first);
            }
            seen.push(dialect.decode(&event).expect("of this dialect"));
        }
        let kinds = |events: &[ClientEvent]| events.iter().map(std::mem::discriminant).collect::<Vec<_>>();
        let sent: Vec<ClientEvent> = match name {
            "own" => events
                .iter()
                .filter(|e| !matches!(e, ClientEvent::ContentBlockStart | ClientEvent::ContentBlockStop))
                .cloned()
                .collect(),
            _ => events.to_vec(),
        };
        assert_eq!(kinds(&seen), kinds(&sent), "{name}");
        assert!(seen.contains(&failed(ErrorKind::Rejected, true)), "{name}");
        assert!(seen.contains(&ClientEvent::TextDelta { text: "é\u{1}\\".to_owned() }), "{name}");
    }
}

#[test]
fn events_with_comments_crlf_and_several_lines_of_data_are_read() {
    let mut decoder = SseDecoder::new(100);
    decoder.feed(b": hello\r\n\r\nevent: a\r\ndata: 1\r\ndata:2\r\nid: 9\r\n\r\ndata\n\n");
    let event = |name: &str, data: &str| Some(SseEvent { name: name.to_owned(), data: data.to_owned() });
    assert_eq!(decoder.next_event(), Ok(event("a", "1\n2")));
    assert_eq!(decoder.next_event(), Ok(event("", "")));
    assert_eq!(decoder.next_event(), Ok(None));
    decoder.feed(&[b'x'; 101]);
    assert_eq!(decoder.next_event(), Err(SseError::Oversized { max: 100 }));
    let mut bytes = BytesMut::new();
    encode_event(&mut bytes, "n", |out| out.extend_from_slice(b"{}"));
    assert_eq!(&bytes[..], b"event: n\ndata: {}\n\n");
}

#[test]
fn figures_that_no_one_should_send_are_refused_by_name() {
    let dialect = Dialect::builtin("own").expect("built in");
    let ask = |extra: &str| {
        let body =
            format!(r#"{{"model":"m","max_tokens":5,"messages":[{{"role":"user","content":"hi"}}]{extra}}}"#);
        parse_request(&dialect, body.as_bytes(), |_| None)
    };
    assert!(ask("").is_ok());
    assert_eq!(ask(r#","prompt_tokens":12.0"#).map(|a| a.prompt_tokens), Ok(12));
    for figure in ["-1", "1.5", "1e300", "\"7\"", "16000001", "[]"] {
        for field in ["prompt_tokens", "prefix_tokens", "answer_hint"] {
            let error = ask(&format!(r#","{field}":{figure}"#)).expect_err(figure);
            assert!(error.to_string().starts_with(&format!("'{field}'")), "{error}");
        }
    }
    let header = |name: &str| (name == "x-gaparch-prompt-tokens").then_some("-3");
    let body = br#"{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hi"}]}"#;
    assert!(parse_request(&dialect, body, header).is_err());
    for (body, field) in [
        (r#"{"max_tokens":5,"messages":[{"role":"user","content":"hi"}]}"#, "model"),
        (r#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#, "max_tokens"),
        (r#"{"model":"m","max_tokens":0,"messages":[{"role":"user","content":"hi"}]}"#, "max_tokens"),
        (r#"{"model":"m","max_tokens":5,"messages":[]}"#, "messages"),
        (r#"{"model":"m","max_tokens":5,"messages":[{"role":"dog","content":"hi"}]}"#, "messages"),
        (r#"{"model":"m","max_tokens":5,"messages":[{"role":"user","content":7}]}"#, "messages"),
    ] {
        let error = parse_request(&dialect, body.as_bytes(), |_| None).expect_err(body);
        assert!(error.to_string().starts_with(&format!("'{field}'")), "{error}");
    }
}
