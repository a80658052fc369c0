//! What passes between the core and its peers: requests and answers, attempts and their news, orders of staff.

use crate::attempt::AttemptEnd;
use crate::decision::{EngineId, LoadReport, Millis, Outcome, Progress, RequestId, Settings};
use crate::node_config::{EndpointListEvent, EngineRecord};
use crate::settings_json::NamedClass;
use bytes::Bytes;
use std::num::NonZeroU64;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::{mpsc, oneshot};

/// In which form the pieces of a result stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultFormat {
    /// Rows as text: a tab between columns, a line feed after each row.
    Text,
    /// Arrow data as the Flight format frames it, one message a piece.
    Arrow,
}

/// What follows of a result that streams. A channel that closes without [`ResultChunk::End`] is a result cut off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResultChunk {
    /// The next piece.
    Data(Bytes),
    /// All pieces have come.
    End,
}

/// What a statement is to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Rows are wanted.
    Query,
    /// A count of changed rows is wanted.
    Update,
}

/// A result, in pieces that pass on unchanged.
#[derive(Debug)]
pub struct ResultBody {
    /// Their form.
    pub format: ResultFormat,
    /// The pieces held.
    pub chunks: Vec<Bytes>,
    /// Further pieces of a result too large to hold.
    pub remaining_chunks: Option<mpsc::Receiver<ResultChunk>>,
}

impl ResultBody {
    /// A result that is held whole.
    pub fn complete(form: ResultFormat, pieces: Vec<Bytes>) -> ResultBody {
        ResultBody {
            format: form,
            chunks: pieces,
            remaining_chunks: None,
        }
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// Served, with the result as the engine gave it.
    Served(ResultBody),
    /// Refused: trying again is harmless. The client may come back after this many milliseconds, if any.
    Rejected {
        /// Advice to stay away this long; 0 for none.
        retry_after_ms: Millis,
    },
    /// Failed; it may have run.
    Failed(FailureReason),
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// Its client's deadline.
    DeadlineExceeded,
    /// Anything else: an engine's error, a lost attempt, a module that gave it up.
    AttemptFailed,
}

/// Where answers go: a client's connection, of whatever protocol.
pub trait ClientPort: Send + Sync {
    /// Takes the one final answer. It must not block; whether the client still is there is its own matter.
    fn answer(&self, id: RequestId, answer: Answer);
}

/// Names the requests of one key among all that keep order: a hash of the client's text, which any front may take.
/// Two texts with one hash run in turn as well, which keeps every rule. The hash is FNV-1a, so that the processes of an
/// upgrade, which may be of two builds, name a key alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey(NonZeroU64);

impl OrderKey {
    /// The key of this text.
    pub fn new(text: &[u8]) -> OrderKey {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        let hash = text.iter().fold(OFFSET_BASIS, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
        });
        OrderKey(NonZeroU64::new(hash).unwrap_or(NonZeroU64::MIN))
    }

    /// The module's form of it, in which 0 stands for a request without a key.
    pub fn get(self) -> u64 {
        self.0.get()
    }
}

/// A request as a front took it.
pub struct AcceptedRequest {
    /// The id that the core's handle gave out.
    pub id: RequestId,
    /// The client's own name for it: passed to engines unchanged.
    pub client_reference: Bytes,
    /// Its class.
    pub class: Arc<NamedClass>,
    /// Unix time in ms at which the client gives up.
    pub deadline_ms: Millis,
    /// Estimated work over all threads.
    pub estimated_work_ms: Option<f64>,
    /// Estimated memory in MB.
    pub estimated_memory_mb: Option<f64>,
    /// Its group of tables.
    pub data_set: u32,
    /// Its member's name; empty where the platform names none.
    pub member: Bytes,
    /// The front that it came over.
    pub frontend: crate::retry_policy::FrontendKind,
    /// The key by which engines tell a repeat of it, where its class may be repeated by key.
    pub idempotency_key: Option<Bytes>,
    /// The key whose requests run one at a time, where its class keeps order.
    pub order_key: Option<OrderKey>,
    /// The statement.
    pub statement: Bytes,
    /// What its client wants of it.
    pub statement_kind: StatementKind,
    /// Where its answer goes.
    pub client: Arc<dyn ClientPort>,
}

/// Whether an attempt was given up: shared by the core and the actor that is to write the attempt, which reads it just
/// before. So a client that has left is heeded also where the order that says so waits in a mailbox, or found it full.
#[derive(Clone, Debug, Default)]
pub struct CancellationFlag(Arc<AtomicBool>);

impl CancellationFlag {
    /// The attempt is not to begin any more.
    pub fn cancel(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether it is not to begin any more.
    pub fn is_cancelled(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// One attempt, for an engine.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The core's id of the request.
    pub id: RequestId,
    /// Which attempt.
    pub attempt: u16,
    /// The client's name for the request.
    pub client_reference: Bytes,
    /// Its class.
    pub class: Arc<NamedClass>,
    /// Unix time in ms at which the attempt is over.
    pub deadline_ms: Millis,
    /// Unix time in ms from which it may not be written any more, as engines drop a repeat only for a while; infinite
    /// where it is none, or may be repeated at any time.
    pub send_before_ms: Millis,
    /// Memory to grant in MB; 0 for the engine's choice.
    pub memory_mb: f64,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// See [`AcceptedRequest::idempotency_key`].
    pub idempotency_key: Option<Bytes>,
    /// The statement.
    pub statement: Bytes,
    /// What its client wants of it.
    pub statement_kind: StatementKind,
    /// Whether it was given up meanwhile.
    pub cancellation: CancellationFlag,
}

impl AttemptRequest {
    /// Why it may not be written any more, if so: it was given up, its request's time is over, or engines may have
    /// forgotten the attempt that it repeats. It never ran then.
    pub fn expired(&self, now: Millis) -> Option<AttemptEvent> {
        if self.cancellation.is_cancelled() || now >= self.deadline_ms {
            return Some(AttemptEvent::Cancelled(AttemptEnd::NeverSent));
        }
        (now >= self.send_before_ms).then(|| AttemptEvent::end(Outcome::NotSent))
    }
}

/// Where attempts go: all engines, of whatever protocol. No call blocks.
pub trait EnginePort: Send {
    /// Starts an attempt; false where it provably was not sent.
    fn start_attempt(&mut self, engine: EngineId, ask: AttemptRequest) -> bool;
    /// Gives an attempt up. [`AttemptEvent::Cancelled`] comes back once that is proven, unless an end of its own does;
    /// given twice it is done once. Where another attempt may follow, `again`, the proof is that the engine has read it.
    fn cancel_attempt(&mut self, engine: EngineId, id: RequestId, attempt: u16, again: bool);
    /// Names a new priority for an attempt that is out.
    fn set_priority(&mut self, engine: EngineId, id: RequestId, attempt: u16, priority: u8);
    /// What the list says of an engine: nothing new may go where it is not ready.
    fn engine_listed(&mut self, line: &EngineRecord);
    /// The list names it no longer.
    fn engine_removed(&mut self, engine: EngineId);
    /// Staff took it out, or gave it back: nothing new, not even what waits for a connection.
    fn set_manually_ejected(&mut self, engine: EngineId, out: bool);
}

/// What an engine's actor tells the core of an attempt.
#[derive(Debug)]
pub enum AttemptEvent {
    /// A running attempt's note, or a mere sign of life.
    Progress(Option<Progress>),
    /// The result outgrew what is held and streams to the client from now on.
    ResultStreaming(ResultBody),
    /// What was given up is proven over.
    Cancelled(AttemptEnd),
    /// The end of an attempt.
    Ended {
        /// How.
        outcome: Outcome,
        /// The work it needed, where told.
        measured_work_ms: Option<f64>,
        /// The memory it needed in MB, where told.
        measured_memory_mb: Option<f64>,
        /// The result, where it ended well and did not stream.
        body: Option<ResultBody>,
    },
}

impl AttemptEvent {
    /// An end that brings neither a result nor figures.
    pub fn end(outcome: Outcome) -> AttemptEvent {
        AttemptEvent::Ended {
            outcome,
            measured_work_ms: None,
            measured_memory_mb: None,
            body: None,
        }
    }
}

/// What comes into the core's mailbox.
pub enum CoreMessage {
    /// A client's request.
    Request(AcceptedRequest),
    /// The client of a request left or no longer waits.
    ClientDisconnected(RequestId),
    /// News of an attempt.
    Attempt {
        /// Which engine.
        engine: EngineId,
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u16,
        /// The engine's load report, if one came along.
        load_report: LoadReport,
        /// The news.
        event: AttemptEvent,
    },
    /// An event of the list.
    EndpointList(EndpointListEvent),
    /// New settings and policy of attempts, swapped together: in the mailbox's order, so that what came under the
    /// old ones is taken under them.
    Settings {
        /// The platform's settings, where they changed.
        settings: Option<Box<Settings>>,
        /// The operators' policy of attempts.
        policy: Arc<crate::retry_policy::Policy>,
    },
}

/// What overtakes the mailbox.
pub enum PriorityMessage {
    /// Another process of this workload manager works beside this one, or no longer; see [`PeerProcesses`](crate::decision::Event::PeerProcesses).
    PeerProcesses(f64),
    /// The process is ended at this Unix time in ms: what is not answered by then is lost.
    ShutdownDeadline(Millis),
    /// Staff take an engine out, or give it back.
    ManualEjection {
        /// Which engine.
        engine: EngineId,
        /// Taken out, or given back.
        ejected: bool,
        /// Unix time in ms at which it was said.
        at_ms: Millis,
        /// It was said elsewhere, and holds for an engine that is not known here too.
        from_peer: bool,
        /// Whether it was known, once the module has it.
        done: oneshot::Sender<bool>,
    },
}
