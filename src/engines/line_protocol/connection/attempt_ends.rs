//! The ends of attempts on a connection: what is reported to the core, and what goes back to the engine's actor.

use super::Connection;
use crate::attempt::AttemptEnd;
use crate::core::{AttemptEvent, AttemptRequest};
use crate::decision::Outcome;
use crate::engines::connection_load::ConnectionUse;
use crate::engines::line_protocol::command::Command;
use bytes::Bytes;

/// The end of an attempt, to be reported to the core.
pub(super) struct EndedAttempt {
    request: Box<AttemptRequest>,
    event: AttemptEvent,
}

impl Connection {
    /// Counts an attempt off; the core receives its end with the next report.
    pub(super) fn end_attempt(&mut self, request: Box<AttemptRequest>, event: AttemptEvent) {
        self.load.end_attempt(ConnectionUse::of(&request));
        self.log_attempt_end(&request, &event);
        self.ended_attempts.push(EndedAttempt { request, event });
    }

    /// Reports to the core the ends that are due.
    pub(super) async fn report_ended_attempts(&mut self) {
        for ended in std::mem::take(&mut self.ended_attempts) {
            let attempt = (&*ended.request).into();
            self.context
                .send_event_without_report(self.engine, attempt, ended.event)
                .await;
        }
    }

    /// Ends the queued attempts: they are not sent at all.
    pub(super) fn end_queued_attempts(&mut self) {
        for request in std::mem::take(&mut self.queued) {
            self.end_attempt(request, AttemptEvent::end(Outcome::NoConnection));
        }
    }

    /// Gives the queued attempts of a closed connection back, so that another one takes them: a connection that was up
    /// and failed means nothing for attempts that it never sent. There is no await point here, so no message about the
    /// attempts can be missed in between.
    pub(super) fn return_queued_attempts(&mut self, was_connected: bool) {
        let carried_attempts = !self.sent.is_empty() || !self.queued.is_empty();
        let earlier_failures = self.event_sender.count_closed_connection(carried_attempts);
        let may_return = earlier_failures < self.context.limits.returned_connections;
        if !was_connected || self.admission.is_closed() || !may_return {
            return;
        }
        for request in std::mem::take(&mut self.queued) {
            let usage = ConnectionUse::of(&request);
            self.load.end_attempt(usage);
            if let Err(request) = self.event_sender.return_attempt(request) {
                self.load.begin_attempt(usage, self.context.core.now());
                self.queued.push_back(request);
            }
        }
    }

    /// Ends the sent attempts of a closed connection.
    pub(super) fn end_sent_attempts(&mut self) {
        let written = self.output.written();
        for (_, mut sent) in std::mem::take(&mut self.sent) {
            let was_cancelled = sent.state.is_cancelling();
            let event = match sent.state.connection_closed(written) {
                end if was_cancelled => AttemptEvent::Cancelled(end),
                // An attempt that was not written completely provably never ran; any other may have.
                AttemptEnd::NeverSent => AttemptEvent::end(Outcome::NoConnection),
                _ => AttemptEvent::end(Outcome::Reset),
            };
            self.end_attempt(sent.request, event);
        }
    }

    /// Has the engine release a result that is not wanted any more; its attempt ends with this outcome.
    pub(super) fn release_result(&mut self, reference: &Bytes, outcome: Outcome) {
        if let Some(sent) = self.sent.remove(reference) {
            self.send_command(Command::Release, reference);
            self.end_attempt(sent.request, AttemptEvent::end(outcome));
        }
    }
}
