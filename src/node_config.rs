//! The configuration of one workload manager: the platform's JSON file that `NODE_CONFIG` names.
//!
//! [`NodeConfig`] is the checked configuration that the node works with, [`json`] the file's form. The types that
//! configuration and discovery share are in [`endpoint_list`], the front ends that operators may turn on in
//! [`front_ends`]. Whatever cannot be used is a [`ConfigError`] with a plain message.

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
    EngineProtocol, FlightFrontConfig, OptionalFronts, SnmpAgentConfig, parse_loopback_address,
};

use crate::decision::ListUpdateKind;
use crate::settings_json::{self, PlatformSettings};
use json::ConfigFile;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The fewest descriptors that the program works with, whatever the file says.
const MIN_DESCRIPTORS: usize = 64;

/// The least memory in MB that the program works with, whatever the file says.
const MIN_MEMORY_MB: usize = 32;

/// The complete configuration of one workload manager.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Its name.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Descriptors that it may hold.
    pub max_descriptors: usize,
    /// Memory that it may use, in MB.
    pub memory_mb: usize,
    /// The admin address, if there is one.
    pub admin: Option<SocketAddr>,
    /// The descriptor of a listening socket that the platform hands over, if it does.
    pub listen_fd: Option<i32>,
    /// The folder that this process shares with its peer in a hot restart, if there is one.
    pub shared_folder: Option<PathBuf>,
    /// The address of the discovery feed.
    pub feed: SocketAddr,
    /// Number of the last event of the endpoint list that the file knows.
    pub last_known_event: u64,
    /// The events that the file knows.
    pub events: Vec<EndpointListEvent>,
    /// The platform's settings.
    pub settings: PlatformSettings,
    /// The file as JSON values without its events, to find the keys that another file lacks.
    pub values: Value,
}

impl NodeConfig {
    /// Reads a configuration file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or see [`NodeConfig::parse`].
    pub fn load(path: &Path) -> Result<NodeConfig, ConfigError> {
        let text = std::fs::read(path).map_err(|source| ConfigError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        NodeConfig::parse(&text)
    }

    /// Reads a configuration's text.
    ///
    /// # Errors
    ///
    /// The text is not JSON of the expected form, or one of its values cannot be used.
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

    /// The path of a key that the file in force has and this one lacks. Such a file is a part of a configuration only.
    pub fn missing_key(&self, in_force: &Value) -> Option<String> {
        missing_key::find(in_force, &self.values)
    }
}

/// The file as JSON values. Events are left out, as they differ from file to file.
fn values_without_events(text: &[u8]) -> Result<Value, serde_json::Error> {
    let mut values: Value = serde_json::from_slice(text)?;
    if let Some(known) = values.get_mut("known") {
        *known = Value::Null;
    }
    Ok(values)
}

/// A seed in hexadecimal; an empty one counts as 0.
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
    // The first event holds the full list, however it is marked.
    if let Some(first) = events.first_mut() {
        first.kind = ListUpdateKind::Full;
    }
    Ok(events)
}
