//! The console without a terminal: keys and news go in, orders and pictures come out.

use gaparch_console::app::{App, Effect, Key, Link, Page, Question, Tag, View};
use gaparch_console::screen::{draw, Theme};
use gaparch_protocol::ops::intent::{Change, ChangeNote, DrainMode, Intent, LimitView, Subject};
use gaparch_protocol::ops::outcome::{
    EngineEvidence, GlobalRequestId, OutcomeCause, OutcomeGroup, OutcomeKind, QueueingReason, RequestOutcome,
};
use gaparch_protocol::ops::view::{
    AvoidReason, EngineRole, EngineState, EngineView, Event, RouterMetrics, Severity, Snapshot, TenantView,
};
use gaparch_protocol::ops::{Answer, DenyCode, Query, SessionRole, Update};
use proptest::prelude::*;
use ratatui::backend::TestBackend;
use ratatui::buffer::{Buffer, Cell};
use ratatui::style::Color;
use ratatui::Terminal;

const NOW: u64 = 1_800_000_000_000_000_000;

fn engine(n: usize) -> EngineView {
    EngineView {
        name: format!("{}-{n}", if n.is_multiple_of(3) { "read" } else { "write" }),
        role: if n.is_multiple_of(3) { EngineRole::Prefill } else { EngineRole::Decode },
        zone: "north".to_owned(),
        rack: "n1".to_owned(),
        address: "127.0.0.1:7101".to_owned(),
        listed_state: EngineState::Ready,
        state: EngineState::Ready,
        connected: n != 4,
        avoid_reason: (n == 4).then_some(AvoidReason::Unreachable),
        partial_ejections: Vec::new(),
        awaiting_first_token: n as u32,
        streaming: 30 - n.min(30) as u32,
        queued_prompt_tokens: 120.0 * n as f64,
        memory_utilization: n as f64 / 20.0,
        reported_memory_utilization: None,
        latency_ratio: 1.0,
        slow_start_budget: None,
        started_at: None,
        last_response_at: NOW - 1_000_000_000,
        attempts: 1000,
        failed: n as u64,
        cancelled: 0,
    }
}

fn snapshot(engines: usize) -> Snapshot {
    Snapshot {
        router: "north-1".to_owned(),
        run: 7,
        revision: 3,
        started_at: NOW - 7_300_000_000_000,
        metrics: RouterMetrics {
            at: NOW,
            requests: 5000,
            served: 4900,
            rejected: 40,
            queued: 2,
            ..RouterMetrics::default()
        },
        engines: (0..engines).map(engine).collect(),
        tenants: vec![TenantView { name: "app".to_owned(), requests: 9, ..TenantView::default() }],
        intents: Vec::new(),
        limits: vec![LimitView {
            name: "open-requests".to_owned(),
            value: 100.0,
            configured_value: 100.0,
            min: 1.0,
            max: 100.0,
            unit: "requests".to_owned(),
        }],
        events: vec![Event {
            at: NOW - 5_000_000_000,
            severity: Severity::Fault,
            engine: Some("write-4".to_owned()),
            text: "can't be reached; 2 waiting and 5 streaming there".to_owned(),
        }],
        settings: Vec::new(),
        storage_error: String::new(),
    }
}

fn app() -> App {
    let mut app = App::default();
    app.tick(NOW);
    app.link_up(SessionRole::ReadWrite);
    app.update(Update::Resync { snapshot: Box::new(snapshot(8)) });
    app
}

fn type_in(app: &mut App, text: &str) -> Vec<Effect> {
    text.chars().flat_map(|c| app.key(Key::Char(c))).collect()
}

fn drawn(app: &App, cols: u16, rows: u16, theme: Theme) -> Buffer {
    let mut terminal = Terminal::new(TestBackend::new(cols, rows)).expect("a terminal");
    terminal.draw(|frame| draw(frame, app, theme)).expect("drawn");
    terminal.backend().buffer().clone()
}

/// Cells that have a colour of their own.
fn colours(app: &App, theme: Theme) -> usize {
    let plain = |cell: &&Cell| cell.fg == Color::Reset && cell.bg == Color::Reset;
    let buffer = drawn(app, 80, 24, theme);
    buffer.content().len() - buffer.content().iter().filter(plain).count()
}

fn picture(app: &App, cols: u16, rows: u16, theme: Theme) -> String {
    let buffer = drawn(app, cols, rows, theme);
    let line = |y: u16| (0..cols).map(|x| buffer[(x, y)].symbol()).collect::<String>();
    (0..rows).map(line).collect::<Vec<_>>().join("\n")
}

fn ordered(effects: &[Effect]) -> Option<(Change, bool, String)> {
    effects.iter().find_map(|e| match e {
        Effect::Ask(Tag::Order(order), _) => Some((order.change.clone(), order.force, order.reason.clone())),
        _ => None,
    })
}

fn drain(engine: &str) -> Change {
    Change::Drain { engine: engine.to_owned(), mode: DrainMode::Drain }
}

#[test]
fn a_drain_takes_a_reason_and_a_word_more_where_it_harms() {
    let mut app = app();
    type_in(&mut app, "2jd");
    let asked = app.dialog.as_ref().map(|d| &d.question);
    assert!(matches!(asked, Some(Question::Reason { change, .. }) if *change == drain("write-1")));
    assert!(
        picture(&app, 80, 24, Theme::plain()).contains("1 sent there and 29 streaming end in their own time")
    );
    assert_eq!(ordered(&app.key(Key::Enter)), None, "a reason is wanted");
    type_in(&mut app, "hot disk");
    let effects = app.key(Key::Enter);
    assert_eq!(ordered(&effects), Some((drain("write-1"), false, "hot disk".to_owned())));
    let Some(Effect::Ask(tag, query)) = effects.into_iter().next() else { panic!("an order") };
    assert!(matches!(*query, Query::Order { order } if order.revision == Some(3)), "what was seen is told");
    let message = "write-1 is the last writer that takes anything".to_owned();
    app.answer(tag, Answer::Denied { code: DenyCode::LastOfRole, message });
    assert!(picture(&app, 80, 24, Theme::plain()).contains("Are you sure?"));
    type_in(&mut app, "no");
    assert_eq!(ordered(&app.key(Key::Enter)), None);
    type_in(&mut app, "d");
    app.key(Key::Esc);
    assert_eq!(app.dialog, None);
}

#[test]
fn who_may_look_only_and_who_is_not_connected_change_nothing() {
    let mut app = app();
    app.link = Link::Up(SessionRole::ReadOnly);
    type_in(&mut app, "2d");
    assert_eq!(app.dialog, None);
    app.link = Link::Up(SessionRole::ReadWrite);
    type_in(&mut app, "dx");
    app.link_down("closed by the peer");
    assert_eq!(ordered(&app.key(Key::Enter)), None);
    let picture = picture(&app, 80, 24, Theme::plain());
    assert!(picture.contains("NO CONNECTION") && picture.contains("nothing was changed"), "{picture}");
}

#[test]
fn from_a_group_of_refusals_down_to_one_request_s_story() {
    let mut app = app();
    let request = GlobalRequestId { run: 7, number: 42 };
    let asked = app.key(Key::Char('4'));
    assert!(asked.is_empty());
    assert!(matches!(&app.tick(NOW + 1)[..], [Effect::Ask(Tag::Groups, _)]));
    let group = OutcomeGroup {
        kind: OutcomeKind::Rejected,
        cause: OutcomeCause::ObjectiveMissed,
        queueing_reason: Some(QueueingReason::DecodeWorkersSaturated),
        class: "question".to_owned(),
        tenant: String::new(),
        count: 12,
        first_at: NOW,
        last_at: NOW,
        retried: 3,
        served_on_retry: 2,
        example: request,
    };
    app.answer(Tag::Groups, Answer::OutcomeGroups { groups: vec![group], total: 12 });
    let effects = app.key(Key::Enter);
    assert!(matches!(&effects[..], [Effect::Ask(Tag::Endings, query)]
        if matches!(&**query, Query::Outcomes { filter } if filter.cause == Some(OutcomeCause::ObjectiveMissed))));
    let evidence = EngineEvidence {
        engine: "write-1".to_owned(),
        avoid_reason: "full".to_owned(),
        memory_utilization: 0.97,
        queued_prompt_tokens: 0.0,
        latency_ratio: 1.0,
    };
    let (asked, ended) = (NOW - 2_000_000_000, NOW - 1_000_000_000);
    let ending = RequestOutcome {
        queueing_reason: Some(QueueingReason::DecodeWorkersSaturated),
        retry_after_ms: Some(1000),
        evidence: vec![evidence],
        ..RequestOutcome::without_details(
            request,
            asked,
            ended,
            OutcomeKind::Rejected,
            OutcomeCause::ObjectiveMissed,
        )
    };
    app.answer(Tag::Endings, Answer::Outcomes { outcomes: vec![ending.clone()], total: 1 });
    assert!(picture(&app, 80, 24, Theme::plain()).contains("msg_7_42"));
    let effects = app.key(Key::Enter);
    assert!(matches!(&effects[..], [Effect::Ask(Tag::Story, _)]));
    app.answer(Tag::Story, Answer::RequestDetails { outcome: Some(Box::new(ending)), open: None });
    let story = picture(&app, 80, 24, Theme::plain());
    for words in
        ["all writers looked full", "come back after 1000 ms", "write-1", "97%", "not been seen again"]
    {
        assert!(story.contains(words), "{words}: {story}");
    }
    app.key(Key::Esc);
    assert!(matches!(app.pages.last(), Some(Page::Endings(_))));
}

#[test]
fn lists_are_sorted_filtered_and_keep_their_selection() {
    let mut app = app();
    type_in(&mut app, "2");
    type_in(&mut app, "/write");
    app.key(Key::Enter);
    let names = |app: &App| app.rows().into_iter().map(|r| r.key).collect::<Vec<_>>();
    assert_eq!(names(&app), ["write-1", "write-2", "write-4", "write-5", "write-7"]);
    app.key(Key::Down);
    assert_eq!(app.selected().map(|r| r.key).as_deref(), Some("write-2"));
    // By `wait`, the largest first: the fifth column.
    type_in(&mut app, "sssss");
    assert_eq!(names(&app).first().map(String::as_str), Some("write-7"));
    assert_eq!(app.selected().map(|r| r.key).as_deref(), Some("write-2"), "it stays selected");
    type_in(&mut app, "S");
    assert_eq!(names(&app).first().map(String::as_str), Some("write-1"));
}

#[test]
fn rates_count_by_time_and_what_is_typed_is_bounded() {
    let mut app = app();
    let served = app.snapshot.as_ref().map_or(0, |s| s.metrics.served);
    // Ten looks within a quarter second, as orders make them, are one point.
    for n in 1..=10u64 {
        let figures =
            RouterMetrics { at: NOW + n * 25_000_000, served: served + n, ..RouterMetrics::default() };
        app.update(Update::Metrics { metrics: figures });
    }
    assert_eq!(app.series.served.iter().sum::<u64>(), 8, "{:?}", app.series.served);
    assert_eq!(app.series.served.len(), 1);
    app.key(Key::Char('/'));
    (0..1000).for_each(|_| drop(app.key(Key::Char('x'))));
    assert_eq!(app.list().filter.len(), 200);
    app.key(Key::Esc);
    assert_eq!(app.list().filter, "");
}

#[test]
fn limits_are_changed_after_a_look_and_a_reason() {
    let mut app = app();
    app.key(Key::Char('7'));
    app.key(Key::Enter);
    (0..5).for_each(|_| drop(app.key(Key::Backspace)));
    type_in(&mut app, "many");
    app.key(Key::Enter);
    assert!(matches!(app.dialog.as_ref().map(|d| &d.question), Some(Question::Value { .. })), "not a number");
    (0..5).for_each(|_| drop(app.key(Key::Backspace)));
    type_in(&mut app, "50");
    app.key(Key::Enter);
    type_in(&mut app, "too hot");
    let limit = Change::SetLimit { name: "open-requests".to_owned(), value: Some(50.0) };
    assert_eq!(ordered(&app.key(Key::Enter)), Some((limit, false, "too hot".to_owned())));
}

#[test]
fn every_view_shows_at_80_by_24_what_matters_and_needs_no_colour() {
    let mut app = app();
    let note = ChangeNote { operator: "office".to_owned(), reason: "noise".to_owned(), at: NOW };
    let subject = Subject::Engine { engine: "write-1".to_owned(), mode: DrainMode::Drain };
    let intents = vec![Intent { subject, note, revision: 3, persisted: false }];
    app.update(Update::Intents { revision: 4, intents });
    for (view, words) in [
        (View::Overview, &["4900 served", "40 refused", "write-4", "can't be reached", "NOT KEPT"][..]),
        (View::Engines, &["drained (no", "unreachable", "DOWN", "avoided"]),
        (View::Tenants, &["app"]),
        (View::Events, &["TROUBLE", "can't be reached"]),
        (View::Settings, &["open-requests"]),
    ] {
        app.view = view;
        let shown = picture(&app, 80, 24, Theme::plain());
        for word in words {
            assert!(shown.contains(word), "{word} in {view:?}:\n{shown}");
        }
        assert_eq!(shown, picture(&app, 80, 24, Theme::coloured()), "no word is there for the colour's sake");
        assert_eq!(colours(&app, Theme::plain()), 0, "{view:?}");
        assert!(colours(&app, Theme::coloured()) > 0, "{view:?}");
    }
    assert!(picture(&app, 40, 10, Theme::plain()).contains("too small"));
    app.key(Key::Char('?'));
    assert!(picture(&app, 80, 24, Theme::plain()).contains("as if it were not listed"));
}

fn any_key() -> impl Strategy<Value = Key> {
    prop_oneof![
        8 => proptest::char::range(' ', '~').prop_map(Key::Char),
        1 => Just(Key::Up), 2 => Just(Key::Down), 1 => Just(Key::PageDown), 1 => Just(Key::End),
        3 => Just(Key::Enter), 1 => Just(Key::Esc), 1 => Just(Key::Tab), 1 => Just(Key::Backspace),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Whatever is typed and however large the window is: it draws, and every order has a reason.
    #[test]
    fn no_keys_and_no_size_break_it(
        keys in proptest::collection::vec(any_key(), 0..80),
        size in (1u16..220, 1u16..70),
        engines in 0usize..40,
    ) {
        let mut app = app();
        app.update(Update::Resync { snapshot: Box::new(snapshot(engines)) });
        for key in keys {
            let effects = app.key(key);
            prop_assert!(ordered(&effects).is_none_or(|(_, _, why)| !why.trim().is_empty()));
            picture(&app, size.0, size.1, Theme::coloured());
        }
    }
}
