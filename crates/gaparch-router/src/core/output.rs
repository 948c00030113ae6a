//! Outputs of the router core: what the shell around it must do.

use super::ConnectionNumber;
use gaparch_protocol::client::{StopReason, Usage};
use gaparch_protocol::engine::EngineFrame;
use gaparch_protocol::ops::outcome::{OutcomeCause, QueueingReason, RequestOutcome};
use gaparch_scheduler::api::{Nanos, RequestId, ServerId};

/// A part of the response to one client. In order: at most one `Started`, any number of `Text`, and exactly
/// one of the others.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    /// The first token has arrived.
    Started {
        /// Tokens counted so far.
        usage: Usage,
    },
    /// More of the generated text.
    Text {
        /// The new text only.
        text: String,
    },
    /// The response is complete.
    Finished {
        /// Tokens counted in all.
        usage: Usage,
        /// Why the engine stopped generating.
        reason: StopReason,
    },
    /// The request was rejected before it had any effect; a retry is safe.
    Rejected {
        /// The Retry-After for the client; 0 if the settings allow none.
        retry_after: Nanos,
        /// Why it was rejected.
        cause: OutcomeCause,
        /// Why it was queued, if it was.
        waited_for: Option<QueueingReason>,
    },
    /// The request failed; whether it had an effect is not known.
    Failed {
        /// The reason in words, for the client.
        message: &'static str,
        /// The reason, for operators.
        cause: OutcomeCause,
    },
}

impl ResponseEvent {
    /// Whether no further event follows.
    pub fn is_last(&self) -> bool {
        !matches!(self, ResponseEvent::Started { .. } | ResponseEvent::Text { .. })
    }
}

/// Something that the shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Pass a part of a response to the client.
    Client {
        /// The client's request.
        id: RequestId,
        /// The part of the response.
        event: ResponseEvent,
    },
    /// Send a frame to an engine.
    Engine {
        /// The engine.
        engine: ServerId,
        /// The frame.
        frame: EngineFrame,
    },
    /// Connect to an engine. [`Input::EngineConnected`](super::Input::EngineConnected) or
    /// [`Input::EngineDisconnected`](super::Input::EngineDisconnected) must follow within the connect
    /// timeout.
    Connect {
        /// The engine.
        engine: ServerId,
        /// Identifies this connection in the inputs that follow.
        conn: ConnectionNumber,
        /// The engine's name in the list.
        name: String,
        /// The engine's address in the list.
        address: String,
    },
    /// Send a last frame with the reason to an engine and close the connection to it.
    Disconnect {
        /// The engine.
        engine: ServerId,
        /// Why, for the engine and the log.
        reason: &'static str,
    },
    /// Start or stop watching the endpoint list for changes.
    WatchEndpoints(bool),
    /// Fetch the full endpoint list once.
    FetchEndpoints,
    /// Send a gossip message to other routers.
    SendGossip {
        /// The index of the recipient in the settings; all of them if none is given.
        peer: Option<u32>,
        /// The message.
        data: Vec<u8>,
    },
    /// Close the connections to an engine on which no exchange is in flight.
    CloseIdleConnections(ServerId),
    /// Write a line to the log.
    Log(String),
    /// A request has ended; emitted only if the settings configure operations, which record it.
    RequestEnded(Box<RequestOutcome>),
}
