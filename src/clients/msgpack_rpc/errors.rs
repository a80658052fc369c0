//! Why a connection ends or is read no further.

use crate::clients::msgpack::MessageError;

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
    DiscardLimit,
}

/// Why nothing more on a connection can be understood. Earlier calls are still answered.
#[derive(Debug, thiserror::Error)]
pub(super) enum ProtocolError {
    #[error("message: {0}")]
    Message(#[from] MessageError),
    #[error("message id {id} after {last}")]
    MessageIdNotRising { id: u64, last: u64 },
    #[error("more than {limit} bad calls")]
    TooManyBadCalls { limit: usize },
}
