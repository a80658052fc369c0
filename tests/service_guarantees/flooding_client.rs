//! Guarantee: while one client sends small or invalid messages at full speed on one connection, also
//! under ever new names, other clients are served in time and the memory of the process stays
//! bounded.
//!
//! The flooding client has a thread of its own, so that it does not slow down the others.

use crate::process_on_small_machine::{Manager, run};
use arrow_flight::FlightDescriptor;
use bytes::Bytes;
use prost::Message;
use rmp::encode;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a client floods the manager.
const FLOOD_TIME: Duration = Duration::from_secs(2);

/// Longest accepted time until another client has its answer. The service time of its request is 5
/// ms; its class promises 5 s.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1000);

/// Number of messages that are sent in one write.
const MESSAGES_PER_WRITE: u64 = 64;

/// A flood that runs in its own thread until it is dropped.
struct Flood {
    stopped: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
}

impl Flood {
    fn start(flood: impl FnOnce(&AtomicBool, &AtomicU64) + Send + 'static) -> Flood {
        let (stopped, sent) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
        let (thread_stopped, thread_sent) = (stopped.clone(), sent.clone());
        std::thread::spawn(move || flood(&thread_stopped, &thread_sent));
        Flood { stopped, sent }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// What a platform client floods the manager with. Each message has another name or id.
#[derive(Clone, Copy, Debug)]
enum PlatformFlood {
    HealthChecks,
    UnknownClasses,
    UnknownNotifications,
    UnknownTenants,
    CancelledRequests,
}

fn call(id: u64, method: &str, reference: &str, tenant: &str) -> Vec<u8> {
    let mut message = vec![0x94, 0];
    encode::write_uint(&mut message, id).expect("id");
    encode::write_str(&mut message, method).expect("method");
    encode::write_array_len(&mut message, 2).expect("length");
    let fields = [("ref", reference), ("allow", "9000"), ("project", tenant)];
    encode::write_map_len(&mut message, fields.len() as u32).expect("length");
    for (name, value) in fields {
        encode::write_str(&mut message, name).expect("name");
        encode::write_str(&mut message, value).expect("value");
    }
    encode::write_bin(&mut message, b"SELECT a FROM lic_7.log -- flood").expect("statement");
    message
}

fn notification(method: &str, id: u64) -> Vec<u8> {
    let mut message = vec![0x93, 2];
    encode::write_str(&mut message, method).expect("method");
    encode::write_array_len(&mut message, 1).expect("length");
    encode::write_uint(&mut message, id).expect("id");
    message
}

fn platform_message(flood: PlatformFlood, id: u64) -> Vec<u8> {
    let reference = format!("{id:016x}");
    let new_name = format!("name-{id}");
    match flood {
        PlatformFlood::HealthChecks => call(id, "health", &reference, "member-north"),
        PlatformFlood::UnknownClasses => call(id, &new_name, &reference, "member-north"),
        PlatformFlood::UnknownNotifications => notification(&new_name, id),
        PlatformFlood::UnknownTenants => call(id, "seat-check", &reference, &new_name),
        PlatformFlood::CancelledRequests => {
            let mut messages = call(id, "seat-check", &reference, "member-north");
            messages.extend(notification("cancel", id));
            messages
        }
    }
}

/// Sends messages as fast as the manager takes them, and reads the answers in another thread. When
/// the manager closes the connection, the client connects again.
fn flood_platform(
    address: SocketAddr,
    flood: PlatformFlood,
    stopped: &AtomicBool,
    sent: &AtomicU64,
) {
    while !stopped.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let mut reader = stream.try_clone().expect("socket");
        let reading = std::thread::spawn(move || {
            let mut answers = [0; 65_536];
            while reader.read(&mut answers).is_ok_and(|bytes| bytes > 0) {}
        });
        let mut id = 1;
        while !stopped.load(Ordering::Relaxed) {
            let messages = (id..id + MESSAGES_PER_WRITE).flat_map(|id| platform_message(flood, id));
            if stream.write_all(&messages.collect::<Vec<u8>>()).is_err() {
                break;
            }
            id += MESSAGES_PER_WRITE;
            sent.fetch_add(MESSAGES_PER_WRITE, Ordering::Relaxed);
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = reading.join();
    }
}

/// Sends new clients' requests during the flood, and checks their answers and the memory.
async fn assert_others_are_served(manager: &Manager, flood: &Flood) {
    let end = Instant::now() + FLOOD_TIME;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let answer_time = manager.serve_new_client(&format!("other{number}")).await;
        assert!(answer_time < MAX_ANSWER_TIME, "{answer_time:?}");
        manager
            .assert_memory_suffices(Duration::from_millis(20))
            .await;
    }
    let sent = flood.sent.load(Ordering::Relaxed);
    assert!(sent > 100, "only {sent} messages were sent");
}

/// Guards against clients that wait for one client that floods the platform's front end.
#[rstest]
fn other_clients_are_served_while_one_floods_the_platform_front_end(
    #[values(
        PlatformFlood::HealthChecks,
        PlatformFlood::UnknownClasses,
        PlatformFlood::UnknownNotifications,
        PlatformFlood::UnknownTenants,
        PlatformFlood::CancelledRequests
    )]
    kind: PlatformFlood,
) {
    run(async {
        let manager = Manager::start(&format!("flood-{kind:?}"), 256).await;
        let address = manager.platform;
        let flood = Flood::start(move |stopped, sent| flood_platform(address, kind, stopped, sent));
        assert_others_are_served(&manager, &flood).await;
    });
}

/// Sends calls under ever new names as fast as the connection takes them. Half of them are reset at
/// once.
async fn flood_flight(address: SocketAddr, stopped: &AtomicBool, sent: &AtomicU64) {
    while !stopped.load(Ordering::Relaxed) {
        let Ok(stream) = tokio::net::TcpStream::connect(address).await else {
            continue;
        };
        let Ok((mut client, connection)) = h2::client::handshake(stream).await else {
            continue;
        };
        tokio::spawn(connection);
        for number in 0_u64.. {
            client = match client.ready().await {
                Ok(client) if !stopped.load(Ordering::Relaxed) => client,
                _ => break,
            };
            let request = http::Request::post(
                "http://manager/arrow.flight.protocol.FlightService/GetFlightInfo",
            )
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .header("magpiechute-class", format!("name-{number}"))
            .header(format!("x-name-{number}"), "v")
            .body(())
            .expect("a request");
            let Ok((response, mut data)) = client.send_request(request, false) else {
                break;
            };
            let message = FlightDescriptor::new_cmd("x").encode_to_vec();
            let mut frame = vec![0];
            frame.extend((message.len() as u32).to_be_bytes());
            frame.extend(message);
            if data.send_data(Bytes::from(frame), true).is_err() {
                break;
            }
            if number % 2 == 0 {
                data.send_reset(h2::Reason::CANCEL);
            } else {
                tokio::spawn(response);
            }
            sent.fetch_add(1, Ordering::Relaxed);
            tokio::task::yield_now().await;
        }
    }
}

/// Guards against clients that wait for one client that floods the Flight SQL front end.
#[test]
fn other_clients_are_served_while_one_floods_the_flight_front_end() {
    run(async {
        let manager = Manager::start("flood-flight", 256).await;
        let address = manager.flight;
        let flood = Flood::start(move |stopped, sent| run(flood_flight(address, stopped, sent)));
        sleep(Duration::from_millis(100)).await;
        assert_others_are_served(&manager, &flood).await;
    });
}
