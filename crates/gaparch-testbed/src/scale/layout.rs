//! How the numbered workers of a site are laid out, real and hollow alike: cells of four readers and eight writers, one
//! zone's cell after the other's.

/// Workers that share a cell.
const CELL: usize = 12;
/// The kinds of workers, by their index in the settings.
pub const KINDS: [&str; 2] = ["prefill", "decode"];

/// Every third worker reads.
pub fn is_reader(number: usize) -> bool {
    number.is_multiple_of(3)
}

/// Index of its kind.
pub fn kind_of(number: usize) -> usize {
    usize::from(!is_reader(number))
}

pub fn cell_of(number: usize) -> usize {
    number / CELL
}

pub fn zone_of(number: usize, zones: usize) -> usize {
    cell_of(number) % zones
}

/// Digests that differ for each number, and whose order says nothing.
pub fn digest(number: usize) -> u32 {
    (number as u32).wrapping_add(1).wrapping_mul(2_654_435_761)
}

pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}
