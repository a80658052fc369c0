//! The two kinds of values in the table, counters and gauges, and one value as it is read.
//!
//! All accesses are relaxed. Each value stands alone: nobody infers from one value that another write is visible, so
//! only the atomicity of the single value counts. Values that a shutdown waits for are written and read on the one
//! thread of the runtime.

use std::sync::atomic::{AtomicU64, Ordering};

/// Whether a value only grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Grows from 0 at the start of the process; `Counter64` in SNMP.
    Counter,
    /// A level that rises and falls; `Gauge32` in SNMP.
    Gauge,
}

/// One value of the table with its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// The printed name, as `requests_accepted`.
    pub name: &'static str,
    /// Counter or gauge.
    pub kind: MetricKind,
    /// The value now.
    pub value: u64,
}

/// A count that only grows.
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

    /// The count since the start of the process.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A level that rises and falls.
#[derive(Debug, Default)]
pub struct Gauge(AtomicU64);

impl Gauge {
    pub(super) const KIND: MetricKind = MetricKind::Gauge;

    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Subtracts one; each call follows an [`increment`](Gauge::increment) of its own.
    pub fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    /// Replaces the level.
    pub fn set(&self, value: usize) {
        self.0.store(value as u64, Ordering::Relaxed);
    }

    /// The level now.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
