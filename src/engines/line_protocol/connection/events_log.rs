//! What a connection logs at `debug`: which attempts it carries, how each of them ends on it, and which answers it
//! passes over. Each event names the connection by its number, as one engine may have several.

use super::{Connection, SentAttempt};
use crate::core::{AttemptEvent, AttemptRequest};
use crate::engines::line_protocol::answer::Answer;
use crate::log::lossy_text;
use crate::node_config::format_engine_id;
use std::io;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;

/// Why an answer has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IgnoredAnswerReason {
    /// No attempt with its reference is on the connection.
    NoSuchAttempt,
    /// Its attempt has the first page of its result already.
    RepeatedResult,
    /// A page that its attempt does not wait for.
    UnexpectedPage,
    /// A confirmation of no cancellation that waits for one.
    UnknownTag,
}

impl Connection {
    /// Passes the result of connecting on, and logs it.
    pub(super) fn log_connected(
        &self,
        connected: Result<io::Result<TcpStream>, Elapsed>,
    ) -> Option<TcpStream> {
        let (engine, connection) = (self.engine, self.number);
        match connected {
            Ok(Ok(stream)) => {
                tracing::debug!(engine = %format_engine_id(engine), connection, "connection to an engine opened");
                return Some(stream);
            }
            Ok(Err(error)) => {
                tracing::debug!(engine = %format_engine_id(engine), connection, %error, "no connection to an engine");
            }
            Err(error) => {
                tracing::debug!(engine = %format_engine_id(engine), connection, %error, "no connection to an engine");
            }
        }
        None
    }

    pub(super) fn log_attempt_queued_for_writing(&self, request: &AttemptRequest) {
        tracing::debug!(
            id = request.id,
            attempt = request.attempt,
            engine = %format_engine_id(self.engine),
            connection = self.number,
            r#ref = %lossy_text(&request.client_reference),
            "attempt handed to its connection"
        );
    }

    pub(super) fn log_attempt_end(&self, request: &AttemptRequest, event: &AttemptEvent) {
        let (outcome, cancelled) = match event {
            AttemptEvent::Ended { outcome, .. } => (Some(outcome), None),
            AttemptEvent::Cancelled(end) => (None, Some(end)),
            AttemptEvent::Progress(_) | AttemptEvent::ResultStreaming(_) => return,
        };
        tracing::debug!(
            id = request.id,
            attempt = request.attempt,
            engine = %format_engine_id(self.engine),
            connection = self.number,
            ?outcome,
            ?cancelled,
            "attempt ended on its connection"
        );
    }

    /// Logs an answer that ends an attempt.
    pub(super) fn log_final_answer(&self, answer: &Answer, sent: &SentAttempt) {
        tracing::debug!(
            id = sent.request.id,
            attempt = sent.request.attempt,
            engine = %format_engine_id(self.engine),
            connection = self.number,
            status = ?answer.status,
            has_pages = sent.pages.is_some(),
            "answer without a result"
        );
    }

    pub(super) fn log_ignored_answer(&self, answer: &Answer, reason: IgnoredAnswerReason) {
        tracing::debug!(
            engine = %format_engine_id(self.engine),
            connection = self.number,
            r#ref = %lossy_text(&answer.reference),
            status = ?answer.status,
            ?reason,
            "answer ignored"
        );
    }

    /// Logs how many attempts a connection that is over leaves to others or ends.
    pub(super) fn log_remaining_attempts(&self) {
        if self.queued.is_empty() && self.sent.is_empty() {
            return;
        }
        tracing::debug!(
            engine = %format_engine_id(self.engine),
            connection = self.number,
            written = self.sent.len(),
            unsent = self.queued.len(),
            "connection to an engine is over with attempts on it"
        );
    }
}
