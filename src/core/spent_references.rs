//! Client references of non-idempotent requests that are over and may have run.
//!
//! A client that has left and comes again with the same reference means the same request. It must
//! not run a second time, so it is answered as failed. Only the last references are kept.

use std::collections::{HashSet, VecDeque};

/// The digits of a client reference are hexadecimal.
const REFERENCE_RADIX: u32 = 16;

/// The last references, up to a maximum number.
pub(super) struct SpentReferences {
    capacity: usize,
    references: HashSet<u64>,
    oldest_first: VecDeque<u64>,
}

impl SpentReferences {
    pub(super) fn new(capacity: usize) -> SpentReferences {
        SpentReferences {
            capacity,
            references: HashSet::new(),
            oldest_first: VecDeque::new(),
        }
    }

    /// Records a reference. If there are too many, the oldest one is dropped. References that this
    /// process has made itself may be longer than 16 digits; they never come again and are not
    /// recorded.
    pub(super) fn insert(&mut self, reference: &[u8]) {
        let Some(reference) = parse(reference) else {
            return;
        };
        if !self.references.insert(reference) {
            return;
        }
        self.oldest_first.push_back(reference);
        if self.oldest_first.len() > self.capacity
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.references.remove(&oldest);
        }
    }

    pub(super) fn contains(&self, reference: &[u8]) -> bool {
        parse(reference).is_some_and(|reference| self.references.contains(&reference))
    }
}

fn parse(reference: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(reference).ok()?;
    u64::from_str_radix(digits, REFERENCE_RADIX).ok()
}

#[cfg(test)]
mod tests;
