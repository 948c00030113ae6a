//! The frames of the operations protocol.

use super::query::{Answer, Query};
use super::update::Update;
use super::SessionRole;
use super::VERSION;
use crate::frame::Frame;
use crate::wire::{malformed, Wire};
use bytes::BytesMut;
use winnow::ModalResult;

/// A frame of the operations protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum OpsFrame {
    /// The client's first frame.
    Hello {
        /// The protocol version of the client.
        version: u16,
        /// The operator's key, if any.
        key: Option<String>,
        /// The role that the client requests.
        role: SessionRole,
        /// The operator's name, used if no key determines it.
        operator: String,
    },
    /// The router's first frame.
    Welcome {
        /// The protocol version of the router.
        version: u16,
        /// The router's name.
        router: String,
        /// The run of its process.
        run: u64,
        /// The role of the session: the requested one, limited by what the key allows.
        role: SessionRole,
    },
    /// A query of the client.
    Query {
        /// A number chosen by the client.
        seq: u32,
        /// The query.
        query: Query,
    },
    /// The router's answer to a query.
    Answer {
        /// The number of the query.
        seq: u32,
        /// The answer.
        answer: Answer,
    },
    /// An update from the router to a subscriber.
    Update(Update),
    /// The last frame in either direction: the sender closes the connection.
    Bye {
        /// The human-readable reason.
        reason: String,
    },
}

const HELLO: u8 = 1;
const WELCOME: u8 = 2;
const QUERY: u8 = 3;
const ANSWER: u8 = 4;
const UPDATE: u8 = 5;
const BYE: u8 = 63;

impl Frame for OpsFrame {
    fn kind(&self) -> u8 {
        match self {
            OpsFrame::Hello { .. } => HELLO,
            OpsFrame::Welcome { .. } => WELCOME,
            OpsFrame::Query { .. } => QUERY,
            OpsFrame::Answer { .. } => ANSWER,
            OpsFrame::Update(_) => UPDATE,
            OpsFrame::Bye { .. } => BYE,
        }
    }

    fn put_body(&self, out: &mut BytesMut) {
        match self {
            OpsFrame::Hello { version, key, role, operator } => {
                version.put(out);
                key.put(out);
                role.put(out);
                operator.put(out);
            }
            OpsFrame::Welcome { version, router, run, role } => {
                version.put(out);
                router.put(out);
                run.put(out);
                role.put(out);
            }
            OpsFrame::Query { seq, query } => {
                seq.put(out);
                query.put(out);
            }
            OpsFrame::Answer { seq, answer } => {
                seq.put(out);
                answer.put(out);
            }
            OpsFrame::Update(update) => update.put(out),
            OpsFrame::Bye { reason } => reason.put(out),
        }
    }

    fn parse_body(kind: u8, body: &mut &[u8]) -> ModalResult<Self> {
        match kind {
            HELLO => parse_hello(body),
            WELCOME => Ok(OpsFrame::Welcome {
                version: Wire::take(body)?,
                router: Wire::take(body)?,
                run: Wire::take(body)?,
                role: Wire::take(body)?,
            }),
            QUERY => Ok(OpsFrame::Query { seq: Wire::take(body)?, query: Wire::take(body)? }),
            ANSWER => Ok(OpsFrame::Answer { seq: Wire::take(body)?, answer: Wire::take(body)? }),
            UPDATE => Ok(OpsFrame::Update(Wire::take(body)?)),
            BYE => Ok(OpsFrame::Bye { reason: Wire::take(body)? }),
            _ => malformed(),
        }
    }
}

/// Parses a hello. The hello of another version may have another format after the version field, so only that
/// field is read; it is enough to answer such a hello.
fn parse_hello(body: &mut &[u8]) -> ModalResult<OpsFrame> {
    let version = u16::take(body)?;
    if version != VERSION {
        *body = &[];
        return Ok(OpsFrame::Hello {
            version,
            key: None,
            role: SessionRole::ReadOnly,
            operator: String::new(),
        });
    }
    Ok(OpsFrame::Hello {
        version,
        key: Wire::take(body)?,
        role: Wire::take(body)?,
        operator: Wire::take(body)?,
    })
}
