//! The two text formats of the metrics table. The names in them are published and must not change:
//! the `node.` figures have the names in the operators' documentation, and the line of counters has
//! the names of the table.

use super::Metrics;
use std::fmt::{self, Write};

impl Metrics {
    /// Returns the figures of the admin address, each on a line `node.NAME=VALUE`.
    #[must_use]
    pub fn admin_figures(&self) -> String {
        let mut text = String::new();
        for class_counts in self.class_counts() {
            for (name, count) in class_counts.named_counts() {
                push_figure(&mut text, &format!("{name}.{}", class_counts.class), count);
            }
        }
        let process_figures = [
            ("upstream_tries", self.attempts_written.get()),
            ("in_progress", self.requests_open.get()),
            ("known_engines", self.engines.get()),
            ("skipped_engines", self.engines_ejected.get()),
            ("subset_engines", self.subset_size.get()),
            ("engine_holders", self.subset_managers_per_engine.get()),
            ("ordinal", self.ordinal.get()),
            ("loads", self.reloads.get()),
            ("load_errors", self.reloads_rejected.get()),
        ];
        for (name, value) in process_figures {
            push_figure(&mut text, name, value);
        }
        text
    }
}

fn push_figure(text: &mut String, name: &str, value: u64) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "node.{name}={value}");
}

/// Prints one line:
/// `counters NAME=VALUE ... cancellation_latency=... CLASS=passed:N,dropped:N,bad_gateway:N ...`.
impl fmt::Display for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "counters")?;
        for metric in self.all() {
            write!(f, " {}={}", metric.name, metric.value)?;
        }
        write!(f, " cancellation_latency={}", self.cancellation_latency)?;
        for class_counts in self.class_counts() {
            let counts = class_counts
                .named_counts()
                .map(|(name, count)| format!("{name}:{count}"));
            write!(f, " {}={}", class_counts.class, counts.join(","))?;
        }
        Ok(())
    }
}
