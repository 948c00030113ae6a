//! The names by which settings speak of events, values, labels and request fields.

use crate::client::{ErrorKind, StopReason};
use crate::named_enum::named_enum;

named_enum! {
    /// What a dialect can name: the events of a stream, the complete answer, and the body of an HTTP error.
    pub enum EventKind {
        /// The stream begins.
        MessageStart = "opened",
        /// The one block of content begins.
        ContentBlockStart = "part-opened",
        /// More text of the answer.
        TextDelta = "part",
        /// The one block of content is complete.
        ContentBlockStop = "part-closed",
        /// Token counts of the answer.
        Usage = "usage",
        /// The stream ends and the answer is complete.
        MessageStop = "closed",
        /// The stream ends with an error.
        Failed = "failed",
        /// Nothing but a sign that the connection is alive.
        KeepAlive = "keep-alive",
        /// The complete JSON answer where no stream was requested.
        Answer = "answer",
        /// The body of a response whose HTTP status is an error.
        Error = "error",
    }
}

impl EventKind {
    /// Whether a dialect has to define it: without these a client can't tell a complete stream from a broken one.
    pub(super) fn is_required(self) -> bool {
        !matches!(self, EventKind::ContentBlockStart | EventKind::ContentBlockStop | EventKind::KeepAlive)
    }

    /// Whether it is an event of a stream, which needs a name of its own.
    pub(super) fn in_stream(self) -> bool {
        !matches!(self, EventKind::Answer | EventKind::Error)
    }
}

named_enum! {
    /// A value that a field of an event can hold.
    pub enum FieldValue {
        /// The request's id.
        Id = "id",
        /// The model that the client asked for.
        Model = "model",
        /// Text of the answer.
        Text = "text",
        /// Tokens of the prompt.
        PromptTokens = "prompt-tokens",
        /// Prompt tokens found in a KV cache.
        CachedPromptTokens = "kept-tokens",
        /// Tokens of the answer.
        OutputTokens = "output-tokens",
        /// The label of the [`StopReason`].
        StopReason = "stop-reason",
        /// The label of the [`ErrorKind`].
        ErrorKind = "error-kind",
        /// The error message, for people.
        Message = "message",
        /// Whether the client can retry without running the request twice.
        RetryHarmless = "retry-harmless",
    }
}

impl FieldValue {
    /// Whether events of this kind have such a value.
    pub(super) fn belongs_to(self, kind: EventKind) -> bool {
        use EventKind as Kind;
        match self {
            FieldValue::Id | FieldValue::Model => matches!(kind, Kind::MessageStart | Kind::Answer),
            FieldValue::Text => matches!(kind, Kind::TextDelta | Kind::Answer),
            FieldValue::PromptTokens | FieldValue::CachedPromptTokens | FieldValue::OutputTokens => {
                matches!(kind, Kind::MessageStart | Kind::Usage | Kind::Answer)
            }
            FieldValue::StopReason => matches!(kind, Kind::Usage | Kind::MessageStop | Kind::Answer),
            FieldValue::ErrorKind | FieldValue::Message | FieldValue::RetryHarmless => {
                matches!(kind, Kind::Failed | Kind::Error)
            }
        }
    }
}

named_enum! {
    /// A stop reason or error kind that a dialect may spell its own way. Where it doesn't, the name in the settings is
    /// used.
    pub enum Label {
        /// [`StopReason::Finished`].
        Finished = "finished",
        /// [`StopReason::MaxTokens`].
        MaxTokens = "max-tokens",
        /// [`ErrorKind::Invalid`].
        Invalid = "invalid",
        /// [`ErrorKind::Unauthorized`].
        Unauthorized = "unauthorized",
        /// [`ErrorKind::Rejected`].
        Rejected = "refused",
        /// [`ErrorKind::Failed`].
        Failed = "failed",
    }
}

impl From<StopReason> for Label {
    fn from(reason: StopReason) -> Label {
        match reason {
            StopReason::Finished => Label::Finished,
            StopReason::MaxTokens => Label::MaxTokens,
        }
    }
}

impl From<ErrorKind> for Label {
    fn from(kind: ErrorKind) -> Label {
        match kind {
            ErrorKind::Invalid => Label::Invalid,
            ErrorKind::Unauthorized => Label::Unauthorized,
            ErrorKind::Rejected => Label::Rejected,
            ErrorKind::Failed => Label::Failed,
        }
    }
}

named_enum! {
    /// A field of a request whose place in the JSON a dialect can choose. Its name with
    /// [`HEADER_PREFIX`](crate::client::HEADER_PREFIX) before it is the name of its header.
    pub enum RequestField {
        /// The model's name.
        Model = "model",
        /// The conversation.
        Messages = "messages",
        /// The system prompt.
        System = "system",
        /// The most tokens to produce.
        MaxTokens = "max-tokens",
        /// Whether the answer is sent as a stream of events.
        Stream = "stream",
        /// The traffic class.
        Class = "class",
        /// The session, whose requests share a prefix.
        Session = "session",
        /// The name of a prefix that sessions share.
        Prefix = "prefix",
        /// The length of that prefix in tokens.
        PrefixTokens = "prefix-tokens",
        /// The length of the prompt in tokens.
        PromptTokens = "prompt-tokens",
        /// The expected length of the answer in tokens.
        AnswerHint = "answer-hint",
        /// Whether the client retries an earlier request.
        Repeat = "repeat",
    }
}
