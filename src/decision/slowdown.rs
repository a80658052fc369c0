//! Latency over work: how much longer attempts take than their work would alone, over all engines and for each.

use super::{Dispatcher, Engine};

/// Gain of one outcome; an engine's latency is followed over about a second.
pub(super) const LATENCY_GAIN: f64 = 0.08;
/// Log ratio an outcome: how fast the best latency is forgotten.
const BEST_RISE_PER_ATTEMPT: f64 = 0.0002;
/// Latency over the best seen from which the concurrency limit binds.
const PRESSURE_SLOWDOWN: f64 = 1.6;
/// Threads a core, own and others', from which the concurrency limit binds.
const PRESSURE_THREADS_PER_CORE: f64 = 1.3;
/// Reported share of cores busy from which the concurrency limit binds.
pub(super) const PRESSURE_BUSY_SHARE: f64 = 0.92;
/// Bounds of an engine's slowness against the median engine's.
const MIN_SLOWNESS: f64 = 0.6;
const MAX_SLOWNESS: f64 = 12.0;
/// Bounds of the usual slowdown.
const MIN_MEAN_SLOWDOWN: f64 = 0.8;
const MAX_MEAN_SLOWDOWN: f64 = 8.0;
/// The usual slowdown until enough attempts are seen.
const INITIAL_SLOWDOWN: f64 = 1.5;
/// Samples from which a slowdown is used.
const MIN_SAMPLES: u32 = 5;

/// Gain of one more sample: a plain mean at first, then an exponential one.
fn gain(samples: u32) -> f64 {
    LATENCY_GAIN.max(1.0 / f64::from(samples))
}

/// Slowdown over all engines, as a log ratio.
pub(super) struct FleetSlowdown {
    log_ratio: f64,
    samples: u32,
    best_log_ratio: f64,
    /// The median engine's, as of the last tick.
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
    /// The mean log ratio of latency over work.
    pub(super) fn log_ratio(&self) -> f64 {
        self.log_ratio
    }

    /// Takes one served attempt's log ratio of latency over work.
    pub(super) fn record(&mut self, log_ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        self.log_ratio += gain(self.samples) * (log_ratio - self.log_ratio);
        if f64::from(self.samples) > 1.0 / LATENCY_GAIN {
            self.best_log_ratio = (self.best_log_ratio + BEST_RISE_PER_ATTEMPT).min(self.log_ratio);
        }
    }

    /// The usual latency over work, bounded.
    pub(super) fn bounded_mean(&self) -> f64 {
        if self.samples >= MIN_SAMPLES {
            let slowdown = self.log_ratio.exp();
            slowdown.clamp(MIN_MEAN_SLOWDOWN, MAX_MEAN_SLOWDOWN)
        } else {
            INITIAL_SLOWDOWN
        }
    }

    /// Finds the median engine anew.
    pub(super) fn update_median<'a>(&mut self, engines: impl Iterator<Item = &'a Engine>) {
        let mut log_ratios: Vec<f64> = engines
            .filter(|engine| engine.slowdown.is_established())
            .map(|engine| engine.slowdown.log_ratio)
            .collect();
        log_ratios.sort_by(f64::total_cmp);
        self.median_log_ratio = log_ratios.get(log_ratios.len() / 2).copied();
    }

    /// How much slower an engine is than the median one. A common cause slows all engines, so none stands out.
    pub(super) fn relative_slowness(&self, engine: &EngineSlowdown) -> f64 {
        let median = self.median_log_ratio.filter(|_| engine.is_established());
        median.map_or(1.0, |median| {
            let slowness = (engine.log_ratio - median).exp();
            slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS)
        })
    }
}

/// Slowdown of one engine, as a log ratio, without the part that its crowding explains.
#[derive(Default)]
pub(super) struct EngineSlowdown {
    log_ratio: f64,
    samples: u32,
}

impl EngineSlowdown {
    fn is_established(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Takes one served attempt's log ratio of latency over work and of the crowding on its engine.
    pub(super) fn record(&mut self, log_ratio: f64, log_crowding: f64) {
        self.samples = self.samples.saturating_add(1);
        self.log_ratio += gain(self.samples) * (log_ratio - log_crowding - self.log_ratio);
    }

    /// Forgets part of it, with each tick on which nothing is heard of the engine.
    pub(super) fn fade(&mut self, kept_share: f64) {
        self.log_ratio *= kept_share;
    }
}

impl Dispatcher {
    /// How much slower an engine is than the median one.
    pub(super) fn slowness(&self, engine: &Engine) -> f64 {
        self.slowdown.relative_slowness(&engine.slowdown)
    }

    /// Whether the concurrency limit binds: the engine is crowded, busy, slow or ejected of late.
    pub(super) fn is_under_pressure(&self, engine: &Engine) -> bool {
        let is_crowded = self.load(engine) > PRESSURE_THREADS_PER_CORE * self.cores(engine);
        let log_slowdown = self.slowdown.log_ratio + self.slowness(engine).ln();
        let is_slow = log_slowdown > self.slowdown.best_log_ratio + PRESSURE_SLOWDOWN.ln();
        let busy = engine.load.busy_share() * engine.load.report_weight(self.now_ms);
        is_slow || is_crowded || busy > PRESSURE_BUSY_SHARE || engine.outlier.was_ejected()
    }
}
