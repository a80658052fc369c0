//! The buffer that a connection reads its socket into, with the account of its memory.

use crate::clients::Frontend;
use crate::limits::{Limits, MemoryOwner, MemoryReservation};
use bytes::Bytes;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use tokio::net::TcpStream;

/// Factor by which the buffer grows if the length of a message is not known yet.
const GROWTH_FACTOR: usize = 2;

/// Why reading stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadEnd {
    /// The client has closed its side of the connection.
    EndOfStream,
    /// All bytes that have arrived were read.
    AllRead,
    /// The buffer is full.
    BufferFull,
}

/// A buffer of [`Limits::client_input_buffer_bytes`], which grows for a larger message.
pub(super) struct InputBuffer {
    bytes: Vec<u8>,
    /// Number of bytes at the front that were consumed.
    consumed: usize,
    /// The connection, as the owner of memory.
    owner: Arc<MemoryOwner>,
    /// The memory of the buffer beyond its first `client_input_buffer_bytes`.
    reservation: MemoryReservation,
    limits: Arc<Limits>,
}

impl InputBuffer {
    pub(super) fn new(frontend: &Frontend) -> InputBuffer {
        let owner = frontend.client_memory.requests.add_owner();
        InputBuffer {
            bytes: Vec::with_capacity(frontend.limits.client_input_buffer_bytes),
            consumed: 0,
            reservation: MemoryReservation::new(&owner),
            owner,
            limits: frontend.limits.clone(),
        }
    }

    /// The bytes that were read and not consumed.
    pub(super) fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Drops the first `length` unread bytes.
    pub(super) fn consume(&mut self, length: usize) {
        self.consumed += length;
    }

    /// Drops all bytes and the memory for them.
    pub(super) fn clear(&mut self) {
        self.bytes.clear();
        self.consumed = 0;
        self.release_spare_memory();
    }

    /// Reads bytes that have arrived until the buffer is full.
    ///
    /// # Errors
    ///
    /// Errors of the socket.
    pub(super) fn receive(&mut self, stream: &TcpStream) -> io::Result<ReadEnd> {
        self.compact();
        while self.bytes.len() < self.bytes.capacity() {
            match stream.try_read_buf(&mut self.bytes) {
                Ok(0) => return Ok(ReadEnd::EndOfStream),
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(ReadEnd::AllRead),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(ReadEnd::BufferFull)
    }

    /// Removes the first `length` unread bytes and returns them in memory of their own, which is
    /// reserved. Returns `None` if the connection's share of the memory is too small; the bytes then
    /// stay in the buffer.
    pub(super) fn take(&mut self, length: usize) -> Option<Bytes> {
        if let Some(bytes) = self.take_whole_buffer(length) {
            return Some(bytes);
        }
        let reservation = self.owner.reserve(length)?;
        let message = self.unread()[..length].to_vec();
        self.consume(length);
        Some(reservation.attach_to(message))
    }

    /// Gives away the buffer itself, without a copy, if it holds nothing but one large message.
    fn take_whole_buffer(&mut self, length: usize) -> Option<Bytes> {
        let is_large = length > self.limits.client_input_buffer_bytes;
        if self.consumed > 0 || !is_large || length < self.bytes.len() {
            return None;
        }
        if !self.reservation.try_grow(self.bytes.capacity()) {
            return None;
        }
        let next_buffer = Vec::with_capacity(self.limits.client_input_buffer_bytes);
        let message = std::mem::replace(&mut self.bytes, next_buffer);
        let no_reservation = MemoryReservation::new(&self.owner);
        let reservation = std::mem::replace(&mut self.reservation, no_reservation);
        Some(reservation.attach_to(message))
    }

    /// Makes space for a message of at least this length, whose first bytes are unread. Returns false
    /// if the connection's share of the memory is too small.
    pub(super) fn make_room(&mut self, min_length: usize) -> bool {
        self.compact();
        let is_full = self.bytes.len() == self.bytes.capacity();
        if is_full && min_length == self.bytes.len() + 1 {
            return self.grow();
        }
        min_length <= self.bytes.capacity() || self.grow_to(min_length)
    }

    /// Enlarges a full buffer, up to the size of the largest message. Returns false if it has that
    /// size, or if the connection's share of the memory is too small.
    pub(super) fn grow(&mut self) -> bool {
        let own_bytes = self.limits.client_input_buffer_bytes;
        let max_capacity = self.limits.message_bytes + own_bytes;
        let capacity = self.bytes.capacity();
        capacity < max_capacity && self.grow_to((capacity * GROWTH_FACTOR).min(max_capacity))
    }

    fn grow_to(&mut self, capacity: usize) -> bool {
        let own_bytes = self.limits.client_input_buffer_bytes;
        if !self.reservation.try_grow(capacity - own_bytes) {
            return false;
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        true
    }

    /// Moves the unread bytes to the front.
    fn compact(&mut self) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
    }

    /// Returns the memory beyond the connection's own if the unread bytes do not need it.
    pub(super) fn release_spare_memory(&mut self) {
        self.compact();
        let own_bytes = self.limits.client_input_buffer_bytes;
        if self.bytes.len() <= own_bytes && self.bytes.capacity() > own_bytes {
            self.bytes.shrink_to(own_bytes);
            self.reservation
                .set(self.bytes.capacity().saturating_sub(own_bytes));
        }
    }
}
