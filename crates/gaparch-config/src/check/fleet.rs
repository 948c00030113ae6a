//! Membership among the routers of a site.

use super::Check;
use crate::config::Fleet;
use crate::raw;
use crate::units::Span;

/// Maximum number of bytes per second that a router may send to the others. In each probe period it sends
/// about four datagrams of at most 1,200 bytes: those of its own probe, and as many for routers that probe
/// it.
const FLEET_BYTES_PER_S: u64 = 65_536;
/// Number of probe periods in which a router learns which version of the endpoint list some others have.
const CONFIRM_PERIODS: u64 = 5;
/// Minimum probe period: with a shorter one a router would exceed its bytes per second.
const MIN_PERIOD: Span = Span::millis(80);
/// Maximum probe period: with a longer one a dead router would be detected only after minutes.
const MAX_PERIOD: Span = Span::secs(10);

impl Check<'_> {
    pub(super) fn fleet(&mut self, raw: &raw::Fleet, all: &raw::Gaparch) -> Option<Fleet> {
        if all.operations.is_none() {
            let message = "requires <operations>: the state folder stores how often this router was started";
            self.report("fleet", 0, "listen", message);
        }
        let listen = self.address("fleet", 0, &raw.listen);
        let address = match &raw.address {
            Some(address) => self.address("fleet", 0, address),
            None => listen,
        };
        if address.is_some_and(|a| a.ip().is_unspecified() || a.port() == 0) {
            let message =
                "other routers can't send to this: specify the address and port that reach this router";
            self.report("fleet", 0, if raw.address.is_some() { "address" } else { "listen" }, message);
        }
        if raw.period < MIN_PERIOD {
            let min_ms = MIN_PERIOD.0 / 1_000_000;
            let message = format!(
                "below {min_ms}ms a router would exceed its limit of {FLEET_BYTES_PER_S} bytes per second, \
                 whatever the number of routers"
            );
            self.report("fleet", 0, "period", message);
        }
        if raw.period > MAX_PERIOD {
            self.report("fleet", 0, "period", "above 10s a dead router would be detected only after minutes");
        }
        let longest_deadline = all.classes.class.iter().map(|c| c.deadline).max().unwrap_or_default();
        let min_hold = longest_deadline.max(all.rules.fall);
        if raw.hold < min_hold {
            let message = format!(
                "must be at least {} ms: the longest deadline or 'fall' of the rules, during which the load \
                 that a dead router sent still counts",
                min_hold.0 / 1_000_000
            );
            self.report("fleet", 0, "hold", message);
        }
        if let Some(confirm) = raw.confirm {
            let min_confirm = Span(raw.period.0.saturating_mul(CONFIRM_PERIODS));
            if confirm < min_confirm {
                let message = format!(
                    "must be at least {} ms, {CONFIRM_PERIODS} periods: a router learns no sooner which list \
                     version others have",
                    min_confirm.0 / 1_000_000
                );
                self.report("fleet", 0, "confirm", message);
            }
            if all.list.is_none() {
                let message =
                    "requires <list>: without a list service no router has a newer list than the settings";
                self.report("fleet", 0, "confirm", message);
            }
        }
        let mut seeds = Vec::new();
        for (n, seed) in raw.seed.iter().enumerate() {
            seeds.extend(self.address("seed", n, &seed.address));
        }
        if seeds.is_empty() && all.router.routers > 1 {
            let message = "requires a <seed>: without one, this router and the others never find one another";
            self.report("fleet", 0, "listen", message);
        }
        Some(Fleet {
            listen: listen?,
            address: address?,
            key_file: raw.key_file.clone().into(),
            seeds,
            period: raw.period.0,
            hold: raw.hold.0,
            confirm: raw.confirm.map(|c| c.0),
            refined: raw.refined,
        })
    }
}
