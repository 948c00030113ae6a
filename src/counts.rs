//! How counts by reason are told in the log.

use std::fmt;

/// Writes `reason=count` pairs with commas between, those that are 0 left out.
///
/// # Errors
/// When the formatter's target fails.
pub fn write_counts<'a>(
    f: &mut fmt::Formatter<'_>,
    counts: impl Iterator<Item = (&'a str, u64)>,
) -> fmt::Result {
    for (number, (reason, count)) in counts.filter(|(_, count)| *count > 0).enumerate() {
        write!(f, "{}{reason}={count}", if number > 0 { "," } else { "" })?;
    }
    Ok(())
}
