//! The wire format of MessagePack-RPC: messages that clients send, and the answers to them.
//!
//! Reading works in place: the strings and the body of a message stay in the buffer that the socket filled. Both parts
//! are free of I/O; the connection actors of [`msgpack_rpc`](super::msgpack_rpc) call them.

mod reader;
mod writer;

pub(crate) use reader::take_message;
pub(crate) use writer::{END_OF_ANSWER, error_answer, health_answer, result_head};

use bytes::Bytes;

/// Why a message cannot be read. What follows it in the stream cannot be read either, as its length is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum MessageError {
    /// It is not MessagePack, or is neither a call nor a notification.
    #[error("neither a call nor a notification in MessagePack")]
    Malformed,
    /// The message, or a length that it announces, is over the limit.
    #[error("{bytes} bytes, {limit} allowed")]
    TooLong {
        /// Bytes received or announced; at least one for each element of a collection.
        bytes: usize,
        /// [`Limits::message_bytes`](crate::limits::Limits::message_bytes).
        limit: usize,
    },
    /// The parameters have too many fields.
    #[error("{count} fields, {limit} allowed")]
    TooManyFields {
        /// Fields announced.
        count: usize,
        /// [`Limits::message_fields`](crate::limits::Limits::message_fields).
        limit: usize,
    },
    /// Collections are nested deeper than [`Limits::message_depth`](crate::limits::Limits::message_depth).
    #[error("collections are nested too deeply")]
    TooDeep,
}

/// A complete message of a client.
#[derive(Debug)]
pub(crate) enum Message {
    /// `[0, id, method, params]`.
    Call(Call),
    /// `[2, "cancel", [id]]`: the client withdraws the call with this id.
    Cancel {
        /// The call's message id.
        id: u64,
    },
    /// Any other notification; it has no effect.
    UnknownNotification,
}

/// A call: a request of a class, or a health check.
#[derive(Debug)]
pub(crate) struct Call {
    /// Message id, chosen by the client; the answer repeats it.
    pub(crate) id: u64,
    /// The class's name, or the name of the health check.
    pub(crate) method: Bytes,
    /// The parameters' fields; `None` if they do not begin with a map of strings to strings.
    pub(crate) fields: Option<Fields>,
    /// The statement; `None` if the parameters do not end with binary data.
    pub(crate) body: Option<Bytes>,
}

/// The fields of a call's parameters.
#[derive(Debug, Default)]
pub(crate) struct Fields(Vec<(Bytes, Bytes)>);

impl Fields {
    /// The value of the first field with this name.
    pub(crate) fn get(&self, name: &str) -> Option<&Bytes> {
        self.0
            .iter()
            .find(|(field, _)| field.as_ref() == name.as_bytes())
            .map(|(_, value)| value)
    }
}
