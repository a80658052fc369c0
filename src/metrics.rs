//! Counters and gauges of the program's requests, attempts, connections and configuration. All
//! actors of a process update one shared [`Metrics`] table.
//!
//! The table is published in three forms: the line of counters that is printed on SIGUSR1 and at
//! exit (`Display`), the `node.` figures of the admin address ([`Metrics::admin_figures`]), and the
//! objects of the SNMP agent, which follow the order of [`Metrics::all`].

mod class_outcomes;
mod histogram;
mod table;
mod text;
mod value;

#[cfg(test)]
mod tests;

pub use class_outcomes::{ClassCounts, ClassOutcomes};
pub use histogram::{LatencyHistogram, LatencySummary};
pub use table::Metrics;
pub use value::{Counter, Gauge, Metric, MetricKind};
