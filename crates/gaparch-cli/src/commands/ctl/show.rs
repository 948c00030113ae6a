//! Answers as text.

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

/// An answer as tables; of a snapshot the engines alone if that is what was asked for.
pub fn answer(answer: &Answer, now: u64, engines_only: bool) -> String {
    match answer {
        Answer::Snapshot { snapshot } if engines_only => engines(snapshot),
        Answer::Snapshot { snapshot } => status(snapshot, now),
        Answer::Done { revision, effect } => format!("{effect} (kept as change {revision})\n"),
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
                "came back",
                "served then",
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
            format!("{total} requests were not served, as far as they are kept\n{table}")
        }
        Answer::Outcomes { outcomes: endings, total } => {
            let mut table = Table::new(&["request", "at", "kind", "class", "tenant", "why"]);
            endings.iter().for_each(|e| table.row(ending_row(e, now)));
            format!("{table}{} of {total}\n", endings.len())
        }
        Answer::RequestDetails { outcome: Some(ending), .. } => words::story(ending, now).join("\n") + "\n",
        Answer::RequestDetails { open: Some(live), .. } => live_table(std::slice::from_ref(live), now),
        Answer::RequestDetails { .. } => {
            "nothing is known of that request: it is not open, and either was served some time ago, \
             or is too old to be kept\n"
                .to_owned()
        }
        Answer::OpenRequests { requests: live, total } => {
            format!("{}{} of {total}\n", live_table(live, now), live.len())
        }
        Answer::Events { events } => events.iter().map(|e| event(e, now)).collect(),
        Answer::Limits { limits } => {
            let mut table = Table::new(&["limit", "now", "by settings", "from", "to", "unit"]);
            for l in limits {
                let figures = [l.value, l.configured_value, l.min, l.max].map(|f| f.to_string());
                let mut row = vec![l.name.clone()];
                row.extend(figures);
                row.push(l.unit.clone());
                table.row(row);
            }
            table.to_string()
        }
        Answer::Members { fleet } => members(fleet, now),
        Answer::ListVersions { versions } => fleet(versions, now),
        Answer::OrderReplication { replication: spread } => orders(spread, now),
        Answer::Audit { audit } => audited(audit, now),
        Answer::Intents { intents } => {
            let mut table = Table::new(&["change", "what", "by", "at", "kept", "why"]);
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
                "no operator has ordered anything\n".to_owned()
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

fn ending_row(e: &RequestOutcome, now: u64) -> Vec<String> {
    vec![
        e.request.to_string(),
        words::time(e.ended_at, now),
        e.kind.to_string(),
        e.class.clone(),
        or_dash(&e.tenant),
        words::cause(e.cause, e.queueing_reason),
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
        text.push_str(&format!("NOT KEPT ON DISK: {}\n", s.storage_error));
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

/// One engine at length.
pub fn engine(e: &EngineView, s: &Snapshot) -> String {
    format!(
        "{} ({}, {}, {}): {}, by the list {}; {}\n{} attempts, {} failed, {} called off; last heard {} ago\n",
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

fn live_table(live: &[RequestView], now: u64) -> String {
    let mut table = Table::new(&["request", "asked", "class", "tenant", "phase", "engine", "tokens", "took"]);
    for l in live {
        table.row(vec![
            l.request.to_string(),
            words::time(l.received_at, now),
            l.class.clone(),
            or_dash(&l.tenant),
            l.kind.map_or(l.phase.name(), |k| k.name()).to_owned(),
            or_dash(&l.engine),
            l.tokens.to_string(),
            words::micros(l.elapsed_us),
        ]);
    }
    table.to_string()
}

fn event(e: &Event, now: u64) -> String {
    let engine = e.engine.as_deref().unwrap_or("-");
    format!("{}  {:<7}  {engine:<12}  {}\n", words::time(e.at, now), words::severity(e.severity), e.text)
}

/// An update as lines; figures alone are not worth one.
pub fn update(update: &Update, now: u64) -> String {
    match update {
        Update::Metrics { .. } | Update::Engines { .. } | Update::Intents { .. } => String::new(),
        Update::Event { event: e } => event(e, now),
        Update::RequestEnded { outcome } => ending_row(outcome, now).join("  ") + "\n",
        Update::Missed { updates } => format!("{updates} updates were missed\n"),
        Update::Resync { snapshot } => status(snapshot, now),
    }
}

/// What was sent under which version, the earliest first.
fn audited(audit: &AuditView, now: u64) -> String {
    let mut rows: Vec<_> = audit.rows.iter().collect();
    rows.sort_by_key(|row| (row.list.rank, row.list.version, row.sends.first_at));
    let mut table =
        Table::new(&["list", "router", "engine", "reads", "writes", "probes", "first", "last", ""]);
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

/// Orders of the fleet, those that gave way, and who keeps them.
fn orders(spread: &OrderReplicationView, now: u64) -> String {
    let mut table = Table::new(&["number", "what", "by", "at", "why", ""]);
    let row = |order: &FleetOrder, remark: String| {
        let number = order.id.number.to_string();
        let by = format!("{} at {}", order.note.operator, order.id.router);
        let why = order.note.reason.clone();
        vec![number, change_text(&order.change), by, words::time(order.note.at, now), why, remark]
    };
    for order in &spread.orders {
        table.row(row(order, String::new()));
    }
    for gone in &spread.superseded {
        let by = &gone.by;
        let remark =
            format!("gave way to number {} of {}, neither knew of the other", by.id.number, by.id.router);
        table.row(row(&gone.order, remark));
    }
    let mut text = match spread.orders.is_empty() {
        true => "there are no orders of the fleet\n".to_owned(),
        false => table.to_string(),
    };
    let mut routers = Table::new(&["router", "state", "keeps all", "said"]);
    for row in &spread.rows {
        routers.row(vec![
            row.router.clone(),
            row.state.to_string(),
            if row.has_all { "yes" } else { "UNKNOWN" }.to_owned(),
            row.reported_at
                .map_or("never".to_owned(), |at| format!("{} ago", duration_text(now.saturating_sub(at)))),
        ]);
    }
    text += &routers.to_string();
    text += if spread.complete { "complete\n" } else { "NOT complete\n" };
    text
}

/// Which router holds which list: this one, and a line for each that was heard of.
fn fleet(view: &ListVersionsView, now: u64) -> String {
    let name = |v: &ListVersion| format!("{}.{}", v.rank, v.version);
    let sure = |sure: Option<u64>| {
        sure.map_or("no: handed on, or unconfirmed".to_owned(), |for_| format!("{} ago", duration_text(for_)))
    };
    let mut text = format!(
        "this router holds list {} with {} engines; confirmed by the list service: {}\n",
        name(&view.version),
        view.entries,
        sure(view.confirmed_ago)
    );
    text += &match (&view.latest_known, view.corroborated) {
        (None, _) => "no other router has the list from the service itself\n".to_owned(),
        (Some(believed), true) => format!("others have {} from the service itself\n", name(believed)),
        (Some(believed), false) => format!("one other has {} from the service itself\n", name(believed)),
    };
    if let Some(since) = view.behind_since {
        text += &format!("BEHIND for {}\n", duration_text(now.saturating_sub(since)));
    }
    if view.lists_from_peers + view.rejected_claims > 0 {
        text += &format!(
            "{} lists handed on by others, {} words not believed\n",
            view.lists_from_peers, view.rejected_claims
        );
    }
    let mut table = Table::new(&["router", "list", "confirmed", "said", "remark"]);
    for row in &view.rows {
        let remark = match &view.latest_known {
            Some(believed) if row.version.epoch != believed.epoch => "another epoch".to_owned(),
            Some(believed) if row.version < *believed => {
                format!("{} behind", believed.version.saturating_sub(row.version.version))
            }
            Some(believed) if row.version == *believed => String::new(),
            _ => "ahead, by its own word alone".to_owned(),
        };
        table.row(vec![
            row.router.clone(),
            name(&row.version),
            sure(row.confirmed_ago),
            format!("{} ago", duration_text(now.saturating_sub(row.reported_at))),
            remark,
        ]);
    }
    text + &table.to_string()
}

/// The fleet: where this router stands, a line for each member, and the links that fail.
fn members(fleet: &FleetView, now: u64) -> String {
    let ago = |at: u64| duration_text(now.saturating_sub(at));
    let mut table = Table::new(&[
        "router",
        "zone",
        "state",
        "for",
        "alive",
        "heard here",
        "incarnation",
        "address",
        "remark",
    ]);
    for m in &fleet.members {
        let mut remarks = Vec::new();
        if !m.suspected_by.is_empty() {
            remarks.push(format!("by {}", m.suspected_by.join(", ")));
        }
        remarks.extend(m.duplicate_at.as_ref().map(|at| format!("a second process at {at}")));
        if m.receives_nothing {
            remarks.push("hears nobody".to_owned());
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
    let stands = if fleet.majority { "with a majority" } else { "WITHOUT a majority" };
    let mut text = format!(
        "{} (incarnation {}) stands {stands}: {} present, {} counted; shared limits are divided by {}\n",
        fleet.router, fleet.incarnation, fleet.present, fleet.counted, fleet.divisor
    );
    if fleet.receives_nothing {
        text += "it hears no other router: look at its own links\n";
    }
    if fleet.is_unanswered {
        text += "it hears others, but none answers it: its messages don't get out\n";
    }
    text += &table.to_string();
    for edge in &fleet.link_faults {
        text += &format!("{} does not hear {} (for {})\n", edge.to, edge.from, ago(edge.since));
    }
    text += &format!(
        "datagrams: {} sent ({} bytes), {} taken; dropped: {} forged, {} malformed, {} of a newer version, {} seen \
         before, {} for others; {} kept back\n",
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
