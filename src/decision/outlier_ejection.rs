//! Outlier ejection: engines that reject queries, or fail queries that others serve, rest for growing pauses.

use super::health_checks::INITIAL_PAUSE_MS;
use super::{Action, Dispatcher, EngineHealthChange, Millis, RequestId};

/// Doublings of the first pause, up to 4 s: a trial costs a query its time.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Gain of one outcome; an engine's share of errors is followed over some five.
const ERROR_GAIN: f64 = 0.2;
/// Attributed errors in a row from which an engine is suspect.
const SUSPECT_ERRORS: u32 = 2;
/// Engines that fail a query until the query itself is held to be at fault.
pub(super) const MAX_FAILING_ENGINES: usize = 3;

/// Errors and ejections of one engine.
#[derive(Default)]
pub(super) struct OutlierState {
    /// Share of its ends that are errors, as a moving mean.
    error_share: f64,
    /// Errors on queries that another engine then served, since it last served one.
    attributed_errors: u32,
    /// Ejections since it last served a query, at most [`MAX_PAUSE_DOUBLINGS`].
    ejections: u32,
    ejected_until_ms: Millis,
}

impl OutlierState {
    /// The share of its ends that are errors.
    pub(super) fn error_share(&self) -> f64 {
        self.error_share
    }

    /// When its ejection ends; in the past if it is not ejected.
    pub(super) fn ejected_until_ms(&self) -> Millis {
        self.ejected_until_ms
    }

    /// Whether it was ejected since it last served a query.
    pub(super) fn was_ejected(&self) -> bool {
        self.ejections > 0
    }

    /// Whether errors are attributed to it often enough to take it for faulty.
    pub(super) fn is_suspect(&self) -> bool {
        self.attributed_errors >= SUSPECT_ERRORS
    }

    /// Sends it nothing new for a pause, longer each time until it serves again.
    pub(super) fn eject(&mut self, now_ms: Millis) {
        self.ejections = (self.ejections + 1).min(MAX_PAUSE_DOUBLINGS);
        let pause_factor = f64::from(1 << self.ejections);
        self.ejected_until_ms = now_ms + INITIAL_PAUSE_MS * pause_factor;
    }

    /// Takes a served query.
    pub(super) fn record_served(&mut self) {
        self.ejections = 0;
        self.ejected_until_ms = 0.0;
        self.attributed_errors = 0;
        self.error_share -= ERROR_GAIN * self.error_share;
    }

    /// Takes a query that it answered with an error; a suspect engine is ejected again.
    pub(super) fn record_error(&mut self, now_ms: Millis) {
        self.error_share += ERROR_GAIN * (1.0 - self.error_share);
        if self.is_suspect() {
            self.eject(now_ms);
        }
    }

    /// Takes an error on a query that another engine has served, and ejects the engine once it is suspect.
    /// Returns whether this error ejected it.
    fn attribute_error(&mut self, now_ms: Millis) -> bool {
        self.attributed_errors = self.attributed_errors.saturating_add(1);
        let has_become_suspect = self.attributed_errors == SUSPECT_ERRORS;
        if has_become_suspect {
            self.eject(now_ms);
        }
        has_become_suspect
    }

    /// Forgets the errors of the incarnation before a restart.
    pub(super) fn clear_errors(&mut self) {
        self.error_share = 0.0;
        self.attributed_errors = 0;
    }
}

impl Dispatcher {
    /// Attributes errors to the engines that failed a request that another engine has served.
    ///
    /// An error alone proves nothing, as engines answer so to queries that no engine can serve; yet an engine that
    /// fails everything at once looks free.
    pub(super) fn attribute_errors(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let failed_on = std::mem::take(&mut request.failed_on);
        for engine_id in failed_on {
            let Some(engine) = self.engines.get_mut(&engine_id) else {
                continue;
            };
            if engine.outlier.attribute_error(self.now_ms) {
                actions.push(Action::EngineHealthChanged {
                    engine: engine_id,
                    change: EngineHealthChange::EjectedForErrors,
                });
            }
        }
    }
}
