//! The datagrams by which the routers of a site know of one another.
//!
//! A datagram is a head (`gF`, version), the body of one [`Message`], and a message authentication code over both.
//! `docs/protocols/fleet.md` describes it. The code is made and checked where the site's key is
//! (`gaparch-membership`); here bytes become values and back.

use crate::wire::{choice, closed_set, record, Wire};
use bytes::{BufMut, BytesMut};

/// The version spoken here. One that is newer is dropped and counted.
pub const VERSION: u8 = 1;
/// Bytes of a whole datagram at most, so that it needs no fragments on common links.
pub const MOST_BYTES: usize = 1200;
/// Bytes of a name, a zone or a build at most.
pub const MOST_NAME: usize = 64;

const HEAD: [u8; 2] = *b"gF";

closed_set! {
    /// What is thought of a member.
    pub enum MemberState {
        Alive = 1, "alive";
        /// It does not answer whoever asked, and has not been heard from since by anybody who said so.
        Suspect = 2, "suspect";
        Dead = 3, "dead";
        /// It said itself that it goes.
        Left = 4, "left";
    }
}

record! {
    /// A member as it describes itself.
    #[derive(Eq)]
    pub struct Facts {
        pub name: String,
        pub zone: String,
        pub build: String,
        /// Where datagrams reach it.
        pub address: String,
        /// Drawn anew by each process.
        pub run: u64,
        /// Grows with each start of the same name, and where what others witnessed is ahead of it.
        pub incarnation: u64,
        /// Milliseconds since the process began, by its own monotonic clock, when it last said so; pushed on where it
        /// was accused at a later one, so that a life sign is always newer than what it answers.
        pub beat: u64,
    }
}

choice! {
    /// Something that members tell one another of others.
    pub enum News {
        /// Suspect and dead: no sign of life of a beat later than `silent`, as `by` says.
        1 => Member { facts: Facts, state: MemberState, by: String, silent: u64, },
        /// `to` does not hear `from` (or hears it again), though others do; said by `to` at its incarnation and beat.
        2 => Edge { from: String, to: String, lost: bool, incarnation: u64, beat: u64, },
    }
}

choice! {
    pub enum Word {
        1 => Ping { nonce: u64, },
        /// The answer to a ping, from whoever was pinged.
        2 => Ack { nonce: u64, },
        /// Ping another one for me, and pass its answer on.
        3 => PingFor { nonce: u64, target: String, address: String, },
        /// That one did not answer in time either; but I do.
        4 => Nack { nonce: u64, },
        /// All that you know from this name on.
        5 => Want { after: String, },
        /// What follows that name; with more to come after `next`.
        6 => Page { after: String, next: Option<String>, },
        /// Something between other parts of the routers; a router that does not know the word drops it.
        7 => Talk { bytes: Vec<u8>, },
    }
}

record! {
    pub struct Message {
        pub from: Facts,
        /// Whom it is for; empty where the sender knows an address only.
        pub to: String,
        /// Grows with each message of a process.
        pub seq: u64,
        /// Members that the sender has heard itself of late.
        pub hears: u16,
        pub word: Word,
        pub news: Vec<News>,
    }
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// Of another protocol, cut short or otherwise malformed.
    Malformed,
    /// Of a version that is not known here.
    Version(u8),
}

impl Message {
    /// Head and body, without the code.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = BytesMut::with_capacity(256);
        out.put_slice(&HEAD);
        out.put_u8(VERSION);
        self.put(&mut out);
        out.to_vec()
    }

    /// # Errors
    /// When the bytes are not exactly one message of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Message, Unreadable> {
        let (head, rest) = bytes.split_first_chunk::<3>().ok_or(Unreadable::Malformed)?;
        if head[..2] != HEAD {
            return Err(Unreadable::Malformed);
        }
        if head[2] != VERSION {
            return Err(Unreadable::Version(head[2]));
        }
        let mut body = rest;
        let message = Message::take(&mut body).map_err(|_| Unreadable::Malformed)?;
        if !body.is_empty() || !message.is_sound() {
            return Err(Unreadable::Malformed);
        }
        Ok(message)
    }

    fn is_sound(&self) -> bool {
        let news = |n: &News| match n {
            News::Member { facts, by, .. } => facts.is_sound() && by.len() <= MOST_NAME,
            News::Edge { from, to, .. } => is_name(from) && is_name(to),
        };
        let word = match &self.word {
            Word::PingFor { target, address, .. } => is_name(target) && address.len() <= MOST_NAME,
            Word::Want { after } | Word::Page { after, .. } => after.len() <= MOST_NAME,
            Word::Talk { bytes } => bytes.len() <= MOST_BYTES,
            Word::Ping { .. } | Word::Ack { .. } | Word::Nack { .. } => true,
        };
        self.from.is_sound() && self.to.len() <= MOST_NAME && word && self.news.iter().all(news)
    }
}

fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MOST_NAME
}

impl Facts {
    /// Every text has a sound length, and the address is one.
    pub fn is_sound(&self) -> bool {
        let short = |text: &str| text.len() <= MOST_NAME;
        let address = self.address.parse::<std::net::SocketAddr>().is_ok();
        is_name(&self.name) && short(&self.zone) && short(&self.build) && address
    }
}

/// Bytes that a value takes on the wire.
pub fn length<T: Wire>(value: &T) -> usize {
    let mut out = BytesMut::new();
    value.put(&mut out);
    out.len()
}
