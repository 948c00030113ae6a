//! A seeded random number generator: the same seed gives the same sequence.

/// The SplitMix64 generator; the field is its state.
pub struct SplitMix64(pub u64);

impl SplitMix64 {
    /// The next number, uniform in [0, 1).
    pub fn next_unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The time in seconds to the next event of a Poisson process with that rate per second.
    pub fn exponential_interval(&mut self, rate: f64) -> f64 {
        -self.next_unit().max(1e-12).ln() / rate
    }
}
