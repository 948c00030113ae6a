//! Durations and sizes with a unit, as written in the settings.

use gaparch_scheduler::api::Nanos;
use serde::{de, Deserialize, Deserializer};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A duration, such as `250ms`, `1.5s` or `2m`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Nanos);

/// A number of bytes, such as `4096`, `64KiB` or `4MiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub usize);

/// A text that is not a number with a known unit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not a number with a known unit")]
pub struct UnitError(String);

impl Span {
    /// Creates a span of this many milliseconds.
    pub const fn millis(ms: u64) -> Span {
        Span(ms * 1_000_000)
    }

    /// Creates a span of this many seconds.
    pub const fn secs(s: u64) -> Span {
        Span(s * 1_000_000_000)
    }

    /// Returns the span as a standard duration.
    pub fn duration(self) -> Duration {
        Duration::from_nanos(self.0)
    }
}

impl FromStr for Span {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Span, UnitError> {
        let error = || UnitError(text.to_owned());
        let unit_start = text.find(|c: char| c.is_ascii_alphabetic()).ok_or_else(error)?;
        let (number, unit) = text.split_at(unit_start);
        let number: f64 = number.parse().map_err(|_| error())?;
        let scale = match unit {
            "us" => 1e3,
            "ms" => 1e6,
            "s" => 1e9,
            "m" => 60e9,
            "h" => 3600e9,
            _ => return Err(error()),
        };
        let nanos = number * scale;
        match nanos.is_finite() && (0.0..1e18).contains(&nanos) {
            true => Ok(Span(nanos.round() as Nanos)),
            false => Err(error()),
        }
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (scale, unit) = match self.0 {
            n if n >= 1_000_000_000 => (1e9, "s"),
            n if n >= 1_000_000 => (1e6, "ms"),
            _ => (1e3, "us"),
        };
        write!(f, "{}{unit}", self.0 as f64 / scale)
    }
}

impl FromStr for Bytes {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Bytes, UnitError> {
        let (number, scale) = match (text.strip_suffix("KiB"), text.strip_suffix("MiB")) {
            (Some(number), _) => (number, 1 << 10),
            (_, Some(number)) => (number, 1 << 20),
            _ => (text, 1),
        };
        let bytes = number.parse::<usize>().ok().and_then(|n| n.checked_mul(scale));
        bytes.map(Bytes).ok_or_else(|| UnitError(text.to_owned()))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Span, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(de::Error::custom)
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(de::Error::custom)
    }
}
