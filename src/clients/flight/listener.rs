//! Accepts client connections.

use super::connection::ConnectionServer;
use crate::clients::Frontend;
use crate::clients::acceptor::Acceptor;
use crate::limits::SharedLimit;
use tokio::net::TcpListener;

/// Serves Flight SQL clients until the process ends.
pub(crate) async fn listen(listener: TcpListener, frontend: Frontend) {
    let limit = SharedLimit::new(&frontend.limits, frontend.limits.flight_connections);
    let acceptor = Acceptor::new(listener, &frontend, limit);
    let server = ConnectionServer::new(frontend);
    loop {
        let (stream, slot) = acceptor.accept().await;
        tokio::spawn(server.clone().serve(stream, slot));
    }
}
