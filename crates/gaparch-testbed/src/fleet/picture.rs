//! Draws who thought what of whom over a day.

use super::observations::{Life, Look};
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
/// Between two looks at most, for one colour to go on.
const GAP: f64 = 0.7;

const ALIVE: RGBColor = RGBColor(120, 180, 120);
const SUSPECT: RGBColor = RGBColor(235, 190, 60);
const DEAD: RGBColor = RGBColor(200, 60, 50);
const LEFT_IT: RGBColor = RGBColor(140, 140, 190);
const AWAY: RGBColor = RGBColor(235, 235, 235);
const STOPPED: RGBColor = RGBColor(90, 90, 90);

fn colour(state: Option<MemberState>) -> RGBColor {
    match state {
        Some(MemberState::Alive) => ALIVE,
        Some(MemberState::Suspect) => SUSPECT,
        Some(MemberState::Dead) => DEAD,
        Some(MemberState::Left) => LEFT_IT,
        None => AWAY,
    }
}

/// The day as a picture (SVG): first what became of each router, then a block for each, with a line for each other one
/// that it sees.
///
/// # Errors
/// What the drawing library says.
pub fn draw(report: &Report) -> Result<String, String> {
    let mut svg = String::new();
    let routers = 1 + report.seen.lives.iter().map(|(_, router, _)| *router).max().unwrap_or(0);
    let rows = routers + routers * routers;
    let height = TOP as u32 + 60 + rows as u32 * ROW as u32;
    paint(report, routers, SVGBackend::with_string(&mut svg, (WIDTH, height))).map_err(|e| e.to_string())?;
    Ok(svg)
}

struct Paper<'a> {
    area: DrawingArea<SVGBackend<'a>, plotters::coord::Shift>,
    seconds: f64,
}

impl Paper<'_> {
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
    let looks = &report.seen.looks;
    let seconds = looks.iter().map(|l| l.at.as_secs_f64()).fold(1.0, f64::max).ceil();
    let paper = Paper { area, seconds };
    paper.text((10, 8), 16, format!("{}: {}", report.name, report.says))?;
    let names = [
        ("alive", ALIVE),
        ("suspect", SUSPECT),
        ("dead", DEAD),
        ("left", LEFT_IT),
        ("not there", AWAY),
        ("stopped", STOPPED),
    ];
    for (n, (name, colour)) in names.into_iter().enumerate() {
        let x = LEFT + n as i32 * 110;
        paper.area.draw(&Rectangle::new([(x, 34), (x + 14, 46)], colour.filled()))?;
        paper.text((x + 20, 34), 13, name)?;
    }
    let mut y = TOP;
    paper.text((10, y - 2), 12, "what was done to")?;
    for router in 0..routers {
        paper.text((LEFT - 24, y), 10, router)?;
        let mut lives: Vec<_> = report.seen.lives.iter().filter(|(_, r, _)| *r == router).collect();
        lives.sort_by_key(|(at, ..)| *at);
        for (n, (at, _, life)) in lives.iter().enumerate() {
            let to = lives.get(n + 1).map_or(seconds, |(to, ..)| to.as_secs_f64());
            let colour = match life {
                Life::Running => ALIVE,
                Life::Stopped => STOPPED,
                Life::Killed | Life::Left => AWAY,
            };
            paper.bar(y, at.as_secs_f64(), to, colour)?;
        }
        y += ROW;
    }
    let mut by_router: BTreeMap<usize, Vec<&Look>> = BTreeMap::new();
    looks.iter().for_each(|l| by_router.entry(l.router).or_default().push(l));
    for (router, looks) in &by_router {
        y += ROW;
        paper.text((10, y), 12, format!("as router {router} sees"))?;
        for of in (0..routers).filter(|of| of != router) {
            paper.text((LEFT - 24, y), 10, of)?;
            stretches(looks, &Site::router_name(of), |from, to, state| {
                paper.bar(y, from, to, colour(state))
            })?;
            y += ROW;
        }
    }
    let step = (seconds / 12.0).ceil().max(1.0);
    for n in 0..=(seconds / step) as i32 {
        let at = f64::from(n) * step;
        let x = paper.x(at);
        paper.area.draw(&PathElement::new([(x, TOP - 4), (x, y)], BLACK.mix(0.15)))?;
        paper.text((x - 8, y + 8), 12, format!("{at:.0} s"))?;
    }
    paper.area.present()?;
    Ok(())
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

/// Stretches in which one thought the same of another.
fn stretches(
    looks: &[&Look],
    of: &str,
    mut draw: impl FnMut(f64, f64, Option<MemberState>) -> Drawn,
) -> Drawn {
    let mut open: Option<(f64, f64, Option<MemberState>)> = None;
    for look in looks {
        let at = look.at.as_secs_f64();
        let state = look.view.members.iter().find(|m| m.name == of).map(|m| m.state);
        match &mut open {
            Some((_, to, known)) if *known == state && at - *to < GAP => *to = at,
            _ => {
                if let Some((from, to, known)) = open.take() {
                    // Up to this look, unless nobody looked in between.
                    draw(from, if at - to < GAP { at } else { to }, known)?;
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
