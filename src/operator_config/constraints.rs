//! The limits that the platform's settings place on the operators' file.

use crate::decision::{Class, Idempotency, Millis};
use crate::settings_json::PlatformSettings;

/// The parts of the platform's settings that the operators' file is checked against.
#[derive(Clone, Debug, Default)]
pub struct PlatformConstraints {
    /// The classes, in the order of the settings.
    pub classes: Vec<ClassConstraints>,
    /// The names of the members, in the order of the settings; empty if the settings list no
    /// tenants.
    pub members: Vec<String>,
    /// The largest number of attempts of one request, the first included.
    pub max_attempts: u32,
    /// Whether a request may have two attempts in flight at once.
    pub parallel_attempts_allowed: bool,
}

/// A class in the platform's settings.
#[derive(Clone, Debug)]
pub struct ClassConstraints {
    /// The name of the class.
    pub name: String,
    /// Whether a second run may do harm. True for a class whose requests may run once only, and for
    /// one whose requests may run once within a group of engines and a time window.
    pub non_idempotent: bool,
    /// How long a client waits for the answer, in ms.
    pub client_timeout_ms: Millis,
}

impl PlatformConstraints {
    /// Extracts the constraints from the platform's settings.
    pub fn from_settings(platform: &PlatformSettings) -> PlatformConstraints {
        let settings = &platform.settings;
        let constraints = |(name, class): (&String, &Class)| ClassConstraints {
            name: name.clone(),
            non_idempotent: class.idempotency != Idempotency::Idempotent,
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

    /// The position of the class with this name.
    pub(crate) fn class_position(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }
}
