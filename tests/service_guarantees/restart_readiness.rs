//! Nine in ten restarted managers are ready within 10 s: whatever the control feed does, with clients at the door, and with
//! a list of the start that is out of date. The managers are the program itself, on a socket that the platform holds.

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

/// The operators' term: so many of the managers restarted, within this time.
const RESTARTED: usize = 10;
const READY: usize = 9;
const WITHIN: Duration = Duration::from_secs(10);

/// Clients that have asked before the manager is there.
const WAITING_CLIENTS: usize = 20;

/// Engines of a list that is out of date: nobody listens at their addresses.
const STALE_ENGINES: u32 = 1024;

/// What the control feed does.
#[derive(Clone, Copy, Debug)]
enum Feed {
    /// Nobody listens there.
    Refuses,
    /// It takes the connection and the watch, and says nothing.
    Silent,
    /// It stops inside its first event.
    StopsHalfway,
}

/// What was there before the manager.
#[derive(Clone, Copy, Debug)]
enum Before {
    /// Nothing.
    Nothing,
    /// Another process of the same manager, which was killed.
    Killed,
    /// Another process of the same manager, which still serves.
    Serving,
    /// Two of them.
    TwoServing,
}

impl Feed {
    /// Its address, for as long as the listener is held.
    fn open(self) -> (SocketAddr, Option<TcpListener>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let accepts = listener.try_clone().expect("listener");
        match self {
            Feed::Refuses => (address, None),
            // Connections come up in the backlog, and nobody takes them.
            Feed::Silent => (address, Some(listener)),
            Feed::StopsHalfway => {
                std::thread::spawn(move || {
                    let mut held = Vec::new();
                    while let Ok((mut stream, _)) = accepts.accept() {
                        let _ = stream.write_all(&[0, 0, 0, 36, 0, 0]);
                        held.push(stream);
                    }
                });
                (address, Some(listener))
            }
        }
    }
}

/// The configuration of a start whose list names engines that are gone.
fn stale_configuration(feed: SocketAddr) -> String {
    let member = |n: u32| {
        format!(
            r#"{{"instanceId":"s-{n:08x}","hostPort":"127.0.0.1:1","zone":"hall-a","machineType":"std-8c","weight":1}}"#
        )
    };
    let members: Vec<String> = (1..=STALE_ENGINES).map(member).collect();
    let known = format!(
        r#"{{"n":1,"members":{{"reset":true,"instances":[{}]}}}}"#,
        members.join(",")
    );
    apply_changes(&configuration(feed, &known), &["sockets=256"])
}

/// Where a program is operated; none where it does not say so in time. Its words are read to the end, so that it is not
/// held up by them.
fn await_admin_address(child: &mut Child, within: Duration) -> Option<SocketAddr> {
    let mut said = stderr_of(child);
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let _ = sender.send(addresses(&mut said).1);
        let _ = said.read_to_end(&mut Vec::new());
    });
    receiver.recv_timeout(within).ok()
}

/// Starts one manager; how long it took to be ready, if it was in time.
fn restart(name: &str, feed: SocketAddr, before: Before) -> Option<Duration> {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("folder");
    let config = folder.join("config.json");
    std::fs::write(&config, stale_configuration(feed)).expect("file");
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let start = |folder: &Path| KillOnDrop(start_with_listener(&listener, &config, folder));
    let others = match before {
        Before::Nothing => 0,
        Before::Killed | Before::Serving => 1,
        Before::TwoServing => 2,
    };
    let mut others: Vec<KillOnDrop> = (0..others).map(|_| start(&folder)).collect();
    for other in &mut others {
        await_admin_address(other, WITHIN).expect("an earlier process");
    }
    if matches!(before, Before::Killed) {
        others.clear();
    }
    let at = listener.local_addr().expect("address");
    let mut clients: Vec<TcpStream> = (0..WAITING_CLIENTS).map(|_| send_health_call(at)).collect();
    let since = Instant::now();
    let mut manager = start(&folder);
    let operations = await_admin_address(&mut manager, WITHIN)?;
    let ready = admin_call(operations, "READY")
        .starts_with("200")
        .then(|| since.elapsed());
    for client in &mut clients {
        assert!(is_healthy(client), "a client at the door");
    }
    ready.filter(|took| *took <= WITHIN)
}

/// A client that has asked whether the manager is fit.
fn send_health_call(at: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(at).expect("connect");
    stream.set_read_timeout(Some(WITHIN)).expect("option");
    stream
        .write_all(b"\x94\x00\x01\xa6health\x91\x80")
        .expect("write");
    stream
}

fn is_healthy(stream: &mut TcpStream) -> bool {
    let mut answer = [0; 7];
    stream.read_exact(&mut answer).is_ok() && answer[5] == 0xc3
}

#[rstest]
fn nine_in_ten_restarted_managers_are_ready_within_the_limit(
    #[values(Feed::Refuses, Feed::Silent, Feed::StopsHalfway)] feed: Feed,
    #[values(Before::Nothing, Before::Killed, Before::Serving, Before::TwoServing)] before: Before,
) {
    let (address, _listener) = feed.open();
    let starts: Vec<_> = (0..RESTARTED)
        .map(|n| {
            let name = format!("restart-{feed:?}-{before:?}-{n}").to_lowercase();
            std::thread::spawn(move || restart(&name, address, before))
        })
        .collect();
    // All are joined before any fails the test, or the processes of the others would be left behind.
    let over: Vec<_> = starts
        .into_iter()
        .map(std::thread::JoinHandle::join)
        .collect();
    let took: Vec<_> = over
        .into_iter()
        .map(|start| start.expect("a start"))
        .collect();
    let ready = took.iter().flatten().count();
    assert!(
        ready >= READY,
        "{ready} of {RESTARTED} were ready within {WITHIN:?}: {took:?}"
    );
}
