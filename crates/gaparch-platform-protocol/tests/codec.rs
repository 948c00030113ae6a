//! The codec takes the same from the same bytes however they are cut, and never holds more than its bounds.

use bytes::{Bytes, BytesMut};
use gaparch_platform_protocol::body::{
    encode_chunk, BodyDecoder, BodyError, BodyPart, Framing, LAST_CHUNK, MAX_BODY_BYTES,
};
use gaparch_platform_protocol::event_stream::{EventStream, EventStreamError};
use gaparch_platform_protocol::head::{
    decode_request, decode_response, HeadError, RequestHead, MAX_HEAD_BYTES,
};
use proptest::prelude::*;

type Taken = Result<(RequestHead, Vec<u8>), String>;

/// What a message is, fed in pieces that end at these places.
fn request(bytes: &[u8], cuts: &[usize]) -> Option<Taken> {
    let mut buf = BytesMut::new();
    let mut head: Option<(RequestHead, BodyDecoder)> = None;
    let mut whole = Vec::new();
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).chain([bytes.len()]).collect();
    ends.sort_unstable();
    let mut from = 0;
    for end in ends {
        buf.extend_from_slice(&bytes[from..end]);
        from = end;
        if head.is_none() {
            match decode_request(&mut buf) {
                Ok(Some(taken)) => head = Some((taken.clone(), BodyDecoder::new(taken.framing))),
                Ok(None) => continue,
                Err(error) => return Some(Err(error.to_string())),
            }
        }
        let Some((taken, body)) = head.as_mut() else { continue };
        loop {
            match body.decode(&mut buf) {
                Ok(BodyPart::Data(data)) => whole.extend_from_slice(&data),
                Ok(BodyPart::Incomplete) => break,
                Ok(BodyPart::End) => return Some(Ok((taken.clone(), whole))),
                Err(error) => return Some(Err(error.to_string())),
            }
        }
    }
    None
}

fn chunked(pieces: &[Vec<u8>]) -> Vec<u8> {
    let mut out = BytesMut::from(&b"POST /x HTTP/1.1\r\nX-Txn: 1\r\nTransfer-Encoding: chunked\r\n\r\n"[..]);
    pieces.iter().for_each(|piece| encode_chunk(&mut out, piece));
    out.extend_from_slice(LAST_CHUNK);
    out.to_vec()
}

/// What a stream of events is, cut so; whether it was whole.
fn events(bytes: &[u8], cuts: &[usize]) -> (Vec<u8>, Result<bool, EventStreamError>) {
    let mut events = EventStream::default();
    let mut passed = Vec::new();
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).chain([bytes.len()]).collect();
    ends.sort_unstable();
    let mut from = 0;
    for end in ends {
        match events.push(&bytes[from..end]) {
            Ok(run) => passed.extend_from_slice(&run.unwrap_or_default()),
            Err(error) => return (passed, Err(error)),
        }
        from = end;
    }
    (passed, Ok(events.is_complete()))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_chunked_message_is_the_same_however_it_is_cut(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..300), 0..8),
        cuts in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let bytes = chunked(&pieces);
        let (head, body) = request(&bytes, &cuts).expect("whole").expect("sound");
        prop_assert_eq!(head.framing, Framing::Chunked);
        prop_assert_eq!(body, pieces.concat());
    }

    #[test]
    fn rubbish_is_the_same_however_it_is_cut_and_holds_no_more_than_a_head(
        mut bytes in prop::collection::vec(any::<u8>(), 0..400),
        sound in 0usize..60,
        cuts in prop::collection::vec(any::<usize>(), 0..6),
    ) {
        // A sound beginning gets further in.
        let start = chunked(&[b"abc".to_vec()]);
        bytes.splice(0..0, start[..sound.min(start.len())].iter().copied());
        let once = request(&bytes, &[]);
        let cut = request(&bytes, &cuts);
        if let (Some(Ok(once)), Some(Ok(cut))) = (&once, &cut) {
            prop_assert_eq!(once, cut);
        }
        prop_assert_eq!(once.as_ref().map(Result::is_ok), cut.as_ref().map(Result::is_ok));
        let _ = decode_response(&mut BytesMut::from(&bytes[..]));
    }

    #[test]
    fn events_pass_unchanged_however_they_are_cut(
        texts in prop::collection::vec("[a-z{}\":]{0,40}", 1..6),
        cuts in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let text: String = texts.iter().map(|text| format!("data: {text}\n\n")).collect();
        let whole = format!("{text}data: [DONE]\n\n");
        prop_assert_eq!(events(whole.as_bytes(), &cuts), (whole.clone().into_bytes(), Ok(true)));
        // Without its last event it is not whole.
        prop_assert_eq!(events(text.as_bytes(), &cuts).1, Ok(false));
    }
}

#[test]
fn lengths_that_may_hide_a_message_are_none() {
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
fn a_head_without_end_is_told_at_its_bound() {
    let mut bytes = BytesMut::from(&b"GET / HTTP/1.1\r\nX: "[..]);
    bytes.extend_from_slice(&vec![b'x'; MAX_HEAD_BYTES]);
    assert_eq!(decode_request(&mut bytes), Err(HeadError::TooLong));
    let mut bytes = BytesMut::from(&b"HTTP/1.1 200 OK\r\nX: "[..]);
    bytes.extend_from_slice(&vec![b'x'; MAX_HEAD_BYTES]);
    assert_eq!(decode_response(&mut bytes), Err(HeadError::TooLong));
}

#[test]
fn chunks_that_make_no_sense_are_told_and_take_no_memory() {
    let first = |bytes: &str| {
        let mut body = BodyDecoder::new(Framing::Chunked);
        let mut bytes = BytesMut::from(bytes.as_bytes());
        loop {
            match body.decode(&mut bytes) {
                Ok(BodyPart::Data(_)) => {}
                other => return other,
            }
        }
    };
    assert_eq!(first("zz\r\n"), Err(BodyError::ChunkSize));
    assert_eq!(first("-1\r\n"), Err(BodyError::ChunkSize));
    assert_eq!(first("\r\n"), Err(BodyError::ChunkSize));
    assert_eq!(first(&format!("{:x}\r\n", MAX_BODY_BYTES + 1)), Err(BodyError::ChunkTooLong));
    assert_eq!(first("ffffffffffffffffff\r\n"), Err(BodyError::ChunkTooLong));
    assert_eq!(first("3\r\nabcd"), Err(BodyError::ChunkEnd));
    assert_eq!(first(&"1".repeat(300)), Err(BodyError::ChunkSize));
    assert_eq!(first("2;name=value\r\nab\r\n0\r\nX: y\r\n\r\n"), Ok(BodyPart::End));
    assert_eq!(first(&format!("0\r\n{}", "X: y\r\n".repeat(2000))), Err(BodyError::Trailer));
    // Another message right behind is left alone.
    let mut body = BodyDecoder::new(Framing::Length(2));
    let mut bytes = BytesMut::from(&b"abGET / HTTP/1.1"[..]);
    assert_eq!(body.decode(&mut bytes), Ok(BodyPart::Data(Bytes::from_static(b"ab"))));
    assert_eq!(body.decode(&mut bytes), Ok(BodyPart::End));
    assert_eq!(&bytes[..], b"GET / HTTP/1.1");
}

#[test]
fn what_is_no_event_is_told_before_it_is_passed_on() {
    assert_eq!(events(b"noise", &[]).1, Err(EventStreamError::NotAnEvent));
    assert_eq!(events(b"data: a\n\nnoise", &[]).1, Err(EventStreamError::NotAnEvent));
    assert_eq!(events(b"data: [DONE]\n\ndata: b\n\n", &[]).1, Err(EventStreamError::AfterDone));
    assert_eq!(
        events(format!("data: {}", "x".repeat(70_000)).as_bytes(), &[]).1,
        Err(EventStreamError::TooLong)
    );
}
