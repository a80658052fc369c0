//! Tests of the operators' four service guarantees. Each test provokes the failure that its
//! guarantee excludes, on loopback sockets and against complete workload managers.
//! `docs/service-guarantees.md` describes the code that upholds each guarantee, and how each test
//! failed without that code.

#[path = "../scene/mod.rs"]
#[allow(dead_code, reason = "each test target uses a part of the scene")]
mod scene;

mod client_disconnect;
mod client_memory;
mod descriptor_limit;
mod fake_engine;
mod flooding_client;
mod process_on_small_machine;
mod restart_readiness;
mod reused_engine_address;
mod slow_start;
