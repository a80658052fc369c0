//! Guarantee: a new process at the address of an engine that has gone is not taken for that engine.
//! What the old process had begun does not run again, and the new one gets its own work.

use crate::fake_engine;
use crate::process_on_small_machine::{Manager, run};
use crate::scene::engine_listener::{listen, listen_at};
use crate::scene::list_feed::feed_frame;
use crate::scene::{flight_client, msgpack_client, within_timeout};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Numbers of the engines in the list.
const OLD_ENGINE: usize = 0;
const NEW_ENGINE: usize = 1;

/// States of an engine in a record of the feed.
const READY: u8 = 0;
const REMOVED: u8 = 2;

/// Kind of a frame with changes.
const CHANGES: u8 = 2;

/// An engine with a runtime of its own. Its connections end at once when it is dropped, as those of a
/// killed process do.
struct EngineProcess {
    stop: Option<oneshot::Sender<()>>,
    /// How often each request has arrived, by its label.
    runs: Arc<Mutex<HashMap<String, usize>>>,
}

impl EngineProcess {
    fn start(
        bind: impl FnOnce() -> TcpListener + Send + 'static,
        service_time: Duration,
    ) -> (EngineProcess, SocketAddr) {
        let runs = Arc::<Mutex<HashMap<String, usize>>>::default();
        let counted = runs.clone();
        let handler = Arc::new(move |label: &str| {
            let mut runs = counted.lock().expect("lock");
            *runs.entry(label.to_owned()).or_default() += 1;
            (service_time, 50.0)
        });
        let (stop, stopped) = oneshot::channel();
        let (address_sender, address) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            run(async move {
                let listener = bind();
                let _ = address_sender.send(listener.local_addr().expect("address"));
                tokio::select! {
                    () = fake_engine::serve(listener, handler) => {}
                    _ = stopped => {}
                }
            });
        });
        let engine = EngineProcess {
            stop: Some(stop),
            runs,
        };
        (engine, address.recv().expect("an address"))
    }

    fn runs(&self, label: &str) -> usize {
        self.runs
            .lock()
            .expect("lock")
            .get(label)
            .copied()
            .unwrap_or(0)
    }

    async fn wait_for_run(&self, label: &str) {
        let arrived = async {
            while self.runs(label) == 0 {
                sleep(Duration::from_millis(2)).await;
            }
        };
        within_timeout(label, arrived).await;
    }

    fn kill(&mut self) {
        self.stop = None;
    }
}

/// Guards against work that runs twice, or goes to a process that is taken for another one: the
/// engine's process ends under a bulk load, a new one comes up at its address, and the list names it
/// before it removes the old engine.
#[test]
fn new_engine_at_the_address_of_one_that_has_gone_runs_nothing_a_second_time() {
    run(async {
        let (mut old_engine, address) =
            EngineProcess::start(|| listen().0, Duration::from_secs(60));
        let manager = Manager::start_with_engines("reused-address", 256, &[address]).await;
        let (mut feed, _) = within_timeout("feed", manager.feed.accept())
            .await
            .expect("accept");
        assert_eq!(feed.read_u64().await.expect("the last event"), 1);
        let mut platform_client = msgpack_client::Client::new("c1", manager.platform).await;
        let mut flight_client = flight_client::Client::new("f1", manager.flight).await;
        platform_client.step("send", &["1", "log-load"]).await;
        flight_client.step("send", &["1", "log-load"]).await;
        old_engine.wait_for_run("c1.1").await;
        old_engine.wait_for_run("f1.1").await;
        old_engine.kill();
        let (new_engine, _) = EngineProcess::start(move || listen_at(address), Duration::ZERO);
        let now_ms = 1;
        for (event, engine, state) in [(2, NEW_ENGINE, READY), (3, OLD_ENGINE, REMOVED)] {
            let frame = feed_frame(event, CHANGES, engine, address, state, now_ms);
            feed.write_all(&frame).await.expect("write");
            sleep(Duration::from_millis(50)).await;
        }
        // The load may have run when its engine went, so it has failed.
        let step = platform_client.step("expect", &["1", "Internal"]);
        within_timeout("answer", step).await;
        within_timeout("answer", flight_client.step("expect", &["1", "Internal"])).await;
        platform_client.step("send", &["2", "log-load"]).await;
        flight_client.step("send", &["2", "log-load"]).await;
        let step = platform_client.step("expect", &["2", "served", "a\\n"]);
        within_timeout("answer", step).await;
        within_timeout(
            "answer",
            flight_client.step("expect", &["2", "served", "-1"]),
        )
        .await;
        for (label, old_runs, new_runs) in [
            ("c1.1", 1, 0),
            ("f1.1", 1, 0),
            ("c1.2", 0, 1),
            ("f1.2", 0, 1),
        ] {
            assert_eq!(
                old_engine.runs(label),
                old_runs,
                "{label} on the old engine"
            );
            assert_eq!(
                new_engine.runs(label),
                new_runs,
                "{label} on the new engine"
            );
        }
    });
}
