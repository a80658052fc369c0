//! The two kinds of metrics, [`Counter`] and [`Gauge`], and the snapshot of a metric.
//!
//! All atomic operations use relaxed ordering. The values are independent of each other, and no
//! code relies on a value to make other writes visible. The values that a shutdown waits for are
//! written and read on the same thread, the only one of the runtime.

use std::sync::atomic::{AtomicU64, Ordering};

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A count that never falls, from 0 at the start of the process; `Counter64` in SNMP.
    Counter,
    /// A value that may rise and fall; `Gauge32` in SNMP.
    Gauge,
}

/// A snapshot of one metric, with its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// The printed name, for example `requests_accepted`.
    pub name: &'static str,
    /// The metric's kind.
    pub kind: MetricKind,
    /// The value when the metric was read.
    pub value: u64,
}

/// A count that never falls.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    pub(super) const KIND: MetricKind = MetricKind::Counter;

    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds `count`.
    pub fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Returns the count since the start of the process.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A value that may rise and fall.
#[derive(Debug, Default)]
pub struct Gauge(AtomicU64);

impl Gauge {
    pub(super) const KIND: MetricKind = MetricKind::Gauge;

    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Subtracts one. Each call must be preceded by its own [`increment`](Gauge::increment).
    pub fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    /// Sets the value.
    pub fn set(&self, value: usize) {
        self.0.store(value as u64, Ordering::Relaxed);
    }

    /// Returns the current value.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
