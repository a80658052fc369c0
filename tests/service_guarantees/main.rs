//! The operators' four service guarantees, each forced on loopback sockets against complete workload managers. `docs/service-guarantees.md`
//! names the guard behind each test, and how the test failed without it.

#[path = "../scene/mod.rs"]
#[allow(dead_code, reason = "each test target uses a part of the scene")]
mod scene;

mod client_disconnect;
mod descriptor_limit;
mod fake_engine;
mod restart_readiness;
mod slow_start;
