//! Buffers what a client sent and reads messages out of it.

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

/// Bytes allocated for a new connection's buffer.
const INITIAL_BUFFER_BYTES: usize = 4096;

/// What a client sent and what is not handled yet.
pub(super) struct Input {
    buffer: BytesMut,
    reservation: MemoryReservation,
    state: InputState,
    limits: Arc<Limits>,
}

enum InputState {
    /// Messages are read.
    Reading {
        /// Since when the buffer holds part of a message. A new connection is expected to begin with a call, so it
        /// counts from the start.
        incomplete_since: Option<Instant>,
    },
    /// The stream cannot be understood any further. It is only read to notice its end.
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

    /// Whether no part of a message is buffered.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    pub(super) fn is_discarding(&self) -> bool {
        matches!(self.state, InputState::Discarding { .. })
    }

    /// Since when the client owes the rest of a message, or its first call.
    pub(super) fn incomplete_since(&self) -> Option<Instant> {
        match self.state {
            InputState::Reading { incomplete_since } => incomplete_since,
            InputState::Discarding { .. } => None,
        }
    }

    /// Reads what the socket has, up to about one message of the largest size. Returns whether the stream goes on.
    ///
    /// # Errors
    ///
    /// Those of the socket.
    pub(super) fn receive(&mut self, stream: &TcpStream) -> io::Result<bool> {
        net::read_available(stream, &mut self.buffer, self.limits.message_bytes)
    }

    /// Takes the next complete message out of the buffer.
    ///
    /// # Errors
    ///
    /// If the stream cannot be understood any further.
    pub(super) fn next_message(&mut self) -> Result<Option<Message>, MessageError> {
        msgpack::take_message(&mut self.buffer, &self.limits)
    }

    /// Records that a complete call was read.
    pub(super) fn record_complete_call(&mut self) {
        self.set_incomplete_since(None);
    }

    /// Records that no complete message is left in the buffer. Until the first call everything counts as incomplete,
    /// notifications too.
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

    /// Reserves the memory of the buffered bytes; false if all connections together hold too many. Without this limit
    /// incomplete messages of many clients could fill the memory.
    pub(super) fn update_reservation(&mut self) -> bool {
        let limit = self.limits.share(self.limits.input_bytes);
        self.reservation.set(self.buffer.len(), limit)
    }

    /// Stops reading messages, for good.
    pub(super) fn start_discarding(&mut self) {
        self.buffer.clear();
        self.reservation.set(0, usize::MAX);
        self.state = InputState::Discarding { bytes: 0 };
    }

    /// Drops the buffered bytes.
    ///
    /// # Errors
    ///
    /// If more was discarded by now than one message may have.
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
