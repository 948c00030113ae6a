//! Parsing and validation of client requests from JSON and headers. Errors name the invalid field.

use super::dialect::{Dialect, RequestField};
use serde_json::Value as Json;
use thiserror::Error;

/// The prefix of a header that carries a request field, as in `x-gaparch-session`.
pub const HEADER_PREFIX: &str = "x-gaparch-";
/// The highest token count that is accepted in any field.
pub const MAX_TOKEN_COUNT: u32 = 16_000_000;
/// The maximum length in bytes of a name: model, class, session or shared prefix.
pub const MAX_NAME_BYTES: usize = 512;

/// A parsed request. Its names have not been resolved yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageRequest {
    /// The model's name.
    pub model: String,
    /// The name of its traffic class; `None` for the default class.
    pub class: Option<String>,
    /// The session; its requests share a prefix.
    pub session: Option<String>,
    /// The name of the shared prefix, which several sessions may have in common.
    pub prefix: Option<String>,
    /// The length of the shared prefix in tokens; 0 if the client did not state it.
    pub prefix_tokens: u32,
    /// The length of the prompt in tokens; 0 if the client did not state it.
    pub prompt_tokens: u32,
    /// The maximum number of tokens to produce, at least 1.
    pub max_tokens: u32,
    /// The expected length of the answer in tokens.
    pub answer_hint: Option<u32>,
    /// Whether the answer is sent as a stream of events.
    pub stream: bool,
    /// Whether the request is a retry of an earlier one.
    pub is_retry: bool,
    /// The system prompt and the messages, concatenated.
    pub prompt: String,
}

/// The reason why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The body is not valid JSON.
    #[error("the body is not JSON: {0}")]
    NotJson(String),
    /// A field is missing or invalid.
    #[error("'{field}' {problem}")]
    Field {
        /// The field's path in the JSON.
        field: String,
        /// What is wrong with it.
        problem: &'static str,
    },
}

const NOT_A_TOKEN_COUNT: &str = "must be a whole number from 0 to 16,000,000";

/// Parses a request. `header` returns the value of a header, given its complete name in lower case.
///
/// # Errors
/// If the body is not JSON, or a field is missing or invalid; the error names the field.
pub fn parse_request<'h>(
    dialect: &Dialect,
    body: &[u8],
    header: impl Fn(&str) -> Option<&'h str>,
) -> Result<MessageRequest, RequestError> {
    let json: Json = serde_json::from_slice(body).map_err(|e| RequestError::NotJson(e.to_string()))?;
    let fields = RequestFields { dialect, json: &json, header: &header };
    let request = MessageRequest {
        model: fields.require(RequestField::Model, fields.name(RequestField::Model)?)?,
        class: fields.name(RequestField::Class)?,
        session: fields.name(RequestField::Session)?,
        prefix: fields.name(RequestField::Prefix)?,
        prefix_tokens: fields.token_count(RequestField::PrefixTokens)?.unwrap_or(0),
        prompt_tokens: fields.token_count(RequestField::PromptTokens)?.unwrap_or(0),
        max_tokens: fields.require(RequestField::MaxTokens, fields.token_count(RequestField::MaxTokens)?)?,
        answer_hint: fields.token_count(RequestField::AnswerHint)?.filter(|tokens| *tokens > 0),
        stream: fields.flag(RequestField::Stream)?,
        is_retry: fields.flag(RequestField::Repeat)?,
        prompt: fields.prompt()?,
    };
    if request.max_tokens == 0 {
        return Err(fields.error(RequestField::MaxTokens, "must be 1 or more"));
    }
    if request.prompt_tokens > 0 && request.prefix_tokens > request.prompt_tokens {
        return Err(fields.error(RequestField::PrefixTokens, "is longer than the prompt"));
    }
    Ok(request)
}

/// The fields of one request, from its body and its headers.
struct RequestFields<'f, H> {
    dialect: &'f Dialect,
    json: &'f Json,
    header: &'f H,
}

impl<'f, 'h, H: Fn(&str) -> Option<&'h str>> RequestFields<'f, H> {
    fn json(&self, field: RequestField) -> Option<&'f Json> {
        let json = self.dialect.request_path(field)?.get(self.json)?;
        (!json.is_null()).then_some(json)
    }

    fn header(&self, field: RequestField) -> Option<&'h str> {
        (self.header)(&format!("{HEADER_PREFIX}{}", field.name()))
    }

    fn error(&self, field: RequestField, problem: &'static str) -> RequestError {
        let path = self.dialect.request_path(field).map(ToString::to_string);
        RequestError::Field { field: path.unwrap_or_else(|| field.name().to_owned()), problem }
    }

    fn require<T>(&self, field: RequestField, value: Option<T>) -> Result<T, RequestError> {
        value.ok_or_else(|| self.error(field, "is missing"))
    }

    fn name(&self, field: RequestField) -> Result<Option<String>, RequestError> {
        let text = match self.json(field) {
            Some(Json::String(text)) => Some(text.as_str()),
            Some(_) => return Err(self.error(field, "must be a text")),
            None => self.header(field),
        };
        match text {
            Some(text) if text.len() > MAX_NAME_BYTES => Err(self.error(field, "is longer than 512 bytes")),
            Some("") => Err(self.error(field, "must not be empty")),
            text => Ok(text.map(str::to_owned)),
        }
    }

    fn token_count(&self, field: RequestField) -> Result<Option<u32>, RequestError> {
        let number = match (self.json(field), self.header(field)) {
            (Some(json), _) => whole_number(json),
            (None, Some(text)) => text.parse::<u64>().ok(),
            (None, None) => return Ok(None),
        };
        let count = number.and_then(|number| u32::try_from(number).ok());
        match count.filter(|count| *count <= MAX_TOKEN_COUNT) {
            Some(count) => Ok(Some(count)),
            None => Err(self.error(field, NOT_A_TOKEN_COUNT)),
        }
    }

    fn flag(&self, field: RequestField) -> Result<bool, RequestError> {
        match (self.json(field), self.header(field)) {
            (Some(Json::Bool(flag)), _) => Ok(*flag),
            (None, None | Some("false" | "0")) => Ok(false),
            (None, Some("true" | "1")) => Ok(true),
            _ => Err(self.error(field, "must be true or false")),
        }
    }

    /// Concatenates the system prompt and the messages, in order.
    fn prompt(&self) -> Result<String, RequestError> {
        let mut prompt = String::new();
        if let Some(system) = self.json(RequestField::System) {
            self.push_content(RequestField::System, system, &mut prompt)?;
            prompt.push('\n');
        }
        for message in self.messages()? {
            prompt.push_str(self.message_role(message)?);
            prompt.push_str(": ");
            let content = message.get("content").unwrap_or(&Json::Null);
            self.push_content(RequestField::Messages, content, &mut prompt)?;
            prompt.push('\n');
        }
        Ok(prompt)
    }

    fn messages(&self) -> Result<&'f Vec<Json>, RequestError> {
        let messages = self.json(RequestField::Messages).and_then(Json::as_array);
        match messages {
            None => Err(self.error(RequestField::Messages, "must be a list of messages")),
            Some(messages) if messages.is_empty() => {
                Err(self.error(RequestField::Messages, "must not be empty"))
            }
            Some(messages) => Ok(messages),
        }
    }

    fn message_role<'m>(&self, message: &'m Json) -> Result<&'m str, RequestError> {
        match message.get("role").and_then(Json::as_str) {
            Some(role @ ("user" | "assistant" | "system")) => Ok(role),
            _ => Err(self.error(RequestField::Messages, "holds a message without a known role")),
        }
    }

    /// Appends content, which is a string or an array of text blocks.
    fn push_content(
        &self,
        field: RequestField,
        content: &Json,
        out: &mut String,
    ) -> Result<(), RequestError> {
        let not_text = || self.error(field, "holds content that is not text");
        match content {
            Json::String(text) => out.push_str(text),
            Json::Array(blocks) => {
                for block in blocks {
                    out.push_str(block_text(block).ok_or_else(not_text)?);
                }
            }
            _ => return Err(not_text()),
        }
        Ok(())
    }
}

/// The text of a content block; a block without a type is treated as a text block.
fn block_text(block: &Json) -> Option<&str> {
    let is_text = block.get("type").and_then(Json::as_str).is_none_or(|kind| kind == "text");
    let text = block.get("text").and_then(Json::as_str);
    text.filter(|_| is_text)
}

/// Converts a JSON number that is a whole number. JSON has no NaN or infinity, but it allows -1, 1.5 and
/// 1e300.
fn whole_number(json: &Json) -> Option<u64> {
    if let Some(number) = json.as_u64() {
        return Some(number);
    }
    let number = json.as_f64()?;
    let is_whole = number.fract() == 0.0;
    let in_bounds = (0.0..=f64::from(MAX_TOKEN_COUNT)).contains(&number);
    (is_whole && in_bounds).then_some(number as u64)
}
