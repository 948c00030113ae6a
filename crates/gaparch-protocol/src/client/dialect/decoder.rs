//! Decoding of events, complete answers and error bodies in a dialect.

use super::super::sse::SseEvent;
use super::super::{Answer, ClientEvent, ErrorBody, ErrorKind, StopReason, Usage};
use super::names::{EventKind, FieldValue, Label};
use super::template::EventTemplate;
use super::Dialect;
use serde_json::Value as Json;

impl Dialect {
    /// Decodes a stream event; `None` if the dialect has no event of this name, the data is not JSON, or the
    /// text of a text delta is missing.
    pub fn decode(&self, event: &SseEvent) -> Option<ClientEvent> {
        let mut stream_events = self.templates.iter().filter(|(kind, _)| kind.in_stream());
        let (kind, template) = stream_events.find(|(_, template)| template.name == event.name)?;
        let json: Json = serde_json::from_str(&event.data).ok()?;
        let fields = EventFields { dialect: self, template, json: &json };
        match kind {
            EventKind::MessageStart => Some(ClientEvent::MessageStart {
                id: fields.text(FieldValue::Id),
                model: fields.text(FieldValue::Model),
                usage: fields.usage(),
            }),
            EventKind::ContentBlockStart => Some(ClientEvent::ContentBlockStart),
            EventKind::TextDelta => {
                let text = fields.json(FieldValue::Text)?.as_str()?;
                Some(ClientEvent::TextDelta { text: text.to_owned() })
            }
            EventKind::ContentBlockStop => Some(ClientEvent::ContentBlockStop),
            EventKind::Usage => {
                Some(ClientEvent::Usage { usage: fields.usage(), reason: fields.stop_reason() })
            }
            EventKind::MessageStop => Some(ClientEvent::MessageStop { reason: fields.stop_reason() }),
            EventKind::Failed => {
                let ErrorBody { kind, message, retry_harmless } = fields.error();
                Some(ClientEvent::Failed { kind, message, retry_harmless })
            }
            EventKind::KeepAlive => Some(ClientEvent::KeepAlive),
            EventKind::Answer | EventKind::Error => None,
        }
    }

    /// Decodes a complete answer; `None` if the body is not JSON or its text is missing.
    pub fn decode_answer(&self, body: &[u8]) -> Option<Answer> {
        let json: Json = serde_json::from_slice(body).ok()?;
        let template = self.templates.get(&EventKind::Answer)?;
        let fields = EventFields { dialect: self, template, json: &json };
        Some(Answer {
            id: fields.text(FieldValue::Id),
            model: fields.text(FieldValue::Model),
            text: fields.json(FieldValue::Text)?.as_str()?.to_owned(),
            usage: fields.usage(),
            reason: fields.stop_reason(),
        })
    }

    /// Decodes an error body; `None` if it is not JSON or does not state whether a retry is harmless.
    pub fn decode_error(&self, body: &[u8]) -> Option<ErrorBody> {
        let json: Json = serde_json::from_slice(body).ok()?;
        let template = self.templates.get(&EventKind::Error)?;
        let fields = EventFields { dialect: self, template, json: &json };
        fields.json(FieldValue::RetryHarmless)?;
        Some(fields.error())
    }
}

/// The fields of a received event or body.
struct EventFields<'e> {
    dialect: &'e Dialect,
    template: &'e EventTemplate,
    json: &'e Json,
}

impl<'e> EventFields<'e> {
    fn json(&self, value: FieldValue) -> Option<&'e Json> {
        self.template.path(value)?.get(self.json)
    }

    fn text(&self, value: FieldValue) -> String {
        self.json(value).and_then(Json::as_str).unwrap_or_default().to_owned()
    }

    fn number(&self, value: FieldValue) -> u32 {
        let number = self.json(value).and_then(Json::as_u64);
        number.and_then(|number| u32::try_from(number).ok()).unwrap_or(0)
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.number(FieldValue::PromptTokens),
            cached_prompt_tokens: self.number(FieldValue::CachedPromptTokens),
            output_tokens: self.number(FieldValue::OutputTokens),
        }
    }

    fn has_label(&self, value: FieldValue, label: Label) -> bool {
        self.json(value).and_then(Json::as_str) == Some(&self.dialect.labels[&label])
    }

    fn stop_reason(&self) -> StopReason {
        match self.has_label(FieldValue::StopReason, Label::MaxTokens) {
            true => StopReason::MaxTokens,
            false => StopReason::Finished,
        }
    }

    fn error(&self) -> ErrorBody {
        let kinds = [ErrorKind::Invalid, ErrorKind::Unauthorized, ErrorKind::Rejected];
        let kind = kinds.into_iter().find(|kind| self.has_label(FieldValue::ErrorKind, (*kind).into()));
        // Unless the error states otherwise, a retry may run the request twice.
        let retry_harmless = self.json(FieldValue::RetryHarmless).and_then(Json::as_bool).unwrap_or(false);
        ErrorBody {
            kind: kind.unwrap_or(ErrorKind::Failed),
            message: self.text(FieldValue::Message),
            retry_harmless,
        }
    }
}
