//! The discovery feed, the endpoint list and reloads of the configuration.

use crate::scene::run_script;
use rstest::rstest;
use workload_manager::node_config::EngineProtocol;

#[rstest]
#[case::the_feed_is_resumed_after_the_last_event(
    "
    feed expect 1
    feed send draining e1
    wait feed_events=1
    feed close
    feed expect 2
    feed send draining e2
    wait feed_events=2
"
)]
#[case::a_new_feed_address_is_used_and_nothing_else_changes(
    "
    feed expect 1
    c1 send 1 seat-check
    e expect ASK c1.1
    feed send draining e1
    wait feed_events=1
    n send moved
    feed expect 2
    n send {
    wait reloads_rejected=1
    feed send draining e2
    wait feed_events=2
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
    wait reloads=1
"
)]
#[case::new_settings_apply_in_one_step_and_requests_keep_their_class(
    "
    c1 send 1 log-load
    c1 send 2 usage-report
    e expect ASK c1.1
    e expect ASK c1.2
    n send settings -usage-report +part-load
    wait reloads=1
    c1 send 3 usage-report
    c1 expect 3 NoMethodError
    c1 send 4 part-load
    e expect ASK c1.4
    e send c1.4 crashed
    c1 expect 4 Internal
    e expect none ASK c1.4
    e send c1.2 overload
    e expect ASK c1.2
    e send c1.2 crashed
    e expect ASK c1.2
    e send c1.2 served batches=1 b\\n
    c1 expect 2 served b\\n
    e send c1.1 crashed
    c1 expect 1 Internal
    o1 send STATS
    o1 expect lines node.passed.usage-report=1 node.bad_gateway.part-load=1 node.loads=1
    n send settings +usage-report
    wait reloads=2
    c1 send 5 usage-report
    e expect ASK c1.5
    e send c1.5 served batches=1 c\\n
    c1 expect 5 served c\\n
    o1 send STATS
    o1 expect lines node.passed.usage-report=2
    f1 send 1 part-load
    f1 expect 1 InvalidArgument
"
)]
#[case::a_lowered_limit_of_attempts_applies_to_the_next_attempt(
    "
    c1 send 1 seat-check
    e expect ASK c1.1
    e send c1.1 overload
    e expect ASK c1.1
    n send settings attemptsCap=2
    wait reloads=1
    e send c1.1 overload
    c1 expect 1 Overloaded cooldown
    e expect none ASK c1.1
"
)]
#[case::unusable_settings_are_rejected_and_change_nothing(
    "
    n send settings attemptsCap=0
    n send settings attemptsCap=\"6\"
    n send settings giveUpMs=0
    n send settings giveUpMs=-15000
    n send settings giveUpMs=\"soon\"
    n send settings giveUpMs=null
    n send settings -seat-check -usage-report -log-load
    n send settings !promiseMs
    n send settings !aimStretch
    n send settings !tipMultiple
    n send settings nInstances=0
    n send settings nInstances=-3
    n send settings !nInstances
    n send settings !tenants
    n send settings !feed
    n send settings !ops
    n send settings cut
    n send settings empty
    wait reloads_rejected=18
    wait reloads=0
    c1 send 1 seat-check
    e expect ASK c1.1
    e send c1.1 overload
    e expect ASK c1.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
"
)]
#[case::a_truncated_event_reconnects_the_feed_and_a_repeated_event_is_ignored(
    "
    feed expect 1
    feed send active e1
    feed send again e2
    feed send half e2
    feed close
    feed expect 2
    feed send again e2
    feed send draining e1
    wait feed_events=2
    c1 send 1 seat-check
    e expect ASK c1.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
    feed send half e2
    feed expect 3
    wait feed_timeouts=1
"
)]
#[case::a_full_list_removes_engines_that_it_leaves_out(
    "
    feed expect 1
    wait engines=2
    feed send only e2
    wait engines=1
    c1 send 1 log-load
    e expect ASK c1.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
"
)]
#[case::a_silent_feed_is_reconnected(
    "
    feed expect 1
    feed expect 1
    wait feed_timeouts=1
    feed send draining e1
    wait feed_events=1
"
)]
#[case::a_malformed_frame_reconnects_the_feed(
    "
    feed expect 1
    feed send raw 00000003010203
    feed expect 1
    wait feed_malformed=1
    feed send raw 0000000a0000000000000002020b
    feed expect 1
    wait feed_malformed=2
"
)]
#[case::only_the_record_with_unknown_values_is_skipped(
    "
    feed expect 1
    feed send raw 0000003f000000000000000202000000017f00000100070700000000000003e80000000000000000000000027f00000100070100000000000003e80000000000000000
    wait feed_events=1
    wait list_unusable_records=1
    wait feed_malformed=0
    c1 send 1 seat-check
    e expect ASK c1.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
"
)]
fn configuration(#[case] script: &str) {
    run_script(2, EngineProtocol::Lines, script);
}
