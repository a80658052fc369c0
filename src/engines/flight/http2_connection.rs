//! One HTTP/2 connection to a Flight SQL engine, of which it is known what has been sent.
//!
//! A call that is dropped queues its reset at once; the next flush of the connection after that has sent it (RFC 9113,
//! 5.4.2 and 6.4).

use super::call::{ResponseBody, send_call};
use super::connection_driver::{ConnectionDriver, KeepAlive};
use super::connection_signals::ConnectionSignals;
use super::flush_tracking_socket::FlushTrackingSocket;
use crate::engines::connection_slots::ConnectionSlot;
use crate::limits::Limits;
use bytes::Bytes;
use h2::client::SendRequest;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::error::Elapsed;
use tokio::time::timeout;
use tower_service::Service;

/// Bytes of a result on their way that one call may hold.
const CALL_WINDOW_BYTES: u32 = 256 << 10;

/// Bytes of results on their way that all calls of one connection may hold together.
const CONNECTION_WINDOW_BYTES: u32 = 1 << 20;

/// Why no connection came up. Nothing was sent on it.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    #[error("the socket failed: {0}")]
    Socket(#[from] std::io::Error),
    #[error("the HTTP/2 handshake failed: {0}")]
    Handshake(#[from] h2::Error),
    #[error("the connection did not come up in time")]
    Timeout(#[from] Elapsed),
}

/// A handle of a connection that is up, shared by the calls on it.
#[derive(Clone)]
pub(super) struct Http2Connection {
    request_sender: SendRequest<Bytes>,
    /// Number of flushes so far; closed with the socket.
    flush_count: watch::Receiver<u64>,
    /// The number of the last requested ping that is answered.
    last_answered_ping: watch::Receiver<u64>,
    signals: Arc<ConnectionSignals>,
}

impl Http2Connection {
    /// Connects, once the slot has its descriptor.
    ///
    /// # Errors
    /// Fails where the connection does not come up, or not in time.
    pub(super) async fn connect(
        address: SocketAddr,
        limits: &Limits,
        slot: ConnectionSlot,
    ) -> Result<Http2Connection, ConnectError> {
        let (interval, keep_alive_timeout) = limits.flight_keep_alive;
        let keep_alive = KeepAlive {
            interval,
            timeout: keep_alive_timeout,
        };
        let open = Http2Connection::open(address, keep_alive, slot);
        timeout(limits.engine_connect_timeout, open).await?
    }

    async fn open(
        address: SocketAddr,
        keep_alive: KeepAlive,
        mut slot: ConnectionSlot,
    ) -> Result<Http2Connection, ConnectError> {
        slot.descriptor_ready().await;
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let signals = Arc::<ConnectionSignals>::default();
        let (flush_sender, flush_count) = watch::channel(0);
        let socket = FlushTrackingSocket::new(stream, flush_sender, signals.clone());
        let (request_sender, connection) = h2::client::Builder::new()
            .initial_window_size(CALL_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .enable_push(false)
            .handshake::<_, Bytes>(socket)
            .await?;
        let (pong_sender, last_answered_ping) = watch::channel(0);
        let driver = ConnectionDriver {
            last_answered_ping: pong_sender,
            signals: signals.clone(),
            keep_alive,
            connection,
            slot,
        };
        tokio::spawn(driver.run());
        Ok(Http2Connection {
            request_sender,
            flush_count,
            last_answered_ping,
            signals,
        })
    }

    /// Whether the socket is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.flush_count.has_changed().is_err()
    }

    /// Has the connection flushed; returns the number of a flush by which all that is queued now has been sent.
    pub(super) fn request_flush(&self) -> u64 {
        self.signals.wake_driver();
        *self.flush_count.borrow() + 1
    }

    /// Waits for the flush with this number; false where the connection closed first.
    pub(super) async fn wait_for_flush(&mut self, number: u64) -> bool {
        let flushed = self
            .flush_count
            .wait_for(|flush_count| *flush_count >= number)
            .await;
        flushed.is_ok()
    }

    /// Waits until the peer has read what was sent by now: it answers a ping that follows, and reads in order (RFC
    /// 9113, 6.7). False where the connection closed first.
    pub(super) async fn confirm_read(&mut self) -> bool {
        let ping = self.signals.request_ping();
        let answered = self.last_answered_ping.wait_for(|last| *last >= ping).await;
        answered.is_ok()
    }

    /// Closes the connection, with what its peer has not taken.
    pub(super) fn close(&self) {
        self.signals.request_close();
    }

    /// Waits until the socket is closed.
    pub(super) async fn wait_until_closed(&mut self) {
        // No flush has this number, so only the end of the channel ends the wait.
        self.wait_for_flush(u64::MAX).await;
    }
}

impl Service<http::Request<tonic::body::Body>> for Http2Connection {
    type Response = http::Response<ResponseBody>;
    type Error = Box<dyn std::error::Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    /// Always ready: each call waits for its stream itself.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<tonic::body::Body>) -> Self::Future {
        let request_sender = self.request_sender.clone();
        let signals = self.signals.clone();
        Box::pin(send_call(request_sender, signals, request))
    }
}
