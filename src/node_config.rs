//! What a workload manager is told at its start: the platform's JSON file, and the files under `deploy/` that
//! turn the optional fronts on. Whatever cannot be used is a plain message.

use crate::decision::{EngineEntry, EngineId, EngineState, ListUpdateKind};
use crate::settings_json::{self, PlatformSettings};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

/// Why a configuration cannot be used.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

/// One engine as listed, with the address at which this workload manager reaches it.
#[derive(Clone, Debug)]
pub struct EngineRecord {
    /// What the module is told.
    pub entry: EngineEntry,
    /// Where it listens.
    pub address: SocketAddr,
}

/// One event of the list.
#[derive(Clone, Debug)]
pub struct EndpointListEvent {
    /// Its number.
    pub number: u64,
    /// The whole list, or changes.
    pub kind: ListUpdateKind,
    /// The entries.
    pub records: Vec<EngineRecord>,
    /// Engines whose records name a state, zone or kind that the settings do not know: they stay as they were.
    pub unusable_engines: Vec<EngineId>,
}

/// The whole configuration of one workload manager.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors it may hold.
    pub max_descriptors: usize,
    /// Memory that it may use, in MB.
    pub memory_mb: usize,
    /// Where staff ask and tell, if anywhere.
    pub ops: Option<SocketAddr>,
    /// The descriptor under which the platform hands the listening socket over, if it does.
    pub listen_fd: Option<i32>,
    /// The folder that this process shares with its successor, if there is one.
    pub shared_folder: Option<PathBuf>,
    /// Where the control feed listens.
    pub feed: SocketAddr,
    /// Number of the last event known.
    pub last_known_event: u64,
    /// The events known at the start.
    pub events: Vec<EndpointListEvent>,
    /// The settings, as the simulator's first message has them.
    pub settings: PlatformSettings,
    /// The file's text as values, without the events, to tell which keys another file lacks.
    pub values: Value,
}

#[derive(Deserialize)]
struct File<'a> {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Machine,
    ops: Option<SocketAddr>,
    feed: SocketAddr,
    #[serde(default)]
    known: Known,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
struct Machine {
    #[serde(default = "sockets")]
    sockets: usize,
    #[serde(default = "memory")]
    memory_mb: f64,
}

impl Default for Machine {
    fn default() -> Self {
        Machine {
            sockets: sockets(),
            memory_mb: memory(),
        }
    }
}

fn sockets() -> usize {
    1024
}

fn memory() -> f64 {
    192.0
}

#[derive(Default, Deserialize)]
struct Known {
    #[serde(default)]
    n: u64,
    #[serde(default)]
    events: Vec<KnownEvent>,
}

#[derive(Deserialize)]
struct KnownEvent {
    n: u64,
    members: Members,
}

#[derive(Deserialize)]
struct Members {
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Member>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Member {
    instance_id: String,
    host_port: SocketAddrV4,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u16,
    #[serde(default = "active")]
    lifecycle: String,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    started_at_ms: f64,
}

fn active() -> String {
    "active".to_owned()
}

/// The module's name of the engine with this id. Not its address: a new engine may reuse that, and each
/// workload manager is given other addresses, while all have to agree on which engines keep a data set warm.
pub fn engine_id(id: u32) -> EngineId {
    EngineId {
        addr: id.to_be_bytes(),
        port: 0,
    }
}

/// An engine's id as text.
pub fn engine_text(engine: EngineId) -> String {
    format!("s-{:08x}", u32::from_be_bytes(engine.addr))
}

/// The engine with the id that stands in text as `s-` and 8 hex digits.
pub fn engine_named(text: &str) -> Option<EngineId> {
    let hex = text
        .strip_prefix("s-")
        .filter(|hex| hex.len() == 8 && hex.bytes().all(|b| b.is_ascii_hexdigit()))?;
    u32::from_str_radix(hex, 16).ok().map(engine_id)
}

impl Member {
    fn engine(&self) -> Result<EngineId, ConfigError> {
        let wrong = || ConfigError(format!("known events: engine id {:?}", self.instance_id));
        engine_named(&self.instance_id).ok_or_else(wrong)
    }

    /// Its line; none where it names a state, or as one that takes work a zone or kind, that the settings do not know.
    fn listed(self, engine: EngineId, parsed: &PlatformSettings) -> Option<EngineRecord> {
        let state = match self.lifecycle.as_str() {
            "active" => EngineState::Ready,
            "leaving" => EngineState::Draining,
            "left" => EngineState::Removed,
            _ => return None,
        };
        // Where the settings name none, all are the same one.
        let place = |names: &[String], name: &str| {
            if names.is_empty() {
                Some(0)
            } else {
                names.iter().position(|n| n == name)
            }
        };
        let (zone, kind) = (
            place(&parsed.zones, &self.zone),
            place(&parsed.machine_types, &self.machine_type),
        );
        let (zone, kind) = match state {
            EngineState::Ready => (zone?, kind?),
            _ => (zone.unwrap_or_default(), kind.unwrap_or_default()),
        };
        let (zone, kind) = (zone as u8, kind as u16);
        let (cell, nominal, started_ms) = (self.cell, self.weight, self.started_at_ms);
        let entry = EngineEntry {
            engine,
            zone,
            machine_type: kind,
            cell,
            state,
            nominal_capacity: nominal,
            started_at_ms: started_ms,
            sharing: None,
        };
        Some(EngineRecord {
            entry,
            address: SocketAddr::V4(self.host_port),
        })
    }
}

impl NodeConfig {
    /// Reads the file that `NODE_CONFIG` names.
    pub fn load(path: &Path) -> Result<NodeConfig, ConfigError> {
        let text = std::fs::read(path).map_err(|e| {
            ConfigError(format!(
                "cannot read the configuration {}: {e}",
                path.display()
            ))
        })?;
        NodeConfig::parse(&text)
    }

    /// Reads the configuration's text.
    pub fn parse(text: &[u8]) -> Result<NodeConfig, ConfigError> {
        let wrong = |e: serde_json::Error| ConfigError(format!("configuration: {e}"));
        let file: File<'_> = serde_json::from_slice(text).map_err(wrong)?;
        let mut values: Value = serde_json::from_slice(text).map_err(wrong)?;
        if let Some(known) = values.get_mut("known") {
            *known = Value::Null;
        }
        let parsed = settings_json::parse(file.settings.get().as_bytes()).map_err(ConfigError)?;
        let seed = match file.seed.as_str() {
            "" => 0,
            hex => u64::from_str_radix(hex, 16).map_err(|_| {
                ConfigError(format!("configuration: seed {hex:?} is not 16 hex digits"))
            })?,
        };
        let mut events = Vec::new();
        for event in file.known.events {
            let kind = if event.members.reset {
                ListUpdateKind::Full
            } else {
                ListUpdateKind::Delta
            };
            let (mut entries, mut unusable) = (Vec::new(), Vec::new());
            for member in event.members.instances {
                let engine = member.engine()?;
                match member.listed(engine, &parsed) {
                    Some(line) => entries.push(line),
                    None => unusable.push(engine),
                }
            }
            events.push(EndpointListEvent {
                number: event.n,
                kind,
                records: entries,
                unusable_engines: unusable,
            });
        }
        // The first event holds the whole list, however it is marked.
        if let Some(first) = events.first_mut() {
            first.kind = ListUpdateKind::Full;
        }
        Ok(NodeConfig {
            name: file.name,
            listen: file.listen,
            seed,
            max_descriptors: file.limits.sockets.max(64),
            memory_mb: (file.limits.memory_mb as usize).max(32),
            ops: file.ops,
            listen_fd: None,
            shared_folder: None,
            feed: file.feed,
            last_known_event: file.known.n,
            events,
            settings: parsed,
            values,
        })
    }

    /// A key of the file in use that this one lacks: it would not be what it says it is, but a part.
    pub fn lacks(&self, used: &Value) -> Option<String> {
        lacks(used, &self.values).map(|key| key.trim_start_matches('.').to_owned())
    }
}

/// The path of a key that `used` has and `new` lacks. Of a list's entries each has to have what all had.
fn lacks(used: &Value, new: &Value) -> Option<String> {
    match (used, new) {
        (Value::Object(used), Value::Object(new)) => {
            used.iter().find_map(|(key, value)| match new.get(key) {
                None => Some(format!(".{key}")),
                Some(new) => lacks(value, new).map(|rest| format!(".{key}{rest}")),
            })
        }
        (Value::Array(used), Value::Array(new)) => {
            let all: Vec<_> = used.iter().filter_map(Value::as_object).collect();
            let (first, rest) = all.split_first()?;
            let mut shared = first
                .keys()
                .filter(|key| rest.iter().all(|o| o.contains_key(*key)));
            shared
                .find(|key| new.iter().any(|o| o.get(*key).is_none()))
                .map(|key| format!("[].{key}"))
        }
        _ => None,
    }
}

/// The fronts that are off unless a file under `deploy/` turns them on.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OptionalFronts {
    /// Arrow Flight SQL.
    pub flight: Option<FlightFrontConfig>,
    /// The SNMP agent.
    pub snmp: Option<SnmpAgentConfig>,
}

/// The Flight SQL front.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "FlightFront")]
pub struct FlightFrontConfig {
    /// Where it listens.
    pub listen: String,
    /// What the engines of the list speak.
    #[serde(default)]
    pub engines: EngineProtocol,
}

/// What the engines of a list speak.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, schemars::JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Speech")]
pub enum EngineProtocol {
    /// The platform's lines.
    #[default]
    Lines,
    /// Arrow Flight SQL.
    Flight,
}

/// The SNMP agent.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Agent")]
pub struct SnmpAgentConfig {
    /// Where it listens.
    pub listen: String,
    /// The community that may read.
    pub community: String,
}

impl OptionalFronts {
    /// Reads the file; where there is none, both are off.
    pub fn load(path: &Path) -> Result<OptionalFronts, ConfigError> {
        match std::fs::read_to_string(path) {
            Ok(text) => toml::from_str(&text)
                .map_err(|e| ConfigError(format!("{}: {}", path.display(), e.message()))),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(OptionalFronts::default()),
            Err(e) => Err(ConfigError(format!("cannot read {}: {e}", path.display()))),
        }
    }
}

/// An address in a file under `deploy/`; those fronts listen on loopback only.
pub fn loopback(text: &str, what: &str) -> Result<SocketAddr, ConfigError> {
    let at: SocketAddr = text.parse().map_err(|_| {
        ConfigError(format!(
            "{what}: listen address {text:?} is not an address and port"
        ))
    })?;
    if at.ip().is_loopback() {
        Ok(at)
    } else {
        Err(ConfigError(format!(
            "{what}: listen address {text} is not a loopback address"
        )))
    }
}

/// An address from its four bytes and port.
pub fn address(ip: [u8; 4], port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(ip), port))
}
