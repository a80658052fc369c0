//! Guarantee: what clients send stays within the memory of the process, whoever sends it, and a
//! client that sends too much costs no other client an answer.
//!
//! The manager is the program itself, on the smallest machine, so that its memory can be read from
//! `/proc`. The platform kills a process that exceeds its memory.

use crate::process_on_small_machine::{MEMORY_KB, Manager, run};
use crate::scene::msgpack_client::Client;
use crate::scene::within_timeout;
use bytes::Bytes;
use h2::client::SendRequest;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Largest size of a statement that these tests send, in bytes.
const LARGE_STATEMENT_BYTES: usize = 60_000;

/// A client with a request that is open for some seconds.
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

/// How a platform client sends a message that it does not complete.
#[derive(Clone, Copy, Debug)]
enum IncompleteMessage {
    /// All but the end of a large statement at once.
    LargeStatement,
    /// The same in small parts.
    SlowStatement,
    /// A call with very many short fields, whose length is not known before its end.
    ManyShortFields,
}

/// The bytes of the message. The last part never comes.
fn incomplete_message(kind: IncompleteMessage, client: &Client) -> Vec<u8> {
    match kind {
        IncompleteMessage::LargeStatement | IncompleteMessage::SlowStatement => {
            let call = client.call_bytes(1, "log-load", &padding(LARGE_STATEMENT_BYTES));
            call[..call.len() - 100].to_vec()
        }
        IncompleteMessage::ManyShortFields => {
            // A call whose parameters are an array of 65,000 numbers of one byte.
            let mut call = b"\x94\x00\x01\xa8log-load\xdc\xfd\xe8".to_vec();
            call.resize(LARGE_STATEMENT_BYTES, 1);
            call
        }
    }
}

/// Guards against a process that is killed for its memory while hundreds of clients write slowly,
/// stop inside a large request, or send very many short fields. Another client is served meanwhile.
#[rstest]
fn clients_that_do_not_complete_a_large_request_stay_within_the_memory(
    #[values(
        IncompleteMessage::LargeStatement,
        IncompleteMessage::SlowStatement,
        IncompleteMessage::ManyShortFields
    )]
    kind: IncompleteMessage,
) {
    const CLIENTS: usize = 340;
    const SLOW_PARTS: usize = 30;
    run(async {
        let manager = Manager::start(&format!("{kind:?}"), 1024).await;
        let mut clients = Vec::new();
        for number in 0..CLIENTS {
            let client = Client::new(&format!("c{number}"), manager.platform).await;
            let message = incomplete_message(kind, &client);
            clients.push((client, message));
        }
        let parts = match kind {
            IncompleteMessage::SlowStatement => SLOW_PARTS,
            IncompleteMessage::LargeStatement | IncompleteMessage::ManyShortFields => 1,
        };
        for part in 0..parts {
            for (client, message) in &mut clients {
                let part_bytes = message.len().div_ceil(parts);
                let start = (part * part_bytes).min(message.len());
                let end = (start + part_bytes).min(message.len());
                client.try_send_bytes(&message[start..end]).await;
            }
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
