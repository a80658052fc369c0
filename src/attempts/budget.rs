//! A budget of further attempts against first ones, over a window that slides in ten steps.

use crate::interface::Millis;

/// Steps of a window.
const SLOTS: usize = 10;

/// How many further attempts there may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// For each first attempt of the window.
    pub ratio: f64,
    /// And besides, for each second of the window.
    pub min_per_s: f64,
    /// The window, in ms.
    pub window_ms: Millis,
}

/// What has been spent of a budget. Its size is fixed, whatever passes.
#[derive(Clone, Debug, Default)]
pub struct Spent {
    slots: [(u64, u64); SLOTS],
    /// The step that the last slot stands for, counted from time 0.
    step: u64,
}

impl Spent {
    /// A first attempt goes out.
    pub fn first(&mut self, budget: &Budget, now: Millis) {
        self.slide(budget, now);
        self.slots[SLOTS - 1].0 += 1;
    }

    /// A further attempt would go out: whether it may, which counts it.
    pub fn take(&mut self, budget: &Budget, now: Millis) -> bool {
        self.slide(budget, now);
        let (first, further) = self.slots.iter().fold((0, 0), |(a, b), (c, d)| (a + c, b + d));
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
