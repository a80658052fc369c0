//! Why an attempt failed, and the outcome that is reported to the core.

use super::call::CallNotAccepted;
use super::http2_connection::ConnectError;
use super::result_check::UnusableMessage;
use crate::decision::Outcome;
use std::error::Error as StdError;
use thiserror::Error;
use tonic::{Code, Status};

/// Why an attempt failed.
#[derive(Debug, Error)]
pub(super) enum AttemptFailure {
    #[error("the engine does not accept new attempts")]
    AdmissionClosed,
    #[error("no connection slot is free")]
    NoConnectionSlot,
    #[error("cannot connect to the engine: {0}")]
    Connect(#[from] ConnectError),
    #[error("the engine's address is not a valid URI: {0}")]
    InvalidOrigin(#[from] http::uri::InvalidUri),
    #[error("the statement is not UTF-8: {0}")]
    InvalidStatement(#[from] std::string::FromUtf8Error),
    #[error("a call failed: {0}")]
    Call(#[from] Status),
    #[error("an endpoint of the result has no ticket")]
    MissingTicket,
    #[error("the update ended without a result")]
    MissingUpdateResult,
    #[error("the result of the update cannot be decoded: {0}")]
    InvalidUpdateResult(#[from] prost::DecodeError),
    #[error("the result cannot be used: {0}")]
    UnusableResult(#[from] UnusableMessage),
    #[error("the memory for incomplete results is exhausted")]
    ResultMemoryExhausted,
    #[error("the client that receives the streamed result has disconnected")]
    ClientDisconnected,
}

impl AttemptFailure {
    /// Whether the engine may still run the attempt although it has failed on this side. This is so
    /// if an unusable response ended a call early. A gRPC status does not show which side found the
    /// fault, so a status that maps to [`Outcome::Error`] counts as well.
    pub(super) fn may_leave_call_open(&self) -> bool {
        match self {
            AttemptFailure::Call(_) => self.outcome() == Outcome::Error,
            AttemptFailure::InvalidUpdateResult(_)
            | AttemptFailure::UnusableResult(_)
            | AttemptFailure::ResultMemoryExhausted => true,
            AttemptFailure::AdmissionClosed
            | AttemptFailure::NoConnectionSlot
            | AttemptFailure::Connect(_)
            | AttemptFailure::InvalidOrigin(_)
            | AttemptFailure::InvalidStatement(_)
            | AttemptFailure::MissingTicket
            | AttemptFailure::MissingUpdateResult
            | AttemptFailure::ClientDisconnected => false,
        }
    }

    /// The outcome of an attempt whose first call has ended with this failure; see
    /// [`AttemptCalls::outcome_of`](super::attempt_calls::AttemptCalls::outcome_of).
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            AttemptFailure::AdmissionClosed
            | AttemptFailure::Connect(_)
            | AttemptFailure::InvalidOrigin(_) => Outcome::NoConnection,
            AttemptFailure::NoConnectionSlot => Outcome::NoConnectionSlot,
            AttemptFailure::InvalidStatement(_) => Outcome::NotSent,
            AttemptFailure::Call(status) => outcome_of_status(status),
            // The engine may have run an update whose call ended without a result.
            AttemptFailure::MissingTicket
            | AttemptFailure::MissingUpdateResult
            | AttemptFailure::InvalidUpdateResult(_)
            | AttemptFailure::UnusableResult(_)
            | AttemptFailure::ResultMemoryExhausted => Outcome::Error,
            AttemptFailure::ClientDisconnected => Outcome::Cancelled,
        }
    }
}

/// The outcome of an attempt that ended with this status. A connection error among the causes of
/// the status takes precedence over the status code.
fn outcome_of_status(status: &Status) -> Outcome {
    let mut cause: Option<&(dyn StdError + 'static)> = Some(status);
    while let Some(error) = cause {
        if let Some(outcome) = outcome_of_connection_error(error) {
            return outcome;
        }
        cause = error.source();
    }
    match status.code() {
        // With this code the engine reports that the attempt did not run.
        Code::ResourceExhausted => Outcome::Rejected,
        Code::DeadlineExceeded => Outcome::TimedOut,
        Code::Unavailable | Code::Cancelled => Outcome::Reset,
        _ => Outcome::Error,
    }
}

/// The outcome of an attempt that a connection error ended; `None` if the error is of another kind.
fn outcome_of_connection_error(error: &(dyn StdError + 'static)) -> Option<Outcome> {
    if error.is::<CallNotAccepted>() {
        return Some(Outcome::NoConnection);
    }
    let error = error.downcast_ref::<h2::Error>()?;
    // RFC 9113, section 8.7: the server has not processed a refused stream in any way.
    if error.is_remote() && error.reason() == Some(h2::Reason::REFUSED_STREAM) {
        return Some(Outcome::NoConnection);
    }
    // The engine may have run a call before it reset the stream. The code must not be read as a
    // gRPC status: it would map to RESOURCE_EXHAUSTED, which is an engine's own refusal.
    let is_limited = error.reason() == Some(h2::Reason::ENHANCE_YOUR_CALM);
    (error.is_io() || error.is_go_away() || is_limited).then_some(Outcome::Reset)
}
