//! The platform's configuration file for one real workload manager.

use super::fleet;
use serde_json::{Value, json};
use std::net::SocketAddr;
use workload_manager::node_config::{EndpointListEvent, EngineRecord, format_engine_id};
use workload_manager::{EngineState, ListUpdateKind};

/// Number of the event with the full list.
pub(super) const FIRST_EVENT: u64 = 1;

/// The values that vary between configuration files.
pub(super) struct Configuration<'a> {
    /// Address of the discovery feed.
    pub feed: SocketAddr,
    /// Maximum number of open file descriptors of the manager.
    pub sockets: usize,
    /// Memory that the manager may use, in MB.
    pub memory_mb: usize,
    /// Number of managers in the fleet.
    pub managers: u32,
    /// The engines listed in the file. If empty, `known` contains no event.
    pub listed: &'a [EngineRecord],
}

impl Configuration<'_> {
    /// The content of the file, with the settings that all scale tests use.
    pub(super) fn to_json(&self) -> Value {
        let settings: Value = serde_json::from_str(&fleet::settings_text(self.managers, 0))
            .expect("the settings of the scale tests are JSON");
        json!({
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "8c1f30d27a5be964",
            "limits": { "cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets },
            "feed": self.feed.to_string(),
            "known": { "n": FIRST_EVENT, "events": self.events() },
            "settings": settings,
        })
    }

    fn events(&self) -> Vec<Value> {
        if self.listed.is_empty() {
            return Vec::new();
        }
        let instances: Vec<Value> = self.listed.iter().map(instance_json).collect();
        vec![json!({
            "n": FIRST_EVENT,
            "members": { "generation": 1, "reset": true, "instances": instances },
        })]
    }
}

fn instance_json(record: &EngineRecord) -> Value {
    let lifecycle = match record.entry.state {
        EngineState::Ready => "active",
        EngineState::Draining => "leaving",
        EngineState::Removed => "left",
    };
    json!({
        "instanceId": format_engine_id(record.entry.engine),
        "hostPort": record.address.to_string(),
        "zone": format!("zone-{}", record.entry.zone),
        "machineType": "std",
        "cell": record.entry.cell,
        "lifecycle": lifecycle,
        "weight": record.entry.nominal_capacity,
        "startedAtMs": record.entry.started_at_ms,
    })
}

/// The records of this many ready engines, each with its own IP address and all with this port.
pub(super) fn ready_engines(engines: usize, port: u16) -> Vec<EngineRecord> {
    (0..engines as u32)
        .map(|index| engine_at(index, EngineState::Ready, 0.0, port))
        .collect()
}

/// The full-list event with these engines.
pub(super) fn first_event(listed: &[EngineRecord]) -> EndpointListEvent {
    EndpointListEvent {
        number: FIRST_EVENT,
        kind: ListUpdateKind::Full,
        records: listed.to_vec(),
        unusable_engines: Vec::new(),
    }
}

/// The record of the engine with this index. Ids start at 1, as connecting to the first address of
/// a network may fail.
pub(super) fn engine_at(
    index: u32,
    state: EngineState,
    started_ms: f64,
    port: u16,
) -> EngineRecord {
    let mut record = fleet::engine_record(index + 1, state, started_ms);
    record.address.set_port(port);
    record
}
