//! Messages between routers.

use super::constants::*;
use super::Policy;
use crate::api::*;
use crate::state::*;

impl Policy {
    /// Tells the other routers what we hold, where no server does and as often as that is worth its price.
    pub(super) fn tell(&mut self) {
        let silent = || self.servers.values().all(|s| s.others.is_none());
        if !self.set.can_gossip
            || self.set.router_count < 2
            || self.now < self.told_at + TELL_EVERY
            || !silent()
        {
            return;
        }
        // A message has no room for all where there are many.
        let held = self.servers.values().map(|s| (s.id, s.held)).collect();
        let data = held_to_bytes(least_by(held, usize::MAX, |(_, held)| -held).into_iter());
        let price = self.set.gossip_cost * f64::from(self.set.router_count - 1) * data.len() as f64 / 256.0;
        // One that says nothing is no news, and costs its sending all the same.
        if self.purses[0] >= price && !data.is_empty() {
            self.purses[0] -= price;
            self.told_at = self.now;
            self.out.push(Action::SendGossip { peer: None, data });
        }
    }
}
