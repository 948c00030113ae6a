//! Encoding and decoding of the frames of the engine protocol.

use super::{
    AttemptKey, EngineFacts, EngineFrame, Job, KvCacheKey, KvCacheLocation, KvCacheUnavailable, Peer,
    RouterRun,
};
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
const PREFILL: u8 = 2;
const DECODE: u8 = 3;
const CANCEL: u8 = 4;
const RESERVE: u8 = 5;
const RELEASE: u8 = 6;
const PROBE: u8 = 7;
const PREFILL_DONE: u8 = 16;
const TOKENS: u8 = 17;
const OUTCOME: u8 = 18;
const RESERVED: u8 = 19;
const PROBED: u8 = 20;
const LOAD_REPORT: u8 = 21;
const FETCH: u8 = 32;
const KV_CACHE: u8 = 33;
const KV_CACHE_UNAVAILABLE: u8 = 34;
const BYE: u8 = 63;

impl Frame for EngineFrame {
    fn kind(&self) -> u8 {
        match self {
            EngineFrame::Hello { .. } => HELLO,
            EngineFrame::Prefill(_) => PREFILL,
            EngineFrame::Decode { .. } => DECODE,
            EngineFrame::Cancel(_) => CANCEL,
            EngineFrame::Reserve { .. } => RESERVE,
            EngineFrame::Release { .. } => RELEASE,
            EngineFrame::Probe { .. } => PROBE,
            EngineFrame::PrefillDone { .. } => PREFILL_DONE,
            EngineFrame::Tokens { .. } => TOKENS,
            EngineFrame::Outcome { .. } => OUTCOME,
            EngineFrame::Reserved { .. } => RESERVED,
            EngineFrame::Probed { .. } => PROBED,
            EngineFrame::LoadReport(_) => LOAD_REPORT,
            EngineFrame::Fetch { .. } => FETCH,
            EngineFrame::KvCache { .. } => KV_CACHE,
            EngineFrame::KvCacheUnavailable { .. } => KV_CACHE_UNAVAILABLE,
            EngineFrame::Bye { .. } => BYE,
        }
    }

    fn put_body(&self, out: &mut BytesMut) {
        match self {
            EngineFrame::Hello { version, peer } => {
                out.put_u16(*version);
                put_peer(out, peer);
            }
            EngineFrame::Prefill(job) => put_job(out, job),
            EngineFrame::Decode { job, kv_cache } => {
                put_job(out, job);
                put_optional(out, kv_cache.as_ref(), put_location);
            }
            EngineFrame::Cancel(key) => put_attempt_key(out, *key),
            EngineFrame::Reserve { job, from } => {
                put_job(out, job);
                put_location(out, from);
            }
            EngineFrame::Release { request } => out.put_u64(*request),
            EngineFrame::Probe { nonce } => out.put_u64(*nonce),
            EngineFrame::PrefillDone { key, cached_prompt_tokens, prompt_tokens, report } => {
                put_attempt_key(out, *key);
                out.put_u32(*cached_prompt_tokens);
                out.put_u32(*prompt_tokens);
                put_optional(out, report.as_ref(), put_load_report);
            }
            EngineFrame::Tokens { key, sent_before, count, text } => {
                put_attempt_key(out, *key);
                out.put_u32(*sent_before);
                out.put_u16(*count);
                put_short_text(out, text);
            }
            EngineFrame::Outcome { key, status, note, produced_tokens, report } => {
                put_attempt_key(out, *key);
                out.put_u8(status_code(*status));
                out.put_u64(*note);
                out.put_u32(*produced_tokens);
                put_optional(out, report.as_ref(), put_load_report);
            }
            EngineFrame::Reserved { key, reserved } => {
                put_attempt_key(out, *key);
                out.put_u8(u8::from(*reserved));
            }
            EngineFrame::Probed { nonce, report } => {
                out.put_u64(*nonce);
                put_optional(out, report.as_ref(), put_load_report);
            }
            EngineFrame::LoadReport(report) => put_load_report(out, report),
            EngineFrame::Fetch { kv_cache } => put_kv_cache_key(out, *kv_cache),
            EngineFrame::KvCache { kv_cache, tokens, prompt } => {
                put_kv_cache_key(out, *kv_cache);
                out.put_u32(*tokens);
                put_long_text(out, prompt);
            }
            EngineFrame::KvCacheUnavailable { kv_cache, reason } => {
                put_kv_cache_key(out, *kv_cache);
                out.put_u8(u8::from(*reason == KvCacheUnavailable::NotReady));
            }
            EngineFrame::Bye { reason } => put_short_text(out, reason),
        }
    }

    fn parse_body(kind: u8, body: &mut &[u8]) -> ModalResult<Self> {
        Ok(match kind {
            HELLO => EngineFrame::Hello { version: u16_(body)?, peer: peer(body)? },
            PREFILL => EngineFrame::Prefill(job(body)?),
            DECODE => EngineFrame::Decode { job: job(body)?, kv_cache: optional(location)(body)? },
            CANCEL => EngineFrame::Cancel(attempt_key(body)?),
            RESERVE => EngineFrame::Reserve { job: job(body)?, from: location(body)? },
            RELEASE => EngineFrame::Release { request: u64_(body)? },
            PROBE => EngineFrame::Probe { nonce: u64_(body)? },
            PREFILL_DONE => EngineFrame::PrefillDone {
                key: attempt_key(body)?,
                cached_prompt_tokens: u32_(body)?,
                prompt_tokens: u32_(body)?,
                report: optional(load_report)(body)?,
            },
            TOKENS => EngineFrame::Tokens {
                key: attempt_key(body)?,
                sent_before: u32_(body)?,
                count: u16_(body)?,
                text: short_text(body)?,
            },
            OUTCOME => EngineFrame::Outcome {
                key: attempt_key(body)?,
                status: status(body)?,
                note: u64_(body)?,
                produced_tokens: u32_(body)?,
                report: optional(load_report)(body)?,
            },
            RESERVED => EngineFrame::Reserved { key: attempt_key(body)?, reserved: flag(body)? },
            PROBED => EngineFrame::Probed { nonce: u64_(body)?, report: optional(load_report)(body)? },
            LOAD_REPORT => EngineFrame::LoadReport(load_report(body)?),
            FETCH => EngineFrame::Fetch { kv_cache: kv_cache_key(body)? },
            KV_CACHE => EngineFrame::KvCache {
                kv_cache: kv_cache_key(body)?,
                tokens: u32_(body)?,
                prompt: long_text(body)?,
            },
            KV_CACHE_UNAVAILABLE => EngineFrame::KvCacheUnavailable {
                kv_cache: kv_cache_key(body)?,
                reason: match flag(body)? {
                    true => KvCacheUnavailable::NotReady,
                    false => KvCacheUnavailable::Unknown,
                },
            },
            BYE => EngineFrame::Bye { reason: short_text(body)? },
            _ => return malformed(),
        })
    }
}

fn put_attempt_key(out: &mut BytesMut, key: AttemptKey) {
    out.put_u64(key.request);
    out.put_u32(key.attempt);
}

fn attempt_key(body: &mut Body<'_>) -> ModalResult<AttemptKey> {
    Ok(AttemptKey { request: u64_(body)?, attempt: u32_(body)? })
}

fn put_kv_cache_key(out: &mut BytesMut, key: KvCacheKey) {
    out.put_u64(key.router.0);
    out.put_u64(key.request);
}

fn kv_cache_key(body: &mut Body<'_>) -> ModalResult<KvCacheKey> {
    Ok(KvCacheKey { router: RouterRun(u64_(body)?), request: u64_(body)? })
}

fn put_location(out: &mut BytesMut, location: &KvCacheLocation) {
    put_short_text(out, &location.engine);
    put_short_text(out, &location.address);
}

fn location(body: &mut Body<'_>) -> ModalResult<KvCacheLocation> {
    Ok(KvCacheLocation { engine: short_text(body)?, address: short_text(body)? })
}

const ROUTER: u8 = 0;
const ENGINE: u8 = 1;

fn put_peer(out: &mut BytesMut, peer: &Peer) {
    match peer {
        Peer::Router { run, name } => {
            out.put_u8(ROUTER);
            out.put_u64(run.0);
            put_short_text(out, name);
        }
        Peer::Engine(facts) => {
            out.put_u8(ENGINE);
            put_short_text(out, &facts.name);
            out.put_u8(role_code(facts.role));
            out.put_f64(facts.kv_capacity_tokens);
            put_short_text(out, &facts.zone);
            put_short_text(out, &facts.rack);
            out.put_u64(facts.started_at);
        }
    }
}

fn peer(body: &mut Body<'_>) -> ModalResult<Peer> {
    match u8(body)? {
        ROUTER => Ok(Peer::Router { run: RouterRun(u64_(body)?), name: short_text(body)? }),
        ENGINE => Ok(Peer::Engine(EngineFacts {
            name: short_text(body)?,
            role: role(body)?,
            kv_capacity_tokens: f64_(body)?,
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
        // An engine never sends either of them; they share a code on the wire.
        AttemptStatus::ConnectFailed | AttemptStatus::NoSocket => 5,
        AttemptStatus::Reset => 6,
        AttemptStatus::Cancelled => 7,
        AttemptStatus::Expired => 8,
        AttemptStatus::Unknown => 255,
    }
}

/// Parses a status that an engine may send. A code of a later protocol version becomes `Unknown`: the attempt
/// may have run. Codes of statuses that only a router can determine are malformed.
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
    put_attempt_key(out, job.key);
    out.put_u16(job.class);
    put_optional(out, job.tenant, |out, tenant| out.put_u16(tenant));
    put_optional(out, job.session, |out, session| out.put_u64(session));
    put_optional(out, job.prefix, |out, prefix| out.put_u64(prefix));
    out.put_u32(job.prompt_tokens);
    out.put_u32(job.prefix_tokens);
    out.put_u32(job.max_output_tokens);
    out.put_u32(job.timeout_ms);
    put_long_text(out, &job.prompt);
}

fn job(body: &mut Body<'_>) -> ModalResult<Job> {
    Ok(Job {
        key: attempt_key(body)?,
        class: u16_(body)?,
        tenant: optional(u16_)(body)?,
        session: optional(u64_)(body)?,
        prefix: optional(u64_)(body)?,
        prompt_tokens: u32_(body)?,
        prefix_tokens: u32_(body)?,
        max_output_tokens: u32_(body)?,
        timeout_ms: u32_(body)?,
        prompt: long_text(body)?,
    })
}

fn put_load_report(out: &mut BytesMut, report: &LoadReport) {
    let LoadReport { in_flight, queued, slot_utilization, memory_utilization, pending_prefill_kilotokens } =
        *report;
    for value in [in_flight, queued, slot_utilization, memory_utilization, pending_prefill_kilotokens] {
        put_optional(out, value, |out, value| out.put_f64(value));
    }
}

fn load_report(body: &mut Body<'_>) -> ModalResult<LoadReport> {
    Ok(LoadReport {
        in_flight: optional(f64_)(body)?,
        queued: optional(f64_)(body)?,
        slot_utilization: optional(f64_)(body)?,
        memory_utilization: optional(f64_)(body)?,
        pending_prefill_kilotokens: optional(f64_)(body)?,
    })
}
