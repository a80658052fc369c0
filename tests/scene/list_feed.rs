//! The fake discovery feed. It accepts the manager's connection and sends the frames that a script
//! requests.

use super::from_hex;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Kind of a frame with the full list.
const KIND_FULL: u8 = 1;
/// Kind of a frame with a delta.
const KIND_CHANGES: u8 = 2;
/// State of a ready engine in a record.
const STATE_READY: u8 = 0;
/// State of a draining engine.
const STATE_DRAINING: u8 = 1;
/// State of an engine that is no longer in the list.
const STATE_REMOVED: u8 = 2;
/// Length in bytes of a frame that breaks off inside its record.
const HALF_FRAME_BYTES: usize = 20;

/// An engine as its record in the list has it.
#[derive(Clone, Copy)]
pub(super) struct ListedEngine {
    /// Index of the engine, from 0.
    pub number: usize,
    /// Address at which the engine listens.
    pub address: SocketAddr,
}

/// The discovery feed, with at most one connection.
pub(crate) struct Feed {
    /// Address at which the feed listens.
    pub address: SocketAddr,
    listener: TcpListener,
    stream: Option<TcpStream>,
    /// Number of the last event.
    last_event: u64,
}

impl Feed {
    /// Starts a feed whose last event is event 1 of the configuration.
    pub(super) async fn new() -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        Feed {
            address,
            listener,
            stream: None,
            last_event: 1,
        }
    }

    /// Listens at another address, and returns that address. A connection to the old one stays open
    /// and silent.
    pub(super) async fn move_to_new_address(&mut self) -> SocketAddr {
        self.listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        self.address = self.listener.local_addr().expect("address");
        self.address
    }

    /// Accepts a connection, on which the manager must send this number as that of its last event.
    pub(super) async fn expect_connection(&mut self, last_event: &str) {
        let (mut stream, _) = self.listener.accept().await.expect("accept");
        let received = stream.read_u64().await.expect("the last event");
        assert_eq!(received.to_string(), last_event);
        self.stream = Some(stream);
    }

    /// Closes the connection.
    pub(super) fn close(&mut self) {
        self.stream = None;
    }

    /// Sends the bytes that these hexadecimal digits stand for.
    pub(super) async fn send_raw(&mut self, digits: &str) {
        self.write(&from_hex(digits)).await;
    }

    /// Sends a full list with this engine alone.
    pub(super) async fn send_full_list_of(&mut self, engine: ListedEngine) {
        self.last_event += 1;
        let frame = frame_of(self.last_event, KIND_FULL, engine, STATE_READY);
        self.write(&frame).await;
    }

    /// Sends an event with the number of the previous one, in which this engine is removed.
    pub(super) async fn send_repeated_event(&mut self, engine: ListedEngine) {
        let frame = frame_of(self.last_event, KIND_CHANGES, engine, STATE_REMOVED);
        self.write(&frame).await;
    }

    /// Sends the first half of an event that removes this engine.
    pub(super) async fn send_half_event(&mut self, engine: ListedEngine) {
        let frame = frame_of(self.last_event + 1, KIND_CHANGES, engine, STATE_REMOVED);
        self.write(&frame[..HALF_FRAME_BYTES]).await;
    }

    /// Sends a change of an engine's state. Scripts call the states `active`, `listed`, `draining`
    /// and `gone`.
    pub(super) async fn send_state(&mut self, state: &str, engine: ListedEngine) {
        let state = match state {
            "active" | "listed" => STATE_READY,
            "draining" => STATE_DRAINING,
            "gone" => STATE_REMOVED,
            other => panic!("unknown state of an engine: {other}"),
        };
        self.last_event += 1;
        let frame = frame_of(self.last_event, KIND_CHANGES, engine, state);
        self.write(&frame).await;
    }

    async fn write(&mut self, bytes: &[u8]) {
        let stream = self.stream.as_mut().expect("feed");
        stream.write_all(bytes).await.expect("write");
    }
}

/// A frame with one record, of an engine that started long ago.
fn frame_of(event: u64, kind: u8, engine: ListedEngine, state: u8) -> Vec<u8> {
    feed_frame(event, kind, engine.number, engine.address, state, 0)
}

/// A frame with one record, of an engine that started at this Unix time in ms. Time 0 stands for an
/// engine that started long ago and is not warming up.
pub(crate) fn feed_frame(
    event: u64,
    kind: u8,
    engine_number: usize,
    address: SocketAddr,
    state: u8,
    started_ms: u64,
) -> Vec<u8> {
    let mut frame = Vec::new();
    frame.extend_from_slice(&(9 + 27u32).to_be_bytes());
    frame.extend_from_slice(&event.to_be_bytes());
    frame.push(kind);
    frame.extend_from_slice(&(engine_number as u32 + 1).to_be_bytes());
    frame.extend_from_slice(&[127, 0, 0, 1]);
    frame.extend_from_slice(&address.port().to_be_bytes());
    frame.extend_from_slice(&[state, 0, 0, 0, 0, 0, 0, 3, 232]);
    frame.extend_from_slice(&started_ms.to_be_bytes());
    frame
}
