//! The wire format of MessagePack-RPC: parses the messages of clients and encodes the answers.
//!
//! Parsing copies nothing: the strings and the body of a message are slices of its bytes. The reader
//! and the writer do no I/O. The connection actors of [`msgpack_rpc`](super::msgpack_rpc) call them.

mod message_parts;
mod parser;
mod reader;
mod writer;

pub(crate) use message_parts::CallHead;
pub(crate) use parser::{CompleteMessage, IncompleteMessage, Parsed, parse_message};
pub(crate) use writer::{END_OF_ANSWER, error_answer, health_answer, result_head};

use bytes::Bytes;

/// Why a message cannot be parsed. The messages after it cannot be parsed either, because the
/// length of this one is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum MessageError {
    /// The bytes are not MessagePack, or are neither a call nor a notification.
    #[error("not a MessagePack-RPC call or notification")]
    Malformed,
    /// The message, or a length that it declares, exceeds the limit.
    #[error("the message has {bytes} bytes or more; {limit} are allowed")]
    TooLong {
        /// Bytes received or declared. A collection counts with one byte for each element, which is
        /// the smallest size of an element.
        bytes: usize,
        /// [`Limits::message_bytes`](crate::limits::Limits::message_bytes).
        limit: usize,
    },
    /// The parameters have too many fields.
    #[error("the call has {count} fields; {limit} are allowed")]
    TooManyFields {
        /// Number of fields that the message declares.
        count: usize,
        /// [`Limits::message_fields`](crate::limits::Limits::message_fields).
        limit: usize,
    },
    /// Collections are nested deeper than
    /// [`Limits::message_depth`](crate::limits::Limits::message_depth).
    #[error("collections are nested too deeply")]
    TooDeep,
}

/// A complete message from a client.
#[derive(Debug)]
pub(crate) enum Message {
    /// `[0, id, method, params]`.
    Call(Call),
    /// `[2, "cancel", [id]]`: the client cancels the call with this id.
    Cancel {
        /// The call's message id.
        id: u64,
    },
    /// Any other notification. It has no effect on requests.
    UnknownNotification,
}

/// A call: a request or a health check.
#[derive(Debug)]
pub(crate) struct Call {
    /// Message id, chosen by the client. The answer carries the same id.
    pub(crate) id: u64,
    /// The name of a class, or the method name of the health check.
    pub(crate) method: Bytes,
    /// The fields of the call; `None` if the first parameter is not a map of strings to strings.
    pub(crate) fields: Option<Fields>,
    /// The statement; `None` if the second parameter is missing or is not binary data.
    pub(crate) body: Option<Bytes>,
}

/// The fields of a call, with their names and values.
#[derive(Debug, Default)]
pub(crate) struct Fields(Vec<(Bytes, Bytes)>);

impl Fields {
    /// Returns the value of the first field with this name.
    pub(crate) fn get(&self, name: &str) -> Option<&Bytes> {
        self.0
            .iter()
            .find(|(field, _)| field.as_ref() == name.as_bytes())
            .map(|(_, value)| value)
    }
}

#[cfg(test)]
mod tests;
