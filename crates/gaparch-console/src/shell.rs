//! The console on a terminal and a connection.
//!
//! Three parts that never wait for each other: this task takes keys and what the router says; a thread of its own
//! draws, and may stand still for ever when nobody reads the terminal; the connection is made again and again.
//! An order goes out with its key press, drawn or not.

use crate::app::{App, Effect, Key, Tag};
use crate::screen::{draw, Theme};
use crossterm::event::{Event, EventStream, KeyCode, KeyEvent, KeyEventKind, KeyModifiers};
use futures_util::StreamExt;
use gaparch_net::{Clock, Credentials, Incoming, OperationsAddress, OpsClient, OpsError};
use ratatui::DefaultTerminal;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{interval, sleep, sleep_until, Instant, MissedTickBehavior};

/// Between two looks at the clock.
const TICK: Duration = Duration::from_millis(250);
/// Before a connection is tried again.
const RETRY: Duration = Duration::from_millis(500);
/// Questions that wait for an answer.
const MOST_ASKED: usize = 32;
/// For the last frame to be drawn when the console is left; a terminal that is not read gets no more.
const LEAVE_WITHIN: Duration = Duration::from_millis(300);

/// Where the drawing thread finds what to draw. It holds one picture: an older one is replaced.
#[derive(Default)]
struct Easel {
    next: Mutex<(Option<Box<App>>, bool)>,
    changed: Condvar,
}

impl Easel {
    /// Whether the last picture has been taken: else the terminal is behind, and a newer one can wait.
    fn wants(&self) -> bool {
        self.next.lock().unwrap_or_else(PoisonError::into_inner).0.is_none()
    }

    fn put(&self, app: &App) {
        self.next.lock().unwrap_or_else(PoisonError::into_inner).0 = Some(Box::new(app.clone()));
        self.changed.notify_one();
    }

    fn close(&self) {
        self.next.lock().unwrap_or_else(PoisonError::into_inner).1 = true;
        self.changed.notify_one();
    }

    fn take(&self) -> Option<Box<App>> {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if next.1 {
                return None;
            }
            if let Some(app) = next.0.take() {
                return Some(app);
            }
            next = self.changed.wait(next).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

fn paint(easel: &Easel, mut terminal: DefaultTerminal, theme: Theme) {
    while let Some(app) = easel.take() {
        // A terminal that is gone is noticed where keys are read.
        if terminal.draw(|frame| draw(frame, &app, theme)).is_err() {
            return;
        }
    }
    ratatui::restore();
}

/// Runs the console until its operator leaves it, or its terminal is gone.
///
/// # Errors
/// When there is no terminal.
pub async fn run(place: OperationsAddress, credentials: Credentials) -> io::Result<()> {
    let terminal = ratatui::try_init()?;
    let easel = Arc::new(Easel::default());
    let theme = Theme::by_environment();
    let painter = {
        let easel = Arc::clone(&easel);
        std::thread::spawn(move || paint(&easel, terminal, theme))
    };
    let result = operate(&place, &credentials, &easel).await;
    easel.close();
    // Whoever does not read the terminal does not see it restored either.
    let began = std::time::Instant::now();
    while !painter.is_finished() && began.elapsed() < LEAVE_WITHIN {
        sleep(Duration::from_millis(10)).await;
    }
    result
}

async fn operate(place: &OperationsAddress, credentials: &Credentials, easel: &Easel) -> io::Result<()> {
    let mut app = App::default();
    let mut keys = EventStream::new();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let clock = Clock::default();
    let mut link = Link::Waiting(Instant::now());
    let mut asked: HashMap<u32, Tag> = HashMap::new();
    loop {
        if easel.wants() {
            easel.put(&app);
        }
        let mut effects = Vec::new();
        tokio::select! {
            key = keys.next() => match key {
                Some(Ok(Event::Key(key))) => effects = self::key(key).map(|key| app.key(key)).unwrap_or_default(),
                Some(Ok(_)) => {}
                // The terminal is gone.
                Some(Err(_)) | None => return Ok(()),
            },
            _ = ticks.tick() => effects = app.tick(clock.now()),
            news = link.next(place, credentials) => match news {
                Ok(News::Connected(client)) => {
                    asked.clear();
                    effects = app.link_up(client.role);
                    link = Link::Up(client);
                }
                Ok(News::Incoming(Incoming::Update(update))) => app.update(update),
                Ok(News::Incoming(Incoming::Answer { seq, answer })) => {
                    if let Some(tag) = asked.remove(&seq) {
                        app.answer(tag, answer);
                    }
                }
                Err(error) => {
                    app.link_down(error.to_string());
                    link = Link::Waiting(Instant::now() + RETRY);
                }
            },
        }
        for effect in effects {
            match effect {
                Effect::Quit => return Ok(()),
                Effect::Ask(tag, query) => {
                    let Link::Up(client) = &mut link else { continue };
                    // A router that answers nothing is asked for nothing more, but still given orders.
                    if asked.len() >= MOST_ASKED && !matches!(tag, Tag::Order(_)) {
                        continue;
                    }
                    match client.send(*query).await {
                        Ok(seq) => drop(asked.insert(seq, tag)),
                        Err(error) => {
                            app.link_down(error.to_string());
                            link = Link::Waiting(Instant::now() + RETRY);
                        }
                    }
                }
            }
        }
    }
}

type Connecting = Pin<Box<dyn Future<Output = Result<OpsClient, OpsError>> + Send>>;

/// The connection, through all its states; waiting is taken up where it was left.
enum Link {
    /// Until the next try.
    Waiting(Instant),
    Connecting(Connecting),
    Up(Box<OpsClient>),
}

enum News {
    Connected(Box<OpsClient>),
    Incoming(Incoming),
}

impl Link {
    /// What comes next; nothing is lost if the wait is given up.
    async fn next(&mut self, place: &OperationsAddress, credentials: &Credentials) -> Result<News, OpsError> {
        if let Link::Waiting(until) = self {
            sleep_until(*until).await;
            let (place, credentials) = (place.clone(), credentials.clone());
            *self = Link::Connecting(Box::pin(async move { OpsClient::connect(&place, &credentials).await }));
        }
        match self {
            Link::Up(client) => client.next().await.map(News::Incoming),
            Link::Connecting(connecting) => connecting.await.map(|client| News::Connected(Box::new(client))),
            Link::Waiting(_) => std::future::pending().await,
        }
    }
}

fn key(event: KeyEvent) -> Option<Key> {
    if event.kind == KeyEventKind::Release {
        return None;
    }
    Some(match event.code {
        KeyCode::Char('c') if event.modifiers.contains(KeyModifiers::CONTROL) => Key::Interrupt,
        KeyCode::Char(c) => Key::Char(c),
        KeyCode::Up => Key::Up,
        KeyCode::Down => Key::Down,
        KeyCode::PageUp => Key::PageUp,
        KeyCode::PageDown => Key::PageDown,
        KeyCode::Home => Key::Home,
        KeyCode::End => Key::End,
        KeyCode::Tab => Key::Tab,
        KeyCode::BackTab => Key::BackTab,
        KeyCode::Enter => Key::Enter,
        KeyCode::Esc => Key::Esc,
        KeyCode::Backspace => Key::Backspace,
        _ => return None,
    })
}
