//! Collects the result of a query as it arrives. A small result is buffered until it is complete. A
//! result that exceeds the buffer size is streamed to the client.

use super::attempt_failure::AttemptFailure;
use super::engine_link::EngineLink;
use crate::core::{AttemptEvent, ResultBody, ResultChunk, ResultFormat};
use crate::engines::context::AttemptId;
use crate::limits::{MemoryOwner, MemoryReservation};
use bytes::Bytes;
use std::sync::Arc;
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
    /// The result, as the owner of its memory.
    owner: Arc<MemoryOwner>,
    /// Memory of the buffered chunks.
    reservation: MemoryReservation,
}

impl<'a> ResultCollector<'a> {
    pub(super) fn new(link: &'a EngineLink, attempt: AttemptId) -> ResultCollector<'a> {
        let owner = link.context().partial_results.add_owner();
        ResultCollector {
            link,
            attempt,
            destination: Destination::Buffer(Vec::new()),
            total_bytes: 0,
            reservation: MemoryReservation::new(&owner),
            owner,
        }
    }

    /// Waits until another chunk may be read from the engine: until the client has taken so many
    /// chunks of a streamed result that the rest is within the result's share of the memory.
    ///
    /// # Errors
    /// Fails if the client of a streamed result has disconnected.
    pub(super) async fn ready(&self) -> Result<(), AttemptFailure> {
        let Destination::Stream(stream) = &self.destination else {
            return Ok(());
        };
        tokio::select! {
            biased;
            () = stream.closed() => Err(AttemptFailure::ClientDisconnected),
            () = self.owner.within_share() => Ok(()),
        }
    }

    /// Adds one chunk. While the result is streamed, this waits until the client can receive the
    /// chunk.
    ///
    /// # Errors
    /// Fails if the client of a streamed result has disconnected, or if the memory for incomplete
    /// results is exhausted.
    pub(super) async fn push(&mut self, chunk: Vec<u8>) -> Result<(), AttemptFailure> {
        self.total_bytes += chunk.len();
        let buffer = match &mut self.destination {
            Destination::Stream(stream) => {
                // Counted even above the share: `ready` then waits before the next chunk.
                let mut reservation = MemoryReservation::new(&self.owner);
                reservation.set(chunk.len());
                let chunk = reservation.attach_to(chunk);
                let sent = stream.send(ResultChunk::Data(chunk)).await;
                return sent.map_err(|_| AttemptFailure::ClientDisconnected);
            }
            Destination::Buffer(buffer) => buffer,
        };
        buffer.push(chunk.into());
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
