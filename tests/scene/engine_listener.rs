//! Listeners of fake engines, which can refuse connections or leave them in the backlog.

use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Connections that an engine's listener holds while it accepts none; the system lets one more come up.
pub(super) const BACKLOG: u32 = 64;

/// A socket on this port, which others may share.
fn bind_shared_port(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_reuseport(true).expect("option");
    socket.bind(address).expect("bind");
    socket
}

/// A listener, and a second socket on its port that never listens.
pub(crate) fn listen() -> (TcpListener, TcpSocket) {
    let socket = bind_shared_port(([127, 0, 0, 1], 0).into());
    let port = bind_shared_port(socket.local_addr().expect("address"));
    (socket.listen(BACKLOG).expect("listen"), port)
}

/// A listener on a port that such a second socket keeps.
pub(crate) fn listen_at(address: SocketAddr) -> TcpListener {
    bind_shared_port(address).listen(BACKLOG).expect("listen")
}

/// An engine's listener, and whether it accepts connections.
pub(super) struct GatedListener {
    pub listener: TcpListener,
    pub accepting: watch::Receiver<bool>,
}

impl GatedListener {
    /// The next connection; none once the scene is over.
    pub(super) async fn accept(&mut self) -> Option<TcpStream> {
        loop {
            self.accepting.wait_for(|accepting| *accepting).await.ok()?;
            tokio::select! {
                biased;
                _ = self.accepting.changed() => {}
                accepted = self.listener.accept() => return accepted.ok().map(|(stream, _)| stream),
            }
        }
    }
}
