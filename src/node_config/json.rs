//! The JSON format of the configuration file. Keys that the platform may leave out have defaults.

use super::{ConfigError, EndpointListEvent, EngineRecord, parse_engine_id};
use crate::decision::{EngineEntry, EngineId, EngineState, ListUpdateKind};
use crate::settings_json::PlatformSettings;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::{SocketAddr, SocketAddrV4};

/// Maximum number of descriptors if the file gives none.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// Maximum memory in MB if the file gives none.
const DEFAULT_MEMORY_MB: f64 = 192.0;

/// The whole file.
#[derive(Deserialize)]
pub(super) struct ConfigFile<'a> {
    #[serde(default)]
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    #[serde(default)]
    pub(super) seed: String,
    #[serde(default)]
    pub(super) limits: MachineLimits,
    #[serde(rename = "ops")]
    pub(super) admin: Option<SocketAddr>,
    pub(super) feed: SocketAddr,
    #[serde(default)]
    pub(super) known: KnownEvents,
    #[serde(borrow)]
    pub(super) settings: &'a RawValue,
}

/// The resources of the machine that the process may use.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct MachineLimits {
    #[serde(rename = "sockets")]
    pub(super) max_descriptors: usize,
    pub(super) memory_mb: f64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits {
            max_descriptors: DEFAULT_DESCRIPTORS,
            memory_mb: DEFAULT_MEMORY_MB,
        }
    }
}

/// The events of the endpoint list up to the start of the process.
#[derive(Default, Deserialize)]
pub(super) struct KnownEvents {
    #[serde(default, rename = "n")]
    pub(super) last_event: u64,
    #[serde(default)]
    pub(super) events: Vec<KnownEvent>,
}

/// One event of the endpoint list.
#[derive(Deserialize)]
pub(super) struct KnownEvent {
    #[serde(rename = "n")]
    number: u64,
    members: Members,
}

#[derive(Deserialize)]
struct Members {
    /// Whether the event has the full list. Otherwise it has changes only.
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

/// One engine of the endpoint list.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: SocketAddrV4,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u16,
    #[serde(default = "default_lifecycle")]
    lifecycle: String,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    started_at_ms: f64,
}

fn default_lifecycle() -> String {
    "active".to_owned()
}

impl KnownEvent {
    /// Converts the event to the core's types.
    ///
    /// # Errors
    ///
    /// An engine id is invalid.
    pub(super) fn into_event(
        self,
        settings: &PlatformSettings,
    ) -> Result<EndpointListEvent, ConfigError> {
        let kind = if self.members.reset {
            ListUpdateKind::Full
        } else {
            ListUpdateKind::Delta
        };
        let (mut records, mut unusable_engines) = (Vec::new(), Vec::new());
        for instance in self.members.instances {
            let engine = instance.engine()?;
            match instance.into_record(engine, settings) {
                Some(record) => records.push(record),
                None => unusable_engines.push(engine),
            }
        }
        Ok(EndpointListEvent {
            number: self.number,
            kind,
            records,
            unusable_engines,
        })
    }
}

impl Instance {
    fn engine(&self) -> Result<EngineId, ConfigError> {
        parse_engine_id(&self.instance_id)
            .ok_or_else(|| ConfigError::InvalidEngineId(self.instance_id.clone()))
    }

    /// Converts the engine to a record. Returns `None` if its state is unknown, or if it is ready
    /// and its zone or machine type is not in the settings.
    fn into_record(self, engine: EngineId, settings: &PlatformSettings) -> Option<EngineRecord> {
        let state = match self.lifecycle.as_str() {
            "active" => EngineState::Ready,
            "leaving" => EngineState::Draining,
            "left" => EngineState::Removed,
            _ => return None,
        };
        let mut zone = position(&settings.zones, &self.zone);
        let mut machine_type = position(&settings.machine_types, &self.machine_type);
        if state != EngineState::Ready {
            zone = zone.or(Some(0));
            machine_type = machine_type.or(Some(0));
        }
        let entry = EngineEntry {
            engine,
            zone: zone? as u8,
            machine_type: machine_type? as u16,
            cell: self.cell,
            state,
            nominal_capacity: self.weight,
            started_at_ms: self.started_at_ms,
            sharing: None,
        };
        Some(EngineRecord {
            entry,
            address: SocketAddr::V4(self.host_port),
        })
    }
}

/// Returns the position of a name in the settings' names. If the settings list no names, every name
/// has position 0.
fn position(names: &[String], name: &str) -> Option<usize> {
    if names.is_empty() {
        return Some(0);
    }
    names.iter().position(|known| known == name)
}
