//! The names of events, values, labels and request fields in the settings.

use crate::client::{ErrorKind, StopReason};
use crate::named_enum::named_enum;

named_enum! {
    /// What a dialect defines: the events of a stream, the complete answer, and the body of an HTTP error.
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
        /// Carries no data; shows that the connection is alive.
        KeepAlive = "keep-alive",
        /// The complete JSON answer to a request without streaming.
        Answer = "answer",
        /// The body of an HTTP error response.
        Error = "error",
    }
}

impl EventKind {
    /// Whether every dialect has to define it: otherwise a client can't distinguish a complete stream from a
    /// broken one.
    pub(super) fn is_required(self) -> bool {
        !matches!(self, EventKind::ContentBlockStart | EventKind::ContentBlockStop | EventKind::KeepAlive)
    }

    /// Whether it is a stream event, which needs a unique name.
    pub(super) fn in_stream(self) -> bool {
        !matches!(self, EventKind::Answer | EventKind::Error)
    }
}

named_enum! {
    /// A value that a field of an event can hold.
    pub enum FieldValue {
        /// The request's id.
        Id = "id",
        /// The model that the client requested.
        Model = "model",
        /// Text of the answer.
        Text = "text",
        /// The number of tokens in the prompt.
        PromptTokens = "prompt-tokens",
        /// The number of prompt tokens found in a KV cache.
        CachedPromptTokens = "kept-tokens",
        /// The number of tokens in the answer.
        OutputTokens = "output-tokens",
        /// The label of the [`StopReason`].
        StopReason = "stop-reason",
        /// The label of the [`ErrorKind`].
        ErrorKind = "error-kind",
        /// The human-readable error message.
        Message = "message",
        /// Whether the client can retry without running the request twice.
        RetryHarmless = "retry-harmless",
    }
}

impl FieldValue {
    /// Whether events of this kind have this value.
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
    /// A stop reason or error kind whose spelling a dialect may choose. The default is its name in the
    /// settings.
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
    /// A request field whose JSON path a dialect can choose. The name of its header is
    /// [`HEADER_PREFIX`](crate::client::HEADER_PREFIX) followed by its name.
    pub enum RequestField {
        /// The model's name.
        Model = "model",
        /// The conversation.
        Messages = "messages",
        /// The system prompt.
        System = "system",
        /// The maximum number of tokens to produce.
        MaxTokens = "max-tokens",
        /// Whether the answer is sent as a stream of events.
        Stream = "stream",
        /// The traffic class.
        Class = "class",
        /// The session; its requests share a prefix.
        Session = "session",
        /// The name of the shared prefix, which several sessions may have in common.
        Prefix = "prefix",
        /// The length of the shared prefix in tokens.
        PrefixTokens = "prefix-tokens",
        /// The length of the prompt in tokens.
        PromptTokens = "prompt-tokens",
        /// The expected length of the answer in tokens.
        AnswerHint = "answer-hint",
        /// Whether the request is a retry of an earlier one.
        Repeat = "repeat",
    }
}
