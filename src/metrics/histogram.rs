//! Latencies in a histogram of fixed size.

use hdrhistogram::Histogram;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The shortest latency that is recorded as such, in microseconds.
const MIN_LATENCY_US: u64 = 1;

/// The longest latency, in milliseconds; what is longer counts as this long.
const MAX_LATENCY_MS: f64 = 60_000.0;

/// The longest latency, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Significant decimal digits of a latency. Two digits over the whole range take about 12 kB.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The latencies of one kind of event since the start of the process. Its `Display` is the printed form:
/// `n:COUNT,p50_us:...,p99_us:...,max_us:...`.
pub struct LatencyHistogram(Mutex<Histogram<u32>>);

/// A histogram's content at one moment; latencies in microseconds, 0 where nothing was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencySummary {
    /// Latencies recorded.
    pub count: u64,
    /// The median.
    pub p50_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The longest.
    pub max_us: u64,
}

impl LatencyHistogram {
    /// Records one latency in milliseconds, clamped to the histogram's range.
    pub fn record(&self, latency_ms: f64) {
        let microseconds = (latency_ms.clamp(0.0, MAX_LATENCY_MS) * 1000.0) as u64;
        self.lock()
            .saturating_record(microseconds.max(MIN_LATENCY_US));
    }

    /// The content now.
    #[must_use]
    pub fn summary(&self) -> LatencySummary {
        let histogram = self.lock();
        let quantile_us = |quantile| match histogram.is_empty() {
            true => 0,
            false => histogram.value_at_quantile(quantile),
        };
        LatencySummary {
            count: histogram.len(),
            p50_us: quantile_us(0.5),
            p99_us: quantile_us(0.99),
            max_us: quantile_us(1.0),
        }
    }

    /// A panic elsewhere leaves the counts usable, so a poisoned lock is taken as it is.
    fn lock(&self) -> MutexGuard<'_, Histogram<u32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let empty = Histogram::new_with_bounds(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        LatencyHistogram(Mutex::new(
            empty.unwrap_or_else(|_| unreachable!("constant bounds are valid")),
        ))
    }
}

impl fmt::Debug for LatencyHistogram {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for LatencyHistogram {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LatencySummary {
            count,
            p50_us,
            p99_us,
            max_us,
        } = self.summary();
        write!(
            f,
            "n:{count},p50_us:{p50_us},p99_us:{p99_us},max_us:{max_us}"
        )
    }
}
