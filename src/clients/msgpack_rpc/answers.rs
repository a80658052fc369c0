//! Encodes answers and queues them until the client reads them.

use crate::clients::Frontend;
use crate::clients::msgpack;
use crate::core::{FailureReason, ResultBody};
use crate::decision::Millis;
use crate::limits::{Limits, MemoryReservation};
use crate::metrics::Metrics;
use crate::net::Outbox;
use crate::rows;
use bytes::Bytes;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Limit of the unread answers of one client, in results of the largest size. Above it, no more
/// calls are read from the client.
const MAX_UNREAD_RESULTS: u64 = 2;

/// Field of a rejection: the milliseconds that the client should wait before it sends the request
/// again.
const RETRY_AFTER_FIELD: &str = "cooldown";

/// Shortest Retry-After that is sent, in ms. A shorter one could be printed as 0.
const MIN_RETRY_AFTER_MS: Millis = 1.0;

/// The errors of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ErrorName {
    /// The request was rejected; it did not run.
    Overloaded,
    DeadlineExceeded,
    /// The request failed; it may have run.
    Internal,
    /// The method is neither a class nor the health check.
    NoMethod,
    /// The parameters are invalid.
    Argument,
}

impl ErrorName {
    /// Returns the error's name on the wire.
    fn as_str(self) -> &'static str {
        match self {
            ErrorName::Overloaded => "Overloaded",
            ErrorName::DeadlineExceeded => "DeadlineExceeded",
            ErrorName::Internal => "Internal",
            ErrorName::NoMethod => "NoMethodError",
            ErrorName::Argument => "ArgumentError",
        }
    }
}

impl From<FailureReason> for ErrorName {
    fn from(reason: FailureReason) -> ErrorName {
        match reason {
            FailureReason::DeadlineExceeded => ErrorName::DeadlineExceeded,
            FailureReason::AttemptFailed => ErrorName::Internal,
        }
    }
}

/// Why the client gets an error instead of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum UndeliverableResult {
    /// The result cannot be converted to text, or its chunks are still arriving.
    #[error("the protocol cannot carry a result of this format")]
    UnsupportedFormat,
    #[error("the result has {bytes} bytes; {limit} are allowed")]
    TooLarge { bytes: usize, limit: usize },
    #[error("the client's unread answers exceed its share of the memory for them")]
    BuffersFull,
}

/// The answers that the client of one connection has not read yet.
pub(super) struct AnswerQueue {
    outbox: Outbox,
    reservation: MemoryReservation,
    /// When the socket last accepted bytes, or the queue was last empty.
    last_progress: Instant,
    /// When the socket last accepted bytes; `None` before the first.
    last_write: Option<Instant>,
    limits: Arc<Limits>,
    metrics: Arc<Metrics>,
}

impl AnswerQueue {
    pub(super) fn new(frontend: &Frontend) -> AnswerQueue {
        AnswerQueue {
            outbox: Outbox::default(),
            reservation: MemoryReservation::new(&frontend.client_memory.answers.add_owner()),
            last_progress: Instant::now(),
            last_write: None,
            limits: frontend.limits.clone(),
            metrics: frontend.metrics.clone(),
        }
    }

    /// Writes as many bytes as the socket accepts now.
    ///
    /// # Errors
    ///
    /// Errors of the socket.
    pub(super) fn flush(&mut self, stream: &TcpStream) -> io::Result<()> {
        let written_before = self.outbox.written_bytes();
        self.outbox.flush(stream)?;
        let has_written = self.outbox.written_bytes() > written_before;
        if has_written {
            self.last_write = Some(Instant::now());
        }
        if self.outbox.is_empty() || has_written {
            self.last_progress = Instant::now();
        }
        Ok(())
    }

    /// Whether the socket has accepted part of an answer less than `time` ago.
    pub(super) fn was_written_within(&self, time: Duration) -> bool {
        self.last_write
            .is_some_and(|written_at| written_at.elapsed() < time)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.outbox.is_empty()
    }

    /// Whether so many bytes are unread that no more calls are read from the client.
    pub(super) fn is_full(&self) -> bool {
        self.outbox.unwritten_bytes() > MAX_UNREAD_RESULTS * self.limits.result_bytes as u64
    }

    /// When the connection is dropped if the client reads none of its answers until then.
    pub(super) fn write_deadline(&self) -> Instant {
        self.last_progress + self.limits.client_idle_timeout
    }

    /// Reserves memory for the queued answers, even above the limit. Returns the number of queued
    /// bytes.
    pub(super) fn update_reservation(&mut self) -> usize {
        let queued_bytes = self.outbox.unwritten_bytes() as usize;
        self.reservation.set(queued_bytes);
        queued_bytes
    }

    pub(super) fn push_health(&mut self, message_id: u64, accepts_requests: bool) {
        self.outbox
            .push(msgpack::health_answer(message_id, accepts_requests));
    }

    pub(super) fn push_error(&mut self, message_id: u64, error: ErrorName) {
        self.outbox
            .push(msgpack::error_answer(message_id, error.as_str(), None));
    }

    pub(super) fn push_rejection(&mut self, message_id: u64, retry_after_ms: Millis) {
        let retry_after = format!("{retry_after_ms:.0}");
        let field = (retry_after_ms >= MIN_RETRY_AFTER_MS)
            .then_some((RETRY_AFTER_FIELD, retry_after.as_str()));
        let name = ErrorName::Overloaded.as_str();
        self.outbox
            .push(msgpack::error_answer(message_id, name, field));
    }

    /// Queues a result in its chunks. If it cannot be delivered, an error is queued instead.
    ///
    /// # Errors
    ///
    /// If an error was queued instead of the result.
    pub(super) fn push_result(
        &mut self,
        message_id: u64,
        body: &ResultBody,
    ) -> Result<(), UndeliverableResult> {
        let chunks = self
            .deliverable_chunks(body)
            .inspect_err(|_| self.push_error(message_id, ErrorName::Internal))?;
        self.outbox
            .push(msgpack::result_head(message_id, total_bytes(&chunks)));
        for chunk in chunks {
            self.outbox.push(chunk);
        }
        self.outbox.push(msgpack::END_OF_ANSWER);
        Ok(())
    }

    /// Returns the chunks of a result as text, and reserves memory for them.
    fn deliverable_chunks(&mut self, body: &ResultBody) -> Result<Vec<Bytes>, UndeliverableResult> {
        if body.remaining_chunks.is_some() {
            return Err(UndeliverableResult::UnsupportedFormat);
        }
        let chunks = rows::to_text(body).map_err(|_| UndeliverableResult::UnsupportedFormat)?;
        let bytes = total_bytes(&chunks);
        let limit = self.limits.result_bytes;
        if bytes > limit {
            return Err(UndeliverableResult::TooLarge { bytes, limit });
        }
        // The unread answers of all clients together must not exhaust the memory.
        let queued_bytes = self.outbox.unwritten_bytes() as usize + bytes;
        if !self.reservation.set(queued_bytes) {
            self.metrics.client_over_limit.increment();
            return Err(UndeliverableResult::BuffersFull);
        }
        Ok(chunks)
    }
}

fn total_bytes(chunks: &[Bytes]) -> usize {
    chunks.iter().map(Bytes::len).sum()
}
