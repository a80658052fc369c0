//! Seeded random numbers.

/// A pseudo-random number generator (SplitMix64). The same seed gives the same numbers.
#[derive(Clone)]
pub(crate) struct SeededRandom(u64);

impl SeededRandom {
    /// Creates a generator with this seed.
    pub(crate) fn new(seed: u64) -> SeededRandom {
        SeededRandom(seed)
    }

    /// The next number.
    fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A random number from `start` up to, but not including, `end`.
    pub(crate) fn in_range(&mut self, start: u64, end: u64) -> u64 {
        start + self.next_u64() % (end - start)
    }

    /// Returns `true` with a probability of one in `chances`.
    pub(crate) fn one_in(&mut self, chances: u64) -> bool {
        self.in_range(0, chances) == 0
    }

    /// Creates another generator, with a seed drawn from this one.
    pub(crate) fn fork(&mut self) -> SeededRandom {
        SeededRandom(self.next_u64())
    }
}
