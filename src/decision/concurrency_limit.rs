//! The concurrency limit of an engine: an upper bound on its threads, at the peak of a parabola
//! that is fitted to the engine's throughput.
//!
//! The method follows Heiss and Wagner, "Adaptive Load Control in Transaction Processing Systems".
//! Throughput is fitted against the number of running threads, and older intervals lose weight
//! exponentially. `docs/design.md` describes the method.

use super::{Dispatcher, Engine, Millis};

/// Minimum number of attempts in an interval. 100 would be too many, because an engine serves about
/// 10 attempts per second for one workload manager.
const MIN_INTERVAL_OUTCOMES: u32 = 25;
/// Shortest interval in ms, as in `docs/design.md`.
const MIN_INTERVAL_MS: f64 = 1000.0;
/// Share of its weight that an old interval keeps with each new one. The fit covers about 20
/// intervals.
const INTERVAL_DECAY: f64 = 0.95;
/// Total weight of the intervals from which an engine's own fit is used. With fewer intervals, the
/// parabola would follow noise.
pub(super) const ENGINE_MIN_INTERVALS: f64 = 8.0;
/// The same for the pooled fit over all engines, whose intervals contain attempts on many engines.
pub(super) const POOLED_MIN_INTERVALS: f64 = 3.5;
/// A fit is singular if its determinant, divided by the product of its diagonal, is at most this.
const SINGULAR_DETERMINANT: f64 = 1e-5;
/// Lower bound on the thread time of an interval in ms, which prevents a division by zero.
const MIN_INTERVAL_THREAD_TIME_MS: f64 = 1e-9;
/// Initial concurrency limit in threads per core, as in `docs/design.md`.
pub(super) const INITIAL_THREADS_PER_CORE: f64 = 2.0;
/// Lower bound on the limit, as a share of its initial value.
const MIN_LIMIT_SHARE: f64 = 0.5;
/// Upper bound on the limit, in multiples of its initial value.
const MAX_LIMIT_MULTIPLE: f64 = 4.0;

/// One served attempt, as input to a fit.
pub(super) struct FitSample {
    /// Mean number of threads while it ran, divided by the initial limit.
    pub(super) threads_ratio: f64,
    /// Its latency multiplied by its threads, in ms.
    pub(super) thread_time_ms: f64,
    /// Its work, in ms.
    pub(super) work_ms: f64,
}

/// How a fit updates the limit.
pub(super) struct FitRule {
    /// Total weight of the intervals from which the fit is used.
    pub(super) min_intervals: f64,
    /// Change of the limit where the parabola has no peak, as a share of the initial limit.
    pub(super) step: f64,
}

/// Sums over the interval that is still open.
#[derive(Default)]
struct OpenInterval {
    thread_time_ms: f64,
    /// Sum of thread time multiplied by the threads ratio of its attempt.
    weighted_thread_time: f64,
    /// Sum of work multiplied by the threads ratio of its attempt.
    weighted_work: f64,
    outcomes: u32,
    started_at_ms: Millis,
}

impl OpenInterval {
    fn starting_at(started_at_ms: Millis) -> Self {
        OpenInterval {
            started_at_ms,
            ..OpenInterval::default()
        }
    }

    fn add(&mut self, sample: &FitSample) {
        self.thread_time_ms += sample.thread_time_ms;
        self.weighted_thread_time += sample.thread_time_ms * sample.threads_ratio;
        self.weighted_work += sample.work_ms * sample.threads_ratio;
        self.outcomes += 1;
    }

    fn is_full(&self, now_ms: Millis) -> bool {
        self.outcomes >= MIN_INTERVAL_OUTCOMES && now_ms - self.started_at_ms >= MIN_INTERVAL_MS
    }
}

/// Linear and quadratic coefficients of the least-squares parabola.
struct Parabola {
    slope: f64,
    curvature: f64,
}

/// The sums for a fit of throughput against threads, the open interval, and the resulting limit.
#[derive(Default)]
pub(super) struct ParabolaFit {
    /// Weighted sums of the powers 0 to 4 of the threads ratio.
    thread_powers: [f64; 5],
    /// Weighted sums of the powers 0 to 2 of the threads ratio, each multiplied by the throughput.
    work_moments: [f64; 3],
    interval: OpenInterval,
    initial_limit: f64,
    limit: f64,
    stepping_up: bool,
    last_throughput: f64,
}

impl ParabolaFit {
    /// Creates a fit without samples, whose limit is `initial_limit`.
    pub(super) fn new(initial_limit: f64, now_ms: Millis) -> Self {
        ParabolaFit {
            interval: OpenInterval::starting_at(now_ms),
            initial_limit,
            limit: initial_limit,
            stepping_up: true,
            ..ParabolaFit::default()
        }
    }

    /// The initial limit.
    pub(super) fn initial_limit(&self) -> f64 {
        self.initial_limit
    }

    /// The concurrency limit, in the same unit as the initial limit.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Adds a served attempt. At the end of an interval, older intervals lose weight and the limit
    /// is updated.
    pub(super) fn add_sample(&mut self, sample: &FitSample, rule: &FitRule, now_ms: Millis) {
        self.interval.add(sample);
        if !self.interval.is_full(now_ms) {
            return;
        }
        let time = self
            .interval
            .thread_time_ms
            .max(MIN_INTERVAL_THREAD_TIME_MS);
        let threads_ratio = self.interval.weighted_thread_time / time;
        let throughput = self.interval.weighted_work / time;
        self.add_interval(threads_ratio, throughput);
        let throughput_rose = throughput > self.last_throughput;
        self.last_throughput = throughput;
        self.interval = OpenInterval::starting_at(now_ms);
        let intervals = self.thread_powers[0];
        if intervals >= rule.min_intervals {
            self.update_limit(throughput_rose, rule.step);
        }
    }

    fn add_interval(&mut self, threads_ratio: f64, throughput: f64) {
        let powers = [
            1.0,
            threads_ratio,
            threads_ratio * threads_ratio,
            threads_ratio.powi(3),
            threads_ratio.powi(4),
        ];
        for (sum, power) in self.thread_powers.iter_mut().zip(powers) {
            *sum = *sum * INTERVAL_DECAY + power;
        }
        for (sum, power) in self.work_moments.iter_mut().zip(powers) {
            *sum = *sum * INTERVAL_DECAY + power * throughput;
        }
    }

    fn update_limit(&mut self, throughput_rose: bool, step: f64) {
        let Some(Parabola { slope, curvature }) = self.solve() else {
            return;
        };
        let max_limit = self.initial_limit * MAX_LIMIT_MULTIPLE;
        if curvature < 0.0 {
            let peak = -slope / (2.0 * curvature) * self.initial_limit;
            self.limit = peak.clamp(self.initial_limit * MIN_LIMIT_SHARE, max_limit);
            return;
        }
        // Without a peak, the limit moves one step in the direction that last raised the
        // throughput, but never below the initial limit.
        self.stepping_up = self.stepping_up == throughput_rose;
        let signed_step = if self.stepping_up { step } else { -step };
        self.limit =
            (self.limit + signed_step * self.initial_limit).clamp(self.initial_limit, max_limit);
    }

    /// Solves for the least-squares parabola by Cramer's rule; returns `None` where the samples are
    /// too close together.
    fn solve(&self) -> Option<Parabola> {
        let [s0, s1, s2, s3, s4] = self.thread_powers;
        let [t0, t1, t2] = self.work_moments;
        // Cofactors of the symmetric matrix of the moments, named by row and column.
        let c00 = s2 * s4 - s3 * s3;
        let c01 = s1 * s4 - s2 * s3;
        let c02 = s1 * s3 - s2 * s2;
        let c11 = s0 * s4 - s2 * s2;
        let c12 = s0 * s3 - s1 * s2;
        let c22 = s0 * s2 - s1 * s1;
        let determinant = s0 * c00 - s1 * c01 + s2 * c02;
        let is_regular = determinant.abs() > SINGULAR_DETERMINANT * s0 * s2 * s4;
        is_regular.then(|| Parabola {
            slope: (-c01 * t0 + c11 * t1 - c12 * t2) / determinant,
            curvature: (c02 * t0 - c12 * t1 + c22 * t2) / determinant,
        })
    }
}

impl Dispatcher {
    /// Whether one more query of the class stays within the engine's concurrency limit.
    ///
    /// If this manager's share of the engine is smaller than a query of the widest class, that is,
    /// of the class that uses the most threads, one of two other limits must be met as well: its
    /// threads on all engines stay within the sum of its limits, or the engine's reported threads
    /// stay within the limit for all managers. Either is enough, because a manager that sends no
    /// queries gets no new information about the engines (ecd87ede).
    pub(super) fn within_concurrency_limit(&self, class: usize, engine: &Engine) -> bool {
        let threads = self.threads(class);
        // The share of busy cores does not show queries that wait for memory or for a bulk load, so
        // only reported counts are used.
        let all_managers_limit =
            INITIAL_THREADS_PER_CORE * self.pooled_limit.limit() * self.available_cores(engine);
        let within_reported_limit = self.reports_count_queries
            && self.estimated_threads(engine) + threads <= all_managers_limit;
        let own_limit =
            self.fleet_share_threads * self.traffic_weight() * self.pooled_limit.limit();
        let within_own_limit =
            self.running_threads + threads <= own_limit.max(self.max_class_threads);
        let within_engine_limit = f64::from(engine.own_threads) + threads <= engine.limit.limit();
        let share_covers_widest_class = engine.share_threads >= self.max_class_threads;
        within_engine_limit
            && (share_covers_widest_class || within_reported_limit || within_own_limit)
    }
}
