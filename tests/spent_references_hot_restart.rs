//! Requests whose clients come again at the other process of a hot restart. Two processes of one
//! workload manager run at the same time and share only the folder in `TMPDIR`. Each has a listening
//! socket of its own, so that the test chooses which process gets a request.

#[allow(dead_code)] // uses the clients, engines and processes of the scene, not its scripts
mod scene;

use scene::engine_fleet::Fleet;
use scene::manager_process::{ManagerProcess, has_counter};
use scene::msgpack_client::Client;
use scene::{configuration, within_timeout};
use std::path::PathBuf;
use workload_manager::node_config::EngineProtocol;

const NON_IDEMPOTENT_CLASS: &str = "log-load";

/// Sends request 1 of client `c1`, which always has the same reference, on a new connection.
async fn send_first_request(manager: &ManagerProcess) -> Client {
    let mut client = Client::new("c1", manager.address).await;
    client.step("send", &["1", NON_IDEMPOTENT_CLASS]).await;
    client
}

/// Guards against a second run: the client of a bulk load leaves the old process while the load runs,
/// and comes again at the successor, before and after the end of the old process. A load that
/// provably never ran may come again.
#[test]
fn bulk_load_does_not_run_again_at_the_other_process_of_a_hot_restart() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("runtime").block_on(async {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("spent-references");
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("folder");
        let mut fleet = Fleet::new(2, EngineProtocol::Lines).await;
        let config = folder.join("config.json");
        let text = configuration(fleet.feed.address, &fleet.first_list_event());
        std::fs::write(&config, text).expect("file");
        let mut old = ManagerProcess::start(&config, &folder).await;
        let first = send_first_request(&old).await;
        within_timeout("ASK c1.1", fleet.step("e", "expect", &["ASK", "c1.1"])).await;
        let mut new = ManagerProcess::start(&config, &folder).await;
        old.await_line("peer process started").await;
        drop(first);
        within_timeout("QUIT c1.1", fleet.step("e", "expect", &["QUIT", "c1.1"])).await;
        for end_of_old in [false, true] {
            if end_of_old {
                old.signal("TERM");
                new.await_line("peer process ended").await;
            }
            let mut again = send_first_request(&new).await;
            let answer = again.step("expect", &["1", "Internal"]);
            within_timeout("answer", answer).await;
        }
        let counters = new.await_counter("client_bad_calls=2").await;
        assert!(has_counter(&counters, "attempts_started=0"), "{counters}");
        let _ = std::fs::remove_dir_all(&folder);
    });
}
