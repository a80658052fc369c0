//! The core's messages and ports: requests and answers, attempts and their events, settings and manual ejections.

use crate::attempt::AttemptEnd;
use crate::decision::{EngineId, LoadReport, Millis, Outcome, Progress, RequestId, Settings};
use crate::node_config::{EndpointListEvent, EngineRecord};
use crate::settings_json::NamedClass;
use bytes::Bytes;
use std::num::NonZeroU64;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::{mpsc, oneshot};

/// The format of a result's chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultFormat {
    /// Rows as text: a tab between columns, a line feed after each row.
    Text,
    /// Arrow data in Flight frames, one message a chunk.
    Arrow,
}

/// The further chunks of a streamed result. A channel that closes without [`ResultChunk::End`] is a truncated result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResultChunk {
    /// The next chunk.
    Data(Bytes),
    /// The result is complete.
    End,
}

/// What a client expects of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Rows.
    Query,
    /// The number of changed rows.
    Update,
}

/// A result, in chunks that are forwarded unchanged.
#[derive(Debug)]
pub struct ResultBody {
    /// The format of the chunks.
    pub format: ResultFormat,
    /// The buffered chunks.
    pub chunks: Vec<Bytes>,
    /// Further chunks of a result that is too large to buffer.
    pub remaining_chunks: Option<mpsc::Receiver<ResultChunk>>,
}

impl ResultBody {
    /// A completely buffered result.
    pub fn complete(format: ResultFormat, chunks: Vec<Bytes>) -> ResultBody {
        ResultBody {
            format,
            chunks,
            remaining_chunks: None,
        }
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// Served, with the engine's result.
    Served(ResultBody),
    /// Rejected: a retry is harmless.
    Rejected {
        /// When the client should retry, in ms; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// Failed; it may have run.
    Failed(FailureReason),
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The deadline passed.
    DeadlineExceeded,
    /// An engine's error, a lost attempt, or a request that the dispatcher dropped.
    AttemptFailed,
}

/// The client of a request: its connection, of any protocol.
pub trait ClientPort: Send + Sync {
    /// Takes the one final answer. Must not block. The client may have disconnected.
    fn answer(&self, id: RequestId, answer: Answer);
}

/// The key of requests that run one at a time: a hash of the client's text. Two texts with the same hash are ordered
/// among each other, which is harmless. The hash is FNV-1a, so that the processes of a hot restart agree on it, even if
/// their builds differ.
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

    /// The dispatcher's form of the key, in which 0 stands for no key.
    pub fn get(self) -> u64 {
        self.0.get()
    }
}

/// A request as a front end accepted it.
pub struct AcceptedRequest {
    /// The id that the core's handle gave out.
    pub id: RequestId,
    /// The client's reference, forwarded to engines unchanged.
    pub client_reference: Bytes,
    /// Its class.
    pub class: Arc<NamedClass>,
    /// The client's deadline, in Unix ms.
    pub deadline_ms: Millis,
    /// Estimated work over all threads, in ms.
    pub estimated_work_ms: Option<f64>,
    /// Estimated memory in MB.
    pub estimated_memory_mb: Option<f64>,
    /// Its data set.
    pub data_set: u32,
    /// The name of its member (tenant); empty where the platform names none.
    pub member: Bytes,
    /// The front end that accepted it.
    pub frontend: crate::retry_policy::FrontendKind,
    /// The key by which engines recognize a repeat, for classes that are idempotent with a key.
    pub idempotency_key: Option<Bytes>,
    /// The order key, for classes that are ordered by key.
    pub order_key: Option<OrderKey>,
    /// The statement.
    pub statement: Bytes,
    /// What its client expects of it.
    pub statement_kind: StatementKind,
    /// Gets the answer.
    pub client: Arc<dyn ClientPort>,
}

/// Whether an attempt is cancelled: shared by the core and the actor that is to write the attempt, which checks it just
/// before. The cancellation takes effect even if its message still waits in a mailbox or found it full.
#[derive(Clone, Debug, Default)]
pub struct CancellationFlag(Arc<AtomicBool>);

impl CancellationFlag {
    /// Cancels the attempt, if it has not begun.
    pub fn cancel(&self) {
        // The flag publishes no other memory; a late read is covered by the cancellation message.
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether the attempt must not begin.
    pub fn is_cancelled(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// One attempt, for an engine.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The core's id of the request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u16,
    /// The client's reference.
    pub client_reference: Bytes,
    /// Its class.
    pub class: Arc<NamedClass>,
    /// The deadline of the attempt, in Unix ms.
    pub deadline_ms: Millis,
    /// The time from which it may not be written, in Unix ms, as engines recognize a repeat only for a while. Infinite
    /// for first attempts and idempotent requests.
    pub send_before_ms: Millis,
    /// Memory to grant in MB; 0 for the engine's choice.
    pub memory_mb: f64,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// See [`AcceptedRequest::idempotency_key`].
    pub idempotency_key: Option<Bytes>,
    /// The statement.
    pub statement: Bytes,
    /// What its client expects of it.
    pub statement_kind: StatementKind,
    /// Whether it was cancelled meanwhile.
    pub cancellation: CancellationFlag,
}

impl AttemptRequest {
    /// The end of an attempt that may not be written any more: it was cancelled, its deadline passed, or engines may
    /// have forgotten the attempt that it repeats. It never ran then.
    pub fn expired(&self, now: Millis) -> Option<AttemptEvent> {
        if self.cancellation.is_cancelled() || now >= self.deadline_ms {
            return Some(AttemptEvent::Cancelled(AttemptEnd::NeverSent));
        }
        (now >= self.send_before_ms).then(|| AttemptEvent::end(Outcome::NotSent))
    }
}

/// All engines, of any protocol. No call blocks.
pub trait EnginePort: Send {
    /// Starts an attempt; false where it provably was not sent.
    fn start_attempt(&mut self, engine: EngineId, attempt: AttemptRequest) -> bool;
    /// Cancels an attempt. [`AttemptEvent::Cancelled`] follows once that is confirmed, unless the attempt ends by
    /// itself; a repeated call has no effect. Where a retry may follow, the engine has to confirm that it has read the
    /// cancellation.
    fn cancel_attempt(
        &mut self,
        engine: EngineId,
        id: RequestId,
        attempt: u16,
        retry_may_follow: bool,
    );
    /// Changes the priority of an attempt in flight.
    fn set_priority(&mut self, engine: EngineId, id: RequestId, attempt: u16, priority: u8);
    /// The endpoint list has a record of an engine. No new attempt may be sent to one that is not ready.
    fn engine_listed(&mut self, record: &EngineRecord);
    /// The endpoint list has no record of an engine any more.
    fn engine_removed(&mut self, engine: EngineId);
    /// Ejects an engine manually or returns it. An ejected engine gets no attempts, not even those that wait for a
    /// connection.
    fn set_manually_ejected(&mut self, engine: EngineId, ejected: bool);
}

/// What an engine's actor reports of an attempt.
#[derive(Debug)]
pub enum AttemptEvent {
    /// The progress of a running attempt; without figures it is a heartbeat.
    Progress(Option<Progress>),
    /// The result is too large to buffer and streams to the client from now on.
    ResultStreaming(ResultBody),
    /// The cancellation is confirmed.
    Cancelled(AttemptEnd),
    /// The attempt ended.
    Ended {
        /// Its outcome.
        outcome: Outcome,
        /// The work that it needed, in ms, where reported.
        measured_work_ms: Option<f64>,
        /// The memory that it needed, in MB, where reported.
        measured_memory_mb: Option<f64>,
        /// The result, where it succeeded and did not stream.
        body: Option<ResultBody>,
    },
}

impl AttemptEvent {
    /// An end without a result or measurements.
    pub fn end(outcome: Outcome) -> AttemptEvent {
        AttemptEvent::Ended {
            outcome,
            measured_work_ms: None,
            measured_memory_mb: None,
            body: None,
        }
    }
}

/// A message in the core's mailbox.
pub enum CoreMessage {
    /// A client's request.
    Request(AcceptedRequest),
    /// The client of a request disconnected or no longer waits.
    ClientDisconnected(RequestId),
    /// An event of an attempt.
    Attempt {
        /// The engine.
        engine: EngineId,
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u16,
        /// The engine's load report; the default where none was sent.
        load_report: LoadReport,
        /// What happened.
        event: AttemptEvent,
    },
    /// An update of the endpoint list.
    EndpointList(EndpointListEvent),
    /// New settings and retry policy, replaced together and in the order of the mailbox: earlier requests are admitted
    /// under the old ones.
    Settings {
        /// The platform's settings, where they changed.
        settings: Option<Box<Settings>>,
        /// The operators' retry policy.
        policy: Arc<crate::retry_policy::Policy>,
    },
}

/// A message that overtakes the mailbox.
pub enum PriorityMessage {
    /// The divisor of the engines' capacity, shared with peer processes; see [`PeerProcesses`](crate::decision::Event::PeerProcesses).
    PeerProcesses(f64),
    /// The process ends at this time, in Unix ms; requests that are open then are lost.
    ShutdownDeadline(Millis),
    /// Ejects an engine manually, or returns it.
    ManualEjection {
        /// The engine.
        engine: EngineId,
        /// Ejected, or returned.
        ejected: bool,
        /// When it was ordered, in Unix ms.
        at_ms: Millis,
        /// A peer process passes it on, so it holds for an engine that is not known here too.
        from_peer: bool,
        /// Gets whether the engine was known, once the dispatcher is notified.
        reply: oneshot::Sender<bool>,
    },
}
