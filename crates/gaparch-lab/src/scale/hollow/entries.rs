//! The list and the settings of a hollow fleet.

use super::super::target;
use gaparch::api::{
    CellId, Class, Effect, Entry, Group, KindId, Nanos, Role, ServerId, ServerState, Settings, Tenant, ZoneId,
};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
/// Workers that share a fast link: four readers and eight writers.
const CELL: usize = 12;
/// Tokens of memory of a writer.
pub(super) const WRITER_MEMORY: f64 = 700_000.0;
/// Calls a second that a cold worker bears, as a share of a warm one's.
const COLD_FROM: f64 = 0.3;
/// The kinds of workers in the settings.
const READER: usize = 0;
const WRITER: usize = 1;

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
    /// Bytes that the state of all its routers takes, measured at 0.6 KB a worker and rounded up.
    pub fn memory(&self) -> u64 {
        const PER_WORKER: u64 = 1_024;
        const PER_ROUTER: u64 = 256 * 1_024;
        self.routers as u64 * (self.workers as u64 * PER_WORKER + PER_ROUTER)
    }
}

/// A worker's id from its number. Ids are digests of names: their order says nothing.
pub fn server_of(number: usize) -> ServerId {
    ServerId((number as u32).wrapping_add(1).wrapping_mul(2_654_435_761))
}

pub(super) fn is_reader(number: usize) -> bool {
    number.is_multiple_of(3)
}

pub(super) fn zone_of(number: usize, zones: usize) -> usize {
    number / CELL % zones
}

pub(super) fn cell_of(number: usize) -> u64 {
    (number / CELL) as u64
}

fn entry(number: usize, zones: usize) -> Entry {
    Entry {
        server: server_of(number),
        zone: Some(ZoneId(zone_of(number, zones))),
        kind: Some(KindId(if is_reader(number) { READER } else { WRITER })),
        cell: Some(CellId(cell_of(number))),
        state: ServerState::Ready,
        weight: Some(1.0),
        ready_at: None,
    }
}

/// The whole list.
pub fn list(shape: &Shape) -> Vec<Entry> {
    (0..shape.workers).map(|number| entry(number, shape.zones)).collect()
}

/// The settings of one router of the fleet, with what the platform allows in service: probes, no messages between
/// routers.
pub fn settings(shape: &Shape, me: usize) -> Settings {
    let class = Class {
        effect: Effect::Safe,
        group: Group::All,
        window: 0,
        aim: (target::FIRST_TOKEN_S * 1e9) as Nanos,
        aim_per_token: 0.0,
        deadline: 5 * S,
        token_aim: (target::TOKEN_GAP_MS * 1e6) as Nanos,
        worth: 1.0,
        late_worth: 0.1,
        streamed: true,
    };
    let tenant = Tenant { share: 1.0 / target::TENANTS as f64, quota_per_s: 0.0 };
    Settings {
        seed: shape.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ me as u64,
        me: me as u32,
        routers: shape.routers as u32,
        classes: vec![class],
        tenants: vec![tenant; target::TENANTS],
        roles: vec![Role::Read, Role::Write],
        memory: vec![WRITER_MEMORY, WRITER_MEMORY],
        release_within: 2 * S,
        cancel: true,
        probes: true,
        max_attempts: 4,
        connect_timeout: 250 * MS,
        drain_grace: 500 * MS,
        cold_from: COLD_FROM,
        cold: 10 * S,
        fall_multiple: 2.5,
        fall: 2 * S,
        probe_price: 0.003,
        ..Settings::default()
    }
}
