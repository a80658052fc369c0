//! The configuration file of one real workload manager, as the platform writes it.

use super::fleet;
use serde_json::{Value, json};
use std::net::SocketAddr;
use workload_manager::node_config::{EndpointListEvent, EngineRecord, format_engine_id};
use workload_manager::{EngineState, ListUpdateKind};

/// The number of the event that holds the full list.
pub(super) const FIRST_EVENT: u64 = 1;

/// What a configuration file is made of.
pub(super) struct Configuration<'a> {
    /// Where the list feed listens.
    pub feed: SocketAddr,
    /// Descriptors that the manager may hold.
    pub sockets: usize,
    /// Memory that it may use, in MB.
    pub memory_mb: usize,
    /// Managers of the fleet.
    pub managers: u32,
    /// The engines that the file lists; none leaves `known` without an event.
    pub listed: &'a [EngineRecord],
}

impl Configuration<'_> {
    /// The file with the usual settings.
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

/// The list of this many ready engines that all listen at this port, each at an address of its own.
pub(super) fn ready_engines(engines: usize, port: u16) -> Vec<EngineRecord> {
    (0..engines as u32)
        .map(|index| engine_at(index, EngineState::Ready, 0.0, port))
        .collect()
}

/// The event that holds this list.
pub(super) fn first_event(listed: &[EngineRecord]) -> EndpointListEvent {
    EndpointListEvent {
        number: FIRST_EVENT,
        kind: ListUpdateKind::Full,
        records: listed.to_vec(),
        unusable_engines: Vec::new(),
    }
}

/// The engine in this place. Ids start at 1, as the first address of a network may not be connected to.
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
