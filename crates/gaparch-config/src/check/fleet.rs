//! Membership among the routers of a site.

use super::Check;
use crate::config::Fleet;
use crate::raw;
use crate::units::Span;

/// Bytes per second that a router may send to the others: a probe each period, its answer, and as many to others that
/// probe it, some four datagrams of 1,200 bytes at most.
const FLEET_BYTES_PER_S: u64 = 65_536;
/// Probe periods in which a router learns which version of the endpoint list some of the others hold.
const CONFIRM_PERIODS: u64 = 5;
/// Shortest probe period: with a shorter one a router would exceed its bytes per second.
const MIN_PERIOD: Span = Span::millis(80);
/// Longest probe period: with a longer one a dead router would be noticed after minutes.
const MAX_PERIOD: Span = Span::secs(10);

impl Check<'_> {
    pub(super) fn fleet(&mut self, raw: &raw::Fleet, all: &raw::Gaparch) -> Option<Fleet> {
        if all.operations.is_none() {
            let message = "wants <operations>: the state folder keeps how often this router was started";
            self.wrong("fleet", 0, "listen", message);
        }
        let listen = self.address("fleet", 0, &raw.listen);
        let address = match &raw.address {
            Some(address) => self.address("fleet", 0, address),
            None => listen,
        };
        if address.is_some_and(|a| a.ip().is_unspecified() || a.port() == 0) {
            let message =
                "the others can't send to that: name the address and the port that reach this router";
            self.wrong("fleet", 0, if raw.address.is_some() { "address" } else { "listen" }, message);
        }
        if raw.period < MIN_PERIOD {
            let needed = MIN_PERIOD.0 / 1_000_000;
            let message = format!(
                "at less than {needed}ms a router would have to send more than the {FLEET_BYTES_PER_S} bytes a second \
                 that it may, whatever the number of routers"
            );
            self.wrong("fleet", 0, "period", message);
        }
        if raw.period > MAX_PERIOD {
            self.wrong("fleet", 0, "period", "at more than 10s a dead router would be noticed after minutes");
        }
        let longest = all.classes.class.iter().map(|c| c.deadline).max().unwrap_or_default();
        let least = longest.max(all.rules.fall);
        if raw.hold < least {
            let message = format!(
                "{} ms at least: the longest deadline or the time of a fall, in which what a dead router sent still counts",
                least.0 / 1_000_000
            );
            self.wrong("fleet", 0, "hold", message);
        }
        if let Some(confirm) = raw.confirm {
            let least = Span(raw.period.0.saturating_mul(CONFIRM_PERIODS));
            if confirm < least {
                let message = format!(
                    "{} ms at least, {CONFIRM_PERIODS} periods: what others hold is not told faster",
                    least.0 / 1_000_000
                );
                self.wrong("fleet", 0, "confirm", message);
            }
            if all.list.is_none() {
                let message =
                    "wants <list>: with no list service nobody knows a newer list than the settings'";
                self.wrong("fleet", 0, "confirm", message);
            }
        }
        let mut seeds = Vec::new();
        for (n, seed) in raw.seed.iter().enumerate() {
            seeds.extend(self.address("seed", n, &seed.address));
        }
        if seeds.is_empty() && all.router.routers > 1 {
            let message = "<seed> is wanted: with none this router and the others never find one another";
            self.wrong("fleet", 0, "listen", message);
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
