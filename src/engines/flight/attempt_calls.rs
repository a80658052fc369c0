//! The calls of one attempt.
//!
//! A query takes several calls: GetFlightInfo, and DoGet for each endpoint of the result. An engine
//! may run the statement in the first of them. So a call that the engine refuses proves that the
//! attempt never ran only if no earlier call of the attempt was answered.

use super::attempt_failure::AttemptFailure;
use super::call::{CallError, ResponseBody};
use super::http2_connection::Http2Connection;
use crate::attempt::outcome_after_start;
use crate::decision::Outcome;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tower_service::Service;

/// Sends the calls of one attempt on one connection, and records whether the engine has begun to
/// respond to any of them. Its clones belong to the same attempt.
#[derive(Clone)]
pub(super) struct AttemptCalls {
    connection: Http2Connection,
    /// Whether a response to a call of the attempt has begun: the engine has sent more than the
    /// status of a call that it refuses.
    response_begun: Arc<AtomicBool>,
}

impl AttemptCalls {
    pub(super) fn new(connection: Http2Connection) -> AttemptCalls {
        AttemptCalls {
            connection,
            response_begun: Arc::default(),
        }
    }

    /// The outcome of the attempt if it has ended with this failure.
    pub(super) fn outcome_of(&self, failure: &AttemptFailure) -> Outcome {
        // Relaxed ordering: the flag publishes no other data.
        if self.response_begun.load(Ordering::Relaxed) {
            outcome_after_start(failure.outcome())
        } else {
            failure.outcome()
        }
    }
}

impl Service<http::Request<tonic::body::Body>> for AttemptCalls {
    type Response = http::Response<ResponseBody>;
    type Error = CallError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    /// Always ready: each call waits by itself until it may open a stream.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<tonic::body::Body>) -> Self::Future {
        let calls = self.clone();
        Box::pin(async move {
            let response_begun = &calls.response_begun;
            calls.connection.send_call(response_begun, request).await
        })
    }
}
