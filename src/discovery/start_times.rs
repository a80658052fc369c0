//! Converts the start times of engines, which the endpoint list gives in wall clock time, to the
//! clock of this process.
//!
//! The clock of the process reads the wall clock once, and then advances with monotonic time. After
//! a wall clock step, the list gives later start times in the new time. Without a conversion, after
//! a step of one hour back, an engine that has just started would not be treated as warming up.
//! After a step of one hour ahead, it would be treated as warming up for an hour.

use crate::decision::Millis;
use crate::node_config::EndpointListEvent;

/// Maximum difference in ms between two readings that does not count as a wall clock step. Readings
/// differ because the two clocks are read one after the other, and because the wall clock may be
/// slewed.
const READING_TOLERANCE_MS: Millis = 500.0;

/// How far the wall clock is ahead of the clock of the process. A reading is kept until the next
/// wall clock step, so that a start time always converts to the same result. A different result
/// would be taken as a restart of the engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WallClockStep {
    ahead_ms: Millis,
}

impl WallClockStep {
    /// Stores a reading if it differs from the stored one by more than the tolerance.
    pub(super) fn observe(&mut self, ahead_ms: Millis) {
        if (ahead_ms - self.ahead_ms).abs() > READING_TOLERANCE_MS {
            tracing::debug!(
                ahead_ms,
                "wall clock step detected; start times of engines are converted"
            );
            self.ahead_ms = ahead_ms;
        }
    }

    /// Converts the start times in an event to the clock of the process; `now_ms` is that clock's
    /// current time. Start times that are not above 0 stay.
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

    /// Converts a start time. The engine may have started before or after the step, so two times
    /// are possible. The result is the later one, unless it is in the future. An engine that is
    /// treated as warming up for too long loses little, but one that gets its full load too early
    /// collapses.
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
