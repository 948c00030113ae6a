//! One request in progress, and its attempt that is out.

use super::{Part, Position};
use crate::api::{AffinityKey, AttemptNumber, CellId, Nanos, Request, ServerId, ZoneId};

/// The attempt of a request that is out.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub server: ServerId,
    pub no: AttemptNumber,
    pub at: Nanos,
    pub stage: Stage,
    pub unread: f64,
    /// Own tokens to read there when it was sent, its own included.
    pub queued: f64,
    pub held: f64,
    pub begun: bool,
    pub cancelled: bool,
    /// What it is to fetch was let go of beside it: it may not have arrived.
    pub released: bool,
    /// A probe there was out.
    pub behind: bool,
}

impl Sent {
    /// A send yet to be booked.
    pub fn to(server: ServerId, stage: Stage) -> Sent {
        Sent {
            server,
            no: AttemptNumber(0),
            at: 0,
            stage,
            unread: 0.0,
            queued: 0.0,
            held: 0.0,
            begun: false,
            cancelled: false,
            released: false,
            behind: false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Read,
    Write,
    /// Read and written at one mixed server.
    Whole,
}

/// An attempt that may have run, of a request that is not safe to repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MayHaveRun {
    pub zone: Option<ZoneId>,
    pub cell: Option<CellId>,
    pub at: Nanos,
}

/// Where a request's servers are to be looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Home {
    /// Readers that its shared beginning is at home at.
    pub readers: usize,
    pub position: Position,
}

impl Home {
    /// One that is at home at so many readers. Of more than `near` there is a point for each `near` of them, and sessions
    /// are spread over the points.
    pub fn of(request: &Request, readers: usize, near: usize) -> Home {
        let session = request.session.unwrap_or(AffinityKey(request.id.0));
        let points = readers.div_ceil(near).max(1) as u64;
        let number = ServerId((session.rendezvous_rank(ServerId(0)) % points) as u32);
        Home { readers, position: Position::Key(request.prefix.unwrap_or(session).rendezvous_rank(number)) }
    }
}

#[derive(Clone, Debug)]
pub struct Work {
    pub request: Request,
    pub over_share: bool,
    /// An order of servers that differs for each request and router.
    pub lot: AffinityKey,
    pub asked_at: Nanos,
    /// Readers that its shared beginning is at home at.
    pub homes: usize,
    /// Where its servers are looked for, if there are many.
    pub position: Position,
    pub aim_at: Nanos,
    /// Guessed tokens of the answer.
    pub answer: f64,
    pub attempts: u32,
    pub sent: Option<Sent>,
    /// The reader where the state waits, and since when no attempt is known to have arrived for it.
    pub state: Option<(ServerId, Nanos)>,
    pub may_have_run: Option<MayHaveRun>,
    /// Servers that failed it.
    pub avoid: Vec<ServerId>,
    pub read_at: Option<Nanos>,
    /// Until when answers of probes are waited for.
    pub look_until: Option<Nanos>,
    /// The final answer is given: only the books are still open.
    pub ended: bool,
}

impl Work {
    /// When what was read for it has to be taken or let go of, which is within so long after its read.
    pub fn release_by(&self, within: Nanos) -> Nanos {
        self.state.map_or(Nanos::MAX, |(_, since)| since.saturating_add(within))
    }

    pub fn new(
        request: Request,
        now: Nanos,
        seed: u64,
        home: Home,
        over_share: bool,
        aim_at: Nanos,
        answer: f64,
    ) -> Work {
        Work {
            lot: AffinityKey(request.id.0 ^ seed),
            homes: home.readers,
            position: home.position,
            asked_at: now,
            request,
            over_share,
            aim_at,
            answer,
            attempts: 0,
            sent: None,
            state: None,
            may_have_run: None,
            avoid: Vec::new(),
            read_at: None,
            look_until: None,
            ended: false,
        }
    }

    /// Time to the first token that is wanted.
    pub fn aim(&self) -> f64 {
        self.aim_at.saturating_sub(self.asked_at) as f64
    }

    pub fn part(&self) -> Part {
        (self.request.class, self.request.tenant)
    }

    /// Answers of probes are still waited for.
    pub fn awaits_probes(&self, now: Nanos) -> bool {
        self.look_until.is_some_and(|until| now < until)
    }

    /// Unanswered, with no stream begun.
    pub fn unbegun(&self) -> bool {
        !self.ended && !self.sent.is_some_and(|s| s.begun)
    }

    /// A writer will have to take its state.
    pub fn pledged(&self) -> bool {
        let reading = self.sent.is_some_and(|s| s.stage == Stage::Read);
        !self.ended && (reading || self.state.is_some() && self.sent.is_none())
    }

    /// Guessed tokens of memory at a writer.
    pub fn need(&self) -> f64 {
        self.request.prompt_tokens + self.answer
    }
}
