//! Tests of the store, the peer detection and the stored state file.

use super::*;
use crate::core::Handle;
use crate::decision::EngineId;
use crate::metrics::Metrics;
use crate::node_config::engine_id;
use rstest::rstest;
use std::fs;
use std::sync::Arc;

pub(super) async fn open_store(folder: &Path, metrics: &Arc<Metrics>) -> StateStore {
    let limits =
        crate::engines::EngineContext::for_tests(Handle::new(4, Default::default()).0).limits;
    StateStore::open(folder, "n1", limits, metrics.clone())
        .await
        .expect("store")
}

pub(super) fn empty_folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("magpiechute-test-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("folder");
    folder
}

pub(super) fn run_async<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("runtime").block_on(test)
}

fn ejection(ejected: bool, decided_at_ms: f64) -> ManualEjection {
    ManualEjection {
        ejected,
        decided_at_ms,
    }
}

fn change(engine: u32, ejected: bool, decided_at_ms: f64) -> (EngineId, ManualEjection) {
    (engine_id(engine), ejection(ejected, decided_at_ms))
}

/// Two processes detect each other while both run. The later decision wins, whichever process
/// recorded it.
#[test]
fn two_processes_exchange_ejections_and_the_latest_decision_wins() {
    let folder = empty_folder("two");
    let metrics = Arc::default();
    run_async(async {
        let mut old = open_store(&folder, &metrics).await;
        assert!(!old.peer_state().is_running());
        old.record(engine_id(1), ejection(true, 100.0)).await;
        let mut new = open_store(&folder, &metrics).await;
        assert!(old.peer_state().is_running() && new.peer_state().is_running());
        assert_eq!(new.take_peer_changes(100.0), [change(1, true, 100.0)]);
        new.record(engine_id(2), ejection(true, 200.0)).await;
        old.record(engine_id(1), ejection(false, 300.0)).await;
        assert_eq!(old.take_peer_changes(300.0), [change(2, true, 200.0)]);
        assert_eq!(new.take_peer_changes(300.0), [change(1, false, 300.0)]);
        new.record(engine_id(1), ejection(true, 250.0)).await;
        assert_eq!(
            old.take_peer_changes(300.0),
            [],
            "an earlier decision changes nothing"
        );
        drop(old);
        assert!(!new.peer_state().is_running());
        drop(new);
        let mut last = open_store(&folder, &metrics).await;
        let changes = last.take_peer_changes(400.0);
        assert!(changes.contains(&change(2, true, 200.0)), "{changes:?}");
    });
    let _ = fs::remove_dir_all(&folder);
}

/// Guards against a process that found no free slot at its start, while two others were running, and
/// believed for good that a peer is running.
#[test]
fn a_third_process_detects_the_ends_of_the_two_others() {
    let folder = empty_folder("three");
    let metrics = Arc::default();
    run_async(async {
        let first = open_store(&folder, &metrics).await;
        let mut second = open_store(&folder, &metrics).await;
        let mut third = open_store(&folder, &metrics).await;
        assert!(third.peer_state().is_running());
        drop(first);
        assert!(third.peer_state().is_running() && second.peer_state().is_running());
        drop(second);
        assert!(!third.peer_state().is_running());
    });
    let _ = fs::remove_dir_all(&folder);
}

/// After a backward step of the wall clock, a successor still adopts the ejections of the old
/// process. The successor's own decisions win, although the clock gives them earlier times.
#[test]
fn decisions_keep_their_order_after_a_backward_clock_step() {
    const HOUR_MS: f64 = 3_600_000.0;
    let folder = empty_folder("stepped");
    let metrics: Arc<Metrics> = Arc::default();
    run_async(async {
        let mut old = open_store(&folder, &metrics).await;
        old.record(engine_id(1), ejection(true, 2.0 * HOUR_MS))
            .await;
        let mut new = open_store(&folder, &metrics).await;
        assert_eq!(
            new.take_peer_changes(HOUR_MS),
            [change(1, true, 2.0 * HOUR_MS)]
        );
        new.record(engine_id(1), ejection(false, HOUR_MS + 5000.0))
            .await;
        let returned = old.take_peer_changes(2.0 * HOUR_MS + 5000.0);
        assert_eq!(returned, [change(1, false, 2.0 * HOUR_MS + 1.0)]);
        assert_eq!(metrics.state_errors.get(), 0);
    });
    let _ = fs::remove_dir_all(&folder);
}

/// A decision whose write failed is written at a retry, once the write succeeds.
#[test]
fn a_failed_write_of_a_decision_is_retried() {
    let folder = empty_folder("unwritable");
    let metrics: Arc<Metrics> = Arc::default();
    run_async(async {
        let mut store = open_store(&folder, &metrics).await;
        // A folder with the path of the temporary file makes the write fail.
        let blocking_folder = folder.join("magpiechute-n1.next");
        fs::create_dir(&blocking_folder).expect("folder");
        store.record(engine_id(1), ejection(true, 100.0)).await;
        store.retry_failed_write(150.0).await;
        assert_eq!(
            metrics.state_errors.get(),
            1,
            "of several failures in a row, one is counted"
        );
        fs::remove_dir(&blocking_folder).expect("folder is removed");
        store.retry_failed_write(200.0).await;
        let mut successor = open_store(&folder, &metrics).await;
        assert_eq!(successor.take_peer_changes(300.0), [change(1, true, 100.0)]);
    });
    let _ = fs::remove_dir_all(&folder);
}

/// A damaged file does not prevent a start, and its valid records are used.
#[rstest]
#[case::not_json("noise", "\u{1}\u{2}", 0)]
#[case::truncated("cut", r#"{"version":1,"engines":{"s-00000001":{"out":tr"#, 0)]
#[case::another_version(
    "version",
    r#"{"version":9,"engines":{"s-00000001":{"out":true,"at":1.0}}}"#,
    0
)]
#[case::invalid_engine_id(
    "names",
    r#"{"version":1,"engines":{"x":{"out":true,"at":1.0},"s-00000001":{"out":true,"at":1.0}}}"#,
    1
)]
#[case::implausible_time(
    "times",
    r#"{"version":1,"engines":{"s-00000001":{"out":true,"at":9e15}}}"#,
    0
)]
#[case::too_large("long", &" ".repeat(100_000), 0)]
fn damaged_state_is_counted_and_its_valid_records_are_used(
    #[case] name: &str,
    #[case] text: &str,
    #[case] valid_records: usize,
) {
    let folder = empty_folder(name);
    fs::write(folder.join("magpiechute-n1.state"), text).expect("file");
    let metrics: Arc<Metrics> = Arc::default();
    run_async(async {
        let mut store = open_store(&folder, &metrics).await;
        assert_eq!(store.take_peer_changes(100.0).len(), valid_records);
        assert_eq!(metrics.state_errors.get(), 1);
        store.record(engine_id(2), ejection(true, 200.0)).await;
        assert!(store.take_peer_changes(200.0).is_empty() && metrics.state_errors.get() == 1);
    });
    let _ = fs::remove_dir_all(&folder);
}

/// The text of a stored state file, which the previous version and this version write alike.
const STORED_TEXT: &str = r#"{"version":1,"engines":{"s-00000001":{"out":true,"at":1796200000123.0},"s-0000000a":{"out":false,"at":1796200000456.5}}}"#;

#[test]
fn a_stored_state_of_the_previous_version_is_read() {
    let folder = empty_folder("stored-read");
    fs::write(folder.join("magpiechute-n1.state"), STORED_TEXT).expect("file");
    let metrics: Arc<Metrics> = Arc::default();
    run_async(async {
        let mut store = open_store(&folder, &metrics).await;
        assert_eq!(
            store.take_peer_changes(1_796_200_001_000.0),
            [
                change(1, true, 1_796_200_000_123.0),
                change(10, false, 1_796_200_000_456.5)
            ]
        );
        assert_eq!(metrics.state_errors.get(), 0);
    });
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn the_stored_state_is_written_as_by_the_previous_version() {
    let folder = empty_folder("stored-written");
    let metrics = Arc::default();
    run_async(async {
        let mut store = open_store(&folder, &metrics).await;
        let (returned, ejected) = (
            change(10, false, 1_796_200_000_456.5),
            change(1, true, 1_796_200_000_123.0),
        );
        store.record(ejected.0, ejected.1).await;
        store.record(returned.0, returned.1).await;
    });
    let path = folder.join("magpiechute-n1.state");
    assert_eq!(fs::read_to_string(path).expect("file"), STORED_TEXT);
    let _ = fs::remove_dir_all(&folder);
}
