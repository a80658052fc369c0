//! Fake engines that speak the line protocol. One listener serves all of them; each engine has its
//! own loopback address.

use super::row::ScaleError;
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

/// Time that an engine takes to answer a statement.
pub(super) const SERVICE_TIME: Duration = Duration::from_millis(10);
/// The rest of an answer after the attempt's name: the work and memory that the statement needed, a
/// load report, and one row.
const SERVED_ANSWER: &str =
    " served batches=1,cpu=10,used=8,l=inflight:4;util:0.5 6\r\na\tb\tc\n\r\n";
/// Interface that the listener is bound to, so that other machines cannot reach it.
const LOOPBACK_INTERFACE: &[u8] = b"lo";
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 4_096;
/// Limit of a statement's length in bytes; the statements of the tests are far shorter.
const MAX_STATEMENT_BYTES: usize = 64 * 1024;

/// Counters of all engines together.
#[derive(Debug, Default)]
struct EngineCounters {
    connections: AtomicU64,
    statements: AtomicU64,
    bytes_received: AtomicU64,
    bytes_sent: AtomicU64,
    engines_used: Mutex<HashSet<IpAddr>>,
}

/// Totals of all engines together.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineTotals {
    /// Connections accepted.
    pub connections: u64,
    /// Statements received.
    pub statements: u64,
    /// Bytes of all lines and statements received.
    pub bytes_received: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Number of engines that received a statement.
    pub engines_used: usize,
}

/// All engines of a list; they stop when this is dropped.
pub(super) struct Engines {
    /// The port of every engine.
    pub port: u16,
    counters: Arc<EngineCounters>,
    /// Dropping it closes the channel, which ends the engines' thread.
    _running: oneshot::Sender<()>,
}

impl Engines {
    /// Starts the engines on their own thread.
    pub(super) fn start() -> Result<Engines, ScaleError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listener = {
            let _context = runtime.enter();
            listen()?
        };
        let port = listener.local_addr()?.port();
        let counters = Arc::<EngineCounters>::default();
        let (running, stopped) = oneshot::channel::<()>();
        let engines = counters.clone();
        thread::spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    () = accept_connections(listener, engines) => {}
                    _ = stopped => {}
                }
            });
        });
        Ok(Engines {
            port,
            counters,
            _running: running,
        })
    }

    /// The totals so far.
    pub(super) fn totals(&self) -> EngineTotals {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        EngineTotals {
            connections: read(&self.counters.connections),
            statements: read(&self.counters.statements),
            bytes_received: read(&self.counters.bytes_received),
            bytes_sent: read(&self.counters.bytes_sent),
            engines_used: self
                .counters
                .engines_used
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .len(),
        }
    }
}

/// Opens one listening socket for all loopback addresses.
fn listen() -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind_device(Some(LOOPBACK_INTERFACE))?;
    socket.bind(([0, 0, 0, 0], 0).into())?;
    socket.listen(BACKLOG)
}

async fn accept_connections(listener: TcpListener, counters: Arc<EngineCounters>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                counters.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve_connection(stream, counters.clone()));
            }
            // The process may be out of file descriptors; open connections continue meanwhile.
            Err(_) => tokio::time::sleep(SERVICE_TIME).await,
        }
    }
}

/// Serves one connection until the manager closes it, or until the length of a statement is
/// malformed or too large.
async fn serve_connection(stream: TcpStream, counters: Arc<EngineCounters>) {
    let _ = stream.set_nodelay(true);
    let engine = stream.local_addr().map(|address| address.ip());
    let (read, write) = stream.into_split();
    let (answer_sender, answer_receiver) = mpsc::unbounded_channel();
    tokio::spawn(write_answers(write, answer_receiver, counters.clone()));
    let mut read = BufReader::new(read);
    let mut line = String::new();
    loop {
        line.clear();
        if !matches!(read.read_line(&mut line).await, Ok(length) if length > 0) {
            return;
        }
        counters
            .bytes_received
            .fetch_add(line.len() as u64, Ordering::Relaxed);
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["ASK", name, _, length] => {
                let Some(length) = length
                    .parse()
                    .ok()
                    .filter(|length: &usize| *length < MAX_STATEMENT_BYTES)
                else {
                    return;
                };
                let mut statement = vec![0; length + "\r\n".len()];
                if read.read_exact(&mut statement).await.is_err() {
                    return;
                }
                counters
                    .bytes_received
                    .fetch_add(statement.len() as u64, Ordering::Relaxed);
                counters.statements.fetch_add(1, Ordering::Relaxed);
                if let Ok(engine) = engine {
                    counters
                        .engines_used
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .insert(engine);
                }
                let (answer_sender, text) =
                    (answer_sender.clone(), format!("{name}{SERVED_ANSWER}"));
                tokio::spawn(async move {
                    tokio::time::sleep(SERVICE_TIME).await;
                    // The connection may have been closed meanwhile.
                    let _ = answer_sender.send(text);
                });
            }
            ["NOOP", tag] => _ = answer_sender.send(format!("{tag} green - 0\r\n\r\n")),
            // Other commands, such as priorities and cancellations, need no answer.
            _ => {}
        }
    }
}

async fn write_answers(
    mut write: OwnedWriteHalf,
    mut answer_receiver: mpsc::UnboundedReceiver<String>,
    counters: Arc<EngineCounters>,
) {
    while let Some(text) = answer_receiver.recv().await {
        if write.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        counters
            .bytes_sent
            .fetch_add(text.len() as u64, Ordering::Relaxed);
    }
}
