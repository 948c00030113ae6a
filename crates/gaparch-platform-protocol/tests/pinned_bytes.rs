//! Bytes of the platform's protocol, as written and read by an earlier build: they must not change.

use bytes::{Bytes, BytesMut};
use gaparch_platform_protocol::body::{encode_chunk, BodyDecoder, BodyPart, Framing, LAST_CHUNK};
use gaparch_platform_protocol::client_request::{ClientRequest, ClientRequestError, TransactionId};
use gaparch_platform_protocol::head::{
    decode_request, decode_response, encode_response, event_stream_head, HeaderValue, RequestHead,
};
use gaparch_platform_protocol::worker::{encode_probe, encode_release, encode_request_head, encode_reserve};

const HOST: &str = "10.0.0.7:8000";

const JOB: &str = "POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: 10.0.0.7:8000\r\nX-Txn: Ab_9-z\r\n\
    X-Remaining-Ms: 1250\r\nContent-Type: application/json\r\nContent-Length: 17\r\n\r\n";
const RESERVE: &str =
    "POST /internal/reservations/Ab_9-z HTTP/1.1\r\nHost: 10.0.0.7:8000\r\nContent-Length: 0\r\n\r\n";
const RELEASE: &str = "DELETE /internal/reservations/Ab_9-z HTTP/1.1\r\nHost: 10.0.0.7:8000\r\n\r\n";
const PROBE: &str = "GET /ping HTTP/1.1\r\nHost: 10.0.0.7:8000\r\n\r\n";

fn txn() -> TransactionId {
    TransactionId::new("Ab_9-z").expect("an id")
}

fn request(text: &str) -> RequestHead {
    let mut bytes = BytesMut::from(text.as_bytes());
    let head = decode_request(&mut bytes).expect("valid").expect("complete");
    assert!(bytes.is_empty(), "{text}");
    head
}

#[test]
fn requests_to_workers() {
    let head = encode_request_head("/v1/chat/completions?x=1", &txn(), HOST, 1250, 17);
    assert_eq!(head, JOB.as_bytes());
    let read = request(JOB);
    assert_eq!((read.method.as_str(), read.target.as_str()), ("POST", "/v1/chat/completions?x=1"));
    assert_eq!((read.framing, read.close), (Framing::Length(17), false));
    assert_eq!(
        (read.header("x-txn"), read.header("x-remaining-ms")),
        (HeaderValue::Single("Ab_9-z"), HeaderValue::Single("1250"))
    );

    assert_eq!(encode_reserve(&txn(), HOST), RESERVE.as_bytes());
    let read = request(RESERVE);
    assert_eq!((read.method.as_str(), read.target.as_str()), ("POST", "/internal/reservations/Ab_9-z"));

    assert_eq!(encode_release(&txn(), HOST), RELEASE.as_bytes());
    let read = request(RELEASE);
    assert_eq!((read.method.as_str(), read.target.as_str()), ("DELETE", "/internal/reservations/Ab_9-z"));

    assert_eq!(encode_probe(HOST), PROBE.as_bytes());
    let read = request(PROBE);
    assert_eq!((read.method.as_str(), read.target.as_str()), ("GET", "/ping"));
}

#[test]
fn responses_to_clients() {
    let reasons = [
        (200, "OK"),
        (204, "No Content"),
        (400, "Bad Request"),
        (404, "Not Found"),
        (405, "Method Not Allowed"),
        (408, "Request Timeout"),
        (409, "Conflict"),
        (413, "Content Too Large"),
        (429, "Too Many Requests"),
        (431, "Request Header Fields Too Large"),
        (500, "Internal Server Error"),
        (503, "Service Unavailable"),
        (502, "Answer"),
    ];
    for (status, reason) in reasons {
        let expected = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ntext"
        );
        assert_eq!(encode_response(status, &[], "text", false), expected.as_bytes());
    }
    let closing = "HTTP/1.1 429 Too Many Requests\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\
        Retry-After: 0.250\r\nConnection: close\r\n\r\ntext";
    let bytes = encode_response(429, &[("Retry-After", "0.250".to_owned())], "text", true);
    assert_eq!(bytes, closing.as_bytes());
    let mut buffer = BytesMut::from(closing.as_bytes());
    let head = decode_response(&mut buffer).expect("valid").expect("complete");
    assert_eq!((head.status, head.framing, head.close), (429, Framing::Length(4), true));
    assert_eq!((head.first_value("retry-after"), &buffer[..]), (Some("0.250"), &b"text"[..]));
}

#[test]
fn streams_to_clients() {
    let open = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let closing = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    assert_eq!((event_stream_head(false), event_stream_head(true)), (&open[..], &closing[..]));
    for (bytes, close) in [(&open[..], false), (&closing[..], true)] {
        let head = decode_response(&mut BytesMut::from(bytes)).expect("valid").expect("complete");
        assert_eq!((head.status, head.framing, head.close), (200, Framing::Chunked, close));
    }

    let chunks = b"19\r\ndata: {\"a\":1}\n\ndata: {}\n\n\r\n0\r\n\r\n";
    let mut written = BytesMut::new();
    encode_chunk(&mut written, b"");
    encode_chunk(&mut written, b"data: {\"a\":1}\n\ndata: {}\n\n");
    written.extend_from_slice(LAST_CHUNK);
    assert_eq!(&written[..], chunks);
    let mut body = BodyDecoder::new(Framing::Chunked);
    let mut bytes = BytesMut::from(&chunks[..]);
    let data = Bytes::from_static(b"data: {\"a\":1}\n\ndata: {}\n\n");
    assert_eq!(body.decode(&mut bytes), Ok(BodyPart::Data(data)));
    assert_eq!(body.decode(&mut bytes), Ok(BodyPart::End));
}

/// The texts are bodies of responses, which clients see.
#[test]
fn errors_of_a_clients_request() {
    let expected = [
        (ClientRequestError::Path, 404, "nothing is served there"),
        (ClientRequestError::Method, 405, "that is done with POST"),
        (ClientRequestError::Id, 400, "X-Txn must be there once: up to 64 letters, digits, '-' or '_'"),
        (ClientRequestError::Class, 400, "X-Lane must name a class of the settings"),
        (ClientRequestError::Deadline, 400, "X-Remaining-Ms must be a whole number of milliseconds"),
        (ClientRequestError::Repeated, 400, "X-Org, X-Entity, X-Labels and X-Resent may be there once each"),
        (ClientRequestError::NoBody, 400, "a request must have a body"),
    ];
    for (error, status, text) in expected {
        assert_eq!((error.status(), error.to_string().as_str()), (status, text));
    }
}

mod requests_of_clients {
    use super::*;
    use gaparch_scheduler::api::{AffinityKey, ClassId, TenantId};
    use serde_json::json;

    fn read(headers: &str) -> Result<ClientRequest, ClientRequestError> {
        let object = json!({"services": [{"name": "batch"}, {"name": "chat"}], "tenants": [{"name": "t0"}, {"name": "t1"}]});
        let settings = gaparch_platform_settings::PlatformSettings::read(&object, 0);
        ClientRequest::from_head(
            &request(&format!("POST /v1/chat/completions?v=2 HTTP/1.1\r\n{headers}\r\n\r\n")),
            &settings,
        )
    }

    #[test]
    fn with_every_header() {
        let head = "X-Txn: t-1\r\nX-Lane: chat\r\nX-Remaining-Ms: 1500\r\nX-Org: t1\r\nX-Entity: conversation\r\n\
            X-Labels: prefix=shared, prompt_len=900,prefix_len=300,max_out=64,other=1\r\nX-Resent: again\r\nContent-Length: 2";
        let expected = ClientRequest {
            transaction: TransactionId::new("t-1").expect("an id"),
            class: ClassId(1),
            tenant: Some(TenantId(1)),
            session: Some(AffinityKey::from_text("conversation")),
            prefix: Some(AffinityKey::from_text("shared")),
            prompt_tokens: 900,
            prefix_tokens: 300,
            max_output_tokens: 64,
            remaining: 1_500_000_000,
            client_retry: true,
            client_reconnect: true,
        };
        assert_eq!(read(head), Ok(expected));
    }

    #[test]
    fn with_only_what_must_be_there() {
        let request =
            read("X-Txn: t-1\r\nX-Lane: batch\r\nX-Remaining-Ms: 3600000\r\nX-Resent: 1").expect("valid");
        assert_eq!(
            (request.class, request.tenant, request.session, request.prefix),
            (ClassId(0), None, None, None)
        );
        assert_eq!((request.prompt_tokens, request.prefix_tokens, request.max_output_tokens), (0, 0, 0));
        assert_eq!(
            (request.remaining, request.client_retry, request.client_reconnect),
            (3_600_000_000_000, true, false)
        );
        assert_eq!(request.with_body_length(403).prompt_tokens, 100);
    }

    #[test]
    fn with_something_missing() {
        let errors = [
            ("X-Lane: chat\r\nX-Remaining-Ms: 1", ClientRequestError::Id),
            ("X-Txn: a b\r\nX-Lane: chat\r\nX-Remaining-Ms: 1", ClientRequestError::Id),
            ("X-Txn: a\r\nX-Txn: b\r\nX-Lane: chat\r\nX-Remaining-Ms: 1", ClientRequestError::Id),
            ("X-Txn: a\r\nX-Lane: none\r\nX-Remaining-Ms: 1", ClientRequestError::Class),
            ("X-Txn: a\r\nX-Lane: chat\r\nX-Remaining-Ms: -1", ClientRequestError::Deadline),
            ("X-Txn: a\r\nX-Lane: chat\r\nX-Remaining-Ms: 3600001", ClientRequestError::Deadline),
            (
                "X-Txn: a\r\nX-Lane: chat\r\nX-Remaining-Ms: 1\r\nX-Org: x\r\nX-Org: y",
                ClientRequestError::Repeated,
            ),
        ];
        for (headers, error) in errors {
            assert_eq!(read(headers), Err(error), "{headers}");
        }
    }
}
