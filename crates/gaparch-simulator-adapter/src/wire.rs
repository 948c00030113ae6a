//! The words of the wire: events in, actions out.

use gaparch_platform_settings::{index, number, whole, Site};
use gaparch_scheduler::api::{
    Action, AttemptNo, CellId, ClassId, Entry, Event, Key, KindId, ListKind, Nanos, Outcome, Report, Request,
    RequestId, ServerId, ServerState, Status, TenantId, TimerToken, ZoneId,
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
        cell: whole(&entry["cohort"]).map(CellId),
        state: match entry["status"].as_str() {
            Some("up") => ServerState::Ready,
            Some("removed") => ServerState::Gone,
            _ => ServerState::Draining,
        },
        weight: number(&entry["scale"]),
        ready_at: whole(&entry["launchedNs"]),
    })
}

pub fn entry(raw: &RawEntry, site: &Site) -> Entry {
    Entry {
        server: raw.server,
        zone: index(&site.zones, &raw.zone).map(ZoneId),
        kind: index(&site.kinds, &raw.kind).map(KindId),
        cell: raw.cell,
        state: raw.state,
        weight: raw.weight,
        ready_at: raw.ready_at,
    }
}

pub fn list_kind(event: &Value) -> Parsed<ListKind> {
    need(event, "scope", |v| match v.as_str()? {
        "delta" => Some(ListKind::Delta),
        "full" => Some(ListKind::Full),
        "cached" => Some(ListKind::Cached),
        "failed" => Some(ListKind::Failed),
        _ => None,
    })
}

/// An event of one instance, but for `init`, `teardown` and `rosterChange`. None: a kind not known here.
pub fn event(value: &Value, site: &Site) -> Parsed<Option<Event>> {
    Ok(Some(match name(value) {
        "submit" => Event::Request(Request {
            id: need(value, "msgId", request)?,
            // A class that the settings lack is the module's to answer.
            class: need(value, "priority", |v| {
                v.as_str().map(|_| ClassId(index(&site.classes, v).unwrap_or(usize::MAX)))
            })?,
            tenant: index(&site.tenants, &value["clientGroup"]).map(TenantId),
            session: value["session"].as_str().map(Key::of),
            prefix: value["prefixId"].as_str().map(Key::of),
            prompt_len: number(&value["inputLen"]).unwrap_or(0.0),
            prefix_len: number(&value["nPrefix"]).unwrap_or(0.0),
            max_out: number(&value["nMax"]).unwrap_or(0.0),
            hint: whole(&value["workHintNs"]).filter(|h| *h > 0),
            give_up_at: need(value, "giveUpAtNs", whole_or_past)?,
            retry: value["isRetry"].as_bool().unwrap_or(false),
            again: value["again"].as_bool().unwrap_or(false),
        }),
        // A timer's name that is none of ours can't be the module's: nothing to tell it.
        "tickDue" => match need(value, "name", Value::as_str)?.parse() {
            Ok(token) => Event::Timer(TimerToken(token)),
            Err(_) => return Ok(None),
        },
        "datagram" => Event::Peer {
            from: need(value, "neighbour", whole)? as u32,
            data: need(value, "content", |v| unhex(v.as_str()?))?,
        },
        "begun" => Event::First {
            id: need(value, "msgId", request)?,
            attempt: need(value, "sendNo", attempt)?,
            server: need(value, "worker", server)?,
            latency: whole(&value["durationNs"]).unwrap_or(0),
        },
        "reserved" => Event::Note {
            id: need(value, "msgId", request)?,
            attempt: need(value, "sendNo", attempt)?,
            server: need(value, "worker", server)?,
            held: need(value, "sort", whole)? == 1,
        },
        "withdrawn" => Event::Gone(need(value, "msgId", request)?),
        "health" => Event::Probed {
            server: need(value, "worker", server)?,
            status: status(need(value, "outcome", whole)?),
            latency: whole(&value["durationNs"]).unwrap_or(0),
            report: report(&value["stats"], site),
        },
        "closedAttempt" => Event::Outcome(Outcome {
            id: need(value, "msgId", request)?,
            attempt: need(value, "sendNo", attempt)?,
            server: need(value, "worker", server)?,
            status: status(need(value, "outcome", whole)?),
            latency: whole(&value["durationNs"]).unwrap_or(0),
            closed: value["ended"].as_bool().unwrap_or(false),
            note: whole(&value["info"]).unwrap_or(0),
            report: report(&value["stats"], site),
        }),
        _ => return Ok(None),
    }))
}

fn request(value: &Value) -> Option<RequestId> {
    whole(value).map(RequestId)
}

fn server(value: &Value) -> Option<ServerId> {
    u32::try_from(whole(value)?).ok().map(ServerId)
}

fn attempt(value: &Value) -> Option<AttemptNo> {
    u32::try_from(whole(value)?).ok().map(AttemptNo)
}

/// A time; one before the clock's zero is long past.
fn whole_or_past(value: &Value) -> Option<Nanos> {
    whole(value).or_else(|| value.as_f64().map(|_| 0))
}

fn status(code: u64) -> Status {
    match code {
        100 => Status::Ok,
        102 => Status::Read,
        301 => Status::Error,
        302 => Status::Full,
        303 => Status::Timeout,
        304 => Status::ConnectFailed,
        305 => Status::Reset,
        306 => Status::Cancelled,
        307 => Status::Moot,
        _ => Status::Unknown,
    }
}

fn report(value: &Value, site: &Site) -> Option<Report> {
    let values = value.as_array()?;
    let mut report = Report::default();
    for (field, value) in site.report.iter().zip(values) {
        let slot = match field.as_str() {
            "concurrent" => &mut report.inflight,
            "depth" => &mut report.queue,
            "load_share" => &mut report.util,
            "x0" => &mut report.memory,
            "x1" => &mut report.unread_k,
            _ => continue,
        };
        *slot = number(value);
    }
    Some(report)
}

pub fn action(action: &Action, who: u64) -> Value {
    match action {
        // Nothing waits for a connection on this wire: what is sent is out at once.
        Action::Send { id, server, timeout, by: _ } => {
            json!({"t": "transmit", "who": who, "msgId": id.0, "worker": server.0, "giveUpAfterNs": timeout})
        }
        Action::Cancel { id, attempt } => {
            json!({"t": "recall", "who": who, "msgId": id.0, "sendNo": attempt.0})
        }
        Action::Refuse { id, retry_after, .. } => {
            json!({"t": "decline", "who": who, "msgId": id.0, "waitNs": retry_after})
        }
        Action::Fail { id, .. } => json!({"t": "error", "who": who, "msgId": id.0}),
        Action::Release(id) => json!({"t": "letGo", "who": who, "msgId": id.0}),
        Action::Ahead { id, server } => {
            json!({"t": "earmark", "who": who, "msgId": id.0, "worker": server.0})
        }
        Action::Move(id) => json!({"t": "goAway", "who": who, "msgId": id.0}),
        Action::Probe(server) => json!({"t": "healthCheck", "who": who, "worker": server.0}),
        Action::Close(server) => json!({"t": "close", "who": who, "worker": server.0}),
        Action::Timer { token, delay } => {
            json!({"t": "sleep", "who": who, "name": token.0.to_string(), "sleepForNs": delay})
        }
        Action::Tell { peer, data } => {
            json!({"t": "post", "who": who, "recipient": peer, "content": hex(data)})
        }
        Action::Watch(on) => json!({"t": "follow", "who": who, "enable": on}),
        Action::Fetch => json!({"t": "resolve", "who": who}),
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
