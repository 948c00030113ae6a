//! What a client asks, read from JSON and headers. Figures that make no sense are refused here, by name.

use super::dialect::{Dialect, RequestField};
use serde_json::Value as Json;
use thiserror::Error;

/// Header of a field: this and the field's name, such as `x-gaparch-session`.
pub const HEADER_PREFIX: &str = "x-gaparch-";
/// The most tokens that any figure may say.
pub const MAX_FIGURE: u32 = 16_000_000;
/// The most bytes of a name: model, class, session, shared beginning.
pub const MAX_NAME: usize = 512;

/// A request as the client wrote it; names are not yet looked up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    pub model: String,
    pub class: Option<String>,
    pub session: Option<String>,
    pub prefix: Option<String>,
    /// Tokens; 0 where not told.
    pub prefix_tokens: u32,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    /// Rough length of the answer in tokens.
    pub answer_hint: Option<u32>,
    pub stream: bool,
    /// The client says that it repeats an earlier try.
    pub repeat: bool,
    pub prompt: String,
}

/// Why a request can't be understood.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AskError {
    #[error("the body is not JSON: {0}")]
    NotJson(String),
    #[error("'{field}' {why}")]
    Field { field: String, why: &'static str },
}

const NOT_A_FIGURE: &str = "must be a whole number from 0 to 16,000,000";

/// Reads a request. `header` looks a header up by its whole name, in lower case.
///
/// # Errors
/// Names the field that is missing or makes no sense.
pub fn parse_request<'h>(
    dialect: &Dialect,
    body: &[u8],
    header: impl Fn(&str) -> Option<&'h str>,
) -> Result<Ask, AskError> {
    let json: Json = serde_json::from_slice(body).map_err(|e| AskError::NotJson(e.to_string()))?;
    let fields = Fields { dialect, json: &json, header: &header };
    let ask = Ask {
        model: fields
            .name(RequestField::Model)?
            .ok_or_else(|| fields.bad(RequestField::Model, "is missing"))?,
        class: fields.name(RequestField::Class)?,
        session: fields.name(RequestField::Session)?,
        prefix: fields.name(RequestField::Prefix)?,
        prefix_tokens: fields.figure(RequestField::PrefixTokens)?.unwrap_or(0),
        prompt_tokens: fields.figure(RequestField::PromptTokens)?.unwrap_or(0),
        max_tokens: fields
            .figure(RequestField::MaxTokens)?
            .ok_or_else(|| fields.bad(RequestField::MaxTokens, "is missing"))?,
        answer_hint: fields.figure(RequestField::AnswerHint)?.filter(|hint| *hint > 0),
        stream: fields.flag(RequestField::Stream)?,
        repeat: fields.flag(RequestField::Repeat)?,
        prompt: fields.prompt()?,
    };
    if ask.max_tokens == 0 {
        return Err(fields.bad(RequestField::MaxTokens, "must be 1 or more"));
    }
    if ask.prompt_tokens > 0 && ask.prefix_tokens > ask.prompt_tokens {
        return Err(fields.bad(RequestField::PrefixTokens, "is longer than the prompt"));
    }
    Ok(ask)
}

struct Fields<'f, H> {
    dialect: &'f Dialect,
    json: &'f Json,
    header: &'f H,
}

impl<'f, 'h, H: Fn(&str) -> Option<&'h str>> Fields<'f, H> {
    fn json(&self, field: RequestField) -> Option<&'f Json> {
        let json = self.dialect.request_path(field)?.get(self.json)?;
        (!json.is_null()).then_some(json)
    }

    fn header(&self, field: RequestField) -> Option<&'h str> {
        (self.header)(&format!("{HEADER_PREFIX}{}", field.as_str()))
    }

    fn bad(&self, field: RequestField, why: &'static str) -> AskError {
        let path = self.dialect.request_path(field).map(ToString::to_string);
        AskError::Field { field: path.unwrap_or_else(|| field.as_str().to_owned()), why }
    }

    fn name(&self, field: RequestField) -> Result<Option<String>, AskError> {
        let text = match self.json(field) {
            Some(Json::String(text)) => Some(text.as_str()),
            Some(_) => return Err(self.bad(field, "must be a text")),
            None => self.header(field),
        };
        match text {
            Some(text) if text.len() > MAX_NAME => Err(self.bad(field, "is longer than 512 bytes")),
            Some("") => Err(self.bad(field, "must not be empty")),
            text => Ok(text.map(str::to_owned)),
        }
    }

    /// A whole number in bounds. JSON has no NaN or infinity, but it has -1, 1.5 and 1e300.
    fn figure(&self, field: RequestField) -> Result<Option<u32>, AskError> {
        let number = match (self.json(field), self.header(field)) {
            (Some(json), _) => json.as_u64().or_else(|| {
                let n =
                    json.as_f64().filter(|n| n.fract() == 0.0 && (0.0..=f64::from(MAX_FIGURE)).contains(n));
                n.map(|n| n as u64)
            }),
            (None, Some(text)) => text.parse::<u64>().ok(),
            (None, None) => return Ok(None),
        };
        let figure = number.and_then(|n| u32::try_from(n).ok()).filter(|n| *n <= MAX_FIGURE);
        figure.map(Some).ok_or_else(|| self.bad(field, NOT_A_FIGURE))
    }

    fn flag(&self, field: RequestField) -> Result<bool, AskError> {
        match (self.json(field), self.header(field)) {
            (Some(Json::Bool(flag)), _) => Ok(*flag),
            (None, None | Some("false" | "0")) => Ok(false),
            (None, Some("true" | "1")) => Ok(true),
            _ => Err(self.bad(field, "must be true or false")),
        }
    }

    /// System text and messages, in order, as one text.
    fn prompt(&self) -> Result<String, AskError> {
        let mut prompt = String::new();
        if let Some(system) = self.json(RequestField::System) {
            self.push_content(RequestField::System, system, &mut prompt)?;
            prompt.push('\n');
        }
        let messages = self.json(RequestField::Messages).and_then(Json::as_array);
        let messages =
            messages.ok_or_else(|| self.bad(RequestField::Messages, "must be a list of messages"))?;
        if messages.is_empty() {
            return Err(self.bad(RequestField::Messages, "must not be empty"));
        }
        for message in messages {
            let role = message.get("role").and_then(Json::as_str);
            let role = role.filter(|r| matches!(*r, "user" | "assistant" | "system"));
            let role =
                role.ok_or_else(|| self.bad(RequestField::Messages, "holds a message without a known role"))?;
            prompt.push_str(role);
            prompt.push_str(": ");
            let content = message.get("content").unwrap_or(&Json::Null);
            self.push_content(RequestField::Messages, content, &mut prompt)?;
            prompt.push('\n');
        }
        Ok(prompt)
    }

    fn push_content(&self, field: RequestField, content: &Json, out: &mut String) -> Result<(), AskError> {
        let not_text = || self.bad(field, "holds content that is not text");
        match content {
            Json::String(text) => out.push_str(text),
            Json::Array(blocks) => {
                for block in blocks {
                    let is_text = block.get("type").and_then(Json::as_str).is_none_or(|t| t == "text");
                    let text = block.get("text").and_then(Json::as_str).filter(|_| is_text);
                    out.push_str(text.ok_or_else(not_text)?);
                }
            }
            _ => return Err(not_text()),
        }
        Ok(())
    }
}
