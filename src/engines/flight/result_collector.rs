//! Collects the result of a query as it arrives. A small result is buffered until it is complete. A
//! result that exceeds the buffer size is streamed to the client.

use super::attempt_failure::AttemptFailure;
use super::engine_link::EngineLink;
use crate::core::{AttemptEvent, ResultBody, ResultChunk, ResultFormat};
use crate::engines::context::AttemptId;
use crate::limits::MemoryReservation;
use bytes::Bytes;
use tokio::sync::mpsc;

/// Where the chunks of a result go.
enum Destination {
    /// To memory, while the result is small.
    Buffer(Vec<Bytes>),
    /// To the client, as they arrive.
    Stream(mpsc::Sender<ResultChunk>),
}

/// Collects one result.
pub(super) struct ResultCollector<'a> {
    link: &'a EngineLink,
    attempt: AttemptId,
    destination: Destination,
    /// Size of all chunks received so far, in bytes.
    total_bytes: usize,
    reservation: MemoryReservation,
}

impl<'a> ResultCollector<'a> {
    pub(super) fn new(link: &'a EngineLink, attempt: AttemptId) -> ResultCollector<'a> {
        ResultCollector {
            link,
            attempt,
            destination: Destination::Buffer(Vec::new()),
            total_bytes: 0,
            reservation: MemoryReservation::new(&link.context().partial_results.add_owner()),
        }
    }

    /// Adds one chunk. While the result is streamed, this waits until the client can receive the
    /// chunk.
    ///
    /// # Errors
    /// Fails if the client of a streamed result has disconnected, or if the memory for incomplete
    /// results is exhausted.
    pub(super) async fn push(&mut self, chunk: Bytes) -> Result<(), AttemptFailure> {
        self.total_bytes += chunk.len();
        let buffer = match &mut self.destination {
            Destination::Stream(stream) => {
                let sent = stream.send(ResultChunk::Data(chunk)).await;
                return sent.map_err(|_| AttemptFailure::ClientDisconnected);
            }
            Destination::Buffer(buffer) => buffer,
        };
        buffer.push(chunk);
        if !self.reservation.set(self.total_bytes) {
            return Err(AttemptFailure::ResultMemoryExhausted);
        }
        if self.total_bytes > self.link.context().limits.flight_buffered_bytes {
            self.switch_to_streaming().await;
        }
        Ok(())
    }

    /// Passes the buffered chunks on to the client, which receives the remaining ones as they
    /// arrive.
    async fn switch_to_streaming(&mut self) {
        let limits = &self.link.context().limits;
        let (stream, remaining_chunks) = mpsc::channel(limits.flight_buffered_chunks);
        let streaming = Destination::Stream(stream);
        let chunks = match std::mem::replace(&mut self.destination, streaming) {
            Destination::Buffer(chunks) => chunks,
            Destination::Stream(_) => Vec::new(),
        };
        let body = ResultBody {
            format: ResultFormat::Arrow,
            chunks,
            remaining_chunks: Some(remaining_chunks),
        };
        let event = AttemptEvent::ResultStreaming(body);
        self.link
            .send_event_without_report(self.attempt, event)
            .await;
        self.reservation.set(0);
    }

    /// Ends the result after its last chunk. Returns the result, or `None` if it was streamed. Only
    /// this method marks a streamed result as complete: if the task fails or is aborted before, the
    /// client gets an error after the chunks that have arrived.
    ///
    /// # Errors
    /// Fails if the client of a streamed result has disconnected.
    pub(super) async fn finish(self) -> Result<Option<ResultBody>, AttemptFailure> {
        match self.destination {
            Destination::Buffer(chunks) => {
                Ok(Some(ResultBody::complete(ResultFormat::Arrow, chunks)))
            }
            Destination::Stream(stream) => {
                let sent = stream.send(ResultChunk::End).await;
                sent.map_err(|_| AttemptFailure::ClientDisconnected)?;
                Ok(None)
            }
        }
    }
}
