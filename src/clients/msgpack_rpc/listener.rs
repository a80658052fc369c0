//! Accepts connections and starts an actor for each of them.

use super::connection::Connection;
use crate::clients::Frontend;
use crate::clients::acceptor::Acceptor;
use crate::clients::connection_slots::ConnectionSlot;
use crate::limits::SharedLimit;
use tokio::net::{TcpListener, TcpStream};

/// Accepts clients until the process ends or another process takes over the listening socket.
pub(crate) async fn listen(listener: TcpListener, frontend: Frontend) {
    let limit = SharedLimit::of_client_connections(&frontend.limits);
    let acceptor = Acceptor::new(listener, &frontend, limit);
    let mut lifecycle = frontend.lifecycle.subscribe();
    loop {
        let (stream, slot) = tokio::select! {
            biased;
            // After the handover, the other process accepts clients on this socket. A connection
            // that this process accepted would be closed without an answer.
            _ = lifecycle.wait_for(|state| state.listener_handed_over) => return,
            accepted = acceptor.accept() => accepted,
        };
        spawn_connection(stream, slot, &frontend);
        // Lets the actor read the bytes that the client has already sent, before the next
        // connection could evict this one.
        tokio::task::yield_now().await;
    }
}

fn spawn_connection(stream: TcpStream, slot: ConnectionSlot, frontend: &Frontend) {
    let frontend = frontend.clone();
    let metrics = frontend.metrics.clone();
    metrics.client_connections.increment();
    metrics.client_connections_open.increment();
    tokio::spawn(async move {
        Connection::new(stream, slot, frontend).run().await;
        metrics.client_connections_open.decrement();
    });
}
