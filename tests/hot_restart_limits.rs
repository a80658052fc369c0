//! The limits that two processes of one workload manager share during a hot restart, on one listening
//! socket. What one process may use changes when the other one starts and ends; whatever waits for
//! it has to go on then.

#[allow(dead_code)] // uses the clients, engines and processes of the scene, not its scripts
mod scene;

use rstest::rstest;
use scene::engine_fleet::Fleet;
use scene::manager_process::ManagerProcess;
use scene::msgpack_client::Client;
use scene::{apply_changes, configuration, within_timeout};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;
use workload_manager::node_config::EngineProtocol;

/// A class that is not idempotent, so that no attempt is cancelled and retried while the engines
/// withhold their answers.
const NON_IDEMPOTENT_CLASS: &str = "log-load";

/// Number of requests that an engine of the configuration runs at the same time at least.
const REQUESTS_PER_ENGINE: usize = 6;

/// Interval at which the end of a process is awaited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A client that waits longer than this for its answer has given up.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Part of the client connections that a process may hold while its peer runs: (numerator,
/// denominator).
const SHARE_WITH_PEER: (usize, usize) = (2, 5);

/// The number of client connections that a process without a peer may hold.
fn client_connections(descriptors: usize) -> usize {
    let admin_connections = (descriptors / 16).clamp(4, 32);
    descriptors / 2 - 15 - admin_connections
}

fn share_with_peer(limit: usize) -> usize {
    limit * SHARE_WITH_PEER.0 / SHARE_WITH_PEER.1
}

/// A workload manager whose processes share a listening socket, a configuration and a folder, with
/// engines that answer only when a step says so.
struct HotRestart {
    fleet: Fleet,
    listener: TcpListener,
    config: PathBuf,
    folder: PathBuf,
}

impl HotRestart {
    async fn new(name: &str, descriptors: usize) -> HotRestart {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("limits-{name}"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("folder");
        let engines = client_connections(descriptors).div_ceil(REQUESTS_PER_ENGINE);
        let fleet = Fleet::new(engines, EngineProtocol::Lines).await;
        let config = folder.join("config.json");
        let text = configuration(fleet.feed.address, &fleet.first_list_event());
        let sockets = format!("sockets={descriptors}");
        let changes = [
            sockets.as_str(),
            "memory_mb=192",
            "maxOpen=4096",
            "quotaPerS=100000",
        ];
        std::fs::write(&config, apply_changes(&text, &changes)).expect("file");
        HotRestart {
            fleet,
            listener: TcpListener::bind("127.0.0.1:0").expect("bind"),
            config,
            folder,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("address")
    }

    /// Starts a process and waits until it serves clients.
    async fn start(&self) -> ManagerProcess {
        ManagerProcess::start_on(&self.listener, &self.config, &self.folder).await
    }

    /// Connects this many clients, each with an open request.
    async fn connect_busy_clients(&self, name: &str, count: usize) -> Vec<Client> {
        let mut clients = Vec::with_capacity(count);
        for number in 0..count {
            let mut client = Client::new(&format!("{name}{number}"), self.address()).await;
            client.step("send", &["1", NON_IDEMPOTENT_CLASS]).await;
            clients.push(client);
        }
        clients
    }

    /// Connects a client that sends a health check.
    async fn connect_health_check(&self, name: &str) -> Client {
        let mut client = Client::new(name, self.address()).await;
        client.step("send", &["health", "1"]).await;
        client
    }

    /// Runs one step of the engines.
    async fn engine_step(&mut self, verb: &str, rest: &[&str]) {
        within_timeout(&rest.join(" "), self.fleet.step("e", verb, rest)).await;
    }

    /// Lets an engine serve request 1 of this client, whose attempt has been expected.
    async fn serve(&mut self, client: &mut Client, label: &str) {
        self.engine_step("send", &[label, "served", "batches=1", "a\\n"])
            .await;
        within_timeout(label, client.step("expect", &["1", "served", "a\\n"])).await;
    }

    /// Sends SIGTERM to the old process, and waits until it accepts no more clients. It then closes
    /// the connection of this idle client.
    async fn hand_over(&self, old: &ManagerProcess, idle_client: &mut Client) {
        old.signal("TERM");
        within_timeout("closed", idle_client.step("expect", &["closed"])).await;
    }

    fn finish(self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits for the answer to the health check of this client, as long as a client would.
async fn expect_healthy(client: &mut Client) {
    let answered = client.step("expect", &["1", "true"]);
    let in_time = tokio::time::timeout(CLIENT_TIMEOUT, answered).await;
    assert!(
        in_time.is_ok(),
        "a client got no answer although slots are free"
    );
}

/// How a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// By itself, after its last open request is answered.
    Shutdown,
    Killed,
}

/// Waits until the process has exited.
async fn await_exit(process: &mut ManagerProcess) {
    let exited = async {
        while process.child.try_wait().expect("exit status").is_none() {
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    };
    within_timeout("exit", exited).await;
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("runtime").block_on(test);
}

/// Guards against a listener that goes on waiting for a free slot although the end of the peer
/// process has raised its share (review case 9): with every connection of its share busy, the
/// successor accepted none until a request ended.
#[rstest]
fn a_successor_accepts_clients_again_once_the_old_process_has_ended(
    #[values(64, 256, 1024)] descriptors: usize,
    #[values(End::Shutdown, End::Killed)] old_end: End,
) {
    block_on(async {
        let name = format!("ended-{descriptors}-{old_end:?}");
        let mut manager = HotRestart::new(&name, descriptors).await;
        let mut old = manager.start().await;
        let mut idle_client = manager.connect_health_check("idle").await;
        expect_healthy(&mut idle_client).await;
        let mut holders = manager.connect_busy_clients("holder", 1).await;
        manager.engine_step("expect", &["ASK", "holder0.1"]).await;
        let mut new = manager.start().await;
        manager.hand_over(&old, &mut idle_client).await;
        let share = share_with_peer(client_connections(descriptors));
        let _busy_clients = manager.connect_busy_clients("busy", share).await;
        new.await_counter(&format!("requests_open={share}")).await;
        let mut waiting_client = manager.connect_health_check("waiting").await;
        match old_end {
            End::Shutdown => manager.serve(&mut holders[0], "holder0.1").await,
            End::Killed => old.child.kill().expect("kill"),
        }
        await_exit(&mut old).await;
        new.await_line("peer process ended").await;
        expect_healthy(&mut waiting_client).await;
        expect_healthy(&mut manager.connect_health_check("late").await).await;
        manager.finish();
    });
}
