//! Maps errors and answers to gRPC statuses.

use super::metadata_keys::CLASS;
use crate::core::FailureReason;
use crate::decision::Millis;
use arrow_schema::ArrowError;
use prost::DecodeError;
use std::time::Duration;
use tonic::{Code, Status};
use tonic_types::{ErrorDetails, StatusExt};

/// Why a call is answered without a request to the core. The texts are the statuses' messages.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    #[error("a command that cannot be read: {0}")]
    UndecodableMessage(#[from] DecodeError),
    #[error("a command that cannot be read: {0}")]
    UndecodableCommand(#[from] ArrowError),
    /// Bytes that decode by chance name no type.
    #[error("a command without its type")]
    UntypedCommand,
    /// A method or a type of command.
    #[error("{0} is not offered")]
    Unsupported(String),
    #[error("transactions are not offered")]
    TransactionsUnsupported,
    #[error("no {0}")]
    MissingMetadata(&'static str),
    #[error("unknown {0}")]
    UnknownMetadataValue(&'static str),
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
}

impl From<CallError> for Status {
    fn from(error: CallError) -> Status {
        let code = match error {
            CallError::Unsupported(_) | CallError::TransactionsUnsupported => Code::Unimplemented,
            _ => Code::InvalidArgument,
        };
        Status::new(code, error.to_string())
    }
}

/// Whether this status says that the call itself was at fault.
pub(super) fn is_client_error(status: &Status) -> bool {
    matches!(status.code(), Code::InvalidArgument | Code::Unimplemented)
}

/// A rejection: the request may be sent again, after the wait if there is one.
pub(super) fn rejected(retry_after_ms: Millis) -> Status {
    let wait = Duration::from_secs_f64(retry_after_ms.max(0.0) / 1000.0);
    let details = ErrorDetails::with_retry_info(Some(wait));
    Status::with_error_details(
        Code::ResourceExhausted,
        "refused: trying again is harmless",
        details,
    )
}

/// Whether this status is a rejection.
pub(super) fn is_rejection(status: &Status) -> bool {
    status.code() == Code::ResourceExhausted
}

/// A failed request. It is never UNAVAILABLE, which clients take as leave to send again what may have run.
pub(super) fn failed(reason: FailureReason) -> Status {
    match reason {
        FailureReason::DeadlineExceeded => {
            Status::deadline_exceeded("no answer within the deadline")
        }
        FailureReason::AttemptFailed => Status::internal("failed; it may have run"),
    }
}

/// The core ended before it answered.
pub(super) fn core_ended() -> Status {
    Status::internal("the workload manager ends")
}
