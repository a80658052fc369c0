//! Reload of the configuration. A new configuration is checked completely; it is then either
//! applied in one step or rejected.

use super::Node;
use crate::core::CoreMessage;
use crate::node_config::{ConfigError, NodeConfig};
use crate::operator_config::{self, Faults, PlatformConstraints};
use crate::retry_policy::Policy;
use crate::settings_json::PlatformSettings;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use thiserror::Error;

/// The reason why a reload is rejected.
#[derive(Debug, Error)]
enum ReloadError {
    /// The configuration cannot be read or used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The new configuration lacks a key that the configuration in force has. At a start the key
    /// would get its default, but at a reload the default would silently replace the value in
    /// force.
    #[error("configuration: {0} is missing")]
    MissingKey(String),
    /// The operators' file cannot be used with the new settings.
    #[error(transparent)]
    OperatorFile(#[from] Faults),
}

/// The settings that only a restart can change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StartOnlySettings {
    listen: SocketAddr,
    max_descriptors: usize,
    memory_mb: usize,
}

impl StartOnlySettings {
    /// Returns these settings of a configuration.
    pub(super) fn from_config(config: &NodeConfig) -> Self {
        StartOnlySettings {
            listen: config.listen,
            max_descriptors: config.max_descriptors,
            memory_mb: config.memory_mb,
        }
    }

    /// Returns the names of the settings that the new configuration changes.
    fn changed_names(&self, config: &NodeConfig) -> impl Iterator<Item = &'static str> {
        let new = StartOnlySettings::from_config(config);
        let limit_settings = |settings: &Self| (settings.max_descriptors, settings.memory_mb);
        let listen_changed = new.listen != self.listen;
        let limits_changed = limit_settings(&new) != limit_settings(self);
        [("listen", listen_changed), ("limits", limits_changed)]
            .into_iter()
            .filter_map(|(name, changed)| changed.then_some(name))
    }
}

/// Returns true if the settings differ in a value that connections and limits use only at the
/// start.
fn connection_settings_differ(old: &PlatformSettings, new: &PlatformSettings) -> bool {
    let connection_settings = |settings: &PlatformSettings| {
        (
            settings.connect_timeout_ms,
            settings.engine_idle_timeout_ms,
            settings.attempts_per_connection,
            settings.max_open_requests,
            settings.settings.progress_interval_ms,
        )
    };
    connection_settings(old) != connection_settings(new)
}

impl Node {
    /// Applies a new configuration, or keeps the old one if the new one cannot be used. A reload
    /// can change the settings and the address of the discovery feed; connections, requests and
    /// engines stay. The events in the configuration date from the start of the process and are not
    /// used: the feed announces changes under its own event numbers.
    pub async fn reload(&self, config: Result<NodeConfig, ConfigError>) {
        let checked = config
            .map_err(ReloadError::from)
            .and_then(|config| self.check_reload(config));
        let (config, policy) = match checked {
            Ok(checked) => checked,
            Err(error) => {
                self.metrics.reloads_rejected.increment();
                tracing::warn!(%error, "reload refused, the old configuration stays in force");
                return;
            }
        };
        let old_settings = self.current_settings.borrow().clone();
        self.warn_of_start_only_changes(&old_settings, &config);
        self.apply_settings(&old_settings, &config.settings, policy)
            .await;
        *self
            .config_values
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = config.values;
        self.feed_sender
            .send_if_modified(|feed| std::mem::replace(feed, config.feed) != config.feed);
        self.metrics.reloads.increment();
        tracing::info!(feed = %config.feed, "reload complete");
    }

    /// Logs a warning for each changed setting that takes effect only at the next start.
    fn warn_of_start_only_changes(&self, old_settings: &PlatformSettings, config: &NodeConfig) {
        let connections = connection_settings_differ(old_settings, &config.settings)
            .then_some("connection settings");
        for setting in self
            .start_only_settings
            .changed_names(config)
            .chain(connections)
        {
            tracing::warn!(
                setting,
                "the changed setting takes effect only at the next start"
            );
        }
    }

    /// Checks a new configuration and the operators' file together: either both are used or
    /// neither. Returns the configuration and the retry policy of the operators' file.
    fn check_reload(&self, config: NodeConfig) -> Result<(NodeConfig, Arc<Policy>), ReloadError> {
        let missing_key = config.missing_key(
            &self
                .config_values
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
        if let Some(key) = missing_key {
            return Err(ReloadError::MissingKey(key));
        }
        let Some(path) = &self.operator_file else {
            return Ok((config, Arc::default()));
        };
        let constraints = PlatformConstraints::from_settings(&config.settings);
        match operator_config::load(path, &constraints) {
            Ok(loaded) => {
                let policy = loaded.map(|file| Arc::new(file.policy));
                Ok((config, policy.unwrap_or_default()))
            }
            Err(faults) => {
                self.metrics.operator_config_rejected.increment();
                Err(faults.into())
            }
        }
    }

    /// Replaces the settings and the retry policy in one step. A slot in the core's mailbox is
    /// reserved first, and nothing is awaited after that. The front ends and the core therefore
    /// handle any request under the same settings and policy, either the old or the new ones.
    async fn apply_settings(
        &self,
        old: &PlatformSettings,
        new: &PlatformSettings,
        policy: Arc<Policy>,
    ) {
        let Some(mailbox_slot) = self.core.reserve().await else {
            return;
        };
        let settings = (*old != *new).then(|| Box::new(new.settings.clone()));
        if settings.is_some() {
            for class in &new.classes {
                self.metrics.outcomes_of_class(&class.name);
            }
            self.current_settings.send_replace(Arc::new(new.clone()));
            tracing::info!("new settings in force");
        }
        *self.policy.lock().unwrap_or_else(PoisonError::into_inner) = policy.clone();
        mailbox_slot.send(CoreMessage::Settings { settings, policy });
        if self
            .operator_file
            .as_ref()
            .is_some_and(|path| path.exists())
        {
            self.metrics.operator_config_loads.increment();
        }
    }
}
