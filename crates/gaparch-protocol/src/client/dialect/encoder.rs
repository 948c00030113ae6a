//! Encoding of events, complete answers and error bodies in a dialect.

use super::super::sse::encode_event;
use super::super::{Answer, ClientEvent, ErrorKind, Usage};
use super::names::{EventKind, FieldValue, Label};
use super::template::{EventTemplate, TemplatePart};
use super::Dialect;
use bytes::{BufMut, BytesMut};
use serde_json::Value as Json;

/// The values of an event or body; those that it does not have keep their defaults.
#[derive(Default)]
struct EventValues<'v> {
    id: &'v str,
    model: &'v str,
    text: &'v str,
    message: &'v str,
    usage: Usage,
    label: Option<Label>,
    retry_harmless: bool,
}

impl Dialect {
    /// Appends a stream event, or nothing if the dialect does not define it.
    pub fn encode(&self, event: &ClientEvent, out: &mut BytesMut) {
        let kind = kind_of(event);
        let Some(template) = self.templates.get(&kind) else { return };
        let values = values_of(event);
        encode_event(out, &template.name, |out| self.put_template(template, &values, out));
    }

    /// Encodes a complete answer as JSON.
    pub fn encode_answer(&self, answer: &Answer) -> BytesMut {
        let values = EventValues {
            id: &answer.id,
            model: &answer.model,
            text: &answer.text,
            usage: answer.usage,
            label: Some(answer.reason.into()),
            ..EventValues::default()
        };
        self.encode_body(EventKind::Answer, &values)
    }

    /// Encodes the body of an HTTP error response.
    pub fn encode_error(&self, kind: ErrorKind, message: &str, retry_harmless: bool) -> BytesMut {
        let label = Some(kind.into());
        let values = EventValues { message, retry_harmless, label, ..EventValues::default() };
        self.encode_body(EventKind::Error, &values)
    }

    fn encode_body(&self, kind: EventKind, values: &EventValues<'_>) -> BytesMut {
        let mut out = BytesMut::new();
        if let Some(template) = self.templates.get(&kind) {
            self.put_template(template, values, &mut out);
        }
        out
    }

    fn put_template(&self, template: &EventTemplate, values: &EventValues<'_>, out: &mut BytesMut) {
        for part in &template.parts {
            match part {
                TemplatePart::Literal(bytes) => out.put_slice(bytes),
                TemplatePart::Placeholder(value) => self.put_value(*value, values, out),
            }
        }
    }

    fn put_value(&self, value: FieldValue, values: &EventValues<'_>, out: &mut BytesMut) {
        match value {
            FieldValue::Id => put_json_string(out, values.id),
            FieldValue::Model => put_json_string(out, values.model),
            FieldValue::Text => put_json_string(out, values.text),
            FieldValue::PromptTokens => put_number(out, values.usage.prompt_tokens),
            FieldValue::CachedPromptTokens => put_number(out, values.usage.cached_prompt_tokens),
            FieldValue::OutputTokens => put_number(out, values.usage.output_tokens),
            FieldValue::StopReason | FieldValue::ErrorKind => {
                let spelling = values.label.map_or("", |label| &self.labels[&label]);
                put_json_string(out, spelling);
            }
            FieldValue::Message => put_json_string(out, values.message),
            FieldValue::RetryHarmless => {
                let literal: &[u8] = if values.retry_harmless { b"true" } else { b"false" };
                out.put_slice(literal);
            }
        }
    }
}

fn kind_of(event: &ClientEvent) -> EventKind {
    match event {
        ClientEvent::MessageStart { .. } => EventKind::MessageStart,
        ClientEvent::ContentBlockStart => EventKind::ContentBlockStart,
        ClientEvent::TextDelta { .. } => EventKind::TextDelta,
        ClientEvent::ContentBlockStop => EventKind::ContentBlockStop,
        ClientEvent::Usage { .. } => EventKind::Usage,
        ClientEvent::MessageStop { .. } => EventKind::MessageStop,
        ClientEvent::Failed { .. } => EventKind::Failed,
        ClientEvent::KeepAlive => EventKind::KeepAlive,
    }
}

fn values_of(event: &ClientEvent) -> EventValues<'_> {
    let empty = EventValues::default();
    match event {
        ClientEvent::MessageStart { id, model, usage } => EventValues { id, model, usage: *usage, ..empty },
        ClientEvent::TextDelta { text } => EventValues { text, ..empty },
        ClientEvent::Usage { usage, reason } => {
            EventValues { usage: *usage, label: Some((*reason).into()), ..empty }
        }
        ClientEvent::MessageStop { reason } => EventValues { label: Some((*reason).into()), ..empty },
        ClientEvent::Failed { kind, message, retry_harmless } => {
            EventValues { message, retry_harmless: *retry_harmless, label: Some((*kind).into()), ..empty }
        }
        ClientEvent::ContentBlockStart | ClientEvent::ContentBlockStop | ClientEvent::KeepAlive => empty,
    }
}

fn put_number(out: &mut BytesMut, number: u32) {
    out.put_slice(number.to_string().as_bytes());
}

/// Appends a JSON string. Texts without characters to escape, which are most, are copied unchanged.
fn put_json_string(out: &mut BytesMut, text: &str) {
    let needs_no_escape = text.bytes().all(|byte| byte >= 0x20 && byte != b'"' && byte != b'\\');
    if needs_no_escape {
        out.put_u8(b'"');
        out.put_slice(text.as_bytes());
        out.put_u8(b'"');
    } else {
        out.put_slice(Json::String(text.to_owned()).to_string().as_bytes());
    }
}
