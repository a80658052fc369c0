//! A soak under faults: the program itself, with engines that fail, clients that leave and go on sending to the end, system
//! calls that fail, a wall clock that is stepped, signals in series, and in some runs a crowd of idle connections. Engines drain
//! and come back by the list meanwhile. The rules on attempts and answers are checked at the engines and the clients (`rules`).
//!
//! Each seed is a run of a few seconds. `SOAK_SEEDS=FIRST-LAST` chooses the seeds, a dozen without it.

#[path = "../scene/mod.rs"]
#[allow(
    dead_code,
    reason = "the processes and clients of the scenes, without the scenes"
)]
mod scene;

mod client;
mod draws;
mod engine;
mod feed;
mod rules;

use client::ClientSetup;
use draws::Draws;
use feed::Feed;
use rules::Rules;
use scene::child_process::{KillOnDrop, program, signal, stderr_of, wait_for_line};
use scene::configuration;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

const ENGINES: usize = 3;
const CLIENTS: u64 = 4;

/// Idle connections of a crowd: more than the manager has slots for.
const CROWD: usize = 40;

/// Runs side by side.
const RUNS_AT_ONCE: usize = 4;

/// From the start to SIGTERM.
const SERVING: Duration = Duration::from_millis(1500);

/// New connections come for this long after SIGTERM.
const CONNECTING_AFTER_TERM: Duration = Duration::from_millis(300);

/// The platform kills the process this long after SIGTERM: the longest deadline, which counts as 3 s, and 0.7 s.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);

/// What one run showed.
struct Report {
    violations: Vec<String>,
    attempts: usize,
    retries: usize,
}

#[test]
fn no_rule_is_broken_under_faults() {
    let library = build_faults();
    let seeds = Mutex::new(seeds());
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..RUNS_AT_ONCE {
            scope.spawn(|| {
                while let Some(seed) = next(&seeds) {
                    let report = run(seed, &library);
                    println!(
                        "seed {seed}: {} attempts, {} of them retries, violations: {:#?}",
                        report.attempts, report.retries, report.violations
                    );
                    assert!(report.attempts > 0, "seed {seed}: no traffic");
                    let failed = report.violations.into_iter();
                    let failed = failed.map(|violation| format!("seed {seed}: {violation}"));
                    failures.lock().expect("failures").extend(failed);
                }
            });
        }
    });
    let failures = failures.into_inner().expect("failures");
    assert!(failures.is_empty(), "{failures:#?}");
}

fn next(seeds: &Mutex<Vec<u64>>) -> Option<u64> {
    seeds.lock().expect("seeds").pop()
}

/// The chosen seeds, the last first.
fn seeds() -> Vec<u64> {
    let range = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1-12".to_owned());
    let (first, last) = range.split_once('-').expect("FIRST-LAST");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    (number(first)..=number(last)).rev().collect()
}

/// Builds the library that makes system calls fail.
fn build_faults() -> PathBuf {
    let library = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("faults.so");
    let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fault_soak/faults.c");
    let built = Command::new("cc")
        .args(["-O2", "-shared", "-fPIC", "-o"])
        .arg(&library)
        .args([source, "-ldl"])
        .status();
    assert!(built.expect("cc").success());
    library
}

fn run(seed: u64, library: &PathBuf) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(play(seed, library))
}

async fn play(seed: u64, library: &PathBuf) -> Report {
    let mut draws = Draws::new(seed);
    let rules = Rules::default();
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let number = engines.len();
        engines.push(listener.local_addr().expect("address"));
        tokio::spawn(engine::serve(
            number,
            listener,
            rules.clone(),
            draws.branch(),
        ));
    }
    let feed = Feed::start().await;
    let (mut child, manager) = start(seed, library, &engines, feed.address);
    let mut crowd = Vec::new();
    if seed.is_multiple_of(4) {
        for _ in 0..CROWD {
            crowd.push(TcpStream::connect(manager).await);
        }
    }
    let (connecting, may_connect) = watch::channel(true);
    let setup = ClientSetup {
        manager,
        rules: rules.clone(),
        may_connect,
    };
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        clients.spawn(client::play(number, setup.clone(), draws.branch()));
    }
    sleep(SERVING / 2).await;
    signal(&child, "HUP");
    drain_and_return(&feed, &rules, &engines, &mut draws).await;
    if child.try_wait().expect("status").is_some() {
        rules.violated("the manager ended without being asked to".to_owned());
    }
    end(&mut child, &rules, &connecting).await;
    while let Some(ended) = clients.join_next().await {
        if let Err(error) = ended {
            rules.violated(format!("a client: {error}"));
        }
    }
    let (violations, attempts, retries) = rules.finish();
    Report {
        violations,
        attempts,
        retries,
    }
}

/// Until SIGTERM one engine drains for a while, and another one drains to the end of the run.
async fn drain_and_return(feed: &Feed, rules: &Rules, engines: &[SocketAddr], draws: &mut Draws) {
    let first = draws.between(0, ENGINES as u64) as usize;
    let second = (first + 1) % ENGINES;
    for (engine, drains) in [(first, true), (first, false), (second, true)] {
        rules.engine_drains(engine, drains);
        feed.tell(engine, engines[engine], drains);
        sleep(SERVING / 6).await;
    }
}

/// Ends the manager by signals in series, while clients go on sending on the connections that they have. It is killed at
/// the platform's earliest.
async fn end(child: &mut Child, rules: &Rules, connecting: &watch::Sender<bool>) {
    let killed_at = Instant::now() + KILL_AFTER_TERM;
    for (name, pause) in [("TERM", 100), ("HUP", 100), ("TERM", 100), ("USR1", 0)] {
        signal(child, name);
        sleep(Duration::from_millis(pause)).await;
    }
    sleep_until(killed_at - KILL_AFTER_TERM + CONNECTING_AFTER_TERM).await;
    connecting.send_replace(false);
    if !ended_by(child, killed_at).await {
        rules.violated("the manager had to be killed".to_owned());
        let _ = child.kill();
    }
}

/// Whether the manager has ended with 0 by then.
async fn ended_by(child: &mut Child, at: Instant) -> bool {
    while Instant::now() < at {
        if let Some(status) = child.try_wait().expect("status") {
            return status.success();
        }
        sleep(Duration::from_millis(5)).await;
    }
    false
}

/// Starts the manager under faults; returns where it serves.
fn start(
    seed: u64,
    library: &PathBuf,
    engines: &[SocketAddr],
    feed: SocketAddr,
) -> (KillOnDrop, SocketAddr) {
    let member = |(number, address): (usize, &SocketAddr)| {
        format!(
            r#"{{"instanceId":"s-{:08x}","hostPort":"{address}","zone":"hall-a","machineType":"std-8c","cell":0,
            "lifecycle":"active","weight":1,"startedAtMs":0}}"#,
            number + 1
        )
    };
    let members: Vec<String> = engines.iter().enumerate().map(member).collect();
    let known = format!(
        r#"{{"n":1,"members":{{"generation":1,"reset":true,"instances":[{}]}}}}"#,
        members.join(",")
    );
    let step_s = ["0", "3600", "-3600", "5"][(seed % 4) as usize];
    let mut child = program(&format!("soak-{seed}"), &configuration(feed, &known), "")
        .env("LD_PRELOAD", library)
        .env("FAULT_SEED", seed.to_string())
        .env("CLOCK_STEP_S", step_s)
        .env("CLOCK_STEP_AFTER_MS", "600")
        .stderr(Stdio::piped())
        .spawn()
        .expect("program");
    let mut said = stderr_of(&mut child);
    let line = wait_for_line(&mut said, "serves on");
    // Read to its end, or the manager would stop at a full pipe.
    std::thread::spawn(move || std::io::copy(&mut said, &mut std::io::sink()));
    let address = line.split("serves on ").nth(1).expect("an address");
    let address = address.split(',').next().expect("an address").trim();
    (KillOnDrop(child), address.parse().expect("an address"))
}
