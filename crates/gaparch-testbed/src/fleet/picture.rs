//! Draws how each router saw the states of the others over a scenario.

use super::observations::{ProcessState, ViewSample};
use super::report::Report;
use crate::site::Site;
use gaparch_protocol::fleet::MemberState;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Display;

const WIDTH: u32 = 1200;
const LEFT: i32 = 150;
const ROW: i32 = 11;
const TOP: i32 = 62;
/// The longest gap between two samples, in seconds, that a bar continues over.
const MAX_SAMPLE_GAP_S: f64 = 0.7;

const ALIVE: RGBColor = RGBColor(120, 180, 120);
const SUSPECT: RGBColor = RGBColor(235, 190, 60);
const DEAD: RGBColor = RGBColor(200, 60, 50);
const LEFT_FLEET: RGBColor = RGBColor(140, 140, 190);
const ABSENT: RGBColor = RGBColor(235, 235, 235);
const STOPPED: RGBColor = RGBColor(90, 90, 90);

fn colour(state: Option<MemberState>) -> RGBColor {
    match state {
        Some(MemberState::Alive) => ALIVE,
        Some(MemberState::Suspect) => SUSPECT,
        Some(MemberState::Dead) => DEAD,
        Some(MemberState::Left) => LEFT_FLEET,
        None => ABSENT,
    }
}

/// Draws the scenario as an SVG: first the real process state of each router, then a block for each router
/// with one row per other member that it sees.
///
/// # Errors
/// When the drawing library fails.
pub fn draw(report: &Report) -> Result<String, String> {
    let mut svg = String::new();
    let routers =
        1 + report.observations.process_states.iter().map(|(_, router, _)| *router).max().unwrap_or(0);
    let rows = routers + routers * routers;
    let height = TOP as u32 + 60 + rows as u32 * ROW as u32;
    paint(report, routers, SVGBackend::with_string(&mut svg, (WIDTH, height))).map_err(|e| e.to_string())?;
    Ok(svg)
}

struct Canvas<'a> {
    area: DrawingArea<SVGBackend<'a>, plotters::coord::Shift>,
    seconds: f64,
}

impl Canvas<'_> {
    fn x(&self, seconds: f64) -> i32 {
        LEFT + ((f64::from(WIDTH) - f64::from(LEFT) - 20.0) * seconds / self.seconds) as i32
    }

    fn text(&self, at: (i32, i32), size: i32, text: impl Display) -> Result<(), Box<dyn std::error::Error>> {
        let style = ("sans-serif", size).into_font().color(&BLACK);
        Ok(self.area.draw(&Text::new(text.to_string(), at, style))?)
    }

    fn bar(&self, y: i32, from: f64, to: f64, colour: RGBColor) -> Result<(), Box<dyn std::error::Error>> {
        let (left, right) = (self.x(from), self.x(to).max(self.x(from) + 1));
        Ok(self.area.draw(&Rectangle::new([(left, y), (right, y + ROW - 2)], colour.filled()))?)
    }
}

fn paint(report: &Report, routers: usize, backend: SVGBackend<'_>) -> Result<(), Box<dyn std::error::Error>> {
    let area = backend.into_drawing_area();
    area.fill(&WHITE)?;
    let samples = &report.observations.samples;
    let seconds = samples.iter().map(|l| l.at.as_secs_f64()).fold(1.0, f64::max).ceil();
    let canvas = Canvas { area, seconds };
    canvas.text((10, 8), 16, format!("{}: {}", report.name, report.says))?;
    let names = [
        ("alive", ALIVE),
        ("suspect", SUSPECT),
        ("dead", DEAD),
        ("left", LEFT_FLEET),
        ("absent", ABSENT),
        ("stopped", STOPPED),
    ];
    for (n, (name, colour)) in names.into_iter().enumerate() {
        let x = LEFT + n as i32 * 110;
        canvas.area.draw(&Rectangle::new([(x, 34), (x + 14, 46)], colour.filled()))?;
        canvas.text((x + 20, 34), 13, name)?;
    }
    let mut y = TOP;
    canvas.text((10, y - 2), 12, "real state of")?;
    for router in 0..routers {
        canvas.text((LEFT - 24, y), 10, router)?;
        let mut lives: Vec<_> =
            report.observations.process_states.iter().filter(|(_, r, _)| *r == router).collect();
        lives.sort_by_key(|(at, ..)| *at);
        for (n, (at, _, process_state)) in lives.iter().enumerate() {
            let to = lives.get(n + 1).map_or(seconds, |(to, ..)| to.as_secs_f64());
            let colour = match process_state {
                ProcessState::Running => ALIVE,
                ProcessState::Stopped => STOPPED,
                ProcessState::Killed | ProcessState::Left => ABSENT,
            };
            canvas.bar(y, at.as_secs_f64(), to, colour)?;
        }
        y += ROW;
    }
    let mut by_router: BTreeMap<usize, Vec<&ViewSample>> = BTreeMap::new();
    samples.iter().for_each(|l| by_router.entry(l.router).or_default().push(l));
    for (router, samples) in &by_router {
        y += ROW;
        canvas.text((10, y), 12, format!("seen by router {router}"))?;
        for of in (0..routers).filter(|of| of != router) {
            canvas.text((LEFT - 24, y), 10, of)?;
            draw_intervals(samples, &Site::router_name(of), |from, to, state| {
                canvas.bar(y, from, to, colour(state))
            })?;
            y += ROW;
        }
    }
    let step = (seconds / 12.0).ceil().max(1.0);
    for n in 0..=(seconds / step) as i32 {
        let at = f64::from(n) * step;
        let x = canvas.x(at);
        canvas.area.draw(&PathElement::new([(x, TOP - 4), (x, y)], BLACK.mix(0.15)))?;
        canvas.text((x - 8, y + 8), 12, format!("{at:.0} s"))?;
    }
    canvas.area.present()?;
    Ok(())
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

/// Draws the intervals in which a router saw another one in the same state.
fn draw_intervals(
    samples: &[&ViewSample],
    of: &str,
    mut draw: impl FnMut(f64, f64, Option<MemberState>) -> Drawn,
) -> Drawn {
    let mut open: Option<(f64, f64, Option<MemberState>)> = None;
    for sample in samples {
        let at = sample.at.as_secs_f64();
        let state = sample.view.members.iter().find(|m| m.name == of).map(|m| m.state);
        match &mut open {
            Some((_, to, known)) if *known == state && at - *to < MAX_SAMPLE_GAP_S => *to = at,
            _ => {
                if let Some((from, to, known)) = open.take() {
                    // Extends to this sample, unless samples are missing in between.
                    draw(from, if at - to < MAX_SAMPLE_GAP_S { at } else { to }, known)?;
                }
                open = Some((at, at, state));
            }
        }
    }
    match open {
        Some((from, to, known)) => draw(from, to, known),
        None => Ok(()),
    }
}
