//! Accepts connections and starts an actor for each of them.

use super::connection::Connection;
use crate::clients::connection_slots::ConnectionSlots;
use crate::clients::{ACCEPT_RETRY_DELAY, Frontend, is_out_of_resources};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};

/// Accepts clients until the process ends or another process takes the listening socket over.
pub(crate) async fn listen(listener: TcpListener, frontend: Frontend) {
    let slots = frontend.create_connection_slots(frontend.limits.client_connections);
    let mut lifecycle = frontend.lifecycle.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            // The other process accepts on this socket; a connection taken here would be closed without an answer.
            _ = lifecycle.wait_for(|state| state.listener_handed_over) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                // Clients may keep idle connections for good. A request counts as accepted once it is written to a
                // connection that the kernel accepted, so an idle connection makes room for this one.
                slots.wait_for_slot().await;
                spawn_connection(stream, &slots, &frontend);
                // Lets the actor read what the client sent at once, before the next connection could evict it.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                tracing::debug!(%error, "client not accepted");
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
