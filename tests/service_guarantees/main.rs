//! The operators' standing terms, each forced on loopback sockets against whole workload managers. `docs/service-guarantees.md`
//! names the guard behind each test, and how the test was seen to fail without it.

#[path = "../scene/mod.rs"]
#[allow(dead_code, reason = "each test target uses a part of the scene")]
mod scene;

mod client_disconnect;
mod descriptor_limit;
mod fake_engine;
mod restart_readiness;
mod slow_start;
