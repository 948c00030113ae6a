//! The list and the settings of a hollow fleet.

use super::super::{layout, settings as platform_settings, target};
use gaparch_platform_settings::PlatformSettings;
use gaparch_scheduler::api::{CellId, Endpoint, KindId, ServerId, ServerState, Settings, ZoneId};

/// Size and seed of a hollow fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    pub routers: usize,
    pub workers: usize,
    pub zones: usize,
    pub seed: u64,
}

/// The fleet of so many workers on the line to the target.
pub fn shape(workers: usize, seed: u64) -> Shape {
    let zones = (workers * target::ZONES).div_ceil(target::WORKERS).clamp(2, target::ZONES);
    Shape { routers: target::routers_for(workers), workers, zones, seed }
}

impl Shape {
    /// Bytes that the state of all its routers takes: a run of 325 routers before 2,500 workers had 667 MB, some 0.8 KB a
    /// worker and router.
    pub fn memory(&self) -> u64 {
        const PER_WORKER: u64 = 1_024;
        const PER_ROUTER: u64 = 256 * 1_024;
        self.routers as u64 * (self.workers as u64 * PER_WORKER + PER_ROUTER)
    }
}

/// A worker's id from its number.
pub fn server_of(number: usize) -> ServerId {
    ServerId(layout::digest(number))
}

fn entry(number: usize, zones: usize) -> Endpoint {
    Endpoint {
        server: server_of(number),
        zone: Some(ZoneId(layout::zone_of(number, zones))),
        kind: Some(KindId(layout::kind_of(number))),
        cell: Some(CellId(layout::cell_of(number) as u64)),
        state: ServerState::Ready,
        weight: Some(1.0),
        started_at: None,
    }
}

/// The whole list.
pub fn list(shape: &Shape) -> Vec<Endpoint> {
    (0..shape.workers).map(|number| entry(number, shape.zones)).collect()
}

/// The settings of one router of the fleet, as a router in service reads them.
pub fn settings(shape: &Shape, me: usize) -> Settings {
    let seed = shape.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ me as u64;
    PlatformSettings::read(&platform_settings::of_router(me, shape.routers, shape.zones), seed).scheduler
}
