//! Dialects: a table that names each event and the path of each of its fields.

use super::sse::{encode_event, SseEvent};
use super::{Answer, ClientEvent, ErrorKind, StopReason, Usage};
use bytes::{BufMut, BytesMut};
use serde_json::Value as Json;
use std::collections::BTreeMap;
use thiserror::Error;
use winnow::ascii::digit1;
use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::token::take_while;
use winnow::{ModalResult, Parser};

/// What can be named: the events of a stream, the whole answer, and the body of an HTTP error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EventKind {
    Opened,
    PartOpened,
    Part,
    PartClosed,
    Usage,
    Closed,
    Failed,
    KeepAlive,
    /// The one JSON answer where no stream was asked for.
    Answer,
    /// The body of an answer whose HTTP status is an error.
    Error,
}

impl EventKind {
    /// All of them, in the order of a stream.
    pub const ALL: [EventKind; 10] = [
        EventKind::Opened,
        EventKind::PartOpened,
        EventKind::Part,
        EventKind::PartClosed,
        EventKind::Usage,
        EventKind::Closed,
        EventKind::Failed,
        EventKind::KeepAlive,
        EventKind::Answer,
        EventKind::Error,
    ];

    /// Its name in the settings.
    pub fn as_str(self) -> &'static str {
        match self {
            EventKind::Opened => "opened",
            EventKind::PartOpened => "part-opened",
            EventKind::Part => "part",
            EventKind::PartClosed => "part-closed",
            EventKind::Usage => "usage",
            EventKind::Closed => "closed",
            EventKind::Failed => "failed",
            EventKind::KeepAlive => "keep-alive",
            EventKind::Answer => "answer",
            EventKind::Error => "error",
        }
    }

    pub fn parse(name: &str) -> Option<EventKind> {
        Self::ALL.into_iter().find(|k| k.as_str() == name)
    }

    /// A stream can't be told apart from a broken one without these.
    fn is_needed(self) -> bool {
        !matches!(self, EventKind::PartOpened | EventKind::PartClosed | EventKind::KeepAlive)
    }

    /// Stands in a stream, and so needs a name of its own.
    fn in_stream(self) -> bool {
        !matches!(self, EventKind::Answer | EventKind::Error)
    }
}

/// A value that a field can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Value {
    Id,
    Model,
    Text,
    PromptTokens,
    KeptTokens,
    OutputTokens,
    StopReason,
    ErrorKind,
    Message,
    RetryHarmless,
}

impl Value {
    const ALL: [Value; 10] = [
        Value::Id,
        Value::Model,
        Value::Text,
        Value::PromptTokens,
        Value::KeptTokens,
        Value::OutputTokens,
        Value::StopReason,
        Value::ErrorKind,
        Value::Message,
        Value::RetryHarmless,
    ];

    /// Its name in the settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Value::Id => "id",
            Value::Model => "model",
            Value::Text => "text",
            Value::PromptTokens => "prompt-tokens",
            Value::KeptTokens => "kept-tokens",
            Value::OutputTokens => "output-tokens",
            Value::StopReason => "stop-reason",
            Value::ErrorKind => "error-kind",
            Value::Message => "message",
            Value::RetryHarmless => "retry-harmless",
        }
    }

    pub fn parse(name: &str) -> Option<Value> {
        Self::ALL.into_iter().find(|v| v.as_str() == name)
    }

    fn belongs_to(self, kind: EventKind) -> bool {
        use EventKind as K;
        match self {
            Value::Id | Value::Model => matches!(kind, K::Opened | K::Answer),
            Value::Text => matches!(kind, K::Part | K::Answer),
            Value::PromptTokens | Value::KeptTokens | Value::OutputTokens => {
                matches!(kind, K::Opened | K::Usage | K::Answer)
            }
            Value::StopReason => matches!(kind, K::Usage | K::Closed | K::Answer),
            Value::ErrorKind | Value::Message | Value::RetryHarmless => matches!(kind, K::Failed | K::Error),
        }
    }
}

/// A word of ours that a dialect may spell its own way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Word {
    Finished,
    MaxTokens,
    Invalid,
    Unauthorized,
    Refused,
    Failed,
}

impl Word {
    const ALL: [Word; 6] =
        [Word::Finished, Word::MaxTokens, Word::Invalid, Word::Unauthorized, Word::Refused, Word::Failed];

    /// Its name in the settings, and how it is spelt where a dialect does not say.
    pub fn as_str(self) -> &'static str {
        match self {
            Word::Finished => "finished",
            Word::MaxTokens => "max-tokens",
            Word::Invalid => "invalid",
            Word::Unauthorized => "unauthorized",
            Word::Refused => "refused",
            Word::Failed => "failed",
        }
    }

    pub fn parse(name: &str) -> Option<Word> {
        Self::ALL.into_iter().find(|w| w.as_str() == name)
    }
}

impl From<StopReason> for Word {
    fn from(reason: StopReason) -> Word {
        match reason {
            StopReason::Finished => Word::Finished,
            StopReason::MaxTokens => Word::MaxTokens,
        }
    }
}

impl From<ErrorKind> for Word {
    fn from(kind: ErrorKind) -> Word {
        match kind {
            ErrorKind::Invalid => Word::Invalid,
            ErrorKind::Unauthorized => Word::Unauthorized,
            ErrorKind::Refused => Word::Refused,
            ErrorKind::Failed => Word::Failed,
        }
    }
}

/// A field of a request whose place in the JSON a dialect can choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestField {
    Model,
    Messages,
    System,
    MaxTokens,
    Stream,
    Class,
    Session,
    Prefix,
    PrefixTokens,
    PromptTokens,
    AnswerHint,
    Repeat,
}

impl RequestField {
    pub const ALL: [RequestField; 12] = [
        RequestField::Model,
        RequestField::Messages,
        RequestField::System,
        RequestField::MaxTokens,
        RequestField::Stream,
        RequestField::Class,
        RequestField::Session,
        RequestField::Prefix,
        RequestField::PrefixTokens,
        RequestField::PromptTokens,
        RequestField::AnswerHint,
        RequestField::Repeat,
    ];

    /// Its name in the settings; with [`HEADER_PREFIX`](super::HEADER_PREFIX) before it, its header.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestField::Model => "model",
            RequestField::Messages => "messages",
            RequestField::System => "system",
            RequestField::MaxTokens => "max-tokens",
            RequestField::Stream => "stream",
            RequestField::Class => "class",
            RequestField::Session => "session",
            RequestField::Prefix => "prefix",
            RequestField::PrefixTokens => "prefix-tokens",
            RequestField::PromptTokens => "prompt-tokens",
            RequestField::AnswerHint => "answer-hint",
            RequestField::Repeat => "repeat",
        }
    }

    pub fn parse(name: &str) -> Option<RequestField> {
        Self::ALL.into_iter().find(|f| f.as_str() == name)
    }
}

/// A place in a JSON value, such as `message.usage.input_tokens` or `content[0].text`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Path(Vec<Step>);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Key(String),
    Index(usize),
}

/// The highest index that a path may name: a table has no use for more.
const MAX_INDEX: usize = 15;

impl Path {
    /// Reads a path; `None` where the text is none.
    pub fn parse(text: &str) -> Option<Path> {
        let path = path.parse(text).ok()?;
        let fits = |s: &Step| !matches!(s, Step::Index(i) if *i > MAX_INDEX);
        path.iter().all(fits).then_some(Path(path))
    }

    pub(super) fn get<'j>(&self, json: &'j Json) -> Option<&'j Json> {
        self.0.iter().try_fold(json, |json, step| match step {
            Step::Key(key) => json.get(key),
            Step::Index(index) => json.get(index),
        })
    }

    /// Puts a value there, making what has to be around it; false where something else stands in the way.
    fn put(&self, json: &mut Json, value: Json) -> bool {
        let mut at = json;
        for step in &self.0 {
            if at.is_null() {
                *at = match step {
                    Step::Key(_) => Json::Object(Default::default()),
                    Step::Index(_) => Json::Array(Vec::new()),
                };
            }
            at = match (step, at) {
                (Step::Key(key), Json::Object(map)) => map.entry(key.clone()).or_insert(Json::Null),
                (Step::Index(index), Json::Array(list)) => {
                    while list.len() <= *index {
                        list.push(Json::Null);
                    }
                    &mut list[*index]
                }
                _ => return false,
            };
        }
        let free = at.is_null();
        if free {
            *at = value;
        }
        free
    }
}

impl std::fmt::Display for Path {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().enumerate().try_for_each(|(i, step)| match step {
            Step::Key(key) if i == 0 => f.write_str(key),
            Step::Key(key) => write!(f, ".{key}"),
            Step::Index(index) => write!(f, "[{index}]"),
        })
    }
}

fn path(input: &mut &str) -> ModalResult<Vec<Step>> {
    let first = key.parse_next(input)?;
    let rest: Vec<Step> = repeat(0.., alt((preceded('.', key), index))).parse_next(input)?;
    Ok(std::iter::once(first).chain(rest).collect())
}

fn key(input: &mut &str) -> ModalResult<Step> {
    let name = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    take_while(1.., name).map(|key: &str| Step::Key(key.to_owned())).parse_next(input)
}

fn index(input: &mut &str) -> ModalResult<Step> {
    delimited('[', digit1.parse_to::<usize>(), ']').map(Step::Index).parse_next(input)
}

/// What a field holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    Value(Value),
    /// The same in every event.
    Fixed(Json),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    pub path: Path,
    pub source: Source,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventShape {
    /// The event's name in the stream; not used by the answer and the error body.
    pub name: String,
    pub fields: Vec<Field>,
}

/// A dialect as it is written down.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DialectParts {
    pub name: String,
    pub events: BTreeMap<EventKind, EventShape>,
    pub words: BTreeMap<Word, String>,
    /// Where a request's fields stand; one that is not named can only be given as a header.
    pub request: BTreeMap<RequestField, Path>,
}

/// What is wrong with a dialect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DialectError {
    #[error("event '{0}' is missing")]
    Missing(&'static str),
    #[error("event '{kind}' has no name, or one with a line end")]
    Name { kind: &'static str },
    #[error("events '{first}' and '{second}' have the same name")]
    SameName { first: &'static str, second: &'static str },
    #[error("event '{kind}': there is no '{value}' in it")]
    Foreign { kind: &'static str, value: &'static str },
    #[error("event '{kind}': the path '{path}' is taken by another field")]
    Clash { kind: &'static str, path: String },
    #[error("event '{kind}' lacks '{value}'")]
    Lacks { kind: &'static str, value: &'static str },
    #[error("request field '{0}' is missing")]
    RequestField(&'static str),
    #[error("two words are spelt '{0}'")]
    SameWord(String),
}

/// A dialect ready for use: it encodes without building JSON.
#[derive(Clone, Debug)]
pub struct Dialect {
    name: String,
    shapes: BTreeMap<EventKind, Compiled>,
    words: BTreeMap<Word, String>,
    request: BTreeMap<RequestField, Path>,
}

#[derive(Clone, Debug)]
struct Compiled {
    name: String,
    pieces: Vec<Piece>,
    paths: Vec<(Value, Path)>,
}

#[derive(Clone, Debug)]
enum Piece {
    Literal(Vec<u8>),
    Slot(Value),
}

impl Dialect {
    /// Checks a dialect and makes it ready.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn new(parts: DialectParts) -> Result<Dialect, Vec<DialectError>> {
        let mut errors = Vec::new();
        for kind in EventKind::ALL {
            if kind.is_needed() && !parts.events.contains_key(&kind) {
                errors.push(DialectError::Missing(kind.as_str()));
            }
        }
        let mut names: BTreeMap<&str, EventKind> = BTreeMap::new();
        for (kind, shape) in parts.events.iter().filter(|(k, _)| k.in_stream()) {
            if shape.name.is_empty() || shape.name.contains(['\n', '\r']) {
                errors.push(DialectError::Name { kind: kind.as_str() });
            } else if let Some(first) = names.insert(&shape.name, *kind) {
                errors.push(DialectError::SameName { first: first.as_str(), second: kind.as_str() });
            }
        }
        for (kind, value) in [
            (EventKind::Part, Value::Text),
            (EventKind::Answer, Value::Text),
            (EventKind::Failed, Value::Message),
            (EventKind::Error, Value::RetryHarmless),
        ] {
            let holds = |shape: &EventShape| shape.fields.iter().any(|f| f.source == Source::Value(value));
            if parts.events.get(&kind).is_some_and(|shape| !holds(shape)) {
                errors.push(DialectError::Lacks { kind: kind.as_str(), value: value.as_str() });
            }
        }
        for field in [RequestField::Model, RequestField::Messages, RequestField::MaxTokens] {
            if !parts.request.contains_key(&field) {
                errors.push(DialectError::RequestField(field.as_str()));
            }
        }
        let spell = |word: Word| parts.words.get(&word).cloned().unwrap_or_else(|| word.as_str().to_owned());
        let words: BTreeMap<Word, String> = Word::ALL.into_iter().map(|w| (w, spell(w))).collect();
        // A client tells a refusal from a failure by its word alone.
        for (i, word) in Word::ALL.iter().enumerate() {
            if Word::ALL[..i].iter().any(|w| words[w] == words[word]) {
                errors.push(DialectError::SameWord(words[word].clone()));
            }
        }
        let shapes =
            parts.events.iter().map(|(kind, shape)| (*kind, compile(*kind, shape, &mut errors))).collect();
        match errors.is_empty() {
            true => Ok(Dialect { name: parts.name, shapes, words, request: parts.request }),
            false => Err(errors),
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub(super) fn request_path(&self, field: RequestField) -> Option<&Path> {
        self.request.get(&field)
    }

    /// Appends an event of a stream; nothing where the dialect has no such event.
    pub fn encode(&self, event: &ClientEvent, out: &mut BytesMut) {
        let (kind, values) = parts_of(event);
        let Some(shape) = self.shapes.get(&kind) else { return };
        encode_event(out, &shape.name, |out| self.put_pieces(shape, &values, out));
    }

    /// The one JSON answer.
    pub fn encode_answer(&self, answer: &Answer) -> BytesMut {
        let values = Values {
            id: &answer.id,
            model: &answer.model,
            text: &answer.text,
            usage: answer.usage,
            word: Some(answer.reason.into()),
            ..Values::default()
        };
        self.whole(EventKind::Answer, &values)
    }

    /// The body of an answer whose HTTP status is an error.
    pub fn encode_error(&self, kind: ErrorKind, message: &str, retry_harmless: bool) -> BytesMut {
        let values = Values { message, retry_harmless, word: Some(kind.into()), ..Values::default() };
        self.whole(EventKind::Error, &values)
    }

    fn whole(&self, kind: EventKind, values: &Values<'_>) -> BytesMut {
        let mut out = BytesMut::new();
        if let Some(shape) = self.shapes.get(&kind) {
            self.put_pieces(shape, values, &mut out);
        }
        out
    }

    fn put_pieces(&self, shape: &Compiled, values: &Values<'_>, out: &mut BytesMut) {
        for piece in &shape.pieces {
            match piece {
                Piece::Literal(bytes) => out.put_slice(bytes),
                Piece::Slot(value) => self.put_value(*value, values, out),
            }
        }
    }

    fn put_value(&self, value: Value, values: &Values<'_>, out: &mut BytesMut) {
        let word = || values.word.map_or("", |w| &self.words[&w]);
        match value {
            Value::Id => put_json_text(out, values.id),
            Value::Model => put_json_text(out, values.model),
            Value::Text => put_json_text(out, values.text),
            Value::PromptTokens => put_number(out, values.usage.prompt),
            Value::KeptTokens => put_number(out, values.usage.kept),
            Value::OutputTokens => put_number(out, values.usage.output),
            Value::StopReason | Value::ErrorKind => put_json_text(out, word()),
            Value::Message => put_json_text(out, values.message),
            Value::RetryHarmless => out.put_slice(if values.retry_harmless { b"true" } else { b"false" }),
        }
    }

    /// Reads an event of a stream; `None` where its name or a field it needs is not of this dialect.
    pub fn decode(&self, event: &SseEvent) -> Option<ClientEvent> {
        let named = |(kind, shape): &(&EventKind, &Compiled)| kind.in_stream() && shape.name == event.name;
        let (kind, shape) = self.shapes.iter().find(named)?;
        let json: Json = serde_json::from_str(&event.data).ok()?;
        let read = Reader { dialect: self, shape, json: &json };
        Some(match kind {
            EventKind::Opened => ClientEvent::Opened {
                id: read.text(Value::Id),
                model: read.text(Value::Model),
                usage: read.usage(),
            },
            EventKind::PartOpened => ClientEvent::PartOpened,
            EventKind::Part => ClientEvent::Part { text: read.value(Value::Text)?.as_str()?.to_owned() },
            EventKind::PartClosed => ClientEvent::PartClosed,
            EventKind::Usage => ClientEvent::Usage { usage: read.usage(), reason: read.reason() },
            EventKind::Closed => ClientEvent::Closed { reason: read.reason() },
            EventKind::Failed => {
                let (kind, message, retry_harmless) = read.error();
                ClientEvent::Failed { kind, message, retry_harmless }
            }
            EventKind::KeepAlive => ClientEvent::KeepAlive,
            EventKind::Answer | EventKind::Error => return None,
        })
    }

    /// Reads the one JSON answer; `None` where it is not of this dialect.
    pub fn decode_answer(&self, body: &[u8]) -> Option<Answer> {
        let json: Json = serde_json::from_slice(body).ok()?;
        let read = Reader { dialect: self, shape: self.shapes.get(&EventKind::Answer)?, json: &json };
        Some(Answer {
            id: read.text(Value::Id),
            model: read.text(Value::Model),
            text: read.value(Value::Text)?.as_str()?.to_owned(),
            usage: read.usage(),
            reason: read.reason(),
        })
    }

    /// Reads the body of an error: kind, message, and whether a retry is harmless.
    pub fn decode_error(&self, body: &[u8]) -> Option<(ErrorKind, String, bool)> {
        let json: Json = serde_json::from_slice(body).ok()?;
        let read = Reader { dialect: self, shape: self.shapes.get(&EventKind::Error)?, json: &json };
        read.value(Value::RetryHarmless)?;
        Some(read.error())
    }
}

/// The values of one event; those it has no use for stay empty.
#[derive(Default)]
struct Values<'v> {
    id: &'v str,
    model: &'v str,
    text: &'v str,
    message: &'v str,
    usage: Usage,
    word: Option<Word>,
    retry_harmless: bool,
}

fn parts_of(event: &ClientEvent) -> (EventKind, Values<'_>) {
    let none = Values::default();
    match event {
        ClientEvent::Opened { id, model, usage } => {
            (EventKind::Opened, Values { id, model, usage: *usage, ..none })
        }
        ClientEvent::PartOpened => (EventKind::PartOpened, none),
        ClientEvent::Part { text } => (EventKind::Part, Values { text, ..none }),
        ClientEvent::PartClosed => (EventKind::PartClosed, none),
        ClientEvent::Usage { usage, reason } => {
            (EventKind::Usage, Values { usage: *usage, word: Some((*reason).into()), ..none })
        }
        ClientEvent::Closed { reason } => {
            (EventKind::Closed, Values { word: Some((*reason).into()), ..none })
        }
        ClientEvent::Failed { kind, message, retry_harmless } => (
            EventKind::Failed,
            Values { message, retry_harmless: *retry_harmless, word: Some((*kind).into()), ..none },
        ),
        ClientEvent::KeepAlive => (EventKind::KeepAlive, none),
    }
}

struct Reader<'r> {
    dialect: &'r Dialect,
    shape: &'r Compiled,
    json: &'r Json,
}

impl<'r> Reader<'r> {
    fn value(&self, value: Value) -> Option<&'r Json> {
        let (_, path) = self.shape.paths.iter().find(|(v, _)| *v == value)?;
        path.get(self.json)
    }

    fn text(&self, value: Value) -> String {
        self.value(value).and_then(Json::as_str).unwrap_or_default().to_owned()
    }

    fn number(&self, value: Value) -> u32 {
        self.value(value).and_then(Json::as_u64).and_then(|n| u32::try_from(n).ok()).unwrap_or(0)
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt: self.number(Value::PromptTokens),
            kept: self.number(Value::KeptTokens),
            output: self.number(Value::OutputTokens),
        }
    }

    fn is(&self, value: Value, word: Word) -> bool {
        self.value(value).and_then(Json::as_str) == Some(&self.dialect.words[&word])
    }

    fn reason(&self) -> StopReason {
        match self.is(Value::StopReason, Word::MaxTokens) {
            true => StopReason::MaxTokens,
            false => StopReason::Finished,
        }
    }

    fn error(&self) -> (ErrorKind, String, bool) {
        let kinds = [ErrorKind::Invalid, ErrorKind::Unauthorized, ErrorKind::Refused];
        let kind = kinds.into_iter().find(|k| self.is(Value::ErrorKind, (*k).into()));
        // What is not said to be harmless is not.
        let harmless = self.value(Value::RetryHarmless).and_then(Json::as_bool).unwrap_or(false);
        (kind.unwrap_or(ErrorKind::Failed), self.text(Value::Message), harmless)
    }
}

/// Text that no dialect holds: it marks where a value goes until the JSON is cut there.
const MARK: char = '\u{1}';

fn compile(kind: EventKind, shape: &EventShape, errors: &mut Vec<DialectError>) -> Compiled {
    let mut json = Json::Object(Default::default());
    let mut paths = Vec::new();
    for (i, field) in shape.fields.iter().enumerate() {
        let value = match &field.source {
            Source::Fixed(value) => value.clone(),
            Source::Value(value) => {
                if !value.belongs_to(kind) {
                    errors.push(DialectError::Foreign { kind: kind.as_str(), value: value.as_str() });
                }
                paths.push((*value, field.path.clone()));
                Json::String(format!("{MARK}{i}{MARK}"))
            }
        };
        if !field.path.put(&mut json, value) {
            errors.push(DialectError::Clash { kind: kind.as_str(), path: field.path.to_string() });
        }
    }
    // The mark is escaped in JSON, so that it stands in the text as `\u0001`.
    let text = json.to_string();
    let mut pieces = Vec::new();
    for (i, part) in text.split("\"\\u0001").enumerate() {
        let slot = part.split_once("\\u0001\"").filter(|_| i > 0);
        let (number, literal) = slot.map_or((None, part), |(n, rest)| (n.parse::<usize>().ok(), rest));
        if let Some(Source::Value(value)) = number.and_then(|n| shape.fields.get(n)).map(|f| &f.source) {
            pieces.push(Piece::Slot(*value));
        }
        pieces.push(Piece::Literal(literal.as_bytes().to_vec()));
    }
    Compiled { name: shape.name.clone(), pieces, paths }
}

fn put_number(out: &mut BytesMut, number: u32) {
    out.put_slice(number.to_string().as_bytes());
}

/// A JSON string; the parts of an answer need no look at all in most cases.
fn put_json_text(out: &mut BytesMut, text: &str) {
    let plain = text.bytes().all(|b| b >= 0x20 && b != b'"' && b != b'\\');
    if plain {
        out.put_u8(b'"');
        out.put_slice(text.as_bytes());
        out.put_u8(b'"');
    } else {
        out.put_slice(Json::String(text.to_owned()).to_string().as_bytes());
    }
}
