//! Load estimates: the threads that run on each engine, for this manager and, by load reports, for
//! the other managers.

use super::concurrency_limit::INITIAL_THREADS_PER_CORE;
use super::health_checks::HEALTH_CHECK_INTERVAL_MS;
use super::slowdown::{LATENCY_GAIN, PRESSURE_BUSY_SHARE};
use super::{Dispatcher, Engine, EngineId, LoadReport, Millis, class_statistics::WORK_GAIN};

/// Weight of one report in a moving mean. Reports are noisy, and refreshed a few times per second.
const REPORT_GAIN: f64 = 0.3;
/// Time constant in ms with which an engine's estimate decays from its last report to the fleet's
/// mean.
const REPORT_DECAY_MS: Millis = 2000.0;

/// Weight of a new report in a moving mean: it rises with the age of the last report, and is at
/// least `min_gain`.
fn aged_gain(min_gain: f64, age_ms: Millis, time_constant_ms: Millis) -> f64 {
    min_gain.max(1.0 - (-age_ms / time_constant_ms).exp())
}

/// Returns the value if it is finite and not negative.
fn non_negative(value: Option<f64>) -> Option<f64> {
    value.filter(|value| value.is_finite() && *value >= 0.0)
}

/// Load of one engine, from its load reports.
pub(super) struct EngineLoad {
    /// Moving mean of the threads of other managers' queries.
    other_threads: f64,
    /// Moving mean of the share of its cores that is busy.
    busy_share: f64,
    last_report_at_ms: Millis,
}

impl Default for EngineLoad {
    fn default() -> Self {
        EngineLoad {
            other_threads: 0.0,
            busy_share: 0.0,
            last_report_at_ms: f64::NEG_INFINITY,
        }
    }
}

impl EngineLoad {
    /// The share of its cores that is busy.
    pub(super) fn busy_share(&self) -> f64 {
        self.busy_share
    }

    /// Time in ms since its last report.
    pub(super) fn report_age_ms(&self, now_ms: Millis) -> Millis {
        now_ms - self.last_report_at_ms
    }

    /// Weight of its last report, which decays from 1 to 0; the rest of the weight is on the
    /// fleet's mean.
    pub(super) fn report_weight(&self, now_ms: Millis) -> f64 {
        (-(now_ms - self.last_report_at_ms) / REPORT_DECAY_MS).exp()
    }

    /// Marks the engine as saturated: raises the threads of other managers to this number at least.
    fn mark_saturated(&mut self, threads: f64, now_ms: Millis) {
        self.other_threads = self.other_threads.max(threads);
        self.last_report_at_ms = now_ms;
    }

    /// Clears the load, but keeps the time of the last report.
    pub(super) fn clear_load(&mut self) {
        self.other_threads = 0.0;
        self.busy_share = 0.0;
    }
}

/// Moving mean of the load that other managers' queries put on the engines that have warmed up.
#[derive(Default)]
pub(super) struct FleetLoad {
    threads_per_core: f64,
    last_report_at_ms: Millis,
}

impl FleetLoad {
    fn record(&mut self, threads_per_core: f64, now_ms: Millis) {
        let age_ms = now_ms - self.last_report_at_ms;
        let gain = aged_gain(LATENCY_GAIN, age_ms, REPORT_DECAY_MS);
        self.threads_per_core += gain * (threads_per_core - self.threads_per_core);
        self.last_report_at_ms = now_ms;
    }
}

/// Mean threads of this manager's queries, weighted by their run time.
#[derive(Default)]
pub(super) struct ThreadsPerQuery {
    /// Exponentially decaying sum of threads multiplied by run time.
    thread_time_ms: f64,
    /// Exponentially decaying sum of run time.
    time_ms: f64,
}

impl ThreadsPerQuery {
    /// Adds a query that is sent.
    pub(super) fn record(&mut self, threads: f64, time_ms: f64) {
        self.thread_time_ms += time_ms * threads - WORK_GAIN * self.thread_time_ms;
        self.time_ms += time_ms - WORK_GAIN * self.time_ms;
    }

    fn mean(&self) -> f64 {
        if self.time_ms > 0.0 {
            self.thread_time_ms / self.time_ms
        } else {
            1.0
        }
    }
}

impl Dispatcher {
    /// Estimated threads on an engine: those of this manager, and those of others by load reports.
    /// Without reports, the load of others shows only in the latency.
    pub(super) fn estimated_threads(&self, engine: &Engine) -> f64 {
        let fleet_threads = if engine.is_warm(self.now_ms) {
            self.fleet_load.threads_per_core * self.available_cores(engine)
        } else {
            0.0
        };
        let weight = engine.load.report_weight(self.now_ms);
        f64::from(engine.own_threads)
            + fleet_threads
            + (engine.load.other_threads - fleet_threads) * weight
    }

    /// Marks an engine as saturated, as a load report of it would.
    pub(super) fn mark_saturated(&mut self, engine_id: EngineId) {
        if let Some(engine) = self.engines.get_mut(&engine_id) {
            let threads = engine.warm_cores * INITIAL_THREADS_PER_CORE * self.pooled_limit.limit();
            engine.load.mark_saturated(threads, self.now_ms);
        }
    }

    /// Handles a load report of an engine.
    pub(super) fn on_load_report(&mut self, engine_id: EngineId, report: LoadReport) {
        // Hung queries hold memory while cores and disks are idle. The share of granted memory
        // keeps such an engine from seeming idle (29742104).
        let shares = [report.cpu_busy, report.disk_busy, report.memory_granted];
        let highest_share = shares.into_iter().filter_map(non_negative).reduce(f64::max);
        let threads_per_query = self.threads_per_query.mean();
        let max_threads_per_core = INITIAL_THREADS_PER_CORE * self.pooled_limit.limit();
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return;
        };
        let waiting_threads = non_negative(report.memory_queue).unwrap_or(0.0) * threads_per_query;
        let counted_threads = non_negative(report.inflight)
            .map(|queries| (queries - engine.running.len() as f64) * threads_per_query);
        self.reports_count_queries |= counted_threads.is_some();
        // Without a count, the highest share replaces the threads per core. From the pressure
        // threshold on, further threads do not raise the share, so the engine counts as filled to
        // its limit.
        let threads_from_busy_share = highest_share.map(|busy| {
            let per_core = if busy < PRESSURE_BUSY_SHARE {
                busy
            } else {
                max_threads_per_core
            };
            engine.warm_cores * per_core - f64::from(engine.own_threads) + waiting_threads
        });
        let Some(other_threads) = counted_threads.or(threads_from_busy_share) else {
            return;
        };
        let age_ms = engine.load.report_age_ms(self.now_ms);
        let gain = aged_gain(REPORT_GAIN, age_ms, HEALTH_CHECK_INTERVAL_MS);
        engine.load.last_report_at_ms = self.now_ms;
        if self.settings.instances > 1 {
            let other_threads = other_threads.max(0.0);
            engine.load.other_threads += gain * (other_threads - engine.load.other_threads);
            // An engine that has just started answers soonest, and would hide the load of the
            // others in the mean.
            if engine.is_warm(self.now_ms) {
                let per_core = other_threads / engine.warm_cores;
                self.fleet_load.record(per_core, self.now_ms);
            }
        }
        // With a count of queries, the shares of disks and memory add no information.
        let busy = if counted_threads.is_some() {
            non_negative(report.cpu_busy)
        } else {
            highest_share
        };
        let change = busy.map_or(0.0, |busy| gain * (busy - engine.load.busy_share));
        engine.load.busy_share += change;
    }
}
