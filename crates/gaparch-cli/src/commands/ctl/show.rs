//! Formats answers and updates as text.

use super::table::Table;
use gaparch_console::words;
use gaparch_ops::change_text;
use gaparch_ops::duration_text;
use gaparch_protocol::ops::outcome::RequestOutcome;
use gaparch_protocol::ops::view::{
    AuditView, EngineView, Event, FleetView, ListVersionsView, OrderReplicationView, RequestView, Snapshot,
};
use gaparch_protocol::ops::{Answer, Update};
use gaparch_protocol::versions::{FleetOrder, ListVersion};

/// Formats an answer; with `engines_only`, a snapshot is reduced to its table of engines.
pub fn answer(answer: &Answer, now: u64, engines_only: bool) -> String {
    match answer {
        Answer::Snapshot { snapshot } if engines_only => engines(snapshot),
        Answer::Snapshot { snapshot } => status(snapshot, now),
        Answer::Done { revision, effect } => format!("{effect} (persisted as revision {revision})\n"),
        Answer::Denied { message, .. } => format!("{message}\n"),
        Answer::OutcomeGroups { groups, total } => {
            let mut table = Table::new(&[
                "count",
                "kind",
                "cause",
                "waited for",
                "class",
                "tenant",
                "last",
                "retried",
                "served on retry",
                "example",
            ]);
            for g in groups {
                table.row(vec![
                    g.count.to_string(),
                    g.kind.to_string(),
                    g.cause.to_string(),
                    g.queueing_reason.map_or("-", |w| w.name()).to_owned(),
                    g.class.clone(),
                    or_dash(&g.tenant),
                    words::time(g.last_at, now),
                    g.retried.to_string(),
                    g.served_on_retry.to_string(),
                    g.example.to_string(),
                ]);
            }
            format!("{total} requests in the history were not served\n{table}")
        }
        Answer::Outcomes { outcomes, total } => {
            let mut table = Table::new(&["request", "at", "kind", "class", "tenant", "why"]);
            outcomes.iter().for_each(|o| table.row(outcome_row(o, now)));
            format!("{table}{} of {total}\n", outcomes.len())
        }
        Answer::RequestDetails { outcome: Some(outcome), .. } => words::story(outcome, now).join("\n") + "\n",
        Answer::RequestDetails { open: Some(request), .. } => {
            request_table(std::slice::from_ref(request), now)
        }
        Answer::RequestDetails { .. } => {
            "unknown request: it is not open, and either was served some time ago or is no longer \
             in the history\n"
                .to_owned()
        }
        Answer::OpenRequests { requests, total } => {
            format!("{}{} of {total}\n", request_table(requests, now), requests.len())
        }
        Answer::Events { events } => events.iter().map(|e| event(e, now)).collect(),
        Answer::Limits { limits } => {
            let mut table = Table::new(&["limit", "value", "configured", "min", "max", "unit"]);
            for l in limits {
                let values = [l.value, l.configured_value, l.min, l.max].map(|f| f.to_string());
                let mut row = vec![l.name.clone()];
                row.extend(values);
                row.push(l.unit.clone());
                table.row(row);
            }
            table.to_string()
        }
        Answer::Members { fleet } => members(fleet, now),
        Answer::ListVersions { versions } => list_versions(versions, now),
        Answer::OrderReplication { replication } => orders(replication, now),
        Answer::Audit { audit } => audit_rows(audit, now),
        Answer::Intents { intents } => {
            let mut table = Table::new(&["revision", "what", "by", "at", "persisted", "why"]);
            for i in intents {
                table.row(vec![
                    i.revision.to_string(),
                    words::subject(&i.subject),
                    i.note.operator.clone(),
                    words::time(i.note.at, now),
                    if i.persisted { "yes" } else { "NO" }.to_owned(),
                    i.note.reason.clone(),
                ]);
            }
            if intents.is_empty() {
                "no orders are in force\n".to_owned()
            } else {
                table.to_string()
            }
        }
        Answer::Subscribed {} | Answer::Unsubscribed {} => String::new(),
    }
}

fn or_dash(text: &str) -> String {
    if text.is_empty() {
        "-".to_owned()
    } else {
        text.to_owned()
    }
}

fn outcome_row(o: &RequestOutcome, now: u64) -> Vec<String> {
    vec![
        o.request.to_string(),
        words::time(o.ended_at, now),
        o.kind.to_string(),
        o.class.clone(),
        or_dash(&o.tenant),
        words::cause(o.cause, o.queueing_reason),
    ]
}

fn status(s: &Snapshot, now: u64) -> String {
    let f = &s.metrics;
    let mut text = format!(
        "router {}, up {}{}\n{} held, {} reading, {} read, {} writing, {} streaming\n\
         {} requests: {} served ({} in time), {} refused, {} failed, {} left\n",
        s.router,
        words::ago(s.started_at, now),
        if f.paused { "; INTAKE PAUSED" } else { "" },
        f.queued,
        f.prefilling,
        f.prefilled,
        f.decoding,
        f.streaming,
        f.requests,
        f.served,
        f.served_in_time,
        f.rejected,
        f.failed,
        f.client_disconnected
    );
    if !s.storage_error.is_empty() {
        text.push_str(&format!("STATE NOT PERSISTED: {}\n", s.storage_error));
    }
    text + &engines(s)
}

fn engines(s: &Snapshot) -> String {
    let mut table = Table::new(&[
        "engine",
        "role",
        "place",
        "state",
        "link",
        "waiting",
        "streaming",
        "memory",
        "pace",
        "failed",
        "avoided",
    ]);
    for e in &s.engines {
        table.row(vec![
            e.name.clone(),
            e.role.to_string(),
            words::place(e),
            words::state(e, &s.intents),
            if e.connected { "up" } else { "down" }.to_owned(),
            e.awaiting_first_token.to_string(),
            e.streaming.to_string(),
            words::percent(e.memory_utilization),
            format!("{:.1}", e.latency_ratio),
            format!("{}/{}", e.failed, e.attempts),
            or_dash(&words::avoided(e)),
        ]);
    }
    table.to_string()
}

/// The details of an engine.
pub fn engine(e: &EngineView, s: &Snapshot) -> String {
    format!(
        "{} ({}, {}, {}): {}, listed as {}; {}\n{} attempts, {} failed, {} cancelled; last response {} ago\n",
        e.name,
        e.role,
        words::place(e),
        e.address,
        words::state(e, &s.intents),
        e.listed_state,
        or_dash(&words::avoided(e)),
        e.attempts,
        e.failed,
        e.cancelled,
        words::ago(e.last_response_at, s.metrics.at)
    )
}

fn request_table(requests: &[RequestView], now: u64) -> String {
    let mut table =
        Table::new(&["request", "received", "class", "tenant", "phase", "engine", "tokens", "elapsed"]);
    for r in requests {
        table.row(vec![
            r.request.to_string(),
            words::time(r.received_at, now),
            r.class.clone(),
            or_dash(&r.tenant),
            r.kind.map_or(r.phase.name(), |k| k.name()).to_owned(),
            or_dash(&r.engine),
            r.tokens.to_string(),
            words::micros(r.elapsed_us),
        ]);
    }
    table.to_string()
}

fn event(e: &Event, now: u64) -> String {
    let engine = e.engine.as_deref().unwrap_or("-");
    format!("{}  {:<7}  {engine:<12}  {}\n", words::time(e.at, now), words::severity(e.severity), e.text)
}

/// Formats an update as lines; updates of metrics, engines and intents have none.
pub fn update(update: &Update, now: u64) -> String {
    match update {
        Update::Metrics { .. } | Update::Engines { .. } | Update::Intents { .. } => String::new(),
        Update::Event { event: e } => event(e, now),
        Update::RequestEnded { outcome } => outcome_row(outcome, now).join("  ") + "\n",
        Update::Missed { updates } => format!("{updates} updates were missed\n"),
        Update::Resync { snapshot } => status(snapshot, now),
    }
}

/// Sends under each version of the endpoint list, the earliest version first.
fn audit_rows(audit: &AuditView, now: u64) -> String {
    let mut rows: Vec<_> = audit.rows.iter().collect();
    rows.sort_by_key(|row| (row.list.rank, row.list.version, row.sends.first_at));
    let mut table =
        Table::new(&["list", "router", "engine", "reads", "writes", "probes", "first", "last", "remark"]);
    for row in rows {
        let sends = &row.sends;
        table.row(vec![
            format!("{}.{}", row.list.rank, row.list.version),
            row.router.clone(),
            sends.engine.clone(),
            sends.prefills.to_string(),
            sends.decodes.to_string(),
            sends.probes.to_string(),
            words::time(sends.first_at, now),
            words::time(sends.last_at, now),
            if row.confirmed { "" } else { "the list was not confirmed" }.to_owned(),
        ]);
    }
    let mut text = table.to_string();
    for unknown in &audit.unknown {
        text += &format!("unknown: {unknown}\n");
    }
    text += if audit.complete { "complete\n" } else { "INCOMPLETE\n" };
    text
}

/// Orders of the fleet, those that were superseded, and which routers have them.
fn orders(replication: &OrderReplicationView, now: u64) -> String {
    let mut table = Table::new(&["number", "what", "by", "at", "why", "remark"]);
    let row = |order: &FleetOrder, remark: String| {
        let number = order.id.number.to_string();
        let by = format!("{} at {}", order.note.operator, order.id.router);
        let why = order.note.reason.clone();
        vec![number, change_text(&order.change), by, words::time(order.note.at, now), why, remark]
    };
    for order in &replication.orders {
        table.row(row(order, String::new()));
    }
    for superseded in &replication.superseded {
        let by = &superseded.by.id;
        let remark = format!("superseded by the concurrent order {} of {}", by.number, by.router);
        table.row(row(&superseded.order, remark));
    }
    let mut text = match replication.orders.is_empty() {
        true => "no fleet orders are in force\n".to_owned(),
        false => table.to_string(),
    };
    let mut routers = Table::new(&["router", "state", "has all", "last report"]);
    for row in &replication.rows {
        routers.row(vec![
            row.router.clone(),
            row.state.to_string(),
            if row.has_all { "yes" } else { "UNKNOWN" }.to_owned(),
            row.reported_at
                .map_or("never".to_owned(), |at| format!("{} ago", duration_text(now.saturating_sub(at)))),
        ]);
    }
    text += &routers.to_string();
    text += if replication.complete { "complete\n" } else { "NOT complete\n" };
    text
}

/// The endpoint list version of this router, and a row for each router that reported its own.
fn list_versions(view: &ListVersionsView, now: u64) -> String {
    let name = |v: &ListVersion| format!("{}.{}", v.rank, v.version);
    let confirmed = |ago: Option<u64>| {
        ago.map_or("no: from a peer, or unconfirmed".to_owned(), |ago| format!("{} ago", duration_text(ago)))
    };
    let mut text = format!(
        "this router has list {} with {} engines; confirmed by the list service: {}\n",
        name(&view.version),
        view.entries,
        confirmed(view.confirmed_ago)
    );
    text += &match (&view.latest_known, view.corroborated) {
        (None, _) => "no other router reports a list fetched from the list service\n".to_owned(),
        (Some(latest), true) => {
            format!("other routers fetched list {} from the list service\n", name(latest))
        }
        (Some(latest), false) => {
            format!("one other router fetched list {} from the list service\n", name(latest))
        }
    };
    if let Some(since) = view.behind_since {
        text += &format!("BEHIND for {}\n", duration_text(now.saturating_sub(since)));
    }
    if view.lists_from_peers + view.rejected_claims > 0 {
        text += &format!(
            "{} lists received from peers, {} claims rejected\n",
            view.lists_from_peers, view.rejected_claims
        );
    }
    let mut table = Table::new(&["router", "list", "confirmed", "last report", "remark"]);
    for row in &view.rows {
        let remark = match &view.latest_known {
            Some(latest) if row.version.epoch != latest.epoch => "another epoch".to_owned(),
            Some(latest) if row.version < *latest => {
                format!("{} behind", latest.version.saturating_sub(row.version.version))
            }
            Some(latest) if row.version == *latest => String::new(),
            _ => "ahead, uncorroborated".to_owned(),
        };
        table.row(vec![
            row.router.clone(),
            name(&row.version),
            confirmed(row.confirmed_ago),
            format!("{} ago", duration_text(now.saturating_sub(row.reported_at))),
            remark,
        ]);
    }
    text + &table.to_string()
}

/// The fleet as seen by this router: its own state, a row for each member, and the faulty links.
fn members(fleet: &FleetView, now: u64) -> String {
    let ago = |at: u64| duration_text(now.saturating_sub(at));
    let mut table = Table::new(&[
        "router",
        "zone",
        "state",
        "for",
        "last alive",
        "last received",
        "incarnation",
        "address",
        "remark",
    ]);
    for m in &fleet.members {
        let mut remarks = Vec::new();
        if !m.suspected_by.is_empty() {
            remarks.push(format!("suspected by {}", m.suspected_by.join(", ")));
        }
        remarks.extend(m.duplicate_at.as_ref().map(|at| format!("duplicate process at {at}")));
        if m.receives_nothing {
            remarks.push("receives nothing".to_owned());
        }
        table.row(vec![
            m.name.clone(),
            or_dash(&m.zone),
            m.state.to_string(),
            ago(m.since),
            format!("{} ago", ago(m.last_alive_at)),
            m.last_received_at.map_or("never".to_owned(), |at| format!("{} ago", ago(at))),
            m.incarnation.to_string(),
            m.address.clone(),
            remarks.join("; "),
        ]);
    }
    let quorum = if fleet.majority { "has a quorum" } else { "has NO quorum" };
    let mut text = format!(
        "{} (incarnation {}) {quorum}: {} present, {} counted; shared limits are divided by {}\n",
        fleet.router, fleet.incarnation, fleet.present, fleet.counted, fleet.divisor
    );
    if fleet.receives_nothing {
        text += "it receives nothing from other routers: check its network links\n";
    }
    if fleet.is_unanswered {
        text += "it receives messages but no answers: check whether its own messages are lost\n";
    }
    text += &table.to_string();
    for fault in &fleet.link_faults {
        text += &format!("{} receives nothing from {} (for {})\n", fault.to, fault.from, ago(fault.since));
    }
    text += &format!(
        "datagrams: {} sent ({} bytes), {} received; dropped: {} forged, {} malformed, {} of a newer \
         version, {} replayed, {} misdirected; {} throttled\n",
        fleet.sent,
        fleet.sent_bytes,
        fleet.received,
        fleet.forged,
        fleet.malformed,
        fleet.newer,
        fleet.replayed,
        fleet.misdirected,
        fleet.throttled
    );
    text
}
