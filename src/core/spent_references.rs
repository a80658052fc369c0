//! Client references of non-idempotent requests that are over and may have run.
//!
//! A client that has left and comes again with the same reference means the same request. It must
//! not run a second time, so it is answered as failed. Only the last references are kept. What was
//! sent to an engine is also shared with the other processes of this workload manager.

use super::{Core, EnginePort};
use std::collections::{HashSet, VecDeque};
use std::num::NonZeroU64;

/// The digits of a client reference are hexadecimal.
const REFERENCE_RADIX: u32 = 16;

/// References that the processes of this workload manager share. No call blocks for long. An error
/// counts as a reference that is not known.
pub trait SharedReferences: Send {
    /// Records the reference of a request that is being sent to an engine.
    fn insert(&self, reference: NonZeroU64);
    /// Removes the reference of a request that provably never ran.
    fn remove(&self, reference: NonZeroU64);
    /// Whether any process has recorded the reference.
    fn contains(&self, reference: NonZeroU64) -> bool;
}

impl<E: EnginePort> Core<E> {
    /// Sets the references that this process shares with the other processes of this workload
    /// manager.
    #[must_use]
    pub fn with_shared_references(mut self, shared: Option<Box<dyn SharedReferences>>) -> Self {
        self.spent_references.shared = shared;
        self
    }
}

/// The last references, up to a maximum number.
pub(super) struct SpentReferences {
    capacity: usize,
    references: HashSet<NonZeroU64>,
    oldest_first: VecDeque<NonZeroU64>,
    shared: Option<Box<dyn SharedReferences>>,
}

impl SpentReferences {
    pub(super) fn new(capacity: usize) -> SpentReferences {
        SpentReferences {
            capacity,
            references: HashSet::new(),
            oldest_first: VecDeque::new(),
            shared: None,
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

    /// Whether a request with this reference may have run, here or in another process.
    pub(super) fn contains(&self, reference: &[u8]) -> bool {
        parse(reference).is_some_and(|reference| {
            let is_shared = |shared: &dyn SharedReferences| shared.contains(reference);
            self.references.contains(&reference) || self.shared.as_deref().is_some_and(is_shared)
        })
    }

    /// Tells the other processes that a request with this reference is being sent to an engine.
    pub(super) fn share(&self, reference: &[u8]) {
        if let (Some(shared), Some(reference)) = (&self.shared, parse(reference)) {
            shared.insert(reference);
        }
    }

    /// Tells the other processes that the request with this reference provably never ran.
    pub(super) fn withdraw(&self, reference: &[u8]) {
        if let (Some(shared), Some(reference)) = (&self.shared, parse(reference)) {
            shared.remove(reference);
        }
    }
}

/// The number that a reference stands for; `None` if it has no 64 bits, or is zero.
fn parse(reference: &[u8]) -> Option<NonZeroU64> {
    let digits = std::str::from_utf8(reference).ok()?;
    let number = u64::from_str_radix(digits, REFERENCE_RADIX).ok()?;
    NonZeroU64::new(number)
}

#[cfg(test)]
mod tests;
