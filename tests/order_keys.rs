//! Requests with order keys, on loopback connections. Requests of one key run one at a time, in the
//! order of their admission, and the key is paused after an attempt that may still run.
//!
//! The step `wait attempts_started=N` fails if more than N attempts were started. The core starts
//! an attempt that need not wait in the same turn of its loop in which it admits the request, so an
//! attempt that is too early is counted as soon as its request is.

#[allow(dead_code, reason = "each test target uses a part of the scene")]
mod scene;

use rstest::rstest;
use scene::run_script;
use workload_manager::node_config::EngineProtocol;

#[rstest]
#[case::requests_of_one_key_run_one_at_a_time(
    "
    n send settings fifoByKey=true
    c1 send 1 seat-check lookup=7f3a9c21e0b4d655
    e expect ASK c1.1
    c2 send 1 seat-check lookup=7f3a9c21e0b4d655
    wait requests_accepted=2
    wait attempts_started=1
    c3 send 1 seat-check lookup=7f3a9c21e0b4d655
    wait requests_accepted=3
    wait attempts_started=1
    c1 send 2 seat-check lookup=00000000000000aa
    e expect ASK c1.2
    e send c1.2 served batches=1 another\\n
    c1 expect 2 served another\\n
    wait attempts_started=2
    e send c1.1 served batches=1 first\\n
    c1 expect 1 served first\\n
    e expect ASK c2.1
    wait attempts_started=3
    e send c2.1 served batches=1 second\\n
    c2 expect 1 served second\\n
    e expect ASK c3.1
    e send c3.1 served batches=1 third\\n
    c3 expect 1 served third\\n
"
)]
#[case::all_classes_that_keep_order_share_the_keys(
    "
    n send settings fifoByKey=true
    c1 send 1 seat-check lookup=7f3a9c21e0b4d655
    e expect ASK c1.1
    c2 send 1 log-load lookup=7f3a9c21e0b4d655
    wait requests_accepted=2
    wait attempts_started=1
    e send c1.1 served batches=1 a\\n
    e expect ASK c2.1
    e send c2.1 served batches=1 b\\n
    c1 expect 1 served a\\n
    c2 expect 1 served b\\n
"
)]
#[case::an_all_zero_key_is_a_valid_key(
    "
    n send settings fifoByKey=true
    c1 send 1 seat-check lookup=0000000000000000
    e expect ASK c1.1
    c2 send 1 seat-check lookup=0000000000000000
    wait requests_accepted=2
    wait attempts_started=1
    e send c1.1 served batches=1 a\\n
    e expect ASK c2.1
    e send c2.1 served batches=1 b\\n
    c2 expect 1 served b\\n
"
)]
#[case::a_class_without_order_needs_no_key(
    "
    c1 send 1 seat-check lookup=a,b
    e expect ASK c1.1
    c2 send 1 seat-check
    e expect ASK c2.1
    e send c1.1 served batches=1 a\\n
    e send c2.1 served batches=1 b\\n
    c1 expect 1 served a\\n
    c2 expect 1 served b\\n
"
)]
#[case::a_missing_or_malformed_key_is_rejected(
    "
    n send settings fifoByKey=true
    c1 send 1 seat-check
    c1 expect 1 ArgumentError
    c1 send 2 seat-check lookup=a,b
    c1 expect 2 ArgumentError
    c1 send 3 seat-check lookup=7f3a9c21e0b4d655 dup=2
    c1 expect 3 ArgumentError
    wait client_bad_calls=3
    wait requests_accepted=0
    c1 send 4 seat-check lookup=7f3a9c21e0b4d655 dup=1
    e expect ASK c1.4
    e send c1.4 served batches=1 a\\n
    c1 expect 4 served a\\n
    wait client_retries=1
    f1 send 1 seat-check
    f1 expect 1 InvalidArgument
"
)]
#[case::a_retry_keeps_its_place_in_the_order_of_its_key(
    "
    n send settings fifoByKey=true
    c1 send 1 seat-check lookup=7f3a9c21e0b4d655
    e expect ASK c1.1
    c2 send 1 seat-check lookup=7f3a9c21e0b4d655
    wait requests_accepted=2
    e close c1.1
    e expect ASK c1.1
    wait attempts_started=2
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
    e expect ASK c2.1
    e send c2.1 served batches=1 b\\n
    c2 expect 1 served b\\n
"
)]
#[case::a_key_is_paused_after_a_reset(
    "
    n send settings fifoByKey=true
    c1 send 1 log-load lookup=7f3a9c21e0b4d655
    e expect ASK c1.1
    c2 send 1 seat-check lookup=7f3a9c21e0b4d655
    wait requests_accepted=2
    e close c1.1
    c1 expect 1 Internal
    wait attempts_reset=1
    wait attempts_started=1
    e expect ASK c2.1
    e send c2.1 served batches=1 b\\n
    c2 expect 1 served b\\n
"
)]
#[case::a_key_is_paused_after_a_cancellation(
    "
    n send settings fifoByKey=true
    c1 send 1 seat-check lookup=7f3a9c21e0b4d655
    e expect ASK c1.1
    c2 send 1 seat-check lookup=7f3a9c21e0b4d655
    wait requests_accepted=2
    c1 send cancel 1
    e expect QUIT c1.1
    wait cancellations_confirmed=1
    wait attempts_started=1
    e expect ASK c2.1
    e send c2.1 served batches=1 b\\n
    c2 expect 1 served b\\n
"
)]
#[case::a_key_is_paused_after_a_timeout(
    "
    n send settings fifoByKey=true
    c1 send 1 seat-check lookup=7f3a9c21e0b4d655 allow=400
    e expect ASK c1.1
    c2 send 1 seat-check lookup=7f3a9c21e0b4d655
    wait requests_accepted=2
    c1 expect 1 DeadlineExceeded
    e expect QUIT c1.1
    wait cancellations_confirmed=1
    wait attempts_started=1
    e expect ASK c2.1
    e send c2.1 served batches=1 b\\n
    c2 expect 1 served b\\n
"
)]
#[case::a_disconnect_releases_its_keys(
    "
    n send settings fifoByKey=true
    c1 send 1 seat-check lookup=7f3a9c21e0b4d655
    e expect ASK c1.1
    c1 send 2 seat-check lookup=7f3a9c21e0b4d655
    wait requests_accepted=2
    c2 send 1 seat-check lookup=7f3a9c21e0b4d655
    wait requests_accepted=3
    c1 close
    e expect QUIT c1.1
    wait client_disconnects=2
    wait cancellations_confirmed=1
    wait attempts_started=1
    e expect ASK c2.1
    e send c2.1 served batches=1 b\\n
    c2 expect 1 served b\\n
"
)]
#[case::the_order_of_a_key_survives_new_settings(
    "
    n send settings fifoByKey=true
    c1 send 1 seat-check lookup=7f3a9c21e0b4d655
    e expect ASK c1.1
    c2 send 1 seat-check lookup=7f3a9c21e0b4d655
    wait requests_accepted=2
    n send settings fifoByKey=true promiseMs=7000
    wait reloads=2
    c3 send 1 seat-check lookup=7f3a9c21e0b4d655
    wait requests_accepted=3
    wait attempts_started=1
    e send c1.1 served batches=1 a\\n
    e expect ASK c2.1
    wait attempts_started=2
    e send c2.1 served batches=1 b\\n
    e expect ASK c3.1
    e send c3.1 served batches=1 c\\n
    c1 expect 1 served a\\n
    c2 expect 1 served b\\n
    c3 expect 1 served c\\n
"
)]
fn requests_with_order_keys(#[case] script: &str) {
    run_script(3, EngineProtocol::Lines, script);
}
