//! The load of a server over time: samples of its totals, and the largest load in any window of
//! 100 ms.

use super::row::rounded;
use super::usage;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Length of the window in which the largest load is measured.
pub(super) const WINDOW: Duration = Duration::from_millis(100);

/// Totals of a server since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ServerTotals {
    /// Connections accepted.
    pub connections: u64,
    /// Frames written, including heartbeats.
    pub frames: u64,
    /// Bytes written.
    pub bytes: u64,
}

/// A server's totals at one time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// Time of the sample.
    pub sampled_at: Instant,
    /// Totals at that time.
    pub totals: ServerTotals,
    /// Processor time that the thread had used by that time.
    pub processor_time: Duration,
}

/// The load in an interval, scaled to the length of [`WINDOW`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct LoadWindow {
    /// Connections accepted.
    pub connections: f64,
    /// Bytes written.
    pub bytes: f64,
    /// Processor time, in ms.
    pub processor_ms: f64,
}

impl LoadWindow {
    fn between(from: &Sample, to: &Sample) -> LoadWindow {
        let scale =
            WINDOW.as_secs_f64() / (to.sampled_at - from.sampled_at).as_secs_f64().max(1e-9);
        let scaled_difference = |from: u64, to: u64| rounded((to - from) as f64 * scale);
        LoadWindow {
            connections: scaled_difference(from.totals.connections, to.totals.connections),
            bytes: scaled_difference(from.totals.bytes, to.totals.bytes),
            processor_ms: rounded(
                (to.processor_time - from.processor_time).as_secs_f64() * 1000.0 * scale,
            ),
        }
    }

    /// The ratio of each figure to the other window's; 0 where the latter is 0.
    fn ratio_to(&self, other: &LoadWindow) -> LoadWindow {
        let ratio = |figure: f64, other: f64| {
            if other > 0.0 {
                rounded(figure / other)
            } else {
                0.0
            }
        };
        LoadWindow {
            connections: ratio(self.connections, other.connections),
            bytes: ratio(self.bytes, other.bytes),
            processor_ms: ratio(self.processor_ms, other.processor_ms),
        }
    }

    /// The larger value of each figure.
    fn larger_of_each(self, other: LoadWindow) -> LoadWindow {
        LoadWindow {
            connections: self.connections.max(other.connections),
            bytes: self.bytes.max(other.bytes),
            processor_ms: self.processor_ms.max(other.processor_ms),
        }
    }
}

/// The load over an interval: its mean per [`WINDOW`], the largest load in any window by figure,
/// and the ratio of the largest to the mean.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct Load {
    mean: LoadWindow,
    worst: LoadWindow,
    worst_to_mean: LoadWindow,
}

impl Load {
    fn new(mean: LoadWindow, worst: LoadWindow) -> Load {
        Load {
            mean,
            worst,
            worst_to_mean: worst.ratio_to(&mean),
        }
    }

    /// The ratio of this interval's largest load to the mean of another interval.
    pub(super) fn worst_ratio_to(&self, other: &Load) -> LoadWindow {
        self.worst.ratio_to(&other.mean)
    }
}

/// Samples in chronological order.
#[derive(Clone, Debug, Default)]
pub(super) struct Timeline(Vec<Sample>);

impl Timeline {
    /// Adds a sample at the current time, with the processor time of the calling thread.
    pub(super) fn record(&mut self, totals: ServerTotals) {
        self.0.push(Sample {
            sampled_at: Instant::now(),
            totals,
            processor_time: usage::thread_processor_time(),
        });
    }

    /// Whether there is a sample at or after `not_before`.
    pub(super) fn has_sample_since(&self, not_before: Instant) -> bool {
        self.0
            .last()
            .is_some_and(|sample| sample.sampled_at >= not_before)
    }

    /// Processor time at the last sample.
    pub(super) fn processor_time(&self) -> Duration {
        self.0
            .last()
            .map_or(Duration::ZERO, |sample| sample.processor_time)
    }

    /// The load from the last sample at or before `from` to the first one at or after `until`; none
    /// if there are fewer than two samples.
    pub(super) fn load(&self, from: Instant, until: Instant) -> Option<Load> {
        let first = self
            .0
            .partition_point(|sample| sample.sampled_at <= from)
            .saturating_sub(1);
        let end =
            (self.0.partition_point(|sample| sample.sampled_at < until) + 1).min(self.0.len());
        let samples = self.0.get(first..end)?;
        let (oldest, newest) = (samples.first()?, samples.last()?);
        if newest.sampled_at <= oldest.sampled_at {
            return None;
        }
        let mut worst = LoadWindow::default();
        for (index, start) in samples.iter().enumerate() {
            let later = samples[index..]
                .iter()
                .find(|sample| sample.sampled_at - start.sampled_at >= WINDOW);
            let Some(later) = later else { break };
            worst = worst.larger_of_each(LoadWindow::between(start, later));
        }
        let mean = LoadWindow::between(oldest, newest);
        // An interval no longer than one window contains none; its mean counts as the largest load.
        Some(Load::new(mean, worst.larger_of_each(mean)))
    }
}
