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
const REST: Duration = Duration::from_millis(300);

/// How long a client waits unless a test await_line otherwise.
const ALLOW: &str = "allow=9000";

/// It may run once only, so that no attempt is called off for another one while the test holds it.
const CLASS: &str = "log-load";

const KEY: &str = "lookup=7f3a9c21e0b4d655";
const OTHER_KEY: &str = "lookup=00000000000000aa";

/// Both processes, with engines that hold their answers.
struct HotRestart {
    fleet: Fleet,
    old: ManagerProcess,
    new: ManagerProcess,
    folder: PathBuf,
}

impl HotRestart {
    /// The old process has a request of the key out, `c1.1`; then the successor comes up.
    async fn begin(name: &str, allow: &str) -> (HotRestart, Client) {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("order-{name}"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("folder");
        let mut fleet = Fleet::new(3, EngineProtocol::Lines).await;
        let config = folder.join("config.json");
        let text = configuration(fleet.feed.address, &fleet.first_list_event());
        std::fs::write(&config, apply_changes(&text, &["fifoByKey=true"])).expect("file");
        let mut old = ManagerProcess::start(&config, &folder).await;
        let mut first = Client::new("c1", old.address).await;
        first.step("send", &["1", CLASS, KEY, allow]).await;
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
            first,
        )
    }

    async fn engines(&mut self, verb: &str, rest: &[&str]) {
        within_timeout(&rest.join(" "), self.fleet.step("e", verb, rest)).await;
    }

    /// The successor takes a request of the key, `c2.1`, and sends nothing; what has another key goes at once.
    async fn expect_second_waits(&mut self) -> Client {
        let mut second = Client::new("c2", self.new.address).await;
        second.step("send", &["1", CLASS, KEY]).await;
        // The core sends in the turn in which it takes.
        let counters = self.new.await_counter("requests_accepted=1").await;
        assert!(
            has_counter(&counters, "attempts_started=0")
                && has_counter(&counters, "requests_held_for_order_key=1"),
            "two requests of one key are out at once: {counters}"
        );
        let mut third = Client::new("c3", self.new.address).await;
        third.step("send", &["1", CLASS, OTHER_KEY]).await;
        self.engines("expect", &["ASK", "c3.1"]).await;
        self.engines("send", &["c3.1", "served", "batches=1", "other\\n"])
            .await;
        within_timeout("c3.1", third.step("expect", &["1", "served", "other\\n"])).await;
        let counters = self.new.await_counter("requests_accepted=2").await;
        assert!(
            has_counter(&counters, "attempts_started=1"),
            "two requests of one key are out at once: {counters}"
        );
        second
    }

    async fn expect_second_sent(&mut self) {
        self.engines("expect", &["ASK", "c2.1"]).await;
    }

    async fn serve_second(&mut self, second: &mut Client) {
        self.engines("send", &["c2.1", "served", "batches=1", "second\\n"])
            .await;
        within_timeout("c2.1", second.step("expect", &["1", "served", "second\\n"])).await;
    }

    fn end(mut self) {
        self.fleet.check_at_end();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("runtime").block_on(test);
}

/// The first one is served: the second goes then.
#[test]
fn a_successor_process_waits_for_the_request_of_the_old_process() {
    run(async {
        let (mut both, mut first) = HotRestart::begin("served", ALLOW).await;
        let mut second = both.expect_second_waits().await;
        both.engines("send", &["c1.1", "served", "batches=1", "first\\n"])
            .await;
        within_timeout("c1.1", first.step("expect", &["1", "served", "first\\n"])).await;
        both.expect_second_sent().await;
        both.serve_second(&mut second).await;
        both.end();
    });
}

/// How the first one ends although it may still run.
#[derive(Clone, Copy)]
enum End {
    /// After 6 s, of which the answer may take up to 0.1 s.
    TimedOut,
    Cancelled,
    Reset,
    /// Its process is killed.
    Killed,
}

/// What may still run makes the key rest, over both processes.
#[rstest]
#[case::time_out("timed-out", End::TimedOut)]
#[case::cancel("cancelled", End::Cancelled)]
#[case::reset("reset", End::Reset)]
#[case::kill("killed", End::Killed)]
fn a_key_rests_in_the_successor_process_after_an_unconfirmed_end(
    #[case] name: &str,
    #[case] end: End,
) {
    run(async {
        let begun = Instant::now();
        let allow = if matches!(end, End::TimedOut) {
            "allow=6000"
        } else {
            ALLOW
        };
        let (mut both, mut first) = HotRestart::begin(name, allow).await;
        let mut second = both.expect_second_waits().await;
        let mut since = Instant::now();
        match end {
            End::TimedOut => {
                within_timeout("c1.1", first.step("expect", &["1", "DeadlineExceeded"])).await;
                both.engines("expect", &["QUIT", "c1.1"]).await;
                since = begun + Duration::from_millis(5900);
            }
            End::Cancelled => {
                first.step("send", &["cancel", "1"]).await;
                both.engines("expect", &["QUIT", "c1.1"]).await;
            }
            End::Reset => {
                both.engines("close", &["c1.1"]).await;
                within_timeout("c1.1", first.step("expect", &["1", "Internal"])).await;
            }
            End::Killed => {
                both.old.child.kill().expect("kill");
                both.old.child.wait().expect("end");
            }
        }
        both.expect_second_sent().await;
        assert!(
            since.elapsed() >= REST,
            "the key did not rest: {:?}",
            since.elapsed()
        );
        both.serve_second(&mut second).await;
        both.end();
    });
}

/// The other way round: the old process holds its request of the key back while the successor has one out, and answers
/// it at its deadline without an attempt.
#[test]
fn the_old_process_waits_for_the_request_of_its_successor() {
    run(async {
        let (mut both, mut first) = HotRestart::begin("turned", ALLOW).await;
        let mut second = both.expect_second_waits().await;
        both.engines("send", &["c1.1", "served", "batches=1", "first\\n"])
            .await;
        within_timeout("c1.1", first.step("expect", &["1", "served", "first\\n"])).await;
        both.expect_second_sent().await;
        let mut late = Client::new("c4", both.old.address).await;
        late.step("send", &["1", CLASS, KEY, "allow=400"]).await;
        within_timeout("c4.1", late.step("expect", &["1", "DeadlineExceeded"])).await;
        let counters = both.old.await_counter("requests_failed=1").await;
        assert!(
            has_counter(&counters, "attempts_started=1"),
            "two requests of one key are out at once: {counters}"
        );
        both.serve_second(&mut second).await;
        both.end();
    });
}

/// The old process, while it shuts down, serves what it accepted; its request of the key goes first.
#[test]
fn graceful_shutdown_hands_the_key_over() {
    run(async {
        let (mut both, mut first) = HotRestart::begin("planned", ALLOW).await;
        both.old.signal("TERM");
        let mut second = both.expect_second_waits().await;
        both.engines("send", &["c1.1", "served", "batches=1", "first\\n"])
            .await;
        within_timeout("c1.1", first.step("expect", &["1", "served", "first\\n"])).await;
        both.expect_second_sent().await;
        both.serve_second(&mut second).await;
        assert!(both.old.child.wait().expect("end").success());
        both.end();
    });
}
