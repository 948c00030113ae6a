//! Bytes of the engine protocol.

use super::{AttemptKey, EngineFacts, EngineFrame, Job, NoState, Peer, RouterRun, StateAt, StateKey};
use crate::frame::Frame;
use crate::wire::{
    f64_, flag, long_text, malformed, optional, put_long_text, put_optional, put_short_text, short_text,
    u16_, u32_, u64_, Body,
};
use bytes::{BufMut, BytesMut};
use gaparch_scheduler::api::{AttemptStatus, LoadReport, Role};
use winnow::binary::u8;
use winnow::ModalResult;

const HELLO: u8 = 1;
const READ: u8 = 2;
const WRITE: u8 = 3;
const CANCEL: u8 = 4;
const RESERVE: u8 = 5;
const RELEASE: u8 = 6;
const PROBE: u8 = 7;
const READ_DONE: u8 = 16;
const TOKENS: u8 = 17;
const OUTCOME: u8 = 18;
const RESERVED: u8 = 19;
const PROBED: u8 = 20;
const REPORT: u8 = 21;
const FETCH: u8 = 32;
const STATE: u8 = 33;
const ABSENT: u8 = 34;
const BYE: u8 = 63;

impl Frame for EngineFrame {
    fn kind(&self) -> u8 {
        match self {
            EngineFrame::Hello { .. } => HELLO,
            EngineFrame::Read(_) => READ,
            EngineFrame::Write { .. } => WRITE,
            EngineFrame::Cancel(_) => CANCEL,
            EngineFrame::Reserve { .. } => RESERVE,
            EngineFrame::Release { .. } => RELEASE,
            EngineFrame::Probe { .. } => PROBE,
            EngineFrame::ReadDone { .. } => READ_DONE,
            EngineFrame::Tokens { .. } => TOKENS,
            EngineFrame::Outcome { .. } => OUTCOME,
            EngineFrame::Reserved { .. } => RESERVED,
            EngineFrame::Probed { .. } => PROBED,
            EngineFrame::Report(_) => REPORT,
            EngineFrame::Fetch { .. } => FETCH,
            EngineFrame::State { .. } => STATE,
            EngineFrame::Absent { .. } => ABSENT,
            EngineFrame::Bye { .. } => BYE,
        }
    }

    fn put_body(&self, out: &mut BytesMut) {
        match self {
            EngineFrame::Hello { version, peer } => {
                out.put_u16(*version);
                put_peer(out, peer);
            }
            EngineFrame::Read(job) => put_job(out, job),
            EngineFrame::Write { job, state } => {
                put_job(out, job);
                put_optional(out, state.as_ref(), put_state_at);
            }
            EngineFrame::Cancel(key) => put_key(out, *key),
            EngineFrame::Reserve { job, from } => {
                put_job(out, job);
                put_state_at(out, from);
            }
            EngineFrame::Release { request } => out.put_u64(*request),
            EngineFrame::Probe { nonce } => out.put_u64(*nonce),
            EngineFrame::ReadDone { key, kept, prompt_len, report } => {
                put_key(out, *key);
                out.put_u32(*kept);
                out.put_u32(*prompt_len);
                put_optional(out, report.as_ref(), put_report);
            }
            EngineFrame::Tokens { key, from, count, text } => {
                put_key(out, *key);
                out.put_u32(*from);
                out.put_u16(*count);
                put_short_text(out, text);
            }
            EngineFrame::Outcome { key, status, note, produced, report } => {
                put_key(out, *key);
                out.put_u8(status_code(*status));
                out.put_u64(*note);
                out.put_u32(*produced);
                put_optional(out, report.as_ref(), put_report);
            }
            EngineFrame::Reserved { key, held } => {
                put_key(out, *key);
                out.put_u8(u8::from(*held));
            }
            EngineFrame::Probed { nonce, report } => {
                out.put_u64(*nonce);
                put_optional(out, report.as_ref(), put_report);
            }
            EngineFrame::Report(report) => put_report(out, report),
            EngineFrame::Fetch { state } => put_state_key(out, *state),
            EngineFrame::State { state, tokens, prompt } => {
                put_state_key(out, *state);
                out.put_u32(*tokens);
                put_long_text(out, prompt);
            }
            EngineFrame::Absent { state, why } => {
                put_state_key(out, *state);
                out.put_u8(u8::from(*why == NoState::Unread));
            }
            EngineFrame::Bye { reason } => put_short_text(out, reason),
        }
    }

    fn parse_body(kind: u8, body: &mut &[u8]) -> ModalResult<Self> {
        Ok(match kind {
            HELLO => EngineFrame::Hello { version: u16_(body)?, peer: peer(body)? },
            READ => EngineFrame::Read(job(body)?),
            WRITE => EngineFrame::Write { job: job(body)?, state: optional(state_at)(body)? },
            CANCEL => EngineFrame::Cancel(key(body)?),
            RESERVE => EngineFrame::Reserve { job: job(body)?, from: state_at(body)? },
            RELEASE => EngineFrame::Release { request: u64_(body)? },
            PROBE => EngineFrame::Probe { nonce: u64_(body)? },
            READ_DONE => EngineFrame::ReadDone {
                key: key(body)?,
                kept: u32_(body)?,
                prompt_len: u32_(body)?,
                report: optional(report)(body)?,
            },
            TOKENS => EngineFrame::Tokens {
                key: key(body)?,
                from: u32_(body)?,
                count: u16_(body)?,
                text: short_text(body)?,
            },
            OUTCOME => EngineFrame::Outcome {
                key: key(body)?,
                status: status(body)?,
                note: u64_(body)?,
                produced: u32_(body)?,
                report: optional(report)(body)?,
            },
            RESERVED => EngineFrame::Reserved { key: key(body)?, held: flag(body)? },
            PROBED => EngineFrame::Probed { nonce: u64_(body)?, report: optional(report)(body)? },
            REPORT => EngineFrame::Report(report(body)?),
            FETCH => EngineFrame::Fetch { state: state_key(body)? },
            STATE => {
                EngineFrame::State { state: state_key(body)?, tokens: u32_(body)?, prompt: long_text(body)? }
            }
            ABSENT => EngineFrame::Absent {
                state: state_key(body)?,
                why: if flag(body)? { NoState::Unread } else { NoState::Unknown },
            },
            BYE => EngineFrame::Bye { reason: short_text(body)? },
            _ => return malformed(),
        })
    }
}

fn put_key(out: &mut BytesMut, key: AttemptKey) {
    out.put_u64(key.request);
    out.put_u32(key.attempt);
}

fn key(body: &mut Body<'_>) -> ModalResult<AttemptKey> {
    Ok(AttemptKey { request: u64_(body)?, attempt: u32_(body)? })
}

fn put_state_key(out: &mut BytesMut, key: StateKey) {
    out.put_u64(key.router.0);
    out.put_u64(key.request);
}

fn state_key(body: &mut Body<'_>) -> ModalResult<StateKey> {
    Ok(StateKey { router: RouterRun(u64_(body)?), request: u64_(body)? })
}

fn put_state_at(out: &mut BytesMut, at: &StateAt) {
    put_short_text(out, &at.engine);
    put_short_text(out, &at.address);
}

fn state_at(body: &mut Body<'_>) -> ModalResult<StateAt> {
    Ok(StateAt { engine: short_text(body)?, address: short_text(body)? })
}

fn put_peer(out: &mut BytesMut, peer: &Peer) {
    match peer {
        Peer::Router { run, name } => {
            out.put_u8(0);
            out.put_u64(run.0);
            put_short_text(out, name);
        }
        Peer::Engine(facts) => {
            out.put_u8(1);
            put_short_text(out, &facts.name);
            out.put_u8(role_code(facts.role));
            out.put_f64(facts.memory);
            put_short_text(out, &facts.zone);
            put_short_text(out, &facts.rack);
            out.put_u64(facts.started_at);
        }
    }
}

fn peer(body: &mut Body<'_>) -> ModalResult<Peer> {
    match u8(body)? {
        0 => Ok(Peer::Router { run: RouterRun(u64_(body)?), name: short_text(body)? }),
        1 => Ok(Peer::Engine(EngineFacts {
            name: short_text(body)?,
            role: role(body)?,
            memory: f64_(body)?,
            zone: short_text(body)?,
            rack: short_text(body)?,
            started_at: u64_(body)?,
        })),
        _ => malformed(),
    }
}

fn role_code(role: Role) -> u8 {
    match role {
        Role::Prefill => 0,
        Role::Decode => 1,
        Role::Mixed => 2,
    }
}

fn role(body: &mut Body<'_>) -> ModalResult<Role> {
    match u8(body)? {
        0 => Ok(Role::Prefill),
        1 => Ok(Role::Decode),
        2 => Ok(Role::Mixed),
        _ => malformed(),
    }
}

fn status_code(status: AttemptStatus) -> u8 {
    match status {
        AttemptStatus::Ok => 0,
        AttemptStatus::Prefilled => 1,
        AttemptStatus::Error => 2,
        AttemptStatus::Rejected => 3,
        AttemptStatus::Timeout => 4,
        AttemptStatus::ConnectFailed => 5,
        AttemptStatus::Reset => 6,
        AttemptStatus::Cancelled => 7,
        AttemptStatus::Expired => 8,
        // Never said by an engine: to one it is what it cannot tell apart.
        AttemptStatus::NoSocket => 5,
        AttemptStatus::Unknown => 255,
    }
}

/// What an engine may say of an attempt's end. A code of a later version may have run; the ones that only a
/// router can know are malformed.
fn status(body: &mut Body<'_>) -> ModalResult<AttemptStatus> {
    match u8(body)? {
        0 => Ok(AttemptStatus::Ok),
        2 => Ok(AttemptStatus::Error),
        3 => Ok(AttemptStatus::Rejected),
        4 => Ok(AttemptStatus::Timeout),
        6 => Ok(AttemptStatus::Reset),
        7 => Ok(AttemptStatus::Cancelled),
        1 | 5 | 8 => malformed(),
        _ => Ok(AttemptStatus::Unknown),
    }
}

fn put_job(out: &mut BytesMut, job: &Job) {
    put_key(out, job.key);
    out.put_u16(job.class);
    put_optional(out, job.tenant, |out, t| out.put_u16(t));
    put_optional(out, job.session, |out, s| out.put_u64(s));
    put_optional(out, job.prefix, |out, p| out.put_u64(p));
    for number in [job.prompt_len, job.prefix_len, job.max_out, job.patience_ms] {
        out.put_u32(number);
    }
    put_long_text(out, &job.prompt);
}

fn job(body: &mut Body<'_>) -> ModalResult<Job> {
    Ok(Job {
        key: key(body)?,
        class: u16_(body)?,
        tenant: optional(u16_)(body)?,
        session: optional(u64_)(body)?,
        prefix: optional(u64_)(body)?,
        prompt_len: u32_(body)?,
        prefix_len: u32_(body)?,
        max_out: u32_(body)?,
        patience_ms: u32_(body)?,
        prompt: long_text(body)?,
    })
}

fn put_report(out: &mut BytesMut, report: &LoadReport) {
    for value in [
        report.in_flight,
        report.queued,
        report.slot_utilization,
        report.memory_utilization,
        report.pending_prefill_kilotokens,
    ] {
        put_optional(out, value, |out, v| out.put_f64(v));
    }
}

fn report(body: &mut Body<'_>) -> ModalResult<LoadReport> {
    Ok(LoadReport {
        in_flight: optional(f64_)(body)?,
        queued: optional(f64_)(body)?,
        slot_utilization: optional(f64_)(body)?,
        memory_utilization: optional(f64_)(body)?,
        pending_prefill_kilotokens: optional(f64_)(body)?,
    })
}
