//! Round trips of the client, engine and list codecs with input in chunks of any size. Arbitrary bytes cause
//! no panic.

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

fn attempt_key() -> impl Strategy<Value = AttemptKey> {
    (any::<u64>(), any::<u32>()).prop_map(|(request, attempt)| AttemptKey { request, attempt })
}

fn report() -> impl Strategy<Value = LoadReport> {
    // NaN can be encoded as well, but does not compare equal to itself.
    let value = || proptest::option::of(prop_oneof![Just(f64::INFINITY), Just(-1.0), Just(1e300), 0.0..9.0]);
    (value(), value(), value(), value(), value()).prop_map(
        |(in_flight, queued, slot_utilization, memory_utilization, pending_prefill_kilotokens)| LoadReport {
            in_flight,
            queued,
            slot_utilization,
            memory_utilization,
            pending_prefill_kilotokens,
        },
    )
}

fn job() -> impl Strategy<Value = Job> {
    let counts = (any::<u32>(), any::<u32>(), any::<u32>(), any::<u32>());
    let keys = (proptest::option::of(any::<u16>()), proptest::option::of(any::<u64>()));
    (attempt_key(), any::<u16>(), keys, counts, ".{0,40}").prop_map(|(key, class, keys, counts, prompt)| {
        Job {
            key,
            class,
            tenant: keys.0,
            session: keys.1,
            prefix: None,
            prompt_tokens: counts.0,
            prefix_tokens: counts.1,
            max_output_tokens: counts.2,
            timeout_ms: counts.3,
            prompt,
        }
    })
}

fn kv_cache_key() -> impl Strategy<Value = KvCacheKey> {
    (any::<u64>(), any::<u64>()).prop_map(|(run, request)| KvCacheKey { router: RouterRun(run), request })
}

fn engine_frame() -> impl Strategy<Value = EngineFrame> {
    let location = || (".{0,9}", ".{0,9}").prop_map(|(engine, address)| KvCacheLocation { engine, address });
    let status = prop_oneof![
        Just(AttemptStatus::Ok),
        Just(AttemptStatus::Error),
        Just(AttemptStatus::Rejected),
        Just(AttemptStatus::Timeout),
        Just(AttemptStatus::Reset),
        Just(AttemptStatus::Cancelled),
        Just(AttemptStatus::Unknown)
    ];
    let facts = (".{0,9}", 0.0..1e9, ".{0,9}", any::<u64>()).prop_map(
        |(name, kv_capacity_tokens, zone, started_at)| EngineFacts {
            name,
            role: Role::Mixed,
            kv_capacity_tokens,
            zone,
            rack: "rack".to_owned(),
            started_at,
        },
    );
    let router = (any::<u64>(), ".{0,9}").prop_map(|(run, name)| Peer::Router { run: RouterRun(run), name });
    prop_oneof![
        (any::<u16>(), prop_oneof![router, facts.prop_map(Peer::Engine)])
            .prop_map(|(version, peer)| EngineFrame::Hello { version, peer }),
        job().prop_map(EngineFrame::Prefill),
        (job(), proptest::option::of(location()))
            .prop_map(|(job, kv_cache)| EngineFrame::Decode { job, kv_cache }),
        attempt_key().prop_map(EngineFrame::Cancel),
        (job(), location()).prop_map(|(job, from)| EngineFrame::Reserve { job, from }),
        any::<u64>().prop_map(|request| EngineFrame::Release { request }),
        any::<u64>().prop_map(|nonce| EngineFrame::Probe { nonce }),
        (attempt_key(), any::<u32>(), any::<u32>(), proptest::option::of(report())).prop_map(
            |(key, cached_prompt_tokens, prompt_tokens, report)| EngineFrame::PrefillDone {
                key,
                cached_prompt_tokens,
                prompt_tokens,
                report
            }
        ),
        (attempt_key(), any::<u32>(), any::<u16>(), ".{0,80}").prop_map(|(key, sent_before, count, text)| {
            EngineFrame::Tokens { key, sent_before, count, text }
        }),
        (attempt_key(), status, any::<u64>(), any::<u32>(), proptest::option::of(report())).prop_map(
            |(key, status, note, produced_tokens, report)| EngineFrame::Outcome {
                key,
                status,
                note,
                produced_tokens,
                report
            }
        ),
        (attempt_key(), any::<bool>()).prop_map(|(key, reserved)| EngineFrame::Reserved { key, reserved }),
        (any::<u64>(), proptest::option::of(report()))
            .prop_map(|(nonce, report)| EngineFrame::Probed { nonce, report }),
        report().prop_map(EngineFrame::LoadReport),
        kv_cache_key().prop_map(|kv_cache| EngineFrame::Fetch { kv_cache }),
        (kv_cache_key(), any::<u32>(), ".{0,80}")
            .prop_map(|(kv_cache, tokens, prompt)| EngineFrame::KvCache { kv_cache, tokens, prompt }),
        kv_cache_key().prop_map(|kv_cache| EngineFrame::KvCacheUnavailable {
            kv_cache,
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
            // Version 1 has no epoch field.
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

/// Feeds the bytes in chunks of these sizes, repeated as often as needed, and collects the frames.
fn decode_in_chunks<F: Frame>(bytes: &[u8], chunk_sizes: &[usize]) -> Result<Vec<F>, FrameError> {
    let mut decoder = FrameDecoder::default();
    let mut frames = Vec::new();
    let mut rest = bytes;
    let mut chunk_sizes = chunk_sizes.iter().cycle();
    while !rest.is_empty() {
        let (chunk, remaining) = rest.split_at((*chunk_sizes.next().unwrap_or(&1)).clamp(1, rest.len()));
        decoder.buffer().extend_from_slice(chunk);
        rest = remaining;
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
    fn engine_frames_round_trip_in_chunks_of_any_size(
        frames in vec(engine_frame(), 0..8),
        chunk_sizes in vec(1usize..60, 1..8),
    ) {
        prop_assert_eq!(decode_in_chunks::<EngineFrame>(&encoded(&frames), &chunk_sizes), Ok(frames));
    }

    #[test]
    fn list_frames_round_trip_in_chunks_of_any_size(
        frames in vec(list_frame(), 0..8),
        chunk_sizes in vec(1usize..60, 1..8),
    ) {
        prop_assert_eq!(decode_in_chunks::<ListFrame>(&encoded(&frames), &chunk_sizes), Ok(frames));
    }

    #[test]
    fn arbitrary_bytes_do_not_cause_a_panic(
        bytes in vec(any::<u8>(), 0..300),
        chunk_sizes in vec(1usize..60, 1..8),
    ) {
        let _ = decode_in_chunks::<EngineFrame>(&bytes, &chunk_sizes);
        let _ = decode_in_chunks::<ListFrame>(&bytes, &chunk_sizes);
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
    fn a_corrupted_byte_yields_an_error_or_another_frame(frame in engine_frame(), at in any::<usize>()) {
        let mut bytes = encoded(std::slice::from_ref(&frame));
        let at = at % bytes.len();
        bytes[at] ^= 0x55;
        // Status codes of later versions all decode to `Unknown`.
        let unknown = matches!(frame, EngineFrame::Outcome { status: AttemptStatus::Unknown, .. });
        prop_assert!(unknown || decode_in_chunks::<EngineFrame>(&bytes, &[7]) != Ok(vec![frame]));
    }

    #[test]
    fn event_streams_round_trip_in_chunks_of_any_size(
        texts in vec(".{0,30}", 1..6),
        chunk_sizes in vec(1usize..30, 1..8),
        name in prop_oneof![Just("own"), Just("messages")],
    ) {
        let dialect = Dialect::builtin(name).expect("a built-in dialect");
        let events: Vec<ClientEvent> =
            texts.into_iter().map(|text| ClientEvent::TextDelta { text }).collect();
        let mut bytes = BytesMut::new();
        events.iter().for_each(|event| dialect.encode(event, &mut bytes));
        let mut decoder = SseDecoder::new(10_000);
        let mut seen = Vec::new();
        let (mut rest, mut chunk_sizes) = (&bytes[..], chunk_sizes.iter().cycle());
        while !rest.is_empty() {
            let (chunk, remaining) = rest.split_at((*chunk_sizes.next().unwrap_or(&1)).min(rest.len()));
            decoder.feed(chunk);
            rest = remaining;
            while let Some(event) = decoder.next_event().expect("a valid event stream") {
                seen.extend(dialect.decode(&event));
            }
        }
        prop_assert_eq!(seen, events);
    }
}

#[test]
fn invalid_lengths_kinds_and_bodies_are_reported() {
    let decode = |bytes: &[u8]| decode_in_chunks::<EngineFrame>(bytes, &[3]);
    let max = gaparch_protocol::DEFAULT_MAX_FRAME;
    assert_eq!(decode(&[0, 0, 0, 0]), Err(FrameError::Empty));
    assert_eq!(decode(&[0xff; 4]), Err(FrameError::Oversized { length: u32::MAX as usize, max }));
    assert_eq!(decode(&[0, 0, 0, 1, 99]), Err(FrameError::Malformed { kind: 99, length: 1 }));
    // A probe with an additional byte.
    let too_long = [&[0, 0, 0, 10, 7][..], &[0; 9]].concat();
    assert_eq!(decode(&too_long), Err(FrameError::Malformed { kind: 7, length: 10 }));
}

#[test]
fn statuses_that_only_a_router_can_determine_are_malformed_and_later_codes_are_unknown() {
    let outcome = |status| EngineFrame::Outcome {
        key: AttemptKey { request: 1, attempt: 0 },
        status,
        note: 0,
        produced_tokens: 0,
        report: None,
    };
    for status in [AttemptStatus::Prefilled, AttemptStatus::ConnectFailed, AttemptStatus::Expired] {
        assert!(decode_in_chunks::<EngineFrame>(&encoded(&[outcome(status)]), &[64]).is_err(), "{status:?}");
    }
    let mut later = encoded(&[outcome(AttemptStatus::Ok)]);
    later[4 + 1 + 12] = 77;
    assert_eq!(decode_in_chunks(&later, &[64]), Ok(vec![outcome(AttemptStatus::Unknown)]));
}

#[test]
fn dialects_decode_what_they_encode() {
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
        let dialect = Dialect::builtin(name).expect("a built-in dialect");
        let mut bytes = BytesMut::new();
        events.iter().for_each(|event| dialect.encode(event, &mut bytes));
        let mut decoder = SseDecoder::new(10_000);
        decoder.feed(&bytes);
        let mut seen = Vec::new();
        while let Some(event) = decoder.next_event().expect("a valid event stream") {
            if seen.is_empty() {
                assert_eq!(event.name, first);
            }
            seen.push(dialect.decode(&event).expect("an event of this dialect"));
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
fn events_with_comments_crlf_and_several_data_lines_are_decoded() {
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
fn invalid_request_fields_are_rejected_by_name() {
    let dialect = Dialect::builtin("own").expect("a built-in dialect");
    let parse = |extra: &str| {
        let body =
            format!(r#"{{"model":"m","max_tokens":5,"messages":[{{"role":"user","content":"hi"}}]{extra}}}"#);
        parse_request(&dialect, body.as_bytes(), |_| None)
    };
    assert!(parse("").is_ok());
    assert_eq!(parse(r#","prompt_tokens":12.0"#).map(|request| request.prompt_tokens), Ok(12));
    for value in ["-1", "1.5", "1e300", "\"7\"", "16000001", "[]"] {
        for field in ["prompt_tokens", "prefix_tokens", "answer_hint"] {
            let error = parse(&format!(r#","{field}":{value}"#)).expect_err(value);
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
