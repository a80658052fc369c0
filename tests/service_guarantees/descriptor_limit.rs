//! Idle clients may fill the descriptors while the control feed is down: the manager holds no more than its limit names,
//! connects to the feed once that is back, hears a drain, connects to an engine that is new, and serves. The manager is
//! the program itself, so that the system tells its descriptors.

use crate::fake_engine;
use crate::scene::child_process::{KillOnDrop, addresses, start_program, stderr_of};
use crate::scene::engine_listener::{listen, listen_at};
use crate::scene::list_feed::feed_frame;
use crate::scene::msgpack_client::Client;
use crate::scene::{configuration, within_timeout};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Descriptors that the scene's configuration allows.
const SOCKETS: usize = 64;

/// Clients that were answered, that say nothing, and that stop halfway through a call: several times what the descriptors
/// take, each.
const IDLE: usize = 100;

/// The beginning of a call.
const HALF_A_CALL: [u8; 3] = [0x94, 0, 1];

/// Requests after the feed is back, each of a new client.
const REQUESTS: usize = 20;

/// Looks at the descriptors of a process again and again, from a thread of its own, and keeps the most that it held.
struct DescriptorMonitor {
    most: Arc<AtomicUsize>,
    over: Arc<AtomicBool>,
}

impl DescriptorMonitor {
    fn of(process: u32) -> DescriptorMonitor {
        let (most, over) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
        let watch = DescriptorMonitor {
            most: most.clone(),
            over: over.clone(),
        };
        std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let held =
                    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
                most.fetch_max(held, Ordering::Relaxed);
            }
        });
        watch
    }

    fn assert_within(&self, limit: usize) {
        let most = self.most.load(Ordering::Relaxed);
        assert!(most <= limit, "{most} descriptors, {limit} are allowed");
    }
}

impl Drop for DescriptorMonitor {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

/// An engine that serves at once, and how many requests it has had.
fn engine() -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, _) = listen();
    let (address, asked) = (
        listener.local_addr().expect("address"),
        Arc::<AtomicUsize>::default(),
    );
    let count = asked.clone();
    let serves = fake_engine::serve(
        listener,
        Arc::new(move |_| {
            count.fetch_add(1, Ordering::Relaxed);
            (Duration::ZERO, 50.0)
        }),
    );
    tokio::spawn(serves);
    (address, asked)
}

/// The manager's connection to the feed, with this as the last event that it has.
async fn follower(feed: &TcpListener, last: u64) -> TcpStream {
    let (mut stream, _) = within_timeout("connection to the feed", feed.accept())
        .await
        .expect("accept");
    assert_eq!(stream.read_u64().await.expect("the last event"), last);
    stream
}

/// A new client that is served once.
async fn served(at: SocketAddr, n: usize) -> Client {
    let mut client = within_timeout("connection", Client::new(&format!("c{n}"), at)).await;
    client.step("send", &["1", "seat-check"]).await;
    within_timeout("answer", client.step("expect", &["1", "served", "a\\n"])).await;
    client
}

/// Waits until staff are await_figure this.
async fn await_figure(operations: SocketAddr, figure: &str) {
    let asked = async {
        loop {
            let mut stream = TcpStream::connect(operations).await.expect("connect");
            stream.write_all(b"STATS\n").await.expect("write");
            let mut said = String::new();
            stream.read_to_string(&mut said).await.expect("an answer");
            if said.lines().any(|line| line == figure) {
                return;
            }
        }
    };
    within_timeout(figure, asked).await;
}

#[test]
fn the_feed_and_engines_reconnect_after_idle_clients_filled_the_descriptors() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let ((old, old_asked), (new, new_asked)) = (engine(), engine());
        let (feed, _port) = listen();
        let address = feed.local_addr().expect("address");
        let member = format!(
            r#"{{"instanceId":"s-00000001","hostPort":"{old}","zone":"hall-a","machineType":"std-8c","weight":1}}"#
        );
        let known = format!(r#"{{"n":1,"members":{{"reset":true,"instances":[{member}]}}}}"#);
        let mut child = KillOnDrop(start_program("descriptors", &configuration(address, &known), ""));
        let mut said = stderr_of(&mut child);
        let (at, operations) = addresses(&mut said);
        let watch = DescriptorMonitor::of(child.id());
        let stream = follower(&feed, 1).await;
        let _first = served(at, 0).await;
        // Nobody listens where the feed was.
        drop((stream, feed));
        // All that idle come at once, and none of them reads, or closes, what the manager closes.
        let (mut idle, mut silent, mut half) = (Vec::new(), Vec::new(), Vec::new());
        for n in 1..=IDLE {
            silent.push(within_timeout("connection", TcpStream::connect(at)).await.expect("connect"));
            half.push(within_timeout("connection", TcpStream::connect(at)).await.expect("connect"));
            half[n - 1].write_all(&HALF_A_CALL).await.expect("write");
            let mut client = within_timeout("connection", Client::new(&format!("c{n}"), at)).await;
            client.step("send", &["health", "1"]).await;
            idle.push(client);
        }
        let answers = async {
            for client in &mut idle {
                client.step("expect", &["1", "true"]).await;
            }
        };
        // Together: those that stop halfway delay the others by little.
        within_timeout("answers to all that came", answers).await;
        idle.push(served(at, IDLE + 1).await);
        watch.assert_within(SOCKETS);
        let feed = listen_at(address);
        let mut stream = follower(&feed, 1).await;
        for (event, engine, at, state) in [(2, 0, old, 1), (3, 1, new, 0)] {
            stream.write_all(&feed_frame(event, 2, engine, at, state, 0)).await.expect("write");
        }
        await_figure(operations, "node.known_engines=2").await;
        let before = old_asked.load(Ordering::Relaxed);
        for n in 2..REQUESTS + 2 {
            idle.push(served(at, IDLE + n).await);
        }
        assert_eq!(old_asked.load(Ordering::Relaxed), before, "requests to an engine that drains");
        assert_eq!(new_asked.load(Ordering::Relaxed), REQUESTS);
        watch.assert_within(SOCKETS);
    });
}
