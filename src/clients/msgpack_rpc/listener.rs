//! Accepts connections and starts an actor for each of them.

use super::connection::Connection;
use crate::clients::connection_slots::ConnectionSlots;
use crate::clients::{ACCEPT_RETRY_DELAY, Frontend, is_out_of_resources};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};

/// Accepts clients until the process ends or another process takes over the listening socket.
pub(crate) async fn listen(listener: TcpListener, frontend: Frontend) {
    let slots = frontend.create_connection_slots(frontend.limits.client_connections);
    let mut lifecycle = frontend.lifecycle.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            // After the handover, the other process accepts clients on this socket. A connection
            // that this process accepted would be closed without an answer.
            _ = lifecycle.wait_for(|state| state.listener_handed_over) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                // Clients may keep idle connections open forever. A request counts as accepted once
                // it is written to a connection that the kernel has accepted, so an idle connection
                // is evicted for this one.
                slots.wait_for_slot().await;
                spawn_connection(stream, &slots, &frontend);
                // Lets the actor read the bytes that the client has already sent, before the next
                // connection could evict this one.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                tracing::debug!(%error, "failed to accept a client connection; retrying after a pause");
                if is_out_of_resources(&error) {
                    slots.evict_idle();
                }
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection(stream: TcpStream, slots: &Arc<ConnectionSlots>, frontend: &Frontend) {
    let slot = slots.take_slot();
    let frontend = frontend.clone();
    tokio::spawn(async move {
        let metrics = frontend.metrics.clone();
        metrics.client_connections.increment();
        metrics.client_connections_open.increment();
        tracing::debug!(
            connection = slot.connection_id(),
            "client connection accepted"
        );
        Connection::new(stream, slot, frontend).run().await;
        metrics.client_connections_open.decrement();
    });
}
