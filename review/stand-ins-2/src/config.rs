//! The platform's configuration file of a small deployment, with settings like those of the site
//! `bangna-campus`.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// The attempts that one connection to an engine carries at once.
pub const STREAMS_PER_CONNECTION: u32 = 100;

/// A class of the settings.
fn class(name: &str, effect: &str, promise_ms: u32, give_up_ms: u32, points: u32) -> Value {
    json!({
        "name": name, "effect": effect, "promiseMs": promise_ms, "giveUpMs": give_up_ms,
        "aimStretch": 2.5, "points": points, "lateWorth": 0.3, "memorySpanMs": 5000,
        "dedupScope": "all", "streamed": false,
    })
}

/// The settings: three classes, one zone and one kind of engine.
pub fn settings() -> Value {
    json!({
        "nInstances": 2, "ordinal": 0, "az": 0, "discovery": "push", "serviceType": "queries",
        "classes": [
            class("seat-check", "repeatable", 500, 2500, 1),
            class("usage-report", "repeatable", 3000, 15000, 20),
            class("log-load", "once", 3000, 25000, 30),
        ],
        "tenants": [
            {"name": "member-north", "quotaPerS": 28.0, "share": 0.55},
            {"name": "member-river", "quotaPerS": 20.0, "share": 0.45},
        ],
        "zones": ["hall-a"], "shapes": ["std-8c"], "weights": "nominal",
        "report": {"how": "inline", "names": ["rif"]},
        "charges": {"crossZone": 0.022},
        "guarantees": {
            "answerSlackMs": 20, "coldMs": 15000, "coldShare": 0.3, "drainGraceMs": 250,
            "overloadForMs": 1500, "tipMultiple": 3,
        },
        "limits": {
            "attemptsCap": 6, "cancel": true, "connIdleMs": 15000, "connectTimeoutMs": 250,
            "maxOpen": 30000, "maxRetryAfterMs": 1000, "mayProbe": false, "mayTell": false,
            "parallelTries": false, "retryAfter": false, "streamsPerConn": STREAMS_PER_CONNECTION,
        },
        "specifics": {
            "bills": true, "classLoad": [false, false, true], "classThreads": [1, 3, 2],
            "kindMemoryMb": [16384.0], "maxGrantShare": 0.4, "memoryShort": "wait",
            "progressMs": 500, "sizeCores": [8], "takesGrants": true, "takesPriority": true,
            "waitsForLoads": [false, false, false],
        },
    })
}

/// The machine of a workload manager.
#[derive(Clone, Copy)]
pub struct Machine {
    pub memory_mb: u32,
    pub sockets: u32,
}

/// The text of the configuration file.
pub fn text(
    listen: SocketAddr,
    feed: SocketAddr,
    engines: &[SocketAddr],
    machine: &Machine,
    settings: &Value,
) -> String {
    let instances: Vec<Value> = engines
        .iter()
        .enumerate()
        .map(|(index, address)| {
            json!({
                "instanceId": engine_id(index), "hostPort": address.to_string(),
                "zone": "hall-a", "machineType": "std-8c", "cell": 0, "lifecycle": "active",
                "weight": 1, "startedAtMs": 0,
            })
        })
        .collect();
    json!({
        "name": "n1", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": machine.memory_mb, "sockets": machine.sockets},
        "feed": feed.to_string(),
        "known": {"n": 1, "events": [{"n": 1, "members":
            {"generation": 1, "reset": true, "instances": instances}}]},
        "settings": settings,
    })
    .to_string()
}

/// The id of an engine, as the list has it.
pub fn engine_id(index: usize) -> String {
    format!("s-{:08x}", index + 1)
}
