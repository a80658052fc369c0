//! Guarantee: idle clients may use up the descriptors while the discovery feed is down. The manager
//! holds no more descriptors than its limit. Once the feed is back, it connects to the feed,
//! receives the event that an engine is draining, connects to a new engine and serves requests
//! there.
//!
//! The manager is the program itself, so that its descriptors can be counted in `/proc`.

use crate::fake_engine;
use crate::scene::child_process::{KillOnDrop, addresses, start_program, stderr_of};
use crate::scene::descriptor_monitor::DescriptorMonitor;
use crate::scene::engine_listener::{listen, listen_at};
use crate::scene::list_feed::feed_frame;
use crate::scene::msgpack_client::Client;
use crate::scene::{configuration, within_timeout};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of descriptors that the scene's configuration allows.
const MAX_DESCRIPTORS: usize = 64;

/// Number of idle clients of each kind: those that have been answered, those that send nothing, and
/// those that stop in the middle of a call. Each number alone exceeds the descriptor limit.
const IDLE_CLIENTS: usize = 100;

/// The first bytes of a MessagePack-RPC call.
const PARTIAL_CALL: [u8; 3] = [0x94, 0, 1];

/// Number of requests after the feed is back, each from a new client.
const REQUESTS_AFTER_RECONNECT: usize = 20;

/// Starts an engine that serves every request immediately. Returns its address and the number of
/// requests that it has received.
fn start_engine() -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, _) = listen();
    let (address, request_count) = (
        listener.local_addr().expect("address"),
        Arc::<AtomicUsize>::default(),
    );
    let count = request_count.clone();
    let serving = fake_engine::serve(
        listener,
        Arc::new(move |_| {
            count.fetch_add(1, Ordering::Relaxed);
            (Duration::ZERO, 50.0)
        }),
    );
    tokio::spawn(serving);
    (address, request_count)
}

/// Accepts the manager's connection to the feed, and checks the last event that the manager has.
async fn accept_feed_connection(feed: &TcpListener, last_event: u64) -> TcpStream {
    let (mut stream, _) = within_timeout("connection to the feed", feed.accept())
        .await
        .expect("accept");
    assert_eq!(stream.read_u64().await.expect("the last event"), last_event);
    stream
}

/// Connects a new client and waits until its request is served.
async fn serve_new_client(address: SocketAddr, number: usize) -> Client {
    let mut client =
        within_timeout("connection", Client::new(&format!("c{number}"), address)).await;
    client.step("send", &["1", "seat-check"]).await;
    within_timeout("answer", client.step("expect", &["1", "served", "a\\n"])).await;
    client
}

/// Waits until the answer to `STATS` at the admin address has this line.
async fn await_figure(admin_address: SocketAddr, figure: &str) {
    let figure_reached = async {
        loop {
            let mut stream = TcpStream::connect(admin_address).await.expect("connect");
            stream.write_all(b"STATS\n").await.expect("write");
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.expect("an answer");
            if answer.lines().any(|line| line == figure) {
                return;
            }
        }
    };
    within_timeout(figure, figure_reached).await;
}

#[test]
fn the_feed_and_engines_reconnect_after_idle_clients_filled_the_descriptors() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let ((old_engine, old_request_count), (new_engine, new_request_count)) =
            (start_engine(), start_engine());
        let (feed, _port) = listen();
        let feed_address = feed.local_addr().expect("address");
        let list_entry = format!(
            r#"{{"instanceId":"s-00000001","hostPort":"{old_engine}","zone":"hall-a","machineType":"std-8c","weight":1}}"#
        );
        let endpoint_list =
            format!(r#"{{"n":1,"members":{{"reset":true,"instances":[{list_entry}]}}}}"#);
        let mut child = KillOnDrop(start_program(
            "descriptors",
            &configuration(feed_address, &endpoint_list),
            "",
        ));
        let mut stderr = stderr_of(&mut child);
        let (manager, admin_address) = addresses(&mut stderr);
        let monitor = DescriptorMonitor::start(&[child.id()], Duration::ZERO);
        let stream = accept_feed_connection(&feed, 1).await;
        let _first_client = serve_new_client(manager, 0).await;
        // The feed is down: nothing listens at its address.
        drop((stream, feed));
        // All idle clients connect without a pause. None of them reads from or closes a connection
        // that the manager has closed.
        let (mut idle, mut silent, mut partial) = (Vec::new(), Vec::new(), Vec::new());
        for n in 1..=IDLE_CLIENTS {
            silent.push(within_timeout("connection", TcpStream::connect(manager)).await.expect("connect"));
            partial.push(within_timeout("connection", TcpStream::connect(manager)).await.expect("connect"));
            partial[n - 1].write_all(&PARTIAL_CALL).await.expect("write");
            let mut client = within_timeout("connection", Client::new(&format!("c{n}"), manager)).await;
            client.step("send", &["health", "1"]).await;
            idle.push(client);
        }
        let answers = async {
            for client in &mut idle {
                client.step("expect", &["1", "true"]).await;
            }
        };
        // One timeout for all answers: incomplete calls delay the other clients only a little.
        within_timeout("answers to all idle clients", answers).await;
        idle.push(serve_new_client(manager, IDLE_CLIENTS + 1).await);
        monitor.assert_at_most(MAX_DESCRIPTORS);
        let feed = listen_at(feed_address);
        let mut stream = accept_feed_connection(&feed, 1).await;
        for (event, engine, address, state) in [(2, 0, old_engine, 1), (3, 1, new_engine, 0)] {
            stream.write_all(&feed_frame(event, 2, engine, address, state, 0)).await.expect("write");
        }
        await_figure(admin_address, "node.known_engines=2").await;
        let old_requests_before_drain = old_request_count.load(Ordering::Relaxed);
        for n in 2..REQUESTS_AFTER_RECONNECT + 2 {
            idle.push(serve_new_client(manager, IDLE_CLIENTS + n).await);
        }
        assert_eq!(
            old_request_count.load(Ordering::Relaxed),
            old_requests_before_drain,
            "an attempt was sent to a draining engine"
        );
        assert_eq!(new_request_count.load(Ordering::Relaxed), REQUESTS_AFTER_RECONNECT);
        monitor.assert_at_most(MAX_DESCRIPTORS);
    });
}
