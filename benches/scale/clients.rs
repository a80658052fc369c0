//! Clients of one real workload manager. They keep connections open, and send statements at an even
//! rate or keep a fixed number of statements open.

use super::fleet;
use super::messages::{self, AnswerKind, ParseError};
use super::row::{ScaleError, rounded};
use super::statement_counters::{OfferedStatements, StatementCounters};
use bytes::BytesMut;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout};

const CLASS: &str = "read";
/// Fields of each statement besides its client reference.
const STATEMENT_FIELDS: [(&str, &str); 4] = [
    ("allow", "2000"),
    ("project", "acme"),
    ("effort", "10.0"),
    ("need_mb", "8"),
];
/// A connection without a call for this long sends a `health` call, since the manager closes an
/// idle connection after 30 s.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(20);
/// Maximum number of open statements on one connection, a limit of the protocol.
const MAX_OPEN_ON_CONNECTION: usize = 32;
/// Maximum number of open statements; beyond it no statement is sent.
const MAX_OPEN_STATEMENTS: u64 = 2_000;
/// Longest wait for the last answers after a round.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a connection to open, and then for the answer to its first `health` call.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks for due statements or for the last answers.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Open client connections; they are closed when this is dropped.
pub(super) struct Clients {
    runtime: Runtime,
    connections: Vec<Connection>,
    counters: Arc<StatementCounters>,
    /// Index of the connection that gets the next statement.
    next_connection: usize,
}

/// The handle of one connection's task.
struct Connection {
    /// Each message makes the task send one statement.
    calls: mpsc::UnboundedSender<()>,
    /// Statements that are assigned to the connection and have no answer.
    open_count: Arc<AtomicUsize>,
}

impl Clients {
    /// Opens this many connections, each with one answered `health` call.
    pub(super) fn connect(manager: SocketAddr, count: usize) -> Result<Clients, ScaleError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let counters = Arc::new(StatementCounters::new()?);
        let mut connections = Vec::with_capacity(count);
        for _ in 0..count {
            connections.push(runtime.block_on(open_connection(manager, counters.clone()))?);
        }
        Ok(Clients {
            runtime,
            connections,
            counters,
            next_connection: 0,
        })
    }

    /// Sends statements at this rate, in statements per second, for this duration, and waits for
    /// their answers.
    pub(super) fn offer(
        &mut self,
        rate: f64,
        duration: Duration,
    ) -> Result<OfferedStatements, ScaleError> {
        self.run_round(duration, |elapsed, due_before, _| {
            (rate * elapsed) as u64 - due_before
        })
    }

    /// Keeps this many statements open for this duration, and waits for their answers.
    pub(super) fn keep_open(
        &mut self,
        statements: u64,
        duration: Duration,
    ) -> Result<OfferedStatements, ScaleError> {
        self.run_round(duration, |_, _, open_count| {
            statements.saturating_sub(open_count)
        })
    }

    /// Runs one round. `due` returns how many statements to send now, from the elapsed seconds, the
    /// number of statements due before, and the number that are open.
    fn run_round(
        &mut self,
        duration: Duration,
        due: impl Fn(f64, u64, u64) -> u64,
    ) -> Result<OfferedStatements, ScaleError> {
        let Clients {
            runtime,
            connections,
            counters,
            next_connection,
        } = self;
        counters.clear();
        let started_at = Instant::now();
        let (mut due_statements, mut held_back) = (0_u64, 0_u64);
        runtime.block_on(async {
            loop {
                let elapsed = started_at.elapsed().min(duration);
                let open_count = (due_statements - held_back).saturating_sub(counters.finished());
                for _ in 0..due(elapsed.as_secs_f64(), due_statements, open_count) {
                    due_statements += 1;
                    let limit_reached = (due_statements - held_back)
                        .saturating_sub(counters.finished())
                        > MAX_OPEN_STATEMENTS;
                    if limit_reached || !assign_statement(connections, next_connection) {
                        held_back += 1;
                    }
                }
                // The check at the end of the duration sends all statements still due, even if this
                // task runs late.
                if elapsed == duration {
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            let answered = async {
                while counters.finished() < due_statements - held_back {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            };
            // Statements without an answer after the timeout are counted below.
            let _ = timeout(ANSWER_TIMEOUT, answered).await;
        });
        let mut offered = counters.offered();
        offered.seconds = rounded(started_at.elapsed().as_secs_f64());
        offered.held_back = held_back;
        offered.unanswered = (due_statements - held_back).saturating_sub(offered.answered());
        Ok(offered)
    }
}

/// Assigns a statement to the next connection that has room for one; false if there is none.
fn assign_statement(connections: &[Connection], next_connection: &mut usize) -> bool {
    for _ in 0..connections.len() {
        let connection = &connections[*next_connection % connections.len()];
        *next_connection = (*next_connection + 1) % connections.len();
        if connection.open_count.load(Ordering::Relaxed) < MAX_OPEN_ON_CONNECTION
            && connection.calls.send(()).is_ok()
        {
            connection.open_count.fetch_add(1, Ordering::Relaxed);
            return true;
        }
    }
    false
}

/// The data set of a statement. Consecutive statements go through all data sets, but not in the
/// order of their numbers.
fn data_set(statement: u64) -> u64 {
    /// It has no common factor with the number of data sets.
    const STRIDE: u64 = 617;
    statement * STRIDE % u64::from(fleet::DATA_SETS)
}

/// Opens a connection, waits for the answer to a `health` call, and starts the connection's task.
async fn open_connection(
    manager: SocketAddr,
    counters: Arc<StatementCounters>,
) -> Result<Connection, ScaleError> {
    let timed_out = |_| {
        ScaleError::CheckFailed(
            "a client connection was not opened or not answered in time".to_owned(),
        )
    };
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(manager))
        .await
        .map_err(timed_out)??;
    stream.set_nodelay(true)?;
    let open_count = Arc::<AtomicUsize>::default();
    let mut session = Session::new(stream, open_count.clone(), counters);
    session.send_health_call().await?;
    timeout(CONNECT_TIMEOUT, session.read_answers())
        .await
        .map_err(timed_out)??;
    let (calls, call_receiver) = mpsc::unbounded_channel();
    tokio::spawn(session.run(call_receiver));
    Ok(Connection { calls, open_count })
}

/// State of one connection's task.
struct Session {
    stream: TcpStream,
    input: BytesMut,
    last_message_id: u64,
    last_written_at: Instant,
    /// When each open statement was sent, by message id.
    statements_open: HashMap<u64, Instant>,
    /// The same for `health` calls.
    health_calls_open: HashMap<u64, Instant>,
    open_count: Arc<AtomicUsize>,
    counters: Arc<StatementCounters>,
}

impl Session {
    fn new(
        stream: TcpStream,
        open_count: Arc<AtomicUsize>,
        counters: Arc<StatementCounters>,
    ) -> Session {
        let (statements_open, health_calls_open) = Default::default();
        let (input, last_written_at) = (BytesMut::new(), Instant::now());
        Session {
            stream,
            input,
            last_message_id: 0,
            last_written_at,
            statements_open,
            health_calls_open,
            open_count,
            counters,
        }
    }

    async fn run(mut self, mut call_receiver: mpsc::UnboundedReceiver<()>) {
        loop {
            let keep_alive_at = self.last_written_at + KEEP_ALIVE_INTERVAL;
            let result = tokio::select! {
                call = call_receiver.recv() => match call {
                    Some(()) => self.send_statement().await,
                    None => return,
                },
                read = self.read_answers() => read,
                () = sleep_until(keep_alive_at.into()) => self.send_health_call().await,
            };
            if result.is_err() {
                break;
            }
        }
        // Open statements, and those that are assigned from now on, get no answer.
        call_receiver.close();
        while call_receiver.recv().await.is_some() {
            self.counters.lost.fetch_add(1, Ordering::Relaxed);
        }
        self.counters
            .lost
            .fetch_add(self.statements_open.len() as u64, Ordering::Relaxed);
    }

    async fn send_statement(&mut self) -> Result<(), ScaleError> {
        /// Client references are unique within the process.
        static REFERENCE: AtomicU64 = AtomicU64::new(1);
        let number = REFERENCE.fetch_add(1, Ordering::Relaxed);
        let reference = format!("{number:016x}");
        let statement = format!(
            "SELECT a, b, c FROM sales_{}.orders WHERE a = 1",
            data_set(number)
        );
        let mut fields = vec![("ref", reference.as_str())];
        fields.extend(STATEMENT_FIELDS);
        self.last_message_id += 1;
        let message = messages::encode_call(
            self.last_message_id,
            CLASS,
            &fields,
            Some(statement.as_bytes()),
        );
        self.statements_open
            .insert(self.last_message_id, Instant::now());
        self.counters.sent.fetch_add(1, Ordering::Relaxed);
        self.write(&message).await
    }

    async fn send_health_call(&mut self) -> Result<(), ScaleError> {
        self.last_message_id += 1;
        self.health_calls_open
            .insert(self.last_message_id, Instant::now());
        let message = messages::encode_call(self.last_message_id, "health", &[], None);
        self.write(&message).await
    }

    async fn write(&mut self, message: &[u8]) -> Result<(), ScaleError> {
        self.last_written_at = Instant::now();
        self.stream.write_all(message).await?;
        self.counters
            .bytes_sent
            .fetch_add(message.len() as u64, Ordering::Relaxed);
        Ok(())
    }

    /// Reads the available bytes, at least one, and handles the complete answers. Dropping the
    /// future while it waits loses no data.
    async fn read_answers(&mut self) -> Result<(), ScaleError> {
        let length = self.stream.read_buf(&mut self.input).await?;
        if length == 0 {
            return Err(ScaleError::CheckFailed(
                "the manager closed a connection".to_owned(),
            ));
        }
        self.counters
            .bytes_received
            .fetch_add(length as u64, Ordering::Relaxed);
        loop {
            match messages::parse_answer(&self.input) {
                Ok((answer, length)) => {
                    let _ = self.input.split_to(length);
                    self.handle_answer(answer);
                }
                Err(ParseError::Incomplete) => return Ok(()),
                Err(ParseError::Malformed) => {
                    return Err(ScaleError::CheckFailed("an answer is malformed".to_owned()));
                }
            }
        }
    }

    fn handle_answer(&mut self, answer: messages::Answer) {
        let health = matches!(answer.kind, AnswerKind::Health(_));
        let open_calls = if health {
            &mut self.health_calls_open
        } else {
            &mut self.statements_open
        };
        match open_calls.remove(&answer.id) {
            Some(_) if health => _ = self.counters.health_answers.fetch_add(1, Ordering::Relaxed),
            Some(written_at) => {
                self.open_count.fetch_sub(1, Ordering::Relaxed);
                self.counters.record(answer.kind, written_at.elapsed());
            }
            None => _ = self.counters.stray.fetch_add(1, Ordering::Relaxed),
        }
    }
}
