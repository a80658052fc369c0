//! The program itself as a process on the smallest machine, with two engines and the Flight SQL front
//! end, so that its memory can be read from `/proc`.

use crate::fake_engine;
use crate::scene::child_process::start_program;
use crate::scene::engine_listener::listen;
use crate::scene::manager_process::ManagerProcess;
use crate::scene::msgpack_client::Client;
use crate::scene::soak::ready_engines_event;
use crate::scene::{apply_changes, configuration, within_timeout};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Memory of the machine, in kB.
pub(crate) const MEMORY_KB: u64 = 32 << 10;

/// Service time of a request whose label contains [`LONG_MARK`].
pub(crate) const LONG_SERVICE_TIME: Duration = Duration::from_secs(3);

const LONG_MARK: &str = "gateway.1";

/// A running manager with two engines.
pub(crate) struct Manager {
    pub(crate) process: ManagerProcess,
    pub(crate) platform: SocketAddr,
    pub(crate) flight: SocketAddr,
    /// Has the manager's connection in its backlog, and sends nothing by itself.
    pub(crate) feed: TcpListener,
}

impl Manager {
    /// Starts a manager with this number of descriptors, and two engines.
    pub(crate) async fn start(name: &str, descriptors: usize) -> Manager {
        let engines = [start_engine(), start_engine()];
        Manager::start_with_engines(name, descriptors, &engines).await
    }

    /// Starts a manager with this number of descriptors, and engines at these addresses.
    pub(crate) async fn start_with_engines(
        name: &str,
        descriptors: usize,
        engines: &[SocketAddr],
    ) -> Manager {
        let (feed, _) = listen();
        let feed_address = feed.local_addr().expect("address");
        let config = apply_changes(
            &configuration(feed_address, &ready_engines_event(engines)),
            &[
                &format!("sockets={descriptors}"),
                "maxOpen=4096",
                "quotaPerS=100000",
            ],
        );
        let flight = free_address();
        let settings = format!("[flight]\nlisten = \"{flight}\"\nengines = \"lines\"\n");
        let child = start_program(name, &config, &settings);
        let process = ManagerProcess::from_child(child).await;
        Manager {
            platform: process.address,
            process,
            flight,
            feed,
        }
    }

    /// Anonymous memory of the process, in kB.
    pub(crate) fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.expect("a value").parse().expect("a number")
    }

    /// Watches the memory for this time.
    pub(crate) async fn assert_memory_suffices(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let memory_kb = self.memory_kb();
            assert!(memory_kb <= MEMORY_KB, "the process has {memory_kb} kB");
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Serves a request on a new connection and returns the time until its answer.
    pub(crate) async fn serve_new_client(&self, name: &str) -> Duration {
        let sent_at = Instant::now();
        let mut client = within_timeout("connection", Client::new(name, self.platform)).await;
        client.step("send", &["1", "seat-check"]).await;
        within_timeout("answer", client.step("expect", &["1", "served", "a\\n"])).await;
        sent_at.elapsed()
    }
}

/// An address of which the port is free.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.local_addr().expect("address")
}

fn start_engine() -> SocketAddr {
    let (listener, _) = listen();
    let address = listener.local_addr().expect("address");
    let service_time = |label: &str| {
        if label.contains(LONG_MARK) {
            LONG_SERVICE_TIME
        } else {
            Duration::from_millis(5)
        }
    };
    let handler = Arc::new(move |label: &str| (service_time(label), 50.0));
    tokio::spawn(fake_engine::serve(listener, handler));
    address
}

/// Runs a test in a runtime of its own.
pub(crate) fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime")
        .block_on(test);
}
