//! The decoders return the same for the same bytes however they are split, and enforce their limits.

use bytes::{Bytes, BytesMut};
use gaparch_platform_protocol::body::{
    encode_chunk, BodyDecoder, BodyError, BodyPart, Framing, LAST_CHUNK, MAX_BODY_BYTES,
};
use gaparch_platform_protocol::event_stream::{EventStream, EventStreamError};
use gaparch_platform_protocol::head::{
    decode_request, decode_response, HeadError, RequestHead, MAX_HEAD_BYTES,
};
use proptest::prelude::*;

type DecodedRequest = Result<(RequestHead, Vec<u8>), String>;

/// Decodes a request whose bytes arrive in pieces that end at these positions; `None` if it is incomplete.
fn decode_in_pieces(bytes: &[u8], cuts: &[usize]) -> Option<DecodedRequest> {
    let mut buf = BytesMut::new();
    let mut head: Option<(RequestHead, BodyDecoder)> = None;
    let mut complete_body = Vec::new();
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).chain([bytes.len()]).collect();
    ends.sort_unstable();
    let mut from = 0;
    for end in ends {
        buf.extend_from_slice(&bytes[from..end]);
        from = end;
        if head.is_none() {
            match decode_request(&mut buf) {
                Ok(Some(decoded)) => head = Some((decoded.clone(), BodyDecoder::new(decoded.framing))),
                Ok(None) => continue,
                Err(error) => return Some(Err(error.to_string())),
            }
        }
        let Some((decoded_head, body)) = head.as_mut() else { continue };
        loop {
            match body.decode(&mut buf) {
                Ok(BodyPart::Data(data)) => complete_body.extend_from_slice(&data),
                Ok(BodyPart::Incomplete) => break,
                Ok(BodyPart::End) => return Some(Ok((decoded_head.clone(), complete_body))),
                Err(error) => return Some(Err(error.to_string())),
            }
        }
    }
    None
}

fn chunked_request(pieces: &[Vec<u8>]) -> Vec<u8> {
    let mut out = BytesMut::from(&b"POST /x HTTP/1.1\r\nX-Txn: 1\r\nTransfer-Encoding: chunked\r\n\r\n"[..]);
    pieces.iter().for_each(|piece| encode_chunk(&mut out, piece));
    out.extend_from_slice(LAST_CHUNK);
    out.to_vec()
}

/// Forwards a stream of events that arrives in pieces that end at these positions. Returns the forwarded
/// bytes, and whether the stream is complete.
fn forward_events(bytes: &[u8], cuts: &[usize]) -> (Vec<u8>, Result<bool, EventStreamError>) {
    let mut events = EventStream::default();
    let mut forwarded = Vec::new();
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).chain([bytes.len()]).collect();
    ends.sort_unstable();
    let mut from = 0;
    for end in ends {
        match events.push(&bytes[from..end]) {
            Ok(run) => forwarded.extend_from_slice(&run.unwrap_or_default()),
            Err(error) => return (forwarded, Err(error)),
        }
        from = end;
    }
    (forwarded, Ok(events.is_complete()))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_chunked_request_does_not_depend_on_how_it_is_split(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..300), 0..8),
        cuts in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let bytes = chunked_request(&pieces);
        let (head, body) = decode_in_pieces(&bytes, &cuts).expect("complete").expect("valid");
        prop_assert_eq!(head.framing, Framing::Chunked);
        prop_assert_eq!(body, pieces.concat());
    }

    #[test]
    fn the_result_for_arbitrary_bytes_does_not_depend_on_how_they_are_split(
        mut bytes in prop::collection::vec(any::<u8>(), 0..400),
        valid_prefix in 0usize..60,
        cuts in prop::collection::vec(any::<usize>(), 0..6),
    ) {
        // A valid beginning lets the decoder get beyond the first bytes.
        let start = chunked_request(&[b"abc".to_vec()]);
        bytes.splice(0..0, start[..valid_prefix.min(start.len())].iter().copied());
        let at_once = decode_in_pieces(&bytes, &[]);
        let split = decode_in_pieces(&bytes, &cuts);
        if let (Some(Ok(at_once)), Some(Ok(split))) = (&at_once, &split) {
            prop_assert_eq!(at_once, split);
        }
        prop_assert_eq!(at_once.as_ref().map(Result::is_ok), split.as_ref().map(Result::is_ok));
        let _ = decode_response(&mut BytesMut::from(&bytes[..]));
    }

    #[test]
    fn events_are_forwarded_unchanged_however_they_are_split(
        texts in prop::collection::vec("[a-z{}\":]{0,40}", 1..6),
        cuts in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let text: String = texts.iter().map(|text| format!("data: {text}\n\n")).collect();
        let complete = format!("{text}data: [DONE]\n\n");
        let expected = (complete.clone().into_bytes(), Ok(true));
        prop_assert_eq!(forward_events(complete.as_bytes(), &cuts), expected);
        // Without its last event the stream is incomplete.
        prop_assert_eq!(forward_events(text.as_bytes(), &cuts).1, Ok(false));
    }
}

#[test]
fn ambiguous_framing_that_may_hide_a_message_is_rejected() {
    let head = |lines: &str| {
        let bytes = format!("POST / HTTP/1.1\r\n{lines}\r\n\r\n");
        decode_request(&mut BytesMut::from(bytes.as_bytes()))
    };
    for lines in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Content-Length: 3\r\nContent-Length: 3",
        "Content-Length: 3, 3",
        "Content-Length: +3",
        "Content-Length: 0x3",
        "Content-Length: ",
        "Content-Length: 3 3",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ] {
        assert_eq!(head(lines), Err(HeadError::Framing), "{lines}");
    }
    assert_eq!(head("Content-Length: 3").map(|h| h.map(|h| h.framing)), Ok(Some(Framing::Length(3))));
    assert_eq!(head("Content-Length : 3"), Err(HeadError::Malformed));
}

#[test]
fn a_head_that_exceeds_the_maximum_length_is_rejected() {
    let mut bytes = BytesMut::from(&b"GET / HTTP/1.1\r\nX: "[..]);
    bytes.extend_from_slice(&vec![b'x'; MAX_HEAD_BYTES]);
    assert_eq!(decode_request(&mut bytes), Err(HeadError::TooLong));
    let mut bytes = BytesMut::from(&b"HTTP/1.1 200 OK\r\nX: "[..]);
    bytes.extend_from_slice(&vec![b'x'; MAX_HEAD_BYTES]);
    assert_eq!(decode_response(&mut bytes), Err(HeadError::TooLong));
}

#[test]
fn malformed_or_too_long_chunks_are_rejected() {
    let first_non_data = |bytes: &str| {
        let mut body = BodyDecoder::new(Framing::Chunked);
        let mut bytes = BytesMut::from(bytes.as_bytes());
        loop {
            match body.decode(&mut bytes) {
                Ok(BodyPart::Data(_)) => {}
                other => return other,
            }
        }
    };
    assert_eq!(first_non_data("zz\r\n"), Err(BodyError::ChunkSize));
    assert_eq!(first_non_data("-1\r\n"), Err(BodyError::ChunkSize));
    assert_eq!(first_non_data("\r\n"), Err(BodyError::ChunkSize));
    assert_eq!(first_non_data(&format!("{:x}\r\n", MAX_BODY_BYTES + 1)), Err(BodyError::ChunkTooLong));
    assert_eq!(first_non_data("ffffffffffffffffff\r\n"), Err(BodyError::ChunkTooLong));
    assert_eq!(first_non_data("3\r\nabcd"), Err(BodyError::ChunkEnd));
    assert_eq!(first_non_data(&"1".repeat(300)), Err(BodyError::ChunkSize));
    assert_eq!(first_non_data("2;name=value\r\nab\r\n0\r\nX: y\r\n\r\n"), Ok(BodyPart::End));
    assert_eq!(first_non_data(&format!("0\r\n{}", "X: y\r\n".repeat(2000))), Err(BodyError::Trailer));
    // A message that follows in the buffer is not touched.
    let mut body = BodyDecoder::new(Framing::Length(2));
    let mut bytes = BytesMut::from(&b"abGET / HTTP/1.1"[..]);
    assert_eq!(body.decode(&mut bytes), Ok(BodyPart::Data(Bytes::from_static(b"ab"))));
    assert_eq!(body.decode(&mut bytes), Ok(BodyPart::End));
    assert_eq!(&bytes[..], b"GET / HTTP/1.1");
}

#[test]
fn bytes_that_are_not_an_event_are_rejected_before_they_are_forwarded() {
    assert_eq!(forward_events(b"noise", &[]).1, Err(EventStreamError::NotAnEvent));
    assert_eq!(forward_events(b"data: a\n\nnoise", &[]).1, Err(EventStreamError::NotAnEvent));
    assert_eq!(forward_events(b"data: [DONE]\n\ndata: b\n\n", &[]).1, Err(EventStreamError::AfterDone));
    assert_eq!(
        forward_events(format!("data: {}", "x".repeat(70_000)).as_bytes(), &[]).1,
        Err(EventStreamError::TooLong)
    );
}

/// Guards against comments that are forwarded as if they were events, and against buffering them without
/// bound.
#[test]
fn blocks_without_data_are_forwarded_with_the_next_event() {
    let without_data = ": ping\n\nevent: progress\nid: 7\r\n\r\n";
    assert_eq!(forward_events(without_data.as_bytes(), &[9]), (Vec::new(), Ok(false)));
    let whole = format!("{without_data}event: x\r\ndata: a\r\n\r\n: ping\n\nid: 8\ndata\n\ndata: [DONE]\n\n");
    for cut in 0..whole.len() {
        assert_eq!(forward_events(whole.as_bytes(), &[cut]), (whole.clone().into_bytes(), Ok(true)), "{cut}");
    }
    let comments = ": ping\n\n".repeat(10_000);
    assert_eq!(forward_events(comments.as_bytes(), &[]), (Vec::new(), Err(EventStreamError::TooLong)));
    assert_eq!(forward_events(b"data: [DONE]\n\n: ping\n\n", &[]).1, Err(EventStreamError::AfterDone));
}

/// Guards against long events that have to be buffered whole: their start can be taken out at any time, and the
/// stream is the same.
#[test]
fn the_start_of_a_long_event_can_be_taken_out() {
    let long = format!("id: 7\ndata: {}\r\ndata: more\r\n\r\n", "x".repeat(20_000));
    let stream = format!("data: first\n\n: comment\n\n{long}data: [DONE]\n\n");
    for piece_length in [1, 7, 1000, 4096] {
        let mut events = EventStream::default();
        let mut passed_on = Vec::new();
        for piece in stream.as_bytes().chunks(piece_length) {
            passed_on.extend_from_slice(&events.push(piece).expect("valid").unwrap_or_default());
            if passed_on.len() > 12 {
                passed_on.extend_from_slice(&events.take_start());
                assert!(events.buffered_bytes() <= 512, "{} bytes", events.buffered_bytes());
            }
        }
        assert!(events.is_complete(), "in pieces of {piece_length}");
        assert_eq!(String::from_utf8_lossy(&passed_on), stream);
    }
    // Its length counts as a whole, and what follows it has to begin an event.
    let mut events = EventStream::default();
    let too_long = (0..100).find_map(|_| {
        let result = events.push(format!("data: {}", "x".repeat(994)).as_bytes());
        events.take_start();
        result.err()
    });
    assert_eq!(too_long, Some(EventStreamError::TooLong));
    let mut events = EventStream::default();
    assert_eq!(events.push(format!("data: {}", "x".repeat(600)).as_bytes()), Ok(None));
    events.take_start();
    assert!(events.push(b" end\n\n").is_ok_and(|event| event.is_some()));
    assert_eq!(events.push(b"noise"), Err(EventStreamError::NotAnEvent));
}
