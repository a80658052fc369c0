//! Buffers the bytes that a client sent and parses messages from them.
//!
//! A connection has a small buffer of its own. What a message needs beyond it, and every complete
//! call, is reserved from the memory that all clients share, with the connection as its owner. A call
//! for which the connection's share is too small is refused: its bytes are skipped as they arrive,
//! and the messages after it are read as usual.

use super::errors::{ConnectionError, ProtocolError};
use super::input_buffer::{InputBuffer, ReadEnd};
use crate::clients::Frontend;
use crate::clients::msgpack::{
    self, CallHead, CompleteMessage, IncompleteMessage, Message, Parsed,
};
use crate::limits::Limits;
use bytes::Bytes;
use std::io;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The bytes that a client sent and that have not been handled yet.
pub(super) struct Input {
    buffer: InputBuffer,
    state: InputState,
    limits: Arc<Limits>,
}

enum InputState {
    /// Messages are parsed.
    Reading {
        /// Since when the buffer has held part of a message. A new connection is expected to start
        /// with a call, so before the first call this is the time when the connection was accepted.
        incomplete_since: Option<Instant>,
        /// The buffer is parsed once it holds this number of bytes.
        parse_at_length: usize,
    },
    /// The rest of a refused call is dropped as it arrives.
    Skipping {
        call: RefusedCall,
        /// Bytes of the call that have not been dropped yet.
        remaining_bytes: usize,
        incomplete_since: Instant,
    },
    /// No more messages are parsed. The stream is read only to detect its end.
    Discarding {
        /// Bytes discarded so far.
        bytes: usize,
    },
}

/// What the client has sent next.
#[derive(Debug)]
pub(super) enum ReceivedMessage {
    Message(Message),
    /// A call for which there was not enough memory. It was not kept.
    Refused(RefusedCall),
}

/// A call that was refused for lack of memory.
#[derive(Clone, Debug)]
pub(super) struct RefusedCall {
    /// Its message id.
    pub(super) id: u64,
    /// The name of its method.
    pub(super) method: Bytes,
}

impl Input {
    pub(super) fn new(frontend: &Frontend) -> Input {
        Input {
            buffer: InputBuffer::new(frontend),
            state: InputState::reading(Some(Instant::now())),
            limits: frontend.limits.clone(),
        }
    }

    /// Whether no part of a message is held or awaited.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.unread().is_empty() && !matches!(self.state, InputState::Skipping { .. })
    }

    pub(super) fn is_discarding(&self) -> bool {
        matches!(self.state, InputState::Discarding { .. })
    }

    /// Since when the rest of a message, or the first call, has been awaited.
    pub(super) fn incomplete_since(&self) -> Option<Instant> {
        match self.state {
            InputState::Reading {
                incomplete_since, ..
            } => incomplete_since,
            InputState::Skipping {
                incomplete_since, ..
            } => Some(incomplete_since),
            InputState::Discarding { .. } => None,
        }
    }

    /// Reads the bytes that have arrived, up to about one message of the largest size. The end of the
    /// stream is found before the messages ahead of it are handled, if the connection's share of
    /// the memory is large enough for them.
    ///
    /// # Errors
    ///
    /// Errors of the socket.
    pub(super) fn receive(&mut self, stream: &TcpStream) -> io::Result<ReadEnd> {
        loop {
            let read_end = self.buffer.receive(stream)?;
            let awaits_rest = self.buffer.unread().len() <= self.parse_at_length();
            let may_read_ahead = !awaits_rest && !self.is_discarding();
            if read_end != ReadEnd::BufferFull || !may_read_ahead || !self.buffer.grow() {
                return Ok(read_end);
            }
        }
    }

    /// Removes the next message from the buffer and returns it. Returns `None` once the buffer holds
    /// no complete message; it then has space for more bytes.
    ///
    /// # Errors
    ///
    /// If nothing after this point can be parsed: the message is invalid, or it needs memory that
    /// the connection may not have, and its length is not known.
    pub(super) fn next_message(&mut self) -> Result<Option<ReceivedMessage>, ProtocolError> {
        if let InputState::Skipping { .. } = self.state {
            return Ok(self.skip().map(ReceivedMessage::Refused));
        }
        let unread = self.buffer.unread();
        if unread.is_empty() || unread.len() < self.parse_at_length() {
            return Ok(None);
        }
        match msgpack::parse_message(unread, &self.limits)? {
            Parsed::Complete(message) => Ok(Some(self.take_message(message))),
            Parsed::Incomplete(message) => self.await_rest(&message),
        }
    }

    /// Removes a complete message from the buffer. A call moves to memory of its own, so that what is
    /// kept of it does not keep other messages of the buffer.
    fn take_message(&mut self, message: CompleteMessage) -> ReceivedMessage {
        self.set_parse_at_length(0);
        let Some(call) = message.call() else {
            // Nothing of a notification is kept.
            self.buffer.consume(message.length);
            return ReceivedMessage::Message(message.slice(&Bytes::new()));
        };
        if let Some(bytes) = self.buffer.take(message.length) {
            return ReceivedMessage::Message(message.slice(&bytes));
        }
        let refused = self.refused_call(call);
        self.buffer.consume(message.length);
        ReceivedMessage::Refused(refused)
    }

    /// Makes space for the rest of a message, or refuses the call if there is no memory for it.
    fn await_rest(
        &mut self,
        message: &IncompleteMessage,
    ) -> Result<Option<ReceivedMessage>, ProtocolError> {
        let received = self.buffer.unread().len();
        if self.buffer.make_room(message.min_length.max(received + 1)) {
            self.set_parse_at_length(message.min_length);
            return Ok(None);
        }
        let Some(call) = message.call.as_ref().filter(|_| message.is_length_known) else {
            return Err(ProtocolError::NoMemoryForMessage);
        };
        self.state = InputState::Skipping {
            call: self.refused_call(call),
            remaining_bytes: message.min_length,
            incomplete_since: self.incomplete_since().unwrap_or_else(Instant::now),
        };
        Ok(self.skip().map(ReceivedMessage::Refused))
    }

    fn refused_call(&self, call: &CallHead) -> RefusedCall {
        RefusedCall {
            id: call.id,
            method: Bytes::copy_from_slice(&self.buffer.unread()[call.method.clone()]),
        }
    }

    /// Drops buffered bytes of a refused call. Returns the call once all of it was dropped.
    fn skip(&mut self) -> Option<RefusedCall> {
        let InputState::Skipping {
            call,
            remaining_bytes,
            ..
        } = &mut self.state
        else {
            return None;
        };
        let skipped = self.buffer.unread().len().min(*remaining_bytes);
        self.buffer.consume(skipped);
        *remaining_bytes -= skipped;
        if *remaining_bytes > 0 {
            self.buffer.release_spare_memory();
            return None;
        }
        let call = call.clone();
        self.state = InputState::reading(None);
        Some(call)
    }

    fn parse_at_length(&self) -> usize {
        match self.state {
            InputState::Reading {
                parse_at_length, ..
            } => parse_at_length,
            InputState::Skipping { .. } | InputState::Discarding { .. } => 0,
        }
    }

    /// Records that a complete call was read.
    pub(super) fn record_complete_call(&mut self) {
        self.set_incomplete_since(None);
    }

    /// Records that no complete message is left in the buffer. Until the first call, the input
    /// counts as incomplete even after a complete notification.
    pub(super) fn record_all_messages_read(&mut self, has_called: bool) {
        if !self.buffer.unread().is_empty() {
            let since = self.incomplete_since().unwrap_or_else(Instant::now);
            self.set_incomplete_since(Some(since));
            return;
        }
        self.buffer.release_spare_memory();
        if has_called {
            self.set_incomplete_since(None);
        }
    }

    fn set_incomplete_since(&mut self, since: Option<Instant>) {
        if let InputState::Reading {
            incomplete_since, ..
        } = &mut self.state
        {
            *incomplete_since = since;
        }
    }

    fn set_parse_at_length(&mut self, length: usize) {
        if let InputState::Reading {
            parse_at_length, ..
        } = &mut self.state
        {
            *parse_at_length = length;
        }
    }

    /// Stops parsing messages for the rest of the connection.
    pub(super) fn start_discarding(&mut self) {
        self.buffer.clear();
        self.state = InputState::Discarding { bytes: 0 };
    }

    /// Discards the buffered bytes.
    ///
    /// # Errors
    ///
    /// If more bytes have been discarded in total than one message may have.
    pub(super) fn discard(&mut self) -> Result<(), ConnectionError> {
        let received = self.buffer.unread().len();
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

impl InputState {
    fn reading(incomplete_since: Option<Instant>) -> InputState {
        InputState::Reading {
            incomplete_since,
            parse_at_length: 0,
        }
    }
}
