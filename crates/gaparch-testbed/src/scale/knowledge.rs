//! What routers know of a fleet that grows along one line, each by its own part of the traffic: what is served, the
//! busiest home, and what a dead, a slow and a cold worker cost.

use super::hollow::{play, settings, shape, Chooser, Day, Fault, Played, StruckAttempt};
use super::report::{Bound, Figure, Point, Way};
use super::{target, Row};

/// How long days are, in virtual seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    pub warm_up: f64,
    pub counted: f64,
}

/// Each figure of this row.
struct Figures {
    worth: Figure,
    sees_all: Figure,
    random: Figure,
    first_token: Figure,
    busiest: Figure,
    probes: Figure,
    dead_lost: Figure,
    dead_until: Figure,
    slow_share: Figure,
    cold: Figure,
}

impl Figures {
    fn new() -> Figures {
        let figure = |name, unit, budget| Figure::new(Row::Knowledge, name, unit, Way::HollowRouters, budget);
        let cold = figure("calls to a cold worker, of what it may get", "", Some(1.0));
        Figures {
            worth: figure("share of the worth that is served", "", None),
            sees_all: figure("the same by a choice that sees all", "", None),
            random: figure("the same by chance", "", None),
            first_token: figure("first token, 95 in 100", "s", Some(target::FIRST_TOKEN_S)),
            busiest: figure("reads of the busiest reader, of the mean", "", Some(1.5)),
            probes: figure("probes of a router", "/s", None),
            dead_lost: figure("attempts lost to a dead reader and writer", "", None),
            dead_until: figure("until 95 in 100 of those were made", "s", None),
            slow_share: figure("calls to a slow reader and writer, of the mean", "", None),
            cold: Figure { bound: Some(Bound::AtMost(1.0)), ..cold },
        }
    }

    fn into_all(self) -> Vec<Figure> {
        vec![
            self.worth,
            self.sees_all,
            self.random,
            self.first_token,
            self.busiest,
            self.probes,
            self.dead_lost,
            self.dead_until,
            self.slow_share,
            self.cold,
        ]
    }
}

/// The figures of this row: each size with each seed.
pub fn figures(sizes: &[usize], seeds: &[u64], span: Span, mut step: impl FnMut()) -> Vec<Figure> {
    let mut figures = Figures::new();
    for size in sizes {
        for seed in seeds {
            let day = Day { warm_up: span.warm_up, counted: span.counted, ..Day::of(shape(*size, *seed)) };
            let by = |chooser| Day { chooser, ..day };
            let with = |fault| Day { fault, ..day };
            let days = [
                day,
                by(Chooser::SeesAll),
                by(Chooser::Random),
                with(Fault::Dies),
                with(Fault::Slows),
                with(Fault::StartsCold),
            ];
            let [plain, sees_all, random, dies, slows, cold] = play_at_once(days);
            let point = |value| Point { size: *size, seed: *seed, value };
            figures.worth.points.push(point(plain.worth()));
            figures.sees_all.points.push(point(sees_all.worth()));
            figures.random.points.push(point(random.worth()));
            figures.first_token.points.push(point(plain.first_token_s(95.0)));
            figures.busiest.points.push(point(plain.busiest_reader()));
            let probes = plain.probes as f64 / day.shape.routers as f64 / span.counted;
            figures.probes.points.push(point(probes));
            figures.dead_lost.points.push(point(dies.struck.len() as f64));
            figures.dead_until.points.push(point(quantile(&dies.struck, 0.95)));
            figures.slow_share.points.push(point(slow_share(&slows)));
            figures.cold.points.push(point(cold_share(&cold, &day)));
            step();
        }
    }
    figures.into_all()
}

/// Plays days at once, on threads of their own.
fn play_at_once<const N: usize>(days: [Day; N]) -> [Played; N] {
    std::thread::scope(|all| {
        let playing = days.map(|day| all.spawn(move || play(day)));
        playing.map(|day| day.join().unwrap_or_default())
    })
}

fn quantile(struck: &[StruckAttempt], part: f64) -> f64 {
    let mut times: Vec<f64> = struck.iter().map(|attempt| attempt.after_s).collect();
    times.sort_by(f64::total_cmp);
    let at = ((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1));
    times.get(at).copied().unwrap_or(0.0)
}

/// Calls that the slow reader and writer got, as a share of what the mean of their role did.
pub fn slow_share(played: &Played) -> f64 {
    let mean = |all: &[u64]| all.iter().sum::<u64>() as f64 / all.len().max(1) as f64;
    let of = |reads: bool| played.struck.iter().filter(|attempt| attempt.reads == reads).count() as f64;
    (of(true) / mean(&played.reads).max(1e-9) + of(false) / mean(&played.writes).max(1e-9)) / 2.0
}

/// The largest share that a window of calls to a cold worker has of what it may get in it: N calls by its settings and
/// what chance may add.
pub fn cold_share(played: &Played, day: &Day) -> f64 {
    let set = settings(&day.shape, 0);
    let window = set.overload_window as f64 / 1e9;
    let mean = |all: &[u64]| all.iter().sum::<u64>() as f64 / all.len().max(1) as f64 / day.counted;
    let mut worst: f64 = 0.0;
    for (reads, warm) in [(true, mean(&played.reads)), (false, mean(&played.writes))] {
        let times: Vec<f64> = played.struck.iter().filter(|a| a.reads == reads).map(|a| a.after_s).collect();
        for (last, at) in times.iter().enumerate() {
            let from = (at - window).max(0.0);
            let calls = times[..=last].iter().filter(|time| **time >= from).count() as f64;
            let age = from / (set.slow_start_duration as f64 / 1e9);
            let share = set.slow_start_speed + (1.0 - set.slow_start_speed) * age.clamp(0.0, 1.0);
            worst = worst.max(calls / cold_bound(set.overload_factor * share * warm * window));
        }
    }
    worst
}

/// What chance may add to a budget of so many calls.
fn cold_bound(budget: f64) -> f64 {
    /// Calls, below which a budget has a bound of its own.
    const SMALL: f64 = 30.0;
    if budget < SMALL {
        budget + 3.0 * budget.sqrt() + 3.0
    } else {
        budget + 2.0 * budget.sqrt() + 2.0
    }
}
