//! Flight SQL clients with Flight SQL engines.

use crate::scene::run_script;
use rstest::rstest;
use workload_manager::node_config::EngineProtocol;

#[rstest]
#[case::a_result_and_an_update_count_are_answered(
    "
    f1 send 1 seat-check
    e expect ASK f1.1
    e send f1.1 rows a\\tb\\tc\\n
    e send f1.1 served d\\te\\tf\\n
    f1 expect 1 served a\\tb\\tc\\nd\\te\\tf\\n
    f1 send 2 log-load
    e expect ASK f1.2
    e send f1.2 served 42
    f1 expect 2 served 42
"
)]
#[case::a_result_truncated_while_it_is_buffered_is_retried(
    "
    f1 send 1 usage-report
    e expect ASK f1.1
    e send f1.1 rows a\\tb\\tc\\n
    e close f1.1
    e expect ASK f1.1
    e send f1.1 served d\\te\\tf\\n
    f1 expect 1 served d\\te\\tf\\n
"
)]
#[case::a_result_truncated_while_it_is_streamed_ends_in_an_error(
    "
    f1 send 1 usage-report
    e expect ASK f1.1
    e send f1.1 rows x9000
    wait requests_served=1
    e close f1.1
    f1 expect 1 cut DataLoss
    e expect none ASK f1.1
    wait requests_open=0
"
)]
#[case::a_long_result_streams_completely(
    "
    f1 send 1 usage-report
    e expect ASK f1.1
    e send f1.1 rows x9000
    e send f1.1 rows x9000
    e send f1.1 served x9000
    f1 expect 1 served 405000
    wait requests_open=0
"
)]
#[case::a_bulk_load_that_may_have_run_is_not_retried(
    "
    f1 send 1 log-load
    e expect ASK f1.1
    e close f1.1
    f1 expect 1 Internal
    e expect none ASK f1.1
    f1 send 2 log-load
    e expect ASK f1.2
    e send f1.2 crashed
    f1 expect 2 Internal
    e expect none ASK f1.2
    f1 send 3 log-load
    e expect ASK f1.3
    e send f1.3 overload
    e expect ASK f1.3
    e send f1.3 served 1
    f1 expect 3 served 1
"
)]
#[case::a_ticket_of_a_bulk_load_runs_once(
    "
    f1 send ticket 1 log-load
    f1 send get 2 1
    e expect ASK f1.1
    f1 send get 3 1
    f1 expect 3 InvalidArgument
    e send f1.1 served a\\tb\\tc\\n
    f1 expect 2 served a\\tb\\tc\\n
    e expect none ASK f1.1
"
)]
#[case::the_deadline_cancels_the_attempt_and_a_bad_timeout_is_rejected(
    "
    f1 send 1 usage-report grpc-timeout=300m
    e expect ASK f1.1
    f1 expect 1 DeadlineExceeded
    e expect QUIT f1.1
    f1 send 2 seat-check grpc-timeout=soon
    f1 expect 2 InvalidArgument
"
)]
#[case::a_hung_attempt_is_cancelled_and_retried(
    "
    f1 send 1 seat-check
    e expect ASK f1.1
    e expect QUIT f1.1
    e expect ASK f1.1
    wait cancellations_confirmed=1
    e send f1.1 served a\\tb\\tc\\n
    f1 expect 1 served a\\tb\\tc\\n
    wait attempts_started=2
"
)]
#[case::a_dropped_call_cancels_its_attempt(
    "
    f1 send 1 usage-report
    e expect ASK f1.1
    f1 close 1
    e expect QUIT f1.1
    wait client_disconnects=1
"
)]
#[case::removal_of_the_engine_ends_its_attempts(
    "
    feed expect 1
    f1 send 1 log-load
    e expect ASK f1.1
    feed send gone e1
    feed send gone e2
    f1 expect 1 Internal
    e expect none ASK f1.1
"
)]
#[case::a_draining_engine_gets_no_new_attempts_and_requests_without_an_engine_are_rejected(
    "
    feed expect 1
    feed send draining e1
    wait feed_events=1
    f1 send 1 seat-check
    f1 send 2 usage-report
    e expect ASK f1.1
    e expect ASK f1.2
    feed send draining e2
    wait feed_events=2
    e send f1.1 served a\\tb\\tc\\n
    f1 expect 1 served a\\tb\\tc\\n
    f1 send 3 seat-check grpc-timeout=400m
    f1 expect 3 ResourceExhausted RETRY
    e expect none ASK f1.3
    e send f1.2 served d\\te\\tf\\n
    f1 expect 2 served d\\te\\tf\\n
"
)]
#[case::refused_connections_reject_the_request_without_an_attempt(
    "
    e1 close
    e2 close
    f1 send 1 log-load grpc-timeout=600m
    f1 expect 1 ResourceExhausted RETRY
    wait attempts_reset=0
"
)]
#[case::connections_without_a_call_are_closed(
    "
    f1 send 1 seat-check
    e expect ASK f1.1
    e send f1.1 served a\\tb\\tc\\n
    f1 expect 1 served a\\tb\\tc\\n
    x1 send raw 505249
    x2 expect closed
    x1 expect closed
    x3 expect closed
    wait client_read_timeouts=3
    f1 send 2 seat-check
    e expect ASK f1.2
    e send f1.2 served a\\tb\\tc\\n
    f1 expect 2 served a\\tb\\tc\\n
"
)]
#[case::silent_connections_are_evicted_for_a_new_client(
    "
    x1 send raw 50
    x2 send raw 50
    x3 send raw 50
    x4 send raw 50
    x5 send raw 50
    x6 send raw 50
    x7 send raw 50
    x8 send raw 50
    f1 send 1 seat-check
    e expect ASK f1.1
    e send f1.1 served a\\tb\\tc\\n
    f1 expect 1 served a\\tb\\tc\\n
    wait client_read_timeouts=0
"
)]
#[case::malformed_calls_are_rejected(
    "
    f1 send 1 no-such-class
    f1 expect 1 InvalidArgument
    f1 send 2 seat-check magpiechute-tenant=nobody
    f1 expect 2 InvalidArgument
    f1 send 3 seat-check magpiechute-effort=much
    f1 expect 3 InvalidArgument
    f1 send action 4
    f1 expect 4 Unimplemented
    wait flight_bad_calls=4
    wait requests_accepted=0
"
)]
fn flight_sql(#[case] script: &str) {
    run_script(2, EngineProtocol::Flight, script);
}

/// Guards against a second run of a bulk load: a ticket kept the class as it was when its query was
/// planned, so a request that was taken after a reload ran by the old rules. Both a ticket that was
/// fetched before the reload and one that was not are fetched after it.
#[rstest]
fn fetched_ticket_follows_the_settings_of_the_time_at_which_it_is_fetched(
    #[values(EngineProtocol::Lines, EngineProtocol::Flight)] protocol: EngineProtocol,
) {
    let served = match protocol {
        EngineProtocol::Lines => "batches=1 a\\tb\\tc\\n",
        EngineProtocol::Flight => "a\\tb\\tc\\n",
    };
    run_script(
        2,
        protocol,
        &format!(
            "
            c1 send 1 usage-report
            e expect ASK c1.1
            f1 send ticket 1 usage-report
            f1 send get 2 1
            e expect ASK f1.1
            e send f1.1 served {served}
            f1 expect 2 served a\\tb\\tc\\n
            f1 send ticket 3 usage-report
            n send settings effect=\"once\"
            f1 send get 4 1
            e expect ASK f1.1
            e close f1.1
            f1 expect 4 Internal
            e expect none ASK f1.1
            f1 send get 5 1
            f1 expect 5 InvalidArgument
            f1 send get 6 3
            e expect ASK f1.3
            e close f1.3
            f1 expect 6 Internal
            e expect none ASK f1.3
            "
        ),
    );
}

/// A ticket whose class is no longer in the settings, or now needs an order key, is refused. It
/// works again if a later reload allows that.
#[test]
fn ticket_of_a_class_that_cannot_be_used_any_longer_is_refused() {
    run_script(
        2,
        EngineProtocol::Flight,
        "
        f1 send ticket 1 usage-report
        n send settings -usage-report
        f1 send get 2 1
        f1 expect 2 InvalidArgument
        n send settings fifoByKey=true
        f1 send get 3 1
        f1 expect 3 InvalidArgument
        wait requests_accepted=0
        n send settings
        f1 send get 4 1
        e expect ASK f1.1
        e send f1.1 served a\\tb\\tc\\n
        f1 expect 4 served a\\tb\\tc\\n
        ",
    );
}
