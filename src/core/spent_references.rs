//! Client references of non-idempotent requests that are over and may have run.
//!
//! A client that has left and comes again with the same reference means the same request. It must
//! not run a second time, so it is answered as failed. Only the last references are kept. What was
//! sent to an engine is also shared with the other processes of this workload manager.

use super::{AcceptedRequest, Core, EnginePort};
use crate::decision::Idempotency;
use crate::retry_policy::FrontendKind;
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

    /// Whether this request may have run under its reference, here or in another process.
    pub(super) fn may_have_run(&self, request: &AcceptedRequest) -> bool {
        spendable_reference(request).is_some_and(|reference| {
            let is_shared = |shared: &dyn SharedReferences| shared.contains(reference);
            self.references.contains(&reference) || self.shared.as_deref().is_some_and(is_shared)
        })
    }

    /// Tells the other processes that this request is being sent to an engine, so that they do not
    /// run it.
    pub(super) fn record_sent(&self, request: &AcceptedRequest) {
        if let (Some(shared), Some(reference)) = (&self.shared, spendable_reference(request)) {
            shared.insert(reference);
        }
    }

    /// Records the end of this request. If it provably never ran, it may come again.
    pub(super) fn record_end(&mut self, request: &AcceptedRequest, may_have_run: bool) {
        let Some(reference) = spendable_reference(request) else {
            return;
        };
        if may_have_run {
            self.insert(reference);
        } else if let Some(shared) = &self.shared {
            shared.remove(reference);
        }
    }

    /// Keeps a reference. If there are too many, the oldest one is dropped.
    fn insert(&mut self, reference: NonZeroU64) {
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
}

/// The reference under which this request must not run again; `None` if its class is idempotent, or
/// if the manager made the reference itself, so that it never comes again. A reference that is zero
/// or has no 64 bits is not kept either.
fn spendable_reference(request: &AcceptedRequest) -> Option<NonZeroU64> {
    let is_non_idempotent = request.class.class.idempotency == Idempotency::NonIdempotent;
    if !is_non_idempotent || request.frontend != FrontendKind::Platform {
        return None;
    }
    let digits = std::str::from_utf8(&request.client_reference).ok()?;
    let number = u64::from_str_radix(digits, REFERENCE_RADIX).ok()?;
    NonZeroU64::new(number)
}

#[cfg(test)]
mod tests;
