//! A relay between a client and the manager. While it is paused it reads and writes nothing, as a
//! client that stands still.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Size of the buffers of the relay and of its socket to the manager, in bytes.
const BUFFER_BYTES: usize = 4096;

/// A running relay.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    running: watch::Sender<bool>,
    _accepting: JoinSet<()>,
}

impl Relay {
    /// Starts a relay to the manager. It ends when it is dropped.
    pub(crate) async fn start(manager: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (running, is_running) = watch::channel(true);
        let mut accepting = JoinSet::new();
        accepting.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((client, _)) = listener.accept().await {
                connections.spawn(relay_connection(client, manager, is_running.clone()));
            }
        });
        Relay {
            address,
            running,
            _accepting: accepting,
        }
    }

    /// Pauses the relay, or lets it go on.
    pub(crate) fn set_running(&self, running: bool) {
        self.running.send_replace(running);
    }
}

async fn relay_connection(
    client: TcpStream,
    manager: SocketAddr,
    is_running: watch::Receiver<bool>,
) {
    let socket = TcpSocket::new_v4().expect("socket");
    let _ = socket.set_recv_buffer_size(BUFFER_BYTES as u32);
    let Ok(server) = socket.connect(manager).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        copy(client_read, server_write, is_running.clone()),
        copy(server_read, client_write, is_running)
    );
}

/// Copies one direction until its end.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut is_running: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let _ = is_running.wait_for(|running| *running).await;
        match from.read(&mut buffer).await {
            Ok(bytes @ 1..) if to.write_all(&buffer[..bytes]).await.is_ok() => {}
            _ => break,
        }
    }
    let _ = to.shutdown().await;
}
