//! Statistics of a class of requests: its mean work, the longest time to the deadline, and the
//! error of its clients' estimates.

use super::{Class, Dispatcher, Millis, QueuedRequest};

/// Weight of one query in the moving mean of a class's work. A class's work varies less over time
/// than an engine's latency.
pub(super) const WORK_GAIN: f64 = 0.03;
/// Assumed run time of a query before one is served, as a share of its class's latency objective.
const INITIAL_WORK_SHARE: f64 = 0.5;
/// Lower bound on the assumed mean work before a query is served, in ms.
const MIN_INITIAL_WORK_MS: f64 = 1.0;
/// Upper bound on one query's work in the moving mean, in multiples of that mean. It limits the
/// effect of a rare very large query.
const MAX_WORK_MULTIPLE: f64 = 20.0;
/// Lower bound on the expected work of a request, in ms.
pub(super) const MIN_WORK_MS: f64 = 0.1;
/// Initial median absolute deviation of an estimate's error, as a log ratio. An error by a factor
/// of e is at twice this deviation.
const INITIAL_DEVIATION: f64 = 0.5;
/// Smallest step of the median per sample, as a log ratio. The estimator follows a change within
/// about 20 samples.
const ESTIMATOR_STEP: f64 = 0.03;
/// Change of the median absolute deviation per sample, as a share of the step. As it is equal in
/// both directions, half of the samples stay within the deviation.
const DEVIATION_STEP_SHARE: f64 = 0.5;
/// Lower bound on the median absolute deviation, as a log ratio.
const MIN_DEVIATION: f64 = 0.02;
/// Number of samples from which an estimate is used.
pub(super) const MIN_SAMPLES: u32 = 5;

/// Running median and median absolute deviation of a log ratio. A sample moves them by at most one
/// step, so that rare extreme samples have little effect.
#[derive(Clone)]
pub(super) struct LogRatioEstimator {
    median: f64,
    /// Median absolute deviation: half of all samples are within this distance of the median.
    deviation: f64,
    samples: u32,
}

impl LogRatioEstimator {
    fn new() -> Self {
        LogRatioEstimator {
            median: 0.0,
            deviation: INITIAL_DEVIATION,
            samples: 0,
        }
    }

    /// The median of the log ratio.
    pub(super) fn median(&self) -> f64 {
        self.median
    }

    /// The median absolute deviation of the log ratio.
    pub(super) fn deviation(&self) -> f64 {
        self.deviation
    }

    /// Whether enough samples were seen to use the estimate.
    pub(super) fn is_established(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Adds one sample.
    pub(super) fn record(&mut self, log_ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        let step = ESTIMATOR_STEP.max(INITIAL_DEVIATION / f64::from(self.samples));
        self.median += (log_ratio - self.median).clamp(-step, step);
        let is_outside = (log_ratio - self.median).abs() > self.deviation;
        let direction = if is_outside {
            DEVIATION_STEP_SHARE
        } else {
            -DEVIATION_STEP_SHARE
        };
        self.deviation = (self.deviation + step * direction).max(MIN_DEVIATION);
    }
}

/// Statistics of one class.
#[derive(Clone)]
pub(super) struct ClassStatistics {
    mean_work_ms: f64,
    samples: u32,
    longest_time_to_deadline_ms: Millis,
    /// Error of the memory estimates: log ratio of measured over estimated memory.
    pub(super) memory_error: LogRatioEstimator,
    /// Error of the work estimates: log ratio of measured over estimated work, or, where no work is
    /// measured, of an attempt's slowdown over the mean slowdown of all attempts.
    pub(super) work_error: LogRatioEstimator,
}

impl ClassStatistics {
    /// Initial statistics of a class, before its first request.
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

    /// Mean work of a query, summed over its threads, in ms.
    pub(super) fn mean_work_ms(&self) -> f64 {
        self.mean_work_ms
    }

    /// Adds one query's work to the mean.
    pub(super) fn record_work(&mut self, work_ms: f64) {
        self.samples += 1;
        let gain = WORK_GAIN.max(1.0 / f64::from(self.samples));
        let bounded_work_ms = work_ms.min(self.mean_work_ms * MAX_WORK_MULTIPLE);
        self.mean_work_ms += gain * (bounded_work_ms - self.mean_work_ms);
    }

    /// Records the time to the deadline that a request had on arrival, and returns the longest so
    /// far, in ms.
    pub(super) fn record_time_to_deadline(&mut self, time_to_deadline_ms: Millis) -> Millis {
        self.longest_time_to_deadline_ms =
            self.longest_time_to_deadline_ms.max(time_to_deadline_ms);
        self.longest_time_to_deadline_ms
    }
}

impl Dispatcher {
    /// Number of threads that run a query of the class.
    pub(super) fn threads(&self, class: usize) -> f64 {
        f64::from(self.settings.classes[class].threads)
    }

    /// Expected work of a request in ms: the client's estimate, or without one the mean of its
    /// class. The estimate is corrected by its median error where engines report measured work.
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
