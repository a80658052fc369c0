//! Log events of a connection at `debug`: which attempts it carries, how each of them ends on it,
//! and which answers it ignores. Each event contains the number of the connection, as one engine
//! may have several.

use super::{Connection, SentAttempt};
use crate::core::{AttemptEvent, AttemptRequest};
use crate::engines::line_protocol::answer::Answer;
use crate::log::lossy_text;
use crate::node_config::format_engine_id;
use std::io;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;

/// Why an answer is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IgnoredAnswerReason {
    /// The connection carries no attempt with this reference.
    NoSuchAttempt,
    /// The first page of the attempt's result has already arrived.
    RepeatedResult,
    /// The attempt does not wait for this page.
    UnexpectedPage,
    /// No pending cancellation has the tag of this confirmation.
    UnknownTag,
}

impl Connection {
    /// Logs the result of connecting, and returns the stream if there is one.
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
                tracing::debug!(engine = %format_engine_id(engine), connection, %error, "connecting to an engine failed");
            }
            Err(error) => {
                tracing::debug!(engine = %format_engine_id(engine), connection, %error, "connecting to an engine failed");
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
            "attempt queued for writing on its connection"
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

    /// Logs an answer that ends an attempt without a result.
    pub(super) fn log_final_answer(&self, answer: &Answer, sent: &SentAttempt) {
        tracing::debug!(
            id = sent.request.id,
            attempt = sent.request.attempt,
            engine = %format_engine_id(self.engine),
            connection = self.number,
            status = ?answer.status,
            has_pages = sent.pages.is_some(),
            "attempt ended by an answer without a result"
        );
    }

    pub(super) fn log_ignored_answer(&self, answer: &Answer, reason: IgnoredAnswerReason) {
        tracing::debug!(
            engine = %format_engine_id(self.engine),
            connection = self.number,
            r#ref = %lossy_text(&answer.reference),
            status = ?answer.status,
            ?reason,
            "answer of an engine ignored"
        );
    }

    /// Logs how many attempts are unfinished when the connection ends.
    pub(super) fn log_remaining_attempts(&self) {
        if self.queued_attempts.is_empty() && self.sent_attempts.is_empty() {
            return;
        }
        tracing::debug!(
            engine = %format_engine_id(self.engine),
            connection = self.number,
            written = self.sent_attempts.len(),
            unsent = self.queued_attempts.len(),
            "connection to an engine ended with unfinished attempts"
        );
    }
}
