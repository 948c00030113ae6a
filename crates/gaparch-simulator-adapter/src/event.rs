//! Conversion of the simulator's JSON to scheduler events, except for those of endpoint lists.

use crate::error::BatchError;
use crate::field::{attempt_number, hex_bytes, kind, request_id, required, server_id, time_or_past};
use gaparch_platform_settings::{index_of, non_negative_number, whole_number, PlatformSettings};
use gaparch_scheduler::api::{
    AffinityKey, AttemptOutcome, AttemptStatus, ClassId, Event, LoadReport, OutcomeNote, Request, TenantId,
    TimerToken,
};
use serde_json::Value;

/// Parses an event; `None` if its kind is unknown, or it is a timer that the scheduler did not set.
///
/// # Errors
/// If a required field is missing or has an invalid value.
pub fn parse(event: &Value, settings: &PlatformSettings) -> Result<Option<Event>, BatchError> {
    let parsed = match kind(event) {
        "submit" => Event::RequestArrived(parse_request(event, settings)?),
        "tickDue" => return parse_timer(event),
        "datagram" => Event::GossipReceived {
            from: required(event, "neighbour", whole_number)? as u32,
            data: required(event, "content", hex_bytes)?,
        },
        "begun" => Event::FirstToken {
            id: required(event, "msgId", request_id)?,
            attempt: required(event, "sendNo", attempt_number)?,
            server: required(event, "worker", server_id)?,
            latency: whole_number(&event["durationNs"]).unwrap_or(0),
        },
        "reserved" => Event::ReservationAnswered {
            id: required(event, "msgId", request_id)?,
            attempt: required(event, "sendNo", attempt_number)?,
            server: required(event, "worker", server_id)?,
            reserved: required(event, "sort", whole_number)? == 1,
        },
        "withdrawn" => Event::ClientDisconnected(required(event, "msgId", request_id)?),
        "health" => Event::ProbeFinished {
            server: required(event, "worker", server_id)?,
            status: parse_status(required(event, "outcome", whole_number)?),
            latency: whole_number(&event["durationNs"]).unwrap_or(0),
            report: parse_report(&event["stats"], settings),
        },
        "closedAttempt" => Event::AttemptFinished(parse_outcome(event, settings)?),
        _ => return Ok(None),
    };
    Ok(Some(parsed))
}

fn parse_request(event: &Value, settings: &PlatformSettings) -> Result<Request, BatchError> {
    // A class that is missing from the settings is passed on with an id that is out of range: the scheduler
    // fails the request.
    let class_id = |class: &Value| {
        class.as_str()?;
        Some(ClassId(index_of(&settings.classes, class).unwrap_or(usize::MAX)))
    };
    Ok(Request {
        id: required(event, "msgId", request_id)?,
        class: required(event, "priority", class_id)?,
        tenant: index_of(&settings.tenants, &event["clientGroup"]).map(TenantId),
        session: event["session"].as_str().map(AffinityKey::from_text),
        prefix: event["prefixId"].as_str().map(AffinityKey::from_text),
        prompt_tokens: non_negative_number(&event["inputLen"]).unwrap_or(0.0),
        prefix_tokens: non_negative_number(&event["nPrefix"]).unwrap_or(0.0),
        max_output_tokens: non_negative_number(&event["nMax"]).unwrap_or(0.0),
        expected_duration: whole_number(&event["workHintNs"]).filter(|duration| *duration > 0),
        deadline_at: required(event, "giveUpAtNs", time_or_past)?,
        client_retry: event["isRetry"].as_bool().unwrap_or(false),
        client_reconnect: event["again"].as_bool().unwrap_or(false),
    })
}

/// Timer names are tokens that the scheduler assigned; a timer with any other name is not its own and is
/// ignored.
fn parse_timer(event: &Value) -> Result<Option<Event>, BatchError> {
    let name = required(event, "name", Value::as_str)?;
    let token = name.parse().ok();
    Ok(token.map(|token| Event::TimerFired(TimerToken(token))))
}

fn parse_outcome(event: &Value, settings: &PlatformSettings) -> Result<AttemptOutcome, BatchError> {
    let status = parse_status(required(event, "outcome", whole_number)?);
    let note = OutcomeNote(whole_number(&event["info"]).unwrap_or(0));
    Ok(AttemptOutcome {
        id: required(event, "msgId", request_id)?,
        attempt: required(event, "sendNo", attempt_number)?,
        server: required(event, "worker", server_id)?,
        status,
        latency: whole_number(&event["durationNs"]).unwrap_or(0),
        request_finished: event["ended"].as_bool().unwrap_or(false),
        cached_prompt_tokens: note.cached_prompt_tokens(status),
        kv_cache_missing: note.kv_cache_missing(status),
        report: parse_report(&event["stats"], settings),
    })
}

fn parse_status(code: u64) -> AttemptStatus {
    match code {
        100 => AttemptStatus::Ok,
        102 => AttemptStatus::Prefilled,
        301 => AttemptStatus::Error,
        302 => AttemptStatus::Rejected,
        303 => AttemptStatus::Timeout,
        304 => AttemptStatus::ConnectFailed,
        305 => AttemptStatus::Reset,
        306 => AttemptStatus::Cancelled,
        307 => AttemptStatus::Expired,
        _ => AttemptStatus::Unknown,
    }
}

/// Parses a load report, whose values are in the order of the field names in the settings.
fn parse_report(values: &Value, settings: &PlatformSettings) -> Option<LoadReport> {
    let values = values.as_array()?;
    let mut report = LoadReport::default();
    for (field, value) in settings.load_report_fields.iter().zip(values) {
        let target = match field.as_str() {
            "concurrent" => &mut report.in_flight,
            "depth" => &mut report.queued,
            "load_share" => &mut report.slot_utilization,
            "x0" => &mut report.memory_utilization,
            "x1" => &mut report.pending_prefill_kilotokens,
            _ => continue,
        };
        *target = non_negative_number(value);
    }
    Some(report)
}
