//! Finds out whether the received bytes begin with a complete message.

use super::message_parts::{CallHead, MessageParts};
use super::reader::{ParseError, Reader};
use super::{Message, MessageError};
use crate::limits::Limits;
use bytes::Bytes;

/// Parses the first message of the input.
///
/// # Errors
///
/// If the bytes cannot become a valid message whatever follows them, or if the message exceeds a
/// limit.
pub(crate) fn parse_message(input: &[u8], limits: &Limits) -> Result<Parsed, MessageError> {
    let mut reader = Reader::new(input, limits);
    match reader.message() {
        Ok(parts) => Ok(Parsed::Complete(CompleteMessage {
            length: reader.position(),
            parts,
        })),
        Err(ParseError::Invalid(error)) => Err(error),
        Err(ParseError::Incomplete) => {
            let message = IncompleteMessage {
                call: reader.call,
                is_length_known: reader.is_length_known,
                min_length: reader.min_length,
            };
            check_incomplete_length(&message, input.len(), limits)?;
            Ok(Parsed::Incomplete(message))
        }
    }
}

/// Checks the length of a message of which `received_bytes` have arrived. The limit applies to its
/// largest part, for which the reader checks it, and to the rest with a small reserve.
fn check_incomplete_length(
    message: &IncompleteMessage,
    received_bytes: usize,
    limits: &Limits,
) -> Result<(), MessageError> {
    let limit = limits.message_bytes;
    let is_too_long = message.min_length > limit + limits.client_input_buffer_bytes
        || !message.is_length_known && received_bytes > limit;
    if is_too_long {
        return Err(MessageError::TooLong {
            bytes: received_bytes,
            limit,
        });
    }
    Ok(())
}

/// What the input begins with.
pub(crate) enum Parsed {
    Complete(CompleteMessage),
    Incomplete(IncompleteMessage),
}

/// A complete message at the start of the input.
pub(crate) struct CompleteMessage {
    /// Length of the message in bytes.
    pub(crate) length: usize,
    parts: MessageParts,
}

impl CompleteMessage {
    /// The head, if the message is a call.
    pub(crate) fn call(&self) -> Option<&CallHead> {
        match &self.parts {
            MessageParts::Call { head, .. } => Some(head),
            MessageParts::Cancel { .. } | MessageParts::UnknownNotification => None,
        }
    }

    /// Builds the message from the bytes that it was parsed from, without a copy.
    pub(crate) fn slice(self, bytes: &Bytes) -> Message {
        self.parts.slice(bytes)
    }
}

/// A message whose rest has not arrived yet.
pub(crate) struct IncompleteMessage {
    /// The head, if the message is a call and its head has arrived.
    pub(crate) call: Option<CallHead>,
    /// Lower bound on the length of the whole message in bytes. It need not be parsed again before
    /// this number of bytes has arrived.
    pub(crate) min_length: usize,
    /// Whether `min_length` is the length of the message: all but its body has arrived.
    pub(crate) is_length_known: bool,
}
