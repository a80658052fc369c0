//! Why a connection ends or is read no further.

use crate::clients::msgpack::MessageError;

/// Why a connection is closed in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Its last message could not be understood, and the calls before it are answered.
    UnreadableInput,
    /// Another connection needs its slot.
    Evicted,
    /// The client sent nothing, or nothing complete, for too long.
    Silent,
    /// Clients are asked to leave.
    Draining,
}

/// Why a connection is dropped without an orderly close.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    #[error("socket: {0}")]
    Io(#[from] std::io::Error),
    #[error("the client closed the connection")]
    ClosedByClient,
    #[error("the client reads no answers")]
    WriteTimeout,
    #[error("too much was sent after a message that cannot be understood")]
    DiscardLimitExceeded,
}

/// Why nothing more on a connection can be understood. Earlier calls are still answered.
#[derive(Debug, thiserror::Error)]
pub(super) enum ProtocolError {
    #[error("message: {0}")]
    Message(#[from] MessageError),
    #[error("message id {id} after {previous}")]
    MessageIdNotIncreasing { id: u64, previous: u64 },
    #[error("more than {limit} bad calls")]
    TooManyBadCalls { limit: usize },
}
