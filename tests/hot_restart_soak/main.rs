//! Soak test of hot restarts in a row under open requests. The processes of one workload manager
//! replace each other on one listening socket while clients connect, keep requests open and leave,
//! and while engines fail. Some successors are killed before they accept clients. The engines and
//! clients check the rules on attempts and answers (see `rules`); the descriptors of all processes
//! together, and the end of each process, are checked as well.
//!
//! Each seed is one run of a few seconds. `HOT_RESTART_SOAK_SEEDS=FIRST-LAST` chooses the seeds; the
//! default is 1 to 12.

#[path = "../scene/mod.rs"]
#[allow(
    dead_code,
    reason = "uses the scene's processes and clients, but not its scripts"
)]
mod scene;

mod client;
#[path = "../fault_soak/draws.rs"]
mod draws;
#[path = "../fault_soak/engine.rs"]
mod engine;
#[path = "../fault_soak/feed.rs"]
#[allow(dead_code, reason = "the endpoint list does not change")]
mod feed;
#[path = "../fault_soak/rules.rs"]
#[allow(dead_code, reason = "the counts of attempts are not checked")]
mod rules;

use client::ClientSetup;
use draws::SeededRandom;
use feed::Feed;
use rules::Rules;
use scene::descriptor_monitor::DescriptorMonitor;
use scene::manager_process::ManagerProcess;
use scene::soak::{KILL_AFTER_TERM, ready_engines_event, run_seeds};
use scene::{apply_changes, configuration};
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const ENGINE_COUNT: usize = 8;

/// Descriptors of the machine. Both processes together have to get along with them.
const DESCRIPTORS: usize = 256;

/// Clients hold at most a third of the descriptors.
const CLIENT_COUNT: u64 = (DESCRIPTORS / 3) as u64;

/// Hot restarts of one run.
const RESTARTS: usize = 3;

/// Interval at which the descriptors of the processes are counted.
const DESCRIPTOR_COUNT_INTERVAL: Duration = Duration::from_millis(1);

/// Interval at which the end of a process is awaited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[test]
fn no_rule_is_broken_by_hot_restarts_in_a_row() {
    run_seeds("HOT_RESTART_SOAK_SEEDS", "1-12", run_seed);
}

/// Runs one seed on a single-threaded runtime and returns the violations of the rules.
fn run_seed(seed: u64) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let rules = Rules::default();
    runtime.block_on(run_with_restarts(seed, &rules));
    let (violations, attempts, _) = rules.take_results();
    println!("seed {seed}: {attempts} attempts");
    assert!(attempts > 0, "seed {seed}: no attempt was made");
    violations
}

async fn run_with_restarts(seed: u64, rules: &Rules) {
    let mut random = SeededRandom::new(seed);
    let manager = Manager::new(seed, rules, &mut random).await;
    let mut current = manager.start().await;
    let monitor = DescriptorMonitor::start(&[current.child.id()], DESCRIPTOR_COUNT_INTERVAL);
    let (connecting, may_connect) = watch::channel(true);
    let mut clients = JoinSet::new();
    for number in 0..CLIENT_COUNT {
        let setup = ClientSetup {
            manager: manager.address(),
            rules: rules.clone(),
            may_connect: may_connect.clone(),
        };
        clients.spawn(client::run(number, setup, random.fork()));
    }
    for _ in 0..RESTARTS {
        sleep(Duration::from_millis(random.in_range(100, 800))).await;
        if random.one_in(2) {
            manager.kill_starting_process(&monitor, &mut random).await;
        }
        let successor = manager.spawn();
        monitor.add(successor.child.id());
        let successor = manager.await_ready(successor).await;
        sleep(Duration::from_millis(random.in_range(0, 600))).await;
        let old = std::mem::replace(&mut current, successor);
        shut_down(old, rules).await;
    }
    sleep(Duration::from_millis(random.in_range(100, 800))).await;
    connecting.send_replace(false);
    while let Some(ended) = clients.join_next().await {
        if let Err(error) = ended {
            rules.add_violation(format!("a client task failed: {error}"));
        }
    }
    let held = monitor.max_held();
    if held > DESCRIPTORS {
        rules.add_violation(format!("the processes held {held} descriptors together"));
    }
    shut_down(current, rules).await;
}

/// A workload manager whose processes share a listening socket, a configuration and a folder.
struct Manager {
    listener: StdTcpListener,
    config: PathBuf,
    folder: PathBuf,
    _feed: Feed,
}

impl Manager {
    async fn new(seed: u64, rules: &Rules, random: &mut SeededRandom) -> Manager {
        let mut engines = Vec::new();
        for number in 0..ENGINE_COUNT {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            engines.push(listener.local_addr().expect("address"));
            tokio::spawn(engine::serve(
                number,
                listener,
                rules.clone(),
                random.fork(),
            ));
        }
        let feed = Feed::start().await;
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("hot-restart-soak-{seed}"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("folder");
        let config = folder.join("config.json");
        let text = configuration(feed.address, &ready_engines_event(&engines));
        let sockets = format!("sockets={DESCRIPTORS}");
        let changes = [sockets.as_str(), "memory_mb=192", "quotaPerS=100000"];
        std::fs::write(&config, apply_changes(&text, &changes)).expect("file");
        Manager {
            listener: StdTcpListener::bind("127.0.0.1:0").expect("bind"),
            config,
            folder,
            _feed: feed,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("address")
    }

    fn spawn(&self) -> ManagerProcess {
        ManagerProcess::spawn_on(&self.listener, &self.config, &self.folder)
    }

    async fn await_ready(&self, mut process: ManagerProcess) -> ManagerProcess {
        process.await_line(" serves on ").await;
        process
    }

    async fn start(&self) -> ManagerProcess {
        self.await_ready(self.spawn()).await
    }

    /// Starts a process and kills it before it accepts clients.
    async fn kill_starting_process(&self, monitor: &DescriptorMonitor, random: &mut SeededRandom) {
        let process = self.spawn();
        monitor.add(process.child.id());
        sleep(Duration::from_millis(random.in_range(0, 60))).await;
        drop(process);
    }
}

/// Sends SIGTERM, and checks that the process exits with status 0 before the platform kills it.
async fn shut_down(mut process: ManagerProcess, rules: &Rules) {
    process.signal("TERM");
    let killed_at = Instant::now() + KILL_AFTER_TERM;
    while Instant::now() < killed_at {
        if let Some(status) = process.child.try_wait().expect("status") {
            if !status.success() {
                rules.add_violation(format!("a process exited with {status}"));
            }
            return;
        }
        sleep(EXIT_POLL_INTERVAL).await;
    }
    rules.add_violation("a process did not exit before the platform would kill it".to_owned());
}
