//! The limits that two processes of one workload manager share during a hot restart, on one listening
//! socket. What one process may use changes when the other one starts and ends; whatever waits for
//! it has to go on then.

#[allow(dead_code)] // uses the clients, engines and processes of the scene, not its scripts
mod scene;

use rstest::rstest;
use scene::engine_fleet::Fleet;
use scene::manager_process::{ManagerProcess, has_counter};
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
        let mut manager = HotRestart {
            fleet,
            listener: TcpListener::bind("127.0.0.1:0").expect("bind"),
            config: PathBuf::new(),
            folder,
        };
        let feed = manager.fleet.feed.address;
        manager.config = manager.write_config("config.json", feed, descriptors);
        manager
    }

    /// Writes a configuration with this feed and this number of descriptors. Returns its path.
    fn write_config(&self, name: &str, feed: SocketAddr, descriptors: usize) -> PathBuf {
        let config = self.folder.join(name);
        let text = configuration(feed, &self.fleet.first_list_event());
        let sockets = format!("sockets={descriptors}");
        let changes = [
            sockets.as_str(),
            "memory_mb=192",
            "maxOpen=4096",
            "quotaPerS=100000",
        ];
        std::fs::write(&config, apply_changes(&text, &changes)).expect("file");
        config
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

    /// Lets the engines serve request 1 of each of these clients, which have this name and a number.
    async fn serve_all(&mut self, clients: &mut [Client], name: &str) {
        let labels = (0..clients.len()).map(|number| format!("{name}{number}.1"));
        let labels: Vec<String> = labels.collect();
        for label in &labels {
            self.engine_step("expect", &["ASK", label]).await;
        }
        for label in &labels {
            self.engine_step("send", &[label, "served", "batches=1", "a\\n"])
                .await;
        }
        for client in clients {
            within_timeout(name, client.step("expect", &["1", "served", "a\\n"])).await;
        }
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
        // With more busy connections than its share, the old process accepts no more.
        let share = share_with_peer(client_connections(descriptors));
        let mut holders = manager.connect_busy_clients("holder", share + 1).await;
        old.await_counter(&format!("requests_open={}", share + 1))
            .await;
        let mut new = manager.start().await;
        let _busy_clients = manager.connect_busy_clients("busy", share).await;
        new.await_counter(&format!("requests_open={share}")).await;
        let mut waiting_client = manager.connect_health_check("waiting").await;
        match old_end {
            End::Shutdown => {
                old.signal("TERM");
                manager.serve_all(&mut holders, "holder").await;
            }
            End::Killed => old.child.kill().expect("kill"),
        }
        await_exit(&mut old).await;
        new.await_line("peer process ended").await;
        expect_healthy(&mut waiting_client).await;
        expect_healthy(&mut manager.connect_health_check("late").await).await;
        manager.finish();
    });
}

/// Guards against a successor that has only its share of the slots although the old process, which
/// accepts no more clients, has closed most of its connections.
#[test]
fn a_successor_uses_the_slots_that_the_old_process_has_freed_during_its_shutdown() {
    block_on(async {
        let manager = HotRestart::new("freed", 64).await;
        let mut old = manager.start().await;
        let mut idle_client = manager.connect_health_check("idle").await;
        expect_healthy(&mut idle_client).await;
        let _holders = manager.connect_busy_clients("holder", 1).await;
        old.await_counter("requests_open=1").await;
        let mut new = manager.start().await;
        // The old process closes this connection once it accepts no more clients.
        old.signal("TERM");
        within_timeout("closed", idle_client.step("expect", &["closed"])).await;
        let free_slots = client_connections(64) - 1;
        let _busy_clients = manager.connect_busy_clients("busy", free_slots).await;
        new.await_counter(&format!("requests_open={free_slots}"))
            .await;
        assert!(old.child.try_wait().expect("status").is_none());
        manager.finish();
    });
}

/// Limits count for both processes together: the old process closes idle connections, of clients and
/// to engines, that the share of its successor does not leave to it.
#[test]
fn the_old_process_closes_idle_connections_beyond_what_the_share_of_its_successor_leaves() {
    block_on(async {
        let mut manager = HotRestart::new("excess", 256).await;
        let mut old = manager.start().await;
        let total = client_connections(256);
        // So few that none is evicted for another one.
        let count = total * 5 / 6;
        let mut clients = manager.connect_busy_clients("idle", count).await;
        manager.serve_all(&mut clients, "idle").await;
        let counters = old
            .await_counter(&format!("client_connections_open={count}"))
            .await;
        assert!(
            has_counter(&counters, "engine_connections_open=64"),
            "{counters}"
        );
        let _new = manager.start().await;
        let left = total - share_with_peer(total);
        old.await_counter(&format!("client_connections_open={left}"))
            .await;
        // Of 64 connections and 32 that are reserved, the share of the successor is 25 and 12.
        old.await_counter("engine_connections_open=59").await;
        manager.finish();
    });
}

/// Guards against a connection that a process accepts although it cannot serve it, so that it is lost
/// to the other process on the same socket: the old process holds more busy connections than its
/// share when its successor starts.
#[test]
fn a_client_that_the_old_process_cannot_serve_reaches_the_successor() {
    block_on(async {
        let manager = HotRestart::new("unserved", 64).await;
        let mut old = manager.start().await;
        let busy_count = share_with_peer(client_connections(64)) + 1;
        let _busy_clients = manager.connect_busy_clients("busy", busy_count).await;
        old.await_counter(&format!("requests_open={busy_count}"))
            .await;
        let new = manager.start().await;
        old.await_line("peer process started").await;
        // While the successor is stopped, only the old process could accept the connection.
        new.signal("STOP");
        let mut client = manager.connect_health_check("client").await;
        old.await_counter("peer_processes=1").await;
        old.await_counter("peer_processes=1").await;
        new.signal("CONT");
        expect_healthy(&mut client).await;
        manager.finish();
    });
}

/// A peer that starts and does not become ready takes no share: the old process goes on serving as
/// many clients as without it.
#[test]
fn a_successor_that_does_not_become_ready_leaves_all_slots_to_the_old_process() {
    block_on(async {
        let manager = HotRestart::new("unready", 64).await;
        let mut old = manager.start().await;
        let busy_count = share_with_peer(client_connections(64)) + 1;
        let _busy_clients = manager.connect_busy_clients("busy", busy_count).await;
        old.await_counter(&format!("requests_open={busy_count}"))
            .await;
        // The successor waits for the first frame of this feed, which sends none.
        let silent_feed = TcpListener::bind("127.0.0.1:0").expect("bind");
        let feed_address = silent_feed.local_addr().expect("address");
        let config = manager.write_config("unready.json", feed_address, 64);
        let mut new = ManagerProcess::spawn_on(&manager.listener, &config, &manager.folder);
        old.await_line("peer process started").await;
        new.signal("STOP");
        expect_healthy(&mut manager.connect_health_check("late").await).await;
        new.child.kill().expect("kill");
        old.await_line("peer process ended").await;
        expect_healthy(&mut manager.connect_health_check("later").await).await;
        manager.finish();
    });
}
