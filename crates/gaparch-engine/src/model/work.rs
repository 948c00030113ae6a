//! One piece of work at an engine, and what a request without an engine's tokeniser comes to.

use super::{ConnId, FetchId};
use gaparch_protocol::engine::{AttemptKey, Job, KvCacheLocation, RouterRun};
use gaparch_scheduler::api::Nanos;

#[derive(Clone, Debug, PartialEq)]
pub(super) enum WorkKind {
    Read,
    Write { state: Option<KvCacheLocation> },
    Probe { nonce: u64 },
}

#[derive(Clone, Debug)]
pub(super) struct Work {
    pub conn: ConnId,
    pub run: RouterRun,
    pub job: Option<Job>,
    pub kind: WorkKind,
    /// Order in which it came.
    pub number: u64,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Tokens of the answer, in the end and so far.
    pub length: u32,
    pub produced: u32,
    /// Prompt tokens found kept.
    pub kept: u32,
    /// Tokens still to be read.
    pub unread: f64,
    pub memory: u64,
    /// Its state is on the way.
    pub fetch: Option<FetchId>,
    pub begun: bool,
    /// When its answer is of no use any more.
    pub until: Option<Nanos>,
}

impl Work {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        conn: ConnId,
        run: RouterRun,
        job: Job,
        kind: WorkKind,
        tokens: u32,
        length: u32,
        now: Nanos,
        number: u64,
    ) -> Work {
        let patience = u64::from(job.timeout_ms) * 1_000_000;
        Work {
            conn,
            run,
            kind,
            number,
            tokens,
            length,
            produced: 0,
            kept: 0,
            unread: 0.0,
            memory: 0,
            fetch: None,
            begun: false,
            until: (patience > 0).then(|| now.saturating_add(patience)),
            job: Some(job),
        }
    }

    /// A probe waits like a request and then costs a token's reading.
    pub fn probe(conn: ConnId, run: RouterRun, nonce: u64, number: u64) -> Work {
        Work {
            conn,
            run,
            job: None,
            kind: WorkKind::Probe { nonce },
            number,
            tokens: 0,
            length: 0,
            produced: 0,
            kept: 0,
            unread: 1.0,
            memory: 0,
            fetch: None,
            begun: false,
            until: None,
        }
    }

    pub fn key(&self) -> Option<AttemptKey> {
        self.job.as_ref().map(|job| job.key)
    }

    /// Tokens of memory that it takes to go in.
    pub fn need(&self) -> u64 {
        u64::from(self.tokens) + u64::from(self.produced)
    }
}

/// The prompt's length as told, else guessed from its bytes.
pub(super) fn prompt_tokens(job: &Job) -> u32 {
    match job.prompt_tokens {
        0 => u32::try_from(job.prompt.len() / 4).unwrap_or(u32::MAX).max(1),
        told => told,
    }
}

/// The answer's length: what `[[answer N]]` in the prompt says, else some part of what is allowed that is the
/// same each time; never more than that.
pub(super) fn answer_length(job: &Job) -> u32 {
    let marked = job.prompt.split_once("[[answer ").and_then(|(_, rest)| rest.split_once("]]"));
    let marked = marked.and_then(|(n, _)| n.trim().parse::<u32>().ok());
    let most = job.max_output_tokens.max(1);
    let part = job.prompt.bytes().fold(job.key.request, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
    let some = u64::from(most) * (25 + part % 50) / 100;
    marked.unwrap_or(u32::try_from(some).unwrap_or(most)).clamp(1, most)
}

/// Words of which the stand-in's answers are made.
const WORDS: [&str; 16] = [
    "the ", "state ", "was ", "read ", "here ", "and ", "moved ", "there, ", "where ", "this ", "answer ",
    "is ", "written ", "token ", "by ", "token. ",
];

pub(super) fn answer_word(request: u64, index: u32) -> String {
    let at = request.wrapping_mul(7).wrapping_add(u64::from(index)) % WORDS.len() as u64;
    WORDS[at as usize].to_owned()
}
