//! Scenarios on loopback sockets; `scene` says how they read.

#[path = "../scene/mod.rs"]
#[allow(dead_code, reason = "each test target uses a part of the scene")]
mod scene;

mod agent;
mod attempts;
mod configuration;
mod connections;
mod flight;
mod fronts;
mod operations;
mod peers;
mod process;
