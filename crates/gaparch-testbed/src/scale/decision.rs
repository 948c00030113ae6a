//! What the module's decisions take, by the number of workers: one router with its part of the peak.

use super::hollow::{list, play, settings, Day, Shape};
use super::report::{Figure, Point, Way};
use super::{target, Row};
use gaparch_scheduler::api::{Endpoint, EndpointUpdate, Event, Nanos, ServerState, ZoneId};
use gaparch_scheduler::policy::Policy;
use std::time::Instant;

const S: Nanos = 1_000_000_000;
/// Virtual seconds: to fill the tables, and counted.
const WARM_UP_S: f64 = 10.0;
const COUNTED_S: f64 = 20.0;
/// Each whole list and lost zone is timed so often; the median counts.
const TURNS: usize = 5;

/// The figures of this row.
pub fn figures(sizes: &[usize], zones: usize, seed: u64, mut step: impl FnMut()) -> Vec<Figure> {
    let figure = |name, unit, budget| Figure::new(Row::Decision, name, unit, Way::HollowRouters, budget);
    let gap = Some(target::TOKEN_GAP_MS);
    let mut request = figure("all events of a request", "ms", None);
    let mut core =
        figure("share of a core at a router's part of the peak", "", Some(target::ROUTER_CORE_SHARE));
    let mut event = figure("longest event besides lists", "ms", Some(2.0));
    let mut whole = figure("a whole list", "ms", gap);
    let mut zone = figure("a zone gone at once", "ms", gap);
    let mut change = figure("one change of the list", "ms", Some(2.0));
    for size in sizes {
        let shape = Shape { routers: 1, workers: *size, zones, seed };
        let day = Day {
            per_s: target::requests_per_router(),
            warm_up: WARM_UP_S,
            counted: COUNTED_S,
            ..Day::of(shape)
        };
        let played = play(day);
        let a_request = played.module_ns as f64 / 1e6 / played.asked.max(1) as f64;
        let lists = time_lists(&shape);
        let point = |value| Point { size: *size, seed, value };
        request.points.push(point(a_request));
        core.points.push(point(a_request / 1e3 * target::requests_per_router()));
        event.points.push(point(played.worst_event_ns as f64 / 1e6));
        whole.points.push(point(lists.whole));
        zone.points.push(point(lists.zone_gone));
        change.points.push(point(lists.change));
        step();
    }
    vec![request, core, event, whole, zone, change]
}

/// Milliseconds of the module, medians.
struct ListTimes {
    whole: f64,
    zone_gone: f64,
    change: f64,
}

fn time_lists(shape: &Shape) -> ListTimes {
    let entries = list(shape);
    let with_state = |of: &[Endpoint], state| -> Vec<Endpoint> {
        of.iter().map(|entry| Endpoint { state, ..entry.clone() }).collect()
    };
    let in_zone: Vec<Endpoint> = entries.iter().filter(|e| e.zone == Some(ZoneId(0))).cloned().collect();
    let (mut whole, mut zone_gone, mut change) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..TURNS {
        let mut module = Policy::new(settings(shape, 0));
        whole.push(time(&mut module, EndpointUpdate::Full, entries.clone()));
        let one = with_state(&entries[entries.len() / 2..=entries.len() / 2], ServerState::Draining);
        change.push(time(&mut module, EndpointUpdate::Delta, one));
        zone_gone.push(time(&mut module, EndpointUpdate::Delta, with_state(&in_zone, ServerState::Removed)));
    }
    ListTimes { whole: median(whole), zone_gone: median(zone_gone), change: median(change) }
}

fn time(module: &mut Policy, kind: EndpointUpdate, entries: Vec<Endpoint>) -> f64 {
    let event = Event::EndpointsChanged { update: kind, endpoints: entries.into() };
    let began = Instant::now();
    module.handle(100 * S, event);
    began.elapsed().as_secs_f64() * 1e3
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all[all.len() / 2]
}
