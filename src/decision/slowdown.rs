//! Slowdown: latency over work, that is, how much longer attempts take than their work alone would.
//! It is measured over all engines and for each engine.

use super::{Dispatcher, Engine};

/// Weight of one outcome in a moving mean, which covers about one second of an engine's outcomes.
pub(super) const LATENCY_GAIN: f64 = 0.08;
/// Amount by which each outcome raises the best log ratio, so that an old best value expires.
const BEST_RISE_PER_ATTEMPT: f64 = 0.0002;
/// Slowdown, relative to the best one measured, above which the concurrency limit applies.
const PRESSURE_SLOWDOWN: f64 = 1.6;
/// Threads per core, of this and the other managers' queries, above which the concurrency limit
/// applies.
const PRESSURE_THREADS_PER_CORE: f64 = 1.3;
/// Reported share of busy cores above which the concurrency limit applies.
pub(super) const PRESSURE_BUSY_SHARE: f64 = 0.92;
/// Bounds on an engine's slowness relative to the median engine.
const MIN_SLOWNESS: f64 = 0.6;
const MAX_SLOWNESS: f64 = 12.0;
/// Bounds on the mean slowdown over all engines.
const MIN_MEAN_SLOWDOWN: f64 = 0.8;
const MAX_MEAN_SLOWDOWN: f64 = 8.0;
/// The mean slowdown that is assumed until enough attempts are measured.
const INITIAL_SLOWDOWN: f64 = 1.5;
/// Number of samples from which a measured slowdown is used.
const MIN_SAMPLES: u32 = 5;

/// Weight of one more sample in a mean: it gives an arithmetic mean at first, then an exponential
/// moving mean.
fn gain(samples: u32) -> f64 {
    LATENCY_GAIN.max(1.0 / f64::from(samples))
}

/// Slowdown over all engines, as the logarithm of latency over work.
pub(super) struct FleetSlowdown {
    log_ratio: f64,
    samples: u32,
    best_log_ratio: f64,
    /// Log ratio of the median engine at the last tick.
    median_log_ratio: Option<f64>,
}

impl Default for FleetSlowdown {
    fn default() -> Self {
        FleetSlowdown {
            log_ratio: 0.0,
            samples: 0,
            best_log_ratio: f64::INFINITY,
            median_log_ratio: None,
        }
    }
}

impl FleetSlowdown {
    /// The mean logarithm of latency over work.
    pub(super) fn log_ratio(&self) -> f64 {
        self.log_ratio
    }

    /// Records the log ratio of latency over work of a served attempt.
    pub(super) fn record(&mut self, log_ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        self.log_ratio += gain(self.samples) * (log_ratio - self.log_ratio);
        if f64::from(self.samples) > 1.0 / LATENCY_GAIN {
            self.best_log_ratio = (self.best_log_ratio + BEST_RISE_PER_ATTEMPT).min(self.log_ratio);
        }
    }

    /// The mean latency over work, within bounds; an assumed value until enough attempts are
    /// measured.
    pub(super) fn bounded_mean(&self) -> f64 {
        if self.samples >= MIN_SAMPLES {
            let slowdown = self.log_ratio.exp();
            slowdown.clamp(MIN_MEAN_SLOWDOWN, MAX_MEAN_SLOWDOWN)
        } else {
            INITIAL_SLOWDOWN
        }
    }

    /// Updates the median engine's log ratio.
    pub(super) fn update_median<'a>(&mut self, engines: impl Iterator<Item = &'a Engine>) {
        let mut log_ratios: Vec<f64> = engines
            .filter(|engine| engine.slowdown.is_established())
            .map(|engine| engine.slowdown.log_ratio)
            .collect();
        log_ratios.sort_by(f64::total_cmp);
        self.median_log_ratio = log_ratios.get(log_ratios.len() / 2).copied();
    }

    /// Latency on an engine relative to the median engine. A cause that slows all engines alike
    /// does not change it.
    pub(super) fn relative_slowness(&self, engine: &EngineSlowdown) -> f64 {
        let median = self.median_log_ratio.filter(|_| engine.is_established());
        median.map_or(1.0, |median| {
            let slowness = (engine.log_ratio - median).exp();
            slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS)
        })
    }
}

/// Slowdown of one engine, as the logarithm of latency over work, without the part that crowding on
/// the engine explains.
#[derive(Default)]
pub(super) struct EngineSlowdown {
    log_ratio: f64,
    samples: u32,
}

impl EngineSlowdown {
    /// Whether there are enough samples for the slowdown to be used.
    fn is_established(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Records a served attempt: the log ratio of its latency over its work, and the logarithm of
    /// the crowding on its engine.
    pub(super) fn record(&mut self, log_ratio: f64, log_crowding: f64) {
        self.samples = self.samples.saturating_add(1);
        self.log_ratio += gain(self.samples) * (log_ratio - log_crowding - self.log_ratio);
    }

    /// Decays the measured slowdown to a share of its value. It is called on each tick on which the
    /// engine is silent.
    pub(super) fn decay(&mut self, kept_share: f64) {
        self.log_ratio *= kept_share;
    }
}

impl Dispatcher {
    /// Latency on an engine relative to the median engine.
    pub(super) fn slowness(&self, engine: &Engine) -> f64 {
        self.slowdown.relative_slowness(&engine.slowdown)
    }

    /// Whether the concurrency limit applies: the engine has many threads per core, is busy or
    /// slow, or has been ejected since it last served a query.
    pub(super) fn is_under_pressure(&self, engine: &Engine) -> bool {
        let has_many_threads = self.estimated_threads(engine)
            > PRESSURE_THREADS_PER_CORE * self.available_cores(engine);
        let log_slowdown = self.slowdown.log_ratio + self.slowness(engine).ln();
        let is_slow = log_slowdown > self.slowdown.best_log_ratio + PRESSURE_SLOWDOWN.ln();
        let busy = engine.load.busy_share() * engine.load.report_weight(self.now_ms);
        is_slow || has_many_threads || busy > PRESSURE_BUSY_SHARE || engine.outlier.was_ejected()
    }
}
