//! The configuration of one workload manager. The platform provides it as a JSON file, whose path
//! is in the environment variable `NODE_CONFIG`.
//!
//! [`NodeConfig`] is the checked configuration, and [`json`] defines the format of the file.
//! [`endpoint_list`] has the types that configuration and discovery share, and [`front_ends`] the
//! front ends that operators may enable. A configuration that cannot be used gives a
//! [`ConfigError`].

mod endpoint_list;
mod error;
mod front_ends;
mod json;
mod missing_key;

pub use endpoint_list::{
    EndpointListEvent, EngineRecord, engine_id, format_engine_id, parse_engine_id, socket_address,
};
pub use error::ConfigError;
pub use front_ends::{
    EngineProtocol, FlightFrontEndConfig, OptionalFrontEnds, SnmpAgentConfig,
    parse_loopback_address,
};

use crate::decision::ListUpdateKind;
use crate::settings_json::{self, PlatformSettings};
use json::ConfigFile;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Minimum number of descriptors. The program uses this value if the file has a lower one.
const MIN_DESCRIPTORS: usize = 64;

/// Minimum memory in MB. The program uses this value if the file has a lower one.
const MIN_MEMORY_MB: usize = 32;

/// The complete configuration of one workload manager.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The name of the workload manager.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Maximum number of open descriptors.
    pub max_descriptors: usize,
    /// Maximum memory use, in MB.
    pub memory_mb: usize,
    /// The admin address, if there is one.
    pub admin: Option<SocketAddr>,
    /// The descriptor of a listening socket, if the platform passes one to the process.
    pub listen_fd: Option<i32>,
    /// The folder that this process shares with its peer process in a hot restart, if there is one.
    pub shared_folder: Option<PathBuf>,
    /// The address of the discovery feed.
    pub feed: SocketAddr,
    /// Number of the last event of the endpoint list that the file includes.
    pub last_known_event: u64,
    /// The events of the endpoint list that the file includes.
    pub events: Vec<EndpointListEvent>,
    /// The platform's settings.
    pub settings: PlatformSettings,
    /// The file as JSON values without its events. It is used to find keys that a new file lacks.
    pub values: Value,
}

impl NodeConfig {
    /// Reads a configuration file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or its text is invalid: see [`NodeConfig::parse`].
    pub fn load(path: &Path) -> Result<NodeConfig, ConfigError> {
        let text = std::fs::read(path).map_err(|source| ConfigError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        NodeConfig::parse(&text)
    }

    /// Parses the text of a configuration file.
    ///
    /// # Errors
    ///
    /// The text is not JSON of the expected format, or one of its values is invalid.
    pub fn parse(text: &[u8]) -> Result<NodeConfig, ConfigError> {
        let file: ConfigFile<'_> = serde_json::from_slice(text)?;
        let values = values_without_events(text)?;
        let settings = settings_json::parse(file.settings.get().as_bytes())?;
        let seed = parse_seed(&file.seed)?;
        let events = parse_events(file.known.events, &settings)?;
        Ok(NodeConfig {
            name: file.name,
            listen: file.listen,
            seed,
            max_descriptors: file.limits.max_descriptors.max(MIN_DESCRIPTORS),
            memory_mb: (file.limits.memory_mb as usize).max(MIN_MEMORY_MB),
            admin: file.admin,
            listen_fd: None,
            shared_folder: None,
            feed: file.feed,
            last_known_event: file.known.last_event,
            events,
            settings,
            values,
        })
    }

    /// Returns the path of a key that is in `in_force`, the values of the current configuration,
    /// but not in this one. Without that key, this configuration is incomplete.
    pub fn missing_key(&self, in_force: &Value) -> Option<String> {
        missing_key::find(in_force, &self.values)
    }
}

/// Returns the file as JSON values, without the known events, because they differ between files.
fn values_without_events(text: &[u8]) -> Result<Value, serde_json::Error> {
    let mut values: Value = serde_json::from_slice(text)?;
    if let Some(known) = values.get_mut("known") {
        *known = Value::Null;
    }
    Ok(values)
}

/// Parses a hexadecimal seed. An empty text gives 0.
fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    if text.is_empty() {
        return Ok(0);
    }
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::InvalidSeed(text.to_owned()))
}

fn parse_events(
    events: Vec<json::KnownEvent>,
    settings: &PlatformSettings,
) -> Result<Vec<EndpointListEvent>, ConfigError> {
    let mut events = events
        .into_iter()
        .map(|event| event.into_event(settings))
        .collect::<Result<Vec<_>, _>>()?;
    // The first event has the full list, even if its `reset` field is false.
    if let Some(first) = events.first_mut() {
        first.kind = ListUpdateKind::Full;
    }
    Ok(events)
}
