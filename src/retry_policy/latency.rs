//! Latency quantiles of a class's attempts, for hedged requests that are sent after a quantile.

use crate::decision::Millis;
use hdrhistogram::Histogram;
use std::fmt;

/// Longest latency that can be recorded, in ms. Longer latencies are recorded as this value.
const MAX_RECORDED_MS: u64 = 600_000;
/// Shortest latency that can be recorded, in ms. Shorter latencies are recorded as this value.
const MIN_RECORDED_MS: u64 = 1;
/// Significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Smallest number of recorded attempts from which a quantile is computed.
const MIN_SAMPLES: u64 = 50;

/// Latencies of a class's attempts in the current and the previous period. The size is fixed, about
/// 14 kB.
pub struct LatencyQuantiles {
    period_ms: Millis,
    period_start_ms: Millis,
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl fmt::Debug for LatencyQuantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (current, previous) = (self.current.len(), self.previous.len());
        write!(f, "LatencyQuantiles(n:{current},{previous})")
    }
}

fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(MIN_RECORDED_MS, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("fixed bounds"))
}

impl LatencyQuantiles {
    /// Creates empty histograms. Latencies are dropped after at most two periods.
    pub fn new(period_ms: Millis) -> LatencyQuantiles {
        LatencyQuantiles {
            period_ms: period_ms.max(1.0),
            period_start_ms: 0.0,
            current: empty_histogram(),
            previous: empty_histogram(),
        }
    }

    /// Records the latency of an attempt that was served at `now`.
    pub fn record(&mut self, elapsed_ms: Millis, now: Millis) {
        self.advance(now);
        let recorded_ms = if elapsed_ms.is_finite() {
            elapsed_ms.max(MIN_RECORDED_MS as f64).round() as u64
        } else {
            MAX_RECORDED_MS
        };
        self.current.saturating_record(recorded_ms);
    }

    /// Returns the latency at a quantile from 0 to 1, in ms, or `None` if both periods have too few
    /// samples.
    pub fn quantile(&mut self, quantile: f64, now: Millis) -> Option<Millis> {
        self.advance(now);
        // The previous period is used until the current period has enough samples.
        let histogram = [&self.current, &self.previous]
            .into_iter()
            .find(|histogram| histogram.len() >= MIN_SAMPLES)?;
        Some(histogram.value_at_quantile(quantile.clamp(0.0, 1.0)) as f64)
    }

    /// Starts a new period if the current one is over.
    fn advance(&mut self, now: Millis) {
        let periods_passed = (now - self.period_start_ms) / self.period_ms;
        if periods_passed < 1.0 {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if periods_passed >= 2.0 {
            self.previous.reset();
        }
        self.period_start_ms = now;
    }
}
