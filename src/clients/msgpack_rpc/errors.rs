//! The reasons why a connection ends or no more messages are read from it.

use crate::clients::msgpack::MessageError;

/// Why a connection is closed in an orderly way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Its last message was invalid, or a limit was exceeded. All earlier calls have been answered.
    UnreadableInput,
    /// The connection was evicted because another one needs its slot.
    Evicted,
    /// The client sent no complete message for too long.
    Silent,
    /// The front end is draining its connections.
    Draining,
    /// The client sent too many calls that were refused, or unknown notifications. All calls have
    /// been answered.
    TooManyBadCalls,
}

/// Why a connection is dropped without an orderly close.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    #[error("socket error: {0}")]
    Io(#[from] std::io::Error),
    #[error("the client closed the connection")]
    ClosedByClient,
    #[error("the client did not read its answers in time")]
    WriteTimeout,
    #[error("the client sent too many bytes after an invalid message")]
    DiscardLimitExceeded,
}

/// Why no more messages are read from a connection. Earlier calls are still answered.
#[derive(Debug, thiserror::Error)]
pub(super) enum ProtocolError {
    #[error("invalid message: {0}")]
    Message(#[from] MessageError),
    #[error("message id {id} is not greater than the previous message id {previous}")]
    MessageIdNotIncreasing { id: u64, previous: u64 },
    #[error("there is no memory for a message whose length is not known")]
    NoMemoryForMessage,
}
