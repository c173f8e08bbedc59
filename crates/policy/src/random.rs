//! A seeded random number generator.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// A deterministic random number generator: the same seed gives the same sequence.
#[derive(Clone, Debug)]
pub struct SeededRandom(Pcg64Mcg);

impl SeededRandom {
    /// Creates a generator from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns a uniform number below `bound`, or 0 if the bound is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 { 0 } else { self.0.random_range(0..bound) }
    }

    /// Returns a uniform number in [0, 1).
    pub fn fraction(&mut self) -> f64 {
        self.0.random()
    }

    /// Returns a uniform 64-bit number.
    pub fn number(&mut self) -> u64 {
        self.0.random()
    }
}
