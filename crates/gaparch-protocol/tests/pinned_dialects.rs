//! The bytes that clients get in each built-in dialect, for each stream event, complete answers and errors,
//! and the names of these in the settings.

mod common;

use bytes::BytesMut;
use common::assert_text;
use gaparch_protocol::client::{
    Answer, ClientEvent, Dialect, ErrorBody, ErrorKind, EventKind, FieldValue, Label, RequestField,
    SseDecoder, StopReason, Usage,
};

const USAGE: Usage = Usage { prompt_tokens: 7, cached_prompt_tokens: 3, output_tokens: 11 };
const ERROR_KINDS: [ErrorKind; 4] =
    [ErrorKind::Invalid, ErrorKind::Unauthorized, ErrorKind::Rejected, ErrorKind::Failed];

fn failed(kind: ErrorKind) -> ClientEvent {
    ClientEvent::Failed { kind, message: "a \"quoted\"\nline".to_owned(), retry_harmless: true }
}

fn events() -> Vec<ClientEvent> {
    let mut events = vec![
        ClientEvent::MessageStart { id: "msg_1_2".to_owned(), model: "m".to_owned(), usage: USAGE },
        ClientEvent::ContentBlockStart,
        ClientEvent::TextDelta { text: "hello".to_owned() },
        ClientEvent::TextDelta { text: "é\u{1}\\\"".to_owned() },
        ClientEvent::KeepAlive,
        ClientEvent::ContentBlockStop,
        ClientEvent::Usage { usage: USAGE, reason: StopReason::MaxTokens },
        ClientEvent::Usage { usage: USAGE, reason: StopReason::Finished },
        ClientEvent::MessageStop { reason: StopReason::MaxTokens },
        ClientEvent::MessageStop { reason: StopReason::Finished },
    ];
    events.extend(ERROR_KINDS.map(failed));
    events
}

fn answer(reason: StopReason) -> Answer {
    Answer {
        id: "msg_1_2".to_owned(),
        model: "m".to_owned(),
        text: "hello\n".to_owned(),
        usage: USAGE,
        reason,
    }
}

fn dialect(name: &str) -> Dialect {
    Dialect::builtin(name).expect("a built-in dialect")
}

fn stream(name: &str) -> String {
    let dialect = dialect(name);
    let mut bytes = BytesMut::new();
    events().iter().for_each(|event| dialect.encode(event, &mut bytes));
    String::from_utf8(bytes.to_vec()).expect("JSON is text")
}

fn text(bytes: BytesMut) -> String {
    String::from_utf8(bytes.to_vec()).expect("JSON is text")
}

fn errors(name: &str) -> String {
    let dialect = dialect(name);
    let error = |kind| text(dialect.encode_error(kind, "busy", kind == ErrorKind::Rejected));
    ERROR_KINDS.map(error).join("\n")
}

/// Decodes the pinned stream.
fn decoded(name: &str) -> Vec<ClientEvent> {
    let dialect = dialect(name);
    let mut decoder = SseDecoder::new(10_000);
    decoder.feed(stream(name).as_bytes());
    let mut decoded = Vec::new();
    while let Some(event) = decoder.next_event().expect("a valid event stream") {
        decoded.push(dialect.decode(&event).expect("an event of this dialect"));
    }
    decoded
}

#[test]
fn own_events_keep_their_bytes() {
    assert_text(
        &stream("own"),
        r#"event: opened
data: {"id":"msg_1_2","model":"m","prompt_tokens":7}

event: part
data: {"text":"hello"}

event: part
data: {"text":"é\u0001\\\""}

event: waiting
data: {}

event: usage
data: {"kept_tokens":3,"output_tokens":11,"prompt_tokens":7}

event: usage
data: {"kept_tokens":3,"output_tokens":11,"prompt_tokens":7}

event: closed
data: {"reason":"max-tokens"}

event: closed
data: {"reason":"finished"}

event: failed
data: {"kind":"invalid","message":"a \"quoted\"\nline","retry_harmless":true}

event: failed
data: {"kind":"unauthorized","message":"a \"quoted\"\nline","retry_harmless":true}

event: failed
data: {"kind":"refused","message":"a \"quoted\"\nline","retry_harmless":true}

event: failed
data: {"kind":"failed","message":"a \"quoted\"\nline","retry_harmless":true}

"#,
    );
}

#[test]
fn messages_events_keep_their_bytes() {
    assert_text(
        &stream("messages"),
        r#"event: message_start
data: {"message":{"content":[],"id":"msg_1_2","model":"m","role":"assistant","type":"message","usage":{"cache_read_input_tokens":3,"input_tokens":7,"output_tokens":11}},"type":"message_start"}

event: content_block_start
data: {"content_block":{"text":"","type":"text"},"index":0,"type":"content_block_start"}

event: content_block_delta
data: {"delta":{"text":"hello","type":"text_delta"},"index":0,"type":"content_block_delta"}

event: content_block_delta
data: {"delta":{"text":"é\u0001\\\"","type":"text_delta"},"index":0,"type":"content_block_delta"}

event: ping
data: {"type":"ping"}

event: content_block_stop
data: {"index":0,"type":"content_block_stop"}

event: message_delta
data: {"delta":{"stop_reason":"max_tokens"},"type":"message_delta","usage":{"output_tokens":11}}

event: message_delta
data: {"delta":{"stop_reason":"end_turn"},"type":"message_delta","usage":{"output_tokens":11}}

event: message_stop
data: {"type":"message_stop"}

event: message_stop
data: {"type":"message_stop"}

event: error
data: {"error":{"message":"a \"quoted\"\nline","retry_harmless":true,"type":"invalid_request_error"},"type":"error"}

event: error
data: {"error":{"message":"a \"quoted\"\nline","retry_harmless":true,"type":"authentication_error"},"type":"error"}

event: error
data: {"error":{"message":"a \"quoted\"\nline","retry_harmless":true,"type":"overloaded_error"},"type":"error"}

event: error
data: {"error":{"message":"a \"quoted\"\nline","retry_harmless":true,"type":"api_error"},"type":"error"}

"#,
    );
}

#[test]
fn answers_and_errors_keep_their_bytes() {
    assert_text(
        &text(dialect("own").encode_answer(&answer(StopReason::Finished))),
        r#"{"id":"msg_1_2","model":"m","reason":"finished","text":"hello\n","usage":{"kept_tokens":3,"output_tokens":11,"prompt_tokens":7}}"#,
    );
    assert_text(
        &text(dialect("own").encode_answer(&answer(StopReason::MaxTokens))),
        r#"{"id":"msg_1_2","model":"m","reason":"max-tokens","text":"hello\n","usage":{"kept_tokens":3,"output_tokens":11,"prompt_tokens":7}}"#,
    );
    assert_text(
        &text(dialect("messages").encode_answer(&answer(StopReason::Finished))),
        r#"{"content":[{"text":"hello\n","type":"text"}],"id":"msg_1_2","model":"m","role":"assistant","stop_reason":"end_turn","type":"message","usage":{"cache_read_input_tokens":3,"input_tokens":7,"output_tokens":11}}"#,
    );
    assert_text(
        &text(dialect("messages").encode_answer(&answer(StopReason::MaxTokens))),
        r#"{"content":[{"text":"hello\n","type":"text"}],"id":"msg_1_2","model":"m","role":"assistant","stop_reason":"max_tokens","type":"message","usage":{"cache_read_input_tokens":3,"input_tokens":7,"output_tokens":11}}"#,
    );
    assert_text(
        &errors("own"),
        r#"{"kind":"invalid","message":"busy","retry_harmless":false}
{"kind":"unauthorized","message":"busy","retry_harmless":false}
{"kind":"refused","message":"busy","retry_harmless":true}
{"kind":"failed","message":"busy","retry_harmless":false}"#,
    );
    assert_text(
        &errors("messages"),
        r#"{"error":{"message":"busy","retry_harmless":false,"type":"invalid_request_error"},"type":"error"}
{"error":{"message":"busy","retry_harmless":false,"type":"authentication_error"},"type":"error"}
{"error":{"message":"busy","retry_harmless":true,"type":"overloaded_error"},"type":"error"}
{"error":{"message":"busy","retry_harmless":false,"type":"api_error"},"type":"error"}"#,
    );
}

#[test]
fn encoded_events_answers_and_errors_are_decoded() {
    for name in ["own", "messages"] {
        let decoded = decoded(name);
        let first = &decoded[0];
        assert!(
            matches!(first, ClientEvent::MessageStart { id, model, .. } if id == "msg_1_2" && model == "m")
        );
        for event in [events()[2].clone(), events()[3].clone(), events()[4].clone()] {
            assert!(decoded.contains(&event), "{name}: {event:?}");
        }
        for kind in ERROR_KINDS {
            assert!(decoded.contains(&failed(kind)), "{name}: {kind:?}");
        }
        for reason in [StopReason::Finished, StopReason::MaxTokens] {
            let encoded = dialect(name).encode_answer(&answer(reason));
            assert_eq!(dialect(name).decode_answer(&encoded), Some(answer(reason)), "{name}");
        }
        let encoded = dialect(name).encode_error(ErrorKind::Rejected, "busy", true);
        let message = "busy".to_owned();
        let expected = ErrorBody { kind: ErrorKind::Rejected, message, retry_harmless: true };
        assert_eq!(dialect(name).decode_error(&encoded), Some(expected), "{name}");
    }
}

#[test]
fn settings_keep_their_names() {
    let kinds = EventKind::ALL.iter().map(|kind| kind.name()).collect::<Vec<_>>().join(" ");
    assert_text(&kinds, "opened part-opened part part-closed usage closed failed keep-alive answer error");
    let fields = RequestField::ALL.iter().map(|field| field.name()).collect::<Vec<_>>().join(" ");
    assert_text(&fields, "model messages system max-tokens stream class session prefix prefix-tokens prompt-tokens answer-hint repeat");
    let values = [
        FieldValue::Id,
        FieldValue::Model,
        FieldValue::Text,
        FieldValue::PromptTokens,
        FieldValue::CachedPromptTokens,
        FieldValue::OutputTokens,
        FieldValue::StopReason,
        FieldValue::ErrorKind,
        FieldValue::Message,
        FieldValue::RetryHarmless,
    ];
    let values = values.map(FieldValue::name).join(" ");
    assert_text(
        &values,
        "id model text prompt-tokens kept-tokens output-tokens stop-reason error-kind message retry-harmless",
    );
    let labels = [
        Label::Finished,
        Label::MaxTokens,
        Label::Invalid,
        Label::Unauthorized,
        Label::Rejected,
        Label::Failed,
    ];
    let labels = labels.map(Label::name).join(" ");
    assert_text(&labels, "finished max-tokens invalid unauthorized refused failed");
}
