//! Pseudo-random numbers, reproducible from a seed.

/// A `SplitMix64` generator.
#[derive(Debug, Default)]
pub(super) struct Rng(u64);

impl Rng {
    /// Creates a generator from a seed.
    pub(super) const fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number.
    pub(super) const fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    /// Returns a number below `bound`, or zero when `bound` is zero.
    pub(super) const fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.next() % bound }
    }
}

/// Mixes the bits of a number, by the output function of `SplitMix64`.
pub(super) const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
