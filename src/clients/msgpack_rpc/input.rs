//! Buffers the bytes that a client sent and parses messages from them.

use super::errors::ConnectionError;
use crate::clients::Frontend;
use crate::clients::msgpack::{self, Message, MessageError};
use crate::limits::{Limits, MemoryReservation};
use crate::net;
use bytes::BytesMut;
use std::io;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Initial capacity of a connection's input buffer.
const INITIAL_BUFFER_BYTES: usize = 4096;

/// The bytes that a client sent and that have not been handled yet.
pub(super) struct Input {
    buffer: BytesMut,
    reservation: MemoryReservation,
    state: InputState,
    limits: Arc<Limits>,
}

enum InputState {
    /// Messages are parsed.
    Reading {
        /// Since when the buffer has held part of a message. A new connection is expected to start
        /// with a call, so before the first call this is the time when the connection was accepted.
        incomplete_since: Option<Instant>,
    },
    /// No more messages are parsed. The stream is read only to detect its end.
    Discarding {
        /// Bytes discarded so far.
        bytes: usize,
    },
}

impl Input {
    pub(super) fn new(frontend: &Frontend) -> Input {
        Input {
            buffer: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
            reservation: MemoryReservation::new(&frontend.buffer_pools.input),
            state: InputState::Reading {
                incomplete_since: Some(Instant::now()),
            },
            limits: frontend.limits.clone(),
        }
    }

    /// Whether the buffer is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    pub(super) fn is_discarding(&self) -> bool {
        matches!(self.state, InputState::Discarding { .. })
    }

    /// Since when the rest of a message, or the first call, has been awaited.
    pub(super) fn incomplete_since(&self) -> Option<Instant> {
        match self.state {
            InputState::Reading { incomplete_since } => incomplete_since,
            InputState::Discarding { .. } => None,
        }
    }

    /// Reads the bytes that have arrived, up to about one message of the largest size. Returns
    /// false at the end of the stream.
    ///
    /// # Errors
    ///
    /// Errors of the socket.
    pub(super) fn receive(&mut self, stream: &TcpStream) -> io::Result<bool> {
        net::read_available(stream, &mut self.buffer, self.limits.message_bytes)
    }

    /// Removes the next complete message from the buffer and returns it.
    ///
    /// # Errors
    ///
    /// If the message is invalid, so that nothing after it can be parsed.
    pub(super) fn next_message(&mut self) -> Result<Option<Message>, MessageError> {
        msgpack::take_message(&mut self.buffer, &self.limits)
    }

    /// Records that a complete call was read.
    pub(super) fn record_complete_call(&mut self) {
        self.set_incomplete_since(None);
    }

    /// Records that no complete message is left in the buffer. Until the first call, the input
    /// counts as incomplete even after a complete notification.
    pub(super) fn record_all_messages_read(&mut self, has_called: bool) {
        if !self.buffer.is_empty() {
            let since = self.incomplete_since().unwrap_or_else(Instant::now);
            self.set_incomplete_since(Some(since));
        } else if has_called {
            self.set_incomplete_since(None);
        }
    }

    fn set_incomplete_since(&mut self, since: Option<Instant>) {
        if let InputState::Reading { incomplete_since } = &mut self.state {
            *incomplete_since = since;
        }
    }

    /// Reserves memory for the buffered bytes. Returns false if the buffers of all connections
    /// together exceed their limit. Without this limit, incomplete messages of many clients could
    /// exhaust the memory.
    pub(super) fn update_reservation(&mut self) -> bool {
        let limit = self.limits.share(self.limits.input_bytes);
        self.reservation.set(self.buffer.len(), limit)
    }

    /// Stops parsing messages for the rest of the connection.
    pub(super) fn start_discarding(&mut self) {
        self.buffer.clear();
        self.reservation.set(0, usize::MAX);
        self.state = InputState::Discarding { bytes: 0 };
    }

    /// Discards the buffered bytes.
    ///
    /// # Errors
    ///
    /// If more bytes have been discarded in total than one message may have.
    pub(super) fn discard(&mut self) -> Result<(), ConnectionError> {
        let received = self.buffer.len();
        self.buffer.clear();
        if let InputState::Discarding { bytes } = &mut self.state {
            *bytes += received;
            if *bytes > self.limits.message_bytes {
                return Err(ConnectionError::DiscardLimitExceeded);
            }
        }
        Ok(())
    }
}
