//! A retry budget: a limit on retries relative to first attempts, over a sliding window of ten
//! slots.

use crate::decision::Millis;
use std::sync::{Mutex, PoisonError};

/// Number of slots of a window.
const SLOTS: usize = 10;

/// A limit on retries, and its usage by all requests that share it.
#[derive(Debug)]
pub struct Budget {
    /// Number of retries allowed for each first attempt in the window.
    pub ratio: f64,
    /// Number of retries that are allowed in addition for each second of the window.
    pub min_per_s: f64,
    /// Length of the window, in ms.
    pub window_ms: Millis,
    /// Shared by the policies that take the budget from one table. The lock is uncontended, because
    /// only the core's thread counts attempts.
    usage: Mutex<BudgetUsage>,
}

impl PartialEq for Budget {
    /// Compares the settings of two budgets, without their usage.
    fn eq(&self, other: &Budget) -> bool {
        (self.ratio, self.min_per_s, self.window_ms)
            == (other.ratio, other.min_per_s, other.window_ms)
    }
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(ratio: f64, min_per_s: f64, window_ms: Millis) -> Budget {
        Budget {
            ratio,
            min_per_s,
            window_ms,
            usage: Mutex::default(),
        }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&self, now: Millis) {
        self.with_usage(|usage| usage.record_first_attempt(self, now));
    }

    /// Counts a retry if the budget allows it, and returns whether it does.
    #[must_use]
    pub fn try_record_retry(&self, now: Millis) -> bool {
        self.with_usage(|usage| usage.try_record_retry(self, now))
    }

    /// Copies the usage of an earlier budget of the same table and settings, so that a reload does
    /// not refill it.
    pub fn carry_over(&self, earlier: &Budget) {
        if self == earlier {
            let earlier_usage = earlier.with_usage(|usage| usage.clone());
            self.with_usage(|usage| *usage = earlier_usage);
        }
    }

    fn with_usage<T>(&self, operation: impl FnOnce(&mut BudgetUsage) -> T) -> T {
        // The counts stay valid if a thread panics while it holds the lock, so a poisoned lock is
        // usable.
        let mut usage = self.usage.lock().unwrap_or_else(PoisonError::into_inner);
        operation(&mut usage)
    }
}

/// The attempts counted in one slot of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    first_attempts: u64,
    retries: u64,
}

/// The usage of a budget. Its size is fixed.
#[derive(Clone, Debug, Default)]
pub struct BudgetUsage {
    /// The slots of the window, from the oldest to the current one.
    slots: [Slot; SLOTS],
    /// The number of the current slot, counted from time 0.
    current_slot_number: u64,
}

impl BudgetUsage {
    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, budget: &Budget, now: Millis) {
        self.advance(budget, now);
        self.slots[SLOTS - 1].first_attempts += 1;
    }

    /// Counts a retry if the budget allows it, and returns whether it does.
    #[must_use]
    pub fn try_record_retry(&mut self, budget: &Budget, now: Millis) -> bool {
        self.advance(budget, now);
        let first_attempts: u64 = self.slots.iter().map(|slot| slot.first_attempts).sum();
        let retries: u64 = self.slots.iter().map(|slot| slot.retries).sum();
        let minimum = budget.min_per_s * budget.window_ms / 1000.0;
        let allowed = (retries + 1) as f64 <= budget.ratio * first_attempts as f64 + minimum;
        self.slots[SLOTS - 1].retries += u64::from(allowed);
        allowed
    }

    /// Drops the slots that have left the window.
    fn advance(&mut self, budget: &Budget, now: Millis) {
        let slot_ms = budget.window_ms.max(1.0) / SLOTS as f64;
        let slot_number = (now.max(0.0) / slot_ms) as u64;
        // If the clock stands still or goes back, no slot is dropped.
        let expired = (slot_number.saturating_sub(self.current_slot_number) as usize).min(SLOTS);
        if expired > 0 {
            self.slots.rotate_left(expired);
            self.slots[SLOTS - expired..].fill(Slot::default());
            self.current_slot_number = slot_number;
        }
    }
}
