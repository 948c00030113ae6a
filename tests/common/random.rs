//! Random numbers of which the same seed gives the same row.

/// SplitMix64.
pub struct Draws(pub u64);

impl Draws {
    /// The next one, from 0 up to but not including 1.
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The time to the next of so many events a second.
    pub fn gap(&mut self, rate: f64) -> f64 {
        -self.next().max(1e-12).ln() / rate
    }
}
