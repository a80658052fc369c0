//! Commands at the admin address: readiness, figures, manual ejection and draining.

use crate::scene::run_script;
use rstest::rstest;
use workload_manager::node_config::EngineProtocol;

#[rstest]
#[case::ready_is_answered_and_stats_returns_the_admin_figures(
    "
    o1 send READY
    o1 expect 200
    c1 send 1 seat-check
    e expect ASK c1.1
    wait attempts_written=1
    o1 send STATS
    o1 expect lines node.in_progress=1 node.upstream_tries=1 node.known_engines=2 node.passed.seat-check=0 node.subset_engines=2 node.engine_holders=1 node.ordinal=0 node.skipped_engines=0
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
    c1 send 2 log-load
    e expect ASK c1.2
    e send c1.2 crashed
    c1 expect 2 Internal
    f1 send 1 log-load
    e expect ASK f1.1
    e send f1.1 overload
    e expect ASK f1.1
    e send f1.1 nobody
    f1 expect 1 ResourceExhausted RETRY
    o1 send STATS
    o1 expect lines node.in_progress=0 node.upstream_tries=4 node.passed.seat-check=1 node.bad_gateway.log-load=1
    o1 send STATS
    o1 expect lines node.dropped.log-load=1 node.loads=0 node.load_errors=0
    n send moved
    n send {
    o1 send STATS
    o1 expect lines node.loads=1 node.load_errors=1
    s send get $.100.1.2.1 $.100.1.3.1 $.100.1.5.3
    s expect $.100.1.2.1=seat-check $.100.1.3.1=1 $.100.1.5.3=1
"
)]
#[case::malformed_lines_are_rejected(
    "
    o1 send ready
    o1 expect 400
    o1 send READY now
    o1 expect 400
    o1 send
    o1 expect 400
    o1 send part aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
    o1 expect 400
    wait admin_bad_calls=4
"
)]
#[case::a_manually_ejected_engine_gets_no_new_attempts(
    "
    feed expect 1
    c1 send 1 seat-check
    c1 send 2 seat-check
    e expect ASK c1.1
    e expect ASK c1.2
    o1 send DISABLE s-00000001
    o1 expect 200
    o1 send DISABLE s-00000001
    o1 expect 200
    wait engines_ejected=1
    e send c1.1 served batches=1 a\\n
    e send c1.2 served batches=1 b\\n
    c1 expect 1 served a\\n
    c1 expect 2 served b\\n
    feed send draining e2
    wait feed_events=1
    c1 send 3 seat-check allow=400
    c1 expect 3 Overloaded cooldown
    feed send active e2
    feed send only e2
    feed send listed e1
    wait feed_events=4
    c1 send 4 seat-check
    e expect ASK c1.4
    e send c1.4 served batches=1 d\\n
    c1 expect 4 served d\\n
    o1 send STATS
    o1 expect lines node.skipped_engines=1
    o1 send ENABLE s-00000001
    o1 expect 200
    feed send draining e2
    wait feed_events=5
    c1 send 5 seat-check
    e expect ASK c1.5
    e send c1.5 served batches=1 c\\n
    c1 expect 5 served c\\n
    o1 send STATS
    o1 expect lines node.skipped_engines=0
"
)]
#[case::draining_closes_client_connections_and_loses_no_request(
    "
    c1 send 1 seat-check
    c2 send 1 seat-check
    c5 send 1 seat-check
    e expect ASK c1.1
    e expect ASK c2.1
    e expect ASK c5.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
    e send c5.1 served batches=1 a\\n
    c5 expect 1 served a\\n
    c5 send raw 940002a6686561
    o1 send DRAIN
    o1 expect 200
    o1 send READY
    o1 expect 400
    c1 expect closed
    c5 send raw 6c74689180
    c5 expect 2 false
    c5 expect closed
    c3 send 1 seat-check
    e expect ASK c3.1
    e send c3.1 served batches=1 b\\n
    c3 expect 1 served b\\n
    c3 expect closed
    f1 send 1 log-load
    e expect ASK f1.1
    e send f1.1 served batches=1 7\\t\\t\\n
    f1 expect 1 served 7
    c2 send 2 seat-check
    e expect ASK c2.2
    e send c2.1 served batches=1 c\\n
    c2 expect 1 served c\\n
    e send c2.2 served batches=1 d\\n
    c2 expect 2 served d\\n
    c2 expect closed
    o1 send UNDRAIN
    o1 expect 200
    o1 send READY
    o1 expect 200
    c4 send 1 seat-check
    e expect ASK c4.1
    e send c4.1 served batches=1 e\\n
    c4 expect 1 served e\\n
    c4 send health 2
    c4 expect 2 true
    wait client_connections_open=1
"
)]
#[case::unknown_engines_and_malformed_engine_ids_are_rejected(
    "
    o1 send DISABLE s-000000ff
    o1 expect 400
    o1 send ENABLE s-000000ff
    o1 expect 400
    o1 send DISABLE 00000001
    o1 expect 400
    o1 send DISABLE
    o1 expect 400
    o1 send DISABLE s-00000001 s-00000002
    o1 expect 400
    wait engines_ejected=0
"
)]
#[case::silent_callers_do_not_block_others(
    "
    o1 send part RE
    o2 send part S
    o3 send part S
    o4 send part S
    o5 send part S
    o6 send READY
    o6 expect 200
    wait admin_bad_calls=2
    o5 send part TATS
    o5 send
    o5 expect lines node.in_progress=0
"
)]
fn admin_address(#[case] script: &str) {
    run_script(2, EngineProtocol::Lines, script);
}
