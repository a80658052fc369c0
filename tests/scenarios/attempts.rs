//! The attempts of a request: how they end, and whether a retry, an error or a cancellation
//! follows.

use crate::scene::run_script;
use rstest::rstest;
use workload_manager::node_config::EngineProtocol;

#[rstest]
#[case::pages_of_a_result_are_returned_in_order(
    "
    c1 send health 1
    c1 expect 1 true
    c1 send 2 seat-check
    e expect ASK c1.2
    e send c1.2 served batches=3,cpu=40,used=12,l=rif:1 a\\tb\\tc\\n
    e expect NEXT c1.2 1
    e expect NEXT c1.2 2
    e send c1.2 rows batch=2 g\\th\\ti\\n
    e send c1.2 rows batch=1 d\\te\\tf\\n
    c1 expect 2 served a\\tb\\tc\\nd\\te\\tf\\ng\\th\\ti\\n
"
)]
#[case::requests_are_answered_in_the_order_of_their_completion(
    "
    c1 send 1 seat-check
    c1 send 2 seat-check
    e expect ASK c1.1
    e expect ASK c1.2
    e send c1.2 served batches=1 two\\n
    c1 expect 2 served two\\n
    e send c1.1 update n=pct,num=0.5
    e send c1.1 served batches=1 one\\n
    c1 expect 1 served one\\n
"
)]
#[case::a_bulk_load_that_may_have_run_is_not_retried(
    "
    c1 send 1 log-load
    e expect ASK c1.1
    e close c1.1
    c1 expect 1 Internal
    e expect none ASK c1.1
"
)]
#[case::a_refusal_after_progress_does_not_prove_that_a_bulk_load_never_ran(
    "
    c1 send 1 log-load
    e expect ASK c1.1
    e send c1.1 update n=pct,num=0.5
    e send c1.1 overload
    c1 expect 1 Internal
    e expect none ASK c1.1
    c1 send 2 log-load
    e expect ASK c1.2
    e send c1.2 update n=overflow,num=3
    e send c1.2 nobody
    c1 expect 2 Internal
    e expect none ASK c1.2
    c1 send 3 log-load
    e expect ASK c1.3
    e send c1.3 update n=queued,num=1
    e send c1.3 overload
    e expect ASK c1.3
    e send c1.3 served batches=1 done\\n
    c1 expect 3 served done\\n
"
)]
#[case::an_idempotency_key_is_forwarded_unchanged(
    "
    n send settings effect=\"by_key\"
    c1 send 1 seat-check replay=f5c0900b9ea8fefc
    e expect ASK c1.1 op=f5c0900b9ea8fefc
    e send c1.1 overload
    e expect ASK c1.1 op=f5c0900b9ea8fefc
    e send c1.1 served batches=1 done\\n
    c1 expect 1 served done\\n
    c1 send 2 seat-check replay=a,b
    c1 expect 2 ArgumentError
    n send settings
    c1 send 3 seat-check replay=f5c0900b9ea8fefc
    e expect ASK c1.3
    e send c1.3 served batches=1 a\\n
    c1 expect 3 served a\\n
"
)]
#[case::a_request_with_an_idempotency_key_is_retried_within_the_dedup_window(
    "
    n send settings effect=\"by_key\"
    c1 send 1 seat-check replay=f5c0900b9ea8fefc
    e expect ASK c1.1 op=f5c0900b9ea8fefc
    e close c1.1
    e expect ASK c1.1 op=f5c0900b9ea8fefc
    e send c1.1 served batches=1 done\\n
    c1 expect 1 served done\\n
    c1 send 2 seat-check
    e expect ASK c1.2
    e close c1.2
    c1 expect 2 Internal
    e expect none ASK c1.2
    n send settings effect=\"by_key\" memorySpanMs=1
    c1 send 3 seat-check replay=f5c0900b9ea8fefd
    e expect ASK c1.3 op=f5c0900b9ea8fefd
    e close c1.3
    c1 expect 3 Internal
    e expect none ASK c1.3 op=f5c0900b9ea8fefd
"
)]
#[case::a_bulk_load_that_failed_is_not_retried(
    "
    c1 send 1 log-load
    e expect ASK c1.1
    e send c1.1 crashed
    c1 expect 1 Internal
    e expect none ASK c1.1
"
)]
#[case::a_bulk_load_that_never_ran_is_retried(
    "
    c1 send 1 log-load
    e expect ASK c1.1
    e send c1.1 overload
    e expect ASK c1.1
    e send c1.1 served batches=1 done\\n
    c1 expect 1 served done\\n
"
)]
#[case::a_bulk_load_whose_pages_are_lost_is_not_retried(
    "
    c1 send 1 log-load
    e expect ASK c1.1
    e send c1.1 served batches=2 a\\n
    e expect NEXT c1.1 1
    e send c1.1 crashed
    c1 expect 1 Internal
    e expect none ASK c1.1
"
)]
#[case::a_reset_idempotent_query_is_retried(
    "
    c1 send 1 usage-report
    e expect ASK c1.1
    e close c1.1
    e expect ASK c1.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
"
)]
#[case::refused_connections_reject_the_request_without_an_attempt(
    "
    e1 close
    e2 close
    c1 send 1 log-load
    c1 expect 1 Overloaded cooldown
    wait attempts_reset=0
"
)]
#[case::the_deadline_cancels_the_attempt(
    "
    c1 send 1 log-load allow=300
    e expect ASK c1.1
    c1 expect 1 DeadlineExceeded
    e expect QUIT c1.1
    e expect none ASK c1.1
"
)]
#[case::a_cancelled_query_cancels_its_attempt(
    "
    c1 send 1 seat-check
    e expect ASK c1.1
    c1 send cancel 1
    e expect QUIT c1.1
    wait client_disconnects=1
    c1 send 2 seat-check
    e expect ASK c1.2
    c1 send cancel 2
    e expect QUIT c1.2
"
)]
#[case::pages_of_a_cancelled_query_are_freed(
    "
    c1 send 1 seat-check
    e expect ASK c1.1
    e send c1.1 served batches=2 a\\n
    e expect NEXT c1.1 1
    c1 send cancel 1
    e expect FREE c1.1
"
)]
#[case::a_draining_engine_gets_no_new_attempts(
    "
    feed expect 1
    feed send draining e1
    wait feed_events=1
    c1 send 1 seat-check
    c1 send 2 seat-check
    e expect ASK c1.1
    e expect ASK c1.2
    e send c1.1 served batches=1 a\\n
    e send c1.2 served batches=1 b\\n
    c1 expect 1 served a\\n
    c1 expect 2 served b\\n
    feed send draining e2
    wait feed_events=2
    c1 send 3 seat-check allow=400
    c1 expect 3 Overloaded cooldown
    e expect none ASK c1.3
"
)]
#[case::a_draining_engine_completes_its_attempts(
    "
    feed expect 1
    c1 send 1 log-load
    e expect ASK c1.1
    feed send draining e1
    feed send draining e2
    wait feed_events=2
    e send c1.1 served batches=2 a\\n
    e expect NEXT c1.1 1
    e send c1.1 rows batch=1 b\\n
    c1 expect 1 served a\\nb\\n
"
)]
#[case::an_attempt_unknown_to_its_engine_counts_as_not_run(
    "
    c1 send 1 log-load
    e expect ASK c1.1
    e send c1.1 nobody
    c1 expect 1 Overloaded cooldown
    e expect none ASK c1.1
"
)]
fn attempts(#[case] script: &str) {
    run_script(2, EngineProtocol::Lines, script);
}
