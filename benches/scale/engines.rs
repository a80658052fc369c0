//! Stand-in engines that speak the line protocol: one listener for all of them, each at a loopback address of its own.

use super::row::Failure;
use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// Time that an engine takes to serve a statement.
pub(super) const SERVED_AFTER: Duration = Duration::from_millis(10);
/// What follows the name of a statement that was served: the work and memory that it needed, a load report, one row.
const SERVED: &str = " served batches=1,cpu=10,used=8,l=inflight:4;util:0.5 6\r\na\tb\tc\n\r\n";
/// The interface that the listener is bound to, so that nothing outside of this machine reaches it.
const LOOPBACK: &[u8] = b"lo";
const BACKLOG: u32 = 4_096;
/// A statement of the tests is far shorter.
const LONGEST_STATEMENT: usize = 64 * 1024;

/// What the engines together have seen.
#[derive(Debug, Default)]
struct Seen {
    connections: AtomicU64,
    statements: AtomicU64,
    received: AtomicU64,
    sent: AtomicU64,
    used: Mutex<HashSet<IpAddr>>,
}

/// Figures of the engines together.
#[derive(Clone, Copy, Debug)]
pub(super) struct Totals {
    /// Connections accepted.
    pub connections: u64,
    /// Statements received.
    pub statements: u64,
    /// Bytes received, without what gives a statement up.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Engines that had a statement.
    pub used: usize,
}

/// All engines of a list; they end with this value.
pub(super) struct Engines {
    /// The port of every engine.
    pub port: u16,
    seen: Arc<Seen>,
    /// Closed with this value, which ends the thread.
    _running: oneshot::Sender<()>,
}

impl Engines {
    /// Starts them in a thread of their own.
    pub(super) fn start() -> Result<Engines, Failure> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listener = {
            let _context = runtime.enter();
            listen()?
        };
        let port = listener.local_addr()?.port();
        let seen = Arc::<Seen>::default();
        let (running, ended) = oneshot::channel::<()>();
        let engines = seen.clone();
        thread::spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    () = accept(listener, engines) => {}
                    _ = ended => {}
                }
            });
        });
        Ok(Engines {
            port,
            seen,
            _running: running,
        })
    }

    /// What they have seen so far.
    pub(super) fn totals(&self) -> Totals {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Totals {
            connections: read(&self.seen.connections),
            statements: read(&self.seen.statements),
            received: read(&self.seen.received),
            sent: read(&self.seen.sent),
            used: self
                .seen
                .used
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .len(),
        }
    }
}

/// One socket for every loopback address.
fn listen() -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind_device(Some(LOOPBACK))?;
    socket.bind(([0, 0, 0, 0], 0).into())?;
    socket.listen(BACKLOG)
}

async fn accept(listener: TcpListener, seen: Arc<Seen>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                seen.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(stream, seen.clone()));
            }
            // Out of descriptors: what is open goes on.
            Err(_) => tokio::time::sleep(SERVED_AFTER).await,
        }
    }
}

/// Serves one connection until the manager closes it.
async fn serve(stream: TcpStream, seen: Arc<Seen>) {
    let _ = stream.set_nodelay(true);
    let engine = stream.local_addr().map(|address| address.ip());
    let (read, write) = stream.into_split();
    let (answers, answered) = mpsc::unbounded_channel();
    tokio::spawn(answer(write, answered, seen.clone()));
    let mut read = BufReader::new(read);
    let mut line = String::new();
    loop {
        line.clear();
        if !matches!(read.read_line(&mut line).await, Ok(length) if length > 0) {
            return;
        }
        seen.received
            .fetch_add(line.len() as u64, Ordering::Relaxed);
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["ASK", name, _, length] => {
                let Some(length) = length
                    .parse()
                    .ok()
                    .filter(|length: &usize| *length < LONGEST_STATEMENT)
                else {
                    return;
                };
                let mut statement = vec![0; length + "\r\n".len()];
                if read.read_exact(&mut statement).await.is_err() {
                    return;
                }
                seen.received
                    .fetch_add(statement.len() as u64, Ordering::Relaxed);
                seen.statements.fetch_add(1, Ordering::Relaxed);
                if let Ok(engine) = engine {
                    seen.used
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .insert(engine);
                }
                let (answers, text) = (answers.clone(), format!("{name}{SERVED}"));
                tokio::spawn(async move {
                    tokio::time::sleep(SERVED_AFTER).await;
                    // The connection may be closed by then.
                    let _ = answers.send(text);
                });
            }
            ["NOOP", tag] => _ = answers.send(format!("{tag} green - 0\r\n\r\n")),
            // Notes, priorities and statements that are given up need no answer.
            _ => {}
        }
    }
}

async fn answer(
    mut write: OwnedWriteHalf,
    mut answered: mpsc::UnboundedReceiver<String>,
    seen: Arc<Seen>,
) {
    while let Some(text) = answered.recv().await {
        if write.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        seen.sent.fetch_add(text.len() as u64, Ordering::Relaxed);
    }
}
