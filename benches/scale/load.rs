//! The load of a server over time: samples of what it has done, and its worst stretch of a tenth of a second.

use super::feed::Totals;
use super::row::rounded;
use super::usage;
use serde::Serialize;
use std::time::{Duration, Instant};

/// The stretch over which the worst load is told.
pub(super) const STRETCH: Duration = Duration::from_millis(100);

/// What had been done at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// When.
    pub at: Instant,
    /// What had been done by then.
    pub totals: Totals,
    /// Processor time used by then.
    pub processor: Duration,
}

/// What was done in one stretch, as if it had lasted [`STRETCH`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct Stretch {
    /// Connections accepted.
    pub connections: f64,
    /// Bytes written.
    pub bytes: f64,
    /// Processor time, in ms.
    pub processor_ms: f64,
}

impl Stretch {
    fn between(from: &Sample, to: &Sample) -> Stretch {
        let part = STRETCH.as_secs_f64() / (to.at - from.at).as_secs_f64().max(1e-9);
        let done = |from: u64, to: u64| rounded((to - from) as f64 * part);
        Stretch {
            connections: done(from.totals.connections, to.totals.connections),
            bytes: done(from.totals.bytes, to.totals.bytes),
            processor_ms: rounded((to.processor - from.processor).as_secs_f64() * 1000.0 * part),
        }
    }

    /// How many times each figure is the other's; 0 where that is 0.
    fn against(&self, other: &Stretch) -> Stretch {
        let times = |of: f64, other: f64| {
            if other > 0.0 {
                rounded(of / other)
            } else {
                0.0
            }
        };
        Stretch {
            connections: times(self.connections, other.connections),
            bytes: times(self.bytes, other.bytes),
            processor_ms: times(self.processor_ms, other.processor_ms),
        }
    }

    /// The larger of each figure.
    fn or(self, other: Stretch) -> Stretch {
        Stretch {
            connections: self.connections.max(other.connections),
            bytes: self.bytes.max(other.bytes),
            processor_ms: self.processor_ms.max(other.processor_ms),
        }
    }
}

/// The load over some time: its mean as if it lasted [`STRETCH`], each figure's worst stretch, and that against the mean.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct Load {
    mean: Stretch,
    worst: Stretch,
    worst_to_mean: Stretch,
}

impl Load {
    fn new(mean: Stretch, worst: Stretch) -> Load {
        Load {
            mean,
            worst,
            worst_to_mean: worst.against(&mean),
        }
    }

    /// Its worst stretch against the mean of another time.
    pub(super) fn worst_against(&self, other: &Load) -> Stretch {
        self.worst.against(&other.mean)
    }
}

/// Samples in the order of time.
#[derive(Clone, Debug, Default)]
pub(super) struct Timeline(Vec<Sample>);

impl Timeline {
    /// Samples now, on the thread whose processor time counts.
    pub(super) fn see(&mut self, totals: Totals) {
        self.0.push(Sample {
            at: Instant::now(),
            totals,
            processor: usage::thread_time(),
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
        let mut worst = Stretch::default();
        for (at, start) in samples.iter().enumerate() {
            let later = samples[at..]
                .iter()
                .find(|sample| sample.at - start.at >= STRETCH);
            let Some(later) = later else { break };
            worst = worst.or(Stretch::between(start, later));
        }
        let mean = Stretch::between(oldest, newest);
        // What lasts no longer than one stretch is its own worst one.
        Some(Load::new(mean, worst.or(mean)))
    }
}
