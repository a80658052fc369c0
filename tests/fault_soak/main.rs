//! Soak test under injected faults. It runs the program itself with engines that fail, clients that
//! disconnect or keep sending until the end, system calls that fail, a wall clock step, several
//! signals in a row and, in some runs, many idle connections. Meanwhile the endpoint list reports
//! engines as draining and ready again. The engines and the clients check the rules on attempts and
//! answers (see `rules`).
//!
//! Each seed is one run of a few seconds. `SOAK_SEEDS=FIRST-LAST` chooses the seeds; the default is
//! 1 to 12.

#[path = "../scene/mod.rs"]
#[allow(
    dead_code,
    reason = "uses the scene's processes and clients, but not its scripts"
)]
mod scene;

mod client;
mod draws;
mod engine;
mod feed;
mod rules;

use client::ClientSetup;
use draws::SeededRandom;
use feed::Feed;
use rules::Rules;
use scene::child_process::{KillOnDrop, program, signal, stderr_of, wait_for_line};
use scene::configuration;
use scene::soak::{KILL_AFTER_TERM, ready_engines_event, run_seeds};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

const ENGINE_COUNT: usize = 3;
const CLIENT_COUNT: u64 = 4;

/// Number of idle connections in the runs that have them: more than the manager's connection slots.
const IDLE_CONNECTIONS: usize = 40;

/// Time from the manager's start to SIGTERM.
const SERVING_TIME: Duration = Duration::from_millis(1500);

/// Time after SIGTERM during which clients still open new connections.
const CONNECT_TIME_AFTER_TERM: Duration = Duration::from_millis(300);

/// Result of one run: the violations of the rules, and the numbers of attempts and of retries among
/// them.
struct RunResult {
    violations: Vec<String>,
    attempts: usize,
    retries: usize,
}

#[test]
fn no_rule_is_broken_under_faults() {
    let library = build_fault_library();
    run_seeds("SOAK_SEEDS", "1-12", |seed| {
        let result = run_seed(seed, &library);
        println!(
            "seed {seed}: {} attempts, {} of them retries, violations: {:#?}",
            result.attempts, result.retries, result.violations
        );
        assert!(result.attempts > 0, "seed {seed}: no attempt was made");
        result.violations
    });
}

/// Builds the shared library that injects faults into system calls.
fn build_fault_library() -> PathBuf {
    let library = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("faults.so");
    let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fault_soak/faults.c");
    let compiler_status = Command::new("cc")
        .args(["-O2", "-shared", "-fPIC", "-o"])
        .arg(&library)
        .args([source, "-ldl"])
        .status();
    assert!(compiler_status.expect("cc").success());
    library
}

/// Runs one seed on a single-threaded runtime.
fn run_seed(seed: u64, library: &PathBuf) -> RunResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(run_with_faults(seed, library))
}

/// Runs the manager with fake engines, clients and feed, and collects the violations.
async fn run_with_faults(seed: u64, library: &PathBuf) -> RunResult {
    let mut random = SeededRandom::new(seed);
    let rules = Rules::default();
    let mut engines = Vec::new();
    for _ in 0..ENGINE_COUNT {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let number = engines.len();
        engines.push(listener.local_addr().expect("address"));
        tokio::spawn(engine::serve(
            number,
            listener,
            rules.clone(),
            random.fork(),
        ));
    }
    let feed = Feed::start().await;
    let (mut child, manager) = start_manager(seed, library, &engines, feed.address);
    let mut idle_connections = Vec::new();
    if seed.is_multiple_of(4) {
        for _ in 0..IDLE_CONNECTIONS {
            idle_connections.push(TcpStream::connect(manager).await);
        }
    }
    let (connecting, may_connect) = watch::channel(true);
    let setup = ClientSetup {
        manager,
        rules: rules.clone(),
        may_connect,
    };
    let mut clients = JoinSet::new();
    for number in 0..CLIENT_COUNT {
        clients.spawn(client::run(number, setup.clone(), random.fork()));
    }
    sleep(SERVING_TIME / 2).await;
    signal(&child, "HUP");
    drain_engines(&feed, &rules, &engines, &mut random).await;
    if child.try_wait().expect("status").is_some() {
        rules.add_violation("the manager exited before it got a signal to stop".to_owned());
    }
    stop_manager(&mut child, &rules, &connecting).await;
    while let Some(ended) = clients.join_next().await {
        if let Err(error) = ended {
            rules.add_violation(format!("a client task failed: {error}"));
        }
    }
    let (violations, attempts, retries) = rules.take_results();
    RunResult {
        violations,
        attempts,
        retries,
    }
}

/// Reports one engine as draining and as ready again, and then another one as draining until the
/// end of the run. Takes half of the time up to SIGTERM.
async fn drain_engines(
    feed: &Feed,
    rules: &Rules,
    engines: &[SocketAddr],
    random: &mut SeededRandom,
) {
    let first = random.in_range(0, ENGINE_COUNT as u64) as usize;
    let second = (first + 1) % ENGINE_COUNT;
    for (engine, draining) in [(first, true), (first, false), (second, true)] {
        rules.set_draining(engine, draining);
        feed.publish_state(engine, engines[engine], draining);
        sleep(SERVING_TIME / 6).await;
    }
}

/// Stops the manager with several signals in a row, while clients keep sending on their open
/// connections. Kills the manager if it has not exited with status 0 by the earliest time at which
/// the platform would kill it.
async fn stop_manager(child: &mut Child, rules: &Rules, connecting: &watch::Sender<bool>) {
    let killed_at = Instant::now() + KILL_AFTER_TERM;
    for (name, pause) in [("TERM", 100), ("HUP", 100), ("TERM", 100), ("USR1", 0)] {
        signal(child, name);
        sleep(Duration::from_millis(pause)).await;
    }
    sleep_until(killed_at - KILL_AFTER_TERM + CONNECT_TIME_AFTER_TERM).await;
    connecting.send_replace(false);
    if !has_succeeded_by(child, killed_at).await {
        rules.add_violation(
            "the manager did not exit with status 0 before the platform would kill it".to_owned(),
        );
        let _ = child.kill();
    }
}

/// Waits until the manager exits, at most until the given time. Returns whether it has exited with
/// status 0.
async fn has_succeeded_by(child: &mut Child, time: Instant) -> bool {
    while Instant::now() < time {
        if let Some(status) = child.try_wait().expect("status") {
            return status.success();
        }
        sleep(Duration::from_millis(5)).await;
    }
    false
}

/// Starts the manager with injected faults. Returns the process and its listen address.
fn start_manager(
    seed: u64,
    library: &PathBuf,
    engines: &[SocketAddr],
    feed: SocketAddr,
) -> (KillOnDrop, SocketAddr) {
    let endpoint_list = ready_engines_event(engines);
    let step_s = ["0", "3600", "-3600", "5"][(seed % 4) as usize];
    let mut child = program(
        &format!("soak-{seed}"),
        &configuration(feed, &endpoint_list),
        "",
    )
    .env("LD_PRELOAD", library)
    .env("FAULT_SEED", seed.to_string())
    .env("CLOCK_STEP_S", step_s)
    .env("CLOCK_STEP_AFTER_MS", "600")
    .stderr(Stdio::piped())
    .spawn()
    .expect("program");
    let mut stderr = stderr_of(&mut child);
    let line = wait_for_line(&mut stderr, "serves on");
    // The rest of standard error is read to its end: a full pipe would block the manager.
    std::thread::spawn(move || std::io::copy(&mut stderr, &mut std::io::sink()));
    let address = line.split("serves on ").nth(1).expect("an address");
    let address = address.split(',').next().expect("an address").trim();
    (KillOnDrop(child), address.parse().expect("an address"))
}
