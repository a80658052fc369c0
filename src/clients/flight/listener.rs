//! Accepts client connections.

use super::connection::ConnectionServer;
use crate::clients::connection_slots::{ConnectionSlot, ConnectionSlots};
use crate::clients::{ACCEPT_RETRY_DELAY, Frontend, is_out_of_resources};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Serves Flight SQL clients until the process ends.
pub(crate) async fn listen(listener: TcpListener, frontend: Frontend) {
    let acceptor = Acceptor::new(listener, &frontend);
    let server = ConnectionServer::new(frontend);
    loop {
        if let Some((stream, slot)) = acceptor.accept().await {
            tokio::spawn(server.clone().serve(stream, slot));
        }
    }
}

/// Accepts client connections while slots are available.
struct Acceptor {
    listener: TcpListener,
    slots: Arc<ConnectionSlots>,
}

impl Acceptor {
    fn new(listener: TcpListener, frontend: &Frontend) -> Acceptor {
        Acceptor {
            listener,
            slots: frontend.create_connection_slots(frontend.limits.flight_connections),
        }
    }

    /// Accepts one connection and takes a slot for it, waiting until one is free. Returns `None`
    /// after [`ACCEPT_RETRY_DELAY`] if no connection could be accepted.
    async fn accept(&self) -> Option<(TcpStream, ConnectionSlot)> {
        match self.listener.accept().await {
            Ok((stream, _)) => {
                self.slots.wait_for_slot().await;
                let _ = stream.set_nodelay(true);
                let slot = self.slots.take_slot();
                tracing::debug!(
                    connection = slot.connection_id(),
                    "client connection accepted"
                );
                Some((stream, slot))
            }
            Err(error) => {
                tracing::debug!(%error, "failed to accept a client connection; retrying after a pause");
                if is_out_of_resources(&error) {
                    self.slots.evict_idle();
                }
                sleep(ACCEPT_RETRY_DELAY).await;
                None
            }
        }
    }
}
