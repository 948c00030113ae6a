//! A scripted session: a site on loopback, load, and an operator who drains an engine, reads why a request was
//! refused, has the console killed under the hands, and goes on in another.

use crate::load::Question;
use crate::record::{Ask, End};
use crate::site::{Plan, Site, SiteError};
use crate::terminal::{Piece, Terminal, TerminalError};
use gaparch_engine::Fault;
use std::path::Path;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::time::sleep;

/// Each thing that is waited for has so long.
const WITHIN: Duration = Duration::from_secs(30);
/// The load ends after this at the latest.
const MOST: Duration = Duration::from_secs(120);

#[derive(Debug, Error)]
pub enum DemoError {
    #[error(transparent)]
    Site(#[from] SiteError),
    #[error(transparent)]
    Terminal(#[from] TerminalError),
    #[error("{0}")]
    Wrong(String),
}

/// How the session is played.
#[derive(Clone, Copy, Debug)]
pub struct Session {
    pub size: (u16, u16),
    /// Between two things that the operator does, so that people can follow.
    pub pause: Duration,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Played {
    /// What the operator did and saw, a line each.
    pub steps: Vec<String>,
    /// All that was drawn.
    pub pieces: Vec<Piece>,
    pub requests: usize,
    pub served: usize,
    /// From the key press to the console's word that the drain is kept.
    pub drain_shown: Duration,
}

/// The arguments with which a console comes in at a router of a site.
fn console(site: &Site) -> Result<Vec<String>, DemoError> {
    let socket = site.router(0).and_then(|r| r.operations_socket());
    let socket = socket.ok_or_else(|| DemoError::Wrong("the router has no local socket".to_owned()))?;
    let socket = socket.display().to_string();
    Ok(["console", "--socket", &socket, "--who", "night"].map(str::to_owned).to_vec())
}

/// Plays the session with the program's own console. `seen` gets what is drawn, as it comes.
///
/// # Errors
/// When something that should be on the screen does not come; the screen is in the error.
pub async fn play(
    program: &Path,
    session: Session,
    seen: impl Fn(&[u8]) + Clone + Send + 'static,
) -> Result<Played, DemoError> {
    let site = Site::start(Plan { operations: true, ..Plan::small(2, 3) }).await?;
    site.settle().await;
    let began = Instant::now();
    let mut played = Played::default();
    let load = load(&site);
    let operator = async {
        let mut terminal = Terminal::start(program, &console(&site)?, session.size, began, seen.clone())?;
        let done = operate(&site, &mut terminal, session, &mut played).await;
        played.pieces.extend(terminal.pieces());
        done?;
        // The console is killed; the router does not care.
        terminal.kill();
        played.steps.push("the console is killed, and another is started".to_owned());
        let mut terminal = Terminal::start(program, &console(&site)?, session.size, began, seen)?;
        let done = go_on(&mut terminal, session, &mut played).await;
        played.pieces.extend(terminal.pieces());
        done
    };
    tokio::pin!(load);
    let result = tokio::select! {
        result = operator => result,
        _ = &mut load => Err(DemoError::Wrong("it took longer than the load lasts".to_owned())),
    };
    result?;
    let ends = site.record.entries();
    let ended = |wanted: fn(&End) -> bool| {
        let of = |e: &&crate::record::Entry| matches!(&e.what, crate::record::What::Ended { end, .. } if wanted(end));
        ends.iter().filter(of).count()
    };
    played.requests = ended(|_| true);
    played.served = ended(|end| matches!(end, End::Served { .. }));
    Ok(played)
}

async fn load(site: &Site) {
    let questions: Vec<Question> = (0..)
        .take(usize::try_from(MOST.as_millis() / 25).unwrap_or(0))
        .map(|n| Question { ask: Ask(n), ..site.question(n, 30) })
        .collect();
    site.ask_all(questions, Duration::from_millis(25)).await;
}

async fn operate(
    site: &Site,
    terminal: &mut Terminal,
    session: Session,
    played: &mut Played,
) -> Result<(), DemoError> {
    let did = |played: &mut Played, what: &str| played.steps.push(what.to_owned());
    terminal.wait_for("streaming", WITHIN).await?;
    terminal.wait_for("engines: 5 of 5", WITHIN).await?;
    did(played, "the overview shows five engines as they should be");
    sleep(session.pause).await;
    terminal.press("2")?;
    terminal.wait_for("avoided", WITHIN).await?;
    sleep(session.pause).await;
    // The writers come after the two readers.
    terminal.press("jjj")?;
    sleep(session.pause).await;
    terminal.press("d")?;
    terminal.wait_for("Drain write-1", WITHIN).await?;
    terminal.press("its fan is loud")?;
    sleep(session.pause).await;
    let pressed = Instant::now();
    terminal.press("\r")?;
    terminal.wait_for("kept: write-1 gets nothing new", WITHIN).await?;
    played.drain_shown = pressed.elapsed();
    terminal.wait_for("drained", WITHIN).await?;
    did(played, "write-1 is drained, and that is kept");
    sleep(session.pause).await;
    // The writers that are left turn requests away for a while.
    for engine in ["write-0", "write-2"] {
        site.fault(engine, Fault::FullToClass(Some(0))).await;
    }
    terminal.press("4")?;
    terminal.wait_for("  question  ", WITHIN).await?;
    for engine in ["write-0", "write-2"] {
        site.fault(engine, Fault::FullToClass(None)).await;
    }
    sleep(session.pause).await;
    terminal.press("\r")?;
    terminal.wait_for("msg_", WITHIN).await?;
    sleep(session.pause).await;
    terminal.press("\r")?;
    terminal.wait_for("why:", WITHIN).await?;
    terminal.wait_for("the engines then:", WITHIN).await?;
    did(played, "a refused request tells why, and how the engines looked then");
    sleep(session.pause * 2).await;
    Ok(())
}

async fn go_on(terminal: &mut Terminal, session: Session, played: &mut Played) -> Result<(), DemoError> {
    terminal.wait_for("drained", WITHIN).await?;
    played.steps.push("the new console shows write-1 still drained".to_owned());
    sleep(session.pause).await;
    terminal.press("2")?;
    terminal.wait_for("avoided", WITHIN).await?;
    terminal.press("jjj")?;
    sleep(session.pause).await;
    terminal.press("u")?;
    terminal.wait_for("Undrain write-1", WITHIN).await?;
    terminal.press("quiet again\r")?;
    terminal.wait_for("kept: write-1 is what the list says again", WITHIN).await?;
    played.steps.push("write-1 is undrained".to_owned());
    sleep(session.pause).await;
    terminal.press("6")?;
    terminal.wait_for("its fan is loud", WITHIN).await?;
    played.steps.push("the events tell who did what, and why".to_owned());
    sleep(session.pause).await;
    terminal.press("q")?;
    match terminal.ended(WITHIN).await {
        true => Ok(()),
        false => Err(DemoError::Wrong("the console does not end when it is left".to_owned())),
    }
}
