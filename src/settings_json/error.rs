//! Errors of the settings.

use crate::decision::SettingsError;
use thiserror::Error;

/// Why a settings text cannot be used.
#[derive(Debug, Error)]
pub enum ParseSettingsError {
    /// The text is not JSON of the expected form.
    #[error("settings: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A class has no time to answer in.
    #[error("settings: a deadline that is not above 0: class {class} has {milliseconds} ms")]
    NonPositiveTime {
        /// The class's position.
        class: usize,
        /// Its latency objective or client timeout.
        milliseconds: f64,
    },
    /// Requests may make no attempt.
    #[error("settings: a number of attempts that is not above 0: {0}")]
    TooFewAttempts(f64),
    /// The effect of a class is unknown, or its scope of duplicate detection is.
    #[error("settings: class {class} has effect {effect:?}, scope {scope:?}")]
    UnknownEffect {
        /// The class's position.
        class: usize,
        /// The value of `effect`.
        effect: String,
        /// The value of `dedupScope`.
        scope: String,
    },
    /// A retry budget is given without the window that it counts over.
    #[error("settings: a budget of further attempts without its window")]
    BudgetWithoutWindow,
    /// The figures contradict each other or make no sense.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
}
