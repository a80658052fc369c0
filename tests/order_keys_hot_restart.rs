//! Requests with order keys during a hot restart. Two processes of one workload manager run at the
//! same time and share only the folder in `TMPDIR`. Requests of one key run one at a time over both
//! processes.
//!
//! Each process has a listening socket of its own, so that the test chooses which process gets a
//! request; the platform passes the same socket to both. The tests check only a lower bound of a
//! key's pause, because a slow machine makes it longer.

#[allow(dead_code)] // uses the clients, engines and processes of the scene, not its scripts
mod scene;

use rstest::rstest;
use scene::engine_fleet::Fleet;
use scene::manager_process::{ManagerProcess, has_counter};
use scene::msgpack_client::Client;
use scene::{apply_changes, configuration, within_timeout};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use workload_manager::node_config::EngineProtocol;

/// How long a key is paused: `orderPauseMs` of the configuration.
const KEY_PAUSE: Duration = Duration::from_millis(300);

/// The client timeout, in ms, unless a test sets another one.
const CLIENT_TIMEOUT: &str = "allow=9000";

/// A request class that is not idempotent, so that no attempt is cancelled and retried while the
/// test withholds its answer.
const NON_IDEMPOTENT_CLASS: &str = "log-load";

const ORDER_KEY: &str = "lookup=7f3a9c21e0b4d655";
const OTHER_ORDER_KEY: &str = "lookup=00000000000000aa";

/// Both processes, with engines that answer only when a test step says so.
struct HotRestart {
    fleet: Fleet,
    old: ManagerProcess,
    new: ManagerProcess,
    folder: PathBuf,
}

impl HotRestart {
    /// Starts the old process, which sends a request with the key, `c1.1`, to an engine; then
    /// starts the successor process.
    async fn start_with_first_request(name: &str, timeout_field: &str) -> (HotRestart, Client) {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("order-{name}"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("folder");
        let mut fleet = Fleet::new(3, EngineProtocol::Lines).await;
        let config = folder.join("config.json");
        let text = configuration(fleet.feed.address, &fleet.first_list_event());
        std::fs::write(&config, apply_changes(&text, &["fifoByKey=true"])).expect("file");
        let mut old = ManagerProcess::start(&config, &folder).await;
        let mut first_client = Client::new("c1", old.address).await;
        first_client
            .step(
                "send",
                &["1", NON_IDEMPOTENT_CLASS, ORDER_KEY, timeout_field],
            )
            .await;
        within_timeout("ASK c1.1", fleet.step("e", "expect", &["ASK", "c1.1"])).await;
        let new = ManagerProcess::start(&config, &folder).await;
        old.await_line("peer process started").await;
        (
            HotRestart {
                fleet,
                old,
                new,
                folder,
            },
            first_client,
        )
    }

    /// Runs one step of the engines.
    async fn engine_step(&mut self, verb: &str, rest: &[&str]) {
        within_timeout(&rest.join(" "), self.fleet.step("e", verb, rest)).await;
    }

    /// Checks that the successor process accepts a request of the key, `c2.1`, without starting an
    /// attempt, and that a request with another key is sent at once.
    async fn expect_second_request_waits(&mut self) -> Client {
        let mut second_client = Client::new("c2", self.new.address).await;
        second_client
            .step("send", &["1", NON_IDEMPOTENT_CLASS, ORDER_KEY])
            .await;
        // The core starts an attempt that need not wait in the same turn of its loop in which it
        // admits the request.
        let counters = self.new.await_counter("requests_accepted=1").await;
        assert!(
            has_counter(&counters, "attempts_started=0")
                && has_counter(&counters, "requests_held_for_order_key=1"),
            "two requests of one key are in flight at the same time: {counters}"
        );
        let mut third_client = Client::new("c3", self.new.address).await;
        third_client
            .step("send", &["1", NON_IDEMPOTENT_CLASS, OTHER_ORDER_KEY])
            .await;
        self.engine_step("expect", &["ASK", "c3.1"]).await;
        self.engine_step("send", &["c3.1", "served", "batches=1", "other\\n"])
            .await;
        within_timeout(
            "c3.1",
            third_client.step("expect", &["1", "served", "other\\n"]),
        )
        .await;
        let counters = self.new.await_counter("requests_accepted=2").await;
        assert!(
            has_counter(&counters, "attempts_started=1"),
            "two requests of one key are in flight at the same time: {counters}"
        );
        second_client
    }

    async fn expect_second_attempt(&mut self) {
        self.engine_step("expect", &["ASK", "c2.1"]).await;
    }

    async fn serve_second_request(&mut self, second_client: &mut Client) {
        self.engine_step("send", &["c2.1", "served", "batches=1", "second\\n"])
            .await;
        within_timeout(
            "c2.1",
            second_client.step("expect", &["1", "served", "second\\n"]),
        )
        .await;
    }

    fn finish(mut self) {
        self.fleet.check_at_end();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("runtime").block_on(test);
}

/// The request at the successor process is sent as soon as the one at the old process is served.
#[test]
fn a_successor_process_waits_for_the_request_of_the_old_process() {
    block_on(async {
        let (mut processes, mut first_client) =
            HotRestart::start_with_first_request("served", CLIENT_TIMEOUT).await;
        let mut second_client = processes.expect_second_request_waits().await;
        processes
            .engine_step("send", &["c1.1", "served", "batches=1", "first\\n"])
            .await;
        within_timeout(
            "c1.1",
            first_client.step("expect", &["1", "served", "first\\n"]),
        )
        .await;
        processes.expect_second_attempt().await;
        processes.serve_second_request(&mut second_client).await;
        processes.finish();
    });
}

/// How the first request ends although its attempt may still run.
#[derive(Clone, Copy)]
enum UnconfirmedEnd {
    /// At its deadline of 6 s; the answer may come up to 0.1 s earlier.
    TimedOut,
    Cancelled,
    Reset,
    /// The old process is killed.
    Killed,
}

/// An attempt that may still run pauses the key in both processes.
#[rstest]
#[case::timeout("timed-out", UnconfirmedEnd::TimedOut)]
#[case::cancellation("cancelled", UnconfirmedEnd::Cancelled)]
#[case::reset("reset", UnconfirmedEnd::Reset)]
#[case::kill("killed", UnconfirmedEnd::Killed)]
fn a_key_is_paused_in_the_successor_process_after_an_unconfirmed_end(
    #[case] name: &str,
    #[case] end: UnconfirmedEnd,
) {
    block_on(async {
        let started_at = Instant::now();
        let timeout_field = if matches!(end, UnconfirmedEnd::TimedOut) {
            "allow=6000"
        } else {
            CLIENT_TIMEOUT
        };
        let (mut processes, mut first_client) =
            HotRestart::start_with_first_request(name, timeout_field).await;
        let mut second_client = processes.expect_second_request_waits().await;
        let mut ended_at = Instant::now();
        match end {
            UnconfirmedEnd::TimedOut => {
                within_timeout(
                    "c1.1",
                    first_client.step("expect", &["1", "DeadlineExceeded"]),
                )
                .await;
                processes.engine_step("expect", &["QUIT", "c1.1"]).await;
                ended_at = started_at + Duration::from_millis(5900);
            }
            UnconfirmedEnd::Cancelled => {
                first_client.step("send", &["cancel", "1"]).await;
                processes.engine_step("expect", &["QUIT", "c1.1"]).await;
            }
            UnconfirmedEnd::Reset => {
                processes.engine_step("close", &["c1.1"]).await;
                within_timeout("c1.1", first_client.step("expect", &["1", "Internal"])).await;
            }
            UnconfirmedEnd::Killed => {
                processes.old.child.kill().expect("kill");
                processes.old.child.wait().expect("exit status");
            }
        }
        processes.expect_second_attempt().await;
        assert!(
            ended_at.elapsed() >= KEY_PAUSE,
            "the key was paused for too short a time: {:?}",
            ended_at.elapsed()
        );
        processes.serve_second_request(&mut second_client).await;
        processes.finish();
    });
}

/// The old process holds back its request of the key while one of the successor process is in
/// flight, and answers it at its deadline without an attempt.
#[test]
fn the_old_process_waits_for_the_request_of_its_successor() {
    block_on(async {
        let (mut processes, mut first_client) =
            HotRestart::start_with_first_request("turned", CLIENT_TIMEOUT).await;
        let mut second_client = processes.expect_second_request_waits().await;
        processes
            .engine_step("send", &["c1.1", "served", "batches=1", "first\\n"])
            .await;
        within_timeout(
            "c1.1",
            first_client.step("expect", &["1", "served", "first\\n"]),
        )
        .await;
        processes.expect_second_attempt().await;
        let mut late_client = Client::new("c4", processes.old.address).await;
        late_client
            .step("send", &["1", NON_IDEMPOTENT_CLASS, ORDER_KEY, "allow=400"])
            .await;
        within_timeout(
            "c4.1",
            late_client.step("expect", &["1", "DeadlineExceeded"]),
        )
        .await;
        let counters = processes.old.await_counter("requests_failed=1").await;
        assert!(
            has_counter(&counters, "attempts_started=1"),
            "two requests of one key are in flight at the same time: {counters}"
        );
        processes.serve_second_request(&mut second_client).await;
        processes.finish();
    });
}

/// The old process serves its accepted requests during its graceful shutdown. The request of the
/// key at the successor process waits until the one at the old process is served.
#[test]
fn graceful_shutdown_hands_the_key_over() {
    block_on(async {
        let (mut processes, mut first_client) =
            HotRestart::start_with_first_request("planned", CLIENT_TIMEOUT).await;
        processes.old.signal("TERM");
        let mut second_client = processes.expect_second_request_waits().await;
        processes
            .engine_step("send", &["c1.1", "served", "batches=1", "first\\n"])
            .await;
        within_timeout(
            "c1.1",
            first_client.step("expect", &["1", "served", "first\\n"]),
        )
        .await;
        processes.expect_second_attempt().await;
        processes.serve_second_request(&mut second_client).await;
        assert!(processes.old.child.wait().expect("exit status").success());
        processes.finish();
    });
}
