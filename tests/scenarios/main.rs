//! Scenarios that run a complete workload manager on loopback sockets. The module `scene` describes
//! the steps of their scripts.

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
