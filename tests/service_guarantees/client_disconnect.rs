//! No attempt, first or further, begins later than 0.1 s after its client closed its connection, ended its side of it,
//! or cancelled. The scene itself holds every attempt to that; here each place is forced where an attempt may wait
//! meanwhile. A request of another client that passes the same place afterwards shows that the first one would have
//! begun by then.

use crate::scene::{EMPTY_OPERATOR_FILE, SceneSetup, run_script_with_setup};
use rstest::rstest;
use workload_manager::node_config::EngineProtocol;

/// Connections to engines may take this long, so that a dial outlasts the steps of a script.
const LONG_CONNECT_TIMEOUT: &[&str] = &["connectTimeoutMs=19000"];

/// Attempts wait out a back-off of this length, after which a later one shows that an earlier one is due.
const BACKOFF_OPERATOR_FILE: &str =
    "version = 1\n[attempts.default]\nbackoff = { base_ms = 300, max_ms = 300, jitter = 0.0 }\n";

/// The ways in which a platform client disconnect_step.
const CLOSE_CONNECTION: &str = "c1 close";
const CANCEL_REQUEST: &str = "c1 send cancel 1";
const END_SENDING: &str = "c1 send end";

/// Plays a script in which `DISCONNECT` stands for the client's leaving, up to the moment at which the core has heard of it.
fn run_script_with_disconnect(setup: &SceneSetup<'_>, disconnect_step: &str, script: &str) {
    run_script_with_setup(
        setup,
        &script.replace(
            "DISCONNECT",
            &format!("{disconnect_step}\nwait client_disconnects=1"),
        ),
    );
}

/// The first attempt waits in the core, as no engine takes any.
#[rstest]
fn disconnect_cancels_a_first_attempt_that_waits_for_an_engine(
    #[values(CLOSE_CONNECTION, CANCEL_REQUEST, END_SENDING)] disconnect_step: &str,
) {
    let setup = SceneSetup {
        engines: 2,
        protocol: EngineProtocol::Lines,
        changes: &[],
        operators: EMPTY_OPERATOR_FILE,
    };
    let script = "
        feed expect 1
        feed send draining e1
        feed send draining e2
        wait feed_events=2
        c1 send 1 seat-check
        wait requests_open=1
        DISCONNECT
        feed send active e1
        wait feed_events=3
        c2 send 1 seat-check
        e expect ASK c2.1
        e expect none ASK c1.1
        e send c2.1 served batches=1 a\\n
        c2 expect 1 served a\\n
        e expect none ASK c1.1
    ";
    run_script_with_disconnect(&setup, disconnect_step, script);
}

/// A further attempt waits in the core: the first never ran, and no engine takes another.
#[rstest]
fn disconnect_cancels_a_retry_that_waits_for_an_engine(
    #[values(CLOSE_CONNECTION, CANCEL_REQUEST, END_SENDING)] disconnect_step: &str,
) {
    let setup = SceneSetup {
        engines: 2,
        protocol: EngineProtocol::Lines,
        changes: &[],
        operators: EMPTY_OPERATOR_FILE,
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
        DISCONNECT
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
    run_script_with_disconnect(&setup, disconnect_step, script);
}

/// A further attempt waits out its back-off, which is over before that of the other client's attempt.
#[rstest]
fn disconnect_cancels_a_retry_that_waits_for_its_backoff(
    #[values(CLOSE_CONNECTION, CANCEL_REQUEST, END_SENDING)] disconnect_step: &str,
) {
    let setup = SceneSetup {
        engines: 2,
        protocol: EngineProtocol::Lines,
        changes: &[],
        operators: BACKOFF_OPERATOR_FILE,
    };
    let script = "
        c1 send 1 seat-check
        e expect ASK c1.1
        e send c1.1 crashed
        wait retries_delayed_by_backoff=1
        DISCONNECT
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
    run_script_with_disconnect(&setup, disconnect_step, script);
}

/// The first attempt is with its engine's actor, whose connection does not come up. The other client's attempt waits for
/// the same connection, behind it.
#[rstest]
fn disconnect_cancels_a_first_attempt_that_waits_for_its_connection(
    #[values(CLOSE_CONNECTION, CANCEL_REQUEST, END_SENDING)] disconnect_step: &str,
) {
    let setup = SceneSetup {
        engines: 1,
        protocol: EngineProtocol::Lines,
        changes: LONG_CONNECT_TIMEOUT,
        operators: EMPTY_OPERATOR_FILE,
    };
    let script = "
        e1 hold
        c1 send 1 seat-check
        wait attempts_started=1
        DISCONNECT
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
    run_script_with_disconnect(&setup, disconnect_step, script);
}

/// The same for a further attempt, whose engine broke the connection of the first one.
#[rstest]
fn disconnect_cancels_a_retry_that_waits_for_its_connection(
    #[values(CLOSE_CONNECTION, CANCEL_REQUEST, END_SENDING)] disconnect_step: &str,
) {
    let setup = SceneSetup {
        engines: 1,
        protocol: EngineProtocol::Lines,
        changes: LONG_CONNECT_TIMEOUT,
        operators: EMPTY_OPERATOR_FILE,
    };
    let script = "
        c1 send 1 usage-report
        e expect ASK c1.1
        e1 hold
        e close c1.1
        wait attempts_started=2
        DISCONNECT
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
    run_script_with_disconnect(&setup, disconnect_step, script);
}

/// The first attempt waits for a connection to a Flight SQL engine.
#[rstest]
#[case("f1", "f1 close 1")]
#[case("c1", CLOSE_CONNECTION)]
#[case("c1", CANCEL_REQUEST)]
#[case("c1", END_SENDING)]
fn disconnect_cancels_an_attempt_that_waits_for_a_flight_connection(
    #[case] client: &str,
    #[case] disconnect_step: &str,
) {
    let setup = SceneSetup {
        engines: 1,
        protocol: EngineProtocol::Flight,
        changes: LONG_CONNECT_TIMEOUT,
        operators: EMPTY_OPERATOR_FILE,
    };
    let script = "
        e1 hold
        CLIENT send 1 seat-check
        wait attempts_started=1
        DISCONNECT
        f2 send 1 seat-check
        wait attempts_started=2
        e1 release
        e expect ASK f2.1
        e expect none ASK CLIENT.1
        e send f2.1 served a\\tb\\tc\\n
        f2 expect 1 served a\\tb\\tc\\n
        e expect none ASK CLIENT.1
    ";
    run_script_with_disconnect(&setup, disconnect_step, &script.replace("CLIENT", client));
}
