//! Draws the console, from 80 columns and 24 lines upwards.

mod theme;

pub use theme::Theme;

use crate::app::{App, Dialog, Link, Page, Question, Row, Tone, View};
use crate::words;
use gaparch_protocol::ops::view::{EngineView, Severity};
use ratatui::layout::{Alignment, Constraint, Layout, Rect};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Cell, Clear, Paragraph, Row as TableRow, Sparkline, Table, TableState, Wrap};
use ratatui::Frame;
use std::collections::VecDeque;

/// Smaller than this nothing sensible can be shown.
const LEAST: (u16, u16) = (60, 14);

const HELP: &[(&str, &str)] = &[
    ("1 ... 7, Tab", "the views"),
    ("Up Down PgUp PgDn Home End, j k", "walk a list, or scroll a page"),
    ("Enter", "look closer: an engine, a group of refusals, a request; change a limit"),
    ("Esc", "back; forget the filter"),
    ("/", "filter the list"),
    ("s, S", "sort by the next column; the other way round"),
    ("f", "find a request by its id (x-gaparch-request-id)"),
    ("d", "drain the engine: nothing new; what runs there ends"),
    ("a", "set it aside: as if it were not listed"),
    ("u", "undrain it: it is what the list says again"),
    ("p", "pause the intake, or resume it"),
    ("X", "stop the router"),
    ("q, Ctrl-C", "leave the console; the router goes on"),
];

/// Draws all of it.
pub fn draw(frame: &mut Frame<'_>, app: &App, theme: Theme) {
    let area = frame.area();
    if area.width < LEAST.0 || area.height < LEAST.1 {
        let text = format!("{}x{} is too small: {}x{} at least", area.width, area.height, LEAST.0, LEAST.1);
        return frame.render_widget(Paragraph::new(text).wrap(Wrap { trim: true }), area);
    }
    let [head, tabs, body, foot] = Layout::vertical([
        Constraint::Length(1),
        Constraint::Length(1),
        Constraint::Min(1),
        Constraint::Length(2),
    ])
    .areas(area);
    draw_head(frame, head, app, theme);
    draw_tabs(frame, tabs, app, theme);
    match app.pages.last() {
        None if app.view == View::Overview => draw_overview(frame, body, app, theme),
        None | Some(Page::Endings(_)) => draw_list(frame, body, app, theme),
        Some(Page::Help) => draw_help(frame, body, theme),
        Some(Page::Engine(name)) => draw_engine(frame, body, app, name, theme),
        Some(Page::Story(ending)) => {
            draw_text(
                frame,
                body,
                app,
                "why",
                words::story(ending, app.now).into_iter().map(Line::from).collect(),
            );
        }
        Some(Page::Open(live)) => {
            let mut lines = vec![Line::from(format!(
                "request {} is {} since {}, {} tokens",
                live.request,
                live.phase,
                words::micros(live.elapsed_us),
                live.tokens
            ))];
            let step = |s: &gaparch_protocol::ops::outcome::AttemptRecord| {
                Line::from(format!(
                    "  {:>9}  {} at {}: {}",
                    words::micros(s.sent_after_us),
                    s.stage,
                    s.engine,
                    s.end
                ))
            };
            lines.extend(live.attempts.iter().map(step));
            draw_text(frame, body, app, "an open request", lines);
        }
    }
    draw_foot(frame, foot, app, theme);
    if let Some(dialog) = &app.dialog {
        draw_dialog(frame, body, dialog, theme);
    }
}

fn draw_head(frame: &mut Frame<'_>, area: Rect, app: &App, theme: Theme) {
    let mut parts = vec![Span::styled("gaparch ", theme.title())];
    if let Some(snapshot) = &app.snapshot {
        parts.push(Span::raw(format!(
            "{}  up {}",
            snapshot.router,
            words::ago(snapshot.started_at, app.now)
        )));
        if snapshot.metrics.paused {
            parts.push(Span::styled("  INTAKE PAUSED", theme.tone(Tone::Bad)));
        }
        if !snapshot.storage_error.is_empty() || snapshot.intents.iter().any(|i| !i.persisted) {
            parts.push(Span::styled("  NOT KEPT ON DISK", theme.tone(Tone::Bad)));
        }
    }
    match &app.link {
        Link::Down(why) => parts.push(Span::styled(format!("  NO CONNECTION: {why}"), theme.tone(Tone::Bad))),
        Link::Up(role) => parts.push(Span::styled(format!("  ({role})"), theme.tone(Tone::Faint))),
    }
    frame.render_widget(Line::from(parts), area);
    let clock = Line::from(words::time(app.now, app.now)).alignment(Alignment::Right);
    frame.render_widget(clock, area);
}

fn draw_tabs(frame: &mut Frame<'_>, area: Rect, app: &App, theme: Theme) {
    let tab = |(n, view): (usize, &View)| {
        let style = if *view == app.view { theme.selected() } else { Default::default() };
        [Span::styled(format!("{} {}", n + 1, view.title()), style), Span::raw(" ")]
    };
    let mut spans: Vec<Span<'_>> = View::ALL.iter().enumerate().flat_map(tab).collect();
    spans.push(Span::styled("? help", theme.tone(Tone::Faint)));
    frame.render_widget(Line::from(spans), area);
}

fn draw_foot(frame: &mut Frame<'_>, area: Rect, app: &App, theme: Theme) {
    let keys = match (app.pages.last(), app.view) {
        (Some(Page::Engine(_)), _) => "d drain  a aside  u undrain  Esc back",
        (Some(_), _) => "Up/Down  Enter closer  Esc back",
        (None, View::Engines) => "d drain  a aside  u undrain  Enter closer  / filter  s sort  q leave",
        (None, View::Requests | View::Refusals) => "Enter why  f find  / filter  s sort  q leave",
        (None, View::Settings) => "Enter changes a limit  p pause/resume  q leave",
        (None, _) => "p pause/resume  / filter  s sort  ? help  q leave",
    };
    let keys = Line::styled(keys, theme.tone(Tone::Faint));
    let filters = app.dialog.as_ref().is_some_and(Dialog::is_filter);
    let text = match &app.message {
        Some((severity, text, _)) => {
            let tone = match severity {
                Severity::Info => Tone::Plain,
                Severity::Warning => Tone::Warn,
                Severity::Fault => Tone::Bad,
            };
            Line::styled(text.clone(), theme.tone(tone))
        }
        None if filters || !app.list().filter.is_empty() => {
            let cursor = if filters { "_" } else { "" };
            Line::from(format!("filter: {}{cursor}", app.list().filter))
        }
        None if app.missed > 0 => {
            Line::from(format!("{} updates were missed; all was shown anew", app.missed))
        }
        None => Line::default(),
    };
    frame.render_widget(Paragraph::new(vec![text, keys]), area);
}

fn draw_list(frame: &mut Frame<'_>, area: Rect, app: &App, theme: Theme) {
    let rows = app.rows();
    let title = match app.pages.last() {
        Some(Page::Endings(_)) => "one by one, the latest first".to_owned(),
        _ => app.view.title().to_lowercase(),
    };
    let sorted = app.list().sort.and_then(|(n, down)| {
        app.columns().get(n).map(|(head, _)| format!(", by {head}{}", if down { " downwards" } else { "" }))
    });
    let title = format!(" {title}: {}{} ", rows.len(), sorted.unwrap_or_default());
    let block = Block::bordered().title(title);
    let inner = block.inner(area);
    frame.render_widget(block, area);
    if rows.is_empty() {
        let text = match (&app.link, app.view) {
            (Link::Down(_), _) => "nothing is known: there is no connection",
            (_, View::Refusals) => "no request was refused or failed, as far as it is kept",
            _ => "nothing",
        };
        return frame.render_widget(Paragraph::new(text), inner);
    }
    draw_table(frame, inner, app.columns(), &rows, Some(app.list().place(&rows)), theme);
}

/// As many columns as there is room for; the last one shown takes the rest.
fn draw_table(
    frame: &mut Frame<'_>,
    area: Rect,
    columns: &[(&str, u16)],
    rows: &[Row],
    selected: Option<usize>,
    theme: Theme,
) {
    let mut used = 0;
    let fits = |(_, width): &&(&str, u16)| {
        used += width + 1;
        used <= area.width + 1
    };
    let shown: Vec<&(&str, u16)> = columns.iter().take_while(fits).collect();
    let last = shown.len().saturating_sub(1);
    let width = |(n, (_, width)): (usize, &&(&str, u16))| {
        if n == last {
            Constraint::Min(*width)
        } else {
            Constraint::Length(*width)
        }
    };
    let widths: Vec<Constraint> = shown.iter().enumerate().map(width).collect();
    let head = TableRow::new(shown.iter().map(|(head, _)| Cell::from(*head))).style(theme.title());
    let row = |row: &Row| {
        let cells = row.cells.iter().take(shown.len()).map(|c| Cell::from(c.text.clone()));
        TableRow::new(cells.collect::<Vec<_>>()).style(theme.tone(row.tone))
    };
    let table = Table::new(rows.iter().map(row), widths).header(head).row_highlight_style(theme.selected());
    let mut state = TableState::default().with_selected(selected);
    frame.render_stateful_widget(table, area, &mut state);
}

fn draw_overview(frame: &mut Frame<'_>, area: Rect, app: &App, theme: Theme) {
    let Some(snapshot) = &app.snapshot else {
        return frame.render_widget(Paragraph::new("nothing is known yet"), area);
    };
    let [figures, lines, engines, events] = Layout::vertical([
        Constraint::Length(4),
        Constraint::Length(4),
        Constraint::Min(5),
        Constraint::Length((area.height / 4).clamp(4, 14)),
    ])
    .areas(area);
    let f = &snapshot.metrics;
    let recent = |series: &VecDeque<u64>| series.iter().rev().take(20).sum::<u64>() as f64 / 5.0;
    let lost = f.rejected + f.failed;
    let text = vec![
        Line::from(vec![
            Span::styled("now  ", theme.title()),
            Span::raw(format!(
                "{} held  {} reading  {} read  {} writing  {} streaming",
                f.queued, f.prefilling, f.prefilled, f.decoding, f.streaming
            )),
        ]),
        Line::from(format!(
            "     {:.1} served a second, {:.1} lost; late by {} at most",
            recent(&app.series.served),
            recent(&app.series.lost),
            words::micros(f.lag_us)
        )),
        Line::from(vec![
            Span::styled("all  ", theme.title()),
            Span::raw(format!(
                "{} requests: {} served ({} in time), ",
                words::count(f.requests),
                words::count(f.served),
                words::percent(f.served_in_time as f64 / f.served.max(1) as f64)
            )),
            Span::styled(
                format!("{} refused, {} failed", words::count(f.rejected), words::count(f.failed)),
                theme.tone(if lost > 0 { Tone::Warn } else { Tone::Plain }),
            ),
            Span::raw(format!(", {} left", words::count(f.client_disconnected))),
        ]),
        match snapshot.storage_error.as_str() {
            "" if snapshot.intents.is_empty() => Line::from("no orders of operators are in force"),
            "" => Line::from(format!("orders of operators in force: {}, all kept", snapshot.intents.len())),
            why => Line::styled(format!("NOT KEPT ON DISK: {why}"), theme.tone(Tone::Bad)),
        },
    ];
    frame.render_widget(Paragraph::new(text), figures);
    let series = [
        ("served", &app.series.served),
        ("lost", &app.series.lost),
        ("held", &app.series.held),
        ("streaming", &app.series.streaming),
    ];
    let places = Layout::horizontal([Constraint::Ratio(1, 4); 4]).split(lines);
    for ((title, series), place) in series.into_iter().zip(places.iter()) {
        let most = series.iter().max().copied().unwrap_or(0);
        let block = Block::bordered().title(format!(" {title}, most {most} "));
        let room = usize::from(place.width.saturating_sub(2));
        let data: Vec<u64> = series.iter().skip(series.len().saturating_sub(room)).copied().collect();
        let line = Sparkline::default().block(block).data(data).style(theme.tone(Tone::Warn));
        frame.render_widget(line, *place);
    }
    let rows = app.rows();
    let well = rows.iter().filter(|r| r.tone == Tone::Plain).count();
    // All where there is room; else those that are not as they should be.
    let all = rows.len() + 3 <= usize::from(engines.height);
    let shown: Vec<Row> = rows.iter().filter(|r| all || r.tone != Tone::Plain).cloned().collect();
    let others = if all { "" } else { "; the others" };
    let title = format!(" engines: {well} of {} as they should be{others} ", rows.len());
    let block = Block::bordered().title(title);
    let inner = block.inner(engines);
    frame.render_widget(block, engines);
    draw_table(frame, inner, app.columns(), &shown, None, theme);
    let block = Block::bordered().title(" lately ");
    let inner = block.inner(events);
    frame.render_widget(block, events);
    let latest: Vec<Line<'_>> = app
        .events
        .iter()
        .rev()
        .take(usize::from(inner.height))
        .map(|e| {
            let row = app.event_row(0, e);
            let engine = e.engine.as_deref().map(|name| format!("{name}: ")).unwrap_or_default();
            Line::styled(format!("{}  {engine}{}", words::time(e.at, app.now), e.text), theme.tone(row.tone))
        })
        .collect();
    frame.render_widget(Paragraph::new(latest), inner);
}

fn draw_engine(frame: &mut Frame<'_>, area: Rect, app: &App, name: &str, theme: Theme) {
    let snapshot = app.snapshot.as_ref();
    let Some((snapshot, e)) = snapshot.and_then(|s| Some((s, s.engines.iter().find(|e| e.name == name)?)))
    else {
        return frame.render_widget(Paragraph::new(format!("{name} is not known any more")), area);
    };
    let mut lines = engine_lines(e, app.now);
    let state = words::state(e, &snapshot.intents);
    let intent = snapshot.intents.iter().find(|i| matches!(&i.subject, gaparch_protocol::ops::intent::Subject::Engine { engine, .. } if engine == name));
    lines.insert(1, format!("  {state}; by the list {}", e.listed_state));
    if let Some(intent) = intent {
        let kept = if intent.persisted { "" } else { " (NOT KEPT)" };
        let at = words::time(intent.note.at, app.now);
        lines.insert(2, format!("  by {} at {at}{kept}: {}", intent.note.operator, intent.note.reason));
    }
    lines.push(String::new());
    lines.push("what happened to it, the latest first".to_owned());
    let mut text: Vec<Line<'_>> = lines.into_iter().map(Line::from).collect();
    for (n, event) in app.history.iter().rev().enumerate() {
        let tone = app.event_row(n, event).tone;
        let line = format!("  {}  {}", words::time(event.at, app.now), event.text);
        text.push(Line::styled(line, theme.tone(tone)));
    }
    draw_text(frame, area, app, name, text);
}

fn engine_lines(e: &EngineView, now: u64) -> Vec<String> {
    let avoided = words::avoided(e);
    let said = e.reported_memory_utilization.map_or("-".to_owned(), words::percent);
    let mut lines = vec![
        format!("{}, {} in {} at {}", e.name, e.role, words::place(e), e.address),
        format!(
            "  link {}; last heard {} ago; process began {}",
            if e.connected { "up" } else { "DOWN" },
            words::ago(e.last_response_at, now),
            e.started_at.filter(|at| *at > 0).map_or("long ago".to_owned(), |at| words::time(at, now))
        ),
        format!("  avoided: {}", if avoided.is_empty() { "no" } else { &avoided }),
        format!(
            "  {} waiting, {} streaming, {:.0} tokens to read",
            e.awaiting_first_token, e.streaming, e.queued_prompt_tokens
        ),
        format!(
            "  memory {} by guess, {said} as it said; {:.2} times its peers' pace",
            words::percent(e.memory_utilization),
            e.latency_ratio
        ),
        format!("  {} attempts: {} failed, {} called off", e.attempts, e.failed, e.cancelled),
    ];
    if let Some(budget) = e.slow_start_budget {
        lines.push(format!("  cold: {budget:.1} mean requests may be sent at once"));
    }
    for rest in &e.partial_ejections {
        let tenant = if rest.tenant.is_empty() { String::new() } else { format!(" of {}", rest.tenant) };
        lines.push(format!("  gets no {}{tenant} until {}", rest.class, words::time(rest.until, now)));
    }
    lines
}

fn draw_text(frame: &mut Frame<'_>, area: Rect, app: &App, title: &str, lines: Vec<Line<'_>>) {
    let block = Block::bordered().title(format!(" {title} "));
    let most = lines.len().saturating_sub(usize::from(area.height.saturating_sub(2)));
    let scroll = usize::from(app.scroll).min(most);
    let text = Paragraph::new(lines).block(block).scroll((u16::try_from(scroll).unwrap_or(u16::MAX), 0));
    frame.render_widget(text, area);
}

fn draw_help(frame: &mut Frame<'_>, area: Rect, theme: Theme) {
    let line = |(keys, what): &(&'static str, &'static str)| {
        Line::from(vec![Span::styled(format!("{keys:<34}"), theme.title()), Span::raw(*what)])
    };
    let lines: Vec<Line<'_>> = HELP.iter().map(line).collect();
    frame.render_widget(Paragraph::new(lines).block(Block::bordered().title(" keys ")), area);
}

fn draw_dialog(frame: &mut Frame<'_>, area: Rect, dialog: &Dialog, theme: Theme) {
    let (title, lines) = match &dialog.question {
        Question::Filter => return,
        Question::Reason { title, consequence, .. } => (
            title.as_str(),
            vec![consequence.clone(), String::new(), "Why? (Enter does it, Esc does not)".to_owned()],
        ),
        Question::Force { message, .. } => {
            let how = "Type yes to do it all the same; Esc leaves all as it is".to_owned();
            ("Are you sure?", vec![message.clone(), String::new(), how])
        }
        Question::Value { name, hint, .. } => (name.as_str(), vec![hint.clone()]),
        Question::Find => ("Find a request", vec!["its id, as msg_18a2b3_42".to_owned()]),
    };
    let width = area.width.saturating_sub(4).min(90);
    let height = 9.min(area.height);
    let place =
        Rect { x: area.x + (area.width - width) / 2, y: area.y + (area.height - height) / 2, width, height };
    let mut text: Vec<Line<'_>> = lines.into_iter().map(Line::from).collect();
    text.push(Line::styled(format!("> {}_", dialog.text), theme.title()));
    let block = Block::bordered().title(format!(" {title} ")).style(theme.tone(Tone::Plain));
    frame.render_widget(Clear, place);
    frame.render_widget(Paragraph::new(text).block(block).wrap(Wrap { trim: false }), place);
}
