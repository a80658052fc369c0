//! Clients of one real workload manager: connections held open, and statements offered at an even rate or a bounded
//! number at a time.

use super::fleet;
use super::messages::{self, Unread, Verdict};
use super::row::{Failure, rounded};
use bytes::BytesMut;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout};

const CLASS: &str = "read";
/// What a client says of a statement, besides its reference.
const FIELDS: [(&str, &str); 4] = [
    ("allow", "2000"),
    ("project", "acme"),
    ("effort", "10.0"),
    ("need_mb", "8"),
];
/// A connection that has had no call for this long asks for `health`, as the manager closes it after 30 s.
const KEEP_ALIVE: Duration = Duration::from_secs(20);
/// Statements on one connection at once, as the protocol has it.
const MOST_ON_CONNECTION: usize = 32;
/// Statements open at once; past that none are offered.
const MOST_OPEN: u64 = 2_000;
/// Every statement is answered within its patience and this.
const ANSWERED_WITHIN: Duration = Duration::from_secs(10);
/// A connection is up and answered within this.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// How often the offering looks what is due.
const PACE: Duration = Duration::from_millis(1);
/// Bounds of latencies, in microseconds.
const LATENCIES: (u64, u64, u8) = (1, 60_000_000, 3);

/// What has become of statements.
#[derive(Debug)]
struct Tally {
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    lost: AtomicU64,
    stray: AtomicU64,
    health: AtomicU64,
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    latencies: Mutex<Histogram<u64>>,
}

/// What became of the statements of one round.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Offered {
    /// From the first statement to the last answer.
    pub seconds: f64,
    /// Statements written.
    pub offered: u64,
    /// Statements that were due, and not written as too many were open.
    pub held_back: u64,
    /// Answers by their verdict.
    pub served: u64,
    /// See `served`.
    pub refused: u64,
    /// See `served`.
    pub failed: u64,
    /// Statements without an answer.
    pub unanswered: u64,
    /// Answers to what was not asked, or was answered before.
    pub stray: u64,
    /// Calls of `health` that kept connections open.
    pub health_calls: u64,
    /// Bytes to and from the manager.
    pub bytes_sent: u64,
    /// See `bytes_sent`.
    pub bytes_received: u64,
    /// Half of all answers came within this, in ms.
    pub p50_ms: f64,
    /// And 99 in 100.
    pub p99_ms: f64,
}

impl Offered {
    /// Statements that have an answer.
    pub(super) fn answered(&self) -> u64 {
        self.served + self.refused + self.failed
    }
}

/// Open connections of clients; they close with this value.
pub(super) struct Clients {
    runtime: Runtime,
    connections: Vec<Connection>,
    tally: Arc<Tally>,
    /// The connection whose turn is next.
    turn: usize,
}

/// The way to one connection's task.
struct Connection {
    calls: mpsc::UnboundedSender<()>,
    open: Arc<AtomicUsize>,
}

impl Clients {
    /// Opens so many connections, each of which is told that the manager is fit.
    pub(super) fn connect(manager: SocketAddr, count: usize) -> Result<Clients, Failure> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let latencies = Histogram::new_with_bounds(LATENCIES.0, LATENCIES.1, LATENCIES.2)
            .map_err(|e| Failure::Broken(format!("latencies: {e}")))?;
        let tally = Arc::new(Tally::new(latencies));
        let mut connections = Vec::with_capacity(count);
        for _ in 0..count {
            connections.push(runtime.block_on(open(manager, tally.clone()))?);
        }
        Ok(Clients {
            runtime,
            connections,
            tally,
            turn: 0,
        })
    }

    /// Offers statements at this rate for so long, and waits for their answers.
    pub(super) fn offer(&mut self, rate: f64, lasts: Duration) -> Result<Offered, Failure> {
        self.round(lasts, |elapsed, sent, _| (rate * elapsed) as u64 - sent)
    }

    /// Keeps so many statements open for so long, and waits for their answers.
    pub(super) fn keep_open(
        &mut self,
        statements: u64,
        lasts: Duration,
    ) -> Result<Offered, Failure> {
        self.round(lasts, |_, _, open| statements.saturating_sub(open))
    }

    /// Offers what is due by the seconds elapsed, the statements due before and those open.
    fn round(
        &mut self,
        lasts: Duration,
        due: impl Fn(f64, u64, u64) -> u64,
    ) -> Result<Offered, Failure> {
        let Clients {
            runtime,
            connections,
            tally,
            turn,
        } = self;
        tally.clear();
        let begun = Instant::now();
        let (mut asked, mut held_back) = (0_u64, 0_u64);
        runtime.block_on(async {
            loop {
                let elapsed = begun.elapsed().min(lasts);
                let open = (asked - held_back).saturating_sub(tally.over());
                for _ in 0..due(elapsed.as_secs_f64(), asked, open) {
                    asked += 1;
                    let full = (asked - held_back).saturating_sub(tally.over()) > MOST_OPEN;
                    if full || !call_next(connections, turn) {
                        held_back += 1;
                    }
                }
                // What is due in all is offered, however late this task is.
                if elapsed == lasts {
                    break;
                }
                tokio::time::sleep(PACE).await;
            }
            let answered = async {
                while tally.over() < asked - held_back {
                    tokio::time::sleep(PACE).await;
                }
            };
            // What has no answer by then is counted below.
            let _ = timeout(ANSWERED_WITHIN, answered).await;
        });
        let mut offered = tally.offered();
        offered.seconds = rounded(begun.elapsed().as_secs_f64());
        offered.held_back = held_back;
        offered.unanswered = (asked - held_back).saturating_sub(offered.answered());
        Ok(offered)
    }
}

/// Gives a statement to the next connection in turn that has room; false where none has.
fn call_next(connections: &[Connection], turn: &mut usize) -> bool {
    for _ in 0..connections.len() {
        let connection = &connections[*turn % connections.len()];
        *turn = (*turn + 1) % connections.len();
        if connection.open.load(Ordering::Relaxed) < MOST_ON_CONNECTION
            && connection.calls.send(()).is_ok()
        {
            connection.open.fetch_add(1, Ordering::Relaxed);
            return true;
        }
    }
    false
}

impl Tally {
    fn new(latencies: Histogram<u64>) -> Tally {
        let count = AtomicU64::default;
        Tally {
            sent: count(),
            served: count(),
            refused: count(),
            failed: count(),
            lost: count(),
            stray: count(),
            health: count(),
            bytes_sent: count(),
            bytes_received: count(),
            latencies: Mutex::new(latencies),
        }
    }

    fn all(&self) -> [&AtomicU64; 9] {
        let Tally {
            sent,
            served,
            refused,
            failed,
            lost,
            stray,
            health,
            bytes_sent,
            bytes_received,
            ..
        } = self;
        [
            sent,
            served,
            refused,
            failed,
            lost,
            stray,
            health,
            bytes_sent,
            bytes_received,
        ]
    }

    fn clear(&self) {
        self.all()
            .iter()
            .for_each(|count| count.store(0, Ordering::Relaxed));
        self.latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .reset();
    }

    /// Statements that are answered, or never will be.
    fn over(&self) -> u64 {
        [&self.served, &self.refused, &self.failed, &self.lost]
            .iter()
            .map(|c| c.load(Ordering::Relaxed))
            .sum()
    }

    fn count(&self, verdict: Verdict, latency: Duration) {
        let count = match verdict {
            Verdict::Served => &self.served,
            Verdict::Refused => &self.refused,
            Verdict::Failed | Verdict::Health(_) => &self.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
        let mut latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        latencies.saturating_record(latency.as_micros() as u64);
    }

    fn offered(&self) -> Offered {
        let [
            sent,
            served,
            refused,
            failed,
            _,
            stray,
            health,
            bytes_sent,
            bytes_received,
        ] = self.all().map(|count| count.load(Ordering::Relaxed));
        let latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let within_ms = |share: f64| latencies.value_at_quantile(share) as f64 / 1000.0;
        Offered {
            offered: sent,
            served,
            refused,
            failed,
            stray,
            health_calls: health,
            bytes_sent,
            bytes_received,
            p50_ms: rounded(within_ms(0.5)),
            p99_ms: rounded(within_ms(0.99)),
            ..Offered::default()
        }
    }
}

/// The data set of a statement: all in turn, in an order that is not that of their numbers.
fn data_set(statement: u64) -> u64 {
    /// Shares no factor with the number of data sets.
    const STRIDE: u64 = 617;
    statement * STRIDE % u64::from(fleet::DATA_SETS)
}

/// Opens a connection whose first call is answered, and starts its task.
async fn open(manager: SocketAddr, tally: Arc<Tally>) -> Result<Connection, Failure> {
    let late = |_| Failure::Broken("a client connection was not answered in time".to_owned());
    let stream = timeout(READY_WITHIN, TcpStream::connect(manager))
        .await
        .map_err(late)??;
    stream.set_nodelay(true)?;
    let open = Arc::<AtomicUsize>::default();
    let mut session = Session::new(stream, open.clone(), tally);
    session.ask_health().await?;
    timeout(READY_WITHIN, session.hear())
        .await
        .map_err(late)??;
    let (calls, called) = mpsc::unbounded_channel();
    tokio::spawn(session.run(called));
    Ok(Connection { calls, open })
}

/// One connection's task.
struct Session {
    stream: TcpStream,
    input: BytesMut,
    last: u64,
    spoke: Instant,
    /// When each open statement was written.
    written: HashMap<u64, Instant>,
    /// The same for calls of `health`.
    health_asked: HashMap<u64, Instant>,
    open: Arc<AtomicUsize>,
    tally: Arc<Tally>,
}

impl Session {
    fn new(stream: TcpStream, open: Arc<AtomicUsize>, tally: Arc<Tally>) -> Session {
        let (written, health_asked) = Default::default();
        let (input, spoke) = (BytesMut::new(), Instant::now());
        Session {
            stream,
            input,
            last: 0,
            spoke,
            written,
            health_asked,
            open,
            tally,
        }
    }

    async fn run(mut self, mut called: mpsc::UnboundedReceiver<()>) {
        loop {
            let quiet = self.spoke + KEEP_ALIVE;
            let done = tokio::select! {
                call = called.recv() => match call {
                    Some(()) => self.ask().await,
                    None => return,
                },
                heard = self.hear() => heard,
                () = sleep_until(quiet.into()) => self.ask_health().await,
            };
            if done.is_err() {
                break;
            }
        }
        // What was open, or comes yet, has no answer.
        called.close();
        while called.recv().await.is_some() {
            self.tally.lost.fetch_add(1, Ordering::Relaxed);
        }
        self.tally
            .lost
            .fetch_add(self.written.len() as u64, Ordering::Relaxed);
    }

    async fn ask(&mut self) -> Result<(), Failure> {
        /// References are unique to a process.
        static REFERENCE: AtomicU64 = AtomicU64::new(1);
        let number = REFERENCE.fetch_add(1, Ordering::Relaxed);
        let reference = format!("{number:016x}");
        let statement = format!(
            "SELECT a, b, c FROM sales_{}.orders WHERE a = 1",
            data_set(number)
        );
        let mut fields = vec![("ref", reference.as_str())];
        fields.extend(FIELDS);
        self.last += 1;
        let text = messages::call(self.last, CLASS, &fields, Some(statement.as_bytes()));
        self.written.insert(self.last, Instant::now());
        self.tally.sent.fetch_add(1, Ordering::Relaxed);
        self.write(&text).await
    }

    async fn ask_health(&mut self) -> Result<(), Failure> {
        self.last += 1;
        self.health_asked.insert(self.last, Instant::now());
        let text = messages::call(self.last, "health", &[], None);
        self.write(&text).await
    }

    async fn write(&mut self, text: &[u8]) -> Result<(), Failure> {
        self.spoke = Instant::now();
        self.stream.write_all(text).await?;
        self.tally
            .bytes_sent
            .fetch_add(text.len() as u64, Ordering::Relaxed);
        Ok(())
    }

    /// Reads what has come, at least one byte. It loses nothing where it is dropped while it waits.
    async fn hear(&mut self) -> Result<(), Failure> {
        let length = self.stream.read_buf(&mut self.input).await?;
        if length == 0 {
            return Err(Failure::Broken(
                "the manager closed a connection".to_owned(),
            ));
        }
        self.tally
            .bytes_received
            .fetch_add(length as u64, Ordering::Relaxed);
        loop {
            match messages::answer(&self.input) {
                Ok((answer, length)) => {
                    let _ = self.input.split_to(length);
                    self.answered(answer);
                }
                Err(Unread::Partial) => return Ok(()),
                Err(Unread::Malformed) => {
                    return Err(Failure::Broken("an answer that cannot be read".to_owned()));
                }
            }
        }
    }

    fn answered(&mut self, answer: messages::Answer) {
        let health = matches!(answer.verdict, Verdict::Health(_));
        let asked = if health {
            &mut self.health_asked
        } else {
            &mut self.written
        };
        match asked.remove(&answer.id) {
            Some(_) if health => _ = self.tally.health.fetch_add(1, Ordering::Relaxed),
            Some(written) => {
                self.open.fetch_sub(1, Ordering::Relaxed);
                self.tally.count(answer.verdict, written.elapsed());
            }
            None => _ = self.tally.stray.fetch_add(1, Ordering::Relaxed),
        }
    }
}
