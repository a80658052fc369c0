//! Serves one client connection: the gRPC server on it, and the end of the connection.
//!
//! A connection that is to be closed is closed gracefully: GOAWAY tells the client that no further
//! calls are taken, the answers to its calls are written at the client's pace, and the client
//! confirms with its answer to a ping that it has read them. A client that does not read is waited
//! for within time limits only; then the connection is aborted.

use super::answer_body::AnswerTracking;
use super::client_connection::ClientConnection;
use super::service::FlightFrontend;
use super::tracked_connection::TrackedConnection;
use crate::clients::Frontend;
use crate::clients::connection_slots::ConnectionSlot;
use crate::limits::Limits;
use arrow_flight::flight_service_server::FlightServiceServer;
use futures::stream::{self, StreamExt};
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tonic::transport::Server;

/// Serves connections. All connections share the service, with its tickets.
#[derive(Clone)]
pub(super) struct ConnectionServer {
    server: Server,
    service: AnswerTracking<FlightServiceServer<FlightFrontend>>,
    frontend: Frontend,
}

impl ConnectionServer {
    pub(super) fn new(frontend: Frontend) -> ConnectionServer {
        let limits = &frontend.limits;
        let (ping_interval, ping_timeout) = limits.flight_keep_alive;
        let server = Server::builder()
            .max_concurrent_streams(limits.open_requests_per_client as u32)
            .initial_connection_window_size(limits.flight_window_bytes)
            .initial_stream_window_size(limits.flight_window_bytes)
            .http2_max_header_list_size(limits.flight_metadata_bytes)
            .http2_keepalive_interval(Some(ping_interval))
            .http2_keepalive_timeout(Some(ping_timeout));
        let service = FlightServiceServer::new(FlightFrontend::new(frontend.clone()))
            .max_decoding_message_size(limits.message_bytes);
        ConnectionServer {
            server,
            service: AnswerTracking(service),
            frontend,
        }
    }

    /// Serves a connection until it is closed.
    pub(super) async fn serve(mut self, stream: TcpStream, slot: ConnectionSlot) {
        let connection_id = slot.connection_id();
        let connection = ClientConnection::new(slot, &self.frontend);
        let (abort, aborted) = oneshot::channel();
        let (close, close_requested) = oneshot::channel();
        let tracked = TrackedConnection::new(stream, connection.clone(), aborted);
        let incoming = stream::iter([Ok::<_, io::Error>(tracked)]).chain(stream::pending());
        let router = self.server.add_service(self.service);
        let close_requested = async { drop(close_requested.await) };
        let serving = router.serve_with_incoming_shutdown(incoming, close_requested);
        let supervisor = ConnectionSupervisor {
            connection,
            frontend: self.frontend,
            abort,
        };
        let (result, ()) = tokio::join!(serving, supervisor.run(close));
        if let Err(error) = result {
            tracing::debug!(connection = connection_id, %error, "client connection failed");
        }
    }
}

/// Decides when a connection is closed, and when it is aborted.
struct ConnectionSupervisor {
    connection: Arc<ClientConnection>,
    frontend: Frontend,
    /// Aborts the connection. Its channel closes when the connection ends.
    abort: oneshot::Sender<()>,
}

impl ConnectionSupervisor {
    /// Runs until the connection has ended or is aborted. The drop of `close` starts the graceful
    /// close.
    async fn run(mut self, close: oneshot::Sender<()>) {
        let limits = self.frontend.limits.clone();
        let connection = self.connection.clone();
        let mut stalled = pin!(connection.stalled(limits.client_idle_timeout));
        let has_called = tokio::select! {
            () = self.abort.closed() => return,
            () = &mut stalled => return self.abort_stalled(),
            () = close_signal(&connection.slot, &self.frontend) => connection.slot.has_called(),
        };
        drop(close);
        if !has_called {
            return self.abort();
        }
        let confirmation_timeout = confirmation_timeout(&connection.slot, &limits);
        tokio::select! {
            () = self.abort.closed() => {}
            () = &mut stalled => self.abort_stalled(),
            () = connection.slot.unchanged_while_idle(confirmation_timeout) => self.abort(),
        }
    }

    fn abort_stalled(self) {
        self.frontend.metrics.client_read_timeouts.increment();
        self.abort();
    }

    fn abort(self) {
        let connection = self.connection.slot.connection_id();
        tracing::debug!(connection, "client connection is aborted");
        // An error means that the connection has ended by itself.
        let _ = self.abort.send(());
    }
}

/// Resolves once the connection is to be closed: either it was asked to close and nothing has
/// changed on it for `linger_timeout`, or its first call did not arrive within
/// `client_read_timeout`.
async fn close_signal(slot: &ConnectionSlot, frontend: &Frontend) {
    let limits = &frontend.limits;
    // The same future is polled before and after the timeout. A new future would miss a request to
    // close that the first one has already consumed.
    let mut quiet_after_close_request = pin!(slot.quiet_after_close_request(limits.linger_timeout));
    tokio::select! {
        () = &mut quiet_after_close_request => return,
        () = sleep(limits.client_read_timeout) => {}
    }
    if slot.has_called() {
        return quiet_after_close_request.await;
    }
    tracing::debug!(
        connection = slot.connection_id(),
        "client connection is being closed: no call arrived within the read timeout"
    );
    frontend.metrics.client_read_timeouts.increment();
}

/// How long a client may take to confirm the graceful close. It is shorter for an evicted
/// connection, because another client waits for its slot.
fn confirmation_timeout(slot: &ConnectionSlot, limits: &Limits) -> Duration {
    if slot.is_draining() {
        limits.client_read_timeout
    } else {
        limits.evicted_client_read_timeout
    }
}

#[cfg(test)]
mod tests;
