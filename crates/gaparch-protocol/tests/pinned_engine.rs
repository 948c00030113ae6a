//! The bytes of each frame of the engine protocol, and of each status code.

mod common;

use common::assert_frame;
use gaparch_protocol::engine::{
    AttemptKey, EngineFacts, EngineFrame, Job, KvCacheKey, KvCacheLocation, KvCacheUnavailable, Peer,
    RouterRun,
};
use gaparch_scheduler::api::{AttemptStatus, LoadReport, Role};

const KEY: AttemptKey = AttemptKey { request: 0x0102_0304_0506_0708, attempt: 3 };
const STATE: KvCacheKey = KvCacheKey { router: RouterRun(0x18a2b3), request: 42 };

fn job() -> Job {
    Job {
        key: KEY,
        class: 2,
        tenant: Some(5),
        session: Some(0xaaaa_bbbb),
        prefix: Some(0xcccc_dddd),
        prompt_tokens: 1000,
        prefix_tokens: 600,
        max_output_tokens: 200,
        timeout_ms: 30_000,
        prompt: "user: hi\n".to_owned(),
    }
}

fn job_without_optional_fields() -> Job {
    Job { tenant: None, session: None, prefix: None, ..job() }
}

fn location() -> KvCacheLocation {
    KvCacheLocation { engine: "r0".to_owned(), address: "10.0.0.1:7000".to_owned() }
}

fn report() -> LoadReport {
    LoadReport {
        in_flight: Some(1.0),
        queued: Some(2.5),
        slot_utilization: Some(0.25),
        memory_utilization: Some(0.5),
        pending_prefill_kilotokens: Some(12.0),
    }
}

fn engine(role: Role) -> Peer {
    Peer::Engine(EngineFacts {
        name: "w0".to_owned(),
        role,
        kv_capacity_tokens: 160_000.0,
        zone: "north".to_owned(),
        rack: "n1".to_owned(),
        started_at: 1_700_000_000_000_000_000,
    })
}

fn outcome(status: AttemptStatus) -> EngineFrame {
    EngineFrame::Outcome { key: KEY, status, note: 7, produced_tokens: 20, report: None }
}

#[test]
fn each_frame_keeps_its_bytes() {
    let router = Peer::Router { run: RouterRun(0x18a2b3), name: "router-1".to_owned() };
    assert_frame(
        &EngineFrame::Hello { version: 1, peer: router },
        "0000001601000100000000000018a2b30008726f757465722d31",
    );
    assert_frame(
        &EngineFrame::Hello { version: 1, peer: engine(Role::Prefill) },
        "00000024010001010002773000410388000000000000056e6f72746800026e3117979cfe362a0000",
    );
    assert_frame(
        &EngineFrame::Hello { version: 1, peer: engine(Role::Decode) },
        "00000024010001010002773001410388000000000000056e6f72746800026e3117979cfe362a0000",
    );
    assert_frame(
        &EngineFrame::Hello { version: 1, peer: engine(Role::Mixed) },
        "00000024010001010002773002410388000000000000056e6f72746800026e3117979cfe362a0000",
    );
    assert_frame(
        &EngineFrame::Prefill(job()),
        "000000410201020304050607080000000300020100050100000000aaaabbbb0100000000ccccdddd000003e80000\
         0258000000c80000753000000009757365723a2068690a",
    );
    assert_frame(
        &EngineFrame::Prefill(job_without_optional_fields()),
        "0000002f020102030405060708000000030002000000000003e800000258000000c8000075300000000975736572\
         3a2068690a",
    );
    assert_frame(
        &EngineFrame::Decode { job: job(), kv_cache: Some(location()) },
        "000000550301020304050607080000000300020100050100000000aaaabbbb0100000000ccccdddd000003e80000\
         0258000000c80000753000000009757365723a2068690a0100027230000d31302e302e302e313a37303030",
    );
    assert_frame(
        &EngineFrame::Decode { job: job(), kv_cache: None },
        "000000420301020304050607080000000300020100050100000000aaaabbbb0100000000ccccdddd000003e80000\
         0258000000c80000753000000009757365723a2068690a00",
    );
    assert_frame(&EngineFrame::Cancel(KEY), "0000000d04010203040506070800000003");
    assert_frame(
        &EngineFrame::Reserve { job: job(), from: location() },
        "000000540501020304050607080000000300020100050100000000aaaabbbb0100000000ccccdddd000003e80000\
         0258000000c80000753000000009757365723a2068690a00027230000d31302e302e302e313a37303030",
    );
    assert_frame(&EngineFrame::Release { request: 42 }, "0000000906000000000000002a");
    assert_frame(&EngineFrame::Probe { nonce: 99 }, "00000009070000000000000063");
    assert_frame(
        &EngineFrame::PrefillDone {
            key: KEY,
            cached_prompt_tokens: 600,
            prompt_tokens: 1000,
            report: Some(report()),
        },
        "000000431001020304050607080000000300000258000003e801013ff0000000000000014004000000000000013f\
         d0000000000000013fe0000000000000014028000000000000",
    );
    assert_frame(
        &EngineFrame::PrefillDone { key: KEY, cached_prompt_tokens: 0, prompt_tokens: 1000, report: None },
        "000000161001020304050607080000000300000000000003e800",
    );
    assert_frame(
        &EngineFrame::Tokens { key: KEY, sent_before: 4, count: 2, text: "hello é".to_owned() },
        "0000001d11010203040506070800000003000000040002000868656c6c6f20c3a9",
    );
    assert_frame(
        &EngineFrame::Outcome {
            key: KEY,
            status: AttemptStatus::Ok,
            note: 7,
            produced_tokens: 20,
            report: Some(report()),
        },
        "00000048120102030405060708000000030000000000000000070000001401013ff0000000000000014004000000\
         000000013fd0000000000000013fe0000000000000014028000000000000",
    );
    assert_frame(&EngineFrame::Reserved { key: KEY, reserved: true }, "0000000e1301020304050607080000000301");
    assert_frame(
        &EngineFrame::Reserved { key: KEY, reserved: false },
        "0000000e1301020304050607080000000300",
    );
    assert_frame(
        &EngineFrame::Probed { nonce: 99, report: Some(report()) },
        "0000003714000000000000006301013ff0000000000000014004000000000000013fd0000000000000013fe00000\
         00000000014028000000000000",
    );
    assert_frame(
        &EngineFrame::LoadReport(report()),
        "0000002e15013ff0000000000000014004000000000000013fd0000000000000013fe00000000000000140280000\
         00000000",
    );
    assert_frame(
        &EngineFrame::LoadReport(LoadReport { memory_utilization: Some(0.5), ..LoadReport::default() }),
        "0000000e15000000013fe000000000000000",
    );
    assert_frame(&EngineFrame::Fetch { kv_cache: STATE }, "0000001120000000000018a2b3000000000000002a");
    assert_frame(
        &EngineFrame::KvCache { kv_cache: STATE, tokens: 1000, prompt: "user: hi\n".to_owned() },
        "0000002221000000000018a2b3000000000000002a000003e800000009757365723a2068690a",
    );
    assert_frame(
        &EngineFrame::KvCacheUnavailable { kv_cache: STATE, reason: KvCacheUnavailable::Unknown },
        "0000001222000000000018a2b3000000000000002a00",
    );
    assert_frame(
        &EngineFrame::KvCacheUnavailable { kv_cache: STATE, reason: KvCacheUnavailable::NotReady },
        "0000001222000000000018a2b3000000000000002a01",
    );
    assert_frame(&EngineFrame::Bye { reason: "version 9".to_owned() }, "0000000c3f000976657273696f6e2039");
}

#[test]
fn each_status_of_an_outcome_keeps_its_code() {
    assert_frame(
        &outcome(AttemptStatus::Ok),
        "0000001b120102030405060708000000030000000000000000070000001400",
    );
    assert_frame(
        &outcome(AttemptStatus::Error),
        "0000001b120102030405060708000000030200000000000000070000001400",
    );
    assert_frame(
        &outcome(AttemptStatus::Rejected),
        "0000001b120102030405060708000000030300000000000000070000001400",
    );
    assert_frame(
        &outcome(AttemptStatus::Timeout),
        "0000001b120102030405060708000000030400000000000000070000001400",
    );
    assert_frame(
        &outcome(AttemptStatus::Reset),
        "0000001b120102030405060708000000030600000000000000070000001400",
    );
    assert_frame(
        &outcome(AttemptStatus::Cancelled),
        "0000001b120102030405060708000000030700000000000000070000001400",
    );
    assert_frame(
        &outcome(AttemptStatus::Unknown),
        "0000001b12010203040506070800000003ff00000000000000070000001400",
    );
}
