//! The program as a process: its start, signals, hot restart and graceful shutdown.

use crate::scene::child_process::{
    KillOnDrop, addresses, admin_call, signal, start_program, start_with_listener, stderr_of,
    wait_for_line,
};
use crate::scene::configuration;
use rstest::rstest;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr};
use std::time::Duration;
use workload_manager::node_config::OptionalFrontEnds;

/// Interval between two polls of the admin figures of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Polls before a check fails: 4 s in all.
const MAX_POLLS: usize = 400;

/// A workload manager whose processes share a listening socket, a configuration and a folder.
struct HotRestart {
    listener: TcpListener,
    folder: PathBuf,
    config: PathBuf,
}

/// One process of the workload manager.
struct Process {
    child: Child,
    stderr: BufReader<ChildStderr>,
    admin: SocketAddr,
}

impl HotRestart {
    /// Creates an empty folder, a listening socket and a configuration with two engines.
    fn new() -> HotRestart {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("upgrade");
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("folder");
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let engine_json = |number: u32| {
            format!(
                r#"{{"instanceId":"s-{number:08x}","hostPort":"127.0.0.1:1","zone":"hall-a","machineType":"std-8c"}}"#
            )
        };
        let first_event = format!(
            r#"{{"n":1,"members":{{"reset":true,"instances":[{},{}]}}}}"#,
            engine_json(1),
            engine_json(2)
        );
        let config = folder.join("config.json");
        let feed = "127.0.0.1:1".parse().expect("address");
        std::fs::write(&config, configuration(feed, &first_event)).expect("file");
        HotRestart {
            listener,
            folder,
            config,
        }
    }

    /// Starts a process and waits until it prints its admin address.
    fn start(&self) -> Process {
        let mut child = start_with_listener(&self.listener, &self.config, &self.folder);
        let mut stderr = stderr_of(&mut child);
        let (_, admin) = addresses(&mut stderr);
        Process {
            child,
            stderr,
            admin,
        }
    }

    fn connect(&self) -> TcpStream {
        let address = self.listener.local_addr().expect("address");
        TcpStream::connect(address).expect("connect")
    }

    /// The file in which the processes store manual ejections.
    fn state_file(&self) -> PathBuf {
        self.folder.join("magpiechute-n1.state")
    }
}

impl Process {
    /// Whether the process answers an admin command with status 200.
    fn accepts(&self, command: &str) -> bool {
        admin_call(self.admin, command).starts_with("200")
    }

    /// Waits until the process skips this many engines; false if it does not within 4 s.
    fn reaches_skipped_engines(&self, count: usize) -> bool {
        let wanted = format!("node.skipped_engines={count}\n");
        (0..MAX_POLLS).any(|_| {
            std::thread::sleep(POLL_INTERVAL);
            admin_call(self.admin, "STATS").contains(&wanted)
        })
    }

    /// Sends SIGTERM and checks that the process exits with code 0.
    fn terminate(mut self) {
        signal(&self.child, "TERM");
        assert!(self.child.wait().expect("exit status").success());
    }
}

/// Whether the process behind a connection answers that it is healthy.
fn is_healthy(stream: &mut TcpStream) -> bool {
    let mut answer = [0; 7];
    stream
        .write_all(b"\x94\x00\x01\xa6health\x91\x80")
        .expect("write");
    stream.read_exact(&mut answer).expect("an answer");
    answer[5] == 0xc3
}

/// Two processes serve as one workload manager: a manual ejection at one of them applies in both
/// and in the next process. The old process leaves the socket to its successor, serves the
/// connections that it has accepted, and ends.
#[test]
fn hot_restart_shares_manual_ejections_and_hands_the_socket_over() {
    let manager = HotRestart::new();
    let mut old = manager.start();
    assert!(old.accepts("READY"));
    assert!(old.accepts("DISABLE s-00000001"));
    // No other process runs yet, so the old process accepts this connection.
    let mut old_connection = manager.connect();
    assert!(is_healthy(&mut old_connection));
    let mut new = manager.start();
    wait_for_line(&mut old.stderr, "peer process started");
    assert!(new.accepts("READY"));
    assert!(
        new.reaches_skipped_engines(1),
        "the new process does not skip an engine ejected before its start"
    );
    assert!(old.accepts("DISABLE s-00000002"));
    assert!(
        new.reaches_skipped_engines(2),
        "the new process does not skip an engine ejected at the old one"
    );
    assert!(new.accepts("ENABLE s-00000001"));
    assert!(
        old.reaches_skipped_engines(1),
        "the old process still skips an engine returned to service at the new one"
    );
    old.terminate();
    let read_bytes = old_connection
        .read(&mut [0; 9])
        .expect("end of the connection");
    assert_eq!(read_bytes, 0, "the old process closes its connections");
    wait_for_line(&mut new.stderr, "peer process ended");
    assert!(is_healthy(&mut manager.connect()));
    new.terminate();
    // A state file that cannot be parsed does not prevent a start.
    let state = std::fs::read_to_string(manager.state_file()).expect("state");
    assert!(state.contains("s-00000002"));
    std::fs::write(manager.state_file(), "{\"version\":1,").expect("file");
    let last = manager.start();
    assert!(last.accepts("READY") && last.reaches_skipped_engines(0));
    last.terminate();
}

fn usable_configuration() -> String {
    configuration(
        "127.0.0.1:1".parse().expect("address"),
        r#"{"n":1,"members":{"reset":true}}"#,
    )
}

/// The program ends with an error message and a non-zero exit code if its configuration or the
/// operators' file is unusable. It does not panic.
#[rstest]
#[case::not_json("not_json", "{", "", "configuration: EOF")]
#[case::no_class("no_class", &usable_configuration().replace("\"classes\":[", "\"classes\":[],\"was\":["), "", "no request class")]
#[case::bad_figure("bad_figure", &usable_configuration().replace("\"coldMs\":15000", "\"coldMs\":-1"), "", "value out of range")]
#[case::no_managers("no_managers", &usable_configuration().replace("\"nInstances\":1", "\"nInstances\":0"), "", "no workload manager instance")]
#[case::negative_managers("negative_managers", &usable_configuration().replace("\"nInstances\":1", "\"nInstances\":-1"), "", "settings: ")]
#[case::managers_missing("managers_missing", &usable_configuration().replace("\"nInstances\":1,", ""), "", "nInstances")]
#[case::bad_seed("bad_seed", &usable_configuration().replace("8c1f30d27a5be964", "xyz"), "", "seed")]
#[case::bad_listen("bad_listen", &usable_configuration().replace("127.0.0.1:0", "here"), "", "configuration: invalid socket")]
#[case::not_loopback("not_loopback", &usable_configuration(), "[flight]\nlisten = \"192.0.2.1:1\"", "not a loopback address")]
#[case::unknown_key("unknown_key", &usable_configuration(), "[flght]\nlisten = \"127.0.0.1:0\"", "unknown field")]
#[case::bad_protocol("bad_protocol", &usable_configuration(), "[flight]\nlisten = \"127.0.0.1:0\"\nengines = \"x\"", "unknown variant")]
fn an_unusable_configuration_ends_the_program_with_a_message(
    #[case] name: &str,
    #[case] config: &str,
    #[case] operator_settings: &str,
    #[case] expected: &str,
) {
    let output = start_program(name, config, operator_settings)
        .wait_with_output()
        .expect("output");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && stderr.contains(expected),
        "{stderr}"
    );
    assert!(
        stderr.starts_with("workload-manager: ") && !stderr.contains("panicked"),
        "{stderr}"
    );
}

/// SIGUSR1 prints the counters, SIGHUP reloads the configuration, and SIGTERM starts a graceful
/// shutdown, which prints the counters and exits with code 0.
#[test]
fn signals_print_counters_reload_and_end_the_program() {
    let mut child = KillOnDrop(start_program("signals", &usable_configuration(), ""));
    let mut stderr = BufReader::new(child.stderr.take().expect("stderr"));
    let mut line = String::new();
    let send_signal = |name: &str| signal(&child, name);
    stderr.read_line(&mut line).expect("line");
    assert!(line.contains("n1 serves on 127.0.0.1:"), "{line}");
    send_signal("USR1");
    stderr.read_line(&mut line).expect("line");
    assert!(line.contains("counters requests_accepted=0"), "{line}");
    // SIGHUP reads the configuration again. An unusable one is rejected, and the process continues
    // with the current one.
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("signals.json");
    for (text, expected) in [
        (
            "{".to_owned(),
            "reload refused, the old configuration stays in force error=configuration: EOF",
        ),
        (
            usable_configuration().replace("127.0.0.1:1", "127.0.0.1:2"),
            "reload complete feed=127.0.0.1:2",
        ),
    ] {
        std::fs::write(&path, text).expect("file");
        send_signal("HUP");
        line.clear();
        stderr.read_line(&mut line).expect("line");
        assert!(line.contains(expected), "{line}");
    }
    send_signal("TERM");
    let mut rest = String::new();
    stderr.read_to_string(&mut rest).expect("rest");
    assert!(rest.contains("counters requests_accepted=0"), "{rest}");
    assert!(child.wait().expect("exit status").success());
}

/// Connects a client to the address that the program prints, with a receive buffer of about this
/// size.
fn connect_client(stderr: &mut impl BufRead, receive_buffer_bytes: u32) -> TcpStream {
    let log_line = wait_for_line(stderr, "serves on");
    let address_text = log_line
        .split("serves on ")
        .nth(1)
        .and_then(|rest| rest.split(',').next())
        .expect("address");
    let address: SocketAddr = address_text.parse().expect("address");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let stream = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("socket");
        socket
            .set_recv_buffer_size(receive_buffer_bytes)
            .expect("option");
        socket
            .connect(address)
            .await
            .expect("connect")
            .into_std()
            .expect("stream")
    });
    stream.set_nonblocking(false).expect("option");
    stream
}

/// A client that reads none of its answers does not block the shutdown.
#[test]
fn a_client_that_reads_nothing_does_not_block_the_shutdown() {
    let mut child = KillOnDrop(start_program("reads_nothing", &usable_configuration(), ""));
    let mut stderr = BufReader::new(child.stderr.take().expect("stderr"));
    let mut client = connect_client(&mut stderr, 2048);
    client
        .set_write_timeout(Some(Duration::from_millis(500)))
        .expect("option");
    // A write fails when the buffers of both sides are full.
    let call = |id: u32| {
        [
            b"\x94\x00\xce",
            &id.to_be_bytes()[..],
            b"\xa6health\x91\x80",
        ]
        .concat()
    };
    let batch_of_calls = |batch: u32| {
        (batch * 4096..(batch + 1) * 4096)
            .flat_map(call)
            .collect::<Vec<u8>>()
    };
    assert!(
        (1u32..)
            .map(batch_of_calls)
            .any(|calls| client.write_all(&calls).is_err())
    );
    signal(&child, "TERM");
    let signalled_at = std::time::Instant::now();
    let exit_status = loop {
        if let Some(exit_status) = child.try_wait().expect("exit status") {
            break exit_status;
        }
        assert!(
            signalled_at.elapsed().as_secs() < 15,
            "the shutdown waits for a client that reads nothing"
        );
        std::thread::sleep(Duration::from_millis(10));
    };
    assert!(exit_status.success());
}

/// A reload applies during a graceful shutdown too, because open requests use the endpoint list
/// until they end. A client has sent only a part of a request, so that the program still runs when
/// it reads the file.
#[test]
fn a_reload_during_shutdown_changes_the_feed_address() {
    let mut child = KillOnDrop(start_program("feed_moves", &usable_configuration(), ""));
    let mut stderr = BufReader::new(child.stderr.take().expect("stderr"));
    let mut client = connect_client(&mut stderr, 65_536);
    client
        .write_all(b"\x94\x00\x01\xa6health\x91\x80")
        .expect("write");
    client.read_exact(&mut [0; 7]).expect("an answer");
    client.write_all(b"\x94\x00\x02\xa6hea").expect("write");
    let feed = TcpListener::bind("127.0.0.1:0").expect("bind");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("feed_moves.json");
    let address = feed.local_addr().expect("address").to_string();
    std::fs::write(
        &path,
        usable_configuration().replace("127.0.0.1:1", &address),
    )
    .expect("file");
    ["TERM", "HUP"]
        .into_iter()
        .for_each(|name| signal(&child, name));
    wait_for_line(&mut stderr, &format!("reload complete feed={address}"));
    let mut last_event = [0; 8];
    feed.accept()
        .expect("accept")
        .0
        .read_exact(&mut last_event)
        .expect("the number of the last event");
    assert_eq!(u64::from_be_bytes(last_event), 1);
    assert!(child.wait().expect("exit status").success());
}

/// The example file that enables the optional front ends is valid as it is.
#[test]
fn the_example_file_of_optional_front_ends_loads() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/fronts.example.toml");
    let front_ends = OptionalFrontEnds::load(&path).expect("file");
    assert!(front_ends.flight.is_some() && front_ends.snmp.is_some());
}
