//! Requests that keep order in an upgrade: two real processes of one workload manager side by side, which meet only in
//! the folder of `TMPDIR`. Requests of one key run one at a time over both.
//!
//! Each process gets a listening socket of its own, so that the test chooses which one takes a request; the platform
//! hands both the same one. The rest of a key is checked by the time that has passed at least: a slow machine only
//! makes it longer.

#[allow(dead_code)] // the clients and engines of the scenes, without the scenes
mod scene;

use rstest::rstest;
use scene::engine_fleet::Fleet;
use scene::manager_process::{ManagerProcess, has_counter};
use scene::msgpack_client::Client;
use scene::{apply_changes, configuration, within_timeout};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use workload_manager::node_config::EngineProtocol;

/// `orderPauseMs` of the configuration.
const KEY_PAUSE: Duration = Duration::from_millis(300);

/// How long a client waits unless a test says otherwise.
const CLIENT_TIMEOUT: &str = "allow=9000";

/// It may run once only, so that no attempt is called off for another one while the test holds it.
const NON_IDEMPOTENT_CLASS: &str = "log-load";

const ORDER_KEY: &str = "lookup=7f3a9c21e0b4d655";
const OTHER_ORDER_KEY: &str = "lookup=00000000000000aa";

/// Both processes, with engines that hold their answers.
struct HotRestart {
    fleet: Fleet,
    old: ManagerProcess,
    new: ManagerProcess,
    folder: PathBuf,
}

impl HotRestart {
    /// The old process has a request of the key out, `c1.1`; then the successor comes up.
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

    async fn engine_step(&mut self, verb: &str, rest: &[&str]) {
        within_timeout(&rest.join(" "), self.fleet.step("e", verb, rest)).await;
    }

    /// The successor takes a request of the key, `c2.1`, and sends nothing; what has another key goes at once.
    async fn expect_second_request_waits(&mut self) -> Client {
        let mut second_client = Client::new("c2", self.new.address).await;
        second_client
            .step("send", &["1", NON_IDEMPOTENT_CLASS, ORDER_KEY])
            .await;
        // The core sends in the turn in which it takes.
        let counters = self.new.await_counter("requests_accepted=1").await;
        assert!(
            has_counter(&counters, "attempts_started=0")
                && has_counter(&counters, "requests_held_for_order_key=1"),
            "two requests of one key are out at once: {counters}"
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
            "two requests of one key are out at once: {counters}"
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

/// The first one is served: the second goes then.
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

/// How the first one ends although it may still run.
#[derive(Clone, Copy)]
enum UnconfirmedEnd {
    /// After 6 s, of which the answer may take up to 0.1 s.
    TimedOut,
    Cancelled,
    Reset,
    /// Its process is killed.
    Killed,
}

/// What may still run makes the key rest, over both processes.
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
                processes.old.child.wait().expect("end");
            }
        }
        processes.expect_second_attempt().await;
        assert!(
            ended_at.elapsed() >= KEY_PAUSE,
            "the key did not rest: {:?}",
            ended_at.elapsed()
        );
        processes.serve_second_request(&mut second_client).await;
        processes.finish();
    });
}

/// The other way round: the old process holds its request of the key back while the successor has one out, and answers
/// it at its deadline without an attempt.
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
            "two requests of one key are out at once: {counters}"
        );
        processes.serve_second_request(&mut second_client).await;
        processes.finish();
    });
}

/// The old process, while it shuts down, serves what it accepted; its request of the key goes first.
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
        assert!(processes.old.child.wait().expect("end").success());
        processes.finish();
    });
}
