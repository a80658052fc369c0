//! Helpers for TCP connections: an output queue with gathered writes, a bounded read, a lingering
//! close, and a stream for asynchronous readers and writers.
//!
//! The output queue and the bounded read never wait: the actors of the connections decide when a
//! socket is read or written.

mod retrying_stream;

pub(crate) use retrying_stream::RetryingStream;

use bytes::{Buf, Bytes, BytesMut};
use futures::FutureExt;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum number of chunks in one gathered write. Some kernels accept at most 1,024, and a few
/// dozen fill the buffer of a socket.
const MAX_CHUNKS_PER_WRITE: usize = 64;

/// Minimum free space of a read buffer before each read, in bytes.
const MIN_FREE_READ_BYTES: usize = 4096;

/// Maximum number of bytes that one read discards during a lingering close.
const DISCARD_BUFFER_BYTES: usize = 1024;

/// The output queue of one connection. Chunks are queued without a copy and written in gathered
/// writes. Bytes that the socket does not accept stay queued.
#[derive(Default)]
pub(crate) struct Outbox {
    chunks: VecDeque<Bytes>,
    queued_bytes: u64,
    written_bytes: u64,
}

impl Outbox {
    /// Queues a chunk. Returns the total number of bytes queued so far. The chunk has been written
    /// once [`written_bytes`](Outbox::written_bytes) reaches this number.
    pub(crate) fn push(&mut self, chunk: impl Into<Bytes>) -> u64 {
        let chunk = chunk.into();
        self.queued_bytes += chunk.len() as u64;
        if !chunk.is_empty() {
            self.chunks.push_back(chunk);
        }
        self.queued_bytes
    }

    /// Total number of bytes written to the socket so far.
    pub(crate) fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Number of bytes that are queued and not yet written.
    pub(crate) fn unwritten_bytes(&self) -> u64 {
        self.queued_bytes - self.written_bytes
    }

    /// Whether everything that was queued has been written.
    pub(crate) fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Removes the bytes that the socket accepted from the front of the queue. They may end inside
    /// a chunk.
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

    /// Writes as much as the socket accepts without waiting.
    ///
    /// # Errors
    /// Fails if the connection is lost.
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

/// Reads the bytes that have arrived into `buffer`. Stops once the buffer has at least
/// `target_bytes` bytes, so that they are parsed before more are read. Returns false at the end of
/// the stream.
///
/// # Errors
/// Fails if the connection is lost.
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

/// Whether the peer has closed its side of the connection, as far as the runtime knows, even if bytes
/// that it sent before have not been read yet.
pub(crate) fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let readiness = stream.ready(Interest::READABLE).now_or_never();
    readiness.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
}

/// Waits up to `max_wait` until the peer closes a connection that this side has shut down for
/// writing. Bytes that still arrive are discarded. If the socket were closed while it has unread
/// bytes, or if bytes arrived after the close, the connection would be reset, and the last answer
/// could be lost.
pub(crate) async fn linger(stream: &TcpStream, max_wait: Duration) {
    // The connection is closed in either case: after the end of the stream, and after the timeout.
    let _ = timeout(max_wait, discard_until_end(stream)).await;
}

/// Reads and discards bytes until the end of the stream, or until the connection is lost.
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
