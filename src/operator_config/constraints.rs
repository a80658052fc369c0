//! What the platform's settings demand of the operators' file.

use crate::decision::{Class, Idempotency, Millis};
use crate::settings_json::PlatformSettings;

/// What the operators' file is checked against.
#[derive(Clone, Debug, Default)]
pub struct PlatformConstraints {
    /// Classes by position.
    pub classes: Vec<ClassConstraints>,
    /// Members by position; none where the platform names no tenants.
    pub members: Vec<String>,
    /// Attempts that the platform allows a request, the first included.
    pub max_attempts: u32,
    /// Whether a request may have two attempts in flight at once.
    pub parallel_attempts_allowed: bool,
}

/// A class of the settings.
#[derive(Clone, Debug)]
pub struct ClassConstraints {
    /// Its name.
    pub name: String,
    /// Whether a second run may do harm: it may run once only, or once within a group of engines and a time window.
    pub not_idempotent: bool,
    /// How long its clients wait, in ms.
    pub client_timeout_ms: Millis,
}

impl PlatformConstraints {
    /// The constraints of these settings.
    pub fn from_settings(platform: &PlatformSettings) -> PlatformConstraints {
        let settings = &platform.settings;
        let constraints = |(name, class): (&String, &Class)| ClassConstraints {
            name: name.clone(),
            not_idempotent: class.idempotency != Idempotency::Idempotent,
            client_timeout_ms: class.client_timeout_ms,
        };
        let classes = settings.class_names.iter().zip(&settings.classes);
        PlatformConstraints {
            classes: classes.map(constraints).collect(),
            members: platform.tenants.clone(),
            max_attempts: settings.max_attempts,
            parallel_attempts_allowed: platform.parallel_attempts_allowed,
        }
    }

    /// The position of a class.
    pub(crate) fn class_position(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }
}
