//! The state of one client connection that its calls, its socket and the task that serves it share:
//! its slot, and the answers that are not written yet.
//!
//! The gRPC server takes a whole answer before it can write it: HTTP/2 flow control holds back what
//! the client does not read. So whether an answer was written is seen from the frames on the
//! socket. While one is not, the connection counts as busy: it is neither evicted nor closed by a
//! drain, and a graceful shutdown waits for it. A client that reads nothing is detected here.

use super::frame_scanner::{FrameHeader, FrameKind};
use crate::clients::Frontend;
use crate::clients::connection_slots::ConnectionSlot;
use crate::clients::pending::PendingGuard;
use crate::limits::{MemoryOwner, MemoryReservation};
use crate::metrics::Metrics;
use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Number of streams reset by the client that are remembered, because the first frame of an answer
/// may still be on its way to the socket.
const REMEMBERED_RESETS: usize = 128;

/// A client connection.
pub(super) struct ClientConnection {
    pub(super) slot: ConnectionSlot,
    /// The owner of what the client has sent.
    pub(super) request_memory: Arc<MemoryOwner>,
    /// The owner of the answers that the client has not read.
    pub(super) answer_memory: Arc<MemoryOwner>,
    answers: Mutex<UnwrittenAnswers>,
    metrics: Arc<Metrics>,
}

/// The answers of a connection that are not written completely.
struct UnwrittenAnswers {
    /// The streams whose answers have begun on the socket and have not ended. Their number is
    /// limited by the number of streams that a client may have open.
    streams: HashSet<u32>,
    /// The streams that the client has reset last.
    reset_streams: VecDeque<u32>,
    /// Number of answers whose next part has to come from the engine.
    waiting_for_engine: usize,
    /// Whether the socket accepts no more bytes now.
    write_blocked: bool,
    /// Bytes of answers that were passed to the gRPC server and are not written.
    unwritten_bytes: usize,
    reservation: MemoryReservation,
    /// When the last part of an answer was written or became available.
    last_progress: Instant,
    /// Present while an answer is not written.
    pending: Option<PendingGuard>,
}

impl UnwrittenAnswers {
    fn is_busy(&self) -> bool {
        self.write_blocked || !self.streams.is_empty()
    }

    /// Whether the next step is the client's: it has to read before more can be written.
    fn waits_for_client(&self) -> bool {
        self.write_blocked || self.streams.len() > self.waiting_for_engine
    }

    fn frame_written(&mut self, frame: FrameHeader) {
        match frame.kind {
            FrameKind::Headers if !self.reset_streams.contains(&frame.stream) => {
                self.streams.insert(frame.stream);
            }
            FrameKind::Data => {
                self.unwritten_bytes = self.unwritten_bytes.saturating_sub(frame.payload_bytes);
            }
            FrameKind::ResetStream => {
                self.streams.remove(&frame.stream);
            }
            FrameKind::Headers | FrameKind::Other => {}
        }
        if frame.ends_stream {
            self.streams.remove(&frame.stream);
        }
        if frame.kind != FrameKind::Other {
            self.last_progress = Instant::now();
        }
    }

    fn frame_read(&mut self, frame: FrameHeader) {
        if frame.kind != FrameKind::ResetStream {
            return;
        }
        self.streams.remove(&frame.stream);
        if self.reset_streams.len() == REMEMBERED_RESETS {
            self.reset_streams.pop_front();
        }
        self.reset_streams.push_back(frame.stream);
    }
}

impl ClientConnection {
    pub(super) fn new(slot: ConnectionSlot, frontend: &Frontend) -> Arc<ClientConnection> {
        let answer_memory = frontend.client_memory.answers.add_owner();
        let answers = UnwrittenAnswers {
            streams: HashSet::new(),
            reset_streams: VecDeque::new(),
            waiting_for_engine: 0,
            write_blocked: false,
            unwritten_bytes: 0,
            reservation: MemoryReservation::new(&answer_memory),
            last_progress: Instant::now(),
            pending: None,
        };
        Arc::new(ClientConnection {
            slot,
            request_memory: frontend.client_memory.requests.add_owner(),
            answer_memory,
            answers: Mutex::new(answers),
            metrics: frontend.metrics.clone(),
        })
    }

    fn answers(&self) -> MutexGuard<'_, UnwrittenAnswers> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state of the answers, and records in the slot whether the connection is busy.
    fn update(&self, change: impl FnOnce(&mut UnwrittenAnswers)) {
        let mut answers = self.answers();
        let was_busy = answers.is_busy();
        change(&mut answers);
        let is_busy = answers.is_busy();
        if is_busy && !was_busy {
            answers.pending = Some(PendingGuard::new(&self.metrics));
            self.slot.request_opened();
        }
        if was_busy && !is_busy {
            // The answers of streams that were reset are never written.
            answers.unwritten_bytes = 0;
            // The slot first: if it is asked to close now, a shutdown must not see it as idle.
            self.slot.request_closed();
            answers.pending = None;
        }
        let bytes = answers.unwritten_bytes;
        // The memory was reserved within the limit when the answer arrived.
        answers.reservation.set(bytes);
    }

    /// Records that a frame was written to the socket.
    pub(super) fn frame_written(&self, frame: FrameHeader) {
        self.update(|answers| answers.frame_written(frame));
    }

    /// Records that a frame was read from the socket.
    pub(super) fn frame_read(&self, frame: FrameHeader) {
        self.update(|answers| answers.frame_read(frame));
    }

    /// Records whether the socket accepts no more bytes now.
    pub(super) fn set_write_blocked(&self, write_blocked: bool) {
        self.update(|answers| answers.write_blocked = write_blocked);
    }

    /// Records that a part of an answer was passed to the gRPC server.
    pub(super) fn add_unwritten_bytes(&self, bytes: usize) {
        self.update(|answers| answers.unwritten_bytes += bytes);
    }

    /// Records that one more answer waits for its engine.
    pub(super) fn begin_engine_wait(&self) {
        self.update(|answers| answers.waiting_for_engine += 1);
    }

    /// Records that one answer less waits for its engine.
    pub(super) fn end_engine_wait(&self) {
        self.update(|answers| {
            answers.waiting_for_engine -= 1;
            answers.last_progress = Instant::now();
        });
    }

    /// Resolves once an answer waits for the client, and nothing was written for `max_silence`.
    pub(super) async fn stalled(&self, max_silence: Duration) {
        loop {
            let due = self.stall_due(max_silence);
            if due.is_some_and(|due| due <= Instant::now()) {
                return;
            }
            sleep_until(due.unwrap_or_else(|| Instant::now() + max_silence)).await;
        }
    }

    /// When the connection counts as stalled if nothing is written until then.
    fn stall_due(&self, max_silence: Duration) -> Option<Instant> {
        let answers = self.answers();
        let due = answers.last_progress + max_silence;
        answers.waits_for_client().then_some(due)
    }
}

#[cfg(test)]
mod tests;
