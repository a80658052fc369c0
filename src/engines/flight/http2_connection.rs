//! One HTTP/2 connection to a Flight SQL engine, which reports what has been sent.
//!
//! A call that is dropped queues the reset of its stream at once. After the next flush of the
//! connection, the reset has been sent (RFC 9113, sections 5.4.2 and 6.4).

use super::call::{CallError, ResponseBody, send_call};
use super::connection_driver::{ConnectionDriver, KeepAlive};
use super::connection_signals::ConnectionSignals;
use super::flush_tracking_socket::FlushTrackingSocket;
use crate::engines::connection_slots::ConnectionSlot;
use crate::limits::Limits;
use bytes::Bytes;
use h2::client::SendRequest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

/// Flow-control window of one call, in bytes: how much of its result may be in transit.
const CALL_WINDOW_BYTES: u32 = 256 << 10;

/// Flow-control window of a connection, in bytes: how much of the results of all its calls together
/// may be in transit.
const CONNECTION_WINDOW_BYTES: u32 = 1 << 20;

/// Why a connection could not be opened. No part of an attempt was sent on it.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    #[error("the socket failed: {0}")]
    Socket(#[from] std::io::Error),
    #[error("the HTTP/2 handshake failed: {0}")]
    Handshake(#[from] h2::Error),
    #[error("the connection was not established within the timeout")]
    Timeout(#[from] Elapsed),
}

/// A handle of an open connection. Its clones share the connection.
#[derive(Clone)]
pub(super) struct Http2Connection {
    request_sender: SendRequest<Bytes>,
    /// Number of flushes so far. The channel closes with the socket.
    flush_count: watch::Receiver<u64>,
    /// Number of the last requested ping that has been answered; 0 for none.
    last_answered_ping: watch::Receiver<u64>,
    signals: Arc<ConnectionSignals>,
}

impl Http2Connection {
    /// Opens a connection once the slot has a free file descriptor.
    ///
    /// # Errors
    /// Fails if the connection cannot be established, or not within the timeout.
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

    /// Requests a flush. Returns the number of the flush after which everything that is queued now
    /// has been sent.
    pub(super) fn request_flush(&self) -> u64 {
        self.signals.wake_driver();
        *self.flush_count.borrow() + 1
    }

    /// Waits for the flush with this number. Returns false if the connection closed first.
    pub(super) async fn wait_for_flush(&mut self, number: u64) -> bool {
        let flushed = self
            .flush_count
            .wait_for(|flush_count| *flush_count >= number)
            .await;
        flushed.is_ok()
    }

    /// Waits until the peer has read everything that was sent before this call. The peer reads
    /// frames in order, so its answer to a ping that is sent now confirms this (RFC 9113, section
    /// 6.7). Returns false if the connection closed first.
    pub(super) async fn confirm_read(&mut self) -> bool {
        let ping = self.signals.request_ping();
        let answered = self.last_answered_ping.wait_for(|last| *last >= ping).await;
        answered.is_ok()
    }

    /// Sends a call and waits for the headers of its response; see [`send_call`].
    pub(super) async fn send_call(
        &self,
        response_begun: &AtomicBool,
        request: http::Request<tonic::body::Body>,
    ) -> Result<http::Response<ResponseBody>, CallError> {
        let request_sender = self.request_sender.clone();
        let signals = self.signals.clone();
        send_call(request_sender, signals, response_begun, request).await
    }

    /// Closes the connection. Output that the peer has not received is discarded.
    pub(super) fn close(&self) {
        self.signals.request_close();
    }

    /// Waits until the socket is closed.
    pub(super) async fn wait_until_closed(&mut self) {
        // No flush reaches this number, so the wait ends only when the channel closes.
        self.wait_for_flush(u64::MAX).await;
    }
}
