//! The load of a server over time: samples of what it has done, and its worst stretch of a tenth of a second.

use super::row::rounded;
use super::usage;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Length of the window over which the worst load is measured.
pub(super) const WINDOW: Duration = Duration::from_millis(100);

/// What a server has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ServerTotals {
    /// Connections accepted.
    pub connections: u64,
    /// Frames written, empty ones among them.
    pub frames: u64,
    /// Bytes written.
    pub bytes: u64,
}

/// What had been done at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// When.
    pub at: Instant,
    /// What had been done by then.
    pub totals: ServerTotals,
    /// Processor time used by then.
    pub processor: Duration,
}

/// What was done in one stretch, scaled to the length [`WINDOW`].
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
        let part = WINDOW.as_secs_f64() / (to.at - from.at).as_secs_f64().max(1e-9);
        let done = |from: u64, to: u64| rounded((to - from) as f64 * part);
        LoadWindow {
            connections: done(from.totals.connections, to.totals.connections),
            bytes: done(from.totals.bytes, to.totals.bytes),
            processor_ms: rounded((to.processor - from.processor).as_secs_f64() * 1000.0 * part),
        }
    }

    /// How many times each figure is the other's; 0 where that is 0.
    fn against(&self, other: &LoadWindow) -> LoadWindow {
        let times = |of: f64, other: f64| {
            if other > 0.0 {
                rounded(of / other)
            } else {
                0.0
            }
        };
        LoadWindow {
            connections: times(self.connections, other.connections),
            bytes: times(self.bytes, other.bytes),
            processor_ms: times(self.processor_ms, other.processor_ms),
        }
    }

    /// The larger of each figure.
    fn or(self, other: LoadWindow) -> LoadWindow {
        LoadWindow {
            connections: self.connections.max(other.connections),
            bytes: self.bytes.max(other.bytes),
            processor_ms: self.processor_ms.max(other.processor_ms),
        }
    }
}

/// The load over some time: its mean as if it lasted [`WINDOW`], each figure's worst stretch, and that against the mean.
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
            worst_to_mean: worst.against(&mean),
        }
    }

    /// Its worst stretch against the mean of another time.
    pub(super) fn worst_against(&self, other: &Load) -> LoadWindow {
        self.worst.against(&other.mean)
    }
}

/// Samples in the order of time.
#[derive(Clone, Debug, Default)]
pub(super) struct Timeline(Vec<Sample>);

impl Timeline {
    /// Samples now, on the thread whose processor time counts.
    pub(super) fn record(&mut self, totals: ServerTotals) {
        self.0.push(Sample {
            at: Instant::now(),
            totals,
            processor: usage::thread_processor_time(),
        });
    }

    /// Whether a sample is this late.
    pub(super) fn reaches(&self, at: Instant) -> bool {
        self.0.last().is_some_and(|sample| sample.at >= at)
    }

    /// Processor time by the last sample.
    pub(super) fn processor(&self) -> Duration {
        self.0
            .last()
            .map_or(Duration::ZERO, |sample| sample.processor)
    }

    /// The load from the last sample before `from` to the first one after `until`; none where there are no two samples.
    pub(super) fn load(&self, from: Instant, until: Instant) -> Option<Load> {
        let first = self
            .0
            .partition_point(|sample| sample.at <= from)
            .saturating_sub(1);
        let end = (self.0.partition_point(|sample| sample.at < until) + 1).min(self.0.len());
        let samples = self.0.get(first..end)?;
        let (oldest, newest) = (samples.first()?, samples.last()?);
        if newest.at <= oldest.at {
            return None;
        }
        let mut worst = LoadWindow::default();
        for (at, start) in samples.iter().enumerate() {
            let later = samples[at..]
                .iter()
                .find(|sample| sample.at - start.at >= WINDOW);
            let Some(later) = later else { break };
            worst = worst.or(LoadWindow::between(start, later));
        }
        let mean = LoadWindow::between(oldest, newest);
        // What lasts no longer than one stretch is its own worst one.
        Some(Load::new(mean, worst.or(mean)))
    }
}
