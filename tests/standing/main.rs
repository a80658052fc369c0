//! The operators' standing terms, each forced on loopback sockets against whole workload managers. `docs/standing.md`
//! names the guard behind each test, and how the test was seen to fail without it.

#[path = "../scene/mod.rs"]
#[allow(dead_code, reason = "each test target uses a part of the scene")]
mod scene;

mod cold;
mod descriptors;
mod engine;
mod leaving;
mod readiness;
