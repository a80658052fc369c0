//! Size of the fleet, the settings of a manager, and lists of engines spread over zones.

use workload_manager::node_config::{EndpointListEvent, EngineRecord, engine_id, socket_address};
use workload_manager::settings_json::{self, PlatformSettings};
use workload_manager::{EngineEntry, EngineState, ListUpdateKind};

/// Number of managers in the fleet.
pub(super) const MANAGERS: u32 = 3_700;
/// Memory that a manager may use, in MB.
pub(super) const MEMORY_MB: usize = 256;
/// Maximum number of open file descriptors of a manager.
pub(super) const SOCKETS: usize = 4_096;
/// Statements per second that clients send to one manager.
pub(super) const STATEMENTS_PER_SECOND: f64 = 4_595.0;
/// Numbers of listed engines; the largest is that of the whole fleet.
pub(super) const LIST_SIZES: [usize; 4] = [1_024, 4_096, 10_000, 22_000];
/// The same for the small case.
pub(super) const LIST_SIZES_SMALL: [usize; 4] = [16, 32, 64, 128];
/// Maximum number of in-process managers in one process: all managers of the fleet.
pub(super) const MAX_IN_PROCESS_MANAGERS: usize = MANAGERS as usize;
/// The same for the small case.
pub(super) const MAX_IN_PROCESS_MANAGERS_SMALL: usize = 12;
/// Number of zones over all regions.
pub(super) const ZONES: usize = 14;
/// Number of data sets that the statements use.
pub(super) const DATA_SETS: u32 = 1_000;
/// Cores per engine.
pub(super) const CORES_PER_ENGINE: f64 = 8.0;

const ENGINE_PORT: u16 = 5_050;

/// The settings of one manager as JSON text, as in the configuration file.
pub(super) fn settings_text(managers: u32, ordinal: u32) -> String {
    let zones: Vec<String> = (0..ZONES).map(|zone| format!("\"zone-{zone}\"")).collect();
    let zones = zones.join(",");
    format!(
        r#"{{"nInstances":{managers},"ordinal":{ordinal},"discovery":"push","az":{az},
        "classes":[
        {{"name":"read","effect":"repeatable","promiseMs":1000,"giveUpMs":5000,"points":1}},
        {{"name":"report","effect":"repeatable","promiseMs":3000,"giveUpMs":9000,"points":20}}],
        "guarantees":{{"coldMs":20000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3}},
        "limits":{{"attemptsCap":6,"cancel":true}},
        "report":{{"how":"inline","names":["inflight","util"]}},
        "specifics":{{"bills":true,"classThreads":[1,3],"sizeCores":[{CORES_PER_ENGINE}],"progressMs":500}},
        "shapes":["std"],"zones":[{zones}]}}"#,
        az = ordinal as usize % ZONES,
    )
}

/// The settings of one manager.
pub(super) fn settings(managers: u32, ordinal: u32) -> PlatformSettings {
    settings_json::parse(settings_text(managers, ordinal).as_bytes())
        .expect("the settings of the scale tests are valid")
}

/// The list record of an engine. Each engine has its own address.
pub(super) fn engine_record(id: u32, state: EngineState, started_ms: f64) -> EngineRecord {
    let [high, middle, low, last] = id.to_be_bytes();
    let entry = EngineEntry {
        engine: engine_id(id),
        zone: (id as usize % ZONES) as u8,
        machine_type: 0,
        cell: (id as usize / ZONES % usize::from(u16::MAX)) as u16,
        state,
        nominal_capacity: CORES_PER_ENGINE,
        started_at_ms: started_ms,
        sharing: None,
    };
    EngineRecord {
        entry,
        address: socket_address([127, middle, low, last], ENGINE_PORT + u16::from(high)),
    }
}

/// A full list of this many engines, all of them ready and started long ago.
pub(super) fn full_list(number: u64, engines: usize) -> EndpointListEvent {
    let entries = (0..engines as u32)
        .map(|id| engine_record(id, EngineState::Ready, 0.0))
        .collect();
    EndpointListEvent {
        number,
        kind: ListUpdateKind::Full,
        records: entries,
        unusable_engines: Vec::new(),
    }
}

/// Number of managers per zone. After the loss of a zone, that many start elsewhere at once.
pub(super) const MANAGERS_PER_ZONE: usize = 264;

/// A delta that removes one engine and adds its successor, ready and started at `started_ms`.
pub(super) fn replacement(
    number: u64,
    removed: u32,
    successor: u32,
    started_ms: f64,
) -> EndpointListEvent {
    let entries = vec![
        engine_record(removed, EngineState::Removed, 0.0),
        engine_record(successor, EngineState::Ready, started_ms),
    ];
    EndpointListEvent {
        number,
        kind: ListUpdateKind::Delta,
        records: entries,
        unusable_engines: Vec::new(),
    }
}
