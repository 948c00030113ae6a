//! Load, faults and the checker of the rules (begun).
