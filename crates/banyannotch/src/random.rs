//! Seeded random numbers for policies, so that the same seed gives the same decisions.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Deterministic random number generator of one policy.
#[derive(Clone, Debug)]
pub struct Random(SmallRng);

impl Random {
    /// Creates a generator from a seed.
    pub fn seeded(seed: u64) -> Self {
        Self(SmallRng::seed_from_u64(seed))
    }

    /// Returns a number below `bound`, or 0 when `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 { 0 } else { self.0.random_range(0..bound) }
    }

    /// Returns 128 random bits, for identifiers.
    pub fn bits(&mut self) -> u128 {
        self.0.random()
    }

    /// Returns 64 random bits, for seeds.
    pub fn word(&mut self) -> u64 {
        self.0.random()
    }

    /// Returns a number in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }
}

/// Mixes the bits of a word with one step of SplitMix64, for hashes that are the same in every process.
pub fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
