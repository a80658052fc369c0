//! Why an attempt failed, and the outcome that this is to the core.

use super::call::ConnectionRefused;
use super::http2_connection::ConnectError;
use crate::decision::Outcome;
use std::error::Error as StdError;
use thiserror::Error;
use tonic::{Code, Status};

/// Why an attempt failed.
#[derive(Debug, Error)]
pub(super) enum AttemptFailure {
    #[error("the engine takes no new attempts")]
    AdmissionClosed,
    #[error("there is no slot for a connection")]
    NoConnectionSlot,
    #[error("no connection: {0}")]
    Connect(#[from] ConnectError),
    #[error("the engine's address makes no URI: {0}")]
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
    #[error("results that are not complete outgrew their memory")]
    ResultMemoryExhausted,
    #[error("the client of the stream has disconnected")]
    ClientDisconnected,
}

impl AttemptFailure {
    /// Whether the engine may still be at work on the attempt, although it has failed on this side: what came cannot be
    /// used, and the call that brought it was left before its end. A status does not say which side found the fault.
    pub(super) fn may_leave_call_open(&self) -> bool {
        match self {
            AttemptFailure::Call(_) => self.outcome() == Outcome::Error,
            AttemptFailure::InvalidUpdateResult(_) | AttemptFailure::ResultMemoryExhausted => true,
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

    /// The outcome that is reported to the core.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            AttemptFailure::AdmissionClosed
            | AttemptFailure::Connect(_)
            | AttemptFailure::InvalidOrigin(_) => Outcome::NoConnection,
            AttemptFailure::NoConnectionSlot => Outcome::NoConnectionSlot,
            AttemptFailure::InvalidStatement(_) => Outcome::NotSent,
            AttemptFailure::Call(status) => outcome_of_status(status),
            // An update that ends without its result may have run.
            AttemptFailure::MissingTicket
            | AttemptFailure::MissingUpdateResult
            | AttemptFailure::InvalidUpdateResult(_)
            | AttemptFailure::ResultMemoryExhausted => Outcome::Error,
            AttemptFailure::ClientDisconnected => Outcome::Cancelled,
        }
    }
}

/// The outcome of an attempt that ended with this status: by the error of the connection that caused it, if any, else
/// by its code.
fn outcome_of_status(status: &Status) -> Outcome {
    let mut cause: Option<&(dyn StdError + 'static)> = Some(status);
    while let Some(error) = cause {
        if let Some(outcome) = outcome_of_connection_error(error) {
            return outcome;
        }
        cause = error.source();
    }
    match status.code() {
        // The engine states that the attempt never ran.
        Code::ResourceExhausted => Outcome::Rejected,
        Code::DeadlineExceeded => Outcome::TimedOut,
        Code::Unavailable | Code::Cancelled => Outcome::Reset,
        _ => Outcome::Error,
    }
}

fn outcome_of_connection_error(error: &(dyn StdError + 'static)) -> Option<Outcome> {
    if error.is::<ConnectionRefused>() {
        return Some(Outcome::NoConnection);
    }
    let error = error.downcast_ref::<h2::Error>()?;
    // RFC 9113, 8.7: a refused stream was not processed in any way.
    if error.is_remote() && error.reason() == Some(h2::Reason::REFUSED_STREAM) {
        return Some(Outcome::NoConnection);
    }
    (error.is_io() || error.is_go_away()).then_some(Outcome::Reset)
}
