//! The rows of each view.

use super::{App, Cell, Listing, Page, Row, Tone, View};
use crate::words;
use gaparch_protocol::ops::outcome::{OutcomeKind, RequestOutcome};
use gaparch_protocol::ops::view::{EngineState, EngineView, Event, RequestView, Severity};

fn or_dash(text: &str) -> Cell {
    Cell::from(if text.is_empty() { "-" } else { text })
}

impl App {
    fn place(&self) -> usize {
        match self.pages.last() {
            Some(Page::Endings(_)) => View::ALL.len(),
            _ => self.view.place(),
        }
    }

    pub fn list(&self) -> &Listing {
        &self.lists[self.place()]
    }

    pub(super) fn list_mut(&mut self) -> &mut Listing {
        &mut self.lists[self.place()]
    }

    /// Heads and least widths of the columns; the later ones go first where there is no room.
    pub fn columns(&self) -> &'static [(&'static str, u16)] {
        if let Some(Page::Endings(_)) = self.pages.last() {
            return &[("request", 26), ("ended", 9), ("after", 8), ("then", 8), ("why", 30)];
        }
        match self.view {
            View::Engines | View::Overview => &[
                ("engine", 14),
                ("role", 5),
                ("state", 11),
                ("link", 4),
                ("wait", 4),
                ("strm", 4),
                ("mem", 4),
                ("pace", 5),
                ("avoided", 16),
                ("failed", 9),
                ("place", 12),
                ("unread", 7),
                ("said", 5),
                ("cold", 6),
                ("heard", 8),
                ("called off", 10),
            ],
            View::Requests => &[
                ("request", 26),
                ("phase", 9),
                ("engine", 12),
                ("class", 10),
                ("took", 8),
                ("tok", 5),
                ("tenant", 10),
                ("asked", 9),
                ("path", 40),
            ],
            View::Refusals => &[
                ("count", 6),
                ("kind", 8),
                ("cause", 14),
                ("waited for", 12),
                ("class", 10),
                ("tenant", 8),
                ("last", 9),
                ("back", 6),
                ("served", 6),
            ],
            View::Tenants => &[
                ("tenant", 14),
                ("requests", 9),
                ("served", 8),
                ("refused", 8),
                ("failed", 7),
                ("left", 6),
                ("tokens", 9),
                ("share/s", 8),
            ],
            View::Events => &[("at", 9), ("", 7), ("engine", 12), ("what", 40)],
            View::Settings => &[("name", 34), ("value", 16), ("by settings", 12), ("", 20)],
        }
    }

    /// The rows of the view, sorted and filtered.
    pub fn rows(&self) -> Vec<Row> {
        let rows = match (self.pages.last(), self.view) {
            (Some(Page::Endings(_)), _) => self.endings.iter().map(|e| self.ending_row(e)).collect(),
            (_, View::Overview | View::Engines) => self.engine_rows(),
            (_, View::Requests) => self.live.iter().map(|l| self.live_row(l)).collect(),
            (_, View::Refusals) => self.group_rows(),
            (_, View::Tenants) => self.tenant_rows(),
            (_, View::Events) => {
                self.events.iter().rev().enumerate().map(|(n, e)| self.event_row(n, e)).collect()
            }
            (_, View::Settings) => self.setting_rows(),
        };
        self.list().arrange(rows)
    }

    pub fn selected(&self) -> Option<Row> {
        let mut rows = self.rows();
        let at = self.list().place(&rows);
        (at < rows.len()).then(|| rows.swap_remove(at))
    }

    fn engine_rows(&self) -> Vec<Row> {
        let Some(snapshot) = &self.snapshot else { return Vec::new() };
        let row = |e: &EngineView| {
            let avoided = words::avoided(e);
            let held = words::hold(&e.name, &snapshot.intents).is_some();
            let tone = match e {
                e if e.state == EngineState::Removed => Tone::Faint,
                e if held || e.state == EngineState::Draining => Tone::Warn,
                e if !e.connected => Tone::Bad,
                _ if !avoided.is_empty() => Tone::Warn,
                _ => Tone::Plain,
            };
            let cells = vec![
                e.name.clone().into(),
                e.role.name().into(),
                words::state(e, &snapshot.intents).into(),
                if e.connected { "up" } else { "DOWN" }.into(),
                Cell::number(e.awaiting_first_token),
                Cell::number(e.streaming),
                Cell::ranked(words::percent(e.memory_utilization), e.memory_utilization),
                Cell::ranked(format!("{:.1}x", e.latency_ratio), e.latency_ratio),
                or_dash(&avoided),
                Cell::ranked(format!("{}/{}", e.failed, words::count(e.attempts)), e.failed as f64),
                words::place(e).into(),
                Cell::ranked(words::count(e.queued_prompt_tokens as u64), e.queued_prompt_tokens),
                e.reported_memory_utilization.map_or("-".into(), |m| Cell::ranked(words::percent(m), m)),
                e.slow_start_budget.map_or("-".into(), |b| Cell::ranked(format!("{b:.1}"), b)),
                Cell::ranked(
                    words::ago(e.last_response_at, snapshot.metrics.at),
                    -(e.last_response_at as f64),
                ),
                Cell::ranked(words::count(e.cancelled), e.cancelled as f64),
            ];
            Row { key: e.name.clone(), cells, tone }
        };
        snapshot.engines.iter().map(row).collect()
    }

    fn live_row(&self, l: &RequestView) -> Row {
        let step = |s: &gaparch_protocol::ops::outcome::AttemptRecord| {
            format!("{} {} {} {}", words::micros(s.sent_after_us), s.stage, s.engine, s.end)
        };
        let path: Vec<String> = l.attempts.iter().map(step).collect();
        let tone = match l.kind {
            None => Tone::Plain,
            Some(OutcomeKind::Served) => Tone::Faint,
            Some(_) => Tone::Warn,
        };
        let cells = vec![
            l.request.to_string().into(),
            l.kind.map_or(l.phase.name(), |k| k.name()).into(),
            or_dash(&l.engine),
            l.class.clone().into(),
            Cell::ranked(words::micros(l.elapsed_us), l.elapsed_us as f64),
            Cell::number(l.tokens),
            or_dash(&l.tenant),
            Cell::ranked(words::time(l.received_at, self.now), l.received_at as f64),
            path.join(", ").into(),
        ];
        Row { key: l.request.to_string(), cells, tone }
    }

    fn group_rows(&self) -> Vec<Row> {
        let row = |(n, g): (usize, &gaparch_protocol::ops::outcome::OutcomeGroup)| Row {
            key: n.to_string(),
            tone: if g.kind == OutcomeKind::Failed { Tone::Bad } else { Tone::Plain },
            cells: vec![
                Cell::ranked(words::count(g.count), g.count as f64),
                g.kind.name().into(),
                g.cause.name().into(),
                g.queueing_reason.map_or("-", |w| w.name()).into(),
                g.class.clone().into(),
                or_dash(&g.tenant),
                Cell::ranked(words::time(g.last_at, self.now), g.last_at as f64),
                Cell::ranked(words::count(g.retried), g.retried as f64),
                Cell::ranked(words::count(g.served_on_retry), g.served_on_retry as f64),
            ],
        };
        self.groups.iter().enumerate().map(row).collect()
    }

    fn ending_row(&self, e: &RequestOutcome) -> Row {
        let took = e.ended_at.saturating_sub(e.received_at) / 1000;
        let cells = vec![
            e.request.to_string().into(),
            Cell::ranked(words::time(e.ended_at, self.now), e.ended_at as f64),
            Cell::ranked(words::micros(took), took as f64),
            e.follow_up.as_ref().map_or("-", |f| f.kind.name()).into(),
            words::cause(e.cause, e.queueing_reason).into(),
        ];
        Row { key: e.request.to_string(), cells, tone: Tone::Plain }
    }

    fn tenant_rows(&self) -> Vec<Row> {
        let tenants = self.snapshot.iter().flat_map(|s| &s.tenants);
        let row = |t: &gaparch_protocol::ops::view::TenantView| {
            let counts = [t.requests, t.served, t.rejected, t.failed, t.client_disconnected, t.tokens];
            let mut cells = vec![or_dash(&t.name)];
            cells.extend(counts.map(|n| Cell::ranked(words::count(n), n as f64)));
            let share =
                if t.quota_per_second > 0.0 { t.quota_per_second.to_string() } else { "-".to_owned() };
            cells.push(Cell::ranked(share, t.quota_per_second));
            Row { key: t.name.clone(), cells, tone: Tone::Plain }
        };
        tenants.map(row).collect()
    }

    pub(crate) fn event_row(&self, n: usize, e: &Event) -> Row {
        let tone = match e.severity {
            Severity::Info => Tone::Plain,
            Severity::Warning => Tone::Warn,
            Severity::Fault => Tone::Bad,
        };
        let cells = vec![
            Cell::ranked(words::time(e.at, self.now), e.at as f64),
            words::severity(e.severity).into(),
            or_dash(e.engine.as_deref().unwrap_or_default()),
            e.text.clone().into(),
        ];
        Row { key: format!("{}-{n}", e.at), cells, tone }
    }

    fn setting_rows(&self) -> Vec<Row> {
        let Some(snapshot) = &self.snapshot else { return Vec::new() };
        let limit = |l: &gaparch_protocol::ops::intent::LimitView| Row {
            key: l.name.clone(),
            cells: vec![
                l.name.clone().into(),
                Cell::ranked(l.value.to_string(), l.value),
                Cell::ranked(l.configured_value.to_string(), l.configured_value),
                "Enter changes it".into(),
            ],
            tone: if l.value == l.configured_value { Tone::Plain } else { Tone::Warn },
        };
        let setting = |s: &gaparch_protocol::ops::view::Setting| Row {
            key: format!("setting {}", s.name),
            cells: vec![s.name.clone().into(), s.value.clone().into(), "".into(), "".into()],
            tone: Tone::Faint,
        };
        snapshot.limits.iter().map(limit).chain(snapshot.settings.iter().map(setting)).collect()
    }
}
