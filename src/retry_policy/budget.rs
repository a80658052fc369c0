//! A budget of further attempts against first ones, over a window that slides in ten steps.

use crate::decision::Millis;
use std::sync::Mutex;

/// Steps of a window.
const SLOTS: usize = 10;

/// How many further attempts there may be, and what all requests that take it from one table have spent.
#[derive(Debug)]
pub struct Budget {
    /// For each first attempt of the window.
    pub ratio: f64,
    /// And besides, for each second of the window.
    pub min_per_s: f64,
    /// The window, in ms.
    pub window_ms: Millis,
    /// Shared by the requests of one table; the core's one thread alone takes it.
    usage: Mutex<BudgetUsage>,
}

impl PartialEq for Budget {
    /// Two budgets agree where their figures do; what each has spent is not a setting.
    fn eq(&self, other: &Budget) -> bool {
        (self.ratio, self.min_per_s, self.window_ms)
            == (other.ratio, other.min_per_s, other.window_ms)
    }
}

impl Budget {
    /// A budget with nothing spent.
    pub fn new(ratio: f64, min_per_s: f64, window_ms: Millis) -> Budget {
        Budget {
            ratio,
            min_per_s,
            window_ms,
            usage: Mutex::default(),
        }
    }

    /// A first attempt goes out.
    pub fn record_first_attempt(&self, now: Millis) {
        self.with(|spent, budget| spent.record_first_attempt(budget, now));
    }

    /// A further attempt would go out: whether it may, which counts it.
    pub fn try_take(&self, now: Millis) -> bool {
        self.with(|spent, budget| spent.try_take(budget, now))
    }

    /// Takes over what an earlier budget of the same table and figures has spent, so that a reload saves nothing up.
    pub fn carry_over(&self, earlier: &Budget) {
        if self == earlier {
            let spent = earlier.with(|spent, _| spent.clone());
            self.with(|mine, _| *mine = spent);
        }
    }

    fn with<T>(&self, what: impl FnOnce(&mut BudgetUsage, &Budget) -> T) -> T {
        // Guard: a panic elsewhere while it was held leaves counts that are still counts.
        let mut spent = self
            .usage
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        what(&mut spent, self)
    }
}

/// What has been spent of a budget. Its size is fixed, whatever passes.
#[derive(Clone, Debug, Default)]
pub struct BudgetUsage {
    slots: [(u64, u64); SLOTS],
    /// The step that the last slot stands for, counted from time 0.
    step: u64,
}

impl BudgetUsage {
    /// A first attempt goes out.
    pub fn record_first_attempt(&mut self, budget: &Budget, now: Millis) {
        self.slide(budget, now);
        self.slots[SLOTS - 1].0 += 1;
    }

    /// A further attempt would go out: whether it may, which counts it.
    pub fn try_take(&mut self, budget: &Budget, now: Millis) -> bool {
        self.slide(budget, now);
        let (first, further) = self
            .slots
            .iter()
            .fold((0, 0), |(a, b), (c, d)| (a + c, b + d));
        let free = budget.min_per_s * budget.window_ms / 1000.0;
        let may = (further + 1) as f64 <= budget.ratio * first as f64 + free;
        self.slots[SLOTS - 1].1 += u64::from(may);
        may
    }

    fn slide(&mut self, budget: &Budget, now: Millis) {
        let step = (now.max(0.0) / (budget.window_ms.max(1.0) / SLOTS as f64)) as u64;
        // Guard: a clock that stands or goes back moves nothing.
        let by = (step.saturating_sub(self.step) as usize).min(SLOTS);
        if by > 0 {
            self.slots.rotate_left(by);
            self.slots[SLOTS - by..].fill((0, 0));
            self.step = step;
        }
    }
}
