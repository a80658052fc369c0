//! The fake list feed: accepts the manager's watch and writes the frames that a script asks for.

use super::from_hex;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Kind of a frame with the full list.
const KIND_FULL: u8 = 1;
/// Kind of a frame with changes.
const KIND_CHANGES: u8 = 2;
/// States of an engine in a record.
const STATE_READY: u8 = 0;
const STATE_DRAINING: u8 = 1;
const STATE_REMOVED: u8 = 2;
/// Bytes of a frame that is cut off inside its record.
const HALF_FRAME_BYTES: usize = 20;

/// An engine as records name it.
#[derive(Clone, Copy)]
pub(super) struct ListedEngine {
    /// Its number, from 0.
    pub number: usize,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The feed with at most one connection.
pub(crate) struct Feed {
    /// Where it listens.
    pub address: SocketAddr,
    listener: TcpListener,
    stream: Option<TcpStream>,
    last_event: u64,
}

impl Feed {
    /// A feed whose last event is that of the configuration.
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

    /// Listens at another address; connections to the old one stay open and silent.
    pub(super) async fn move_to_new_address(&mut self) -> SocketAddr {
        self.listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        self.address = self.listener.local_addr().expect("address");
        self.address
    }

    /// Accepts a connection, which has to name this event as its last one.
    pub(super) async fn expect_watch(&mut self, last_event: &str) {
        let (mut stream, _) = self.listener.accept().await.expect("accept");
        let received = stream.read_u64().await.expect("the last event");
        assert_eq!(received.to_string(), last_event);
        self.stream = Some(stream);
    }

    /// Closes its connection.
    pub(super) fn close(&mut self) {
        self.stream = None;
    }

    /// Writes these bytes.
    pub(super) async fn send_raw(&mut self, digits: &str) {
        self.write(&from_hex(digits)).await;
    }

    /// Sends a full list that names this engine alone.
    pub(super) async fn send_full_list_of(&mut self, engine: ListedEngine) {
        self.last_event += 1;
        let frame = frame_of(self.last_event, KIND_FULL, engine, STATE_READY);
        self.write(&frame).await;
    }

    /// Repeats the number of an earlier event, with this engine as removed.
    pub(super) async fn send_repeated_event(&mut self, engine: ListedEngine) {
        let frame = frame_of(self.last_event, KIND_CHANGES, engine, STATE_REMOVED);
        self.write(&frame).await;
    }

    /// Sends half of an event that removes this engine.
    pub(super) async fn send_half_event(&mut self, engine: ListedEngine) {
        let frame = frame_of(self.last_event + 1, KIND_CHANGES, engine, STATE_REMOVED);
        self.write(&frame[..HALF_FRAME_BYTES]).await;
    }

    /// Sends a change of one engine's state, by its name in scripts.
    pub(super) async fn send_state(&mut self, state: &str, engine: ListedEngine) {
        let state = match state {
            "active" | "listed" => STATE_READY,
            "draining" => STATE_DRAINING,
            "gone" => STATE_REMOVED,
            other => panic!("state: {other}"),
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

/// A frame with one record of an engine that started long ago.
fn frame_of(event: u64, kind: u8, engine: ListedEngine, state: u8) -> Vec<u8> {
    feed_frame(event, kind, engine.number, engine.address, state, 0)
}

/// A frame with one record, of an engine that started at this Unix time in ms, or long ago at 0.
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
