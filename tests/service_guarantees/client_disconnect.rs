//! Guarantee: no attempt, first or further, begins later than 0.1 s after its client has closed its
//! connection, has ended its sending side, or has cancelled the request.
//!
//! The scene checks this for every attempt. Each test here makes an attempt wait at one of the
//! places where attempts may wait, and then disconnects the client. A later request of another
//! client passes the same place, which shows that the first attempt would have begun by then.

use crate::scene::{EMPTY_OPERATOR_FILE, SceneSetup, run_script_with_setup};
use rstest::rstest;
use workload_manager::node_config::EngineProtocol;

/// A connect timeout of 19 s, so that connecting to an engine takes longer than the steps of a
/// script.
const LONG_CONNECT_TIMEOUT: &[&str] = &["connectTimeoutMs=19000"];

/// An operators' file with a constant backoff of 300 ms. Once a later retry is sent, an earlier one
/// would have been sent too.
const BACKOFF_OPERATOR_FILE: &str =
    "version = 1\n[attempts.default]\nbackoff = { base_ms = 300, max_ms = 300, jitter = 0.0 }\n";

/// Script step: a platform client closes its connection.
const CLOSE_CONNECTION: &str = "c1 close";

/// Script step: a platform client cancels its request.
const CANCEL_REQUEST: &str = "c1 send cancel 1";

/// Script step: a platform client ends its sending side of the connection.
const END_SENDING: &str = "c1 send end";

/// Runs a script in which `DISCONNECT` stands for the given step, and for the wait until the core
/// has received the disconnect.
fn run_script_with_disconnect(setup: &SceneSetup<'_>, disconnect_step: &str, script: &str) {
    run_script_with_setup(
        setup,
        &script.replace(
            "DISCONNECT",
            &format!("{disconnect_step}\nwait client_disconnects=1"),
        ),
    );
}

/// The first attempt waits in the core, because all engines are draining.
#[rstest]
fn disconnect_cancels_a_first_attempt_that_waits_for_an_engine(
    #[values(CLOSE_CONNECTION, CANCEL_REQUEST, END_SENDING)] disconnect_step: &str,
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

/// A retry waits in the core: the first attempt was rejected, and all engines are draining.
#[rstest]
fn disconnect_cancels_a_retry_that_waits_for_an_engine(
    #[values(CLOSE_CONNECTION, CANCEL_REQUEST, END_SENDING)] disconnect_step: &str,
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

/// A retry waits for its backoff, which ends before the backoff of the other client's retry.
#[rstest]
fn disconnect_cancels_a_retry_that_waits_for_its_backoff(
    #[values(CLOSE_CONNECTION, CANCEL_REQUEST, END_SENDING)] disconnect_step: &str,
) {
    let setup = SceneSetup {
        engines: 2,
        protocol: EngineProtocol::Lines,
        changes: &[],
        operator_file: BACKOFF_OPERATOR_FILE,
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

/// The first attempt waits at its engine's actor, whose connection is not established. The other
/// client's attempt waits for the same connection, behind the first one.
#[rstest]
fn disconnect_cancels_a_first_attempt_that_waits_for_its_connection(
    #[values(CLOSE_CONNECTION, CANCEL_REQUEST, END_SENDING)] disconnect_step: &str,
) {
    let setup = SceneSetup {
        engines: 1,
        protocol: EngineProtocol::Lines,
        changes: LONG_CONNECT_TIMEOUT,
        operator_file: EMPTY_OPERATOR_FILE,
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

/// A retry waits for a new connection at its engine's actor, because the engine has closed the
/// connection of the first attempt.
#[rstest]
fn disconnect_cancels_a_retry_that_waits_for_its_connection(
    #[values(CLOSE_CONNECTION, CANCEL_REQUEST, END_SENDING)] disconnect_step: &str,
) {
    let setup = SceneSetup {
        engines: 1,
        protocol: EngineProtocol::Lines,
        changes: LONG_CONNECT_TIMEOUT,
        operator_file: EMPTY_OPERATOR_FILE,
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
        operator_file: EMPTY_OPERATOR_FILE,
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
