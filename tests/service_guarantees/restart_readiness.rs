//! Guarantee: nine in ten restarted managers are ready within 10 s, whatever the discovery feed
//! does, with clients that are waiting for the manager, and with an endpoint list in the
//! configuration that is out of date. The managers are the program itself, on a socket that the
//! platform holds.

use crate::scene::child_process::{
    KillOnDrop, addresses, admin_call, start_with_listener, stderr_of,
};
use crate::scene::{apply_changes, configuration};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Number of managers that are restarted at the same time.
const RESTARTED_MANAGERS: usize = 10;

/// Number of the restarted managers that have to be ready in time by the operators' guarantee.
const MIN_READY_MANAGERS: usize = 9;

/// Time from the start to readiness that the operators' guarantee allows.
const MAX_READY_TIME: Duration = Duration::from_secs(10);

/// Number of clients that send a call before the manager is started.
const WAITING_CLIENTS: usize = 20;

/// Number of engines in the list that is out of date. Nothing listens at their addresses.
const STALE_ENGINES: u32 = 1024;

/// How the discovery feed fails.
#[derive(Clone, Copy, Debug)]
enum FeedFault {
    /// Nothing listens at its address.
    Refuses,
    /// The connection and the subscription succeed, and the feed sends nothing.
    Silent,
    /// The feed stops in the middle of its first event.
    StopsHalfway,
}

/// The processes of the same manager that were started before the one under test.
#[derive(Clone, Copy, Debug)]
enum EarlierProcesses {
    /// No other process.
    NoProcess,
    /// One process, which was killed.
    OneKilled,
    /// One process, which still serves.
    OneServing,
    /// Two processes, which still serve.
    TwoServing,
}

impl FeedFault {
    /// Starts the feed. Returns its address and the listener, which has to be held as long as the
    /// feed is used.
    fn start(self) -> (SocketAddr, Option<TcpListener>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let accepting = listener.try_clone().expect("listener");
        match self {
            FeedFault::Refuses => (address, None),
            // Connections are established in the backlog and never accepted.
            FeedFault::Silent => (address, Some(listener)),
            FeedFault::StopsHalfway => {
                std::thread::spawn(move || {
                    let mut open_streams = Vec::new();
                    while let Ok((mut stream, _)) = accepting.accept() {
                        let _ = stream.write_all(&[0, 0, 0, 36, 0, 0]);
                        open_streams.push(stream);
                    }
                });
                (address, Some(listener))
            }
        }
    }
}

/// A configuration whose endpoint list contains only engines that no longer exist.
fn stale_configuration(feed: SocketAddr) -> String {
    let list_entry = |n: u32| {
        format!(
            r#"{{"instanceId":"s-{n:08x}","hostPort":"127.0.0.1:1","zone":"hall-a","machineType":"std-8c","weight":1}}"#
        )
    };
    let list_entries: Vec<String> = (1..=STALE_ENGINES).map(list_entry).collect();
    let endpoint_list = format!(
        r#"{{"n":1,"members":{{"reset":true,"instances":[{}]}}}}"#,
        list_entries.join(",")
    );
    apply_changes(&configuration(feed, &endpoint_list), &["sockets=256"])
}

/// Waits until a program logs its admin address. Returns `None` if it does not do so in time. The
/// program's standard error is read to its end, as a full pipe would block the program.
fn await_admin_address(child: &mut Child, timeout: Duration) -> Option<SocketAddr> {
    let mut stderr = stderr_of(child);
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let _ = sender.send(addresses(&mut stderr).1);
        let _ = stderr.read_to_end(&mut Vec::new());
    });
    receiver.recv_timeout(timeout).ok()
}

/// Starts one manager after the earlier processes. Returns the time until it was ready, or `None`
/// if it was not ready within [`MAX_READY_TIME`].
fn restart_manager(name: &str, feed: SocketAddr, earlier: EarlierProcesses) -> Option<Duration> {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("folder");
    let config = folder.join("config.json");
    std::fs::write(&config, stale_configuration(feed)).expect("file");
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let start = |folder: &Path| KillOnDrop(start_with_listener(&listener, &config, folder));
    let earlier_count = match earlier {
        EarlierProcesses::NoProcess => 0,
        EarlierProcesses::OneKilled | EarlierProcesses::OneServing => 1,
        EarlierProcesses::TwoServing => 2,
    };
    let mut earlier_processes: Vec<KillOnDrop> =
        (0..earlier_count).map(|_| start(&folder)).collect();
    for process in &mut earlier_processes {
        await_admin_address(process, MAX_READY_TIME).expect("an earlier process");
    }
    if matches!(earlier, EarlierProcesses::OneKilled) {
        earlier_processes.clear();
    }
    let address = listener.local_addr().expect("address");
    let mut clients: Vec<TcpStream> = (0..WAITING_CLIENTS)
        .map(|_| send_health_call(address))
        .collect();
    let started_at = Instant::now();
    let mut manager = start(&folder);
    let admin_address = await_admin_address(&mut manager, MAX_READY_TIME)?;
    let ready = admin_call(admin_address, "READY")
        .starts_with("200")
        .then(|| started_at.elapsed());
    for client in &mut clients {
        assert!(
            is_healthy(client),
            "a client that was waiting gets the answer true"
        );
    }
    ready.filter(|ready_time| *ready_time <= MAX_READY_TIME)
}

/// Connects a client that sends a `health` call.
fn send_health_call(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream
        .set_read_timeout(Some(MAX_READY_TIME))
        .expect("option");
    stream
        .write_all(b"\x94\x00\x01\xa6health\x91\x80")
        .expect("write");
    stream
}

/// Whether the answer to the `health` call is `true`.
fn is_healthy(stream: &mut TcpStream) -> bool {
    let mut answer = [0; 7];
    stream.read_exact(&mut answer).is_ok() && answer[5] == 0xc3
}

#[rstest]
fn nine_in_ten_restarted_managers_are_ready_within_the_limit(
    #[values(FeedFault::Refuses, FeedFault::Silent, FeedFault::StopsHalfway)] feed: FeedFault,
    #[values(
        EarlierProcesses::NoProcess,
        EarlierProcesses::OneKilled,
        EarlierProcesses::OneServing,
        EarlierProcesses::TwoServing
    )]
    earlier: EarlierProcesses,
) {
    let (feed_address, _listener) = feed.start();
    let starts: Vec<_> = (0..RESTARTED_MANAGERS)
        .map(|number| {
            let name = format!("restart-{feed:?}-{earlier:?}-{number}").to_lowercase();
            std::thread::spawn(move || restart_manager(&name, feed_address, earlier))
        })
        .collect();
    // All threads are joined before the first one can fail the test. Otherwise the processes of the
    // other threads would be left running.
    let joined: Vec<_> = starts
        .into_iter()
        .map(std::thread::JoinHandle::join)
        .collect();
    let ready_times: Vec<_> = joined
        .into_iter()
        .map(|start| start.expect("a start"))
        .collect();
    let ready = ready_times.iter().flatten().count();
    assert!(
        ready >= MIN_READY_MANAGERS,
        "{ready} of {RESTARTED_MANAGERS} were ready within {MAX_READY_TIME:?}: {ready_times:?}"
    );
}
