//! Seeded draws.

/// A generator of draws (SplitMix64): the same seed gives the same ones.
#[derive(Clone)]
pub(crate) struct Draws(u64);

impl Draws {
    pub(crate) fn new(seed: u64) -> Draws {
        Draws(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from `least` to below `end`.
    pub(crate) fn between(&mut self, least: u64, end: u64) -> u64 {
        least + self.next() % (end - least)
    }

    /// Whether the event with one chance in so many happens.
    pub(crate) fn happens(&mut self, one_in: u64) -> bool {
        self.between(0, one_in) == 0
    }

    /// A generator of its own.
    pub(crate) fn branch(&mut self) -> Draws {
        Draws(self.next())
    }
}
