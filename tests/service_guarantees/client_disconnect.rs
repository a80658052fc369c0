//! No attempt, first or further, begins later than 0.1 s after its client closed its connection, ended its side of it,
//! or cancelled. The scene itself holds every attempt to that; here each place is forced where an attempt may wait
//! meanwhile. A request of another client that passes the same place afterwards shows that the first one would have
//! begun by then.

use crate::scene::{EMPTY_OPERATOR_FILE, SceneSetup, run_script_with_setup};
use rstest::rstest;
use workload_manager::node_config::EngineProtocol;

/// Connections to engines may take this long, so that a dial outlasts the steps of a script.
const SLOW_DIAL: &[&str] = &["connectTimeoutMs=19000"];

/// Attempts wait out a back-off of this length, after which a later one shows that an earlier one is due.
const BACKOFF: &str =
    "version = 1\n[attempts.default]\nbackoff = { base_ms = 300, max_ms = 300, jitter = 0.0 }\n";

/// The ways in which a platform client leaves.
const CLOSES: &str = "c1 close";
const CANCELS: &str = "c1 send cancel 1";
const ENDS_ITS_SIDE: &str = "c1 send end";

/// Plays a script in which `LEAVES` stands for the client's leaving, up to the moment at which the core has heard of it.
fn play_with_disconnect(setup: &SceneSetup<'_>, leaves: &str, script: &str) {
    run_script_with_setup(
        setup,
        &script.replace("LEAVES", &format!("{leaves}\nwait client_disconnects=1")),
    );
}

/// The first attempt waits in the core, as no engine takes any.
#[rstest]
fn disconnect_cancels_a_first_attempt_that_waits_for_an_engine(
    #[values(CLOSES, CANCELS, ENDS_ITS_SIDE)] leaves: &str,
) {
    let setup = SceneSetup {
        engines: 2,
        protocol: EngineProtocol::Lines,
        changes: &[],
        operator_file: EMPTY_OPERATOR_FILE,
    };
    let script = "
        feed expect 1
        feed send draining e1
        feed send draining e2
        wait feed_events=2
        c1 send 1 seat-check
        wait requests_open=1
        LEAVES
        feed send active e1
        wait feed_events=3
        c2 send 1 seat-check
        e expect ASK c2.1
        e expect none ASK c1.1
        e send c2.1 served batches=1 a\\n
        c2 expect 1 served a\\n
        e expect none ASK c1.1
    ";
    play_with_disconnect(&setup, leaves, script);
}

/// A further attempt waits in the core: the first never ran, and no engine takes another.
#[rstest]
fn disconnect_cancels_a_retry_that_waits_for_an_engine(
    #[values(CLOSES, CANCELS, ENDS_ITS_SIDE)] leaves: &str,
) {
    let setup = SceneSetup {
        engines: 2,
        protocol: EngineProtocol::Lines,
        changes: &[],
        operator_file: EMPTY_OPERATOR_FILE,
    };
    let script = "
        feed expect 1
        c1 send 1 log-load
        e expect ASK c1.1
        feed send draining e1
        feed send draining e2
        wait feed_events=2
        e send c1.1 overload
        wait attempts_rejected=1
        LEAVES
        feed send active e1
        feed send active e2
        wait feed_events=4
        c2 send 1 log-load
        e expect ASK c2.1
        e expect none ASK c1.1
        e send c2.1 served batches=1 a\\n
        c2 expect 1 served a\\n
        e expect none ASK c1.1
    ";
    play_with_disconnect(&setup, leaves, script);
}

/// A further attempt waits out its back-off, which is over before that of the other client's attempt.
#[rstest]
fn disconnect_cancels_a_retry_that_waits_for_its_backoff(
    #[values(CLOSES, CANCELS, ENDS_ITS_SIDE)] leaves: &str,
) {
    let setup = SceneSetup {
        engines: 2,
        protocol: EngineProtocol::Lines,
        changes: &[],
        operator_file: BACKOFF,
    };
    let script = "
        c1 send 1 seat-check
        e expect ASK c1.1
        e send c1.1 crashed
        wait retries_delayed_by_backoff=1
        LEAVES
        c2 send 1 seat-check
        e expect ASK c2.1
        e send c2.1 crashed
        wait retries_delayed_by_backoff=2
        e expect ASK c2.1
        e expect none ASK c1.1
        e send c2.1 served batches=1 a\\n
        c2 expect 1 served a\\n
        e expect none ASK c1.1
    ";
    play_with_disconnect(&setup, leaves, script);
}

/// The first attempt is with its engine's actor, whose connection does not come up. The other client's attempt waits for
/// the same connection, behind it.
#[rstest]
fn disconnect_cancels_a_first_attempt_that_waits_for_its_connection(
    #[values(CLOSES, CANCELS, ENDS_ITS_SIDE)] leaves: &str,
) {
    let setup = SceneSetup {
        engines: 1,
        protocol: EngineProtocol::Lines,
        changes: SLOW_DIAL,
        operator_file: EMPTY_OPERATOR_FILE,
    };
    let script = "
        e1 hold
        c1 send 1 seat-check
        wait attempts_started=1
        LEAVES
        c2 send 1 seat-check
        wait attempts_started=2
        e1 release
        e expect ASK c2.1
        e expect none ASK c1.1
        e send c2.1 served batches=1 a\\n
        c2 expect 1 served a\\n
        wait engine_connections=1
        e expect none ASK c1.1
    ";
    play_with_disconnect(&setup, leaves, script);
}

/// The same for a further attempt, whose engine broke the connection of the first one.
#[rstest]
fn disconnect_cancels_a_retry_that_waits_for_its_connection(
    #[values(CLOSES, CANCELS, ENDS_ITS_SIDE)] leaves: &str,
) {
    let setup = SceneSetup {
        engines: 1,
        protocol: EngineProtocol::Lines,
        changes: SLOW_DIAL,
        operator_file: EMPTY_OPERATOR_FILE,
    };
    let script = "
        c1 send 1 usage-report
        e expect ASK c1.1
        e1 hold
        e close c1.1
        wait attempts_started=2
        LEAVES
        c2 send 1 usage-report
        wait attempts_started=3
        e1 release
        e expect ASK c2.1
        e expect none ASK c1.1
        e send c2.1 served batches=1 a\\n
        c2 expect 1 served a\\n
        wait engine_connections=2
        e expect none ASK c1.1
    ";
    play_with_disconnect(&setup, leaves, script);
}

/// The first attempt waits for a connection to a Flight SQL engine.
#[rstest]
#[case("f1", "f1 close 1")]
#[case("c1", CLOSES)]
#[case("c1", CANCELS)]
#[case("c1", ENDS_ITS_SIDE)]
fn disconnect_cancels_an_attempt_that_waits_for_a_flight_connection(
    #[case] who: &str,
    #[case] leaves: &str,
) {
    let setup = SceneSetup {
        engines: 1,
        protocol: EngineProtocol::Flight,
        changes: SLOW_DIAL,
        operator_file: EMPTY_OPERATOR_FILE,
    };
    let script = "
        e1 hold
        WHO send 1 seat-check
        wait attempts_started=1
        LEAVES
        f2 send 1 seat-check
        wait attempts_started=2
        e1 release
        e expect ASK f2.1
        e expect none ASK WHO.1
        e send f2.1 served a\\tb\\tc\\n
        f2 expect 1 served a\\tb\\tc\\n
        e expect none ASK WHO.1
    ";
    play_with_disconnect(&setup, leaves, &script.replace("WHO", who));
}
