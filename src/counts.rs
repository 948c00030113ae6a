//! Log format of counts by reason.

use std::fmt;

/// Writes `reason=count` pairs, separated by commas. Reasons with a count of 0 are omitted.
///
/// # Errors
/// Returns the error of the underlying writer.
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
