//! Listeners of fake engines, which can refuse connections or leave them in the backlog.

use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Length of an engine listener's backlog. The operating system establishes one connection more.
pub(super) const BACKLOG: u32 = 64;

/// A socket that is bound to this address and lets other sockets bind to it too.
fn bind_shared_port(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_reuseport(true).expect("option");
    socket.bind(address).expect("bind");
    socket
}

/// A listener on a free port, and a second socket that only reserves the port.
pub(crate) fn listen() -> (TcpListener, TcpSocket) {
    let socket = bind_shared_port(([127, 0, 0, 1], 0).into());
    let port = bind_shared_port(socket.local_addr().expect("address"));
    (socket.listen(BACKLOG).expect("listen"), port)
}

/// A listener on a port that the second socket of `listen` reserves.
pub(crate) fn listen_at(address: SocketAddr) -> TcpListener {
    bind_shared_port(address).listen(BACKLOG).expect("listen")
}

/// An engine's listener, which accepts connections only while the scene allows it.
pub(super) struct GatedListener {
    pub listener: TcpListener,
    pub accepting: watch::Receiver<bool>,
}

impl GatedListener {
    /// The next connection; `None` once the scene has ended.
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
