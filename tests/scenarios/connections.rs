//! Connections of clients and to engines: who gets one, and who shares it.

use crate::scene::run_script;
use workload_manager::node_config::EngineProtocol;

/// Clients that ask once and keep their connection for good take no place from others, nor do silent ones.
#[test]
fn idle_connections_are_evicted_for_new_clients() {
    let (mut script, mut requests_served) = (String::new(), 0);
    let mut served_request = |name: String, number: u32| {
        requests_served += 1;
        format!(
            "{name} send {number} seat-check\ne expect ASK {name}.{number}\n\
             e send {name}.{number} served batches=1 a\\n\n{name} expect {number} served a\\n\n\
             wait requests_served={requests_served}\n"
        )
    };
    for client in 1..=100 {
        script += &served_request(format!("c{client}"), 1);
        // Silent ones among them make room for each other, and for these.
        script += &format!("c{} send raw 94\n", 1000 + client);
    }
    script += &served_request("c100".to_owned(), 2);
    run_script(
        2,
        EngineProtocol::Lines,
        &format!("{script}c1 expect closed\nc1001 expect closed\n"),
    );
}

/// A client that goes on with what is no use as fast as it is turned away is closed, once it was answered often.
#[test]
fn repeated_malformed_calls_close_the_connection() {
    let calls: String = (1..=65)
        .map(|n| format!("c1 send {n} no-such-class\n"))
        .collect();
    run_script(
        1,
        EngineProtocol::Lines,
        &format!("{calls}c1 expect 64 NoMethodError\nc1 expect closed\nwait client_bad_calls=65\n"),
    );
}

/// A connection that idles may be reset by what comes next, so a load takes a new one unless this one has just
/// answered; a query that may be sent again does not. (What takes the time here is the close of a silent client.)
#[test]
fn a_bulk_load_gets_a_new_connection_if_the_existing_one_was_idle() {
    let served_attempt = |number: u32| {
        format!(
            "e expect ASK c1.{number}\ne send c1.{number} served batches=1 a\\n\n\
             c1 expect {number} served a\\n\n"
        )
    };
    let mut script = format!(
        "c1 send 1 seat-check\n{}c2 expect closed\n",
        served_attempt(1)
    );
    script += &format!(
        "c1 send 2 seat-check\n{}wait engine_connections=1\nc3 expect closed\n",
        served_attempt(2)
    );
    run_script(
        1,
        EngineProtocol::Lines,
        &format!(
            "{script}c1 send 3 log-load\n{}wait engine_connections=2\n",
            served_attempt(3)
        ),
    );
}

/// A machine that vanished leaves its connections open and silent: what is new tries another one. (What takes the
/// time here is the close of a silent client.)
#[test]
fn a_silent_connection_gets_no_new_attempts() {
    // Of an effort that lets it wait on for longer than this.
    let script = "c1 send 1 usage-report effort=9000.0\ne expect ASK c1.1\nc2 expect closed\nc1 send 2 seat-check\n\
                  e expect ASK c1.2\ne send c1.2 served batches=1 a\\n\nc1 expect 2 served a\\n\n\
                  wait engine_connections=2\nc1 send cancel 1\ne expect QUIT c1.1\n";
    run_script(1, EngineProtocol::Lines, script);
}

/// Over 32 open on one connection: refused on the spot, while those open go on.
#[test]
fn the_thirty_third_open_request_is_rejected() {
    let open: String = (1..=32)
        .map(|n| format!("c1 send {n} seat-check\n"))
        .collect();
    let rejected = "c1 send 33 seat-check\nc1 expect 33 Overloaded\nwait client_over_limit=1\n";
    run_script(
        4,
        EngineProtocol::Lines,
        &format!("{open}{rejected}c1 send cancel 1\nwait client_disconnects=1\n"),
    );
}
