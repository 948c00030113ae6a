//! What other routers tell that they hold.

use crate::api::{Nanos, ServerId};
use std::collections::BTreeMap;

/// What other routers told that they hold, by router and in all.
#[derive(Clone, Debug, Default)]
pub struct Told {
    by_router: BTreeMap<u32, (Nanos, BTreeMap<ServerId, f64>)>,
    pub all: BTreeMap<ServerId, f64>,
}

impl Told {
    pub fn hear(&mut self, now: Nanos, from: u32, held: BTreeMap<ServerId, f64>) {
        held.iter().for_each(|(server, held)| *self.all.entry(*server).or_default() += held);
        let old = self.by_router.insert(from, (now, held));
        self.take_off(old.into_iter().collect());
    }

    /// Forgets what is older than `from`.
    pub fn forget(&mut self, from: Nanos) {
        let is_old = |t: &(Nanos, BTreeMap<ServerId, f64>)| t.0 < from;
        let old: Vec<u32> = self.by_router.iter().filter(|(_, t)| is_old(t)).map(|(r, _)| *r).collect();
        let old = old.iter().filter_map(|router| self.by_router.remove(router)).collect();
        self.take_off(old);
    }

    fn take_off(&mut self, old: Vec<(Nanos, BTreeMap<ServerId, f64>)>) {
        for (server, held) in old.iter().flat_map(|t| &t.1) {
            self.all.entry(*server).and_modify(|all| *all = (*all - held).max(0.0));
        }
    }

    pub fn routers(&self) -> f64 {
        self.by_router.len() as f64
    }
}

/// Tokens in one unit of a message between routers.
const UNIT: f64 = 16.0;
/// The most that one message holds.
const MESSAGE: usize = 256;

/// What a router holds at each server: four bytes for the server, two for the amount.
pub fn held_to_bytes(held: impl Iterator<Item = (ServerId, f64)>) -> Vec<u8> {
    let some = held.filter(|(_, held)| *held >= UNIT);
    let entry = |(server, held): (ServerId, f64)| {
        let units = (held / UNIT).min(f64::from(u16::MAX)) as u16;
        server.0.to_le_bytes().into_iter().chain(units.to_le_bytes())
    };
    some.take(MESSAGE / 6).flat_map(entry).collect()
}

pub fn held_from_bytes(data: &[u8]) -> BTreeMap<ServerId, f64> {
    let entry = |e: &[u8]| {
        let server = ServerId(u32::from_le_bytes([e[0], e[1], e[2], e[3]]));
        (server, f64::from(u16::from_le_bytes([e[4], e[5]])) * UNIT)
    };
    data.chunks_exact(6).map(entry).collect()
}
