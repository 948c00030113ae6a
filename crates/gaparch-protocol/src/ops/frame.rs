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
        /// The version that the client speaks.
        version: u16,
        /// The operator's key, if there is one.
        key: Option<String>,
        /// The role that the client asks for.
        role: SessionRole,
        /// The operator's name, where no key says it.
        operator: String,
    },
    /// The router's first frame.
    Welcome {
        /// The version that the router speaks.
        version: u16,
        /// The router's name.
        router: String,
        /// The run of its process.
        run: u64,
        /// The role that the session has: what the key allows, at most what was asked for.
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
    /// The router's update to a subscriber.
    Update(Update),
    /// The last frame of either side: why it closes the connection.
    Bye {
        /// The reason, for people.
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

/// A hello of another version has another form after the version, which is all that is needed to answer it.
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
