//! Helpers for TCP connections: an output queue with gathered writes, a bounded read, a lingering close, and a stream
//! for readers and writers that wait.
//!
//! Nothing here waits but [`linger`]; the connections' actors decide when a socket is read or written.

mod retrying_stream;

pub(crate) use retrying_stream::RetryingStream;

use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Chunks of one gathered write: some kernels take 1,024, and a few dozen fill a socket's buffer.
const MAX_CHUNKS_PER_WRITE: usize = 64;

/// Free bytes that a read buffer has at least before each read.
const MIN_FREE_READ_BYTES: usize = 4096;

/// Bytes that are read and discarded at once while a connection lingers.
const DISCARD_BUFFER_BYTES: usize = 1024;

/// The output queue of one connection: chunks are queued as they are and leave in gathered writes. What the socket
/// does not accept stays queued.
#[derive(Default)]
pub(crate) struct Outbox {
    chunks: VecDeque<Bytes>,
    queued_bytes: u64,
    written_bytes: u64,
}

impl Outbox {
    /// Queues a chunk. Returns the count of bytes queued so far, which [`written`](Outbox::written) reaches once the
    /// chunk is written.
    pub(crate) fn push(&mut self, chunk: impl Into<Bytes>) -> u64 {
        let chunk = chunk.into();
        self.queued_bytes += chunk.len() as u64;
        if !chunk.is_empty() {
            self.chunks.push_back(chunk);
        }
        self.queued_bytes
    }

    /// Bytes written to the socket so far.
    pub(crate) fn written(&self) -> u64 {
        self.written_bytes
    }

    /// Bytes queued and not yet written.
    pub(crate) fn unwritten_bytes(&self) -> u64 {
        self.queued_bytes - self.written_bytes
    }

    /// Whether all that was queued is written.
    pub(crate) fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Removes bytes that the socket accepted from the front; their end may lie inside a chunk.
    fn advance(&mut self, mut accepted: usize) {
        self.written_bytes += accepted as u64;
        while let Some(first) = self.chunks.front_mut() {
            if accepted < first.len() {
                first.advance(accepted);
                return;
            }
            accepted -= first.len();
            self.chunks.pop_front();
        }
    }

    /// Writes as much as the socket accepts now. Errors: the connection is lost.
    pub(crate) fn flush(&mut self, stream: &TcpStream) -> io::Result<()> {
        while !self.is_empty() {
            let slices: Vec<IoSlice<'_>> = self
                .chunks
                .iter()
                .take(MAX_CHUNKS_PER_WRITE)
                .map(|chunk| IoSlice::new(chunk))
                .collect();
            match stream.try_write_vectored(&slices) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(accepted) => self.advance(accepted),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// Reads what has arrived into `buffer`, and stops once it has `target_bytes` bytes, so that these are parsed before more is
/// read. `Ok(false)` at the end of the stream. Errors: the connection is lost.
pub(crate) fn read_available(
    stream: &TcpStream,
    buffer: &mut BytesMut,
    target_bytes: usize,
) -> io::Result<bool> {
    loop {
        buffer.reserve(MIN_FREE_READ_BYTES);
        match stream.try_read_buf(buffer) {
            Ok(0) => return Ok(false),
            Ok(_) if buffer.len() >= target_bytes => return Ok(true),
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(true),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Waits up to `max_wait` for the peer's end of a connection that this side has shut down for writing, and discards what
/// still arrives. A close with unread bytes, or one that bytes still reach, would reset the connection, and the answer
/// could be lost with it.
pub(crate) async fn linger(stream: &TcpStream, max_wait: Duration) {
    // The close follows in any case, so it does not matter which of the two ended the wait.
    let _ = timeout(max_wait, discard_until_end(stream)).await;
}

async fn discard_until_end(stream: &TcpStream) {
    let mut discarded = [0; DISCARD_BUFFER_BYTES];
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut discarded) {
            Ok(0) => return,
            Err(error)
                if !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                return;
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
