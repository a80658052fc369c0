//! What is learned of a class of requests: its work, its clients' patience, and the error of its estimates.

use super::{Class, Dispatcher, Millis, QueuedRequest};

/// Gain of one outcome in a class's mean work; a class's work is steadier than an engine's latency.
pub(super) const WORK_GAIN: f64 = 0.03;
/// A class's work over its threads before any is seen, in shares of its latency objective.
const INITIAL_WORK_SHARE: f64 = 0.5;
/// Least mean work in ms, before any is seen.
const MIN_INITIAL_WORK_MS: f64 = 1.0;
/// A rare giant counts as this many usual queries in the mean.
const MAX_WORK_MULTIPLE: f64 = 20.0;
/// Least work that a request counts for, in ms.
pub(super) const MIN_WORK_MS: f64 = 0.1;
/// Log ratio; spread of an estimate until some are seen. An e-fold error is at twice that.
const INITIAL_SPREAD: f64 = 0.5;
/// Log ratio an outcome; the estimator follows within some twenty outcomes.
const ESTIMATOR_STEP: f64 = 0.03;
/// Change of the spread, in steps; half up and half down keeps it at the median.
const SPREAD_STEP_SHARE: f64 = 0.5;
/// Least spread, as a log ratio.
const MIN_SPREAD: f64 = 0.02;
/// Samples from which an estimate is used.
pub(super) const MIN_SAMPLES: u32 = 5;

/// Median and spread of a log ratio, followed by steps of equal size, so that no tail of giants moves them.
#[derive(Clone)]
pub(super) struct LogRatioEstimator {
    median: f64,
    /// Half of all ratios lie within it.
    spread: f64,
    samples: u32,
}

impl LogRatioEstimator {
    fn new() -> Self {
        LogRatioEstimator {
            median: 0.0,
            spread: INITIAL_SPREAD,
            samples: 0,
        }
    }

    /// The median log ratio.
    pub(super) fn median(&self) -> f64 {
        self.median
    }

    /// The half-spread of the log ratio.
    pub(super) fn spread(&self) -> f64 {
        self.spread
    }

    /// Whether enough samples were seen to use the estimate.
    pub(super) fn is_established(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Takes one log ratio.
    pub(super) fn record(&mut self, log_ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        let step = ESTIMATOR_STEP.max(INITIAL_SPREAD / f64::from(self.samples));
        self.median += (log_ratio - self.median).clamp(-step, step);
        let is_outside = (log_ratio - self.median).abs() > self.spread;
        let direction = if is_outside {
            SPREAD_STEP_SHARE
        } else {
            -SPREAD_STEP_SHARE
        };
        self.spread = (self.spread + step * direction).max(MIN_SPREAD);
    }
}

/// What was learned of one class.
#[derive(Clone)]
pub(super) struct ClassStatistics {
    mean_work_ms: f64,
    samples: u32,
    longest_time_to_deadline_ms: Millis,
    /// Error of the memory estimates: measured over estimated.
    pub(super) memory_error: LogRatioEstimator,
    /// Error of the work estimates: measured over estimated work, or latency over the usual one where no work is
    /// measured.
    pub(super) work_error: LogRatioEstimator,
}

impl ClassStatistics {
    /// Statistics of a class of which nothing was seen.
    pub(super) fn new(class: &Class) -> Self {
        let work = class.latency_objective_ms * INITIAL_WORK_SHARE * f64::from(class.threads);
        ClassStatistics {
            mean_work_ms: work.max(MIN_INITIAL_WORK_MS),
            samples: 0,
            longest_time_to_deadline_ms: 0.0,
            memory_error: LogRatioEstimator::new(),
            work_error: LogRatioEstimator::new(),
        }
    }

    /// Mean work of a query over all its threads, in ms.
    pub(super) fn mean_work_ms(&self) -> f64 {
        self.mean_work_ms
    }

    /// Takes one query's work into the mean.
    pub(super) fn record_work(&mut self, work_ms: f64) {
        self.samples += 1;
        let gain = WORK_GAIN.max(1.0 / f64::from(self.samples));
        let bounded_work_ms = work_ms.min(self.mean_work_ms * MAX_WORK_MULTIPLE);
        self.mean_work_ms += gain * (bounded_work_ms - self.mean_work_ms);
    }

    /// Takes the time that a client had left on arrival, and returns the longest seen, in ms.
    pub(super) fn record_time_to_deadline(&mut self, time_to_deadline_ms: Millis) -> Millis {
        self.longest_time_to_deadline_ms =
            self.longest_time_to_deadline_ms.max(time_to_deadline_ms);
        self.longest_time_to_deadline_ms
    }
}

impl Dispatcher {
    /// Threads that a query of the class runs on.
    pub(super) fn threads(&self, class: usize) -> f64 {
        f64::from(self.settings.classes[class].threads)
    }

    /// A request's work in ms: its estimate, corrected where answers tell the error, else its class's mean.
    pub(super) fn expected_work_ms(&self, request: &QueuedRequest) -> f64 {
        let statistics = &self.class_statistics[request.class];
        let error = if self.work_is_measured && statistics.work_error.is_established() {
            statistics.work_error.median()
        } else {
            0.0
        };
        request
            .estimated_work_ms
            .map_or(statistics.mean_work_ms(), |work| work * error.exp())
            .max(MIN_WORK_MS)
    }
}
