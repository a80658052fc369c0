//! The end of an attempt: the estimates of its engine and class are updated, and its request is
//! finished, retried or ended.

use super::concurrency_limit::{
    ENGINE_MIN_INTERVALS, FitRule, FitSample, INITIAL_THREADS_PER_CORE, POOLED_MIN_INTERVALS,
};
use super::requests::{FirstExecution, InFlightAttempt};
use super::{
    Action, AttemptEnded, Dispatcher, EndReason, Engine, EngineHealthChange, EngineId, Millis,
    Outcome, RequestId,
};
use super::{TICK_MS, class_statistics::MIN_WORK_MS};

/// Lower bound on the latency of an attempt in the estimates, in ms.
const MIN_ELAPSED_MS: Millis = 0.1;
/// Bounds on the natural logarithm of latency over work.
const MIN_LOG_SLOWDOWN: f64 = -3.0;
const MAX_LOG_SLOWDOWN: f64 = 5.0;
/// Upper bound on the thread time of a very long attempt in the parabola fits, in multiples of the
/// thread time that its work takes at the mean slowdown.
const MAX_FIT_TIME_MULTIPLE: f64 = 4.0;

/// An ended attempt, with the values from which the estimates are updated.
struct AttemptMeasurements {
    attempt: InFlightAttempt,
    class: usize,
    /// Whether the client sent an estimate of its work.
    has_estimate: bool,
    elapsed_ms: Millis,
    /// The work that it needed in ms, if the engine reported it.
    measured_work_ms: Option<f64>,
    /// Threads per core on its engine, at least 1.
    crowding: f64,
}

/// Whether the engine may have run an attempt with this outcome.
fn may_have_run(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
    )
}

/// Returns the value if it is finite and above 0.
fn positive(value: Option<f64>) -> Option<f64> {
    value.filter(|value| value.is_finite() && *value > 0.0)
}

impl Dispatcher {
    /// Handles the end of an attempt: its request is finished, waits for a retry, or gets its final
    /// answer.
    pub(super) fn on_attempt_ended(&mut self, ended: &AttemptEnded, actions: &mut Vec<Action>) {
        let id = ended.id;
        let crowding = self.crowding(ended.engine);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.in_flight.take() else {
            return;
        };
        let measurements = AttemptMeasurements {
            class: request.class,
            has_estimate: request.estimated_work_ms.is_some(),
            elapsed_ms: ended.elapsed_ms,
            measured_work_ms: ended.measured_work_ms,
            crowding,
            attempt,
        };
        let is_finished = request.is_finished || ended.answered;
        let arrival_number = request.arrival_number;
        self.record_memory_error(id, ended.measured_memory_mb);
        self.release_engine(id, &measurements.attempt, ended.outcome);
        self.pause_order_key(id, ended.outcome);
        self.apply_outcome(id, &measurements, ended.outcome, actions);
        if is_finished || ended.outcome == Outcome::Ok {
            return self.finish(id);
        }
        // The request keeps its arrival number, and so its position in the queue.
        self.queue.insert(arrival_number, id);
        if let Some(reason) = self.reason_to_end(id, ended.outcome) {
            return self.reject_or_fail(id, reason, actions);
        }
        self.send_health_checks(id, actions);
    }

    /// The reason to end a request after an attempt with this outcome; `None` if it waits for a
    /// retry.
    fn reason_to_end(&self, id: RequestId, outcome: Outcome) -> Option<EndReason> {
        if outcome == Outcome::NotSent {
            return Some(EndReason::NotSent);
        }
        if !self.may_resend(id) {
            return Some(EndReason::NoRetryAllowed);
        }
        self.is_too_late(id).then_some(EndReason::TooLate)
    }

    /// Threads per core on an engine, at least 1.
    fn crowding(&self, engine_id: EngineId) -> f64 {
        self.engines.get(&engine_id).map_or(1.0, |engine| {
            (self.estimated_threads(engine) / self.available_cores(engine)).max(1.0)
        })
    }

    fn record_memory_error(&mut self, id: RequestId, measured_memory_mb: Option<f64>) {
        let request = &self.requests[&id];
        let estimated_mb = request.estimated_memory_mb;
        if let (Some(measured_mb), Some(estimated_mb)) =
            (positive(measured_memory_mb), estimated_mb)
        {
            let statistics = &mut self.class_statistics[request.class];
            statistics
                .memory_error
                .record((measured_mb / estimated_mb).ln());
        }
    }

    /// Removes an ended attempt from its engine, and records where and when the request may have
    /// run first.
    fn release_engine(&mut self, id: RequestId, attempt: &InFlightAttempt, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&attempt.engine) else {
            return;
        };
        let threads = self.settings.classes[request.class].threads;
        engine.own_threads = engine.own_threads.saturating_sub(threads);
        self.running_threads -= f64::from(threads);
        engine.running.remove(&id);
        if may_have_run(outcome) && request.first_execution.is_none() {
            request.first_execution = Some(FirstExecution {
                zone: engine.entry.zone,
                cell: engine.entry.cell,
                sent_at_ms: attempt.sent_at_ms,
            });
        }
    }

    /// Pauses the request's order key if the attempt may still run.
    fn pause_order_key(&mut self, id: RequestId, outcome: Outcome) {
        if may_have_run(outcome) && outcome != Outcome::Error {
            let order_key = self.requests[&id].order_key;
            let until_ms = self.now_ms + self.settings.order_key_pause_ms;
            self.order_keys.pause(order_key, until_ms);
        }
    }

    /// Updates the health and the estimates of the attempt's engine by the outcome.
    fn apply_outcome(
        &mut self,
        id: RequestId,
        measurements: &AttemptMeasurements,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let engine_id = measurements.attempt.engine;
        match outcome {
            Outcome::Ok => {
                self.record_measurements(measurements);
                self.record_success(engine_id, actions);
                if let Some(engine) = self.engines.get_mut(&engine_id) {
                    engine.outlier.record_served();
                }
                self.attribute_errors(id, actions);
            }
            Outcome::Error => {
                if let Some(engine) = self.engines.get_mut(&engine_id) {
                    engine.outlier.record_error(self.now_ms);
                }
                if let Some(request) = self.requests.get_mut(&id) {
                    request.failed_on.push(engine_id);
                }
            }
            Outcome::Rejected => {
                if let Some(engine) = self.engines.get_mut(&engine_id) {
                    engine.outlier.eject(self.now_ms);
                }
                self.mark_saturated(engine_id);
            }
            Outcome::NoConnection => {
                self.record_failure(engine_id, EngineHealthChange::Unreachable, actions);
            }
            Outcome::NoConnectionSlot => self.on_no_connection_slot(id, engine_id),
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Handles an attempt that got no connection slot, which does not count as an attempt.
    ///
    /// For one tick, its engine and all engines without an attempt in flight get nothing new. An
    /// engine with an attempt in flight has a connection already.
    fn on_no_connection_slot(&mut self, id: RequestId, engine_id: EngineId) {
        let until_ms = self.now_ms + TICK_MS;
        for engine in self.engines.values_mut() {
            if engine.running.is_empty() || engine.entry.engine == engine_id {
                engine.failures.pause_until(until_ms);
            }
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts -= 1;
        }
    }

    /// Updates the estimates from a served attempt: its class's work, the slowdown of its engine
    /// and of all engines, and the throughput in the fits of the concurrency limit.
    fn record_measurements(&mut self, measurements: &AttemptMeasurements) {
        if !measurements.elapsed_ms.is_finite() {
            return;
        }
        let attempt = &measurements.attempt;
        let thread_time_ms =
            measurements.elapsed_ms.max(MIN_ELAPSED_MS) * self.threads(measurements.class);
        let measured_work_ms = positive(measurements.measured_work_ms);
        self.work_is_measured |= measured_work_ms.is_some();
        let work_ms = measured_work_ms.unwrap_or(attempt.work_ms);
        let log_slowdown = (thread_time_ms / work_ms.max(MIN_WORK_MS))
            .ln()
            .clamp(MIN_LOG_SLOWDOWN, MAX_LOG_SLOWDOWN);
        // Only the estimates of served queries are used: clients may send any estimate, but engines
        // serve no nonsense queries.
        let statistics = &mut self.class_statistics[measurements.class];
        if measurements.has_estimate {
            statistics.record_work(attempt.estimated_work_ms);
            // The error of the estimate comes from the measured work, or without it from the
            // latency compared with that of all attempts.
            let excess_log_slowdown = log_slowdown - self.slowdown.log_ratio();
            let log_error = measured_work_ms.map_or(excess_log_slowdown, |measured| {
                (measured / attempt.estimated_work_ms).ln()
            });
            statistics.work_error.record(log_error);
        } else {
            let uncrowded_ms = thread_time_ms / measurements.crowding;
            statistics.record_work(measured_work_ms.unwrap_or(uncrowded_ms));
        }
        self.served_work.record(work_ms);
        self.slowdown.record(log_slowdown);
        if let Some(engine) = self.engines.get_mut(&attempt.engine) {
            let log_crowding = measurements.crowding.ln();
            engine.slowdown.record(log_slowdown, log_crowding);
            self.add_to_limit_fits(measurements, thread_time_ms, work_ms);
        }
    }

    /// Adds a served attempt to the fit of its engine, and to the pooled fit over all engines,
    /// which is used for engines with few attempts of their own.
    ///
    /// The sample consists of the threads on the engine while the attempt ran, of its thread time
    /// and of its work. An attempt without an answer is not added.
    fn add_to_limit_fits(
        &mut self,
        measurements: &AttemptMeasurements,
        thread_time_ms: f64,
        work_ms: f64,
    ) {
        let threads = self.threads(measurements.class);
        let threads_at_start = measurements.attempt.threads_at_start;
        let engine = &self.engines[&measurements.attempt.engine];
        let own_threads = (threads_at_start.own + f64::from(engine.own_threads) + threads) / 2.0;
        let all_per_core_now =
            (self.estimated_threads(engine) + threads) / self.available_cores(engine);
        let all_per_core = (threads_at_start.all_per_core + all_per_core_now) / 2.0;
        let warm_cores = engine.warm_cores;
        let max_thread_time_ms = MAX_FIT_TIME_MULTIPLE * work_ms * self.slowdown.bounded_mean();
        let thread_time_ms = thread_time_ms.min(max_thread_time_ms);
        let pooled_sample = FitSample {
            threads_ratio: all_per_core / INITIAL_THREADS_PER_CORE,
            thread_time_ms,
            work_ms,
        };
        let pooled_rule = FitRule {
            min_intervals: POOLED_MIN_INTERVALS,
            step: threads / INITIAL_THREADS_PER_CORE / warm_cores,
        };
        self.pooled_limit
            .add_sample(&pooled_sample, &pooled_rule, self.now_ms);
        let is_warm = |engine: &&mut Engine| engine.is_warm(self.now_ms);
        let engine = self.engines.get_mut(&measurements.attempt.engine);
        if let Some(engine) = engine.filter(is_warm) {
            let sample = FitSample {
                threads_ratio: own_threads / engine.limit.initial_limit(),
                thread_time_ms,
                work_ms,
            };
            let rule = FitRule {
                min_intervals: ENGINE_MIN_INTERVALS,
                step: threads / engine.limit.initial_limit(),
            };
            engine.limit.add_sample(&sample, &rule, self.now_ms);
        }
    }
}
