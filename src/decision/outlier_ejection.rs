//! Outlier ejection: an engine that rejects queries, or fails queries that other engines serve,
//! gets nothing new for a pause. The pause doubles with each ejection, up to 4 s.

use super::health_checks::INITIAL_PAUSE_MS;
use super::{Action, Dispatcher, EngineHealthChange, Millis, RequestId};

/// Maximum number of doublings of the initial pause, which limits a pause to 4 s. The pause grows
/// because each trial after a pause delays the query that is sent.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Weight of one outcome in the moving mean of an engine's share of errors, which covers about five
/// outcomes.
const ERROR_GAIN: f64 = 0.2;
/// Consecutive attributed errors from which an engine is suspect.
const SUSPECT_ERRORS: u32 = 2;
/// Number of engines that have to fail a query before the query itself counts as faulty.
pub(super) const MAX_FAILING_ENGINES: usize = 3;

/// Errors and ejections of one engine.
#[derive(Default)]
pub(super) struct OutlierState {
    /// Share of its attempts that end in an error, as a moving mean.
    error_share: f64,
    /// Errors since it last served a query, counting only queries that another engine then served.
    attributed_errors: u32,
    /// Ejections since it last served a query, at most [`MAX_PAUSE_DOUBLINGS`].
    ejections: u32,
    ejected_until_ms: Millis,
}

impl OutlierState {
    /// Share of the engine's attempts that end in an error.
    pub(super) fn error_share(&self) -> f64 {
        self.error_share
    }

    /// Time at which its ejection ends; in the past if it is not ejected.
    pub(super) fn ejected_until_ms(&self) -> Millis {
        self.ejected_until_ms
    }

    /// Whether the engine has been ejected since it last served a query.
    pub(super) fn was_ejected(&self) -> bool {
        self.ejections > 0
    }

    /// Whether enough errors are attributed to the engine for it to count as suspect.
    pub(super) fn is_suspect(&self) -> bool {
        self.attributed_errors >= SUSPECT_ERRORS
    }

    /// Ejects the engine for a pause. Each ejection doubles the pause until the engine serves a
    /// query again.
    pub(super) fn eject(&mut self, now_ms: Millis) {
        self.ejections = (self.ejections + 1).min(MAX_PAUSE_DOUBLINGS);
        let pause_factor = f64::from(1 << self.ejections);
        self.ejected_until_ms = now_ms + INITIAL_PAUSE_MS * pause_factor;
    }

    /// Records a query that the engine served.
    pub(super) fn record_served(&mut self) {
        self.ejections = 0;
        self.ejected_until_ms = 0.0;
        self.attributed_errors = 0;
        self.error_share -= ERROR_GAIN * self.error_share;
    }

    /// Records a query that the engine answered with an error. A suspect engine is ejected again.
    pub(super) fn record_error(&mut self, now_ms: Millis) {
        self.error_share += ERROR_GAIN * (1.0 - self.error_share);
        if self.is_suspect() {
            self.eject(now_ms);
        }
    }

    /// Records an error on a query that another engine has served, and ejects the engine when it
    /// becomes suspect. Returns whether this error has ejected it.
    fn attribute_error(&mut self, now_ms: Millis) -> bool {
        self.attributed_errors = self.attributed_errors.saturating_add(1);
        let has_become_suspect = self.attributed_errors == SUSPECT_ERRORS;
        if has_become_suspect {
            self.eject(now_ms);
        }
        has_become_suspect
    }

    /// Clears the errors that precede a restart of the engine.
    pub(super) fn clear_errors(&mut self) {
        self.error_share = 0.0;
        self.attributed_errors = 0;
    }
}

impl Dispatcher {
    /// Attributes errors to the engines that failed a request that another engine has served.
    ///
    /// An error alone does not show a faulty engine, because engines also answer with an error to
    /// queries that no engine can serve. However, an engine that fails every query immediately
    /// appears to be idle.
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
