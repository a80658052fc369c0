//! The core's messages and ports: requests and answers, attempts and their events, settings and
//! manual ejections.

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
    /// Arrow data in Flight frames, one message per chunk.
    Arrow,
}

/// A message on the channel that carries the remaining chunks of a streamed result. If the channel
/// closes before [`ResultChunk::End`], the result is truncated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResultChunk {
    /// The next chunk.
    Data(Bytes),
    /// The result is complete.
    End,
}

/// What a client expects a statement to return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Rows.
    Query,
    /// The number of changed rows.
    Update,
}

/// The result of a statement, in chunks that are forwarded unchanged.
#[derive(Debug)]
pub struct ResultBody {
    /// The format of the chunks.
    pub format: ResultFormat,
    /// The buffered chunks.
    pub chunks: Vec<Bytes>,
    /// The channel of the remaining chunks, if the result is too large to buffer.
    pub remaining_chunks: Option<mpsc::Receiver<ResultChunk>>,
}

impl ResultBody {
    /// Creates a result that is buffered completely.
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
    /// Rejected; the client may retry safely.
    Rejected {
        /// The delay after which the client should retry, in ms; 0 if none is advised.
        retry_after_ms: Millis,
    },
    /// Failed; the statement may have run.
    Failed(FailureReason),
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The deadline passed.
    DeadlineExceeded,
    /// An engine returned an error, an attempt was lost, the dispatcher ended the request, or the
    /// client's reference was in use.
    AttemptFailed,
}

/// The client of a request: its connection, for any client protocol.
pub trait ClientPort: Send + Sync {
    /// Receives the one final answer to a request. Must not block. The client may have disconnected
    /// already.
    fn answer(&self, id: RequestId, answer: Answer);
}

/// The key of requests that run one at a time: a hash of the key text that the client sent.
/// Requests whose texts differ but have the same hash are ordered too, which is harmless. The hash
/// is FNV-1a, so that the processes of a hot restart compute the same value even if their builds
/// differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey(NonZeroU64);

impl OrderKey {
    /// Computes the key of this text.
    pub fn new(text: &[u8]) -> OrderKey {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        let hash = text.iter().fold(OFFSET_BASIS, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
        });
        OrderKey(NonZeroU64::new(hash).unwrap_or(NonZeroU64::MIN))
    }

    /// The key as the dispatcher represents it, where 0 means no key.
    pub fn get(self) -> u64 {
        self.0.get()
    }
}

/// A request as a front end accepted it.
pub struct AcceptedRequest {
    /// The id from [`Handle::next_id`](super::Handle::next_id).
    pub id: RequestId,
    /// The client's reference, forwarded to engines unchanged.
    pub client_reference: Bytes,
    /// Its class.
    pub class: Arc<NamedClass>,
    /// The client's deadline, in Unix ms.
    pub deadline_ms: Millis,
    /// Estimated work, summed over all threads, in ms.
    pub estimated_work_ms: Option<f64>,
    /// Estimated memory in MB.
    pub estimated_memory_mb: Option<f64>,
    /// Its data set.
    pub data_set: u32,
    /// The name of its member (tenant); empty if the platform gives none.
    pub member: Bytes,
    /// The front end that accepted it.
    pub frontend: crate::retry_policy::FrontendKind,
    /// The key by which engines detect a repeated request, for classes that are idempotent with a
    /// key.
    pub idempotency_key: Option<Bytes>,
    /// The order key, for classes that are ordered by key.
    pub order_key: Option<OrderKey>,
    /// The statement.
    pub statement: Bytes,
    /// What the client expects the statement to return.
    pub statement_kind: StatementKind,
    /// Receives the answer.
    pub client: Arc<dyn ClientPort>,
}

/// Whether an attempt is cancelled. The core sets the flag, and the engine's actor checks it right
/// before it writes the attempt. So a cancellation takes effect even if its message is still
/// queued, or was dropped because the actor's mailbox was full.
#[derive(Clone, Debug, Default)]
pub struct CancellationFlag(Arc<AtomicBool>);

impl CancellationFlag {
    /// Cancels the attempt if it has not been written yet.
    pub fn cancel(&self) {
        // Relaxed ordering: the flag guards no other memory. If the actor reads it too late, the
        // cancellation message still cancels the attempt.
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether the attempt must not be written.
    pub fn is_cancelled(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// One attempt, as passed to the actor of its engine.
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
    /// The time before which the attempt must be written, in Unix ms, because engines detect a
    /// repeat only within the deduplication window. Infinite for first attempts and idempotent
    /// requests.
    pub send_before_ms: Millis,
    /// Memory to grant in MB; 0 lets the engine choose.
    pub memory_mb: f64,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// See [`AcceptedRequest::idempotency_key`].
    pub idempotency_key: Option<Bytes>,
    /// The statement.
    pub statement: Bytes,
    /// What the client expects the statement to return.
    pub statement_kind: StatementKind,
    /// Set if the attempt is cancelled before it is written.
    pub cancellation: CancellationFlag,
}

impl AttemptRequest {
    /// The end of an attempt that must not be written any more; `None` if it may be written. It
    /// must not be written once it was cancelled, its deadline has passed, or engines may no longer
    /// detect that it repeats an earlier attempt. Such an attempt never ran.
    pub fn end_if_expired_or_cancelled(&self, now: Millis) -> Option<AttemptEvent> {
        if self.cancellation.is_cancelled() || now >= self.deadline_ms {
            return Some(AttemptEvent::Cancelled(AttemptEnd::NeverSent));
        }
        (now >= self.send_before_ms).then(|| AttemptEvent::end(Outcome::NotSent))
    }
}

/// All engines, for any engine protocol. No call blocks.
pub trait EnginePort: Send {
    /// Starts an attempt. Returns false if it provably was not sent.
    fn start_attempt(&mut self, engine: EngineId, attempt: AttemptRequest) -> bool;
    /// Cancels an attempt. [`AttemptEvent::Cancelled`] follows once the cancellation is confirmed,
    /// unless the attempt ends by itself. A repeated call has no effect. If a retry may follow, the
    /// engine has to confirm that it has read the cancellation.
    fn cancel_attempt(
        &mut self,
        engine: EngineId,
        id: RequestId,
        attempt: u16,
        retry_may_follow: bool,
    );
    /// Changes the priority of an attempt in flight.
    fn set_priority(&mut self, engine: EngineId, id: RequestId, attempt: u16, priority: u8);
    /// Applies a record of an engine from the endpoint list. No new attempt may be sent to an
    /// engine that is not ready.
    fn engine_listed(&mut self, record: &EngineRecord);
    /// Removes an engine that the endpoint list no longer contains.
    fn engine_removed(&mut self, engine: EngineId);
    /// Ejects an engine manually or returns it to service. An ejected engine gets no attempts, not
    /// even those that already wait for a connection.
    fn set_manually_ejected(&mut self, engine: EngineId, ejected: bool);
}

/// An event of an attempt, reported by the actor of its engine.
#[derive(Debug)]
pub enum AttemptEvent {
    /// Progress of a running attempt; `None` is a heartbeat without figures.
    Progress(Option<Progress>),
    /// The result is too large to buffer and is streamed to the client from now on.
    ResultStreaming(ResultBody),
    /// The cancellation is confirmed.
    Cancelled(AttemptEnd),
    /// The attempt ended.
    Ended {
        /// Its outcome.
        outcome: Outcome,
        /// The work that it needed, in ms, if the engine reports it.
        measured_work_ms: Option<f64>,
        /// The memory that it needed, in MB, if the engine reports it.
        measured_memory_mb: Option<f64>,
        /// The result, if the attempt succeeded and did not stream it.
        body: Option<ResultBody>,
    },
}

impl AttemptEvent {
    /// Creates an end without a result or measurements.
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
    /// The client of a request has disconnected or no longer waits for the answer.
    ClientDisconnected(RequestId),
    /// An event of an attempt.
    Attempt {
        /// The engine.
        engine: EngineId,
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u16,
        /// The engine's load report; the default value if none was sent.
        load_report: LoadReport,
        /// What happened.
        event: AttemptEvent,
    },
    /// An update of the endpoint list.
    EndpointList(EndpointListEvent),
    /// New settings and a new retry policy, which take effect together. Requests that are ahead of
    /// this message in the mailbox are admitted under the old ones.
    Settings {
        /// The platform's settings, if they changed.
        settings: Option<Box<Settings>>,
        /// The operators' retry policy.
        policy: Arc<crate::retry_policy::Policy>,
    },
}

/// A message that is handled before those that wait in the mailbox.
pub enum PriorityMessage {
    /// The divisor of the engines' capacity, which peer processes share; see
    /// [`Event::PeerProcesses`](crate::decision::Event::PeerProcesses).
    PeerProcesses(f64),
    /// The time at which the process ends, in Unix ms. Requests that are open then are lost.
    ShutdownDeadline(Millis),
    /// Ejects an engine manually or returns it to service.
    ManualEjection {
        /// The engine.
        engine: EngineId,
        /// Whether the engine is ejected (true) or returned to service (false).
        ejected: bool,
        /// When the command was given, in Unix ms.
        at_ms: Millis,
        /// Whether a peer process forwards the command. It then applies to an engine that is not
        /// known here too.
        from_peer: bool,
        /// Receives whether the engine is known and the command was recorded, once the dispatcher
        /// is notified.
        reply: oneshot::Sender<bool>,
    },
}
