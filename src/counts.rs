//! How counts by reason are written in logs.

use std::fmt;

/// Writes `reason=count` pairs, separated by commas; those with a count of 0 are left out.
///
/// # Errors
/// When the formatter's target fails.
pub fn write_counts<'a>(
    f: &mut fmt::Formatter<'_>,
    counts: impl Iterator<Item = (&'a str, u64)>,
) -> fmt::Result {
    let mut separator = "";
    for (reason, count) in counts.filter(|(_, count)| *count > 0) {
        write!(f, "{separator}{reason}={count}")?;
        separator = ",";
    }
    Ok(())
}
