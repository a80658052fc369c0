//! Clients and engines that break the protocol, stay silent or disconnect, and the graceful
//! shutdown of the workload manager.

use crate::scene::run_script;
use rstest::rstest;
use workload_manager::node_config::EngineProtocol;

#[rstest]
#[case::an_unreadable_line_closes_only_its_connection(
    "
    c1 send 1 seat-check
    e expect ASK c1.1
    e send c1.1 raw 6c6f6c0d0a
    wait engine_malformed=1
    e expect ASK c1.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
"
)]
#[case::unrequested_answers_are_ignored(
    "
    c1 send 1 log-load
    c1 send 2 log-load
    e expect ASK c1.1
    e expect ASK c1.2
    e send c1.1 raw 303030303030303030303030303061622073657276656420626174636865733d3120300d0a0d0a
    wait engine_unexpected_answers=1
    e send c1.1 served batches=2 a\\n
    e send c1.1 served batches=2 a\\n
    wait engine_unexpected_answers=2
    e expect NEXT c1.1 1
    e send c1.1 rows batch=1 b\\n
    c1 expect 1 served a\\nb\\n
    e send c1.1 rows batch=1 b\\n
    wait engine_unexpected_answers=3
    e send c1.2 served batches=1 c\\n
    c1 expect 2 served c\\n
    wait engine_malformed=0
"
)]
#[case::a_malformed_answer_closes_its_connection_and_fails_no_bulk_load(
    "
    c1 send 1 seat-check
    e expect ASK c1.1
    c1 send 2 log-load
    e expect ASK c1.2
    c1 send 3 seat-check
    e expect ASK c1.3
    e send c1.1 served batches=1 \u{1}noise\\n
    wait engine_malformed=1
    e expect ASK c1.1
    e expect ASK c1.3
    e send c1.2 served batches=1 c\\n
    c1 expect 2 served c\\n
"
)]
#[case::a_truncated_answer_is_retried(
    "
    c1 send 1 seat-check
    e expect ASK c1.1
    e send c1.1 raw 3030
    wait engine_malformed=1
    e expect ASK c1.1
    e send c1.1 raw 303030303030303030303030303061622073657276656420626174636865733d312033300d0a6162
    e expect ASK c1.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
"
)]
#[case::impossible_page_lengths_are_retried(
    "
    c1 send 1 usage-report
    e expect ASK c1.1
    e send c1.1 raw 303030303030303030303030303061622073657276656420626174636865733d3120333232313232353437320d0a6161
    e expect ASK c1.1
    e send c1.1 raw 303030303030303030303030303061622073657276656420626174636865733d31202d330d0a
    e expect ASK c1.1
    e send c1.1 served - a\\n
    e expect ASK c1.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
    wait engine_malformed=3
"
)]
#[case::silent_and_stalled_clients_are_closed(
    "
    c1 send 1 seat-check
    e expect ASK c1.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
    c2 expect closed
    c3 send raw 940001a6686561
    c3 expect closed
    c4 send raw 9302a46e6f706590
    c4 expect closed
    wait client_read_timeouts=3
    c1 send 2 seat-check
    e expect ASK c1.2
    e send c1.2 served batches=1 b\\n
    c1 expect 2 served b\\n
"
)]
#[case::a_request_whose_every_attempt_fails_is_answered_with_an_error(
    "
    c1 send 1 usage-report
    e expect ASK c1.1
    e send c1.1 crashed
    e expect ASK c1.1
    e send c1.1 crashed
    e expect ASK c1.1
    e send c1.1 crashed
    c1 expect 1 Internal
    e expect none ASK c1.1
    wait attempts_started=3
"
)]
#[case::malformed_calls_are_answered_with_errors(
    "
    c1 send 1 no-such-class
    c1 expect 1 NoMethodError
    c1 send 2 seat-check allow=
    c1 expect 2 ArgumentError
    c1 send 3 seat-check ref=xyz
    c1 expect 3 ArgumentError
    c1 send 4 seat-check project=nobody
    c1 expect 4 ArgumentError
    c1 send 5 seat-check effort=NaN
    c1 expect 5 ArgumentError
    c2 send 5 seat-check effort=1e300
    c2 expect 5 ArgumentError
    c2 send 6 seat-check need_mb=-1
    c2 expect 6 ArgumentError
    c2 send 7 seat-check allow=1e300 need_mb=99999999
    e expect ASK c2.7
    e send c2.7 crashed
    e expect ASK c2.7
    e send c2.7 crashed
    c2 send cancel 7
    c1 send 6 seat-check
    e expect ASK c1.6
    e send c1.6 served batches=1 a\\n
    c1 expect 6 served a\\n
"
)]
#[case::unreadable_input_closes_only_its_connection(
    "
    c2 send 1 seat-check
    e expect ASK c2.1
    c1 send raw c1c1c1
    c1 expect closed
    wait client_malformed=1
    c3 send raw 940001a6686561
    c3 send raw 6c746891ddffffffff
    c3 expect closed
    c4 send raw 940001c6ffffffff
    c4 expect closed
    c5 send 7 seat-check
    e expect ASK c5.7
    c5 send 7 seat-check
    wait client_malformed=4
    e send c5.7 served batches=1 b\\n
    c5 expect 7 served b\\n
    c5 expect closed
    e send c2.1 served batches=1 a\\n
    c2 expect 1 served a\\n
"
)]
#[case::a_message_in_parts_is_answered(
    "
    c1 send raw 940001a6686561
    c1 send raw 6c74689180
    c1 expect 1 true
"
)]
#[case::a_disconnect_cancels_the_queued_request(
    "
    feed expect 1
    feed send draining e1
    feed send draining e2
    wait feed_events=2
    c1 send 1 seat-check
    c2 send 1 log-load
    wait requests_open=2
    c1 close
    wait client_disconnects=1
    c2 send cancel 1
    wait client_disconnects=2
    feed send active e1
    feed send active e2
    wait feed_events=4
    c3 send 1 seat-check
    e expect ASK c3.1
    e expect none ASK c1.1
    e expect none ASK c2.1
    e send c3.1 served batches=1 a\\n
    c3 expect 1 served a\\n
"
)]
#[case::a_disconnect_cancels_the_running_query(
    "
    c1 send 1 usage-report
    e expect ASK c1.1
    c1 close
    e expect QUIT c1.1
    wait client_disconnects=1
"
)]
#[case::graceful_shutdown_answers_every_request_before_the_process_is_killed(
    "
    c1 send 1 log-load allow=15000
    e expect ASK c1.1
    n close
    c1 expect 1 DeadlineExceeded
    c1 expect closed
    e expect QUIT c1.1
    n expect closed
"
)]
#[case::graceful_shutdown_waits_for_a_partial_request(
    "
    c1 send health 1
    c1 expect 1 true
    c1 send raw 940002a6686561
    n close
    wait client_read_timeouts=1
    c1 expect closed
    n expect closed
"
)]
#[case::graceful_shutdown_loses_no_request(
    "
    c1 send 1 usage-report
    e expect ASK c1.1
    n close
    c1 send health 2
    c1 expect 2 false
    c2 send 1 seat-check
    e expect ASK c2.1
    c1 send 3 log-load
    e expect ASK c1.3
    e send c2.1 served batches=1 b\\n
    c2 expect 1 served b\\n
    e send c1.3 served batches=1 c\\n
    c1 expect 3 served c\\n
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
    n expect closed
"
)]
#[case::an_idempotent_request_on_a_silent_engine_is_retried(
    "
    c1 send 1 log-load
    c1 send 2 usage-report
    e expect ASK c1.1
    e expect ASK c1.2
    e expect QUIT c1.2
    e expect ASK c1.2
    e expect none QUIT c1.1
    e send c1.2 served batches=1 a\\n
    c1 expect 2 served a\\n
    e send c1.1 served batches=1 b\\n
    c1 expect 1 served b\\n
"
)]
#[case::a_hung_attempt_is_cancelled_and_retried(
    "
    c1 send 1 seat-check
    e expect ASK c1.1
    e expect QUIT c1.1
    e expect ASK c1.1
    wait cancellations_confirmed=1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
    wait attempts_started=2
"
)]
#[case::removal_of_the_engine_ends_its_attempts(
    "
    feed expect 1
    c1 send 1 log-load
    c1 send 2 usage-report
    e expect ASK c1.1
    e expect ASK c1.2
    feed send gone e1
    feed send gone e2
    c1 expect 1 Internal
    feed send active e1
    e expect ASK c1.2
    e send c1.2 served batches=1 a\\n
    c1 expect 2 served a\\n
"
)]
#[case::a_duplicate_reference_is_rejected(
    "
    c1 send 1 seat-check ref=00000000000000ab
    e expect ASK c1.1
    c2 send 1 log-load ref=00000000000000ab
    c2 expect 1 Internal
    e expect none ASK c2.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
"
)]
#[case::a_missing_page_is_retried(
    "
    c1 send 1 seat-check
    e expect ASK c1.1
    e send c1.1 served batches=2 a\\n
    e expect NEXT c1.1 1
    e expect FREE c1.1
    e expect ASK c1.1
    e send c1.1 served batches=1 b\\n
    c1 expect 1 served b\\n
"
)]
fn faulty_peers(#[case] script: &str) {
    run_script(2, EngineProtocol::Lines, script);
}

/// Guards against requests that are lost with the task of their client's connection: a record batch
/// of a Flight SQL engine is shorter than its header says. It costs its own attempt alone, on both
/// front ends, and the request is retried if its class allows that.
#[test]
fn spoilt_result_of_a_flight_engine_costs_its_own_attempt_alone() {
    run_script(
        3,
        EngineProtocol::Flight,
        "
        c1 send 1 log-load
        e expect ASK c1.1
        f1 send 1 log-load
        e expect ASK f1.1
        c1 send 2 usage-report
        e expect ASK c1.2
        f1 send 2 usage-report
        e expect ASK f1.2
        c1 send 3 seat-check
        e expect ASK c1.3
        e send c1.3 spoilt a\\tb\\tc\\n
        e expect ASK c1.3
        e send c1.3 served a\\tb\\tc\\n
        c1 expect 3 served a\\tb\\tc\\n
        f1 send 3 seat-check
        e expect ASK f1.3
        e send f1.3 spoilt a\\tb\\tc\\n
        e expect ASK f1.3
        e send f1.3 served a\\tb\\tc\\n
        f1 expect 3 served a\\tb\\tc\\n
        wait engine_malformed=2
        e send c1.2 served a\\tb\\tc\\n
        c1 expect 2 served a\\tb\\tc\\n
        e send f1.2 served a\\tb\\tc\\n
        f1 expect 2 served a\\tb\\tc\\n
        e send c1.1 served 7
        c1 expect 1 served 7\\t\\t\\n
        e send f1.1 served 7
        f1 expect 1 served 7
        ",
    );
}

/// A spoilt message in the middle of a streamed result ends the stream with an error.
#[test]
fn spoilt_message_of_a_streamed_result_ends_it_with_an_error() {
    run_script(
        2,
        EngineProtocol::Flight,
        "
        f1 send 1 usage-report
        e expect ASK f1.1
        e send f1.1 rows x9000
        e send f1.1 spoilt a\\tb\\tc\\n
        f1 expect 1 cut DataLoss
        wait engine_malformed=1
        f1 send 2 seat-check
        e expect ASK f1.2
        e send f1.2 served a\\tb\\tc\\n
        f1 expect 2 served a\\tb\\tc\\n
        ",
    );
}
