//! The words of the wire: events in, actions out.

use gaparch_platform_settings::{index_of, non_negative_number, whole_number, PlatformSettings};
use gaparch_scheduler::api::{
    Action, AffinityKey, AttemptNumber, AttemptOutcome, AttemptStatus, CellId, ClassId, Endpoint,
    EndpointUpdate, Event, KindId, LoadReport, Nanos, OutcomeNote, Request, RequestId, ServerId, ServerState,
    TenantId, TimerToken, ZoneId,
};
use serde::Deserialize;
use serde_json::{json, Value};

#[derive(Deserialize)]
pub struct Batch {
    #[serde(rename = "clockNs")]
    pub clock: Nanos,
    pub events: Vec<Value>,
}

pub type Parsed<T> = Result<T, String>;

/// A field that the event needs.
pub fn need<'v, T>(event: &'v Value, field: &str, get: impl Fn(&'v Value) -> Option<T>) -> Parsed<T> {
    let value = event.get(field).ok_or_else(|| format!("{}: no '{field}'", name(event)))?;
    get(value).ok_or_else(|| format!("{}: '{field}' can't be {value}", name(event)))
}

pub fn name(event: &Value) -> &str {
    event["t"].as_str().unwrap_or("event")
}

/// The entries of a `pool`; zones and kinds stay names, since each instance has its own settings.
#[derive(Clone)]
pub struct RawEntry {
    server: ServerId,
    zone: Value,
    kind: Value,
    cell: Option<CellId>,
    state: ServerState,
    weight: Option<f64>,
    ready_at: Option<Nanos>,
}

pub fn pool(event: &Value) -> Parsed<Vec<RawEntry>> {
    need(event, "membersList", Value::as_array)?.iter().map(raw_entry).collect()
}

fn raw_entry(entry: &Value) -> Parsed<RawEntry> {
    Ok(RawEntry {
        server: need(entry, "worker", server)?,
        zone: entry["az"].clone(),
        kind: entry["kind"].clone(),
        cell: whole_number(&entry["cohort"]).map(CellId),
        state: match entry["status"].as_str() {
            Some("up") => ServerState::Ready,
            Some("removed") => ServerState::Removed,
            _ => ServerState::Draining,
        },
        weight: non_negative_number(&entry["scale"]),
        ready_at: whole_number(&entry["launchedNs"]),
    })
}

pub fn entry(raw: &RawEntry, site: &PlatformSettings) -> Endpoint {
    Endpoint {
        server: raw.server,
        zone: index_of(&site.zones, &raw.zone).map(ZoneId),
        kind: index_of(&site.kinds, &raw.kind).map(KindId),
        cell: raw.cell,
        state: raw.state,
        weight: raw.weight,
        started_at: raw.ready_at,
    }
}

pub fn list_kind(event: &Value) -> Parsed<EndpointUpdate> {
    need(event, "scope", |v| match v.as_str()? {
        "delta" => Some(EndpointUpdate::Delta),
        "full" => Some(EndpointUpdate::Full),
        "cached" => Some(EndpointUpdate::Cached),
        "failed" => Some(EndpointUpdate::Failed),
        _ => None,
    })
}

/// An event of one instance, but for `init`, `teardown` and `rosterChange`. None: a kind not known here.
pub fn event(value: &Value, site: &PlatformSettings) -> Parsed<Option<Event>> {
    Ok(Some(match name(value) {
        "submit" => Event::RequestArrived(Request {
            id: need(value, "msgId", request)?,
            // A class that the settings lack is the module's to answer.
            class: need(value, "priority", |v| {
                v.as_str().map(|_| ClassId(index_of(&site.classes, v).unwrap_or(usize::MAX)))
            })?,
            tenant: index_of(&site.tenants, &value["clientGroup"]).map(TenantId),
            session: value["session"].as_str().map(AffinityKey::from_text),
            prefix: value["prefixId"].as_str().map(AffinityKey::from_text),
            prompt_tokens: non_negative_number(&value["inputLen"]).unwrap_or(0.0),
            prefix_tokens: non_negative_number(&value["nPrefix"]).unwrap_or(0.0),
            max_output_tokens: non_negative_number(&value["nMax"]).unwrap_or(0.0),
            expected_duration: whole_number(&value["workHintNs"]).filter(|h| *h > 0),
            deadline_at: need(value, "giveUpAtNs", whole_or_past)?,
            client_retry: value["isRetry"].as_bool().unwrap_or(false),
            client_reconnect: value["again"].as_bool().unwrap_or(false),
        }),
        // A timer's name that is none of ours can't be the module's: nothing to tell it.
        "tickDue" => match need(value, "name", Value::as_str)?.parse() {
            Ok(token) => Event::TimerFired(TimerToken(token)),
            Err(_) => return Ok(None),
        },
        "datagram" => Event::GossipReceived {
            from: need(value, "neighbour", whole_number)? as u32,
            data: need(value, "content", |v| unhex(v.as_str()?))?,
        },
        "begun" => Event::FirstToken {
            id: need(value, "msgId", request)?,
            attempt: need(value, "sendNo", attempt)?,
            server: need(value, "worker", server)?,
            latency: whole_number(&value["durationNs"]).unwrap_or(0),
        },
        "reserved" => Event::ReservationAnswered {
            id: need(value, "msgId", request)?,
            attempt: need(value, "sendNo", attempt)?,
            server: need(value, "worker", server)?,
            reserved: need(value, "sort", whole_number)? == 1,
        },
        "withdrawn" => Event::ClientDisconnected(need(value, "msgId", request)?),
        "health" => Event::ProbeFinished {
            server: need(value, "worker", server)?,
            status: status(need(value, "outcome", whole_number)?),
            latency: whole_number(&value["durationNs"]).unwrap_or(0),
            report: report(&value["stats"], site),
        },
        "closedAttempt" => Event::AttemptFinished(outcome(value, site)?),
        _ => return Ok(None),
    }))
}

fn outcome(value: &Value, site: &PlatformSettings) -> Parsed<AttemptOutcome> {
    let status = status(need(value, "outcome", whole_number)?);
    let note = OutcomeNote(whole_number(&value["info"]).unwrap_or(0));
    Ok(AttemptOutcome {
        id: need(value, "msgId", request)?,
        attempt: need(value, "sendNo", attempt)?,
        server: need(value, "worker", server)?,
        status,
        latency: whole_number(&value["durationNs"]).unwrap_or(0),
        request_finished: value["ended"].as_bool().unwrap_or(false),
        cached_prompt_tokens: note.cached_prompt_tokens(status),
        kv_cache_missing: note.kv_cache_missing(status),
        report: report(&value["stats"], site),
    })
}

fn request(value: &Value) -> Option<RequestId> {
    whole_number(value).map(RequestId)
}

fn server(value: &Value) -> Option<ServerId> {
    u32::try_from(whole_number(value)?).ok().map(ServerId)
}

fn attempt(value: &Value) -> Option<AttemptNumber> {
    u32::try_from(whole_number(value)?).ok().map(AttemptNumber)
}

/// A time; one before the clock's zero is long past.
fn whole_or_past(value: &Value) -> Option<Nanos> {
    whole_number(value).or_else(|| value.as_f64().map(|_| 0))
}

fn status(code: u64) -> AttemptStatus {
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

fn report(value: &Value, site: &PlatformSettings) -> Option<LoadReport> {
    let values = value.as_array()?;
    let mut report = LoadReport::default();
    for (field, value) in site.load_report_fields.iter().zip(values) {
        let slot = match field.as_str() {
            "concurrent" => &mut report.in_flight,
            "depth" => &mut report.queued,
            "load_share" => &mut report.slot_utilization,
            "x0" => &mut report.memory_utilization,
            "x1" => &mut report.pending_prefill_kilotokens,
            _ => continue,
        };
        *slot = non_negative_number(value);
    }
    Some(report)
}

pub fn action(action: &Action, who: u64) -> Value {
    match action {
        // Nothing waits for a connection on this wire: what is sent is out at once.
        Action::Send { id, server, timeout, send_by: _ } => {
            json!({"t": "transmit", "who": who, "msgId": id.0, "worker": server.0, "giveUpAfterNs": timeout})
        }
        Action::Cancel { id, attempt } => {
            json!({"t": "recall", "who": who, "msgId": id.0, "sendNo": attempt.0})
        }
        Action::Reject { id, retry_after, .. } => {
            json!({"t": "decline", "who": who, "msgId": id.0, "waitNs": retry_after})
        }
        Action::Fail { id, .. } => json!({"t": "error", "who": who, "msgId": id.0}),
        Action::ReleaseKv(id) => json!({"t": "letGo", "who": who, "msgId": id.0}),
        Action::ReserveKv { id, server } => {
            json!({"t": "earmark", "who": who, "msgId": id.0, "worker": server.0})
        }
        Action::Migrate(id) => json!({"t": "goAway", "who": who, "msgId": id.0}),
        Action::Probe(server) => json!({"t": "healthCheck", "who": who, "worker": server.0}),
        Action::CloseConnections(server) => json!({"t": "close", "who": who, "worker": server.0}),
        Action::SetTimer { token, delay } => {
            json!({"t": "sleep", "who": who, "name": token.0.to_string(), "sleepForNs": delay})
        }
        Action::SendGossip { peer, data } => {
            json!({"t": "post", "who": who, "recipient": peer, "content": hex(data)})
        }
        Action::WatchEndpoints(on) => json!({"t": "follow", "who": who, "enable": on}),
        Action::FetchEndpoints => json!({"t": "resolve", "who": who}),
        Action::Log(text) => json!({"t": "debug", "who": who, "reasonText": text}),
    }
}

fn hex(data: &[u8]) -> String {
    data.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    let digits = digits.filter(|d| d.len() % 2 == 0)?;
    Some(digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect())
}
