//! Soak test of the Flight SQL front end with Flight SQL engines under random faults. A workload
//! manager serves Flight SQL clients that stand still at times and read slowly, platform clients
//! that cancel most of their requests in bursts, and in some runs a client that reads nothing.
//! Engines refuse calls at any point of an attempt, break connections and are replaced. The manager
//! is drained, reloads its configuration and shuts down. The engines and clients check the rules
//! (see `rules`).
//!
//! Each seed is one run of a few seconds. `FLIGHT_SOAK_SEEDS=FIRST-LAST` chooses the seeds; the
//! default is 1 to 12.

#[path = "../scene/mod.rs"]
#[allow(
    dead_code,
    reason = "uses the scene's clients and configuration, but not its scripts"
)]
mod scene;

mod burst_client;
#[path = "../fault_soak/draws.rs"]
mod draws;
mod engine;
mod flight_client;
mod manager;
mod relay;
mod rules;

use draws::SeededRandom;
use flight_client::FlightClientSetup;
use manager::{Manager, ManagerEnd};
use rules::Rules;
use scene::soak::{KILL_AFTER_TERM, run_seeds};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

const ENGINE_COUNT: usize = 4;
const FLIGHT_CLIENT_COUNT: u64 = 5;
const BURST_CLIENT_COUNT: u64 = 2;

/// Time from the manager's start to its shutdown.
const SERVING_TIME: Duration = Duration::from_millis(1600);

/// Time after the start of the shutdown during which clients still send calls.
const SENDING_TIME_AFTER_SHUTDOWN: Duration = Duration::from_millis(300);

#[test]
fn no_rule_is_broken_with_flight_clients_and_engines_under_faults() {
    run_seeds("FLIGHT_SOAK_SEEDS", "1-12", run_seed);
}

/// Runs one seed on a single-threaded runtime and returns the violations of the rules.
fn run_seed(seed: u64) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let rules = Rules::default();
    runtime.block_on(run_with_faults(seed, &rules));
    let summary = rules.summary();
    println!("seed {seed}: {summary}");
    assert!(
        summary.served > 0 && summary.runs > 0,
        "seed {seed}: nothing was served"
    );
    rules.take_violations()
}

async fn run_with_faults(seed: u64, rules: &Rules) {
    let mut random = SeededRandom::new(seed);
    let engines = start_engines(rules, &mut random).await;
    let manager = Manager::start(&engines).await;
    let (sending, may_send) = watch::channel(true);
    let mut clients = JoinSet::new();
    for number in 0..FLIGHT_CLIENT_COUNT {
        let setup = FlightClientSetup {
            name: format!("f{number}"),
            manager: manager.flight_address,
            rules: rules.clone(),
            may_send: may_send.clone(),
        };
        clients.spawn(flight_client::run(setup, random.fork()));
    }
    for number in 0..BURST_CLIENT_COUNT {
        let name = format!("b{number}");
        let (address, rules) = (manager.platform_address, rules.clone());
        clients.spawn(burst_client::run(name, address, rules, may_send.clone()));
    }
    let _reads_nothing = if seed.is_multiple_of(4) {
        Some(flight_client::connect_without_reading(manager.flight_address).await)
    } else {
        None
    };
    disturb_manager(&manager, seed).await;
    let ended = manager.shut_down();
    sleep(SENDING_TIME_AFTER_SHUTDOWN).await;
    sending.send_replace(false);
    check_end(&ended.await, rules);
    while let Some(client) = clients.join_next().await {
        if let Err(error) = client {
            rules.add_violation(format!("a client task failed: {error}"));
        }
    }
}

async fn start_engines(rules: &Rules, random: &mut SeededRandom) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for _ in 0..ENGINE_COUNT {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        addresses.push(listener.local_addr().expect("address"));
        tokio::spawn(engine::serve(listener, rules.clone(), random.fork()));
    }
    addresses
}

/// Drains the manager for a while and reloads its configuration, in an order that the seed sets.
async fn disturb_manager(manager: &Manager, seed: u64) {
    let pause = SERVING_TIME / 4;
    sleep(pause).await;
    if seed.is_multiple_of(2) {
        manager.reload();
    }
    manager.set_drained(true).await;
    sleep(pause).await;
    manager.set_drained(false).await;
    if !seed.is_multiple_of(2) {
        manager.reload();
    }
    sleep(pause * 2).await;
}

fn check_end(end: &ManagerEnd, rules: &Rules) {
    if end.shutdown_time > KILL_AFTER_TERM {
        rules.add_violation(format!(
            "the shutdown took {:?}, longer than the platform waits",
            end.shutdown_time
        ));
    }
}
