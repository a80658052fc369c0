//! Ends the attempts of a connection: reports their ends to the core, or returns unsent attempts to
//! the engine's actor.

use super::Connection;
use crate::attempt::AttemptEnd;
use crate::core::{AttemptEvent, AttemptRequest};
use crate::decision::Outcome;
use crate::engines::connection_load::ConnectionUse;
use crate::engines::line_protocol::command::Command;
use bytes::Bytes;

/// An attempt that has ended, and the event to be reported to the core.
pub(super) struct EndedAttempt {
    request: Box<AttemptRequest>,
    event: AttemptEvent,
}

impl Connection {
    /// Removes an attempt from the load of the connection. Its end is sent to the core with the
    /// next call of `report_ended_attempts`.
    pub(super) fn end_attempt(&mut self, request: Box<AttemptRequest>, event: AttemptEvent) {
        self.load.end_attempt(ConnectionUse::of(&request));
        self.log_attempt_end(&request, &event);
        self.ended_attempts.push(EndedAttempt { request, event });
    }

    /// Reports the pending ends of attempts to the core.
    pub(super) async fn report_ended_attempts(&mut self) {
        for ended in std::mem::take(&mut self.ended_attempts) {
            let attempt = (&*ended.request).into();
            self.context
                .send_event_without_report(self.engine, attempt, ended.event)
                .await;
        }
    }

    /// Ends the queued attempts without sending them.
    pub(super) fn end_queued_attempts(&mut self) {
        for request in std::mem::take(&mut self.queued_attempts) {
            self.end_attempt(request, AttemptEvent::end(Outcome::NoConnection));
        }
    }

    /// Returns the queued attempts of a closed connection to the engine's actor, so that another
    /// connection sends them. The failure of an established connection proves nothing about
    /// attempts that were never sent on it. There is no await point here, so no message about the
    /// attempts can be missed in between.
    pub(super) fn return_queued_attempts(&mut self, was_connected: bool) {
        let carried_attempts = !self.sent_attempts.is_empty() || !self.queued_attempts.is_empty();
        let earlier_failures = self.event_sender.count_closed_connection(carried_attempts);
        let may_return = earlier_failures < self.context.limits.consecutive_failed_connections;
        if !was_connected || self.admission.is_closed() || !may_return {
            return;
        }
        for request in std::mem::take(&mut self.queued_attempts) {
            let usage = ConnectionUse::of(&request);
            self.load.end_attempt(usage);
            if let Err(request) = self.event_sender.return_attempt(request) {
                self.load.begin_attempt(usage, self.context.core.now());
                self.queued_attempts.push_back(request);
            }
        }
    }

    /// Ends the sent attempts of a closed connection.
    pub(super) fn end_sent_attempts(&mut self) {
        let written_bytes = self.output.written_bytes();
        for (_, mut sent) in std::mem::take(&mut self.sent_attempts) {
            let was_cancelled = sent.state.is_cancelling();
            let event = match sent.state.connection_closed(written_bytes) {
                end if was_cancelled => AttemptEvent::Cancelled(end),
                // An attempt that was not written completely provably never ran. Any other may have
                // run.
                AttemptEnd::NeverSent => AttemptEvent::end(Outcome::NoConnection),
                _ => AttemptEvent::end(Outcome::Reset),
            };
            self.end_attempt(sent.request, event);
        }
    }

    /// Sends the engine the command to release a result that is no longer needed, and ends the
    /// attempt with this outcome.
    pub(super) fn release_result(&mut self, reference: &Bytes, outcome: Outcome) {
        if let Some(sent) = self.sent_attempts.remove(reference) {
            self.send_command(Command::Release, reference);
            self.end_attempt(sent.request, AttemptEvent::end(outcome));
        }
    }
}
