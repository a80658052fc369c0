//! Scenarios on loopback sockets; `scene` says how they read.

#[path = "../scene/mod.rs"]
#[allow(dead_code, reason = "each test target uses a part of the scene")]
mod scene;

mod admin_address;
mod attempts;
mod configuration;
mod connections;
mod faulty_peers;
mod flight_sql;
mod front_end_combinations;
mod process_lifecycle;
mod snmp_agent;
