//! Maps errors and answers to gRPC statuses.

use super::metadata_keys::CLASS;
use crate::core::FailureReason;
use crate::decision::Millis;
use arrow_schema::ArrowError;
use prost::DecodeError;
use std::time::Duration;
use tonic::{Code, Status};
use tonic_types::{ErrorDetails, StatusExt};

/// Why a call is rejected before a request is sent to the core. The error texts are the messages of
/// the gRPC statuses that clients receive.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// The bytes are not a protobuf `Any` message.
    #[error("a command that cannot be read: {0}")]
    UndecodableMessage(#[from] DecodeError),
    /// The content of the `Any` message does not decode as the command that its type states.
    #[error("a command that cannot be read: {0}")]
    UndecodableCommand(#[from] ArrowError),
    /// The `Any` message has no type, as when other bytes happen to decode as one.
    #[error("a command without its type")]
    UntypedCommand,
    /// A method or a command type that is not supported; it is given by its name.
    #[error("{0} is not offered")]
    Unsupported(String),
    #[error("transactions are not offered")]
    TransactionsUnsupported,
    /// A metadata key is missing.
    #[error("no {0}")]
    MissingMetadata(&'static str),
    /// The settings do not contain the class or tenant under this metadata key.
    #[error("unknown {0}")]
    UnknownMetadataValue(&'static str),
    /// The estimate under this metadata key is not a number within the limits.
    #[error("{0} is no figure")]
    InvalidEstimate(&'static str),
    #[error("grpc-timeout")]
    InvalidTimeout,
    #[error("{CLASS} keeps order by a key, which calls here cannot carry")]
    OrderKeyRequired,
    #[error("an empty statement")]
    EmptyStatement,
    #[error("a statement that is too long")]
    StatementTooLong,
    #[error("a ticket that is unknown, too old or spent")]
    UnknownTicket,
    #[error("no command in time")]
    CommandTimeout,
    #[error("no command")]
    MissingCommand,
    #[error("no descriptor")]
    MissingDescriptor,
    /// The connection's share of the memory for requests is too small.
    #[error("the client's requests exceed its share of the memory")]
    OverMemoryShare,
}

impl From<CallError> for Status {
    fn from(error: CallError) -> Status {
        if matches!(error, CallError::OverMemoryShare) {
            return rejected(0.0);
        }
        let code = match error {
            CallError::Unsupported(_) | CallError::TransactionsUnsupported => Code::Unimplemented,
            _ => Code::InvalidArgument,
        };
        Status::new(code, error.to_string())
    }
}

/// Returns whether the status reports an error in the call itself.
pub(super) fn is_client_error(status: &Status) -> bool {
    matches!(status.code(), Code::InvalidArgument | Code::Unimplemented)
}

/// Creates the status of a rejected request. The client may retry it after `retry_after_ms`.
pub(super) fn rejected(retry_after_ms: Millis) -> Status {
    let wait = Duration::from_secs_f64(retry_after_ms.max(0.0) / 1000.0);
    let details = ErrorDetails::with_retry_info(Some(wait));
    Status::with_error_details(
        Code::ResourceExhausted,
        "refused: trying again is harmless",
        details,
    )
}

/// Returns whether the status is that of a rejected request.
pub(super) fn is_rejection(status: &Status) -> bool {
    status.code() == Code::ResourceExhausted
}

/// Creates the status of a failed request. The code is never UNAVAILABLE: clients retry on that
/// code, but the request may already have run.
pub(super) fn failed(reason: FailureReason) -> Status {
    match reason {
        FailureReason::DeadlineExceeded => {
            Status::deadline_exceeded("no answer within the deadline")
        }
        FailureReason::AttemptFailed => Status::internal("failed; it may have run"),
    }
}

/// Creates the status of a request that the core did not answer before it ended.
pub(super) fn core_ended() -> Status {
    Status::internal("the workload manager ends")
}
