//! Accepts client connections and runs the gRPC server on them.

use super::service::FlightFrontend;
use super::tracked_connection::TrackedConnection;
use crate::clients::connection_slots::{ConnectionSlot, ConnectionSlots};
use crate::clients::{ACCEPT_RETRY_DELAY, Frontend, is_out_of_resources};
use crate::limits::Limits;
use crate::metrics::Metrics;
use arrow_flight::flight_service_server::FlightServiceServer;
use futures::stream;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tonic::transport::Server;

/// Serves Flight SQL clients until the process ends.
pub(crate) async fn listen(listener: TcpListener, frontend: Frontend) {
    let limits = frontend.limits.clone();
    let acceptor = Acceptor::new(listener, &frontend);
    let incoming = stream::unfold(acceptor, |acceptor| async move {
        let accepted = acceptor.accept().await;
        Some((accepted, acceptor))
    });
    let service = FlightServiceServer::new(FlightFrontend::new(frontend))
        .max_decoding_message_size(limits.message_bytes);
    let (ping_interval, ping_timeout) = limits.flight_keep_alive;
    let server = Server::builder()
        .max_concurrent_streams(limits.open_requests_per_client as u32)
        .http2_keepalive_interval(Some(ping_interval))
        .http2_keepalive_timeout(Some(ping_timeout))
        .add_service(service);
    if let Err(error) = server.serve_with_incoming(incoming).await {
        tracing::error!(%error, "Flight SQL server failed; no more Flight SQL clients are served");
    }
}

/// Accepts client connections while slots are available.
struct Acceptor {
    listener: TcpListener,
    slots: Arc<ConnectionSlots>,
    limits: Arc<Limits>,
    metrics: Arc<Metrics>,
}

impl Acceptor {
    fn new(listener: TcpListener, frontend: &Frontend) -> Acceptor {
        Acceptor {
            listener,
            slots: frontend.create_connection_slots(frontend.limits.flight_connections),
            limits: frontend.limits.clone(),
            metrics: frontend.metrics.clone(),
        }
    }

    /// Accepts one connection and takes a slot for it, waiting until one is free.
    ///
    /// # Errors
    ///
    /// Returns the error of `accept` after [`ACCEPT_RETRY_DELAY`]. The server then continues to
    /// accept connections.
    async fn accept(&self) -> io::Result<TrackedConnection> {
        match self.listener.accept().await {
            Ok((stream, _)) => {
                self.slots.wait_for_slot().await;
                let _ = stream.set_nodelay(true);
                let slot = Arc::new(self.slots.take_slot());
                tracing::debug!(
                    connection = slot.connection_id(),
                    "client connection accepted"
                );
                let signal = close_signal(slot.clone(), self.limits.clone(), self.metrics.clone());
                Ok(TrackedConnection::new(stream, slot, Box::pin(signal)))
            }
            Err(error) => {
                tracing::debug!(%error, "failed to accept a client connection; retrying after a pause");
                if is_out_of_resources(&error) {
                    self.slots.evict_idle();
                }
                sleep(ACCEPT_RETRY_DELAY).await;
                Err(error)
            }
        }
    }
}

/// Resolves once the server is to close a connection: either the connection was asked to close and
/// nothing has changed on it for `limits.linger_timeout`, or its first call did not arrive within
/// `limits.client_read_timeout`.
async fn close_signal(slot: Arc<ConnectionSlot>, limits: Arc<Limits>, metrics: Arc<Metrics>) {
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
    metrics.client_read_timeouts.increment();
}

#[cfg(test)]
mod tests;
