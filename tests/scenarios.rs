//! Scenarios on loopback sockets; `scene` says how they read.

#[allow(dead_code, reason = "each test target uses a part of the scene")]
mod scene;

use magpiechute::config::{Fronts, Speech};
use rstest::rstest;
use scene::process::{Reaped, addresses, call, inheriting, line_with, program, said_by, signal};
use scene::{configuration, play};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr};

/// The platform's clients and line engines.
#[rstest]
#[case::whole_path(
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
#[case::answers_in_any_order(
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
#[case::a_load_that_may_have_run_is_not_sent_again(
    "
    c1 send 1 log-load
    e expect ASK c1.1
    e close c1.1
    c1 expect 1 Internal
    e expect none ASK c1.1
"
)]
#[case::a_key_of_repeats_passes_on_unchanged(
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
#[case::by_key_it_is_sent_again_while_that_is_remembered(
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
#[case::a_load_that_failed_is_not_sent_again(
    "
    c1 send 1 log-load
    e expect ASK c1.1
    e send c1.1 crashed
    c1 expect 1 Internal
    e expect none ASK c1.1
"
)]
#[case::a_load_that_never_ran_is_sent_again(
    "
    c1 send 1 log-load
    e expect ASK c1.1
    e send c1.1 overload
    e expect ASK c1.1
    e send c1.1 served batches=1 done\\n
    c1 expect 1 served done\\n
"
)]
#[case::a_load_whose_pages_are_lost_has_run(
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
#[case::a_reset_query_is_sent_again(
    "
    c1 send 1 usage-report
    e expect ASK c1.1
    e close c1.1
    e expect ASK c1.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
"
)]
#[case::a_refused_connection_never_ran(
    "
    e1 close
    e2 close
    c1 send 1 log-load
    c1 expect 1 Overloaded cooldown
    wait ended_reset=0
"
)]
#[case::the_deadline_gives_the_attempt_up(
    "
    c1 send 1 log-load allow=300
    e expect ASK c1.1
    c1 expect 1 DeadlineExceeded
    e expect QUIT c1.1
    e expect none ASK c1.1
"
)]
#[case::a_cancelled_query_is_given_up(
    "
    c1 send 1 seat-check
    e expect ASK c1.1
    c1 send cancel 1
    e expect QUIT c1.1
    wait left=1
    c1 send 2 seat-check
    e expect ASK c1.2
    c1 send cancel 2
    e expect QUIT c1.2
"
)]
#[case::pages_that_nobody_wants_are_freed(
    "
    c1 send 1 seat-check
    e expect ASK c1.1
    e send c1.1 served batches=2 a\\n
    e expect NEXT c1.1 1
    c1 send cancel 1
    e expect FREE c1.1
"
)]
#[case::nothing_new_to_what_drains(
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
#[case::a_draining_engine_ends_what_it_has(
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
#[case::the_feed_is_resumed_by_the_last_number(
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
#[case::a_new_configuration_moves_the_feed_and_nothing_else(
    "
    feed expect 1
    c1 send 1 seat-check
    e expect ASK c1.1
    feed send draining e1
    wait feed_events=1
    n send moved
    feed expect 2
    n send {
    wait reloads_bad=1
    feed send draining e2
    wait feed_events=2
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
    wait reloads=1
"
)]
#[case::new_settings_are_taken_whole_and_requests_keep_their_class(
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
#[case::a_lower_number_of_attempts_binds_the_next_one(
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
#[case::settings_that_are_not_whole_change_nothing(
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
    wait reloads_bad=18
    wait reloads=0
    c1 send 1 seat-check
    e expect ASK c1.1
    e send c1.1 overload
    e expect ASK c1.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
"
)]
#[case::the_feed_breaks_off_inside_an_event_and_repeats_another(
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
    wait feed_silences=1
"
)]
#[case::a_whole_list_drops_what_it_leaves_out(
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
#[case::silence_of_the_feed_is_a_fault(
    "
    feed expect 1
    feed expect 1
    wait feed_silences=1
    feed send draining e1
    wait feed_events=1
"
)]
#[case::what_was_over_already_never_ran(
    "
    c1 send 1 log-load
    e expect ASK c1.1
    e send c1.1 nobody
    c1 expect 1 Overloaded cooldown
    e expect none ASK c1.1
"
)]
#[case::a_bad_frame_is_a_fault(
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
#[case::a_record_that_nobody_knows_is_passed_over_alone(
    "
    feed expect 1
    feed send raw 0000003f000000000000000202000000017f00000100070700000000000003e80000000000000000000000027f00000100070100000000000003e80000000000000000
    wait feed_events=1
    wait list_unusable=1
    wait feed_malformed=0
    c1 send 1 seat-check
    e expect ASK c1.1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
"
)]
#[case::an_unreadable_line_breaks_its_connection_only(
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
#[case::more_than_was_asked_for_harms_nothing(
    "
    c1 send 1 log-load
    c1 send 2 log-load
    e expect ASK c1.1
    e expect ASK c1.2
    e send c1.1 raw 303030303030303030303030303061622073657276656420626174636865733d3120300d0a0d0a
    wait engine_unasked=1
    e send c1.1 served batches=2 a\\n
    e send c1.1 served batches=2 a\\n
    wait engine_unasked=2
    e expect NEXT c1.1 1
    e send c1.1 rows batch=1 b\\n
    c1 expect 1 served a\\nb\\n
    e send c1.1 rows batch=1 b\\n
    wait engine_unasked=3
    e send c1.2 served batches=1 c\\n
    c1 expect 2 served c\\n
    wait engine_malformed=0
"
)]
#[case::a_spoilt_answer_ends_what_shares_its_connection_and_no_load(
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
#[case::an_answer_that_stops_short(
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
#[case::lengths_that_no_page_has(
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
#[case::a_silent_client_and_one_that_stops_halfway_are_closed(
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
    wait client_silent=3
    c1 send 2 seat-check
    e expect ASK c1.2
    e send c1.2 served batches=1 b\\n
    c1 expect 2 served b\\n
"
)]
#[case::what_every_engine_fails_is_at_fault_itself(
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
    wait sent=3
"
)]
#[case::bad_calls_are_answered(
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
#[case::what_cannot_be_read_closes_its_connection_only(
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
#[case::a_message_in_parts(
    "
    c1 send raw 940001a6686561
    c1 send raw 6c74689180
    c1 expect 1 true
"
)]
#[case::a_client_that_has_gone_takes_its_waiting_request_along(
    "
    feed expect 1
    feed send draining e1
    feed send draining e2
    wait feed_events=2
    c1 send 1 seat-check
    c2 send 1 log-load
    wait open=2
    c1 close
    wait left=1
    c2 send cancel 1
    wait left=2
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
#[case::a_client_that_goes_ends_its_running_query(
    "
    c1 send 1 usage-report
    e expect ASK c1.1
    c1 close
    e expect QUIT c1.1
    wait left=1
"
)]
#[case::a_planned_end_answers_all_before_it_is_killed(
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
#[case::a_planned_end_waits_for_half_a_request(
    "
    c1 send health 1
    c1 expect 1 true
    c1 send raw 940002a6686561
    n close
    wait client_silent=1
    c1 expect closed
    n expect closed
"
)]
#[case::a_planned_end_loses_nothing(
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
#[case::a_silent_engine_is_left_where_a_repeat_is_allowed(
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
#[case::what_hangs_is_called_off_and_sent_again(
    "
    c1 send 1 seat-check
    e expect ASK c1.1
    e expect QUIT c1.1
    e expect ASK c1.1
    wait given_up=1
    e send c1.1 served batches=1 a\\n
    c1 expect 1 served a\\n
    wait sent=2
"
)]
#[case::what_is_gone_ends_though_nothing_is_reset(
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
#[case::a_name_that_is_open_already(
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
#[case::a_page_that_does_not_come(
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
fn platform(#[case] script: &str) {
    play(2, Speech::Lines, script);
}

/// Clients that ask once and keep their connection for good take no place from others, nor do silent ones.
#[test]
fn idle_connections_make_room() {
    let (mut script, mut served) = (String::new(), 0);
    let mut ask = |who: String, n: u32| {
        served += 1;
        format!(
            "{who} send {n} seat-check\ne expect ASK {who}.{n}\n\
             e send {who}.{n} served batches=1 a\\n\n{who} expect {n} served a\\n\nwait served={served}\n"
        )
    };
    for client in 1..=100 {
        script += &ask(format!("c{client}"), 1);
        // Silent ones among them make room for each other, and for these.
        script += &format!("c{} send raw 94\n", 1000 + client);
    }
    script += &ask("c100".to_owned(), 2);
    play(2, Speech::Lines, &format!("{script}c1 expect closed\nc1001 expect closed\n"));
}

/// A client that goes on with what is no use as fast as it is turned away is closed, once it was answered often.
#[test]
fn endless_bad_calls_end_the_connection() {
    let calls: String = (1..=65).map(|n| format!("c1 send {n} no-such-class\n")).collect();
    play(
        1,
        Speech::Lines,
        &format!("{calls}c1 expect 64 NoMethodError\nc1 expect closed\nwait client_bad_calls=65\n"),
    );
}

/// A connection that idles may be reset by what comes next, so a load takes a new one unless this one has just
/// answered; a query that may be sent again does not. (What takes the time here is the close of a silent client.)
#[test]
fn a_load_takes_a_new_connection_where_the_old_one_idled() {
    let served = |n: u32| {
        format!("e expect ASK c1.{n}\ne send c1.{n} served batches=1 a\\n\nc1 expect {n} served a\\n\n")
    };
    let mut script = format!("c1 send 1 seat-check\n{}c2 expect closed\n", served(1));
    script += &format!("c1 send 2 seat-check\n{}wait engine_conns=1\nc3 expect closed\n", served(2));
    play(1, Speech::Lines, &format!("{script}c1 send 3 log-load\n{}wait engine_conns=2\n", served(3)));
}

/// A machine that vanished leaves its connections open and silent: what is new tries another one. (What takes the
/// time here is the close of a silent client.)
#[test]
fn a_silent_connection_carries_nothing_new() {
    // Of an effort that lets it wait on for longer than this.
    let script = "c1 send 1 usage-report effort=9000.0\ne expect ASK c1.1\nc2 expect closed\nc1 send 2 seat-check\n\
                  e expect ASK c1.2\ne send c1.2 served batches=1 a\\n\nc1 expect 2 served a\\n\n\
                  wait engine_conns=2\nc1 send cancel 1\ne expect QUIT c1.1\n";
    play(1, Speech::Lines, script);
}

/// Over 32 open on one connection: refused on the spot, while those open go on.
#[test]
fn the_thirty_third_open_request_is_refused() {
    let open: String = (1..=32).map(|n| format!("c1 send {n} seat-check\n")).collect();
    let first = "c1 send 33 seat-check\nc1 expect 33 Overloaded\nwait client_over_limit=1\n";
    play(4, Speech::Lines, &format!("{open}{first}c1 send cancel 1\nwait left=1\n"));
}

/// Flight SQL clients and engines.
#[rstest]
#[case::whole_path(
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
#[case::a_report_cut_while_it_is_held_is_asked_for_again(
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
#[case::a_report_cut_while_it_streams_ends_in_an_error(
    "
    f1 send 1 usage-report
    e expect ASK f1.1
    e send f1.1 rows x9000
    wait served=1
    e close f1.1
    f1 expect 1 cut DataLoss
    e expect none ASK f1.1
    wait open=0
"
)]
#[case::a_long_report_streams_whole(
    "
    f1 send 1 usage-report
    e expect ASK f1.1
    e send f1.1 rows x9000
    e send f1.1 rows x9000
    e send f1.1 served x9000
    f1 expect 1 served 405000
    wait open=0
"
)]
#[case::no_second_run_of_a_load(
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
#[case::a_ticket_of_a_load_runs_once(
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
#[case::deadline(
    "
    f1 send 1 usage-report grpc-timeout=300m
    e expect ASK f1.1
    f1 expect 1 DeadlineExceeded
    e expect QUIT f1.1
    f1 send 2 seat-check grpc-timeout=soon
    f1 expect 2 InvalidArgument
"
)]
#[case::what_hangs_is_called_off_and_sent_again(
    "
    f1 send 1 seat-check
    e expect ASK f1.1
    e expect QUIT f1.1
    e expect ASK f1.1
    wait given_up=1
    e send f1.1 served a\\tb\\tc\\n
    f1 expect 1 served a\\tb\\tc\\n
    wait sent=2
"
)]
#[case::a_dropped_call_is_given_up(
    "
    f1 send 1 usage-report
    e expect ASK f1.1
    f1 close 1
    e expect QUIT f1.1
    wait left=1
"
)]
#[case::what_is_gone_ends_though_nothing_is_reset(
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
#[case::drain_and_refusal(
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
#[case::refused_connections(
    "
    e1 close
    e2 close
    f1 send 1 log-load grpc-timeout=600m
    f1 expect 1 ResourceExhausted RETRY
    wait ended_reset=0
"
)]
#[case::who_brings_no_call_is_closed(
    "
    f1 send 1 seat-check
    e expect ASK f1.1
    e send f1.1 served a\\tb\\tc\\n
    f1 expect 1 served a\\tb\\tc\\n
    x1 send raw 505249
    x2 expect closed
    x1 expect closed
    x3 expect closed
    wait client_silent=3
    f1 send 2 seat-check
    e expect ASK f1.2
    e send f1.2 served a\\tb\\tc\\n
    f1 expect 2 served a\\tb\\tc\\n
"
)]
#[case::silent_connections_make_room(
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
    wait client_silent=0
"
)]
#[case::bad_calls(
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
    wait taken=0
"
)]
fn flight(#[case] script: &str) {
    play(2, Speech::Flight, script);
}

/// The SNMP agent.
#[rstest]
#[case::get(
    "
    c1 send 1 no-such-class
    c1 expect 1 NoMethodError
    s send get $.1.0 $.22.0 1.3.6.1.2.1.1.5.0
    s expect $.1.0=0 $.22.0=1 1.3.6.1.2.1.1.5.0=n1
    s send get $.1.1 $.999.0
    s expect $.1.1=NoSuchInstance $.999.0=NoSuchObject
"
)]
#[case::next_and_the_end_of_the_view(
    "
    s send next 1.3.6.1.2.1.1.5.0
    s expect $.1.0=0
    s send next $.1
    s expect $.1.0=0
    s send next $.1.0
    s expect $.2.0=0
    s send next $.41.0
    s expect $.42.0=0
    s send next $.50.0
    s expect $.51.0=0
    s send next $.77.0
    s expect $.100.1.2.1=seat-check
    s send next $.100.1.5.3
    s expect $.100.1.5.3=EndOfMibView
"
)]
#[case::bulk(
    "
    s send bulk 1 2 $ $.3
    s expect $.1.0=0 $.3.0=0 $.4.0=0
    s send bulk 0 9 $.100.1.5.1
    s expect $.100.1.5.2=0 $.100.1.5.3=0 $.100.1.5.3=EndOfMibView
    s send bulk 0 4000000000 $.100.1.5.2 $.100.1.5.3
    s expect $.100.1.5.3=0 $.100.1.5.3=EndOfMibView $.100.1.5.3=EndOfMibView $.100.1.5.3=EndOfMibView
"
)]
#[case::read_only(
    "
    s send set $.1.0
    s expect error 17
"
)]
#[case::what_is_dropped(
    "
    s send get@other $.1.0
    wait snmp_dropped=1
    s send raw 302902010004067075626c6963a01c
    wait snmp_dropped=2
    s send raw ff
    wait snmp_dropped=3
    s send v1 $.1.0
    wait snmp_dropped=4
    s send get $.35.0
    s expect $.35.0=4
"
)]
fn agent(#[case] script: &str) {
    play(1, Speech::Lines, script);
}

/// The operations address.
#[rstest]
#[case::ready_and_figures(
    "
    o1 send READY
    o1 expect 200
    c1 send 1 seat-check
    e expect ASK c1.1
    wait written=1
    o1 send STATS
    o1 expect lines node.in_progress=1 node.upstream_tries=1 node.known_engines=2 node.passed.seat-check=0 node.subset_engines=2 node.engine_holders=1 node.ordinal=0
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
    o1 expect lines node.dropped.log-load=1 node.skipped_engines=0 node.loads=0 node.load_errors=0
    n send moved
    n send {
    o1 send STATS
    o1 expect lines node.loads=1 node.load_errors=1
    s send get $.100.1.2.1 $.100.1.3.1 $.100.1.5.3
    s expect $.100.1.2.1=seat-check $.100.1.3.1=1 $.100.1.5.3=1
"
)]
#[case::bad_lines(
    "
    o1 send ready
    o1 expect 400
    o1 send READY now
    o1 expect 400
    o1 send
    o1 expect 400
    o1 send part aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
    o1 expect 400
    wait ops_bad_calls=4
"
)]
#[case::an_engine_taken_out_gets_nothing_new(
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
    wait engines_skipped=1
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
#[case::a_drain_sends_clients_away_and_loses_nothing(
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
    wait client_conns_open=1
"
)]
#[case::engines_that_nobody_knows(
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
    wait engines_skipped=0
"
)]
#[case::silent_callers_keep_none_out(
    "
    o1 send part RE
    o2 send part S
    o3 send part S
    o4 send part S
    o5 send part S
    o6 send READY
    o6 expect 200
    wait ops_bad_calls=2
    o5 send part TATS
    o5 send
    o5 expect lines node.in_progress=0
"
)]
fn operations(#[case] script: &str) {
    play(2, Speech::Lines, script);
}

/// Each front serves from engines of the other protocol.
#[rstest]
#[case::flight_client_line_engines(
    Speech::Lines,
    "
    f1 send 1 seat-check
    e expect ASK f1.1
    e send f1.1 served batches=2 a\\tb\\tc\\n
    e expect NEXT f1.1 1
    e send f1.1 rows batch=1 d\\te\\tf\\n
    f1 expect 1 served a\\tb\\tc\\nd\\te\\tf\\n
    f1 send 2 log-load
    e expect ASK f1.2
    e send f1.2 served batches=1 12\\t\\t\\n
    f1 expect 2 served 12
"
)]
#[case::platform_client_flight_engines(
    Speech::Flight,
    "
    c1 send 1 seat-check
    e expect ASK c1.1
    e send c1.1 served a\\tb\\tc\\n
    c1 expect 1 served a\\tb\\tc\\n
    c1 send 2 log-load
    e expect ASK c1.2
    e close c1.2
    c1 expect 2 Internal
    e expect none ASK c1.2
"
)]
fn across(#[case] speech: Speech, #[case] script: &str) {
    play(2, speech, script);
}

/// A Monday rush: one client on both protocols at once, round after round, with every kind of end among them.
#[rstest]
#[case(Speech::Lines)]
#[case(Speech::Flight)]
fn one_client_on_both_protocols(#[case] speech: Speech) {
    let body = |n: u32| match speech {
        Speech::Lines => format!("batches=1 r{n}\\tb\\tc\\n"),
        Speech::Flight => format!("r{n}\\tb\\tc\\n"),
    };
    let load = if speech == Speech::Lines { "batches=1 7\\t\\t\\n" } else { "7" };
    let mut script = String::new();
    for round in 0..12 {
        // Eight open on each protocol at once, in two groups of four.
        let groups: Vec<Vec<u32>> =
            (0..2).map(|g| (1..=4).map(|n| round * 8 + g * 4 + n).collect()).collect();
        let mut line = |text: String| script += &format!("{text}\n");
        for numbers in &groups {
            for (n, class) in numbers.iter().zip(["seat-check", "usage-report", "log-load", "log-load"]) {
                line(format!("c1 send {n} {class}"));
                line(format!("f1 send {n} {class}"));
            }
        }
        for (who, numbers) in ["c1", "f1"].iter().flat_map(|who| groups.iter().map(move |g| (*who, g))) {
            numbers.iter().for_each(|n| line(format!("e expect ASK {who}.{n}")));
            // One load is turned away and goes again; the other fails and does not.
            line(format!("e send {who}.{} overload", numbers[3]));
            line(format!("e expect ASK {who}.{}", numbers[3]));
            for n in &numbers[..2] {
                line(format!("e send {who}.{n} served {}", body(*n)));
                line(format!("{who} expect {n} served r{n}\\tb\\tc\\n"));
            }
            line(format!("e send {who}.{} crashed", numbers[2]));
            line(format!("{who} expect {} Internal", numbers[2]));
            line(format!("e send {who}.{} served {load}", numbers[3]));
            let served = if who == "c1" { "7\\t\\t\\n" } else { "7" };
            line(format!("{who} expect {} served {served}", numbers[3]));
        }
    }
    play(8, speech, &format!("{script}wait open=0\nwait taken=192\nwait served=144\nwait failed=48\n"));
}

/// The program on a listening socket that the platform holds, once it says where it is operated.
fn upgraded(
    listener: &TcpListener,
    config: &Path,
    folder: &Path,
) -> (Child, BufReader<ChildStderr>, SocketAddr) {
    let mut child = inheriting(listener, config, folder);
    let mut said = said_by(&mut child);
    let (_, ops) = addresses(&mut said);
    (child, said, ops)
}

/// Two processes are one workload manager: what staff said to one holds in both and in the next, the old one leaves
/// the socket to its successor, serves what it accepted and ends.
#[test]
fn an_upgrade() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("upgrade");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("folder");
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let at = listener.local_addr().expect("address");
    let member = |n: u32| {
        format!(
            r#"{{"instanceId":"s-{n:08x}","hostPort":"127.0.0.1:1","zone":"hall-a","machineType":"std-8c"}}"#
        )
    };
    let known = format!(r#"{{"n":1,"members":{{"reset":true,"instances":[{},{}]}}}}"#, member(1), member(2));
    let config = folder.join("config.json");
    std::fs::write(&config, configuration("127.0.0.1:1".parse().expect("address"), &known)).expect("file");
    let start = || upgraded(&listener, &config, &folder);
    let skipped = |ops, n| {
        let wanted = format!("node.skipped_engines={n}\n");
        (0..400).any(|_| {
            std::thread::sleep(std::time::Duration::from_millis(10));
            call(ops, "STATS").contains(&wanted)
        })
    };
    let health = b"\x94\x00\x01\xa6health\x91\x80";
    let fit = |stream: &mut TcpStream| {
        let mut answer = [0; 7];
        stream.write_all(health).expect("write");
        stream.read_exact(&mut answer).expect("an answer");
        answer[5] == 0xc3
    };
    let end = |mut child: Child| {
        signal(&child, "TERM");
        assert!(child.wait().expect("end").success());
    };
    let (old, mut old_said, old_ops) = start();
    assert!(call(old_ops, "READY").starts_with("200"));
    assert!(call(old_ops, "DISABLE s-00000001").starts_with("200"));
    // Accepted by the old one, for certain: nobody else is there.
    let mut kept = TcpStream::connect(at).expect("connect");
    assert!(fit(&mut kept));
    let (new, mut new_said, new_ops) = start();
    line_with(&mut old_said, "another process of this workload manager lives");
    assert!(call(new_ops, "READY").starts_with("200"));
    assert!(skipped(new_ops, 1), "the successor knows what was taken out before it came");
    assert!(call(old_ops, "DISABLE s-00000002").starts_with("200"));
    assert!(skipped(new_ops, 2), "and what is taken out at the old one");
    assert!(call(new_ops, "ENABLE s-00000001").starts_with("200"));
    assert!(skipped(old_ops, 1), "and the other way round");
    end(old);
    assert_eq!(kept.read(&mut [0; 9]).expect("the end"), 0, "a kept connection is closed");
    line_with(&mut new_said, "another process of this workload manager has gone");
    assert!(fit(&mut TcpStream::connect(at).expect("connect")));
    end(new);
    // What is lying about in the folder stops no start.
    let state = folder.join("magpiechute-n1.state");
    assert!(std::fs::read_to_string(&state).expect("state").contains("s-00000002"));
    std::fs::write(&state, "{\"version\":1,").expect("file");
    let (last, _said, ops) = start();
    assert!(call(ops, "READY").starts_with("200") && skipped(ops, 0));
    end(last);
}

fn good() -> String {
    configuration("127.0.0.1:1".parse().expect("address"), r#"{"n":1,"members":{"reset":true}}"#)
}

/// What cannot be used is a plain message and a code that is not zero.
#[rstest]
#[case::not_json("not_json", "{", "", "configuration: EOF")]
#[case::no_class("no_class", &good().replace("\"classes\":[", "\"classes\":[],\"was\":["), "", "no request class")]
#[case::bad_figure("bad_figure", &good().replace("\"coldMs\":15000", "\"coldMs\":-1"), "", "impossible figure")]
#[case::no_managers("no_managers", &good().replace("\"nInstances\":1", "\"nInstances\":0"), "", "no gateway instance")]
#[case::negative_managers("negative_managers", &good().replace("\"nInstances\":1", "\"nInstances\":-1"), "", "settings: ")]
#[case::managers_missing("managers_missing", &good().replace("\"nInstances\":1,", ""), "", "nInstances")]
#[case::bad_seed("bad_seed", &good().replace("8c1f30d27a5be964", "xyz"), "", "seed")]
#[case::bad_listen("bad_listen", &good().replace("127.0.0.1:0", "here"), "", "configuration: invalid socket")]
#[case::not_loopback("not_loopback", &good(), "[flight]\nlisten = \"192.0.2.1:1\"", "not a loopback address")]
#[case::unknown_key("unknown_key", &good(), "[flght]\nlisten = \"127.0.0.1:0\"", "unknown field")]
#[case::bad_speech("bad_speech", &good(), "[flight]\nlisten = \"127.0.0.1:0\"\nengines = \"x\"", "unknown variant")]
fn bad_configuration(#[case] name: &str, #[case] config: &str, #[case] fronts: &str, #[case] says: &str) {
    let done = program(name, config, fronts).wait_with_output().expect("end");
    let said = String::from_utf8_lossy(&done.stderr);
    assert!(!done.status.success() && said.contains(says), "{said}");
    assert!(said.starts_with("magpiechute: ") && !said.contains("panicked"), "{said}");
}

/// A planned end of the program prints the counters and exits 0; so does SIGUSR1 in between.
#[test]
fn signals() {
    let mut child = Reaped(program("signals", &good(), ""));
    let mut said = BufReader::new(child.stderr.take().expect("stderr"));
    let mut line = String::new();
    let signal = |name: &str| signal(&child, name);
    said.read_line(&mut line).expect("line");
    assert!(line.contains("n1 serves on 127.0.0.1:"), "{line}");
    signal("USR1");
    said.read_line(&mut line).expect("line");
    assert!(line.contains("counters taken=0"), "{line}");
    // SIGHUP reads the file anew: one that cannot be used changes nothing, and ends nothing.
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("signals.json");
    for (text, says) in [
        ("{".to_owned(), "goes on with the old configuration: configuration: EOF"),
        (good().replace("127.0.0.1:1", "127.0.0.1:2"), "follows the control feed at 127.0.0.1:2"),
    ] {
        std::fs::write(&path, text).expect("file");
        signal("HUP");
        line.clear();
        said.read_line(&mut line).expect("line");
        assert!(line.contains(says), "{line}");
    }
    signal("TERM");
    let mut rest = String::new();
    said.read_to_string(&mut rest).expect("rest");
    assert!(rest.contains("counters taken=0"), "{rest}");
    assert!(child.wait().expect("end").success());
}

/// A client's connection to a program that says where it serves, with a buffer of about so many bytes for answers.
fn client_of(said: &mut impl BufRead, buffer: u32) -> TcpStream {
    let serves = line_with(said, "serves on");
    let at = serves.split("serves on ").nth(1).and_then(|rest| rest.split(',').next()).expect("address");
    let at: SocketAddr = at.parse().expect("address");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    let stream = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("socket");
        socket.set_recv_buffer_size(buffer).expect("option");
        socket.connect(at).await.expect("connect").into_std().expect("stream")
    });
    stream.set_nonblocking(false).expect("option");
    stream
}

/// Guard: a client that takes none of its answers does not keep the program from its planned end.
#[test]
fn a_client_that_reads_nothing_and_the_end() {
    let mut child = Reaped(program("reads_nothing", &good(), ""));
    let mut said = BufReader::new(child.stderr.take().expect("stderr"));
    let mut client = client_of(&mut said, 2048);
    client.set_write_timeout(Some(std::time::Duration::from_millis(500))).expect("option");
    // Until neither side takes anything more.
    let call = |id: u32| [b"\x94\x00\xce", &id.to_be_bytes()[..], b"\xa6health\x91\x80"].concat();
    let calls = |n: u32| (n * 4096..(n + 1) * 4096).flat_map(call).collect::<Vec<u8>>();
    assert!((1u32..).map(calls).any(|calls| client.write_all(&calls).is_err()));
    signal(&child, "TERM");
    let since = std::time::Instant::now();
    let ended = loop {
        if let Some(ended) = child.try_wait().expect("end") {
            break ended;
        }
        assert!(since.elapsed().as_secs() < 15, "it waits for a client that reads nothing");
        std::thread::sleep(std::time::Duration::from_millis(10));
    };
    assert!(ended.success());
}

/// Guard: a planned end hears a new configuration, as what is open goes by the list until it is over. A client keeps half a
/// request open, so that the program has not ended when the file is read.
#[test]
fn the_feed_moves_while_the_program_ends() {
    let mut child = Reaped(program("feed_moves", &good(), ""));
    let mut said = BufReader::new(child.stderr.take().expect("stderr"));
    let mut client = client_of(&mut said, 65_536);
    client.write_all(b"\x94\x00\x01\xa6health\x91\x80").expect("write");
    client.read_exact(&mut [0; 7]).expect("an answer");
    client.write_all(b"\x94\x00\x02\xa6hea").expect("write");
    let feed = TcpListener::bind("127.0.0.1:0").expect("bind");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("feed_moves.json");
    let address = feed.local_addr().expect("address").to_string();
    std::fs::write(&path, good().replace("127.0.0.1:1", &address)).expect("file");
    ["TERM", "HUP"].into_iter().for_each(|name| signal(&child, name));
    line_with(&mut said, &format!("follows the control feed at {address}"));
    let mut last = [0; 8];
    feed.accept().expect("accept").0.read_exact(&mut last).expect("the last event");
    assert_eq!(u64::from_be_bytes(last), 1);
    assert!(child.wait().expect("end").success());
}

/// The file that shows how to turn the further fronts on can be used as it is.
#[test]
fn the_example_of_further_fronts() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/fronts.example.toml");
    let fronts = Fronts::load(&path).expect("file");
    assert!(fronts.flight.is_some() && fronts.snmp.is_some());
}
