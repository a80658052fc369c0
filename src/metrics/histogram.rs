//! A latency histogram of fixed size.

use hdrhistogram::Histogram;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The shortest recorded latency, in microseconds. Shorter latencies count as this long.
const MIN_LATENCY_US: u64 = 1;

/// The longest recorded latency, in milliseconds. Longer latencies count as this long.
const MAX_LATENCY_MS: f64 = 60_000.0;

/// [`MAX_LATENCY_MS`] in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Significant decimal digits of a recorded latency. With two digits over the whole range, a
/// histogram takes about 12 kB.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The latencies of one kind of event since the start of the process. `Display` prints
/// `n:COUNT,p50_us:...,p99_us:...,max_us:...`.
pub struct LatencyHistogram(Mutex<Histogram<u32>>);

/// A snapshot of a histogram. Latencies are in microseconds, and 0 if none has been recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencySummary {
    /// Number of recorded latencies.
    pub count: u64,
    /// The median latency.
    pub p50_us: u64,
    /// The 99th percentile of the latencies.
    pub p99_us: u64,
    /// The longest latency.
    pub max_us: u64,
}

impl LatencyHistogram {
    /// Records one latency in milliseconds, clamped to the histogram's range.
    pub fn record(&self, latency_ms: f64) {
        let microseconds = (latency_ms.clamp(0.0, MAX_LATENCY_MS) * 1000.0) as u64;
        self.lock()
            .saturating_record(microseconds.max(MIN_LATENCY_US));
    }

    /// Returns a snapshot of the histogram.
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

    /// Locks the histogram. A poisoned lock is used too, because a panic in another thread leaves
    /// the counts usable.
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
