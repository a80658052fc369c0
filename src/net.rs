//! Bytes on their way out, shared by all connections: pieces are queued as they are and leave in gathered
//! writes; what the socket does not take stays for the next time.

use bytes::{Buf, Bytes};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Pieces that one gathered write takes at most.
const GATHERED: usize = 64;

/// The queue of one connection.
#[derive(Default)]
pub(crate) struct Outbox {
    pieces: VecDeque<Bytes>,
    queued: u64,
    written: u64,
}

impl Outbox {
    /// Queues a piece; returns the count of bytes queued so far, which `written` reaches once it is out.
    pub(crate) fn push(&mut self, piece: impl Into<Bytes>) -> u64 {
        let piece = piece.into();
        self.queued += piece.len() as u64;
        if !piece.is_empty() {
            self.pieces.push_back(piece);
        }
        self.queued
    }

    /// Bytes handed to the socket so far.
    pub(crate) fn written(&self) -> u64 {
        self.written
    }

    /// Bytes queued and not yet written.
    pub(crate) fn waiting(&self) -> u64 {
        self.queued - self.written
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Takes what the socket took off the front, which may end inside a piece.
    fn advance(&mut self, mut taken: usize) {
        self.written += taken as u64;
        while let Some(first) = self.pieces.front_mut() {
            if taken < first.len() {
                return first.advance(taken);
            }
            taken -= first.len();
            self.pieces.pop_front();
        }
    }

    /// Writes as much as the socket takes now.
    pub(crate) fn flush(&mut self, stream: &TcpStream) -> io::Result<()> {
        while !self.is_empty() {
            let slices: Vec<IoSlice<'_>> = self
                .pieces
                .iter()
                .take(GATHERED)
                .map(|p| IoSlice::new(p))
                .collect();
            match stream.try_write_vectored(&slices) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.advance(n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// Reads what is there into `buffer`. `Ok(false)` at the end of the stream.
pub(crate) fn read(
    stream: &TcpStream,
    buffer: &mut bytes::BytesMut,
    most: usize,
) -> io::Result<bool> {
    loop {
        buffer.reserve(4096);
        match stream.try_read_buf(buffer) {
            Ok(0) => return Ok(false),
            // Enough for one round: what is read is parsed before more is taken in.
            Ok(_) if buffer.len() >= most => return Ok(true),
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(true),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

/// Waits so long for the peer's end of a connection whose own is over, and throws away what still comes. Guard:
/// a close with bytes unread, or one that bytes still reach, resets the connection and the answer with it.
pub(crate) async fn linger(stream: &TcpStream, longest: Duration) {
    let rest = async {
        let mut rest = [0; 1024];
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut rest) {
                Ok(0) => return,
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return,
                _ => {}
            }
        }
    };
    let _ = timeout(longest, rest).await;
}

#[cfg(test)]
mod tests;
