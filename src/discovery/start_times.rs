//! Start times of engines, which the list gives in the wall clock's time, brought onto the clock of this process.
//!
//! The process's clock reads the wall clock once and goes on by monotonic time. When the wall clock is stepped, the list
//! names later starts by the new time: an hour back, and an engine that has just started would look warm; an hour ahead,
//! and it would look cold for an hour.

use crate::decision::Millis;
use crate::node_config::EndpointListEvent;

/// Differences between two readings of the step that are no step: the clocks are read one after the other, and the
/// wall clock may be slewed.
const READING_TOLERANCE_MS: Millis = 500.0;

/// By how much the wall clock is ahead of the process's clock. A kept reading lasts until the wall clock is stepped
/// again, so that one start time always gives the same result: a changed one would mean a restart of the engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WallClockStep {
    ahead_ms: Millis,
}

impl WallClockStep {
    /// Takes a reading.
    pub(super) fn observe(&mut self, ahead_ms: Millis) {
        if (ahead_ms - self.ahead_ms).abs() > READING_TOLERANCE_MS {
            tracing::debug!(ahead_ms, "the wall clock was stepped");
            self.ahead_ms = ahead_ms;
        }
    }

    /// Brings the start times of an event onto the process's clock, on which it is `now_ms`.
    pub(super) fn adjust(self, event: &mut EndpointListEvent, now_ms: Millis) {
        if self.ahead_ms == 0.0 {
            return;
        }
        for record in &mut event.records {
            let started_at_ms = &mut record.entry.started_at_ms;
            if *started_at_ms > 0.0 {
                *started_at_ms = self.to_process_clock(*started_at_ms, now_ms);
            }
        }
    }

    /// A start may have been before the step or after it. Of both times the later one that has passed is taken, as an
    /// engine that is thought cold for too long loses little, and one that is thought warm too early collapses.
    fn to_process_clock(self, listed_ms: Millis, now_ms: Millis) -> Millis {
        let after_step_ms = listed_ms - self.ahead_ms;
        let (earlier, later) = if after_step_ms < listed_ms {
            (after_step_ms, listed_ms)
        } else {
            (listed_ms, after_step_ms)
        };
        if later <= now_ms { later } else { earlier }
    }
}

#[cfg(test)]
mod tests;
