//! Client connections and engine connections: which are opened, shared, evicted and closed.

use crate::scene::run_script;
use rstest::rstest;
use workload_manager::node_config::EngineProtocol;

/// Connections of clients that have sent one request, and connections of clients that have sent
/// only a part of a message, do not keep other clients out: they are evicted for new connections.
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
        // The clients that send only a part of a message are evicted for one another and for the
        // clients that send requests.
        script += &format!("c{} send raw 94\n", 1000 + client);
    }
    script += &served_request("c100".to_owned(), 2);
    run_script(
        2,
        EngineProtocol::Lines,
        &format!("{script}c1 expect closed\nc1001 expect closed\n"),
    );
}

/// A client that keeps sending invalid calls as fast as they are rejected gets an error for each of
/// the first 64; at the next one its connection is closed.
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

/// The engine may reset an idle connection just as the next request is written. A bulk load
/// therefore gets a new connection unless an existing one answered within `recent_answer_ms`; an
/// idempotent query uses an idle connection. The script lets the connection idle by waiting until
/// the manager closes a silent client.
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

/// If the machine of an engine fails, its connections stay open and silent. New attempts therefore
/// get another connection. The script lets the connection be silent by waiting until the manager
/// closes a silent client.
#[test]
fn a_silent_connection_gets_no_new_attempts() {
    // The estimated work is so large that the attempt does not count as hung within this time.
    let script = "c1 send 1 usage-report effort=9000.0\ne expect ASK c1.1\nc2 expect closed\nc1 send 2 seat-check\n\
                  e expect ASK c1.2\ne send c1.2 served batches=1 a\\n\nc1 expect 2 served a\\n\n\
                  wait engine_connections=2\nc1 send cancel 1\ne expect QUIT c1.1\n";
    run_script(1, EngineProtocol::Lines, script);
}

/// A client connection may have 32 open requests. A further one is rejected at once, and the open
/// ones continue.
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

/// Guards against a second run: the client of a bulk load leaves while it runs, and comes again with
/// the same reference. A request that never ran may come again.
#[rstest]
fn bulk_load_of_a_client_that_left_does_not_run_again_under_its_reference(
    #[values(EngineProtocol::Lines, EngineProtocol::Flight)] protocol: EngineProtocol,
) {
    run_script(
        2,
        protocol,
        "
        c1 send 1 log-load
        e expect ASK c1.1
        c1 close
        e expect QUIT c1.1
        wait requests_open=0
        c2 send 1 log-load ref=0000000000000077
        e expect ASK c2.1
        c2 send cancel 1
        e expect QUIT c2.1
        c1 send 1 log-load
        c1 expect 1 Internal
        c2 send 2 log-load ref=0000000000000077
        c2 expect 2 Internal
        wait client_bad_calls=2
        wait attempts_written=2
        ",
    );
}
