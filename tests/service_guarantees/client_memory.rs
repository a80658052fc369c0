//! Guarantee: what clients send stays within the memory of the process, whoever sends it, and a
//! client that sends too much costs no other client an answer.
//!
//! The manager is the program itself, on the smallest machine, so that its memory can be read from
//! `/proc`. The platform kills a process that exceeds its memory.

use crate::fake_engine;
use crate::scene::child_process::start_program;
use crate::scene::engine_listener::listen;
use crate::scene::manager_process::ManagerProcess;
use crate::scene::msgpack_client::Client;
use crate::scene::soak::ready_engines_event;
use crate::scene::{apply_changes, configuration, within_timeout};
use bytes::Bytes;
use h2::client::SendRequest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Memory of the machine, in kB.
const MEMORY_KB: u64 = 32 << 10;

/// Service time of a request whose label contains [`LONG_MARK`].
const LONG_SERVICE_TIME: Duration = Duration::from_secs(3);

const LONG_MARK: &str = "gateway.1";

/// Largest size of a statement that these tests send, in bytes.
const LARGE_STATEMENT_BYTES: usize = 60_000;

/// A running manager with two engines.
struct Manager {
    process: ManagerProcess,
    platform: SocketAddr,
    flight: SocketAddr,
    /// Accepts the manager's connection and sends nothing.
    _feed: TcpListener,
}

impl Manager {
    /// Starts a manager with this number of descriptors.
    async fn start(name: &str, descriptors: usize) -> Manager {
        let engines = [start_engine(), start_engine()];
        let (feed, _) = listen();
        let feed_address = feed.local_addr().expect("address");
        let config = apply_changes(
            &configuration(feed_address, &ready_engines_event(&engines)),
            &[
                &format!("sockets={descriptors}"),
                "maxOpen=4096",
                "quotaPerS=100000",
            ],
        );
        let flight = free_address();
        let settings = format!("[flight]\nlisten = \"{flight}\"\nengines = \"lines\"\n");
        let child = start_program(name, &config, &settings);
        let process = ManagerProcess::from_child(child).await;
        Manager {
            platform: process.address,
            process,
            flight,
            _feed: feed,
        }
    }

    /// Anonymous memory of the process, in kB.
    fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.expect("a value").parse().expect("a number")
    }

    /// Watches the memory for this time.
    async fn assert_memory_suffices(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let memory_kb = self.memory_kb();
            assert!(memory_kb <= MEMORY_KB, "the process has {memory_kb} kB");
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Serves a request on a new connection and returns the time until its answer.
    async fn serve_new_client(&self, name: &str) -> Duration {
        let sent_at = Instant::now();
        let mut client = within_timeout("connection", Client::new(name, self.platform)).await;
        client.step("send", &["1", "seat-check"]).await;
        within_timeout("answer", client.step("expect", &["1", "served", "a\\n"])).await;
        sent_at.elapsed()
    }
}

/// An address of which the port is free.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.local_addr().expect("address")
}

fn start_engine() -> SocketAddr {
    let (listener, _) = listen();
    let address = listener.local_addr().expect("address");
    let service_time = |label: &str| {
        if label.contains(LONG_MARK) {
            LONG_SERVICE_TIME
        } else {
            Duration::from_millis(5)
        }
    };
    let handler = Arc::new(move |label: &str| (service_time(label), 50.0));
    tokio::spawn(fake_engine::serve(listener, handler));
    address
}

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime")
        .block_on(test);
}

/// A client with a request that is open for [`LONG_SERVICE_TIME`].
async fn client_with_open_request(manager: &Manager) -> Client {
    let mut client = Client::new("gateway", manager.platform).await;
    client.step("send", &["1", "usage-report"]).await;
    client
}

/// Sends a call with a statement of this length without its last bytes.
async fn send_part(client: &mut Client, statement_bytes: usize) {
    let call = client.call_bytes(1, "log-load", &padding(statement_bytes));
    client.send_bytes(&call[..call.len() - 50]).await;
}

/// A change that makes a statement longer by this number of bytes.
fn padding(bytes: usize) -> String {
    format!("padding={bytes}")
}

/// Guards against a process that is killed for its memory: requests that the core has not taken yet
/// were counted by their number alone. Each request of the burst gets one answer.
#[test]
fn burst_of_bulk_loads_stays_within_the_memory_and_is_answered() {
    const CLIENTS: usize = 40;
    const LOADS: u64 = 30;
    run(async {
        let manager = Manager::start("burst", 256).await;
        let mut gateway = client_with_open_request(&manager).await;
        manager.process.signal("STOP");
        let mut senders = Vec::new();
        for number in 0..CLIENTS {
            let mut client = Client::new(&format!("c{number}"), manager.platform).await;
            senders.push(tokio::spawn(async move {
                let change = padding(LARGE_STATEMENT_BYTES);
                client
                    .try_send_burst((1..=LOADS).map(|id| (id, false)), "log-load", &change)
                    .await;
                for _ in 0..LOADS {
                    let (id, answer) = client.next_answer().await;
                    assert!(
                        answer.starts_with("served") || answer.starts_with("Overloaded"),
                        "{id}: {answer}"
                    );
                }
            }));
        }
        // The burst is in the buffers of the sockets when the manager goes on.
        sleep(Duration::from_millis(500)).await;
        manager.process.signal("CONT");
        manager
            .assert_memory_suffices(Duration::from_millis(1500))
            .await;
        manager.serve_new_client("other").await;
        for sender in senders {
            within_timeout("answers to the burst", sender)
                .await
                .expect("all answers");
        }
        within_timeout("answer", gateway.step("expect", &["1", "served", "a\\n"])).await;
    });
}

/// Guards against lost requests of a bystander: if other clients held the memory for incomplete
/// messages, the connection that read next was no longer read, and its requests got no answer.
#[test]
fn split_request_and_those_after_it_are_answered_while_others_hold_incomplete_ones() {
    /// Sizes of the incomplete statements, in bytes, each with a number of clients. Together they
    /// fill all memory that the connections may use.
    const HOLDERS: [(usize, usize); 5] =
        [(60_000, 70), (10_000, 30), (2000, 25), (300, 25), (60, 9)];
    run(async {
        let manager = Manager::start("holders", 1024).await;
        let mut gateway = client_with_open_request(&manager).await;
        let mut holders = Vec::new();
        for (statement_bytes, clients) in HOLDERS {
            for _ in 0..clients {
                let name = format!("c{}", holders.len());
                let mut holder = Client::new(&name, manager.platform).await;
                send_part(&mut holder, statement_bytes).await;
                holders.push(holder);
            }
        }
        sleep(Duration::from_millis(100)).await;
        let call = gateway.call_bytes(2, "log-load", &padding(3000));
        let (first_part, second_part) = call.split_at(call.len() / 2);
        gateway.send_bytes(first_part).await;
        sleep(Duration::from_millis(50)).await;
        gateway.send_bytes(second_part).await;
        gateway.step("send", &["3", "seat-check"]).await;
        for id in ["2", "3", "1"] {
            within_timeout("answer", gateway.step("expect", &[id, "served", "a\\n"])).await;
        }
        manager
            .assert_memory_suffices(Duration::from_millis(100))
            .await;
    });
}

/// Guards against refused requests that are dropped: after 64 invalid calls, a connection with an
/// open request was no longer read.
#[test]
fn requests_after_many_invalid_calls_are_answered_while_an_earlier_one_is_open() {
    run(async {
        let manager = Manager::start("invalid", 256).await;
        let mut gateway = client_with_open_request(&manager).await;
        for id in 2..200 {
            gateway
                .step("send", &[&id.to_string(), "no-such-class"])
                .await;
        }
        gateway.step("send", &["200", "seat-check"]).await;
        for id in 2..200 {
            let id = id.to_string();
            let expected = [id.as_str(), "NoMethodError"];
            within_timeout("answer", gateway.step("expect", &expected)).await;
        }
        within_timeout("answer", gateway.step("expect", &["200", "served", "a\\n"])).await;
        within_timeout("answer", gateway.step("expect", &["1", "served", "a\\n"])).await;
        within_timeout("close", gateway.step("expect", &["closed"])).await;
    });
}

/// Guards against a process that is killed for its memory while hundreds of clients stop inside a
/// large request. Another client is served meanwhile.
#[test]
fn clients_that_stop_inside_a_large_request_stay_within_the_memory() {
    const CLIENTS: usize = 340;
    run(async {
        let manager = Manager::start("stopped", 1024).await;
        let mut clients = Vec::new();
        for number in 0..CLIENTS {
            let mut client = Client::new(&format!("c{number}"), manager.platform).await;
            send_part(&mut client, LARGE_STATEMENT_BYTES).await;
            clients.push(client);
            assert!(manager.memory_kb() <= MEMORY_KB);
        }
        let answer_time = manager.serve_new_client("other").await;
        assert!(answer_time < Duration::from_secs(1), "{answer_time:?}");
        manager
            .assert_memory_suffices(Duration::from_millis(500))
            .await;
    });
}

/// Guards against a process that is killed for its memory while Flight SQL clients stop inside
/// their calls, with a large message or with much metadata. The gRPC server collects both.
#[test]
fn flight_clients_that_stop_inside_their_calls_stay_within_the_memory() {
    const CLIENTS: usize = 14;
    const CALLS: usize = 32;
    run(async {
        let manager = Manager::start("flight-stopped", 256).await;
        let mut clients = Vec::new();
        let mut calls = Vec::new();
        for _ in 0..CLIENTS {
            let mut client = connect_http2(manager.flight).await;
            for _ in 0..CALLS {
                calls.push(begin_flight_call(&mut client));
            }
            clients.push(client);
            assert!(manager.memory_kb() <= MEMORY_KB);
        }
        manager.assert_memory_suffices(Duration::from_secs(1)).await;
        manager.serve_new_client("other").await;
    });
}

async fn connect_http2(address: SocketAddr) -> SendRequest<Bytes> {
    let stream = within_timeout("connection", TcpStream::connect(address)).await;
    let (client, connection) = h2::client::handshake(stream.expect("connect"))
        .await
        .expect("handshake");
    tokio::spawn(connection);
    client.ready().await.expect("settings")
}

/// Sends a call with much metadata and the first part of a large message.
fn begin_flight_call(client: &mut SendRequest<Bytes>) -> h2::SendStream<Bytes> {
    let mut request =
        http::Request::post("http://manager/arrow.flight.protocol.FlightService/GetFlightInfo")
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .header("magpiechute-class", "seat-check");
    for field in 0..60 {
        request = request.header(format!("x-{field}"), "v");
    }
    let (response, mut stream) = client
        .send_request(request.body(()).expect("a request"), false)
        .expect("a call");
    tokio::spawn(response);
    let mut data = vec![0];
    data.extend((LARGE_STATEMENT_BYTES as u32).to_be_bytes());
    data.resize(LARGE_STATEMENT_BYTES - 1000, 0);
    stream.send_data(data.into(), false).expect("data");
    stream
}

/// Guards against work for clients that have left: a client sent many requests and closed its
/// connection, and those that the manager had not read yet were passed to engines afterwards.
#[test]
fn requests_of_a_client_that_has_left_are_not_passed_on_although_they_were_not_read() {
    run(async {
        let mut manager = Manager::start("left", 256).await;
        manager.process.signal("STOP");
        for number in 0..20 {
            let mut client = Client::new(&format!("left{number}"), manager.platform).await;
            let calls = (1..=30).map(|id| (id, false));
            client
                .try_send_burst(calls, "log-load", &padding(1500))
                .await;
        }
        manager.process.signal("CONT");
        manager.serve_new_client("other").await;
        manager.process.await_counter("requests_accepted=1").await;
    });
}
