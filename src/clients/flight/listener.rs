//! Accepts connections and runs the gRPC server on them.

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
        tracing::error!(%error, "the Flight SQL front end ended");
    }
}

/// Accepts connections while slots are available.
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

    /// Accepts one connection, and waits until it has a slot.
    ///
    /// # Errors
    ///
    /// Those of `accept`, after a pause; the server goes on after them.
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
                tracing::debug!(%error, "client not accepted");
                if is_out_of_resources(&error) {
                    self.slots.evict_idle();
                }
                sleep(ACCEPT_RETRY_DELAY).await;
                Err(error)
            }
        }
    }
}

/// Resolves once a connection is to be closed: it was asked to leave and is quiet, or it brought no call in time.
async fn close_signal(slot: Arc<ConnectionSlot>, limits: Arc<Limits>, metrics: Arc<Metrics>) {
    // One wait for both times: a second one would miss a request to leave that the first one has taken.
    let mut quiet_after_leave_request = pin!(slot.quiet_after_leave_request(limits.linger));
    tokio::select! {
        () = &mut quiet_after_leave_request => return,
        () = sleep(limits.client_read_timeout) => {}
    }
    if slot.has_called() {
        return quiet_after_leave_request.await;
    }
    tracing::debug!(
        connection = slot.connection_id(),
        "client connection brought no call in time"
    );
    metrics.client_read_timeouts.increment();
}

#[cfg(test)]
mod tests;
