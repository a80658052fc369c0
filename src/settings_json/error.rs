//! Errors while the platform's settings are parsed.

use crate::decision::SettingsError;
use thiserror::Error;

/// Why the platform's settings cannot be used.
#[derive(Debug, Error)]
pub enum ParseSettingsError {
    /// The text is not JSON of the expected format.
    #[error("settings: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The latency objective or the client timeout of a class is not above 0.
    #[error(
        "settings: class {class}: latency objective or client timeout of {milliseconds} ms is not above 0"
    )]
    NonPositiveTime {
        /// The position of the class in the settings.
        class: usize,
        /// The latency objective or client timeout, in ms.
        milliseconds: f64,
    },
    /// The maximum number of attempts of a request is below 1.
    #[error("settings: the maximum number of attempts is {0}, but must be at least 1")]
    TooFewAttempts(f64),
    /// The effect of a class is unknown, or it is `by_key` and the scope of deduplication is
    /// unknown.
    #[error("settings: class {class}: unknown effect {effect:?} or deduplication scope {scope:?}")]
    UnknownEffect {
        /// The position of the class in the settings.
        class: usize,
        /// The value of `effect`.
        effect: String,
        /// The value of `dedupScope`.
        scope: String,
    },
    /// A retry budget is given without the time window over which it counts.
    #[error("settings: the retry budget has no time window")]
    BudgetWithoutWindow,
    /// The dispatcher rejected the settings: values are out of range or contradict each other.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
}
